//! Tracks the attempts of one direct request, and decides when another endpoint is tried and which
//! outcome the caller gets.
//!
//! An idempotent request gets a hedged second attempt if the first one is slow. Any other request
//! is retried only after an endpoint reported that it did not run it.

/// Maximum number of refused attempts of one request. Refused attempts do not count against the
/// route's `max_attempts`. A service has about this many endpoints.
const MAX_REFUSALS: u32 = 4;

/// Maximum number of attempts of one request that other instances turned away. While more than half
/// of the instances have lost their links, some do not know it yet.
const MAX_TURNED_AWAY: u32 = 10;

/// How an attempt ended without a successful response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint did not run the request.
    Refused,
    /// Another instance, which was to forward the request, did not send it to an endpoint.
    TurnedAway,
    /// The endpoint may have run the request, but gave no complete response.
    Lost,
    /// The endpoint completed the request with an error response.
    Failed,
}

/// What the caller learns if no endpoint sent a successful response: whether the request may have
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No endpoint ran the request, and none will.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
}

/// The state of all attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    max_attempts: u32,
    idempotent: bool,
    hedge_delay_ms: u64,
    in_flight: u32,
    /// Attempts that ended as [`AttemptEnd::Lost`] or [`AttemptEnd::Failed`].
    lost: u32,
    refused: u32,
    turned_away: u32,
    /// Whether every endpoint has been tried.
    exhausted: bool,
    next_attempt_ms: u64,
}

impl Attempts {
    /// Creates the state of a request that arrived at `now_ms`, before its first attempt.
    pub fn new(max_attempts: u32, idempotent: bool, hedge_delay_ms: u64, now_ms: u64) -> Self {
        Self {
            max_attempts,
            idempotent,
            hedge_delay_ms,
            in_flight: 0,
            lost: 0,
            refused: 0,
            turned_away: 0,
            exhausted: false,
            next_attempt_ms: now_ms,
        }
    }

    /// Returns when the next attempt is due, in monotonic milliseconds, or `None` if no further
    /// attempt is allowed at present.
    pub fn next_attempt_ms(&self) -> Option<u64> {
        let not_run = self.lost == 0 && self.in_flight == 0;
        let may_send = self.lost + self.in_flight < self.max_attempts
            && self.refused < MAX_REFUSALS
            && self.turned_away < MAX_TURNED_AWAY
            && !self.exhausted
            && (self.idempotent || not_run);
        may_send.then_some(self.next_attempt_ms)
    }

    /// Records that an attempt was sent. A hedged attempt is due after the hedge delay.
    pub fn sent(&mut self, now_ms: u64) {
        self.in_flight += 1;
        self.next_attempt_ms = now_ms + self.hedge_delay_ms;
    }

    /// Records that no endpoint takes a hedged attempt. The next attempt is due when the one in flight
    /// has ended.
    pub fn hedge_unavailable(&mut self) {
        self.next_attempt_ms = u64::MAX;
    }

    /// Records that no untried endpoint is left.
    pub fn exhausted(&mut self) {
        self.exhausted = true;
    }

    /// Records the end of an attempt. The next one, if allowed, is due immediately.
    pub fn ended(&mut self, end: AttemptEnd, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_attempt_ms = now_ms;
        match end {
            AttemptEnd::Refused => self.refused += 1,
            AttemptEnd::TurnedAway => self.turned_away += 1,
            AttemptEnd::Lost | AttemptEnd::Failed => self.lost += 1,
        }
    }

    /// Returns whether an attempt has been sent and has not ended.
    pub fn has_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns the outcome for the caller if the request ends now.
    pub fn verdict(&self) -> Verdict {
        match self.in_flight + self.lost {
            0 => Verdict::NotRun,
            _ => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
