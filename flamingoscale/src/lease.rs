//! Leases for work that only one instance may do at a time.
//!
//! A lease is an entry of the folded state, and its fencing number is the offset of the first claim
//! of a term. Clocks of different instances are never compared: the holder counts its term from
//! before it sent the claim, all others count from when they read the claim and add a guard period.
//! See `docs/design/leases.md`.

use std::sync::Arc;

use crate::state::LeaseEntry;

/// The holder renews after the duration of the lease divided by this number.
const RENEW_DIVISOR: u64 = 3;

/// The clock drift allowance is the duration of the lease divided by this number.
const DRIFT_DIVISOR: u64 = 10;

/// The margin that [`Lease::term_for`] allows for messages in flight is at most the duration of
/// the lease divided by this number.
const MARGIN_DIVISOR: u64 = 4;

/// Additional delay before a claim for each rank, so that candidates do not claim at the same time.
const CLAIM_DELAY_PER_RANK_MS: u64 = 500;

/// A term during which this instance may act as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing number, sent with every order.
    pub fencing: u64,
    /// Offset of the last claim or renewal, which log records refer to.
    pub claim: u64,
    /// End of the term unless it is renewed, by this instance's clock.
    pub ends_at_ms: u64,
}

/// An append that the caller should make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim the lease, or renew this instance's own claim.
    Claim {
        /// Offset of the claim in force; 0 for none.
        replaces: u64,
        /// Duration of the lease from the new claim.
        lease_ms: u64,
        /// Whether the claim continues a term of this instance.
        renewal: bool,
    },
    /// Release the lease.
    Release {
        /// Offset of the claim to end.
        claim: u64,
    },
}

/// The lease entry as this instance last saw it, and when it first read its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedEntry {
    entry: LeaseEntry,
    first_read_ms: u64,
}

/// One instance's view of one lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own_id: Arc<str>,
    incarnation: u64,
    guard_ms: u64,
    observed: Option<ObservedEntry>,
    /// When the oldest claim with an unknown outcome was sent.
    pending_since_ms: Option<u64>,
    /// Whether the outcome of some append since `pending_since_ms` is unknown. A later refusal then
    /// does not show that the earlier append had no effect.
    outcome_unknown: bool,
    term: Option<Term>,
    /// Set when a receiver refused the fencing number, until the folded state shows a new term.
    fenced: bool,
}

impl Lease {
    /// Creates the view of a lease that this instance does not hold.
    ///
    /// `guard_ms` is how long an order of the previous holder may stay in flight after its term.
    pub fn new(own_id: Arc<str>, incarnation: u64, guard_ms: u64) -> Self {
        Self {
            own_id,
            incarnation,
            guard_ms,
            observed: None,
            pending_since_ms: None,
            outcome_unknown: false,
            term: None,
            fenced: false,
        }
    }

    /// Updates the view from the folded state. Call this after each change of the entry and before
    /// each decision.
    pub fn observe(&mut self, now_ms: u64, entry: Option<&LeaseEntry>) {
        let Some(entry) = entry else {
            self.observed = None;
            self.term = None;
            return;
        };
        let previous = self.observed.as_ref().map(|observed| &observed.entry);
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
        let first_read_ms = match &self.observed {
            Some(observed) if same_claim => observed.first_read_ms,
            _ => now_ms,
        };
        self.observed = Some(ObservedEntry {
            entry: entry.clone(),
            first_read_ms,
        });
    }

    /// Handles a claim that was not observed before: starts or renews this instance's term, or
    /// ends the term if another instance made the claim.
    fn apply_claim(&mut self, now_ms: u64, entry: &LeaseEntry) {
        let sent_ms = self.pending_since_ms.take();
        self.outcome_unknown = false;
        if !self.is_own(entry) {
            self.term = None;
            return;
        }
        // If it is not known when the claim was sent, the term counts as expired.
        let sent_ms = sent_ms.unwrap_or_else(|| now_ms.saturating_sub(entry.lease_ms));
        self.fenced &= self.term.is_some_and(|term| term.fencing == entry.fencing);
        self.term = Some(Term {
            fencing: entry.fencing,
            claim: entry.claim,
            ends_at_ms: sent_ms + entry.lease_ms,
        });
    }

    /// Returns whether this incarnation of this instance made the last claim.
    fn is_own(&self, entry: &LeaseEntry) -> bool {
        entry.holder == self.own_id && entry.incarnation == self.incarnation
    }

    /// Returns the term if this instance may act as the holder at `now_ms`.
    pub fn term(&self, now_ms: u64) -> Option<Term> {
        self.term
            .filter(|term| now_ms < term.ends_at_ms && !self.fenced)
    }

    /// Returns the term if it lasts long enough for a message sent now to arrive within it:
    /// `margin_ms`, but at most a quarter of the lease.
    pub fn term_for(&self, now_ms: u64, margin_ms: u64) -> Option<Term> {
        let lease_ms = self.observed.as_ref()?.entry.lease_ms;
        let margin_ms = margin_ms.min(lease_ms / MARGIN_DIVISOR);
        self.term(now_ms + margin_ms)
    }

    /// Returns the append that is due, if any. `rank` is the number of candidates that should claim
    /// before this instance; `leaving` means that the instance is shutting down.
    pub fn decide(
        &mut self,
        now_ms: u64,
        lease_ms: u64,
        rank: u64,
        leaving: bool,
    ) -> Option<Action> {
        let is_held = self
            .observed
            .as_ref()
            .is_some_and(|observed| self.is_own(&observed.entry) && !observed.entry.released);
        if leaving || self.fenced {
            let claim = self.observed.as_ref().filter(|_| is_held)?.entry.claim;
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
        let replaces = self
            .observed
            .as_ref()
            .map_or(0, |observed| observed.entry.claim);
        let action = Action::Claim {
            replaces,
            lease_ms,
            renewal: is_held,
        };
        self.begin(now_ms, action)
    }

    /// Starts an append, unless one is already in flight.
    fn begin(&mut self, now_ms: u64, action: Action) -> Option<Action> {
        if self.pending_since_ms.is_some() {
            return None;
        }
        self.pending_since_ms = Some(now_ms);
        Some(action)
    }

    /// Records that the last append certainly had no effect. An earlier append whose outcome
    /// is unknown may still be accepted; the term must then count from when that append was sent.
    pub fn append_refused(&mut self) {
        if !self.outcome_unknown {
            self.pending_since_ms = None;
        }
    }

    /// Returns the claim to resend when the outcome of the last append is unknown. If the first
    /// claim was accepted after all, the term still counts from when the first claim was sent.
    pub fn resend(&mut self, lease_ms: u64) -> Option<Action> {
        self.pending_since_ms?;
        self.outcome_unknown = true;
        let observed = self.observed.as_ref();
        Some(Action::Claim {
            replaces: observed.map_or(0, |observed| observed.entry.claim),
            lease_ms,
            renewal: observed.is_some_and(|observed| self.is_own(&observed.entry)),
        })
    }

    /// Records that a receiver refused this term's fencing number, which means that another
    /// instance holds the lease.
    pub fn mark_fenced(&mut self) {
        self.fenced = true;
    }

    /// Returns whether a third of the lease has passed since the last claim was sent, or no term is
    /// in force.
    fn renewal_due(&self, now_ms: u64) -> bool {
        let Some((term, observed)) = self.term.zip(self.observed.as_ref()) else {
            return true;
        };
        let renew_before_ms = observed.entry.lease_ms - observed.entry.lease_ms / RENEW_DIVISOR;
        now_ms + renew_before_ms >= term.ends_at_ms
    }

    /// Returns whether the lease may be claimed: it was never claimed, it was released, or the last
    /// claim has expired by this instance's clock, including the drift allowance and the guard
    /// period. After a release or an expiry the delay by rank is added.
    fn is_free(&self, now_ms: u64, rank: u64) -> bool {
        let Some(observed) = &self.observed else {
            return true;
        };
        let rank_delay_ms = rank * CLAIM_DELAY_PER_RANK_MS;
        if observed.entry.released {
            return now_ms >= observed.first_read_ms + rank_delay_ms;
        }
        let lease_ms = observed.entry.lease_ms;
        let wait_ms = lease_ms + lease_ms / DRIFT_DIVISOR + self.guard_ms + rank_delay_ms;
        now_ms >= observed.first_read_ms + wait_ms
    }
}

#[cfg(test)]
mod tests;
