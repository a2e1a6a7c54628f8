//! Rendezvous hashing: every instance computes the same home or owner from the same list of
//! members, and a change of a member moves only the keys of that member.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::view::Member;

/// Rendezvous hash of `candidate` for a hashed endpoint id or a key; the highest score wins.
fn score(id_hash: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), id_hash)
}

/// Returns the home of an endpoint: the best-scored member that is not leaving. Members of the
/// endpoint's own failure domain are preferred.
pub fn home<'a>(endpoint: &str, failure_domain: &str, members: &'a [Member]) -> Option<&'a Member> {
    let id_hash = xxh3_64(endpoint.as_bytes());
    members
        .iter()
        .filter(|member| !member.leaving)
        .max_by_key(|member| {
            let in_domain = &*member.failure_domain == failure_domain;
            (
                in_domain,
                score(id_hash, &member.instance),
                &member.instance,
            )
        })
}

/// Returns the owner of a key: the best-scored member that is not leaving.
pub fn owner(key: u64, members: &[Member]) -> Option<&Member> {
    members
        .iter()
        .filter(|member| !member.leaving)
        .max_by_key(|member| (score(key, &member.instance), &member.instance))
}

/// Returns the member that keeps the second copy of a key: the best-scored member besides the owner
/// that is not leaving. Members of other failure domains are preferred.
pub fn backup<'a>(key: u64, owner: &Member, members: &'a [Member]) -> Option<&'a Member> {
    members
        .iter()
        .filter(|member| !member.leaving && member.instance != owner.instance)
        .max_by_key(|member| {
            let in_other_domain = member.failure_domain != owner.failure_domain;
            (
                in_other_domain,
                score(key, &member.instance),
                &member.instance,
            )
        })
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    fn members(count: usize) -> Vec<Member> {
        (0..count)
            .map(|number| Member {
                instance: format!("n{number}").into(),
                incarnation: 1,
                failure_domain: format!("d{}", number % 3).into(),
                address: "127.0.0.1:1".into(),
                peer_address: "127.0.0.1:2".into(),
                leaving: false,
                suspect: false,
                revision: 1,
            })
            .collect()
    }

    #[test]
    fn homes_are_in_the_same_domain_and_evenly_spread() {
        let members = members(12);
        let mut counts = BTreeMap::new();
        for number in 0..1_200 {
            let home =
                home(&format!("e{number}"), "d1", &members).expect("the member list is not empty");
            assert_eq!(&*home.failure_domain, "d1");
            *counts.entry(home.instance.clone()).or_insert(0) += 1;
        }
        assert_eq!(counts.len(), 4);
        assert!(counts.values().all(|count| (200..400).contains(count)));
    }

    #[test]
    fn leaving_member_moves_only_its_own_endpoints() {
        let before = members(9);
        let mut after = before.clone();
        after[4].leaving = true;
        for number in 0..500 {
            let endpoint = format!("e{number}");
            let old = home(&endpoint, "d1", &before).expect("the member list is not empty");
            let new = home(&endpoint, "d1", &after).expect("the member list is not empty");
            assert!(old.instance == new.instance || old.instance == before[4].instance);
            assert_ne!(new.instance, before[4].instance);
        }
    }

    #[test]
    fn failure_domain_without_members_is_served_from_another() {
        assert!(home("e1", "elsewhere", &members(3)).is_some());
        assert!(home("e1", "d1", &[]).is_none());
    }

    #[test]
    fn backup_is_in_another_failure_domain() {
        let members = members(12);
        for key in 0..200 {
            let owner = owner(key, &members).expect("the member list is not empty");
            let backup = backup(key, owner, &members).expect("the owner is not the only member");
            assert_ne!(owner.failure_domain, backup.failure_domain);
        }
    }
}
