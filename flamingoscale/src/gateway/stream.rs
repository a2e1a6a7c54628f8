//! Answers that go out as they are made.

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
            End,
            EndHook,
            Streamed, //
        },
        dispatch::{
            key_is_withdrawn,
            KEY_CHECK, //
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

/// What ends a stream of server-sent events that is whole.
pub(crate) const DONE: &[u8] = b"data: [DONE]\n\n";

/// Pieces that wait for a slow reader; the endpoint is held back only beyond them.
const WAITING_PIECES: usize = 256;

/// A caller that takes nothing for this time is taken for gone.
const READER_SILENCE: Duration = Duration::from_millis(10_000);

/// The answer could not be made whole; the connection is closed so that the caller sees it.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off: send the request again if it may be repeated")]
pub(crate) struct BrokenOff;

/// One piece on its way to the caller.
enum Piece {
    Bytes {
        bytes: Bytes,
        tokens: u64,
    },
    /// The last one, and whether the answer is whole.
    End {
        bytes: Option<Bytes>,
        end: End,
    },
}

/// Headers of a stream of server-sent events.
pub(crate) fn headers() -> Vec<(Arc<str>, Arc<str>)> {
    vec![
        ("content-type".into(), "text/event-stream".into()),
        ("cache-control".into(), "no-store".into()),
    ]
}

/// A server-sent event.
pub(crate) fn event(value: &impl Serialize) -> Bytes {
    let mut text = b"data: ".to_vec();
    // These types have string keys only, so they can be written as JSON.
    let _ = serde_json::to_writer(&mut text, value);
    text.extend_from_slice(b"\n\n");
    text.into()
}

/// The body of a streamed answer.
pub(crate) struct StreamBody {
    pieces: mpsc::Receiver<Piece>,
    ends: Vec<EndHook>,
    tokens: u64,
    _guard: WorkGuard,
}

impl StreamBody {
    /// Starts passing events on.
    pub(crate) fn start(instance: Arc<Instance>, streamed: Streamed) -> Self {
        let (sender, pieces) = mpsc::channel(WAITING_PIECES);
        let guard = instance.begin_work();
        let pump = Pump {
            instance,
            key_id: streamed.key_id,
            server_sent: streamed.server_sent,
            pieces: sender,
        };
        actix_rt::spawn(pump.run(streamed.first, streamed.stream));
        Self {
            pieces,
            ends: streamed.ends,
            tokens: 0,
            _guard: guard,
        }
    }

    fn end(&mut self, end: End) {
        for hook in self.ends.drain(..) {
            hook(end);
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        let tokens = self.tokens;
        self.end(End::Left { tokens });
    }
}

impl Stream for StreamBody {
    type Item = Result<Bytes, BrokenOff>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
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
                match bytes {
                    Some(bytes) => Poll::Ready(Some(Ok(bytes))),
                    None if matches!(end, End::Ran { .. }) => Poll::Ready(None),
                    None => Poll::Ready(Some(Err(BrokenOff))),
                }
            }
            None if self.ends.is_empty() => Poll::Ready(None),
            None => {
                self.end(End::Unknown);
                Poll::Ready(Some(Err(BrokenOff)))
            }
        }
    }
}

/// Turns events into pieces until the end, or until the caller is gone.
struct Pump {
    instance: Arc<Instance>,
    key_id: Option<Arc<str>>,
    server_sent: bool,
    pieces: mpsc::Sender<Piece>,
}

/// The caller takes nothing any more.
struct Gone;

impl Pump {
    async fn run(self, first: Vec<WorkEvent>, mut stream: WorkStream) {
        for event in first {
            if self.pass(event).await.is_err() {
                return;
            }
        }
        let mut key_check = interval(KEY_CHECK);
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.pieces.closed() => return,
                _ = key_check.tick() => {
                    if key_is_withdrawn(&self.instance, self.key_id.as_ref()) {
                        self.withdrawn().await;
                        return;
                    }
                    continue;
                }
            };
            let passed = match event {
                Some(WorkEvent::Done(outcome)) => {
                    self.done(outcome).await;
                    return;
                }
                Some(event) => self.pass(event).await,
                None => {
                    self.fail(End::Unknown, "broke_off", "the answer broke off")
                        .await;
                    return;
                }
            };
            if passed.is_err() {
                return;
            }
        }
    }

    async fn pass(&self, event: WorkEvent) -> Result<(), Gone> {
        let (bytes, tokens) = match event {
            WorkEvent::Chunk(chunk) => (chunk_event(&chunk), u64::from(chunk.tokens)),
            WorkEvent::Body(bytes) => (bytes, 0),
            _ => return Ok(()),
        };
        self.send(Piece::Bytes { bytes, tokens }).await
    }

    async fn send(&self, piece: Piece) -> Result<(), Gone> {
        match timeout(READER_SILENCE, self.pieces.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Gone),
        }
    }

    async fn done(&self, outcome: Outcome<crate::dispatch::Summary>) {
        match outcome {
            Outcome::Ran(summary) => {
                let end = End::Ran {
                    tokens: u64::from(summary.tokens),
                };
                let bytes = self.server_sent.then(|| Bytes::from_static(DONE));
                let _ = self.send(Piece::End { bytes, end }).await;
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                self.fail(End::Unknown, "broke_off", "the answer broke off")
                    .await;
            }
        }
    }

    async fn withdrawn(&self) {
        let line = &self.instance.timeline;
        let key_id = self.key_id.as_deref().unwrap_or("");
        line.record("gateway.stream_cut", "", &[("key_id", &key_id)]);
        let message = "the key was withdrawn: ask your operator for a new one";
        self.fail(End::Unknown, "key_withdrawn", message).await;
    }

    /// Ends server-sent events by one that says why; other answers by closing the connection.
    async fn fail(&self, end: End, kind: &str, message: &str) {
        let bytes = self.server_sent.then(|| {
            event(&ErrorEvent {
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
    event(chunk)
}
