//! One endpoint at home: who runs there, who waits, and who is refused instead.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    }, //
};

use crate::{
    home::{
        polls::Standing,
        table::{
            Action,
            Offer,
            SlotTarget,
            Ticket,
            Use,
            Verdict, //
        }, //
    },
    outcome::{
        NotRun,
        Refusal, //
    },
    routing::fair::FairQueue,
    wire::EndpointStatus, //
};

/// Status reads in a row that fail before an endpoint counts as unreachable.
const FAILED_READS: u32 = 3;

/// Requests that may wait for one slot of an endpoint.
const WAITING_PER_SLOT: usize = 64;

/// Tokens a second that one slot is expected to give before it was measured.
const FIRST_SLOT_TOKENS_PER_S: u64 = 50;

/// Weight of a new measurement of a slot's speed, as one part in so many.
const SPEED_SMOOTHING: u64 = 8;

/// How long a slot is kept free for interactive requests after the last of them.
const INTERACTIVE_RECENT_MS: u64 = 5_000;

/// Slots are kept free for interactive requests only where there are at least this many.
const SLOTS_WITH_RESERVE: u32 = 4;

/// When a refused caller may try again, where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// Longest time that a refused caller is sent away for.
const LONGEST_RETRY_AFTER_MS: u64 = 30_000;

/// An endpoint that says it leaves gets no new work, however long it still has.
const LEAVING_RETRY_MS: u64 = 200;

/// One endpoint at home, and the requests there.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) target: SlotTarget,
    pub(super) at_home: bool,
    pub(super) status: Option<EndpointStatus>,
    pub(super) failed_reads: u32,
    pub(super) held: bool,
    pub(super) version_known: bool,
    pub(super) epoch: u64,
    pub(super) running: HashMap<Ticket, Offer>,
    /// The running request that nothing may run beside.
    pub(super) alone: Option<Ticket>,
    pub(super) queue: FairQueue<Ticket>,
    pub(super) waiting: HashMap<Ticket, Offer>,
    pub(super) waiting_alone: VecDeque<Ticket>,
    /// Fingerprints whose connections broke since the last good status.
    pub(super) broken: Vec<u64>,
    /// Fingerprints that were named at the present crash, so that they count once.
    pub(super) named: HashSet<u64>,
    pub(super) slot_tokens_per_s: u64,
    pub(super) interactive_at_ms: Option<u64>,
}

impl Slot {
    pub(super) fn new(target: SlotTarget) -> Self {
        Self {
            target,
            at_home: true,
            status: None,
            failed_reads: 0,
            held: false,
            version_known: false,
            epoch: 0,
            running: HashMap::new(),
            alone: None,
            queue: FairQueue::default(),
            waiting: HashMap::new(),
            waiting_alone: VecDeque::new(),
            broken: Vec::new(),
            named: HashSet::new(),
            slot_tokens_per_s: FIRST_SLOT_TOKENS_PER_S,
            interactive_at_ms: None,
        }
    }

    pub(super) fn version(&self) -> Option<u64> {
        let status = self.status.as_ref()?;
        let known = self.version_known && !status.swapping && self.is_reachable();
        known.then_some(status.version)
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.status.is_some() && self.failed_reads < FAILED_READS
    }

    fn is_leaving(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.leaving_in_ms.is_some())
    }

    /// What the plan of status reads needs to know.
    pub(super) fn standing(&self) -> Standing {
        if !self.is_reachable() {
            return Standing::Lost;
        }
        let failed = self
            .status
            .as_ref()
            .is_some_and(|status| status.failed.is_some());
        let is_settled = self.version().is_some()
            && self.failed_reads == 0
            && self.broken.is_empty()
            && !self.held
            && !failed
            && !self.is_leaving();
        match (is_settled, self.running.is_empty()) {
            (false, _) => Standing::Changing,
            (true, true) => Standing::Idle,
            (true, false) => Standing::Busy,
        }
    }

    /// Why no request can wait here, if that is so.
    fn closed(&self) -> Option<NotRun> {
        let (why, retry_after_ms) = if self.is_leaving() {
            ("the endpoint is leaving", LEAVING_RETRY_MS)
        } else if !self.is_reachable() {
            ("the endpoint does not answer", RETRY_AFTER_MS)
        } else {
            return None;
        };
        let refusal = Refusal::Unreachable(why.into());
        Some(NotRun::retry_after(refusal, retry_after_ms))
    }

    pub(super) fn offer(&mut self, offer: Offer, now_ms: u64) -> Verdict {
        if let Some(not_run) = self.closed() {
            return Verdict::Refuse(not_run);
        }
        if offer.oldest_version > 0 && self.version().is_none_or(|v| v < offer.oldest_version) {
            let old = Refusal::Unreachable("the endpoint's weights are too old or unknown".into());
            return Verdict::Refuse(NotRun::retry_after(old, RETRY_AFTER_MS));
        }
        if !offer.flow.rollout {
            self.interactive_at_ms = Some(now_ms);
        }
        if self.is_next(&offer) && self.has_room(&offer, now_ms) {
            self.queue.charge(&offer.flow, offer.cost_tokens);
            self.start(offer);
            return Verdict::Run;
        }
        if let Some(not_run) = self.too_late(&offer, now_ms) {
            return Verdict::Refuse(not_run);
        }
        if offer.alone {
            self.waiting_alone.push_back(offer.ticket);
        } else {
            self.queue
                .push(&offer.flow, offer.ticket, offer.cost_tokens);
        }
        self.waiting.insert(offer.ticket, offer);
        Verdict::Wait
    }

    /// Sheds a request at once when its turn would come after its deadline.
    fn too_late(&self, offer: &Offer, now_ms: u64) -> Option<NotRun> {
        let ahead = self.queue.ahead_tokens();
        let speed = self.slot_tokens_per_s.max(1) * u64::from(self.target.slots.max(1));
        let wait_ms = ahead * 1_000 / speed;
        let full = self.waiting.len() >= WAITING_PER_SLOT * self.target.slots.max(1) as usize;
        let late = now_ms + wait_ms >= offer.deadline_ms;
        (full || late).then(|| {
            let after_ms = wait_ms.clamp(RETRY_AFTER_MS, LONGEST_RETRY_AFTER_MS);
            NotRun::retry_after(Refusal::Overloaded, after_ms)
        })
    }

    /// Whether nobody waits who comes before a new request. Rollouts that wait because a slot is
    /// kept for callers don't hold a caller back.
    fn is_next(&self, offer: &Offer) -> bool {
        if offer.flow.rollout || offer.alone {
            return self.waiting.is_empty();
        }
        self.waiting_alone.is_empty() && !self.queue.has_interactive()
    }

    fn has_room(&self, offer: &Offer, now_ms: u64) -> bool {
        if self.held || self.alone.is_some() {
            return false;
        }
        if offer.alone {
            return self.running.is_empty();
        }
        (self.running.len() as u32) < self.slots_for(offer.flow.rollout, now_ms)
    }

    fn start(&mut self, offer: Offer) {
        if offer.alone {
            self.alone = Some(offer.ticket);
        }
        self.running.insert(offer.ticket, offer);
    }

    /// Rollouts leave one slot in eight to interactive requests where there were some lately.
    fn slots_for(&self, rollout: bool, now_ms: u64) -> u32 {
        let slots = self.target.slots.max(1);
        let recent = self
            .interactive_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < INTERACTIVE_RECENT_MS);
        if rollout && recent && slots >= SLOTS_WITH_RESERVE {
            slots - (slots / 8).max(1)
        } else {
            slots
        }
    }

    /// Starts waiting requests while there is room.
    pub(super) fn fill(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.next(now_ms) {
            if let Some(offer) = self.waiting.remove(&ticket) {
                self.start(offer);
                actions.push(Action::Start(ticket));
            }
        }
    }

    fn next(&mut self, now_ms: u64) -> Option<Ticket> {
        if self.held || self.alone.is_some() || self.closed().is_some() {
            return None;
        }
        if !self.waiting_alone.is_empty() {
            // Others wait until the endpoint is empty, so that the lone one gets its turn.
            return if self.running.is_empty() {
                self.waiting_alone.pop_front()
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

    pub(super) fn take_status(
        &mut self,
        asked: u64,
        status: EndpointStatus,
        actions: &mut Vec<Action>,
    ) {
        self.failed_reads = 0;
        let epoch = self.epoch;
        let before = self.status.as_ref();
        let restarted = before.is_some_and(|before| before.boot != status.boot);
        let changed = before.is_some_and(|before| before.version != status.version);
        if restarted || changed || status.swapping {
            self.epoch += 1;
        }
        if restarted {
            self.crashed(actions);
        }
        self.broken.clear();
        self.named.clear();
        // A read that began before a hold ended may still show the weights from before.
        self.version_known |= asked == epoch;
        self.status = Some(status);
    }

    /// An endpoint that stays away after connections broke has crashed, unless it was leaving.
    pub(super) fn miss_status(&mut self, actions: &mut Vec<Action>) {
        self.failed_reads = self.failed_reads.saturating_add(1);
        if self.failed_reads >= FAILED_READS && !self.broken.is_empty() && !self.is_leaving() {
            self.crashed(actions);
        }
    }

    /// The endpoint gives no status on a new connection either.
    pub(super) fn lose(&mut self, actions: &mut Vec<Action>) {
        self.failed_reads = self.failed_reads.max(FAILED_READS - 1);
        self.miss_status(actions);
        self.settle_waiting(actions);
    }

    /// Names what was in flight and has not been named for this crash yet.
    fn crashed(&mut self, actions: &mut Vec<Action>) {
        let running = self.running.values().map(|offer| offer.fingerprint);
        let in_flight: HashSet<u64> = running.chain(self.broken.drain(..)).collect();
        let unnamed = in_flight.difference(&self.named).copied();
        let mut fingerprints: Vec<u64> = unnamed.collect();
        fingerprints.sort_unstable();
        self.named.extend(&fingerprints);
        if !fingerprints.is_empty() {
            actions.push(Action::Crashed {
                endpoint: self.target.key,
                fingerprints,
            });
        }
    }

    /// Refuses what waits for an endpoint that can't take it any more.
    pub(super) fn settle_waiting(&mut self, actions: &mut Vec<Action>) {
        if let Some(not_run) = self.closed() {
            self.refuse_all(&not_run, actions);
        }
    }

    pub(super) fn refuse_all(&mut self, not_run: &NotRun, actions: &mut Vec<Action>) {
        for (ticket, offer) in self.waiting.drain() {
            self.queue.remove(&offer.flow, &ticket);
            actions.push(Action::Refuse(ticket, not_run.clone()));
        }
        self.waiting_alone.clear();
    }

    pub(super) fn leave(&mut self, ticket: Ticket, used: Option<Use>) {
        if let Some(offer) = self.waiting.remove(&ticket) {
            self.queue.remove(&offer.flow, &ticket);
            self.waiting_alone.retain(|other| *other != ticket);
        }
        let Some(offer) = self.running.remove(&ticket) else {
            return;
        };
        self.alone = self.alone.filter(|alone| *alone != ticket);
        let tokens = used.map_or(0, |used| used.tokens);
        self.queue.settle(&offer.flow, offer.cost_tokens, tokens);
        if let Some(used) = used.filter(|used| used.ran_ms > 0 && used.tokens > 0) {
            let measured = used.tokens * 1_000 / used.ran_ms;
            let kept = self.slot_tokens_per_s * (SPEED_SMOOTHING - 1);
            self.slot_tokens_per_s = (kept + measured).div_ceil(SPEED_SMOOTHING);
        }
    }
}
