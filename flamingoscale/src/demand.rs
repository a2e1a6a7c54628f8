//! The demand of an instance for endpoint slots, from which orders to start and stop endpoints are
//! derived. An endpoint runs one request in each of its slots.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    }, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The load of one service at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Callers' requests that are running or queued.
    pub interactive: u32,
    /// Samples that are running or queued.
    pub rollouts: u32,
    /// Slots that open steps need to complete by their deadlines.
    pub due_slots: u32,
}

impl ServiceLoad {
    /// Returns the number of slots that this load needs: one for each caller's request, plus as
    /// many as the deadlines of the samples require, at least one while there are samples.
    pub fn slots(&self) -> u32 {
        let samples = self.due_slots.max(self.rollouts.min(1));
        self.interactive.saturating_add(samples)
    }

    /// Adds the load of another instance, saturating at `u32::MAX`.
    pub fn add(&mut self, other: &ServiceLoad) {
        self.interactive = self.interactive.saturating_add(other.interactive);
        self.rollouts = self.rollouts.saturating_add(other.rollouts);
        self.due_slots = self.due_slots.saturating_add(other.due_slots);
    }
}

/// Load by service name.
pub type Loads = BTreeMap<Arc<str>, ServiceLoad>;

/// Collects the load of this instance as its traffic threads report it.
#[derive(Debug, Default)]
pub struct DemandTracker {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Numbers of callers' requests and of samples, by service.
    requests: BTreeMap<Arc<str>, (u32, u32)>,
    /// Slots that the open steps need, by trainer and service.
    due_slots: BTreeMap<(Arc<str>, Arc<str>), u32>,
}

impl DemandTracker {
    /// Replaces the counts, by service, of callers' requests and of samples that are running or
    /// queued here.
    pub fn set_requests(&self, requests: BTreeMap<Arc<str>, (u32, u32)>) {
        self.lock().requests = requests;
    }

    /// Sets how many slots of a service the open steps of a trainer need; 0 removes the entry.
    pub fn set_due(&self, trainer: &Arc<str>, service: &Arc<str>, slots: u32) {
        let key = (trainer.clone(), service.clone());
        let mut inner = self.lock();
        if slots == 0 {
            inner.due_slots.remove(&key);
        } else {
            inner.due_slots.insert(key, slots);
        }
    }

    /// Returns the current load by service.
    pub fn loads(&self) -> Loads {
        let inner = self.lock();
        let mut loads = Loads::new();
        for (service, &(interactive, rollouts)) in &inner.requests {
            let load = loads.entry(service.clone()).or_default();
            (load.interactive, load.rollouts) = (interactive, rollouts);
        }
        for ((_, service), &slots) in &inner.due_slots {
            let load = loads.entry(service.clone()).or_default();
            load.due_slots = load.due_slots.saturating_add(slots);
        }
        loads
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns how many slots a step needs to finish `remaining_samples` samples of about `sample_ms`
/// milliseconds each within `remaining_ms`. After the deadline, each sample needs its own slot.
pub fn due_slots(remaining_samples: u32, sample_ms: u64, remaining_ms: u64) -> u32 {
    let work_ms = u64::from(remaining_samples) * sample_ms;
    let slots = work_ms.div_ceil(remaining_ms.max(sample_ms).max(1));
    u32::try_from(slots)
        .unwrap_or(u32::MAX)
        .min(remaining_samples)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn due_slots_finish_the_samples_by_the_deadline() {
        assert_eq!(due_slots(100, 1_000, 10_000), 10);
        assert_eq!(due_slots(100, 1_000, 0), 100);
        assert_eq!(due_slots(0, 1_000, 10), 0);
    }

    #[test]
    fn due_slots_of_trainers_add_up_until_cleared() {
        let tracker = DemandTracker::default();
        let service: Arc<str> = "drafting".into();
        tracker.set_due(&"a".into(), &service, 3);
        tracker.set_due(&"b".into(), &service, 4);
        tracker.set_requests(BTreeMap::from([(service.clone(), (2, 50))]));
        assert_eq!(tracker.loads()[&service].slots(), 9);
        tracker.set_due(&"a".into(), &service, 0);
        tracker.set_due(&"b".into(), &service, 0);
        assert_eq!(tracker.loads()[&service].slots(), 3);
    }
}
