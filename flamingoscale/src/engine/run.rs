//! Runs one completion on one engine: sends the request, reads the event stream and determines the
//! outcome.

use std::{
    cell::Cell,
    sync::Arc,
    time::Duration, //
};

use awc::{
    http::StatusCode,
    ClientResponse, //
};
use futures::{
    future::LocalBoxFuture,
    StreamExt as _, //
};
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
        KvExport,
        VersionSpan,
        ENDPOINT_HEADER,
        ORGANISATION_HEADER,
        REQUEST_ID_HEADER, //
    }, //
};

/// Timeout for receiving the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Time without data after which the engine is asked for the request's progress by an export of its
/// KV cache.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of consecutive read timeouts after which a response is abandoned although the engine has
/// not produced more tokens than were received.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 6;

/// Delay after which a request may be retried if an engine refused it for lack of capacity.
const OVERLOADED_RETRY_MS: u64 = 500;

/// The endpoint to which an attempt is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) key: EndpointKey,
    pub(crate) id: Arc<str>,
    pub(crate) address: Arc<str>,
}

/// The result of one attempt at one endpoint.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome<Summary>,
    /// Whether the connection was lost while the endpoint had the request, as in a crash.
    pub(crate) connection_lost: bool,
    /// Exported KV cache with which another engine can resume the completion.
    pub(crate) resume_from: Option<Box<KvExport>>,
}

impl AttemptEnd {
    /// The completion or call ran, and its complete response was received.
    pub(crate) fn ran(summary: Summary) -> Self {
        Self {
            outcome: Outcome::Ran(summary),
            connection_lost: false,
            resume_from: None,
        }
    }

    pub(crate) fn not_run(not_run: NotRun) -> Self {
        Self {
            outcome: Outcome::NotRun(not_run),
            connection_lost: false,
            resume_from: None,
        }
    }

    pub(crate) fn unknown(reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown(reason.into()),
            connection_lost: false,
            resume_from: None,
        }
    }

    pub(crate) fn connection_lost(reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome: Outcome::Unknown(reason.into()),
            connection_lost: true,
            resume_from: None,
        }
    }
}

/// Runs a completion until it ends, the deadline passes, the receiver of `events` is dropped, or
/// `control.must_migrate` completes. In the last case the KV cache is exported, so that another
/// engine can resume the completion.
pub(crate) async fn stream_completion(
    target: &Target,
    work: &Work,
    request: &CompletionRequest,
    events: &WorkSender,
    control: RunControl<'_>,
) -> AttemptEnd {
    let mut response = match send(target, work, request, control.deadline).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    if let Err(end) = check_head(target, &response) {
        return end;
    }
    let mut reader = StreamReader::new(target, work, events, control.progress);
    let end = tokio::select! {
        end = reader.read_or_probe(&mut response) => end,
        () = events.closed() => AttemptEnd::unknown("the caller is gone"),
        () = tokio::time::sleep_until(control.deadline) => AttemptEnd::unknown("the deadline passed"),
        () = control.must_migrate => export_cache(target, work).await,
    };
    if !matches!(end.outcome, Outcome::Ran(_)) {
        cancel(target, work);
    }
    end
}

/// Deadline, progress counter and migration signal of a running completion.
pub(crate) struct RunControl<'a> {
    /// Time at which the completion is aborted.
    pub(crate) deadline: Instant,
    /// Number of tokens received so far; updated while the completion runs.
    pub(crate) progress: &'a Cell<u32>,
    /// Completes once the engine is expected to leave before the completion ends.
    pub(crate) must_migrate: LocalBoxFuture<'a, ()>,
}

/// Exports the KV cache of a request whose response is no longer read.
async fn export_cache(target: &Target, work: &Work) -> AttemptEnd {
    let address = target.address.clone();
    let export = http::export(address, work.request_id.clone()).await;
    let mut end = AttemptEnd::unknown("the engine is leaving");
    end.resume_from = export.map(Box::new);
    end
}

/// Cancels the request at the engine in the background.
fn cancel(target: &Target, work: &Work) {
    let cancel = http::cancel(target.address.clone(), work.request_id.clone());
    actix_rt::spawn(cancel);
}

async fn send(
    target: &Target,
    work: &Work,
    request: &CompletionRequest,
    deadline: Instant,
) -> Result<ClientResponse, AttemptEnd> {
    let mut body = request.clone();
    body.stream = true;
    let url = format!("http://{}/v1/completions", target.address);
    let sent = client::pooled(&target.address)
        .post(url)
        .insert_header((REQUEST_ID_HEADER, &*work.request_id))
        .insert_header((ORGANISATION_HEADER, &*work.organisation))
        .send_json(&body);
    let time_left = deadline.saturating_duration_since(Instant::now());
    match timeout(HEAD_TIMEOUT.min(time_left), sent).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => {
            let outcome = client::send_error_outcome(&error);
            let connection_lost = matches!(outcome, Outcome::Unknown(_));
            Err(AttemptEnd {
                outcome,
                connection_lost,
                resume_from: None,
            })
        }
        Err(_) => {
            // The connection may be dead, and so may others to the same address.
            client::discard_connections(&target.address);
            cancel(target, work);
            Err(AttemptEnd::unknown("the engine gave no answer"))
        }
    }
}

/// Checks that the expected endpoint answered and that the status is 200.
fn check_head(target: &Target, response: &ClientResponse) -> Result<(), AttemptEnd> {
    let answering_endpoint = response.headers().get(ENDPOINT_HEADER);
    if answering_endpoint.is_none_or(|name| name.as_bytes() != target.id.as_bytes()) {
        return Err(AttemptEnd::unknown(
            "another endpoint answered at this address",
        ));
    }
    match response.status() {
        StatusCode::OK => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => {
            let overloaded = NotRun::retry_after(Refusal::Overloaded, OVERLOADED_RETRY_MS);
            Err(AttemptEnd::not_run(overloaded))
        }
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
            let invalid = Refusal::Invalid("the engine refused the request".into());
            Err(AttemptEnd::not_run(NotRun::permanent(invalid)))
        }
        status => {
            let reason = format!("the engine answered with status {status}");
            Err(AttemptEnd::unknown(reason))
        }
    }
}

/// No data was received within [`READ_TIMEOUT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadTimeout;

/// Reads one event stream and forwards its chunks.
struct StreamReader<'a> {
    target: &'a Target,
    work: &'a Work,
    events: &'a WorkSender,
    parser: EventParser,
    summary: Summary,
    progress: &'a Cell<u32>,
    /// False once a chunk has arrived without the weight version of its tokens. The summary then
    /// lists no versions.
    all_versions_known: bool,
    /// Whether a chunk with a finish reason has arrived.
    finished: bool,
}

impl<'a> StreamReader<'a> {
    fn new(
        target: &'a Target,
        work: &'a Work,
        events: &'a WorkSender,
        progress: &'a Cell<u32>,
    ) -> Self {
        Self {
            target,
            work,
            events,
            parser: EventParser::default(),
            summary: Summary {
                endpoint: target.key,
                ..Summary::default()
            },
            progress,
            all_versions_known: true,
            finished: false,
        }
    }

    /// Reads the stream and checks the connection after each timeout. The engine is asked to export
    /// the request: if it has produced more tokens than were received, or does not answer although
    /// some were received, the connection is considered dead, and the export is returned so that
    /// another engine can resume. Otherwise the engine is only slow, and reading continues.
    async fn read_or_probe(&mut self, response: &mut ClientResponse) -> AttemptEnd {
        let mut timeouts = 0;
        let mut previously_received = 0;
        loop {
            if let Ok(end) = self.read(response).await {
                return end;
            }
            let received = self.progress.get();
            timeouts = if received > previously_received {
                1
            } else {
                timeouts + 1
            };
            previously_received = received;
            let address = self.target.address.clone();
            let export = http::export(address.clone(), self.work.request_id.clone()).await;
            let count_tokens =
                |export: &KvExport| export.versions.iter().map(|span| span.tokens).sum();
            let produced: Option<u32> = export.as_ref().map(count_tokens);
            let is_connection_dead = match produced {
                Some(produced) => produced > received,
                None => received > 0,
            };
            if is_connection_dead || timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
                client::discard_connections(&address);
                let mut end = AttemptEnd::unknown("the engine's answer fell silent");
                end.resume_from = export.filter(|_| is_connection_dead).map(Box::new);
                return end;
            }
        }
    }

    async fn read(&mut self, response: &mut ClientResponse) -> Result<AttemptEnd, ReadTimeout> {
        loop {
            let bytes = match timeout(READ_TIMEOUT, response.next()).await {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(error))) => return Ok(AttemptEnd::connection_lost(error.to_string())),
                Ok(None) => {
                    return Ok(AttemptEnd::connection_lost(
                        "the engine's answer ended early",
                    ))
                }
                Err(_) => return Err(ReadTimeout),
            };
            self.parser.push(&bytes);
            loop {
                match self.parser.next() {
                    Ok(Some(data)) => {
                        if let Some(end) = self.handle_event(&data).await {
                            return Ok(end);
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Ok(AttemptEnd::unknown("the engine sent an endless event")),
                }
            }
        }
    }

    /// Processes one event. Returns the result of the attempt if it ends with this event.
    async fn handle_event(&mut self, data: &str) -> Option<AttemptEnd> {
        if data == "[DONE]" {
            return Some(self.finish());
        }
        let chunk = match serde_json::from_str::<CompletionChunk>(data) {
            Ok(chunk) => chunk,
            Err(_) => return Some(AttemptEnd::unknown("the engine sent an error or garbage")),
        };
        if chunk.id != self.work.request_id {
            return Some(AttemptEnd::unknown(
                "the engine sent another request's answer",
            ));
        }
        self.add_chunk(&chunk);
        if self.events.send(WorkEvent::Chunk(chunk)).await.is_err() {
            return Some(AttemptEnd::unknown("the caller is gone"));
        }
        None
    }

    fn add_chunk(&mut self, chunk: &CompletionChunk) {
        self.summary.tokens += chunk.tokens;
        self.progress.set(self.summary.tokens);
        if let Some(reason) = &chunk.finish_reason {
            self.summary.finish_reason = reason.clone();
            self.finished = true;
        }
        match chunk.version {
            _ if chunk.tokens == 0 => {}
            Some(version) => add_span(&mut self.summary.versions, version, chunk.tokens),
            None => self.all_versions_known = false,
        }
    }

    fn finish(&mut self) -> AttemptEnd {
        if !self.finished || &*self.summary.finish_reason == "cancelled" {
            return AttemptEnd::unknown("the engine stopped before the end");
        }
        let mut summary = std::mem::take(&mut self.summary);
        if !self.all_versions_known {
            summary.versions.clear();
        }
        AttemptEnd::ran(summary)
    }
}

/// Appends tokens of a version to a list of spans, extending the last span if the version matches.
pub(crate) fn add_span(spans: &mut Vec<VersionSpan>, version: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}
