//! Tests for the order of preference: idle endpoints in the same failure domain come first, failing
//! endpoints come last.

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

fn choose_untried(endpoints: &Endpoints, tried: &[EndpointKey]) -> Option<EndpointKey> {
    let is_untried = |key, _: &Endpoint| !tried.contains(&key);
    choose(endpoints, "drafting", "saiq", &is_untried, 1_000)
}

#[test]
fn idle_endpoint_in_same_domain_is_preferred() {
    let endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    assert_eq!(choose_untried(&endpoints, &[]), endpoints.find("near"));
}

#[test]
fn idle_endpoint_in_other_domain_beats_busy_one() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.request_sent(near);
    assert_eq!(choose_untried(&endpoints, &[]), endpoints.find("far"));
    endpoints.request_finished(near);
    endpoints.load_reported(near, 4, 1_000);
    assert_eq!(choose_untried(&endpoints, &[]), endpoints.find("far"));
}

#[test]
fn fast_endpoint_in_other_domain_beats_slow_one() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.response_received(near, 200.0);
    assert_eq!(choose_untried(&endpoints, &[]), endpoints.find("far"));
}

#[test]
fn failing_endpoint_is_chosen_last() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.failed(near, 1_000);
    let far = endpoints.find("far").unwrap();
    assert_eq!(choose_untried(&endpoints, &[]), Some(far));
    assert_eq!(choose_untried(&endpoints, &[far]), Some(near));
    assert_eq!(choose_untried(&endpoints, &[far, near]), None);
}

#[test]
fn draining_endpoint_is_not_chosen() {
    let mut draining_listing = listing("near", "saiq", 1);
    draining_listing.draining = true;
    assert_eq!(choose_untried(&endpoints(&[draining_listing]), &[]), None);
}

/// Guards against lookups that wait for a slow machine, and against a choice by reports of slowdowns
/// that are over.
#[test]
fn endpoint_on_a_slow_machine_is_avoided_while_its_report_is_fresh() {
    let mut endpoints = endpoints(&[listing("a", "saiq", 1), listing("b", "saiq", 1)]);
    let [a, b] = ["a", "b"].map(|id| endpoints.find(id).unwrap());
    for key in [a, b] {
        endpoints.work_factor_reported(key, 1.0, 0);
    }
    assert_eq!(choose_untried(&endpoints, &[]), Some(a));
    endpoints.work_factor_reported(a, 2.5, 990);
    assert_eq!(choose_untried(&endpoints, &[]), Some(b));
    assert!(!fits_hedge(endpoints.get(a), 1_000) && fits_hedge(endpoints.get(b), 1_000));
    // A busy endpoint is no better than a slow one, and an old report says little.
    (0..3).for_each(|_| endpoints.request_sent(b));
    assert_eq!(choose_untried(&endpoints, &[]), Some(a));
    assert!(fits_hedge(endpoints.get(a), 1_500));
}
