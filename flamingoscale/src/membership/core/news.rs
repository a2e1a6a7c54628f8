//! What is heard of other instances, from themselves and from third ones.

use rand::seq::SliceRandom as _;

use super::*;

/// Incarnations of one instance that are remembered as gone.
const RETIRED_LIMIT: usize = 4;

impl Membership {
    /// What a member says of itself is true, whatever was known before.
    pub(super) fn heard_from(&mut self, now_ms: u64, sender: Member, actions: &mut Vec<Action>) {
        if sender.instance == self.me.instance {
            return;
        }
        let health = stated_health(&sender);
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
    pub(super) fn tell_dead(&mut self, instance: &Arc<str>, actions: &mut Vec<Action>) {
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
    pub(super) fn adopt(
        &mut self,
        now_ms: u64,
        member: Member,
        health: Health,
        actions: &mut Vec<Action>,
    ) {
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

    pub(super) fn merge(&mut self, now_ms: u64, updates: Vec<Update>, actions: &mut Vec<Action>) {
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
    pub(super) fn merge_all(
        &mut self,
        now_ms: u64,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
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

    pub(super) fn is_verdict_on_living(&self, update: &Update) -> bool {
        let known = self.peers.get(&update.member.instance);
        let lives = known.is_some_and(|known| {
            known.health != Health::Dead && known.member.incarnation == update.member.incarnation
        });
        lives && update.health == Health::Dead
    }

    /// Refutes whatever others hold against this incarnation, and retires older ones.
    pub(super) fn hear_of_me(&mut self, update: &Update) {
        if update.member.incarnation != self.me.incarnation {
            if update.health != Health::Dead {
                self.spread_me();
            }
            return;
        }
        let mine = stated_health(&self.me);
        if update.refutation >= self.refutation && update.health != mine {
            self.refutation = update.refutation + 1;
            self.spread_me();
        }
    }

    pub(super) fn spread_me(&mut self) {
        self.changed = true;
        let health = stated_health(&self.me);
        self.gossip.add(Update {
            member: self.me.clone(),
            health,
            refutation: self.refutation,
        });
    }

    /// Takes in what is said of another instance, if it is news.
    pub(super) fn apply(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
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

    pub(super) fn adopt_rumour(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
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

    pub(super) fn change(&mut self, now_ms: u64, update: Update, actions: &mut Vec<Action>) {
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
}

/// How a member stands by its own word.
fn stated_health(member: &Member) -> Health {
    if member.leaving {
        Health::Leaving
    } else {
        Health::Alive
    }
}
