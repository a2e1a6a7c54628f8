//! What the finished runs of a service tell about the next ones: how many tokens an event has, how
//! long a run takes to go on at another engine, and how long slowdowns of an engine last.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::fleet::endpoints::EndpointKey;

/// Number of latest values whose median is used.
const WINDOW: usize = 64;

/// Tokens of one event before a run of the service has finished: an event takes about 50 ms and a
/// token 0.6 ms.
const DEFAULT_TOKENS_PER_EVENT: f64 = 80.0;

/// Prefill speed that is assumed, in tokens per millisecond: the slowest of those measured, 193 to
/// 942.
const PREFILL_TOKENS_PER_MS: f64 = 193.0;

/// Time until the first event without prefill and generation, before it has been measured: a new
/// engine was observed to take some tens of milliseconds.
const DEFAULT_START_MS: f64 = 40.0;

/// Time from the signal to a run until its next attempt is sent. The scheduler pauses for 5 ms
/// between two passes.
const RESCHEDULE_MS: f64 = 10.0;

/// A slowdown that counts as seen from the start, in milliseconds: short ones were observed to last
/// this long.
const KNOWN_SLOWDOWN_MS: f64 = 600.0;

/// A run that has exceeded its estimate is expected to generate this fraction of its events once
/// more. This is the median remainder at the estimate if a quarter of all runs exceed it by
/// 40% or more, as the lengths of samples do.
const OVERRUN: f64 = 0.4;

/// The latest values of a figure and their median, which single extreme values do not change.
#[derive(Clone, Debug, Default)]
struct Window {
    latest: VecDeque<f64>,
    median: Option<f64>,
}

impl Window {
    /// Adds a value. The median is computed here because it is read far more often.
    fn add(&mut self, value: f64) {
        if self.latest.len() == WINDOW {
            self.latest.pop_front();
        }
        self.latest.push_back(value);
        let mut sorted: Vec<f64> = self.latest.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.median = sorted.get(sorted.len() / 2).copied();
    }
}

/// What the runs of one service have shown so far.
#[derive(Clone, Debug, Default)]
pub struct Experience {
    /// Expected tokens of finished samples, divided by their number of events.
    tokens_per_event: Window,
    /// Time from sending a run until its first event, without prefill and generation, in
    /// milliseconds.
    start_ms: Window,
    /// The slowdowns of the service's engines.
    pub slowdowns: Slowdowns,
}

/// How long the slowdowns of engines have lasted.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    /// Engines that are slow now, and for how long, in milliseconds.
    ongoing: HashMap<EndpointKey, f64>,
    /// Durations of the latest slowdowns that were seen to end, in milliseconds.
    ended_ms: VecDeque<f64>,
}

impl Slowdowns {
    /// Records what a check found at the engines that have runs: the time for which an engine has
    /// been slow, or `None` if it works at the usual speed. An engine that lost its runs while it was
    /// slow does not show when its slowdown ended.
    pub fn checked(&mut self, engines: impl IntoIterator<Item = (EndpointKey, Option<f64>)>) {
        let before = std::mem::take(&mut self.ongoing);
        for (engine, slow_ms) in engines {
            match (slow_ms, before.get(&engine)) {
                (Some(slow_ms), longest) => {
                    let longest_ms = longest.map_or(slow_ms, |longest| longest.max(slow_ms));
                    self.ongoing.insert(engine, longest_ms);
                }
                (None, Some(lasted_ms)) => {
                    if self.ended_ms.len() == WINDOW {
                        self.ended_ms.pop_front();
                    }
                    self.ended_ms.push_back(*lasted_ms);
                }
                (None, None) => (),
            }
        }
    }

    /// Returns how much longer a slowdown that has lasted `lasted_ms` is expected to last: as much
    /// longer as those that lasted longer did, and as long again if none did. The latter counts
    /// as one of them, so that a few rare cases do not decide. `event_ms` is the time between two
    /// events: the slowdown may have ended at any time during the last one.
    pub fn expected_rest_ms(&self, lasted_ms: f64, event_ms: f64) -> f64 {
        let seen = self.ended_ms.iter().chain([&KNOWN_SLOWDOWN_MS]);
        let rest_ms = seen.map(|ended_ms| ended_ms - lasted_ms);
        let longer = rest_ms.filter(|rest_ms| *rest_ms > -event_ms);
        let (count, sum_ms) = longer.fold((1, lasted_ms), |(count, sum_ms), rest_ms| {
            (count + 1, sum_ms + rest_ms.max(0.0))
        });
        sum_ms / f64::from(count)
    }
}

impl Experience {
    /// Records that a sample has finished after `events` events.
    pub fn finished(&mut self, expected_tokens: u32, events: u64) {
        if expected_tokens > 0 && events > 0 {
            let tokens_per_event = f64::from(expected_tokens) / events as f64;
            self.tokens_per_event.add(tokens_per_event);
        }
    }

    /// Records that a run had its first event `delay_ms` after it was sent. `usual_ms` is the usual
    /// time between two events, `prefilled_tokens` the length of the prompt and of the text so far.
    pub fn started(&mut self, delay_ms: u64, usual_ms: f64, prefilled_tokens: f64) {
        if usual_ms.is_finite() {
            let generated_ms = usual_ms + prefilled_tokens / PREFILL_TOKENS_PER_MS;
            self.start_ms.add((delay_ms as f64 - generated_ms).max(0.0));
        }
    }

    /// Returns the number of events that a sample is expected to have.
    pub fn expected_events(&self, expected_tokens: u32) -> f64 {
        f64::from(expected_tokens) / self.tokens_per_event()
    }

    /// Returns the time until a run that has `events` events generates its next one at another
    /// engine, in milliseconds: until it is sent, is accepted, and has its prompt and text read.
    pub fn restart_ms(&self, prompt_tokens: u32, events: u64) -> f64 {
        let tokens = self.prefilled_tokens(prompt_tokens, events);
        let start_ms = self.start_ms.median.unwrap_or(DEFAULT_START_MS);
        RESCHEDULE_MS + start_ms + tokens / PREFILL_TOKENS_PER_MS
    }

    /// Returns how many tokens an engine reads before it goes on with a text of `events` events.
    pub fn prefilled_tokens(&self, prompt_tokens: u32, events: u64) -> f64 {
        f64::from(prompt_tokens) + events as f64 * self.tokens_per_event()
    }

    fn tokens_per_event(&self) -> f64 {
        let measured = self.tokens_per_event.median;
        measured.unwrap_or(DEFAULT_TOKENS_PER_EVENT)
    }
}

/// Returns how many more events a sample is expected to have after `events`.
pub fn remaining_events(events: u64, expected_events: f64) -> f64 {
    let events = events as f64;
    (expected_events - events).max(OVERRUN * events).max(1.0)
}
