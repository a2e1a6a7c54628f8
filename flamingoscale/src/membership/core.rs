//! The membership protocol as a state machine without I/O. It takes events with the current time
//! and returns actions.

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

/// Maximum number of addresses waiting to be probed.
const MAX_HINTS: usize = 1_024;

/// Timing parameters of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a protocol period. One member is probed in each period.
    pub period_ms: u64,
    /// Time after which an unanswered direct probe is followed by indirect ones.
    pub direct_timeout_ms: u64,
    /// Number of members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// The suspicion timeout is this number of periods multiplied by the number of decimal digits
    /// of the cluster size. A suspect that does not refute the suspicion in that time is declared
    /// dead.
    pub suspicion_periods: u64,
    /// How long a dead member is remembered.
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

/// Identifies a message until its answer or failure is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send `message` to a member and pass the answer to [`Membership::on_answer`].
    Send {
        /// Identifies the answer.
        probe: ProbeId,
        /// The member's id, or empty if only its address is known.
        instance: Arc<str>,
        /// The member's `ip:port` for peer connections.
        peer_address: Arc<str>,
        /// The message to send.
        message: Message,
    },
    /// Publish the new list of live members.
    Publish(Vec<Member>),
    /// Record a change of a member's health in metrics and on the time line.
    HealthChanged {
        /// The member's id.
        instance: Arc<str>,
        /// The member's new health.
        health: Health,
    },
}

/// The local view of another instance.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    health: Health,
    refutation: u32,
    /// When the health last changed in this view.
    since_ms: u64,
    /// Set when probes failed: the member is declared dead at this time unless it refutes.
    dead_at_ms: Option<u64>,
    /// Earlier incarnations of the instance, newest first. Updates about them are ignored.
    retired_incarnations: VecDeque<u64>,
}

/// The address of a possible instance, to be probed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Hint {
    instance: Arc<str>,
    peer_address: Arc<str>,
}

/// The direct probe of the current period.
#[derive(Clone, Debug)]
struct Probe {
    id: ProbeId,
    target: Arc<str>,
    incarnation: u64,
    indirect_at_ms: u64,
    ends_at_ms: u64,
    indirect_sent: bool,
}

/// One instance's view of the cluster.
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
    /// Creates the view of an instance that knows only itself.
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

    /// Sets the revision that this instance announces with its probes.
    pub fn set_revision(&mut self, revision: u64) {
        self.members_changed |= self.own.revision != revision;
        self.own.revision = revision;
    }

    /// Announces that this instance is shutting down.
    pub fn leave(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.refutation += 1;
            self.gossip_self();
        }
    }

    /// Adds an address to probe: a seed, or a row of the platform's list, which may be out of date.
    pub fn hint(&mut self, instance: &Arc<str>, peer_address: &Arc<str>) {
        let is_own = *instance == self.own.instance || *peer_address == self.own.peer_address;
        let is_known = self
            .peers
            .values()
            .any(|peer| peer.health != Health::Dead && peer.member.peer_address == *peer_address);
        let hint = Hint {
            instance: instance.clone(),
            peer_address: peer_address.clone(),
        };
        if is_own || is_known || self.hints.contains(&hint) || self.hints.len() == MAX_HINTS {
            return;
        }
        self.hints.push_back(hint);
    }

    /// Returns the live members, this instance included, ordered by id.
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

    /// Returns the health of another instance, or `None` if it is unknown.
    pub fn health(&self, instance: &str) -> Option<Health> {
        self.peers.get(instance).map(|peer| peer.health)
    }

    /// Advances the protocol to `now_ms`. Call this several times per period.
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

    /// Handles the answer to a message sent by [`Action::Send`]; `None` means that the request
    /// failed.
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
                // The request failed, for example because the connection was refused. Probe
                // indirectly now instead of waiting for the timeout.
                current.indirect_at_ms = now_ms;
            }
        }
        self.publish(&mut actions);
        actions
    }

    /// Handles a peer's message. Returns the answer to a probe or an exchange, `None` for other
    /// messages, and the actions to perform.
    pub fn receive(&mut self, now_ms: u64, message: Message) -> (Option<Message>, Vec<Action>) {
        let mut actions = Vec::new();
        let answer = match message {
            Message::Probe { sender, gossip } => {
                let adverse_update = self.adverse_update(&sender.instance);
                self.on_contact(now_ms, sender, &mut actions);
                self.merge(now_ms, gossip, &mut actions);
                Some(self.ack(adverse_update))
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

    /// Builds the message that probes a member.
    pub fn probe_message(&mut self, target: &str) -> Message {
        let adverse_update = self.adverse_update(target);
        Message::Probe {
            sender: self.own.clone(),
            gossip: self.gossip_with(adverse_update),
        }
    }

    fn ack(&mut self, adverse_update: Option<Update>) -> Message {
        Message::Ack {
            sender: self.own.clone(),
            gossip: self.gossip_with(adverse_update),
        }
    }

    /// Returns the update that declares this member suspect or dead, if there is one. The
    /// update is sent to the member first, so that the member can refute it.
    fn adverse_update(&self, instance: &str) -> Option<Update> {
        let peer = self.peers.get(instance)?;
        let is_adverse = matches!(peer.health, Health::Suspect | Health::Dead);
        is_adverse.then(|| peer.update())
    }

    fn gossip_with(&mut self, adverse_update: Option<Update>) -> Vec<Update> {
        let mut updates: Vec<Update> = adverse_update.into_iter().collect();
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

    /// Returns the member as published in the list of live members.
    fn published(&self) -> Member {
        Member {
            leaving: self.member.leaving || self.health == Health::Leaving,
            suspect: self.health == Health::Suspect || self.dead_at_ms.is_some(),
            ..self.member.clone()
        }
    }
}
