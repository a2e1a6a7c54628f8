//! The decisions of a coordinator: what to draw, what to take, what to throw away, when to close.
//!
//! A plain struct: events and the time go in, [`Action`]s come out.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    rollout::{
        arena::{
            Arena,
            AttemptKey, //
            SampleKey,
            StepKey,
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
        Epoch, //
        SampleCopy,
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

/// Wait before a sample is drawn again after a failure.
const REDRAW_DELAY_MS: u64 = 100;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Start a try.
    Start(AttemptSpec),
    /// Stop a try; its result is not wanted.
    Cancel(AttemptKey),
    /// Get the score of a sample.
    Score {
        /// The sample.
        sample: SampleKey,
        /// Its draw.
        draw: u32,
    },
    /// Samples wait for their copy, or the batch for its seal.
    Replicate(StepKey),
    /// The step changed in a way that a waiting trainer wants to know.
    WakeFetches(StepKey),
    /// The step is over; its holder should forget it too.
    Forget(StepKey),
    /// The step is not coordinated here any more.
    Release(StepKey),
    /// Something for the time line.
    Note {
        /// What happened.
        kind: &'static str,
        /// Where.
        sample: SampleKey,
    },
}

/// What the view says about a trainer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TrainerFacts {
    /// The newest version of its service.
    pub(crate) newest_version: u64,
    /// The configured bound.
    pub(crate) staleness_bound: u64,
    /// What it may use of its service.
    pub(crate) share: Share,
}

/// What a trainer was told when it opened a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OpenResult {
    /// It is open, now or since before.
    Open(StepKey),
    /// It is open with other contents.
    Conflict,
    /// It would take too much memory.
    TooLarge(TooLarge),
}

/// Figures of a coordinator since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CoordinatorStats {
    /// Tokens of results that were thrown away.
    pub(crate) tokens_thrown_away: u64,
    /// Results dropped because their sample was in already.
    pub(crate) late_results: u64,
    /// Results whose versions could not be known.
    pub(crate) unknown_versions: u64,
    /// Results that were too old, on arrival or at closing.
    pub(crate) stale: u64,
    /// Second tries started.
    pub(crate) hedged_attempts: u64,
}

#[derive(Debug, Default)]
struct TrainerState {
    facts: TrainerFacts,
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
    by_name: BTreeMap<(Arc<str>, u64), StepKey>,
    trainers: BTreeMap<Arc<str>, TrainerState>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    next_attempt: u64,
    stats: CoordinatorStats,
    actions: Vec<Action>,
}

impl Core {
    /// A core with other limits than the usual ones.
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Takes the actions that the last events led to.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Figures since the start.
    pub(crate) fn stats(&self) -> CoordinatorStats {
        self.stats
    }

    /// Finds an open step.
    pub(crate) fn find(&self, trainer: &Arc<str>, step: u64) -> Option<StepKey> {
        self.by_name.get(&(trainer.clone(), step)).copied()
    }

    /// A step that is open here.
    pub(crate) fn step(&self, key: StepKey) -> Option<&Step> {
        self.steps.get(key)
    }

    /// Opens a step, or finds that it is open.
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
        let name = (trainer.clone(), contents.step);
        let step = Step::new(trainer.clone(), contents, epoch, now_ms);
        let key = self.steps.insert(step);
        self.by_name.insert(name, key);
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

    /// Takes in what another instance held of a step that was just opened here.
    pub(crate) fn adopt(&mut self, key: StepKey, copies: Vec<SampleCopy>, sealed: Option<u64>) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        step.adopt(copies);
        self.actions.push(Action::Replicate(key));
        let complete = step.slots.iter().all(|slot| slot.result.is_some());
        // The trainer may have this batch already: it stays as it was sealed.
        if let (Some(newest_version), true) = (sealed, complete) {
            step.close(newest_version);
            self.actions.push(Action::WakeFetches(key));
        }
    }

    /// The batch as it stands; asking keeps the step alive.
    pub(crate) fn fetch(&mut self, key: StepKey, now_ms: u64) -> Option<Arc<Batch>> {
        let step = self.steps.get_mut(key)?;
        step.last_request_ms = now_ms;
        Some(step.batch())
    }

    /// Forgets a step and cancels its work.
    pub(crate) fn end(&mut self, key: StepKey) {
        self.actions.push(Action::Forget(key));
        self.release(key);
    }

    /// Stops coordinating a step, which lives on elsewhere.
    pub(crate) fn release(&mut self, key: StepKey) -> Option<Step> {
        let step = self.steps.remove(key)?;
        self.by_name
            .remove(&(step.trainer.clone(), step.contents.step));
        for slot in &step.slots {
            for &attempt_key in &slot.attempts {
                self.cancel_attempt(attempt_key);
            }
        }
        if let Some(state) = self.trainers.get_mut(&step.trainer) {
            state.steps.retain(|&kept| kept != key);
        }
        self.actions.push(Action::WakeFetches(key));
        self.actions.push(Action::Release(key));
        Some(step)
    }

    /// Takes in what the view says about a trainer.
    pub(crate) fn set_facts(&mut self, trainer: &Arc<str>, facts: TrainerFacts, now_ms: u64) {
        let state = self.trainers.entry(trainer.clone()).or_default();
        let newest_version = facts.newest_version.max(state.facts.newest_version);
        state.sample_stats.observe_version(newest_version, now_ms);
        state.facts = TrainerFacts {
            newest_version,
            ..facts
        };
        state.window.set_share(facts.share);
    }

    /// Takes in a version that another instance knows to be published.
    pub(crate) fn published(&mut self, trainer: &Arc<str>, version: u64, now_ms: u64) {
        let state = self.trainers.entry(trainer.clone()).or_default();
        let facts = TrainerFacts {
            newest_version: version,
            ..state.facts
        };
        self.set_facts(trainer, facts, now_ms);
    }

    /// Trainers with open steps.
    pub(crate) fn trainers(&self) -> Vec<Arc<str>> {
        let open = self.trainers.iter().filter(|(_, t)| !t.steps.is_empty());
        open.map(|(name, _)| name.clone()).collect()
    }

    /// Starts what there is room for, closes what is whole, forgets what nobody asks for.
    /// `fresh` says whether the view can be trusted to hold the newest version.
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
        let old = |step: &Step| now_ms.saturating_sub(step.last_request_ms) > expiry_ms;
        let expired: Vec<StepKey> = self
            .steps
            .iter()
            .filter(|(_, step)| old(step))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.note("step.expire", key, 0);
            self.end(key);
        }
    }

    fn seal_complete(&mut self, now_ms: u64) {
        let complete = |step: &Step| {
            step.counted == step.expected() && matches!(step.phase, Phase::Generating)
        };
        let keys: Vec<StepKey> = self
            .steps
            .iter()
            .filter(|(_, step)| complete(step))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.check_and_seal(key, now_ms);
        }
    }

    /// Checks each sample against the bound as of now; seals the batch if all pass.
    fn check_and_seal(&mut self, key: StepKey, now_ms: u64) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        let facts = self.trainers.get(&step.trainer).map(|state| state.facts);
        let facts = facts.unwrap_or_default();
        let bound = facts.staleness_bound.min(step.contents.staleness_bound);
        let stale = step.stale(facts.newest_version, bound);
        if stale.is_empty() {
            step.phase = Phase::Sealing {
                newest_version: facts.newest_version,
            };
            self.actions.push(Action::Replicate(key));
            return;
        }
        for &position in &stale {
            let result = step.slots[position as usize].result.as_ref();
            self.stats.tokens_thrown_away += result.map_or(0, |sample| u64::from(sample.tokens));
            self.stats.stale += 1;
            step.discard(position, now_ms);
        }
        for position in stale {
            self.note("sample.stale", key, position);
        }
    }

    /// The holder has the whole batch, or could not take it: then it is put together afresh, since
    /// a newer version may be there by now.
    pub(crate) fn sealed(&mut self, key: StepKey, held: bool) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        step.sealed = held;
        let Phase::Sealing { newest_version } = step.phase else {
            return;
        };
        if !held {
            step.phase = Phase::Generating;
            return;
        }
        step.close(newest_version);
        self.note("step.close", key, 0);
        self.actions.push(Action::WakeFetches(key));
    }

    /// The holder has copies of these positions and draws: they count.
    pub(crate) fn copied(&mut self, key: StepKey, draws: &[(u32, u32)]) {
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

    /// A score came, or can't be had: then the sample is drawn again.
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

    /// The holder is gone: what it had has to be held anew.
    pub(crate) fn holder_lost(&mut self, key: StepKey, epoch: Epoch) {
        if let Some(step) = self.steps.get_mut(key) {
            step.sealed = false;
            step.epoch = epoch;
        }
    }

    /// Samples that wait for their copy, up to about `limit_bytes` of text.
    pub(crate) fn pending_copies(&self, key: StepKey, limit_bytes: usize) -> Vec<SampleCopy> {
        let mut bytes = 0;
        let mut pending = self.copies_in(key, SampleState::Copying);
        pending.retain(|copied| {
            let room = bytes < limit_bytes;
            bytes += copied.sample.text.len();
            room
        });
        pending
    }

    /// Samples that count already, for a new holder.
    pub(crate) fn counted_copies(&self, key: StepKey) -> Vec<SampleCopy> {
        self.copies_in(key, SampleState::Counted)
    }

    /// All finished samples, for an instance that takes the step over.
    pub(crate) fn all_copies(&self, key: StepKey) -> Vec<SampleCopy> {
        let mut copies = self.copies_in(key, SampleState::Counted);
        copies.extend(self.copies_in(key, SampleState::Copying));
        copies
    }

    fn copies_in(&self, key: StepKey, state: SampleState) -> Vec<SampleCopy> {
        let slots = self.steps.get(key).map_or(&[][..], |step| &step.slots);
        let wanted = slots.iter().enumerate().filter(|(_, s)| s.state == state);
        let copies = wanted.filter_map(|(position, slot)| {
            Some(SampleCopy {
                position: position as u32,
                draw: slot.draw,
                sample: slot.result.clone()?,
            })
        });
        copies.collect()
    }

    fn used_bytes(&self) -> u64 {
        let open = self.steps.iter();
        open.map(|(_, step)| Limits::need_bytes(&step.contents))
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
