//! What is heard of other instances, from themselves and from third ones.

use rand::seq::SliceRandom as _;

use super::*;

/// Incarnations of one instance that are remembered as gone.
const MAX_RETIRED_INCARNATIONS: usize = 4;

impl Membership {
    /// What a member says of itself is true, whatever was known before.
    pub(super) fn on_contact(&mut self, now_ms: u64, sender: Member, actions: &mut Vec<Action>) {
        if sender.instance == self.own.instance {
            return;
        }
        let health = self_reported_health(&sender);
        let Some(known) = self.peers.get_mut(&sender.instance) else {
            return self.insert(now_ms, sender, health, actions);
        };
        if known.member.incarnation != sender.incarnation {
            return self.insert(now_ms, sender, health, actions);
        }
        // A suspect is told by gossip and refutes; only that ends the suspicion elsewhere.
        let revived = known.health == Health::Dead;
        self.members_changed |= known.member != sender;
        known.member = sender;
        if known.dead_at_ms.take().is_some() || revived || health > known.health {
            known.health = health;
            known.since_ms = now_ms;
            self.members_changed = true;
            let instance = known.member.instance.clone();
            if revived {
                self.notify_dead(&instance, actions);
            }
            actions.push(Action::Changed { instance, health });
        }
    }

    /// A member that others hold for dead must learn of it, so that it refutes.
    pub(super) fn notify_dead(&mut self, instance: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(instance) else {
            return;
        };
        let member = peer.member.clone();
        let death = Update {
            health: Health::Dead,
            ..peer.update()
        };
        let message = Message::Exchange {
            sender: self.own.clone(),
            members: self
                .peers
                .values()
                .filter(|peer| peer.member.instance != *instance)
                .map(Peer::update)
                .chain([death])
                .collect(),
        };
        let action = self.send(&member, message);
        actions.push(action);
    }

    /// Takes in an instance or incarnation that was not known.
    pub(super) fn insert(
        &mut self,
        now_ms: u64,
        member: Member,
        health: Health,
        actions: &mut Vec<Action>,
    ) {
        let instance = member.instance.clone();
        let mut retired = VecDeque::new();
        if let Some(old) = self.peers.remove(&instance) {
            retired = old.retired_incarnations;
            retired.push_front(old.member.incarnation);
            retired.truncate(MAX_RETIRED_INCARNATIONS);
        }
        retired.retain(|&incarnation| incarnation != member.incarnation);
        let peer = Peer {
            member,
            health,
            refutation: 0,
            since_ms: now_ms,
            dead_at_ms: None,
            retired_incarnations: retired,
        };
        self.gossip.add(peer.update());
        self.peers.insert(instance.clone(), peer);
        // Place it at random in the running round.
        self.probe_order.push(instance.clone());
        self.probe_order.shuffle(&mut self.rng);
        self.members_changed = true;
        actions.push(Action::Changed { instance, health });
    }

    pub(super) fn merge(&mut self, now_ms: u64, updates: Vec<Update>, actions: &mut Vec<Action>) {
        for update in updates {
            if update.member.instance == self.own.instance {
                self.on_update_about_self(&update);
            } else {
                self.apply(now_ms, update, actions);
            }
        }
    }

    /// Takes in all that another instance knows. After a partition both sides hold each other for
    /// dead, so its verdicts on those that live here are left to them: they hear of it and refute.
    /// A newcomer does not spread what everybody else knows.
    pub(super) fn merge_exchange(
        &mut self,
        now_ms: u64,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let newcomer = 2 * self.peers.len() < updates.len();
        let gossip = newcomer.then(|| self.gossip.clone());
        let mut accepted = updates;
        accepted.retain(|update| !self.is_death_of_live_peer(update));
        self.merge(now_ms, accepted, actions);
        if let Some(gossip) = gossip {
            self.gossip = gossip;
            self.gossip_self();
        }
    }

    pub(super) fn is_death_of_live_peer(&self, update: &Update) -> bool {
        let known = self.peers.get(&update.member.instance);
        let is_live = known.is_some_and(|known| {
            known.health != Health::Dead && known.member.incarnation == update.member.incarnation
        });
        is_live && update.health == Health::Dead
    }

    /// Refutes whatever others hold against this incarnation, and retires older ones.
    pub(super) fn on_update_about_self(&mut self, update: &Update) {
        if update.member.incarnation != self.own.incarnation {
            if update.health != Health::Dead {
                self.gossip_self();
            }
            return;
        }
        let own_health = self_reported_health(&self.own);
        if update.refutation >= self.refutation && update.health != own_health {
            self.refutation = update.refutation + 1;
            self.gossip_self();
        }
    }

    pub(super) fn gossip_self(&mut self) {
        self.members_changed = true;
        let health = self_reported_health(&self.own);
        self.gossip.add(Update {
            member: self.own.clone(),
            health,
            refutation: self.refutation,
        });
    }

    /// Takes in what is said of another instance, if it is news.
    pub(super) fn apply(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(known) = self.peers.get(&update.member.instance) else {
            if update.health != Health::Dead {
                self.insert_reported(now_ms, update, actions);
            }
            return;
        };
        if known.member.incarnation == update.member.incarnation {
            let is_newer = (update.refutation, update.health) > (known.refutation, known.health);
            if is_newer {
                self.apply_newer(now_ms, update, actions);
            }
            return;
        }
        if known
            .retired_incarnations
            .contains(&update.member.incarnation)
            || update.health == Health::Dead
        {
            return;
        }
        if known.health == Health::Dead {
            return self.insert_reported(now_ms, update, actions);
        }
        // Which of two incarnations is the later one, only the instance itself can tell.
        let (instance, address) = (update.member.instance, update.member.peer_address);
        let hint = Hint {
            instance,
            peer_address: address,
        };
        if !self.hints.contains(&hint) && self.hints.len() < MAX_HINTS {
            self.hints.push_front(hint);
        }
    }

    pub(super) fn insert_reported(
        &mut self,
        now_ms: u64,
        update: Update,
        actions: &mut Vec<Action>,
    ) {
        let instance = update.member.instance.clone();
        self.insert(now_ms, update.member, update.health, actions);
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.refutation = update.refutation;
            self.gossip.add(peer.update());
        }
        if update.health == Health::Suspect {
            self.start_suspicion(now_ms, &instance);
        }
    }

    pub(super) fn apply_newer(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
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
            self.members_changed = true;
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
}

/// How a member stands by its own word.
fn self_reported_health(member: &Member) -> Health {
    if member.leaving {
        Health::Leaving
    } else {
        Health::Alive
    }
}
