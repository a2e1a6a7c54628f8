//! Tests that requests to an endpoint stay within the limit that it names.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::fleet::{
    configuration::{
        Engines,
        Service, //
    },
    fixtures::{
        batch,
        lease_message, //
        ledger_of,
    },
    record::Record, //
};

#[test]
fn limits_are_decimal_numbers() {
    let parsed = |text| RateLimit::parse(text).map(RateLimit::requests_per_s);
    assert_eq!(parsed("1.8"), Some(1.8));
    assert_eq!(parsed(" 12 "), Some(12.0));
    assert_eq!(parsed("0"), Some(0.25));
    assert_eq!(parsed("inf"), Some(1e6));
    for malformed in ["", "-1", "nan", "1,8", "fast"] {
        assert_eq!(parsed(malformed), None, "{malformed:?}");
    }
}

/// Instances that get callers' requests for one service, each with its own view of the endpoint.
struct Fleet {
    names: Vec<Arc<str>>,
    /// How much the clock of each instance is ahead, in milliseconds.
    clocks_ahead_ms: Vec<u64>,
    permits: Vec<Permits>,
    shares: Vec<Shares>,
}

impl Fleet {
    fn new(instances: usize, limit: RateLimit, parts: &[Part]) -> Self {
        let names: Vec<Arc<str>> = (0..instances)
            .map(|n| format!("front-{n}").into())
            .collect();
        let shares = Shares {
            parts: parts.to_vec(),
            instances: names.clone(),
            ..Shares::default()
        };
        Self {
            clocks_ahead_ms: vec![0; instances],
            permits: vec![Permits::new(limit, START_MS); instances],
            shares: vec![shares; instances],
            names,
        }
    }

    /// Offers `requests` requests, each to a random instance, spread evenly over `duration_ms`.
    /// Returns when the endpoint got those that an instance had a permit for.
    fn offer(&mut self, requests: u64, duration_ms: u64, random: &mut ChaCha8Rng) -> Vec<u64> {
        let mut arrivals = Vec::new();
        for request in 0..requests {
            let now_ms = START_MS + request * duration_ms / requests;
            let instance = random.random_range(0..self.names.len());
            let name = &self.names[instance];
            let shares = &self.shares[instance];
            let permits = &mut self.permits[instance];
            let wall_ms = now_ms + self.clocks_ahead_ms[instance];
            permits.deal(wall_ms, |slot| shares.owner("e1", slot) == Some(name));
            if permits.take() {
                arrivals.push(now_ms);
            }
        }
        arrivals
    }
}

const START_MS: u64 = 1_785_166_305_000;

/// Returns the largest number of arrivals within 4 s.
fn most_in_4_s(arrivals: &[u64]) -> usize {
    let in_window = |first: usize| {
        let end_ms = arrivals[first] + 4_000;
        arrivals[first..]
            .iter()
            .take_while(|at_ms| **at_ms < end_ms)
            .count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

/// The platform's rule: one and a half times what the limit allows in 4 s, and 5 requests.
fn allowed_in_4_s(limit: RateLimit) -> usize {
    (limit.requests_per_s() * 6.0 + 5.0) as usize
}

fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Fleets and limits in requests a second, from the smallest to the largest.
const FLEETS: [(usize, &str); 6] = [
    (1, "1.8"),
    (12, "0.4"),
    (12, "1.8"),
    (87, "6.6"),
    (295, "2"),
    (295, "40"),
];

/// Offers four times the limit for 100 s, and returns the arrivals.
fn overload(fleet: &mut Fleet, limit: RateLimit, seed: u64) -> Vec<u64> {
    let offered = (limit.requests_per_s() * 400.0) as u64;
    fleet.offer(offered, 100_000, &mut random(seed))
}

#[test]
fn instances_together_stay_within_the_limit() {
    for (instances, requests_per_s) in FLEETS {
        let limit = RateLimit::parse(requests_per_s).unwrap();
        let mut fleet = Fleet::new(instances, limit, &[Part::Callers]);
        let arrivals = overload(&mut fleet, limit, instances as u64);
        let most = most_in_4_s(&arrivals);
        assert!(
            most <= allowed_in_4_s(limit),
            "{most}: {instances}, {requests_per_s}/s"
        );
        let expected = limit.requests_per_s() * 100.0;
        assert!(arrivals.len() as f64 <= expected + 1.0);
    }
}

#[test]
fn instances_that_each_keep_the_limit_exceed_it_together() {
    let limit = RateLimit::parse("6.6").unwrap();
    let mut fleet = Fleet::new(87, limit, &[Part::Callers]);
    for (shares, name) in fleet.shares.iter_mut().zip(&fleet.names) {
        shares.instances = vec![name.clone()];
    }
    let arrivals = overload(&mut fleet, limit, 1);
    assert!(most_in_4_s(&arrivals) > allowed_in_4_s(limit));
}

#[test]
fn limit_is_kept_while_clocks_and_known_members_differ() {
    for (instances, requests_per_s) in FLEETS {
        let limit = RateLimit::parse(requests_per_s).unwrap();
        let mut fleet = Fleet::new(instances, limit, &[Part::Callers]);
        let mut random = random(instances as u64);
        for instance in 0..instances {
            fleet.clocks_ahead_ms[instance] = random.random_range(0..1_000);
            // Each instance misses one of the others.
            let missing = random.random_range(0..instances);
            if missing != instance {
                fleet.shares[instance].instances.remove(missing);
            }
        }
        let arrivals = overload(&mut fleet, limit, 2);
        let most = most_in_4_s(&arrivals);
        assert!(
            most <= allowed_in_4_s(limit),
            "{most}: {instances}, {requests_per_s}/s"
        );
    }
}

#[test]
fn idle_permits_are_not_saved_for_a_burst() {
    let limit = RateLimit::parse("1.5").unwrap();
    let mut fleet = Fleet::new(87, limit, &[Part::Callers]);
    for permits in &mut fleet.permits {
        permits.dealt_until_us = (START_MS - 60_000) * 1_000;
    }
    let arrivals = fleet.offer(8_000, 4_000, &mut random(3));
    assert!(
        arrivals.len() <= allowed_in_4_s(limit),
        "{}",
        arrivals.len()
    );
}

#[test]
fn instances_that_run_samples_have_their_part_of_the_slots() {
    let holder = |name: &str| Part::Samples {
        holder: name.into(),
    };
    let parts = [Part::Callers, holder("front-3"), holder("front-5")];
    let limit = RateLimit::parse("6").unwrap();
    let fleet = Fleet::new(12, limit, &parts);
    let owned = |name: &str| {
        let owns = |slot: &u64| {
            fleet.shares[0]
                .owner("e1", *slot)
                .is_some_and(|owner| **owner == *name)
        };
        (0..12_000).filter(owns).count()
    };
    for holder in ["front-3", "front-5"] {
        assert!((4_000..4_700).contains(&owned(holder)), "{}", owned(holder));
    }
    assert!(
        (250..420).contains(&owned("front-1")),
        "{}",
        owned("front-1")
    );
}

#[test]
fn close_limit_keeps_the_grid() {
    let limit = |text| RateLimit::parse(text).unwrap();
    let mut permits = Permits::new(limit("10"), START_MS);
    assert!(!permits.set_limit(limit("9.5")));
    assert_eq!(permits.limit(), limit("10"));
    assert!(permits.set_limit(limit("5")));
}

/// Returns the configuration of a service of engines for two models, with samples only.
fn engines_for(models: [&str; 2]) -> Configuration {
    let service = Service {
        name: "drafting".into(),
        engines: Some(Engines {
            models: models.map(Arc::from).to_vec(),
            ..Engines::default()
        }),
        ..Service::default()
    };
    Configuration {
        services: HashMap::from([(service.name.clone(), service)]),
        ..Configuration::default()
    }
}

#[test]
fn slots_of_engines_go_to_the_models_with_an_unfinished_batch() {
    let configuration = engines_for(["cards", "notes"]);
    let lease =
        |model: &str, holder| Record::Claim(lease_message(&format!("run/{model}"), holder, 1, 0));
    let leases = [lease("cards", "front-1"), lease("notes", "front-2")];
    let owners = |records: Vec<Record>| {
        let ledger = ledger_of(leases.iter().cloned().chain(records));
        let shares = Shares::of(&ledger, &configuration, "drafting", vec!["front-3".into()]);
        let slots = 0..1_000;
        let owners = slots.filter_map(|slot| shares.owner("e1", slot).map(ToString::to_string));
        owners.collect::<BTreeSet<_>>()
    };
    let names = |names: &[&str]| {
        names
            .iter()
            .map(ToString::to_string)
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(owners(Vec::new()), names(&["front-1", "front-2"]));
    let notes = batch("b1", 1, 1, |_, _| 10);
    assert_eq!(owners(vec![notes.clone()]), names(&["front-2"]));
    let ended = Record::BatchEnded { batch: "b1".into() };
    assert_eq!(owners(vec![notes, ended]), names(&["front-1", "front-2"]));
}

#[test]
fn instances_without_links_leave_their_slots_to_the_others() {
    let names = ["front-1", "front-2", "front-3"];
    let owners = |lost: &[&str]| {
        let links = lost.iter().map(|instance| Record::Links {
            instance: (*instance).into(),
            incarnation: 1,
            relay_address: "".into(),
            working: false,
        });
        let instances = names.map(Arc::from).to_vec();
        let (ledger, configuration) = (ledger_of(links), Configuration::default());
        let shares = Shares::of(&ledger, &configuration, "drafting", instances);
        let slots = 0..1_000;
        let owners = slots.filter_map(|slot| shares.owner("e1", slot).map(ToString::to_string));
        owners.collect::<BTreeSet<_>>()
    };
    assert_eq!(owners(&[]).len(), 3);
    assert_eq!(
        owners(&["front-1", "front-3"]),
        BTreeSet::from(["front-2".to_owned()])
    );
    assert_eq!(owners(&names).len(), 3);
}
