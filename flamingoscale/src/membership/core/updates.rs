//! Merges what instances report about themselves and about each other.

use rand::seq::SliceRandom as _;

use super::*;

/// Maximum number of retired incarnations remembered per instance.
const MAX_RETIRED_INCARNATIONS: usize = 4;

impl Membership {
    /// Handles the sender's report about itself, which overrides everything that other instances
    /// reported about the sender.
    pub(super) fn on_contact(&mut self, now_ms: u64, sender: Member, actions: &mut Vec<Action>) {
        if sender.instance == self.own.instance {
            return;
        }
        let health = self_reported_health(&sender);
        let Some(peer) = self.peers.get_mut(&sender.instance) else {
            return self.insert(now_ms, sender, health, actions);
        };
        if peer.member.incarnation != sender.incarnation {
            return self.insert(now_ms, sender, health, actions);
        }
        // Contact clears the suspicion only on this instance. The suspect learns of the
        // suspicion by gossip, and its refutation clears the suspicion on all other instances.
        let revived = peer.health == Health::Dead;
        self.members_changed |= peer.member != sender;
        peer.member = sender;
        if peer.dead_at_ms.take().is_some() || revived || health > peer.health {
            peer.health = health;
            peer.since_ms = now_ms;
            self.members_changed = true;
            let instance = peer.member.instance.clone();
            if revived {
                self.notify_dead(&instance, actions);
            }
            actions.push(Action::HealthChanged { instance, health });
        }
    }

    /// Informs a member that others consider it dead, so that the member refutes the report.
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

    /// Adds an unknown instance, or a new incarnation of a known one.
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
        // Insert the member at a random position of the current probe round.
        self.probe_order.push(instance.clone());
        self.probe_order.shuffle(&mut self.rng);
        self.members_changed = true;
        actions.push(Action::HealthChanged { instance, health });
    }

    /// Merges the updates of a message.
    pub(super) fn merge(&mut self, now_ms: u64, updates: Vec<Update>, actions: &mut Vec<Action>) {
        for update in updates {
            if update.member.instance == self.own.instance {
                self.on_update_about_self(&update);
            } else {
                self.apply(now_ms, update, actions);
            }
        }
    }

    /// Merges another instance's whole member list. After a partition each side considers the other
    /// dead, so death reports about members that are alive in this view are ignored: those members
    /// learn of the reports and refute them. An instance that has just joined does not gossip the
    /// list, which all others already have.
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

    /// Returns whether the update declares a member dead that is alive in this view.
    pub(super) fn is_death_of_live_peer(&self, update: &Update) -> bool {
        let peer = self.peers.get(&update.member.instance);
        let is_live = peer.is_some_and(|peer| {
            peer.health != Health::Dead && peer.member.incarnation == update.member.incarnation
        });
        is_live && update.health == Health::Dead
    }

    /// Refutes suspicions of this incarnation, and announces this incarnation when another one is
    /// reported.
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

    /// Gossips the current state of this instance.
    pub(super) fn gossip_self(&mut self) {
        self.members_changed = true;
        let health = self_reported_health(&self.own);
        self.gossip.add(Update {
            member: self.own.clone(),
            health,
            refutation: self.refutation,
        });
    }

    /// Merges an update about another instance, if it is newer than the current view.
    pub(super) fn apply(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&update.member.instance) else {
            if update.health != Health::Dead {
                self.insert_reported(now_ms, update, actions);
            }
            return;
        };
        if peer.member.incarnation == update.member.incarnation {
            let is_newer = (update.refutation, update.health) > (peer.refutation, peer.health);
            if is_newer {
                self.apply_newer(now_ms, update, actions);
            }
            return;
        }
        if peer
            .retired_incarnations
            .contains(&update.member.incarnation)
            || update.health == Health::Dead
        {
            return;
        }
        if peer.health == Health::Dead {
            return self.insert_reported(now_ms, update, actions);
        }
        // Only the instance itself can tell which of two incarnations is newer, so probe it.
        let (instance, address) = (update.member.instance, update.member.peer_address);
        let hint = Hint {
            instance,
            peer_address: address,
        };
        if !self.hints.contains(&hint) && self.hints.len() < MAX_HINTS {
            self.hints.push_front(hint);
        }
    }

    /// Adds an instance or incarnation that another instance reported.
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

    /// Applies an update that is newer than the current view of its member.
    pub(super) fn apply_newer(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
        let instance = update.member.instance.clone();
        let Some(peer) = self.peers.get_mut(&instance) else {
            return;
        };
        if update.refutation > peer.refutation || update.health == Health::Dead {
            peer.dead_at_ms = None;
        }
        let changed = peer.health != update.health;
        peer.health = update.health;
        peer.refutation = update.refutation;
        peer.member.leaving |= update.health == Health::Leaving;
        if changed {
            peer.since_ms = now_ms;
            self.members_changed = true;
            let health = update.health;
            actions.push(Action::HealthChanged {
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

/// Returns the health that a member reports about itself.
fn self_reported_health(member: &Member) -> Health {
    if member.leaving {
        Health::Leaving
    } else {
        Health::Alive
    }
}
