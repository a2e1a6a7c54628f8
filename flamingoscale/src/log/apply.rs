//! Applies records: folds them into the state, publishes the result and answers waiting callers.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    log::{
        actor::LogActor,
        append::SubmissionResult,
        buffer,
        events, //
    },
    record::{
        self,
        Envelope,
        Record,
        RecordError, //
    },
    state::{
        snapshot::Chunk,
        State, //
    }, //
};

impl LogActor {
    /// Folds consecutive records, publishes the new state, and then completes the submissions and
    /// pulls that waited for them.
    pub(crate) fn apply_records(&mut self, records: Vec<(u64, Bytes)>) {
        let mut completed = Vec::new();
        for (offset, data) in records {
            let folded = self.folded();
            if offset > folded {
                self.instance().metrics.count("log.gap");
                break;
            }
            if offset == folded {
                completed.extend(self.fold(offset, data));
            }
        }
        self.publish();
        self.complete_submissions(completed);
        self.answer_pulls();
    }

    fn fold(&mut self, offset: u64, data: Bytes) -> Option<SubmissionResult> {
        let envelope = match record::decode(&data) {
            Ok(envelope) => envelope,
            Err(error) => {
                self.skip(offset, data, error);
                return None;
            }
        };
        let result = self.context.state.borrow_mut().fold(offset, &envelope);
        events::record(&self.instance().timeline, offset, &envelope, result);
        self.track_snapshot(&envelope);
        let is_own = envelope.writer == *self.instance().id()
            && envelope.incarnation == self.instance().incarnation;
        let serial = envelope.serial;
        let buffered = buffer::strip_snapshot_payload(envelope, &data);
        self.buffer.push(offset, buffered);
        if !is_own {
            return None;
        }
        self.appender.record_folded(serial, result.map(|()| offset))
    }

    /// Skips a record that cannot be decoded. It stays in the buffer, because peers must skip the
    /// same offset.
    fn skip(&mut self, offset: u64, data: Bytes, error: RecordError) {
        let kind = match error {
            RecordError::Foreign => "log.foreign_record",
            RecordError::Newer { .. } => "log.newer_record",
            _ => "log.damaged_record",
        };
        self.instance().metrics.count(kind);
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("offset", &offset), ("error", &error)];
        self.instance().timeline.record(kind, "", &fields);
        self.context.state.borrow_mut().skip(offset);
        self.buffer.push(offset, data);
    }

    fn track_snapshot(&mut self, envelope: &Envelope) {
        let Record::SnapshotChunk {
            upto,
            chunk,
            chunks,
            digest,
            ..
        } = envelope.record
        else {
            return;
        };
        if self.snapshot_tracker.observe_chunk(digest, chunk, chunks) {
            let now_ms = self.instance().now_ms();
            self.snapshot_policy.snapshot_read(upto, now_ms);
        }
    }

    /// Publishes the state for request handling. Denied keys are published as withdrawn, although
    /// the log does not hold their withdrawal yet.
    pub(crate) fn publish(&mut self) {
        let state = self.context.state.borrow();
        let mut keys = state.keys.clone();
        self.denials
            .remove_withdrawn(&keys, self.context.instance.now_ms());
        self.denials.apply(&mut keys);
        self.context.instance.view.update(|view| {
            view.revision = state.revision;
            view.folded = state.folded;
            view.text = state.text.clone();
            view.configuration = state.configuration.clone();
            view.leases = Arc::new(state.holders());
            view.history = state.history.clone();
            view.keys = keys;
            view.endpoints = state.endpoints.clone();
            view.versions = state.versions.clone();
        });
        let metrics = &self.context.instance.metrics;
        metrics.set_gauge("log.folded", state.folded as i64);
        metrics.set_gauge("configuration.revision", state.revision as i64);
    }

    /// Replaces the state by a snapshot and returns whether it did. A snapshot that is older than
    /// the current state is ignored.
    pub(crate) fn install(&mut self, state: State, origin: &str) -> bool {
        let folded = self.folded();
        if state.folded <= folded || state.revision < self.context.state.borrow().revision {
            self.instance().metrics.count("snapshot.older");
            return false;
        }
        let upto = state.folded;
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("upto", &upto), ("origin", &origin)];
        self.instance()
            .timeline
            .record("snapshot.installed", "", &fields);
        self.instance().metrics.count("snapshot.installed");
        let id = self.instance().id();
        let last_serial = state.serials.last(id, self.instance().incarnation);
        *self.context.state.borrow_mut() = state;
        self.buffer.clear();
        let ended = self.appender.end_covered_by_snapshot(last_serial);
        self.publish();
        self.complete_submissions(ended);
        self.answer_pulls();
        true
    }

    /// Collects snapshot chunks from records that cannot be folded because earlier records have
    /// left the log.
    pub(crate) fn collect_snapshot_chunks(&mut self, records: &[(u64, Bytes)]) {
        for (_, data) in records {
            match record::decode(data) {
                Ok(envelope) => {
                    if let Some(chunk) = snapshot_chunk(envelope.record) {
                        self.follower.add_scanned_chunk(chunk);
                    }
                }
                Err(RecordError::Newer { .. }) => self.follower.skipped_newer_record(),
                Err(_) => {}
            }
        }
    }
}

fn snapshot_chunk(record: Record) -> Option<Chunk> {
    match record {
        Record::SnapshotChunk {
            upto,
            chunk,
            chunks,
            digest,
            data,
        } => Some(Chunk {
            upto,
            chunk,
            chunks,
            digest,
            data,
        }),
        _ => None,
    }
}
