//! When an instance may claim a lease and how long it may act under one.
//!
//! The holder counts from before it sent its last renewal, everyone else from when they read it,
//! so no two clocks are compared; see `docs/design/shared-store.md`.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::ledger::Ledger;

/// How often a holder renews. A third of the term, so that two lost renewals cost nothing.
pub const RENEW_MS: u64 = 600;

/// How long a holder may act after it sent its last renewal that was acknowledged.
pub const TERM_MS: u64 = 2_000;

/// How much longer the others wait: covers timers that fire late and an order in flight.
pub const GUARD_MS: u64 = 700;

/// An instance that just started waits this long before it claims, so that its former incarnation
/// and it don't take turns with another holder within the platform's lease time (3 s).
pub const SETTLE_MS: u64 = 4_000;

/// Extra wait for each place in the order of succession, so that few claims race.
pub const RANK_MS: u64 = 300;

/// An instance whose last sign is older than this is taken for dead: three beats and slack.
pub const MEMBER_MS: u64 = 4_000;

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
pub fn succession(ledger: &Ledger, lease: &str, now_ms: u64) -> Vec<Arc<str>> {
    let mut alive: Vec<(u64, Arc<str>)> = ledger
        .members
        .values()
        .filter(|member| now_ms.saturating_sub(member.seen_ms) < MEMBER_MS)
        .filter(|member| member.beat.ready && !member.beat.leaving)
        .map(|member| {
            let name = &member.beat.instance;
            (xxh3_64(format!("{lease}\n{name}").as_bytes()), name.clone())
        })
        .collect();
    alive.sort();
    alive.into_iter().map(|(_, name)| name).collect()
}

/// Returns the term that a claim must name, if the instance should claim the lease now.
///
/// The caller must have read the topic to its end within [`GUARD_MS`].
pub fn claim(ledger: &Ledger, lease: &str, claimer: &Claimer, now_ms: u64) -> Option<u64> {
    let settled_ms = claimer.caught_up_ms + SETTLE_MS;
    if now_ms < settled_ms {
        return None;
    }
    let rank = succession(ledger, lease, now_ms)
        .iter()
        .position(|name| *name == claimer.instance)?;
    let wait_ms = rank as u64 * RANK_MS;
    match ledger.leases.get(lease) {
        None => (now_ms >= settled_ms + wait_ms).then_some(0),
        Some(state) => {
            let age_ms = now_ms.saturating_sub(state.seen_ms);
            let restarted = ledger
                .members
                .get(&state.holder)
                .is_some_and(|member| member.beat.incarnation > state.incarnation);
            let due_ms = match state.released || restarted {
                true => wait_ms,
                false => TERM_MS + GUARD_MS + wait_ms,
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
    pub fn holds(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.sent_ms) < TERM_MS
    }
}

#[cfg(test)]
mod tests;
