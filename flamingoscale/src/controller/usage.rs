//! Usage metering: counts are copied to a second instance, appended to the log, and reported to the
//! platform once per window.
//!
//! Every instance appends its own counts, and those of dead instances whose copies it holds. The
//! holder of the usage lease closes windows and reports them. See `docs/design/usage.md`.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    AsyncContext as _,
    Context,
    StreamHandler,
    WrapFuture as _, //
};
use futures::channel::mpsc;
use tokio::time::timeout;

pub mod copies;
pub mod counts;
pub mod windows;

use self::{
    copies::Copies,
    counts::{
        Batch,
        Counts, //
    },
    windows::Windows, //
};
use super::{
    lease_driver::LeaseDriver,
    ControlContext,
    Controller, //
};
use crate::{
    instance::{
        Instance,
        WorkGuard, //
    },
    peer::{
        PeerHandler,
        PeerReply,
        PeerRequest,
        ReplySender, //
    },
    platform::PlatformError,
    record::Record,
    state::{
        usage_lease,
        Rejection,
        SubmitError,
        ALL_REGIONS, //
    },
    usage::{
        Message,
        Reply, //
    },
    view::Member, //
};

/// Interval at which pending work is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a peer to accept a copy or a release.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time that a report may take to reach the platform.
const MAX_REPORT_TRANSIT_MS: u64 = 2_000;

/// How long the next holder waits, after the previous holder's term, for reports that are still in
/// flight.
const REPORT_GUARD_MS: u64 = 2 * MAX_REPORT_TRANSIT_MS;

/// A peer message on its way to the control thread.
struct Incoming {
    from: Arc<str>,
    message: Message,
    reply: ReplySender,
}

/// Meters usage and reports it to the platform.
pub struct UsageController {
    instance: Arc<Instance>,
    incoming: mpsc::UnboundedReceiver<Incoming>,
}

impl UsageController {
    /// Creates the controller and the handler for [`PeerRequest::Usage`].
    pub fn new(instance: Arc<Instance>) -> (Self, Arc<dyn PeerHandler>) {
        let (sender, incoming) = mpsc::unbounded();
        let controller = Self { instance, incoming };
        (controller, Arc::new(Receiver { sender }))
    }
}

impl Controller for UsageController {
    fn name(&self) -> &'static str {
        "usage"
    }

    fn start(self: Box<Self>, context: ControlContext) {
        let lease = usage_lease(ALL_REGIONS);
        let instance = self.instance;
        let worker = Worker {
            lease: LeaseDriver::new(lease, context.clone(), REPORT_GUARD_MS),
            counts: Counts::new(instance.id().clone(), instance.incarnation).into(),
            copies: RefCell::default(),
            windows: RefCell::default(),
            counting: Cell::new(false),
            reporting: Cell::new(false),
            drain_guard: RefCell::default(),
            flushed: Cell::new(false),
            context,
        };
        let incoming = self.incoming;
        UsageActor::create(|actor| {
            actor.add_stream(incoming);
            UsageActor {
                worker: Rc::new(worker),
            }
        });
    }
}

/// Forwards peer messages to the control thread.
struct Receiver {
    sender: mpsc::UnboundedSender<Incoming>,
}

impl PeerHandler for Receiver {
    fn handle(&self, from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        if let PeerRequest::Usage(message) = request {
            let incoming = Incoming {
                from,
                message,
                reply,
            };
            // If the control thread has ended, the send fails and drops `reply`, which ends the
            // stream.
            let _ = self.sender.unbounded_send(incoming);
        }
    }
}

struct UsageActor {
    worker: Rc<Worker>,
}

impl Actor for UsageActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_INTERVAL, Self::tick);
    }
}

impl StreamHandler<Incoming> for UsageActor {
    fn handle(&mut self, incoming: Incoming, _: &mut Self::Context) {
        let mut copies = self.worker.copies.borrow_mut();
        match incoming.message {
            Message::Hold {
                incarnation,
                sequence,
                figures,
            } => copies.hold(incoming.from, incarnation, sequence, figures),
            Message::Release {
                incarnation,
                sequence,
            } => copies.release(&incoming.from, incarnation, sequence),
        }
        let _ = incoming.reply.try_send(PeerReply::Usage(Reply::Held));
    }
}

impl UsageActor {
    fn tick(&mut self, context: &mut Context<Self>) {
        let worker = self.worker.clone();
        if !worker.counting.replace(true) {
            let count = async move {
                worker.count().await;
                worker.counting.set(false);
            };
            context.spawn(count.into_actor(self));
        }
        let worker = self.worker.clone();
        if !worker.reporting.replace(true) {
            let report = async move {
                worker.report().await;
                worker.reporting.set(false);
            };
            context.spawn(report.into_actor(self));
        }
    }
}

/// State of the periodic work. No `RefCell` borrow is held across an await.
struct Worker {
    lease: LeaseDriver,
    counts: RefCell<Counts>,
    copies: RefCell<Copies>,
    windows: RefCell<Windows>,
    counting: Cell<bool>,
    reporting: Cell<bool>,
    drain_guard: RefCell<Option<WorkGuard>>,
    flushed: Cell<bool>,
    context: ControlContext,
}

impl Worker {
    /// Appends this instance's counts, and those of dead instances, to the log.
    async fn count(&self) {
        self.hold_drain();
        self.take_batch();
        self.copy_batches().await;
        self.append_batches().await;
        self.append_for_dead_instances().await;
        self.release_drain();
    }

    /// Keeps a draining instance running until the log holds all of its counts.
    fn hold_drain(&self) {
        let instance = &self.context.instance;
        if instance.is_draining() && !self.flushed.get() {
            let mut guard = self.drain_guard.borrow_mut();
            guard.get_or_insert_with(|| instance.begin_work());
        }
    }

    /// Lets a draining instance stop once the log holds all of its counts.
    fn release_drain(&self) {
        let instance = &self.context.instance;
        // The drain guard itself counts as one request in flight.
        let is_idle = instance.is_draining() && instance.in_flight() <= 1;
        if is_idle && instance.usage.is_empty() && self.counts.borrow().pending() == 0 {
            self.flushed.set(true);
            self.drain_guard.borrow_mut().take();
        }
    }

    fn take_batch(&self) {
        let instance = &self.context.instance;
        let now_ms = instance.now_ms();
        let mut counts = self.counts.borrow_mut();
        if instance.is_draining() || counts.is_due(now_ms) {
            let members = instance.view.load().members.len();
            counts.take_batch(now_ms, members, instance.usage.take());
        }
    }

    /// Copies every batch that is not yet in the log to a second instance. A member that holds a
    /// batch also holds all earlier ones, so that it can append all of them in order.
    async fn copy_batches(&self) {
        let replica = self.choose_replica();
        let batches = {
            let mut counts = self.counts.borrow_mut();
            counts.set_replica(replica.as_ref());
            counts.uncopied()
        };
        let Some(replica) = replica else {
            return;
        };
        for batch in batches {
            let message = Message::Hold {
                incarnation: self.context.instance.incarnation,
                sequence: batch.sequence,
                figures: batch.figures.clone(),
            };
            if !self.send(&replica, message).await {
                self.context.instance.metrics.count("usage.copy_failed");
                self.counts.borrow_mut().mark_copy_failed(&replica);
                return;
            }
            self.counts
                .borrow_mut()
                .mark_copied(&replica, batch.sequence);
        }
    }

    /// Returns the live member that should hold the copies. Members that failed to accept a copy
    /// are skipped. Members that are not suspect come first, then members in another failure
    /// domain, then the current choice; a hash of both instances' names breaks ties.
    fn choose_replica(&self) -> Option<Member> {
        let instance = &self.context.instance;
        let view = instance.view.load();
        self.counts
            .borrow()
            .choose_replica(&view.members, &instance.settings.failure_domain)
            .cloned()
    }

    /// Appends the pending batches in order, and releases the copies of those that the log holds.
    async fn append_batches(&self) {
        loop {
            let Some(batch) = self.counts.borrow().next_to_append().cloned() else {
                return;
            };
            let instance = &self.context.instance;
            let (id, incarnation) = (instance.id().clone(), instance.incarnation);
            if !self.submit_counts(&id, incarnation, &batch).await {
                return;
            }
            let holders = self.counts.borrow_mut().mark_appended(batch.sequence);
            for holder in holders {
                let message = Message::Release {
                    incarnation,
                    sequence: batch.sequence,
                };
                // A lost release is harmless: the member drops its copy after it has folded the
                // record.
                self.send(&holder, message).await;
            }
        }
    }

    /// Appends the batches of dead instances whose copies this instance holds.
    async fn append_for_dead_instances(&self) {
        let due = {
            let state = self.context.state.borrow();
            let view = self.context.instance.view.load();
            let now_ms = self.context.instance.now_ms();
            let mut copies = self.copies.borrow_mut();
            copies.drop_counted(&state.usage_sequences);
            copies.due(now_ms, &view.members)
        };
        for (of_instance, of_incarnation, batch) in due {
            if !self
                .submit_counts(&of_instance, of_incarnation, &batch)
                .await
            {
                return;
            }
            let instance = &self.context.instance;
            instance.metrics.count("usage.counted_for_dead");
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("of", &of_instance), ("sequence", &batch.sequence)];
            instance
                .timeline
                .record("usage.counted_for_dead", "", &fields);
            let mut copies = self.copies.borrow_mut();
            copies.release(&of_instance, of_incarnation, batch.sequence);
        }
    }

    /// Appends a batch and returns whether the log is known to hold it.
    async fn submit_counts(
        &self,
        of_instance: &Arc<str>,
        of_incarnation: u64,
        batch: &Batch,
    ) -> bool {
        let record = Record::UsageCounts {
            sequence: batch.sequence,
            of_instance: of_instance.clone(),
            of_incarnation,
            figures: batch.figures.clone(),
        };
        let repeated = SubmitError::Refused {
            reason: Rejection::Repeated,
        };
        match self.submit(record).await {
            Ok(_) => true,
            Err(error) => error == repeated,
        }
    }

    /// Sends a message to a peer and returns whether the peer acknowledged it.
    async fn send(&self, member: &Member, message: Message) -> bool {
        let Some(peers) = self.context.instance.peers() else {
            return false;
        };
        let request = PeerRequest::Usage(message);
        let stream = peers.open(&member.instance, &member.peer_address, request);
        let answer = timeout(COPY_TIMEOUT, stream.single(&member.instance)).await;
        matches!(answer, Ok(Ok(PeerReply::Usage(Reply::Held))))
    }

    async fn submit(&self, record: Record) -> Result<u64, SubmitError> {
        match self.context.instance.control() {
            Some(control) => control.submit(record).await,
            None => Err(SubmitError::LogUnavailable),
        }
    }

    /// If this instance holds the usage lease, closes the window whose time is up and reports the
    /// closed windows.
    async fn report(&self) {
        self.lease.step().await;
        self.close_window().await;
        let unreported = {
            let state = self.context.state.borrow();
            windows::unreported(&state)
        };
        for (region, window) in unreported {
            self.report_window(region, window).await;
        }
    }

    async fn close_window(&self) {
        let now_ms = self.context.instance.now_ms();
        let Some(term) = self.lease.term() else {
            self.windows.borrow_mut().on_lease_lost();
            return;
        };
        let record = {
            let state = self.context.state.borrow();
            self.windows.borrow_mut().close(now_ms, term, &state)
        };
        let Some(record) = record else {
            return;
        };
        if let Ok(offset) = self.submit(record).await {
            let instance = &self.context.instance;
            instance.metrics.count("usage.window_closed");
            instance
                .timeline
                .record("usage.window_closed", "", &[("offset", &offset)]);
        }
    }

    async fn report_window(&self, region: Arc<str>, window: u64) {
        let report = {
            let state = self.context.state.borrow();
            let reporter = self.context.instance.id();
            let term = self.lease.term_for(MAX_REPORT_TRANSIT_MS);
            windows::report(term, &state, &region, window, reporter)
        };
        let Some(report) = report else {
            return;
        };
        let usage = self.context.platform.usage.clone();
        let result = usage.report(report).await;
        let kind = match &result {
            Ok(()) => "usage.reported",
            Err(PlatformError::Fenced { .. }) => {
                self.lease.mark_fenced();
                "usage.fenced"
            }
            Err(_) => "usage.report_failed",
        };
        let instance = &self.context.instance;
        instance.metrics.count(kind);
        instance
            .timeline
            .record(kind, "", &[("region", &region), ("window", &window)]);
        if result.is_ok() {
            let _ = self.submit(Record::WindowReported { region, window }).await;
        }
    }
}

#[cfg(test)]
mod tests;
