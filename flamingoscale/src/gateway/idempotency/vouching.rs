//! Who may know of a key, and whether anybody still can, as a plain decision core.
//!
//! An owner and its second remember each key. When members change, copies move to the new pair
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
const SETTLE_MS: u64 = 15_000;

/// Lists of members that are remembered; a key of an older one is not vouched for.
const MOST_LISTS: usize = 64;

/// Nobody can say whether the key's request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lost;

/// An instance at one start: what it remembered is gone with that start.
type Start = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct Past {
    members: Arc<Vec<Member>>,
    replaced_ms: u64,
    /// Those that were gone when copies had moved; none before that time.
    gone: Option<HashSet<Start>>,
}

/// The lists of members that matter for keys still remembered.
#[derive(Debug, Default)]
pub(crate) struct Vouching {
    members: Arc<Vec<Member>>,
    past: VecDeque<Past>,
}

impl Vouching {
    /// Takes in the list of members; returns whether copies have to move.
    pub(crate) fn update(&mut self, members: &Arc<Vec<Member>>, now_ms: u64) -> bool {
        self.settle(now_ms);
        if Arc::ptr_eq(&self.members, members) {
            return false;
        }
        if starts(&self.members) == starts(members) {
            self.members = members.clone();
            return false;
        }
        if !self.members.is_empty() {
            self.past.push_back(Past {
                members: self.members.clone(),
                replaced_ms: now_ms,
                gone: None,
            });
        }
        if self.past.len() > MOST_LISTS {
            self.past.pop_front();
        }
        self.members = members.clone();
        true
    }

    /// The instances besides the owner that have to be asked about a key that the owner does not
    /// know; the second, if there is one, comes first and has to keep a copy.
    pub(crate) fn witnesses(&self, key: ScopedKey, owner: &Member) -> Result<Vec<Member>, Lost> {
        let mut witnesses: Vec<Member> = Vec::new();
        let second = rendezvous::backup(hash(key), owner, &self.members);
        witnesses.extend(second.cloned());
        let here: HashSet<Start> = self.members.iter().map(start).collect();
        for past in &self.past {
            let pair = pair(key, &past.members);
            if let Some(gone) = &past.gone {
                if !pair.is_empty() && pair.iter().all(|member| gone.contains(&start(member))) {
                    return Err(Lost);
                }
                continue;
            }
            let left = pair.iter().filter(|member| here.contains(&start(member)));
            let left: Vec<&&Member> = left.collect();
            if left.is_empty() && !pair.is_empty() {
                return Err(Lost);
            }
            for member in left {
                let known = member.instance == owner.instance
                    || witnesses.iter().any(|w| w.instance == member.instance);
                if !known {
                    witnesses.push((*member).clone());
                }
            }
        }
        Ok(witnesses)
    }

    fn settle(&mut self, now_ms: u64) {
        let here: HashSet<Start> = self.members.iter().map(start).collect();
        for past in &mut self.past {
            if past.gone.is_none() && past.replaced_ms + SETTLE_MS <= now_ms {
                let gone = past.members.iter().map(start);
                past.gone = Some(gone.filter(|start| !here.contains(start)).collect());
            }
        }
        self.past
            .retain(|past| past.replaced_ms + KEY_LIFETIME_MS > now_ms);
    }
}

/// The owner of a key and its second.
pub(crate) fn pair(key: ScopedKey, members: &[Member]) -> Vec<&Member> {
    let Some(owner) = rendezvous::owner(hash(key), members) else {
        return Vec::new();
    };
    let second = rendezvous::backup(hash(key), owner, members);
    std::iter::once(owner).chain(second).collect()
}

fn hash(key: ScopedKey) -> u64 {
    key.0 as u64
}

fn start(member: &Member) -> Start {
    (member.instance.clone(), member.incarnation)
}

/// What decides the pairs: who is there and stays.
fn starts(members: &[Member]) -> Vec<(Start, bool)> {
    let starts = members.iter();
    starts
        .map(|member| (start(member), member.leaving))
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

    fn without(list: &Arc<Vec<Member>>, gone: &[&Member]) -> Arc<Vec<Member>> {
        let gone = |m: &&Member| !gone.iter().any(|g| g.instance == m.instance);
        Arc::new(list.iter().filter(gone).cloned().collect())
    }

    const ALL: [&str; 6] = ["a", "b", "cc", "dd", "eee", "fff"];

    #[test]
    fn one_of_an_old_pair_is_always_asked() {
        let all = members(&ALL);
        for key in (0..200).map(ScopedKey) {
            let old = pair(key, &all);
            for lost in &old {
                let mut vouching = Vouching::default();
                vouching.update(&all, 0);
                let now = without(&all, &[lost]);
                assert!(vouching.update(&now, 100));
                let owner = pair(key, &now)[0];
                let asked = vouching.witnesses(key, owner).expect("one of them is left");
                let left = old.iter().find(|m| m.instance != lost.instance);
                let left = left.expect("a pair has two");
                let knows = |m: &Member| m.instance == left.instance;
                assert!(knows(owner) || asked.iter().any(knows));
            }
        }
    }

    #[test]
    fn nobody_vouches_once_both_went_at_nearly_the_same_time() {
        let all = members(&ALL);
        let key = ScopedKey(5);
        let old = pair(key, &all);
        let mut vouching = Vouching::default();
        vouching.update(&all, 0);
        vouching.update(&without(&all, &old[..1]), 1_000);
        let rest = without(&all, &old);
        vouching.update(&rest, 2_000);
        let owner = pair(key, &rest)[0];
        assert_eq!(vouching.witnesses(key, owner), Err(Lost));
        vouching.update(&rest, 2_000 + SETTLE_MS);
        assert_eq!(vouching.witnesses(key, owner), Err(Lost));
        vouching.update(&rest, 2_000 + KEY_LIFETIME_MS);
        assert!(vouching.witnesses(key, owner).is_ok());
    }

    #[test]
    fn copies_that_had_time_to_move_are_vouched_for() {
        let all = members(&ALL);
        let key = ScopedKey(5);
        let first = without(&all, &pair(key, &all)[..1]);
        let second = without(&first, &pair(key, &first)[..1]);
        let mut vouching = Vouching::default();
        vouching.update(&all, 0);
        vouching.update(&first, 1_000);
        vouching.update(&first, 1_000 + SETTLE_MS);
        vouching.update(&second, 2_000 + SETTLE_MS);
        let owner = pair(key, &second)[0];
        assert!(vouching.witnesses(key, owner).is_ok());
    }
}
