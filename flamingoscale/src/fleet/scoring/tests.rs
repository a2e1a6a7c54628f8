//! Tests for the order and the number of scoring calls, and a property test over random histories
//! of texts, calls, failures and handovers.

use std::collections::HashSet;

use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    }, //
};

use super::*;
use crate::fleet::{
    fixtures::{
        ledger_of,
        result,
        results,
        scored_batch, //
    },
    record::{
        Record,
        SampleEnd,
        SampleResult, //
    }, //
};

const SERVICE: &str = "desk";

fn id(sample: &str) -> SampleId {
    ("b".into(), sample.into())
}

fn calls(scorer: &mut Scorer, ledger: &Ledger, limit: u32, now_ms: u64) -> Vec<ScoringStart> {
    let service = |_: &SampleId| Some(Arc::from(SERVICE));
    let limit = CallLimit {
        concurrent: limit,
        permits: None,
    };
    scorer.next_calls(ledger, &service, &|_| limit, now_ms)
}

#[test]
fn calls_keep_to_their_limit_and_complete_groups_first() {
    let mut records = scored_batch("b", 1, 3);
    records.push(scored(vec![result("b", "s1.1", "text")]));
    let ledger = ledger_of(records);
    let mut scorer = Scorer::default();
    for sample in ["s0.0", "s0.1", "s1.0"] {
        scorer.add(id(sample), 5);
    }
    let first = calls(&mut scorer, &ledger, 1, 5);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].sample, id("s1.0"), "its group lacks one result");
    assert!(calls(&mut scorer, &ledger, 1, 5).is_empty());
    let end = ScoringEnd::Scored("seal".into());
    let outcome = scorer.call_ended(&first[0], end, 3, 6);
    assert_eq!(outcome, ScoringOutcome::Scored("seal".into()));
    assert_eq!(calls(&mut scorer, &ledger, 9, 6).len(), 2);
}

#[test]
fn sample_is_abandoned_only_after_the_allowed_number_of_failures() {
    let ledger = ledger_of(scored_batch("b", 1, 1));
    let mut scorer = Scorer::default();
    scorer.add(id("s0.0"), 0);
    for (number, expected) in [
        (1, ScoringOutcome::Repeated),
        (1, ScoringOutcome::Repeated),
        (1, ScoringOutcome::Abandoned),
    ] {
        let start = calls(&mut scorer, &ledger, 1, 0).remove(0);
        let end = ScoringEnd::Failed { answers: number };
        assert_eq!(scorer.call_ended(&start, end, 3, 0), expected);
    }
    assert!(scorer.is_empty());
}

/// While the service is down, all texts together send one call at a time, and calls resume as soon
/// as one is answered.
#[test]
fn a_service_that_is_down_is_probed_by_single_calls() {
    let ledger = ledger_of(scored_batch("b", 1, 20));
    let mut scorer = Scorer::default();
    for group in 0..20 {
        scorer.add(id(&format!("s{group}.0")), 0);
    }
    let mut now_ms = 0;
    let mut sent = Vec::new();
    while now_ms < 20_000 {
        let starts = calls(&mut scorer, &ledger, 8, now_ms);
        sent.push((now_ms, starts.len()));
        for start in starts {
            scorer.call_ended(&start, ScoringEnd::Unanswered, 3, now_ms);
        }
        now_ms += 100;
    }
    let sum = |from_ms: u64| {
        let sent = sent.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        sent.map(|(_, calls)| calls).sum::<usize>()
    };
    assert!(sum(10_000) <= 100, "{} calls in 10 s", sum(10_000));
    assert!(sum(10_000) >= 20, "{} calls in 10 s", sum(10_000));
    let start = calls(&mut scorer, &ledger, 8, now_ms + 1_000).remove(0);
    scorer.call_ended(&start, ScoringEnd::Scored("seal".into()), 3, now_ms);
    assert_eq!(calls(&mut scorer, &ledger, 8, now_ms + 1_000).len(), 8);
}

/// Eight trainers whose samples finish at the same time leave room for lookups, and a single one
/// may use most of an idle service.
#[test]
fn limit_leaves_slots_to_lookups() {
    assert_eq!(call_limit(24, 0, 1), 18);
    assert_eq!(call_limit(24, 18, 3), 4);
    assert_eq!(call_limit(24, 100, 3), 4);
    assert_eq!(call_limit(6, 6, 8), 1);
    assert_eq!(call_limit(0, 0, 0), 1);
}

fn scored(results: Vec<SampleResult>) -> Record {
    Record::ScoredResults {
        submitted_unix_ms: 1,
        results: results
            .into_iter()
            .map(|result| (result, "score of text".into()))
            .collect(),
    }
}

/// Results are checked before they are written, because those who list them don't read the batch.
#[test]
fn complete_result_without_its_score_is_not_permitted() {
    let ledger = ledger_of(scored_batch("b", 1, 2));
    let batch = &ledger.batches["b"].batch;
    let unscored = result("b", "s0.0", "text");
    assert!(!batch.permits(&unscored));
    let with_score = SampleResult {
        score: Some("score of text".into()),
        ..unscored.clone()
    };
    assert!(batch.permits(&with_score));
    let abandoned = SampleResult {
        end: SampleEnd::Failed,
        ..unscored
    };
    assert!(batch.permits(&abandoned));
    let stranger = SampleResult {
        sample: "stranger".into(),
        ..with_score
    };
    assert!(!batch.permits(&stranger));
}

const INSTANCES: usize = 2;

/// One step of a random history. The numbers select an instance and a sample or a call.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The instance generates a text of the sample, which replaces an earlier one.
    CompleteText(usize, usize),
    /// The instance sends the calls that are due.
    SendCalls(usize),
    /// The service answers one of the calls with a score, even if the caller has ended.
    Score(usize),
    /// The service answers one of the calls with a failure.
    Fail(usize),
    /// One of the calls gets no answer.
    Lose(usize),
    /// The instance loses its state.
    Crash(usize),
    /// The instance hands its texts to the other one, which scores them.
    HandOver(usize),
}

/// A call that the service has not answered, with the sender's incarnation.
struct OpenCall {
    instance: usize,
    incarnation: u32,
    start: ScoringStart,
    /// The text that the sample had when the call was sent.
    text: String,
}

/// Instances that score the samples of one batch, and the service that they call. The score of a
/// text is "score of" the text.
struct Simulation {
    ledger: Ledger,
    scorers: Vec<Scorer>,
    incarnations: [u32; INSTANCES],
    /// The text of each sample that an instance has, by sample.
    texts: Vec<HashMap<SampleId, String>>,
    calls: Vec<OpenCall>,
    failures: HashMap<SampleId, u32>,
    abandoned: HashSet<SampleId>,
    generated_texts: u32,
    now_ms: u64,
    /// Planted fault: a score is used for whatever text the sample has when the score arrives.
    takes_any_score: bool,
}

const SAMPLES: [&str; 4] = ["s0.0", "s0.1", "s1.0", "s1.1"];
const MAX_FAILURES: u32 = 3;

impl Simulation {
    fn new(takes_any_score: bool) -> Self {
        Self {
            ledger: ledger_of(scored_batch("b", 1, 2)),
            scorers: (0..INSTANCES).map(|_| Scorer::default()).collect(),
            incarnations: [0; INSTANCES],
            texts: vec![HashMap::new(); INSTANCES],
            calls: Vec::new(),
            failures: HashMap::new(),
            abandoned: HashSet::new(),
            generated_texts: 0,
            now_ms: 0,
            takes_any_score,
        }
    }

    fn run_step(&mut self, step: Step) {
        self.now_ms += 100;
        match step {
            Step::CompleteText(instance, sample) => {
                let sample = id(SAMPLES[sample]);
                if self.ledger.is_sample_open(&sample.0, &sample.1) {
                    self.generated_texts += 1;
                    let text = format!("text {}", self.generated_texts);
                    self.texts[instance].insert(sample.clone(), text);
                    self.scorers[instance].add(sample, self.now_ms);
                }
            }
            Step::SendCalls(instance) => self.send_calls(instance),
            Step::Score(call) => self.end_call(call, |text| {
                ScoringEnd::Scored(format!("score of {text}").into())
            }),
            Step::Fail(call) => self.end_call(call, |_| ScoringEnd::Failed { answers: 1 }),
            Step::Lose(call) => self.end_call(call, |_| ScoringEnd::Unanswered),
            Step::Crash(instance) => {
                self.incarnations[instance] += 1;
                self.scorers[instance] = Scorer::default();
                self.texts[instance].clear();
            }
            Step::HandOver(instance) => {
                let successor = (instance + 1) % INSTANCES;
                let texts = std::mem::take(&mut self.texts[instance]);
                self.scorers[instance].retain(|_| false);
                for (sample, text) in texts {
                    self.texts[successor].insert(sample.clone(), text);
                    self.scorers[successor].add(sample, self.now_ms);
                }
            }
        }
        let ledger = &self.ledger;
        for scorer in &mut self.scorers {
            scorer.retain(|(batch, sample)| ledger.is_sample_open(batch, sample));
        }
    }

    fn send_calls(&mut self, instance: usize) {
        for start in calls(&mut self.scorers[instance], &self.ledger, 2, self.now_ms) {
            let text = self.texts[instance][&start.sample].clone();
            self.calls.push(OpenCall {
                instance,
                incarnation: self.incarnations[instance],
                start,
                text,
            });
        }
    }

    fn end_call(&mut self, call: usize, end: impl Fn(&str) -> ScoringEnd) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(call % self.calls.len());
        let sample = call.start.sample.clone();
        let end = end(&call.text);
        if let ScoringEnd::Failed { answers } = end {
            *self.failures.entry(sample.clone()).or_default() += answers;
        }
        if self.incarnations[call.instance] != call.incarnation {
            return;
        }
        let scorer = &mut self.scorers[call.instance];
        let outcome = match (self.takes_any_score, &end) {
            (true, ScoringEnd::Scored(score)) => ScoringOutcome::Scored(score.clone()),
            _ => scorer.call_ended(&call.start, end, MAX_FAILURES, self.now_ms),
        };
        let listed = match outcome {
            ScoringOutcome::Scored(score) => {
                let Some(text) = self.texts[call.instance].get(&sample) else {
                    return;
                };
                let listed = result("b", &sample.1, text);
                Record::ScoredResults {
                    submitted_unix_ms: 1,
                    results: vec![(listed, score)],
                }
            }
            ScoringOutcome::Abandoned => {
                self.abandoned.insert(sample.clone());
                let mut listed = result("b", &sample.1, "");
                listed.end = SampleEnd::Failed;
                results(vec![listed])
            }
            ScoringOutcome::Repeated | ScoringOutcome::Outdated => return,
        };
        self.check_permitted(&listed);
        let offset = self.ledger.next_offset;
        self.ledger.apply(offset, listed, 0);
    }

    fn check_permitted(&self, listed: &Record) {
        let batch = &self.ledger.batches["b"].batch;
        match listed {
            Record::ScoredResults { results, .. } => results.iter().for_each(|(result, score)| {
                let scored = SampleResult {
                    score: Some(score.clone()),
                    ..result.clone()
                };
                assert!(batch.permits(&scored));
            }),
            Record::Results { results, .. } => {
                assert!(results.iter().all(|result| batch.permits(result)));
            }
            _ => (),
        }
    }

    fn check(&self) {
        for listed in self.ledger.batches["b"].results.from(0) {
            let sample = ("b".into(), listed.sample.clone());
            match listed.end {
                SampleEnd::Complete => {
                    let text = listed.text.as_ref().map(|text| text.key.to_string());
                    let expected = text.map(|text| format!("score of {text}"));
                    assert_eq!(listed.score.as_deref(), expected.as_deref());
                }
                SampleEnd::Failed => assert!(
                    self.failures[&sample] >= MAX_FAILURES,
                    "abandoned after {} failures",
                    self.failures[&sample]
                ),
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..INSTANCES, 0..SAMPLES.len())
            .prop_map(|(instance, sample)| Step::CompleteText(instance, sample)),
        6 => (0..INSTANCES).prop_map(Step::SendCalls),
        3 => (0..9_usize).prop_map(Step::Score),
        3 => (0..9_usize).prop_map(Step::Fail),
        2 => (0..9_usize).prop_map(Step::Lose),
        1 => (0..INSTANCES).prop_map(Step::Crash),
        1 => (0..INSTANCES).prop_map(Step::HandOver),
    ]
}

fn play(takes_any_score: bool) -> std::result::Result<(), String> {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let histories = proptest::collection::vec(step(), 10..120);
    let outcome = runner.run(&histories, |steps| {
        let mut simulation = Simulation::new(takes_any_score);
        steps.iter().for_each(|step| simulation.run_step(*step));
        simulation.check();
        Ok(())
    });
    outcome.map_err(|failure| failure.to_string())
}

#[test]
fn a_listed_score_is_that_of_its_text_over_random_histories() {
    play(false).unwrap();
}

#[test]
fn a_score_that_is_used_for_another_text_is_found() {
    assert!(play(true).is_err());
}
