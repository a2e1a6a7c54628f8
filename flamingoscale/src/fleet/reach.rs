//! Whether this instance reaches the endpoints at all, as opposed to single endpoints that fail.
//!
//! An instance can lose its links to all endpoints while callers, the store and the other instances
//! still reach it. See `docs/design/reach.md`.

use std::collections::BTreeSet;

use super::endpoints::EndpointKey;

/// Exchanges with this many endpoints end without a response, and none with one, before the instance
/// reports that no endpoint answers.
const MIN_SILENT_ENDPOINTS: usize = 2;

/// What this instance has heard from the endpoints lately.
#[derive(Debug, Default)]
pub struct Reach {
    /// When any endpoint was last heard from, in monotonic milliseconds.
    heard_ms: u64,
    /// The endpoints that were sent something since then and gave no response.
    silent: BTreeSet<EndpointKey>,
    /// Number of exchanges that ended without a response since then.
    unanswered: u32,
}

/// A time in which no endpoint was heard from although several were sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Number of endpoints that gave no response.
    pub endpoints: usize,
    /// Number of exchanges without a response.
    pub exchanges: u32,
    /// Time since an endpoint was last heard from, in milliseconds.
    pub silent_ms: u64,
}

impl Reach {
    /// Records that an endpoint was heard from. Returns the silence that this ends.
    pub fn heard(&mut self, now_ms: u64) -> Option<Silence> {
        let ended = self.silence(now_ms);
        self.heard_ms = now_ms;
        self.unanswered = 0;
        self.silent.clear();
        ended
    }

    /// Records an exchange that ended without a response. Returns the silence if this begins one.
    pub fn unanswered(&mut self, endpoint: EndpointKey, now_ms: u64) -> Option<Silence> {
        let before = self.silence(now_ms);
        self.unanswered += 1;
        self.silent.insert(endpoint);
        self.silence(now_ms).filter(|_| before.is_none())
    }

    fn silence(&self, now_ms: u64) -> Option<Silence> {
        let silence = Silence {
            endpoints: self.silent.len(),
            exchanges: self.unanswered,
            silent_ms: now_ms.saturating_sub(self.heard_ms),
        };
        (silence.endpoints >= MIN_SILENT_ENDPOINTS).then_some(silence)
    }
}
