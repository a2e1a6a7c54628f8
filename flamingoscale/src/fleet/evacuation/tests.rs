//! Tests for the order of evacuations and their revocations, and for the endpoints that they concern.

use super::*;
use crate::fleet::{
    choice::choose,
    endpoints::{
        Endpoint,
        EndpointKey,
        Endpoints, //
    },
    fixtures::{
        endpoints,
        listing, //
    }, //
};

/// Returns endpoints in two failure domains.
fn two_domains() -> Endpoints {
    endpoints(&[
        listing("a1", "saiq", 1),
        listing("a2", "saiq", 1),
        listing("b1", "shams", 1),
    ])
}

fn chosen(endpoints: &Endpoints) -> Option<EndpointKey> {
    let is_candidate = |_, _: &Endpoint| true;
    choose(endpoints, "drafting", "saiq", &is_candidate, 1_000)
}

/// Guards against requests to an evacuated domain, also to endpoints that appear there, and against a
/// refusal while another domain is in use.
#[test]
fn endpoints_of_evacuated_domains_accept_no_work() {
    let mut endpoints = two_domains();
    let (saiq, shams): (Arc<str>, Arc<str>) = ("saiq".into(), "shams".into());
    assert!(endpoints.evacuate(&saiq, 5, false, 100).begun);
    endpoints.update(listing("a3", "saiq", 1));
    let mut moved = listing("a1", "saiq", 1);
    moved.address = "10.128.0.10:8080".into();
    endpoints.update(moved);
    assert_eq!(chosen(&endpoints), endpoints.find("b1"));
    assert!(!endpoints.is_evacuated("drafting"));
    assert!(endpoints.evacuate(&shams, 6, false, 200).begun);
    assert_eq!(chosen(&endpoints), None);
    assert!(endpoints.is_evacuated("drafting") && !endpoints.is_evacuated("other"));
    assert_eq!(endpoints.end_evacuation("saiq", 7, 400), Some(300));
    for id in ["a1", "a2", "a3"] {
        let key = endpoints.find(id).unwrap();
        assert!(endpoints.get(key).accepts_work(), "{id}");
    }
    assert!(!endpoints.get(endpoints.find("b1").unwrap()).accepts_work());
}

/// Guards against a request that was chosen before the evacuation: the key of an endpoint that moved to
/// another address meanwhile still says that the domain is evacuated.
#[test]
fn keys_from_before_the_evacuation_are_marked() {
    let mut endpoints = two_domains();
    let chosen_before = chosen(&endpoints).unwrap();
    let mut moved = endpoints.get(chosen_before).listing.clone();
    moved.address = "10.128.0.10:8080".into();
    endpoints.update(moved);
    endpoints.evacuate(&"saiq".into(), 5, false, 100);
    assert!(endpoints.get(chosen_before).evacuated);
}

/// Guards against an instance that was cut off while the evacuation was written, revoked and written
/// again: whatever it reads first, the domain is evacuated in the end.
#[test]
fn evacuation_that_was_revoked_and_written_again_is_in_force() {
    let domain: Arc<str> = "saiq".into();
    let mut followed = Evacuations::default();
    assert!(followed.written(&domain, 5, false, 100).begun);
    assert_eq!(followed.removed("saiq", 6, 200), Some(100));
    assert!(followed.written(&domain, 7, false, 200).begun);
    // The newest records hold only the last one.
    let mut jumped = Evacuations::default();
    assert!(jumped.written(&domain, 5, false, 100).begun);
    let present = HashSet::from(["saiq"]);
    assert!(jumped.missing(&present, 8).is_empty());
    assert!(!jumped.written(&domain, 7, false, 200).begun);
    // A removal that is older than the evacuation changes nothing.
    for evacuations in [&mut followed, &mut jumped] {
        assert_eq!(evacuations.removed("saiq", 6, 300), None);
        assert!(evacuations.contains("saiq"));
    }
}

/// Guards against an evacuation that lasts for ever because its removal was never read, and against one
/// that ends because the newest records are older than its record.
#[test]
fn keys_that_are_missing_in_the_newest_records_were_removed() {
    let mut evacuations = Evacuations::default();
    evacuations.written(&"saiq".into(), 5, false, 100);
    evacuations.written(&"shams".into(), 9, false, 100);
    let missing = evacuations.missing(&HashSet::new(), 9);
    assert_eq!(missing, [Arc::from("saiq")]);
    assert!(evacuations.removed("saiq", 9, 200).is_some());
    assert!(evacuations.contains("shams") && !evacuations.contains("saiq"));
}

/// Guards against a malformed record that does not evacuate, or that is reported with every copy.
#[test]
fn malformed_records_evacuate_and_are_reported_once() {
    let mut evacuations = Evacuations::default();
    let domain: Arc<str> = "saiq".into();
    let first = evacuations.written(&domain, 5, true, 100);
    assert!(first.begun && first.newly_malformed);
    let second = evacuations.written(&domain, 6, true, 100);
    assert!(!second.begun && !second.newly_malformed);
    assert_eq!(
        evacuations.written(&"".into(), 7, false, 100),
        Written::default()
    );
    assert!(!evacuations.contains(""));
}

/// Guards against missing or repeated reports: a domain without endpoints is reported once, and the last
/// request that ends in a domain once.
#[test]
fn observations_are_reported_once() {
    let mut endpoints = two_domains();
    let key = endpoints.find("a1").unwrap();
    endpoints.request_sent(key);
    endpoints.evacuate(&"saiq".into(), 5, false, 100);
    endpoints.evacuate(&"nowhere".into(), 6, false, 100);
    let (nowhere, saiq): (Arc<str>, Arc<str>) = ("nowhere".into(), "saiq".into());
    assert_eq!(
        endpoints.observe_evacuations(200),
        [
            Observation::NoEndpoints {
                domain: nowhere.clone()
            },
            Observation::Drained {
                domain: nowhere,
                took_ms: 100
            },
        ]
    );
    assert!(endpoints.observe_evacuations(300).is_empty());
    endpoints.request_finished(key);
    let drained = Observation::Drained {
        domain: saiq,
        took_ms: 300,
    };
    assert_eq!(endpoints.observe_evacuations(400), [drained]);
    assert!(endpoints.observe_evacuations(500).is_empty());
}
