//! When this instance should write a snapshot into the log.

/// Records after which there should be a new snapshot.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 2_000;

/// Time after which there should be a new snapshot, whatever was written.
const SNAPSHOT_INTERVAL_MS: u64 = 300_000;

/// Time that each relay waits longer than the one whose turn is before.
const RANK_DELAY_MS: u64 = 1_000;

/// Shortest time between two snapshots of one writer.
const MIN_WRITE_INTERVAL_MS: u64 = 5_000;

/// What the instance sees of the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogBounds {
    /// The earliest offset that is kept.
    pub(crate) earliest: u64,
    /// All records before this offset are folded here.
    pub(crate) folded: u64,
}

/// Decides when to write. Only relays do, as only they see the snapshots of others whole.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPolicy {
    /// Offset and time of the last whole snapshot in the log, as read.
    last: Option<(u64, u64)>,
    /// Since when one is wanted.
    wanted_ms: Option<u64>,
    /// Set while the log is away: there should be one as soon as it is back.
    is_after_outage: bool,
    written_ms: Option<u64>,
}

impl SnapshotPolicy {
    /// A whole snapshot of the state at `upto` was read.
    pub(crate) fn snapshot_seen(&mut self, upto: u64, now_ms: u64) {
        let newest = self.last.map_or(0, |(last, _)| last);
        self.last = Some((newest.max(upto), now_ms));
        self.wanted_ms = None;
        self.is_after_outage = false;
    }

    /// The log could not be read.
    pub(crate) fn log_unavailable(&mut self) {
        self.is_after_outage = true;
    }

    /// Whether to write one now; `turn` is this instance's place among those that might.
    pub(crate) fn is_due(
        &mut self,
        now_ms: u64,
        bounds: LogBounds,
        rank: impl FnOnce() -> Option<usize>,
    ) -> bool {
        if !self.is_wanted(now_ms, bounds) {
            self.wanted_ms = None;
            return false;
        }
        let wanted_ms = *self.wanted_ms.get_or_insert(now_ms);
        let Some(rank) = rank() else {
            return false;
        };
        let next_write_ms = self
            .written_ms
            .map_or(0, |written_ms| written_ms + MIN_WRITE_INTERVAL_MS);
        let is_due = now_ms >= (wanted_ms + rank as u64 * RANK_DELAY_MS).max(next_write_ms);
        if is_due {
            self.written_ms = Some(now_ms);
        }
        is_due
    }

    fn is_wanted(&self, now_ms: u64, bounds: LogBounds) -> bool {
        if bounds.folded == 0 {
            return false;
        }
        let Some((last, last_ms)) = self.last else {
            return bounds.folded >= SNAPSHOT_INTERVAL_RECORDS
                || bounds.earliest > 0
                || self.is_after_outage;
        };
        // The older half of what is kept goes first: a snapshot there is replaced in time,
        // however long the platform keeps records.
        let is_in_older_half = bounds.earliest > 0 && last < (bounds.earliest + bounds.folded) / 2;
        is_in_older_half
            || self.is_after_outage
            || bounds.folded - last.min(bounds.folded) >= SNAPSHOT_INTERVAL_RECORDS
            || now_ms >= last_ms + SNAPSHOT_INTERVAL_MS
    }
}

/// Tells when all chunks of one snapshot were read, in order, from one writer.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    digest: u64,
    next: u32,
}

impl SnapshotTracker {
    /// Takes a chunk's place; returns whether it was the last of a whole snapshot.
    pub(crate) fn observe_chunk(&mut self, digest: u64, chunk: u32, chunks: u32) -> bool {
        if chunk == 0 {
            self.digest = digest;
            self.next = 0;
        }
        if digest != self.digest || chunk != self.next {
            return false;
        }
        self.next += 1;
        self.next == chunks
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bounds(earliest: u64, folded: u64) -> LogBounds {
        LogBounds { earliest, folded }
    }

    #[test]
    fn a_snapshot_in_the_older_half_of_the_log_is_replaced() {
        let mut policy = SnapshotPolicy::default();
        policy.snapshot_seen(100, 0);
        assert!(!policy.is_due(1, bounds(50, 140), || Some(0)));
        assert!(policy.is_due(2, bounds(80, 140), || Some(0)));
    }

    #[test]
    fn turns_wait_for_each_other_and_an_outage_asks_for_one_at_once() {
        let mut policy = SnapshotPolicy::default();
        policy.snapshot_seen(100, 0);
        policy.log_unavailable();
        assert!(!policy.is_due(1_000, bounds(0, 101), || Some(1)));
        assert!(policy.is_due(1_000 + RANK_DELAY_MS, bounds(0, 101), || Some(1)));
        policy.snapshot_seen(101, 2_500);
        assert!(!policy.is_due(2_600, bounds(0, 101), || Some(0)));
    }

    #[test]
    fn a_writer_pauses_and_tries_again_if_its_snapshot_is_not_seen() {
        let mut policy = SnapshotPolicy::default();
        let full = bounds(0, SNAPSHOT_INTERVAL_RECORDS);
        assert!(policy.is_due(0, full, || Some(0)));
        assert!(!policy.is_due(1, full, || Some(0)));
        assert!(policy.is_due(MIN_WRITE_INTERVAL_MS, full, || Some(0)));
    }

    #[test]
    fn a_snapshot_is_whole_only_with_all_its_chunks() {
        let mut tracker = SnapshotTracker::default();
        assert!(!tracker.observe_chunk(5, 0, 3));
        assert!(!tracker.observe_chunk(5, 2, 3));
        assert!(!tracker.observe_chunk(5, 0, 2));
        assert!(tracker.observe_chunk(5, 1, 2));
    }
}
