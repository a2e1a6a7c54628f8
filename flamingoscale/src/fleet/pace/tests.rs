//! Tests that malformed reports are ignored, and that reports count by their age.

use super::*;

/// Guards against a malformed report that stops the use of an endpoint or makes it count as infinitely
/// fast or slow.
#[test]
fn reports_are_read_as_listed() {
    let cases = include_str!("cases.txt").lines();
    for case in cases.filter(|line| !line.starts_with('#')) {
        let fields: Vec<&str> = case.split('|').map(str::trim).collect();
        let [text, running, waiting, percent, ignored] = fields[..] else {
            panic!("malformed case: {case}");
        };
        let expected = running.parse().ok().map(|running| LoadReport {
            running,
            waiting: waiting.parse().unwrap(),
            work_factor: percent.parse().ok().map(|percent: f64| percent / 100.0),
            partly_ignored: ignored == "yes",
        });
        assert_eq!(LoadReport::parse(text), expected, "{case}");
    }
}

/// Guards against decisions by a report that describes a slowdown that is over.
#[test]
fn old_report_says_what_the_mean_says() {
    let speed = MachineSpeed::reported(None, 2.5, 1_000);
    let lookup = |age_ms: u64| speed.expected_factor(25.0, 1_000 + age_ms);
    assert!(lookup(0) > 2.2, "{}", lookup(0));
    assert!(lookup(500) < 1.25, "{}", lookup(500));
    assert_eq!(lookup(600), lookup(60_000));
    assert_eq!(
        [0, 200, 201_u64].map(|age| speed.is_slow(1_000 + age)),
        [Some(true), Some(true), None]
    );
    // Most of a run takes place after the slowdown.
    assert!(speed.expected_factor(2_000.0, 1_000) < 1.25);
}

/// A burst of reports in one slowdown must not make the endpoint count as slow later.
#[test]
fn mean_follows_the_time_that_a_machine_is_slow() {
    let mut steady = None;
    for number in 0..1_000 {
        let now_ms = 1_000 + number * 100_u64;
        let factor = if number % 40 < 6 { 2.5 } else { 1.0 };
        steady = Some(MachineSpeed::reported(steady, factor, now_ms));
    }
    let now_ms = 200_000;
    let mean = steady.unwrap().expected_factor(25.0, now_ms);
    assert!((1.1..1.35).contains(&mean), "{mean}");
    let mut burst = steady;
    for number in 0..300 {
        burst = Some(MachineSpeed::reported(burst, 2.5, now_ms + number));
    }
    let later = burst.unwrap().expected_factor(25.0, now_ms + 10_000);
    assert!(later < mean + 0.2, "{later} {mean}");
}
