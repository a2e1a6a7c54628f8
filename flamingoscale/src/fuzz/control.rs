//! State machine of instances that fold one shared log into leases, orders, usage windows, API keys
//! and configurations.
//!
//! The log loses answers, delays appends and becomes unreachable. Instances pause, restart and have
//! clocks that drift.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use proptest::prelude::*;
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};

use super::oracle::{
    CaseOptions,
    Guarantee,
    PlantedFault, //
};
use crate::{
    configuration::Configuration,
    controller::{
        orders::protocol::{
            Protocol,
            Step, //
        },
        usage::windows::{
            report,
            unreported,
            Windows, //
        }, //
    },
    lease::{
        Action,
        Lease, //
    },
    platform::PlatformError,
    record::{
        Envelope,
        Record, //
    },
    state::{
        orders_lease,
        usage_lease,
        State,
        ALL_REGIONS, //
    },
    usage::Figures,
    wire::{
        PlatformAction,
        PlatformOrder,
        PlatformOrderDone,
        Tier,
        UsageFigures,
        UsageReport, //
    }, //
};

/// The faults that this state machine can plant, each with the guarantee that it violates.
pub(super) const PLANTED_FAULTS: [(PlantedFault, Guarantee); 7] = [
    (PlantedFault::ClockStopsInPause, Guarantee::OneOrders),
    (PlantedFault::ClockStopsInPause, Guarantee::OneReports),
    (PlantedFault::ClaimsEarly, Guarantee::OneOrders),
    (PlantedFault::ClaimsEarly, Guarantee::OneReports),
    (PlantedFault::FreshFigures, Guarantee::OneReports),
    (PlantedFault::StartsAtHead, Guarantee::ConfigurationHolds),
    (PlantedFault::RegrantsKey, Guarantee::WithdrawnStops),
];

const NODE_COUNT: usize = 3;
const LEASE_MS: u64 = 10_000;
/// Validity of an order: the platform rejects an order that arrives later than this after sending.
const ORDER_VALID_MS: u64 = 2_000;
/// Time that a new lease holder waits for the orders of the previous holder to expire.
const GUARD_MS: u64 = 3_000;
const USAGE_WINDOW_MS: u64 = 1_000;
/// Speed of each instance's clock relative to real time, in thousandths.
const CLOCK_SPEEDS_PER_MILLE: [u64; NODE_COUNT] = [970, 1_000, 1_030];
/// Number of distinct API keys that operators grant and withdraw.
const KEY_COUNT: u8 = 3;

/// How the log handles an append.
#[derive(Clone, Copy, Debug)]
pub(super) enum AppendBehaviour {
    /// The record is appended and the instance receives the answer.
    Applied,
    /// The record is appended, but the answer is lost.
    AnswerLost,
    /// The append is refused and has no effect.
    Refused,
    /// The answer is lost and the record is appended later, by [`Transition::ApplyDelayedAppend`].
    Delayed,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Advances real time and the clocks of all processes.
    AdvanceTime { duration_ms: u64 },
    /// Pauses one process while the others continue.
    Pause { node: usize, duration_ms: u64 },
    /// A node reads up to `records` records, if the log is reachable.
    ReadLog { node: usize, records: usize },
    /// A node runs its controllers for leases, orders and usage windows.
    RunControllers {
        node: usize,
        behaviour: AppendBehaviour,
    },
    /// A message reaches the platform or, if `lost`, does not. The sender learns the result only if
    /// `answered`.
    DeliverMessage {
        index: usize,
        lost: bool,
        answered: bool,
    },
    /// A delayed append reaches the log.
    ApplyDelayedAppend { index: usize },
    /// The log becomes unreachable or reachable again.
    SetLogDown { log_down: bool },
    /// A process crashes and is replaced by a new incarnation.
    Restart { node: usize },
    /// An operator submits a new configuration through a node.
    Configure {
        node: usize,
        behaviour: AppendBehaviour,
    },
    /// An operator grants an API key through a node.
    GrantKey { node: usize, key: u8 },
    /// An operator withdraws an API key through a node.
    WithdrawKey { node: usize, key: u8 },
    /// A node records usage of one organisation.
    CountUsage { node: usize, tokens: u64 },
}

/// Generates random transitions of the control state machine.
pub(super) struct ControlMachine;

impl ReferenceStateMachine for ControlMachine {
    type State = CaseOptions;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<CaseOptions> {
        Just(CaseOptions::default()).boxed()
    }

    fn transitions(_: &CaseOptions) -> BoxedStrategy<Transition> {
        let node = 0..NODE_COUNT;
        let behaviour = prop_oneof![
            6 => Just(AppendBehaviour::Applied),
            1 => Just(AppendBehaviour::AnswerLost),
            1 => Just(AppendBehaviour::Refused),
            1 => Just(AppendBehaviour::Delayed),
        ];
        let behaviours = behaviour.clone();
        prop_oneof![
            6 => (1..4_000u64).prop_map(|duration_ms| Transition::AdvanceTime { duration_ms }),
            2 => (node.clone(), 1_000..30_000u64)
                .prop_map(|(node, duration_ms)| Transition::Pause { node, duration_ms }),
            12 => (node.clone(), 1..20usize)
                .prop_map(|(node, records)| Transition::ReadLog { node, records }),
            14 => (node.clone(), behaviour)
                .prop_map(|(node, behaviour)| Transition::RunControllers { node, behaviour }),
            8 => (any::<usize>(), prop::bool::weighted(0.1), prop::bool::weighted(0.8)).prop_map(
                |(index, lost, answered)| Transition::DeliverMessage { index, lost, answered }
            ),
            1 => any::<usize>().prop_map(|index| Transition::ApplyDelayedAppend { index }),
            1 => any::<bool>().prop_map(|log_down| Transition::SetLogDown { log_down }),
            1 => node.clone().prop_map(|node| Transition::Restart { node }),
            2 => (node.clone(), behaviours)
                .prop_map(|(node, behaviour)| Transition::Configure { node, behaviour }),
            1 => (node.clone(), 0..KEY_COUNT)
                .prop_map(|(node, key)| Transition::GrantKey { node, key }),
            1 => (node.clone(), 0..KEY_COUNT)
                .prop_map(|(node, key)| Transition::WithdrawKey { node, key }),
            2 => (node, 1..100u64)
                .prop_map(|(node, tokens)| Transition::CountUsage { node, tokens }),
        ]
        .boxed()
    }

    fn apply(state: CaseOptions, _: &Transition) -> CaseOptions {
        state
    }
}

/// Applies the transitions to a [`World`] and checks its invariants.
pub(super) struct ControlTest;

impl StateMachineTest for ControlTest {
    type SystemUnderTest = World;
    type Reference = ControlMachine;

    fn init_test(options: &CaseOptions) -> World {
        World::new(*options)
    }

    fn apply(mut world: World, _: &CaseOptions, transition: Transition) -> World {
        world.perform(transition);
        world
    }

    fn check_invariants(world: &World, _: &CaseOptions) {
        world.check();
    }
}

/// A message to the platform.
#[derive(Clone, Debug)]
enum Message {
    Order(PlatformOrder),
    Report(UsageReport),
}

/// A message that was sent and has not reached the platform yet.
#[derive(Clone, Debug)]
struct InFlightMessage {
    sender: usize,
    incarnation: u64,
    sent_ms: u64,
    message: Message,
}

/// An instance under test, with its own clock and its own fold of the log.
struct Node {
    id: Arc<str>,
    incarnation: u64,
    /// Serial number of the last record that this incarnation wrote.
    serial: u64,
    clock_ms: u64,
    state: State,
    orders: Lease,
    usage: Lease,
    protocol: Protocol,
    windows: Windows,
    /// Sequence number of the last usage record.
    usage_sequence: u64,
    /// Lower limit of the configuration revision of this node. It stays 0, because no transition
    /// raises it.
    newest_revision: u64,
}

impl Node {
    fn new(index: usize, incarnation: u64, clock_ms: u64) -> Self {
        let id: Arc<str> = format!("n{index}").into();
        Self {
            orders: Lease::new(id.clone(), incarnation, GUARD_MS),
            usage: Lease::new(id.clone(), incarnation, GUARD_MS),
            id,
            incarnation,
            serial: 0,
            clock_ms,
            state: State::default(),
            protocol: Protocol::new(ORDER_VALID_MS),
            windows: Windows::default(),
            usage_sequence: 0,
            newest_revision: 0,
        }
    }

    fn envelope(&mut self, record: Record) -> Envelope {
        self.serial += 1;
        Envelope {
            writer: self.id.clone(),
            incarnation: self.incarnation,
            serial: self.serial,
            record,
        }
    }

    /// Updates both leases from the folded state.
    fn observe(&mut self) {
        let entry = self.state.leases.get(&orders_lease(ALL_REGIONS));
        self.orders.observe(self.clock_ms, entry);
        let entry = self.state.leases.get(&usage_lease(ALL_REGIONS));
        self.usage.observe(self.clock_ms, entry);
    }
}

/// The facts that the checks compare with the state of the instances.
#[derive(Default)]
struct Oracle {
    /// The fold of all records in the log.
    full_state: State,
    /// API keys that any record of the log has withdrawn.
    withdrawn: BTreeSet<Arc<str>>,
    /// The figures of the first report of each usage window.
    reported: BTreeMap<u64, Figures>,
    /// The fencing number of the order that the platform executed last.
    newest_order_fencing: u64,
    /// The highest fencing number of a usage report that the platform received.
    newest_report_fencing: u64,
}

/// The instances, the log, the messages to the platform, and the oracle.
pub(super) struct World {
    options: CaseOptions,
    now_ms: u64,
    log_down: bool,
    log: Vec<Envelope>,
    delayed_appends: Vec<Envelope>,
    nodes: Vec<Node>,
    next_incarnation: u64,
    in_flight: Vec<InFlightMessage>,
    completed_orders: BTreeMap<u64, PlatformOrderDone>,
    oracle: Oracle,
}

impl World {
    fn new(options: CaseOptions) -> Self {
        let nodes = (0..NODE_COUNT).map(|index| Node::new(index, index as u64 + 1, 1_000));
        Self {
            options,
            now_ms: 0,
            log_down: false,
            log: Vec::new(),
            delayed_appends: Vec::new(),
            nodes: nodes.collect(),
            next_incarnation: 100,
            in_flight: Vec::new(),
            completed_orders: BTreeMap::new(),
            oracle: Oracle::default(),
        }
    }

    fn perform(&mut self, transition: Transition) {
        match transition {
            Transition::AdvanceTime { duration_ms } => self.advance_time(duration_ms, None),
            Transition::Pause { node, duration_ms } => self.advance_time(duration_ms, Some(node)),
            Transition::ReadLog { node, records } => self.read_log(node, records),
            Transition::RunControllers { node, behaviour } => self.run_controllers(node, behaviour),
            Transition::DeliverMessage {
                index,
                lost,
                answered,
            } => self.deliver_message(index, lost, answered),
            Transition::ApplyDelayedAppend { index } => self.apply_delayed_append(index),
            Transition::SetLogDown { log_down } => self.log_down = log_down,
            Transition::Restart { node } => self.restart(node),
            Transition::Configure { node, behaviour } => self.configure(node, behaviour),
            Transition::GrantKey { node, key } => self.grant(node, key),
            Transition::WithdrawKey { node, key } => {
                let key_id = key_id(key);
                self.submit(
                    node,
                    Record::KeyWithdrawn { key_id },
                    AppendBehaviour::Applied,
                );
            }
            Transition::CountUsage { node, tokens } => self.count_usage(node, tokens),
        }
    }

    /// Advances the time in steps of at most one second. If a process is paused, the others read
    /// the log and run their controllers in each step.
    fn advance_time(&mut self, duration_ms: u64, paused: Option<usize>) {
        let mut remaining_ms = duration_ms;
        while remaining_ms > 0 {
            let step_ms = remaining_ms.min(1_000);
            remaining_ms -= step_ms;
            self.now_ms += step_ms;
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let stopped =
                    self.options.has(PlantedFault::ClockStopsInPause) && paused == Some(index);
                if !stopped {
                    node.clock_ms += step_ms * CLOCK_SPEEDS_PER_MILLE[index] / 1_000;
                }
            }
            if let Some(paused) = paused {
                for index in (0..NODE_COUNT).filter(|&index| index != paused) {
                    self.read_log(index, usize::MAX);
                    self.run_controllers(index, AppendBehaviour::Applied);
                }
            }
        }
    }

    /// Appends a record to the log and to the fold of the oracle. Returns the offset.
    fn append(&mut self, envelope: Envelope) -> u64 {
        let offset = self.log.len() as u64;
        let _ = self.oracle.full_state.fold(offset, &envelope);
        for key in self
            .oracle
            .full_state
            .keys
            .iter()
            .filter(|key| key.withdrawn)
        {
            self.oracle.withdrawn.insert(key.key_id.clone());
        }
        self.log.push(envelope);
        offset
    }

    /// Submits a record. Returns false only if the record certainly has no effect.
    fn submit(&mut self, node: usize, record: Record, behaviour: AppendBehaviour) -> bool {
        if self.log_down || matches!(behaviour, AppendBehaviour::Refused) {
            return false;
        }
        let envelope = self.nodes[node].envelope(record);
        if matches!(behaviour, AppendBehaviour::Delayed) {
            self.delayed_appends.push(envelope);
            return true;
        }
        self.append(envelope);
        if matches!(behaviour, AppendBehaviour::Applied) {
            self.read_log(node, usize::MAX);
        }
        true
    }

    fn read_log(&mut self, index: usize, records: usize) {
        if self.log_down {
            return;
        }
        let options = self.options;
        let node = &mut self.nodes[index];
        for envelope in self
            .log
            .iter()
            .skip(node.state.folded as usize)
            .take(records)
        {
            let offset = node.state.folded;
            let _ = node.state.fold(offset, envelope);
            apply_regrant_fault(options, &mut node.state, envelope);
        }
        node.observe();
    }

    fn run_controllers(&mut self, index: usize, behaviour: AppendBehaviour) {
        for is_orders_lease in [true, false] {
            self.manage_lease(index, is_orders_lease, behaviour);
        }
        self.issue_orders(index, behaviour);
        self.report_usage(index, behaviour);
    }

    /// Claims or renews one of the two leases, or repeats an unanswered claim, as the lease core
    /// decides. A claim that is not a renewal is appended only if the node has folded the whole log.
    fn manage_lease(&mut self, index: usize, is_orders_lease: bool, behaviour: AppendBehaviour) {
        let head = self.log.len() as u64;
        let claims_early = self.options.has(PlantedFault::ClaimsEarly);
        let node = &mut self.nodes[index];
        node.observe();
        let now_ms = node.clock_ms;
        let lease = if is_orders_lease {
            &mut node.orders
        } else {
            &mut node.usage
        };
        let decision_ms = if claims_early {
            now_ms + LEASE_MS
        } else {
            now_ms
        };
        let decision = lease.decide(decision_ms, LEASE_MS, index as u64, false);
        let action = decision.or_else(|| lease.resend(LEASE_MS));
        let Some(Action::Claim {
            replaces, renewal, ..
        }) = action
        else {
            return;
        };
        let is_behind = node.state.folded != head;
        if !renewal && (self.log_down || is_behind) {
            lease.append_refused();
            return;
        }
        let lease_name = if is_orders_lease {
            orders_lease(ALL_REGIONS)
        } else {
            usage_lease(ALL_REGIONS)
        };
        let record = Record::LeaseClaim {
            lease: lease_name,
            replaces,
            lease_ms: LEASE_MS,
        };
        let may_have_effect = self.submit(index, record, behaviour);
        let node = &mut self.nodes[index];
        if !may_have_effect {
            let lease = if is_orders_lease {
                &mut node.orders
            } else {
                &mut node.usage
            };
            lease.append_refused();
        }
        node.observe();
    }

    /// Runs the order protocol: appends intents and outcomes, and sends orders to the platform.
    fn issue_orders(&mut self, index: usize, behaviour: AppendBehaviour) {
        let node = &mut self.nodes[index];
        let Some(term) = node.orders.term(node.clock_ms) else {
            node.protocol.on_lease_lost();
            return;
        };
        let wanted = if node.state.open_orders.is_empty() {
            vec![start_order()]
        } else {
            Vec::new()
        };
        let open = node.state.open_orders.clone();
        for step in node.protocol.decide(term, &open, &[], wanted) {
            match step {
                Step::AppendIntent(record) | Step::AppendOutcome(record) => {
                    self.submit(index, record, behaviour);
                }
                Step::Send(order) => self.send_order(index, order),
            }
        }
    }

    fn send_order(&mut self, index: usize, order: u64) {
        let node = &mut self.nodes[index];
        node.observe();
        let Some(open) = node.state.open_orders.get(&order).cloned() else {
            return;
        };
        let term = node.orders.term(node.clock_ms);
        let prepared = node.protocol.prepare(term, order, &open, &node.id.clone());
        if let Some(order) = prepared {
            self.send(index, Message::Order(order));
        }
    }

    fn send(&mut self, sender: usize, message: Message) {
        self.in_flight.push(InFlightMessage {
            sender,
            incarnation: self.nodes[sender].incarnation,
            sent_ms: self.now_ms,
            message,
        });
    }

    /// Closes the usage window when it is due and sends the reports of all closed windows.
    fn report_usage(&mut self, index: usize, behaviour: AppendBehaviour) {
        let node = &mut self.nodes[index];
        let Some(term) = node.usage.term(node.clock_ms) else {
            node.windows.on_lease_lost();
            return;
        };
        if let Some(record) = node.windows.close(node.clock_ms, term, &node.state) {
            self.submit(index, record, behaviour);
        }
        let node = &mut self.nodes[index];
        for (region, window) in unreported(&node.state) {
            let node = &self.nodes[index];
            let term = node.usage.term(node.clock_ms);
            let usage_report = report(term, &node.state, &region, window, &node.id);
            let Some(mut usage_report) = usage_report else {
                continue;
            };
            if self.options.has(PlantedFault::FreshFigures) {
                usage_report.figures = node.state.pending_usage.clone();
            }
            self.send(index, Message::Report(usage_report));
        }
    }

    fn deliver_message(&mut self, index: usize, lost: bool, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let in_flight_message = self.in_flight.swap_remove(index % self.in_flight.len());
        match in_flight_message.message.clone() {
            Message::Order(order) => self.deliver_order(&in_flight_message, &order, lost, answered),
            Message::Report(report) if !lost => self.deliver_report(&in_flight_message, report),
            Message::Report(_) => {}
        }
    }

    fn deliver_order(
        &mut self,
        in_flight_message: &InFlightMessage,
        order: &PlatformOrder,
        lost: bool,
        answered: bool,
    ) {
        let result = if lost {
            Err(answer_lost_error())
        } else if self.now_ms > in_flight_message.sent_ms + order.valid_ms {
            Err(PlatformError::Expired)
        } else {
            Ok(self.execute_order(order))
        };
        let result = if answered {
            result
        } else {
            Err(answer_lost_error())
        };
        let node = &mut self.nodes[in_flight_message.sender];
        if node.incarnation != in_flight_message.incarnation {
            return;
        }
        node.observe();
        if let Some(term) = node.orders.term(node.clock_ms) {
            let outcome_step = node.protocol.on_answer(term, order.order, &result);
            if let Some(Step::AppendOutcome(record)) = outcome_step {
                self.submit(in_flight_message.sender, record, AppendBehaviour::Applied);
            }
        }
    }

    /// Executes an order like a platform that does not check fencing numbers, so that only the
    /// guard time prevents conflicting orders.
    fn execute_order(&mut self, order: &PlatformOrder) -> PlatformOrderDone {
        let newest_fencing = self.oracle.newest_order_fencing;
        self.options.check(
            Guarantee::OneOrders,
            order.fencing >= newest_fencing,
            format!(
                "an order with fencing number {} was executed after one with {newest_fencing}",
                order.fencing
            ),
        );
        self.oracle.newest_order_fencing = order.fencing;
        let done = PlatformOrderDone {
            endpoint: format!("e{}", order.order).into(),
        };
        self.completed_orders
            .entry(order.order)
            .or_insert(done)
            .clone()
    }

    fn deliver_report(&mut self, in_flight_message: &InFlightMessage, report: UsageReport) {
        let first_figures = self.oracle.reported.entry(report.window);
        let first_figures = first_figures.or_insert_with(|| report.figures.clone());
        self.options.check(
            Guarantee::OneReports,
            *first_figures == report.figures,
            format!(
                "usage window {} was reported again with different figures",
                report.window
            ),
        );
        // A report that was in flight when its sender lost the lease is harmless, because its
        // figures come from the log.
        self.oracle.newest_report_fencing = self.oracle.newest_report_fencing.max(report.fencing);
        let (region, window) = (report.region, report.window);
        if self.nodes[in_flight_message.sender].incarnation == in_flight_message.incarnation {
            let record = Record::WindowReported { region, window };
            self.submit(in_flight_message.sender, record, AppendBehaviour::Applied);
        }
    }

    /// Appends one of the delayed records, unless the log is down.
    fn apply_delayed_append(&mut self, index: usize) {
        if self.delayed_appends.is_empty() || self.log_down {
            return;
        }
        let envelope = self
            .delayed_appends
            .swap_remove(index % self.delayed_appends.len());
        self.append(envelope);
    }

    fn restart(&mut self, index: usize) {
        self.next_incarnation += 1;
        let clock_ms = self.nodes[index].clock_ms;
        let mut node = Node::new(index, self.next_incarnation, clock_ms);
        if self.options.has(PlantedFault::StartsAtHead) {
            node.state.folded = self.log.len() as u64;
        }
        self.nodes[index] = node;
    }

    fn configure(&mut self, index: usize, behaviour: AppendBehaviour) {
        let node = &self.nodes[index];
        let mut configuration = Configuration::default();
        configuration.tolerances.usage_window_ms = USAGE_WINDOW_MS;
        configuration.tolerances.lease_ms = LEASE_MS;
        let record = Record::Configuration {
            base_revision: node.state.revision,
            text: format!("by {} at {}", node.id, self.now_ms).into(),
            configuration: Arc::new(configuration),
        };
        self.submit(index, record, behaviour);
    }

    fn grant(&mut self, index: usize, key: u8) {
        let record = Record::KeyGranted {
            key_id: key_id(key),
            digest: [key; 32],
            organisation: "lodges".into(),
        };
        self.submit(index, record, AppendBehaviour::Applied);
    }

    fn count_usage(&mut self, index: usize, tokens: u64) {
        if self.log_down {
            return;
        }
        let node = &mut self.nodes[index];
        node.usage_sequence += 1;
        let figures = UsageFigures {
            requests: 1,
            tokens,
        };
        let record = Record::UsageCounts {
            sequence: node.usage_sequence,
            of_instance: node.id.clone(),
            of_incarnation: node.incarnation,
            figures: [("lodges".into(), figures)].into(),
        };
        self.submit(index, record, AppendBehaviour::Applied);
    }

    fn check(&self) {
        self.check_holders();
        for node in &self.nodes {
            self.check_node(node);
        }
    }

    /// Checks that at most one instance considers itself the holder of each lease.
    fn check_holders(&self) {
        let orders = self.nodes.iter();
        let orders = orders.filter(|node| node.orders.term(node.clock_ms).is_some());
        let count = orders.count();
        self.options.check(
            Guarantee::OneOrders,
            count <= 1,
            format!("{count} instances hold the orders lease"),
        );
        let usage = self.nodes.iter();
        let usage = usage.filter(|node| node.usage.term(node.clock_ms).is_some());
        let count = usage.count();
        self.options.check(
            Guarantee::OneReports,
            count <= 1,
            format!("{count} instances hold the usage lease"),
        );
    }

    /// Checks that a node at the head of the log has the newest configuration and rejects withdrawn
    /// keys, and that no node reverts to an older configuration.
    fn check_node(&self, node: &Node) {
        let state = &node.state;
        let at_head = state.folded == self.log.len() as u64;
        let full_state = &self.oracle.full_state;
        let is_same = (state.revision, &state.text) == (full_state.revision, &full_state.text);
        self.options.check(
            Guarantee::ConfigurationHolds,
            !at_head || is_same,
            format!(
                "{} has a wrong configuration, revision {}, at the log head",
                node.id, state.revision
            ),
        );
        let has_reverted = state.revision < node.newest_revision;
        self.options.check(
            Guarantee::ConfigurationHolds,
            !has_reverted,
            format!("{} reverted to revision {}", node.id, state.revision),
        );
        let is_accepted = |key: &&Arc<str>| state.keys.is_in_force(key);
        let accepted_key = self.oracle.withdrawn.iter().find(is_accepted);
        self.options.check(
            Guarantee::WithdrawnStops,
            !at_head || accepted_key.is_none(),
            format!("{} accepts {accepted_key:?}, which is withdrawn", node.id),
        );
    }
}

/// Plants [`PlantedFault::RegrantsKey`]: grants the key although it has been withdrawn.
fn apply_regrant_fault(options: CaseOptions, state: &mut State, envelope: &Envelope) {
    let Record::KeyGranted { key_id, .. } = &envelope.record else {
        return;
    };
    if !options.has(PlantedFault::RegrantsKey) || state.keys.is_in_force(key_id) {
        return;
    }
    let mut keys = crate::keys::KeyTable::default();
    keys.grant(crate::keys::KeyEntry {
        key_id: key_id.clone(),
        digest: [0; 32],
        organisation: "lodges".into(),
        withdrawn: false,
    });
    state.keys = Arc::new(keys);
}

fn answer_lost_error() -> PlatformError {
    PlatformError::Unknown {
        reason: "the answer was lost".into(),
    }
}

fn start_order() -> PlatformAction {
    PlatformAction::Start {
        service: "draft".into(),
        failure_domain: "saiq".into(),
        tier: Tier::Firm,
    }
}

fn key_id(key: u8) -> Arc<str> {
    format!("fk-{key}").into()
}
