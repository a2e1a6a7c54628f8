//! The dispatcher: combines the routes, the endpoints whose home is this instance, and peers.

use std::{
    cell::RefCell,
    collections::HashSet,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        Weak, //
    },
    time::Duration, //
};

use arc_swap::ArcSwap;
use futures::{
    future::{
        join_all,
        BoxFuture,
        Shared, //
    },
    FutureExt as _, //
};

use crate::{
    dispatch::{
        Dispatch,
        Message,
        Work,
        WorkEvent,
        WorkStream, //
    },
    engine::{
        http::HttpEngineControl,
        EngineControl as _, //
    },
    gateway::{
        self,
        idempotency::replicator::KeyReplicator,
        limit::lending::Lending,
        quarantine::QuarantineTable, //
    },
    home::{
        admission::Admission,
        polls::PollSchedule,
        table::EndpointTarget,
        HomeEndpointStatus,
        Homes, //
    },
    instance::Instance,
    peer::{
        PeerHandler,
        PeerReply,
        PeerRequest,
        ReplySender, //
    },
    routing::{
        retry::RetryBudget,
        table::RouteTable, //
    },
    view::EndpointKey, //
};

/// Interval at which routes are refreshed and due status requests are sent.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a request waits for members to learn of the crash that it met.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// A message on its way to one member; it ends with the member's answer.
type Notification = Shared<BoxFuture<'static, ()>>;

/// Runs work: as the entry for callers and trainers, and as the home of endpoints.
pub struct Dispatcher {
    pub(crate) instance: Arc<Instance>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) quarantine: Arc<QuarantineTable>,
    pub(crate) owners: Arc<KeyReplicator>,
    pub(crate) lending: Arc<Lending>,
    retry_budget: Mutex<RetryBudget>,
    /// Reports of crashes that members may not have answered yet.
    crash_reports: Mutex<Vec<Notification>>,
    routes: ArcSwap<RouteTable>,
    build_lock: Mutex<()>,
    pub(crate) weak_self: Weak<Dispatcher>,
}

impl Dispatcher {
    /// Creates a dispatcher without routes; [`Self::watch`] builds them from the instance's view.
    pub fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new_cyclic(|weak_self: &Weak<Self>| {
            let reporter = weak_self.clone();
            let on_crash = Box::new(move |endpoint, fingerprints: &[u64]| {
                if let Some(this) = reporter.upgrade() {
                    this.record_crash(endpoint, fingerprints);
                }
            });
            Self {
                admission: Admission::new(instance.clone(), on_crash),
                quarantine: Arc::default(),
                owners: KeyReplicator::new(instance.clone()),
                lending: Lending::new(instance.clone()),
                instance,
                retry_budget: Mutex::default(),
                crash_reports: Mutex::default(),
                routes: ArcSwap::default(),
                build_lock: Mutex::default(),
                weak_self: weak_self.clone(),
            }
        })
    }

    /// Refreshes the routes and polls the status of the endpoints whose home is this instance,
    /// until the task is dropped.
    pub async fn watch(self: Arc<Self>) {
        let in_progress: Rc<RefCell<HashSet<EndpointKey>>> = Rc::default();
        let mut plan = PollSchedule::default();
        loop {
            self.refresh_routes();
            self.owners.sync_members();
            self.instance.demand.set_requests(self.admission.loads());
            for key in plan.due(self.instance.now_ms(), &self.admission.poll_states()) {
                let Some(address) = self.admission.target(key).map(|target| target.address) else {
                    continue;
                };
                if in_progress.borrow_mut().insert(key) {
                    let (this, in_progress) = (self.clone(), in_progress.clone());
                    actix_rt::spawn(async move {
                        this.read_status(key, &address).await;
                        in_progress.borrow_mut().remove(&key);
                    });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the status of one endpoint now; returns whether the endpoint answered.
    pub(crate) async fn read_status(&self, key: EndpointKey, address: &str) -> bool {
        let read = async { HttpEngineControl.status(address).await.ok() };
        self.admission.refresh(key, read).await
    }

    /// Checks whether an endpoint whose connection broke has crashed, so that the requests that it
    /// ran become suspect at all members before they are sent again. The status is read up to twice,
    /// the second time over a new connection.
    pub(crate) async fn check_for_crash(&self, key: EndpointKey, address: &str) {
        if !self.read_status(key, address).await && !self.read_status(key, address).await {
            self.admission.mark_unreachable(key);
        }
        let reports = self.lock_crash_reports().clone();
        // A member that does not answer must not hold the request up.
        let _ = tokio::time::timeout(CRASH_REPORT_TIMEOUT, join_all(reports)).await;
    }

    /// Clears a suspect request that ran alone without a crash, here and at all members.
    pub(crate) fn report_cleared(&self, fingerprint: u64) {
        if self.quarantine.clear(fingerprint) {
            self.notify_members(&gateway::Message::ClearSuspicion { fingerprint });
        }
    }

    /// Returns the current routes. Requests never build them, because that takes milliseconds with
    /// thousands of endpoints; [`Self::watch`] does so within 200 ms.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// Rebuilds the routes if they do not match the current view.
    fn refresh_routes(&self) {
        let view = self.instance.view.load();
        if self.routes.load().is_built_from(&view) {
            return;
        }
        let _build_guard = self
            .build_lock
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let built = Arc::new(RouteTable::build(&view, &self.routes.load()));
        self.admission.sync(self.targets(&built));
        self.routes.store(built);
    }

    /// Handles a request of a peer's gateway.
    async fn handle_gateway(&self, message: gateway::Message) -> gateway::Reply {
        let now_ms = self.instance.now_ms();
        match message {
            gateway::Message::ReportCrash {
                fingerprint,
                crashes,
            } => {
                let earlier_release = "".into();
                let table = &self.quarantine;
                table.merge(fingerprint, &earlier_release, crashes, now_ms);
            }
            gateway::Message::CrashesSeen {
                fingerprint,
                instance,
                crashes,
            } => self
                .quarantine
                .merge(fingerprint, &instance, crashes, now_ms),
            gateway::Message::ClearSuspicion { fingerprint } => {
                self.quarantine.clear(fingerprint);
            }
            gateway::Message::ClaimKey { key, fingerprint } => {
                let claim = self.owners.claim_as_owner(key, fingerprint).await;
                return gateway::Reply::Claimed(claim);
            }
            gateway::Message::QueryKey {
                key,
                fingerprint,
                reserve,
            } => {
                let claim = self.owners.answer_query(key, fingerprint, reserve);
                return gateway::Reply::Claimed(claim);
            }
            gateway::Message::ReportOutcome {
                key,
                fingerprint,
                progress,
            } => self.owners.record_outcome(key, fingerprint, progress),
            gateway::Message::TransferKeys { copies } => self.owners.merge_copies(copies),
            gateway::Message::BorrowTokens {
                organisation,
                tokens,
            } => {
                return match self.lending.lend(&organisation, tokens) {
                    Ok(()) => gateway::Reply::TokensLent,
                    Err(retry_after_ms) => gateway::Reply::LimitExhausted { retry_after_ms },
                };
            }
            gateway::Message::ReturnTokens {
                organisation,
                tokens,
            } => self.lending.accept_return(&organisation, tokens),
        }
        gateway::Reply::Accepted
    }

    /// Records a crash of an endpoint against the requests that were in flight there, on this
    /// instance and at all members.
    fn record_crash(&self, endpoint: EndpointKey, fingerprints: &[u64]) {
        let count = fingerprints.len();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("endpoint", &endpoint.0), ("in_flight", &count)];
        let timeline = &self.instance.timeline;
        timeline.record("home.endpoint_crashed", "", &fields);
        let now_ms = self.instance.now_ms();
        for &fingerprint in fingerprints {
            let instance = self.instance.id();
            let crashes = self.quarantine.record_crash(fingerprint, instance, now_ms);
            let reports = self.notify_members(&gateway::Message::CrashesSeen {
                fingerprint,
                instance: instance.clone(),
                crashes,
            });
            let mut pending = self.lock_crash_reports();
            pending.retain(|report| report.peek().is_none());
            pending.extend(reports);
        }
    }

    fn lock_crash_reports(&self) -> MutexGuard<'_, Vec<Notification>> {
        self.crash_reports
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sends a message to every other member. The notifications need not be waited for.
    fn notify_members(&self, message: &gateway::Message) -> Vec<Notification> {
        let Some(peers) = self.instance.peers() else {
            return Vec::new();
        };
        let view = self.instance.view.load();
        let others = view.members.iter();
        others
            .filter(|member| member.instance != *self.instance.id())
            .map(|member| {
                let request = PeerRequest::Gateway(message.clone());
                let mut replies = peers.open(&member.instance, &member.peer_address, request);
                let answer = actix_rt::spawn(async move { drop(replies.next().await) });
                answer.map(drop).boxed().shared()
            })
            .collect()
    }

    fn targets(&self, routes: &RouteTable) -> Vec<EndpointTarget> {
        let at_home = routes.at_home(self.instance.id());
        at_home
            .map(|(service, endpoint)| EndpointTarget {
                key: endpoint.key,
                id: endpoint.id.clone(),
                service: service.clone(),
                address: endpoint.address.clone(),
                slots: endpoint.slots,
            })
            .collect()
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Dispatch for Dispatcher {
    fn start(&self, work: Work) -> WorkStream {
        let (events, stream) = WorkStream::channel();
        if let Some(this) = self.weak_self.upgrade() {
            actix_rt::spawn(async move { this.run_as_entry(work, events).await });
        }
        stream
    }
}

impl Homes for Dispatcher {
    fn at_home(&self) -> Vec<EndpointKey> {
        self.admission.at_home()
    }

    fn status(&self, endpoint: EndpointKey) -> Option<HomeEndpointStatus> {
        self.admission.status(endpoint)
    }

    fn set_paused(&self, endpoint: EndpointKey, paused: bool) {
        self.admission.set_paused(endpoint, paused);
    }
}

impl PeerHandler for Dispatcher {
    fn handle(&self, _from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        let Some(this) = self.weak_self.upgrade() else {
            return;
        };
        match request {
            PeerRequest::Dispatch(Message::Run {
                endpoint,
                work,
                forwarded,
            }) => {
                let (events, stream) = WorkStream::channel();
                actix_rt::spawn(forward_to_peer(stream, reply));
                actix_rt::spawn(async move {
                    this.run_as_home(endpoint, *work, forwarded, &events).await;
                });
            }
            PeerRequest::Gateway(message) => {
                actix_rt::spawn(async move {
                    let answer = this.handle_gateway(message).await;
                    let _ = reply.send(PeerReply::Gateway(answer)).await;
                });
            }
            _ => {}
        }
    }
}

/// Forwards events to a peer until the last one, or until the peer is gone. Returning drops the
/// stream, which cancels unfinished work.
async fn forward_to_peer(mut stream: WorkStream, reply: ReplySender) {
    loop {
        let event = tokio::select! {
            event = stream.next() => event,
            () = reply.closed() => return,
        };
        let Some(event) = event else {
            return;
        };
        let is_last = matches!(event, WorkEvent::Done(_));
        if reply.send(PeerReply::Dispatch(event)).await.is_err() || is_last {
            return;
        }
    }
}
