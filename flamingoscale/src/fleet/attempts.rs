//! The tries of one direct request: when another endpoint is tried, and what the caller is told
//! in the end.
//!
//! A request that may be repeated gets a second try beside a slow first one. One that may not is
//! tried again only after an endpoint said that it did not run it.

/// Sends beyond the route's attempts that endpoints may refuse without running them: a service of
/// this size has about as many.
const MAX_REFUSALS: u32 = 4;

/// How a try ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint did not run it.
    Refused,
    /// It may have run; there is no whole answer.
    Lost,
    /// The endpoint answered with a failure of its own.
    Failed,
}

/// What the caller is told where no endpoint answered with success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No endpoint ran the request, and none will.
    NotRun,
    /// One may have.
    Unknown,
}

/// The tries of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    max_attempts: u32,
    idempotent: bool,
    hedge_delay_ms: u64,
    in_flight: u32,
    lost: u32,
    refused: u32,
    exhausted: bool,
    next_attempt_ms: u64,
}

impl Attempts {
    /// Returns the tries of a request that came in now.
    pub fn new(max_attempts: u32, idempotent: bool, hedge_delay_ms: u64, now_ms: u64) -> Self {
        Self {
            max_attempts,
            idempotent,
            hedge_delay_ms,
            in_flight: 0,
            lost: 0,
            refused: 0,
            exhausted: false,
            next_attempt_ms: now_ms,
        }
    }

    /// Returns when the next try is due, if there may be one.
    pub fn next_attempt_ms(&self) -> Option<u64> {
        let none_started = self.lost == 0 && self.in_flight == 0;
        let may_send = self.lost + self.in_flight < self.max_attempts
            && self.refused < MAX_REFUSALS
            && !self.exhausted
            && (self.idempotent || none_started);
        may_send.then_some(self.next_attempt_ms)
    }

    /// Notes a try that was sent.
    pub fn sent(&mut self, now_ms: u64) {
        self.in_flight += 1;
        self.next_attempt_ms = now_ms + self.hedge_delay_ms;
    }

    /// Notes that no endpoint is left to try.
    pub fn exhausted(&mut self) {
        self.exhausted = true;
    }

    /// Notes the end of a try; the next one is due at once.
    pub fn ended(&mut self, end: AttemptEnd, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_attempt_ms = now_ms;
        match end {
            AttemptEnd::Refused => self.refused += 1,
            AttemptEnd::Lost | AttemptEnd::Failed => self.lost += 1,
        }
    }

    /// Returns whether a try is on its way.
    pub fn has_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns what the caller is told if it ends now.
    pub fn verdict(&self) -> Verdict {
        match self.in_flight + self.lost {
            0 => Verdict::NotRun,
            _ => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
