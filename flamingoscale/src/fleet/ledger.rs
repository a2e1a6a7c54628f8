//! What the records of the shared topic add up to.
//!
//! All instances fold the same records in the order of their offsets. A sample's position in its
//! batch is the rank of the first record that finished it, so every instance lists the same.

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

use super::record::{
    Batch,
    Heartbeat,
    LeaseMessage,
    Record,
    Removed,
    Sample,
    SampleResult, //
};

/// Results for a batch whose own record has not been read yet are kept up to this many, so that
/// foreign records can't fill the memory.
const MAX_PENDING_RECORDS: usize = 4_096;

/// One batch and what is known of it.
#[derive(Debug)]
pub struct BatchState {
    /// As submitted.
    pub batch: Arc<Batch>,
    /// Finished samples by position.
    pub results: Vec<Rc<SampleResult>>,
    /// Positions by sample.
    pub positions: HashMap<Arc<str>, usize>,
    /// Whether it is over.
    pub ended: bool,
}

impl BatchState {
    /// Returns a sample by its id.
    pub fn sample(&self, id: &str) -> Option<&Sample> {
        self.batch.samples.iter().find(|sample| &*sample.id == id)
    }

    fn add_result(&mut self, result: SampleResult) {
        let known = self
            .batch
            .samples
            .iter()
            .any(|sample| sample.id == result.sample);
        if !known || self.positions.contains_key(&result.sample) {
            return;
        }
        self.positions
            .insert(result.sample.clone(), self.results.len());
        self.results.push(Rc::new(result));
    }
}

/// Who holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseState {
    /// The holder's last message.
    pub last_message: LeaseMessage,
    /// Offset of the claim, plus one: the fencing number.
    pub term: u64,
    /// When this instance last read a message of the holder, in its monotonic milliseconds.
    pub seen_ms: u64,
    /// When it last read a message of the holder before, if that one may still have acted then.
    pub previous_holder_seen_ms: Option<u64>,
    /// Whether the holder gave it back.
    pub released: bool,
}

/// The last message of life of an instance.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// What it said.
    pub heartbeat: Heartbeat,
    /// When this instance read it, in its monotonic milliseconds.
    pub seen_ms: u64,
}

/// Counts by organisation of one instance's incarnation.
type CountsByInstance = HashMap<(Arc<str>, u64), Vec<(Arc<str>, u64)>>;

/// The last claim that was read of each instance: its incarnation, and when it was sent.
type LastClaims = HashMap<Arc<str>, (u64, u64)>;

/// What is known of a usage window.
#[derive(Debug, Default)]
pub struct WindowState {
    /// What each instance counts_by_instance.
    pub counts_by_instance: CountsByInstance,
    /// The settled figures.
    pub settled: Option<Vec<(Arc<str>, u64)>>,
    /// Whether the platform accepted them.
    pub reported: bool,
}

/// The fold of all records read so far.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Offset of the next record to read.
    pub next_offset: u64,
    /// Batches by id.
    pub batches: HashMap<Arc<str>, BatchState>,
    /// Leases by name.
    pub leases: HashMap<Arc<str>, LeaseState>,
    /// Instances by name.
    pub members: BTreeMap<Arc<str>, MemberState>,
    /// Usage windows by number.
    pub windows: BTreeMap<u64, WindowState>,
    /// Requests that broke off at endpoints, by fingerprint.
    pub suspects: HashMap<u64, u32>,
    /// The model that each engine serves first.
    pub assignments: HashMap<Arc<str>, Arc<str>>,
    /// When each batch was accepted, also those that are not loaded.
    pub index: HashMap<Arc<str>, u64>,
    /// The last result of a sample, whatever the batch.
    pub last_results: HashMap<Arc<str>, Rc<SampleResult>>,
    claims: HashMap<Arc<str>, LastClaims>,
    parts: HashMap<(Arc<str>, u32), Vec<Sample>>,
    pending_results: Vec<SampleResult>,
    ended: HashSet<Arc<str>>,
    loading: HashSet<Arc<str>>,
}

impl Ledger {
    /// Folds one record. Records must come in the order of their offsets.
    pub fn apply(&mut self, offset: u64, record: Record, now_ms: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
        match record {
            Record::Batch(batch) => self.accept_batch(batch),
            Record::BatchPart {
                batch,
                part,
                samples,
                ..
            } => {
                if !self.batches.contains_key(&batch) && self.parts.len() < MAX_PENDING_RECORDS {
                    self.parts.insert((batch, part), samples);
                }
            }
            Record::BatchAccepted {
                batch,
                submitted_unix_ms,
            } => {
                self.index.entry(batch).or_insert(submitted_unix_ms);
            }
            Record::Results { results, .. } => {
                results
                    .into_iter()
                    .for_each(|result| self.add_result(result));
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
            Record::UsageCounts {
                instance,
                incarnation,
                window,
                counts,
            } => {
                let state = self.windows.entry(window).or_default();
                state
                    .counts_by_instance
                    .insert((instance, incarnation), counts);
            }
            Record::WindowSettled { window, counts } => {
                let state = self.windows.entry(window).or_default();
                state.settled.get_or_insert(counts);
            }
            Record::WindowReported { window } => {
                self.windows.entry(window).or_default().reported = true
            }
            Record::Suspect { fingerprint } => {
                *self.suspects.entry(fingerprint).or_default() += 1;
            }
            Record::ModelAssignment { engines } => self.assignments = engines.into_iter().collect(),
        }
    }

    /// Folds what the store kept of the records before `end_offset`.
    ///
    /// Batches go first: a batch that was submitted again stands behind its first results.
    pub fn bootstrap(&mut self, mut records: Vec<(u64, Record)>, end_offset: u64, now_ms: u64) {
        records.retain(|(offset, record)| {
            *offset < end_offset && (replay_rank(record) < 2 || *offset >= self.next_offset)
        });
        records.sort_by_key(|(offset, record)| (replay_rank(record), *offset));
        for (offset, record) in records {
            self.apply(offset, record, now_ms);
        }
        self.next_offset = self.next_offset.max(end_offset);
    }

    /// Returns whether a sample of a batch that is not over waits for its result.
    pub fn is_open(&self, batch: &str, sample: &str) -> bool {
        let state = self.batches.get(batch);
        state.is_some_and(|state| !state.ended && !state.positions.contains_key(sample))
    }

    /// Returns when a batch was accepted that is known but not loaded.
    pub fn unloaded(&self, batch: &str) -> Option<u64> {
        let submitted_unix_ms = self.index.get(batch).copied();
        submitted_unix_ms.filter(|_| !self.batches.contains_key(batch))
    }

    /// Returns when the oldest batch was accepted that may still have work to do.
    pub fn oldest_open_unix_ms(&self, since_unix_ms: u64) -> Option<u64> {
        self.index
            .iter()
            .filter(|(batch, _)| !self.ended.contains(*batch))
            .map(|(_, submitted_unix_ms)| *submitted_unix_ms)
            .filter(|submitted_unix_ms| *submitted_unix_ms >= since_unix_ms)
            .min()
    }

    /// Returns the oldest batch that is over and was accepted before a time.
    pub fn oldest_expired_batch(&self, before_unix_ms: u64) -> Option<(Arc<str>, u64)> {
        let over = self.index.iter().filter(|(batch, submitted_unix_ms)| {
            **submitted_unix_ms < before_unix_ms && self.ended.contains(*batch)
        });
        let oldest = over.min_by_key(|(_, submitted_unix_ms)| **submitted_unix_ms)?;
        Some((oldest.0.clone(), *oldest.1))
    }

    /// Returns the oldest window before another one that was reported.
    pub fn oldest_expired_window(&self, before: u64) -> Option<u64> {
        let mut windows = self.windows.range(..before);
        windows
            .find(|(_, state)| state.reported)
            .map(|(window, _)| *window)
    }

    /// Takes in that records were removed from the store.
    pub fn remove(&mut self, removed: Removed<'_>) {
        match removed {
            Removed::Window(window) => drop(self.windows.remove(&window)),
            Removed::Batch(batch) => {
                self.index.remove(batch);
                self.ended.remove(batch);
                self.batches.remove(batch);
                self.last_results
                    .retain(|_, result| *result.batch != *batch);
            }
        }
    }

    /// Keeps the results of a batch that come in while its records are read.
    pub fn begin_load(&mut self, batch: &Arc<str>) {
        self.loading.insert(batch.clone());
    }

    /// Takes in the records of a batch that was not loaded.
    ///
    /// Records of others among them are left out: one batch may be read beside another that was
    /// accepted in the same millisecond, but without its results.
    pub fn end_load(&mut self, batch: &Arc<str>, mut records: Vec<(u64, Record)>, now_ms: u64) {
        let next_offset = self.next_offset;
        records.retain(|(_, record)| record.batch() == Some(batch));
        records.sort_by_key(|(offset, record)| (replay_rank(record), *offset));
        // What came in meanwhile stands behind what was read.
        let received_during_load = std::mem::take(&mut self.pending_results);
        for (offset, record) in records {
            self.apply(offset, record, now_ms);
        }
        self.next_offset = next_offset;
        received_during_load
            .into_iter()
            .for_each(|result| self.add_result(result));
        self.loading.remove(batch);
    }

    fn accept_batch(&mut self, batch: Arc<Batch>) {
        if self.batches.contains_key(&batch.id) {
            return;
        }
        // A second submission has another time: the first one's records hold.
        let first = self.index.get(&batch.id).copied();
        if first.is_some_and(|first| first != batch.submitted_unix_ms) {
            return;
        }
        let Some(batch) = self.assemble(batch) else {
            return;
        };
        let id = batch.id.clone();
        let state = BatchState {
            batch,
            results: Vec::new(),
            positions: HashMap::new(),
            ended: self.ended.contains(&id),
        };
        self.batches.insert(id.clone(), state);
        let (own, others) = std::mem::take(&mut self.pending_results)
            .into_iter()
            .partition::<Vec<_>, _>(|result| result.batch == id);
        self.pending_results = others;
        own.into_iter().for_each(|result| self.add_result(result));
    }

    /// Puts a batch together from its parts; `None` while one is missing.
    fn assemble(&mut self, batch: Arc<Batch>) -> Option<Arc<Batch>> {
        if batch.earlier_parts == 0 {
            return Some(batch);
        }
        let mut samples = Vec::new();
        for part in 0..batch.earlier_parts {
            samples.extend(self.parts.remove(&(batch.id.clone(), part))?);
        }
        let mut whole = Batch::clone(&batch);
        samples.append(&mut whole.samples);
        whole.samples = samples;
        whole.earlier_parts = 0;
        Some(Arc::new(whole))
    }

    fn add_result(&mut self, result: SampleResult) {
        let Some(state) = self.batches.get_mut(&result.batch) else {
            let loading = self.loading.contains(&result.batch);
            let unknown = !self.index.contains_key(&result.batch);
            if (loading || unknown) && self.pending_results.len() < MAX_PENDING_RECORDS {
                self.pending_results.push(result);
            }
            return;
        };
        let before = state.results.len();
        state.add_result(result);
        if let Some(result) = state.results.get(before) {
            self.last_results
                .insert(result.sample.clone(), result.clone());
        }
    }

    fn end_batch(&mut self, batch: Arc<str>) {
        if let Some(state) = self.batches.get_mut(&batch) {
            state.ended = true;
        }
        self.ended.insert(batch);
    }

    fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) {
        let is_older = self
            .members
            .get(&heartbeat.instance)
            .is_some_and(|known| known.heartbeat.incarnation > heartbeat.incarnation);
        if !is_older {
            let seen_ms = now_ms;
            self.members.insert(
                heartbeat.instance.clone(),
                MemberState { heartbeat, seen_ms },
            );
        }
    }

    /// Takes in a message of an instance that holds a lease or wants it.
    ///
    /// The greatest epoch holds and in it the lowest term, in whatever order signs are read, so
    /// that it doesn't matter which of them the store has replaced.
    fn apply_lease_message(
        &mut self,
        message: LeaseMessage,
        term: u64,
        released: bool,
        now_ms: u64,
    ) {
        let known = self.leases.get(&message.lease);
        let rank = |state: &LeaseState| (state.last_message.epoch, Reverse(state.term));
        if known.is_some_and(|known| rank(known) > (message.epoch, Reverse(term))) {
            return;
        }
        let previous_holder_seen_ms = match known {
            Some(known) if (known.last_message.epoch, known.term) == (message.epoch, term) => {
                known.previous_holder_seen_ms
            }
            Some(known) if known.last_message.holder != message.holder && !known.released => {
                let member = self.members.get(&known.last_message.holder);
                let ended = |member: &MemberState| {
                    member.heartbeat.incarnation > known.last_message.incarnation
                };
                (!member.is_some_and(ended)).then_some(known.seen_ms)
            }
            Some(_) | None => None,
        };
        let released = released || known.is_some_and(|known| known.released && known.term == term);
        let state = LeaseState {
            last_message: message.clone(),
            term,
            seen_ms: now_ms,
            previous_holder_seen_ms,
            released,
        };
        self.leases.insert(message.lease, state);
    }

    /// Returns when an instance sent its last claim that was read, by its own clock.
    pub fn last_claim_sent_ms(&self, lease: &str, holder: &str, incarnation: u64) -> Option<u64> {
        let (of_incarnation, sent_ms) = self.claims.get(lease)?.get(holder)?;
        (*of_incarnation == incarnation).then_some(*sent_ms)
    }
}

/// Parts go before batches, batches before the rest.
fn replay_rank(record: &Record) -> u8 {
    match record {
        Record::BatchPart { .. } => 0,
        Record::Batch(_) => 1,
        _ => 2,
    }
}

#[cfg(test)]
mod tests;
