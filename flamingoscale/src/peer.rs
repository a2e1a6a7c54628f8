//! The instances' own protocol: `h2` streams that carry `bincode` messages.
//!
//! One request opens one stream; the answer is any number of replies. Dropping the receiving end
//! resets the stream, which is how cancellation travels. See `docs/design/peers.md`.

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

/// Replies that wait in one stream before its sender is held back.
const STREAM_REPLY_CAPACITY: usize = 32;

/// Bytes of one stream that may be under way.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Bytes of one connection that may be under way: more than all streams of a connection are
/// likely to hold up, so that slow readers of some never stop the others.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 30;

/// Names the instance that a request is for.
const TARGET_HEADER: &str = "flamingoscale-to";

/// Why a call to a peer failed, told apart by what may be concluded of the request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum PeerError {
    /// The request can't have reached the peer's handler.
    #[display("peer {peer} was not reached ({reason}): choose another or try later")]
    NotSent {
        /// The peer.
        peer: Arc<str>,
        /// What went wrong.
        reason: Arc<str>,
    },
    /// The request may have reached the peer.
    #[display("the answer of peer {peer} was lost ({reason}): what it did is unknown")]
    Lost {
        /// The peer.
        peer: Arc<str>,
        /// What went wrong.
        reason: Arc<str>,
    },
    /// The peer answered with something that this build can't read.
    #[display("peer {peer} sent garbage: its connection was dropped; check its build")]
    Garbage {
        /// The peer.
        peer: Arc<str>,
    },
}

/// What one instance asks of another; each part of the system owns its own messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Probes and gossip.
    Membership(membership::Message),
    /// Records of the log, freshness, withdrawals.
    Log(log::Message),
    /// Work for the home of an endpoint.
    Dispatch(dispatch::Message),
    /// Idempotency, limits, quarantine.
    Gateway(gateway::Message),
    /// Steps and samples.
    Rollout(rollout::Message),
    /// Copies of usage counts.
    Usage(usage::Message),
    /// Loads for the holder of the orders lease.
    Orders(orders::Message),
}

impl PeerRequest {
    /// The part of the system that it belongs to, for counting.
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

/// What a peer answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// To [`PeerRequest::Membership`].
    Membership(membership::Message),
    /// To [`PeerRequest::Log`].
    Log(log::Reply),
    /// To [`PeerRequest::Dispatch`].
    Dispatch(dispatch::WorkEvent),
    /// To [`PeerRequest::Gateway`].
    Gateway(gateway::Reply),
    /// To [`PeerRequest::Rollout`].
    Rollout(rollout::Reply),
    /// To [`PeerRequest::Usage`].
    Usage(usage::Reply),
    /// To [`PeerRequest::Orders`].
    Orders(orders::Reply),
}

impl PeerReply {
    /// The part of the system that it belongs to, for counting.
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

/// What travels in one direction of a stream, with the sender's time-line stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The sender's time.
    pub stamp: Stamp,
    /// The sender's id.
    pub from: Arc<str>,
    /// The message.
    pub body: T,
}

/// Where a handler puts its replies; close_signal it ends the stream.
pub type ReplySender = mpsc::Sender<PeerReply>;

/// What runs for a peer's request. Called on a peer thread, it must return at once: it spawns a
/// local task or passes the request to the control thread.
pub trait PeerHandler: Send + Sync {
    /// Takes one request of the peer `from`.
    fn handle(&self, from: Arc<str>, request: PeerRequest, reply: ReplySender);
}

/// The replies to one request.
#[derive(Debug)]
pub struct PeerStream {
    receiver: mpsc::Receiver<Result<PeerReply>>,
}

impl PeerStream {
    /// A stream and the end that fills it.
    pub fn channel() -> (mpsc::Sender<Result<PeerReply>>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_REPLY_CAPACITY);
        (sender, Self { receiver })
    }

    /// Returns the next reply, or nothing once the peer has ended the stream.
    pub async fn next(&mut self) -> Option<Result<PeerReply>> {
        self.receiver.recv().await
    }

    /// Returns the only reply of a request that has one.
    ///
    /// # Errors
    ///
    /// [`PeerError::Lost`] when the stream ended without one.
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

/// Calls to other instances. May be used from any thread of the runtime.
pub trait Peers: Send + Sync {
    /// Opens a stream to the peer at `peer_address` and sends it one request.
    ///
    /// Failures come as the first item of the stream.
    fn open(&self, peer: &Arc<str>, peer_address: &Arc<str>, request: PeerRequest) -> PeerStream;
}

/// The handlers of a peer's requests, one a kind.
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

    /// The handler of a request; none if this instance has none for its kind.
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

/// Checks the files for TLS at the start, before anything depends on them.
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
