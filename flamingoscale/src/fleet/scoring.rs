//! Decides when complete texts are scored, and what becomes of a sample whose scoring call failed.
//!
//! The scoring service also serves callers' lookups. The calls of one instance keep to a share of
//! the service's slots and use more only while others leave room, so that lookups find a free slot
//! and calls never wait behind lookups. See `docs/design/scoring.md`.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    ledger::Ledger,
    sampling::SampleId, //
};

/// Base of the delay before a call is repeated that got no answer. The delay doubles with each
/// consecutive call of the sample without an answer.
const BASE_RETRY_DELAY_MS: u64 = 50;

/// Upper limit of the retry delay.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// After this many consecutive calls without an answer the service counts as down: then a single
/// call at a time probes it.
const DOWN_AFTER_CALLS: u32 = 8;

/// Share of a service's slots, in quarters, that scoring calls may fill while they are free.
const SHARED_SLOT_QUARTERS: u32 = 3;

/// Identifies one text of a sample. A score is valid only for the text that it was requested for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextNumber(u64);

/// How many calls one instance may send to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimit {
    /// Number of calls at the same time; see [`call_limit`].
    pub concurrent: u32,
    /// Number of calls that may be sent now; `None` if an endpoint of the service names no request
    /// limit.
    pub permits: Option<u32>,
}

/// A scoring call to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScoringStart {
    /// The sample.
    pub sample: SampleId,
    /// The text of the sample that the call is for.
    pub text: TextNumber,
}

/// How a scoring call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoringEnd {
    /// The service returned the score.
    Scored(Arc<str>),
    /// This many runs of the call failed at the service, and none gave a score.
    Failed {
        /// Number of runs.
        answers: u32,
    },
    /// No run of the call failed, and none gave a score: the service did not answer, refused the call, or
    /// was out of time.
    Unanswered,
}

/// What becomes of the sample after a scoring call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoringOutcome {
    /// The text has this score.
    Scored(Arc<str>),
    /// The sample is abandoned, because the service failed too often.
    Abandoned,
    /// The call is repeated later.
    Repeated,
    /// The call was for a text that is no longer to be scored. Its score must not be used.
    Outdated,
}

/// A complete text without a score.
#[derive(Debug)]
struct UnscoredText {
    text: TextNumber,
    complete_since_ms: u64,
    /// The service that is being called; `None` if no call is in flight.
    called_service: Option<Arc<str>>,
    /// Number of failures that the service answered.
    failures: u32,
    /// Consecutive calls without an answer.
    unanswered_calls: u32,
    /// Earliest time of the next call, in monotonic milliseconds.
    not_before_ms: u64,
}

/// Schedules the scoring calls of the samples that this instance runs.
#[derive(Debug, Default)]
pub struct Scorer {
    unscored: HashMap<SampleId, UnscoredText>,
    next_text: u64,
    /// Consecutive calls without an answer, of all samples, by service.
    unanswered_calls: HashMap<Arc<str>, u32>,
}

impl Scorer {
    /// Adds a complete text. It replaces any earlier text of the sample.
    pub fn add(&mut self, sample: SampleId, now_ms: u64) -> TextNumber {
        let text = TextNumber(self.next_text);
        self.next_text += 1;
        self.unscored.insert(
            sample,
            UnscoredText {
                text,
                complete_since_ms: now_ms,
                called_service: None,
                failures: 0,
                unanswered_calls: 0,
                not_before_ms: 0,
            },
        );
        text
    }

    /// Keeps the texts of the samples for which `is_needed` returns `true` and returns the other
    /// samples.
    pub fn retain(&mut self, is_needed: impl Fn(&SampleId) -> bool) -> Vec<SampleId> {
        let dropped = self.unscored.keys().filter(|sample| !is_needed(sample));
        let dropped: Vec<SampleId> = dropped.cloned().collect();
        for sample in &dropped {
            self.unscored.remove(sample);
        }
        dropped
    }

    /// Returns the calls to send now and marks them as in flight. Samples of older batches come
    /// first, then those of groups that lack the fewest results.
    ///
    /// `service` returns the service that scores a sample, or `None` if no route leads to one, and
    /// `limit` the number of concurrent calls to a service; see [`call_limit`].
    pub fn next_calls(
        &mut self,
        ledger: &Ledger,
        service: &dyn Fn(&SampleId) -> Option<Arc<str>>,
        limit: &dyn Fn(&str) -> CallLimit,
        now_ms: u64,
    ) -> Vec<ScoringStart> {
        let mut in_flight: HashMap<Arc<str>, u32> = HashMap::new();
        for called in self.unscored.values().filter_map(UnscoredText::called) {
            *in_flight.entry(called.clone()).or_default() += 1;
        }
        let due =
            |state: &&UnscoredText| state.called_service.is_none() && now_ms >= state.not_before_ms;
        let mut missing_by_group = MissingResults::default();
        let mut candidates: Vec<_> = self
            .unscored
            .iter()
            .filter(|(_, state)| due(state))
            .map(|(sample, state)| {
                let rank = missing_by_group.rank(ledger, sample);
                ((rank, state.complete_since_ms), sample.clone())
            })
            .collect();
        candidates.sort();
        let mut started: HashMap<Arc<str>, u32> = HashMap::new();
        let mut starts = Vec::new();
        for (_, sample) in candidates {
            let Some(service) = service(&sample) else {
                continue;
            };
            let is_down = self.unanswered_calls.get(&service) >= Some(&DOWN_AFTER_CALLS);
            let limit = limit(&service);
            let concurrent = if is_down { 1 } else { limit.concurrent };
            let calls = in_flight.entry(service.clone()).or_default();
            let sent = started.entry(service.clone()).or_default();
            if *calls >= concurrent || limit.permits.is_some_and(|permits| *sent >= permits) {
                continue;
            }
            if let Some(state) = self.unscored.get_mut(&sample) {
                *calls += 1;
                *sent += 1;
                state.called_service = Some(service);
                starts.push(ScoringStart {
                    text: state.text,
                    sample,
                });
            }
        }
        starts
    }

    /// Records the end of a call. `max_failures` is the number of answered failures after which the
    /// sample is abandoned.
    pub fn call_ended(
        &mut self,
        start: &ScoringStart,
        end: ScoringEnd,
        max_failures: u32,
        now_ms: u64,
    ) -> ScoringOutcome {
        let current = self.unscored.get_mut(&start.sample);
        let Some(state) = current.filter(|state| state.text == start.text) else {
            return ScoringOutcome::Outdated;
        };
        let service = state.called_service.take().unwrap_or_default();
        let service_unanswered = self.unanswered_calls.entry(service).or_default();
        match end {
            ScoringEnd::Scored(score) => {
                *service_unanswered = 0;
                self.unscored.remove(&start.sample);
                return ScoringOutcome::Scored(score);
            }
            ScoringEnd::Failed { answers } => {
                *service_unanswered = 0;
                state.failures += answers;
                if state.failures >= max_failures {
                    self.unscored.remove(&start.sample);
                    return ScoringOutcome::Abandoned;
                }
                state.unanswered_calls = 0;
            }
            ScoringEnd::Unanswered => {
                *service_unanswered += 1;
                let delay_ms = BASE_RETRY_DELAY_MS << state.unanswered_calls.min(5);
                state.unanswered_calls += 1;
                state.not_before_ms = now_ms + delay_ms.min(MAX_RETRY_DELAY_MS);
            }
        }
        ScoringOutcome::Repeated
    }

    /// Returns the number of texts that wait for their score.
    pub fn len(&self) -> usize {
        self.unscored.len()
    }

    /// Returns whether no text waits for its score.
    pub fn is_empty(&self) -> bool {
        self.unscored.is_empty()
    }
}

impl UnscoredText {
    fn called(&self) -> Option<&Arc<str>> {
        self.called_service.as_ref()
    }
}

/// The number of samples without a result, by batch and group.
#[derive(Default)]
struct MissingResults {
    by_group: HashMap<(Arc<str>, Arc<str>), usize>,
}

impl MissingResults {
    /// Returns the submission time of a sample's batch and the number of results that the sample's
    /// group lacks.
    fn rank(&mut self, ledger: &Ledger, (batch, sample): &SampleId) -> (u64, usize) {
        let Some(state) = ledger.batches.get(batch) else {
            return (u64::MAX, usize::MAX);
        };
        let submitted_unix_ms = state.batch.submitted_unix_ms;
        let Some(group) = state.sample(sample).map(|sample| sample.group.clone()) else {
            return (submitted_unix_ms, usize::MAX);
        };
        let missing = self
            .by_group
            .entry((batch.clone(), group.clone()))
            .or_insert_with(|| {
                let samples = state.batch.samples.iter();
                samples
                    .filter(|sample| sample.group == group)
                    .filter(|sample| !state.results.contains(&sample.id))
                    .count()
            });
        (submitted_unix_ms, *missing)
    }
}

/// Returns how many calls one instance may send to a scoring service at the same time.
///
/// `slots` is the number of requests that the service runs at once, `other_load` what others have
/// there, and `callers` the number of instances that may send such calls. Half of the slots are
/// divided among the instances; beyond its share an instance uses slots that are free, but always
/// leaves a quarter of them to lookups.
pub fn call_limit(slots: u32, other_load: u32, callers: u32) -> u32 {
    let share = slots / 2 / callers.max(1);
    let free = slots.saturating_mul(SHARED_SLOT_QUARTERS) / 4;
    let free = free.saturating_sub(other_load);
    share.max(free).max(1)
}

#[cfg(test)]
mod tests;
