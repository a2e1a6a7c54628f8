//! Demand of the open steps for endpoint slots, as an input to endpoint orders.

use super::*;
use crate::demand::due_slots;

impl Core {
    /// Slots that each trainer needs to finish its open steps by their deadlines; 0 for a trainer
    /// without open steps.
    pub(crate) fn demand(&self, now_ms: u64) -> Vec<(Arc<str>, u32)> {
        let trainers = self.trainers.iter();
        trainers
            .map(|(name, state)| (name.clone(), self.trainer_slots(state, now_ms)))
            .collect()
    }

    fn trainer_slots(&self, state: &TrainerState, now_ms: u64) -> u32 {
        let sample_ms = state.sample_stats.typical_sample_ms();
        let steps = state.steps.iter();
        let steps = steps.filter_map(|&key| self.steps.get(key));
        let generating = steps.filter(|step| matches!(step.phase, Phase::Generating));
        generating
            .map(|step| {
                let due_ms = step.opened_at_ms + step.contents.deadline_ms;
                let remaining_ms = due_ms.saturating_sub(now_ms);
                due_slots(step.expected() - step.counted, sample_ms, remaining_ms)
            })
            .sum()
    }
}
