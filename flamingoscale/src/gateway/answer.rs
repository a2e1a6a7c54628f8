//! Answers that the filter chain produces, each with the outcome reported to the caller.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    dispatch::{
        WorkEvent,
        WorkStream, //
    },
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// The answer to one request.
pub(crate) enum Answer {
    /// The request did not run.
    Refused(NotRun),
    /// The request ran, and this is the complete answer.
    Complete(CompleteAnswer),
    /// The request is running, and its answer is streamed as it is produced.
    Stream(StreamedAnswer),
    /// The request may have run; no answer is available.
    Unknown(UnknownAnswer),
}

/// An answer whose whole body is in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompleteAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    pub(crate) body: Bytes,
    /// Tokens to charge the organisation for, or `None` if the answer is a replay that was charged
    /// before.
    pub(crate) tokens: Option<u64>,
}

/// An answer that is still being produced.
pub(crate) struct StreamedAnswer {
    /// HTTP status, which is sent before the body.
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    /// Whether events are sent to the caller as server-sent events.
    pub(crate) is_sse: bool,
    /// Events that were received before streaming began.
    pub(crate) buffered: Vec<WorkEvent>,
    /// Events that are still to come.
    pub(crate) stream: WorkStream,
    /// Hooks to call when the request ends.
    pub(crate) end_hooks: Vec<EndHook>,
    /// Id of the caller's API key; the stream is cut when the key is withdrawn.
    pub(crate) key_id: Option<Arc<str>>,
}

/// A missing answer to a request that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnknownAnswer {
    pub(crate) cause: UnknownCause,
    pub(crate) reason: Arc<str>,
}

/// Reason why no answer is available for a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownCause {
    /// The connection to the endpoint, or to the instance that manages it (its home), was lost.
    Interrupted,
    /// The deadline passed before the answer was complete.
    Deadline,
    /// The caller's API key was withdrawn while the request was running.
    KeyWithdrawn,
    /// An earlier request with the same idempotency key is still running, or its outcome is
    /// unknown, or its answer is no longer stored.
    EarlierRequest,
    /// No reachable instance knows whether an earlier request had the same idempotency key.
    HistoryUnknown {
        /// Milliseconds after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// How a request ended, as reported to the filters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The request did not run.
    NotRun,
    /// The complete answer was delivered.
    Ran {
        /// Number of tokens in the answer.
        tokens: u64,
    },
    /// The stored answer of an earlier request was replayed.
    Replayed,
    /// The caller disconnected before the answer was complete.
    Disconnected {
        /// Number of tokens that had been delivered.
        tokens: u64,
    },
    /// The request may have run; its outcome is unknown.
    Unknown,
}

/// Callback that is called exactly once, when the request has ended.
pub(crate) type EndHook = Box<dyn FnOnce(RequestEnd)>;

impl Answer {
    pub(crate) fn no_route() -> Self {
        Self::refused(Refusal::NoRoute)
    }

    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self::Refused(NotRun::permanent(refusal))
    }

    pub(crate) fn unknown(cause: UnknownCause, reason: impl Into<Arc<str>>) -> Self {
        Self::Unknown(UnknownAnswer {
            cause,
            reason: reason.into(),
        })
    }

    /// Registers a hook that is called when the request ends. It is called immediately unless the
    /// answer is a stream.
    pub(crate) fn on_end(&mut self, hook: EndHook) {
        match self {
            Answer::Refused(_) => hook(RequestEnd::NotRun),
            Answer::Complete(complete) => hook(match complete.tokens {
                Some(tokens) => RequestEnd::Ran { tokens },
                None => RequestEnd::Replayed,
            }),
            Answer::Stream(streamed) => streamed.end_hooks.push(hook),
            Answer::Unknown(_) => hook(RequestEnd::Unknown),
        }
    }
}
