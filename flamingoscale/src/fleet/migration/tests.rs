//! Runs leave engines that load or are slow, and no others.

use super::*;

fn run(events: u64, event_ms: u64) -> Pace {
    let mut pace = Pace::default();
    (0..events).for_each(|event| pace.record_event(1_000 + event * event_ms));
    pace
}

#[test]
fn a_run_at_the_usual_pace_stays() {
    for events in [1, 4, 100] {
        let pace = run(events, 50);
        assert_eq!(move_reason(&pace, 50.0, pace.last_ms + 60), None);
    }
}

/// On a day with nine slow engines of 44 the first batches took 10 to 12 s in place of 6.
#[test]
fn a_run_at_a_slow_engine_leaves_after_some_events() {
    assert_eq!(move_reason(&run(4, 170), 50.0, 1_600), None);
    assert_eq!(
        move_reason(&run(5, 170), 50.0, 1_800),
        Some(MoveReason::Slow)
    );
}

/// Runs that had made most of their events before the engine turned slow stayed with it: their mean
/// pace was still good.
#[test]
fn a_run_leaves_an_engine_that_turns_slow_late() {
    let mut pace = run(80, 50);
    (0..4).for_each(|_| pace.record_event(pace.last_ms + 170));
    assert_eq!(
        move_reason(&pace, 50.0, pace.last_ms),
        Some(MoveReason::Slow)
    );
    let mut pace = run(80, 50);
    pace.record_event(pace.last_ms + 240);
    assert_eq!(move_reason(&pace, 50.0, pace.last_ms), None);
}

#[test]
fn a_run_at_an_engine_that_loads_leaves() {
    let pace = run(3, 50);
    assert_eq!(move_reason(&pace, 50.0, pace.last_ms + 240), None);
    assert_eq!(
        move_reason(&pace, 50.0, pace.last_ms + 260),
        Some(MoveReason::Stalled)
    );
    // Where all engines make events slowly, pauses are longer.
    assert_eq!(move_reason(&pace, 200.0, pace.last_ms + 900), None);
}

#[test]
fn before_anything_is_known_nothing_leaves() {
    assert_eq!(move_reason(&Pace::default(), 50.0, 9_000), None);
    assert_eq!(move_reason(&run(9, 500), f64::INFINITY, 9_000), None);
}
