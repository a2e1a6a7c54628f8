//! Decides which instances the directory names to callers.
//!
//! A heartbeat has no time of its own. How old it is at most follows from the reads: it was written
//! after the read before it that reached the end of the topic. So an instance that reads a backlog, or
//! the newest record of each key, does not take instances for alive that have long gone. See
//! `docs/design/evacuation.md`.

use super::{
    ledger::{
        Ledger,
        MemberState, //
    },
    record::Heartbeat, //
};

/// A heartbeat counts as written at most this much later than the read before it that reached the end
/// of the topic. Reads follow each other within 1.4 s, a pause of 0.4 s and a long poll of 1 s.
const MAX_READ_INTERVAL_MS: u64 = 2_000;

/// What the reads of the heartbeats say about the age of those that are read next. All times are in
/// monotonic milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReads {
    /// When the last read was sent that reached the end of the topic.
    end_read_ms: Option<u64>,
}

impl HeartbeatReads {
    /// Returns the time at which the heartbeats of a page count as written, or `None` if they may be
    /// of any age. `is_newest` says that the page has the newest record of each key.
    pub fn written_ms(&self, is_newest: bool, now_ms: u64) -> Option<u64> {
        let end_read_ms = self.end_read_ms.filter(|_| !is_newest)?;
        Some(now_ms.min(end_read_ms + MAX_READ_INTERVAL_MS))
    }

    /// Records a page, whose read was sent at `sent_ms`.
    pub fn page_read(&mut self, reached_end: bool, sent_ms: u64) {
        if reached_end {
            self.end_read_ms = Some(sent_ms);
        }
    }
}

/// Returns the instances other than this one to which callers may be sent: they are ready, and their
/// last heartbeat is recent.
///
/// The age of a heartbeat is relative to the last successful read, so the last known instances stay
/// listed while the store is unavailable.
pub fn reachable_instances<'a>(
    ledger: &'a Ledger,
    own_name: &'a str,
    last_read_ms: u64,
    heartbeat_timeout_ms: u64,
) -> impl Iterator<Item = &'a Heartbeat> {
    let is_alive = move |member: &&MemberState| {
        let alive_ms = member.alive_ms;
        alive_ms
            .is_some_and(|alive_ms| last_read_ms.saturating_sub(alive_ms) < heartbeat_timeout_ms)
    };
    let members = ledger.members.values().filter(is_alive);
    members
        .map(|member| &member.heartbeat)
        .filter(move |heartbeat| heartbeat.ready && !heartbeat.leaving)
        .filter(move |heartbeat| *heartbeat.instance != *own_name)
}

#[cfg(test)]
mod tests;
