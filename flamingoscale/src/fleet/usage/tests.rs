//! Tests that a window is settled after a delay and is always reported with the same counts.

use super::*;
use crate::fleet::{
    fixtures::heartbeat,
    record::Record, //
};

const WINDOW_MS: u64 = 5_000;

/// Start of the oldest process, in the window with number 10.
const STARTED_UNIX_MS: u64 = 10 * WINDOW_MS + 700;

fn counts(instance: &str, window: u64, count: u64) -> Record {
    Record::UsageCounts {
        instance: instance.into(),
        incarnation: 1,
        window,
        counts: vec![("organisation".into(), count)],
    }
}

fn settled(window: u64, count: u64) -> Record {
    Record::WindowSettled {
        window,
        counts: vec![("organisation".into(), count)],
    }
}

fn started_ledger() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(0, heartbeat("n1", STARTED_UNIX_MS), 0);
    ledger.apply(1, heartbeat("n2", STARTED_UNIX_MS + 90_000), 0);
    ledger
}

#[test]
fn counts_are_settled_before_they_are_reported() {
    let mut ledger = started_ledger();
    let now_unix_ms = 11 * WINDOW_MS + SETTLE_DELAY_MS;
    assert_eq!(
        due_actions(&ledger, WINDOW_MS, now_unix_ms),
        vec![WindowAction::Settle(10)]
    );
    ledger.apply(3, settled(10, 6), 0);
    // Another lease holder settles the same window with later counts: only the first record is
    // valid.
    ledger.apply(5, settled(10, 14), 0);
    assert_eq!(
        due_actions(&ledger, WINDOW_MS, now_unix_ms),
        vec![WindowAction::Report(10, vec![("organisation".into(), 6)])]
    );
    ledger.apply(6, Record::WindowReported { window: 10 }, 0);
    assert!(due_actions(&ledger, WINDOW_MS, now_unix_ms).is_empty());
}

#[test]
fn total_covers_all_instances_and_only_its_window() {
    let records = [
        counts("n1", 10, 5),
        counts("n2", 10, 1),
        counts("n2", 11, 9),
        settled(10, 7),
    ];
    assert_eq!(total_counts(10, records), vec![("organisation".into(), 6)]);
    assert!(total_counts(12, []).is_empty());
}

#[test]
fn window_is_not_settled_before_the_settle_delay() {
    let ledger = started_ledger();
    assert!(due_actions(&ledger, WINDOW_MS, 11 * WINDOW_MS + SETTLE_DELAY_MS - 1).is_empty());
}

#[test]
fn window_without_requests_is_settled() {
    let mut ledger = started_ledger();
    let actions = due_actions(&ledger, WINDOW_MS, 12 * WINDOW_MS + SETTLE_DELAY_MS);
    assert_eq!(actions[1], WindowAction::Settle(11));
    // After a restart of all processes the windows from before it are still reported.
    ledger.apply(2, settled(9, 1), 0);
    ledger.apply(3, heartbeat("n1", 12 * WINDOW_MS), 0);
    let actions = due_actions(&ledger, WINDOW_MS, 12 * WINDOW_MS + SETTLE_DELAY_MS);
    assert_eq!(actions.len(), 3);
}

#[test]
fn counts_are_returned_only_after_a_change() {
    let mut counter = UsageCounter::default();
    counter.count(10, &"organisation".into());
    assert_eq!(
        counter.take_changed(),
        vec![(10, vec![("organisation".into(), 1)])]
    );
    assert!(counter.take_changed().is_empty());
}
