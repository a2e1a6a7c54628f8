//! Second tries for stragglers, and the pace by which they are found.

use super::*;

/// Second tries that run at once, as a share of the step's samples: one in this many.
const SECOND_TRIES_ONE_IN: u32 = 16;

/// The same for a step that is past its deadline.
const LATE_SECOND_TRIES_ONE_IN: u32 = 4;

/// A try counts as slow when its engine gives less than one in this many of the usual rate.
const SLOW_FACTOR: f64 = 3.0;

/// A try is not judged before it ran this long.
const JUDGED_AFTER_MS: u64 = 2_000;

/// How long a sample is expected to take before the first is through.
const FIRST_SAMPLE_MS: u64 = 10_000;

/// A try that waits for its engine is left there for this many usual samples.
const QUEUE_PATIENCE: f64 = 3.0;

/// A try that shows nothing for longer than this counts as slower than it last was.
const SILENT_MS: f64 = 1_000.0;

/// Weight of the newest observation in a running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// What a trainer's samples are usually like.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    tokens: f64,
    tokens_per_ms: f64,
    sample_ms: f64,
    version: u64,
    version_ms: u64,
    between_versions_ms: f64,
}

impl Pace {
    /// Takes in a finished sample.
    pub(super) fn finished(&mut self, tokens: u32, took_ms: u64) {
        let took_ms = took_ms.max(1) as f64;
        mean(&mut self.tokens, f64::from(tokens));
        mean(&mut self.sample_ms, took_ms);
        mean(&mut self.tokens_per_ms, f64::from(tokens) / took_ms);
    }

    /// How long a sample usually takes; a guess before the first is through.
    pub(super) fn usual_sample_ms(&self) -> u64 {
        if self.sample_ms > 0.0 {
            self.sample_ms as u64
        } else {
            FIRST_SAMPLE_MS
        }
    }

    /// Takes in the newest version.
    pub(super) fn saw_version(&mut self, version: u64, now_ms: u64) {
        if version <= self.version {
            return;
        }
        if self.version > 0 {
            let since_ms = now_ms.saturating_sub(self.version_ms) as f64;
            let versions = (version - self.version) as f64;
            mean(&mut self.between_versions_ms, since_ms / versions);
        }
        self.version = version;
        self.version_ms = now_ms;
    }

    /// The oldest version that may run a sample which must still be fresh when it is finished.
    pub(super) fn oldest_version(&self, newest_version: u64, bound: u64) -> u64 {
        let ahead = if self.between_versions_ms > 0.0 {
            (self.sample_ms / self.between_versions_ms).round() as u64
        } else {
            0
        };
        newest_version.saturating_sub(bound.saturating_sub(ahead))
    }

    /// Whether a fresh try would very likely be through before this one.
    fn is_straggler(&self, running: &Try, now_ms: u64) -> bool {
        let ran_ms = now_ms.saturating_sub(running.started_ms);
        if self.tokens_per_ms <= 0.0 || ran_ms < JUDGED_AFTER_MS {
            return false;
        }
        if running.endpoint.is_none() {
            // It waits for a slot, as a second try would; only a queue that stands still is left.
            return ran_ms as f64 > QUEUE_PATIENCE * self.sample_ms;
        }
        let silent_ms = now_ms.saturating_sub(running.progress_ms);
        let lively = (SILENT_MS / silent_ms.max(1) as f64).min(1.0);
        running.tokens_per_ms * lively * SLOW_FACTOR < self.tokens_per_ms
    }
}

pub(super) fn mean(kept: &mut f64, observed: f64) {
    *kept = if *kept > 0.0 {
        *kept + NEWEST_WEIGHT * (observed - *kept)
    } else {
        observed
    };
}

impl Core {
    /// Starts second tries where a step waits only for stragglers.
    pub(super) fn draw_second(&mut self, trainer: &Arc<str>, now_ms: u64) {
        let Some(state) = self.trainers.get(trainer) else {
            return;
        };
        if !self.limits.second_tries {
            return;
        }
        let pace = state.pace;
        for key in state.steps.clone() {
            for (sample, slow) in self.stragglers(key, &pace, now_ms) {
                self.costs.second_tries += 1;
                self.note("sample.second_try", sample.step, sample.position);
                self.start(sample, true, slow.into_iter().collect(), now_ms);
            }
        }
    }

    fn stragglers(
        &self,
        key: StepKey,
        pace: &Pace,
        now_ms: u64,
    ) -> Vec<(SampleKey, Option<EndpointKey>)> {
        let Some(step) = self.steps.get(key) else {
            return Vec::new();
        };
        if step.has_waiting() || !matches!(step.phase, Phase::Drawing) {
            return Vec::new();
        }
        let tries = || step.slots.iter().flat_map(|slot| &slot.tries);
        let second = tries().filter(|key| self.tries.get(key).is_some_and(|t| t.second));
        let one_in = if step.is_late(now_ms) {
            LATE_SECOND_TRIES_ONE_IN
        } else {
            SECOND_TRIES_ONE_IN
        };
        let budget = (step.expected() / one_in).max(1) as usize;
        let left = budget.saturating_sub(second.count());
        let alone = step.slots.iter().filter(|slot| slot.tries.len() == 1);
        let running = alone.filter_map(|slot| self.tries.get(&slot.tries[0]));
        running
            .filter(|running| !running.second && pace.is_straggler(running, now_ms))
            .map(|running| (running.sample, running.endpoint))
            .take(left)
            .collect()
    }
}
