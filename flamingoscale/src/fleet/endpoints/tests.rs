//! Tests for listings that arrive out of order, restarts of endpoints and backoff.

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

#[test]
fn older_listing_of_same_incarnation_reverts_nothing() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 3)]);
    let mut draining_listing = listing("e1", "saiq", 2);
    draining_listing.draining = true;
    endpoints.update(draining_listing);
    endpoints.update(listing("e1", "saiq", 1));
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.get(key).listing.draining);
    assert_eq!(endpoints.get(key).version("notes"), Some(3));
}

#[test]
fn restart_with_same_id_is_a_new_endpoint() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 3)]);
    let before = endpoints.find("e1").unwrap();
    endpoints.request_sent(before);
    let mut restarted = listing("e1", "saiq", 1);
    restarted.started_unix_ms = 2;
    endpoints.update(restarted);
    let after = endpoints.find("e1").unwrap();
    assert!(before != after && endpoints.get(before).delisted);
    assert_eq!(endpoints.get(after).in_flight, 0);
    // A late listing of the previous incarnation is ignored.
    endpoints.update(listing("e1", "saiq", 9));
    assert_eq!(endpoints.find("e1"), Some(after));
}

#[test]
fn relisted_endpoint_gets_work_again() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    endpoints.remove("e1");
    assert!(endpoints.ids().is_empty());
    endpoints.update(listing("e1", "saiq", 1));
    assert_eq!(endpoints.of_service("drafting").count(), 1);
}

#[test]
fn backoff_grows_with_failures_and_ends_with_a_response() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    endpoints.failed(key, 0);
    assert!(
        endpoints.get(key).in_backoff(BASE_BACKOFF_MS - 1)
            && !endpoints.get(key).in_backoff(BASE_BACKOFF_MS)
    );
    for _ in 0..9 {
        endpoints.failed(key, 0);
    }
    assert!(!endpoints.get(key).in_backoff(MAX_BACKOFF_MS));
    endpoints.failed(key, 0);
    endpoints.response_received(key, 20.0);
    assert!(!endpoints.get(key).in_backoff(0));
}
