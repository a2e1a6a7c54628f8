//! Whether instances that serve keyed requests can have missed a withdrawal or a change, while
//! the log goes away and instances are cut off, pause and restart.

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

/// The faults that this machine can plant.
pub(super) const PLANTED_FAULTS: [(PlantedFault, Guarantee); 2] = [
    (PlantedFault::NewcomersVote, Guarantee::WithdrawnStops),
    (PlantedFault::ConfirmsUnread, Guarantee::ConfigurationHolds),
];

const NODE_COUNT: usize = 3;
/// Virtual time at which all instances start.
const START_MS: u64 = 1_000;
/// Time between two looks of an instance at log and peers.
const POLL_INTERVAL_MS: u64 = 500;
/// Longest that a withdrawn key may work, and that a change may be missing, as the users allow.
const MAX_WITHDRAWAL_MS: u64 = 5_000;
const MAX_IN_FORCE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Time passes; instances look at log and peers.
    AdvanceTime { duration_ms: u64 },
    /// The log goes away or comes back, for all.
    SetLogDown { log_down: bool },
    /// An instance is cut off from everything, or connected again.
    SetIsolated { node: usize, isolated: bool },
    /// An instance stands still.
    Pause { node: usize, duration_ms: u64 },
    /// An instance is replaced by a new one that knows nothing.
    Restart { node: usize },
    /// An operator withdraws a key at an instance.
    WithdrawKey { node: usize, key: u8 },
    /// An operator changes the configuration at an instance.
    ChangeConfiguration { node: usize },
}

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

struct Node {
    folded: usize,
    freshness: Freshness,
    /// Keys that are withdrawn here, by the log or by a denial.
    withdrawn: BTreeSet<u8>,
    /// Denials that the log does not hold yet.
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

/// One record of the log: a withdrawal or some other change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Withdrawal(u8),
    ConfigurationChange,
}

pub(super) struct World {
    options: CaseOptions,
    now_ms: u64,
    log_down: bool,
    /// Records with the time at which more than half of the instances had read them.
    log: Vec<(Entry, Option<u64>)>,
    nodes: Vec<Node>,
    /// Keys that an operator withdrew.
    requested_withdrawals: BTreeSet<u8>,
    /// When more than half of the instances had taken each withdrawal.
    accepted_ms: BTreeMap<u8, u64>,
    /// Instances that could not hear of a withdrawal: see [`World::excuse`].
    exempt: BTreeSet<(usize, u8)>,
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
            accepted_ms: BTreeMap::new(),
            exempt: BTreeSet::new(),
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
                    self.log.push((Entry::ConfigurationChange, None));
                }
            }
        }
    }

    /// The operator was told that a withdrawal is not durable before the log has it: it may be
    /// lost with an instance that holds it.
    fn restart(&mut self, node: usize) {
        for key in &self.nodes[node].denied {
            self.accepted_ms.remove(key);
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

    /// The instances that a running instance can ask.
    fn peers_of(&self, node: usize) -> Vec<usize> {
        if self.nodes[node].isolated {
            return Vec::new();
        }
        let others = (0..NODE_COUNT).filter(|&other| other != node);
        others
            .filter(|&other| !self.nodes[other].isolated && self.is_running(other))
            .collect()
    }

    /// What an instance does at every look: the log first, then its peers.
    fn poll(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let known = self.known_members(node);
        self.nodes[node].freshness.update_members(now_ms, &known);
        if self.reaches_log(node) {
            self.append_denials(node);
            self.fold(node, self.log.len());
            self.nodes[node].freshness.log_reached(now_ms);
            self.nodes[node].freshness.log_confirmed(now_ms, &known);
        } else {
            self.nodes[node].freshness.log_failed(now_ms);
        }
        if self.options.has(PlantedFault::ConfirmsUnread) {
            // The log's head is taken for confirmed whatever became of the read.
            self.nodes[node].freshness.log_confirmed(now_ms, &known);
        }
        self.poll_peers(node);
    }

    /// Whom membership shows as there: at worst those that answer now.
    fn known_members(&self, node: usize) -> Vec<Member> {
        let mut known = self.peers_of(node);
        known.push(node);
        known.into_iter().map(member).collect()
    }

    fn append_denials(&mut self, node: usize) {
        let denied = self.nodes[node].denied.clone();
        for key in denied {
            let entry = Entry::Withdrawal(key);
            if !self.log.iter().any(|(logged, _)| *logged == entry) {
                self.log.push((entry, None));
            }
        }
    }

    fn fold(&mut self, node: usize, end_offset: usize) {
        let node = &mut self.nodes[node];
        for (entry, _) in &self.log[node.folded.min(end_offset)..end_offset] {
            if let Entry::Withdrawal(key) = entry {
                node.withdrawn.insert(*key);
                node.denied.remove(key);
            }
        }
        node.folded = node.folded.max(end_offset);
    }

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

    fn log_status(&self, node: usize) -> LogStatus {
        if self.options.has(PlantedFault::NewcomersVote) && !self.reaches_log(node) {
            return LogStatus::Unreachable;
        }
        self.nodes[node].freshness.log_status(self.now_ms)
    }

    fn deny_keys(&mut self, node: usize, keys: &BTreeSet<u8>) {
        for &key in keys {
            self.nodes[node].withdrawn.insert(key);
            let entry = Entry::Withdrawal(key);
            let folded = self.nodes[node].folded;
            let is_logged = self.log[..folded]
                .iter()
                .any(|(logged, _)| *logged == entry);
            if !is_logged {
                self.nodes[node].denied.insert(key);
            }
        }
    }

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

    /// A change counts once more than half of the instances have it: what fewer know of can be
    /// lost with them while the log is away.
    fn record_acceptance(&mut self) {
        let nodes = &self.nodes;
        let is_majority = |has_entry: &dyn Fn(&Node) -> bool| {
            2 * nodes.iter().filter(|node| has_entry(node)).count() > NODE_COUNT
        };
        for (offset, (_, accepted_ms)) in self.log.iter_mut().enumerate() {
            if accepted_ms.is_none() && is_majority(&|node| node.folded > offset) {
                *accepted_ms = Some(self.now_ms);
            }
        }
        for key in &self.requested_withdrawals {
            let is_new = !self.accepted_ms.contains_key(key);
            if is_new && is_majority(&|node| node.withdrawn.contains(key)) {
                self.accepted_ms.insert(*key, self.now_ms);
            }
        }
    }

    /// A withdrawal that is not durable yet, as its operator was told, can't be known to an
    /// instance that reads the log again while all who hold the denial are cut off.
    fn exempt_uninformed_instances(&mut self) {
        for node in 0..NODE_COUNT {
            if !self.reaches_log(node) {
                continue;
            }
            let peers = self.peers_of(node);
            for &key in self.accepted_ms.keys() {
                let entry = Entry::Withdrawal(key);
                let is_durable = self.log.iter().any(|(logged, _)| *logged == entry);
                let has_withdrawal = |peer: &usize| self.nodes[*peer].withdrawn.contains(&key);
                if !is_durable && !peers.iter().any(has_withdrawal) {
                    self.exempt.insert((node, key));
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

    fn check_serving(&self, index: usize, node: &Node) {
        for (key, accepted_ms) in &self.accepted_ms {
            let late = self.now_ms > accepted_ms + MAX_WITHDRAWAL_MS;
            self.options.check(
                Guarantee::WithdrawnStops,
                !late || node.withdrawn.contains(key) || self.exempt.contains(&(index, *key)),
                format!("n{index} serves key {key} withdrawn at {accepted_ms}"),
            );
        }
        let missing_entry = self.log.get(node.folded);
        let accepted_ms = missing_entry.and_then(|(_, accepted_ms)| *accepted_ms);
        let late = accepted_ms.is_some_and(|at_ms| self.now_ms > at_ms + MAX_IN_FORCE_MS);
        self.options.check(
            Guarantee::ConfigurationHolds,
            !late,
            format!("n{index} serves without {missing_entry:?}"),
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
