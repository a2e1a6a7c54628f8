//! Admission control for one endpoint: which requests run, wait or are refused.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    }, //
};

use crate::{
    home::{
        polls::PollState,
        table::{
            Action,
            AdmissionDecision,
            AdmissionRequest,
            EndpointTarget,
            ReadBegin,
            RequestUsage,
            Ticket, //
        }, //
    },
    outcome::{
        NotRun,
        Refusal, //
    },
    routing::fair::FairQueue,
    wire::EndpointStatus, //
};

/// Consecutive failed status reads after which an endpoint counts as unreachable.
const MAX_FAILED_READS: u32 = 3;

/// Maximum queue length per slot of an endpoint.
const MAX_WAITING_PER_SLOT: usize = 64;

/// Assumed tokens per second of a slot before any measurement.
const INITIAL_SLOT_TOKENS_PER_S: u64 = 50;

/// The newest measurement of a slot's speed enters the moving average with the reciprocal of this
/// value as its weight.
const SPEED_EWMA_DIVISOR: u64 = 8;

/// How long after the last interactive request slots stay reserved for interactive requests.
const INTERACTIVE_RESERVE_MS: u64 = 5_000;

/// Slots are reserved only at endpoints with at least this many slots.
const MIN_SLOTS_FOR_RESERVE: u32 = 4;

/// Default retry delay of refused requests.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum retry delay of refused requests.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Retry delay of requests that are refused because the endpoint is leaving. A leaving endpoint
/// gets no new work, regardless of the time until it is gone.
const LEAVING_RETRY_AFTER_MS: u64 = 200;

/// An endpoint at its home, with its running and queued requests.
#[derive(Debug)]
pub(super) struct HomeEndpoint {
    pub(super) target: EndpointTarget,
    pub(super) at_home: bool,
    pub(super) status: Option<EndpointStatus>,
    pub(super) failed_reads: u32,
    pub(super) paused: bool,
    pub(super) version_known: bool,
    pub(super) epoch: u64,
    /// Number of connections that broke, and of restarts that were noticed.
    pub(super) breaks: u64,
    pub(super) running: HashMap<Ticket, AdmissionRequest>,
    /// The running exclusive request ([`AdmissionRequest::exclusive`]), if there is one.
    pub(super) running_exclusive: Option<Ticket>,
    pub(super) queue: FairQueue<Ticket>,
    pub(super) waiting: HashMap<Ticket, AdmissionRequest>,
    pub(super) waiting_exclusive: VecDeque<Ticket>,
    /// Fingerprints of requests whose connection broke since the last successful status read.
    pub(super) broken_fingerprints: Vec<u64>,
    /// Fingerprints already reported for the current crash, so that each counts once.
    pub(super) reported_fingerprints: HashSet<u64>,
    pub(super) slot_tokens_per_s: u64,
    pub(super) last_interactive_ms: Option<u64>,
}

impl HomeEndpoint {
    pub(super) fn new(target: EndpointTarget) -> Self {
        Self {
            target,
            at_home: true,
            status: None,
            failed_reads: 0,
            paused: false,
            version_known: false,
            epoch: 0,
            breaks: 0,
            running: HashMap::new(),
            running_exclusive: None,
            queue: FairQueue::default(),
            waiting: HashMap::new(),
            waiting_exclusive: VecDeque::new(),
            broken_fingerprints: Vec::new(),
            reported_fingerprints: HashSet::new(),
            slot_tokens_per_s: INITIAL_SLOT_TOKENS_PER_S,
            last_interactive_ms: None,
        }
    }

    pub(super) fn version(&self) -> Option<u64> {
        let status = self.status.as_ref()?;
        let is_known = self.version_known && !status.swapping && self.is_reachable();
        is_known.then_some(status.version)
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.status.is_some() && self.failed_reads < MAX_FAILED_READS
    }

    fn is_leaving(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.leaving_in_ms.is_some())
    }

    /// State of the endpoint for the schedule of status reads.
    pub(super) fn poll_state(&self) -> PollState {
        if !self.is_reachable() {
            return PollState::Unreachable;
        }
        let load_failed = self
            .status
            .as_ref()
            .is_some_and(|status| status.failed.is_some());
        let is_stable = self.version().is_some()
            && self.failed_reads == 0
            && self.broken_fingerprints.is_empty()
            && !self.paused
            && !load_failed
            && !self.is_leaving();
        match (is_stable, self.running.is_empty()) {
            (false, _) => PollState::Changing,
            (true, true) => PollState::Idle,
            (true, false) => PollState::Busy,
        }
    }

    /// Refusal for all requests while the endpoint is leaving or unreachable; `None` otherwise.
    fn closed_refusal(&self) -> Option<NotRun> {
        let (reason, retry_after_ms) = if self.is_leaving() {
            ("the endpoint is leaving", LEAVING_RETRY_AFTER_MS)
        } else if !self.is_reachable() {
            ("the endpoint does not answer", RETRY_AFTER_MS)
        } else {
            return None;
        };
        let refusal = Refusal::Unreachable(reason.into());
        Some(NotRun::retry_after(refusal, retry_after_ms))
    }

    pub(super) fn admit(&mut self, request: AdmissionRequest, now_ms: u64) -> AdmissionDecision {
        if let Some(not_run) = self.closed_refusal() {
            return AdmissionDecision::Refuse(not_run);
        }
        if request.oldest_version > 0 && self.version().is_none_or(|v| v < request.oldest_version) {
            let refusal =
                Refusal::Unreachable("the endpoint's weights are too old or unknown".into());
            return AdmissionDecision::Refuse(NotRun::retry_after(refusal, RETRY_AFTER_MS));
        }
        if !request.flow.rollout {
            self.last_interactive_ms = Some(now_ms);
        }
        if self.is_next(&request) && self.has_room(&request, now_ms) {
            self.queue.charge(&request.flow, request.cost_tokens);
            self.start(request);
            return AdmissionDecision::Run;
        }
        if let Some(not_run) = self.overload_refusal(&request, now_ms) {
            return AdmissionDecision::Refuse(not_run);
        }
        if request.exclusive {
            self.waiting_exclusive.push_back(request.ticket);
        } else {
            self.queue
                .push(&request.flow, request.ticket, request.cost_tokens);
        }
        self.waiting.insert(request.ticket, request);
        AdmissionDecision::Wait
    }

    /// Refuses a request at once if the queue is full or the request would start after its
    /// deadline.
    fn overload_refusal(&self, request: &AdmissionRequest, now_ms: u64) -> Option<NotRun> {
        let queued_tokens = self.queue.queued_tokens();
        let tokens_per_s = self.slot_tokens_per_s.max(1) * u64::from(self.target.slots.max(1));
        let wait_ms = queued_tokens * 1_000 / tokens_per_s;
        let is_full =
            self.waiting.len() >= MAX_WAITING_PER_SLOT * self.target.slots.max(1) as usize;
        let misses_deadline = now_ms + wait_ms >= request.deadline_ms;
        (is_full || misses_deadline).then(|| {
            let after_ms = wait_ms.clamp(RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
            NotRun::retry_after(Refusal::Overloaded, after_ms)
        })
    }

    /// Whether no queued request has precedence over this one. Rollouts that wait because of the
    /// reserved slots don't delay interactive requests.
    fn is_next(&self, request: &AdmissionRequest) -> bool {
        if request.flow.rollout || request.exclusive {
            return self.waiting.is_empty();
        }
        self.waiting_exclusive.is_empty() && !self.queue.has_interactive()
    }

    fn has_room(&self, request: &AdmissionRequest, now_ms: u64) -> bool {
        if self.paused || self.running_exclusive.is_some() {
            return false;
        }
        if request.exclusive {
            return self.running.is_empty();
        }
        (self.running.len() as u32) < self.slots_for(request.flow.rollout, now_ms)
    }

    fn start(&mut self, request: AdmissionRequest) {
        if request.exclusive {
            self.running_exclusive = Some(request.ticket);
        }
        self.running.insert(request.ticket, request);
    }

    /// Number of slots for a class of requests. Rollouts leave one slot in eight, and at least one,
    /// free if there were interactive requests recently.
    fn slots_for(&self, rollout: bool, now_ms: u64) -> u32 {
        let slots = self.target.slots.max(1);
        let recently_interactive = self
            .last_interactive_ms
            .is_some_and(|last_ms| now_ms.saturating_sub(last_ms) < INTERACTIVE_RESERVE_MS);
        if rollout && recently_interactive && slots >= MIN_SLOTS_FOR_RESERVE {
            slots - (slots / 8).max(1)
        } else {
            slots
        }
    }

    /// Starts queued requests while there is room.
    pub(super) fn start_waiting(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.next_ticket(now_ms) {
            if let Some(request) = self.waiting.remove(&ticket) {
                self.start(request);
                actions.push(Action::Start(ticket));
            }
        }
    }

    fn next_ticket(&mut self, now_ms: u64) -> Option<Ticket> {
        if self.paused || self.running_exclusive.is_some() || self.closed_refusal().is_some() {
            return None;
        }
        if !self.waiting_exclusive.is_empty() {
            // Other requests wait until the endpoint is idle, so that the exclusive request is not
            // starved.
            return if self.running.is_empty() {
                self.waiting_exclusive.pop_front()
            } else {
                None
            };
        }
        let running = self.running.len() as u32;
        if running >= self.slots_for(false, now_ms) {
            return None;
        }
        let interactive_only = running >= self.slots_for(true, now_ms);
        self.queue.pop(interactive_only).map(|(ticket, _)| ticket)
    }

    pub(super) fn begin_read(&self) -> ReadBegin {
        ReadBegin {
            epoch: self.epoch,
            breaks: self.breaks,
        }
    }

    /// Handles the status that a read returned. One whose read began before a connection broke or a
    /// restart was noticed may show the endpoint as it was before, so it is ignored.
    pub(super) fn on_status(
        &mut self,
        begun: ReadBegin,
        status: EndpointStatus,
        actions: &mut Vec<Action>,
    ) {
        if begun.breaks != self.breaks {
            return;
        }
        self.failed_reads = 0;
        let epoch = self.epoch;
        let previous = self.status.as_ref();
        let restarted = previous.is_some_and(|previous| previous.boot != status.boot);
        let version_changed = previous.is_some_and(|previous| previous.version != status.version);
        if restarted || version_changed || status.swapping {
            self.epoch += 1;
        }
        if restarted {
            self.breaks += 1;
            self.crashed(actions);
        }
        self.broken_fingerprints.clear();
        self.reported_fingerprints.clear();
        // A status read that began before a pause ended may still show the previous weights.
        self.version_known |= begun.epoch == epoch;
        self.status = Some(status);
    }

    /// Handles a failed status read. An endpoint that becomes unreachable after connections broke
    /// has crashed, unless it was leaving.
    pub(super) fn on_status_failure(&mut self, actions: &mut Vec<Action>) {
        self.failed_reads = self.failed_reads.saturating_add(1);
        if self.failed_reads >= MAX_FAILED_READS
            && !self.broken_fingerprints.is_empty()
            && !self.is_leaving()
        {
            self.crashed(actions);
        }
    }

    /// Handles an endpoint that does not answer status reads on a new connection either.
    pub(super) fn on_unreachable(&mut self, actions: &mut Vec<Action>) {
        self.failed_reads = self.failed_reads.max(MAX_FAILED_READS - 1);
        self.on_status_failure(actions);
        self.refuse_if_closed(actions);
    }

    /// Reports the requests that were in flight and not yet reported for this crash.
    fn crashed(&mut self, actions: &mut Vec<Action>) {
        let running = self.running.values().map(|request| request.fingerprint);
        let in_flight: HashSet<u64> = running.chain(self.broken_fingerprints.drain(..)).collect();
        let unreported = in_flight.difference(&self.reported_fingerprints).copied();
        let mut fingerprints: Vec<u64> = unreported.collect();
        fingerprints.sort_unstable();
        self.reported_fingerprints.extend(&fingerprints);
        if !fingerprints.is_empty() {
            actions.push(Action::Crashed {
                endpoint: self.target.key,
                fingerprints,
            });
        }
    }

    /// Refuses all queued requests if the endpoint is leaving or unreachable.
    pub(super) fn refuse_if_closed(&mut self, actions: &mut Vec<Action>) {
        if let Some(not_run) = self.closed_refusal() {
            self.refuse_all(&not_run, actions);
        }
    }

    pub(super) fn refuse_all(&mut self, not_run: &NotRun, actions: &mut Vec<Action>) {
        for (ticket, request) in self.waiting.drain() {
            self.queue.remove(&request.flow, &ticket);
            actions.push(Action::Refuse(ticket, not_run.clone()));
        }
        self.waiting_exclusive.clear();
    }

    pub(super) fn release(&mut self, ticket: Ticket, usage: Option<RequestUsage>) {
        if let Some(request) = self.waiting.remove(&ticket) {
            self.queue.remove(&request.flow, &ticket);
            self.waiting_exclusive.retain(|other| *other != ticket);
        }
        let Some(request) = self.running.remove(&ticket) else {
            return;
        };
        self.running_exclusive = self
            .running_exclusive
            .filter(|exclusive| *exclusive != ticket);
        let tokens = usage.map_or(0, |usage| usage.tokens);
        self.queue
            .settle(&request.flow, request.cost_tokens, tokens);
        if let Some(usage) = usage.filter(|usage| usage.ran_ms > 0 && usage.tokens > 0) {
            let measured = usage.tokens * 1_000 / usage.ran_ms;
            let weighted_previous = self.slot_tokens_per_s * (SPEED_EWMA_DIVISOR - 1);
            self.slot_tokens_per_s = (weighted_previous + measured).div_ceil(SPEED_EWMA_DIVISOR);
        }
    }
}
