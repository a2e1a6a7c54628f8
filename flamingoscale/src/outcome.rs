//! What became of a request: provably not run, run, or unknown.
//!
//! Retries and refusals are built from these types alone, so that "not run" can't be said of a
//! request that may have run. See `docs/design/outcomes.md`.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a request was refused before anything could run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Refusal {
    /// No key, or a key that is unknown or withdrawn.
    Unauthorized,
    /// No route leads to the wanted service.
    NoRoute,
    /// The request itself is malformed or too large.
    Invalid(Arc<str>),
    /// The organisation is over its limit.
    OverLimit,
    /// No endpoint has room before the deadline.
    Overloaded,
    /// This instance can't show that its configuration and keys are current.
    NotFresh,
    /// The request crashed endpoints before.
    Quarantined,
    /// The idempotency key is in use for another request, or nobody can vouch for its past.
    Idempotency(Arc<str>),
    /// The deadline passed while the request waited.
    Deadline,
    /// The instance is going away.
    ShuttingDown,
    /// The home or endpoint could not be reached; nothing was sent in full.
    Unreachable(Arc<str>),
}

/// The proof that a request did not run, with the time after which it may be sent again.
///
/// Only code that holds the request before its first byte goes to an endpoint, or that was told
/// "not run" by the endpoint itself, may build one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    /// Why.
    pub refusal: Refusal,
    /// Milliseconds after which another try makes sense; none if it never will.
    pub retry_after_ms: Option<u64>,
}

impl NotRun {
    /// A refusal that another try would meet again.
    pub fn permanent(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after_ms: None,
        }
    }

    /// A refusal that may be gone after `retry_after_ms` milliseconds.
    pub fn retry_after(refusal: Refusal, retry_after_ms: u64) -> Self {
        Self {
            refusal,
            retry_after_ms: Some(retry_after_ms),
        }
    }
}

/// What became of one try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// Nothing ran.
    NotRun(NotRun),
    /// It ran and this is the whole answer.
    Ran(T),
    /// It may have run, and no answer will come.
    Unknown(Arc<str>),
}

impl<T> Outcome<T> {
    /// The word for [`crate::wire::OUTCOME_HEADER`].
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::NotRun(_) => "not-run",
            Outcome::Ran(_) => "ran",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
