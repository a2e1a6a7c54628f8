//! Tests for what engines are believed to have cached.

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

fn prompt(list: &str) -> Prompt {
    Prompt::parse("notes", list, 0).unwrap()
}

fn engine() -> (Endpoints, EndpointKey) {
    let endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    (endpoints, key)
}

fn cached(prefixes: &Prefixes, (endpoints, key): &(Endpoints, EndpointKey), list: &str) -> u32 {
    prefixes.cached_tokens(*key, endpoints.get(*key), &prompt(list))
}

#[test]
fn lists_are_parsed_and_the_last_part_is_not_shared() {
    let parsed = prompt(" 0aF:100, 1b:20,c:3 ");
    assert_eq!((parsed.tokens, parsed.shared_tokens()), (123, 120));
    assert_eq!(
        parsed.shared_parts,
        prompt("0AF:100,1b:20,d:3").shared_parts
    );
    assert_eq!(Prompt::parse("notes", "a:1", 50), Ok(Prompt::of_tokens(50)));
    assert_eq!(Prompt::parse("notes", "", 7), Ok(Prompt::of_tokens(7)));
    let other_model = Prompt::parse("letters", "0af:100,1b:20,c:3", 0).unwrap();
    assert_ne!(other_model.shared_parts, parsed.shared_parts);
    for malformed in [
        "a",
        "a:",
        ":1",
        "xyz:1",
        "a:-1",
        "a:1.5",
        "a:1;b:2",
        "a:99999999999",
    ] {
        assert!(Prompt::parse("notes", malformed, 0).is_err(), "{malformed}");
    }
    let long = "a:1,".repeat(1_000);
    assert!(prompt(&long).shared_parts.len() <= MAX_PROMPT_PARTS);
    assert_eq!(prompt(&long).tokens, 1_000);
}

#[test]
fn part_counts_only_if_all_parts_before_it_are_cached() {
    let (mut prefixes, engine) = (Prefixes::default(), engine());
    prefixes.used(&engine.0, engine.1, &prompt("a:100,b:20,1:1"), 1_000);
    assert_eq!(cached(&prefixes, &engine, "a:100,b:20,2:1"), 120);
    assert_eq!(cached(&prefixes, &engine, "a:100,c:20,2:1"), 100);
    assert_eq!(cached(&prefixes, &engine, "c:100,b:20,2:1"), 0);
}

#[test]
fn least_recently_used_parts_are_evicted_at_the_memory_size() {
    let (mut prefixes, engine) = (Prefixes::default(), engine());
    for list in ["a:100,b:50,1:1", "a:100,c:50,1:1", "a:100,d:50,1:1"] {
        prefixes.used(&engine.0, engine.1, &prompt(list), 200);
    }
    assert_eq!(cached(&prefixes, &engine, "a:100,b:50,2:1"), 100);
    assert_eq!(cached(&prefixes, &engine, "a:100,c:50,2:1"), 150);
    // Running requests leave no memory.
    prefixes.used(&engine.0, engine.1, &prompt("1:1"), 0);
    assert_eq!(prefixes.tracked_parts(), 0);
}

#[test]
fn tracked_parts_are_bounded() {
    let (mut prefixes, engine) = (Prefixes::default(), engine());
    for number in 0..10 * MAX_ENGINE_PARTS {
        let list = format!("{number:x}:1,1:1");
        prefixes.used(&engine.0, engine.1, &prompt(&list), u64::MAX);
    }
    assert_eq!(prefixes.tracked_parts(), MAX_ENGINE_PARTS);
}

/// A load of another model's weights discards the whole cache, too.
#[test]
fn load_of_weights_and_restart_discard_the_cache() {
    for model in ["notes", "letters"] {
        let (mut prefixes, mut engine) = (Prefixes::default(), engine());
        prefixes.used(&engine.0, engine.1, &prompt("a:100,1:1"), 1_000);
        engine.0.observe_version(engine.1, &model.into(), 2);
        assert_eq!(cached(&prefixes, &engine, "a:100,2:1"), 0);
        prefixes.used(&engine.0, engine.1, &prompt("b:100,1:1"), 1_000);
        assert_eq!(cached(&prefixes, &engine, "a:100,2:1"), 0);
        assert_eq!(cached(&prefixes, &engine, "b:100,2:1"), 100);
        let mut restarted = engine.0.get(engine.1).listing.clone();
        restarted.started_unix_ms += 1;
        engine.0.update(restarted);
        engine.1 = engine.0.find("e1").unwrap();
        assert_eq!(cached(&prefixes, &engine, "b:100,2:1"), 0);
    }
}

#[test]
fn slow_first_event_contradicts_the_belief() {
    let (mut prefixes, engine) = (Prefixes::default(), engine());
    let long = prompt("a:20000,b:8000,1:1");
    prefixes.used(&engine.0, engine.1, &prompt("c:10,1:1"), 1 << 20);
    prefixes.used(&engine.0, engine.1, &long, 1 << 20);
    // The first answer prefilled everything: 70 ms of 90 ms.
    assert!(!prefixes.first_event(engine.1, &long, 0, 90.0));
    assert!(!prefixes.first_event(engine.1, &long, 28_000, 22.0));
    assert_eq!(cached(&prefixes, &engine, "c:10,2:1"), 10);
    assert!(prefixes.first_event(engine.1, &long, 28_000, 95.0));
    assert_eq!(cached(&prefixes, &engine, "c:10,2:1"), 0);
    assert_eq!(cached(&prefixes, &engine, "a:20000,b:8000,2:1"), 28_000);
    // A few cached tokens save too little to be noticed.
    assert!(!prefixes.first_event(engine.1, &long, 260, 95.0));
}

#[test]
fn request_that_was_not_run_leaves_nothing_in_the_cache() {
    let (mut prefixes, engine) = (Prefixes::default(), engine());
    prefixes.used(&engine.0, engine.1, &prompt("a:100,1:1"), 1_000);
    prefixes.not_run(engine.1, &prompt("a:100,1:1"));
    assert_eq!(cached(&prefixes, &engine, "a:100,2:1"), 0);
}
