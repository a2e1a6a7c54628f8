//! When a running sample leaves its engine for another.
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
    pub fn event(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.last_ms) as f64;
        self.smoothed_ms = match self.events {
            0 => 0.0,
            1 => pause_ms,
            _ => self.smoothed_ms + SMOOTHING * (pause_ms - self.smoothed_ms),
        };
        self.events += 1;
        self.last_ms = now_ms;
    }

    /// Returns the time between two events; `None` before the second one.
    pub fn event_ms(&self) -> Option<f64> {
        (self.events > 1).then_some(self.smoothed_ms)
    }
}

/// A run that made no event for this long, and for this many usual pauses, leaves. Shorter pauses
/// come from prompts that are read between events.
const QUIET_MS: f64 = 250.0;
const QUIET_EVENTS: f64 = 5.0;

/// A run leaves if it takes this many times the usual time for an event.
const SLOW: f64 = 1.7;

/// Events before an engine counts as slow for a run.
const JUDGED_EVENTS: u64 = 5;

/// Most times that one sample leaves an engine.
pub const MOST_MOVES: u32 = 4;

/// Why a run leaves its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No event came for long.
    Quiet,
    /// Events come slowly.
    Slow,
}

/// Returns why a run should leave, given the usual time between two events of the service.
pub fn leaves(pace: &Pace, usual_ms: f64, now_ms: u64) -> Option<Why> {
    if pace.events == 0 || !usual_ms.is_finite() {
        return None;
    }
    let quiet_ms = now_ms.saturating_sub(pace.last_ms) as f64;
    if quiet_ms > QUIET_MS.max(QUIET_EVENTS * usual_ms) {
        return Some(Why::Quiet);
    }
    let judged = pace.event_ms().filter(|_| pace.events >= JUDGED_EVENTS)?;
    (judged > SLOW * usual_ms).then_some(Why::Slow)
}

#[cfg(test)]
mod tests;
