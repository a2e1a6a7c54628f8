//! Tests for when engines load weights and which model each engine serves.

use super::*;
use crate::fleet::{
    fixtures::{
        apply,
        batch,
        endpoints,
        listing,
        result,
        results, //
    },
    record::{
        Batch,
        Record, //
    }, //
};

fn latest_versions(version: u64) -> HashMap<Arc<str>, u64> {
    HashMap::from([("notes".into(), version)])
}

fn assigned_engines(engines: usize) -> (Ledger, Endpoints) {
    let ids: Vec<String> = (0..engines).map(|number| format!("e{number}")).collect();
    let listings: Vec<_> = ids.iter().map(|id| listing(id, "saiq", 1)).collect();
    let mut ledger = Ledger::default();
    let assignments = ids
        .iter()
        .map(|id| (id.as_str().into(), "notes".into()))
        .collect();
    ledger.apply(
        0,
        Record::ModelAssignment {
            engines: assignments,
        },
        0,
    );
    (ledger, endpoints(&listings))
}

fn due(loads: &mut LoadScheduler, ledger: &Ledger, endpoints: &Endpoints, now_ms: u64) -> usize {
    loads
        .due_orders(
            ledger,
            endpoints,
            "drafting",
            &latest_versions(2),
            LoadMode::Retain,
            now_ms,
        )
        .len()
}

#[test]
fn engines_load_while_no_batch_is_open() {
    let (mut ledger, endpoints) = assigned_engines(2);
    let mut loads = LoadScheduler::default();
    // The open batch of step 2 allows version 1, so no engine loads.
    apply(&mut ledger, 1, batch("b2", 2, 2, |_, _| 10), 0);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 0), 0);
    apply(&mut ledger, 2, Record::BatchEnded { batch: "b2".into() }, 0);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 0), 2);
}

/// Regression test: all engines loaded only when the next batch required the new version, and the
/// samples of that batch waited for up to 5 s.
#[test]
fn half_of_the_engines_load_while_the_last_samples_run() {
    let (mut ledger, mut endpoints) = assigned_engines(4);
    let mut loads = LoadScheduler::default();
    apply(&mut ledger, 1, batch("b2", 2, 2, |_, _| 10), 0);
    apply(
        &mut ledger,
        2,
        results(vec![result("b2", "s0.0", "text")]),
        0,
    );
    assert_eq!(due(&mut loads, &ledger, &endpoints, 0), 0);
    apply(
        &mut ledger,
        3,
        results(vec![result("b2", "s0.1", "text")]),
        0,
    );
    assert_eq!(due(&mut loads, &ledger, &endpoints, 100), 2);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 200), 0);
    for id in ["e0", "e1"] {
        let loaded = endpoints.find(id).unwrap();
        endpoints.observe_version(loaded, &"notes".into(), 2);
    }
    assert_eq!(due(&mut loads, &ledger, &endpoints, 300), 0);
    // The next step requires version 2: the other engines load while the first two run samples.
    apply(&mut ledger, 4, batch("b3", 3, 2, |_, _| 10), 0);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 400), 2);
}

#[test]
fn engines_load_immediately_if_an_open_batch_requires_it() {
    let (mut ledger, endpoints) = assigned_engines(2);
    apply(&mut ledger, 1, batch("b3", 3, 2, |_, _| 10), 0);
    assert_eq!(
        due(&mut LoadScheduler::default(), &ledger, &endpoints, 0),
        2
    );
}

#[test]
fn concurrent_loads_are_limited_and_ordered_once() {
    let (ledger, mut endpoints) = assigned_engines(9);
    let mut loads = LoadScheduler::default();
    assert_eq!(due(&mut loads, &ledger, &endpoints, 0), 2);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 100), 0);
    let loaded = endpoints.find("e0").unwrap();
    endpoints.observe_version(loaded, &"notes".into(), 2);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 200), 1);
    // An order that had no effect is sent again after a timeout.
    assert_eq!(
        due(&mut loads, &ledger, &endpoints, ORDER_TIMEOUT_MS + 200),
        2
    );
}

fn names(texts: &[&str]) -> Vec<Arc<str>> {
    texts.iter().map(|text| Arc::from(*text)).collect()
}

fn served(assignments: &HashMap<Arc<str>, Arc<str>>, model: &str) -> usize {
    assignments
        .values()
        .filter(|served| &***served == model)
        .count()
}

#[test]
fn engines_are_assigned_by_demand_with_few_changes() {
    let engines = names(&["e1", "e2", "e3", "e4", "e5", "e6"]);
    let models = names(&["a", "b"]);
    let demand = HashMap::from([("a".into(), 2.0), ("b".into(), 1.0)]);
    let assignments = assign_engines(&engines, &models, &demand, &HashMap::new());
    assert_eq!(
        (served(&assignments, "a"), served(&assignments, "b")),
        (4, 2)
    );
    assert_eq!(
        assign_engines(&engines, &models, &demand, &assignments),
        assignments
    );
    // One engine is lost: at most one other engine changes its model.
    let reassigned = assign_engines(&engines[1..], &models, &demand, &assignments);
    let moved = reassigned
        .iter()
        .filter(|(engine, model)| assignments[*engine] != **model)
        .count();
    assert!(moved <= 1);
}

#[test]
fn each_model_has_an_engine_regardless_of_demand() {
    let engines = names(&["e1", "e2", "e3"]);
    let models = names(&["a", "b", "c"]);
    let demand = HashMap::from([("a".into(), 1_000.0)]);
    let assignments = assign_engines(&engines, &models, &demand, &HashMap::new());
    assert!(models.iter().all(|model| served(&assignments, model) == 1));
}

/// Returns the engines of a model that are ready for its batch after each round of loading, where
/// each round lasts as long as a load.
fn ready_after_rounds(rounds: usize) -> HashMap<Arc<str>, usize> {
    let ids: Vec<String> = (0..8).map(|number| format!("e{number}")).collect();
    // The engines of "notes" have older weights than those of "alerts".
    let versions = |number: usize| if number < 4 { 1 } else { 3 };
    let listings: Vec<_> = (0..)
        .zip(&ids)
        .map(|(number, id)| listing(id, "saiq", versions(number)))
        .map(|mut listing| {
            let version = listing.versions["notes"];
            listing.versions.insert("alerts".into(), version);
            listing
        })
        .collect();
    let mut endpoints = endpoints(&listings);
    let mut ledger = Ledger::default();
    let model = |number: usize| if number < 4 { "notes" } else { "alerts" };
    let engines = (0..)
        .zip(&ids)
        .map(|(number, id)| (id.as_str().into(), model(number).into()))
        .collect();
    ledger.apply(0, Record::ModelAssignment { engines }, 0);
    for (offset, model, step) in [(1, "notes", 3), (2, "alerts", 5)] {
        let Record::Batch(submitted) = batch(model, step, 2, |_, _| 10) else {
            panic!("the fixture returns a batch");
        };
        let mut submitted = Batch::clone(&submitted);
        submitted.model = model.into();
        submitted.min_version = step;
        apply(&mut ledger, offset, Record::Batch(submitted.into()), 0);
    }
    let latest = HashMap::from([("notes".into(), 3), ("alerts".into(), 5)]);
    let mut loads = LoadScheduler::default();
    for round in 0..rounds as u64 {
        let mode = LoadMode::Retain;
        let now_ms = round * 1_200;
        let due = loads.due_orders(&ledger, &endpoints, "drafting", &latest, mode, now_ms);
        assert!(due.len() <= 2, "at most two engines load at a time");
        for order in due {
            endpoints.observe_version(order.endpoint, &order.model, order.version);
        }
    }
    let mut ready = HashMap::new();
    for (_, endpoint) in endpoints.of_service("drafting") {
        let model = &ledger.assignments[&endpoint.listing.id];
        let is_ready = endpoint.version(model) >= latest.get(model).copied();
        *ready.entry(model.clone()).or_default() += usize::from(is_ready);
    }
    ready
}

/// Load: after an outage of the store the trainers of several models submit at the same moment, and
/// only two engines may load at a time. Regression test: all engines of the model with the lower
/// version number loaded first, and the batch of the other model waited for up to 5 s for its first
/// engine.
#[test]
fn no_batch_waits_for_all_engines_of_another_model() {
    for rounds in 1..=4 {
        let ready = ready_after_rounds(rounds);
        assert_eq!(ready["notes"], rounds, "after {rounds} rounds: {ready:?}");
        assert_eq!(ready["alerts"], rounds, "after {rounds} rounds: {ready:?}");
    }
}

/// An engine that can't be reached must not occupy one of the few places for loading engines.
#[test]
fn unreachable_engine_is_ordered_only_after_its_backoff() {
    let (mut ledger, mut endpoints) = assigned_engines(2);
    let mut loads = LoadScheduler::default();
    apply(&mut ledger, 1, Record::BatchEnded { batch: "b".into() }, 0);
    let key = endpoints.find("e0").unwrap();
    endpoints.order_failed(key, 0);
    let ordered = loads.due_orders(
        &ledger,
        &endpoints,
        "drafting",
        &latest_versions(2),
        LoadMode::Retain,
        0,
    );
    let ordered: Vec<EndpointKey> = ordered.iter().map(|order| order.endpoint).collect();
    assert_eq!(ordered, [endpoints.find("e1").unwrap()]);
    assert_eq!(due(&mut loads, &ledger, &endpoints, 2_000), 1);
}

/// Guards against orders to evacuated engines, and against too many loads among those that are left.
#[test]
fn evacuated_engines_neither_load_nor_count() {
    let (ledger, mut endpoints) = assigned_engines(20);
    let mut moved = listing("e0", "shams", 1);
    for number in 0..10 {
        moved.id = format!("e{number}").into();
        endpoints.update(moved.clone());
    }
    endpoints.evacuate(&"saiq".into(), 1, false, 0);
    let mut loads = LoadScheduler::default();
    // A fifth of the ten engines that are left.
    assert_eq!(due(&mut loads, &ledger, &endpoints, 0), 2);
    endpoints.evacuate(&"shams".into(), 2, false, 0);
    assert_eq!(
        due(&mut LoadScheduler::default(), &ledger, &endpoints, 0),
        0
    );
}
