//! Reads the body of a request within the limits of its client.

use std::{
    pin::Pin,
    task::Poll, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures::Stream;

use super::{
    ClientMemory,
    Gate,
    KeepMemory, //
};
use crate::fleet::clients::{
    End,
    Shortage, //
};

/// Memory of a body at first, if it has no smaller length. It grows by doubling.
const FIRST_BYTES: usize = 4 << 10;

/// Why a body was not read to its end. The request has not run then.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[display("the body exceeds the limit: send a smaller one")]
    TooLarge,
    /// There is no memory left for it.
    #[display("{}: try again later", _0.label())]
    Short(#[error(not(source))] Shortage),
    /// Another request needed its memory, and it had stalled.
    #[display("the body stalled while memory was short: send it again")]
    Displaced,
    /// The body took too long.
    #[display("the body came too slowly: send it faster")]
    Slow,
    /// The client sent far more than the body for it.
    #[display("the chunks of the body carry too little: send larger ones")]
    Disproportionate,
    /// The connection ended, or what was sent is no body.
    #[display("the body was cut off or is malformed: send it again")]
    Broken,
}

/// A body and the memory that is kept for it.
pub struct KeptBody {
    /// The body.
    pub bytes: Bytes,
    /// What is kept for it.
    pub memory: ClientMemory,
}

/// Reads a body of at most `limit_bytes` within `limit_ms`. Memory is kept before it is used, and as the body
/// arrives: that a large one is announced takes nothing from others.
///
/// # Errors
///
/// Returns [`BodyError`] if the body was not read to its end.
pub async fn read_body<E>(
    mut payload: impl Stream<Item = Result<Bytes, E>> + Unpin,
    gate: &Gate,
    memory: ClientMemory,
    (limit_bytes, announced_bytes): (usize, Option<usize>),
    limit_ms: u64,
) -> Result<KeptBody, BodyError> {
    let expected_bytes = announced_bytes.unwrap_or(usize::MAX).min(limit_bytes);
    let mut body: Vec<u8> = Vec::new();
    gate.begin_body(limit_ms);
    let read = loop {
        let next = futures::future::poll_fn(|context| {
            match gate.ending() {
                Some(End::SlowBody) => return Poll::Ready(Err(BodyError::Slow)),
                Some(_) => return Poll::Ready(Err(BodyError::Displaced)),
                None => (),
            }
            match Pin::new(&mut payload).poll_next(context) {
                Poll::Ready(next) => Poll::Ready(Ok(next)),
                Poll::Pending if !gate.is_in_proportion(body.len()) => {
                    Poll::Ready(Err(BodyError::Disproportionate))
                }
                Poll::Pending => {
                    gate.want_body(context.waker());
                    Poll::Pending
                }
            }
        });
        match next.await {
            Ok(Some(Ok(chunk))) => {
                if let Err(error) =
                    append(&mut body, &chunk, &memory, (limit_bytes, expected_bytes))
                {
                    break Err(error);
                }
                if !gate.body_progressed(body.len()) {
                    break Err(BodyError::Disproportionate);
                }
            }
            Ok(None) => break Ok(()),
            Ok(Some(Err(_))) => break Err(BodyError::Broken),
            Err(error) => break Err(error),
        }
    };
    gate.end_body(read.is_ok());
    read?;
    Ok(KeptBody {
        bytes: body.into(),
        memory,
    })
}

/// Appends a part to a body, whose memory is kept before it is taken.
pub(crate) fn append(
    body: &mut Vec<u8>,
    chunk: &[u8],
    memory: &dyn KeepMemory,
    (limit_bytes, expected_bytes): (usize, usize),
) -> Result<(), BodyError> {
    let needed_bytes = body.len() + chunk.len();
    if needed_bytes > limit_bytes {
        return Err(BodyError::TooLarge);
    }
    if needed_bytes > body.capacity() {
        let capacity = (2 * body.capacity()).max(FIRST_BYTES).min(expected_bytes);
        let capacity = capacity.max(needed_bytes);
        let more_bytes = capacity - body.capacity();
        memory.keep(more_bytes).map_err(BodyError::Short)?;
        body.reserve_exact(capacity - body.len());
    }
    body.extend_from_slice(chunk);
    Ok(())
}
