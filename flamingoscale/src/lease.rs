//! Leases: who may do what only one process may do.
//!
//! A lease is an entry of the fold, and its fencing number is the offset of the first claim of a
//! term. No clock is compared with another: the holder counts from before it sent its claim,
//! everyone else from when they read it, plus a guard. See `docs/design/leases.md`.

use std::sync::Arc;

use crate::state::LeaseEntry;

/// A renewal is sent when this part of the lease is over.
const RENEW_DIVISOR: u64 = 3;

/// One part in this many of a lease is allowed for clocks that run at different speeds.
const DRIFT_DIVISOR: u64 = 10;

/// A margin for what is under way is at most this part of the lease.
const MARGIN_DIVISOR: u64 = 4;

/// Wait between claims of instances that are next in line.
const CLAIM_DELAY_PER_RANK_MS: u64 = 500;

/// A term during which this instance may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Goes with every order.
    pub fencing: u64,
    /// The last claim or renewal, for records of the log.
    pub claim: u64,
    /// The term ends here unless it is renewed, by this instance's clock.
    pub ends_at_ms: u64,
}

/// What the core wants appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A claim, or a renewal of one's own.
    Claim {
        /// The claim in force; 0 for none.
        replaces: u64,
        /// How long it lasts.
        lease_ms: u64,
        /// Whether this continues a term of one's own.
        renewal: bool,
    },
    /// Giving the lease back.
    Release {
        /// The claim that ends.
        claim: u64,
    },
}

/// What this instance has seen of the entry in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SeenEntry {
    entry: LeaseEntry,
    first_read_ms: u64,
}

/// One instance's part in one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own_id: Arc<str>,
    incarnation: u64,
    guard_ms: u64,
    seen: Option<SeenEntry>,
    /// When the oldest claim whose fate is not previous was sent.
    pending_since_ms: Option<u64>,
    /// Whether the fate of some append since then is unknown, so that no later refusal settles it.
    outcome_unknown: bool,
    term: Option<Term>,
    /// Set by a fencing number that was refused, until the fold shows a claim above it.
    fenced: bool,
}

impl Lease {
    /// A lease that this instance does not hold.
    ///
    /// `guard_ms` is how long an order of the last holder may still be under way after its term.
    pub fn new(own_id: Arc<str>, incarnation: u64, guard_ms: u64) -> Self {
        Self {
            own_id,
            incarnation,
            guard_ms,
            seen: None,
            pending_since_ms: None,
            outcome_unknown: false,
            term: None,
            fenced: false,
        }
    }

    /// Takes in the entry of the fold; to be called after each change and before each decision.
    pub fn observe(&mut self, now_ms: u64, entry: Option<&LeaseEntry>) {
        let Some(entry) = entry else {
            self.seen = None;
            self.term = None;
            return;
        };
        let previous = self.seen.as_ref().map(|seen| &seen.entry);
        if previous == Some(entry) {
            return;
        }
        let same_claim = previous.is_some_and(|previous| previous.claim == entry.claim);
        if !same_claim {
            self.apply_claim(now_ms, entry);
        }
        if entry.released {
            self.term = None;
        }
        let first_read_ms = match &self.seen {
            Some(seen) if same_claim => seen.first_read_ms,
            _ => now_ms,
        };
        self.seen = Some(SeenEntry {
            entry: entry.clone(),
            first_read_ms,
        });
    }

    fn apply_claim(&mut self, now_ms: u64, entry: &LeaseEntry) {
        let sent = self.pending_since_ms.take();
        self.outcome_unknown = false;
        if !self.is_own(entry) {
            self.term = None;
            return;
        }
        // A claim whose sending nobody remembers counts as run out.
        let sent_ms = sent.unwrap_or_else(|| now_ms.saturating_sub(entry.lease_ms));
        self.fenced &= self.term.is_some_and(|term| term.fencing == entry.fencing);
        self.term = Some(Term {
            fencing: entry.fencing,
            claim: entry.claim,
            ends_at_ms: sent_ms + entry.lease_ms,
        });
    }

    fn is_own(&self, entry: &LeaseEntry) -> bool {
        entry.holder == self.own_id && entry.incarnation == self.incarnation
    }

    /// The term in which this instance may act at this instant; none if it may not.
    pub fn term(&self, now_ms: u64) -> Option<Term> {
        self.term
            .filter(|term| now_ms < term.ends_at_ms && !self.fenced)
    }

    /// The term, if it lasts long enough for something sent now to arrive within it: `margin_ms`,
    /// but at most a quarter of the lease.
    pub fn term_for(&self, now_ms: u64, margin_ms: u64) -> Option<Term> {
        let lease_ms = self.seen.as_ref()?.entry.lease_ms;
        let margin_ms = margin_ms.min(lease_ms / MARGIN_DIVISOR);
        self.term(now_ms + margin_ms)
    }

    /// Decides what to append. `rank` is this instance's place in line, 0 for the first; `leaving`
    /// says that it goes away.
    pub fn decide(
        &mut self,
        now_ms: u64,
        lease_ms: u64,
        rank: u64,
        leaving: bool,
    ) -> Option<Action> {
        let is_held = self
            .seen
            .as_ref()
            .is_some_and(|seen| self.is_own(&seen.entry) && !seen.entry.released);
        if leaving || self.fenced {
            let claim = self.seen.as_ref().filter(|_| is_held)?.entry.claim;
            return self.begin(now_ms, Action::Release { claim });
        }
        let is_due = if is_held {
            self.renewal_due(now_ms)
        } else {
            self.is_free(now_ms, rank)
        };
        if !is_due {
            return None;
        }
        let replaces = self.seen.as_ref().map_or(0, |seen| seen.entry.claim);
        let action = Action::Claim {
            replaces,
            lease_ms,
            renewal: is_held,
        };
        self.begin(now_ms, action)
    }

    /// One append at a time.
    fn begin(&mut self, now_ms: u64, action: Action) -> Option<Action> {
        if self.pending_since_ms.is_some() {
            return None;
        }
        self.pending_since_ms = Some(now_ms);
        Some(action)
    }

    /// The last append had no effect, for certain. An earlier one whose fate is unknown may still
    /// be accepted, and a term must then count from when that one was sent.
    pub fn append_refused(&mut self) {
        if !self.outcome_unknown {
            self.pending_since_ms = None;
        }
    }

    /// Nothing is known of the last append, and it may be sent again. Should it have been
    /// accepted, its term still counts from when the first was sent.
    pub fn resend(&mut self, lease_ms: u64) -> Option<Action> {
        self.pending_since_ms?;
        self.outcome_unknown = true;
        let seen = self.seen.as_ref();
        Some(Action::Claim {
            replaces: seen.map_or(0, |seen| seen.entry.claim),
            lease_ms,
            renewal: seen.is_some_and(|seen| self.is_own(&seen.entry)),
        })
    }

    /// A receiver refused this term's fencing number: somebody else is in charge.
    pub fn mark_fenced(&mut self) {
        self.fenced = true;
    }

    fn renewal_due(&self, now_ms: u64) -> bool {
        let Some((term, seen)) = self.term.zip(self.seen.as_ref()) else {
            return true;
        };
        let renew_before_ms = seen.entry.lease_ms - seen.entry.lease_ms / RENEW_DIVISOR;
        now_ms + renew_before_ms >= term.ends_at_ms
    }

    fn is_free(&self, now_ms: u64, rank: u64) -> bool {
        let Some(seen) = &self.seen else {
            return true;
        };
        let rank_delay_ms = rank * CLAIM_DELAY_PER_RANK_MS;
        if seen.entry.released {
            return now_ms >= seen.first_read_ms + rank_delay_ms;
        }
        let lease_ms = seen.entry.lease_ms;
        let wait_ms = lease_ms + lease_ms / DRIFT_DIVISOR + self.guard_ms + rank_delay_ms;
        now_ms >= seen.first_read_ms + wait_ms
    }
}

#[cfg(test)]
mod tests;
