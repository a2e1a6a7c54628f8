//! Decides what an endpoint's answer says about the run of the request that it answers.
//!
//! Whatever counts runs asks here: the failures of samples and scoring calls, retries, what callers
//! are promised, streams that began, and requests that are suspected of crashing endpoints. See
//! `docs/design/outcomes.md`.

/// What an answer says about the run of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunReport {
    /// The run ended with a result, which may be that the request is invalid.
    Completed,
    /// The run ended with a failure of the endpoint.
    Failed,
    /// The endpoint stopped the run at the deadline that came with the request. This is no failure: a
    /// slow endpoint may complete the same run with more time.
    OutOfTime,
    /// The endpoint did not run the request.
    NotRun,
    /// The request may have run. Any program between the instance and the endpoint gives such answers.
    Unknown,
}

impl RunReport {
    /// Returns what an answer says that has this status. `states_not_run` says whether it states that
    /// the endpoint did not run the request.
    pub fn of(status: u16, states_not_run: bool) -> Self {
        match status {
            _ if states_not_run => Self::NotRun,
            // Misdirected request: the endpoint that was named has another address now.
            421 => Self::NotRun,
            500 => Self::Failed,
            504 => Self::OutOfTime,
            200..=499 if !promises_not_run(status) => Self::Completed,
            _ => Self::Unknown,
        }
    }

    /// Returns whether another run may end better.
    pub fn is_retryable(self) -> bool {
        self != Self::Completed
    }

    /// Returns whether the run went on to its own end.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed)
    }
}

/// Returns whether a caller takes the status as a promise that its request has not run and never will.
/// An endpoint's answer with such a status is passed on only if it states that.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether a text is whole whose response ended after a run that brought `events` events.
///
/// If a response has neither a length nor chunks, it ends with its connection, and so does one whose endpoint
/// was killed. The text is whole only if a run that goes on after its last event brings no other.
pub fn is_whole_text(ends_with_connection: bool, events: u64) -> bool {
    !ends_with_connection || events == 0
}

#[cfg(test)]
mod tests;
