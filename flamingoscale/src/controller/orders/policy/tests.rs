use super::*;
use crate::{
    configuration::{
        FailureDomain,
        ServiceKind, //
    },
    demand::ServiceLoad, //
};

/// Virtual time between two reconcile cycles.
const CYCLE_MS: u64 = 1_000;
/// Slots of one endpoint.
const SLOTS: u32 = 10;

/// Number of cycles after which a fleet has shrunk to the size that a lower load needs.
const SHRINK_CYCLES: u32 = 600;

/// A policy and a platform that carries out every order except for unavailable placements.
struct Harness {
    now_ms: u64,
    configuration: Configuration,
    policy: Policy,
    listed: Vec<PlatformEndpoint>,
    unavailable: Vec<(Arc<str>, Tier)>,
    load: Option<u32>,
    orders: u64,
    starts: u32,
    stops: u32,
}

impl Harness {
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
            unavailable: Vec::new(),
            load: Some(0),
            orders: 0,
            starts: 0,
            stops: 0,
        }
    }

    fn run_cycle(&mut self) {
        self.now_ms += CYCLE_MS;
        let load = |interactive| ServiceLoad {
            interactive,
            ..ServiceLoad::default()
        };
        let loads = self
            .load
            .map(|interactive| Loads::from([("drafting".into(), load(interactive))]));
        let input = PolicyInput {
            configuration: &self.configuration,
            listed: &self.listed,
            open_orders: &BTreeMap::new(),
            loads: loads.as_ref(),
        };
        for action in self.policy.decide(self.now_ms, &input) {
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
                if self.unavailable.contains(&(failure_domain.clone(), *tier)) {
                    return self.policy.on_unavailable(self.now_ms, &action);
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
                self.listed.retain(|listed| listed.endpoint != *endpoint);
            }
        }
    }

    fn run(&mut self, cycles: u32) {
        for _ in 0..cycles {
            self.run_cycle();
        }
    }

    fn count(&self, domain: Option<&str>, tier: Option<Tier>) -> usize {
        let matching = self.listed.iter().filter(|endpoint| {
            domain.is_none_or(|domain| *endpoint.failure_domain == *domain)
                && tier.is_none_or(|tier| endpoint.tier == tier)
                && endpoint.phase != EndpointPhase::Leaving
        });
        matching.count()
    }

    /// Returns the number of endpoints left after the loss of the fullest failure domain.
    fn survivors(&self) -> usize {
        let domains = self.configuration.failure_domains.iter();
        let fullest = domains.map(|domain| self.count(Some(&domain.name), None));
        self.count(None, None) - fullest.max().unwrap_or(0)
    }
}

const DOMAINS: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];

#[test]
fn firm_floor_survives_loss_of_any_failure_domain() {
    for floor in 1..9 {
        for domains in 2..5 {
            let mut harness = Harness::new(floor, 40, &DOMAINS[..domains]);
            harness.run(5);
            assert!(
                harness.survivors() >= floor as usize,
                "firm floor of {floor} in {domains} failure domains"
            );
            assert_eq!(harness.count(None, Some(Tier::Firm)), floor as usize);
            let expected = surviving_size(floor, domains as u32) as usize;
            assert_eq!(harness.count(None, None), expected);
        }
    }
}

#[test]
fn fleet_size_follows_load_without_flapping() {
    let mut harness = Harness::new(2, 12, &DOMAINS);
    harness.run(5);
    let min_size = harness.count(None, None);
    harness.load = Some(70);
    harness.run(10);
    assert_eq!(harness.count(None, None), 9);
    assert_eq!(harness.count(None, Some(Tier::Firm)), 2);
    let starts = harness.starts;
    for round in 0..2 * SHRINK_CYCLES {
        harness.load = Some(if round % 20 < 10 { 70 } else { 30 });
        harness.run_cycle();
    }
    assert_eq!((harness.starts, harness.stops), (starts, 0));
    harness.load = Some(0);
    harness.run(SHRINK_CYCLES);
    assert_eq!(harness.count(None, None), min_size);
    assert_eq!(harness.count(None, Some(Tier::Firm)), 2);
}

#[test]
fn no_endpoint_is_stopped_while_load_is_unknown() {
    let mut harness = Harness::new(2, 12, &DOMAINS);
    harness.load = Some(80);
    harness.run(10);
    let size_before = harness.count(None, None);
    harness.load = None;
    harness.run(2 * SHRINK_CYCLES);
    assert_eq!(harness.count(None, None), size_before);
}

#[test]
fn reclaimed_cheap_endpoints_are_replaced_in_other_domains() {
    let mut harness = Harness::new(2, 20, &DOMAINS);
    harness.load = Some(80);
    harness.run(10);
    let size_before = harness.count(None, None);
    for endpoint in &mut harness.listed {
        if &*endpoint.failure_domain == "shams" && endpoint.tier == Tier::Cheap {
            endpoint.phase = EndpointPhase::Leaving;
        }
    }
    harness.run_cycle();
    assert_eq!(harness.count(None, None), size_before);
    assert_eq!(harness.count(Some("shams"), Some(Tier::Cheap)), 0);
}

#[test]
fn lost_failure_domain_is_replaced_in_other_domains() {
    let mut harness = Harness::new(3, 20, &DOMAINS);
    harness.run(5);
    harness
        .listed
        .retain(|endpoint| &*endpoint.failure_domain != "saiq");
    for tier in [Tier::Firm, Tier::Cheap] {
        harness.unavailable.push(("saiq".into(), tier));
    }
    harness.run(5);
    assert_eq!(harness.count(None, Some(Tier::Firm)), 3);
    assert!(harness.survivors() >= 3);
}

#[test]
fn firm_endpoints_substitute_for_unavailable_cheap_endpoints() {
    let mut harness = Harness::new(2, 12, &DOMAINS);
    for domain in DOMAINS {
        harness.unavailable.push((domain.into(), Tier::Cheap));
    }
    harness.load = Some(60);
    harness.run(60);
    assert_eq!(harness.count(None, None), 8);
    let orders_before = harness.orders;
    harness.unavailable.clear();
    harness.load = Some(0);
    harness.run(2 * SHRINK_CYCLES);
    assert_eq!(harness.count(None, Some(Tier::Firm)), 2);
    assert!(harness.orders >= orders_before);
}

#[test]
fn endpoint_that_never_starts_is_stopped() {
    let mut harness = Harness::new(1, 4, &DOMAINS);
    harness.run(3);
    harness.listed[0].phase = EndpointPhase::Starting;
    let stuck = harness.listed[0].endpoint.clone();
    harness.run(200);
    assert!(harness.listed.iter().all(|listed| listed.endpoint != stuck));
    assert_eq!(harness.count(None, Some(Tier::Firm)), 1);
}

#[test]
fn size_respects_ceiling_and_single_failure_domain() {
    let mut harness = Harness::new(2, 2, &DOMAINS);
    harness.load = Some(500);
    harness.run(20);
    assert_eq!(harness.count(None, None), 2);
    let mut harness = Harness::new(2, 9, &DOMAINS[..1]);
    harness.run(20);
    assert_eq!(harness.count(None, None), 2);
}
