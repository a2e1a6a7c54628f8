//! The state that results from replaying the records of the shared topic.
//!
//! All instances replay the same small records in offset order. Batches and results stand in topics
//! of their own, which only those follow that run the samples; see [`Ledger::batches`].

mod followed;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    rc::Rc,
    sync::Arc, //
};

use self::followed::PendingRecords;
pub use self::followed::{
    joined_batch,
    results_of,
    BatchState,
    ResultList, //
};
use super::{
    record::{
        batch_partition,
        BatchSummary,
        Heartbeat,
        LeaseMessage,
        Milestone,
        Record,
        Removed,
        SampleResult, //
    },
    renting::{
        KnownSubject,
        Subject, //
    },
    software::SoftwareHistory,
    statements::{
        Announced,
        Statement, //
    },
    suspects::{
        Crash,
        Suspects, //
    },
    trainers::ByTrainer, //
};

/// Number of the newest batches of a model that the instance that runs the model's samples reads,
/// even if they have ended: their samples may be submitted again.
const RECENT_BATCHES: usize = 2;

/// The current holder of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseState {
    /// The most recent message from the holder.
    pub last_message: LeaseMessage,
    /// The fencing number: the offset of the claim plus one.
    pub term: u64,
    /// When this instance last read a message from the holder, in milliseconds of the monotonic
    /// clock of this instance.
    pub seen_ms: u64,
    /// When this instance last read a message from any earlier holder that may still act under the
    /// lease, in milliseconds of the monotonic clock of this instance. `None` if no earlier holder
    /// can.
    pub previous_holder_seen_ms: Option<u64>,
    /// The instance that last held the lease before the holder, even if the holder has claimed it
    /// several times since; `None` if no other instance did.
    pub previous_holder: Option<Arc<str>>,
    /// Whether no other instance has acted under the lease within the turn time, see
    /// [`Record::TurnPassed`].
    pub turn_passed: bool,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// The most recent heartbeat of an instance.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The content of the heartbeat.
    pub heartbeat: Heartbeat,
    /// When this instance read the heartbeat, in milliseconds of its monotonic clock.
    pub seen_ms: u64,
    /// The latest time at which this incarnation is known to have been alive, in milliseconds of the
    /// monotonic clock of this instance; see [`HeartbeatReads::written_ms`].
    ///
    /// [`HeartbeatReads::written_ms`]: super::addresses::HeartbeatReads::written_ms
    pub alive_ms: Option<u64>,
}

/// The incarnation and the send time of the most recent claim that was read from each instance.
type LastClaims = HashMap<Arc<str>, (u64, u64)>;

/// What an instance said of its links to the endpoints.
#[derive(Debug, Default)]
struct InstanceLinks {
    incarnation: u64,
    relay_address: Arc<str>,
    working: bool,
}

/// The usage counts of one window of wall-clock time.
#[derive(Debug, Default)]
pub struct WindowState {
    /// The counts in the first record that settled the window; only these are reported. `None`
    /// until such a record has been read.
    pub settled: Option<Vec<(Arc<str>, u64)>>,
    /// Whether the platform has accepted the report of this window.
    pub reported: bool,
}

/// The state that results from all records read so far.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Offset of the next record to read.
    pub next_offset: u64,
    /// All accepted batches by id.
    pub registered: HashMap<Arc<str>, RegisteredBatch>,
    /// The batches whose records and results this instance follows, by id.
    pub batches: HashMap<Arc<str>, BatchState>,
    /// Leases by name.
    pub leases: HashMap<Arc<str>, LeaseState>,
    /// Instances by name.
    pub members: BTreeMap<Arc<str>, MemberState>,
    /// Usage windows by number.
    pub windows: BTreeMap<u64, WindowState>,
    /// The requests that were at work at crashes of endpoints.
    pub suspects: Suspects,
    /// Which software the endpoints of each service have had.
    pub software: SoftwareHistory,
    /// The model that each engine primarily serves, by endpoint id.
    pub assignments: HashMap<Arc<str>, Arc<str>>,
    /// What instances have announced that endpoints say of themselves, by endpoint id.
    pub statements: HashMap<Arc<str>, Announced>,
    /// What was ordered from the platform, by service and failure domain.
    pub rented: BTreeMap<Subject, KnownSubject>,
    /// What instances said of their links to the endpoints, by name.
    links: HashMap<Arc<str>, InstanceLinks>,
    /// The services to which scoring calls were sent.
    pub scoring_services: HashSet<Arc<str>>,
    /// The most recent result of each sample, from any batch.
    pub last_results: ByTrainer<Rc<SampleResult>>,
    /// The most recent claims, by lease.
    claims: HashMap<Arc<str>, LastClaims>,
    /// The greatest term of each lease for which a [`Record::TurnPassed`] was read.
    turns_passed: HashMap<Arc<str>, u64>,
    /// Records of followed batches that can't be applied yet.
    pending: PendingRecords,
    /// Ids of all ended batches, including those that are not registered.
    ended: HashSet<Arc<str>>,
}

/// A batch that was accepted.
#[derive(Clone, Debug)]
pub struct RegisteredBatch {
    /// What every instance knows of the batch.
    pub summary: Rc<BatchSummary>,
    /// Whether the batch has ended, so that no further sample of it may start.
    pub ended: bool,
    /// The last milestone that was recorded.
    pub milestone: Option<Milestone>,
}

impl RegisteredBatch {
    /// Returns whether samples of the batch may still lack a result.
    pub fn is_unfinished(&self) -> bool {
        !self.ended && self.milestone < Some(Milestone::Finished)
    }
}

impl Ledger {
    /// Applies one record of the fleet topic. The caller must apply the records in offset order.
    pub fn apply(&mut self, offset: u64, record: Record, now_ms: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
        match record {
            Record::Batch(_)
            | Record::BatchPart { .. }
            | Record::ScoringCalls { .. }
            | Record::Results { .. }
            | Record::ScoredResults { .. } => self.apply_batch_record(record),
            // Counts are read when their window is settled.
            Record::BatchAccepted { .. } | Record::UsageCounts { .. } => (),
            // Streams are read when a caller resumes one.
            Record::StreamBegan { .. } => (),
            Record::BatchRegistered(summary) => self.register_batch(summary),
            Record::BatchMilestone { batch, milestone } => {
                if let Some(registered) = self.registered.get_mut(&batch) {
                    registered.milestone = registered.milestone.max(Some(milestone));
                }
            }
            Record::BatchEnded { batch } => self.end_batch(batch),
            Record::Heartbeat(heartbeat) => self.apply_heartbeat(heartbeat, now_ms),
            Record::Claim(message) => {
                let claims = self.claims.entry(message.lease.clone()).or_default();
                claims.insert(
                    message.holder.clone(),
                    (message.incarnation, message.sent_ms),
                );
                self.apply_lease_message(message, offset + 1, false, now_ms);
            }
            Record::Renewal { message, term } => {
                self.apply_lease_message(message, term, false, now_ms)
            }
            Record::Release { message, term } => {
                self.apply_lease_message(message, term, true, now_ms)
            }
            Record::WindowSettled { window, counts } => {
                let state = self.windows.entry(window).or_default();
                state.settled.get_or_insert(counts);
            }
            Record::WindowReported { window } => {
                self.windows.entry(window).or_default().reported = true
            }
            Record::ServiceSoftware {
                service,
                software,
                version,
            } => self.software.apply(&service, &software, version),
            // These count broken connections, which are no crashes.
            Record::Suspect { .. } => (),
            Record::EndpointCrashed {
                fingerprint,
                endpoint,
                started_unix_ms,
                noticed_unix_ms,
            } => {
                let crash = Crash {
                    endpoint,
                    started_unix_ms,
                    noticed_unix_ms,
                };
                self.suspects.crashed(fingerprint, crash);
            }
            Record::ModelAssignment { engines } => self.assignments = engines.into_iter().collect(),
            Record::EndpointLimit {
                endpoint,
                started_unix_ms,
                limit,
            } => {
                let statement = Statement {
                    limit,
                    leaving: false,
                };
                self.apply_statement(endpoint, started_unix_ms, statement, now_ms);
            }
            Record::EndpointStatement {
                endpoint,
                started_unix_ms,
                statement,
            } => self.apply_statement(endpoint, started_unix_ms, statement, now_ms),
            Record::Links {
                instance,
                incarnation,
                relay_address,
                working,
            } => {
                let links = self.links.entry(instance).or_default();
                if links.incarnation <= incarnation {
                    *links = InstanceLinks {
                        incarnation,
                        relay_address,
                        working,
                    };
                }
            }
            Record::ScoringService { service } => {
                self.scoring_services.insert(service);
            }
            Record::EndpointsOrdered { subject, record } => {
                let read = KnownSubject {
                    record,
                    seen_ms: now_ms,
                };
                let current = self.rented.get(&subject).copied();
                let newest = current.map_or(read, |current| current.followed_by(read));
                self.rented.insert(subject, newest);
            }
            Record::TurnPassed { lease, term } => {
                if let Some(state) = self.leases.get_mut(&lease) {
                    state.turn_passed |= state.term == term;
                }
                let newest = self.turns_passed.entry(lease).or_default();
                *newest = term.max(*newest);
            }
        }
    }

    /// Applies the compacted records of the fleet topic that the store holds before `end_offset`.
    /// Records that were applied before are skipped.
    pub fn bootstrap(&mut self, mut records: Vec<(u64, Record)>, end_offset: u64, now_ms: u64) {
        records.retain(|(offset, _)| (self.next_offset..end_offset).contains(offset));
        records.sort_by_key(|(offset, _)| *offset);
        for (offset, record) in records {
            self.apply(offset, record, now_ms);
        }
        self.next_offset = self.next_offset.max(end_offset);
    }

    /// Returns the failure domain of an instance; empty if the instance is not known.
    pub fn failure_domain(&self, instance: &str) -> Arc<str> {
        let member = self.members.get(instance);
        member.map_or_else(
            || "".into(),
            |member| member.heartbeat.failure_domain.clone(),
        )
    }

    /// Returns whether an instance said that it reaches no endpoint.
    pub fn has_lost_links(&self, instance: &str) -> bool {
        let links = self.links.get(instance);
        links.is_some_and(|links| !links.working)
    }

    /// Returns how many instances said that they reach no endpoint.
    pub fn lost_links(&self) -> usize {
        let links = self.links.values();
        links.filter(|links| !links.working).count()
    }

    /// Returns the address at which an instance takes requests of others, if it reaches endpoints.
    pub fn relay_address(&self, instance: &str) -> Option<Arc<str>> {
        let links = self.links.get(instance)?;
        let is_usable = links.working && !links.relay_address.is_empty();
        is_usable.then(|| links.relay_address.clone())
    }

    /// Returns whether a sample still lacks a result and its batch has not ended.
    pub fn is_sample_open(&self, batch: &str, sample: &str) -> bool {
        let state = self.batches.get(batch);
        state.is_some_and(|state| !state.ended && !state.results.contains(sample))
    }

    /// Returns the batches of a partition that the instance that runs their samples has to read: those
    /// whose samples may lack a result, whatever their age, and the newest ones of each model.
    pub fn needed_batches(&self, partition: u32) -> Vec<Rc<BatchSummary>> {
        let mut by_model: HashMap<&Arc<str>, Vec<&RegisteredBatch>> = HashMap::new();
        let in_partition = self
            .registered
            .values()
            .filter(|registered| batch_partition(&registered.summary.model) == partition);
        for registered in in_partition {
            let batches = by_model.entry(&registered.summary.model).or_default();
            batches.push(registered);
        }
        let mut needed = Vec::new();
        for mut batches in by_model.into_values() {
            batches.sort_by_key(|registered| Reverse(registered.summary.submitted_unix_ms));
            for (rank, registered) in batches.into_iter().enumerate() {
                if registered.is_unfinished() || rank < RECENT_BATCHES {
                    needed.push(registered.summary.clone());
                }
            }
        }
        needed
    }

    /// Returns the milestones that followed batches have reached and that are not recorded.
    pub fn due_milestones(&self) -> Vec<Record> {
        let due = |state: &BatchState| {
            let registered = self.registered.get(&state.batch.id)?;
            let half_finished = state.results.len() * 2 >= state.batch.samples.len();
            let reached = match state.is_finished() {
                true => Some(Milestone::Finished),
                false => half_finished.then_some(Milestone::HalfFinished),
            };
            let milestone = reached.filter(|_| !state.ended && registered.milestone < reached)?;
            Some(Record::BatchMilestone {
                batch: state.batch.id.clone(),
                milestone,
            })
        };
        self.batches.values().filter_map(due).collect()
    }

    /// Returns the oldest ended batch that was submitted before `before_unix_ms` and is removable.
    pub fn oldest_expired_batch(
        &self,
        before_unix_ms: u64,
        is_removable: &dyn Fn(&BatchSummary) -> bool,
    ) -> Option<Rc<BatchSummary>> {
        let expired = self.registered.values().filter(|registered| {
            let is_old = registered.summary.submitted_unix_ms < before_unix_ms;
            registered.ended && is_old && is_removable(&registered.summary)
        });
        let oldest = expired.min_by_key(|registered| registered.summary.submitted_unix_ms)?;
        Some(oldest.summary.clone())
    }

    /// Returns the oldest reported window whose number is below `before`.
    pub fn oldest_expired_window(&self, before: u64) -> Option<u64> {
        let mut windows = self.windows.range(..before);
        windows
            .find(|(_, state)| state.reported)
            .map(|(window, _)| *window)
    }

    /// Drops the state whose records were removed from the store.
    pub fn remove(&mut self, removed: Removed<'_>) {
        match removed {
            Removed::Window(window) => drop(self.windows.remove(&window)),
            Removed::Statement(endpoint) => drop(self.statements.remove(endpoint)),
            Removed::Software { service, software } => self.software.remove(service, software),
            Removed::Crash {
                fingerprint,
                endpoint,
                started_unix_ms,
            } => self.suspects.forget(fingerprint, endpoint, started_unix_ms),
            Removed::Batch(batch) => {
                self.registered.remove(batch);
                self.ended.remove(batch);
                self.unload(|state| *state.batch.id == *batch);
            }
        }
    }

    fn register_batch(&mut self, summary: BatchSummary) {
        if self.registered.contains_key(&summary.id) {
            return;
        }
        let id = summary.id.clone();
        let registered = RegisteredBatch {
            ended: self.ended.contains(&id),
            milestone: None,
            summary: Rc::new(summary),
        };
        self.registered.insert(id.clone(), registered);
        self.accept_stored(&id);
    }

    fn end_batch(&mut self, batch: Arc<str>) {
        if let Some(state) = self.batches.get_mut(&batch) {
            state.ended = true;
        }
        if let Some(registered) = self.registered.get_mut(&batch) {
            registered.ended = true;
        }
        self.ended.insert(batch);
    }

    fn apply_statement(
        &mut self,
        endpoint: Arc<str>,
        started_unix_ms: u64,
        statement: Statement,
        now_ms: u64,
    ) {
        let announced = Announced {
            started_unix_ms,
            statement,
            seen_ms: now_ms,
        };
        let current = self.statements.get(&endpoint);
        let next = current.map_or(announced, |current| current.followed_by(announced));
        self.statements.insert(endpoint, next);
    }

    /// Applies a heartbeat from the fleet topic, which may be of any age.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        self.apply_cell_heartbeat(heartbeat, None, now_ms);
    }

    /// Applies a heartbeat from the cell of this instance, which counts as written at `written_ms`.
    ///
    /// An instance that shuts down does not change its mind, but a heartbeat from before it did may be
    /// read later from another topic.
    pub fn apply_cell_heartbeat(
        &mut self,
        mut heartbeat: Heartbeat,
        written_ms: Option<u64>,
        now_ms: u64,
    ) {
        let mut alive_ms = written_ms;
        if let Some(current) = self.members.get(&heartbeat.instance) {
            if current.heartbeat.incarnation > heartbeat.incarnation {
                return;
            }
            if current.heartbeat.incarnation == heartbeat.incarnation {
                heartbeat.leaving |= current.heartbeat.leaving;
                alive_ms = alive_ms.max(current.alive_ms);
            }
        }
        let member = MemberState {
            seen_ms: now_ms,
            alive_ms,
            heartbeat,
        };
        let instance = member.heartbeat.instance.clone();
        self.members.insert(instance, member);
    }

    /// Applies a message from an instance that holds or claims a lease.
    ///
    /// The greatest epoch wins and, within an epoch, the lowest term. The outcome does not depend
    /// on the order in which messages are read, so compaction in the store does not change it.
    fn apply_lease_message(
        &mut self,
        message: LeaseMessage,
        term: u64,
        released: bool,
        now_ms: u64,
    ) {
        let current = self.leases.get(&message.lease);
        let rank = |state: &LeaseState| (state.last_message.epoch, Reverse(state.term));
        if current.is_some_and(|current| rank(current) > (message.epoch, Reverse(term))) {
            return;
        }
        let previous_holder_seen_ms = current.and_then(|current| {
            let holder = &current.last_message.holder;
            let has_ended = self.members.get(holder).is_some_and(|member| {
                member.heartbeat.incarnation > current.last_message.incarnation
            });
            let may_act = *holder != message.holder && !current.released && !has_ended;
            // The holder before the current one may not have read yet that it is replaced.
            may_act
                .then_some(current.seen_ms)
                .max(current.previous_holder_seen_ms)
        });
        let previous_holder = current.and_then(|current| {
            let holder = &current.last_message.holder;
            match *holder == message.holder {
                true => current.previous_holder.clone(),
                false => Some(holder.clone()),
            }
        });
        // No other instance can have claimed the lease between two claims of one holder that follow
        // each other: its claim would have the greater epoch, or the lower term.
        let turn_passed = current.is_some_and(|current| {
            current.turn_passed && current.last_message.holder == message.holder
        }) || self.turns_passed.get(&message.lease) == Some(&term);
        let released =
            released || current.is_some_and(|current| current.released && current.term == term);
        let state = LeaseState {
            last_message: message.clone(),
            term,
            seen_ms: now_ms,
            previous_holder_seen_ms,
            previous_holder,
            turn_passed,
            released,
        };
        self.leases.insert(message.lease, state);
    }

    /// Returns whether a [`Record::TurnPassed`] was read for the current term of a lease.
    pub fn is_turn_recorded(&self, state: &LeaseState) -> bool {
        self.turns_passed.get(&state.last_message.lease) == Some(&state.term)
    }

    /// Returns when an incarnation of an instance sent the most recent claim that was read from it,
    /// in milliseconds of the monotonic clock of that instance.
    pub fn last_claim_sent_ms(&self, lease: &str, holder: &str, incarnation: u64) -> Option<u64> {
        let (claim_incarnation, sent_ms) = self.claims.get(lease)?.get(holder)?;
        (*claim_incarnation == incarnation).then_some(*sent_ms)
    }
}

#[cfg(test)]
mod tests;
