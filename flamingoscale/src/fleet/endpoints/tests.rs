//! What the list says, in whatever order, and what was seen.

use super::*;
use crate::fleet::fixtures::{
    endpoints,
    listing, //
};

#[test]
fn news_of_one_incarnation_never_goes_back() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 3)]);
    let mut leaving = listing("e1", "saiq", 2);
    leaving.draining = true;
    endpoints.update(leaving);
    endpoints.update(listing("e1", "saiq", 1));
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.get(key).listing.draining);
    assert_eq!(endpoints.get(key).version("notes"), Some(3));
}

#[test]
fn a_restart_under_the_same_id_is_another_endpoint() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 3)]);
    let before = endpoints.find("e1").unwrap();
    endpoints.request_sent(before);
    let mut again = listing("e1", "saiq", 1);
    again.started_unix_ms = 2;
    endpoints.update(again);
    let after = endpoints.find("e1").unwrap();
    assert!(before != after && endpoints.get(before).gone);
    assert_eq!(endpoints.get(after).in_flight, 0);
    // A record of the incarnation before that comes late changes nothing.
    endpoints.update(listing("e1", "saiq", 9));
    assert_eq!(endpoints.find("e1"), Some(after));
}

#[test]
fn an_endpoint_that_vanished_and_came_back_takes_work_again() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    endpoints.remove("e1");
    assert!(endpoints.ids().is_empty());
    endpoints.update(listing("e1", "saiq", 1));
    assert_eq!(endpoints.of_service("drafting").count(), 1);
}

#[test]
fn failures_shun_for_longer_and_an_answer_ends_it() {
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
    endpoints.answered(key, 20.0);
    assert!(!endpoints.get(key).in_backoff(0));
}
