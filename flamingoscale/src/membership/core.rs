//! The decision core: events and time in, actions out.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use rand::{
    seq::{
        IndexedRandom as _,
        SliceRandom as _, //
    },
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    gossip::Gossip,
    Health,
    Message,
    Update, //
};
use crate::view::Member;

/// Hints that wait to be probed.
const HINTS_LIMIT: usize = 1_024;

/// Hints that are probed in one period.
const HINTS_PER_PERIOD: usize = 4;

/// Incarnations of one instance that are remembered as gone.
const RETIRED_LIMIT: usize = 4;

/// Periods between probes of a member that counts as dead, so that a healed partition is seen.
const DEAD_PROBE_PERIODS: u64 = 5;

/// Periods between full exchanges with one member.
const EXCHANGE_PERIODS: u64 = 300;

/// A newcomer exchanges in these periods too, since others may have come at the same time.
const FIRST_EXCHANGES: [u64; 4] = [3, 10, 30, 100];

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each period.
    pub period_ms: u64,
    /// A direct probe without an answer for this long is tried through others.
    pub direct_ms: u64,
    /// Members that are asked to probe in one's stead.
    pub indirect: usize,
    /// A suspect that does not refute within this many periods, times the number of decimal
    /// digits of the number of members, counts as dead.
    pub suspicion_periods: u64,
    /// A dead member is forgotten after this long.
    pub forget_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period_ms: 1_000,
            direct_ms: 400,
            indirect: 3,
            suspicion_periods: 3,
            forget_ms: 600_000,
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
    retired: VecDeque<u64>,
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
    me: Member,
    refutation: u32,
    peers: BTreeMap<Arc<str>, Peer>,
    order: Vec<Arc<str>>,
    probe: Option<Probe>,
    hints: VecDeque<Hint>,
    gossip: Gossip,
    next_probe: u64,
    next_period_ms: u64,
    period: u64,
    changed: bool,
    rng: ChaCha8Rng,
}

impl Membership {
    /// An instance that knows only itself.
    pub fn new(me: Member, timing: Timing, seed: u64) -> Self {
        Self {
            timing,
            me,
            refutation: 0,
            peers: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            hints: VecDeque::new(),
            gossip: Gossip::default(),
            next_probe: 0,
            next_period_ms: 0,
            period: 0,
            changed: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets what rides on this instance's own probes.
    pub fn set_revision(&mut self, revision: u64) {
        self.changed |= self.me.revision != revision;
        self.me.revision = revision;
    }

    /// Says that this instance goes away.
    pub fn leave(&mut self) {
        if !self.me.leaving {
            self.me.leaving = true;
            self.refutation += 1;
            self.spread_me();
        }
    }

    /// Adds somebody to probe: a seed, or a row of the platform's lagging list.
    pub fn hint(&mut self, instance: &Arc<str>, peer_address: &Arc<str>) {
        let mine = *instance == self.me.instance || *peer_address == self.me.peer_address;
        let known = self
            .peers
            .values()
            .any(|peer| peer.health != Health::Dead && peer.member.peer_address == *peer_address);
        let hint = Hint {
            instance: instance.clone(),
            peer_address: peer_address.clone(),
        };
        if mine || known || self.hints.contains(&hint) || self.hints.len() == HINTS_LIMIT {
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
        members.push(self.me.clone());
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
        self.indirect(now_ms, &mut actions);
        self.expire(now_ms, &mut actions);
        if now_ms >= self.next_period_ms {
            self.next_period_ms = now_ms + self.timing.period_ms;
            self.period += 1;
            self.end_probe(now_ms, &mut actions);
            self.start_probe(now_ms, &mut actions);
            self.probe_hints(&mut actions);
            self.probe_dead(&mut actions);
            self.exchange_sometimes(&mut actions);
        }
        self.publish(&mut actions);
        actions
    }

    /// Takes the answer to a message that [`Action::Send`] asked for; none means that it failed.
    pub fn answered(
        &mut self,
        now_ms: u64,
        probe: ProbeId,
        answer: Option<Message>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let sender = match answer {
            Some(Message::Ack { sender, gossip }) => {
                let instance = sender.instance.clone();
                self.heard_from(now_ms, sender, &mut actions);
                self.merge(now_ms, gossip, &mut actions);
                Some(instance)
            }
            Some(Message::Exchange { sender, members }) => {
                let instance = sender.instance.clone();
                self.heard_from(now_ms, sender, &mut actions);
                self.merge_all(now_ms, members, &mut actions);
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
                let charge = self.charge(&sender.instance);
                self.heard_from(now_ms, sender, &mut actions);
                self.merge(now_ms, gossip, &mut actions);
                Some(self.ack(charge))
            }
            Message::Exchange { sender, members } => {
                let answer = self.exchange_message();
                self.heard_from(now_ms, sender, &mut actions);
                self.merge_all(now_ms, members, &mut actions);
                Some(answer)
            }
            _ => None,
        };
        self.publish(&mut actions);
        (answer, actions)
    }

    /// The message by which this instance probes a member.
    pub fn probe_message(&mut self, target: &str) -> Message {
        let charge = self.charge(target);
        Message::Probe {
            sender: self.me.clone(),
            gossip: self.gossip_with(charge),
        }
    }

    fn ack(&mut self, charge: Option<Update>) -> Message {
        Message::Ack {
            sender: self.me.clone(),
            gossip: self.gossip_with(charge),
        }
    }

    /// What is held against a member, for it to hear first and refute.
    fn charge(&self, instance: &str) -> Option<Update> {
        let peer = self.peers.get(instance)?;
        let held = matches!(peer.health, Health::Suspect | Health::Dead);
        held.then(|| peer.update())
    }

    fn gossip_with(&mut self, charge: Option<Update>) -> Vec<Update> {
        let mut updates: Vec<Update> = charge.into_iter().collect();
        updates.extend(self.gossip.take(self.peers.len() + 1, updates.len()));
        updates
    }

    fn exchange_message(&self) -> Message {
        Message::Exchange {
            sender: self.me.clone(),
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

    fn start_probe(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(member) = self.next_target() else {
            return;
        };
        let message = self.probe_message(&member.instance);
        let action = self.send(&member, message);
        self.probe = Some(Probe {
            id: ProbeId(self.next_probe),
            target: member.instance.clone(),
            incarnation: member.incarnation,
            indirect_at_ms: now_ms + self.timing.direct_ms,
            ends_at_ms: now_ms + self.timing.period_ms,
            indirect_sent: false,
        });
        actions.push(action);
    }

    /// Members come in shuffled rounds, so each is probed within two rounds at most.
    fn next_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(instance) = self.order.pop() {
                match self.peers.get(&instance) {
                    Some(peer) if peer.health != Health::Dead => return Some(peer.member.clone()),
                    _ => {}
                }
            }
            let live = self.peers.iter();
            let live = live.filter(|(_, peer)| peer.health != Health::Dead);
            self.order = live.map(|(instance, _)| instance.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    fn indirect(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.indirect_sent || now_ms < probe.indirect_at_ms || now_ms >= probe.ends_at_ms {
            return;
        }
        probe.indirect_sent = true;
        let Some(target) = self.peers.get(&probe.target) else {
            return;
        };
        let target = target.member.clone();
        let others: Vec<Member> = self
            .peers
            .values()
            .filter(|peer| peer.health == Health::Alive && peer.member.instance != target.instance)
            .map(|peer| peer.member.clone())
            .collect();
        let chosen: Vec<Member> = others
            .sample(&mut self.rng, self.timing.indirect)
            .cloned()
            .collect();
        for helper in chosen {
            let message = Message::ProbeFor {
                target: target.clone(),
            };
            let action = self.send(&helper, message);
            actions.push(action);
        }
    }

    /// A probe that is still open when its period ends has failed.
    fn end_probe(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(peer) = self.peers.get(&probe.target) else {
            return;
        };
        if peer.member.incarnation != probe.incarnation {
            return;
        }
        let suspicion = Update {
            health: peer.health.max(Health::Suspect),
            ..peer.update()
        };
        self.apply(now_ms, suspicion, actions);
        self.start_suspicion(now_ms, &probe.target);
    }

    /// A leaving member has no suspicion of its own to spread, but its time runs all the same.
    fn start_suspicion(&mut self, now_ms: u64, instance: &Arc<str>) {
        let wait_ms = self.suspicion_ms();
        if let Some(peer) = self.peers.get_mut(instance) {
            if peer.health != Health::Dead && peer.dead_at_ms.is_none() {
                peer.dead_at_ms = Some(now_ms + wait_ms);
            }
        }
    }

    fn suspicion_ms(&self) -> u64 {
        let members = self.peers.len() as u64 + 1;
        let digits = u64::from(members.ilog10()) + 1;
        self.timing.suspicion_periods * digits * self.timing.period_ms
    }

    fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let due = |peer: &&Peer| peer.dead_at_ms.is_some_and(|dead_at| now_ms >= dead_at);
        let dead: Vec<Update> = self
            .peers
            .values()
            .filter(due)
            .map(|peer| Update {
                health: Health::Dead,
                ..peer.update()
            })
            .collect();
        for update in dead {
            self.apply(now_ms, update, actions);
        }
        let forget_ms = self.timing.forget_ms;
        self.peers
            .retain(|_, peer| peer.health != Health::Dead || now_ms < peer.since_ms + forget_ms);
    }

    fn probe_hints(&mut self, actions: &mut Vec<Action>) {
        for _ in 0..HINTS_PER_PERIOD {
            let Some(hint) = self.hints.pop_front() else {
                return;
            };
            let message = self.exchange_message();
            actions.push(Action::Send {
                probe: self.new_probe(),
                instance: hint.instance,
                peer_address: hint.peer_address,
                message,
            });
        }
    }

    /// A dead member that answers tells that a partition has healed.
    fn probe_dead(&mut self, actions: &mut Vec<Action>) {
        if self.period % DEAD_PROBE_PERIODS != 0 {
            return;
        }
        let dead = self.peers.values();
        let dead: Vec<Member> = dead
            .filter(|peer| peer.health == Health::Dead)
            .map(|peer| peer.member.clone())
            .collect();
        if let Some(member) = dead.choose(&mut self.rng).cloned() {
            let message = self.exchange_message();
            let action = self.send(&member, message);
            actions.push(action);
        }
    }

    fn exchange_sometimes(&mut self, actions: &mut Vec<Action>) {
        let regular = self.period % EXCHANGE_PERIODS == 0;
        if !regular && !FIRST_EXCHANGES.contains(&self.period) {
            return;
        }
        let live = self.peers.values();
        let live: Vec<Member> = live
            .filter(|peer| peer.health == Health::Alive)
            .map(|peer| peer.member.clone())
            .collect();
        if let Some(member) = live.choose(&mut self.rng).cloned() {
            let message = self.exchange_message();
            let action = self.send(&member, message);
            actions.push(action);
        }
    }

    /// What a member says of itself is true, whatever was known before.
    fn heard_from(&mut self, now_ms: u64, sender: Member, actions: &mut Vec<Action>) {
        if sender.instance == self.me.instance {
            return;
        }
        let health = if sender.leaving {
            Health::Leaving
        } else {
            Health::Alive
        };
        let Some(known) = self.peers.get_mut(&sender.instance) else {
            return self.adopt(now_ms, sender, health, actions);
        };
        if known.member.incarnation != sender.incarnation {
            return self.adopt(now_ms, sender, health, actions);
        }
        // A suspect is told by gossip and refutes; only that ends the suspicion elsewhere.
        let revived = known.health == Health::Dead;
        self.changed |= known.member != sender;
        known.member = sender;
        if known.dead_at_ms.take().is_some() || revived || health > known.health {
            known.health = health;
            known.since_ms = now_ms;
            self.changed = true;
            let instance = known.member.instance.clone();
            if revived {
                self.tell_dead(&instance, actions);
            }
            actions.push(Action::Changed { instance, health });
        }
    }

    /// A member that others hold for dead must learn of it, so that it refutes.
    fn tell_dead(&mut self, instance: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(instance) else {
            return;
        };
        let member = peer.member.clone();
        let verdict = Update {
            health: Health::Dead,
            ..peer.update()
        };
        let message = Message::Exchange {
            sender: self.me.clone(),
            members: self
                .peers
                .values()
                .filter(|peer| peer.member.instance != *instance)
                .map(Peer::update)
                .chain([verdict])
                .collect(),
        };
        let action = self.send(&member, message);
        actions.push(action);
    }

    /// Takes in an instance or incarnation that was not known.
    fn adopt(&mut self, now_ms: u64, member: Member, health: Health, actions: &mut Vec<Action>) {
        let instance = member.instance.clone();
        let mut retired = VecDeque::new();
        if let Some(old) = self.peers.remove(&instance) {
            retired = old.retired;
            retired.push_front(old.member.incarnation);
            retired.truncate(RETIRED_LIMIT);
        }
        retired.retain(|&incarnation| incarnation != member.incarnation);
        let peer = Peer {
            member,
            health,
            refutation: 0,
            since_ms: now_ms,
            dead_at_ms: None,
            retired,
        };
        self.gossip.add(peer.update());
        self.peers.insert(instance.clone(), peer);
        // Place it at random in the running round.
        self.order.push(instance.clone());
        self.order.shuffle(&mut self.rng);
        self.changed = true;
        actions.push(Action::Changed { instance, health });
    }

    fn merge(&mut self, now_ms: u64, updates: Vec<Update>, actions: &mut Vec<Action>) {
        for update in updates {
            if update.member.instance == self.me.instance {
                self.hear_of_me(&update);
            } else {
                self.apply(now_ms, update, actions);
            }
        }
    }

    /// Takes in all that another instance knows. After a partition both sides hold each other for
    /// dead, so its verdicts on those that live here are left to them: they hear of it and refute.
    /// A newcomer does not spread what everybody else knows.
    fn merge_all(&mut self, now_ms: u64, updates: Vec<Update>, actions: &mut Vec<Action>) {
        let newcomer = 2 * self.peers.len() < updates.len();
        let gossip = newcomer.then(|| self.gossip.clone());
        let mut news = updates;
        news.retain(|update| !self.is_verdict_on_living(update));
        self.merge(now_ms, news, actions);
        if let Some(gossip) = gossip {
            self.gossip = gossip;
            self.spread_me();
        }
    }

    fn is_verdict_on_living(&self, update: &Update) -> bool {
        let known = self.peers.get(&update.member.instance);
        let lives = known.is_some_and(|known| {
            known.health != Health::Dead && known.member.incarnation == update.member.incarnation
        });
        lives && update.health == Health::Dead
    }

    /// Refutes whatever others hold against this incarnation, and retires older ones.
    fn hear_of_me(&mut self, update: &Update) {
        if update.member.incarnation != self.me.incarnation {
            if update.health != Health::Dead {
                self.spread_me();
            }
            return;
        }
        let mine = if self.me.leaving {
            Health::Leaving
        } else {
            Health::Alive
        };
        if update.refutation >= self.refutation && update.health != mine {
            self.refutation = update.refutation + 1;
            self.spread_me();
        }
    }

    fn spread_me(&mut self) {
        self.changed = true;
        let health = if self.me.leaving {
            Health::Leaving
        } else {
            Health::Alive
        };
        self.gossip.add(Update {
            member: self.me.clone(),
            health,
            refutation: self.refutation,
        });
    }

    /// Takes in what is said of another instance, if it is news.
    fn apply(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(known) = self.peers.get(&update.member.instance) else {
            if update.health != Health::Dead {
                self.adopt_rumour(now_ms, update, actions);
            }
            return;
        };
        if known.member.incarnation == update.member.incarnation {
            let news = (update.refutation, update.health) > (known.refutation, known.health);
            if news {
                self.change(now_ms, update, actions);
            }
            return;
        }
        if known.retired.contains(&update.member.incarnation) || update.health == Health::Dead {
            return;
        }
        if known.health == Health::Dead {
            return self.adopt_rumour(now_ms, update, actions);
        }
        // Which of two incarnations is the later one, only the instance itself can tell.
        let (instance, address) = (update.member.instance, update.member.peer_address);
        let hint = Hint {
            instance,
            peer_address: address,
        };
        if !self.hints.contains(&hint) && self.hints.len() < HINTS_LIMIT {
            self.hints.push_front(hint);
        }
    }

    fn adopt_rumour(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let instance = update.member.instance.clone();
        self.adopt(now_ms, update.member, update.health, actions);
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.refutation = update.refutation;
            self.gossip.add(peer.update());
        }
        if update.health == Health::Suspect {
            self.start_suspicion(now_ms, &instance);
        }
    }

    fn change(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let instance = update.member.instance.clone();
        let Some(known) = self.peers.get_mut(&instance) else {
            return;
        };
        if update.refutation > known.refutation || update.health == Health::Dead {
            known.dead_at_ms = None;
        }
        let changed = known.health != update.health;
        known.health = update.health;
        known.refutation = update.refutation;
        known.member.leaving |= update.health == Health::Leaving;
        if changed {
            known.since_ms = now_ms;
            self.changed = true;
            let health = update.health;
            actions.push(Action::Changed {
                instance: instance.clone(),
                health,
            });
        }
        if update.health == Health::Suspect {
            self.start_suspicion(now_ms, &instance);
        }
        self.gossip.add(update);
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.changed) {
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
