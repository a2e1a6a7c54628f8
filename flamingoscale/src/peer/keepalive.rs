//! Detects dead connections by pinging those that have open streams.
//!
//! An idle connection is not pinged; opening a stream on it sends a ping at once.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use h2::{
    Ping,
    PingPong, //
};
use tokio::{
    sync::Notify,
    time::timeout, //
};

/// Interval between pings while streams are open.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without an answer to a ping after which the connection counts as dead.
const PING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Counts the open streams of one connection.
#[derive(Clone, Default)]
pub(crate) struct OpenStreams {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    open_count: Cell<usize>,
    opened_count: Cell<u64>,
    opened_signal: Notify,
}

/// Guard of one open stream, which is counted until the guard is dropped.
pub(crate) struct OpenStreamGuard {
    inner: Rc<Inner>,
}

impl OpenStreams {
    /// Counts one more open stream until the returned guard is dropped.
    pub(crate) fn open(&self) -> OpenStreamGuard {
        let inner = self.inner.clone();
        inner.open_count.set(inner.open_count.get() + 1);
        inner.opened_count.set(inner.opened_count.get() + 1);
        inner.opened_signal.notify_one();
        OpenStreamGuard { inner }
    }

    /// Returns the number of open streams.
    pub(crate) fn count(&self) -> usize {
        self.inner.open_count.get()
    }

    /// Returns how many streams were opened since the last call.
    pub(crate) fn take_opened_count(&self) -> u64 {
        self.inner.opened_count.take()
    }

    async fn wait_until_open(&self) {
        while self.inner.open_count.get() == 0 {
            self.inner.opened_signal.notified().await;
        }
    }
}

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.inner.open_count.set(self.inner.open_count.get() - 1);
    }
}

/// Pings the connection while streams are open; returns once a ping fails or is not answered in
/// time.
pub(crate) async fn until_silent(mut pings: PingPong, open_streams: OpenStreams) {
    loop {
        open_streams.wait_until_open().await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => tokio::time::sleep(PING_INTERVAL).await,
            _ => return,
        }
    }
}
