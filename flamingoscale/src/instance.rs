//! State that the threads of one entry instance share.

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

/// Access to the control thread from any other thread.
pub trait Control: Send + Sync {
    /// Appends a record to the log, waits until this instance has folded it and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] that tells whether the record was refused or may still take
    /// effect.
    fn submit(&self, record: Record) -> BoxFuture<'static, Result<u64, SubmitError>>;

    /// Withdraws a key: at once by messages to the peers, and durably as soon as the log is
    /// available.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Refused`] if no such key is in force.
    fn withdraw_key(
        &self,
        key_id: Arc<str>,
    ) -> BoxFuture<'static, Result<WithdrawnKey, SubmitError>>;
}

/// State that the threads of one entry instance share. Components that are created after this state
/// are set once, before the instance accepts requests.
pub struct Instance {
    /// The validated settings.
    pub settings: Settings,
    /// Random number that identifies this start of the instance.
    pub incarnation: u64,
    /// Monotonic clock on which all decisions are based.
    pub clock: Arc<dyn Clock>,
    /// Snapshot of the control state for traffic threads.
    pub view: SharedView,
    /// Recent events of this process.
    pub timeline: Timeline,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Usage counts that are not yet in the log.
    pub usage: UsageCounter,
    /// Demand of this instance for endpoint slots.
    pub demand: DemandTracker,
    peers: OnceLock<Arc<dyn Peers>>,
    control: OnceLock<Arc<dyn Control>>,
    dispatch: OnceLock<Arc<dyn Dispatch>>,
    draining: AtomicBool,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
}

/// Counts one unit of work as in flight until it is dropped, so that a graceful shutdown waits
/// for it.
pub struct WorkGuard {
    instance: Arc<Instance>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.instance.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Instance {
    /// Creates the shared state of an instance that has not started yet.
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

    /// Returns the id of this instance.
    pub fn id(&self) -> &Arc<str> {
        &self.settings.instance
    }

    /// Returns the current time of the monotonic clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns a new request id that is unique among all instances.
    pub fn new_request_id(&self) -> Arc<str> {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{serial}", self.id(), self.incarnation).into()
    }

    /// Sets the connections to peers. Only the first call has an effect.
    pub fn set_peers(&self, peers: Arc<dyn Peers>) {
        let _ = self.peers.set(peers);
    }

    /// Sets the access to the control thread. Only the first call has an effect.
    pub fn set_control(&self, control: Arc<dyn Control>) {
        let _ = self.control.set(control);
    }

    /// Sets the dispatcher of requests to endpoints. Only the first call has an effect.
    pub fn set_dispatch(&self, dispatch: Arc<dyn Dispatch>) {
        let _ = self.dispatch.set(dispatch);
    }

    /// Returns the connections to peers, or `None` before start-up has finished.
    pub fn peers(&self) -> Option<&Arc<dyn Peers>> {
        self.peers.get()
    }

    /// Returns the access to the control thread, or `None` before start-up has finished.
    pub fn control(&self) -> Option<&Arc<dyn Control>> {
        self.control.get()
    }

    /// Returns the dispatcher of requests to endpoints, or `None` before start-up has finished.
    pub fn dispatch(&self) -> Option<&Arc<dyn Dispatch>> {
        self.dispatch.get()
    }

    /// Updates the view with the live members, including this instance, ordered by id.
    pub fn publish_members(&self, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view.update(|view| view.members = Arc::new(members));
    }

    /// Marks this instance as draining.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether this instance is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Counts one unit of work as in flight until the returned guard is dropped.
    pub fn begin_work(self: &Arc<Self>) -> WorkGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        WorkGuard {
            instance: self.clone(),
        }
    }

    /// Returns the number of units of work in flight here for callers, peers and trainers.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}
