//! When a running sample move_reason its engine for another.
//!
//! A batch is as late as its longest samples. A run that goes on elsewhere only has its prompt and
//! its text read again, some tens of milliseconds; an engine that loads weights makes nothing for
//! 0.9 s, and a slow one takes several times as long for each event.

/// How one run at an engine goes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Events so far.
    pub events: u64,
    /// When the last one came, in monotonic milliseconds.
    pub last_ms: u64,
    /// Smoothed time between two events.
    smoothed_ms: f64,
}

/// Weight of the newest pause: an engine that turns slow shows after two or three events, one long
/// pause alone doesn't make it slow.
const SMOOTHING: f64 = 0.15;

impl Pace {
    /// Notes an event.
    pub fn record_event(&mut self, now_ms: u64) {
        let interval_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.smoothed_ms = match self.events {
            0 => 0.0,
            1 => interval_ms,
            _ => self.smoothed_ms + SMOOTHING * (interval_ms - self.smoothed_ms),
        };
        self.events += 1;
        self.last_ms = now_ms;
    }

    /// Returns the time between two events; `None` before the second one.
    pub fn smoothed_interval_ms(&self) -> Option<f64> {
        (self.events > 1).then_some(self.smoothed_ms)
    }
}

/// A run that made no event for this long, and for this many usual pauses, move_reason. Shorter pauses
/// come from prompts that are read between events.
const STALL_MS: f64 = 250.0;
const STALL_INTERVALS: f64 = 5.0;

/// A run move_reason if it takes this many times the usual time for an event.
const SLOW_FACTOR: f64 = 1.7;

/// Events before an engine counts as slow for a run.
const MIN_SLOW_EVENTS: u64 = 5;

/// Most times that one sample move_reason an engine.
pub const MAX_MOVES: u32 = 4;

/// MoveReason a run move_reason its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// No event came for long.
    Stalled,
    /// Events come slowly.
    Slow,
}

/// Returns why a run should leave, given the usual time between two events of the service.
pub fn move_reason(pace: &Pace, median_ms: f64, now_ms: u64) -> Option<MoveReason> {
    if pace.events == 0 || !median_ms.is_finite() {
        return None;
    }
    let stalled_ms = now_ms.saturating_sub(pace.last_ms) as f64;
    if stalled_ms > STALL_MS.max(STALL_INTERVALS * median_ms) {
        return Some(MoveReason::Stalled);
    }
    let smoothed_ms = pace
        .smoothed_interval_ms()
        .filter(|_| pace.events >= MIN_SLOW_EVENTS)?;
    (smoothed_ms > SLOW_FACTOR * median_ms).then_some(MoveReason::Slow)
}

#[cfg(test)]
mod tests;
