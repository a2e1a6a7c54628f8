//! Answers of a coordinator, local or received over the peer protocol.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix_rt::time::timeout;

use crate::{
    instance::Instance,
    peer::{
        PeerError,
        PeerReply,
        PeerRequest,
        PeerStream,
        ReplySender, //
    },
    rollout::{
        copies::HeldStep,
        replicator::{
            split_copies,
            MAX_MESSAGE_BYTES, //
        },
        Message,
        Reply,
        SampleCopy, //
    },
    view::Member,
    wire::Batch, //
};

/// Timeout for the next part of an answer.
const PART_TIMEOUT_MS: u64 = 3_000;

/// Outcome of a request to a coordinator.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// The current batch.
    Batch(Arc<Batch>),
    /// Everything that was held of a step.
    Held(Box<HeldStep>),
    /// Any other reply.
    Reply(Reply),
    /// The coordinator could not be reached; the request was not processed.
    Unavailable,
    /// The answer was lost; the request may have been processed.
    Lost,
}

impl Answer {
    /// Sends the answer to a peer, split into messages of bounded size.
    pub(crate) async fn send(self, to: &ReplySender) {
        match self {
            Answer::Batch(batch) => send_batch(&batch, to).await,
            Answer::Held(held) => send_held(*held, to).await,
            Answer::Reply(reply) => send(reply, to).await,
            Answer::Unavailable | Answer::Lost => {}
        }
    }
}

async fn send(reply: Reply, to: &ReplySender) {
    // A peer that has disconnected needs no answer.
    let _ = to.send(PeerReply::Rollout(reply)).await;
}

async fn send_batch(batch: &Batch, to: &ReplySender) {
    let head = Batch {
        samples: Vec::new(),
        ..*batch
    };
    send(Reply::Batch(Box::new(head)), to).await;
    let mut part = Vec::new();
    let mut bytes = 0;
    for sample in &batch.samples {
        bytes += sample.text.len();
        part.push(Arc::new(sample.clone()));
        if bytes >= MAX_MESSAGE_BYTES {
            send(Reply::Samples(std::mem::take(&mut part)), to).await;
            bytes = 0;
        }
    }
    send(Reply::Samples(part), to).await;
}

async fn send_held(held: HeldStep, to: &ReplySender) {
    let head = Reply::Held {
        step: held.step,
        epoch: held.epoch,
        sealed: held.sealed,
    };
    send(head, to).await;
    let copies: Vec<SampleCopy> = held.samples.into_values().collect();
    for part in split_copies(copies) {
        send(Reply::Copies(part), to).await;
    }
    // An empty message marks the end, so that the receiver can detect a truncated answer.
    send(Reply::Copies(Vec::new()), to).await;
}

/// Sends a request to another instance and waits at most `wait_ms` for the first part of its
/// answer.
pub(crate) async fn request_peer(
    instance: &Instance,
    member: &Member,
    message: Message,
    wait_ms: u64,
) -> Answer {
    let Some(peers) = instance.peers() else {
        return Answer::Unavailable;
    };
    let request = PeerRequest::Rollout(message);
    let mut stream = peers.open(&member.instance, &member.peer_address, request);
    match next_reply(&mut stream, wait_ms).await {
        Ok(Reply::Batch(head)) => receive_batch(*head, &mut stream).await,
        Ok(Reply::Held {
            step,
            epoch,
            sealed,
        }) => {
            let held = HeldStep::new(step, epoch, member.instance.clone(), sealed);
            receive_held(held, &mut stream).await
        }
        Ok(reply) => Answer::Reply(reply),
        Err(answer) => answer,
    }
}

async fn next_reply(stream: &mut PeerStream, wait_ms: u64) -> Result<Reply, Answer> {
    match timeout(Duration::from_millis(wait_ms), stream.next()).await {
        Ok(Some(Ok(PeerReply::Rollout(reply)))) => Ok(reply),
        Ok(Some(Err(PeerError::NotSent { .. }))) => Err(Answer::Unavailable),
        _ => Err(Answer::Lost),
    }
}

async fn receive_batch(mut batch: Batch, stream: &mut PeerStream) -> Answer {
    let expected = if batch.complete { batch.expected } else { 0 };
    while (batch.samples.len() as u32) < expected {
        let samples = match next_reply(stream, PART_TIMEOUT_MS).await {
            Ok(Reply::Samples(samples)) => samples,
            _ => return Answer::Lost,
        };
        if samples.is_empty() {
            return Answer::Lost;
        }
        let owned = samples.into_iter().map(Arc::unwrap_or_clone);
        batch.samples.extend(owned);
    }
    Answer::Batch(Arc::new(batch))
}

async fn receive_held(mut held: HeldStep, stream: &mut PeerStream) -> Answer {
    loop {
        let copies = match next_reply(stream, PART_TIMEOUT_MS).await {
            Ok(Reply::Copies(copies)) => copies,
            _ => return Answer::Lost,
        };
        if copies.is_empty() {
            return Answer::Held(Box::new(held));
        }
        let by_position = copies.into_iter().map(|copy| (copy.position, copy));
        held.samples.extend(by_position);
    }
}
