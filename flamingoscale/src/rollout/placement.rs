//! Places each trainer's steps: which instance coordinates them, and which instances hold copies.
//! Uses rendezvous hashing.

use std::{
    cmp::Reverse,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::Member;

/// Rendezvous hash of an instance for a trainer; the highest score wins.
fn score(trainer: &str, instance: &str) -> u64 {
    let seed = xxh3_64_with_seed(trainer.as_bytes(), 0);
    xxh3_64_with_seed(instance.as_bytes(), seed)
}

/// Ranks the members for `trainer`, best first.
///
/// Leaving members come last: they are given nothing new but may still hold copies.
pub(crate) fn ranked<'view>(members: &'view [Member], trainer: &str) -> Vec<&'view Member> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_key(|member| {
        let rank = Reverse(score(trainer, &member.instance));
        (member.leaving, rank)
    });
    ranked
}

/// The coordinator of a trainer: the best-ranked member that is not leaving.
pub(crate) fn coordinator<'view>(members: &'view [Member], trainer: &str) -> Option<&'view Member> {
    let staying = members.iter().filter(|member| !member.leaving);
    staying.max_by_key(|member| score(trainer, &member.instance))
}

/// Candidates for holding the copies of `coordinator`, best first. Members of its own failure
/// domain are candidates only if there is no other domain. The ranking is the same as for
/// coordinators, so the next coordinator is likely to hold the copies already.
pub(crate) fn holders(members: &[Member], trainer: &str, coordinator: &Arc<str>) -> Vec<Member> {
    let own_domain = members
        .iter()
        .find(|member| member.instance == *coordinator)
        .map(|member| member.failure_domain.clone());
    let others: Vec<&Member> = ranked(members, trainer)
        .into_iter()
        .filter(|member| member.instance != *coordinator && !member.leaving)
        .collect();
    let in_other_domain = |member: &&&Member| Some(&member.failure_domain) != own_domain.as_ref();
    let in_other_domains: Vec<Member> = others
        .iter()
        .filter(in_other_domain)
        .map(|m| (*m).clone())
        .collect();
    if in_other_domains.is_empty() {
        return others.into_iter().cloned().collect();
    }
    in_other_domains
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(instance: &str, failure_domain: &str) -> Member {
        Member {
            instance: instance.into(),
            incarnation: 1,
            failure_domain: failure_domain.into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        }
    }

    #[test]
    fn leaving_coordinator_is_replaced_by_the_next_ranked() {
        let mut members = vec![member("n1", "a"), member("n2", "b"), member("n3", "c")];
        let first = coordinator(&members, "notes").map(|m| m.instance.clone());
        for member in &mut members {
            member.leaving = Some(&member.instance) == first.as_ref();
        }
        let second = coordinator(&members, "notes").map(|m| m.instance.clone());
        assert_ne!(first, second);
        assert_eq!(
            ranked(&members, "notes").last().map(|m| m.instance.clone()),
            first
        );
    }

    #[test]
    fn copies_prefer_another_failure_domain() {
        let members = vec![member("n1", "a"), member("n2", "a"), member("n3", "b")];
        let own_id = "n1".into();
        let chosen = holders(&members, "notes", &own_id);
        assert!(chosen.iter().all(|holder| &*holder.failure_domain == "b"));
        let same_domain = holders(&members[..2], "notes", &own_id);
        assert_eq!(same_domain.len(), 1);
        assert_eq!(&*same_domain[0].instance, "n2");
    }
}
