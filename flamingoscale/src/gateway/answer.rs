//! What comes out of the chain, with the outcome that the caller is told.

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
    /// Nothing ran.
    Refused(NotRun),
    /// It ran, and this is all of the answer.
    Complete(CompleteAnswer),
    /// It runs, and the answer comes as it is made.
    Stream(StreamedAnswer),
    /// It may have run.
    Unknown(UnknownAnswer),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompleteAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    pub(crate) body: Bytes,
    /// What the organisation is charged; none where it was charged before.
    pub(crate) tokens: Option<u64>,
}

/// An answer that is still being made.
pub(crate) struct StreamedAnswer {
    /// Status and headers.
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    /// Whether the events become server-sent events.
    pub(crate) server_sent: bool,
    /// What came already.
    pub(crate) buffered: Vec<WorkEvent>,
    /// What is to come.
    pub(crate) stream: WorkStream,
    /// Told how it ended.
    pub(crate) end_hooks: Vec<EndHook>,
    /// The id of the key; its withdrawal end_hooks the stream.
    pub(crate) key_id: Option<Arc<str>>,
}

/// An answer that did not come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnknownAnswer {
    pub(crate) cause: UnknownCause,
    pub(crate) reason: Arc<str>,
}

/// Why an answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnknownCause {
    /// The endpoint or home broke off.
    Interrupted,
    /// The deadline passed.
    Deadline,
    /// The key was withdrawn meanwhile.
    KeyWithdrawn,
    /// The idempotency key's first request is still running, or its outcome is unknown.
    EarlierRequest,
    /// Nobody knows whether the idempotency key came before.
    HistoryUnknown {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Nothing ran.
    NotRun,
    /// The whole answer was delivered.
    Ran {
        /// Tokens in it.
        tokens: u64,
    },
    /// An earlier answer was given again.
    Replayed,
    /// The caller went while these tokens had been delivered.
    Disconnected {
        /// Tokens delivered.
        tokens: u64,
    },
    /// It may have run.
    Unknown,
}

/// Is told how a request ended, once.
pub(crate) type EndHook = Box<dyn FnOnce(RequestEnd)>;

impl Answer {
    pub(crate) fn no_route() -> Self {
        Self::refused(Refusal::NoRoute)
    }

    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self::Refused(NotRun::for_good(refusal))
    }

    pub(crate) fn unknown(cause: UnknownCause, reason: impl Into<Arc<str>>) -> Self {
        Self::Unknown(UnknownAnswer {
            cause,
            reason: reason.into(),
        })
    }

    /// Has `hook` told how the request end_hooks: at once unless it is a stream.
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
