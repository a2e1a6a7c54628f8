//! Tests of the load schedule.

use super::*;

const KEY: EndpointKey = EndpointKey(3);

fn weights(version: u64) -> TargetWeights {
    TargetWeights {
        trainer: "notes".into(),
        version,
        bytes: 1_000,
        fencing: 10 + version,
        url: "http://store/v".into(),
    }
}

fn engine(key: u32, rank: u32, version: u64) -> EngineState {
    EngineState {
        key: EndpointKey(key),
        service: "draft".into(),
        rank,
        engines: 8,
        version: Some(version),
        in_flight: 0,
        reachable: true,
        leaving: false,
    }
}

fn status(version: u64, swapping: bool) -> EndpointStatus {
    EndpointStatus {
        version,
        swapping,
        ..EndpointStatus::default()
    }
}

fn schedule(version: u64) -> Schedule {
    let mut schedule = Schedule::default();
    schedule.set_store_rate(1_000);
    schedule.set_target(&"draft".into(), weights(version), 0);
    schedule
}

/// Returns a schedule in which the load of the engine with rank 0 has been ordered.
fn schedule_with_load_ordered(version: u64) -> Schedule {
    let mut schedule = schedule(version);
    schedule.tick(&[engine(3, 0, 1)], 0);
    assert_eq!(schedule.take_actions(), [Action::Hold(KEY)]);
    schedule.tick(&[engine(3, 0, 1)], 10);
    let load = Action::Load(KEY, weights(version));
    assert!(schedule.take_actions().contains(&load));
    schedule
}

fn is_resumed(schedule: &mut Schedule) -> bool {
    schedule.take_actions().contains(&Action::Resume(KEY))
}

#[test]
fn load_completes_when_status_reports_the_version() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.on_order_result(KEY, Ok(()), 20);
    schedule.on_status(KEY, Some(&status(1, true)), 300);
    assert!(!is_resumed(&mut schedule));
    schedule.on_status(KEY, Some(&status(2, false)), 1_500);
    assert!(is_resumed(&mut schedule));
}

#[test]
fn lost_order_answer_is_resolved_by_status() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.on_order_result(KEY, Err(EngineError::Unknown), 1_000);
    assert!(!is_resumed(&mut schedule));
    schedule.on_status(KEY, Some(&status(2, false)), 1_200);
    assert!(is_resumed(&mut schedule));
}

#[test]
fn lagging_status_is_not_a_failure() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.on_status(KEY, Some(&status(1, false)), 500);
    assert!(!is_resumed(&mut schedule));
    schedule.on_status(KEY, Some(&status(1, false)), 10 + MAX_STATUS_LAG_MS + 1);
    assert!(is_resumed(&mut schedule));
}

#[test]
fn failed_load_is_retried_after_backoff() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.on_status(KEY, Some(&status(1, true)), 100);
    schedule.on_status(KEY, Some(&status(1, false)), 200);
    assert!(is_resumed(&mut schedule));
    schedule.tick(&[engine(3, 0, 1)], 300);
    assert_eq!(schedule.take_actions(), []);
    schedule.tick(&[engine(3, 0, 1)], 200 + INITIAL_BACKOFF_MS);
    schedule.tick(&[engine(3, 0, 1)], 201 + INITIAL_BACKOFF_MS);
    assert_eq!(schedule.take_actions(), [Action::Hold(KEY)]);
}

#[test]
fn unresponsive_engine_times_out() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.on_status(KEY, None, 5_000);
    assert!(!is_resumed(&mut schedule));
    schedule.tick(&[engine(3, 0, 1)], 11 + LOAD_TIMEOUT_MS);
    assert!(is_resumed(&mut schedule));
}

#[test]
fn superseded_versions_are_skipped() {
    let mut schedule = schedule(2);
    schedule.tick(&[engine(3, 0, 1)], 0);
    schedule.set_target(&"draft".into(), weights(5), 5);
    schedule.tick(&[engine(3, 0, 1)], 10);
    let actions = schedule.take_actions();
    assert!(actions.contains(&Action::Load(KEY, weights(5))));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Load(_, w) if w.version == 2)));
}

#[test]
fn loads_are_spaced_by_store_rate() {
    let mut schedule = schedule(2);
    // 1,000 bytes at 1,000 bytes per second: one engine per second.
    let engines = [engine(3, 0, 1), engine(4, 1, 1), engine(5, 2, 1)];
    schedule.tick(&engines[1..], 999);
    assert_eq!(schedule.take_actions(), []);
    schedule.tick(&engines[1..], 1_000);
    assert_eq!(schedule.take_actions(), [Action::Hold(EndpointKey(4))]);
}

#[test]
fn at_most_a_quarter_of_engines_load_at_once() {
    let mut schedule = schedule(2);
    let engines: Vec<EngineState> = (0..8).map(|n| engine(n, n, 1)).collect();
    schedule.tick(&engines, 100_000);
    let actions = schedule.take_actions();
    assert_eq!(actions.len(), 2);
}

#[test]
fn engine_that_leaves_this_home_is_resumed() {
    let mut schedule = schedule_with_load_ordered(2);
    schedule.tick(&[], 50);
    assert!(is_resumed(&mut schedule));
}

#[test]
fn engine_with_newer_version_is_not_reloaded() {
    let mut schedule = schedule(2);
    schedule.tick(&[engine(3, 0, 7)], 0);
    assert_eq!(schedule.take_actions(), []);
}
