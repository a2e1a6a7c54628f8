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
        heartbeat,
        lease_message,
        ledger_of,
        most_in, //
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
    /// Whether each instance is in contact with the others.
    confirmed: Vec<bool>,
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
            confirmed: vec![true; instances],
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
        let most = most_in(4_000, &arrivals);
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
    assert!(most_in(4_000, &arrivals) > allowed_in_4_s(limit));
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
        let most = most_in(4_000, &arrivals);
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

/// The figures of the platform: a cold endpoint bears 9 requests a second and may get 18.5.
const COLD_PER_S: f64 = 9.0;
const COLD_BOUNDS: ColdBounds = ColdBounds {
    overshoot: 1.5,
    slack: 5.0,
};

impl Fleet {
    /// Returns instances that send to one cold endpoint.
    fn cold(instances: usize, rate: ColdRate, parts: &[Part]) -> Self {
        Self {
            permits: vec![Permits::cold(rate, START_MS); instances],
            ..Self::new(instances, rate.limit, parts)
        }
    }

    /// Sets the clocks of some instances ahead by any time.
    fn jump_clocks(&mut self, instances: usize, random: &mut ChaCha8Rng) {
        for permits in 0..instances {
            let ahead_ms = random.random_range(0..3_600_000);
            self.clocks_ahead_ms[permits] = ahead_ms;
            self.permits[permits].dealt_until_us += ahead_ms * 1_000;
        }
    }

    /// Cuts the first instances off: they keep the view that they have. The others leave them out,
    /// and the last one runs all samples.
    fn cut_off(&mut self, instances: usize) {
        let count = self.names.len();
        for instance in 0..count {
            if instance < instances {
                self.confirmed[instance] = false;
                continue;
            }
            let shares = &mut self.shares[instance];
            shares.instances.drain(..instances);
            for part in &mut shares.parts {
                if let Part::Samples { holder } = part {
                    *holder = self.names[count - 1].clone();
                }
            }
        }
    }

    /// Lets all instances use all their permits for 60 s, at times that are up to `pause_ms` apart.
    /// Returns when the endpoint got the requests.
    fn use_all(&mut self, pause_ms: u64, random: &mut ChaCha8Rng) -> Vec<u64> {
        let mut arrivals = Vec::new();
        let mut now_ms = START_MS;
        while now_ms < START_MS + 60_000 {
            for (instance, permits) in self.permits.iter_mut().enumerate() {
                let (name, shares) = (&self.names[instance], &self.shares[instance]);
                let confirmed = self.confirmed[instance];
                permits.deal(now_ms + self.clocks_ahead_ms[instance], |slot| {
                    shares.may_use_cold_slot(name, "e1", slot, confirmed)
                });
                while permits.take() {
                    arrivals.push(now_ms);
                }
            }
            now_ms += random.random_range(1..=pause_ms);
        }
        arrivals
    }
}

/// Parts of a service that has callers, or runs samples, or both. Instance 0 runs all samples.
fn random_parts(random: &mut ChaCha8Rng) -> Vec<Part> {
    let samples = Part::Samples {
        holder: "front-0".into(),
    };
    let mut parts = vec![samples; random.random_range(0..4)];
    if parts.is_empty() || random.random() {
        parts.insert(0, Part::Callers);
    }
    parts
}

/// Guards against a sum over all instances that exceeds the bound while some of them are cut off
/// from the store, know different members or have clocks that jumped, at any rate.
#[test]
fn cold_endpoint_gets_no_more_than_the_bound_in_any_second() {
    for seed in 0..400 {
        let mut random = random(seed);
        let instances = random.random_range(1..=20);
        let requests_per_s = match seed % 2 {
            0 => COLD_PER_S,
            _ => random.random_range(1.0..60.0),
        };
        let rate = ColdRate::new(requests_per_s, COLD_BOUNDS, None);
        let mut fleet = Fleet::cold(instances, rate, &random_parts(&mut random));
        if seed % 3 > 0 {
            fleet.cut_off(random.random_range(0..instances));
        }
        if seed % 5 > 2 {
            fleet.jump_clocks(instances.min(2), &mut random);
        }
        if seed % 7 > 4 && instances > 2 {
            // It does not know the last one.
            fleet.shares[0].instances.pop();
        }
        let pause_ms = random.random_range(1..2_000);
        let most = most_in(1_001, &fleet.use_all(pause_ms, &mut random)) as f64;
        let allowed = requests_per_s * COLD_BOUNDS.overshoot + COLD_BOUNDS.slack;
        assert!(most <= allowed, "seed {seed}: {most}, {allowed} allowed");
    }
}

/// Guards against the sum over several cells, in each of which another instance is known as killed.
#[test]
fn cold_endpoint_gets_no_more_than_the_bound_from_cells_that_know_different_members() {
    for seed in 0..4 {
        let mut random = random(seed);
        let rate = ColdRate::new(COLD_PER_S, COLD_BOUNDS, None);
        let mut fleet = Fleet::cold(150, rate, &[Part::Callers]);
        for (number, shares) in fleet.shares.iter_mut().enumerate() {
            shares.has_cells = true;
            // The instances of a cell have names that follow one another, and it has lost its first.
            let (cell, lost) = (number / 50, 1 + number / 50);
            shares.instances.drain(cell * 50..cell * 50 + lost);
        }
        fleet.jump_clocks(2, &mut random);
        let most = most_in(1_001, &fleet.use_all(200, &mut random)) as f64;
        let allowed = COLD_PER_S * COLD_BOUNDS.overshoot + COLD_BOUNDS.slack;
        assert!(most <= allowed, "seed {seed}: {most}, {allowed} allowed");
    }
}

/// Guards against permits that lapse unused: the work of a service whose endpoints are all cold
/// goes on at their rate.
#[test]
fn cold_endpoint_gets_its_rate_when_there_is_enough_to_do() {
    for instances in [1, 2, 12, 40] {
        let rate = ColdRate::new(COLD_PER_S, COLD_BOUNDS, None);
        assert_eq!(rate.requests_per_s(), COLD_PER_S);
        let mut fleet = Fleet::cold(instances, rate, &[Part::Callers]);
        let arrivals = fleet.use_all(100, &mut random(7));
        let expected = COLD_PER_S * 60.0;
        assert!(arrivals.len() as f64 >= expected - 2.0, "{instances}");
        assert!(arrivals.len() as f64 <= expected + 2.0, "{instances}");
    }
}

/// Guards against bounds without a margin for the slots at the ends of a window.
#[test]
fn rate_is_lowered_where_the_bound_leaves_no_room() {
    for (overshoot, slack) in [(1.0, 0.0), (1.0, 5.0), (1.2, 2.0)] {
        let bounds = ColdBounds { overshoot, slack };
        let rate = ColdRate::new(COLD_PER_S, bounds, RateLimit::parse("20"));
        let mut fleet = Fleet::cold(12, rate, &[Part::Callers]);
        let most = most_in(1_001, &fleet.use_all(700, &mut random(8))) as f64;
        assert!(most <= COLD_PER_S * overshoot + slack, "{most}, {bounds:?}");
        assert!(most >= 1.0);
    }
    // A smaller limit that the endpoint names binds.
    let named = ColdRate::new(COLD_PER_S, COLD_BOUNDS, RateLimit::parse("2"));
    assert_eq!(named.requests_per_s(), 2.0);
}

/// Guards against slots that no sample uses: a cold engine serves its assigned model first.
#[test]
fn slots_of_a_cold_engine_go_to_the_instance_that_runs_its_model() {
    let configuration = engines_for(["cards", "notes"]);
    let lease =
        |model: &str, holder| Record::Claim(lease_message(&format!("run/{model}"), holder, 1, 0));
    let assignment = Record::ModelAssignment {
        engines: vec![("e1".into(), "notes".into())],
    };
    let ledger = ledger_of([
        lease("cards", "front-1"),
        lease("notes", "front-2"),
        assignment,
    ]);
    let shares = Shares::of(&ledger, &configuration, "drafting", vec!["front-3".into()]);
    let may = |instance: &str, endpoint: &str| {
        let slots = 0..1_000;
        let used = slots.filter(|slot| shares.may_use_cold_slot(instance, endpoint, *slot, true));
        used.count()
    };
    assert_eq!((may("front-1", "e1"), may("front-2", "e1")), (0, 1_000));
    assert_eq!((may("front-1", "e2"), may("front-2", "e2")), (500, 500));
}

/// Guards against an instance that goes on with all of its slots after the others gave them away.
#[test]
fn instance_is_confirmed_while_it_reads_and_is_heard() {
    let ledger = ledger_of([heartbeat("front-1", 1)]);
    let confirmed =
        |fleet_read_ms, now_ms| is_confirmed(&ledger, "front-1", fleet_read_ms, 2_600, now_ms);
    assert!(confirmed(500, 1_400));
    assert!(!confirmed(500, 2_100), "no read of the fleet topic");
    assert!(!confirmed(2_400, 2_400), "no own heartbeat");
    assert!(!is_confirmed(&ledger, "front-2", 500, 2_600, 600));
}
