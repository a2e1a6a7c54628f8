//! The end of the chain: the request becomes work, and the work's events become an answer.

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
            Cause,
            Streamed,
            Whole, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        stream,
        Shared, //
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

/// Time between two looks at whether a key is still in force.
pub(crate) const KEY_CHECK: Duration = Duration::from_millis(250);

/// Time after the deadline that dispatch has to say how the request ended.
const LAST_WORD: Duration = Duration::from_millis(750);

/// Bytes of an answer that is put together before it goes out; larger ones are passed on.
const LARGEST_WHOLE_BYTES: usize = 1 << 20;

/// Hands requests to the dispatcher.
pub(crate) struct DispatchFilter {
    instance: Arc<Instance>,
    dispatch: Arc<dyn Dispatch>,
}

impl DispatchFilter {
    pub(crate) fn new(shared: &Shared) -> Self {
        Self {
            instance: shared.instance.clone(),
            dispatch: shared.dispatch.clone(),
        }
    }

    async fn run(&self, exchange: Exchange) -> Answer {
        let Some(work) = work(&exchange) else {
            return Answer::no_route();
        };
        let sink = match &exchange.body {
            WorkBody::Completion(request) if request.stream && !exchange.keep_whole => Sink::Stream,
            WorkBody::Completion(request) => Sink::Completion {
                server_sent: request.stream,
            },
            WorkBody::Plain { .. } => Sink::Plain,
        };
        let mut collected = Collected::new(sink, exchange.request_id.clone());
        let mut events = self.dispatch.start(work);
        let mut key_check = interval(KEY_CHECK);
        let last = exchange.deadline + LAST_WORD;
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                _ = key_check.tick() => {
                    if key_is_withdrawn(&self.instance, exchange.key_id.as_ref()) {
                        let why = "the key was withdrawn while the request ran";
                        return Answer::broken(Cause::KeyWithdrawn, why);
                    }
                    continue;
                }
                () = sleep_until(last) => {
                    return Answer::broken(Cause::Deadline, "the deadline passed");
                }
            };
            let done = match event {
                Some(WorkEvent::Done(outcome)) => return collected.finish(outcome, &exchange),
                Some(event) => collected.take(event),
                None => return Answer::broken(Cause::BrokeOff, "the work ended early"),
            };
            if done {
                return collected.into_stream(events, &exchange);
            }
        }
    }
}

/// Whether the key of a running request is not in force any more.
pub(crate) fn key_is_withdrawn(instance: &Instance, key_id: Option<&Arc<str>>) -> bool {
    key_id.is_some_and(|key_id| !instance.view.load().keys.is_in_force(key_id))
}

fn work(exchange: &Exchange) -> Option<Work> {
    let service = exchange.service.as_ref()?;
    Some(Work {
        request_id: exchange.request_id.clone(),
        organisation: exchange.organisation.clone(),
        key_id: exchange.key_id.clone(),
        service: service.name.clone(),
        class: Class::Interactive,
        body: exchange.body.clone(),
        budget_ms: exchange.left_ms(),
        idempotent: service.idempotent,
        avoid: Vec::new(),
        oldest_version: 0,
        alone: exchange.alone,
    })
}

/// What the events are put together to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sink {
    /// Nothing: they are passed on from the first chunk.
    Stream,
    /// A whole completion.
    Completion {
        /// Whether it goes out as server-sent events all the same.
        server_sent: bool,
    },
    /// A plain answer.
    Plain,
}

/// The events so far.
struct Collected {
    sink: Sink,
    request_id: Arc<str>,
    status: u16,
    headers: Vec<(Arc<str>, Arc<str>)>,
    body: BytesMut,
    completion: Completion,
    chunks: Vec<CompletionChunk>,
}

impl Collected {
    fn new(sink: Sink, request_id: Arc<str>) -> Self {
        Self {
            sink,
            request_id,
            status: 200,
            headers: Vec::new(),
            body: BytesMut::new(),
            completion: Completion::default(),
            chunks: Vec::new(),
        }
    }

    /// Takes in an event; returns whether the rest has to be passed on as it comes.
    fn take(&mut self, event: WorkEvent) -> bool {
        match event {
            WorkEvent::Chunk(chunk) => {
                let stream = self.sink == Sink::Stream;
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
                self.body.len() > LARGEST_WHOLE_BYTES
            }
            _ => false,
        }
    }

    fn finish(self, outcome: Outcome<Summary>, exchange: &Exchange) -> Answer {
        match outcome {
            Outcome::NotRun(not_run) => Answer::Refused(not_run),
            Outcome::Unknown(reason) if exchange.left_ms() == 0 => {
                Answer::broken(Cause::Deadline, reason)
            }
            Outcome::Unknown(reason) => Answer::broken(Cause::BrokeOff, reason),
            Outcome::Ran(summary) => Answer::Whole(self.whole(summary)),
        }
    }

    fn whole(mut self, summary: Summary) -> Whole {
        let tokens = Some(u64::from(summary.tokens));
        let json = ("content-type".into(), "application/json".into());
        match self.sink {
            Sink::Plain => Whole {
                status: self.status,
                headers: self.headers,
                body: self.body.freeze(),
                tokens,
            },
            Sink::Completion { server_sent: false } => {
                self.completion.id = self.request_id;
                self.completion.finish_reason = summary.finish_reason;
                self.completion.versions = summary.versions;
                Whole {
                    status: 200,
                    headers: vec![json],
                    body: serde_json::to_vec(&self.completion)
                        .unwrap_or_default()
                        .into(),
                    tokens,
                }
            }
            Sink::Completion { server_sent: true } | Sink::Stream => Whole {
                status: 200,
                headers: stream::headers(),
                body: self.server_sent(),
                tokens,
            },
        }
    }

    fn server_sent(&self) -> Bytes {
        let mut body = BytesMut::new();
        for chunk in &self.chunks {
            body.extend_from_slice(&stream::event(chunk));
        }
        body.extend_from_slice(stream::DONE);
        body.freeze()
    }

    fn into_stream(self, events: WorkStream, exchange: &Exchange) -> Answer {
        let chunks = self.chunks.into_iter().map(WorkEvent::Chunk);
        let server_sent = self.sink != Sink::Plain;
        let body = (!self.body.is_empty()).then(|| WorkEvent::Body(self.body.freeze()));
        Answer::Stream(Streamed {
            status: self.status,
            headers: if server_sent {
                stream::headers()
            } else {
                self.headers
            },
            server_sent,
            first: chunks.chain(body).collect(),
            stream: events,
            ends: Vec::new(),
            key_id: exchange.key_id.clone(),
        })
    }
}

impl Filter for DispatchFilter {
    fn call<'a>(&'a self, exchange: Exchange, _next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        if exchange.left_ms() == 0 {
            return Box::pin(std::future::ready(Answer::refused(Refusal::Deadline)));
        }
        Box::pin(self.run(exchange))
    }
}
