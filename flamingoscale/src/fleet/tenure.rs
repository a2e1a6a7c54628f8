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
    record::Sign, //
};

/// How long a lease lasts, and who may claim it when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How often a holder renews: a third of the term, so that two lost renewals cost nothing.
    pub renew_ms: u64,
    /// How long a holder may act after it sent its last renewal that it read back.
    pub term_ms: u64,
    /// How much longer the others wait: covers timers that fire late and an order in flight.
    pub guard_ms: u64,
    /// An instance that just started waits this long before it claims.
    pub settle_ms: u64,
}

/// Leases under which orders and reports are sent. An instance that starts again waits out the
/// platform's lease time (3 s), so that two holders never take turns within it.
pub const ORDERS: Rules = Rules {
    renew_ms: 600,
    term_ms: 2_000,
    guard_ms: 700,
    settle_ms: 3_500,
};

/// Leases under which samples are run. Two holders at once only do work twice, so the next one
/// takes over sooner.
pub const SAMPLES: Rules = Rules {
    renew_ms: 450,
    term_ms: 1_400,
    guard_ms: 400,
    settle_ms: 400,
};

/// Extra wait for a lease that nobody ever held: by then all instances of a new deployment have
/// written a sign of life, and the leases are spread over them.
pub const FIRST_MS: u64 = 2_000;

/// Extra wait for each place in the order of succession, so that few claims race.
pub const RANK_MS: u64 = 300;

/// An instance whose last sign is older than this is taken for dead: three beats and slack.
pub const MEMBER_MS: u64 = 3_500;

/// Who decides about a claim.
#[derive(Clone, Debug)]
pub struct Claimer {
    /// The instance.
    pub instance: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// When it had read the topic to its end for the first time, in monotonic milliseconds.
    pub caught_up_ms: u64,
    /// Since when its reads and appends have been going through.
    pub in_touch_ms: u64,
}

impl Claimer {
    /// Returns what the instance says of a lease now.
    pub fn sign(&self, lease: &Arc<str>, epoch: u64, now_ms: u64) -> Sign {
        Sign {
            lease: lease.clone(),
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            epoch,
            sent_ms: now_ms,
        }
    }
}

/// Returns the instances that take callers or work, in the order of succession for a lease.
///
/// Large instances go first: who runs the samples of a model reads some hundred events a second.
pub fn succession(ledger: &Ledger, lease: &str, now_ms: u64) -> Vec<Arc<str>> {
    let mut alive: Vec<(Reverse<u32>, u64, Arc<str>)> = ledger
        .members
        .values()
        .filter(|member| now_ms.saturating_sub(member.seen_ms) < MEMBER_MS)
        .filter(|member| member.beat.ready && !member.beat.leaving)
        .map(|member| {
            let name = &member.beat.instance;
            let draw = xxh3_64(format!("{lease}\n{name}").as_bytes());
            (Reverse(member.beat.millicores), draw, name.clone())
        })
        .collect();
    alive.sort();
    alive.into_iter().map(|(_, _, name)| name).collect()
}

/// Returns the epoch that a claim must name, if the instance should claim the lease now.
///
/// The caller must have read the topic to its end within the last second or so.
pub fn claim(
    ledger: &Ledger,
    lease: &str,
    rules: Rules,
    claimer: &Claimer,
    now_ms: u64,
) -> Option<u64> {
    let known = ledger.leases.get(lease);
    if let Some(state) = known.filter(|state| state.sign.holder == claimer.instance) {
        // The former incarnation is over. It may have sent a claim of the next epoch.
        if state.sign.incarnation < claimer.incarnation {
            return Some(state.sign.epoch + 2);
        }
    }
    let settled_ms = claimer.caught_up_ms + rules.settle_ms;
    if now_ms < settled_ms {
        return None;
    }
    let rank = succession(ledger, lease, now_ms)
        .iter()
        .position(|name| *name == claimer.instance)?;
    let wait_ms = rank as u64 * RANK_MS;
    if now_ms < settled_ms + wait_ms {
        return None;
    }
    match known {
        None => (now_ms >= settled_ms + FIRST_MS + wait_ms).then_some(1),
        Some(state) => {
            let restarted = ledger
                .members
                .get(&state.sign.holder)
                .is_some_and(|member| member.beat.incarnation > state.sign.incarnation);
            let due_ms = match state.released || restarted {
                true => state.seen_ms + wait_ms,
                // After an outage of the store the holder needs some time to be heard again.
                false => {
                    let from_ms = state.seen_ms.max(claimer.in_touch_ms);
                    from_ms + rules.term_ms + rules.guard_ms + wait_ms
                }
            };
            (now_ms >= due_ms).then_some(state.sign.epoch + 1)
        }
    }
}

/// What an instance writes about a lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Rest,
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
pub struct Standing {
    held: Option<u64>,
    given_up: Option<u64>,
    renewed_ms: Option<u64>,
    claimed_ms: Option<u64>,
}

impl Standing {
    /// Takes in what was read of the lease; returns what to write now.
    ///
    /// `fresh` tells whether the topic was read to its end within the last second or so.
    pub fn step(
        &mut self,
        ledger: &Ledger,
        lease: &str,
        rules: Rules,
        claimer: &Claimer,
        (fresh, now_ms): (bool, u64),
    ) -> Step {
        let state = self.in_force(ledger, lease, claimer);
        self.held = state.map(|state| state.term);
        let recent = |sent_ms: u64| now_ms.saturating_sub(sent_ms) < rules.renew_ms;
        if let Some(state) = state {
            let rests = recent(state.sign.sent_ms) || self.renewed_ms.is_some_and(recent);
            if rests {
                return Step::Rest;
            }
            self.renewed_ms = Some(now_ms);
            return Step::Renew {
                epoch: state.sign.epoch,
                term: state.term,
            };
        }
        // The store keeps one claim of an instance: a second one would replace the first, which
        // others may have read.
        let read = ledger.claim_read(lease, &claimer.instance, claimer.incarnation);
        if !fresh || self.claimed_ms.is_some_and(|sent_ms| read < Some(sent_ms)) {
            return Step::Rest;
        }
        let epoch = claim(ledger, lease, rules, claimer, now_ms);
        epoch.map_or(Step::Rest, |epoch| {
            self.claimed_ms = Some(now_ms);
            Step::Claim { epoch }
        })
    }

    /// Notes that the last claim was surely not taken by the store.
    pub fn claim_refused(&mut self) {
        self.claimed_ms = None;
    }

    /// Gives the lease up; returns the epoch and the term if it was held.
    pub fn give_up(&mut self, ledger: &Ledger, lease: &str) -> Option<(u64, u64)> {
        let term = self.held.take()?;
        self.given_up = Some(term);
        let state = ledger.leases.get(lease)?;
        Some((state.sign.epoch, term))
    }

    /// Returns the term that was held when it was last looked at.
    pub fn held(&self) -> Option<u64> {
        self.held
    }

    /// Returns the fencing number under which the instance may act now.
    ///
    /// Only signs that were read back count: an acknowledged renewal may stand behind another's
    /// claim. The holder counts from before it sent the sign; the others, and a new holder before
    /// it acts, count from when they read the last sign of the one before.
    pub fn term(
        &self,
        ledger: &Ledger,
        lease: &str,
        rules: Rules,
        claimer: &Claimer,
        now_ms: u64,
    ) -> Option<u64> {
        let state = self.in_force(ledger, lease, claimer)?;
        let from_ms = state.former_seen_ms;
        let from_ms = from_ms.map_or(0, |seen_ms| seen_ms + rules.term_ms + rules.guard_ms);
        let lasts = now_ms.saturating_sub(state.sign.sent_ms) < rules.term_ms;
        (lasts && now_ms >= from_ms).then_some(state.term)
    }

    /// Returns the lease if this incarnation holds it by what was read.
    fn in_force<'a>(
        &self,
        ledger: &'a Ledger,
        lease: &str,
        claimer: &Claimer,
    ) -> Option<&'a LeaseState> {
        let state = ledger.leases.get(lease)?;
        let sign = &state.sign;
        let mine = sign.holder == claimer.instance && sign.incarnation == claimer.incarnation;
        let kept = !state.released && self.given_up != Some(state.term);
        (mine && kept).then_some(state)
    }
}

#[cfg(test)]
mod tests;
