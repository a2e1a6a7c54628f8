//! The time line: events of all processes, ordered by hybrid logical clocks.
//!
//! The wall clocks of instances differ. Merging the stamp of each received message ensures that an
//! effect is still ordered after its cause. See `docs/TIMELINE.md`.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    }, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::clock::wall_ms;

/// Maximum number of events kept per process; the oldest are dropped first.
const MAX_EVENTS: usize = 8_192;

/// A timestamp of a hybrid logical clock, later than every stamp that the process has issued or
/// received before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Unix time in milliseconds, or the time of a peer whose clock is ahead.
    pub wall_ms: u64,
    /// Counter that orders events within a millisecond.
    pub count: u32,
}

/// An event of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, consistent with causality.
    pub stamp: Stamp,
    /// Serial number within the process, from which readers resume the time line.
    pub serial: u64,
    /// Id of the instance, or name of a simulated system.
    pub process: Arc<str>,
    /// Kind of the event, as `subsystem.verb`, such as `key.grant`.
    pub kind: Arc<str>,
    /// Id of the request or sample that the event belongs to; empty for none.
    pub trace: Arc<str>,
    /// Details, as pairs of name and value.
    pub fields: Vec<(Arc<str>, String)>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Latest stamp that was issued or received.
    last: Stamp,
    /// Serial number of the last recorded event.
    serial: u64,
    events: VecDeque<Event>,
}

/// Callback that receives every event as it is recorded.
pub type EventListener = Arc<dyn Fn(&Event) + Send + Sync>;

/// The most recent events of one process.
#[derive(Clone)]
pub struct Timeline {
    process: Arc<str>,
    inner: Arc<Mutex<Inner>>,
    listener: Arc<OnceLock<EventListener>>,
}

impl Timeline {
    /// Creates an empty time line for the process named `process`.
    pub fn new(process: Arc<str>) -> Self {
        Self {
            process,
            inner: Arc::default(),
            listener: Arc::default(),
        }
    }

    /// Sets a callback that receives every event, for example to log it. Only the first call has an
    /// effect.
    pub fn set_listener(&self, listener: EventListener) {
        let _ = self.listener.set(listener);
    }

    /// Records an event of this process.
    pub fn record(&self, kind: &str, trace: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        let fields = fields
            .iter()
            .map(|(name, value)| (Arc::from(*name), value.to_string()))
            .collect();
        let event = self.store(kind, trace, fields);
        if let Some(listener) = self.listener.get() {
            listener(&event);
        }
    }

    fn store(&self, kind: &str, trace: &str, fields: Vec<(Arc<str>, String)>) -> Event {
        let mut inner = self.lock();
        let stamp = inner.tick(wall_ms());
        inner.serial += 1;
        let event = Event {
            stamp,
            serial: inner.serial,
            process: self.process.clone(),
            kind: kind.into(),
            trace: trace.into(),
            fields,
        };
        if inner.events.len() == MAX_EVENTS {
            inner.events.pop_front();
        }
        inner.events.push_back(event.clone());
        event
    }

    /// Returns a new stamp to send with a message.
    pub fn stamp(&self) -> Stamp {
        self.lock().tick(wall_ms())
    }

    /// Advances the clock to the stamp of a received message.
    pub fn merge(&self, received: Stamp) {
        let mut inner = self.lock();
        inner.last = inner.last.max(received);
    }

    /// Returns the stored events with a serial number above `after`, oldest first.
    pub fn events_after(&self, after: u64) -> Vec<Event> {
        let inner = self.lock();
        let stored = inner.events.iter();
        stored
            .filter(|event| event.serial > after)
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        // The data stays consistent if a thread panics while holding the lock.
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Inner {
    /// Issues a stamp that is later than all previous ones.
    fn tick(&mut self, wall_ms: u64) -> Stamp {
        let next = Stamp { wall_ms, count: 0 };
        self.last = if next > self.last {
            next
        } else {
            Stamp {
                wall_ms: self.last.wall_ms,
                count: self.last.count + 1,
            }
        };
        self.last
    }
}

/// Merges the events of several processes in causal order.
pub fn merge(mut timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.drain(..).flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.process, a.serial).cmp(&(b.stamp, &b.process, b.serial)));
    events
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn effect_follows_cause_though_its_clock_is_behind() {
        let ahead = Timeline::new("ahead".into());
        let behind = Timeline::new("behind".into());
        ahead.merge(Stamp {
            wall_ms: u64::MAX / 2,
            count: 0,
        });
        ahead.record("cause", "", &[]);
        behind.merge(ahead.stamp());
        behind.record("effect", "", &[]);
        let merged = merge(vec![behind.events_after(0), ahead.events_after(0)]);
        assert_eq!(&*merged[0].kind, "cause");
        assert_eq!(&*merged[1].kind, "effect");
    }

    #[test]
    fn the_oldest_events_are_dropped_at_the_limit() {
        let timeline = Timeline::new("one".into());
        for _ in 0..MAX_EVENTS + 10 {
            timeline.record("tick", "", &[]);
        }
        let events = timeline.events_after(0);
        assert_eq!(events.len(), MAX_EVENTS);
        assert_eq!(events[0].serial, 11);
    }
}
