//! Instances that fold one log: leases, orders, usage windows, keys and configurations.
//!
//! The log loses answers, delays appends and goes away; instances pause, restart and have clocks
//! of their own speed.

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
    Plant,
    Promise,
    Setting, //
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

/// The faults that this machine can plant.
pub(super) const PLANTS: [(Plant, Promise); 7] = [
    (Plant::ClockStopsInPause, Promise::OneOrders),
    (Plant::ClockStopsInPause, Promise::OneReports),
    (Plant::ClaimsEarly, Promise::OneOrders),
    (Plant::ClaimsEarly, Promise::OneReports),
    (Plant::FreshFigures, Promise::OneReports),
    (Plant::StartsAtHead, Promise::ConfigurationHolds),
    (Plant::RegrantsKey, Promise::WithdrawnStops),
];

const NODES: usize = 3;
const LEASE_MS: u64 = 10_000;
/// Orders are dropped when they arrive later than this after they were sent.
const VALID_MS: u64 = 2_000;
/// How long a successor lets orders of the last holder run out.
const GUARD_MS: u64 = 3_000;
const WINDOW_MS: u64 = 1_000;
/// Speeds of the clocks, in thousandths.
const SPEEDS: [u64; NODES] = [970, 1_000, 1_030];
/// Keys that operators grant and withdraw.
const KEYS: u8 = 3;

/// What becomes of an append.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fate {
    /// It is taken and answered.
    Taken,
    /// It is taken, and the answer is lost.
    AnswerLost,
    /// It is refused without effect.
    Refused,
    /// Its answer is lost, and it is taken some time later.
    Late,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Time passes for all.
    Pass { length_ms: u64 },
    /// A process stands still for a while; the others go on.
    Pause { node: usize, length_ms: u64 },
    /// A node reads the log, if it is there.
    Read { node: usize, records: usize },
    /// A node looks after its leases, orders and windows.
    Look { node: usize, fate: Fate },
    /// A message to the platform arrives, or is lost on the way.
    Arrive {
        index: usize,
        lost: bool,
        answered: bool,
    },
    /// A late append arrives.
    LateAppend { index: usize },
    /// The log goes away or comes back.
    Away { away: bool },
    /// A process dies and a new one takes its place.
    Restart { node: usize },
    /// An operator changes the configuration through a node.
    Configure { node: usize, fate: Fate },
    /// An operator grants a key.
    Grant { node: usize, key: u8 },
    /// An operator withdraws a key.
    Withdraw { node: usize, key: u8 },
    /// Some usage is counted.
    Count { node: usize, tokens: u64 },
}

pub(super) struct ControlMachine;

impl ReferenceStateMachine for ControlMachine {
    type State = Setting;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Setting> {
        Just(Setting::default()).boxed()
    }

    fn transitions(_: &Setting) -> BoxedStrategy<Transition> {
        let node = 0..NODES;
        let fate = prop_oneof![
            6 => Just(Fate::Taken),
            1 => Just(Fate::AnswerLost),
            1 => Just(Fate::Refused),
            1 => Just(Fate::Late),
        ];
        let fates = fate.clone();
        prop_oneof![
            6 => (1..4_000u64).prop_map(|length_ms| Transition::Pass { length_ms }),
            2 => (node.clone(), 1_000..30_000u64)
                .prop_map(|(node, length_ms)| Transition::Pause { node, length_ms }),
            12 => (node.clone(), 1..20usize)
                .prop_map(|(node, records)| Transition::Read { node, records }),
            14 => (node.clone(), fate).prop_map(|(node, fate)| Transition::Look { node, fate }),
            8 => (any::<usize>(), prop::bool::weighted(0.1), prop::bool::weighted(0.8)).prop_map(
                |(index, lost, answered)| Transition::Arrive { index, lost, answered }
            ),
            1 => any::<usize>().prop_map(|index| Transition::LateAppend { index }),
            1 => any::<bool>().prop_map(|away| Transition::Away { away }),
            1 => node.clone().prop_map(|node| Transition::Restart { node }),
            2 => (node.clone(), fates)
                .prop_map(|(node, fate)| Transition::Configure { node, fate }),
            1 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Transition::Grant { node, key }),
            1 => (node.clone(), 0..KEYS)
                .prop_map(|(node, key)| Transition::Withdraw { node, key }),
            2 => (node, 1..100u64).prop_map(|(node, tokens)| Transition::Count { node, tokens }),
        ]
        .boxed()
    }

    fn apply(state: Setting, _: &Transition) -> Setting {
        state
    }
}

pub(super) struct ControlTest;

impl StateMachineTest for ControlTest {
    type SystemUnderTest = World;
    type Reference = ControlMachine;

    fn init_test(setting: &Setting) -> World {
        World::new(*setting)
    }

    fn apply(mut world: World, _: &Setting, transition: Transition) -> World {
        world.take(transition);
        world
    }

    fn check_invariants(world: &World, _: &Setting) {
        world.check();
    }
}

/// A message on its way to the platform.
#[derive(Clone, Debug)]
enum Message {
    Order(PlatformOrder),
    Report(UsageReport),
}

#[derive(Clone, Debug)]
struct InFlight {
    sender: usize,
    incarnation: u64,
    sent_ms: u64,
    message: Message,
}

struct Node {
    id: Arc<str>,
    incarnation: u64,
    serial: u64,
    clock_ms: u64,
    state: State,
    orders: Lease,
    usage: Lease,
    protocol: Protocol,
    windows: Windows,
    count_sequence: u64,
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
            protocol: Protocol::new(VALID_MS),
            windows: Windows::default(),
            count_sequence: 0,
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

    /// Takes the fold into both leases.
    fn observe(&mut self) {
        let entry = self.state.leases.get(&orders_lease(ALL_REGIONS));
        self.orders.observe(self.clock_ms, entry);
        let entry = self.state.leases.get(&usage_lease(ALL_REGIONS));
        self.usage.observe(self.clock_ms, entry);
    }
}

/// What the oracle remembers.
#[derive(Default)]
struct Oracle {
    /// The fold of everything that the log took.
    truth: State,
    /// Keys that the log holds as withdrawn.
    withdrawn: BTreeSet<Arc<str>>,
    /// The figures that each window was first reported with.
    reported: BTreeMap<u64, Figures>,
    /// The newest fencing number that had an effect, by kind of message.
    newest_order: u64,
    newest_report: u64,
}

pub(super) struct World {
    setting: Setting,
    now_ms: u64,
    away: bool,
    log: Vec<Envelope>,
    late: Vec<Envelope>,
    nodes: Vec<Node>,
    next_incarnation: u64,
    in_flight: Vec<InFlight>,
    done: BTreeMap<u64, PlatformOrderDone>,
    oracle: Oracle,
}

impl World {
    fn new(setting: Setting) -> Self {
        let nodes = (0..NODES).map(|index| Node::new(index, index as u64 + 1, 1_000));
        Self {
            setting,
            now_ms: 0,
            away: false,
            log: Vec::new(),
            late: Vec::new(),
            nodes: nodes.collect(),
            next_incarnation: 100,
            in_flight: Vec::new(),
            done: BTreeMap::new(),
            oracle: Oracle::default(),
        }
    }

    fn take(&mut self, transition: Transition) {
        match transition {
            Transition::Pass { length_ms } => self.pass(length_ms, None),
            Transition::Pause { node, length_ms } => self.pass(length_ms, Some(node)),
            Transition::Read { node, records } => self.read(node, records),
            Transition::Look { node, fate } => self.look(node, fate),
            Transition::Arrive {
                index,
                lost,
                answered,
            } => self.arrive(index, lost, answered),
            Transition::LateAppend { index } => self.late_append(index),
            Transition::Away { away } => self.away = away,
            Transition::Restart { node } => self.restart(node),
            Transition::Configure { node, fate } => self.configure(node, fate),
            Transition::Grant { node, key } => self.grant(node, key),
            Transition::Withdraw { node, key } => {
                let key_id = key_id(key);
                self.submit(node, Record::KeyWithdrawn { key_id }, Fate::Taken);
            }
            Transition::Count { node, tokens } => self.count(node, tokens),
        }
    }

    /// Time passes. With a paused process the others act every second, as they would.
    fn pass(&mut self, length_ms: u64, paused: Option<usize>) {
        let mut left_ms = length_ms;
        while left_ms > 0 {
            let step_ms = left_ms.min(1_000);
            left_ms -= step_ms;
            self.now_ms += step_ms;
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let stopped = self.setting.has(Plant::ClockStopsInPause) && paused == Some(index);
                if !stopped {
                    node.clock_ms += step_ms * SPEEDS[index] / 1_000;
                }
            }
            if let Some(paused) = paused {
                for index in (0..NODES).filter(|&index| index != paused) {
                    self.read(index, usize::MAX);
                    self.look(index, Fate::Taken);
                }
            }
        }
    }

    fn append(&mut self, envelope: Envelope) -> u64 {
        let offset = self.log.len() as u64;
        let _ = self.oracle.truth.fold(offset, &envelope);
        for key in self.oracle.truth.keys.iter().filter(|key| key.withdrawn) {
            self.oracle.withdrawn.insert(key.key_id.clone());
        }
        self.log.push(envelope);
        offset
    }

    /// Submits a record; false when it certainly had no effect.
    fn submit(&mut self, node: usize, record: Record, fate: Fate) -> bool {
        if self.away || matches!(fate, Fate::Refused) {
            return false;
        }
        let envelope = self.nodes[node].envelope(record);
        if matches!(fate, Fate::Late) {
            self.late.push(envelope);
            return true;
        }
        self.append(envelope);
        if matches!(fate, Fate::Taken) {
            self.read(node, usize::MAX);
        }
        true
    }

    fn read(&mut self, index: usize, records: usize) {
        if self.away {
            return;
        }
        let setting = self.setting;
        let node = &mut self.nodes[index];
        for envelope in self
            .log
            .iter()
            .skip(node.state.folded as usize)
            .take(records)
        {
            let offset = node.state.folded;
            let _ = node.state.fold(offset, envelope);
            regrant(setting, &mut node.state, envelope);
        }
        node.observe();
    }

    fn look(&mut self, index: usize, fate: Fate) {
        for is_orders in [true, false] {
            self.keep_lease(index, is_orders, fate);
        }
        self.give_orders(index, fate);
        self.report_usage(index, fate);
    }

    fn keep_lease(&mut self, index: usize, is_orders: bool, fate: Fate) {
        let head = self.log.len() as u64;
        let early = self.setting.has(Plant::ClaimsEarly);
        let node = &mut self.nodes[index];
        node.observe();
        let now_ms = node.clock_ms;
        let lease = if is_orders {
            &mut node.orders
        } else {
            &mut node.usage
        };
        let decided_ms = if early { now_ms + LEASE_MS } else { now_ms };
        let decided = lease.decide(decided_ms, LEASE_MS, index as u64, false);
        let action = decided.or_else(|| lease.resend(LEASE_MS));
        let Some(Action::Claim {
            replaces, renewal, ..
        }) = action
        else {
            return;
        };
        let behind = node.state.folded != head;
        if !renewal && (self.away || behind) {
            lease.append_refused();
            return;
        }
        let region = if is_orders {
            orders_lease(ALL_REGIONS)
        } else {
            usage_lease(ALL_REGIONS)
        };
        let record = Record::LeaseClaim {
            lease: region,
            replaces,
            lease_ms: LEASE_MS,
        };
        let sent = self.submit(index, record, fate);
        let node = &mut self.nodes[index];
        if !sent {
            let lease = if is_orders {
                &mut node.orders
            } else {
                &mut node.usage
            };
            lease.append_refused();
        }
        node.observe();
    }

    fn give_orders(&mut self, index: usize, fate: Fate) {
        let node = &mut self.nodes[index];
        let Some(term) = node.orders.term(node.clock_ms) else {
            node.protocol.lost_lease();
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
                    self.submit(index, record, fate);
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
        self.in_flight.push(InFlight {
            sender,
            incarnation: self.nodes[sender].incarnation,
            sent_ms: self.now_ms,
            message,
        });
    }

    fn report_usage(&mut self, index: usize, fate: Fate) {
        let node = &mut self.nodes[index];
        let Some(term) = node.usage.term(node.clock_ms) else {
            node.windows.lost_lease();
            return;
        };
        if let Some(record) = node.windows.close(node.clock_ms, term, &node.state) {
            self.submit(index, record, fate);
        }
        let node = &mut self.nodes[index];
        for (region, window) in unreported(&node.state) {
            let node = &self.nodes[index];
            let term = node.usage.term(node.clock_ms);
            let built = report(term, &node.state, &region, window, &node.id);
            let Some(mut built) = built else {
                continue;
            };
            if self.setting.has(Plant::FreshFigures) {
                built.figures = node.state.pending_usage.clone();
            }
            self.send(index, Message::Report(built));
        }
    }

    fn arrive(&mut self, index: usize, lost: bool, answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let flying = self.in_flight.swap_remove(index % self.in_flight.len());
        match flying.message.clone() {
            Message::Order(order) => self.order_arrives(&flying, &order, lost, answered),
            Message::Report(report) if !lost => self.report_arrives(&flying, report),
            Message::Report(_) => {}
        }
    }

    fn order_arrives(
        &mut self,
        flying: &InFlight,
        order: &PlatformOrder,
        lost: bool,
        answered: bool,
    ) {
        let result = if lost {
            Err(lost_answer())
        } else if self.now_ms > flying.sent_ms + order.valid_ms {
            Err(PlatformError::Expired)
        } else {
            Ok(self.carry_out(order))
        };
        let result = if answered { result } else { Err(lost_answer()) };
        let node = &mut self.nodes[flying.sender];
        if node.incarnation != flying.incarnation {
            return;
        }
        node.observe();
        if let Some(term) = node.orders.term(node.clock_ms) {
            let settled = node.protocol.answered(term, order.order, &result);
            if let Some(Step::AppendOutcome(record)) = settled {
                self.submit(flying.sender, record, Fate::Taken);
            }
        }
    }

    /// The platform here checks no fencing number: the guard alone has to do.
    fn carry_out(&mut self, order: &PlatformOrder) -> PlatformOrderDone {
        let newest = self.oracle.newest_order;
        self.setting.check(
            Promise::OneOrders,
            order.fencing >= newest,
            format!(
                "an order under {} came after one under {newest}",
                order.fencing
            ),
        );
        self.oracle.newest_order = order.fencing;
        let done = PlatformOrderDone {
            endpoint: format!("e{}", order.order).into(),
        };
        self.done.entry(order.order).or_insert(done).clone()
    }

    fn report_arrives(&mut self, flying: &InFlight, report: UsageReport) {
        let first = self.oracle.reported.entry(report.window);
        let first = first.or_insert_with(|| report.figures.clone());
        self.setting.check(
            Promise::OneReports,
            *first == report.figures,
            format!("window {} came with other figures", report.window),
        );
        // A report that was under way when its sender lost the lease is harmless: its figures
        // are those of the log.
        self.oracle.newest_report = self.oracle.newest_report.max(report.fencing);
        let (region, window) = (report.region, report.window);
        if self.nodes[flying.sender].incarnation == flying.incarnation {
            let record = Record::WindowReported { region, window };
            self.submit(flying.sender, record, Fate::Taken);
        }
    }

    fn late_append(&mut self, index: usize) {
        if self.late.is_empty() || self.away {
            return;
        }
        let envelope = self.late.swap_remove(index % self.late.len());
        self.append(envelope);
    }

    fn restart(&mut self, index: usize) {
        self.next_incarnation += 1;
        let clock_ms = self.nodes[index].clock_ms;
        let mut node = Node::new(index, self.next_incarnation, clock_ms);
        if self.setting.has(Plant::StartsAtHead) {
            node.state.folded = self.log.len() as u64;
        }
        self.nodes[index] = node;
    }

    fn configure(&mut self, index: usize, fate: Fate) {
        let node = &self.nodes[index];
        let mut configuration = Configuration::default();
        configuration.tolerances.usage_window_ms = WINDOW_MS;
        configuration.tolerances.lease_ms = LEASE_MS;
        let record = Record::Configuration {
            base_revision: node.state.revision,
            text: format!("by {} at {}", node.id, self.now_ms).into(),
            configuration: Arc::new(configuration),
        };
        self.submit(index, record, fate);
    }

    fn grant(&mut self, index: usize, key: u8) {
        let record = Record::KeyGranted {
            key_id: key_id(key),
            digest: [key; 32],
            organisation: "lodges".into(),
        };
        self.submit(index, record, Fate::Taken);
    }

    fn count(&mut self, index: usize, tokens: u64) {
        if self.away {
            return;
        }
        let node = &mut self.nodes[index];
        node.count_sequence += 1;
        let figures = UsageFigures {
            requests: 1,
            tokens,
        };
        let record = Record::UsageCounts {
            sequence: node.count_sequence,
            of_instance: node.id.clone(),
            of_incarnation: node.incarnation,
            figures: [("lodges".into(), figures)].into(),
        };
        self.submit(index, record, Fate::Taken);
    }

    fn check(&self) {
        self.check_holders();
        for node in &self.nodes {
            self.check_node(node);
        }
    }

    fn check_holders(&self) {
        let orders = self.nodes.iter();
        let orders = orders.filter(|node| node.orders.term(node.clock_ms).is_some());
        let count = orders.count();
        self.setting.check(
            Promise::OneOrders,
            count <= 1,
            format!("{count} hold the orders lease"),
        );
        let usage = self.nodes.iter();
        let usage = usage.filter(|node| node.usage.term(node.clock_ms).is_some());
        let count = usage.count();
        self.setting.check(
            Promise::OneReports,
            count <= 1,
            format!("{count} hold the usage lease"),
        );
    }

    /// A node that has read everything is where the log is, and no node goes back.
    fn check_node(&self, node: &Node) {
        let state = &node.state;
        let at_head = state.folded == self.log.len() as u64;
        let truth = &self.oracle.truth;
        let same = (state.revision, &state.text) == (truth.revision, &truth.text);
        self.setting.check(
            Promise::ConfigurationHolds,
            !at_head || same,
            format!("{} has revision {} at the head", node.id, state.revision),
        );
        let reverted = state.revision < node.newest_revision;
        self.setting.check(
            Promise::ConfigurationHolds,
            !reverted,
            format!("{} went back to revision {}", node.id, state.revision),
        );
        let works = |key: &&Arc<str>| state.keys.is_in_force(key);
        let working = self.oracle.withdrawn.iter().find(works);
        self.setting.check(
            Promise::WithdrawnStops,
            !at_head || working.is_none(),
            format!("{} takes {working:?}, which is withdrawn", node.id),
        );
    }
}

/// The planted fault of a fold that lets a withdrawn key in again.
fn regrant(setting: Setting, state: &mut State, envelope: &Envelope) {
    let Record::KeyGranted { key_id, .. } = &envelope.record else {
        return;
    };
    if !setting.has(Plant::RegrantsKey) || state.keys.is_in_force(key_id) {
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

fn lost_answer() -> PlatformError {
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
