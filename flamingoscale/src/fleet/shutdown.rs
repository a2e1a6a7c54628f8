//! Which requests an instance still takes while it shuts down, and when it may exit.
//!
//! Callers keep an instance's address for several seconds after its shutdown began, so it has to serve
//! on. A request that may last beyond the exit would be cut off in the middle: it is refused before it
//! runs, and its caller goes to another instance. An instance that has nothing left to do closes before it
//! exits: it takes no further connection and no further request, and goes once the connections that it has
//! are through. See `docs/design/shared-store.md`.

/// The instance exits this long before the platform would kill it.
const KILL_MARGIN_MS: u64 = 300;

/// Time between the last byte that an endpoint sends and the last byte that the caller gets.
const DELIVERY_MS: u64 = 100;

/// Until this long before the platform would kill it, the instance serves callers that still have its
/// address, even if it has nothing else left to do.
const SERVING_MARGIN_MS: u64 = 1_500;

/// The shutdown of an instance. All times are in monotonic milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Until when callers may come.
    serve_until_ms: u64,
    /// When the instance exits at the latest.
    exit_ms: u64,
    /// Whether the instance takes no further requests.
    closing: bool,
}

impl Shutdown {
    /// Returns the shutdown of an instance that the platform kills `grace_ms` from now.
    pub fn begin(now_ms: u64, grace_ms: u64) -> Self {
        let exit_ms = now_ms + grace_ms.saturating_sub(KILL_MARGIN_MS);
        Self {
            serve_until_ms: now_ms + grace_ms.saturating_sub(SERVING_MARGIN_MS),
            exit_ms,
            closing: false,
        }
    }

    /// Returns the shutdown after the instance has begun to close.
    pub fn closed(self) -> Self {
        Self {
            closing: true,
            ..self
        }
    }

    /// Returns whether the instance takes no further requests.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns whether a request that lasts for `limit_ms` at most ends before the exit.
    pub fn admits(&self, now_ms: u64, limit_ms: u64) -> bool {
        let end_ms = now_ms.saturating_add(limit_ms);
        !self.closing && end_ms.saturating_add(DELIVERY_MS) <= self.exit_ms
    }

    /// Returns how long a request may last that has to end before the exit.
    pub fn time_left_ms(&self, now_ms: u64) -> u64 {
        self.exit_ms.saturating_sub(now_ms + DELIVERY_MS)
    }

    /// Returns whether the instance may begin to close, with this number of open requests. What is open
    /// when it has to is given up: the time that is left is that of the last answers.
    pub fn may_close(&self, now_ms: u64, open_requests: usize) -> bool {
        let is_idle = now_ms >= self.serve_until_ms && open_requests == 0;
        is_idle || now_ms + DELIVERY_MS >= self.exit_ms
    }

    /// Returns whether the instance may exit now, with this number of open connections. A connection stays
    /// open until the answer that it carries was written.
    pub fn may_exit(&self, now_ms: u64, open_connections: usize) -> bool {
        now_ms >= self.exit_ms || (self.closing && open_connections == 0)
    }
}

#[cfg(test)]
mod tests;
