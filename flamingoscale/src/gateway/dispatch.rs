//! Last filter of the chain: passes the request to the dispatcher and builds an answer from the
//! events that come back.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures::future::LocalBoxFuture;
use tokio::time::{
    interval,
    sleep_until, //
};

use crate::{
    dispatch::{
        Class,
        Dispatch,
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkStream, //
    },
    gateway::{
        answer::{
            Answer,
            CompleteAnswer,
            StreamedAnswer,
            UnknownCause, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        stream,
        SharedState, //
    },
    instance::Instance,
    outcome::{
        Outcome,
        Refusal, //
    },
    wire::{
        Completion,
        CompletionChunk, //
    }, //
};

/// Interval at which the API key of a running request is checked for withdrawal.
pub(crate) const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the deadline for which the filter waits for dispatch to report the outcome.
const OUTCOME_GRACE: Duration = Duration::from_millis(750);

/// Body size in bytes up to which the answer of a plain service is buffered; a larger answer is
/// streamed.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Passes requests to the dispatcher and waits for their answers.
pub(crate) struct DispatchFilter {
    instance: Arc<Instance>,
    dispatch: Arc<dyn Dispatch>,
}

impl DispatchFilter {
    pub(crate) fn new(shared: &SharedState) -> Self {
        Self {
            instance: shared.instance.clone(),
            dispatch: shared.dispatch.clone(),
        }
    }

    async fn run(&self, exchange: Exchange) -> Answer {
        let Some(work) = build_work(&exchange) else {
            return Answer::no_route();
        };
        let form = match &exchange.body {
            WorkBody::Completion(request) if request.stream && !exchange.buffer_answer => {
                AnswerForm::Stream
            }
            WorkBody::Completion(request) => AnswerForm::Completion {
                is_sse: request.stream,
            },
            WorkBody::Plain { .. } => AnswerForm::Plain,
        };
        let mut buffer = AnswerBuffer::new(form, exchange.request_id.clone());
        let mut events = self.dispatch.start(work);
        let mut key_check = interval(KEY_CHECK_INTERVAL);
        let outcome_deadline = exchange.deadline + OUTCOME_GRACE;
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                _ = key_check.tick() => {
                    if key_is_withdrawn(&self.instance, exchange.key_id.as_ref()) {
                        let message = "the key was withdrawn while the request ran";
                        return Answer::unknown(UnknownCause::KeyWithdrawn, message);
                    }
                    continue;
                }
                () = sleep_until(outcome_deadline) => {
                    return Answer::unknown(UnknownCause::Deadline, "the deadline passed");
                }
            };
            let must_stream = match event {
                Some(WorkEvent::Done(outcome)) => return buffer.finish(outcome, &exchange),
                Some(event) => buffer.push(event),
                None => return Answer::unknown(UnknownCause::Interrupted, "the work ended early"),
            };
            if must_stream {
                return buffer.into_stream(events, &exchange);
            }
        }
    }
}

/// Whether the API key of a running request has been withdrawn.
pub(crate) fn key_is_withdrawn(instance: &Instance, key_id: Option<&Arc<str>>) -> bool {
    key_id.is_some_and(|key_id| !instance.view.load().keys.is_in_force(key_id))
}

fn build_work(exchange: &Exchange) -> Option<Work> {
    let service = exchange.service.as_ref()?;
    Some(Work {
        request_id: exchange.request_id.clone(),
        organisation: exchange.organisation.clone(),
        key_id: exchange.key_id.clone(),
        service: service.name.clone(),
        class: Class::Interactive,
        body: exchange.body.clone(),
        budget_ms: exchange.remaining_ms(),
        idempotent: service.idempotent,
        avoid: Vec::new(),
        oldest_version: 0,
        exclusive: exchange.alone,
    })
}

/// The form in which an answer is returned to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerForm {
    /// Streamed from the first chunk.
    Stream,
    /// A completion that is sent once it is complete.
    Completion {
        /// Whether the completion is formatted as server-sent events because the caller asked for a
        /// stream.
        is_sse: bool,
    },
    /// The unchanged answer of a plain service.
    Plain,
}

/// Events of a running request that have been received so far.
struct AnswerBuffer {
    form: AnswerForm,
    request_id: Arc<str>,
    status: u16,
    headers: Vec<(Arc<str>, Arc<str>)>,
    body: BytesMut,
    completion: Completion,
    chunks: Vec<CompletionChunk>,
}

impl AnswerBuffer {
    fn new(form: AnswerForm, request_id: Arc<str>) -> Self {
        Self {
            form,
            request_id,
            status: 200,
            headers: Vec::new(),
            body: BytesMut::new(),
            completion: Completion::default(),
            chunks: Vec::new(),
        }
    }

    /// Adds an event. Returns whether the remaining events must be streamed.
    fn push(&mut self, event: WorkEvent) -> bool {
        match event {
            WorkEvent::Chunk(chunk) => {
                let stream = self.form == AnswerForm::Stream;
                self.completion.text.push_str(&chunk.text);
                self.completion.tokens += chunk.tokens;
                self.chunks.push(chunk);
                stream
            }
            WorkEvent::Head { status, headers } => {
                self.status = status;
                self.headers = headers;
                false
            }
            WorkEvent::Body(bytes) => {
                self.body.extend_from_slice(&bytes);
                self.body.len() > MAX_BUFFERED_BYTES
            }
            _ => false,
        }
    }

    fn finish(self, outcome: Outcome<Summary>, exchange: &Exchange) -> Answer {
        match outcome {
            Outcome::NotRun(not_run) => Answer::Refused(not_run),
            Outcome::Unknown(reason) if exchange.remaining_ms() == 0 => {
                Answer::unknown(UnknownCause::Deadline, reason)
            }
            Outcome::Unknown(reason) => Answer::unknown(UnknownCause::Interrupted, reason),
            Outcome::Ran(summary) => Answer::Complete(self.into_complete(summary)),
        }
    }

    fn into_complete(mut self, summary: Summary) -> CompleteAnswer {
        let tokens = Some(u64::from(summary.tokens));
        let json = ("content-type".into(), "application/json".into());
        match self.form {
            AnswerForm::Plain => CompleteAnswer {
                status: self.status,
                headers: self.headers,
                body: self.body.freeze(),
                tokens,
            },
            AnswerForm::Completion { is_sse: false } => {
                self.completion.id = self.request_id;
                self.completion.finish_reason = summary.finish_reason;
                self.completion.versions = summary.versions;
                CompleteAnswer {
                    status: 200,
                    headers: vec![json],
                    body: serde_json::to_vec(&self.completion)
                        .unwrap_or_default()
                        .into(),
                    tokens,
                }
            }
            AnswerForm::Completion { is_sse: true } | AnswerForm::Stream => CompleteAnswer {
                status: 200,
                headers: stream::sse_headers(),
                body: self.to_sse_body(),
                tokens,
            },
        }
    }

    fn to_sse_body(&self) -> Bytes {
        let mut body = BytesMut::new();
        for chunk in &self.chunks {
            body.extend_from_slice(&stream::sse_event(chunk));
        }
        body.extend_from_slice(stream::SSE_DONE);
        body.freeze()
    }

    fn into_stream(self, events: WorkStream, exchange: &Exchange) -> Answer {
        let chunks = self.chunks.into_iter().map(WorkEvent::Chunk);
        let is_sse = self.form != AnswerForm::Plain;
        let body = (!self.body.is_empty()).then(|| WorkEvent::Body(self.body.freeze()));
        Answer::Stream(StreamedAnswer {
            status: self.status,
            headers: if is_sse {
                stream::sse_headers()
            } else {
                self.headers
            },
            is_sse,
            buffered: chunks.chain(body).collect(),
            stream: events,
            end_hooks: Vec::new(),
            key_id: exchange.key_id.clone(),
        })
    }
}

impl Filter for DispatchFilter {
    fn call<'a>(&'a self, exchange: Exchange, _next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        if exchange.remaining_ms() == 0 {
            return Box::pin(std::future::ready(Answer::refused(Refusal::Deadline)));
        }
        Box::pin(self.run(exchange))
    }
}
