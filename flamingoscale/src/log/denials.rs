//! Denials: withdrawals of API keys that are enforced on this instance before the log holds them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use crate::{
    keys::KeyTable,
    view::Member, //
};

/// Interval between attempts to send or append a denial.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// How long to keep a denial of a key that the log does not know. The instance that denied the key
/// may already have read the record that grants it, while this instance has not.
const UNKNOWN_KEY_RETENTION_MS: u64 = 600_000;

/// Maximum number of denials; operators withdraw keys one at a time.
const MAX_DENIALS: usize = 4_096;

/// A withdrawn key that is enforced here although the log does not hold its withdrawal yet.
struct Denial {
    /// Whether an operator withdrew the key on this instance, which must then notify the other
    /// members.
    is_own: bool,
    added_ms: u64,
    /// Members that confirmed the denial.
    acknowledged_by: BTreeSet<Arc<str>>,
    next_send_ms: u64,
    next_append_ms: u64,
}

/// The denied keys. Denying a key is always safe, so a denial is accepted from any peer and removed
/// only once the log holds the withdrawal.
#[derive(Default)]
pub(crate) struct Denials {
    denials: BTreeMap<Arc<str>, Denial>,
}

impl Denials {
    /// Adds a denial whose withdrawal is to be appended after `append_delay_ms`; returns whether it
    /// is new. The delay is longer for a denial that was learnt from a peer, because another
    /// instance may append it first.
    pub(crate) fn add(
        &mut self,
        key_id: &Arc<str>,
        is_own: bool,
        now_ms: u64,
        append_delay_ms: u64,
    ) -> bool {
        if let Some(existing) = self.denials.get_mut(key_id) {
            existing.is_own |= is_own;
            return false;
        }
        if self.denials.len() >= MAX_DENIALS {
            return false;
        }
        let denial = Denial {
            is_own,
            added_ms: now_ms,
            acknowledged_by: BTreeSet::new(),
            next_send_ms: 0,
            next_append_ms: now_ms + append_delay_ms,
        };
        self.denials.insert(key_id.clone(), denial);
        true
    }

    /// Returns the ids of the denied keys.
    pub(crate) fn keys(&self) -> Vec<Arc<str>> {
        self.denials.keys().cloned().collect()
    }

    /// Removes denials whose withdrawal the log holds, and denials of keys that remained unknown to
    /// the log for [`UNKNOWN_KEY_RETENTION_MS`].
    pub(crate) fn remove_withdrawn(&mut self, keys: &KeyTable, now_ms: u64) {
        self.denials
            .retain(|key_id, denial| match keys.get(key_id) {
                Some(entry) => !entry.withdrawn,
                None => now_ms < denial.added_ms + UNKNOWN_KEY_RETENTION_MS,
            });
    }

    /// Returns the keys whose withdrawal should be appended now.
    pub(crate) fn due_appends(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let due = self
            .denials
            .iter_mut()
            .filter(|(_, denial)| denial.next_append_ms <= now_ms);
        due.map(|(key_id, denial)| {
            denial.next_append_ms = now_ms + RETRY_INTERVAL_MS;
            key_id.clone()
        })
        .collect()
    }

    /// Returns the denials that this instance must send now, each paired with a member that has not
    /// confirmed it yet.
    pub(crate) fn due_messages<'a>(
        &mut self,
        now_ms: u64,
        members: &'a [Member],
    ) -> Vec<(Arc<str>, &'a Member)> {
        let mut messages = Vec::new();
        let due = self
            .denials
            .iter_mut()
            .filter(|(_, denial)| denial.is_own && denial.next_send_ms <= now_ms);
        for (key_id, denial) in due {
            denial.next_send_ms = now_ms + RETRY_INTERVAL_MS;
            let unacknowledged = members
                .iter()
                .filter(|member| !denial.acknowledged_by.contains(&member.instance));
            messages.extend(unacknowledged.map(|member| (key_id.clone(), member)));
        }
        messages
    }

    /// Records that a member confirmed a denial.
    pub(crate) fn acknowledge(&mut self, key_id: &str, member: Arc<str>) {
        if let Some(denial) = self.denials.get_mut(key_id) {
            denial.acknowledged_by.insert(member);
        }
    }

    /// Returns the members that confirmed a denial.
    pub(crate) fn acknowledged_by(&self, key_id: &str) -> Option<&BTreeSet<Arc<str>>> {
        self.denials
            .get(key_id)
            .map(|denial| &denial.acknowledged_by)
    }

    /// Marks the denied keys as withdrawn in a key table that is about to be published.
    pub(crate) fn apply(&self, keys: &mut Arc<KeyTable>) {
        for key_id in self.denials.keys() {
            if keys.is_in_force(key_id) {
                Arc::make_mut(keys).withdraw(key_id);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::KeyEntry;

    fn table(withdrawn: bool) -> KeyTable {
        let mut keys = KeyTable::default();
        keys.grant(KeyEntry {
            key_id: "fk-a".into(),
            digest: [0; 32],
            organisation: "lodges".into(),
            withdrawn,
        });
        keys
    }

    #[test]
    fn a_denial_is_enforced_until_the_log_holds_the_withdrawal() {
        let mut denials = Denials::default();
        denials.add(&"fk-a".into(), false, 0, 500);
        for now_ms in [0, 10 * UNKNOWN_KEY_RETENTION_MS] {
            let mut published = Arc::new(table(false));
            denials.remove_withdrawn(&published, now_ms);
            denials.apply(&mut published);
            assert!(!published.is_in_force("fk-a"));
        }
        denials.remove_withdrawn(&table(true), 0);
        assert!(denials.keys().is_empty());
    }

    #[test]
    fn a_denial_is_kept_until_the_grant_of_its_key_is_read() {
        let mut denials = Denials::default();
        denials.add(&"fk-a".into(), false, 0, 0);
        denials.remove_withdrawn(&KeyTable::default(), 1);
        let mut published = Arc::new(table(false));
        denials.remove_withdrawn(&published, 2);
        denials.apply(&mut published);
        assert!(!published.is_in_force("fk-a"));
        denials.add(&"fk-b".into(), false, 0, 0);
        denials.remove_withdrawn(&table(true), UNKNOWN_KEY_RETENTION_MS);
        assert!(denials.keys().is_empty());
    }

    #[test]
    fn appends_are_retried_at_an_interval() {
        let mut denials = Denials::default();
        denials.add(&"fk-a".into(), true, 0, 100);
        assert!(denials.due_appends(99).is_empty());
        assert_eq!(denials.due_appends(100).len(), 1);
        assert!(denials.due_appends(101).is_empty());
        assert_eq!(denials.due_appends(100 + RETRY_INTERVAL_MS).len(), 1);
    }
}
