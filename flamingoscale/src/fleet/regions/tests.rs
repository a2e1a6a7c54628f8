//! Tests for where requests with home regions may run and whom the directory may name.

use super::*;

/// Guards against a request that runs outside the home regions of its route or of its organisation.
#[test]
fn both_the_route_and_the_organisation_have_to_allow_a_region() {
    let (east, both): (&[Arc<str>], &[Arc<str>]) =
        (&["east".into()], &["east".into(), "west".into()]);
    for (route, organisation, region, allowed) in [
        (&[][..], &[][..], Some("north"), true),
        (&[], &[], None, true),
        (east, &[], Some("east"), true),
        (east, &[], Some("west"), false),
        (&[], east, Some("west"), false),
        (both, east, Some("west"), false),
        (both, east, Some("east"), true),
        (both, &[], None, false),
    ] {
        let found = may_run_in(route, organisation, region);
        assert_eq!(found, allowed, "{route:?} {organisation:?} {region:?}");
    }
}

/// Guards against a directory that sends callers with home regions to an instance elsewhere: only home
/// regions and the caller's own are allowed.
#[test]
fn callers_are_sent_to_home_regions_and_their_own() {
    let domains = [("saiq", "east"), ("shams", "west"), ("hamra", "north")];
    let mut homes = HomeRegions {
        domains: HashMap::from(domains.map(|(domain, region)| (domain.into(), region.into()))),
        ..HomeRegions::default()
    };
    assert!(homes.may_send_callers("unknown", "saiq"));
    homes
        .organisations
        .insert("lodges".into(), vec!["east".into()]);
    assert!(homes.may_send_callers("saiq", "hamra"));
    assert!(homes.may_send_callers("hamra", "hamra"));
    assert!(!homes.may_send_callers("shams", "hamra"));
    assert!(!homes.may_send_callers("unknown", "elsewhere"));
}
