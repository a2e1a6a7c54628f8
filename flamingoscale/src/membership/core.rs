//! The decision core: events and time in, actions out.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{
    gossip::Gossip,
    Health,
    Message,
    Update, //
};
use crate::view::Member;

mod probing;
mod updates;

/// Hints that wait to be probed.
const MAX_HINTS: usize = 1_024;

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each period.
    pub period_ms: u64,
    /// A direct probe without an answer for this long is tried through others.
    pub direct_timeout_ms: u64,
    /// Members that are asked to probe in one's stead.
    pub indirect_probes: usize,
    /// A suspect that does not refute within this many periods, times the number of decimal
    /// digits of the number of members, counts as dead.
    pub suspicion_periods: u64,
    /// A dead member is forgotten after this long.
    pub dead_retention_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period_ms: 1_000,
            direct_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_periods: 3,
            dead_retention_ms: 600_000,
        }
    }
}

/// Names one probe until its result is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send `message` to a member and bring the answer back under `probe`.
    Send {
        /// Goes with the answer.
        probe: ProbeId,
        /// The member's id; empty where only the address is known.
        instance: Arc<str>,
        /// `ip:port` for peers.
        peer_address: Arc<str>,
        /// The message.
        message: Message,
    },
    /// The list of live members changed.
    Publish(Vec<Member>),
    /// A member's health changed, for logs and the time line.
    Changed {
        /// The member.
        instance: Arc<str>,
        /// How it stands now.
        health: Health,
    },
}

/// What is known of another instance.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    health: Health,
    refutation: u32,
    /// When its health last changed here.
    since_ms: u64,
    /// Set when probes failed: it counts as dead from then on unless it refutes.
    dead_at_ms: Option<u64>,
    retired_incarnations: VecDeque<u64>,
}

/// Somebody that may be an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Hint {
    instance: Arc<str>,
    peer_address: Arc<str>,
}

/// The probe of this period.
#[derive(Clone, Debug)]
struct Probe {
    id: ProbeId,
    target: Arc<str>,
    incarnation: u64,
    indirect_at_ms: u64,
    ends_at_ms: u64,
    indirect_sent: bool,
}

/// One instance's picture of all others.
#[derive(Debug)]
pub struct Membership {
    timing: Timing,
    own: Member,
    refutation: u32,
    peers: BTreeMap<Arc<str>, Peer>,
    probe_order: Vec<Arc<str>>,
    probe: Option<Probe>,
    hints: VecDeque<Hint>,
    gossip: Gossip,
    next_probe: u64,
    next_period_ms: u64,
    period: u64,
    members_changed: bool,
    rng: ChaCha8Rng,
}

impl Membership {
    /// An instance that knows only itself.
    pub fn new(own: Member, timing: Timing, seed: u64) -> Self {
        Self {
            timing,
            own,
            refutation: 0,
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            hints: VecDeque::new(),
            gossip: Gossip::default(),
            next_probe: 0,
            next_period_ms: 0,
            period: 0,
            members_changed: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets what rides on this instance's own probes.
    pub fn set_revision(&mut self, revision: u64) {
        self.members_changed |= self.own.revision != revision;
        self.own.revision = revision;
    }

    /// Says that this instance goes away.
    pub fn leave(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.refutation += 1;
            self.gossip_self();
        }
    }

    /// Adds somebody to probe: a seed, or a row of the platform's lagging list.
    pub fn hint(&mut self, instance: &Arc<str>, peer_address: &Arc<str>) {
        let is_own = *instance == self.own.instance || *peer_address == self.own.peer_address;
        let known = self
            .peers
            .values()
            .any(|peer| peer.health != Health::Dead && peer.member.peer_address == *peer_address);
        let hint = Hint {
            instance: instance.clone(),
            peer_address: peer_address.clone(),
        };
        if is_own || known || self.hints.contains(&hint) || self.hints.len() == MAX_HINTS {
            return;
        }
        self.hints.push_back(hint);
    }

    /// The live members, this instance included, in order of id.
    pub fn members(&self) -> Vec<Member> {
        let live = self
            .peers
            .values()
            .filter(|peer| peer.health != Health::Dead);
        let mut members: Vec<Member> = live.map(Peer::published).collect();
        members.push(self.own.clone());
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        members
    }

    /// How another instance stands; none if it is unknown.
    pub fn health(&self, instance: &str) -> Option<Health> {
        self.peers.get(instance).map(|peer| peer.health)
    }

    /// Lets time pass; to be called several times a period.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.probe_indirectly(now_ms, &mut actions);
        self.expire(now_ms, &mut actions);
        if now_ms >= self.next_period_ms {
            self.next_period_ms = now_ms + self.timing.period_ms;
            self.period += 1;
            self.end_probe(now_ms, &mut actions);
            self.start_probe(now_ms, &mut actions);
            self.probe_hints(&mut actions);
            self.probe_dead(&mut actions);
            self.exchange_periodically(&mut actions);
        }
        self.publish(&mut actions);
        actions
    }

    /// Takes the answer to a message that [`Action::Send`] asked for; none means that it failed.
    pub fn on_answer(
        &mut self,
        now_ms: u64,
        probe: ProbeId,
        answer: Option<Message>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let sender = match answer {
            Some(Message::Ack { sender, gossip }) => {
                let instance = sender.instance.clone();
                self.on_contact(now_ms, sender, &mut actions);
                self.merge(now_ms, gossip, &mut actions);
                Some(instance)
            }
            Some(Message::Exchange { sender, members }) => {
                let instance = sender.instance.clone();
                self.on_contact(now_ms, sender, &mut actions);
                self.merge_exchange(now_ms, members, &mut actions);
                Some(instance)
            }
            _ => None,
        };
        if let Some(current) = &mut self.probe {
            if sender.as_ref() == Some(&current.target) {
                self.probe = None;
            } else if sender.is_none() && current.id == probe {
                // A refused connection is no reason to wait before others are asked.
                current.indirect_at_ms = now_ms;
            }
        }
        self.publish(&mut actions);
        actions
    }

    /// Answers a peer's message, together with what is to be done; nothing for a message that
    /// has no answer here.
    pub fn receive(&mut self, now_ms: u64, message: Message) -> (Option<Message>, Vec<Action>) {
        let mut actions = Vec::new();
        let answer = match message {
            Message::Probe { sender, gossip } => {
                let accusation = self.accusation(&sender.instance);
                self.on_contact(now_ms, sender, &mut actions);
                self.merge(now_ms, gossip, &mut actions);
                Some(self.ack(accusation))
            }
            Message::Exchange { sender, members } => {
                let answer = self.exchange_message();
                self.on_contact(now_ms, sender, &mut actions);
                self.merge_exchange(now_ms, members, &mut actions);
                Some(answer)
            }
            _ => None,
        };
        self.publish(&mut actions);
        (answer, actions)
    }

    /// The message by which this instance probes a member.
    pub fn probe_message(&mut self, target: &str) -> Message {
        let accusation = self.accusation(target);
        Message::Probe {
            sender: self.own.clone(),
            gossip: self.gossip_with(accusation),
        }
    }

    fn ack(&mut self, accusation: Option<Update>) -> Message {
        Message::Ack {
            sender: self.own.clone(),
            gossip: self.gossip_with(accusation),
        }
    }

    /// What is held against a member, for it to hear first and refute.
    fn accusation(&self, instance: &str) -> Option<Update> {
        let peer = self.peers.get(instance)?;
        let held = matches!(peer.health, Health::Suspect | Health::Dead);
        held.then(|| peer.update())
    }

    fn gossip_with(&mut self, accusation: Option<Update>) -> Vec<Update> {
        let mut updates: Vec<Update> = accusation.into_iter().collect();
        updates.extend(
            self.gossip
                .next_updates(self.peers.len() + 1, updates.len()),
        );
        updates
    }

    fn exchange_message(&self) -> Message {
        Message::Exchange {
            sender: self.own.clone(),
            members: self.peers.values().map(Peer::update).collect(),
        }
    }

    fn new_probe(&mut self) -> ProbeId {
        self.next_probe += 1;
        ProbeId(self.next_probe)
    }

    fn send(&mut self, member: &Member, message: Message) -> Action {
        Action::Send {
            probe: self.new_probe(),
            instance: member.instance.clone(),
            peer_address: member.peer_address.clone(),
            message,
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.members_changed) {
            actions.push(Action::Publish(self.members()));
        }
    }
}

impl Peer {
    fn update(&self) -> Update {
        Update {
            member: self.member.clone(),
            health: self.health,
            refutation: self.refutation,
        }
    }

    fn published(&self) -> Member {
        Member {
            leaving: self.member.leaving || self.health == Health::Leaving,
            suspect: self.health == Health::Suspect || self.dead_at_ms.is_some(),
            ..self.member.clone()
        }
    }
}
