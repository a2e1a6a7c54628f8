//! The log client: batched appends, reads through relays, freshness, withdrawals.
//!
//! Two instances a failure domain, the relays, read the log; the others pull from them and read
//! the log themselves when they can't. See `docs/design/log.md` and `docs/design/freshness.md`.

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

/// What peers ask of each other about the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Give me records from this offset on, or a snapshot if they are gone.
    Pull {
        /// The first wanted offset.
        from: u64,
    },
    /// This key is withdrawn; stop it now.
    DenyKey {
        /// The key's id.
        key_id: Arc<str>,
    },
    /// How do you stand towards the log?
    Status,
}

/// What an instance's own last read of the log came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogStatus {
    /// It did not read the log lately.
    #[default]
    Unknown,
    /// The log answered.
    Reachable,
    /// The log did not answer, or refused.
    Unreachable,
}

/// How an instance stands towards the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// All records before this offset are folded there.
    pub folded: u64,
    /// How long the instance still counts as fresh; none if it does not.
    pub fresh_for_ms: Option<u64>,
    /// What became of its own last read of the log.
    pub log_status: LogStatus,
    /// Keys that are denied there and not yet withdrawn in the log.
    pub denied: Vec<Arc<str>>,
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Records without a gap from the wanted offset on.
    Records {
        /// Offset and bytes; the bytes of snapshots are left out.
        records: Vec<(u64, Bytes)>,
        /// How the sender stands once it has folded these.
        status: ReplicaStatus,
    },
    /// One chunk of the sender's state, in place of records that it no longer has.
    Snapshot {
        /// The state after all records before this offset.
        upto: u64,
        /// The chunk's number.
        chunk: u32,
        /// How many chunks there are.
        chunks: u32,
        /// XXH3 of the whole snapshot.
        digest: u64,
        /// This chunk's bytes.
        data: Bytes,
        /// How the sender stands.
        status: ReplicaStatus,
    },
    /// To [`Message::Status`].
    Status(ReplicaStatus),
    /// Done.
    Acknowledged,
}

/// What reaches the control thread from others.
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

/// Looks after the log on the control thread.
pub struct LogController {
    commands: mpsc::UnboundedReceiver<Command>,
}

impl LogController {
    /// The controller, what serves peers' [`PeerRequest::Log`], and the way to submit records.
    pub fn new(instance: Arc<Instance>) -> (Self, Arc<dyn PeerHandler>, Arc<dyn Control>) {
        let (sender, commands) = mpsc::unbounded();
        let handle = Arc::new(LogSender { instance, sender });
        (Self { commands }, handle.clone(), handle)
    }

    /// Starts reading and appending on the control thread.
    pub(crate) fn start(self, context: ControlContext) {
        actor::start(context, self.commands);
    }
}

/// The way from other threads to the control thread.
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
        // A control thread that has ended drops the reply, which ends the peer's stream.
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

/// A control thread that ended before it took the command did not append anything.
async fn await_answer<T>(
    sent: bool,
    result: oneshot::Receiver<Result<T, SubmitError>>,
) -> Result<T, SubmitError> {
    if !sent {
        return Err(SubmitError::LogUnavailable);
    }
    result.await.unwrap_or(Err(SubmitError::Unknown))
}
