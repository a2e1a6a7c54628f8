//! Cost of recording a timeline event, compared with pushing the same strings onto a vector.

use std::{
    hint::black_box,
    time::Instant, //
};

use flamingoscale::timeline::Timeline;
use serde_json::json;

use crate::output;

/// Number of events that each measurement records or pushes.
const EVENTS: u64 = 200_000;

pub(crate) fn run(seed: u64) {
    let recorded_ns = record_events(seed);
    output::line(
        "timeline",
        seed,
        json!({"recorded_ns_per_event": recorded_ns}),
    );
    let pushed_ns = push_strings(seed);
    output::line("timeline", seed, json!({"pushed_ns_per_event": pushed_ns}));
    output::summary(
        "timeline",
        seed,
        json!({"ns_per_event": recorded_ns}),
        json!({"ns_per_event": pushed_ns}),
    );
}

fn record_events(seed: u64) -> u64 {
    let timeline = Timeline::new("bench".into());
    let start = Instant::now();
    for count in 0..EVENTS {
        timeline.record("bench.event", "trace", &[("count", &(seed + count))]);
    }
    black_box(timeline.events_after(EVENTS - 1));
    per_event_ns(start)
}

fn push_strings(seed: u64) -> u64 {
    let mut pushed = Vec::new();
    let start = Instant::now();
    for count in 0..EVENTS {
        pushed.push(("bench.event".to_owned(), (seed + count).to_string()));
    }
    black_box(&pushed);
    per_event_ns(start)
}

fn per_event_ns(start: Instant) -> u64 {
    (start.elapsed().as_nanos() / u128::from(EVENTS)) as u64
}
