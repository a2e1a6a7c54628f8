//! Recent changes that ride on probes, each sent a bounded number of times.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::Update;

/// Most changes in one message.
pub(super) const UPDATES_PER_MESSAGE: usize = 6;

/// Each change is sent this often times the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// Changes that still spread, at most one a member.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    pending: BTreeMap<Arc<str>, PendingUpdate>,
}

#[derive(Clone, Debug)]
struct PendingUpdate {
    update: Update,
    sent: u32,
}

impl Gossip {
    /// Starts to spread a change, in place of an older one of the same member.
    pub(super) fn add(&mut self, update: Update) {
        let item = PendingUpdate {
            update: update.clone(),
            sent: 0,
        };
        self.pending.insert(update.member.instance.clone(), item);
    }

    /// Takes the changes for one message that already holds `included`, those least sent first.
    pub(super) fn next_updates(&mut self, members: usize, included: usize) -> Vec<Update> {
        let limit = retransmit_limit(members);
        let mut waiting: Vec<(u32, Arc<str>)> = self
            .pending
            .iter()
            .map(|(instance, item)| (item.sent, instance.clone()))
            .collect();
        waiting.sort();
        waiting.truncate(UPDATES_PER_MESSAGE.saturating_sub(included));
        waiting
            .into_iter()
            .filter_map(|(_, instance)| self.send(&instance, limit))
            .collect()
    }

    fn send(&mut self, instance: &Arc<str>, limit: u32) -> Option<Update> {
        let item = self.pending.get_mut(instance)?;
        item.sent += 1;
        if item.sent < limit {
            return Some(item.update.clone());
        }
        self.pending.remove(instance).map(|item| item.update)
    }
}

fn retransmit_limit(members: usize) -> u32 {
    let digits = usize::BITS - members.leading_zeros();
    RETRANSMIT_FACTOR * digits.max(1)
}
