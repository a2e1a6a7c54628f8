//! When an instance may claim a lease and how long it may act under one.
//!
//! The holder counts from before it sent its last renewal, everyone else from when they read it,
//! so no two clocks are compared; see `docs/design/shared-store.md`.

use std::{
    cmp::Reverse,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::ledger::Ledger;

/// How long a lease lasts, and who may claim it when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// How often a holder renews: a third of the term, so that two lost renewals cost nothing.
    pub renew_ms: u64,
    /// How long a holder may act after it sent its last renewal that was acknowledged.
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

/// Returns the term that a claim must name, if the instance should claim the lease now.
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
    if let Some(state) = known.filter(|state| state.holder == claimer.instance) {
        // No other holder comes between two incarnations of one instance.
        if state.incarnation < claimer.incarnation {
            return Some(state.term);
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
        None => (now_ms >= settled_ms + FIRST_MS + wait_ms).then_some(0),
        Some(state) => {
            let age_ms = now_ms.saturating_sub(state.seen_ms);
            let restarted = ledger
                .members
                .get(&state.holder)
                .is_some_and(|member| member.beat.incarnation > state.incarnation);
            let due_ms = match state.released || restarted {
                true => wait_ms,
                false => rules.term_ms + rules.guard_ms + wait_ms,
            };
            (age_ms >= due_ms).then_some(state.term)
        }
    }
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing number.
    pub term: u64,
    /// When the last acknowledged claim or renewal was sent, in monotonic milliseconds.
    pub sent_ms: u64,
}

impl Tenure {
    /// Returns whether the holder may still act.
    pub fn holds(&self, rules: Rules, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.sent_ms) < rules.term_ms
    }
}

#[cfg(test)]
mod tests;
