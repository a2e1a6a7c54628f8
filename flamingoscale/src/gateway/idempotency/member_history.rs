//! Tracks which instances may store an idempotency key, and whether any of them is still a member.
//! A decision core without I/O.
//!
//! The owner of a key and its backup each store the key. When members change, the copies move to
//! the new pair within [`TRANSFER_TIME_MS`]. Until then the pairs of earlier member lists are
//! queried as well. If both instances of an old pair left before their copies could move, the
//! history of the keys that they stored is lost.

use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    sync::Arc, //
};

use crate::{
    gateway::idempotency::table::{
        ScopedKey,
        KEY_LIFETIME_MS, //
    },
    routing::rendezvous,
    view::Member, //
};

/// Time in milliseconds within which copies have moved to the new pairs after a member change.
const TRANSFER_TIME_MS: u64 = 15_000;

/// Maximum number of earlier member lists that are remembered. Older lists are dropped and no
/// longer checked for lost keys.
const MAX_PAST_LISTS: usize = 64;

/// Error: all instances that stored the key have left or restarted, so that no instance can say
/// whether its request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HistoryLost;

/// Name and incarnation number of an instance. Idempotency keys are kept in memory, so that a
/// restarted instance does not have those of its earlier incarnation.
type Incarnation = (Arc<str>, u64);

/// A member list that has been replaced by a newer one.
#[derive(Clone, Debug)]
struct PastMembers {
    members: Arc<Vec<Member>>,
    replaced_ms: u64,
    /// Incarnations that were no longer members when the copies had moved; `None` before that.
    departed: Option<HashSet<Incarnation>>,
}

/// Current member list and the earlier lists that may still matter for unexpired keys.
#[derive(Debug, Default)]
pub(crate) struct MemberHistory {
    members: Arc<Vec<Member>>,
    past_lists: VecDeque<PastMembers>,
}

impl MemberHistory {
    /// Sets the current member list. Returns whether copies have to move to new pairs, which is the
    /// case if an instance joined, left, restarted or began to leave.
    pub(crate) fn update(&mut self, members: &Arc<Vec<Member>>, now_ms: u64) -> bool {
        self.advance(now_ms);
        if Arc::ptr_eq(&self.members, members) {
            return false;
        }
        if pair_inputs(&self.members) == pair_inputs(members) {
            self.members = members.clone();
            return false;
        }
        if !self.members.is_empty() {
            self.past_lists.push_back(PastMembers {
                members: self.members.clone(),
                replaced_ms: now_ms,
                departed: None,
            });
        }
        if self.past_lists.len() > MAX_PAST_LISTS {
            self.past_lists.pop_front();
        }
        self.members = members.clone();
        true
    }

    /// Returns the instances, besides the owner, to query about a key that the owner does not know.
    /// The backup, if there is one, comes first and has to store a copy.
    pub(crate) fn replicas_to_query(
        &self,
        key: ScopedKey,
        owner: &Member,
    ) -> Result<Vec<Member>, HistoryLost> {
        let mut replicas: Vec<Member> = Vec::new();
        let backup = rendezvous::backup(placement_hash(key), owner, &self.members);
        replicas.extend(backup.cloned());
        let present: HashSet<Incarnation> = self.members.iter().map(incarnation_of).collect();
        for past in &self.past_lists {
            let pair = replica_pair(key, &past.members);
            if let Some(departed) = &past.departed {
                if !pair.is_empty()
                    && pair
                        .iter()
                        .all(|member| departed.contains(&incarnation_of(member)))
                {
                    return Err(HistoryLost);
                }
                continue;
            }
            let remaining = pair
                .iter()
                .filter(|member| present.contains(&incarnation_of(member)));
            let remaining: Vec<&&Member> = remaining.collect();
            if remaining.is_empty() && !pair.is_empty() {
                return Err(HistoryLost);
            }
            for member in remaining {
                let included = member.instance == owner.instance
                    || replicas
                        .iter()
                        .any(|replica| replica.instance == member.instance);
                if !included {
                    replicas.push((*member).clone());
                }
            }
        }
        Ok(replicas)
    }

    /// Determines which members of a list departed once its copies have moved, and drops lists
    /// whose keys have all expired.
    fn advance(&mut self, now_ms: u64) {
        let present: HashSet<Incarnation> = self.members.iter().map(incarnation_of).collect();
        for past in &mut self.past_lists {
            if past.departed.is_none() && past.replaced_ms + TRANSFER_TIME_MS <= now_ms {
                let departed = past.members.iter().map(incarnation_of);
                past.departed = Some(
                    departed
                        .filter(|incarnation| !present.contains(incarnation))
                        .collect(),
                );
            }
        }
        self.past_lists
            .retain(|past| past.replaced_ms + KEY_LIFETIME_MS > now_ms);
    }
}

/// Returns the owner of a key, followed by its backup if there is one.
pub(crate) fn replica_pair(key: ScopedKey, members: &[Member]) -> Vec<&Member> {
    let Some(owner) = rendezvous::owner(placement_hash(key), members) else {
        return Vec::new();
    };
    let backup = rendezvous::backup(placement_hash(key), owner, members);
    std::iter::once(owner).chain(backup).collect()
}

fn placement_hash(key: ScopedKey) -> u64 {
    key.0 as u64
}

fn incarnation_of(member: &Member) -> Incarnation {
    (member.instance.clone(), member.incarnation)
}

/// Returns the properties of a member list that determine the pairs: incarnations, and which of
/// them are leaving.
fn pair_inputs(members: &[Member]) -> Vec<(Incarnation, bool)> {
    let members = members.iter();
    members
        .map(|member| (incarnation_of(member), member.leaving))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(names: &[&str]) -> Arc<Vec<Member>> {
        let member = |name: &&str| Member {
            instance: (*name).into(),
            incarnation: 1,
            failure_domain: format!("d{}", name.len()).into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
            suspect: false,
            revision: 1,
        };
        Arc::new(names.iter().map(member).collect())
    }

    fn without(list: &Arc<Vec<Member>>, departed: &[&Member]) -> Arc<Vec<Member>> {
        let stays = |member: &&Member| {
            !departed
                .iter()
                .any(|other| other.instance == member.instance)
        };
        Arc::new(list.iter().filter(stays).cloned().collect())
    }

    const INSTANCE_NAMES: [&str; 6] = ["a", "b", "cc", "dd", "eee", "fff"];

    #[test]
    fn the_remaining_member_of_an_old_pair_is_always_queried() {
        let all = members(&INSTANCE_NAMES);
        for key in (0..200).map(ScopedKey) {
            let old_pair = replica_pair(key, &all);
            for departed in &old_pair {
                let mut history = MemberHistory::default();
                history.update(&all, 0);
                let current = without(&all, &[departed]);
                assert!(history.update(&current, 100));
                let owner = replica_pair(key, &current)[0];
                let queried = history
                    .replicas_to_query(key, owner)
                    .expect("one member of the pair remains");
                let remaining = old_pair
                    .iter()
                    .find(|member| member.instance != departed.instance);
                let remaining = remaining.expect("a pair has two members");
                let has_copy = |member: &Member| member.instance == remaining.instance;
                assert!(has_copy(owner) || queried.iter().any(has_copy));
            }
        }
    }

    #[test]
    fn history_is_lost_when_both_members_of_a_pair_leave_before_copies_moved() {
        let all = members(&INSTANCE_NAMES);
        let key = ScopedKey(5);
        let old_pair = replica_pair(key, &all);
        let mut history = MemberHistory::default();
        history.update(&all, 0);
        history.update(&without(&all, &old_pair[..1]), 1_000);
        let rest = without(&all, &old_pair);
        history.update(&rest, 2_000);
        let owner = replica_pair(key, &rest)[0];
        assert_eq!(history.replicas_to_query(key, owner), Err(HistoryLost));
        history.update(&rest, 2_000 + TRANSFER_TIME_MS);
        assert_eq!(history.replicas_to_query(key, owner), Err(HistoryLost));
        history.update(&rest, 2_000 + KEY_LIFETIME_MS);
        assert!(history.replicas_to_query(key, owner).is_ok());
    }

    #[test]
    fn history_is_kept_when_copies_had_time_to_move() {
        let all = members(&INSTANCE_NAMES);
        let key = ScopedKey(5);
        let after_first = without(&all, &replica_pair(key, &all)[..1]);
        let after_second = without(&after_first, &replica_pair(key, &after_first)[..1]);
        let mut history = MemberHistory::default();
        history.update(&all, 0);
        history.update(&after_first, 1_000);
        history.update(&after_first, 1_000 + TRANSFER_TIME_MS);
        history.update(&after_second, 2_000 + TRANSFER_TIME_MS);
        let owner = replica_pair(key, &after_second)[0];
        assert!(history.replicas_to_query(key, owner).is_ok());
    }
}
