//! A buffer of the most recent records, from which peers pull.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::record::{
    self,
    Envelope,
    Record, //
};

/// Maximum size of the buffer.
const MAX_BUFFER_BYTES: usize = 4 << 20;

/// Bytes counted for each record in addition to its data.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Maximum size of one reply, unless a single record is larger.
const MAX_REPLY_BYTES: usize = 256 << 10;

/// Consecutive records up to the last one that was read.
#[derive(Default)]
pub(crate) struct RecordBuffer {
    records: VecDeque<(u64, Bytes)>,
    size_bytes: usize,
}

impl RecordBuffer {
    /// Adds the next record. If its offset is not consecutive, the buffer is cleared first.
    pub(crate) fn push(&mut self, offset: u64, data: Bytes) {
        let next = self.records.back().map(|(last, _)| last + 1);
        if next.is_some_and(|next| next != offset) {
            self.clear();
        }
        self.size_bytes += data.len() + RECORD_OVERHEAD_BYTES;
        self.records.push_back((offset, data));
        while self.size_bytes > MAX_BUFFER_BYTES {
            let Some((_, oldest)) = self.records.pop_front() else {
                break;
            };
            self.size_bytes -= oldest.len() + RECORD_OVERHEAD_BYTES;
        }
    }

    /// Removes all records.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.size_bytes = 0;
    }

    /// Returns the records from `from` on, up to the size of one reply, or `None` if the buffer
    /// does not reach back to `from` or ends before it.
    pub(crate) fn records_from(&self, from: u64) -> Option<Vec<(u64, Bytes)>> {
        let first = self.records.front()?.0;
        let skipped = usize::try_from(from.checked_sub(first)?).ok()?;
        if skipped > self.records.len() {
            return None;
        }
        let mut size_bytes = 0;
        let selected = self.records.range(skipped..).take_while(|(_, data)| {
            let is_first = size_bytes == 0;
            size_bytes += data.len() + RECORD_OVERHEAD_BYTES;
            is_first || size_bytes <= MAX_REPLY_BYTES
        });
        Some(selected.cloned().collect())
    }
}

/// Strips the payload of a snapshot chunk. An instance that folds every record does not need it,
/// and it would dominate the traffic of the relays. The rest of the record stays, so that the fold
/// still counts it.
pub(crate) fn strip_snapshot_payload(envelope: Envelope, data: &Bytes) -> Bytes {
    let Record::SnapshotChunk {
        upto,
        chunk,
        chunks,
        digest,
        ..
    } = envelope.record
    else {
        return data.clone();
    };
    let record = Record::SnapshotChunk {
        upto,
        chunk,
        chunks,
        digest,
        data: Bytes::new(),
    };
    record::encode(&Envelope { record, ..envelope }).unwrap_or_else(|_| data.clone())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_size_is_bounded_and_the_oldest_records_are_evicted() {
        let mut buffer = RecordBuffer::default();
        for offset in 0..100 {
            buffer.push(offset, Bytes::from(vec![0; 100_000]));
        }
        assert!(buffer.size_bytes <= MAX_BUFFER_BYTES);
        assert!(buffer.records_from(0).is_none());
        assert_eq!(
            buffer.records_from(99).map(|records| records.len()),
            Some(1)
        );
        assert_eq!(buffer.records_from(100), Some(Vec::new()));
        assert!(buffer.records_from(101).is_none());
    }

    #[test]
    fn a_gap_in_the_offsets_clears_the_buffer() {
        let mut buffer = RecordBuffer::default();
        buffer.push(3, Bytes::new());
        buffer.push(9, Bytes::new());
        assert!(buffer.records_from(3).is_none());
        assert_eq!(buffer.records_from(9), Some(vec![(9, Bytes::new())]));
    }
}
