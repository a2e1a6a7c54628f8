use super::*;
use crate::{
    configuration::{
        FailureDomain,
        ServiceKind, //
    },
    demand::ServiceLoad, //
};

const LOOK_MS: u64 = 1_000;
const SLOTS: u32 = 10;

/// Looks after which a fleet has shrunk to what a lower load needs.
const SHRUNK_LOOKS: u32 = 600;

/// A policy with a platform that obeys, but for what is shut.
struct Bench {
    now_ms: u64,
    configuration: Configuration,
    policy: Policy,
    listed: Vec<PlatformEndpoint>,
    shut: Vec<(Arc<str>, Tier)>,
    load: Option<u32>,
    orders: u64,
    starts: u32,
    stops: u32,
}

impl Bench {
    fn new(floor: u32, ceiling: u32, domains: &[&str]) -> Self {
        let service = Service {
            name: "drafting".into(),
            kind: ServiceKind::Engine,
            idempotent: true,
            open: false,
            firm_floor: floor,
            ceiling,
            slots: SLOTS,
            checks_fencing: true,
        };
        let domains = domains.iter().map(|name| FailureDomain {
            name: (*name).into(),
            region: "hajar".into(),
        });
        Self {
            now_ms: 0,
            configuration: Configuration {
                services: vec![service],
                failure_domains: domains.collect(),
                ..Configuration::default()
            },
            policy: Policy::new(1),
            listed: Vec::new(),
            shut: Vec::new(),
            load: Some(0),
            orders: 0,
            starts: 0,
            stops: 0,
        }
    }

    fn look(&mut self) {
        self.now_ms += LOOK_MS;
        let load = |interactive| ServiceLoad {
            interactive,
            ..ServiceLoad::default()
        };
        let loads = self
            .load
            .map(|interactive| Loads::from([("drafting".into(), load(interactive))]));
        let facts = Facts {
            configuration: &self.configuration,
            listed: &self.listed,
            open: &BTreeMap::new(),
            loads: loads.as_ref(),
        };
        for action in self.policy.decide(self.now_ms, &facts) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: PlatformAction) {
        match &action {
            PlatformAction::Start {
                service,
                failure_domain,
                tier,
            } => {
                if self.shut.contains(&(failure_domain.clone(), *tier)) {
                    return self.policy.unavailable(self.now_ms, &action);
                }
                self.orders += 1;
                self.starts += 1;
                self.listed.push(PlatformEndpoint {
                    endpoint: format!("e{}", self.orders).into(),
                    service: service.clone(),
                    failure_domain: failure_domain.clone(),
                    address: "127.0.0.1:1".into(),
                    tier: *tier,
                    phase: EndpointPhase::Running,
                    order: self.orders,
                });
            }
            PlatformAction::Stop { endpoint } => {
                self.stops += 1;
                self.listed.retain(|there| there.endpoint != *endpoint);
            }
        }
    }

    fn run(&mut self, looks: u32) {
        for _ in 0..looks {
            self.look();
        }
    }

    fn count(&self, domain: Option<&str>, tier: Option<Tier>) -> usize {
        let there = self.listed.iter().filter(|endpoint| {
            domain.is_none_or(|domain| *endpoint.failure_domain == *domain)
                && tier.is_none_or(|tier| endpoint.tier == tier)
                && endpoint.phase != EndpointPhase::Leaving
        });
        there.count()
    }

    fn survivors(&self) -> usize {
        let domains = self.configuration.failure_domains.iter();
        let fullest = domains.map(|domain| self.count(Some(&domain.name), None));
        self.count(None, None) - fullest.max().unwrap_or(0)
    }
}

const FOUR: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];

#[test]
fn losing_any_failure_domain_leaves_the_floor() {
    for floor in 1..9 {
        for domains in 2..5 {
            let mut bench = Bench::new(floor, 40, &FOUR[..domains]);
            bench.run(5);
            assert!(
                bench.survivors() >= floor as usize,
                "{floor} over {domains}"
            );
            assert_eq!(bench.count(None, Some(Tier::Firm)), floor as usize);
            let most = surviving_size(floor, domains as u32) as usize;
            assert_eq!(bench.count(None, None), most);
        }
    }
}

#[test]
fn the_fleet_follows_the_load_without_flapping() {
    let mut bench = Bench::new(2, 12, &FOUR);
    bench.run(5);
    let least = bench.count(None, None);
    bench.load = Some(70);
    bench.run(10);
    assert_eq!(bench.count(None, None), 9);
    assert_eq!(bench.count(None, Some(Tier::Firm)), 2);
    let starts = bench.starts;
    for round in 0..2 * SHRUNK_LOOKS {
        bench.load = Some(if round % 20 < 10 { 70 } else { 30 });
        bench.look();
    }
    assert_eq!((bench.starts, bench.stops), (starts, 0));
    bench.load = Some(0);
    bench.run(SHRUNK_LOOKS);
    assert_eq!(bench.count(None, None), least);
    assert_eq!(bench.count(None, Some(Tier::Firm)), 2);
}

#[test]
fn nothing_is_stopped_while_the_load_is_unknown() {
    let mut bench = Bench::new(2, 12, &FOUR);
    bench.load = Some(80);
    bench.run(10);
    let before = bench.count(None, None);
    bench.load = None;
    bench.run(2 * SHRUNK_LOOKS);
    assert_eq!(bench.count(None, None), before);
}

#[test]
fn a_reclaimed_failure_domain_is_replaced_elsewhere_at_once() {
    let mut bench = Bench::new(2, 20, &FOUR);
    bench.load = Some(80);
    bench.run(10);
    let before = bench.count(None, None);
    for endpoint in &mut bench.listed {
        if &*endpoint.failure_domain == "shams" && endpoint.tier == Tier::Cheap {
            endpoint.phase = EndpointPhase::Leaving;
        }
    }
    bench.look();
    assert_eq!(bench.count(None, None), before);
    assert_eq!(bench.count(Some("shams"), Some(Tier::Cheap)), 0);
}

#[test]
fn a_vanished_failure_domain_is_replaced_elsewhere() {
    let mut bench = Bench::new(3, 20, &FOUR);
    bench.run(5);
    bench
        .listed
        .retain(|endpoint| &*endpoint.failure_domain != "saiq");
    for tier in [Tier::Firm, Tier::Cheap] {
        bench.shut.push(("saiq".into(), tier));
    }
    bench.run(5);
    assert_eq!(bench.count(None, Some(Tier::Firm)), 3);
    assert!(bench.survivors() >= 3);
}

#[test]
fn firm_ones_stand_in_where_no_cheap_ones_are_to_be_had() {
    let mut bench = Bench::new(2, 12, &FOUR);
    for domain in FOUR {
        bench.shut.push((domain.into(), Tier::Cheap));
    }
    bench.load = Some(60);
    bench.run(60);
    assert_eq!(bench.count(None, None), 8);
    let refused = bench.orders;
    bench.shut.clear();
    bench.load = Some(0);
    bench.run(2 * SHRUNK_LOOKS);
    assert_eq!(bench.count(None, Some(Tier::Firm)), 2);
    assert!(bench.orders >= refused);
}

#[test]
fn an_endpoint_that_never_comes_up_is_given_back() {
    let mut bench = Bench::new(1, 4, &FOUR);
    bench.run(3);
    bench.listed[0].phase = EndpointPhase::Starting;
    let stuck = bench.listed[0].endpoint.clone();
    bench.run(200);
    assert!(bench.listed.iter().all(|there| there.endpoint != stuck));
    assert_eq!(bench.count(None, Some(Tier::Firm)), 1);
}

#[test]
fn the_ceiling_and_a_single_failure_domain_are_respected() {
    let mut bench = Bench::new(2, 2, &FOUR);
    bench.load = Some(500);
    bench.run(20);
    assert_eq!(bench.count(None, None), 2);
    let mut bench = Bench::new(2, 9, &FOUR[..1]);
    bench.run(20);
    assert_eq!(bench.count(None, None), 2);
}
