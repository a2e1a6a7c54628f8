//! The outcome of a request: proven not to have run, run, or unknown.
//!
//! Retry decisions and refusals use only these types, so that a request that may have run is
//! never reported as "not run". See `docs/design/outcomes.md`.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// Returns whether an endpoint's final answer may have this status.
///
/// HTTP clients pass on any number of three digits, or any above 99. A faulty endpoint's 000, 101 or 999 is
/// no answer, so it must not reach a caller and says nothing about whether the request ran.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// The reason why a request was refused before it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Refusal {
    /// The API key is missing, unknown or withdrawn.
    Unauthorized,
    /// No service has the requested name or path.
    NoRoute,
    /// The request is malformed or too large.
    Invalid(Arc<str>),
    /// The organisation exceeded its rate limit.
    OverLimit,
    /// No endpoint has capacity for the request before its deadline.
    Overloaded,
    /// This instance can't prove that its configuration and keys are current.
    NotFresh,
    /// Endpoints crashed while they ran the same request before.
    Quarantined,
    /// The idempotency key is in use for a different request, or no instance can say whether its
    /// request has run.
    Idempotency(Arc<str>),
    /// The deadline passed while the request was queued.
    Deadline,
    /// The instance is shutting down.
    ShuttingDown,
    /// The home instance or the endpoint could not be reached, so the request was not sent in full.
    Unreachable(Arc<str>),
}

/// Proof that a request did not run, with the time after which it may be retried.
///
/// It may be constructed only before the first byte of the request is sent to an endpoint, or
/// when the endpoint itself reported that it did not run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// The reason of the refusal.
    pub refusal: Refusal,
    /// Milliseconds after which a retry can succeed; `None` if the refusal is permanent.
    pub retry_after_ms: Option<u64>,
}

impl NotRun {
    /// Creates a refusal that a retry can't avoid.
    pub fn permanent(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal after which a retry may succeed in `retry_after_ms` milliseconds.
    pub fn retry_after(refusal: Refusal, retry_after_ms: u64) -> Self {
        Self {
            refusal,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// The outcome of one attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The request did not run.
    NotRun(NotRun),
    /// The request ran, and this is its complete answer.
    Ran(T),
    /// The request may have run, but no complete answer was received, for the given reason.
    Unknown(Arc<str>),
}

impl<T> Outcome<T> {
    /// Returns the value for [`crate::wire::OUTCOME_HEADER`].
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::NotRun(_) => "not-run",
            Outcome::Ran(_) => "ran",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
