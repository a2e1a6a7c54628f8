//! The protocol between instances: `bincode` messages over `h2` streams.
//!
//! Each request opens one stream, on which any number of replies come back. Dropping the receiving
//! end resets the stream, which cancels the request at the peer. See `docs/design/peers.md`.

use std::sync::Arc;

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::mpsc;

mod frame;
mod keepalive;
mod pool;
mod server;
mod tls;

pub use self::{
    pool::PeerPool,
    server::serve,
    tls::TlsError, //
};

use crate::{
    controller::orders,
    dispatch,
    gateway,
    log,
    membership,
    rollout,
    timeline::Stamp,
    usage, //
};

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Number of replies buffered per stream before backpressure stops the sender.
const STREAM_REPLY_CAPACITY: usize = 32;

/// Flow-control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Flow-control window of one connection. It is larger than the unread data that all streams of a
/// connection are likely to hold, so that streams with slow readers do not block the others.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 30;

/// Header that names the instance for which a request is meant.
const TARGET_HEADER: &str = "flamingoscale-to";

/// Why a call to a peer failed; the variants differ in whether the request may have been processed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum PeerError {
    /// The request did not reach the peer's handler.
    #[display("peer {peer} was not reached ({reason}): choose another or try later")]
    NotSent {
        /// The peer's instance name.
        peer: Arc<str>,
        /// A description of the cause.
        reason: Arc<str>,
    },
    /// The request may have been processed, but its answer was lost.
    #[display("the answer of peer {peer} was lost ({reason}): what it did is unknown")]
    Lost {
        /// The peer's instance name.
        peer: Arc<str>,
        /// A description of the cause.
        reason: Arc<str>,
    },
    /// The peer sent a message that this build cannot decode.
    #[display("peer {peer} sent garbage: its connection was dropped; check its build")]
    Garbage {
        /// The peer's instance name.
        peer: Arc<str>,
    },
}

/// A request of one instance to another. Each module defines its own messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Failure-detector probes and gossip.
    Membership(membership::Message),
    /// Log records, freshness and key withdrawals.
    Log(log::Message),
    /// Work for the home instance of an endpoint.
    Dispatch(dispatch::Message),
    /// Idempotency keys, rate limits and quarantine.
    Gateway(gateway::Message),
    /// Rollout steps and samples.
    Rollout(rollout::Message),
    /// Copies of usage counts.
    Usage(usage::Message),
    /// Load reports for the holder of the orders lease.
    Orders(orders::Message),
}

impl PeerRequest {
    /// Returns the module that this message belongs to, as a metric label.
    pub(crate) fn part(&self) -> &'static str {
        match self {
            PeerRequest::Membership(_) => "membership",
            PeerRequest::Log(_) => "log",
            PeerRequest::Dispatch(_) => "dispatch",
            PeerRequest::Gateway(_) => "gateway",
            PeerRequest::Rollout(_) => "rollout",
            PeerRequest::Usage(_) => "usage",
            PeerRequest::Orders(_) => "orders",
        }
    }
}

/// A reply of a peer; each variant answers the request variant of the same name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// The answer to [`PeerRequest::Membership`].
    Membership(membership::Message),
    /// The answer to [`PeerRequest::Log`].
    Log(log::Reply),
    /// One event of the work of a [`PeerRequest::Dispatch`].
    Dispatch(dispatch::WorkEvent),
    /// The answer to [`PeerRequest::Gateway`].
    Gateway(gateway::Reply),
    /// The answer to [`PeerRequest::Rollout`].
    Rollout(rollout::Reply),
    /// The answer to [`PeerRequest::Usage`].
    Usage(usage::Reply),
    /// The answer to [`PeerRequest::Orders`].
    Orders(orders::Reply),
}

impl PeerReply {
    /// Returns the module that this message belongs to, as a metric label.
    pub(crate) fn part(&self) -> &'static str {
        match self {
            PeerReply::Membership(_) => "membership",
            PeerReply::Log(_) => "log",
            PeerReply::Dispatch(_) => "dispatch",
            PeerReply::Gateway(_) => "gateway",
            PeerReply::Rollout(_) => "rollout",
            PeerReply::Usage(_) => "usage",
            PeerReply::Orders(_) => "orders",
        }
    }
}

/// The envelope of every message on a stream, in either direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The time-line stamp of the sender, which the receiver merges into its own time line.
    pub stamp: Stamp,
    /// The instance name of the sender.
    pub from: Arc<str>,
    /// The request or reply.
    pub body: T,
}

/// The channel on which a handler sends its replies; dropping it ends the stream.
pub type ReplySender = mpsc::Sender<PeerReply>;

/// Handles requests of peers. It is called on a peer thread and must return at once: it spawns a
/// local task or passes the request to the control thread.
pub trait PeerHandler: Send + Sync {
    /// Handles one request of the peer `from` and sends the replies to `reply`.
    fn handle(&self, from: Arc<str>, request: PeerRequest, reply: ReplySender);
}

/// The stream of replies to one request.
#[derive(Debug)]
pub struct PeerStream {
    receiver: mpsc::Receiver<Result<PeerReply>>,
}

impl PeerStream {
    /// Returns a new stream and the sender that fills it.
    pub fn channel() -> (mpsc::Sender<Result<PeerReply>>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_REPLY_CAPACITY);
        (sender, Self { receiver })
    }

    /// Returns the next reply, or `None` once the peer has ended the stream.
    pub async fn next(&mut self) -> Option<Result<PeerReply>> {
        self.receiver.recv().await
    }

    /// Returns the single reply of a request that has exactly one.
    ///
    /// # Errors
    ///
    /// [`PeerError::Lost`] if the stream ended without a reply.
    pub async fn single(mut self, peer: &Arc<str>) -> Result<PeerReply> {
        match self.next().await {
            Some(reply) => reply,
            None => Err(PeerError::Lost {
                peer: peer.clone(),
                reason: "the stream ended early".into(),
            }),
        }
    }
}

/// Sends requests to other instances. It may be used from any thread of the runtime.
pub trait Peers: Send + Sync {
    /// Opens a stream to the peer at `peer_address` and sends one request on it.
    ///
    /// A failure is reported as the first item of the stream.
    fn open(&self, peer: &Arc<str>, peer_address: &Arc<str>, request: PeerRequest) -> PeerStream;
}

/// Routes peers' requests to one handler per request variant.
#[derive(Clone, Default)]
pub struct PeerRouter {
    membership: Option<Arc<dyn PeerHandler>>,
    log: Option<Arc<dyn PeerHandler>>,
    dispatch: Option<Arc<dyn PeerHandler>>,
    gateway: Option<Arc<dyn PeerHandler>>,
    rollout: Option<Arc<dyn PeerHandler>>,
    usage: Option<Arc<dyn PeerHandler>>,
    orders: Option<Arc<dyn PeerHandler>>,
}

impl PeerRouter {
    /// Sets the handler of [`PeerRequest::Membership`].
    pub fn membership(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.membership = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Log`].
    pub fn log(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.log = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Dispatch`].
    pub fn dispatch(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.dispatch = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Gateway`].
    pub fn gateway(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.gateway = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Rollout`].
    pub fn rollout(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.rollout = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Usage`].
    pub fn usage(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.usage = Some(handler);
        self
    }

    /// Sets the handler of [`PeerRequest::Orders`].
    pub fn orders(mut self, handler: Arc<dyn PeerHandler>) -> Self {
        self.orders = Some(handler);
        self
    }

    /// Returns the handler of a request, or `None` if this instance has none for its variant.
    fn handler(&self, request: &PeerRequest) -> Option<&Arc<dyn PeerHandler>> {
        let handler = match request {
            PeerRequest::Membership(_) => &self.membership,
            PeerRequest::Log(_) => &self.log,
            PeerRequest::Dispatch(_) => &self.dispatch,
            PeerRequest::Gateway(_) => &self.gateway,
            PeerRequest::Rollout(_) => &self.rollout,
            PeerRequest::Usage(_) => &self.usage,
            PeerRequest::Orders(_) => &self.orders,
        };
        handler.as_ref()
    }
}

/// Loads the TLS files once at startup, so that an invalid file is reported before any connection
/// needs it.
///
/// # Errors
///
/// Any [`TlsError`]; its message names the file and the remedy.
pub fn check_tls(settings: &crate::settings::Settings) -> std::result::Result<(), TlsError> {
    let files = settings.peer_tls.as_ref();
    files.map_or(Ok(()), |files| tls::load(files).map(|_| ()))
}

#[cfg(test)]
mod tests;
