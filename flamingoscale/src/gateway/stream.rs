//! Streamed answers: forwards the events of a running request to the caller as they arrive.

use std::{
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures::Stream;
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{
        interval,
        timeout, //
    }, //
};

use crate::{
    dispatch::{
        WorkEvent,
        WorkStream, //
    },
    gateway::{
        answer::{
            EndHook,
            RequestEnd,
            StreamedAnswer, //
        },
        dispatch::{
            key_is_withdrawn,
            KEY_CHECK_INTERVAL, //
        },
        http::error_body, //
    },
    instance::{
        Instance,
        WorkGuard, //
    },
    outcome::Outcome,
    wire::{
        CompletionChunk,
        ErrorBody, //
    }, //
};

/// Event that marks the end of a complete stream of server-sent events.
pub(crate) const SSE_DONE: &[u8] = b"data: [DONE]\n\n";

/// Maximum number of pieces queued for a slow reader; beyond it, backpressure slows the endpoint
/// down.
const MAX_QUEUED_PIECES: usize = 256;

/// Time for which the queue may stay full before the caller is considered disconnected.
const READER_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Error that ends the body of an incomplete answer, which closes the connection so that the caller
/// notices.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off: send the request again if it may be repeated")]
pub(crate) struct AnswerInterrupted;

/// A part of the answer that is queued for the caller.
enum Piece {
    Bytes {
        bytes: Bytes,
        tokens: u64,
    },
    /// Last piece of the answer, and how the request ended.
    End {
        bytes: Option<Bytes>,
        end: RequestEnd,
    },
}

/// Returns the headers of a stream of server-sent events.
pub(crate) fn sse_headers() -> Vec<(Arc<str>, Arc<str>)> {
    vec![
        ("content-type".into(), "text/event-stream".into()),
        ("cache-control".into(), "no-store".into()),
    ]
}

/// Formats a value as a server-sent event.
pub(crate) fn sse_event(value: &impl Serialize) -> Bytes {
    let mut text = b"data: ".to_vec();
    // Serialisation can't end_early: these types have string keys only.
    let _ = serde_json::to_writer(&mut text, value);
    text.extend_from_slice(b"\n\n");
    text.into()
}

/// HTTP body of a streamed answer.
pub(crate) struct StreamBody {
    pieces: mpsc::Receiver<Piece>,
    end_hooks: Vec<EndHook>,
    /// Number of tokens delivered so far.
    tokens: u64,
    /// Whether the end of a complete answer has come. Without it the body must not end as a complete one does.
    is_complete: bool,
    /// Whether an error event has to be written before the connection is closed.
    has_unwritten_error: bool,
    /// Makes a graceful shutdown wait for the end of the stream.
    _guard: WorkGuard,
}

impl StreamBody {
    /// Starts a task that forwards the events of the answer.
    pub(crate) fn start(instance: Arc<Instance>, streamed: StreamedAnswer) -> Self {
        let (sender, pieces) = mpsc::channel(MAX_QUEUED_PIECES);
        let guard = instance.begin_work();
        let forwarder = Forwarder {
            instance,
            key_id: streamed.key_id,
            is_sse: streamed.is_sse,
            pieces: sender,
        };
        actix_rt::spawn(forwarder.run(streamed.buffered, streamed.stream));
        Self {
            pieces,
            end_hooks: streamed.end_hooks,
            tokens: 0,
            is_complete: false,
            has_unwritten_error: false,
            _guard: guard,
        }
    }

    fn end(&mut self, end: RequestEnd) {
        for hook in self.end_hooks.drain(..) {
            hook(end);
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        let tokens = self.tokens;
        self.end(RequestEnd::Disconnected { tokens });
    }
}

impl Stream for StreamBody {
    type Item = Result<Bytes, AnswerInterrupted>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if std::mem::take(&mut self.has_unwritten_error) {
            // The server writes what it has before it polls again, and drops it on an error.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let piece = match self.pieces.poll_recv(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(piece) => piece,
        };
        match piece {
            Some(Piece::Bytes { bytes, tokens }) => {
                self.tokens += tokens;
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(Piece::End { bytes, end }) => {
                self.end(end);
                self.is_complete = matches!(end, RequestEnd::Ran { .. });
                self.has_unwritten_error = bytes.is_some() && !self.is_complete;
                match bytes {
                    Some(bytes) => Poll::Ready(Some(Ok(bytes))),
                    None if self.is_complete => Poll::Ready(None),
                    None => Poll::Ready(Some(Err(AnswerInterrupted))),
                }
            }
            None if self.is_complete => Poll::Ready(None),
            None => {
                self.end(RequestEnd::Unknown);
                Poll::Ready(Some(Err(AnswerInterrupted)))
            }
        }
    }
}

/// Task that turns events into pieces until the answer ends or the caller disconnects.
struct Forwarder {
    instance: Arc<Instance>,
    key_id: Option<Arc<str>>,
    is_sse: bool,
    pieces: mpsc::Sender<Piece>,
}

/// Error: the caller has disconnected, or read nothing for [`READER_STALL_TIMEOUT`].
struct CallerDisconnected;

impl Forwarder {
    async fn run(self, buffered: Vec<WorkEvent>, mut stream: WorkStream) {
        for event in buffered {
            if self.forward(event).await.is_err() {
                return;
            }
        }
        let mut key_check = interval(KEY_CHECK_INTERVAL);
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.pieces.closed() => return,
                _ = key_check.tick() => {
                    if key_is_withdrawn(&self.instance, self.key_id.as_ref()) {
                        self.end_for_withdrawn_key().await;
                        return;
                    }
                    continue;
                }
            };
            let sent = match event {
                Some(WorkEvent::Done(outcome)) => {
                    self.finish(outcome).await;
                    return;
                }
                Some(event) => self.forward(event).await,
                None => {
                    self.end_early(RequestEnd::Unknown, "broke_off", "the answer broke off")
                        .await;
                    return;
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    async fn forward(&self, event: WorkEvent) -> Result<(), CallerDisconnected> {
        let (bytes, tokens) = match event {
            WorkEvent::Chunk(chunk) => (chunk_event(&chunk), u64::from(chunk.tokens)),
            WorkEvent::Body(bytes) => (bytes, 0),
            _ => return Ok(()),
        };
        self.send(Piece::Bytes { bytes, tokens }).await
    }

    async fn send(&self, piece: Piece) -> Result<(), CallerDisconnected> {
        match timeout(READER_STALL_TIMEOUT, self.pieces.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerDisconnected),
        }
    }

    async fn finish(&self, outcome: Outcome<crate::dispatch::Summary>) {
        match outcome {
            Outcome::Ran(summary) => {
                let end = RequestEnd::Ran {
                    tokens: u64::from(summary.tokens),
                };
                let bytes = self.is_sse.then(|| Bytes::from_static(SSE_DONE));
                let _ = self.send(Piece::End { bytes, end }).await;
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                self.end_early(RequestEnd::Unknown, "broke_off", "the answer broke off")
                    .await;
            }
        }
    }

    async fn end_for_withdrawn_key(&self) {
        let timeline = &self.instance.timeline;
        let key_id = self.key_id.as_deref().unwrap_or("");
        timeline.record("gateway.stream_cut", "", &[("key_id", &key_id)]);
        let message = "the key was withdrawn: ask your operator for a new one";
        self.end_early(RequestEnd::Unknown, "key_withdrawn", message)
            .await;
    }

    /// Ends the answer early by closing the connection, server-sent events after an error event.
    async fn end_early(&self, end: RequestEnd, kind: &str, message: &str) {
        let bytes = self.is_sse.then(|| {
            sse_event(&ErrorEvent {
                error: error_body(kind, message),
            })
        });
        let _ = self.send(Piece::End { bytes, end }).await;
    }
}

#[derive(Serialize)]
struct ErrorEvent {
    error: ErrorBody,
}

fn chunk_event(chunk: &CompletionChunk) -> Bytes {
    sse_event(chunk)
}
