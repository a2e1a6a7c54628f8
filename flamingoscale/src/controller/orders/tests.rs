//! Runs instances, a log and a platform in one loop under virtual time. Each instance advances in
//! small steps, so that a holder can be paused or killed between any two of them.

use std::collections::VecDeque;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{
    configuration::{
        Configuration,
        FailureDomain,
        Service,
        ServiceKind, //
    },
    lease::{
        Action,
        Lease, //
    },
    record::Envelope,
    state::State,
    wire::{
        EndpointPhase,
        PlatformAction,
        PlatformOrderDone,
        Tier, //
    }, //
};

/// Virtual time between two steps of an instance.
const STEP_MS: u64 = 50;
const LEASE_MS: u64 = 10_000;
/// Firm floor of the only service.
const FLOOR: u32 = 3;
const INSTANCES: usize = 3;

/// Long enough for a successor to take over and finish the open orders.
const TAKEOVER_MS: u64 = 40_000;

/// A platform that carries out each order number once and can be set to ignore fencing numbers.
#[derive(Default)]
struct FakePlatform {
    checks_fencing: bool,
    is_unavailable: bool,
    lose_answers: bool,
    endpoints: Vec<PlatformEndpoint>,
    /// The endpoint of each order that was carried out, by order number.
    endpoint_by_order: std::collections::BTreeMap<u64, Arc<str>>,
    newest_fencing: u64,
    /// Orders that arrived with an older fencing number than an order that arrived before.
    stale_arrivals: u32,
    /// Stale arrivals that had an effect.
    stale_effects: u32,
}

impl FakePlatform {
    fn order(&mut self, order: &PlatformOrder) -> Result<PlatformOrderDone, PlatformError> {
        if self.is_unavailable {
            return Err(refused());
        }
        let is_stale = order.fencing < self.newest_fencing;
        self.newest_fencing = self.newest_fencing.max(order.fencing);
        self.stale_arrivals += u32::from(is_stale);
        if let Some(endpoint) = self.endpoint_by_order.get(&order.order) {
            let endpoint = endpoint.clone();
            return self.answer(PlatformOrderDone { endpoint });
        }
        if is_stale && self.checks_fencing {
            let fencing = order.fencing;
            return Err(PlatformError::Fenced { fencing });
        }
        self.stale_effects += u32::from(is_stale);
        let endpoint = self.carry_out(order);
        self.endpoint_by_order.insert(order.order, endpoint.clone());
        self.answer(PlatformOrderDone { endpoint })
    }

    fn answer(&self, done: PlatformOrderDone) -> Result<PlatformOrderDone, PlatformError> {
        if self.lose_answers {
            let reason = "lost".into();
            return Err(PlatformError::Unknown { reason });
        }
        Ok(done)
    }

    fn carry_out(&mut self, order: &PlatformOrder) -> Arc<str> {
        match &order.action {
            PlatformAction::Start {
                service,
                failure_domain,
                tier,
            } => {
                let endpoint: Arc<str> = format!("e{}", order.order).into();
                self.endpoints.push(PlatformEndpoint {
                    endpoint: endpoint.clone(),
                    service: service.clone(),
                    failure_domain: failure_domain.clone(),
                    address: "127.0.0.1:1".into(),
                    tier: *tier,
                    phase: EndpointPhase::Running,
                    order: order.order,
                });
                endpoint
            }
            PlatformAction::Stop { endpoint } => {
                self.endpoints.retain(|listed| listed.endpoint != *endpoint);
                endpoint.clone()
            }
        }
    }

    fn firm(&self) -> usize {
        let firm = self.endpoints.iter();
        firm.filter(|endpoint| endpoint.tier == Tier::Firm).count()
    }
}

fn refused() -> PlatformError {
    PlatformError::Refused {
        reason: "away".into(),
    }
}

/// The log shared by all instances.
#[derive(Default)]
struct FakeLog {
    is_unavailable: bool,
    records: Vec<Envelope>,
}

/// The stage that an instance has reached in its reconcile cycle.
enum Stage {
    /// Fold the log.
    Fold,
    /// Claim or renew the lease.
    Claim,
    /// Read the platform's list of endpoints.
    List,
    /// Decide on the next steps from the list.
    Decide(Vec<PlatformEndpoint>),
    /// Perform the next queued step.
    Work(VecDeque<Step>),
    /// Fold the intent that was just appended.
    Accept(u64, VecDeque<Step>),
    /// Check the lease before sending the order.
    Prepare(u64, VecDeque<Step>),
    /// Send the order.
    Send(PlatformOrder, VecDeque<Step>),
    /// Handle the answer to the order.
    Answer(
        u64,
        Result<PlatformOrderDone, PlatformError>,
        VecDeque<Step>,
    ),
}

/// One instance.
struct Node {
    name: Arc<str>,
    rank: u64,
    serial: u64,
    state: State,
    lease: Lease,
    protocol: Protocol,
    policy: Policy,
    stage: Stage,
    steps: u64,
    paused_until_ms: u64,
    dead: bool,
}

/// All instances with the log and the platform that they share.
struct World {
    now_ms: u64,
    log: FakeLog,
    platform: FakePlatform,
    nodes: Vec<Node>,
}

fn configuration() -> Configuration {
    let domains = ["saiq", "shams", "nizwa"];
    Configuration {
        services: vec![Service {
            name: "drafting".into(),
            kind: ServiceKind::Engine,
            idempotent: true,
            open: false,
            firm_floor: FLOOR,
            ceiling: FLOOR,
            slots: 8,
            checks_fencing: true,
        }],
        failure_domains: domains
            .map(|name| FailureDomain {
                name: name.into(),
                region: "hajar".into(),
            })
            .to_vec(),
        ..Configuration::default()
    }
}

impl Node {
    fn new(number: usize) -> Self {
        let name: Arc<str> = format!("n{number}").into();
        Self {
            rank: number as u64,
            serial: 0,
            state: State::default(),
            lease: Lease::new(name.clone(), 1, ORDER_GUARD_MS),
            protocol: Protocol::new(ORDER_VALIDITY_MS),
            policy: Policy::new(number as u64),
            stage: Stage::Fold,
            steps: 0,
            paused_until_ms: 0,
            dead: false,
            name,
        }
    }

    fn append(&mut self, log: &mut FakeLog, record: Record) -> Option<u64> {
        if log.is_unavailable {
            return None;
        }
        self.serial += 1;
        log.records.push(Envelope {
            writer: self.name.clone(),
            incarnation: 1,
            serial: self.serial,
            record,
        });
        Some(log.records.len() as u64 - 1)
    }

    fn fold(&mut self, log: &FakeLog) {
        if log.is_unavailable {
            return;
        }
        for offset in self.state.folded..log.records.len() as u64 {
            // Rejected records are expected here.
            let _ = self.state.fold(offset, &log.records[offset as usize]);
        }
    }

    fn term(&mut self, now_ms: u64) -> Option<Term> {
        let entry = self.state.leases.get(&orders_lease(ALL_REGIONS));
        self.lease.observe(now_ms, entry);
        self.lease.term(now_ms)
    }

    fn claim(&mut self, now_ms: u64, log: &mut FakeLog) {
        self.term(now_ms);
        let record = match self.lease.decide(now_ms, LEASE_MS, self.rank, false) {
            Some(Action::Claim {
                replaces, lease_ms, ..
            }) => Record::LeaseClaim {
                lease: orders_lease(ALL_REGIONS),
                replaces,
                lease_ms,
            },
            Some(Action::Release { claim }) => Record::LeaseRelease {
                lease: orders_lease(ALL_REGIONS),
                claim,
            },
            None => return,
        };
        if self.append(log, record).is_none() {
            self.lease.append_refused();
        }
    }

    /// Performs the next small step of the cycle.
    fn step(&mut self, now_ms: u64, log: &mut FakeLog, platform: &mut FakePlatform) {
        self.steps += 1;
        self.stage = match std::mem::replace(&mut self.stage, Stage::Fold) {
            Stage::Fold => {
                self.fold(log);
                Stage::Claim
            }
            Stage::Claim => {
                self.claim(now_ms, log);
                self.fold(log);
                Stage::List
            }
            Stage::List => self.list(now_ms, platform),
            Stage::Decide(listed) => self.decide(now_ms, &listed),
            Stage::Work(queue) => self.work(log, queue),
            Stage::Accept(order, queue) => {
                self.fold(log);
                Stage::Prepare(order, queue)
            }
            Stage::Prepare(order, queue) => self.prepare(now_ms, order, queue),
            Stage::Send(order, queue) => {
                let result = platform.order(&order);
                Stage::Answer(order.order, result, queue)
            }
            Stage::Answer(order, result, queue) => self.on_answer(now_ms, order, &result, queue),
        };
    }

    fn list(&mut self, now_ms: u64, platform: &FakePlatform) -> Stage {
        if self.term(now_ms).is_none() {
            self.protocol.on_lease_lost();
            return Stage::Fold;
        }
        if platform.is_unavailable {
            return Stage::Fold;
        }
        Stage::Decide(platform.endpoints.clone())
    }

    fn decide(&mut self, now_ms: u64, listed: &[PlatformEndpoint]) -> Stage {
        let Some(term) = self.term(now_ms) else {
            return Stage::Fold;
        };
        let open_orders = &self.state.open_orders;
        let input = PolicyInput {
            configuration: &configuration(),
            listed,
            open_orders,
            loads: None,
        };
        let actions = self.policy.decide(now_ms, &input);
        let steps = self.protocol.decide(term, open_orders, listed, actions);
        Stage::Work(steps.into())
    }

    fn work(&mut self, log: &mut FakeLog, mut queue: VecDeque<Step>) -> Stage {
        match queue.pop_front() {
            None => Stage::Fold,
            Some(Step::Send(order)) => Stage::Prepare(order, queue),
            Some(Step::AppendIntent(record)) => match self.append(log, record) {
                Some(order) => Stage::Accept(order, queue),
                None => Stage::Work(queue),
            },
            Some(Step::AppendOutcome(record)) => {
                self.append(log, record);
                Stage::Work(queue)
            }
        }
    }

    fn prepare(&mut self, now_ms: u64, order: u64, queue: VecDeque<Step>) -> Stage {
        self.term(now_ms);
        let term = self.lease.term_for(now_ms, ORDER_VALIDITY_MS);
        let Some(open_order) = self.state.open_orders.get(&order) else {
            return Stage::Work(queue);
        };
        match self.protocol.prepare(term, order, open_order, &self.name) {
            Some(order) => Stage::Send(order, queue),
            None => Stage::Work(queue),
        }
    }

    fn on_answer(
        &mut self,
        now_ms: u64,
        order: u64,
        result: &Result<PlatformOrderDone, PlatformError>,
        mut queue: VecDeque<Step>,
    ) -> Stage {
        if matches!(result, Err(PlatformError::Fenced { .. })) {
            self.lease.mark_fenced();
        }
        if let Some(term) = self.term(now_ms) {
            queue.extend(self.protocol.on_answer(term, order, result));
        }
        Stage::Work(queue)
    }

    /// Returns whether the instance has checked its lease but not sent the order yet.
    fn is_about_to_send(&self) -> bool {
        matches!(self.stage, Stage::Send(..))
    }
}

impl World {
    fn new(checks_fencing: bool) -> Self {
        let platform = FakePlatform {
            checks_fencing,
            ..FakePlatform::default()
        };
        let mut log = FakeLog::default();
        // Offset 0 can't number an entry, so fill it with a record that creates none.
        log.records.push(Envelope {
            writer: "someone".into(),
            incarnation: 1,
            serial: 1,
            record: Record::KeyWithdrawn {
                key_id: "none".into(),
            },
        });
        Self {
            now_ms: 0,
            log,
            platform,
            nodes: (0..INSTANCES).map(Node::new).collect(),
        }
    }

    fn tick(&mut self) {
        self.now_ms += STEP_MS;
        for node in &mut self.nodes {
            if !node.dead && self.now_ms >= node.paused_until_ms {
                node.step(self.now_ms, &mut self.log, &mut self.platform);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.tick();
        }
    }

    /// Runs until the first instance has performed this many steps.
    fn run_to_step(&mut self, step: u64) {
        while self.nodes[0].steps < step {
            self.tick();
        }
    }

    /// Checks that the fleet is exactly at its floor and no order is open.
    fn assert_settled(&self, context: &str) {
        assert_eq!(self.platform.firm(), FLOOR as usize, "{context}");
        let open_orders = &self.nodes[1].state.open_orders;
        assert!(open_orders.is_empty(), "{context}: {open_orders:?}");
    }
}

/// Steps of the first holder in which faults are injected: from its start until after the floor is
/// reached.
const FAULT_STEPS: u64 = 60;

#[test]
fn floor_is_reached_across_failure_domains() {
    let mut world = World::new(true);
    world.run(TAKEOVER_MS);
    world.assert_settled("no fault");
    let mut domains: Vec<&str> = world
        .platform
        .endpoints
        .iter()
        .map(|endpoint| &*endpoint.failure_domain)
        .collect();
    domains.sort_unstable();
    assert_eq!(domains, ["nizwa", "saiq", "shams"]);
}

/// A holder that is paused at any step sends, after its successor has taken over, at most the one
/// order that it was about to send. The platform carries out no order with an outdated fencing
/// number.
#[test]
fn paused_holder_sends_no_second_order_alongside_its_successor() {
    for step in 1..FAULT_STEPS {
        let mut world = World::new(true);
        world.run_to_step(step);
        let was_about_to_send = world.nodes[0].is_about_to_send();
        world.nodes[0].paused_until_ms = world.now_ms + TAKEOVER_MS;
        world.run(3 * TAKEOVER_MS);
        world.assert_settled(&format!("paused at step {step}"));
        let platform = &world.platform;
        assert_eq!(platform.stale_effects, 0, "paused at step {step}");
        assert!(
            platform.stale_arrivals <= u32::from(was_about_to_send),
            "paused at step {step}: more stale orders arrived than were about to be sent"
        );
    }
}

/// If the receiver ignores fencing numbers, at most one order arrives late, and only from a holder
/// that was paused between its lease check and its send. The order's number still takes effect only
/// once.
#[test]
fn without_fencing_at_most_one_checked_order_arrives_late() {
    let mut late_arrivals = 0;
    for step in 1..FAULT_STEPS {
        let mut world = World::new(false);
        world.run_to_step(step);
        let was_about_to_send = world.nodes[0].is_about_to_send();
        world.nodes[0].paused_until_ms = world.now_ms + TAKEOVER_MS;
        world.run(3 * TAKEOVER_MS);
        world.assert_settled(&format!("paused at step {step}"));
        let stale = world.platform.stale_arrivals;
        assert!(
            stale <= u32::from(was_about_to_send),
            "paused at step {step}: {stale} stale orders arrived"
        );
        assert_eq!(world.platform.stale_effects, 0, "paused at step {step}");
        late_arrivals += stale;
    }
    assert!(
        late_arrivals > 0,
        "no run had a late order, so the bound was never exercised"
    );
}

#[test]
fn successor_takes_over_from_holder_killed_at_any_step() {
    for step in 1..FAULT_STEPS {
        for lose_answers in [false, true] {
            let mut world = World::new(true);
            world.platform.lose_answers = lose_answers;
            world.run_to_step(step);
            world.nodes[0].dead = true;
            world.platform.lose_answers = false;
            world.run(2 * TAKEOVER_MS);
            world.assert_settled(&format!(
                "killed at step {step}, answers lost: {lose_answers}"
            ));
        }
    }
}

#[test]
fn one_hour_platform_outage_changes_nothing() {
    for step in [5, 12, 17, 23] {
        let mut world = World::new(true);
        world.run_to_step(step);
        (world.platform.is_unavailable, world.log.is_unavailable) = (true, true);
        world.run(3_600_000);
        assert!(world
            .nodes
            .iter_mut()
            .all(|node| node.term(3_700_000).is_none()));
        (world.platform.is_unavailable, world.log.is_unavailable) = (false, false);
        world.run(2 * TAKEOVER_MS);
        world.assert_settled(&format!("unavailable from step {step}"));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Pauses, endpoint crashes, outages and lost answers, in any combination and repeatedly.
    #[test]
    fn fleet_returns_to_floor_after_any_mix_of_faults(seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(true);
        for _ in 0..12 {
            let now_ms = world.now_ms;
            match rng.random_range(0..6) {
                0 => world.platform.is_unavailable ^= true,
                1 => world.log.is_unavailable ^= true,
                2 => world.platform.lose_answers ^= true,
                3 => {
                    // An endpoint crashes and does not come back.
                    world.platform.endpoints.pop();
                }
                _ => {
                    let node = rng.random_range(0..INSTANCES);
                    let pause_ms = rng.random_range(STEP_MS..2 * TAKEOVER_MS);
                    world.nodes[node].paused_until_ms = now_ms + pause_ms;
                }
            }
            world.run(rng.random_range(STEP_MS..20_000));
        }
        let platform = &mut world.platform;
        (platform.is_unavailable, platform.lose_answers, world.log.is_unavailable) =
            (false, false, false);
        world.run(5 * TAKEOVER_MS);
        world.assert_settled("mixed faults");
        prop_assert_eq!(world.platform.stale_effects, 0);
    }
}
