//! Thread-safe wrapper around [`HomeTable`], in which requests wait for admission to an endpoint.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    future::Future,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    }, //
};

use tokio::sync::oneshot;

use crate::{
    home::{
        polls::PollState,
        table::{
            Action,
            AdmissionDecision,
            AdmissionRequest,
            EndpointTarget,
            HomeTable,
            RequestUsage,
            Ticket,
            VersionReading, //
        },
        HomeEndpointStatus, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    },
    view::EndpointKey,
    wire::EndpointStatus, //
};

/// Called with the fingerprints of the requests that were in flight when an endpoint crashed.
pub(crate) type CrashHook = Box<dyn Fn(EndpointKey, &[u64]) + Send + Sync>;

/// Shares the [`HomeTable`] of one instance between threads and keeps the requests that wait for
/// admission. The lock on both is held only for the duration of a single decision.
pub(crate) struct Admission {
    instance: Arc<Instance>,
    inner: Mutex<Inner>,
    next_ticket: AtomicU64,
    on_crash: CrashHook,
}

#[derive(Default)]
struct Inner {
    table: HomeTable,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), NotRun>>>,
}

impl Admission {
    pub(crate) fn new(instance: Arc<Instance>, on_crash: CrashHook) -> Arc<Self> {
        Arc::new(Self {
            instance,
            inner: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            on_crash,
        })
    }

    pub(crate) fn new_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Waits for a permit to run a request at an endpoint, at most until the request's deadline.
    /// Dropping the future releases the permit.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal; the request did not run.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        endpoint: EndpointKey,
        request: AdmissionRequest,
    ) -> Result<Permit, NotRun> {
        let permit = Permit {
            admission: self.clone(),
            endpoint,
            ticket: request.ticket,
            usage: None,
        };
        let (sender, receiver) = oneshot::channel();
        let ticket = request.ticket;
        let now_ms = self.instance.now_ms();
        let decision = self.with_inner(|inner| {
            let decision = inner.table.admit(endpoint, request, now_ms);
            if decision == AdmissionDecision::Wait {
                inner.waiters.insert(ticket, sender);
            }
            (decision, Vec::new())
        });
        match decision {
            AdmissionDecision::Run => Ok(permit),
            AdmissionDecision::Refuse(not_run) => Err(not_run),
            AdmissionDecision::Wait => match receiver.await {
                Ok(Ok(())) => Ok(permit),
                Ok(Err(not_run)) => Err(not_run),
                Err(_) => Err(NotRun::permanent(Refusal::ShuttingDown)),
            },
        }
    }

    pub(crate) fn sync(&self, targets: Vec<EndpointTarget>) {
        self.with_inner(|inner| ((), inner.table.sync(targets)));
    }

    pub(crate) fn poll_states(&self) -> Vec<(EndpointKey, PollState)> {
        self.with_inner(|inner| (inner.table.poll_states(), Vec::new()))
    }

    pub(crate) fn target(&self, endpoint: EndpointKey) -> Option<EndpointTarget> {
        self.with_inner(|inner| (inner.table.target(endpoint).cloned(), Vec::new()))
    }

    pub(crate) fn at_home(&self) -> Vec<EndpointKey> {
        self.with_inner(|inner| (inner.table.at_home(), Vec::new()))
    }

    /// Number of interactive requests and number of rollout samples that are running or queued
    /// here, as a pair for each service.
    pub(crate) fn loads(&self) -> BTreeMap<Arc<str>, (u32, u32)> {
        self.with_inner(|inner| (inner.table.loads(), Vec::new()))
    }

    pub(crate) fn status(&self, endpoint: EndpointKey) -> Option<HomeEndpointStatus> {
        self.with_inner(|inner| (inner.table.status(endpoint), Vec::new()))
    }

    /// Time until a leaving endpoint is gone, in milliseconds; `None` if it is not leaving.
    pub(crate) fn leaving_in_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        self.with_inner(|inner| (inner.table.leaving_in_ms(endpoint), Vec::new()))
    }

    pub(crate) fn requests(&self, endpoint: EndpointKey) -> u32 {
        self.with_inner(|inner| (inner.table.requests(endpoint), Vec::new()))
    }

    pub(crate) fn version_reading(&self, endpoint: EndpointKey) -> Option<VersionReading> {
        self.with_inner(|inner| (inner.table.version_reading(endpoint), Vec::new()))
    }

    pub(crate) fn set_paused(&self, endpoint: EndpointKey, paused: bool) {
        let now_ms = self.instance.now_ms();
        self.with_inner(|inner| ((), inner.table.set_paused(endpoint, paused, now_ms)));
    }

    /// Marks an endpoint as unreachable, because it does not answer on a new connection either.
    pub(crate) fn mark_unreachable(&self, endpoint: EndpointKey) {
        self.with_inner(|inner| ((), inner.table.mark_unreachable(endpoint)));
    }

    /// Reads an endpoint's status with `read` and records it. Returns whether the read succeeded.
    pub(crate) async fn refresh(
        &self,
        endpoint: EndpointKey,
        read: impl Future<Output = Option<EndpointStatus>>,
    ) -> bool {
        let begun = self.with_inner(|inner| (inner.table.begin_read(endpoint), Vec::new()));
        let status = read.await;
        let succeeded = status.is_some();
        let now_ms = self.instance.now_ms();
        self.with_inner(|inner| ((), inner.table.status_read(endpoint, begun, status, now_ms)));
        succeeded
    }

    /// Makes a decision and wakes the affected requests under the lock, then calls the crash hook
    /// for each crash after the lock is released.
    fn with_inner<T>(&self, decide: impl FnOnce(&mut Inner) -> (T, Vec<Action>)) -> T {
        let mut inner = self
            .inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let (result, actions) = decide(&mut inner);
        let mut crashes = Vec::new();
        for action in actions {
            match action {
                Action::Start(ticket) => inner.wake(ticket, Ok(())),
                Action::Refuse(ticket, not_run) => inner.wake(ticket, Err(not_run)),
                Action::Crashed {
                    endpoint,
                    fingerprints,
                } => crashes.push((endpoint, fingerprints)),
            }
        }
        drop(inner);
        for (endpoint, fingerprints) in crashes {
            (self.on_crash)(endpoint, &fingerprints);
        }
        result
    }
}

impl Inner {
    /// Wakes a waiting request. If its future was dropped, its [`Permit`] has been released
    /// already.
    fn wake(&mut self, ticket: Ticket, result: Result<(), NotRun>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter.send(result);
        }
    }
}

/// Admission of one request to an endpoint, running or queued. Dropping it lets the next request
/// start.
pub(crate) struct Permit {
    admission: Arc<Admission>,
    endpoint: EndpointKey,
    ticket: Ticket,
    usage: Option<RequestUsage>,
}

impl Permit {
    /// Records the resources that the request used. They are accounted for when the permit is
    /// dropped.
    pub(crate) fn set_usage(&mut self, usage: RequestUsage) {
        self.usage = Some(usage);
    }

    /// Records that the connection broke while the request was running.
    pub(crate) fn connection_broke(&self) {
        self.admission.with_inner(|inner| {
            inner.table.connection_broke(self.endpoint, self.ticket);
            ((), Vec::new())
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now_ms = self.admission.instance.now_ms();
        let (endpoint, ticket, usage) = (self.endpoint, self.ticket, self.usage);
        self.admission.with_inner(|inner| {
            inner.waiters.remove(&ticket);
            ((), inner.table.release(endpoint, ticket, usage, now_ms))
        });
    }
}
