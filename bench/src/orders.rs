//! Cost and backlog of the order policy against a fixed fleet and a plain threshold policy.
//!
//! Hours of load go by in virtual time: callers in waves with bursts, steps with deadlines, cheap
//! endpoints reclaimed a failure domain at a time, and one failure domain lost whole.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use flamingoscale::{
    configuration::{
        Configuration,
        FailureDomain,
        Service,
        ServiceKind, //
    },
    controller::orders::policy::{
        Policy,
        PolicyInput, //
    },
    demand::{
        due_slots,
        Loads,
        ServiceLoad, //
    },
    wire::{
        EndpointPhase,
        PlatformAction,
        PlatformEndpoint,
        Tier, //
    }, //
};
use rand::{
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::{
    json,
    Value, //
};

use crate::output;

const SERVICE: &str = "drafting";
const DOMAINS: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];
const FLOOR: u32 = 3;
const CEILING: u32 = 24;
const SLOTS: u32 = 10;

/// Seconds of the run.
const RUN_S: u64 = 6 * 3_600;

/// Seconds until an endpoint is up.
const START_S: u64 = 40;

/// Seconds between notice and end of a reclaimed endpoint.
const NOTICE_S: u64 = 10;

/// Mean seconds between two reclaims.
const RECLAIM_EVERY_S: u64 = 1_200;

/// Seconds for which a reclaimed failure domain has no cheap endpoints to give.
const SHUT_S: u64 = 300;

/// Seconds for which one failure domain is lost whole.
const LOST_S: u64 = 600;

/// What a second of a cheap endpoint costs, that of a firm one being 1.
const CHEAP_COST: f64 = 0.3;

/// Seconds between two steps, and until each must be whole.
const STEP_EVERY_S: u64 = 300;
const STEP_DEADLINE_S: u64 = 180;
const STEP_SAMPLES: f64 = 1_024.0;
const SAMPLE_S: f64 = 4.0;

/// Endpoints of the fixed fleet: enough for the waves, not for every burst.
const FIXED: u32 = 16;

/// The threshold policy adds above this fill and removes below the other, in percent.
const ADD_ABOVE: f64 = 80.0;
const REMOVE_BELOW: f64 = 30.0;
const COOLDOWN_S: u64 = 60;

/// What decides.
trait Decider {
    fn decide(&mut self, now_s: u64, world: &World) -> Vec<PlatformAction>;

    fn refused(&mut self, _now_s: u64, _action: &PlatformAction) {}
}

struct Product {
    policy: Policy,
    configuration: Configuration,
}

impl Decider for Product {
    fn decide(&mut self, now_s: u64, world: &World) -> Vec<PlatformAction> {
        let load = ServiceLoad {
            interactive: world.callers,
            rollouts: world.samples_left.ceil() as u32,
            due_slots: due_slots(
                world.samples_left.ceil() as u32,
                (SAMPLE_S * 1_000.0) as u64,
                world.due_s.saturating_sub(now_s) * 1_000,
            ),
        };
        let loads = Loads::from([(SERVICE.into(), load)]);
        let input = PolicyInput {
            configuration: &self.configuration,
            listed: &world.listed,
            open_orders: &BTreeMap::new(),
            loads: Some(&loads),
        };
        self.policy.decide(now_s * 1_000, &input)
    }

    fn refused(&mut self, now_s: u64, action: &PlatformAction) {
        self.policy.on_unavailable(now_s * 1_000, action);
    }
}

/// Always the same number of firm endpoints, in turn over the failure domains.
struct Fixed {
    next: usize,
}

impl Decider for Fixed {
    fn decide(&mut self, _now_s: u64, world: &World) -> Vec<PlatformAction> {
        (world.live() as u32..FIXED)
            .map(|_| {
                self.next += 1;
                start(DOMAINS[self.next % DOMAINS.len()], Tier::Firm)
            })
            .collect()
    }
}

/// One cheap endpoint more above a fill, one less below another, anywhere.
struct Threshold {
    rng: ChaCha8Rng,
    last_s: u64,
}

impl Decider for Threshold {
    fn decide(&mut self, now_s: u64, world: &World) -> Vec<PlatformAction> {
        let firm = world.count(|endpoint| endpoint.tier == Tier::Firm);
        let mut wanted: Vec<PlatformAction> = (firm as u32..FLOOR)
            .map(|_| start(DOMAINS[self.rng.random_range(0..DOMAINS.len())], Tier::Firm))
            .collect();
        if now_s < self.last_s + COOLDOWN_S {
            return wanted;
        }
        let busy = f64::from(world.callers) + world.samples_left;
        let fill = 100.0 * busy / f64::from(world.capacity().max(1));
        if fill > ADD_ABOVE && (world.live() as u32) < CEILING {
            let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
            wanted.push(start(domain, Tier::Cheap));
            self.last_s = now_s;
        } else if fill < REMOVE_BELOW {
            let cheap = world.listed.iter().rev();
            let mut cheap = cheap.filter(|endpoint| endpoint.tier == Tier::Cheap);
            if let Some(endpoint) = cheap.next() {
                let endpoint = endpoint.endpoint.clone();
                wanted.push(PlatformAction::Stop { endpoint });
                self.last_s = now_s;
            }
        }
        wanted
    }
}

fn start(domain: &str, tier: Tier) -> PlatformAction {
    PlatformAction::Start {
        service: SERVICE.into(),
        failure_domain: domain.into(),
        tier,
    }
}

fn configuration() -> Configuration {
    let service = Service {
        name: SERVICE.into(),
        kind: ServiceKind::Engine,
        idempotent: true,
        open: false,
        firm_floor: FLOOR,
        ceiling: CEILING,
        slots: SLOTS,
        checks_fencing: true,
    };
    Configuration {
        services: vec![service],
        failure_domains: DOMAINS
            .map(|name| FailureDomain {
                name: name.into(),
                region: "hajar".into(),
            })
            .to_vec(),
        ..Configuration::default()
    }
}

/// What happens from outside, the same for every policy.
struct Script {
    reclaims: Vec<(u64, usize)>,
    lost: (u64, usize),
    bursts: Vec<u64>,
}

impl Script {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut reclaims = Vec::new();
        let mut at_s = 0;
        while at_s < RUN_S {
            at_s += rng.random_range(RECLAIM_EVERY_S / 2..RECLAIM_EVERY_S * 3 / 2);
            reclaims.push((at_s, rng.random_range(0..DOMAINS.len())));
        }
        let lost_s = rng.random_range(RUN_S / 4..RUN_S / 2);
        Self {
            reclaims,
            lost: (lost_s, rng.random_range(0..DOMAINS.len())),
            bursts: (0..6).map(|_| rng.random_range(0..RUN_S)).collect(),
        }
    }

    /// Callers that are there at once: a wave an hour, and bursts of five minutes.
    fn callers(&self, now_s: u64) -> u32 {
        let phase = now_s as f64 / 3_600.0 * std::f64::consts::TAU;
        let wave = 35.0 - 30.0 * phase.cos();
        let burst = self.bursts.iter();
        let burst = burst.filter(|&&at_s| (at_s..at_s + 300).contains(&now_s));
        (wave + 60.0 * burst.count() as f64) as u32
    }

    /// Whether a failure domain has nothing of a tier to give.
    fn is_shut(&self, now_s: u64, domain: usize, tier: Tier) -> bool {
        let (lost_s, lost) = self.lost;
        if lost == domain && (lost_s..lost_s + LOST_S).contains(&now_s) {
            return true;
        }
        let mut reclaims = self.reclaims.iter();
        tier == Tier::Cheap
            && reclaims.any(|&(at_s, reclaimed)| {
                reclaimed == domain && (at_s..at_s + SHUT_S).contains(&now_s)
            })
    }
}

/// The endpoints and the work.
#[derive(Default)]
struct World {
    listed: Vec<PlatformEndpoint>,
    changes_s: BTreeMap<Arc<str>, u64>,
    orders: u64,
    callers: u32,
    samples_left: f64,
    due_s: u64,
}

/// What one policy measured.
#[derive(Default)]
struct Bill {
    cost: f64,
    cheap_s: f64,
    waiting_caller_s: f64,
    late_step_s: f64,
    late_steps: u64,
    exposed_s: u64,
    starts: u64,
    stops: u64,
}

impl World {
    fn count(&self, fits: impl Fn(&PlatformEndpoint) -> bool) -> usize {
        let there = self.listed.iter();
        let there = there.filter(|endpoint| endpoint.phase != EndpointPhase::Leaving);
        there.filter(|endpoint| fits(endpoint)).count()
    }

    fn live(&self) -> usize {
        self.count(|_| true)
    }

    fn running(&self) -> usize {
        self.count(|endpoint| endpoint.phase == EndpointPhase::Running)
    }

    fn capacity(&self) -> u32 {
        self.running() as u32 * SLOTS
    }

    /// Whether the loss of one failure domain now would leave less than the floor.
    fn is_exposed(&self) -> bool {
        let fullest = DOMAINS.iter().map(|domain| {
            self.count(|endpoint| {
                *endpoint.failure_domain == **domain && endpoint.phase == EndpointPhase::Running
            })
        });
        let left = self.running() - fullest.max().unwrap_or(0);
        left < FLOOR as usize
    }

    /// What the platform does by itself.
    fn platform(&mut self, now_s: u64, script: &Script) {
        let (lost_s, lost) = script.lost;
        for endpoint in &mut self.listed {
            let domain = &endpoint.failure_domain;
            let reclaimed = script.reclaims.iter().any(|&(at_s, reclaimed)| {
                at_s == now_s && *DOMAINS[reclaimed] == **domain && endpoint.tier == Tier::Cheap
            });
            if reclaimed {
                endpoint.phase = EndpointPhase::Leaving;
                self.changes_s
                    .insert(endpoint.endpoint.clone(), now_s + NOTICE_S);
            }
            let due = self
                .changes_s
                .get(&endpoint.endpoint)
                .is_some_and(|&at_s| now_s >= at_s);
            if due && endpoint.phase == EndpointPhase::Starting {
                endpoint.phase = EndpointPhase::Running;
            }
        }
        let changes_s = &self.changes_s;
        self.listed.retain(|endpoint| {
            let vanished = now_s == lost_s && *DOMAINS[lost] == *endpoint.failure_domain;
            let gone = endpoint.phase == EndpointPhase::Leaving
                && changes_s
                    .get(&endpoint.endpoint)
                    .is_some_and(|&at_s| now_s >= at_s);
            !vanished && !gone
        });
    }

    fn carry_out(&mut self, now_s: u64, script: &Script, action: &PlatformAction) -> bool {
        match action {
            PlatformAction::Start {
                service,
                failure_domain,
                tier,
            } => {
                let domain = DOMAINS.iter().position(|name| **name == **failure_domain);
                if domain.is_none_or(|domain| script.is_shut(now_s, domain, *tier)) {
                    return false;
                }
                self.orders += 1;
                let endpoint: Arc<str> = format!("e{}", self.orders).into();
                self.changes_s.insert(endpoint.clone(), now_s + START_S);
                self.listed.push(PlatformEndpoint {
                    endpoint,
                    service: service.clone(),
                    failure_domain: failure_domain.clone(),
                    address: "".into(),
                    tier: *tier,
                    phase: EndpointPhase::Starting,
                    order: self.orders,
                });
            }
            PlatformAction::Stop { endpoint } => {
                let mut there = self.listed.iter_mut();
                if let Some(stopped) = there.find(|there| there.endpoint == *endpoint) {
                    stopped.phase = EndpointPhase::Leaving;
                    self.changes_s.insert(endpoint.clone(), now_s + NOTICE_S);
                }
            }
        }
        true
    }

    /// Callers first; what is left of the slots goes to samples.
    fn work(&mut self, now_s: u64, script: &Script, bill: &mut Bill) {
        self.callers = script.callers(now_s);
        if now_s % STEP_EVERY_S == 0 {
            self.samples_left += STEP_SAMPLES;
            self.due_s = now_s + STEP_DEADLINE_S;
        }
        let capacity = f64::from(self.capacity());
        let callers = f64::from(self.callers);
        bill.waiting_caller_s += (callers - capacity).max(0.0);
        let free = (capacity - callers).max(0.0);
        let before = self.samples_left;
        self.samples_left = (before - free / SAMPLE_S).max(0.0);
        if self.samples_left > 0.0 && now_s >= self.due_s {
            bill.late_step_s += 1.0;
            bill.late_steps += u64::from(now_s == self.due_s);
        }
    }

    fn pay(&self, bill: &mut Bill) {
        for endpoint in &self.listed {
            match endpoint.tier {
                Tier::Firm => bill.cost += 1.0,
                Tier::Cheap => {
                    bill.cost += CHEAP_COST;
                    bill.cheap_s += 1.0;
                }
            }
        }
    }
}

fn measure(script: &Script, decider: &mut dyn Decider) -> Bill {
    let (mut world, mut bill) = (World::default(), Bill::default());
    // The first minutes only build the fleet.
    for now_s in 0..RUN_S {
        world.platform(now_s, script);
        world.work(now_s, script, &mut bill);
        for action in decider.decide(now_s, &world) {
            if !world.carry_out(now_s, script, &action) {
                decider.refused(now_s, &action);
                continue;
            }
            match action {
                PlatformAction::Start { .. } => bill.starts += 1,
                PlatformAction::Stop { .. } => bill.stops += 1,
            }
        }
        world.pay(&mut bill);
        bill.exposed_s += u64::from(world.is_exposed());
    }
    bill
}

fn figures(bill: &Bill) -> Value {
    json!({
        "cost_firm_endpoint_s": bill.cost.round(),
        "cheap_endpoint_s": bill.cheap_s,
        "waiting_caller_s": bill.waiting_caller_s.round(),
        "late_step_s": bill.late_step_s,
        "late_steps": bill.late_steps,
        "steps": RUN_S / STEP_EVERY_S,
        "below_floor_if_a_domain_were_lost_s": bill.exposed_s,
        "starts": bill.starts,
        "stops": bill.stops,
    })
}

pub(crate) fn run(seed: u64) {
    let script = Script::new(seed);
    let mut product = Product {
        policy: Policy::new(seed),
        configuration: configuration(),
    };
    output::progress("orders", "the product's policy");
    let own = figures(&measure(&script, &mut product));
    output::line("orders", seed, json!({ "product": own }));
    output::progress("orders", "a plain threshold policy");
    let mut threshold = Threshold {
        rng: ChaCha8Rng::seed_from_u64(seed),
        last_s: 0,
    };
    let threshold = figures(&measure(&script, &mut threshold));
    output::line("orders", seed, json!({ "threshold": threshold }));
    output::progress("orders", "a fixed fleet");
    let fixed = figures(&measure(&script, &mut Fixed { next: 0 }));
    output::line("orders", seed, json!({ "fixed": fixed }));
    let mut baseline = fixed;
    if let (Some(all), Some(other)) = (baseline.as_object_mut(), threshold.as_object()) {
        for (name, value) in other {
            all.insert(format!("threshold_{name}"), value.clone());
        }
    }
    output::summary("orders", seed, own, baseline);
}
