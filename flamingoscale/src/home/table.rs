//! What a home decides: which request an endpoint gets next, and which is refused instead.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet,
        VecDeque, //
    },
    sync::Arc, //
};

use crate::{
    home::HomeFacts,
    outcome::{
        NotRun,
        Refusal, //
    },
    routing::fair::{
        FairQueue,
        Flow, //
    },
    view::EndpointKey,
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

/// Names one request at one home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One request that asks for a place at an endpoint.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Its name at this home.
    pub ticket: Ticket,
    /// Whose turn it takes.
    pub flow: Flow,
    /// The tokens that it is expected to use.
    pub cost_tokens: u64,
    /// When its caller gives up.
    pub deadline_ms: u64,
    /// The oldest weight version that may run it; 0 for any.
    pub oldest_version: u64,
    /// Whether nothing else may run beside it.
    pub alone: bool,
    /// Its fingerprint, which is suspect if the endpoint crashes.
    pub fingerprint: u64,
}

/// What becomes of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits for its turn.
    Wait,
    /// It is refused; nothing ran.
    Refuse(NotRun),
}

/// What a home does after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a waiting request.
    Start(Ticket),
    /// Refuses a waiting request.
    Refuse(Ticket, NotRun),
    /// The endpoint crashed with these fingerprints in flight.
    Crashed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What it ran; only one where that ran alone.
        fingerprints: Vec<u64>,
    },
}

/// What an endpoint runs at the moment that a request starts there; the same reading after the
/// request's end shows that no other weights can have taken part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReading {
    /// The version.
    pub version: u64,
    /// The endpoint's boot.
    pub boot: u64,
    /// Grows with every hold, swap and restart.
    pub epoch: u64,
}

/// The endpoint as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotTarget {
    /// Its key.
    pub key: EndpointKey,
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Debug)]
struct Slot {
    target: SlotTarget,
    at_home: bool,
    status: Option<EndpointStatus>,
    failed_reads: u32,
    held: bool,
    version_known: bool,
    epoch: u64,
    running: HashMap<Ticket, Offer>,
    /// The running request that nothing may run beside.
    alone: Option<Ticket>,
    queue: FairQueue<Ticket>,
    waiting: HashMap<Ticket, Offer>,
    waiting_alone: VecDeque<Ticket>,
    /// Fingerprints whose connections broke since the last good status.
    broken: Vec<u64>,
    /// Fingerprints that were named at the present crash, so that they count once.
    named: HashSet<u64>,
    slot_tokens_per_s: u64,
    interactive_at_ms: Option<u64>,
}

/// The endpoints that this instance is home of, and the requests there.
#[derive(Debug, Default)]
pub struct HomeTable {
    slots: BTreeMap<EndpointKey, Slot>,
}

impl HomeTable {
    /// Takes in which endpoints are at home now. One that is not any more keeps its running
    /// requests, gets no new ones, and is forgotten once they are through.
    pub fn sync(&mut self, targets: Vec<SlotTarget>) -> Vec<Action> {
        for slot in self.slots.values_mut() {
            slot.at_home = false;
        }
        for target in targets {
            let slot = self
                .slots
                .entry(target.key)
                .or_insert_with(|| Slot::new(target.clone()));
            slot.at_home = true;
            slot.target = target;
        }
        let mut actions = Vec::new();
        for slot in self.slots.values_mut().filter(|slot| !slot.at_home) {
            let moved = Refusal::Unreachable("the endpoint has another home now".into());
            slot.refuse_all(&NotRun::retry_after(moved, 0), &mut actions);
        }
        self.slots
            .retain(|_, slot| slot.at_home || !slot.running.is_empty());
        actions
    }

    /// The endpoints whose status has to be read: key and address.
    pub fn targets(&self) -> Vec<(EndpointKey, Arc<str>)> {
        self.slots
            .values()
            .map(|slot| (slot.target.key, slot.target.address.clone()))
            .collect()
    }

    /// The keys of endpoints at home.
    pub fn at_home(&self) -> Vec<EndpointKey> {
        let slots = self.slots.iter().filter(|(_, slot)| slot.at_home);
        slots.map(|(key, _)| *key).collect()
    }

    /// Requests of callers, and samples, that run or wait here, by service.
    pub fn loads(&self) -> BTreeMap<Arc<str>, (u32, u32)> {
        let mut loads: BTreeMap<Arc<str>, (u32, u32)> = BTreeMap::new();
        for slot in self.slots.values() {
            let load = loads.entry(slot.target.service.clone()).or_default();
            for offer in slot.running.values().chain(slot.waiting.values()) {
                match offer.flow.rollout {
                    false => load.0 += 1,
                    true => load.1 += 1,
                }
            }
        }
        loads
    }

    /// What is known of an endpoint at home.
    pub fn facts(&self, endpoint: EndpointKey) -> Option<HomeFacts> {
        let slot = self.slots.get(&endpoint).filter(|slot| slot.at_home)?;
        let status = slot.status.as_ref();
        Some(HomeFacts {
            version: slot.version(),
            swapping: status.is_some_and(|status| status.swapping),
            failed: status.and_then(|status| status.failed.as_deref().map(Arc::from)),
            boot: status.map_or(0, |status| status.boot),
            in_flight: slot.running.len() as u32,
            queued: slot.waiting.len() as u32,
            leaving_in_ms: status.and_then(|status| status.leaving_in_ms),
            reachable: slot.is_reachable(),
        })
    }

    /// The address and id of an endpoint that is or was at home.
    pub fn target(&self, endpoint: EndpointKey) -> Option<&SlotTarget> {
        self.slots.get(&endpoint).map(|slot| &slot.target)
    }

    /// How long an endpoint still has, once it leaves.
    pub fn leaving_in_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        let slot = self.slots.get(&endpoint)?;
        slot.status.as_ref()?.leaving_in_ms
    }

    /// Requests in flight and waiting at an endpoint, for the entries' guess of its load.
    pub fn requests(&self, endpoint: EndpointKey) -> u32 {
        self.slots
            .get(&endpoint)
            .map_or(0, |slot| (slot.running.len() + slot.waiting.len()) as u32)
    }

    /// Stops or resumes new work for an endpoint. Either way its version is unknown until read.
    pub fn hold(&mut self, endpoint: EndpointKey, held: bool, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            slot.held = held;
            slot.version_known = false;
            slot.epoch += 1;
            slot.fill(now_ms, &mut actions);
        }
        actions
    }

    /// Asks for a place.
    pub fn offer(&mut self, endpoint: EndpointKey, offer: Offer, now_ms: u64) -> Verdict {
        match self.slots.get_mut(&endpoint) {
            Some(slot) if slot.at_home => slot.offer(offer, now_ms),
            _ => {
                let elsewhere = Refusal::Unreachable("this instance is not its home".into());
                Verdict::Refuse(NotRun::retry_after(elsewhere, 0))
            }
        }
    }

    /// The version that a request starts on; none where it can't be known.
    pub fn reading(&self, endpoint: EndpointKey) -> Option<VersionReading> {
        let slot = self.slots.get(&endpoint)?;
        let status = slot.status.as_ref()?;
        Some(VersionReading {
            version: slot.version()?,
            boot: status.boot,
            epoch: slot.epoch,
        })
    }

    /// The epoch to hand back with a status that is read from now on.
    pub fn epoch(&self, endpoint: EndpointKey) -> u64 {
        self.slots.get(&endpoint).map_or(0, |slot| slot.epoch)
    }

    /// Takes in a status read that began in epoch `asked`, or that it failed.
    pub fn status(
        &mut self,
        endpoint: EndpointKey,
        asked: u64,
        status: Option<EndpointStatus>,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(slot) = self.slots.get_mut(&endpoint) else {
            return actions;
        };
        match status {
            Some(status) => slot.take_status(asked, status, &mut actions),
            None => slot.miss_status(&mut actions),
        }
        slot.settle_waiting(&mut actions);
        slot.fill(now_ms, &mut actions);
        actions
    }

    /// Ends a request, running or waiting: `used_tokens` in `ran_ms` where it ran to its end.
    pub fn leave(
        &mut self,
        endpoint: EndpointKey,
        ticket: Ticket,
        used: Option<Use>,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(slot) = self.slots.get_mut(&endpoint) else {
            return actions;
        };
        slot.leave(ticket, used);
        slot.fill(now_ms, &mut actions);
        if !slot.at_home && slot.running.is_empty() {
            self.slots.remove(&endpoint);
        }
        actions
    }

    /// Says that an endpoint gives no status on new connections either.
    pub fn lost(&mut self, endpoint: EndpointKey) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            slot.failed_reads = slot.failed_reads.max(FAILED_READS - 1);
            slot.miss_status(&mut actions);
            slot.settle_waiting(&mut actions);
        }
        actions
    }

    /// Says that the connection broke while the request ran: it was in flight at a crash if the
    /// endpoint comes back with another boot, or not at all.
    pub fn broke(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            if let Some(offer) = slot.running.get(&ticket) {
                slot.broken.push(offer.fingerprint);
            }
        }
    }
}

/// What a finished request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    /// Tokens.
    pub tokens: u64,
    /// The time that it ran.
    pub ran_ms: u64,
}

impl Slot {
    fn new(target: SlotTarget) -> Self {
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

    fn version(&self) -> Option<u64> {
        let status = self.status.as_ref()?;
        let known = self.version_known && !status.swapping && self.is_reachable();
        known.then_some(status.version)
    }

    fn is_reachable(&self) -> bool {
        self.status.is_some() && self.failed_reads < FAILED_READS
    }

    fn is_leaving(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.leaving_in_ms.is_some())
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

    fn offer(&mut self, offer: Offer, now_ms: u64) -> Verdict {
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
        if self.waiting.is_empty() && self.has_room(&offer, now_ms) {
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
    fn fill(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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

    fn take_status(&mut self, asked: u64, status: EndpointStatus, actions: &mut Vec<Action>) {
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
    fn miss_status(&mut self, actions: &mut Vec<Action>) {
        self.failed_reads = self.failed_reads.saturating_add(1);
        if self.failed_reads >= FAILED_READS && !self.broken.is_empty() && !self.is_leaving() {
            self.crashed(actions);
        }
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
    fn settle_waiting(&mut self, actions: &mut Vec<Action>) {
        if let Some(not_run) = self.closed() {
            self.refuse_all(&not_run, actions);
        }
    }

    fn refuse_all(&mut self, not_run: &NotRun, actions: &mut Vec<Action>) {
        for (ticket, offer) in self.waiting.drain() {
            self.queue.remove(&offer.flow, &ticket);
            actions.push(Action::Refuse(ticket, not_run.clone()));
        }
        self.waiting_alone.clear();
    }

    fn leave(&mut self, ticket: Ticket, used: Option<Use>) {
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

#[cfg(test)]
mod tests {
    use super::*;

    const KEY: EndpointKey = EndpointKey(1);

    fn table(slots: u32) -> HomeTable {
        let mut table = HomeTable::default();
        table.sync(vec![target(slots)]);
        read(&mut table, Some(status(7, 1)), 0);
        table
    }

    fn target(slots: u32) -> SlotTarget {
        SlotTarget {
            key: KEY,
            id: "e1".into(),
            service: "draft".into(),
            address: "127.0.0.1:1".into(),
            slots,
        }
    }

    fn status(version: u64, boot: u64) -> EndpointStatus {
        EndpointStatus {
            endpoint: "e1".into(),
            boot,
            version,
            ..EndpointStatus::default()
        }
    }

    fn read(table: &mut HomeTable, status: Option<EndpointStatus>, now_ms: u64) -> Vec<Action> {
        let asked = table.epoch(KEY);
        table.status(KEY, asked, status, now_ms)
    }

    fn offer(ticket: u64) -> Offer {
        Offer {
            ticket: Ticket(ticket),
            flow: Flow {
                rollout: false,
                name: "org".into(),
                weight: 1,
            },
            cost_tokens: 100,
            deadline_ms: 60_000,
            oldest_version: 0,
            alone: false,
            fingerprint: ticket,
        }
    }

    #[test]
    fn slots_bound_what_runs_and_the_queue_fills_them() {
        let mut table = table(2);
        assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Run);
        assert_eq!(table.offer(KEY, offer(2), 0), Verdict::Run);
        assert_eq!(table.offer(KEY, offer(3), 0), Verdict::Wait);
        let actions = table.leave(KEY, Ticket(1), None, 10);
        assert_eq!(actions, [Action::Start(Ticket(3))]);
    }

    #[test]
    fn a_leaving_endpoint_gets_nothing_and_refuses_what_waits() {
        let mut table = table(1);
        table.offer(KEY, offer(1), 0);
        table.offer(KEY, offer(2), 0);
        let leaving = EndpointStatus {
            leaving_in_ms: Some(20_000),
            ..status(7, 1)
        };
        let actions = read(&mut table, Some(leaving), 10);
        assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
        assert!(matches!(table.offer(KEY, offer(3), 20), Verdict::Refuse(_)));
        assert_eq!(table.facts(KEY).map(|facts| facts.in_flight), Some(1));
    }

    #[test]
    fn a_held_endpoint_starts_nothing_until_it_is_let_go() {
        let mut table = table(1);
        table.hold(KEY, true, 0);
        assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Wait);
        assert_eq!(table.facts(KEY).and_then(|facts| facts.version), None);
        assert_eq!(read(&mut table, Some(status(8, 1)), 5), []);
        let actions = table.hold(KEY, false, 10);
        assert_eq!(actions, [Action::Start(Ticket(1))]);
    }

    #[test]
    fn a_swap_between_two_readings_shows() {
        let mut table = table(1);
        let before = table.reading(KEY).expect("the version is known");
        table.hold(KEY, true, 0);
        table.hold(KEY, false, 5);
        assert_eq!(table.reading(KEY), None);
        read(&mut table, Some(status(7, 1)), 10);
        assert_ne!(table.reading(KEY), Some(before));
    }

    #[test]
    fn old_weights_are_refused() {
        let mut table = table(1);
        let mut young = offer(1);
        young.oldest_version = 8;
        assert!(matches!(
            table.offer(KEY, young.clone(), 0),
            Verdict::Refuse(_)
        ));
        read(&mut table, Some(status(8, 1)), 5);
        assert_eq!(table.offer(KEY, young, 10), Verdict::Run);
    }

    #[test]
    fn a_lone_request_runs_alone() {
        let mut table = table(4);
        let mut lone = offer(2);
        lone.alone = true;
        assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Run);
        assert_eq!(table.offer(KEY, lone, 0), Verdict::Wait);
        assert_eq!(table.offer(KEY, offer(3), 0), Verdict::Wait);
        let first = table.leave(KEY, Ticket(1), None, 1);
        assert_eq!(first, [Action::Start(Ticket(2))]);
        let second = table.leave(KEY, Ticket(2), None, 2);
        assert_eq!(second, [Action::Start(Ticket(3))]);
    }

    #[test]
    fn a_request_that_would_start_too_late_is_refused_at_once() {
        let mut table = table(1);
        table.offer(KEY, offer(1), 0);
        table.offer(KEY, offer(2), 0);
        let mut hasty = offer(3);
        hasty.deadline_ms = 500;
        let Verdict::Refuse(not_run) = table.offer(KEY, hasty, 0) else {
            panic!("a slot needs two seconds for the hundred tokens ahead");
        };
        assert_eq!(not_run.refusal, Refusal::Overloaded);
        assert!(not_run.retry_after_ms >= Some(1_000));
    }

    #[test]
    fn a_new_boot_names_what_was_in_flight() {
        let mut table = table(4);
        table.offer(KEY, offer(1), 0);
        let actions = read(&mut table, Some(status(7, 2)), 5);
        let crashed = Action::Crashed {
            endpoint: KEY,
            fingerprints: vec![1],
        };
        assert_eq!(actions, [crashed]);
    }

    #[test]
    fn a_crash_names_each_request_once() {
        let mut table = table(4);
        table.offer(KEY, offer(1), 0);
        table.offer(KEY, offer(2), 0);
        table.broke(KEY, Ticket(1));
        table.leave(KEY, Ticket(1), None, 1);
        let crashed = |fingerprints: &[u64]| Action::Crashed {
            endpoint: KEY,
            fingerprints: fingerprints.to_vec(),
        };
        assert_eq!(table.lost(KEY), [crashed(&[1, 2])]);
        assert_eq!(read(&mut table, Some(status(7, 2)), 5), []);
        assert_eq!(read(&mut table, Some(status(7, 3)), 6), [crashed(&[2])]);
    }

    #[test]
    fn a_connection_that_broke_without_a_crash_makes_no_suspect() {
        let mut table = table(4);
        table.offer(KEY, offer(1), 0);
        table.broke(KEY, Ticket(1));
        table.leave(KEY, Ticket(1), None, 1);
        assert_eq!(read(&mut table, Some(status(7, 1)), 5), []);
        assert_eq!(read(&mut table, Some(status(7, 2)), 6), []);
    }

    #[test]
    fn an_endpoint_that_moves_away_keeps_what_runs() {
        let mut table = table(1);
        table.offer(KEY, offer(1), 0);
        table.offer(KEY, offer(2), 0);
        let actions = table.sync(Vec::new());
        assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
        assert!(table.at_home().is_empty());
        table.leave(KEY, Ticket(1), None, 5);
        assert!(table.targets().is_empty());
    }
}
