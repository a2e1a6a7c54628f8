//! Decides when a running sample moves from its engine to another one.
//!
//! A batch is not finished before its slowest sample. Moving a run is cheap: the new engine reads
//! the prompt and the text so far again, which takes a few tens of milliseconds. An engine that
//! loads weights generates nothing for 0.9 s, and a slow engine takes several times as long for
//! each event.
//!
//! [`move_reason`] decides by the time between events alone. [`expected_rest`] compares the expected
//! remaining time here and elsewhere; `docs/design/pace.md` compares the two.

pub mod check;
pub mod expected_rest;
pub mod experience;

/// Number of latest intervals between events that a run keeps. Longer slowdowns than these intervals
/// cover are certain to count as lasting.
const KEPT_INTERVALS: usize = 16;

/// Measures the time between the events of one run on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Number of events so far.
    pub events: u64,
    /// Time of the last event, in monotonic milliseconds.
    pub last_event_ms: u64,
    /// Time of the first event, in monotonic milliseconds.
    pub first_event_ms: u64,
    /// Exponential moving average of the time between two events, in milliseconds.
    average_interval_ms: f64,
    /// The latest intervals in milliseconds, as a ring: interval `n` is at `n % KEPT_INTERVALS`.
    recent_ms: [u16; KEPT_INTERVALS],
}

/// Weight of the newest interval in the moving average. An engine that becomes slow is detected
/// after two or three events, but a single long interval does not make it count as slow.
const SMOOTHING: f64 = 0.15;

impl Pace {
    /// Records an event.
    pub fn record_event(&mut self, now_ms: u64) {
        let interval = now_ms.saturating_sub(self.last_event_ms);
        let interval_ms = interval as f64;
        match self.events {
            0 => self.first_event_ms = now_ms,
            number => {
                let position = (number - 1) as usize % KEPT_INTERVALS;
                self.recent_ms[position] = u16::try_from(interval).unwrap_or(u16::MAX);
            }
        }
        self.average_interval_ms = match self.events {
            0 => 0.0,
            1 => interval_ms,
            _ => self.average_interval_ms + SMOOTHING * (interval_ms - self.average_interval_ms),
        };
        self.events += 1;
        self.last_event_ms = now_ms;
    }

    /// Returns the smoothed time between two events in milliseconds; `None` before the second
    /// event.
    pub fn smoothed_interval_ms(&self) -> Option<f64> {
        (self.events > 1).then_some(self.average_interval_ms)
    }

    /// Returns the latest intervals in milliseconds, newest first.
    pub fn recent_intervals_ms(&self) -> impl Iterator<Item = f64> + '_ {
        let intervals = self.events.saturating_sub(1);
        let kept = intervals.min(KEPT_INTERVALS as u64);
        (intervals - kept..intervals)
            .rev()
            .map(|number| f64::from(self.recent_ms[number as usize % KEPT_INTERVALS]))
    }
}

/// Minimum time without an event after which a run is stalled. Shorter gaps occur when the engine
/// reads prompts between events.
const STALL_MS: f64 = 250.0;

/// Minimum time without an event after which a run is stalled, in median intervals. Both minimums
/// must be exceeded.
const STALL_INTERVALS: f64 = 5.0;

/// A run is slow if its average interval exceeds the median interval by more than this factor.
const SLOW_FACTOR: f64 = 1.7;

/// Minimum number of events before a run can count as slow.
const MIN_SLOW_EVENTS: u64 = 5;

/// Maximum number of times that one sample may move to another engine.
pub const MAX_MOVES: u32 = 4;

/// The reason for moving a run to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// The run has produced no event for too long.
    Stalled,
    /// The average time between the events of the run is too long.
    Slow,
}

/// Returns why a run should move, or `None` if it should stay. `median_ms` is the median time
/// between two events over all engines of the service.
pub fn move_reason(pace: &Pace, median_ms: f64, now_ms: u64) -> Option<MoveReason> {
    if pace.events == 0 || !median_ms.is_finite() {
        return None;
    }
    let stalled_ms = now_ms.saturating_sub(pace.last_event_ms) as f64;
    if stalled_ms > STALL_MS.max(STALL_INTERVALS * median_ms) {
        return Some(MoveReason::Stalled);
    }
    let smoothed_interval_ms = pace
        .smoothed_interval_ms()
        .filter(|_| pace.events >= MIN_SLOW_EVENTS)?;
    (smoothed_interval_ms > SLOW_FACTOR * median_ms).then_some(MoveReason::Slow)
}

#[cfg(test)]
mod tests;
