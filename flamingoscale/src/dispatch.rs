//! Dispatches work to endpoints. The entry instance, which received a request, chooses an endpoint
//! and sends the work to the endpoint's home instance, which runs it on that endpoint: an engine or
//! a plain service.

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

/// Number of events buffered between the home instance and the caller before backpressure stops
/// the endpoint.
const STREAM_EVENT_CAPACITY: usize = 32;

/// Scheduling class of a piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A caller waits for the answer.
    Interactive,
    /// A sample for a trainer's step.
    Rollout {
        /// The trainer that owns the step.
        trainer: Arc<str>,
    },
}

/// The request that an endpoint runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkBody {
    /// A completion on an engine.
    Completion(CompletionRequest),
    /// A call to a plain HTTP service.
    Plain {
        /// The HTTP method.
        method: Arc<str>,
        /// Path and query after the service's prefix, with a leading slash.
        path: Arc<str>,
        /// End-to-end headers with lower-case names, without the caller's API key.
        headers: Vec<(Arc<str>, Arc<str>)>,
        /// The request body.
        body: Bytes,
    },
}

/// A unit of work for an endpoint. By design it does not contain the caller's API key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Unique request id; the endpoint receives it, and answers are matched by it.
    pub request_id: Arc<str>,
    /// The organisation that the work belongs to; empty on routes that need no API key.
    pub organisation: Arc<str>,
    /// The id of the caller's API key, so that a withdrawal can stop the work while it runs.
    pub key_id: Option<Arc<str>>,
    /// The service that runs the work.
    pub service: Arc<str>,
    /// The scheduling class.
    pub class: Class,
    /// The request to run.
    pub body: WorkBody,
    /// Time left until the deadline, counted from when this message was sent. Instances exchange
    /// durations only, so that their clocks do not have to agree.
    pub budget_ms: u64,
    /// Whether the work is idempotent, so that it may be retried after it may have run.
    pub idempotent: bool,
    /// Endpoints that must not be chosen, because earlier attempts failed there.
    pub avoid: Vec<EndpointKey>,
    /// The minimum weight version that may run the work; 0 accepts any version.
    pub oldest_version: u64,
    /// Whether the work must run with no other request on its endpoint, because the request was in
    /// flight when an endpoint crashed, or because the connection to the endpoint broke during an
    /// earlier attempt.
    pub exclusive: bool,
}

impl Work {
    /// Returns a hash that identifies requests which may crash an endpoint: requests with the same
    /// text for the same service have the same fingerprint, regardless of the sender.
    pub fn fingerprint(&self) -> u64 {
        fingerprint(&self.service, &self.body)
    }
}

/// Returns the fingerprint of a request for a service.
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

/// An event of a piece of work. Events arrive in order.
///
/// A failed attempt may be followed by another one, which shows as a second [`WorkEvent::Started`].
/// Chunks and bodies always come from a single attempt and can be concatenated as they arrive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkEvent {
    /// An endpoint started the work.
    Started {
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// A part of a completion.
    Chunk(CompletionChunk),
    /// Status and end-to-end headers of the answer of a plain service.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers, with lower-case names.
        headers: Vec<(Arc<str>, Arc<str>)>,
    },
    /// A part of the body of a plain service's answer.
    Body(Bytes),
    /// The final event; it is missing only if the sender failed.
    Done(Outcome<Summary>),
    /// Heartbeat with the load of the endpoint, sent periodically from the endpoint's home to the
    /// entry.
    Load {
        /// Number of requests running at the endpoint plus the number waiting for it.
        requests: u32,
    },
    /// The connection to the endpoint broke while it ran the work; sent from the endpoint's home to
    /// the entry, before `Done`.
    EndpointFailed,
    /// The endpoint is leaving and exported the state from which another one can resume; sent from
    /// the endpoint's home to the entry, before `Done`.
    Moved(Box<KvExport>),
}

/// The summary of a piece of work that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The endpoint that ran the work.
    pub endpoint: EndpointKey,
    /// Number of tokens delivered.
    pub tokens: u32,
    /// The weight versions that produced the tokens; empty if they are unknown.
    pub versions: Vec<VersionSpan>,
    /// The finish reason: `stop`, `length` or `cancelled`.
    pub finish_reason: Arc<str>,
}

/// Requests from an entry to the home instance of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Requests that the home run the work on `endpoint`; the home may refuse.
    Run {
        /// The endpoint that the entry chose.
        endpoint: EndpointKey,
        /// The work to run.
        work: Box<Work>,
        /// Whether the work was already forwarded once by an instance that is no longer the
        /// endpoint's home.
        forwarded: bool,
    },
}

/// The stream of events of a piece of work; dropping it cancels the work.
#[derive(Debug)]
pub struct WorkStream {
    receiver: mpsc::Receiver<WorkEvent>,
}

/// The channel that receives the events of a piece of work.
pub type WorkSender = mpsc::Sender<WorkEvent>;

impl WorkStream {
    /// Returns a new stream and the sender that fills it.
    pub fn channel() -> (WorkSender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_EVENT_CAPACITY);
        (sender, Self { receiver })
    }

    /// Returns the next event, or `None` after [`WorkEvent::Done`]. A stream that ends without
    /// `Done` lost its sender: the outcome is unknown.
    pub async fn next(&mut self) -> Option<WorkEvent> {
        self.receiver.recv().await
    }
}

/// Runs work on an endpoint; used by the gateway and the rollout coordinator.
pub trait Dispatch: Send + Sync {
    /// Starts a piece of work and returns its events. It must be called on a thread of the runtime.
    fn start(&self, work: Work) -> WorkStream;
}
