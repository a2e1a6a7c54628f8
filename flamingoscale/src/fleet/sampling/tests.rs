//! Tests for which samples start, on which engines, and in which order.

use super::*;
use crate::fleet::{
    fixtures::{
        batch,
        endpoints,
        heartbeat,
        ledger_of,
        listing,
        result,
        results,
        scoring_call, //
    },
    migration::Pace,
    record::{
        Batch,
        Record, //
    }, //
};

fn assign(ids: &[&str]) -> Record {
    Record::ModelAssignment {
        engines: ids
            .iter()
            .map(|id| (Arc::from(*id), Arc::from("notes")))
            .collect(),
    }
}

fn starts(
    sampler: &mut Sampler,
    ledger: &Ledger,
    endpoints: &Endpoints,
    now_ms: u64,
) -> Vec<Start> {
    let owned_models = HashSet::from([Arc::from("notes")]);
    let service = |_: &BatchState, _: &Sample| Some(Arc::from("drafting"));
    sampler.next_starts(
        ledger,
        endpoints,
        &owned_models,
        &service,
        &|_| None,
        now_ms,
    )
}

#[test]
fn engines_are_filled_evenly_up_to_their_slots() {
    let ledger = ledger_of(vec![assign(&["e1", "e2"]), batch("b", 1, 20, |_, _| 10)]);
    let endpoints = endpoints(&[listing("e1", "saiq", 1), listing("e2", "shams", 1)]);
    let mut sampler = Sampler::default();
    let started = starts(&mut sampler, &ledger, &endpoints, 0);
    assert_eq!(started.len(), 8);
    let at = |id: &str| {
        let key = endpoints.find(id).unwrap();
        started.iter().filter(|start| start.endpoint == key).count()
    };
    assert_eq!((at("e1"), at("e2")), (4, 4));
}

#[test]
fn engine_with_old_weights_gets_no_sample() {
    let ledger = ledger_of(vec![assign(&["e1", "e2"]), batch("b", 3, 20, |_, _| 10)]);
    let endpoints = endpoints(&[listing("e1", "saiq", 1), listing("e2", "shams", 2)]);
    let started = starts(&mut Sampler::default(), &ledger, &endpoints, 0);
    let up_to_date = endpoints.find("e2").unwrap();
    assert!(started.len() == 4 && started.iter().all(|start| start.endpoint == up_to_date));
}

#[test]
fn returned_groups_start_first_and_longest_surplus_groups_last() {
    let mut returned_batch = batch("b2", 2, 10, |group, _| 100 * group as u32);
    let mut earlier_batch = batch("b1", 1, 10, |_, _| 10);
    // Only group 0 of the earlier batch is submitted again; the other samples have different ids.
    for (record, keep) in [(&mut earlier_batch, 0), (&mut returned_batch, 10)] {
        let Record::Batch(submitted) = record else {
            unreachable!()
        };
        let submitted = Arc::make_mut(submitted);
        for sample in &mut submitted.samples {
            if &*sample.group != "g0" && keep == 0 {
                sample.id = format!("old-{}", sample.id).into();
            }
        }
    }
    let ledger = ledger_of(vec![earlier_batch, returned_batch]);
    let state = &ledger.batches["b2"];
    let order = start_positions(state, &ledger);
    let groups: Vec<&str> = order
        .iter()
        .map(|position| &*state.batch.samples[position.index].group)
        .collect();
    // The trainer waits for 9 of 10 groups: g0 was submitted before, g9 is the longest group and g8
    // the second longest.
    assert_eq!((groups[0], groups[1]), ("g0", "g0"));
    assert_eq!((groups[2], groups[18], groups[19]), ("g8", "g9", "g9"));
}

#[test]
fn retry_delay_grows_with_each_attempt_without_event() {
    let ledger = ledger_of(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10)]);
    let endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let mut sampler = Sampler::default();
    let mut now_ms = 0;
    let mut delays_ms = Vec::new();
    for _ in 0..3 {
        let started = starts(&mut sampler, &ledger, &endpoints, now_ms);
        assert_eq!(started.len(), 2);
        for start in &started {
            sampler.attempt_finished(&start.sample, start.endpoint, 0, now_ms);
        }
        let from_ms = now_ms;
        now_ms = (from_ms..from_ms + 5_000)
            .find(|at_ms| sampler.progress(&started[0].sample).not_before_ms <= *at_ms)
            .unwrap();
        delays_ms.push(now_ms - from_ms);
    }
    assert!(
        delays_ms[0] < delays_ms[1] && delays_ms[1] < delays_ms[2],
        "{delays_ms:?}"
    );
}

#[test]
fn finished_ended_and_unowned_samples_do_not_start() {
    let endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let all_results = results(vec![
        result("b", "s0.0", "text"),
        result("b", "s0.1", "text"),
    ]);
    let finished = ledger_of(vec![
        assign(&["e1"]),
        batch("b", 1, 1, |_, _| 10),
        all_results,
    ]);
    assert!(starts(&mut Sampler::default(), &finished, &endpoints, 0).is_empty());
    let ended = Record::BatchEnded { batch: "b".into() };
    let ended_batch = ledger_of(vec![
        assign(&["e1"]),
        batch("b", 1, 1, |_, _| 10),
        ended,
        heartbeat("n1", 1),
    ]);
    assert!(starts(&mut Sampler::default(), &ended_batch, &endpoints, 0).is_empty());
    let open_batch = ledger_of(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10)]);
    let service = |_: &BatchState, _: &Sample| Some(Arc::from("drafting"));
    let started = Sampler::default().next_starts(
        &open_batch,
        &endpoints,
        &HashSet::new(),
        &service,
        &|_| None,
        0,
    );
    assert!(started.is_empty());
}

/// An engine that loads weights refuses requests for about a second, so it must not get a sample
/// immediately after a refusal.
#[test]
fn engine_that_refused_gets_no_sample() {
    let ledger = ledger_of(vec![assign(&["e1", "e2"]), batch("b", 1, 20, |_, _| 10)]);
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1), listing("e2", "shams", 1)]);
    let refusing = endpoints.find("e1").unwrap();
    endpoints.refused(refusing, 0);
    let started = starts(&mut Sampler::default(), &ledger, &endpoints, 0);
    assert!(!started.is_empty() && started.iter().all(|start| start.endpoint != refusing));
}

/// Regression test: engines that became slow got as many samples as the others, which delayed the
/// groups of these samples.
#[test]
fn slow_engine_gets_fewer_samples() {
    let ledger = ledger_of(vec![
        assign(&["e1", "e2", "e3"]),
        batch("b", 1, 4, |_, _| 10),
    ]);
    let names = ["e1", "e2", "e3"];
    let mut endpoints = endpoints(&names.map(|id| listing(id, "saiq", 1)));
    for (id, event_ms) in names.into_iter().zip([40, 40, 160]) {
        let key = endpoints.find(id).unwrap();
        let mut pace = Pace::default();
        (0..2).for_each(|event| pace.record_event(event * event_ms));
        endpoints.record_pace(key, &pace);
    }
    let slow = endpoints.find("e3").unwrap();
    let started = starts(&mut Sampler::default(), &ledger, &endpoints, 0);
    let at_slow = started
        .iter()
        .filter(|start| start.endpoint == slow)
        .count();
    assert_eq!((started.len(), at_slow), (8, 1));
}

/// A run on a slow engine moves to an engine that is not slow, and stays if there is no such
/// engine.
#[test]
fn moved_sample_starts_on_another_engine() {
    let ledger = ledger_of(vec![assign(&["e1", "e2"]), batch("b", 1, 1, |_, _| 10)]);
    let mut endpoints = endpoints(&["e1", "e2"].map(|id| listing(id, "saiq", 1)));
    let [first, second] = ["e1", "e2"].map(|id| endpoints.find(id).unwrap());
    let mut sampler = Sampler::default();
    let id: SampleId = ("b".into(), "s0.0".into());
    sampler.progress(&id).previous_engine = Some(first);
    (0..3).for_each(|_| endpoints.request_sent(second));
    let started = starts(&mut sampler, &ledger, &endpoints, 0);
    let of_sample = |started: &[Start]| {
        let found = started.iter().find(|start| start.sample == id);
        found.map(|start| start.endpoint)
    };
    assert_eq!(of_sample(&started), Some(second));
    let better = |endpoints: &Endpoints| {
        let state = &ledger.batches["b"];
        Sampler::default().has_better_engine(
            &ledger,
            endpoints,
            ("drafting", state),
            (&id, first),
            0,
        )
    };
    assert!(better(&endpoints));
    endpoints.request_sent(second);
    assert!(!better(&endpoints));
    // If only the previous engine has room, the sample returns to that engine.
    let mut sampler = Sampler::default();
    sampler.progress(&id).previous_engine = Some(first);
    let started = starts(&mut sampler, &ledger, &endpoints, 0);
    assert_eq!(of_sample(&started), Some(first));
}

/// Guards against a moved run that starts on another slow engine, and against one that waits for an
/// engine that has filled up.
#[test]
fn moved_sample_starts_on_the_engine_that_was_decided() {
    let names = ["e1", "e2", "e3"];
    let ledger = ledger_of(vec![assign(&names), batch("b", 1, 1, |_, _| 10)]);
    let mut endpoints = endpoints(&names.map(|id| listing(id, "saiq", 1)));
    let [first, second, third] = names.map(|id| endpoints.find(id).unwrap());
    let id: SampleId = ("b".into(), "s0.0".into());
    let start_of_sample = |endpoints: &Endpoints| {
        let mut sampler = Sampler::default();
        sampler.progress(&id).previous_engine = Some(first);
        sampler.progress(&id).next_engine = Some(third);
        let started = starts(&mut sampler, &ledger, endpoints, 0);
        let found = started.iter().find(|start| start.sample == id);
        found.map(|start| start.endpoint)
    };
    (0..3).for_each(|_| endpoints.request_sent(third));
    assert_eq!(start_of_sample(&endpoints), Some(third));
    endpoints.request_sent(third);
    assert_eq!(start_of_sample(&endpoints), Some(second));
}

#[test]
fn slow_engine_is_not_better() {
    let ledger = ledger_of(vec![
        assign(&["e1", "e2", "e3"]),
        batch("b", 1, 1, |_, _| 10),
    ]);
    let names = ["e1", "e2", "e3"];
    let mut endpoints = endpoints(&names.map(|id| listing(id, "saiq", 1)));
    for (id, event_ms) in names.into_iter().zip([50, 50, 170]) {
        let mut pace = Pace::default();
        (0..2).for_each(|event| pace.record_event(event * event_ms));
        let key = endpoints.find(id).unwrap();
        endpoints.record_pace(key, &pace);
    }
    let [first, second] = ["e1", "e2"].map(|id| endpoints.find(id).unwrap());
    (0..4).for_each(|_| endpoints.request_sent(second));
    let state = &ledger.batches["b"];
    let id: SampleId = ("b".into(), "s0.0".into());
    assert!(!Sampler::default().has_better_engine(
        &ledger,
        &endpoints,
        ("drafting", state),
        (&id, first),
        0
    ));
}

/// The time of the scoring call counts in the time that a sample takes.
#[test]
fn sample_with_a_score_starts_before_an_equally_long_one_without() {
    let Record::Batch(unscored) = batch("b", 1, 4, |_, _| 10) else {
        unreachable!()
    };
    let mut mixed = Batch::clone(&unscored);
    mixed.wanted_groups = 4;
    mixed.samples[2].scoring = Some(scoring_call("s1.0"));
    let ledger = ledger_of(mixed.into_records(1 << 16));
    let order = start_positions(&ledger.batches["b"], &ledger);
    assert_eq!(order[0].index, 2);
}

#[test]
fn sample_is_placed_again_after_any_number_of_crashes() {
    let ledger = ledger_of(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10)]);
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let engine = endpoints.find("e1").unwrap();
    let mut sampler = Sampler::default();
    let mut now_ms = 0;
    for _ in 0..100 {
        let started = starts(&mut sampler, &ledger, &endpoints, now_ms);
        assert_eq!(started.len(), 2);
        for start in started {
            sampler.attempt_finished(&start.sample, engine, 0, now_ms);
        }
        endpoints.failed(engine, now_ms);
        now_ms += MAX_RETRY_DELAY_MS;
    }
}

#[test]
fn sample_goes_on_with_its_software_or_starts_again_elsewhere() {
    let ledger = ledger_of(vec![assign(&["e1", "e2"]), batch("b", 1, 1, |_, _| 10)]);
    let mut newer = listing("e2", "saiq", 1);
    newer.software = "v2".into();
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1), newer]);
    let owned_models = HashSet::from([Arc::from("notes")]);
    let service = |_: &BatchState, _: &Sample| Some(Arc::from("drafting"));
    let software = |_: &SampleId| Some(Arc::from("v2"));
    let starts = |endpoints: &Endpoints| {
        let mut sampler = Sampler::default();
        sampler.next_starts(&ledger, endpoints, &owned_models, &service, &software, 0)
    };
    let all_at = |endpoints: &Endpoints, id: &str| {
        let key = endpoints.find(id).unwrap();
        starts(endpoints).iter().all(|start| start.endpoint == key)
    };
    assert!(all_at(&endpoints, "e2"));
    endpoints.remove("e2");
    assert!(all_at(&endpoints, "e1") && starts(&endpoints).len() == 2);
}
