//! The log client: batched appends, reads through relays, freshness and key withdrawals.
//!
//! Two instances of each failure domain, the relays, read the shared log. The other instances pull
//! records from a relay and read the log directly only when no relay is usable. Every instance
//! folds the records in log order: it applies them one after another to its copy of the replicated
//! state. See `docs/design/log.md` and `docs/design/freshness.md`.

use std::sync::Arc;

use bytes::Bytes;
use futures::{
    channel::{
        mpsc,
        oneshot, //
    },
    future::BoxFuture, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    controller::ControlContext,
    instance::{
        Control,
        Instance, //
    },
    peer::{
        PeerHandler,
        PeerRequest,
        ReplySender, //
    },
    record::Record,
    state::SubmitError,
    wire::WithdrawnKey, //
};

mod actor;
pub(crate) mod append;
mod apply;
mod buffer;
mod denials;
mod events;
mod follower;
pub(crate) mod freshness;
mod relays;
mod scan;
mod serve;
mod snapshots;
mod withdraw;

/// Requests that instances send each other about the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Requests the records from this offset on, or a snapshot if the receiver no longer buffers
    /// them.
    Pull {
        /// The first offset that the sender has not folded yet.
        from: u64,
    },
    /// Announces that an API key was withdrawn; the receiver must stop accepting it at once.
    DenyKey {
        /// The id of the withdrawn key.
        key_id: Arc<str>,
    },
    /// Requests the receiver's [`ReplicaStatus`].
    Status,
}

/// The result of an instance's own most recent read of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogStatus {
    /// The instance has not read the log recently.
    #[default]
    Unknown,
    /// The log answered the last read.
    Reachable,
    /// The last read failed or timed out.
    Unreachable,
}

/// How far an instance has read the log, and how fresh its state is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The instance has folded all records before this offset into its state.
    pub folded: u64,
    /// Remaining time for which the instance counts as fresh; `None` if it is not fresh.
    pub fresh_for_ms: Option<u64>,
    /// The result of the instance's own last read of the log.
    pub log_status: LogStatus,
    /// API keys that the instance denies although the log does not hold their withdrawal yet.
    pub denied: Vec<Arc<str>>,
}

/// Replies to a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Consecutive records, starting at the requested offset.
    Records {
        /// Offset and encoded record; the payload of snapshot records is stripped.
        records: Vec<(u64, Bytes)>,
        /// The status of the sender, which has folded at least these records.
        status: ReplicaStatus,
    },
    /// One chunk of a snapshot of the sender's state, sent when the requested records are no longer
    /// buffered.
    Snapshot {
        /// The snapshot covers all records before this offset.
        upto: u64,
        /// The index of this chunk, from 0.
        chunk: u32,
        /// The number of chunks in the snapshot.
        chunks: u32,
        /// XXH3 digest of the whole snapshot.
        digest: u64,
        /// The bytes of this chunk.
        data: Bytes,
        /// The status of the sender.
        status: ReplicaStatus,
    },
    /// The answer to [`Message::Status`].
    Status(ReplicaStatus),
    /// Confirms [`Message::DenyKey`]: the receiver now denies the key.
    Acknowledged,
}

/// Commands that other threads send to the control thread.
enum Command {
    Submit {
        record: Record,
        answer: oneshot::Sender<Result<u64, SubmitError>>,
    },
    Withdraw {
        key_id: Arc<str>,
        answer: oneshot::Sender<Result<WithdrawnKey, SubmitError>>,
    },
    Peer {
        message: Message,
        reply: ReplySender,
    },
}

/// Runs the log client on the control thread.
pub struct LogController {
    commands: mpsc::UnboundedReceiver<Command>,
}

impl LogController {
    /// Creates the controller, the handler of peers' [`PeerRequest::Log`], and the handle with
    /// which other threads submit records.
    pub fn new(instance: Arc<Instance>) -> (Self, Arc<dyn PeerHandler>, Arc<dyn Control>) {
        let (sender, commands) = mpsc::unbounded();
        let handle = Arc::new(LogSender { instance, sender });
        (Self { commands }, handle.clone(), handle)
    }

    /// Starts reading and appending on the current thread, which must be the control thread.
    pub(crate) fn start(self, context: ControlContext) {
        actor::start(context, self.commands);
    }
}

/// Sends commands from other threads to the control thread.
struct LogSender {
    instance: Arc<Instance>,
    sender: mpsc::UnboundedSender<Command>,
}

impl PeerHandler for LogSender {
    fn handle(&self, _from: Arc<str>, request: PeerRequest, reply: ReplySender) {
        let PeerRequest::Log(message) = request else {
            self.instance.metrics.count("log.misrouted");
            return;
        };
        // If the control thread has ended, the reply is dropped, which ends the peer's stream.
        let _ = self.sender.unbounded_send(Command::Peer { message, reply });
    }
}

impl Control for LogSender {
    fn submit(&self, record: Record) -> BoxFuture<'static, Result<u64, SubmitError>> {
        let (answer, result) = oneshot::channel();
        let command = Command::Submit { record, answer };
        let sent = self.sender.unbounded_send(command).is_ok();
        Box::pin(await_answer(sent, result))
    }

    fn withdraw_key(
        &self,
        key_id: Arc<str>,
    ) -> BoxFuture<'static, Result<WithdrawnKey, SubmitError>> {
        let (answer, result) = oneshot::channel();
        let command = Command::Withdraw { key_id, answer };
        let sent = self.sender.unbounded_send(command).is_ok();
        Box::pin(await_answer(sent, result))
    }
}

/// Waits for the result of a command. If the command could not be sent, nothing was appended; if
/// the answer is lost, the outcome is unknown.
async fn await_answer<T>(
    sent: bool,
    result: oneshot::Receiver<Result<T, SubmitError>>,
) -> Result<T, SubmitError> {
    if !sent {
        return Err(SubmitError::LogUnavailable);
    }
    result.await.unwrap_or(Err(SubmitError::Unknown))
}
