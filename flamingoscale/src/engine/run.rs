//! One completion on one engine: the request, the event stream, the proof of what ran.

use std::{
    sync::Arc,
    time::Duration, //
};

use awc::{
    http::StatusCode,
    ClientResponse, //
};
use bytes::Bytes;
use futures::{
    Stream,
    StreamExt as _, //
};
use serde::Deserialize;
use tokio::time::{
    timeout,
    Instant, //
};

use crate::{
    dispatch::{
        Summary,
        Work,
        WorkEvent,
        WorkSender, //
    },
    engine::{
        client,
        events::EventParser,
        http, //
    },
    outcome::{
        NotRun,
        Outcome,
        Refusal, //
    },
    view::EndpointKey,
    wire::{
        CompletionChunk,
        CompletionRequest,
        VersionSpan,
        ENDPOINT_HEADER,
        ORGANISATION_HEADER,
        REQUEST_ID_HEADER, //
    }, //
};

/// Longest wait for the head of an answer on a connection that was used before.
const POOLED_HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest wait for the head of an answer on a new connection.
const FRESH_HEAD_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Longest silence within an answer.
const BETWEEN_BYTES: Duration = Duration::from_millis(8_000);

/// When to try again after an engine refused for want of room.
const FULL_RETRY_MS: u64 = 500;

/// The endpoint that a try goes to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: EndpointKey,
    pub(crate) id: Arc<str>,
    pub(crate) address: Arc<str>,
}

/// How one try at one endpoint ended.
#[derive(Debug)]
pub(crate) struct TryEnd {
    pub(crate) outcome: Outcome<Summary>,
    /// The endpoint broke off while it had the request, as in a crash.
    pub(crate) broke: bool,
}

impl TryEnd {
    pub(crate) fn not_run(not_run: NotRun) -> Self {
        Self {
            outcome: Outcome::NotRun(not_run),
            broke: false,
        }
    }

    pub(crate) fn unknown(reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown(reason.into()),
            broke: false,
        }
    }

    pub(crate) fn broke(reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown(reason.into()),
            broke: true,
        }
    }
}

/// One event of an engine: a chunk, or word that it failed.
#[derive(Deserialize)]
struct EngineEvent {
    #[serde(default)]
    error: Option<serde_json::Value>,
}

/// Runs a completion until its end, the deadline, or until nobody listens any more.
pub(crate) async fn completion(
    target: &Target,
    work: &Work,
    request: &CompletionRequest,
    events: &WorkSender,
    deadline: Instant,
) -> TryEnd {
    let response = match send(target, work, request, deadline).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    if let Err(end) = check_head(target, &response) {
        return end;
    }
    let mut reader = Reader::new(target, work, events);
    let end = tokio::select! {
        end = reader.read(response) => end,
        () = events.closed() => TryEnd::unknown("the caller is gone"),
        () = tokio::time::sleep_until(deadline) => TryEnd::unknown("the deadline passed"),
    };
    if !matches!(end.outcome, Outcome::Ran(_)) {
        stop(target, work);
    }
    end
}

/// Tells the engine to stop, without waiting for it.
fn stop(target: &Target, work: &Work) {
    let cancel = http::cancel(target.address.clone(), work.request_id.clone());
    actix_rt::spawn(cancel);
}

async fn send(
    target: &Target,
    work: &Work,
    request: &CompletionRequest,
    deadline: Instant,
) -> Result<ClientResponse, TryEnd> {
    let mut body = request.clone();
    body.stream = true;
    let mut client = client::pooled(&target.address);
    let mut limit = POOLED_HEAD_TIMEOUT;
    loop {
        let url = format!("http://{}/v1/completions", target.address);
        let sent = client
            .post(url)
            .insert_header((REQUEST_ID_HEADER, &*work.request_id))
            .insert_header((ORGANISATION_HEADER, &*work.organisation))
            .send_json(&body);
        let left = deadline.saturating_duration_since(Instant::now());
        match timeout(limit.min(left), sent).await {
            Ok(Ok(response)) => return Ok(response.into_stream_type()),
            Ok(Err(error)) => {
                let outcome = client::failed_send(&error);
                let broke = matches!(outcome, Outcome::Unknown(_));
                return Err(TryEnd { outcome, broke });
            }
            Err(_) => {}
        }
        client::forget(&target.address);
        stop(target, work);
        let last = limit == FRESH_HEAD_TIMEOUT || left <= limit;
        if last || !work.idempotent {
            return Err(TryEnd::unknown("the engine gave no answer"));
        }
        // The connection may have gone silent: a new one shows whether the engine is there.
        client = client::fresh();
        limit = FRESH_HEAD_TIMEOUT;
    }
}
