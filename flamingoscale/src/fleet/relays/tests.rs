use super::*;
use crate::fleet::{
    fixtures::{
        heartbeat_with_millicores,
        ledger_of, //
    },
    record::Record, //
};

fn links(instance: &str, incarnation: u64, working: bool) -> Record {
    Record::Links {
        instance: instance.into(),
        incarnation,
        relay_address: format!("{instance}:7660").into(),
        working,
    }
}

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn requests_are_spread_over_the_instances_that_reach_endpoints() {
    let ledger = ledger_of([
        heartbeat_with_millicores("small", 1, 250),
        heartbeat_with_millicores("large", 1, 500),
        heartbeat_with_millicores("cut", 1, 500),
        links("small", 1, true),
        links("large", 1, true),
        links("cut", 1, true),
        links("cut", 1, false),
    ]);
    let candidates = names(&["small", "large", "cut", "older-release"]);
    let mut relays = Relays::default();
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for now_ms in 1..=30 {
        let chosen = relays.choose(&ledger, "own", &candidates, now_ms).unwrap();
        *counts.entry(chosen).or_default() += 1;
    }
    assert_eq!(counts.len(), 2);
    assert!((19..=21).contains(&counts["large"]), "{counts:?}");
    assert!(relays
        .choose(&ledger, "own", &names(&["cut"]), 31)
        .is_none());
}

#[test]
fn instances_that_lose_their_links_together_choose_different_others() {
    let reaching: Vec<String> = (0..8).map(|number| format!("front-{number}")).collect();
    let ledger = ledger_of(reaching.iter().map(|name| links(name, 1, true)));
    let candidates: Vec<Arc<str>> = reaching.iter().map(|name| name.as_str().into()).collect();
    let first_choice = |number: usize| {
        let own_name = format!("cut-{number}");
        Relays::default().choose(&ledger, &own_name, &candidates, 1)
    };
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for chosen in (0..80).filter_map(first_choice) {
        *counts.entry(chosen).or_default() += 1;
    }
    assert_eq!(counts.len(), candidates.len());
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

#[test]
fn instance_that_does_not_forward_is_chosen_last_for_a_while() {
    let ledger = ledger_of([links("a", 1, true), links("b", 1, true)]);
    let candidates = names(&["a", "b"]);
    let mut relays = Relays::default();
    relays.failed(&"a".into(), 1_000);
    for now_ms in [1_000, 1_500, 1_999] {
        let chosen = relays.choose(&ledger, "own", &candidates, now_ms).unwrap();
        assert_eq!(&*chosen, "b");
        relays.finished("b");
    }
    let only = names(&["a"]);
    assert_eq!(
        relays.choose(&ledger, "own", &only, 1_999).as_deref(),
        Some("a")
    );
    relays.finished("a");
    let mut chosen: Vec<_> = (2_001..2_003)
        .filter_map(|now_ms| relays.choose(&ledger, "own", &candidates, now_ms))
        .collect();
    chosen.sort();
    assert_eq!(chosen, candidates);
}

#[test]
fn what_an_earlier_incarnation_said_is_ignored() {
    let ledger = ledger_of([links("a", 2, true), links("a", 1, false)]);
    assert!(!ledger.has_lost_links("a"));
    assert_eq!(ledger.lost_links(), 0);
}
