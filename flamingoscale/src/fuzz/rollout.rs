//! State machine of steps, samples and batches, with engines that swap weights at any time,
//! coordinators that crash, and sample copies that are lost in transit.
//!
//! One coordinator runs at a time and one other instance holds copies of its samples. When the
//! coordinator crashes, a new one takes over and starts from these copies.

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
    CaseOptions,
    Guarantee,
    PlantedFault, //
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
            TrainerParams, //
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

/// The faults that this state machine can plant, each with the guarantee that it violates.
pub(super) const PLANTED_FAULTS: [(PlantedFault, Guarantee); 4] = [
    (PlantedFault::ReadsVersionOnce, Guarantee::VersionsTrue),
    (PlantedFault::OldNewestVersion, Guarantee::Fresh),
    (PlantedFault::CopyIsMadeUp, Guarantee::ExactlyOnce),
    (PlantedFault::SealIsForgotten, Guarantee::ExactlyOnce),
];

const TRAINER: &str = "notes";
/// Maximum number of weight versions that a sample may be behind.
const STALENESS_BOUND: u64 = 1;
const GROUP_COUNT: usize = 2;
const SAMPLES_PER_GROUP: u16 = 2;
const TOKENS_PER_SAMPLE: u32 = 10;

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulatedEnd {
    /// The generation is complete.
    Generated,
    /// The generation is complete, but the engine does not report its weight versions.
    WithoutVersions,
    /// The engine refused the request.
    Refused,
    /// The attempt failed before the generation was complete.
    Failed,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Advances the time and runs the coordinator. If `fresh` is false, the coordinator does not
    /// learn of new versions and knows that its state may be outdated.
    Tick { duration_ms: u64, fresh: bool },
    /// The trainer publishes a new weight version.
    PublishVersion,
    /// An engine swaps to the newest weights, possibly in the middle of a request.
    SwapWeights { index: usize },
    /// An engine generates up to `tokens` tokens of an attempt.
    GenerateTokens { index: usize, tokens: u32 },
    /// An attempt ends.
    EndAttempt { index: usize, end: SimulatedEnd },
    /// The coordinator sends a message to the instance that holds its sample copies. The message or
    /// its answer may be lost.
    SendToHolder { arrives: bool, answered: bool },
    /// The coordinator crashes and another one takes over.
    TakeOver,
    /// The trainer fetches the batch of the current step.
    FetchBatch,
    /// The trainer acknowledges that it has stored the batch, which starts the next step.
    AcknowledgeBatch,
}

/// Generates random transitions of the rollout state machine.
pub(super) struct RolloutMachine;

impl ReferenceStateMachine for RolloutMachine {
    type State = CaseOptions;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<CaseOptions> {
        Just(CaseOptions::default()).boxed()
    }

    fn transitions(_: &CaseOptions) -> BoxedStrategy<Transition> {
        let end = prop_oneof![
            8 => Just(SimulatedEnd::Generated),
            1 => Just(SimulatedEnd::WithoutVersions),
            1 => Just(SimulatedEnd::Refused),
            1 => Just(SimulatedEnd::Failed),
        ];
        prop_oneof![
            8 => (1..3_000u64, prop::bool::weighted(0.8))
                .prop_map(|(duration_ms, fresh)| Transition::Tick { duration_ms, fresh }),
            1 => Just(Transition::PublishVersion),
            2 => any::<usize>().prop_map(|index| Transition::SwapWeights { index }),
            4 => (any::<usize>(), 1..TOKENS_PER_SAMPLE)
                .prop_map(|(index, tokens)| Transition::GenerateTokens { index, tokens }),
            10 => (any::<usize>(), end)
                .prop_map(|(index, end)| Transition::EndAttempt { index, end }),
            8 => (prop::bool::weighted(0.9), prop::bool::weighted(0.9))
                .prop_map(|(arrives, answered)| Transition::SendToHolder { arrives, answered }),
            1 => Just(Transition::TakeOver),
            4 => Just(Transition::FetchBatch),
            1 => Just(Transition::AcknowledgeBatch),
        ]
        .boxed()
    }

    fn apply(state: CaseOptions, _: &Transition) -> CaseOptions {
        state
    }
}

/// Applies the transitions to a [`World`], which checks each batch when it is fetched.
pub(super) struct RolloutTest;

impl StateMachineTest for RolloutTest {
    type SystemUnderTest = World;
    type Reference = RolloutMachine;

    fn init_test(options: &CaseOptions) -> World {
        World::new(*options)
    }

    fn apply(mut world: World, _: &CaseOptions, transition: Transition) -> World {
        world.perform(transition);
        world
    }
}

/// An attempt at an engine, with the weight versions that produced its tokens.
struct RunningAttempt {
    spec: AttemptSpec,
    /// Weight version that the engine currently uses.
    version: u64,
    /// Weight version at the start of the attempt.
    first_version: u64,
    /// Numbers of tokens generated so far, by weight version in order.
    spans: Vec<VersionSpan>,
    /// Number that makes the generated text unique.
    seed: u64,
}

impl RunningAttempt {
    fn generate(&mut self, tokens: u32) {
        let generated: u32 = self.spans.iter().map(|span| span.tokens).sum();
        let tokens = tokens.min(TOKENS_PER_SAMPLE - generated);
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

/// The coordinator, the instance that holds its sample copies, and the running attempts.
pub(super) struct World {
    options: CaseOptions,
    now_ms: u64,
    published_version: u64,
    core: Core,
    /// Epoch of the open step; each coordinator that opens it uses a higher epoch.
    epoch: u64,
    coordinator: Arc<str>,
    step_number: u64,
    key: Option<StepKey>,
    copies: Copies,
    /// Whether the holder of the copies has confirmed the open step.
    holder_ready: bool,
    running: Vec<RunningAttempt>,
    next_seed: u64,
    /// The weight versions that produced each generation, by its text.
    actual_versions: BTreeMap<String, Vec<VersionSpan>>,
    /// The batch that the trainer received first, by step number.
    delivered: BTreeMap<u64, Arc<Batch>>,
    /// The newest published version when the coordinator last closed the batch.
    newest_version_at_close: u64,
}

impl World {
    fn new(options: CaseOptions) -> Self {
        let mut world = Self {
            options,
            now_ms: 1_000,
            published_version: 1,
            core: Core::default(),
            epoch: 0,
            coordinator: "n0".into(),
            step_number: 1,
            key: None,
            copies: Copies::default(),
            holder_ready: false,
            running: Vec::new(),
            next_seed: 0,
            actual_versions: BTreeMap::new(),
            delivered: BTreeMap::new(),
            newest_version_at_close: 0,
        };
        world.open();
        world
    }

    fn perform(&mut self, transition: Transition) {
        match transition {
            Transition::Tick { duration_ms, fresh } => self.tick(duration_ms, fresh),
            Transition::PublishVersion => self.published_version += 1,
            Transition::SwapWeights { index } => {
                let published_version = self.published_version;
                if let Some(attempt) = pick_mut(&mut self.running, index) {
                    attempt.version = published_version;
                }
            }
            Transition::GenerateTokens { index, tokens } => {
                if let Some(attempt) = pick_mut(&mut self.running, index) {
                    attempt.generate(tokens);
                }
            }
            Transition::EndAttempt { index, end } => self.end_attempt(index, end),
            Transition::SendToHolder { arrives, answered } => {
                self.send_to_holder(arrives, answered)
            }
            Transition::TakeOver => self.take_over(),
            Transition::FetchBatch => self.fetch(),
            Transition::AcknowledgeBatch => self.acknowledge(),
        }
    }

    fn step_request(&self) -> Arc<OpenStep> {
        let prompts = (0..GROUP_COUNT).map(|group| format!("log {group}").into());
        Arc::new(OpenStep {
            step: self.step_number,
            prompts: prompts.collect(),
            samples_per_group: SAMPLES_PER_GROUP,
            max_tokens: TOKENS_PER_SAMPLE,
            staleness_bound: STALENESS_BOUND,
            deadline_ms: 60_000,
            scoring: None,
        })
    }

    fn trainer_facts(&self) -> TrainerParams {
        let reports_old_version = self.options.has(PlantedFault::OldNewestVersion);
        TrainerParams {
            newest_version: if reports_old_version {
                1
            } else {
                self.published_version
            },
            staleness_bound: STALENESS_BOUND,
            share: Share::default(),
        }
    }

    /// Opens the current step at the coordinator with a new epoch.
    fn open(&mut self) {
        self.epoch += 1;
        let trainer: Arc<str> = TRAINER.into();
        self.core
            .set_trainer_params(&trainer, self.trainer_facts(), self.now_ms);
        let opened = self
            .core
            .open(&trainer, self.step_request(), self.epoch, self.now_ms);
        self.key = match opened {
            OpenResult::Open(key) => Some(key),
            _ => None,
        };
        self.holder_ready = false;
        self.run_actions();
    }

    fn tick(&mut self, duration_ms: u64, fresh: bool) {
        self.now_ms += duration_ms;
        if fresh {
            let facts = self.trainer_facts();
            self.core
                .set_trainer_params(&TRAINER.into(), facts, self.now_ms);
        }
        let was_sealing = self.is_sealing();
        self.core.tick(fresh, self.now_ms);
        if !was_sealing && self.is_sealing() {
            self.newest_version_at_close = self.published_version;
        }
        self.run_actions();
    }

    fn is_sealing(&self) -> bool {
        let step = self.key.and_then(|key| self.core.step(key));
        step.is_some_and(|step| matches!(step.phase, Phase::Sealing { .. }))
    }

    fn run_actions(&mut self) {
        for action in self.core.take_actions() {
            match action {
                Action::Start(spec) => self.start(spec),
                Action::Cancel(key) => self.running.retain(|attempt| attempt.spec.key != key),
                _ => {}
            }
        }
    }

    fn start(&mut self, spec: AttemptSpec) {
        self.next_seed += 1;
        let key = spec.key;
        let version = spec.oldest_version.max(1);
        self.running.push(RunningAttempt {
            spec,
            version,
            first_version: version,
            spans: Vec::new(),
            seed: self.next_seed,
        });
        self.core.started(key, EndpointKey(1), self.now_ms);
    }

    fn end_attempt(&mut self, index: usize, end: SimulatedEnd) {
        if self.running.is_empty() {
            return;
        }
        let index = index % self.running.len();
        let mut attempt = self.running.swap_remove(index);
        let key: AttemptKey = attempt.spec.key;
        let attempt_end = match end {
            SimulatedEnd::Generated => {
                AttemptEnd::Generated(self.finish_generation(&mut attempt, true))
            }
            SimulatedEnd::WithoutVersions => {
                AttemptEnd::Generated(self.finish_generation(&mut attempt, false))
            }
            SimulatedEnd::Refused => AttemptEnd::Refused { retry_after_ms: 10 },
            SimulatedEnd::Failed => AttemptEnd::Failed,
        };
        self.core.ended(key, attempt_end, self.now_ms);
        self.run_actions();
    }

    fn finish_generation(
        &mut self,
        attempt: &mut RunningAttempt,
        with_versions: bool,
    ) -> Generated {
        attempt.generate(TOKENS_PER_SAMPLE);
        let text = format!(
            "{}/{} s{}",
            attempt.spec.group, attempt.spec.index, attempt.seed
        );
        self.actual_versions
            .insert(text.clone(), attempt.spans.clone());
        let single_span = VersionSpan {
            version: attempt.first_version,
            tokens: TOKENS_PER_SAMPLE,
        };
        let versions = if self.options.has(PlantedFault::ReadsVersionOnce) {
            vec![single_span]
        } else if with_versions {
            attempt.spans.clone()
        } else {
            Vec::new()
        };
        Generated {
            text,
            tokens: TOKENS_PER_SAMPLE,
            versions,
        }
    }

    /// Sends the next message to the holder of the copies: the open step with the samples already
    /// counted, then pending copies, then the seal of the batch.
    fn send_to_holder(&mut self, arrives: bool, answered: bool) {
        let Some(key) = self.key else {
            return;
        };
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, now_ms) = (self.coordinator.clone(), self.epoch, self.now_ms);
        if !arrives {
            return;
        }
        if !self.holder_ready {
            let step = self.step_request();
            let hold_reply = self.copies.hold(&from, &trainer, epoch, step, now_ms);
            let counted = self.core.counted_copies(key);
            let number = self.step_number;
            let copy_reply = self
                .copies
                .copy(&from, &trainer, number, epoch, &counted, now_ms);
            self.holder_ready =
                answered && hold_reply == Reply::Accepted && copy_reply == Reply::Accepted;
            return;
        }
        let pending = self.core.pending_copies(key, usize::MAX);
        if !pending.is_empty() {
            return self.send_copies(key, &pending, answered);
        }
        self.send_seal(key, answered);
    }

    fn send_copies(&mut self, key: StepKey, pending: &[SampleCopy], answered: bool) {
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, step) = (self.coordinator.clone(), self.epoch, self.step_number);
        let drops_copies = self.options.has(PlantedFault::CopyIsMadeUp);
        let reply = if drops_copies {
            Reply::Accepted
        } else {
            self.copies
                .copy(&from, &trainer, step, epoch, pending, self.now_ms)
        };
        if answered && reply == Reply::Accepted {
            let draws: Vec<(u32, u32)> = pending
                .iter()
                .map(|copy| (copy.position, copy.draw))
                .collect();
            self.core.copies_stored(key, &draws);
        }
        self.run_actions();
    }

    fn send_seal(&mut self, key: StepKey, answered: bool) {
        let Some(step) = self.core.step(key) else {
            return;
        };
        let Phase::Sealing { newest_version } = step.phase else {
            return;
        };
        let draws = step.draws();
        let trainer: Arc<str> = TRAINER.into();
        let (from, epoch, number) = (self.coordinator.clone(), self.epoch, self.step_number);
        let drops_seal = self.options.has(PlantedFault::SealIsForgotten)
            || self.options.has(PlantedFault::CopyIsMadeUp);
        let reply = if drops_seal {
            Reply::Accepted
        } else {
            self.copies
                .seal(&from, &trainer, number, epoch, newest_version, &draws)
        };
        self.core.sealed(key, answered && reply == Reply::Accepted);
        self.run_actions();
    }

    /// Replaces the coordinator. The state of the old one and the results of its running attempts
    /// are lost; the new one adopts the stored copies.
    fn take_over(&mut self) {
        let held_copies = self.copies.get(&TRAINER.into(), self.step_number);
        self.core = Core::default();
        self.running.clear();
        self.coordinator = format!("n{}", self.epoch).into();
        self.open();
        if let (Some(held_copies), Some(key)) = (held_copies, self.key) {
            self.epoch = self.epoch.max(held_copies.epoch + 1);
            let copies = held_copies.samples.into_values().collect();
            self.core.restore(key, copies, held_copies.sealed);
        }
        self.run_actions();
    }

    fn fetch(&mut self) {
        let Some(batch) = self.key.and_then(|key| self.core.fetch(key, self.now_ms)) else {
            return;
        };
        if !batch.complete {
            return;
        }
        self.check_batch(&batch);
        let first_batch = self
            .delivered
            .entry(batch.step)
            .or_insert_with(|| batch.clone());
        self.options.check(
            Guarantee::ExactlyOnce,
            first_batch.samples == batch.samples,
            format!(
                "step {} was delivered again with different samples",
                batch.step
            ),
        );
    }

    /// Checks that a batch contains each sample once, with its actual weight versions and within
    /// the staleness bound.
    fn check_batch(&self, batch: &Batch) {
        let expected_count = GROUP_COUNT * usize::from(SAMPLES_PER_GROUP);
        let mut sample_positions: Vec<(u32, u16)> = batch
            .samples
            .iter()
            .map(|sample| (sample.group, sample.index))
            .collect();
        sample_positions.dedup();
        self.options.check(
            Guarantee::ExactlyOnce,
            sample_positions.len() == expected_count && batch.samples.len() == expected_count,
            format!("a batch of {expected_count} samples contains {sample_positions:?}"),
        );
        for sample in &batch.samples {
            let actual_versions = self.actual_versions.get(&sample.text);
            self.options.check(
                Guarantee::VersionsTrue,
                actual_versions == Some(&sample.versions),
                format!(
                    "a sample that lists versions {:?} was produced by {actual_versions:?}",
                    sample.versions
                ),
            );
            let oldest_version =
                actual_versions.and_then(|spans| spans.iter().map(|span| span.version).min());
            let newest_version = self.newest_version_at_close;
            self.options.check(
                Guarantee::Fresh,
                oldest_version.is_some_and(|oldest| oldest + STALENESS_BOUND >= newest_version),
                format!("a sample of version {oldest_version:?} is in a batch closed at version {newest_version}"),
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
        self.run_actions();
        self.step_number += 1;
        self.open();
    }
}

/// Returns the item at `index` modulo the number of items, or `None` if there are none.
fn pick_mut<T>(items: &mut [T], index: usize) -> Option<&mut T> {
    let length = items.len();
    items.get_mut(index.checked_rem(length)?)
}
