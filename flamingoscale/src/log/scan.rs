//! Snapshots in the log: scanning for one when records have left the log before they were folded,
//! and writing new ones.

use bytes::Bytes;

use crate::{
    log::{
        actor::{
            LogActor,
            SUBMIT_TIMEOUT_MS, //
        },
        follower::ScanStep,
        relays,
        snapshots::LogBounds, //
    },
    state::snapshot, //
};

impl LogActor {
    /// Handles records that left the log before they were folded: starts the scan for a snapshot.
    pub(super) fn truncated(&mut self, now_ms: u64, earliest: u64) {
        if !self.follower.is_scanning() {
            let timeline = &self.instance().timeline;
            timeline.record("log.truncated", "", &[("earliest", &earliest)]);
            self.instance().metrics.count("log.truncated");
        }
        self.earliest = earliest;
        self.follower.log_read();
        self.follower.start_scan(now_ms, earliest);
    }

    /// Processes records that were read while scanning for a snapshot.
    pub(super) fn scan_read(
        &mut self,
        from: u64,
        earliest: u64,
        head: u64,
        records: &[(u64, Bytes)],
    ) {
        self.collect_snapshot_chunks(records);
        let now_ms = self.instance().now_ms();
        let next = from + records.len() as u64;
        match self.follower.advance_scan(now_ms, next, earliest, head) {
            ScanStep::Continue => {}
            ScanStep::Found(state) => {
                self.snapshot_read(state.folded);
                self.install(*state, "log");
                self.end_scan_if_caught_up();
            }
            ScanStep::NotFound => self.restart_from_own_state(earliest),
        }
    }

    fn snapshot_read(&mut self, upto: u64) {
        let now_ms = self.instance().now_ms();
        self.snapshot_policy.snapshot_read(upto, now_ms);
    }

    /// Continues from this instance's own state, which it appends as a snapshot so that all
    /// instances continue from the same state. No instance has folded the records that left the
    /// log, so none of these records held an accepted change: the instance that submitted it would
    /// have folded it.
    fn restart_from_own_state(&mut self, earliest: u64) {
        self.instance().metrics.count("log.state_lost");
        let timeline = &self.instance().timeline;
        timeline.record("log.state_lost", "", &[("earliest", &earliest)]);
        let mut state = self.context.state.borrow().clone();
        state.folded = state.folded.max(earliest);
        let chunks = snapshot::chunks(&state);
        self.submit_snapshot(chunks);
    }

    /// Writes a snapshot into the log if one is due and this instance is up to date.
    pub(super) fn write_snapshot(&mut self, now_ms: u64) {
        let members = self.members();
        let bounds = LogBounds {
            earliest: self.earliest,
            folded: self.folded(),
        };
        let can_write = self.is_at_head && !self.follower.is_log_failing();
        if !can_write || self.follower.is_scanning() {
            return;
        }
        let id = self.instance().id().clone();
        let rank = || relays::rank(0, &members, &id);
        if self.snapshot_policy.should_write(now_ms, bounds, rank) {
            let chunks = snapshot::chunks(&self.context.state.borrow());
            let (upto, count) = (bounds.folded, chunks.len());
            let fields: [(&str, &dyn std::fmt::Display); 2] = [("upto", &upto), ("chunks", &count)];
            self.instance()
                .timeline
                .record("snapshot.written", "", &fields);
            self.submit_snapshot(chunks);
        }
    }

    fn submit_snapshot(&mut self, chunks: Vec<snapshot::Chunk>) {
        let deadline_ms = self.instance().now_ms() + SUBMIT_TIMEOUT_MS;
        for chunk in chunks {
            // A chunk is always below the size limit, and writing the snapshot is retried if it
            // fails.
            let _ = self.appender.submit(chunk.into(), deadline_ms);
        }
    }
}
