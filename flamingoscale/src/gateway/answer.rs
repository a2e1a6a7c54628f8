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
    Whole(Whole),
    /// It runs, and the answer comes as it is made.
    Stream(Streamed),
    /// It may have run.
    Broken(Broken),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    pub(crate) body: Bytes,
    /// What the organisation is charged; none where it was charged before.
    pub(crate) tokens: Option<u64>,
}

/// An answer that is still being made.
pub(crate) struct Streamed {
    /// Status and headers.
    pub(crate) status: u16,
    pub(crate) headers: Vec<(Arc<str>, Arc<str>)>,
    /// Whether the events become server-sent events.
    pub(crate) server_sent: bool,
    /// What came already.
    pub(crate) first: Vec<WorkEvent>,
    /// What is to come.
    pub(crate) stream: WorkStream,
    /// Told how it ended.
    pub(crate) ends: Vec<EndHook>,
    /// The id of the key; its withdrawal ends the stream.
    pub(crate) key_id: Option<Arc<str>>,
}

/// An answer that did not come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Broken {
    pub(crate) cause: Cause,
    pub(crate) reason: Arc<str>,
}

/// Why an answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The endpoint or home broke off.
    BrokeOff,
    /// The deadline passed.
    Deadline,
    /// The key was withdrawn meanwhile.
    KeyWithdrawn,
    /// The idempotency key's first request is still running, or its outcome is unknown.
    Earlier,
    /// Nobody knows whether the idempotency key came before.
    NoVouching {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Nothing ran.
    NotRun,
    /// The whole answer was delivered.
    Ran {
        /// Tokens in it.
        tokens: u64,
    },
    /// An earlier answer was given again.
    Repeated,
    /// The caller went while these tokens had been delivered.
    Left {
        /// Tokens delivered.
        tokens: u64,
    },
    /// It may have run.
    Unknown,
}

/// Is told how a request ended, once.
pub(crate) type EndHook = Box<dyn FnOnce(End)>;

impl Answer {
    pub(crate) fn no_route() -> Self {
        Self::refused(Refusal::NoRoute)
    }

    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self::Refused(NotRun::permanent(refusal))
    }

    pub(crate) fn broken(cause: Cause, reason: impl Into<Arc<str>>) -> Self {
        Self::Broken(Broken {
            cause,
            reason: reason.into(),
        })
    }

    /// Has `hook` told how the request ends: at once unless it is a stream.
    pub(crate) fn at_end(&mut self, hook: EndHook) {
        match self {
            Answer::Refused(_) => hook(End::NotRun),
            Answer::Whole(whole) => hook(match whole.tokens {
                Some(tokens) => End::Ran { tokens },
                None => End::Repeated,
            }),
            Answer::Stream(streamed) => streamed.ends.push(hook),
            Answer::Broken(_) => hook(End::Unknown),
        }
    }
}
