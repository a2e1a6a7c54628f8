//! State machine of instances that serve requests with API keys only while their state is fresh.
//!
//! The checks require that no serving instance misses a key withdrawal or a configuration change,
//! while the log becomes unreachable and instances are isolated, pause and restart.

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
    log::{
        freshness::Freshness,
        LogStatus,
        ReplicaStatus, //
    },
    view::Member, //
};

/// The faults that this state machine can plant, each with the guarantee that it violates.
pub(super) const PLANTED_FAULTS: [(PlantedFault, Guarantee); 2] = [
    (PlantedFault::NewcomersVote, Guarantee::WithdrawnStops),
    (PlantedFault::ConfirmsUnread, Guarantee::ConfigurationHolds),
];

const NODE_COUNT: usize = 3;
/// Virtual time at which all instances start.
const START_MS: u64 = 1_000;
/// Interval at which an instance polls the log and its peers.
const POLL_INTERVAL_MS: u64 = 500;
/// Maximum time that users allow a withdrawn key to stay accepted.
const MAX_WITHDRAWAL_MS: u64 = 5_000;
/// Maximum time that users allow until a configuration change is in force.
const MAX_IN_FORCE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Advances the time; instances poll the log and their peers.
    AdvanceTime { duration_ms: u64 },
    /// The log becomes unreachable, or reachable again, for all instances.
    SetLogDown { log_down: bool },
    /// An instance is isolated from the log and all peers, or connected again.
    SetIsolated { node: usize, isolated: bool },
    /// Pauses an instance: it neither polls nor serves requests.
    Pause { node: usize, duration_ms: u64 },
    /// An instance is replaced by a new one with empty state.
    Restart { node: usize },
    /// An operator withdraws an API key through an instance.
    WithdrawKey { node: usize, key: u8 },
    /// An operator changes the configuration through an instance.
    ChangeConfiguration { node: usize },
}

/// Generates random transitions of the freshness state machine.
pub(super) struct FreshnessMachine;

impl ReferenceStateMachine for FreshnessMachine {
    type State = CaseOptions;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<CaseOptions> {
        Just(CaseOptions::default()).boxed()
    }

    fn transitions(_: &CaseOptions) -> BoxedStrategy<Transition> {
        let node = 0..NODE_COUNT;
        prop_oneof![
            8 => (1..8_000u64).prop_map(|duration_ms| Transition::AdvanceTime { duration_ms }),
            2 => any::<bool>().prop_map(|log_down| Transition::SetLogDown { log_down }),
            3 => (node.clone(), any::<bool>())
                .prop_map(|(node, isolated)| Transition::SetIsolated { node, isolated }),
            1 => (node.clone(), 1..20_000u64)
                .prop_map(|(node, duration_ms)| Transition::Pause { node, duration_ms }),
            1 => node.clone().prop_map(|node| Transition::Restart { node }),
            3 => (node.clone(), any::<u8>())
                .prop_map(|(node, key)| Transition::WithdrawKey { node, key }),
            2 => node.prop_map(|node| Transition::ChangeConfiguration { node }),
        ]
        .boxed()
    }

    fn apply(state: CaseOptions, _: &Transition) -> CaseOptions {
        state
    }
}

/// Applies the transitions to a [`World`] and checks its invariants.
pub(super) struct FreshnessTest;

impl StateMachineTest for FreshnessTest {
    type SystemUnderTest = World;
    type Reference = FreshnessMachine;

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

/// An instance under test.
struct Node {
    /// Number of log records that this instance has read.
    folded: usize,
    freshness: Freshness,
    /// Keys that this instance rejects, because of a log record or a denial from a peer or
    /// an operator.
    withdrawn: BTreeSet<u8>,
    /// Withdrawn keys whose withdrawal this instance has not yet read from the log.
    denied: BTreeSet<u8>,
    isolated: bool,
    paused_until_ms: u64,
}

impl Node {
    fn new(index: usize, now_ms: u64) -> Self {
        Self {
            folded: 0,
            freshness: Freshness::new(instance_id(index), now_ms),
            withdrawn: BTreeSet::new(),
            denied: BTreeSet::new(),
            isolated: false,
            paused_until_ms: 0,
        }
    }
}

/// A record of the log: a key withdrawal or a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogRecord {
    Withdrawal(u8),
    ConfigurationChange,
}

/// The instances, their log, and the facts that the checks compare with the instances.
pub(super) struct World {
    options: CaseOptions,
    now_ms: u64,
    log_down: bool,
    /// Records, each with the time from which a majority of the instances had read it; `None` until
    /// then.
    log: Vec<(LogRecord, Option<u64>)>,
    nodes: Vec<Node>,
    /// Keys that an operator has withdrawn.
    requested_withdrawals: BTreeSet<u8>,
    /// Time from which a majority of the instances rejected each withdrawn key.
    withdrawal_accepted_ms: BTreeMap<u8, u64>,
    /// Pairs of an instance and a withdrawal that the instance could not learn of: see
    /// [`World::exempt_uninformed_instances`].
    exempt_withdrawals: BTreeSet<(usize, u8)>,
}

impl World {
    fn new(options: CaseOptions) -> Self {
        let mut world = Self {
            options,
            now_ms: START_MS,
            log_down: false,
            log: Vec::new(),
            nodes: (0..NODE_COUNT)
                .map(|index| Node::new(index, START_MS))
                .collect(),
            requested_withdrawals: BTreeSet::new(),
            withdrawal_accepted_ms: BTreeMap::new(),
            exempt_withdrawals: BTreeSet::new(),
        };
        for node in 0..NODE_COUNT {
            world.poll(node);
        }
        world
    }

    fn perform(&mut self, transition: Transition) {
        match transition {
            Transition::AdvanceTime { duration_ms } => self.advance_time(duration_ms),
            Transition::SetLogDown { log_down } => self.log_down = log_down,
            Transition::SetIsolated { node, isolated } => self.nodes[node].isolated = isolated,
            Transition::Pause { node, duration_ms } => {
                self.nodes[node].paused_until_ms = self.now_ms + duration_ms;
            }
            Transition::Restart { node } => self.restart(node),
            Transition::WithdrawKey { node, key } => self.withdraw(node, key),
            Transition::ChangeConfiguration { node } => {
                if self.reaches_log(node) && self.is_running(node) {
                    self.log.push((LogRecord::ConfigurationChange, None));
                }
            }
        }
    }

    /// Replaces an instance and stops checking the withdrawals that it had not read from the log.
    /// The operator was told that these are not durable: they may be lost with an instance that
    /// holds them.
    fn restart(&mut self, node: usize) {
        for key in &self.nodes[node].denied {
            self.withdrawal_accepted_ms.remove(key);
            self.requested_withdrawals.remove(key);
        }
        let isolated = self.nodes[node].isolated;
        self.nodes[node] = Node::new(node, self.now_ms);
        self.nodes[node].isolated = isolated;
    }

    fn advance_time(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + POLL_INTERVAL_MS);
            for node in 0..NODE_COUNT {
                if self.is_running(node) {
                    self.poll(node);
                }
            }
            self.record_acceptance();
            self.exempt_uninformed_instances();
            self.check();
        }
    }

    fn is_running(&self, node: usize) -> bool {
        self.now_ms >= self.nodes[node].paused_until_ms
    }

    fn reaches_log(&self, node: usize) -> bool {
        !self.log_down && !self.nodes[node].isolated
    }

    /// Returns the instances that a running instance can reach.
    fn peers_of(&self, node: usize) -> Vec<usize> {
        if self.nodes[node].isolated {
            return Vec::new();
        }
        let peers = (0..NODE_COUNT).filter(|&peer| peer != node);
        peers
            .filter(|&peer| !self.nodes[peer].isolated && self.is_running(peer))
            .collect()
    }

    /// Polls the log and then the reachable peers.
    fn poll(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let members = self.reachable_members(node);
        self.nodes[node].freshness.update_members(now_ms, &members);
        if self.reaches_log(node) {
            self.append_denials(node);
            self.fold(node, self.log.len());
            self.nodes[node].freshness.log_reached(now_ms);
            self.nodes[node].freshness.log_confirmed(now_ms, &members);
        } else {
            self.nodes[node].freshness.log_failed(now_ms);
        }
        if self.options.has(PlantedFault::ConfirmsUnread) {
            // The head of the log counts as confirmed even if the read failed.
            self.nodes[node].freshness.log_confirmed(now_ms, &members);
        }
        self.poll_peers(node);
    }

    /// Returns the smallest membership that the instance can have in its view: itself and the
    /// reachable peers.
    fn reachable_members(&self, node: usize) -> Vec<Member> {
        let mut reachable = self.peers_of(node);
        reachable.push(node);
        reachable.into_iter().map(member).collect()
    }

    /// Appends the withdrawals that this instance has denied but the log does not contain.
    fn append_denials(&mut self, node: usize) {
        let denied = self.nodes[node].denied.clone();
        for key in denied {
            let record = LogRecord::Withdrawal(key);
            if !self.log.iter().any(|(logged, _)| *logged == record) {
                self.log.push((record, None));
            }
        }
    }

    /// Reads the log up to an offset.
    fn fold(&mut self, node: usize, end_offset: usize) {
        let node = &mut self.nodes[node];
        for (record, _) in &self.log[node.folded.min(end_offset)..end_offset] {
            if let LogRecord::Withdrawal(key) = record {
                node.withdrawn.insert(*key);
                node.denied.remove(key);
            }
        }
        node.folded = node.folded.max(end_offset);
    }

    /// Reads the status, the log records and the denials of the reachable peers.
    fn poll_peers(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let mut answers: Vec<(Arc<str>, ReplicaStatus)> = Vec::new();
        for peer in self.peers_of(node) {
            let peer_node = &self.nodes[peer];
            let status = ReplicaStatus {
                folded: peer_node.folded as u64,
                fresh_for_ms: peer_node.freshness.fresh_for_ms(now_ms),
                log_status: self.log_status(peer),
                denied: Vec::new(),
            };
            let (folded, denied) = (peer_node.folded, peer_node.denied.clone());
            self.fold(node, folded);
            self.deny_keys(node, &denied);
            answers.push((instance_id(peer), status));
        }
        let folded = self.nodes[node].folded as u64;
        self.nodes[node]
            .freshness
            .observe_peers(now_ms, folded, &answers);
    }

    /// Returns how this instance reports the log to its peers.
    fn log_status(&self, node: usize) -> LogStatus {
        if self.options.has(PlantedFault::NewcomersVote) && !self.reaches_log(node) {
            return LogStatus::Unreachable;
        }
        self.nodes[node].freshness.log_status(self.now_ms)
    }

    /// Makes an instance reject keys, and keeps those that it has not read from the log as denials.
    fn deny_keys(&mut self, node: usize, keys: &BTreeSet<u8>) {
        for &key in keys {
            self.nodes[node].withdrawn.insert(key);
            let record = LogRecord::Withdrawal(key);
            let folded = self.nodes[node].folded;
            let is_logged = self.log[..folded]
                .iter()
                .any(|(logged, _)| *logged == record);
            if !is_logged {
                self.nodes[node].denied.insert(key);
            }
        }
    }

    /// Withdraws a key through an instance, which informs its reachable peers.
    fn withdraw(&mut self, node: usize, key: u8) {
        if !self.is_running(node) || !self.requested_withdrawals.insert(key) {
            return;
        }
        let keys = BTreeSet::from([key]);
        self.deny_keys(node, &keys);
        for peer in self.peers_of(node) {
            self.deny_keys(peer, &keys);
        }
        if self.reaches_log(node) {
            self.append_denials(node);
        }
        self.record_acceptance();
    }

    /// Records the time at which each change and withdrawal reaches a majority of the instances.
    /// The checks start from that time, because a change that only a minority has can be lost with
    /// those instances during a log outage.
    fn record_acceptance(&mut self) {
        let nodes = &self.nodes;
        let held_by_majority = |has_record: &dyn Fn(&Node) -> bool| {
            2 * nodes.iter().filter(|node| has_record(node)).count() > NODE_COUNT
        };
        for (offset, (_, accepted_ms)) in self.log.iter_mut().enumerate() {
            if accepted_ms.is_none() && held_by_majority(&|node| node.folded > offset) {
                *accepted_ms = Some(self.now_ms);
            }
        }
        for key in &self.requested_withdrawals {
            let is_new = !self.withdrawal_accepted_ms.contains_key(key);
            if is_new && held_by_majority(&|node| node.withdrawn.contains(key)) {
                self.withdrawal_accepted_ms.insert(*key, self.now_ms);
            }
        }
    }

    /// Exempts instances from the check of a withdrawal that they cannot know of: the withdrawal is
    /// not durable yet, which its operator was told, and an instance that reaches the log again
    /// cannot reach any of the instances that hold the denial.
    fn exempt_uninformed_instances(&mut self) {
        for node in 0..NODE_COUNT {
            if !self.reaches_log(node) {
                continue;
            }
            let peers = self.peers_of(node);
            for &key in self.withdrawal_accepted_ms.keys() {
                let record = LogRecord::Withdrawal(key);
                let is_durable = self.log.iter().any(|(logged, _)| *logged == record);
                let has_withdrawal = |peer: &usize| self.nodes[*peer].withdrawn.contains(&key);
                if !is_durable && !peers.iter().any(has_withdrawal) {
                    self.exempt_withdrawals.insert((node, key));
                }
            }
        }
    }

    fn check(&self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let serves = node.freshness.fresh_for_ms(self.now_ms).is_some();
            if serves && self.is_running(index) {
                self.check_serving(index, node);
            }
        }
    }

    /// Checks that an instance that serves requests misses no overdue withdrawal or log record.
    fn check_serving(&self, index: usize, node: &Node) {
        for (key, accepted_ms) in &self.withdrawal_accepted_ms {
            let is_overdue = self.now_ms > accepted_ms + MAX_WITHDRAWAL_MS;
            self.options.check(
                Guarantee::WithdrawnStops,
                !is_overdue
                    || node.withdrawn.contains(key)
                    || self.exempt_withdrawals.contains(&(index, *key)),
                format!("n{index} serves key {key}, withdrawn at {accepted_ms} ms"),
            );
        }
        let missing_record = self.log.get(node.folded);
        let accepted_ms = missing_record.and_then(|(_, accepted_ms)| *accepted_ms);
        let is_overdue = accepted_ms.is_some_and(|at_ms| self.now_ms > at_ms + MAX_IN_FORCE_MS);
        self.options.check(
            Guarantee::ConfigurationHolds,
            !is_overdue,
            format!("n{index} serves requests without log record {missing_record:?}"),
        );
    }
}

fn instance_id(index: usize) -> Arc<str> {
    format!("n{index}").into()
}

fn member(index: usize) -> Member {
    Member {
        instance: instance_id(index),
        incarnation: 1,
        failure_domain: "saiq".into(),
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        leaving: false,
        suspect: false,
        revision: 0,
    }
}
