//! Tests of the swap schedule.

use super::*;

const KEY: EndpointKey = EndpointKey(3);

fn wanted(version: u64) -> Wanted {
    Wanted {
        trainer: "notes".into(),
        version,
        bytes: 1_000,
        fencing: 10 + version,
        url: "http://store/v".into(),
    }
}

fn engine(key: u32, rank: u32, version: u64) -> EngineFacts {
    EngineFacts {
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
    schedule.want(&"draft".into(), wanted(version), 0);
    schedule
}

/// Brings the engine of rank 0 to the point where its load is ordered.
fn ordered(version: u64) -> Schedule {
    let mut schedule = schedule(version);
    schedule.tick(&[engine(3, 0, 1)], 0);
    assert_eq!(schedule.take_actions(), [Action::Hold(KEY)]);
    schedule.tick(&[engine(3, 0, 1)], 10);
    let load = Action::Load(KEY, wanted(version));
    assert!(schedule.take_actions().contains(&load));
    schedule
}

fn resumed(schedule: &mut Schedule) -> bool {
    schedule.take_actions().contains(&Action::Resume(KEY))
}

#[test]
fn a_load_is_over_when_the_status_says_so() {
    let mut schedule = ordered(2);
    schedule.ordered(KEY, Ok(()), 20);
    schedule.read(KEY, Some(&status(1, true)), 300);
    assert!(!resumed(&mut schedule));
    schedule.read(KEY, Some(&status(2, false)), 1_500);
    assert!(resumed(&mut schedule));
}

#[test]
fn a_lost_answer_is_read_back() {
    let mut schedule = ordered(2);
    schedule.ordered(KEY, Err(EngineError::Lost), 1_000);
    assert!(!resumed(&mut schedule));
    schedule.read(KEY, Some(&status(2, false)), 1_200);
    assert!(resumed(&mut schedule));
}

#[test]
fn a_status_that_lags_is_no_failure() {
    let mut schedule = ordered(2);
    schedule.read(KEY, Some(&status(1, false)), 500);
    assert!(!resumed(&mut schedule));
    schedule.read(KEY, Some(&status(1, false)), 10 + STATUS_LAG_MS + 1);
    assert!(resumed(&mut schedule));
}

#[test]
fn a_failed_swap_is_tried_again_later() {
    let mut schedule = ordered(2);
    schedule.read(KEY, Some(&status(1, true)), 100);
    schedule.read(KEY, Some(&status(1, false)), 200);
    assert!(resumed(&mut schedule));
    schedule.tick(&[engine(3, 0, 1)], 300);
    assert_eq!(schedule.take_actions(), []);
    schedule.tick(&[engine(3, 0, 1)], 200 + FIRST_BACKOFF_MS);
    schedule.tick(&[engine(3, 0, 1)], 201 + FIRST_BACKOFF_MS);
    assert_eq!(schedule.take_actions(), [Action::Hold(KEY)]);
}

#[test]
fn a_silent_engine_fails_in_the_end() {
    let mut schedule = ordered(2);
    schedule.read(KEY, None, 5_000);
    assert!(!resumed(&mut schedule));
    schedule.tick(&[engine(3, 0, 1)], 11 + LOAD_TIMEOUT_MS);
    assert!(resumed(&mut schedule));
}

#[test]
fn versions_that_were_not_started_are_skipped() {
    let mut schedule = schedule(2);
    schedule.tick(&[engine(3, 0, 1)], 0);
    schedule.want(&"draft".into(), wanted(5), 5);
    schedule.tick(&[engine(3, 0, 1)], 10);
    let actions = schedule.take_actions();
    assert!(actions.contains(&Action::Load(KEY, wanted(5))));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Load(_, w) if w.version == 2)));
}

#[test]
fn turns_follow_the_rate_of_the_store() {
    let mut schedule = schedule(2);
    // A thousand bytes at a thousand a second: one engine a second.
    let engines = [engine(3, 0, 1), engine(4, 1, 1), engine(5, 2, 1)];
    schedule.tick(&engines[1..], 999);
    assert_eq!(schedule.take_actions(), []);
    schedule.tick(&engines[1..], 1_000);
    assert_eq!(schedule.take_actions(), [Action::Hold(EndpointKey(4))]);
}

#[test]
fn a_home_keeps_most_of_its_engines_at_work() {
    let mut schedule = schedule(2);
    let engines: Vec<EngineFacts> = (0..8).map(|n| engine(n, n, 1)).collect();
    schedule.tick(&engines, 100_000);
    let held = schedule.take_actions();
    assert_eq!(held.len(), 2);
}

#[test]
fn an_engine_that_moves_away_is_let_go() {
    let mut schedule = ordered(2);
    schedule.tick(&[], 50);
    assert!(resumed(&mut schedule));
}

#[test]
fn an_engine_ahead_of_this_fold_is_left_alone() {
    let mut schedule = schedule(2);
    schedule.tick(&[engine(3, 0, 7)], 0);
    assert_eq!(schedule.take_actions(), []);
}
