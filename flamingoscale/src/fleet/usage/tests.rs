//! Tests that a window is settled after a delay and is always reported with the same counts.

use super::*;
use crate::fleet::record::Record;

const WINDOW_MS: u64 = 5_000;

fn counts(instance: &str, window: u64, count: u64) -> Record {
    Record::UsageCounts {
        instance: instance.into(),
        incarnation: 1,
        window,
        counts: vec![("organisation".into(), count)],
    }
}

#[test]
fn counts_are_settled_before_they_are_reported() {
    let mut ledger = Ledger::default();
    ledger.apply(0, counts("n1", 10, 2), 0);
    ledger.apply(1, counts("n1", 10, 5), 0);
    ledger.apply(2, counts("n2", 10, 1), 0);
    let now_unix_ms = 11 * WINDOW_MS + SETTLE_DELAY_MS;
    let settled = vec![("organisation".into(), 6)];
    assert_eq!(
        due_actions(&ledger, WINDOW_MS, now_unix_ms),
        vec![WindowAction::Settle(10, settled.clone())]
    );
    ledger.apply(
        3,
        Record::WindowSettled {
            window: 10,
            counts: settled.clone(),
        },
        0,
    );
    // Another lease holder settles the same window with later counts: only the first record is
    // valid.
    ledger.apply(4, counts("n2", 10, 9), 0);
    let later_counts = vec![("organisation".into(), 14)];
    ledger.apply(
        5,
        Record::WindowSettled {
            window: 10,
            counts: later_counts,
        },
        0,
    );
    assert_eq!(
        due_actions(&ledger, WINDOW_MS, now_unix_ms),
        vec![WindowAction::Report(10, settled)]
    );
    ledger.apply(6, Record::WindowReported { window: 10 }, 0);
    assert!(due_actions(&ledger, WINDOW_MS, now_unix_ms).is_empty());
}

#[test]
fn window_is_not_settled_before_the_settle_delay() {
    let mut ledger = Ledger::default();
    ledger.apply(0, counts("n1", 10, 2), 0);
    assert!(due_actions(&ledger, WINDOW_MS, 11 * WINDOW_MS + SETTLE_DELAY_MS - 1).is_empty());
}

#[test]
fn window_without_requests_is_settled() {
    let mut ledger = Ledger::default();
    ledger.apply(0, counts("n1", 10, 2), 0);
    let actions = due_actions(&ledger, WINDOW_MS, 12 * WINDOW_MS + SETTLE_DELAY_MS);
    assert_eq!(actions[1], WindowAction::Settle(11, Vec::new()));
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
