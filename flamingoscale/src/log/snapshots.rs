//! Decides when this instance should write a snapshot into the log.

/// Number of records after which a new snapshot is due.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 2_000;

/// Time after which a new snapshot is due, even without new records.
const SNAPSHOT_INTERVAL_MS: u64 = 300_000;

/// Delay per rank: each relay waits this much longer than the relay ranked before it.
const RANK_DELAY_MS: u64 = 1_000;

/// Minimum time between two snapshots of one writer.
const MIN_WRITE_INTERVAL_MS: u64 = 5_000;

/// The range of the log, as seen by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogBounds {
    /// The earliest retained offset.
    pub(crate) earliest: u64,
    /// All records before this offset are folded on this instance.
    pub(crate) folded: u64,
}

/// Decides when to write a snapshot. Only relays write, because only they read the complete
/// snapshots of other instances.
#[derive(Debug, Default)]
pub(crate) struct SnapshotPolicy {
    /// Offset and time of the last complete snapshot that was read from the log.
    last_snapshot: Option<(u64, u64)>,
    /// Time since which a snapshot has been due.
    due_since_ms: Option<u64>,
    /// Set when the log becomes unreachable, so that a snapshot is due once the log is
    /// reachable again.
    is_after_outage: bool,
    /// Time at which this instance last decided to write a snapshot.
    last_write_ms: Option<u64>,
}

impl SnapshotPolicy {
    /// Records that a complete snapshot of the state at `upto` was read from the log.
    pub(crate) fn snapshot_read(&mut self, upto: u64, now_ms: u64) {
        let newest = self.last_snapshot.map_or(0, |(last, _)| last);
        self.last_snapshot = Some((newest.max(upto), now_ms));
        self.due_since_ms = None;
        self.is_after_outage = false;
    }

    /// Records that the log could not be read.
    pub(crate) fn log_unavailable(&mut self) {
        self.is_after_outage = true;
    }

    /// Returns whether to write a snapshot now. `rank` returns the position of this instance among
    /// the relays that may write it, or `None` if it may not.
    pub(crate) fn should_write(
        &mut self,
        now_ms: u64,
        bounds: LogBounds,
        rank: impl FnOnce() -> Option<usize>,
    ) -> bool {
        if !self.is_snapshot_due(now_ms, bounds) {
            self.due_since_ms = None;
            return false;
        }
        let due_since_ms = *self.due_since_ms.get_or_insert(now_ms);
        let Some(rank) = rank() else {
            return false;
        };
        let next_write_ms = self
            .last_write_ms
            .map_or(0, |last_write_ms| last_write_ms + MIN_WRITE_INTERVAL_MS);
        let should_write =
            now_ms >= (due_since_ms + rank as u64 * RANK_DELAY_MS).max(next_write_ms);
        if should_write {
            self.last_write_ms = Some(now_ms);
        }
        should_write
    }

    fn is_snapshot_due(&self, now_ms: u64, bounds: LogBounds) -> bool {
        if bounds.folded == 0 {
            return false;
        }
        let Some((last, last_ms)) = self.last_snapshot else {
            return bounds.folded >= SNAPSHOT_INTERVAL_RECORDS
                || bounds.earliest > 0
                || self.is_after_outage;
        };
        // The oldest records are removed first, so a snapshot in the older half is replaced in time
        // for any retention period.
        let is_in_older_half = bounds.earliest > 0 && last < (bounds.earliest + bounds.folded) / 2;
        is_in_older_half
            || self.is_after_outage
            || bounds.folded - last.min(bounds.folded) >= SNAPSHOT_INTERVAL_RECORDS
            || now_ms >= last_ms + SNAPSHOT_INTERVAL_MS
    }
}

/// Detects a complete snapshot: all its chunks, read in order and from one writer.
#[derive(Debug, Default)]
pub(crate) struct SnapshotTracker {
    digest: u64,
    next_chunk: u32,
}

impl SnapshotTracker {
    /// Records that a chunk was read; returns whether it completes a snapshot.
    pub(crate) fn observe_chunk(&mut self, digest: u64, chunk: u32, chunks: u32) -> bool {
        if chunk == 0 {
            self.digest = digest;
            self.next_chunk = 0;
        }
        if digest != self.digest || chunk != self.next_chunk {
            return false;
        }
        self.next_chunk += 1;
        self.next_chunk == chunks
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
        policy.snapshot_read(100, 0);
        assert!(!policy.should_write(1, bounds(50, 140), || Some(0)));
        assert!(policy.should_write(2, bounds(80, 140), || Some(0)));
    }

    #[test]
    fn a_relay_ranked_later_writes_later_and_an_outage_makes_a_snapshot_due() {
        let mut policy = SnapshotPolicy::default();
        policy.snapshot_read(100, 0);
        policy.log_unavailable();
        assert!(!policy.should_write(1_000, bounds(0, 101), || Some(1)));
        assert!(policy.should_write(1_000 + RANK_DELAY_MS, bounds(0, 101), || Some(1)));
        policy.snapshot_read(101, 2_500);
        assert!(!policy.should_write(2_600, bounds(0, 101), || Some(0)));
    }

    #[test]
    fn a_writer_retries_after_an_interval_if_its_snapshot_is_not_read() {
        let mut policy = SnapshotPolicy::default();
        let full = bounds(0, SNAPSHOT_INTERVAL_RECORDS);
        assert!(policy.should_write(0, full, || Some(0)));
        assert!(!policy.should_write(1, full, || Some(0)));
        assert!(policy.should_write(MIN_WRITE_INTERVAL_MS, full, || Some(0)));
    }

    #[test]
    fn a_snapshot_is_complete_only_with_all_its_chunks() {
        let mut tracker = SnapshotTracker::default();
        assert!(!tracker.observe_chunk(5, 0, 3));
        assert!(!tracker.observe_chunk(5, 2, 3));
        assert!(!tracker.observe_chunk(5, 0, 2));
        assert!(tracker.observe_chunk(5, 1, 2));
    }
}
