//! A connection that is read only as far as its gate allows.

use std::{
    io::ErrorKind,
    pin::Pin,
    rc::Rc,
    task::{
        ready,
        Context,
        Poll, //
    }, //
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

use super::Gate;

/// A connection from a client.
pub struct ClientStream<S> {
    stream: S,
    gate: Rc<Gate>,
}

impl<S> ClientStream<S> {
    pub(super) fn new(stream: S, gate: Rc<Gate>) -> Self {
        Self { stream, gate }
    }

    /// Returns the gate of the connection.
    pub fn gate(&self) -> &Rc<Gate> {
        &self.gate
    }
}

impl<S> Drop for ClientStream<S> {
    fn drop(&mut self) {
        self.gate.close();
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let Some(allowed_bytes) = self.gate.allowed_bytes(context.waker()) else {
            return Poll::Pending;
        };
        if allowed_bytes == 0 {
            return Poll::Ready(Ok(()));
        }
        let length = allowed_bytes.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let count = part.filled().len();
        if read.is_pending() {
            self.gate.drained(context.waker());
        }
        ready!(read)?;
        buffer.advance(count);
        self.gate.received(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.gate.is_closed() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        match &written {
            Poll::Ready(Ok(taken)) => {
                self.gate.taken(Some(*taken), bytes.len(), context.waker());
            }
            Poll::Ready(Err(_)) => (),
            Poll::Pending => self.gate.taken(None, bytes.len(), context.waker()),
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
