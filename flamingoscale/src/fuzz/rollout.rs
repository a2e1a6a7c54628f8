//! Steps, samples and batches: engines that swap at any time, coordinators that die, copies that
//! are lost on the way.
//!
//! One coordinator runs at a time and one other instance holds its copies; a dead coordinator's
//! place is taken by a new one that starts from those.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};

use super::oracle::{
    Plant,
    Promise,
    Setting, //
};
use crate::{
    rollout::{
        arena::{
            AttemptKey,
            StepKey, //
        },
        copies::Copies,
        core::{
            Action,
            AttemptEnd,
            AttemptSpec,
            Core,
            Generated,
            OpenResult,
            TrainerFacts, //
        },
        step::Phase,
        window::Share,
        Reply,
        SampleCopy, //
    },
    view::EndpointKey,
    wire::{
        Batch,
        OpenStep,
        VersionSpan, //
    }, //
};

/// The faults that this machine can plant.
pub(super) const PLANTS: [(Plant, Promise); 4] = [
    (Plant::ReadsVersionOnce, Promise::VersionsTrue),
    (Plant::OldNewestVersion, Promise::Fresh),
    (Plant::CopyIsMadeUp, Promise::ExactlyOnce),
    (Plant::SealIsForgotten, Promise::ExactlyOnce),
];

const TRAINER: &str = "notes";
const BOUND: u64 = 1;
const GROUPS: usize = 2;
const SAMPLES_PER_GROUP: u16 = 2;
const TOKENS: u32 = 10;

/// How a try ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    /// With a whole generation.
    Generated,
    /// With one whose versions the engine does not tell.
    Untold,
    /// Refused.
    Refused,
    /// Broken off.
    Failed,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Time passes and the coordinator looks after its steps.
    Tick { length_ms: u64, fresh: bool },
    /// New weights are published.
    Publish,
    /// An engine takes new weights into use, also in the middle of a request.
    Swap { index: usize },
    /// An engine generates some tokens.
    Generate { index: usize, tokens: u32 },
    /// A try comes to its end.
    End { index: usize, end: End },
    /// The coordinator serves the holder of its copies; messages may be lost.
    Hold { arrives: bool, answered: bool },
    /// The coordinator dies and another goes on.
    TakeOver,
    /// The trainer asks for its batch.
    Fetch,
    /// The trainer has its batch safe.
    Acknowledge,
}

pub(super) struct RolloutMachine;

impl ReferenceStateMachine for RolloutMachine {
    type State = Setting;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Setting> {
        Just(Setting::default()).boxed()
    }

    fn transitions(_: &Setting) -> BoxedStrategy<Transition> {
        let end = prop_oneof![
            8 => Just(End::Generated),
            1 => Just(End::Untold),
            1 => Just(End::Refused),
            1 => Just(End::Failed),
        ];
        prop_oneof![
            8 => (1..3_000u64, prop::bool::weighted(0.8))
                .prop_map(|(length_ms, fresh)| Transition::Tick { length_ms, fresh }),
            1 => Just(Transition::Publish),
            2 => any::<usize>().prop_map(|index| Transition::Swap { index }),
            4 => (any::<usize>(), 1..TOKENS)
                .prop_map(|(index, tokens)| Transition::Generate { index, tokens }),
            10 => (any::<usize>(), end).prop_map(|(index, end)| Transition::End { index, end }),
            8 => (prop::bool::weighted(0.9), prop::bool::weighted(0.9))
                .prop_map(|(arrives, answered)| Transition::Hold { arrives, answered }),
            1 => Just(Transition::TakeOver),
            4 => Just(Transition::Fetch),
            1 => Just(Transition::Acknowledge),
        ]
        .boxed()
    }

    fn apply(state: Setting, _: &Transition) -> Setting {
        state
    }
}

pub(super) struct RolloutTest;

impl StateMachineTest for RolloutTest {
    type SystemUnderTest = World;
    type Reference = RolloutMachine;

    fn init_test(setting: &Setting) -> World {
        World::new(*setting)
    }

    fn apply(mut world: World, _: &Setting, transition: Transition) -> World {
        world.take(transition);
        world
    }
}

/// A try at an engine, with what truly produced its tokens.
struct Running {
    draw: AttemptSpec,
    version: u64,
    first_version: u64,
    spans: Vec<VersionSpan>,
    seed: u64,
}

impl Running {
    fn generate(&mut self, tokens: u32) {
        let done: u32 = self.spans.iter().map(|span| span.tokens).sum();
        let tokens = tokens.min(TOKENS - done);
        match self.spans.last_mut() {
            _ if tokens == 0 => {}
            Some(last) if last.version == self.version => last.tokens += tokens,
            _ => self.spans.push(VersionSpan {
                version: self.version,
                tokens,
            }),
        }
    }
}

pub(super) struct World {
    setting: Setting,
    now_ms: u64,
    published: u64,
    core: Core,
    epoch: u64,
    coordinator: Arc<str>,
    step_number: u64,
    key: Option<StepKey>,
    copies: Copies,
    holds: bool,
    running: Vec<Running>,
    next_seed: u64,
    /// Text of every generation to the versions that truly produced it.
    truth: BTreeMap<String, Vec<VersionSpan>>,
    /// The batch that the trainer got first, by step.
    delivered: BTreeMap<u64, Arc<Batch>>,
    /// The newest version in truth when the batch was last put together.
    newest_at_close: u64,
}

impl World {
    fn new(setting: Setting) -> Self {
        let mut world = Self {
            setting,
            now_ms: 1_000,
            published: 1,
            core: Core::default(),
            epoch: 0,
            coordinator: "n0".into(),
            step_number: 1,
            key: None,
            copies: Copies::default(),
            holds: false,
            running: Vec::new(),
            next_seed: 0,
            truth: BTreeMap::new(),
            delivered: BTreeMap::new(),
            newest_at_close: 0,
        };
        world.open();
        world
    }

    fn take(&mut self, transition: Transition) {
        match transition {
            Transition::Tick { length_ms, fresh } => self.tick(length_ms, fresh),
            Transition::Publish => self.published += 1,
            Transition::Swap { index } => {
                let published = self.published;
                if let Some(running) = pick(&mut self.running, index) {
                    running.version = published;
                }
            }
            Transition::Generate { index, tokens } => {
                if let Some(running) = pick(&mut self.running, index) {
                    running.generate(tokens);
                }
            }
            Transition::End { index, end } => self.end(index, end),
            Transition::Hold { arrives, answered } => self.hold(arrives, answered),
            Transition::TakeOver => self.take_over(),
            Transition::Fetch => self.fetch(),
            Transition::Acknowledge => self.acknowledge(),
        }
    }

    fn contents(&self) -> Arc<OpenStep> {
        let prompts = (0..GROUPS).map(|group| format!("log {group}").into());
        Arc::new(OpenStep {
            step: self.step_number,
            prompts: prompts.collect(),
            samples_per_group: SAMPLES_PER_GROUP,
            max_tokens: TOKENS,
            staleness_bound: BOUND,
            deadline_ms: 60_000,
            scoring: None,
        })
    }

    fn facts(&self) -> TrainerFacts {
        let old = self.setting.has(Plant::OldNewestVersion);
        TrainerFacts {
            newest_version: if old { 1 } else { self.published },
            staleness_bound: BOUND,
            share: Share::default(),
        }
    }

    fn open(&mut self) {
        self.epoch += 1;
        let trainer: Arc<str> = TRAINER.into();
        self.core.set_facts(&trainer, self.facts(), self.now_ms);
        let opened = self
            .core
            .open(&trainer, self.contents(), self.epoch, self.now_ms);
        self.key = match opened {
            OpenResult::Open(key) => Some(key),
            _ => None,
        };
        self.holds = false;
        self.act();
    }

    fn tick(&mut self, length_ms: u64, fresh: bool) {
        self.now_ms += length_ms;
        if fresh {
            let facts = self.facts();
            self.core.set_facts(&TRAINER.into(), facts, self.now_ms);
        }
        let was_sealing = self.is_sealing();
        self.core.tick(fresh, self.now_ms);
        if !was_sealing && self.is_sealing() {
            self.newest_at_close = self.published;
        }
        self.act();
    }

    fn is_sealing(&self) -> bool {
        let step = self.key.and_then(|key| self.core.step(key));
        step.is_some_and(|step| matches!(step.phase, Phase::Sealing { .. }))
    }

    fn act(&mut self) {
        for action in self.core.take_actions() {
            match action {
                Action::Start(draw) => self.start(draw),
                Action::Cancel(key) => self.running.retain(|running| running.draw.key != key),
                _ => {}
            }
        }
    }

    fn start(&mut self, draw: AttemptSpec) {
        self.next_seed += 1;
        let key = draw.key;
        let version = draw.oldest_version.max(1);
        self.running.push(Running {
            draw,
            version,
            first_version: version,
            spans: Vec::new(),
            seed: self.next_seed,
        });
        self.core.started(key, EndpointKey(1), self.now_ms);
    }

    fn end(&mut self, index: usize, end: End) {
        if self.running.is_empty() {
            return;
        }
        let index = index % self.running.len();
        let mut running = self.running.swap_remove(index);
        let key: AttemptKey = running.draw.key;
        let ended = match end {
            End::Generated => AttemptEnd::Generated(self.generation(&mut running, true)),
            End::Untold => AttemptEnd::Generated(self.generation(&mut running, false)),
            End::Refused => AttemptEnd::Refused { retry_after_ms: 10 },
            End::Failed => AttemptEnd::Failed,
        };
        self.core.ended(key, ended, self.now_ms);
        self.act();
    }

    fn generation(&mut self, running: &mut Running, told: bool) -> Generated {
        running.generate(TOKENS);
        let text = format!(
            "{}/{} s{}",
            running.draw.group, running.draw.index, running.seed
        );
        self.truth.insert(text.clone(), running.spans.clone());
        let once = VersionSpan {
            version: running.first_version,
            tokens: TOKENS,
        };
        let versions = if self.setting.has(Plant::ReadsVersionOnce) {
            vec![once]
        } else if told {
            running.spans.clone()
        } else {
            Vec::new()
        };
        Generated {
            text,
            tokens: TOKENS,
            versions,
        }
    }

    /// What the holder's side of the driver does, one message at a time.
    fn hold(&mut self, arrives: bool, answered: bool) {
        let Some(key) = self.key else {
            return;
        };
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, now_ms) = (self.coordinator.clone(), self.epoch, self.now_ms);
        if !arrives {
            return;
        }
        if !self.holds {
            let step = self.contents();
            let reply = self.copies.hold(&from, &trainer, epoch, step, now_ms);
            let again = self.core.counted_copies(key);
            let number = self.step_number;
            let sent = self
                .copies
                .copy(&from, &trainer, number, epoch, &again, now_ms);
            self.holds = answered && reply == Reply::Accepted && sent == Reply::Accepted;
            return;
        }
        let pending = self.core.pending_copies(key, usize::MAX);
        if !pending.is_empty() {
            return self.copy(key, &pending, answered);
        }
        self.seal(key, answered);
    }

    fn copy(&mut self, key: StepKey, pending: &[SampleCopy], answered: bool) {
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, step) = (self.coordinator.clone(), self.epoch, self.step_number);
        let made_up = self.setting.has(Plant::CopyIsMadeUp);
        let reply = if made_up {
            Reply::Accepted
        } else {
            self.copies
                .copy(&from, &trainer, step, epoch, pending, self.now_ms)
        };
        if answered && reply == Reply::Accepted {
            let draws: Vec<(u32, u32)> = pending.iter().map(|c| (c.position, c.draw)).collect();
            self.core.copies_stored(key, &draws);
        }
        self.act();
    }

    fn seal(&mut self, key: StepKey, answered: bool) {
        let Some(step) = self.core.step(key) else {
            return;
        };
        let Phase::Sealing { newest_version } = step.phase else {
            return;
        };
        let draws = step.draws();
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, number) = (self.coordinator.clone(), self.epoch, self.step_number);
        let forgotten =
            self.setting.has(Plant::SealIsForgotten) || self.setting.has(Plant::CopyIsMadeUp);
        let reply = if forgotten {
            Reply::Accepted
        } else {
            self.copies
                .seal(&from, &trainer, number, epoch, newest_version, &draws)
        };
        self.core.sealed(key, answered && reply == Reply::Accepted);
        self.act();
    }

    /// The coordinator dies with all that it knew; its engines' results come to nobody.
    fn take_over(&mut self) {
        let held = self.copies.get(&TRAINER.into(), self.step_number);
        self.core = Core::default();
        self.running.clear();
        self.coordinator = format!("n{}", self.epoch).into();
        self.open();
        if let (Some(held), Some(key)) = (held, self.key) {
            self.epoch = self.epoch.max(held.epoch + 1);
            let copies = held.samples.into_values().collect();
            self.core.adopt(key, copies, held.sealed);
        }
        self.act();
    }

    fn fetch(&mut self) {
        let Some(batch) = self.key.and_then(|key| self.core.fetch(key, self.now_ms)) else {
            return;
        };
        if !batch.complete {
            return;
        }
        self.check_batch(&batch);
        let first = self
            .delivered
            .entry(batch.step)
            .or_insert_with(|| batch.clone());
        self.setting.check(
            Promise::ExactlyOnce,
            first.samples == batch.samples,
            format!("step {} came again with other samples", batch.step),
        );
    }

    fn check_batch(&self, batch: &Batch) {
        let asked = GROUPS * usize::from(SAMPLES_PER_GROUP);
        let mut identities: Vec<(u32, u16)> = batch
            .samples
            .iter()
            .map(|sample| (sample.group, sample.index))
            .collect();
        identities.dedup();
        self.setting.check(
            Promise::ExactlyOnce,
            identities.len() == asked && batch.samples.len() == asked,
            format!("a batch of {asked} has {identities:?}"),
        );
        for sample in &batch.samples {
            let truth = self.truth.get(&sample.text);
            self.setting.check(
                Promise::VersionsTrue,
                truth == Some(&sample.versions),
                format!("{:?} was produced by {truth:?}", sample.versions),
            );
            let oldest = truth.and_then(|spans| spans.iter().map(|span| span.version).min());
            let newest = self.newest_at_close;
            self.setting.check(
                Promise::Fresh,
                oldest.is_some_and(|oldest| oldest + BOUND >= newest),
                format!("a sample of version {oldest:?} is in a batch closed at {newest}"),
            );
        }
    }

    fn acknowledge(&mut self) {
        if !self.delivered.contains_key(&self.step_number) {
            return;
        }
        if let Some(key) = self.key.take() {
            self.core.end(key);
            self.copies.forget(&TRAINER.into(), self.step_number);
        }
        self.act();
        self.step_number += 1;
        self.open();
    }
}

fn pick<T>(items: &mut [T], index: usize) -> Option<&mut T> {
    let length = items.len();
    items.get_mut(index.checked_rem(length)?)
}
