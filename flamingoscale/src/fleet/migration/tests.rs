//! Tests that runs on stalled or slow engines move, and that all other runs stay.

use super::*;

fn run(events: u64, event_ms: u64) -> Pace {
    let mut pace = Pace::default();
    (0..events).for_each(|event| pace.record_event(1_000 + event * event_ms));
    pace
}

#[test]
fn run_at_normal_pace_stays() {
    for events in [1, 4, 100] {
        let pace = run(events, 50);
        assert_eq!(move_reason(&pace, 50.0, pace.last_event_ms + 60), None);
    }
}

/// Regression test: with nine slow engines of 44, the first batches took 10 to 12 s instead of 6 s.
#[test]
fn run_on_slow_engine_moves_after_some_events() {
    assert_eq!(move_reason(&run(4, 170), 50.0, 1_600), None);
    assert_eq!(
        move_reason(&run(5, 170), 50.0, 1_800),
        Some(MoveReason::Slow)
    );
}

/// Regression test: runs that had produced most of their events before the engine became slow were
/// not moved, because the mean over all their intervals was still normal.
#[test]
fn run_moves_when_its_engine_becomes_slow_late() {
    let mut pace = run(80, 50);
    (0..4).for_each(|_| pace.record_event(pace.last_event_ms + 170));
    assert_eq!(
        move_reason(&pace, 50.0, pace.last_event_ms),
        Some(MoveReason::Slow)
    );
    let mut pace = run(80, 50);
    pace.record_event(pace.last_event_ms + 240);
    assert_eq!(move_reason(&pace, 50.0, pace.last_event_ms), None);
}

#[test]
fn run_on_loading_engine_moves() {
    let pace = run(3, 50);
    assert_eq!(move_reason(&pace, 50.0, pace.last_event_ms + 240), None);
    assert_eq!(
        move_reason(&pace, 50.0, pace.last_event_ms + 260),
        Some(MoveReason::Stalled)
    );
    // If the events of all engines are slow, longer gaps are normal.
    assert_eq!(move_reason(&pace, 200.0, pace.last_event_ms + 900), None);
}

#[test]
fn run_stays_without_known_pace() {
    assert_eq!(move_reason(&Pace::default(), 50.0, 9_000), None);
    assert_eq!(move_reason(&run(9, 500), f64::INFINITY, 9_000), None);
}
