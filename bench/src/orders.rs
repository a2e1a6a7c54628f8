//! Cost and backlog of the order policy, compared with a fixed fleet and a threshold policy.
//!
//! Hours of load are simulated in virtual time: callers in waves with bursts, rollout steps with
//! deadlines, cheap endpoints that are reclaimed one failure domain at a time, and the loss of a
//! whole failure domain.

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

/// The only service in the simulation.
const SERVICE: &str = "drafting";
/// Failure domains in which endpoints can be started.
const FAILURE_DOMAINS: [&str; 4] = ["saiq", "shams", "nizwa", "hamra"];
/// Minimum number of firm endpoints of the service.
const FIRM_FLOOR: u32 = 3;
/// Maximum number of endpoints of the service.
const CEILING: u32 = 24;
/// Number of requests that an endpoint serves concurrently.
const SLOTS: u32 = 10;

/// Virtual duration of the run.
const RUN_S: u64 = 6 * 3_600;

/// Time from the start order until the endpoint is running.
const STARTUP_S: u64 = 40;

/// Time from the notice that an endpoint is reclaimed or stopped until it is removed.
const NOTICE_S: u64 = 10;

/// Mean time between two reclaims.
const MEAN_RECLAIM_INTERVAL_S: u64 = 1_200;

/// Time for which no cheap endpoints are available in a failure domain after a reclaim.
const CHEAP_UNAVAILABLE_S: u64 = 300;

/// Duration of the loss of a failure domain.
const DOMAIN_OUTAGE_S: u64 = 600;

/// Cost of a cheap endpoint per second, relative to that of a firm one.
const CHEAP_COST: f64 = 0.3;

/// Interval between the starts of two rollout steps.
const STEP_INTERVAL_S: u64 = 300;

/// Time from the start of a rollout step to its deadline.
const STEP_DEADLINE_S: u64 = 180;

/// Number of samples that each rollout step generates.
const SAMPLES_PER_STEP: f64 = 1_024.0;

/// Time that one slot needs to generate a sample.
const SECONDS_PER_SAMPLE: f64 = 4.0;

/// Size of the fixed fleet, which suffices for the waves but not for every burst.
const FIXED_ENDPOINTS: u32 = 16;

/// Slot utilisation above which the threshold policy adds an endpoint.
const ADD_ABOVE_PERCENT: f64 = 80.0;

/// Slot utilisation below which the threshold policy removes an endpoint.
const REMOVE_BELOW_PERCENT: f64 = 30.0;

/// Minimum time between two changes of the fleet by the threshold policy.
const THRESHOLD_COOLDOWN_S: u64 = 60;

/// A policy that decides when endpoints are started and stopped.
trait ScalingPolicy {
    fn decide(&mut self, now_s: u64, simulation: &Simulation) -> Vec<PlatformAction>;

    /// Called when the platform cannot execute an action.
    fn on_refused(&mut self, _now_s: u64, _action: &PlatformAction) {}
}

/// The order policy of flamingoscale.
struct ProductPolicy {
    policy: Policy,
    configuration: Configuration,
}

impl ScalingPolicy for ProductPolicy {
    fn decide(&mut self, now_s: u64, simulation: &Simulation) -> Vec<PlatformAction> {
        let load = ServiceLoad {
            interactive: simulation.callers,
            rollouts: simulation.pending_samples.ceil() as u32,
            due_slots: due_slots(
                simulation.pending_samples.ceil() as u32,
                (SECONDS_PER_SAMPLE * 1_000.0) as u64,
                simulation.step_deadline_s.saturating_sub(now_s) * 1_000,
            ),
        };
        let loads = Loads::from([(SERVICE.into(), load)]);
        let input = PolicyInput {
            configuration: &self.configuration,
            listed: &simulation.listed,
            open_orders: &BTreeMap::new(),
            loads: Some(&loads),
        };
        self.policy.decide(now_s * 1_000, &input)
    }

    fn on_refused(&mut self, now_s: u64, action: &PlatformAction) {
        self.policy.on_unavailable(now_s * 1_000, action);
    }
}

/// Keeps a fixed number of firm endpoints, assigned to the failure domains in turn.
struct FixedFleet {
    next_domain: usize,
}

impl ScalingPolicy for FixedFleet {
    fn decide(&mut self, _now_s: u64, simulation: &Simulation) -> Vec<PlatformAction> {
        (simulation.live_endpoints() as u32..FIXED_ENDPOINTS)
            .map(|_| {
                self.next_domain += 1;
                start_action(
                    FAILURE_DOMAINS[self.next_domain % FAILURE_DOMAINS.len()],
                    Tier::Firm,
                )
            })
            .collect()
    }
}

/// Keeps the firm floor, and adds or removes one cheap endpoint at a time when the slot utilisation
/// crosses a threshold. Endpoints are started in random failure domains.
struct ThresholdPolicy {
    rng: ChaCha8Rng,
    last_change_s: u64,
}

impl ScalingPolicy for ThresholdPolicy {
    fn decide(&mut self, now_s: u64, simulation: &Simulation) -> Vec<PlatformAction> {
        let firm = simulation.count(|endpoint| endpoint.tier == Tier::Firm);
        let mut actions: Vec<PlatformAction> = (firm as u32..FIRM_FLOOR)
            .map(|_| {
                start_action(
                    FAILURE_DOMAINS[self.rng.random_range(0..FAILURE_DOMAINS.len())],
                    Tier::Firm,
                )
            })
            .collect();
        if now_s < self.last_change_s + THRESHOLD_COOLDOWN_S {
            return actions;
        }
        let used_slots = f64::from(simulation.callers) + simulation.pending_samples;
        let fill_percent = 100.0 * used_slots / f64::from(simulation.capacity().max(1));
        if fill_percent > ADD_ABOVE_PERCENT && (simulation.live_endpoints() as u32) < CEILING {
            let domain = FAILURE_DOMAINS[self.rng.random_range(0..FAILURE_DOMAINS.len())];
            actions.push(start_action(domain, Tier::Cheap));
            self.last_change_s = now_s;
        } else if fill_percent < REMOVE_BELOW_PERCENT {
            let cheap = simulation.listed.iter().rev();
            let mut cheap = cheap.filter(|endpoint| endpoint.tier == Tier::Cheap);
            if let Some(endpoint) = cheap.next() {
                let endpoint = endpoint.endpoint.clone();
                actions.push(PlatformAction::Stop { endpoint });
                self.last_change_s = now_s;
            }
        }
        actions
    }
}

fn start_action(domain: &str, tier: Tier) -> PlatformAction {
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
        firm_floor: FIRM_FLOOR,
        ceiling: CEILING,
        slots: SLOTS,
        checks_fencing: true,
    };
    Configuration {
        services: vec![service],
        failure_domains: FAILURE_DOMAINS
            .map(|name| FailureDomain {
                name: name.into(),
                region: "hajar".into(),
            })
            .to_vec(),
        ..Configuration::default()
    }
}

/// External events, which are the same for every policy. Times are in seconds from the start.
struct Scenario {
    /// Time of each reclaim of cheap endpoints, and the index of the failure domain.
    reclaims: Vec<(u64, usize)>,
    /// Time at which a failure domain is lost, and its index.
    lost_domain: (u64, usize),
    /// Start of each burst of callers.
    bursts: Vec<u64>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut reclaims = Vec::new();
        let mut at_s = 0;
        while at_s < RUN_S {
            at_s += rng.random_range(MEAN_RECLAIM_INTERVAL_S / 2..MEAN_RECLAIM_INTERVAL_S * 3 / 2);
            reclaims.push((at_s, rng.random_range(0..FAILURE_DOMAINS.len())));
        }
        let lost_s = rng.random_range(RUN_S / 4..RUN_S / 2);
        Self {
            reclaims,
            lost_domain: (lost_s, rng.random_range(0..FAILURE_DOMAINS.len())),
            bursts: (0..6).map(|_| rng.random_range(0..RUN_S)).collect(),
        }
    }

    /// Returns the number of concurrent callers: one wave per hour, plus bursts of five minutes.
    fn callers(&self, now_s: u64) -> u32 {
        let phase = now_s as f64 / 3_600.0 * std::f64::consts::TAU;
        let wave_callers = 35.0 - 30.0 * phase.cos();
        let burst = self.bursts.iter();
        let burst = burst.filter(|&&at_s| (at_s..at_s + 300).contains(&now_s));
        (wave_callers + 60.0 * burst.count() as f64) as u32
    }

    /// Whether no endpoints of the tier can be started in the failure domain.
    fn is_unavailable(&self, now_s: u64, domain: usize, tier: Tier) -> bool {
        let (lost_s, lost_domain) = self.lost_domain;
        if lost_domain == domain && (lost_s..lost_s + DOMAIN_OUTAGE_S).contains(&now_s) {
            return true;
        }
        let mut reclaims = self.reclaims.iter();
        tier == Tier::Cheap
            && reclaims.any(|&(at_s, reclaimed)| {
                reclaimed == domain && (at_s..at_s + CHEAP_UNAVAILABLE_S).contains(&now_s)
            })
    }
}

/// The simulated endpoints and their load.
#[derive(Default)]
struct Simulation {
    listed: Vec<PlatformEndpoint>,
    /// Time at which an endpoint starts to run or is removed.
    phase_change_s: BTreeMap<Arc<str>, u64>,
    /// Number of start orders so far, which numbers the endpoints.
    orders: u64,
    /// Number of concurrent callers.
    callers: u32,
    /// Samples of the opened steps that are not yet generated.
    pending_samples: f64,
    /// Deadline of the step that was opened last.
    step_deadline_s: u64,
}

/// Measurements of one policy.
#[derive(Default)]
struct PolicyResult {
    /// Cost in seconds of a firm endpoint.
    cost: f64,
    cheap_endpoint_s: f64,
    /// Callers without a free slot, summed over time.
    waiting_caller_s: f64,
    /// Time with pending samples after the deadline of their step.
    late_step_s: f64,
    /// Number of steps that were not complete at their deadline.
    late_steps: u64,
    /// Time during which the loss of one failure domain could have left fewer running endpoints
    /// than the firm floor.
    exposed_s: u64,
    starts: u64,
    stops: u64,
}

impl Simulation {
    /// Returns the number of endpoints that match `predicate` and are not leaving.
    fn count(&self, predicate: impl Fn(&PlatformEndpoint) -> bool) -> usize {
        let endpoints = self.listed.iter();
        let endpoints = endpoints.filter(|endpoint| endpoint.phase != EndpointPhase::Leaving);
        endpoints.filter(|endpoint| predicate(endpoint)).count()
    }

    fn live_endpoints(&self) -> usize {
        self.count(|_| true)
    }

    fn running_endpoints(&self) -> usize {
        self.count(|endpoint| endpoint.phase == EndpointPhase::Running)
    }

    /// Returns the number of slots of all running endpoints.
    fn capacity(&self) -> u32 {
        self.running_endpoints() as u32 * SLOTS
    }

    /// Whether the loss of one failure domain at this time could leave fewer running endpoints than
    /// the firm floor.
    fn is_exposed(&self) -> bool {
        let domain_sizes = FAILURE_DOMAINS.iter().map(|domain| {
            self.count(|endpoint| {
                *endpoint.failure_domain == **domain && endpoint.phase == EndpointPhase::Running
            })
        });
        let remaining = self.running_endpoints() - domain_sizes.max().unwrap_or(0);
        remaining < FIRM_FLOOR as usize
    }

    /// Applies the changes that the platform makes without an order: reclaims, phase changes and
    /// the loss of a failure domain.
    fn advance_platform(&mut self, now_s: u64, scenario: &Scenario) {
        let (lost_s, lost_domain) = scenario.lost_domain;
        for endpoint in &mut self.listed {
            let domain = &endpoint.failure_domain;
            let reclaimed = scenario.reclaims.iter().any(|&(at_s, reclaimed)| {
                at_s == now_s
                    && *FAILURE_DOMAINS[reclaimed] == **domain
                    && endpoint.tier == Tier::Cheap
            });
            if reclaimed {
                endpoint.phase = EndpointPhase::Leaving;
                self.phase_change_s
                    .insert(endpoint.endpoint.clone(), now_s + NOTICE_S);
            }
            let due = self
                .phase_change_s
                .get(&endpoint.endpoint)
                .is_some_and(|&at_s| now_s >= at_s);
            if due && endpoint.phase == EndpointPhase::Starting {
                endpoint.phase = EndpointPhase::Running;
            }
        }
        let phase_change_s = &self.phase_change_s;
        self.listed.retain(|endpoint| {
            let lost = now_s == lost_s && *FAILURE_DOMAINS[lost_domain] == *endpoint.failure_domain;
            let ended = endpoint.phase == EndpointPhase::Leaving
                && phase_change_s
                    .get(&endpoint.endpoint)
                    .is_some_and(|&at_s| now_s >= at_s);
            !lost && !ended
        });
    }

    /// Executes an order and returns whether the platform accepted it.
    fn apply(&mut self, now_s: u64, scenario: &Scenario, action: &PlatformAction) -> bool {
        match action {
            PlatformAction::Start {
                service,
                failure_domain,
                tier,
            } => {
                let domain = FAILURE_DOMAINS
                    .iter()
                    .position(|name| **name == **failure_domain);
                if domain.is_none_or(|domain| scenario.is_unavailable(now_s, domain, *tier)) {
                    return false;
                }
                self.orders += 1;
                let endpoint: Arc<str> = format!("e{}", self.orders).into();
                self.phase_change_s
                    .insert(endpoint.clone(), now_s + STARTUP_S);
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
                let mut endpoints = self.listed.iter_mut();
                if let Some(stopped) = endpoints.find(|listed| listed.endpoint == *endpoint) {
                    stopped.phase = EndpointPhase::Leaving;
                    self.phase_change_s
                        .insert(endpoint.clone(), now_s + NOTICE_S);
                }
            }
        }
        true
    }

    /// Serves the load of one second: callers are served first, and the remaining slots generate
    /// samples.
    fn serve_load(&mut self, now_s: u64, scenario: &Scenario, result: &mut PolicyResult) {
        self.callers = scenario.callers(now_s);
        if now_s % STEP_INTERVAL_S == 0 {
            self.pending_samples += SAMPLES_PER_STEP;
            self.step_deadline_s = now_s + STEP_DEADLINE_S;
        }
        let capacity = f64::from(self.capacity());
        let callers = f64::from(self.callers);
        result.waiting_caller_s += (callers - capacity).max(0.0);
        let free_slots = (capacity - callers).max(0.0);
        let before = self.pending_samples;
        self.pending_samples = (before - free_slots / SECONDS_PER_SAMPLE).max(0.0);
        if self.pending_samples > 0.0 && now_s >= self.step_deadline_s {
            result.late_step_s += 1.0;
            result.late_steps += u64::from(now_s == self.step_deadline_s);
        }
    }

    /// Adds the cost of all listed endpoints for one second.
    fn add_cost(&self, result: &mut PolicyResult) {
        for endpoint in &self.listed {
            match endpoint.tier {
                Tier::Firm => result.cost += 1.0,
                Tier::Cheap => {
                    result.cost += CHEAP_COST;
                    result.cheap_endpoint_s += 1.0;
                }
            }
        }
    }
}

fn measure(scenario: &Scenario, policy_under_test: &mut dyn ScalingPolicy) -> PolicyResult {
    let (mut simulation, mut result) = (Simulation::default(), PolicyResult::default());
    // The fleet starts empty, so the first minutes of every policy include starting the endpoints.
    for now_s in 0..RUN_S {
        simulation.advance_platform(now_s, scenario);
        simulation.serve_load(now_s, scenario, &mut result);
        for action in policy_under_test.decide(now_s, &simulation) {
            if !simulation.apply(now_s, scenario, &action) {
                policy_under_test.on_refused(now_s, &action);
                continue;
            }
            match action {
                PlatformAction::Start { .. } => result.starts += 1,
                PlatformAction::Stop { .. } => result.stops += 1,
            }
        }
        simulation.add_cost(&mut result);
        result.exposed_s += u64::from(simulation.is_exposed());
    }
    result
}

fn result_to_json(result: &PolicyResult) -> Value {
    json!({
        "cost_firm_endpoint_s": result.cost.round(),
        "cheap_endpoint_s": result.cheap_endpoint_s,
        "waiting_caller_s": result.waiting_caller_s.round(),
        "late_step_s": result.late_step_s,
        "late_steps": result.late_steps,
        "steps": RUN_S / STEP_INTERVAL_S,
        "below_floor_if_a_domain_were_lost_s": result.exposed_s,
        "starts": result.starts,
        "stops": result.stops,
    })
}

pub(crate) fn run(seed: u64) {
    let scenario = Scenario::new(seed);
    let mut product_policy = ProductPolicy {
        policy: Policy::new(seed),
        configuration: configuration(),
    };
    output::progress("orders", "product policy");
    let measured = result_to_json(&measure(&scenario, &mut product_policy));
    output::line("orders", seed, json!({ "product": measured }));
    output::progress("orders", "threshold policy");
    let mut threshold = ThresholdPolicy {
        rng: ChaCha8Rng::seed_from_u64(seed),
        last_change_s: 0,
    };
    let threshold = result_to_json(&measure(&scenario, &mut threshold));
    output::line("orders", seed, json!({ "threshold": threshold }));
    output::progress("orders", "fixed fleet");
    let fixed = result_to_json(&measure(&scenario, &mut FixedFleet { next_domain: 0 }));
    output::line("orders", seed, json!({ "fixed": fixed }));
    let mut baseline = fixed;
    if let (Some(baseline_figures), Some(threshold_figures)) =
        (baseline.as_object_mut(), threshold.as_object())
    {
        for (name, value) in threshold_figures {
            baseline_figures.insert(format!("threshold_{name}"), value.clone());
        }
    }
    output::summary("orders", seed, measured, baseline);
}
