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
    Plant,
    Promise,
    Setting, //
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
pub(super) const PLANTS: [(Plant, Promise); 2] = [
    (Plant::NewcomersVote, Promise::WithdrawnStops),
    (Plant::ConfirmsUnread, Promise::ConfigurationHolds),
];

const NODES: usize = 3;
/// Virtual time at which all instances start.
const START_MS: u64 = 1_000;
/// Time between two looks of an instance at log and peers.
const LOOK_MS: u64 = 500;
/// Longest that a withdrawn key may work, and that a change may be missing, as the users allow.
const WITHDRAWAL_MS: u64 = 5_000;
const IN_FORCE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
pub(super) enum Transition {
    /// Time passes; instances look at log and peers.
    Pass { length_ms: u64 },
    /// The log goes away or comes back, for all.
    Away { away: bool },
    /// An instance is cut off from everything, or connected again.
    Cut { node: usize, cut: bool },
    /// An instance stands still.
    Pause { node: usize, length_ms: u64 },
    /// An instance is replaced by a new one that knows nothing.
    Restart { node: usize },
    /// An operator withdraws a key at an instance.
    Withdraw { node: usize, key: u8 },
    /// An operator changes the configuration at an instance.
    Change { node: usize },
}

pub(super) struct FreshnessMachine;

impl ReferenceStateMachine for FreshnessMachine {
    type State = Setting;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Setting> {
        Just(Setting::default()).boxed()
    }

    fn transitions(_: &Setting) -> BoxedStrategy<Transition> {
        let node = 0..NODES;
        prop_oneof![
            8 => (1..8_000u64).prop_map(|length_ms| Transition::Pass { length_ms }),
            2 => any::<bool>().prop_map(|away| Transition::Away { away }),
            3 => (node.clone(), any::<bool>())
                .prop_map(|(node, cut)| Transition::Cut { node, cut }),
            1 => (node.clone(), 1..20_000u64)
                .prop_map(|(node, length_ms)| Transition::Pause { node, length_ms }),
            1 => node.clone().prop_map(|node| Transition::Restart { node }),
            3 => (node.clone(), any::<u8>())
                .prop_map(|(node, key)| Transition::Withdraw { node, key }),
            2 => node.prop_map(|node| Transition::Change { node }),
        ]
        .boxed()
    }

    fn apply(state: Setting, _: &Transition) -> Setting {
        state
    }
}

pub(super) struct FreshnessTest;

impl StateMachineTest for FreshnessTest {
    type SystemUnderTest = World;
    type Reference = FreshnessMachine;

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

struct Node {
    folded: usize,
    freshness: Freshness,
    /// Keys that are withdrawn here, by the log or by a denial.
    withdrawn: BTreeSet<u8>,
    /// Denials that the log does not hold yet.
    denied: BTreeSet<u8>,
    cut: bool,
    paused_until_ms: u64,
}

impl Node {
    fn new(index: usize, now_ms: u64) -> Self {
        Self {
            folded: 0,
            freshness: Freshness::new(name(index), now_ms),
            withdrawn: BTreeSet::new(),
            denied: BTreeSet::new(),
            cut: false,
            paused_until_ms: 0,
        }
    }
}

/// One record of the log: a withdrawal or some other change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Withdrawal(u8),
    Change,
}

pub(super) struct World {
    setting: Setting,
    now_ms: u64,
    away: bool,
    /// Records with the time at which more than half of the instances had read them.
    log: Vec<(Entry, Option<u64>)>,
    nodes: Vec<Node>,
    /// Keys that an operator withdrew.
    asked: BTreeSet<u8>,
    /// When more than half of the instances had taken each withdrawal.
    accepted_ms: BTreeMap<u8, u64>,
    /// Instances that could not hear of a withdrawal: see [`World::excuse`].
    excused: BTreeSet<(usize, u8)>,
}

impl World {
    fn new(setting: Setting) -> Self {
        let mut world = Self {
            setting,
            now_ms: START_MS,
            away: false,
            log: Vec::new(),
            nodes: (0..NODES).map(|index| Node::new(index, START_MS)).collect(),
            asked: BTreeSet::new(),
            accepted_ms: BTreeMap::new(),
            excused: BTreeSet::new(),
        };
        for node in 0..NODES {
            world.look(node);
        }
        world
    }

    fn take(&mut self, transition: Transition) {
        match transition {
            Transition::Pass { length_ms } => self.pass(length_ms),
            Transition::Away { away } => self.away = away,
            Transition::Cut { node, cut } => self.nodes[node].cut = cut,
            Transition::Pause { node, length_ms } => {
                self.nodes[node].paused_until_ms = self.now_ms + length_ms;
            }
            Transition::Restart { node } => self.restart(node),
            Transition::Withdraw { node, key } => self.withdraw(node, key),
            Transition::Change { node } => {
                if self.reaches_log(node) && self.is_running(node) {
                    self.log.push((Entry::Change, None));
                }
            }
        }
    }

    /// The operator was told that a withdrawal is not durable before the log has it: it may be
    /// lost with an instance that holds it.
    fn restart(&mut self, node: usize) {
        for key in &self.nodes[node].denied {
            self.accepted_ms.remove(key);
            self.asked.remove(key);
        }
        let cut = self.nodes[node].cut;
        self.nodes[node] = Node::new(node, self.now_ms);
        self.nodes[node].cut = cut;
    }

    fn pass(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + LOOK_MS);
            for node in 0..NODES {
                if self.is_running(node) {
                    self.look(node);
                }
            }
            self.accept();
            self.excuse();
            self.check();
        }
    }

    fn is_running(&self, node: usize) -> bool {
        self.now_ms >= self.nodes[node].paused_until_ms
    }

    fn reaches_log(&self, node: usize) -> bool {
        !self.away && !self.nodes[node].cut
    }

    /// The instances that a running instance can ask.
    fn peers_of(&self, node: usize) -> Vec<usize> {
        if self.nodes[node].cut {
            return Vec::new();
        }
        let others = (0..NODES).filter(|&other| other != node);
        others
            .filter(|&other| !self.nodes[other].cut && self.is_running(other))
            .collect()
    }

    /// What an instance does at every look: the log first, then its peers.
    fn look(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let known = self.known_members(node);
        self.nodes[node].freshness.update_members(now_ms, &known);
        if self.reaches_log(node) {
            self.append_denied(node);
            self.fold(node, self.log.len());
            self.nodes[node].freshness.log_reached(now_ms);
            self.nodes[node].freshness.log_confirmed(now_ms, &known);
        } else {
            self.nodes[node].freshness.log_failed(now_ms);
        }
        if self.setting.has(Plant::ConfirmsUnread) {
            // The log's head is taken for confirmed whatever became of the read.
            self.nodes[node].freshness.log_confirmed(now_ms, &known);
        }
        self.ask_peers(node);
    }

    /// Whom membership shows as there: at worst those that answer now.
    fn known_members(&self, node: usize) -> Vec<Member> {
        let mut known = self.peers_of(node);
        known.push(node);
        known.into_iter().map(member).collect()
    }

    fn append_denied(&mut self, node: usize) {
        let denied = self.nodes[node].denied.clone();
        for key in denied {
            let entry = Entry::Withdrawal(key);
            if !self.log.iter().any(|(held, _)| *held == entry) {
                self.log.push((entry, None));
            }
        }
    }

    fn fold(&mut self, node: usize, upto: usize) {
        let node = &mut self.nodes[node];
        for (entry, _) in &self.log[node.folded.min(upto)..upto] {
            if let Entry::Withdrawal(key) = entry {
                node.withdrawn.insert(*key);
                node.denied.remove(key);
            }
        }
        node.folded = node.folded.max(upto);
    }

    fn ask_peers(&mut self, node: usize) {
        let now_ms = self.now_ms;
        let mut answers: Vec<(Arc<str>, ReplicaStatus)> = Vec::new();
        for peer in self.peers_of(node) {
            let told = &self.nodes[peer];
            let status = ReplicaStatus {
                folded: told.folded as u64,
                fresh_for_ms: told.freshness.fresh_for_ms(now_ms),
                log_status: self.log_status(peer),
                denied: Vec::new(),
            };
            let (folded, denied) = (told.folded, told.denied.clone());
            self.fold(node, folded);
            self.deny(node, &denied);
            answers.push((name(peer), status));
        }
        let folded = self.nodes[node].folded as u64;
        self.nodes[node]
            .freshness
            .observe_peers(now_ms, folded, &answers);
    }

    fn log_status(&self, node: usize) -> LogStatus {
        if self.setting.has(Plant::NewcomersVote) && !self.reaches_log(node) {
            return LogStatus::Unreachable;
        }
        self.nodes[node].freshness.log_status(self.now_ms)
    }

    fn deny(&mut self, node: usize, keys: &BTreeSet<u8>) {
        for &key in keys {
            self.nodes[node].withdrawn.insert(key);
            let entry = Entry::Withdrawal(key);
            let folded = self.nodes[node].folded;
            let is_held = self.log[..folded].iter().any(|(held, _)| *held == entry);
            if !is_held {
                self.nodes[node].denied.insert(key);
            }
        }
    }

    fn withdraw(&mut self, node: usize, key: u8) {
        if !self.is_running(node) || !self.asked.insert(key) {
            return;
        }
        let keys = BTreeSet::from([key]);
        self.deny(node, &keys);
        for peer in self.peers_of(node) {
            self.deny(peer, &keys);
        }
        if self.reaches_log(node) {
            self.append_denied(node);
        }
        self.accept();
    }

    /// A change counts once more than half of the instances have it: what fewer know of can be
    /// lost with them while the log is away.
    fn accept(&mut self) {
        let nodes = &self.nodes;
        let most = |knows: &dyn Fn(&Node) -> bool| {
            2 * nodes.iter().filter(|node| knows(node)).count() > NODES
        };
        for (offset, (_, accepted_ms)) in self.log.iter_mut().enumerate() {
            if accepted_ms.is_none() && most(&|node| node.folded > offset) {
                *accepted_ms = Some(self.now_ms);
            }
        }
        for key in &self.asked {
            let is_new = !self.accepted_ms.contains_key(key);
            if is_new && most(&|node| node.withdrawn.contains(key)) {
                self.accepted_ms.insert(*key, self.now_ms);
            }
        }
    }

    /// A withdrawal that is not durable yet, as its operator was told, can't be known to an
    /// instance that reads the log again while all who hold the denial are cut off.
    fn excuse(&mut self) {
        for node in 0..NODES {
            if !self.reaches_log(node) {
                continue;
            }
            let peers = self.peers_of(node);
            for &key in self.accepted_ms.keys() {
                let entry = Entry::Withdrawal(key);
                let is_durable = self.log.iter().any(|(held, _)| *held == entry);
                let holds = |peer: &usize| self.nodes[*peer].withdrawn.contains(&key);
                if !is_durable && !peers.iter().any(holds) {
                    self.excused.insert((node, key));
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
            let late = self.now_ms > accepted_ms + WITHDRAWAL_MS;
            self.setting.check(
                Promise::WithdrawnStops,
                !late || node.withdrawn.contains(key) || self.excused.contains(&(index, *key)),
                format!("n{index} serves key {key} withdrawn at {accepted_ms}"),
            );
        }
        let missed = self.log.get(node.folded);
        let accepted_ms = missed.and_then(|(_, accepted_ms)| *accepted_ms);
        let late = accepted_ms.is_some_and(|at_ms| self.now_ms > at_ms + IN_FORCE_MS);
        self.setting.check(
            Promise::ConfigurationHolds,
            !late,
            format!("n{index} serves without {missed:?}"),
        );
    }
}

fn name(index: usize) -> Arc<str> {
    format!("n{index}").into()
}

fn member(index: usize) -> Member {
    Member {
        instance: name(index),
        incarnation: 1,
        failure_domain: "saiq".into(),
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        leaving: false,
        suspect: false,
        revision: 0,
    }
}
