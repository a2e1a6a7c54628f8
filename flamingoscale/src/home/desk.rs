//! The shared side of [`HomeTable`]: requests wait here for their place at an endpoint.

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
        polls::Standing,
        table::{
            Action,
            HomeTable,
            Offer,
            SlotTarget,
            Ticket,
            Use,
            Verdict,
            VersionReading, //
        },
        HomeFacts, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    },
    view::EndpointKey,
    wire::EndpointStatus, //
};

/// What happens with the fingerprints that were in flight at a crash.
pub(crate) type CrashHook = Box<dyn Fn(EndpointKey, &[u64]) + Send + Sync>;

/// The home table of one instance. Its lock is held for single decisions only.
pub(crate) struct Desk {
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

impl Desk {
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

    /// Waits for a place at an endpoint, at most until the offer's deadline. Dropping the future
    /// gives the place back.
    ///
    /// # Errors
    ///
    /// The refusal; nothing ran.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        endpoint: EndpointKey,
        offer: Offer,
    ) -> Result<Place, NotRun> {
        let place = Place {
            desk: self.clone(),
            endpoint,
            ticket: offer.ticket,
            used: None,
        };
        let (sender, receiver) = oneshot::channel();
        let ticket = offer.ticket;
        let now_ms = self.instance.now_ms();
        let verdict = self.with(|inner| {
            let verdict = inner.table.offer(endpoint, offer, now_ms);
            if verdict == Verdict::Wait {
                inner.waiters.insert(ticket, sender);
            }
            (verdict, Vec::new())
        });
        match verdict {
            Verdict::Run => Ok(place),
            Verdict::Refuse(not_run) => Err(not_run),
            Verdict::Wait => match receiver.await {
                Ok(Ok(())) => Ok(place),
                Ok(Err(not_run)) => Err(not_run),
                Err(_) => Err(NotRun::for_good(Refusal::ShuttingDown)),
            },
        }
    }

    pub(crate) fn sync(&self, targets: Vec<SlotTarget>) {
        self.with(|inner| ((), inner.table.sync(targets)));
    }

    pub(crate) fn standings(&self) -> Vec<(EndpointKey, Standing)> {
        self.with(|inner| (inner.table.standings(), Vec::new()))
    }

    pub(crate) fn target(&self, endpoint: EndpointKey) -> Option<SlotTarget> {
        self.with(|inner| (inner.table.target(endpoint).cloned(), Vec::new()))
    }

    pub(crate) fn at_home(&self) -> Vec<EndpointKey> {
        self.with(|inner| (inner.table.at_home(), Vec::new()))
    }

    /// Requests of callers, and samples, that run or wait here, by service.
    pub(crate) fn loads(&self) -> BTreeMap<Arc<str>, (u32, u32)> {
        self.with(|inner| (inner.table.loads(), Vec::new()))
    }

    pub(crate) fn facts(&self, endpoint: EndpointKey) -> Option<HomeFacts> {
        self.with(|inner| (inner.table.facts(endpoint), Vec::new()))
    }

    /// How long an endpoint still has, once it leaves.
    pub(crate) fn leaving_in_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        self.with(|inner| (inner.table.leaving_in_ms(endpoint), Vec::new()))
    }

    pub(crate) fn requests(&self, endpoint: EndpointKey) -> u32 {
        self.with(|inner| (inner.table.requests(endpoint), Vec::new()))
    }

    pub(crate) fn reading(&self, endpoint: EndpointKey) -> Option<VersionReading> {
        self.with(|inner| (inner.table.reading(endpoint), Vec::new()))
    }

    pub(crate) fn hold(&self, endpoint: EndpointKey, held: bool) {
        let now_ms = self.instance.now_ms();
        self.with(|inner| ((), inner.table.hold(endpoint, held, now_ms)));
    }

    /// Says that an endpoint is gone.
    pub(crate) fn lost(&self, endpoint: EndpointKey) {
        self.with(|inner| ((), inner.table.lost(endpoint)));
    }

    /// Reads an endpoint's status by `read` and takes it in; returns whether there was one.
    pub(crate) async fn refresh(
        &self,
        endpoint: EndpointKey,
        read: impl Future<Output = Option<EndpointStatus>>,
    ) -> bool {
        let asked = self.with(|inner| (inner.table.epoch(endpoint), Vec::new()));
        let status = read.await;
        let there = status.is_some();
        let now_ms = self.instance.now_ms();
        self.with(|inner| ((), inner.table.status(endpoint, asked, status, now_ms)));
        there
    }

    /// Decides under the lock, then carries the actions out without it.
    fn with<T>(&self, decide: impl FnOnce(&mut Inner) -> (T, Vec<Action>)) -> T {
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
    /// Wakes a waiting request. One that is gone gives its place back by itself when its
    /// [`Place`] is dropped.
    fn wake(&mut self, ticket: Ticket, verdict: Result<(), NotRun>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter.send(verdict);
        }
    }
}

/// A request's place at an endpoint, running or waiting; dropping it lets the next one in.
pub(crate) struct Place {
    desk: Arc<Desk>,
    endpoint: EndpointKey,
    ticket: Ticket,
    used: Option<Use>,
}

impl Place {
    /// Says what the request used, before the place is given back.
    pub(crate) fn used(&mut self, used: Use) {
        self.used = Some(used);
    }

    /// Says that the endpoint broke off while the request ran.
    pub(crate) fn broke(&self) {
        self.desk.with(|inner| {
            inner.table.broke(self.endpoint, self.ticket);
            ((), Vec::new())
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now_ms = self.desk.instance.now_ms();
        let (endpoint, ticket, used) = (self.endpoint, self.ticket, self.used);
        self.desk.with(|inner| {
            inner.waiters.remove(&ticket);
            ((), inner.table.leave(endpoint, ticket, used, now_ms))
        });
    }
}
