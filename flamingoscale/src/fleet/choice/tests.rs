//! Played choices: near and idle first, failing last.

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

fn pick(endpoints: &Endpoints, tried: &[EndpointKey]) -> Option<EndpointKey> {
    choose(endpoints, "drafting", "saiq", tried, 1_000)
}

#[test]
fn an_idle_endpoint_nearby_goes_first() {
    let endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    assert_eq!(pick(&endpoints, &[]), endpoints.find("near"));
}

#[test]
fn a_busy_endpoint_nearby_yields_to_an_idle_one() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.request_sent(near);
    assert_eq!(pick(&endpoints, &[]), endpoints.find("far"));
    endpoints.request_finished(near);
    endpoints.load_reported(near, 4, 1_000);
    assert_eq!(pick(&endpoints, &[]), endpoints.find("far"));
}

#[test]
fn a_slow_endpoint_yields() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.answered(near, 200.0);
    assert_eq!(pick(&endpoints, &[]), endpoints.find("far"));
}

#[test]
fn a_failing_endpoint_is_the_last_resort() {
    let mut endpoints = endpoints(&[listing("far", "shams", 1), listing("near", "saiq", 1)]);
    let near = endpoints.find("near").unwrap();
    endpoints.failed(near, 1_000);
    let far = endpoints.find("far").unwrap();
    assert_eq!(pick(&endpoints, &[]), Some(far));
    assert_eq!(pick(&endpoints, &[far]), Some(near));
    assert_eq!(pick(&endpoints, &[far, near]), None);
}

#[test]
fn a_leaving_endpoint_gets_nothing() {
    let mut leaving = listing("near", "saiq", 1);
    leaving.draining = true;
    assert_eq!(pick(&endpoints(&[leaving]), &[]), None);
}
