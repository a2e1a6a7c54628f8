//! Chooses which members to probe, and handles probes without an answer.

use rand::seq::{
    IndexedRandom as _,
    SliceRandom as _, //
};

use super::*;

/// Number of waiting addresses that are probed per period.
const HINTS_PER_PERIOD: usize = 4;

/// Periods between two probes of dead members, which detect that a partition has healed.
const DEAD_PROBE_PERIODS: u64 = 5;

/// Periods between two full exchanges with a random member.
const EXCHANGE_PERIODS: u64 = 300;

/// Additional periods with a full exchange after the start, since other instances may have started
/// at the same time.
const EARLY_EXCHANGE_PERIODS: [u64; 4] = [3, 10, 30, 100];

impl Membership {
    /// Probes the next member directly.
    pub(super) fn start_probe(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let Some(member) = self.next_target() else {
            return;
        };
        let message = self.probe_message(&member.instance);
        let action = self.send(&member, message);
        self.probe = Some(Probe {
            id: ProbeId(self.next_probe),
            target: member.instance.clone(),
            incarnation: member.incarnation,
            indirect_at_ms: now_ms + self.timing.direct_timeout_ms,
            ends_at_ms: now_ms + self.timing.period_ms,
            indirect_sent: false,
        });
        actions.push(action);
    }

    /// Returns the next member to probe. Members are probed in shuffled rounds, so each is probed
    /// within two rounds.
    pub(super) fn next_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(instance) = self.probe_order.pop() {
                match self.peers.get(&instance) {
                    Some(peer) if peer.health != Health::Dead => return Some(peer.member.clone()),
                    _ => {}
                }
            }
            let live = self.peers.iter();
            let live = live.filter(|(_, peer)| peer.health != Health::Dead);
            self.probe_order = live.map(|(instance, _)| instance.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Asks other members to probe the target of an unanswered direct probe.
    pub(super) fn probe_indirectly(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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
            .sample(&mut self.rng, self.timing.indirect_probes)
            .cloned()
            .collect();
        for intermediary in chosen {
            let message = Message::ProbeRequest {
                target: target.clone(),
            };
            let action = self.send(&intermediary, message);
            actions.push(action);
        }
    }

    /// Treats a probe that is still open at the end of its period as failed.
    pub(super) fn end_probe(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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

    /// Starts the suspicion timeout. The timeout also runs for a leaving member, although no
    /// suspicion is gossiped for that member.
    pub(super) fn start_suspicion(&mut self, now_ms: u64, instance: &Arc<str>) {
        let wait_ms = self.suspicion_ms();
        if let Some(peer) = self.peers.get_mut(instance) {
            if peer.health != Health::Dead && peer.dead_at_ms.is_none() {
                peer.dead_at_ms = Some(now_ms + wait_ms);
            }
        }
    }

    /// Returns the suspicion timeout for the current cluster size.
    pub(super) fn suspicion_ms(&self) -> u64 {
        let members = self.peers.len() as u64 + 1;
        let digits = u64::from(members.ilog10()) + 1;
        self.timing.suspicion_periods * digits * self.timing.period_ms
    }

    /// Declares members dead whose suspicion has timed out, and forgets members that have been
    /// dead for longer than the retention period.
    pub(super) fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
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
        let dead_retention_ms = self.timing.dead_retention_ms;
        self.peers.retain(|_, peer| {
            peer.health != Health::Dead || now_ms < peer.since_ms + dead_retention_ms
        });
    }

    /// Sends a full exchange to a few of the addresses that wait to be probed.
    pub(super) fn probe_hints(&mut self, actions: &mut Vec<Action>) {
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

    /// Probes a random dead member. An answer shows that a partition has healed.
    pub(super) fn probe_dead(&mut self, actions: &mut Vec<Action>) {
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

    /// Starts a full exchange with a random member if one is due in this period.
    pub(super) fn exchange_periodically(&mut self, actions: &mut Vec<Action>) {
        let is_regular = self.period % EXCHANGE_PERIODS == 0;
        if !is_regular && !EARLY_EXCHANGE_PERIODS.contains(&self.period) {
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
}
