//! Recent updates that are piggybacked on probes, each sent a bounded number of times.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::Update;

/// Maximum number of updates in one message.
pub(super) const UPDATES_PER_MESSAGE: usize = 6;

/// Each update is sent as many times as this factor multiplied by the number of bits of the cluster
/// size.
const RETRANSMIT_FACTOR: u32 = 3;

/// Updates that are still being spread, at most one per member.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    pending: BTreeMap<Arc<str>, PendingUpdate>,
}

#[derive(Clone, Debug)]
struct PendingUpdate {
    update: Update,
    times_sent: u32,
}

impl Gossip {
    /// Starts to spread an update, replacing an older one about the same member.
    pub(super) fn add(&mut self, update: Update) {
        let entry = PendingUpdate {
            update: update.clone(),
            times_sent: 0,
        };
        self.pending.insert(update.member.instance.clone(), entry);
    }

    /// Returns the updates to add to a message that already contains `included` updates, starting
    /// with those that were sent least often. `members` is the cluster size.
    pub(super) fn next_updates(&mut self, members: usize, included: usize) -> Vec<Update> {
        let limit = retransmit_limit(members);
        let mut queued: Vec<(u32, Arc<str>)> = self
            .pending
            .iter()
            .map(|(instance, entry)| (entry.times_sent, instance.clone()))
            .collect();
        queued.sort();
        queued.truncate(UPDATES_PER_MESSAGE.saturating_sub(included));
        queued
            .into_iter()
            .filter_map(|(_, instance)| self.send(&instance, limit))
            .collect()
    }

    /// Returns the update about a member and counts the transmission. Removes the update when it
    /// has been sent `limit` times.
    fn send(&mut self, instance: &Arc<str>, limit: u32) -> Option<Update> {
        let entry = self.pending.get_mut(instance)?;
        entry.times_sent += 1;
        if entry.times_sent < limit {
            return Some(entry.update.clone());
        }
        self.pending.remove(instance).map(|entry| entry.update)
    }
}

fn retransmit_limit(members: usize) -> u32 {
    let bits = usize::BITS - members.leading_zeros();
    RETRANSMIT_FACTOR * bits.max(1)
}
