//! Paces the reads and appends of a topic after failures.
//!
//! Instances that a store turned away, or that restarted together, come back together. If each of
//! them repeats a read that was too late at once and in full, the store answers requests that
//! nobody waits for any more, and it never catches up. The load that this answers is N instances
//! that all have to read the same records at once; `docs/design/reading.md` has the argument.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Largest page of records that a read asks for, in kilobytes.
pub const MAX_PAGE_KB: u64 = 1_024;

/// Smallest page of records that a read asks for after failures, in kilobytes.
const MIN_PAGE_KB: u64 = 32;

/// Pause after the first failure, before it is spread. It doubles with each further failure.
pub(super) const BASE_PAUSE_MS: u64 = 80;

/// Longest pause between appends. Leases are renewed by appends.
const MAX_APPEND_PAUSE_MS: u64 = 480;

/// Number of failures after which the pause has reached its limit.
const MAX_COUNTED_FAILURES: u32 = 5;

/// Number of divisions after which the page has reached its limit.
const MAX_PAGE_LEVEL: u32 = 3;

/// The pace of the calls of one instance to one topic.
#[derive(Clone, Debug)]
pub struct Pacing {
    /// Upper limit of the pause before it is spread.
    max_pause_ms: u64,
    /// Failures since the last success.
    failures: u32,
    /// How often the page is divided.
    page_level: u32,
}

impl Pacing {
    /// Returns a pace whose pauses are no longer than `longest_ms`.
    pub(super) fn new(longest_ms: u64) -> Self {
        Self {
            max_pause_ms: longest_ms * 2 / 3,
            failures: 0,
            page_level: 0,
        }
    }

    /// Returns the pace of appends.
    pub fn of_appends() -> Self {
        Self::new(MAX_APPEND_PAUSE_MS)
    }

    /// Returns the size of the page that the next read should ask for, in kilobytes. A page that
    /// came too late is asked for again in smaller parts, so that some of it arrives in time. Pages grow
    /// again step by step: the other instances read, too.
    pub fn page_kb(&self) -> u64 {
        (MAX_PAGE_KB >> (2 * self.page_level)).max(MIN_PAGE_KB)
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.page_level = self.page_level.saturating_sub(1);
    }

    /// Records that a call failed and returns the pause before the next one. Pauses are spread
    /// between half and one and a half times their length, so that instances that failed together
    /// do not come back together.
    pub fn failed(&mut self, random: &mut ChaCha8Rng) -> u64 {
        let pause_ms = (BASE_PAUSE_MS << self.failures).min(self.max_pause_ms);
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        self.page_level = (self.page_level + 1).min(MAX_PAGE_LEVEL);
        random.random_range(pause_ms / 2..=Self::longest_ms(pause_ms))
    }

    /// Returns the longest pause that a pause may become when it is spread.
    pub(super) fn longest_ms(pause_ms: u64) -> u64 {
        pause_ms * 3 / 2
    }
}

#[cfg(test)]
mod tests;
