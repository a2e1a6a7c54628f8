//! Tests for listings that arrive out of order, restarts of endpoints and backoff.

use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    }, //
};

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

#[test]
fn endpoint_that_says_it_leaves_gets_no_work_whatever_the_list_says() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.notice_received(key, LeavingNotice::Leaving));
    endpoints.update(listing("e1", "saiq", 2));
    assert!(!endpoints.get(key).accepts_work());
    endpoints.remove("e1");
    endpoints.update(listing("e1", "saiq", 2));
    assert!(!endpoints.get(key).accepts_work());
    // The same incarnation at another address.
    let mut moved = listing("e1", "saiq", 2);
    moved.address = "10.0.0.9:1".into();
    endpoints.update(moved);
    assert!(!endpoints.get(endpoints.find("e1").unwrap()).accepts_work());
}

#[test]
fn malformed_notice_is_ignored_and_reported_once() {
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.notice_received(key, LeavingNotice::Malformed));
    assert!(!endpoints.notice_received(key, LeavingNotice::Malformed));
    assert!(endpoints.get(key).accepts_work());
    assert!(endpoints.notice_received(key, LeavingNotice::Leaving));
    assert!(!endpoints.notice_received(key, LeavingNotice::Malformed));
    assert!(!endpoints.get(key).accepts_work());
}

/// What happens to one of three endpoints.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The list shows the endpoint, as of its newest start or of the one before, at one of two
    /// addresses.
    Listed {
        endpoint: u64,
        outdated: bool,
        address: u64,
    },
    Removed(u64),
    /// The newest start of the endpoint answers, and a former one may do so late.
    Answered {
        endpoint: u64,
        notice: LeavingNotice,
    },
    Restarted(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let endpoint = 0..3_u64;
    let notice = prop_oneof![
        2 => Just(LeavingNotice::None),
        1 => Just(LeavingNotice::Malformed),
        1 => Just(LeavingNotice::Leaving),
    ];
    let listed = (endpoint.clone(), any::<bool>(), 0..2_u64);
    prop_oneof![
        4 => listed.prop_map(|(endpoint, outdated, address)| Event::Listed {
            endpoint,
            outdated,
            address,
        }),
        1 => endpoint.clone().prop_map(Event::Removed),
        3 => (endpoint.clone(), notice)
            .prop_map(|(endpoint, notice)| Event::Answered { endpoint, notice }),
        1 => endpoint.prop_map(Event::Restarted),
    ]
}

/// Plays random histories. An endpoint accepts no work from an answer in which it says that it leaves
/// until its next start is listed. With the planted fault, a listing makes the notice void.
fn play_notices(listing_clears_notice: bool) -> Result<(), String> {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    });
    let histories = proptest::collection::vec(event(), 1..80);
    let outcome = runner.run(&histories, |events| {
        let mut endpoints = Endpoints::default();
        let mut starts = [1_u64; 3];
        // Ids and starts of the endpoints that said they leave.
        let mut left: Vec<(Arc<str>, u64)> = Vec::new();
        for event in events {
            match event {
                Event::Listed {
                    endpoint,
                    outdated,
                    address,
                } => {
                    let id = format!("e{endpoint}");
                    let mut shown = listing(&id, "saiq", 1);
                    shown.started_unix_ms = starts[endpoint as usize] - u64::from(outdated);
                    shown.address = format!("10.0.{endpoint}.{address}:1").into();
                    endpoints.update(shown);
                    if let Some(key) = endpoints.find(&id).filter(|_| listing_clears_notice) {
                        endpoints.arena[key.0 as usize].notice = LeavingNotice::None;
                    }
                }
                Event::Removed(endpoint) => endpoints.remove(&format!("e{endpoint}")),
                Event::Answered { endpoint, notice } => {
                    if let Some(key) = endpoints.find(&format!("e{endpoint}")) {
                        endpoints.notice_received(key, notice);
                        if notice == LeavingNotice::Leaving {
                            let shown = &endpoints.get(key).listing;
                            left.push((shown.id.clone(), shown.started_unix_ms));
                        }
                    }
                }
                Event::Restarted(endpoint) => starts[endpoint as usize] += 1,
            }
            for endpoint in &endpoints.arena {
                let shown = &endpoint.listing;
                let has_left = left.contains(&(shown.id.clone(), shown.started_unix_ms));
                prop_assert!(!has_left || !endpoint.accepts_work());
            }
        }
        Ok(())
    });
    outcome.map_err(|failure| failure.to_string())
}

#[test]
fn endpoint_that_left_accepts_no_work_over_random_histories() {
    play_notices(false).unwrap();
}

#[test]
fn listing_that_clears_the_notice_is_found() {
    assert!(play_notices(true).is_err());
}

#[test]
fn announced_limit_holds_until_a_later_answer_or_a_restart() {
    let limit = RateLimit::parse("2");
    let announced = |limit, seen_ms| {
        let statement = Statement {
            limit,
            leaving: false,
        };
        let announced = Announced {
            started_unix_ms: 1,
            statement,
            seen_ms,
        };
        HashMap::from([("e1".into(), announced)])
    };
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    endpoints.adopt_statements(&announced(limit, 1_000), 0);
    assert!(!endpoints.get(key).permits_requests(1));
    endpoints.limit_heard(key, None, 2_000, 0);
    endpoints.adopt_statements(&announced(limit, 1_500), 0);
    assert!(endpoints.get(key).permits_requests(1));
    endpoints.adopt_statements(&announced(limit, 2_500), 0);
    assert!(!endpoints.get(key).permits_requests(1));
    endpoints.adopt_statements(&announced(None, 3_000), 0);
    assert!(endpoints.get(key).permits_requests(1));
    let mut restarted = listing("e1", "saiq", 1);
    restarted.started_unix_ms = 2;
    endpoints.update(restarted);
    endpoints.adopt_statements(&announced(limit, 4_000), 0);
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.get(key).permits_requests(1));
}

#[test]
fn announced_notice_holds_for_one_start() {
    let announced = Announced {
        started_unix_ms: 1,
        statement: Statement {
            limit: None,
            leaving: true,
        },
        seen_ms: 1_000,
    };
    let limit_only = Announced {
        statement: Statement {
            limit: RateLimit::parse("2"),
            leaving: false,
        },
        ..announced
    };
    let both = announced.followed_by(limit_only);
    assert_eq!(both.statement.limit, RateLimit::parse("2"));
    assert!(both.statement.leaving);
    let mut endpoints = endpoints(&[listing("e1", "saiq", 1)]);
    let key = endpoints.find("e1").unwrap();
    // Another response that names no limit does not take the notice back.
    endpoints.limit_heard(key, None, 2_000, 0);
    endpoints.adopt_statements(&HashMap::from([("e1".into(), both)]), 0);
    assert!(!endpoints.get(key).accepts_work());
    let mut restarted = listing("e1", "saiq", 1);
    restarted.started_unix_ms = 2;
    endpoints.update(restarted);
    endpoints.adopt_statements(&HashMap::from([("e1".into(), both)]), 0);
    let key = endpoints.find("e1").unwrap();
    assert!(endpoints.get(key).accepts_work());
}
