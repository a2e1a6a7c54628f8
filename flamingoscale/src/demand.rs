//! What an instance's work asks of endpoints: the figures that orders follow.

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

/// What one service's work at one instance asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Callers' requests that run or wait.
    pub interactive: u32,
    /// Samples that run or wait.
    pub rollouts: u32,
    /// Slots by which open steps would be whole at their deadlines.
    pub due_slots: u32,
}

impl ServiceLoad {
    /// The slots that this load asks for: one for each caller, and for samples as many as their
    /// deadlines need, at least one.
    pub fn slots(&self) -> u32 {
        let samples = self.due_slots.max(self.rollouts.min(1));
        self.interactive.saturating_add(samples)
    }

    /// Adds the load of another instance.
    pub fn add(&mut self, other: &ServiceLoad) {
        self.interactive = self.interactive.saturating_add(other.interactive);
        self.rollouts = self.rollouts.saturating_add(other.rollouts);
        self.due_slots = self.due_slots.saturating_add(other.due_slots);
    }
}

/// Loads by service.
pub type Loads = BTreeMap<Arc<str>, ServiceLoad>;

/// What traffic threads say of this instance's load.
#[derive(Debug, Default)]
pub struct DemandTracker {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    requests: BTreeMap<Arc<str>, (u32, u32)>,
    due: BTreeMap<(Arc<str>, Arc<str>), u32>,
}

impl DemandTracker {
    /// Sets how many requests of callers, and how many samples, run or wait here by service.
    pub fn set_requests(&self, requests: BTreeMap<Arc<str>, (u32, u32)>) {
        self.lock().requests = requests;
    }

    /// Sets how many slots of a service a trainer's open steps need; 0 once they are whole.
    pub fn set_due(&self, trainer: &Arc<str>, service: &Arc<str>, slots: u32) {
        let key = (trainer.clone(), service.clone());
        let mut inner = self.lock();
        if slots == 0 {
            inner.due.remove(&key);
        } else {
            inner.due.insert(key, slots);
        }
    }

    /// The load by service.
    pub fn loads(&self) -> Loads {
        let inner = self.lock();
        let mut loads = Loads::new();
        for (service, &(interactive, rollouts)) in &inner.requests {
            let load = loads.entry(service.clone()).or_default();
            (load.interactive, load.rollouts) = (interactive, rollouts);
        }
        for ((_, service), &slots) in &inner.due {
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

/// Slots that a step needs so that `samples_left`, each of about `sample_ms`, are through in
/// `left_ms`. A deadline that has passed asks for all at once.
pub fn due_slots(samples_left: u32, sample_ms: u64, left_ms: u64) -> u32 {
    let work_ms = u64::from(samples_left) * sample_ms;
    let slots = work_ms.div_ceil(left_ms.max(sample_ms).max(1));
    u32::try_from(slots).unwrap_or(u32::MAX).min(samples_left)
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
