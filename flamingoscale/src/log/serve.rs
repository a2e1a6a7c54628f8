//! Serves peers' requests about the log, and sends such requests to peers.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use futures::future::join_all;

use crate::{
    log::{
        actor::LogActor,
        freshness::FRESHNESS_MS,
        LogStatus,
        Message,
        ReplicaStatus,
        Reply, //
    },
    peer::{
        PeerReply,
        PeerRequest,
        PeerStream,
        Peers,
        ReplySender, //
    },
    state::{
        snapshot::{
            self,
            Assembler,
            Chunk, //
        },
        State, //
    },
    view::Member, //
};

/// Long-poll time of a pull that waits for a new record.
const PULL_LONG_POLL_MS: u64 = 500;

/// Timeout of a pull.
const PULL_TIMEOUT_MS: u64 = 1_500;

/// Timeout for a peer's status, and for its confirmation of a denial.
const STATUS_TIMEOUT_MS: u64 = 700;

/// Interval between rounds of status requests to all members.
const STATUS_POLL_INTERVAL_MS: u64 = 500;

/// Maximum number of waiting pulls; if there are more, the first in the list is answered early.
const MAX_WAITING_PULLS: usize = 1_024;

/// A pull that waits for records that do not exist yet.
pub(crate) struct WaitingPull {
    from: u64,
    until_ms: u64,
    reply: ReplySender,
}

/// The answer to a pull.
enum PullResult {
    Records(Vec<(u64, bytes::Bytes)>, ReplicaStatus),
    Snapshot(Box<State>, ReplicaStatus),
}

impl LogActor {
    /// Handles one request of a peer.
    pub(crate) fn serve(&mut self, message: Message, reply: ReplySender) {
        match message {
            Message::Pull { from } => self.serve_pull(from, reply),
            Message::DenyKey { key_id } => {
                self.merge_denials(&[key_id]);
                send(&reply, Reply::Acknowledged);
            }
            Message::Status => send(&reply, Reply::Status(self.status())),
        }
    }

    fn status(&self) -> ReplicaStatus {
        let now_ms = self.instance().now_ms();
        ReplicaStatus {
            folded: self.folded(),
            fresh_for_ms: self.freshness.fresh_for_ms(now_ms),
            log_status: self.freshness.log_status(now_ms),
            denied: self.denials.keys(),
        }
    }

    fn serve_pull(&mut self, from: u64, reply: ReplySender) {
        if from >= self.folded() {
            self.park_pull(from, reply);
            return;
        }
        match self.buffer.records_from(from) {
            Some(records) => {
                let status = self.status();
                send(&reply, Reply::Records { records, status });
            }
            None => self.send_snapshot(reply),
        }
    }

    fn park_pull(&mut self, from: u64, reply: ReplySender) {
        if self.waiting_pulls.len() >= MAX_WAITING_PULLS {
            let evicted = self.waiting_pulls.swap_remove(0);
            self.answer_empty(&evicted.reply);
        }
        let until_ms = self.instance().now_ms() + PULL_LONG_POLL_MS;
        self.waiting_pulls.push(WaitingPull {
            from,
            until_ms,
            reply,
        });
    }

    fn answer_empty(&self, reply: &ReplySender) {
        let records = Vec::new();
        let status = self.status();
        send(reply, Reply::Records { records, status });
    }

    /// Answers the pulls whose records have been folded.
    pub(crate) fn answer_pulls(&mut self) {
        let folded = self.folded();
        let (ready, waiting) = std::mem::take(&mut self.waiting_pulls)
            .into_iter()
            .partition(|pull| pull.from < folded);
        self.waiting_pulls = waiting;
        let ready: Vec<WaitingPull> = ready;
        for pull in ready {
            self.serve_pull(pull.from, pull.reply);
        }
    }

    /// Answers all pulls at once, with no records, to report a change of status.
    pub(crate) fn answer_all_pulls(&mut self) {
        for pull in std::mem::take(&mut self.waiting_pulls) {
            self.answer_empty(&pull.reply);
        }
    }

    /// Answers the pulls whose long-poll time is over.
    pub(crate) fn expire_pulls(&mut self, now_ms: u64) {
        let (expired, waiting) = std::mem::take(&mut self.waiting_pulls)
            .into_iter()
            .partition(|pull| pull.until_ms <= now_ms);
        self.waiting_pulls = waiting;
        let expired: Vec<WaitingPull> = expired;
        for pull in expired {
            self.answer_empty(&pull.reply);
        }
    }

    fn send_snapshot(&self, reply: ReplySender) {
        let chunks = snapshot::chunks(&self.context.state.borrow());
        let status = self.status();
        actix_rt::spawn(async move {
            for chunk in chunks {
                let message = Reply::Snapshot {
                    upto: chunk.upto,
                    chunk: chunk.chunk,
                    chunks: chunk.chunks,
                    digest: chunk.digest,
                    data: chunk.data,
                    status: status.clone(),
                };
                if reply.send(PeerReply::Log(message)).await.is_err() {
                    break;
                }
            }
        });
    }

    /// Pulls the next records from a peer.
    pub(crate) fn pull(&mut self, requested_ms: u64, peer: Member, actor: &mut Context<Self>) {
        let from = self.folded();
        let peers = self.instance().peers().cloned();
        let target = peer.clone();
        let call = async move {
            let stream = open(peers?, &target, Message::Pull { from });
            let limit = Duration::from_millis(PULL_TIMEOUT_MS);
            actix_rt::time::timeout(limit, read_pull_reply(stream))
                .await
                .ok()?
        };
        actor.spawn(call.into_actor(self).map(move |result, this, actor| {
            this.pull_answered(requested_ms, &peer.instance, result);
            this.resume_reading(actor);
        }));
    }

    fn pull_answered(&mut self, requested_ms: u64, peer: &Arc<str>, result: Option<PullResult>) {
        let now_ms = self.instance().now_ms();
        let status = match result {
            None => {
                self.instance().metrics.count("log.pull_failed");
                self.follower.peer_failed(now_ms, peer);
                return;
            }
            Some(PullResult::Records(records, status)) => {
                self.apply_records(records);
                status
            }
            Some(PullResult::Snapshot(state, status)) => {
                self.install(*state, peer);
                status
            }
        };
        self.end_scan_if_caught_up();
        self.follower.peer_answered(now_ms, peer, &status);
        self.merge_denials(&status.denied);
        let folded = self.folded();
        self.is_at_head = status.folded <= folded && status.fresh_for_ms.is_some();
        self.freshness.observe_peer(requested_ms, folded, &status);
        if status.log_status == LogStatus::Reachable {
            let members = self.members();
            self.freshness.expire_vanished(now_ms, &members);
        }
    }

    /// Ends the scan for a snapshot once this instance has folded every record that left the log.
    pub(crate) fn end_scan_if_caught_up(&mut self) {
        if self.follower.is_scanning() && self.folded() >= self.earliest {
            self.follower.end_scan();
        }
    }

    /// Requests the status of all members, while the log is unreachable and freshness is about to
    /// expire.
    pub(crate) fn poll_statuses(&mut self, now_ms: u64, actor: &mut Context<Self>) {
        let remaining_ms = self.freshness.fresh_for_ms(now_ms).unwrap_or(0);
        let is_due = self.follower.is_log_failing() && remaining_ms < FRESHNESS_MS * 3 / 4;
        if !is_due || self.is_polling_statuses || now_ms < self.next_status_poll_ms {
            return;
        }
        let Some(peers) = self.instance().peers().cloned() else {
            return;
        };
        self.is_polling_statuses = true;
        self.next_status_poll_ms = now_ms + STATUS_POLL_INTERVAL_MS;
        let id = self.instance().id().clone();
        let members = self.members();
        let others: Vec<Member> = members
            .iter()
            .filter(|member| member.instance != id)
            .cloned()
            .collect();
        let calls = others
            .into_iter()
            .map(move |member| fetch_status(peers.clone(), member));
        let all_statuses = async move { join_all(calls).await };
        actor.spawn(all_statuses.into_actor(self).map(move |answers, this, _| {
            this.is_polling_statuses = false;
            let answers: Vec<_> = answers.into_iter().flatten().collect();
            this.statuses_received(now_ms, &answers);
        }));
    }

    fn statuses_received(&mut self, requested_ms: u64, answers: &[(Arc<str>, ReplicaStatus)]) {
        let folded = self.folded();
        let ahead = answers
            .iter()
            .filter(|(_, status)| status.folded > folded)
            .max_by_key(|(_, status)| status.folded);
        if let Some((peer, _)) = ahead {
            self.follower.peer_is_ahead(peer);
        }
        for (_, status) in answers {
            self.merge_denials(&status.denied);
        }
        self.freshness.observe_peers(requested_ms, folded, answers);
        let now_ms = self.instance().now_ms();
        self.publish_freshness(now_ms);
    }

    /// Sends the keys that were withdrawn on this instance to the members that have not confirmed
    /// them.
    pub(crate) fn broadcast_denials(&mut self, now_ms: u64, actor: &mut Context<Self>) {
        let members = self.members();
        let Some(peers) = self.instance().peers().cloned() else {
            return;
        };
        let id = self.instance().id().clone();
        for (key_id, member) in self.denials.due_messages(now_ms, &members) {
            if member.instance == id {
                continue;
            }
            let call = send_denial(peers.clone(), member.clone(), key_id.clone());
            let instance = member.instance.clone();
            actor.spawn(call.into_actor(self).map(move |acknowledged, this, _| {
                if acknowledged {
                    this.denials.acknowledge(&key_id, instance);
                }
            }));
        }
    }
}

fn send(reply: &ReplySender, message: Reply) {
    // The send fails if the peer no longer waits, which needs no handling.
    let _ = reply.try_send(PeerReply::Log(message));
}

fn open(peers: Arc<dyn Peers>, member: &Member, message: Message) -> PeerStream {
    peers.open(
        &member.instance,
        &member.peer_address,
        PeerRequest::Log(message),
    )
}

/// Reads the complete answer to a pull.
async fn read_pull_reply(mut stream: PeerStream) -> Option<PullResult> {
    let mut assembler = Assembler::default();
    loop {
        match stream.next().await?.ok()? {
            PeerReply::Log(Reply::Records { records, status }) => {
                return Some(PullResult::Records(records, status));
            }
            PeerReply::Log(Reply::Snapshot {
                upto,
                chunk,
                chunks,
                digest,
                data,
                status,
            }) => {
                let chunk = Chunk {
                    upto,
                    chunk,
                    chunks,
                    digest,
                    data,
                };
                if let Some(state) = assembler.add(chunk) {
                    return Some(PullResult::Snapshot(Box::new(state), status));
                }
            }
            _ => return None,
        }
    }
}

async fn request_single(peers: Arc<dyn Peers>, member: &Member, message: Message) -> Option<Reply> {
    let stream = open(peers, member, message);
    let answer = stream.single(&member.instance);
    let limit = Duration::from_millis(STATUS_TIMEOUT_MS);
    match actix_rt::time::timeout(limit, answer).await.ok()?.ok()? {
        PeerReply::Log(reply) => Some(reply),
        _ => None,
    }
}

async fn fetch_status(peers: Arc<dyn Peers>, member: Member) -> Option<(Arc<str>, ReplicaStatus)> {
    match request_single(peers, &member, Message::Status).await? {
        Reply::Status(status) => Some((member.instance, status)),
        _ => None,
    }
}

async fn send_denial(peers: Arc<dyn Peers>, member: Member, key_id: Arc<str>) -> bool {
    let reply = request_single(peers, &member, Message::DenyKey { key_id }).await;
    reply == Some(Reply::Acknowledged)
}
