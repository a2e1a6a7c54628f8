//! Tests that checkpoints store each event once, and a property test over random histories of texts
//! that grow, start again, finish and are taken over.

use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    }, //
};

use super::*;

const MAX_BYTES: usize = 64;

/// Returns the text of a sample after some events. `run` distinguishes the texts of one sample that
/// was started again.
fn text(sample: &str, run: u32, events: u64) -> PartialText {
    let data: Vec<String> = (1..=events).map(|event| format!("{run}:{event}")).collect();
    PartialText {
        batch: "b".into(),
        sample: sample.into(),
        last_event: events,
        text: data.join("\n").into(),
        versions: vec![u64::from(run)],
        software: "v1".into(),
        complete: false,
    }
}

/// The records that the store holds, by serial number.
#[derive(Default)]
struct Stored(BTreeMap<u64, Vec<TextPart>>);

impl Stored {
    fn apply(&mut self, checkpoint: Checkpoint) {
        self.0.extend(checkpoint.records);
        for serial in checkpoint.obsolete {
            self.0.remove(&serial);
        }
    }

    fn texts(&self) -> HashMap<Arc<str>, PartialText> {
        let parts = self.0.values().flatten().cloned();
        let joined = join_parts(parts).into_iter();
        joined.map(|text| (text.sample.clone(), text)).collect()
    }
}

#[test]
fn each_event_is_stored_once() {
    let mut checkpoints = Checkpoints::default();
    let first = checkpoints.next([&text("s", 1, 3)], MAX_BYTES);
    assert_eq!(&*first.records[0].1[0].text, "1:1\n1:2\n1:3");
    let second = checkpoints.next([&text("s", 1, 5)], MAX_BYTES);
    let part = &second.records[0].1[0];
    assert_eq!((part.previous_event, &*part.text), (3, "1:4\n1:5"));
    assert_eq!(checkpoints.next([&text("s", 1, 5)], MAX_BYTES).records, []);
}

#[test]
fn records_of_finished_samples_are_removed() {
    let mut checkpoints = Checkpoints::default();
    let mut stored = Stored::default();
    stored.apply(checkpoints.next([&text("s", 1, 3), &text("t", 1, 3)], MAX_BYTES));
    stored.apply(checkpoints.next([&text("t", 1, 4)], MAX_BYTES));
    assert_eq!(stored.texts()["t"], text("t", 1, 4));
    stored.apply(checkpoints.next([], MAX_BYTES));
    assert!(stored.0.is_empty());
}

/// A text that became complete without another event waits for its score only.
#[test]
fn completion_is_stored_without_an_event() {
    let mut checkpoints = Checkpoints::default();
    let mut stored = Stored::default();
    let complete = PartialText {
        complete: true,
        ..text("s", 1, 3)
    };
    stored.apply(checkpoints.next([&text("s", 1, 3)], MAX_BYTES));
    stored.apply(checkpoints.next([&complete], MAX_BYTES));
    assert_eq!(stored.texts()["s"], complete);
}

#[test]
fn part_without_its_predecessor_is_left_out() {
    let mut checkpoints = Checkpoints::default();
    let first = checkpoints.next([&text("s", 1, 3)], MAX_BYTES);
    checkpoints.next([&text("s", 1, 4)], MAX_BYTES);
    let third = checkpoints.next([&text("s", 1, 6)], MAX_BYTES);
    let parts = first.records.into_iter().chain(third.records);
    let joined = join_parts(parts.flat_map(|(_, parts)| parts));
    assert_eq!(joined, [text("s", 1, 3)]);
}

/// What happens to a sample between two checkpoints.
#[derive(Clone, Copy, Debug)]
enum Step {
    Grow(usize, u64),
    StartAgain(usize),
    Finish(usize),
    Checkpoint,
    /// The lease is lost and acquired again.
    Forget,
}

fn step() -> impl Strategy<Value = Step> {
    let sample = 0..3_usize;
    prop_oneof![
        4 => (sample.clone(), 1..9_u64).prop_map(|(sample, events)| Step::Grow(sample, events)),
        1 => sample.clone().prop_map(Step::StartAgain),
        1 => sample.prop_map(Step::Finish),
        3 => Just(Step::Checkpoint),
        1 => Just(Step::Forget),
    ]
}

#[test]
fn last_checkpoint_is_restored_over_random_histories() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let histories = proptest::collection::vec(step(), 1..60);
    let outcome = runner.run(&histories, |steps| {
        let mut checkpoints = Checkpoints::default();
        let mut stored = Stored::default();
        // Run and number of events of each unfinished sample.
        let mut samples: [Option<(u32, u64)>; 3] = [None; 3];
        for (run, step) in (1..).zip(steps) {
            match step {
                Step::Grow(sample, events) => {
                    samples[sample].get_or_insert((run, 0)).1 += events;
                }
                Step::StartAgain(sample) => samples[sample] = Some((run, 1)),
                Step::Finish(sample) => samples[sample] = None,
                Step::Forget => checkpoints.forget(),
                Step::Checkpoint => {
                    let named = (0..).zip(&samples);
                    let texts: Vec<PartialText> = named
                        .filter_map(|(sample, state)| {
                            let (run, events) = (*state)?;
                            Some(text(&format!("s{sample}"), run, events.min(12)))
                        })
                        .collect();
                    stored.apply(checkpoints.next(&texts, MAX_BYTES));
                    let restored = stored.texts();
                    for text in texts {
                        prop_assert_eq!(restored.get(&text.sample), Some(&text));
                    }
                }
            }
        }
        Ok(())
    });
    outcome.unwrap();
}
