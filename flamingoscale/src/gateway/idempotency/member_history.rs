//! Who may know of a key, and whether anybody still can, as a plain decision core.
//!
//! An owner and its backup remember each key. When members change, copies move to the new pair
//! within a short time. Until then the pairs of the lists before are asked as well; where both of
//! an old pair went before their copies could move, nobody can vouch for the keys that they held.

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

/// After a change of members, copies have moved to the new pairs within this time.
const TRANSFER_MS: u64 = 15_000;

/// Lists of members that are remembered; a key of an older one is not vouched for.
const MAX_PAST_LISTS: usize = 64;

/// Nobody can say whether the key's request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HistoryLost;

/// An instance at one start: what it remembered is departed with that start.
type Incarnation = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct PastMembers {
    members: Arc<Vec<Member>>,
    replaced_ms: u64,
    /// Those that were departed when copies had moved; none before that time.
    departed: Option<HashSet<Incarnation>>,
}

/// The lists of members that matter for keys still remembered.
#[derive(Debug, Default)]
pub(crate) struct MemberHistory {
    members: Arc<Vec<Member>>,
    past: VecDeque<PastMembers>,
}

impl MemberHistory {
    /// Takes in the list of members; returns whether copies have to move.
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
            self.past.push_back(PastMembers {
                members: self.members.clone(),
                replaced_ms: now_ms,
                departed: None,
            });
        }
        if self.past.len() > MAX_PAST_LISTS {
            self.past.pop_front();
        }
        self.members = members.clone();
        true
    }

    /// The instances besides the owner that have to be asked about a key that the owner does not
    /// know; the backup, if there is one, comes first and has to keep a copy.
    pub(crate) fn replicas_to_query(
        &self,
        key: ScopedKey,
        owner: &Member,
    ) -> Result<Vec<Member>, HistoryLost> {
        let mut replicas: Vec<Member> = Vec::new();
        let backup = rendezvous::backup(placement_hash(key), owner, &self.members);
        replicas.extend(backup.cloned());
        let present: HashSet<Incarnation> = self.members.iter().map(incarnation_of).collect();
        for past in &self.past {
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
                let known = member.instance == owner.instance
                    || replicas
                        .iter()
                        .any(|replica| replica.instance == member.instance);
                if !known {
                    replicas.push((*member).clone());
                }
            }
        }
        Ok(replicas)
    }

    fn advance(&mut self, now_ms: u64) {
        let present: HashSet<Incarnation> = self.members.iter().map(incarnation_of).collect();
        for past in &mut self.past {
            if past.departed.is_none() && past.replaced_ms + TRANSFER_MS <= now_ms {
                let departed = past.members.iter().map(incarnation_of);
                past.departed = Some(
                    departed
                        .filter(|incarnation| !present.contains(incarnation))
                        .collect(),
                );
            }
        }
        self.past
            .retain(|past| past.replaced_ms + KEY_LIFETIME_MS > now_ms);
    }
}

/// The owner of a key and its backup.
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

/// What decides the pairs: who is there and stays.
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
        let departed = |m: &&Member| !departed.iter().any(|g| g.instance == m.instance);
        Arc::new(list.iter().filter(departed).cloned().collect())
    }

    const ALL: [&str; 6] = ["a", "b", "cc", "dd", "eee", "fff"];

    #[test]
    fn the_remaining_member_of_an_old_pair_is_always_queried() {
        let all = members(&ALL);
        for key in (0..200).map(ScopedKey) {
            let old = replica_pair(key, &all);
            for lost in &old {
                let mut member_history = MemberHistory::default();
                member_history.update(&all, 0);
                let now = without(&all, &[lost]);
                assert!(member_history.update(&now, 100));
                let owner = replica_pair(key, &now)[0];
                let asked = member_history
                    .replicas_to_query(key, owner)
                    .expect("one of them is left");
                let remaining = old.iter().find(|m| m.instance != lost.instance);
                let remaining = remaining.expect("a pair has two");
                let knows = |m: &Member| m.instance == remaining.instance;
                assert!(knows(owner) || asked.iter().any(knows));
            }
        }
    }

    #[test]
    fn history_is_lost_when_both_members_of_a_pair_leave_before_copies_moved() {
        let all = members(&ALL);
        let key = ScopedKey(5);
        let old = replica_pair(key, &all);
        let mut member_history = MemberHistory::default();
        member_history.update(&all, 0);
        member_history.update(&without(&all, &old[..1]), 1_000);
        let rest = without(&all, &old);
        member_history.update(&rest, 2_000);
        let owner = replica_pair(key, &rest)[0];
        assert_eq!(
            member_history.replicas_to_query(key, owner),
            Err(HistoryLost)
        );
        member_history.update(&rest, 2_000 + TRANSFER_MS);
        assert_eq!(
            member_history.replicas_to_query(key, owner),
            Err(HistoryLost)
        );
        member_history.update(&rest, 2_000 + KEY_LIFETIME_MS);
        assert!(member_history.replicas_to_query(key, owner).is_ok());
    }

    #[test]
    fn history_is_kept_when_copies_had_time_to_move() {
        let all = members(&ALL);
        let key = ScopedKey(5);
        let first = without(&all, &replica_pair(key, &all)[..1]);
        let backup = without(&first, &replica_pair(key, &first)[..1]);
        let mut member_history = MemberHistory::default();
        member_history.update(&all, 0);
        member_history.update(&first, 1_000);
        member_history.update(&first, 1_000 + TRANSFER_MS);
        member_history.update(&backup, 2_000 + TRANSFER_MS);
        let owner = replica_pair(key, &backup)[0];
        assert!(member_history.replicas_to_query(key, owner).is_ok());
    }
}
