//! The batches and results that this instance follows, because it runs their samples.
//!
//! A sample's position in its batch is the rank of the first record that finished it, so everybody
//! lists the results of a batch in the same order, whether they follow the batch or read its
//! records when they are asked for it.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    sync::Arc, //
};

use super::Ledger;
use crate::fleet::record::{
    Batch,
    Record,
    Sample,
    SampleResult,
    ScoringCall, //
};

/// Maximum number of records of each kind that are held until the record of their batch is read.
/// The limit keeps records of unknown batches from exhausting memory.
const MAX_PENDING_RECORDS: usize = 4_096;

/// The results of a batch, indexed by position.
#[derive(Clone, Debug, Default)]
pub struct ResultList {
    listed: Vec<Rc<SampleResult>>,
    /// Position of each finished sample, by sample id.
    positions: HashMap<Arc<str>, usize>,
}

impl ResultList {
    /// Returns the results of a batch from the records that the store holds of it, in any order.
    pub fn from_records(batch: &str, mut records: Vec<(u64, Record)>) -> Self {
        records.sort_by_key(|(offset, _)| *offset);
        let mut list = Self::default();
        for (_, record) in records {
            list.add_record(batch, record);
        }
        list
    }

    /// Adds the results of a batch from the next record of its partition.
    pub fn add_record(&mut self, batch: &str, record: Record) {
        for result in results_of(record) {
            if *result.batch == *batch {
                self.add(result);
            }
        }
    }

    /// Adds a result, unless the sample has one already.
    fn add(&mut self, result: SampleResult) -> Option<Rc<SampleResult>> {
        if self.contains(&result.sample) {
            return None;
        }
        let result = Rc::new(result);
        self.positions
            .insert(result.sample.clone(), self.listed.len());
        self.listed.push(result.clone());
        Some(result)
    }

    /// Returns whether a sample has a result.
    pub fn contains(&self, sample: &str) -> bool {
        self.positions.contains_key(sample)
    }

    /// Returns the number of results.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether there is no result.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns the results from a position on.
    pub fn from(&self, position: usize) -> &[Rc<SampleResult>] {
        self.listed.get(position..).unwrap_or_default()
    }
}

/// Returns the results in a record of results, and none of any other record.
pub fn results_of(record: Record) -> Vec<SampleResult> {
    match record {
        Record::Results { results, .. } => results,
        Record::ScoredResults { results, .. } => results
            .into_iter()
            .map(|(result, score)| SampleResult {
                score: Some(score),
                ..result
            })
            .collect(),
        _ => Vec::new(),
    }
}

/// A batch with the results that have been read so far.
#[derive(Debug)]
pub struct BatchState {
    /// The batch as it was submitted, with all its parts joined.
    pub batch: Arc<Batch>,
    /// Results of finished samples.
    pub results: ResultList,
    /// Whether the batch has ended, so that no further sample of it may start.
    pub ended: bool,
}

impl BatchState {
    /// Returns the sample with the given id.
    pub fn sample(&self, id: &str) -> Option<&Sample> {
        self.batch.sample(id)
    }

    /// Returns whether every sample has a result.
    pub fn is_finished(&self) -> bool {
        self.results.len() >= self.batch.samples.len()
    }
}

/// Records of followed batches that can't be applied yet.
#[derive(Debug, Default)]
pub(super) struct PendingRecords {
    /// Samples of batch parts whose batch has not been read, by batch id and part index.
    parts: HashMap<(Arc<str>, u32), Vec<Sample>>,
    /// Scoring calls by sample, of batches whose record has not been read, by batch id.
    scoring_calls: HashMap<Arc<str>, HashMap<Arc<str>, ScoringCall>>,
    /// Batches that are not registered, by id and submission time. A batch that is submitted twice
    /// has two submission times, and only the registered one is valid.
    stored: HashMap<(Arc<str>, u64), Arc<Batch>>,
    /// Results whose batch has not been read, in the order in which they were read.
    results: VecDeque<SampleResult>,
}

impl PendingRecords {
    /// Keeps the samples or scoring calls of a record until the record of their batch is read.
    fn add_part(&mut self, record: Record) {
        match record {
            Record::BatchPart {
                batch,
                part,
                samples,
                ..
            } if self.parts.len() < MAX_PENDING_RECORDS => {
                self.parts.insert((batch, part), samples);
            }
            Record::ScoringCalls { batch, calls, .. }
                if self.scoring_calls.len() < MAX_PENDING_RECORDS =>
            {
                self.scoring_calls.entry(batch).or_default().extend(calls);
            }
            _ => (),
        }
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

    fn push_result(&mut self, result: SampleResult) {
        self.results.push_back(result);
        if self.results.len() > MAX_PENDING_RECORDS {
            self.results.pop_front();
        }
    }

    /// Takes the results of a batch.
    fn take_results(&mut self, batch: &str) -> Vec<SampleResult> {
        let (taken, others) = std::mem::take(&mut self.results)
            .into_iter()
            .partition::<Vec<_>, _>(|result| *result.batch == *batch);
        self.results = others.into();
        taken
    }
}

impl Ledger {
    /// Applies one record of a followed batch. The caller must apply the records of a partition in
    /// offset order.
    pub fn apply_batch_record(&mut self, record: Record) {
        match record {
            Record::Batch(batch) => self.store_batch(batch),
            Record::BatchPart { ref batch, .. } | Record::ScoringCalls { ref batch, .. } => {
                if !self.batches.contains_key(batch) {
                    self.pending.add_part(record);
                }
            }
            other => results_of(other)
                .into_iter()
                .for_each(|result| self.add_result(result)),
        }
    }

    /// Applies the records that the store holds of a batch, in any order.
    pub fn load_batch(&mut self, batch: &str, mut records: Vec<(u64, Record)>) {
        // The key range of a batch may include a batch that was submitted in the same millisecond.
        records.retain(|(_, record)| record.batch().is_some_and(|id| **id == *batch));
        records.sort_by_key(|(offset, record)| (load_rank(record), *offset));
        // Results that were followed before the batch was loaded come after the loaded ones.
        let followed = self.pending.take_results(batch);
        for (_, record) in records {
            self.apply_batch_record(record);
        }
        followed
            .into_iter()
            .for_each(|result| self.add_result(result));
    }

    /// Drops followed batches that are no longer needed.
    pub fn unload(&mut self, is_unneeded: impl Fn(&BatchState) -> bool) {
        let batches = &mut self.batches;
        batches.retain(|_, state| !is_unneeded(state));
        self.last_results
            .retain(|result| batches.contains_key(&result.batch));
    }

    /// Keeps a batch whose records were read until it is registered, and accepts it if it is.
    fn store_batch(&mut self, batch: Arc<Batch>) {
        if self.batches.contains_key(&batch.id) {
            return;
        }
        let Some(batch) = self.pending.assemble(batch) else {
            return;
        };
        let id = batch.id.clone();
        if self.pending.stored.len() < MAX_PENDING_RECORDS {
            let key = (id.clone(), batch.submitted_unix_ms);
            self.pending.stored.insert(key, batch);
        }
        self.accept_stored(&id);
    }

    /// Accepts a batch if it is registered and its records were read.
    pub(super) fn accept_stored(&mut self, id: &Arc<str>) {
        let Some(registered) = self.registered.get(id) else {
            return;
        };
        let key = (id.clone(), registered.summary.submitted_unix_ms);
        let Some(batch) = self.pending.stored.remove(&key) else {
            return;
        };
        let state = BatchState {
            batch,
            results: ResultList::default(),
            ended: registered.ended,
        };
        self.pending.stored.retain(|(stored, _), _| stored != id);
        self.batches.insert(id.clone(), state);
        self.pending
            .take_results(id)
            .into_iter()
            .for_each(|result| self.add_result(result));
    }

    fn add_result(&mut self, result: SampleResult) {
        let Some(state) = self.batches.get_mut(&result.batch) else {
            self.pending.push_result(result);
            return;
        };
        if let Some(result) = state.results.add(result) {
            let sample = result.sample.clone();
            self.last_results.insert(&state.batch, sample, result);
        }
    }
}

/// Returns a batch from the records that the store holds of it, in any order; `None` if one is
/// missing.
pub fn joined_batch(id: &str, mut records: Vec<(u64, Record)>) -> Option<Arc<Batch>> {
    records.sort_by_key(|(offset, record)| (load_rank(record), *offset));
    let mut pending = PendingRecords::default();
    for (_, record) in records {
        match record {
            Record::Batch(batch) if *batch.id == *id => return pending.assemble(batch),
            other => pending.add_part(other),
        }
    }
    None
}

/// Returns the rank of a record among those of a batch that is loaded: the parts come first, then
/// the batch, then its results.
fn load_rank(record: &Record) -> u8 {
    match record {
        Record::BatchPart { .. } | Record::ScoringCalls { .. } => 0,
        Record::Batch(_) => 1,
        _ => 2,
    }
}
