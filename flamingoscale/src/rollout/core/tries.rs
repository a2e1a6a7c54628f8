//! Tries: one run of one sample on one engine.

use super::{
    second::mean,
    *, //
};

/// Longest wait before a refused sample is offered again.
const LONGEST_BACKOFF_MS: u64 = 2_000;

/// What a try should generate.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Draw {
    /// The try.
    pub(crate) key: TryKey,
    /// The sample.
    pub(crate) sample: SampleKey,
    /// The trainer.
    pub(crate) trainer: Arc<str>,
    /// The step's contents.
    pub(crate) contents: Arc<OpenStep>,
    /// The group.
    pub(crate) group: u32,
    /// The index in its group.
    pub(crate) index: u16,
    /// The oldest version that may run it.
    pub(crate) oldest_version: u64,
    /// Engines to keep away from.
    pub(crate) avoid: Vec<EndpointKey>,
}

/// A generation that came to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Generated {
    /// The text.
    pub(crate) text: String,
    /// Its tokens.
    pub(crate) tokens: u32,
    /// The versions that produced it; empty when they can't be known.
    pub(crate) versions: Vec<VersionSpan>,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ended {
    /// With a whole generation.
    Generated(Generated),
    /// No engine took it.
    Refused {
        /// When to offer it again.
        retry_after_ms: u64,
    },
    /// It broke off.
    Failed,
}

/// A try that runs.
#[derive(Debug)]
pub(super) struct Try {
    pub(super) sample: SampleKey,
    pub(super) trainer: Arc<str>,
    pub(super) started_ms: u64,
    pub(super) endpoint: Option<EndpointKey>,
    pub(super) tokens: u32,
    pub(super) progress_ms: u64,
    /// Its speed of late.
    pub(super) tokens_per_ms: f64,
    pub(super) second: bool,
}

impl Core {
    /// Starts tries for one trainer while its window has room, oldest step first.
    pub(super) fn draw(&mut self, trainer: &Arc<str>, now_ms: u64) {
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
            step.wake_delayed(now_ms);
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
        second: bool,
        avoid: Vec<EndpointKey>,
        now_ms: u64,
    ) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let trainer = step.trainer.clone();
        let state = self.trainers.entry(trainer.clone()).or_default();
        let key = TryKey(self.next_try);
        self.next_try += 1;
        state.in_flight += 1;
        let slot = &mut step.slots[sample.position as usize];
        slot.place = Place::Drawing;
        slot.tries.push(key);
        let (group, index) = step.identity(sample.position);
        let bound = state
            .facts
            .staleness_bound
            .min(step.contents.staleness_bound);
        let draw = Draw {
            key,
            sample,
            trainer: trainer.clone(),
            contents: step.contents.clone(),
            group,
            index,
            oldest_version: state.pace.oldest_version(state.facts.newest_version, bound),
            avoid,
        };
        let started = Try {
            sample,
            trainer,
            started_ms: now_ms,
            endpoint: None,
            tokens: 0,
            progress_ms: now_ms,
            tokens_per_ms: 0.0,
            second,
        };
        self.tries.insert(key, started);
        self.actions.push(Action::Start(draw));
    }

    /// An engine took a try.
    pub(crate) fn started(&mut self, key: TryKey, endpoint: EndpointKey, now_ms: u64) {
        if let Some(running) = self.tries.get_mut(&key) {
            running.endpoint = Some(endpoint);
            running.progress_ms = now_ms;
            running.started_ms = now_ms;
        }
    }

    /// A try has come so far.
    pub(crate) fn progressed(&mut self, key: TryKey, tokens: u32, now_ms: u64) {
        if let Some(running) = self.tries.get_mut(&key) {
            let since_ms = now_ms.saturating_sub(running.progress_ms).max(1);
            let gained = f64::from(tokens.saturating_sub(running.tokens));
            mean(&mut running.tokens_per_ms, gained / since_ms as f64);
            running.tokens = tokens;
            running.progress_ms = now_ms;
        }
    }

    /// A try ended.
    pub(crate) fn ended(&mut self, key: TryKey, ended: Ended, now_ms: u64) {
        let Some(over) = self.take_try(key) else {
            self.count_late(&ended);
            return;
        };
        match ended {
            Ended::Generated(generated) => self.generated(&over, generated, now_ms),
            Ended::Refused { retry_after_ms } => {
                if let Some(state) = self.trainers.get_mut(&over.trainer) {
                    state.window.shrink();
                }
                let wait_ms = retry_after_ms.clamp(REDRAW_MS, LONGEST_BACKOFF_MS);
                self.draw_unless_running(over.sample, now_ms + wait_ms);
            }
            Ended::Failed => {
                self.costs.tokens_thrown_away += u64::from(over.tokens);
                self.note("sample.failed", over.sample.step, over.sample.position);
                self.draw_unless_running(over.sample, now_ms + REDRAW_MS);
            }
        }
    }

    fn count_late(&mut self, ended: &Ended) {
        if let Ended::Generated(generated) = ended {
            self.costs.late_results += 1;
            self.costs.tokens_thrown_away += u64::from(generated.tokens);
        }
    }

    fn generated(&mut self, over: &Try, generated: Generated, now_ms: u64) {
        let tokens = generated.tokens;
        let facts = self.trainers.get(&over.trainer).map(|state| state.facts);
        let facts = facts.unwrap_or_default();
        let Some(step) = self.steps.get_mut(over.sample.step) else {
            return;
        };
        let position = over.sample.position;
        let bound = facts.staleness_bound.min(step.contents.staleness_bound);
        let reason = if !are_known(&generated) {
            self.costs.unknown_versions += 1;
            Some("sample.versions_unknown")
        } else if !is_fresh(&generated.versions, facts.newest_version, bound) {
            self.costs.stale += 1;
            Some("sample.stale")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.costs.tokens_thrown_away += u64::from(tokens);
            self.note(reason, over.sample.step, position);
            self.draw_unless_running(over.sample, now_ms + REDRAW_MS);
            return;
        }
        if let Some(state) = self.trainers.get_mut(&over.trainer) {
            state.window.grow();
            state
                .pace
                .finished(tokens, now_ms.saturating_sub(over.started_ms));
        }
        self.take_in(over.sample, generated);
    }

    /// The first result of a sample wins; its other tries are cancelled.
    fn take_in(&mut self, sample: SampleKey, generated: Generated) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let losers = std::mem::take(&mut step.slots[sample.position as usize].tries);
        let (group, index) = step.identity(sample.position);
        let result = Sample {
            group,
            index,
            text: generated.text,
            tokens: generated.tokens,
            versions: generated.versions,
            score: None,
        };
        let scoring = step.contents.scoring.is_some();
        let place = if scoring {
            Place::Scoring
        } else {
            Place::Copying
        };
        let draw = step.accept(sample.position, result, place);
        self.actions.push(if scoring {
            Action::Score { sample, draw }
        } else {
            Action::Hold(sample.step)
        });
        self.note("sample.accept", sample.step, sample.position);
        for loser in losers {
            self.drop_try(loser);
        }
    }

    fn draw_unless_running(&mut self, sample: SampleKey, ready_ms: u64) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let slot = &step.slots[sample.position as usize];
        if slot.place == Place::Drawing && slot.tries.is_empty() {
            step.draw_again(sample.position, ready_ms);
        }
    }

    /// Takes an ended try out of its sample and its trainer's window.
    fn take_try(&mut self, key: TryKey) -> Option<Try> {
        let over = self.tries.remove(&key)?;
        if let Some(state) = self.trainers.get_mut(&over.trainer) {
            state.in_flight -= 1;
        }
        if let Some(step) = self.steps.get_mut(over.sample.step) {
            let slot = &mut step.slots[over.sample.position as usize];
            slot.tries.retain(|&kept| kept != key);
        }
        Some(over)
    }

    /// Cancels a try; what it generated so far is counted as cost.
    pub(super) fn drop_try(&mut self, key: TryKey) {
        if let Some(dropped) = self.take_try(key) {
            self.costs.tokens_thrown_away += u64::from(dropped.tokens);
            self.actions.push(Action::Cancel(key));
        }
    }
}

/// Whether the spans account for every token.
fn are_known(generated: &Generated) -> bool {
    let told: u64 = generated.versions.iter().map(|s| u64::from(s.tokens)).sum();
    !generated.versions.is_empty() && told == u64::from(generated.tokens)
}
