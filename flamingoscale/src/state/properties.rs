//! Property tests of the fold over random histories: racing writers, appends that are lost, delayed
//! or repeated, and instances that read in arbitrary chunks or start from snapshots.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use bytes::Bytes;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::RngSeed, //
};

use super::{
    snapshot,
    Rejection,
    State,
    SubmitError, //
};
use crate::{
    configuration::Configuration,
    log::append::{
        Appender,
        SubmissionResult,
        Ticket, //
    },
    platform::PlatformError,
    record::{
        self,
        Record, //
    }, //
};

/// Number of random histories per property.
const CASES: u32 = 300;

const WRITERS: usize = 3;

/// Virtual time between two steps.
const STEP_MS: u64 = 200;

/// Timeout of a submission in virtual time.
const SUBMIT_TIMEOUT_MS: u64 = 1_500;

/// The outcome of one append call.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Done,
    Refused,
    /// The append succeeded, but its answer was lost.
    AnswerLost,
    /// The append takes effect after this many steps, if at all, and its answer was lost.
    Delayed(u8),
}

/// One step of a random history. The first field of most variants is the index of a writer.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A writer submits a new configuration.
    Configure(usize),
    /// A writer grants an API key.
    Grant(usize, u8),
    /// A writer withdraws an API key.
    Withdraw(usize, u8),
    /// A writer claims the lease.
    Claim(usize),
    /// A writer's next append call is made and ends with this outcome.
    Call(usize, CallOutcome),
    /// A writer reads up to the head of the log and completes its submissions.
    Read(usize),
    /// A writer's process is replaced by a new incarnation.
    Restart(usize),
    /// A record that can't be decoded is appended.
    Unreadable,
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Done),
        1 => Just(CallOutcome::Refused),
        2 => Just(CallOutcome::AnswerLost),
        2 => (0..20_u8).prop_map(CallOutcome::Delayed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let writer = 0..WRITERS;
    prop_oneof![
        2 => writer.clone().prop_map(Step::Configure),
        1 => (writer.clone(), 0..6_u8).prop_map(|(writer, key)| Step::Grant(writer, key)),
        1 => (writer.clone(), 0..6_u8).prop_map(|(writer, key)| Step::Withdraw(writer, key)),
        1 => writer.clone().prop_map(Step::Claim),
        6 => (writer.clone(), call_outcome())
            .prop_map(|(writer, outcome)| Step::Call(writer, outcome)),
        3 => writer.clone().prop_map(Step::Read),
        1 => writer.prop_map(Step::Restart),
        1 => Just(Step::Unreadable),
    ]
}

/// An instance that submits records.
struct Writer {
    name: String,
    incarnation: u64,
    appender: Appender,
    state: State,
}

/// The results that the submitters received.
type Results = BTreeMap<(String, u64, Ticket), Result<u64, SubmitError>>;

/// A log, its writers, and calls that have not taken effect yet.
struct World {
    log: Vec<Bytes>,
    /// Records of delayed calls, with the number of the step at which they take effect.
    delayed: Vec<(usize, Vec<Bytes>)>,
    writers: Vec<Writer>,
    results: Results,
    /// The text of each submitted configuration. All texts are distinct.
    texts: BTreeMap<(String, u64, Ticket), String>,
    now_ms: u64,
}

impl World {
    fn new() -> Self {
        let writer = |index| Writer {
            name: format!("n{index}"),
            incarnation: 1,
            appender: Appender::new(format!("n{index}").into(), 1),
            state: State::default(),
        };
        Self {
            log: Vec::new(),
            delayed: Vec::new(),
            writers: (0..WRITERS).map(writer).collect(),
            results: Results::new(),
            texts: BTreeMap::new(),
            now_ms: 0,
        }
    }

    fn run(steps: &[Step]) -> Self {
        let mut world = Self::new();
        for (number, step) in steps.iter().enumerate() {
            world.now_ms += STEP_MS;
            world.deliver_delayed(number);
            world.step(number, *step);
            world.expire();
        }
        world.deliver_delayed(usize::MAX);
        world
    }

    /// Appends the delayed calls that are due, after everything appended in the meantime.
    fn deliver_delayed(&mut self, number: usize) {
        let (due, pending) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= number);
        self.delayed = pending;
        let due: Vec<(usize, Vec<Bytes>)> = due;
        self.log
            .extend(due.into_iter().flat_map(|(_, records)| records));
    }

    fn step(&mut self, number: usize, step: Step) {
        match step {
            Step::Configure(writer) => self.configure(writer, number),
            Step::Grant(writer, key) => {
                self.submit(writer, granted(key));
            }
            Step::Withdraw(writer, key) => {
                self.submit(writer, withdrawn(key));
            }
            Step::Claim(writer) => self.claim(writer),
            Step::Call(writer, outcome) => self.call(writer, outcome, number),
            Step::Read(writer) => self.read(writer),
            Step::Restart(writer) => self.restart(writer),
            Step::Unreadable => self.log.push(Bytes::from_static(b"junk")),
        }
    }

    fn configure(&mut self, writer: usize, number: usize) {
        let base_revision = self.writers[writer].state.revision;
        let text = format!("{number}");
        let record = Record::Configuration {
            base_revision,
            text: text.as_str().into(),
            configuration: Configuration::default().into(),
        };
        let ticket = self.submit(writer, record);
        let writer = &self.writers[writer];
        let id = (writer.name.clone(), writer.incarnation, ticket);
        self.texts.insert(id, text);
    }

    fn claim(&mut self, writer: usize) {
        let state = &self.writers[writer].state;
        let replaces = state.leases.get("orders/x").map_or(0, |entry| entry.claim);
        let record = Record::LeaseClaim {
            lease: "orders/x".into(),
            replaces,
            lease_ms: 1_000,
        };
        self.submit(writer, record);
    }

    fn submit(&mut self, writer: usize, record: Record) -> Ticket {
        let deadline_ms = self.now_ms + SUBMIT_TIMEOUT_MS;
        let submitted = self.writers[writer].appender.submit(record, deadline_ms);
        submitted.expect("the record is below the size limit")
    }

    /// Returns whether the log contains a configuration with this text, in force or not. The record
    /// at offset 0 and its copies are not counted, because offset 0 can't number an entry and the
    /// fold rejects them all.
    fn contains_text(&self, wanted: &str) -> bool {
        let has_text = |bytes: &Bytes| {
            let envelope = record::decode(bytes);
            envelope.is_ok_and(|envelope| match envelope.record {
                Record::Configuration { text, .. } => &*text == wanted,
                _ => false,
            })
        };
        let is_first = self.log.first().is_some_and(has_text);
        !is_first && self.log.iter().any(has_text)
    }

    fn call(&mut self, writer: usize, outcome: CallOutcome, number: usize) {
        let appender = &mut self.writers[writer].appender;
        let Some(records) = appender.next_call(self.now_ms, 1) else {
            return;
        };
        let first = self.log.len() as u64;
        let reason = "".into();
        let result = match outcome {
            CallOutcome::Done => Ok(first),
            CallOutcome::Refused => Err(PlatformError::Refused { reason }),
            CallOutcome::AnswerLost | CallOutcome::Delayed(_) => {
                Err(PlatformError::Unknown { reason })
            }
        };
        match outcome {
            CallOutcome::Done | CallOutcome::AnswerLost => self.log.extend(records),
            CallOutcome::Delayed(steps) => self.delayed.push((number + steps as usize, records)),
            CallOutcome::Refused => {}
        }
        appender.call_completed(&result, self.now_ms);
    }

    fn read(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        let mut completed = Vec::new();
        for offset in writer.state.folded..self.log.len() as u64 {
            let folded = fold(&mut writer.state, offset, &self.log[offset as usize]);
            let Some((serial, incarnation, name, result)) = folded else {
                continue;
            };
            if name == writer.name && incarnation == writer.incarnation {
                completed.extend(
                    writer
                        .appender
                        .record_folded(serial, result.map(|()| offset)),
                );
            }
        }
        self.record_results(index, completed);
    }

    /// Ends the submissions whose deadline has passed.
    fn expire(&mut self) {
        for index in 0..self.writers.len() {
            let expired = self.writers[index].appender.expire(self.now_ms);
            self.record_results(index, expired);
        }
    }

    fn record_results(&mut self, index: usize, completed: Vec<SubmissionResult>) {
        let writer = &self.writers[index];
        for (ticket, result) in completed {
            let id = (writer.name.clone(), writer.incarnation, ticket);
            let previous = self.results.insert(id, result);
            assert!(previous.is_none(), "a submitter received two results");
        }
    }

    fn restart(&mut self, index: usize) {
        let writer = &mut self.writers[index];
        writer.incarnation += 1;
        writer.appender = Appender::new(writer.name.as_str().into(), writer.incarnation);
        writer.state = State::default();
    }

    /// Returns the state of an instance that reads the whole log.
    fn full_state(&self) -> State {
        let mut state = State::default();
        for (offset, bytes) in self.log.iter().enumerate() {
            fold(&mut state, offset as u64, bytes);
        }
        state
    }
}

/// Serial, incarnation, writer and result of a folded record.
type Folded = (u64, u64, String, Result<(), Rejection>);

fn fold(state: &mut State, offset: u64, bytes: &[u8]) -> Option<Folded> {
    let Ok(envelope) = record::decode(bytes) else {
        state.skip(offset);
        return None;
    };
    let result = state.fold(offset, &envelope);
    let name = envelope.writer.to_string();
    Some((envelope.serial, envelope.incarnation, name, result))
}

fn granted(key: u8) -> Record {
    Record::KeyGranted {
        key_id: format!("fk-{key}").into(),
        digest: [key; 32],
        organisation: "lodges".into(),
    }
}

fn withdrawn(key: u8) -> Record {
    Record::KeyWithdrawn {
        key_id: format!("fk-{key}").into(),
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the state after a round trip through its snapshot.
fn restored(state: &State) -> State {
    let mut assembler = snapshot::Assembler::default();
    let chunks = snapshot::chunks(state).into_iter();
    let mut restored = chunks.filter_map(|chunk| assembler.add(chunk));
    restored.next().expect("the snapshot is complete")
}

proptest! {
    #![proptest_config(config(41))]

    #[test]
    fn same_records_yield_same_state_from_any_snapshot(
        steps in vec(step(), 1..120),
        snapshot_offsets in vec(0..120_usize, 0..4),
    ) {
        let world = World::run(&steps);
        let expected = world.full_state();
        let snapshot_offsets: BTreeSet<usize> = snapshot_offsets.into_iter().collect();
        let mut state = State::default();
        for (offset, bytes) in world.log.iter().enumerate() {
            if snapshot_offsets.contains(&offset) {
                state = restored(&state);
            }
            fold(&mut state, offset as u64, bytes);
        }
        prop_assert_eq!(&state, &expected);
        prop_assert_eq!(snapshot::chunks(&state), snapshot::chunks(&expected));
    }
}

proptest! {
    #![proptest_config(config(42))]

    #[test]
    fn submission_results_are_accurate(steps in vec(step(), 1..160)) {
        let world = World::run(&steps);
        let mut accepted = BTreeMap::new();
        let mut in_force = BTreeSet::new();
        let mut state = State::default();
        for (offset, bytes) in world.log.iter().enumerate() {
            let Some((serial, incarnation, name, result)) =
                fold(&mut state, offset as u64, bytes) else { continue };
            in_force.insert(state.text.to_string());
            if result.is_ok() {
                let previous = accepted.insert((name, incarnation, serial), offset as u64);
                prop_assert!(previous.is_none(), "a record took effect twice");
            }
        }
        for (id, text) in &world.texts {
            if world.results.get(id) == Some(&Err(SubmitError::LogUnavailable)) {
                prop_assert!(!world.contains_text(text), "reported as not appended, but it is");
                prop_assert!(
                    !in_force.contains(text.as_str()),
                    "reported as not appended, but in force"
                );
            }
        }
        for ((name, incarnation, _), result) in &world.results {
            if let Ok(offset) = result {
                let is_accepted = accepted.iter().any(|((writer, writer_incarnation, _), at)| {
                    writer == name && writer_incarnation == incarnation && at == offset
                });
                prop_assert!(is_accepted, "reported as accepted, but it was not");
            }
        }
    }
}

proptest! {
    #![proptest_config(config(43))]

    #[test]
    fn configurations_never_fork_and_withdrawn_keys_stay_withdrawn(
        steps in vec(step(), 1..160),
    ) {
        let world = World::run(&steps);
        let mut state = State::default();
        let mut withdrawn = BTreeSet::new();
        let mut replaced = BTreeSet::new();
        for (offset, bytes) in world.log.iter().enumerate() {
            let before = state.revision;
            let folded = fold(&mut state, offset as u64, bytes);
            prop_assert!(state.revision >= before, "a configuration reverted");
            if let Ok(envelope) = record::decode(bytes) {
                let is_accepted = folded.is_some_and(|(.., result)| result.is_ok());
                if let (Record::Configuration { base_revision, .. }, true) =
                    (&envelope.record, is_accepted)
                {
                    prop_assert!(
                        replaced.insert(*base_revision),
                        "two configurations replaced the same revision"
                    );
                }
            }
            for entry in state.keys.iter().filter(|entry| entry.withdrawn) {
                withdrawn.insert(entry.key_id.clone());
            }
            prop_assert!(withdrawn.iter().all(|key_id| !state.keys.is_in_force(key_id)));
        }
    }
}

proptest! {
    #![proptest_config(config(44))]

    #[test]
    fn retried_submissions_take_effect(
        steps in vec(step(), 1..60),
    ) {
        let mut world = World::run(&steps);
        for writer in 0..WRITERS {
            world.submit(writer, granted(100 + writer as u8));
        }
        for number in 0..40 {
            world.now_ms += STEP_MS;
            // The first calls and their answers are lost.
            let outcome = if number < 10 {
                CallOutcome::Delayed(u8::MAX)
            } else {
                CallOutcome::Done
            };
            for writer in 0..WRITERS {
                world.call(writer, outcome, number);
            }
        }
        let state = world.full_state();
        for writer in 0..WRITERS {
            let key = format!("fk-{}", 100 + writer);
            prop_assert!(state.keys.is_in_force(&key), "the grant of {writer} was lost");
        }
    }
}
