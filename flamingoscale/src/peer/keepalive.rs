//! Pings on a connection that has streams open, so that silence is noticed.
//!
//! An idle connection costs nothing: its next stream pings it at once.

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

/// Time between pings while streams are open.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// A ping without an answer for this long means that the connection is silent.
const PING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Counts the open streams of one connection.
#[derive(Clone, Default)]
pub(crate) struct Activity {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    open: Cell<usize>,
    opened_count: Cell<u64>,
    opened_signal: Notify,
}

/// One open stream; it counts until it is dropped.
pub(crate) struct OpenStream {
    inner: Rc<Inner>,
}

impl Activity {
    /// Counts one stream more.
    pub(crate) fn open(&self) -> OpenStream {
        let inner = self.inner.clone();
        inner.open.set(inner.open.get() + 1);
        inner.opened_count.set(inner.opened_count.get() + 1);
        inner.opened_signal.notify_one();
        OpenStream { inner }
    }

    /// The number of open streams.
    pub(crate) fn count(&self) -> usize {
        self.inner.open.get()
    }

    /// How many streams were opened since the last call.
    pub(crate) fn take_opened(&self) -> u64 {
        self.inner.opened_count.take()
    }

    async fn wait(&self) {
        while self.inner.open.get() == 0 {
            self.inner.opened_signal.notified().await;
        }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.inner.open.set(self.inner.open.get() - 1);
    }
}

/// Pings the connection while streams are open; returns when it has gone silent.
pub(crate) async fn until_silent(mut pings: PingPong, activity: Activity) {
    loop {
        activity.wait().await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => tokio::time::sleep(PING_INTERVAL).await,
            _ => return,
        }
    }
}
