//! The tries of one direct request: when another endpoint is tried, and what the caller is told
//! in the end.
//!
//! A request that may be repeated gets a second try beside a slow first one. One that may not is
//! tried again only after an endpoint said that it did not run it.

/// Sends beyond the route's attempts that endpoints may refuse without running them: a service of
/// this size has about as many.
const MOST_REFUSALS: u32 = 4;

/// How a try ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
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
    most: u32,
    repeatable: bool,
    second_try_ms: u64,
    open: u32,
    lost: u32,
    refused: u32,
    exhausted: bool,
    next_try_ms: u64,
}

impl Attempts {
    /// Returns the tries of a request that came in now.
    pub fn new(most: u32, repeatable: bool, second_try_ms: u64, now_ms: u64) -> Self {
        Self {
            most,
            repeatable,
            second_try_ms,
            open: 0,
            lost: 0,
            refused: 0,
            exhausted: false,
            next_try_ms: now_ms,
        }
    }

    /// Returns when the next try is due, if there may be one.
    pub fn next_try_ms(&self) -> Option<u64> {
        let alone = self.lost == 0 && self.open == 0;
        let may_send = self.lost + self.open < self.most
            && self.refused < MOST_REFUSALS
            && !self.exhausted
            && (self.repeatable || alone);
        may_send.then_some(self.next_try_ms)
    }

    /// Notes a try that was sent.
    pub fn sent(&mut self, now_ms: u64) {
        self.open += 1;
        self.next_try_ms = now_ms + self.second_try_ms;
    }

    /// Notes that no endpoint is left to try.
    pub fn exhausted(&mut self) {
        self.exhausted = true;
    }

    /// Notes the end of a try; the next one is due at once.
    pub fn ended(&mut self, end: TryEnd, now_ms: u64) {
        self.open = self.open.saturating_sub(1);
        self.next_try_ms = now_ms;
        match end {
            TryEnd::Refused => self.refused += 1,
            TryEnd::Lost | TryEnd::Failed => self.lost += 1,
        }
    }

    /// Returns whether a try is on its way.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Returns what the caller is told if it ends now.
    pub fn verdict(&self) -> Verdict {
        match self.open + self.lost {
            0 => Verdict::NotRun,
            _ => Verdict::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
