//! Getting one piece of work to an endpoint: entry, home, engine or plain service.

mod delivery;
mod dispatcher;
mod entry;
pub(crate) mod run;

pub use dispatcher::Dispatcher;

use std::sync::Arc;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    outcome::Outcome,
    view::EndpointKey,
    wire::{
        CompletionChunk,
        CompletionRequest,
        KvExport,
        VersionSpan, //
    }, //
};

/// Events that wait between home and caller before the endpoint is held back.
const STREAM_EVENT_CAPACITY: usize = 32;

/// Who the work is for, which decides its turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A caller waits for it.
    Interactive,
    /// A sample of a trainer's step.
    Rollout {
        /// The trainer.
        trainer: Arc<str>,
    },
}

/// What an endpoint is asked to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkBody {
    /// A completion on an engine.
    Completion(CompletionRequest),
    /// A call to a plain service.
    Plain {
        /// The HTTP method.
        method: Arc<str>,
        /// Path and query behind the service's prefix, with a leading slash.
        path: Arc<str>,
        /// End-to-end headers, lower case, the caller's key removed.
        headers: Vec<(Arc<str>, Arc<str>)>,
        /// The body.
        body: Bytes,
    },
}

/// One piece of work. The caller's key is not in it by design.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Unique; the endpoint sees it and answers are matched by it.
    pub request_id: Arc<str>,
    /// Whose work it is; empty on routes open to all.
    pub organisation: Arc<str>,
    /// The id of the key that came with it, for withdrawal while it runs.
    pub key_id: Option<Arc<str>>,
    /// The service that should run it.
    pub service: Arc<str>,
    /// Its class.
    pub class: Class,
    /// What to run.
    pub body: WorkBody,
    /// Milliseconds that are left from when this was sent; no clock crosses the network.
    pub budget_ms: u64,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// Endpoints that must not be chosen: they failed it before.
    pub avoid: Vec<EndpointKey>,
    /// The oldest weight version that may run it; 0 for any.
    pub oldest_version: u64,
    /// Whether a withdrawn key, a suspect fingerprint or a rollout wants it alone on its endpoint.
    pub alone: bool,
}

impl Work {
    /// Tells requests apart that may crash an endpoint: the same text for the same service has
    /// the same fingerprint, whoever sends it and however often.
    pub fn fingerprint(&self) -> u64 {
        fingerprint(&self.service, &self.body)
    }
}

/// The fingerprint of a request's text.
pub(crate) fn fingerprint(service: &str, body: &WorkBody) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    match body {
        WorkBody::Completion(request) => {
            hasher.update(request.prompt.as_bytes());
            hasher.update(&request.max_tokens.to_le_bytes());
        }
        WorkBody::Plain {
            method, path, body, ..
        } => {
            hasher.update(method.as_bytes());
            hasher.update(path.as_bytes());
            hasher.update(body);
        }
    }
    hasher.digest()
}

/// What comes back of a piece of work, in order.
///
/// A try that failed may be followed by another, which shows as a second [`WorkEvent::Started`];
/// chunks and bodies only ever come of one try, so they can be put together as they come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkEvent {
    /// An endpoint took the work.
    Started {
        /// Which.
        endpoint: EndpointKey,
    },
    /// Part of a completion.
    Chunk(CompletionChunk),
    /// Status and end-to-end headers of a plain answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Part of a plain answer's body.
    Body(Bytes),
    /// The last event, always sent unless the sender died.
    Done(Outcome<Summary>),
    /// How busy the endpoint is; from its home to the entry now and then, as a sign of life.
    Load {
        /// Requests in flight and waiting there.
        requests: u32,
    },
    /// The endpoint broke off while it ran the work; from its home to the entry, before `Done`.
    EndpointFailed,
    /// The endpoint leaves, and this is what another can go on from; from its home to the entry,
    /// before `Done`.
    Moved(Box<KvExport>),
}

/// What a finished piece of work came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The endpoint that ran it.
    pub endpoint: EndpointKey,
    /// Tokens delivered.
    pub tokens: u32,
    /// The weight versions that produced them; empty when they can't be known.
    pub versions: Vec<VersionSpan>,
    /// `stop`, `length` or `cancelled`.
    pub finish_reason: Arc<str>,
}

/// What peers ask of a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Run this on `endpoint`, or refuse.
    Run {
        /// The endpoint that the entry chose.
        endpoint: EndpointKey,
        /// The work.
        work: Box<Work>,
        /// Whether an instance passed it on already, because it is not the home any more.
        forwarded: bool,
    },
}

/// The events of one piece of work; dropping it cancels the work.
#[derive(Debug)]
pub struct WorkStream {
    receiver: mpsc::Receiver<WorkEvent>,
}

/// Where the events of one piece of work go.
pub type WorkSender = mpsc::Sender<WorkEvent>;

impl WorkStream {
    /// A stream and the end that fills it.
    pub fn channel() -> (WorkSender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_EVENT_CAPACITY);
        (sender, Self { receiver })
    }

    /// Returns the next event. After [`WorkEvent::Done`], or when the sender died, there is none;
    /// an end without `Done` means that the outcome is unknown.
    pub async fn next(&mut self) -> Option<WorkEvent> {
        self.receiver.recv().await
    }
}

/// Runs work somewhere. The gateway and the rollout coordinator use it alike.
pub trait Dispatch: Send + Sync {
    /// Starts a piece of work; must be called on a thread of the runtime.
    fn start(&self, work: Work) -> WorkStream;
}
