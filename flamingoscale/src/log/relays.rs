//! Selects the relays: two instances in each failure domain that read the log for the others.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::Member;

/// Number of relays in each failure domain.
const RELAYS_PER_DOMAIN: usize = 2;

/// Returns the members in order of rendezvous hash for `key`, the preferred one first.
pub(crate) fn by_rendezvous<'a>(
    key: u64,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut ordered: Vec<&Member> = members.collect();
    ordered.sort_by_cached_key(|member| {
        let hash = xxh3_64_with_seed(member.instance.as_bytes(), key);
        (std::cmp::Reverse(hash), member.instance.clone())
    });
    ordered
}

/// Returns the relays of a failure domain, the preferred one first. An instance that is leaving or
/// suspected of having failed is not a relay.
pub(crate) fn relays<'a>(members: &'a [Member], failure_domain: &str) -> Vec<&'a Member> {
    let in_domain = members
        .iter()
        .filter(|member| &*member.failure_domain == failure_domain);
    let healthy = in_domain.filter(|member| !member.leaving && !member.suspect);
    let mut ordered = by_rendezvous(0, healthy);
    ordered.truncate(RELAYS_PER_DOMAIN);
    ordered
}

/// Returns whether an instance reads the log itself: relays do, and so does every instance of a
/// failure domain without known relays.
pub(crate) fn is_relay(members: &[Member], instance: &Arc<str>, failure_domain: &str) -> bool {
    let relays = relays(members, failure_domain);
    relays.is_empty() || relays.iter().any(|relay| relay.instance == *instance)
}

/// Returns the rank of the instance among all relays for the work identified by `key`; rank 0 goes
/// first. An instance that is not a relay has no rank, unless no members are known.
pub(crate) fn rank(key: u64, members: &[Member], instance: &Arc<str>) -> Option<usize> {
    if members.is_empty() {
        return Some(0);
    }
    let own = members.iter().find(|member| member.instance == *instance)?;
    if !is_relay(members, instance, &own.failure_domain) {
        return None;
    }
    let candidates = members
        .iter()
        .filter(|member| is_relay(members, &member.instance, &member.failure_domain));
    let ordered = by_rendezvous(key, candidates);
    ordered
        .iter()
        .position(|member| member.instance == *instance)
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
    fn a_failure_domain_has_two_relays_and_replaces_one_that_leaves() {
        let mut members: Vec<Member> = (0..6)
            .map(|index| member(&format!("n{index}"), ["saiq", "shams"][index % 2]))
            .collect();
        let first = relays(&members, "saiq")[0].instance.clone();
        assert_eq!(relays(&members, "saiq").len(), RELAYS_PER_DOMAIN);
        for member in &mut members {
            member.leaving = member.instance == first;
        }
        let after = relays(&members, "saiq");
        assert_eq!(after.len(), RELAYS_PER_DOMAIN);
        assert!(after.iter().all(|relay| relay.instance != first));
    }

    #[test]
    fn every_relay_has_its_own_rank() {
        let members: Vec<Member> = (0..6)
            .map(|index| member(&format!("n{index}"), "saiq"))
            .collect();
        let mut ranks: Vec<usize> = relays(&members, "saiq")
            .iter()
            .filter_map(|relay| rank(5, &members, &relay.instance))
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1]);
    }
}
