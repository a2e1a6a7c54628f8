//! Played loads: which samples start, where, and in which order.

use super::*;
use crate::fleet::{
    fixtures::{
        batch,
        endpoints,
        heartbeat,
        listing,
        result,
        results, //
    },
    migration::Pace,
    record::Record, //
};

fn ledger(records: Vec<Record>) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, record) in records.into_iter().enumerate() {
        ledger.apply(offset as u64, record, 0);
    }
    ledger
}

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
    let owned = HashSet::from([Arc::from("notes")]);
    let service = |_: &BatchState, _: &Sample| Some(Arc::from("drafting"));
    sampler.next_starts(ledger, endpoints, &owned, &service, now_ms)
}

#[test]
fn engines_are_filled_evenly_and_no_further_than_their_slots() {
    let ledger = ledger(vec![assign(&["e1", "e2"]), batch("b", 1, 20, |_, _| 10)]);
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
fn weights_that_are_too_old_get_no_sample() {
    let ledger = ledger(vec![assign(&["e1", "e2"]), batch("b", 3, 20, |_, _| 10)]);
    let endpoints = endpoints(&[listing("e1", "saiq", 1), listing("e2", "shams", 2)]);
    let started = starts(&mut Sampler::default(), &ledger, &endpoints, 0);
    let fresh = endpoints.find("e2").unwrap();
    assert!(started.len() == 4 && started.iter().all(|start| start.endpoint == fresh));
}

#[test]
fn returned_groups_go_first_and_the_longest_that_nobody_waits_for_last() {
    let mut again = batch("b2", 2, 10, |group, _| 100 * group as u32);
    let mut earlier = batch("b1", 1, 10, |_, _| 10);
    // Only group 0 of the earlier batch came back; its other samples had other ids.
    for (record, keep) in [(&mut earlier, 0), (&mut again, 10)] {
        let Record::Batch(known) = record else {
            unreachable!()
        };
        let known = Arc::make_mut(known);
        for sample in &mut known.samples {
            if &*sample.group != "g0" && keep == 0 {
                sample.id = format!("old-{}", sample.id).into();
            }
        }
    }
    let ledger = ledger(vec![earlier, again]);
    let state = &ledger.batches["b2"];
    let order = start_order(state, &ledger);
    let groups: Vec<&str> = order
        .iter()
        .map(|index| &*state.batch.samples[*index].group)
        .collect();
    // 9 of 10 groups are waited for: g0 came back, g9 is the longest, g8 the next.
    assert_eq!((groups[0], groups[1]), ("g0", "g0"));
    assert_eq!((groups[2], groups[18], groups[19]), ("g8", "g9", "g9"));
}

#[test]
fn a_try_that_gave_nothing_pauses_longer_each_time() {
    let ledger = ledger(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10)]);
    let endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let mut sampler = Sampler::default();
    let mut now_ms = 0;
    let mut pauses = Vec::new();
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
        pauses.push(now_ms - from_ms);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn nothing_starts_for_listed_samples_ended_batches_and_models_of_others() {
    let endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let listed = results(vec![
        result("b", "s0.0", "text"),
        result("b", "s0.1", "text"),
    ]);
    let done = ledger(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10), listed]);
    assert!(starts(&mut Sampler::default(), &done, &endpoints, 0).is_empty());
    let ended = Record::BatchEnded { batch: "b".into() };
    let over = ledger(vec![
        assign(&["e1"]),
        batch("b", 1, 1, |_, _| 10),
        ended,
        heartbeat("n1", 1),
    ]);
    assert!(starts(&mut Sampler::default(), &over, &endpoints, 0).is_empty());
    let open = ledger(vec![assign(&["e1"]), batch("b", 1, 1, |_, _| 10)]);
    let service = |_: &BatchState, _: &Sample| Some(Arc::from("drafting"));
    let none = Sampler::default().next_starts(&open, &endpoints, &HashSet::new(), &service, 0);
    assert!(none.is_empty());
}

/// An engine that loads refuses for a second; asking it again at once is in vain.
#[test]
fn an_engine_that_refused_pauses() {
    let ledger = ledger(vec![assign(&["e1", "e2"]), batch("b", 1, 20, |_, _| 10)]);
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1), listing("e2", "shams", 1)]);
    let refusing = endpoints.find("e1").unwrap();
    endpoints.refused(refusing, 0);
    let started = starts(&mut Sampler::default(), &ledger, &endpoints, 0);
    assert!(!started.is_empty() && started.iter().all(|start| start.endpoint != refusing));
}

/// Engines that turn slow kept getting as many samples as the others, and their groups came late.
#[test]
fn a_slow_engine_gets_fewer_samples() {
    let ledger = ledger(vec![
        assign(&["e1", "e2", "e3"]),
        batch("b", 1, 4, |_, _| 10),
    ]);
    let names = ["e1", "e2", "e3"];
    let mut endpoints = endpoints(&names.map(|id| listing(id, "saiq", 1)));
    for (id, took_ms) in names.into_iter().zip([40, 40, 160]) {
        let key = endpoints.find(id).unwrap();
        let mut pace = Pace::default();
        (0..2).for_each(|event| pace.record_event(event * took_ms));
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

/// Runs that leave a slow engine go to one that is not, and stay where there is none.
#[test]
fn a_sample_that_left_an_engine_goes_elsewhere() {
    let ledger = ledger(vec![assign(&["e1", "e2"]), batch("b", 1, 1, |_, _| 10)]);
    let mut endpoints = endpoints(&["e1", "e2"].map(|id| listing(id, "saiq", 1)));
    let [first, second] = ["e1", "e2"].map(|id| endpoints.find(id).unwrap());
    let mut sampler = Sampler::default();
    let id: SampleId = ("b".into(), "s0.0".into());
    sampler.progress(&id).left_engine = Some(first);
    (0..3).for_each(|_| endpoints.request_sent(second));
    let started = starts(&mut sampler, &ledger, &endpoints, 0);
    let of_sample = |started: &[Start]| {
        let found = started.iter().find(|start| start.sample == id);
        found.map(|start| start.endpoint)
    };
    assert_eq!(of_sample(&started), Some(second));
    let better = |endpoints: &Endpoints| {
        let state = &ledger.batches["b"];
        has_better_engine(&ledger, endpoints, "drafting", state, first, 0)
    };
    assert!(better(&endpoints));
    endpoints.request_sent(second);
    assert!(!better(&endpoints));
    // Where only the engine that it left has room, it goes back there.
    let mut sampler = Sampler::default();
    sampler.progress(&id).left_engine = Some(first);
    let started = starts(&mut sampler, &ledger, &endpoints, 0);
    assert_eq!(of_sample(&started), Some(first));
}

#[test]
fn a_slow_engine_is_not_better() {
    let ledger = ledger(vec![
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
    assert!(!has_better_engine(
        &ledger, &endpoints, "drafting", state, first, 0
    ));
}
