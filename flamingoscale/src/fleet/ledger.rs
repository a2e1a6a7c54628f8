//! The state that results from replaying the records of the shared topic.
//!
//! All instances replay the same records in offset order. A sample's position in its batch is the
//! rank of the first record that finished it, so every instance lists the results of a batch in the
//! same order.

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
    SampleEnd,
    SampleResult,
    ScoringCall, //
};

/// Maximum number of results, and of batch parts, that are held until the record of their batch is
/// read. The limit keeps records of unknown batches from exhausting memory.
const MAX_PENDING_RECORDS: usize = 4_096;

/// A batch with the results that have been read so far.
#[derive(Debug)]
pub struct BatchState {
    /// The batch as it was submitted, with all its parts joined.
    pub batch: Arc<Batch>,
    /// Results of finished samples, indexed by position.
    pub results: Vec<Rc<SampleResult>>,
    /// Position in `results` of each finished sample, by sample id.
    pub positions: HashMap<Arc<str>, usize>,
    /// Whether the batch has ended, so that no further sample of it may start.
    pub ended: bool,
}

impl BatchState {
    /// Returns the sample with the given id.
    pub fn sample(&self, id: &str) -> Option<&Sample> {
        self.batch.samples.iter().find(|sample| &*sample.id == id)
    }

    fn add_result(&mut self, result: SampleResult) {
        let Some(sample) = self.sample(&result.sample) else {
            return;
        };
        let lacks_score =
            sample.scoring.is_some() && result.score.is_none() && result.end == SampleEnd::Complete;
        if lacks_score || self.positions.contains_key(&result.sample) {
            return;
        }
        self.positions
            .insert(result.sample.clone(), self.results.len());
        self.results.push(Rc::new(result));
    }
}

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
}

/// Requests by organisation, keyed by instance and incarnation.
type CountsByInstance = HashMap<(Arc<str>, u64), Vec<(Arc<str>, u64)>>;

/// The incarnation and the send time of the most recent claim that was read from each instance.
type LastClaims = HashMap<Arc<str>, (u64, u64)>;

/// The usage counts of one window of wall-clock time.
#[derive(Debug, Default)]
pub struct WindowState {
    /// Requests counted by each incarnation of each instance.
    pub counts_by_instance: CountsByInstance,
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
    /// Batches by id, except those whose records have not been loaded from the store.
    pub batches: HashMap<Arc<str>, BatchState>,
    /// Leases by name.
    pub leases: HashMap<Arc<str>, LeaseState>,
    /// Instances by name.
    pub members: BTreeMap<Arc<str>, MemberState>,
    /// Usage windows by number.
    pub windows: BTreeMap<u64, WindowState>,
    /// How often a request broke the connection to an endpoint, by the fingerprint of the request.
    pub suspects: HashMap<u64, u32>,
    /// The model that each engine primarily serves, by endpoint id.
    pub assignments: HashMap<Arc<str>, Arc<str>>,
    /// Submission time of every known batch in Unix milliseconds, including batches that are not
    /// loaded.
    pub submitted_unix_ms: HashMap<Arc<str>, u64>,
    /// The most recent result of each sample, from any batch.
    pub last_results: HashMap<Arc<str>, Rc<SampleResult>>,
    /// The most recent claims, by lease.
    claims: HashMap<Arc<str>, LastClaims>,
    /// Samples of batch parts whose batch has not been read, by batch id and part index.
    parts: HashMap<(Arc<str>, u32), Vec<Sample>>,
    /// Scoring calls by sample, of batches whose record has not been read, by batch id.
    scoring_calls: HashMap<Arc<str>, HashMap<Arc<str>, ScoringCall>>,
    /// Results whose batch has not been read or is being loaded.
    pending_results: Vec<SampleResult>,
    /// Ids of all ended batches, including those that are not loaded.
    ended: HashSet<Arc<str>>,
    /// Ids of the batches that are being loaded.
    loading: HashSet<Arc<str>>,
}

impl Ledger {
    /// Applies one record. The caller must apply the records in offset order.
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
                self.submitted_unix_ms
                    .entry(batch)
                    .or_insert(submitted_unix_ms);
            }
            Record::ScoringCalls { batch, calls, .. } => {
                if !self.batches.contains_key(&batch)
                    && self.scoring_calls.len() < MAX_PENDING_RECORDS
                {
                    self.scoring_calls.entry(batch).or_default().extend(calls);
                }
            }
            Record::Results { results, .. } => {
                results
                    .into_iter()
                    .for_each(|result| self.add_result(result));
            }
            Record::ScoredResults { results, .. } => {
                for (result, score) in results {
                    self.add_result(SampleResult {
                        score: Some(score),
                        ..result
                    });
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

    /// Applies the compacted records that the store holds before `end_offset`.
    ///
    /// Batches are applied before all other records, because the record of a batch that was
    /// submitted again may have a greater offset than the first results of the batch.
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

    /// Returns whether a sample still lacks a result and its batch has not ended.
    pub fn is_sample_open(&self, batch: &str, sample: &str) -> bool {
        let state = self.batches.get(batch);
        state.is_some_and(|state| !state.ended && !state.positions.contains_key(sample))
    }

    /// Returns the submission time, in Unix milliseconds, of a batch that is known but not loaded;
    /// `None` for a loaded or an unknown batch.
    pub fn unloaded_submitted_unix_ms(&self, batch: &str) -> Option<u64> {
        let submitted_unix_ms = self.submitted_unix_ms.get(batch).copied();
        submitted_unix_ms.filter(|_| !self.batches.contains_key(batch))
    }

    /// Returns the submission time, in Unix milliseconds, of the oldest batch that was submitted at
    /// or after `since_unix_ms` and has not ended.
    pub fn oldest_open_batch_unix_ms(&self, since_unix_ms: u64) -> Option<u64> {
        self.submitted_unix_ms
            .iter()
            .filter(|(batch, _)| !self.ended.contains(*batch))
            .map(|(_, submitted_unix_ms)| *submitted_unix_ms)
            .filter(|submitted_unix_ms| *submitted_unix_ms >= since_unix_ms)
            .min()
    }

    /// Returns the oldest ended batch that was submitted before `before_unix_ms`, with its
    /// submission time in Unix milliseconds.
    pub fn oldest_expired_batch(&self, before_unix_ms: u64) -> Option<(Arc<str>, u64)> {
        let expired = self
            .submitted_unix_ms
            .iter()
            .filter(|(batch, submitted_unix_ms)| {
                **submitted_unix_ms < before_unix_ms && self.ended.contains(*batch)
            });
        let oldest = expired.min_by_key(|(_, submitted_unix_ms)| **submitted_unix_ms)?;
        Some((oldest.0.clone(), *oldest.1))
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
            Removed::Batch(batch) => {
                self.submitted_unix_ms.remove(batch);
                self.ended.remove(batch);
                self.batches.remove(batch);
                self.last_results
                    .retain(|_, result| *result.batch != *batch);
            }
        }
    }

    /// Starts loading a batch. Results of the batch that are read from the topic are held back
    /// until [`Ledger::end_load`].
    pub fn begin_load(&mut self, batch: &Arc<str>) {
        self.loading.insert(batch.clone());
    }

    /// Applies the records of a batch that was not loaded, and ends its loading.
    ///
    /// Records of other batches are ignored: the key range of one batch may include the record of
    /// another batch that was submitted in the same millisecond, but not the results of that batch.
    pub fn end_load(&mut self, batch: &Arc<str>, mut records: Vec<(u64, Record)>, now_ms: u64) {
        let next_offset = self.next_offset;
        records.retain(|(_, record)| record.batch() == Some(batch));
        records.sort_by_key(|(offset, record)| (replay_rank(record), *offset));
        // Results that were read from the topic during the load come after the loaded ones.
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
        // A repeated submission has another submission time. Only the records of the first
        // submission are valid.
        let first_submitted_unix_ms = self.submitted_unix_ms.get(&batch.id).copied();
        if first_submitted_unix_ms.is_some_and(|first| first != batch.submitted_unix_ms) {
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
        let (batch_results, others) = std::mem::take(&mut self.pending_results)
            .into_iter()
            .partition::<Vec<_>, _>(|result| result.batch == id);
        self.pending_results = others;
        batch_results
            .into_iter()
            .for_each(|result| self.add_result(result));
    }

    /// Joins a batch with its earlier parts and its scoring calls. Returns `None` if a part is
    /// missing.
    fn assemble(&mut self, batch: Arc<Batch>) -> Option<Arc<Batch>> {
        let mut calls = self.scoring_calls.remove(&batch.id).unwrap_or_default();
        if batch.earlier_parts == 0 && calls.is_empty() {
            return Some(batch);
        }
        let mut samples = Vec::new();
        for part in 0..batch.earlier_parts {
            samples.extend(self.parts.remove(&(batch.id.clone(), part))?);
        }
        let mut joined = Batch::clone(&batch);
        samples.append(&mut joined.samples);
        for sample in &mut samples {
            sample.scoring = calls.remove(&sample.id).map(Arc::new);
        }
        joined.samples = samples;
        joined.earlier_parts = 0;
        Some(Arc::new(joined))
    }

    fn add_result(&mut self, result: SampleResult) {
        let Some(state) = self.batches.get_mut(&result.batch) else {
            let loading = self.loading.contains(&result.batch);
            let unknown = !self.submitted_unix_ms.contains_key(&result.batch);
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
            .is_some_and(|current| current.heartbeat.incarnation > heartbeat.incarnation);
        if !is_older {
            let seen_ms = now_ms;
            self.members.insert(
                heartbeat.instance.clone(),
                MemberState { heartbeat, seen_ms },
            );
        }
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
        let released =
            released || current.is_some_and(|current| current.released && current.term == term);
        let state = LeaseState {
            last_message: message.clone(),
            term,
            seen_ms: now_ms,
            previous_holder_seen_ms,
            previous_holder,
            released,
        };
        self.leases.insert(message.lease, state);
    }

    /// Returns when an incarnation of an instance sent the most recent claim that was read from it,
    /// in milliseconds of the monotonic clock of that instance.
    pub fn last_claim_sent_ms(&self, lease: &str, holder: &str, incarnation: u64) -> Option<u64> {
        let (claim_incarnation, sent_ms) = self.claims.get(lease)?.get(holder)?;
        (*claim_incarnation == incarnation).then_some(*sent_ms)
    }
}

/// Returns the rank of a record in the replay at start-up: batch parts come first, then batches,
/// then all other records.
fn replay_rank(record: &Record) -> u8 {
    match record {
        Record::BatchPart { .. } | Record::ScoringCalls { .. } => 0,
        Record::Batch(_) => 1,
        _ => 2,
    }
}

#[cfg(test)]
mod tests;
