//! What peers ask of this instance about the log, and what it asks of them.

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
        freshness::FRESH_MS,
        Message,
        Reply,
        Sight,
        Standing, //
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

/// How long a pull waits here for a new record.
const PULL_HOLD_MS: u64 = 500;

/// Longest wait for a peer's answer to a pull.
const PULL_TIMEOUT_MS: u64 = 1_500;

/// Longest wait for the standing of a peer, and for its taking a denial.
const STANDING_TIMEOUT_MS: u64 = 700;

/// Pause between two rounds of asking all members for their standing.
const POLL_MS: u64 = 500;

/// Most pulls that wait at once; the oldest is answered when there are more.
const MOST_PULLS: usize = 1_024;

/// A pull for records that are yet to come.
pub(crate) struct WaitingPull {
    from: u64,
    until_ms: u64,
    reply: ReplySender,
}

/// What a pull brought.
enum Pulled {
    Records(Vec<(u64, bytes::Bytes)>, Standing),
    Snapshot(Box<State>, Standing),
}

impl LogActor {
    /// Takes one request of a peer.
    pub(crate) fn serve(&mut self, message: Message, reply: ReplySender) {
        match message {
            Message::Pull { from } => self.serve_pull(from, reply),
            Message::DenyKey { key_id } => {
                self.learn_denials(&[key_id]);
                send(&reply, Reply::Taken);
            }
            Message::Standing => send(&reply, Reply::Standing(self.standing())),
        }
    }

    fn standing(&self) -> Standing {
        let now_ms = self.instance().now_ms();
        Standing {
            folded: self.folded(),
            fresh_for_ms: self.freshness.fresh_for_ms(now_ms),
            sight: self.freshness.sight(now_ms),
            denied: self.denials.keys(),
        }
    }

    fn serve_pull(&mut self, from: u64, reply: ReplySender) {
        if from >= self.folded() {
            self.hold_pull(from, reply);
            return;
        }
        match self.buffer.since(from) {
            Some(records) => {
                let standing = self.standing();
                send(&reply, Reply::Records { records, standing });
            }
            None => self.send_snapshot(reply),
        }
    }

    fn hold_pull(&mut self, from: u64, reply: ReplySender) {
        if self.pulls.len() >= MOST_PULLS {
            let oldest = self.pulls.swap_remove(0);
            self.answer_empty(&oldest.reply);
        }
        let until_ms = self.instance().now_ms() + PULL_HOLD_MS;
        self.pulls.push(WaitingPull {
            from,
            until_ms,
            reply,
        });
    }

    fn answer_empty(&self, reply: &ReplySender) {
        let records = Vec::new();
        let standing = self.standing();
        send(reply, Reply::Records { records, standing });
    }

    /// Answers the pulls that waited for records which are there now.
    pub(crate) fn answer_pulls(&mut self) {
        let folded = self.folded();
        let (ready, waiting) = std::mem::take(&mut self.pulls)
            .into_iter()
            .partition(|pull| pull.from < folded);
        self.pulls = waiting;
        let ready: Vec<WaitingPull> = ready;
        for pull in ready {
            self.serve_pull(pull.from, pull.reply);
        }
    }

    /// Answers all pulls at once: there is something to tell other than records.
    pub(crate) fn release_pulls(&mut self) {
        for pull in std::mem::take(&mut self.pulls) {
            self.answer_empty(&pull.reply);
        }
    }

    /// Answers the pulls that have waited long enough.
    pub(crate) fn expire_pulls(&mut self, now_ms: u64) {
        let (over, waiting) = std::mem::take(&mut self.pulls)
            .into_iter()
            .partition(|pull| pull.until_ms <= now_ms);
        self.pulls = waiting;
        let over: Vec<WaitingPull> = over;
        for pull in over {
            self.answer_empty(&pull.reply);
        }
    }

    fn send_snapshot(&self, reply: ReplySender) {
        let chunks = snapshot::chunks(&self.context.state.borrow());
        let standing = self.standing();
        actix_rt::spawn(async move {
            for chunk in chunks {
                let message = Reply::Snapshot {
                    upto: chunk.upto,
                    chunk: chunk.chunk,
                    chunks: chunk.chunks,
                    digest: chunk.digest,
                    data: chunk.data,
                    standing: standing.clone(),
                };
                if reply.send(PeerReply::Log(message)).await.is_err() {
                    break;
                }
            }
        });
    }

    /// Asks a peer for the records that follow.
    pub(crate) fn pull(&mut self, asked_ms: u64, peer: Member, actor: &mut Context<Self>) {
        let from = self.folded();
        let peers = self.instance().peers().cloned();
        let target = peer.clone();
        let call = async move {
            let stream = open(peers?, &target, Message::Pull { from });
            let limit = Duration::from_millis(PULL_TIMEOUT_MS);
            actix_rt::time::timeout(limit, pulled(stream)).await.ok()?
        };
        actor.spawn(call.into_actor(self).map(move |result, this, actor| {
            this.pull_answered(asked_ms, &peer.instance, result);
            this.read_on(actor);
        }));
    }

    fn pull_answered(&mut self, asked_ms: u64, peer: &Arc<str>, result: Option<Pulled>) {
        let now_ms = self.instance().now_ms();
        let standing = match result {
            None => {
                self.instance().metrics.count("log.pull_failed");
                self.follower.peer_failed(now_ms, peer);
                return;
            }
            Some(Pulled::Records(records, standing)) => {
                self.absorb(records);
                standing
            }
            Some(Pulled::Snapshot(state, standing)) => {
                self.install(*state, peer);
                standing
            }
        };
        self.end_scan_if_caught_up();
        self.follower.peer_answered(now_ms, peer, &standing);
        self.learn_denials(&standing.denied);
        let folded = self.folded();
        self.is_at_head = standing.folded <= folded && standing.fresh_for_ms.is_some();
        self.freshness.peer(asked_ms, folded, &standing);
        if standing.sight == Sight::Reached {
            let members = self.members();
            self.freshness.forget_vanished(now_ms, &members);
        }
    }

    /// Ends the search for a snapshot once the log has all that is missing here.
    pub(crate) fn end_scan_if_caught_up(&mut self) {
        if self.follower.is_scanning() && self.folded() >= self.earliest {
            self.follower.end_scan();
        }
    }

    /// Asks all members how they stand, while the log is away and freshness runs out.
    pub(crate) fn poll_standings(&mut self, now_ms: u64, actor: &mut Context<Self>) {
        let left_ms = self.freshness.fresh_for_ms(now_ms).unwrap_or(0);
        let is_due = self.follower.is_failing() && left_ms < FRESH_MS * 3 / 4;
        if !is_due || self.is_polling || now_ms < self.next_poll_ms {
            return;
        }
        let Some(peers) = self.instance().peers().cloned() else {
            return;
        };
        self.is_polling = true;
        self.next_poll_ms = now_ms + POLL_MS;
        let id = self.instance().id().clone();
        let members = self.members();
        let others: Vec<Member> = members
            .iter()
            .filter(|member| member.instance != id)
            .cloned()
            .collect();
        let calls = others
            .into_iter()
            .map(move |member| standing_of(peers.clone(), member));
        let all = async move { join_all(calls).await };
        actor.spawn(all.into_actor(self).map(move |answers, this, _| {
            this.is_polling = false;
            let answers: Vec<_> = answers.into_iter().flatten().collect();
            this.standings_answered(now_ms, &answers);
        }));
    }

    fn standings_answered(&mut self, asked_ms: u64, answers: &[(Arc<str>, Standing)]) {
        let folded = self.folded();
        let ahead = answers
            .iter()
            .filter(|(_, standing)| standing.folded > folded)
            .max_by_key(|(_, standing)| standing.folded);
        if let Some((peer, _)) = ahead {
            self.follower.peer_is_ahead(peer);
        }
        for (_, standing) in answers {
            self.learn_denials(&standing.denied);
        }
        self.freshness.peers(asked_ms, folded, answers);
        let now_ms = self.instance().now_ms();
        self.publish_freshness(now_ms);
    }

    /// Tells members of keys that were withdrawn here.
    pub(crate) fn spread_denials(&mut self, now_ms: u64, actor: &mut Context<Self>) {
        let members = self.members();
        let Some(peers) = self.instance().peers().cloned() else {
            return;
        };
        let id = self.instance().id().clone();
        for (key_id, member) in self.denials.due_messages(now_ms, &members) {
            if member.instance == id {
                continue;
            }
            let call = deny(peers.clone(), member.clone(), key_id.clone());
            let instance = member.instance.clone();
            actor.spawn(call.into_actor(self).map(move |taken, this, _| {
                if taken {
                    this.denials.taken(&key_id, instance);
                }
            }));
        }
    }
}

fn send(reply: &ReplySender, message: Reply) {
    // A peer that no longer waits needs no answer.
    let _ = reply.try_send(PeerReply::Log(message));
}

fn open(peers: Arc<dyn Peers>, member: &Member, message: Message) -> PeerStream {
    peers.open(
        &member.instance,
        &member.peer_address,
        PeerRequest::Log(message),
    )
}

/// Reads the whole answer to a pull.
async fn pulled(mut stream: PeerStream) -> Option<Pulled> {
    let mut assembler = Assembler::default();
    loop {
        match stream.next().await?.ok()? {
            PeerReply::Log(Reply::Records { records, standing }) => {
                return Some(Pulled::Records(records, standing));
            }
            PeerReply::Log(Reply::Snapshot {
                upto,
                chunk,
                chunks,
                digest,
                data,
                standing,
            }) => {
                let chunk = Chunk {
                    upto,
                    chunk,
                    chunks,
                    digest,
                    data,
                };
                if let Some(state) = assembler.add(chunk) {
                    return Some(Pulled::Snapshot(Box::new(state), standing));
                }
            }
            _ => return None,
        }
    }
}

async fn single(peers: Arc<dyn Peers>, member: &Member, message: Message) -> Option<Reply> {
    let stream = open(peers, member, message);
    let answer = stream.single(&member.instance);
    let limit = Duration::from_millis(STANDING_TIMEOUT_MS);
    match actix_rt::time::timeout(limit, answer).await.ok()?.ok()? {
        PeerReply::Log(reply) => Some(reply),
        _ => None,
    }
}

async fn standing_of(peers: Arc<dyn Peers>, member: Member) -> Option<(Arc<str>, Standing)> {
    match single(peers, &member, Message::Standing).await? {
        Reply::Standing(standing) => Some((member.instance, standing)),
        _ => None,
    }
}

async fn deny(peers: Arc<dyn Peers>, member: Member, key_id: Arc<str>) -> bool {
    let reply = single(peers, &member, Message::DenyKey { key_id }).await;
    reply == Some(Reply::Taken)
}
