//! Counts the runs of samples that failed, over all batches of their trainer.
//!
//! A sample whose group was not complete may come back in later batches, and engines that failed it would
//! fail it again. See `docs/incidents/hopeless-samples.md`.

use std::sync::Arc;

use super::{
    record::Batch,
    trainers::ByTrainer, //
};

/// Number of rejections after which a sample is not run again.
const MAX_REJECTIONS: u32 = 3;

/// Number of failed runs after which a sample is not run again, for each attempt that its route allows.
const MAX_FAILED_RUNS: u32 = 3;

/// Maximum number of samples that are counted. Samples that fail are few.
const MAX_SAMPLES: usize = 10_000;

/// How often engines failed a sample.
#[derive(Clone, Copy, Debug, Default)]
struct Failed {
    rejections: u32,
    runs: u32,
}

/// The samples that engines have failed.
#[derive(Debug, Default)]
pub struct Failures {
    by_sample: ByTrainer<Failed>,
}

impl Failures {
    /// Records that an engine answered that a sample can't be run.
    pub fn rejected(&mut self, batch: &Batch, sample: &Arc<str>) {
        self.count(batch, sample, |failed| failed.rejections += 1);
    }

    /// Records that a run of a sample failed.
    pub fn run_failed(&mut self, batch: &Batch, sample: &Arc<str>) {
        self.count(batch, sample, |failed| failed.runs += 1);
    }

    fn count(&mut self, batch: &Batch, sample: &Arc<str>, add: impl Fn(&mut Failed)) {
        let known = self.by_sample.get(batch, sample).copied();
        if known.is_none() && self.by_sample.len() >= MAX_SAMPLES {
            return;
        }
        let mut failed = known.unwrap_or_default();
        add(&mut failed);
        self.by_sample.insert(batch, sample.clone(), failed);
    }

    /// Returns the samples of a batch's trainer that are not to be run again. `max_attempts` returns the
    /// attempts that the route of a sample allows, or `None` for one that is not wanted.
    pub fn hopeless(
        &self,
        batch: &Batch,
        max_attempts: impl Fn(&str) -> Option<u32>,
    ) -> Vec<Arc<str>> {
        let is_hopeless = |(sample, failed): &(&Arc<str>, &Failed)| {
            max_attempts(sample).is_some_and(|max_attempts| {
                failed.rejections >= MAX_REJECTIONS
                    || failed.runs >= MAX_FAILED_RUNS.saturating_mul(max_attempts)
            })
        };
        let counted = self.by_sample.of_trainer(batch).into_iter().flatten();
        let hopeless = counted.filter(is_hopeless);
        hopeless.map(|(sample, _)| sample.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
