//! Paces the reads and appends of a topic after failures.
//!
//! Instances that a store turned away, or that restarted together, come back together. If each of
//! them repeats a read that was too late at once and in full, the store answers requests that
//! nobody waits for any more, and it never catches up. The load that this answers is N instances
//! that all have to read the same records at once; `docs/design/reading.md` has the argument.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Largest page of records that a read asks for, in kilobytes.
const MAX_PAGE_KB: u64 = 1_024;

/// Smallest page of records that a read asks for after failures, in kilobytes.
const MIN_PAGE_KB: u64 = 32;

/// Pause after the first failure. It doubles with each further failure.
const BASE_PAUSE_MS: u64 = 80;

/// Upper limit of the pause between reads, before it is spread. A configuration has to be read soon
/// after the store is back, so the pause and the timeout of a read together stay below 3 s.
const MAX_READ_PAUSE_MS: u64 = 800;

/// Upper limit of the pause between appends, before it is spread. Leases are renewed by appends.
const MAX_APPEND_PAUSE_MS: u64 = 320;

/// Number of failures after which the page and the pause have reached their limits.
const MAX_COUNTED_FAILURES: u32 = 5;

/// The pace of the calls of one instance to one topic.
#[derive(Clone, Debug)]
pub struct Pacing {
    max_pause_ms: u64,
    /// Failures since the last success.
    failures: u32,
}

impl Pacing {
    /// Returns the pace of reads.
    pub fn of_reads() -> Self {
        Self {
            max_pause_ms: MAX_READ_PAUSE_MS,
            failures: 0,
        }
    }

    /// Returns the pace of appends.
    pub fn of_appends() -> Self {
        Self {
            max_pause_ms: MAX_APPEND_PAUSE_MS,
            failures: 0,
        }
    }

    /// Returns the size of the page that the next read should ask for, in kilobytes. A page that
    /// came too late is asked for again in smaller parts, so that some of it arrives in time.
    pub fn page_kb(&self) -> u64 {
        (MAX_PAGE_KB >> (2 * self.failures)).max(MIN_PAGE_KB)
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed and returns the pause before the next one. Pauses are spread
    /// between half and one and a half times their length, so that instances that failed together
    /// do not come back together.
    pub fn failed(&mut self, random: &mut ChaCha8Rng) -> u64 {
        let pause_ms = (BASE_PAUSE_MS << self.failures).min(self.max_pause_ms);
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        random.random_range(pause_ms / 2..=pause_ms * 3 / 2)
    }
}

#[cfg(test)]
mod tests;
