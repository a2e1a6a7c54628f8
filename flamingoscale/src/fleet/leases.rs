//! When an instance may claim a lease and how long it may act under one.
//!
//! The holder counts from before it sent its last renewal, everyone else from when they read it,
//! so no two clocks are compared; see `docs/design/shared-store.md`.

use std::{
    cmp::Reverse,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ledger::{
        LeaseState,
        Ledger, //
    },
    record::LeaseMessage, //
};

/// How long a lease lasts, and who may claim it when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How often a holder renews: a third of the term, so that two lost renewals cost nothing.
    pub renew_interval_ms: u64,
    /// How long a holder may act after it sent its last renewal that it read back.
    pub lease_ms: u64,
    /// How much longer the others wait: covers timers that fire late and an order in flight.
    pub guard_ms: u64,
    /// An instance that just started waits this long before it claims.
    pub startup_delay_ms: u64,
}

/// Leases under which orders and reports are sent. An instance that starts again waits out the
/// platform's lease time (3 s), so that two holders never take turns within it.
pub const CONTROL_TIMING: LeaseTiming = LeaseTiming {
    renew_interval_ms: 600,
    lease_ms: 2_000,
    guard_ms: 700,
    startup_delay_ms: 3_500,
};

/// Leases under which samples are run. Two holders at once only do work twice, so the next one
/// takes over sooner.
pub const SAMPLING_TIMING: LeaseTiming = LeaseTiming {
    renew_interval_ms: 450,
    lease_ms: 1_400,
    guard_ms: 400,
    startup_delay_ms: 400,
};

/// Extra wait for a lease that nobody ever held_term: by then all instances of a new deployment have
/// written a sign of life, and the leases are spread over them.
pub const FIRST_CLAIM_DELAY_MS: u64 = 2_000;

/// Extra wait for each place in the order of claim_order, so that few claims race.
pub const RANK_DELAY_MS: u64 = 300;

/// An instance whose last sign is older than this is taken for dead: three beats and slack.
pub const MEMBER_TIMEOUT_MS: u64 = 3_500;

/// Who decides about a claim.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance.
    pub instance: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// When it had read the topic to its end for the first time, in monotonic milliseconds.
    pub caught_up_ms: u64,
    /// Since when its reads and appends have been going through.
    pub connected_since_ms: u64,
}

impl Candidate {
    /// Returns what the instance says of a lease now.
    pub fn message(&self, lease: &Arc<str>, epoch: u64, now_ms: u64) -> LeaseMessage {
        LeaseMessage {
            lease: lease.clone(),
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            epoch,
            sent_ms: now_ms,
        }
    }
}

/// Returns the instances that take callers or work, in the order of claim_order for a lease.
///
/// Large instances go first: who runs the samples of a model reads some hundred events a second.
pub fn claim_order(ledger: &Ledger, lease: &str, now_ms: u64) -> Vec<Arc<str>> {
    let mut alive: Vec<(Reverse<u32>, u64, Arc<str>)> = ledger
        .members
        .values()
        .filter(|member| now_ms.saturating_sub(member.seen_ms) < MEMBER_TIMEOUT_MS)
        .filter(|member| member.heartbeat.ready && !member.heartbeat.leaving)
        .map(|member| {
            let name = &member.heartbeat.instance;
            let hash = xxh3_64(format!("{lease}\n{name}").as_bytes());
            (Reverse(member.heartbeat.millicores), hash, name.clone())
        })
        .collect();
    alive.sort();
    alive.into_iter().map(|(_, _, name)| name).collect()
}

/// Returns the epoch that a claim must name, if the instance should claim the lease now.
///
/// The caller must have read the topic to its end within the last second or so.
pub fn claim_epoch(
    ledger: &Ledger,
    lease: &str,
    rules: LeaseTiming,
    candidate: &Candidate,
    now_ms: u64,
) -> Option<u64> {
    let known = ledger.leases.get(lease);
    if let Some(state) = known.filter(|state| state.last_message.holder == candidate.instance) {
        // The former incarnation is over. It may have sent a claim of the next epoch.
        if state.last_message.incarnation < candidate.incarnation {
            return Some(state.last_message.epoch + 2);
        }
    }
    let settled_ms = candidate.caught_up_ms + rules.startup_delay_ms;
    if now_ms < settled_ms {
        return None;
    }
    let rank = claim_order(ledger, lease, now_ms)
        .iter()
        .position(|name| *name == candidate.instance)?;
    let wait_ms = rank as u64 * RANK_DELAY_MS;
    if now_ms < settled_ms + wait_ms {
        return None;
    }
    match known {
        None => (now_ms >= settled_ms + FIRST_CLAIM_DELAY_MS + wait_ms).then_some(1),
        Some(state) => {
            let holder_restarted =
                ledger
                    .members
                    .get(&state.last_message.holder)
                    .is_some_and(|member| {
                        member.heartbeat.incarnation > state.last_message.incarnation
                    });
            let due_ms = match state.released || holder_restarted {
                true => state.seen_ms + wait_ms,
                // After an outage of the store the holder needs some time to be heard again.
                false => {
                    let from_ms = state.seen_ms.max(candidate.connected_since_ms);
                    from_ms + rules.lease_ms + rules.guard_ms + wait_ms
                }
            };
            (now_ms >= due_ms).then_some(state.last_message.epoch + 1)
        }
    }
}

/// What an instance writes about a lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing.
    Idle,
    /// That it keeps the lease.
    Renew {
        /// The epoch of its claim.
        epoch: u64,
        /// The term that it holds.
        term: u64,
    },
    /// That it wants the lease.
    Claim {
        /// The epoch of its claim.
        epoch: u64,
    },
}

/// How an instance stands to one lease, beside what was read of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLease {
    held_term: Option<u64>,
    released_term: Option<u64>,
    renewal_sent_ms: Option<u64>,
    claim_sent_ms: Option<u64>,
}

impl LocalLease {
    /// Takes in what was read of the lease; returns what to write now.
    ///
    /// `fresh` tells whether the topic was read to its end within the last second or so.
    pub fn next_action(
        &mut self,
        ledger: &Ledger,
        lease: &str,
        rules: LeaseTiming,
        candidate: &Candidate,
        (fresh, now_ms): (bool, u64),
    ) -> LeaseAction {
        let state = self.own_lease(ledger, lease, candidate);
        self.held_term = state.map(|state| state.term);
        let recent = |sent_ms: u64| now_ms.saturating_sub(sent_ms) < rules.renew_interval_ms;
        if let Some(state) = state {
            let recently_sent =
                recent(state.last_message.sent_ms) || self.renewal_sent_ms.is_some_and(recent);
            if recently_sent {
                return LeaseAction::Idle;
            }
            self.renewal_sent_ms = Some(now_ms);
            return LeaseAction::Renew {
                epoch: state.last_message.epoch,
                term: state.term,
            };
        }
        // The store keeps one claim of an instance: a second one would replace the first, which
        // others may have read.
        let read = ledger.last_claim_sent_ms(lease, &candidate.instance, candidate.incarnation);
        if !fresh
            || self
                .claim_sent_ms
                .is_some_and(|sent_ms| read < Some(sent_ms))
        {
            return LeaseAction::Idle;
        }
        let epoch = claim_epoch(ledger, lease, rules, candidate, now_ms);
        epoch.map_or(LeaseAction::Idle, |epoch| {
            self.claim_sent_ms = Some(now_ms);
            LeaseAction::Claim { epoch }
        })
    }

    /// Notes that the last claim was surely not taken by the store.
    pub fn claim_refused(&mut self) {
        self.claim_sent_ms = None;
    }

    /// Gives the lease up; returns the epoch and the term if it was held_term.
    pub fn release(&mut self, ledger: &Ledger, lease: &str) -> Option<(u64, u64)> {
        let term = self.held_term.take()?;
        self.released_term = Some(term);
        let state = ledger.leases.get(lease)?;
        Some((state.last_message.epoch, term))
    }

    /// Returns the term that was held_term when it was last looked at.
    pub fn held_term(&self) -> Option<u64> {
        self.held_term
    }

    /// Returns the fencing number under which the instance may act now.
    ///
    /// Only signs that were read back count: an acknowledged renewal may stand behind another's
    /// claim. The holder counts from before it sent the sign; the others, and a new holder before
    /// it acts, count from when they read the last sign of the one before.
    pub fn active_term(
        &self,
        ledger: &Ledger,
        lease: &str,
        rules: LeaseTiming,
        candidate: &Candidate,
        now_ms: u64,
    ) -> Option<u64> {
        let state = self.own_lease(ledger, lease, candidate)?;
        let from_ms = state.previous_holder_seen_ms;
        let from_ms = from_ms.map_or(0, |seen_ms| seen_ms + rules.lease_ms + rules.guard_ms);
        let lasts = now_ms.saturating_sub(state.last_message.sent_ms) < rules.lease_ms;
        (lasts && now_ms >= from_ms).then_some(state.term)
    }

    /// Returns the lease if this incarnation holds it by what was read.
    fn own_lease<'a>(
        &self,
        ledger: &'a Ledger,
        lease: &str,
        candidate: &Candidate,
    ) -> Option<&'a LeaseState> {
        let state = ledger.leases.get(lease)?;
        let message = &state.last_message;
        let is_own =
            message.holder == candidate.instance && message.incarnation == candidate.incarnation;
        let not_released = !state.released && self.released_term != Some(state.term);
        (is_own && not_released).then_some(state)
    }
}

#[cfg(test)]
mod tests;
