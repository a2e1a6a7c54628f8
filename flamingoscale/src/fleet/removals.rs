//! Keeps endpoints that are missing in the list until it is certain that they have left.

use std::sync::Arc;

use super::following::Following;

/// Endpoints that are missing, and until when each is kept, in monotonic milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Removals {
    pending: Vec<(Arc<str>, u64)>,
}

impl Removals {
    /// Records that an endpoint is missing in the page that was just read. See
    /// [`Following::keep_until_ms`].
    pub fn missing(&mut self, id: &str, hides: bool, list: &Following, now_ms: u64) {
        if !self.pending.iter().any(|(pending, _)| **pending == *id) {
            let until_ms = list.keep_until_ms(hides, now_ms);
            self.pending.push((id.into(), until_ms));
        }
    }

    /// Records that an endpoint is listed.
    pub fn listed(&mut self, id: &str) {
        self.pending.retain(|(pending, _)| **pending != *id);
    }

    /// Records that a page of the list was read after a failure. Endpoints whose time has passed meanwhile
    /// get the time that others get that are missing now: their entries may have expired with the store.
    pub fn list_recovered(&mut self, list: &Following, now_ms: u64) {
        for (_, until_ms) in &mut self.pending {
            if *until_ms <= now_ms {
                *until_ms = list.keep_until_ms(true, now_ms);
            }
        }
    }

    /// Takes the endpoints that have left. While the list can't be read, none has.
    pub fn take_due(&mut self, list: &Following, now_ms: u64) -> Vec<Arc<str>> {
        if list.is_failing() {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending);
        let (due, kept) = pending
            .into_iter()
            .partition(|(_, until_ms)| *until_ms <= now_ms);
        self.pending = kept;
        Vec::into_iter(due).map(|(id, _)| id).collect()
    }

    /// Returns the time until the next endpoint is removed; `None` if none is missing.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        let next_ms = self.pending.iter().map(|(_, until_ms)| *until_ms).min();
        next_ms.map(|next_ms| next_ms.saturating_sub(now_ms))
    }
}

#[cfg(test)]
mod tests;
