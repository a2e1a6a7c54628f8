//! Hedged attempts for stragglers, and the statistics by which stragglers are detected.

use super::*;

/// Limits the hedged attempts of a step that run at once: one per this many samples,
/// and at least one.
const SAMPLES_PER_HEDGE: u32 = 16;

/// The same limit for a step that is past its deadline.
const LATE_SAMPLES_PER_HEDGE: u32 = 4;

/// An attempt is a straggler if its engine generates at less than the typical rate divided by this
/// factor.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Minimum running time before an attempt can be classified as a straggler.
const MIN_ATTEMPT_AGE_MS: u64 = 2_000;

/// Expected duration of a sample until the first one has finished.
const INITIAL_SAMPLE_MS: u64 = 10_000;

/// An attempt that is queued at its engine becomes a straggler after this many typical sample
/// durations.
const QUEUED_STRAGGLER_FACTOR: f64 = 3.0;

/// If an attempt has reported no progress for longer than this, its measured speed is multiplied by
/// this time divided by the time since its last progress.
const PROGRESS_DECAY_MS: f64 = 1_000.0;

/// Weight of the newest observation in an exponential moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Moving averages of the token count, duration and generation speed of a trainer's samples, and of
/// the interval between the trainer's versions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SampleStats {
    tokens: f64,
    tokens_per_ms: f64,
    sample_ms: f64,
    version: u64,
    version_ms: u64,
    version_interval_ms: f64,
}

impl SampleStats {
    /// Records a finished sample.
    pub(super) fn observe_sample(&mut self, tokens: u32, duration_ms: u64) {
        let duration_ms = duration_ms.max(1) as f64;
        update_mean(&mut self.tokens, f64::from(tokens));
        update_mean(&mut self.sample_ms, duration_ms);
        update_mean(&mut self.tokens_per_ms, f64::from(tokens) / duration_ms);
    }

    /// Typical duration of a sample, or an initial estimate before the first one has finished.
    pub(super) fn typical_sample_ms(&self) -> u64 {
        if self.sample_ms > 0.0 {
            self.sample_ms as u64
        } else {
            INITIAL_SAMPLE_MS
        }
    }

    /// Records the newest version.
    pub(super) fn observe_version(&mut self, version: u64, now_ms: u64) {
        if version <= self.version {
            return;
        }
        if self.version > 0 {
            let since_ms = now_ms.saturating_sub(self.version_ms) as f64;
            let versions = (version - self.version) as f64;
            update_mean(&mut self.version_interval_ms, since_ms / versions);
        }
        self.version = version;
        self.version_ms = now_ms;
    }

    /// Oldest version on which a sample may start so that it is still expected to be within the
    /// staleness bound when it finishes.
    pub(super) fn oldest_version(&self, newest_version: u64, bound: u64) -> u64 {
        let expected_versions = if self.version_interval_ms > 0.0 {
            (self.sample_ms / self.version_interval_ms).round() as u64
        } else {
            0
        };
        newest_version.saturating_sub(bound.saturating_sub(expected_versions))
    }

    /// Whether a new attempt is very likely to finish before this one.
    fn is_straggler(&self, attempt: &Attempt, now_ms: u64) -> bool {
        let ran_ms = now_ms.saturating_sub(attempt.started_ms);
        if self.tokens_per_ms <= 0.0 || ran_ms < MIN_ATTEMPT_AGE_MS {
            return false;
        }
        if attempt.endpoint.is_none() {
            // The attempt is queued for a slot, as a hedged attempt would be, so only a stalled
            // queue makes it a straggler.
            return ran_ms as f64 > QUEUED_STRAGGLER_FACTOR * self.sample_ms;
        }
        let idle_ms = now_ms.saturating_sub(attempt.progress_ms);
        let decay = (PROGRESS_DECAY_MS / idle_ms.max(1) as f64).min(1.0);
        attempt.tokens_per_ms * decay * STRAGGLER_FACTOR < self.tokens_per_ms
    }
}

pub(super) fn update_mean(average: &mut f64, observed: f64) {
    *average = if *average > 0.0 {
        *average + EWMA_WEIGHT * (observed - *average)
    } else {
        observed
    };
}

impl Core {
    /// Starts hedged attempts for steps that wait only for stragglers.
    pub(super) fn start_hedges(&mut self, trainer: &Arc<str>, now_ms: u64) {
        let Some(state) = self.trainers.get(trainer) else {
            return;
        };
        if !self.limits.hedging {
            return;
        }
        let sample_stats = state.sample_stats;
        for key in state.steps.clone() {
            for (sample, slow_endpoint) in self.stragglers(key, &sample_stats, now_ms) {
                self.stats.hedged_attempts += 1;
                self.note("sample.second_try", sample.step, sample.position);
                self.start(sample, true, slow_endpoint.into_iter().collect(), now_ms);
            }
        }
    }

    fn stragglers(
        &self,
        key: StepKey,
        sample_stats: &SampleStats,
        now_ms: u64,
    ) -> Vec<(SampleKey, Option<EndpointKey>)> {
        let Some(step) = self.steps.get(key) else {
            return Vec::new();
        };
        if step.has_waiting() || !matches!(step.phase, Phase::Generating) {
            return Vec::new();
        }
        let attempts = || step.slots.iter().flat_map(|slot| &slot.attempts);
        let hedged =
            attempts().filter(|key| self.attempts.get(key).is_some_and(|attempt| attempt.hedged));
        let samples_per_hedge = if step.is_late(now_ms) {
            LATE_SAMPLES_PER_HEDGE
        } else {
            SAMPLES_PER_HEDGE
        };
        let budget = (step.expected() / samples_per_hedge).max(1) as usize;
        let remaining = budget.saturating_sub(hedged.count());
        let unhedged = step.slots.iter().filter(|slot| slot.attempts.len() == 1);
        let running = unhedged.filter_map(|slot| self.attempts.get(&slot.attempts[0]));
        running
            .filter(|attempt| !attempt.hedged && sample_stats.is_straggler(attempt, now_ms))
            .map(|attempt| (attempt.sample, attempt.endpoint))
            .take(remaining)
            .collect()
    }
}
