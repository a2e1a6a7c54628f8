//! Decision logic of a coordinator: which samples to request, which results to accept or discard,
//! and when to close a batch.
//!
//! A plain struct without I/O: events and the current time go in, [`Action`]s come out.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    rollout::{
        arena::{
            Arena,
            AttemptKey,
            SampleKey,
            StepKey, //
        },
        step::{
            is_fresh,
            Phase,
            SampleState,
            Step, //
        },
        window::{
            Share,
            Window, //
        },
        Epoch,
        SampleCopy, //
    },
    view::EndpointKey,
    wire::{
        Batch,
        OpenStep,
        Sample,
        VersionSpan, //
    }, //
};

mod attempts;
mod demand;
mod hedging;
mod limits;

pub(crate) use attempts::{
    AttemptEnd,
    AttemptSpec,
    Generated, //
};
pub(crate) use limits::{
    Limits,
    TooLarge, //
};

use attempts::Attempt;
use hedging::SampleStats;

/// Delay before a sample is requested again after a failure.
const REDRAW_DELAY_MS: u64 = 100;

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Start an attempt.
    Start(AttemptSpec),
    /// Stop an attempt whose result is no longer needed.
    Cancel(AttemptKey),
    /// Request the score of a sample.
    Score {
        /// Sample to score.
        sample: SampleKey,
        /// Draw number of the result to score.
        draw: u32,
    },
    /// Samples wait to be copied to the copy holder, or the batch waits for it to accept a
    /// [`Message::Seal`](crate::rollout::Message::Seal).
    Replicate(StepKey),
    /// The step has closed or ended: answer the fetches that wait for it.
    WakeFetches(StepKey),
    /// The step is over: tell its copy holder to discard the copies.
    Forget(StepKey),
    /// The step is no longer coordinated here: stop the task that replicates it.
    Release(StepKey),
    /// Record an event on the time line.
    Note {
        /// Event kind, which is also the name of its counter.
        kind: &'static str,
        /// Sample that the event concerns.
        sample: SampleKey,
    },
}

/// Configuration and versions of a trainer, as read from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TrainerParams {
    /// Newest weight version of the trainer's service.
    pub(crate) newest_version: u64,
    /// Configured staleness bound, in versions.
    pub(crate) staleness_bound: u64,
    /// The trainer's share of its service's slots.
    pub(crate) share: Share,
}

/// Result of opening a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OpenResult {
    /// The step is open, newly or since an earlier request.
    Open(StepKey),
    /// The step is open with different contents.
    Conflict,
    /// The step exceeds a memory limit.
    TooLarge(TooLarge),
}

/// Counters of a coordinator since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CoordinatorStats {
    /// Tokens of results that were discarded.
    pub(crate) discarded_tokens: u64,
    /// Results that arrived after another attempt had already delivered the sample.
    pub(crate) late_results: u64,
    /// Results whose weight versions could not be determined.
    pub(crate) unknown_versions: u64,
    /// Results that exceeded the staleness bound, on arrival or when the batch was closed.
    pub(crate) stale: u64,
    /// Hedged attempts started for stragglers.
    pub(crate) hedged_attempts: u64,
}

#[derive(Debug, Default)]
struct TrainerState {
    params: TrainerParams,
    window: Window,
    in_flight: u32,
    sample_stats: SampleStats,
    steps: Vec<StepKey>,
}

/// The steps that one instance coordinates.
#[derive(Debug, Default)]
pub(crate) struct Core {
    limits: Limits,
    steps: Arena<Step>,
    /// Open steps by trainer and step number.
    by_step_number: BTreeMap<(Arc<str>, u64), StepKey>,
    trainers: BTreeMap<Arc<str>, TrainerState>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    next_attempt: u64,
    stats: CoordinatorStats,
    actions: Vec<Action>,
}

impl Core {
    /// Creates a core with the given limits.
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns and clears the actions that resulted from the events since the last call.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Counters since the start.
    pub(crate) fn stats(&self) -> CoordinatorStats {
        self.stats
    }

    /// Finds an open step by trainer and step number.
    pub(crate) fn find(&self, trainer: &Arc<str>, step: u64) -> Option<StepKey> {
        self.by_step_number.get(&(trainer.clone(), step)).copied()
    }

    /// Returns an open step, or `None` if it was ended or released.
    pub(crate) fn step(&self, key: StepKey) -> Option<&Step> {
        self.steps.get(key)
    }

    /// Opens a step. Idempotent: opening it again with the same contents returns the existing key.
    pub(crate) fn open(
        &mut self,
        trainer: &Arc<str>,
        contents: Arc<OpenStep>,
        epoch: Epoch,
        now_ms: u64,
    ) -> OpenResult {
        if let Some(key) = self.find(trainer, contents.step) {
            return self.reopen(key, &contents, now_ms);
        }
        let used_bytes = self.used_bytes();
        if let Err(too_large) = self.limits.check(&contents, used_bytes) {
            return OpenResult::TooLarge(too_large);
        }
        let step_id = (trainer.clone(), contents.step);
        let step = Step::new(trainer.clone(), contents, epoch, now_ms);
        let key = self.steps.insert(step);
        self.by_step_number.insert(step_id, key);
        let state = self.trainers.entry(trainer.clone()).or_default();
        state.steps.push(key);
        OpenResult::Open(key)
    }

    fn reopen(&mut self, key: StepKey, contents: &OpenStep, now_ms: u64) -> OpenResult {
        match self.steps.get_mut(key) {
            Some(step) if *step.contents == *contents => {
                step.last_request_ms = now_ms;
                OpenResult::Open(key)
            }
            _ => OpenResult::Conflict,
        }
    }

    /// Restores the samples that another instance held of a step that was just opened here.
    pub(crate) fn restore(&mut self, key: StepKey, copies: Vec<SampleCopy>, sealed: Option<u64>) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        step.restore(copies);
        self.actions.push(Action::Replicate(key));
        let complete = step.slots.iter().all(|slot| slot.result.is_some());
        // The trainer may already have received this batch, so the step is closed with exactly
        // the samples that `Message::Seal` made final.
        if let (Some(newest_version), true) = (sealed, complete) {
            step.close(newest_version);
            self.actions.push(Action::WakeFetches(key));
        }
    }

    /// Returns the current batch, and renews the step's expiry.
    pub(crate) fn fetch(&mut self, key: StepKey, now_ms: u64) -> Option<Arc<Batch>> {
        let step = self.steps.get_mut(key)?;
        step.last_request_ms = now_ms;
        Some(step.batch())
    }

    /// Ends a step: discards it here and at its copy holder, and cancels its attempts.
    pub(crate) fn end(&mut self, key: StepKey) {
        self.actions.push(Action::Forget(key));
        self.release(key);
    }

    /// Stops coordinating a step that another instance takes over.
    pub(crate) fn release(&mut self, key: StepKey) -> Option<Step> {
        let step = self.steps.remove(key)?;
        self.by_step_number
            .remove(&(step.trainer.clone(), step.contents.step));
        for slot in &step.slots {
            for &attempt_key in &slot.attempts {
                self.cancel_attempt(attempt_key);
            }
        }
        if let Some(state) = self.trainers.get_mut(&step.trainer) {
            state.steps.retain(|&other| other != key);
        }
        self.actions.push(Action::WakeFetches(key));
        self.actions.push(Action::Release(key));
        Some(step)
    }

    /// Updates a trainer's configuration and versions from the view. The newest version never
    /// decreases.
    pub(crate) fn set_trainer_params(
        &mut self,
        trainer: &Arc<str>,
        params: TrainerParams,
        now_ms: u64,
    ) {
        let state = self.trainers.entry(trainer.clone()).or_default();
        let newest_version = params.newest_version.max(state.params.newest_version);
        state.sample_stats.observe_version(newest_version, now_ms);
        state.params = TrainerParams {
            newest_version,
            ..params
        };
        state.window.set_share(params.share);
    }

    /// Records a version that another instance has published.
    pub(crate) fn published(&mut self, trainer: &Arc<str>, version: u64, now_ms: u64) {
        let state = self.trainers.entry(trainer.clone()).or_default();
        let params = TrainerParams {
            newest_version: version,
            ..state.params
        };
        self.set_trainer_params(trainer, params, now_ms);
    }

    /// Trainers that have open steps.
    pub(crate) fn trainers(&self) -> Vec<Arc<str>> {
        let with_steps = self.trainers.iter().filter(|(_, t)| !t.steps.is_empty());
        with_steps.map(|(name, _)| name.clone()).collect()
    }

    /// Starts attempts while there is room, closes complete batches and expires steps without
    /// requests. `fresh` states whether the view is known to contain the newest version; batches
    /// are closed only if it is.
    pub(crate) fn tick(&mut self, fresh: bool, now_ms: u64) {
        self.expire(now_ms);
        for trainer in self.trainers() {
            self.start_waiting(&trainer, now_ms);
            self.start_hedges(&trainer, now_ms);
        }
        if fresh {
            self.seal_complete(now_ms);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let expiry_ms = self.limits.expiry_ms;
        let is_expired = |step: &Step| now_ms.saturating_sub(step.last_request_ms) > expiry_ms;
        let expired: Vec<StepKey> = self
            .steps
            .iter()
            .filter(|(_, step)| is_expired(step))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.note("step.expire", key, 0);
            self.end(key);
        }
    }

    fn seal_complete(&mut self, now_ms: u64) {
        let is_complete = |step: &Step| {
            step.counted == step.expected() && matches!(step.phase, Phase::Generating)
        };
        let keys: Vec<StepKey> = self
            .steps
            .iter()
            .filter(|(_, step)| is_complete(step))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.check_and_seal(key, now_ms);
        }
    }

    /// Checks every sample against the staleness bound. Requests a seal if all pass; otherwise
    /// discards the stale samples so that they are requested again.
    fn check_and_seal(&mut self, key: StepKey, now_ms: u64) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        let params = self.trainers.get(&step.trainer).map(|state| state.params);
        let params = params.unwrap_or_default();
        let bound = params.staleness_bound.min(step.contents.staleness_bound);
        let stale = step.stale(params.newest_version, bound);
        if stale.is_empty() {
            step.phase = Phase::Sealing {
                newest_version: params.newest_version,
            };
            self.actions.push(Action::Replicate(key));
            return;
        }
        for &position in &stale {
            let result = step.slots[position as usize].result.as_ref();
            self.stats.discarded_tokens += result.map_or(0, |sample| u64::from(sample.tokens));
            self.stats.stale += 1;
            step.discard(position, now_ms);
        }
        for position in stale {
            self.note("sample.stale", key, position);
        }
    }

    /// Handles the copy holder's answer to [`Message::Seal`](crate::rollout::Message::Seal). If it
    /// was not accepted, the batch is checked again, because a newer version may have been
    /// published in the meantime.
    pub(crate) fn sealed(&mut self, key: StepKey, accepted: bool) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        step.sealed = accepted;
        let Phase::Sealing { newest_version } = step.phase else {
            return;
        };
        if !accepted {
            step.phase = Phase::Generating;
            return;
        }
        step.close(newest_version);
        self.note("step.close", key, 0);
        self.actions.push(Action::WakeFetches(key));
    }

    /// Handles the copy holder's confirmation that it has stored copies of these (position, draw
    /// number) pairs: the samples count from now on.
    pub(crate) fn copies_stored(&mut self, key: StepKey, draws: &[(u32, u32)]) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        for &(position, draw) in draws {
            let slot = &step.slots[position as usize];
            if slot.state == SampleState::Copying && slot.draw == draw {
                step.mark_counted(position);
            }
        }
    }

    /// Handles the score of a sample. Without a score, the sample is requested again.
    pub(crate) fn scored(&mut self, sample: SampleKey, draw: u32, score: Option<f64>, now_ms: u64) {
        let Some(step) = self.steps.get_mut(sample.step) else {
            return;
        };
        let slot = &mut step.slots[sample.position as usize];
        if slot.state != SampleState::Scoring || slot.draw != draw {
            return;
        }
        let Some(result) = slot.result.as_mut().filter(|_| score.is_some()) else {
            step.discard(sample.position, now_ms + REDRAW_DELAY_MS);
            self.note("sample.unscored", sample.step, sample.position);
            return;
        };
        Arc::make_mut(result).score = score;
        slot.state = SampleState::Copying;
        self.actions.push(Action::Replicate(sample.step));
    }

    /// Handles the loss of the copy holder: the step has to be replicated to another one, under a
    /// new epoch.
    pub(crate) fn holder_lost(&mut self, key: StepKey, epoch: Epoch) {
        if let Some(step) = self.steps.get_mut(key) {
            step.sealed = false;
            step.epoch = epoch;
        }
    }

    /// Samples that wait to be copied to the copy holder, up to about `limit_bytes` of text.
    pub(crate) fn pending_copies(&self, key: StepKey, limit_bytes: usize) -> Vec<SampleCopy> {
        let mut bytes = 0;
        let mut pending = self.copies_in(key, SampleState::Copying);
        pending.retain(|copy| {
            let fits = bytes < limit_bytes;
            bytes += copy.sample.text.len();
            fits
        });
        pending
    }

    /// Samples that already count, for transfer to a new copy holder.
    pub(crate) fn counted_copies(&self, key: StepKey) -> Vec<SampleCopy> {
        self.copies_in(key, SampleState::Counted)
    }

    /// All finished samples, for transfer to an instance that takes the step over.
    pub(crate) fn all_copies(&self, key: StepKey) -> Vec<SampleCopy> {
        let mut copies = self.copies_in(key, SampleState::Counted);
        copies.extend(self.copies_in(key, SampleState::Copying));
        copies
    }

    fn copies_in(&self, key: StepKey, state: SampleState) -> Vec<SampleCopy> {
        let slots = self.steps.get(key).map_or(&[][..], |step| &step.slots);
        let in_state = slots.iter().enumerate().filter(|(_, s)| s.state == state);
        let copies = in_state.filter_map(|(position, slot)| {
            Some(SampleCopy {
                position: position as u32,
                draw: slot.draw,
                sample: slot.result.clone()?,
            })
        });
        copies.collect()
    }

    fn used_bytes(&self) -> u64 {
        let open_steps = self.steps.iter();
        open_steps
            .map(|(_, step)| Limits::need_bytes(&step.contents))
            .sum()
    }

    fn note(&mut self, kind: &'static str, step: StepKey, position: u32) {
        let sample = SampleKey { step, position };
        self.actions.push(Action::Note { kind, sample });
    }
}

#[cfg(test)]
#[path = "core/tests.rs"]
mod tests;
