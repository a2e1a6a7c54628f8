//! The instance addresses that callers should connect to.

use rand::{
    seq::SliceRandom as _,
    Rng, //
};

use crate::{
    view::{
        Member,
        View, //
    },
    wire::{
        Entries,
        Entry, //
    }, //
};

/// How long a caller may cache the addresses. A leaving instance keeps serving for longer than
/// this.
pub(crate) const ENTRIES_TTL_MS: u64 = 5_000;

/// Maximum number of addresses in one answer; enough that some of them are reachable.
const MAX_ENTRIES: usize = 8;

/// Selects addresses, ordered by distance from `near_domain`: same failure domain, then same
/// region, then the rest. Within one distance the order is random, which spreads the load. Suspect
/// instances, which miss probes, are listed only if there are no healthy ones, and leaving
/// instances never. `leaving_instance` names an instance that is leaving although the view does not
/// show it yet.
pub(crate) fn entries(
    view: &View,
    near_domain: Option<&str>,
    leaving_instance: Option<&str>,
    rng: &mut impl Rng,
) -> Entries {
    let candidates = view.members.iter();
    let candidates =
        candidates.filter(|member| !member.leaving && Some(&*member.instance) != leaving_instance);
    let mut members: Vec<&Member> = candidates.collect();
    members.shuffle(rng);
    members.sort_by_key(|member| (member.suspect, distance(view, near_domain, member)));
    let healthy = members.iter().filter(|member| !member.suspect).count();
    members.truncate(if healthy > 0 {
        healthy.min(MAX_ENTRIES)
    } else {
        MAX_ENTRIES
    });
    let entries = members.into_iter().map(|member| Entry {
        instance: member.instance.clone(),
        address: member.address.clone(),
        failure_domain: member.failure_domain.clone(),
    });
    Entries {
        entries: entries.collect(),
        ttl_ms: ENTRIES_TTL_MS,
    }
}

/// Returns 0 for the same failure domain, 1 for the same region and 2 otherwise; always 0 if the
/// caller named no failure domain.
fn distance(view: &View, near_domain: Option<&str>, member: &Member) -> u8 {
    let Some(near_domain) = near_domain else {
        return 0;
    };
    let region = view.configuration.region(near_domain);
    if &*member.failure_domain == near_domain {
        0
    } else if region.is_some() && view.configuration.region(&member.failure_domain) == region {
        1
    } else {
        2
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use rand::SeedableRng as _;
    use rand_chacha::ChaCha8Rng;

    use super::*;
    use crate::configuration::{
        Configuration,
        FailureDomain, //
    };

    fn view() -> View {
        let member = |name: &str, domain: &str| Member {
            instance: name.into(),
            incarnation: 1,
            failure_domain: domain.into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: name == "leaving",
            suspect: name == "suspect",
            revision: 1,
        };
        let domain = |name: &str, region: &str| FailureDomain {
            name: name.into(),
            region: region.into(),
        };
        let configuration = Configuration {
            failure_domains: vec![
                domain("saiq", "oman"),
                domain("shams", "oman"),
                domain("uppsala", "sweden"),
            ],
            ..Configuration::default()
        };
        View {
            members: Arc::new(vec![
                member("far", "uppsala"),
                member("leaving", "saiq"),
                member("near", "saiq"),
                member("region", "shams"),
                member("suspect", "saiq"),
            ]),
            configuration: Arc::new(configuration),
            ..View::default()
        }
    }

    #[test]
    fn entries_are_sorted_by_distance_and_omit_suspect_and_leaving_instances() {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let answer = entries(&view(), Some("saiq"), None, &mut rng);
            let names: Vec<&str> = answer
                .entries
                .iter()
                .map(|entry| &*entry.instance)
                .collect();
            assert_eq!(names, ["near", "region", "far"]);
        }
    }
}
