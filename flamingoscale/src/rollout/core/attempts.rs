//! Attempts: one run of one sample on one engine.

use super::{
    hedging::update_mean,
    *, //
};

/// Upper bound of the delay before a refused sample is offered again.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Input of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AttemptSpec {
    /// Key of the attempt.
    pub(crate) key: AttemptKey,
    /// Sample to generate.
    pub(crate) sample: SampleKey,
    /// Trainer that owns the step.
    pub(crate) trainer: Arc<str>,
    /// Contents of the step.
    pub(crate) contents: Arc<OpenStep>,
    /// Index of the group in the step, which selects the prompt.
    pub(crate) group: u32,
    /// Index of the sample in its group.
    pub(crate) index: u16,
    /// Oldest weight version that may run the attempt.
    pub(crate) oldest_version: u64,
    /// Engines to avoid, because another attempt at this sample is slow there.
    pub(crate) avoid: Vec<EndpointKey>,
}

/// A complete generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Generated {
    /// Generated text.
    pub(crate) text: String,
    /// Number of tokens in the text.
    pub(crate) tokens: u32,
    /// Weight versions that produced the tokens; empty if they could not be determined.
    pub(crate) versions: Vec<VersionSpan>,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptEnd {
    /// The generation is complete.
    Generated(Generated),
    /// No engine accepted the attempt.
    Refused {
        /// Delay before the sample may be offered again.
        retry_after_ms: u64,
    },
    /// The attempt failed after it may have started.
    Failed,
}

/// A running attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) sample: SampleKey,
    pub(super) trainer: Arc<str>,
    pub(super) started_ms: u64,
    pub(super) endpoint: Option<EndpointKey>,
    pub(super) tokens: u32,
    pub(super) progress_ms: u64,
    /// Moving average of its generation speed.
    pub(super) tokens_per_ms: f64,
    pub(super) hedged: bool,
}

impl Core {
    /// Starts attempts for one trainer while its window has room, oldest step first.
    pub(super) fn start_waiting(&mut self, trainer: &Arc<str>, now_ms: u64) {
        while let Some(sample) = self.next_sample(trainer, now_ms) {
            self.start(sample, false, Vec::new(), now_ms);
        }
    }

    fn next_sample(&mut self, trainer: &Arc<str>, now_ms: u64) -> Option<SampleKey> {
        let state = self.trainers.get(trainer)?;
        if state.in_flight >= state.window.size() {
            return None;
        }
        for &key in &state.steps {
            let step = self.steps.get_mut(key)?;
            step.release_delayed(now_ms);
            if let Some(position) = step.waiting.pop_front() {
                let step = key;
                return Some(SampleKey { step, position });
            }
        }
        None
    }

    pub(super) fn start(
        &mut self,
        sample: SampleKey,
        hedged: bool,
        avoid: Vec<EndpointKey>,
        now_ms: u64,
    ) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let trainer = step.trainer.clone();
        let state = self.trainers.entry(trainer.clone()).or_default();
        let key = AttemptKey(self.next_attempt);
        self.next_attempt += 1;
        state.in_flight += 1;
        let slot = &mut step.slots[sample.position as usize];
        slot.state = SampleState::Generating;
        slot.attempts.push(key);
        let (group, index) = step.group_and_index(sample.position);
        let bound = state
            .params
            .staleness_bound
            .min(step.contents.staleness_bound);
        let spec = AttemptSpec {
            key,
            sample,
            trainer: trainer.clone(),
            contents: step.contents.clone(),
            group,
            index,
            oldest_version: state
                .sample_stats
                .oldest_version(state.params.newest_version, bound),
            avoid,
        };
        let attempt = Attempt {
            sample,
            trainer,
            started_ms: now_ms,
            endpoint: None,
            tokens: 0,
            progress_ms: now_ms,
            tokens_per_ms: 0.0,
            hedged,
        };
        self.attempts.insert(key, attempt);
        self.actions.push(Action::Start(spec));
    }

    /// Records that an engine accepted the attempt. The attempt's running time counts from now.
    pub(crate) fn started(&mut self, key: AttemptKey, endpoint: EndpointKey, now_ms: u64) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.endpoint = Some(endpoint);
            attempt.progress_ms = now_ms;
            attempt.started_ms = now_ms;
        }
    }

    /// Records progress: `tokens` have been generated so far.
    pub(crate) fn progressed(&mut self, key: AttemptKey, tokens: u32, now_ms: u64) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            let elapsed_ms = now_ms.saturating_sub(attempt.progress_ms).max(1);
            let new_tokens = f64::from(tokens.saturating_sub(attempt.tokens));
            update_mean(&mut attempt.tokens_per_ms, new_tokens / elapsed_ms as f64);
            attempt.tokens = tokens;
            attempt.progress_ms = now_ms;
        }
    }

    /// Handles the end of an attempt.
    pub(crate) fn ended(&mut self, key: AttemptKey, end: AttemptEnd, now_ms: u64) {
        let Some(attempt) = self.remove_attempt(key) else {
            self.count_late(&end);
            return;
        };
        match end {
            AttemptEnd::Generated(generated) => self.on_generated(&attempt, generated, now_ms),
            AttemptEnd::Refused { retry_after_ms } => {
                if let Some(state) = self.trainers.get_mut(&attempt.trainer) {
                    state.window.shrink();
                }
                let wait_ms = retry_after_ms.clamp(REDRAW_DELAY_MS, MAX_BACKOFF_MS);
                self.redraw_unless_running(attempt.sample, now_ms + wait_ms);
            }
            AttemptEnd::Failed => {
                self.stats.discarded_tokens += u64::from(attempt.tokens);
                self.note(
                    "sample.failed",
                    attempt.sample.step,
                    attempt.sample.position,
                );
                self.redraw_unless_running(attempt.sample, now_ms + REDRAW_DELAY_MS);
            }
        }
    }

    fn count_late(&mut self, end: &AttemptEnd) {
        if let AttemptEnd::Generated(generated) = end {
            self.stats.late_results += 1;
            self.stats.discarded_tokens += u64::from(generated.tokens);
        }
    }

    fn on_generated(&mut self, attempt: &Attempt, generated: Generated, now_ms: u64) {
        let tokens = generated.tokens;
        let params = self
            .trainers
            .get(&attempt.trainer)
            .map(|state| state.params);
        let params = params.unwrap_or_default();
        let Some(step) = self.steps.get_mut(attempt.sample.step) else {
            return;
        };
        let position = attempt.sample.position;
        let bound = params.staleness_bound.min(step.contents.staleness_bound);
        let reason = if !versions_known(&generated) {
            self.stats.unknown_versions += 1;
            Some("sample.versions_unknown")
        } else if !is_fresh(&generated.versions, params.newest_version, bound) {
            self.stats.stale += 1;
            Some("sample.stale")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.stats.discarded_tokens += u64::from(tokens);
            self.note(reason, attempt.sample.step, position);
            self.redraw_unless_running(attempt.sample, now_ms + REDRAW_DELAY_MS);
            return;
        }
        if let Some(state) = self.trainers.get_mut(&attempt.trainer) {
            state.window.grow();
            state
                .sample_stats
                .observe_sample(tokens, now_ms.saturating_sub(attempt.started_ms));
        }
        self.accept_result(attempt.sample, generated);
    }

    /// Accepts the first result of a sample and cancels its other attempts.
    fn accept_result(&mut self, sample: SampleKey, generated: Generated) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let other_attempts = std::mem::take(&mut step.slots[sample.position as usize].attempts);
        let (group, index) = step.group_and_index(sample.position);
        let result = Sample {
            group,
            index,
            text: generated.text,
            tokens: generated.tokens,
            versions: generated.versions,
            score: None,
        };
        let scoring = step.contents.scoring.is_some();
        let state = if scoring {
            SampleState::Scoring
        } else {
            SampleState::Copying
        };
        let draw = step.accept(sample.position, result, state);
        self.actions.push(if scoring {
            Action::Score { sample, draw }
        } else {
            Action::Replicate(sample.step)
        });
        self.note("sample.accept", sample.step, sample.position);
        for other in other_attempts {
            self.cancel_attempt(other);
        }
    }

    fn redraw_unless_running(&mut self, sample: SampleKey, ready_ms: u64) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let slot = &step.slots[sample.position as usize];
        if slot.state == SampleState::Generating && slot.attempts.is_empty() {
            step.redraw(sample.position, ready_ms);
        }
    }

    /// Removes an attempt from its sample and from its trainer's window.
    fn remove_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        if let Some(state) = self.trainers.get_mut(&attempt.trainer) {
            state.in_flight -= 1;
        }
        if let Some(step) = self.steps.get_mut(attempt.sample.step) {
            let slot = &mut step.slots[attempt.sample.position as usize];
            slot.attempts.retain(|&other| other != key);
        }
        Some(attempt)
    }

    /// Cancels an attempt. Its tokens so far count as discarded.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.remove_attempt(key) {
            self.stats.discarded_tokens += u64::from(attempt.tokens);
            self.actions.push(Action::Cancel(key));
        }
    }
}

/// Whether the version spans account for every token.
fn versions_known(generated: &Generated) -> bool {
    let accounted_tokens: u64 = generated.versions.iter().map(|s| u64::from(s.tokens)).sum();
    !generated.versions.is_empty() && accounted_tokens == u64::from(generated.tokens)
}
