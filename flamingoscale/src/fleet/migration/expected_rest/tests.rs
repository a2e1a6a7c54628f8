//! Tests that runs with much left leave engines that stay slow, and that all other runs stay.

use std::sync::LazyLock;

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

mod simulation;

const USUAL_MS: f64 = 50.0;

fn engines<const N: usize>() -> [EndpointKey; N] {
    let names: [String; N] = std::array::from_fn(|number| format!("e{number}"));
    let listings: Vec<_> = names.iter().map(|id| listing(id, "saiq", 1)).collect();
    let endpoints = endpoints(&listings);
    names.map(|id| endpoints.find(&id).unwrap())
}

/// Returns a run whose events had these intervals, and the time of its last event.
fn run(engine: EndpointKey, intervals_ms: &[u64], expected_events: f64) -> (RunView<'static>, u64) {
    static NO_SLOWDOWNS: LazyLock<Slowdowns> = LazyLock::new(Slowdowns::default);

    let mut pace = Pace::default();
    pace.record_event(1_000);
    for interval_ms in intervals_ms {
        pace.record_event(pace.last_event_ms + interval_ms);
    }
    let view = RunView {
        engine,
        pace,
        events: pace.events,
        expected_events,
        restart_ms: 55.0,
        usual_ms: USUAL_MS,
        short_slowdown_ms: short_slowdown_ms(false),
        slowdowns: &NO_SLOWDOWNS,
    };
    (view, pace.last_event_ms)
}

fn moves(runs: &[RunView<'_>], there: Option<(EndpointKey, f64)>, now_ms: u64) -> Vec<usize> {
    let speeds = EngineSpeeds::of(runs, now_ms);
    let decisions = decide(runs, &speeds, &mut |_| there, now_ms);
    let moved = decisions.iter().filter(|decision| decision.to.is_some());
    moved.map(|decision| decision.run.index).collect()
}

/// Guards against moves that react to slowdowns that are over before the run has moved, and against
/// runs that stay at an engine that stays slow.
#[test]
fn cases_are_decided_as_listed() {
    let [here, there] = engines();
    let cases = include_str!("cases.txt").lines();
    let mut decided = 0;
    for case in cases.filter(|line| !line.starts_with('#')) {
        let fields: Vec<&str> = case.split('|').map(str::trim).collect();
        let [intervals, wait, expected, shared, factor, outcome, why] = fields[..] else {
            panic!("malformed case: {case}");
        };
        let intervals_ms: Vec<u64> = intervals
            .split(' ')
            .flat_map(|part| {
                let (count, interval_ms) = part.split_once('*').unwrap();
                vec![interval_ms.parse().unwrap(); count.parse().unwrap()]
            })
            .collect();
        let (mut view, last_ms) = run(here, &intervals_ms, expected.parse().unwrap());
        view.short_slowdown_ms = short_slowdown_ms(shared == "yes");
        let now_ms = last_ms + wait.parse::<u64>().unwrap();
        let moved = moves(&[view], Some((there, factor.parse().unwrap())), now_ms);
        assert_eq!(!moved.is_empty(), outcome == "move", "{why}");
        decided += 1;
    }
    assert_eq!(decided, 21);
}

/// Without another engine that has room, the slot of a run would be lost to a sample that waits.
#[test]
fn run_stays_without_another_engine() {
    let [here] = engines();
    let (slow, last_ms) = run(here, &[175; 6], 30.0);
    assert_eq!(moves(&[slow], None, last_ms), Vec::<usize>::new());
}

/// The runs that started after an engine became slow have not seen when that was.
#[test]
fn new_run_shares_what_other_runs_saw_of_its_engine() {
    let [slow, usual, there] = engines();
    let (old, last_ms) = run(slow, &[175; 6], 25.0);
    let (mut new, _) = run(slow, &[175], 30.0);
    let (mut elsewhere, _) = run(usual, &[175], 30.0);
    for view in [&mut new, &mut elsewhere] {
        view.pace.last_event_ms = last_ms;
    }
    let moved = moves(&[old, new, elsewhere], Some((there, 1.0)), last_ms);
    assert_eq!(moved, vec![1, 0]);
}

/// The free slots of fast engines go to the runs that need them most, and a check over many runs on
/// slow engines does not consider all engines for each of them.
#[test]
fn runs_with_most_left_are_decided_first_in_a_bounded_number_of_searches() {
    let [slow, there] = engines();
    let view = |index| run(slow, &[175; 6], 20.0 + f64::from(index));
    let (_, now_ms) = view(0);
    let runs: Vec<RunView<'_>> = (0..400).map(|index| view(index).0).collect();
    let moved = moves(&runs, Some((there, 1.0)), now_ms);
    assert_eq!(moved, (400 - MAX_SEARCHES..400).rev().collect::<Vec<_>>());
}

/// Guards against moves that react to slowdowns of a kind that has always ended by itself, and
/// against runs that stay because an engine lost its runs while it was slow.
#[test]
fn slowdowns_are_expected_to_last_as_earlier_ones_did() {
    let [engine] = engines();
    let mut slowdowns = Slowdowns::default();
    // One of 600 ms counts as seen, and one that lasts as long again.
    assert_eq!(
        slowdowns.expected_rest_ms(400.0, 50.0),
        (200.0 + 400.0) / 2.0
    );
    slowdowns.checked([(engine, Some(200.0))]);
    slowdowns.checked([]);
    slowdowns.checked([(engine, None)]);
    assert_eq!(
        slowdowns.expected_rest_ms(100.0, 50.0),
        (500.0 + 100.0) / 2.0
    );
    for _ in 0..9 {
        slowdowns.checked([(engine, Some(600.0))]);
        slowdowns.checked([(engine, None)]);
    }
    assert_eq!(slowdowns.expected_rest_ms(400.0, 50.0), 2_400.0 / 11.0);
    assert_eq!(slowdowns.expected_rest_ms(700.0, 50.0), 700.0);
    // The slowdown may have ended during the last event, which took 125 ms.
    assert_eq!(slowdowns.expected_rest_ms(660.0, 125.0), 660.0 / 11.0);
}
