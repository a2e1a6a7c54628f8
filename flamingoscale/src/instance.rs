//! What the threads of one entry instance share.

use std::sync::{
    atomic::{
        AtomicBool,
        AtomicU64,
        AtomicUsize,
        Ordering, //
    },
    Arc,
    OnceLock, //
};

use futures::future::BoxFuture;

use crate::{
    clock::Clock,
    demand::DemandTracker,
    dispatch::Dispatch,
    metrics::Metrics,
    peer::Peers,
    record::Record,
    settings::Settings,
    state::SubmitError,
    timeline::Timeline,
    usage::UsageCounter,
    view::{
        Member,
        SharedView, //
    },
    wire::WithdrawnKey, //
};

/// The way from any thread to the control thread.
pub trait Control: Send + Sync {
    /// Appends a record and waits until it is folded here; returns its offset.
    ///
    /// # Errors
    ///
    /// A [`SubmitError`] that says whether it was refused by the fold or may still take effect.
    fn submit(&self, record: Record) -> BoxFuture<'static, Result<u64, SubmitError>>;

    /// Withdraws a key: at once through peers, and by the log as soon as it is there.
    ///
    /// # Errors
    ///
    /// [`SubmitError::Refused`] when there is no such key.
    fn withdraw_key(
        &self,
        key_id: Arc<str>,
    ) -> BoxFuture<'static, Result<WithdrawnKey, SubmitError>>;
}

/// What the threads of one entry instance share. Parts that start later are set once.
pub struct Instance {
    /// The checked settings.
    pub settings: Settings,
    /// Random at each start.
    pub incarnation: u64,
    /// The clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// Control state for traffic to read.
    pub view: SharedView,
    /// This process's events.
    pub timeline: Timeline,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Usage that is not yet in the log.
    pub usage: UsageCounter,
    /// What this instance's work asks of endpoints.
    pub demand: DemandTracker,
    peers: OnceLock<Arc<dyn Peers>>,
    control: OnceLock<Arc<dyn Control>>,
    dispatch: OnceLock<Arc<dyn Dispatch>>,
    draining: AtomicBool,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
}

/// Counts one piece of work as in flight until it is dropped, so that a shutdown waits for it.
pub struct WorkGuard {
    instance: Arc<Instance>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.instance.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Instance {
    /// Shared parts of an instance that has not started yet.
    pub fn new(settings: Settings, incarnation: u64, clock: Arc<dyn Clock>) -> Self {
        let timeline = Timeline::new(settings.instance.clone());
        Self {
            settings,
            incarnation,
            clock,
            view: SharedView::default(),
            timeline,
            metrics: Metrics::default(),
            usage: UsageCounter::default(),
            demand: DemandTracker::default(),
            peers: OnceLock::new(),
            control: OnceLock::new(),
            dispatch: OnceLock::new(),
            draining: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// This instance's id.
    pub fn id(&self) -> &Arc<str> {
        &self.settings.instance
    }

    /// Milliseconds of the decision clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// An id that no other request of any instance has.
    pub fn new_request_id(&self) -> Arc<str> {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{serial}", self.id(), self.incarnation).into()
    }

    /// Sets the way to peers, once.
    pub fn set_peers(&self, peers: Arc<dyn Peers>) {
        let _ = self.peers.set(peers);
    }

    /// Sets the way to the control thread, once.
    pub fn set_control(&self, control: Arc<dyn Control>) {
        let _ = self.control.set(control);
    }

    /// Sets the way to endpoints, once.
    pub fn set_dispatch(&self, dispatch: Arc<dyn Dispatch>) {
        let _ = self.dispatch.set(dispatch);
    }

    /// The way to peers; none before start-up is through.
    pub fn peers(&self) -> Option<&Arc<dyn Peers>> {
        self.peers.get()
    }

    /// The way to the control thread; none before start-up is through.
    pub fn control(&self) -> Option<&Arc<dyn Control>> {
        self.control.get()
    }

    /// The way to endpoints; none before start-up is through.
    pub fn dispatch(&self) -> Option<&Arc<dyn Dispatch>> {
        self.dispatch.get()
    }

    /// Puts the live members, this instance included, into the view, in order of id.
    pub fn publish_members(&self, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view.update(|view| view.members = Arc::new(members));
    }

    /// Says that this instance is going away.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether this instance is going away.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Counts one piece of work as in flight until the guard is dropped.
    pub fn begin_work(self: &Arc<Self>) -> WorkGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        WorkGuard {
            instance: self.clone(),
        }
    }

    /// Pieces of work in flight here, for callers, peers and trainers alike.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}
