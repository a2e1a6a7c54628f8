//! The log client's actor: passes events to the components that make decisions and carries out
//! their actions.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    ActorFutureExt,
    AsyncContext,
    Context,
    StreamHandler,
    WrapFuture, //
};
use bytes::Bytes;
use futures::channel::{
    mpsc,
    oneshot, //
};

use crate::{
    controller::ControlContext,
    instance::Instance,
    log::{
        append::{
            Appender,
            SubmissionResult,
            Ticket, //
        },
        buffer::RecordBuffer,
        denials::Denials,
        follower::{
            Follower,
            Source, //
        },
        freshness::Freshness,
        serve::WaitingPull,
        snapshots::{
            SnapshotPolicy,
            SnapshotTracker, //
        },
        Command, //
    },
    platform::{
        LogRead,
        PlatformError, //
    },
    record::Record,
    state::SubmitError,
    view::Member,
    wire::WithdrawnKey, //
};

/// Interval of the timer that ends expired submissions and pulls, and that sends due denials,
/// status requests and snapshots.
const TICK_INTERVAL_MS: u64 = 25;

/// Time after which a submission fails if its record has not been read back.
pub(super) const SUBMIT_TIMEOUT_MS: u64 = 4_000;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 512;

/// A read counts as failed when it takes this much longer than the long-poll time that it
/// requested.
const READ_OVERDUE_MS: u64 = 1_000;

/// The caller to notify when a submission completes.
pub(super) enum Waiter {
    Submit(oneshot::Sender<Result<u64, SubmitError>>),
    Withdraw(Arc<str>, oneshot::Sender<Result<WithdrawnKey, SubmitError>>),
}

/// The state of the log client, which runs on the control thread.
pub(crate) struct LogActor {
    pub(crate) context: ControlContext,
    pub(crate) appender: Appender,
    pub(crate) buffer: RecordBuffer,
    pub(crate) denials: Denials,
    pub(crate) follower: Follower,
    pub(crate) freshness: Freshness,
    pub(crate) snapshot_policy: SnapshotPolicy,
    pub(crate) snapshot_tracker: SnapshotTracker,
    pub(crate) waiting_pulls: Vec<WaitingPull>,
    /// Whether the last successful read reached the head of the log.
    pub(crate) is_at_head: bool,
    pub(crate) is_polling_statuses: bool,
    pub(crate) next_status_poll_ms: u64,
    /// The earliest retained offset, as of the last read of the log.
    pub(crate) earliest: u64,
    /// Whether the instance was fresh when the freshness was last published.
    was_fresh: bool,
    /// Numbers of the reads in flight that are not overdue.
    reads_in_flight: BTreeSet<u64>,
    last_read_number: u64,
    last_members: Arc<Vec<Member>>,
    waiters: BTreeMap<Ticket, Waiter>,
}

/// Starts the log client on the current thread.
pub(crate) fn start(context: ControlContext, commands: mpsc::UnboundedReceiver<Command>) {
    LogActor::create(|actor| {
        actor.add_stream(commands);
        LogActor::new(context)
    });
}

impl Actor for LogActor {
    type Context = Context<Self>;

    fn started(&mut self, actor: &mut Self::Context) {
        actor.run_interval(Duration::from_millis(TICK_INTERVAL_MS), Self::tick);
        self.read_next(actor);
    }
}

impl StreamHandler<Command> for LogActor {
    fn handle(&mut self, command: Command, actor: &mut Self::Context) {
        match command {
            Command::Submit { record, answer } => {
                self.submit(record, SUBMIT_TIMEOUT_MS, Waiter::Submit(answer));
            }
            Command::Withdraw { key_id, answer } => self.withdraw(key_id, answer, actor),
            Command::Peer { message, reply } => self.serve(message, reply),
        }
        self.append_next(actor);
    }
}

impl LogActor {
    fn new(context: ControlContext) -> Self {
        let id = context.instance.id().clone();
        let now_ms = context.instance.now_ms();
        let failure_domain = context.instance.settings.failure_domain.clone();
        Self {
            appender: Appender::new(id.clone(), context.instance.incarnation),
            buffer: RecordBuffer::default(),
            denials: Denials::default(),
            follower: Follower::new(id.clone(), failure_domain),
            freshness: Freshness::new(id, now_ms),
            snapshot_policy: SnapshotPolicy::default(),
            snapshot_tracker: SnapshotTracker::default(),
            waiting_pulls: Vec::new(),
            is_at_head: false,
            is_polling_statuses: false,
            next_status_poll_ms: 0,
            earliest: 0,
            was_fresh: false,
            reads_in_flight: BTreeSet::new(),
            last_read_number: 0,
            last_members: Arc::default(),
            waiters: BTreeMap::new(),
            context,
        }
    }

    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.context.instance
    }

    pub(crate) fn folded(&self) -> u64 {
        self.context.state.borrow().folded
    }

    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.instance().view.load().members.clone()
    }

    fn tick(&mut self, actor: &mut Context<Self>) {
        let now_ms = self.instance().now_ms();
        let expired = self.appender.expire(now_ms);
        self.complete_submissions(expired);
        self.refresh_members();
        self.expire_pulls(now_ms);
        self.poll_statuses(now_ms, actor);
        self.broadcast_denials(now_ms, actor);
        self.append_denials(now_ms);
        self.write_snapshot(now_ms);
        self.publish_freshness(now_ms);
        self.append_next(actor);
    }

    /// Passes a changed member list on; on most ticks the list is unchanged.
    fn refresh_members(&mut self) {
        let members = self.members();
        if !Arc::ptr_eq(&members, &self.last_members) {
            let now_ms = self.instance().now_ms();
            self.freshness.update_members(now_ms, &members);
            self.last_members = members;
        }
    }

    pub(super) fn submit(&mut self, record: Record, wait_ms: u64, waiter: Waiter) {
        let deadline_ms = self.instance().now_ms() + wait_ms;
        match self.appender.submit(record, deadline_ms) {
            Ok(ticket) => {
                self.waiters.insert(ticket, waiter);
            }
            Err(error) => self.answer(waiter, Err(error)),
        }
    }

    /// Sends the results of completed submissions to their callers.
    pub(crate) fn complete_submissions(&mut self, completed: Vec<SubmissionResult>) {
        for (ticket, result) in completed {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                self.answer(waiter, result);
            }
        }
    }

    /// Sends a result to the caller of a submission. A caller that has dropped its receiver is
    /// ignored.
    pub(super) fn answer(&self, waiter: Waiter, result: Result<u64, SubmitError>) {
        match waiter {
            Waiter::Submit(answer) => {
                let _ = answer.send(result);
            }
            Waiter::Withdraw(key_id, answer) => {
                let _ = answer.send(self.withdrawal_result(key_id, result));
            }
        }
    }

    /// Returns the result of a withdrawal for the operator. While the log is unreachable, the
    /// withdrawal succeeds only once more than half of the members deny the key: an instance that
    /// stays fresh through a majority then learns of the denial from one of them.
    fn withdrawal_result(
        &self,
        key_id: Arc<str>,
        result: Result<u64, SubmitError>,
    ) -> Result<WithdrawnKey, SubmitError> {
        // `Refused` means that the log already holds another withdrawal of the same key.
        let durable = matches!(result, Ok(_) | Err(SubmitError::Refused { .. }));
        let acknowledged_by = self.denials.acknowledged_by(&key_id).into_iter().flatten();
        if durable || self.freshness.is_majority(acknowledged_by) {
            return Ok(WithdrawnKey { key_id, durable });
        }
        Err(SubmitError::Unknown)
    }

    fn append_next(&mut self, actor: &mut Context<Self>) {
        let now_ms = self.instance().now_ms();
        let members = self.members().len();
        let Some(records) = self.appender.next_call(now_ms, members) else {
            return;
        };
        self.instance().metrics.count("log.append_call");
        let log = self.context.platform.log.clone();
        let call = async move { log.append(records).await };
        actor.spawn(call.into_actor(self).map(|result, this, actor| {
            this.appended(&result);
            this.append_next(actor);
        }));
    }

    fn appended(&mut self, result: &Result<u64, PlatformError>) {
        let now_ms = self.instance().now_ms();
        self.appender.call_completed(result, now_ms);
        if let Err(error) = result {
            self.instance().metrics.count("log.append_failed");
            let timeline = &self.instance().timeline;
            timeline.record("log.append_failed", "", &[("error", error)]);
        }
    }

    /// Starts the next read. At any time exactly one read that is not overdue is in flight, or a
    /// pause runs.
    fn read_next(&mut self, actor: &mut Context<Self>) {
        let now_ms = self.instance().now_ms();
        let members = self.members();
        match self.follower.next_source(now_ms, &members, self.folded()) {
            Source::Log { from, wait_ms } => self.read_log(now_ms, from, wait_ms, actor),
            Source::Peer(peer) => self.pull(now_ms, peer, actor),
            Source::Pause { wait_ms } => {
                actor.run_later(Duration::from_millis(wait_ms), Self::read_next);
            }
        }
    }

    fn read_log(&mut self, requested_ms: u64, from: u64, wait_ms: u64, actor: &mut Context<Self>) {
        self.last_read_number += 1;
        let read_number = self.last_read_number;
        self.reads_in_flight.insert(read_number);
        let log = self.context.platform.log.clone();
        let call = async move { log.read(from, MAX_READ_RECORDS, wait_ms).await };
        actor.spawn(call.into_actor(self).map(move |result, this, actor| {
            if this.reads_in_flight.remove(&read_number) {
                this.log_answered(requested_ms, from, result);
                this.read_next(actor);
            } else if let Ok(read) = result {
                this.log_read(requested_ms, from, read);
            }
        }));
        let overdue = Duration::from_millis(wait_ms + READ_OVERDUE_MS);
        actor.run_later(overdue, move |this, actor| {
            this.read_overdue(read_number, actor)
        });
    }

    /// Handles a read that has exceeded its timeout: the log counts as unreachable. If the records
    /// arrive later they are still used, but the next read does not wait for them, because the
    /// connection may be dead.
    fn read_overdue(&mut self, read_number: u64, actor: &mut Context<Self>) {
        if !self.reads_in_flight.remove(&read_number) {
            return;
        }
        let now_ms = self.instance().now_ms();
        let reason = "slow".into();
        self.log_failed(now_ms, &PlatformError::Unknown { reason });
        self.publish_freshness(now_ms);
        self.read_next(actor);
    }

    fn log_answered(
        &mut self,
        requested_ms: u64,
        from: u64,
        result: Result<LogRead, PlatformError>,
    ) {
        let now_ms = self.instance().now_ms();
        match result {
            Ok(read) if read.earliest > from => self.truncated(now_ms, read.earliest),
            Ok(read) => self.log_read(requested_ms, from, read),
            Err(PlatformError::Truncated { earliest }) => self.truncated(now_ms, earliest),
            Err(error) => self.log_failed(now_ms, &error),
        }
        self.publish_freshness(now_ms);
    }

    fn log_read(&mut self, requested_ms: u64, from: u64, read: LogRead) {
        if self.follower.is_log_failing() {
            self.instance().timeline.record("log.back", "", &[]);
        }
        self.follower.log_read();
        self.freshness.log_reached(self.instance().now_ms());
        self.earliest = read.earliest;
        let records: Vec<(u64, Bytes)> = read
            .records
            .into_iter()
            .map(|record| (record.offset, record.data))
            .collect();
        if self.follower.is_scanning() {
            self.scan_read(from, read.earliest, read.head, &records);
            return;
        }
        self.is_at_head = from + records.len() as u64 >= read.head;
        self.apply_records(records);
        if self.folded() > read.head {
            self.instance().metrics.count("log.head_behind");
        }
        if self.folded() == read.head {
            let members = self.members();
            self.freshness.log_confirmed(requested_ms, &members);
        }
    }

    fn log_failed(&mut self, now_ms: u64, error: &PlatformError) {
        if !self.follower.is_log_failing() {
            let timeline = &self.instance().timeline;
            timeline.record("log.away", "", &[("error", error)]);
        }
        self.instance().metrics.count("log.read_failed");
        self.is_at_head = false;
        let members = self.members();
        self.follower.log_failed(now_ms, &members);
        self.freshness.log_failed(now_ms);
        self.snapshot_policy.log_unavailable();
        self.answer_all_pulls();
    }

    /// Publishes the time until which this instance is fresh, that is, may serve requests that
    /// carry an API key. Records an event when the instance becomes fresh or stops being fresh.
    pub(crate) fn publish_freshness(&mut self, now_ms: u64) {
        let until_ms = self.freshness.fresh_until_ms();
        self.instance().view.set_fresh_until_ms(until_ms);
        let is_fresh = now_ms < until_ms;
        if is_fresh != self.was_fresh {
            self.was_fresh = is_fresh;
            let kind = if is_fresh {
                "freshness.gained"
            } else {
                "freshness.lost"
            };
            self.instance().timeline.record(kind, "", &[]);
            self.instance()
                .metrics
                .set_gauge("log.fresh", is_fresh.into());
        }
    }

    /// Publishes the freshness and starts the next read, after a peer's answer was processed.
    pub(crate) fn resume_reading(&mut self, actor: &mut Context<Self>) {
        let now_ms = self.instance().now_ms();
        self.publish_freshness(now_ms);
        self.read_next(actor);
    }
}
