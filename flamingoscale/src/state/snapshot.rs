//! Encodes the whole state as a snapshot in chunks, from which new instances start.

use std::collections::BTreeMap;

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    record::Record,
    state::State, //
};

/// Version of the encoding of [`State`] that this build reads and writes.
const SNAPSHOT_ENCODING: u8 = 1;

/// Size of one chunk in bytes, well below the size limit of a log record.
const CHUNK_BYTES: usize = 256 << 10;

/// Maximum number of chunks in a snapshot that is restored.
const MAX_CHUNKS: u32 = 256;

/// Maximum size of a snapshot that is decoded, in bytes.
const MAX_SNAPSHOT_BYTES: usize = CHUNK_BYTES * MAX_CHUNKS as usize;

/// Maximum number of snapshots being assembled at once, as several writers may write them
/// concurrently.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Chunk {
    /// The snapshot includes all records before this offset.
    pub(crate) upto: u64,
    /// Index of the chunk, from 0.
    pub(crate) chunk: u32,
    /// Number of chunks in the snapshot.
    pub(crate) chunks: u32,
    /// XXH3 hash of the whole snapshot.
    pub(crate) digest: u64,
    /// The bytes of this chunk.
    pub(crate) data: Bytes,
}

impl From<Chunk> for Record {
    fn from(chunk: Chunk) -> Self {
        Record::SnapshotChunk {
            upto: chunk.upto,
            chunk: chunk.chunk,
            chunks: chunk.chunks,
            digest: chunk.digest,
            data: chunk.data,
        }
    }
}

impl State {
    /// Encodes the whole state. Equal states give equal bytes.
    pub fn snapshot(&self) -> Bytes {
        let mut bytes = vec![SNAPSHOT_ENCODING];
        let config = bincode::config::standard();
        // Encoding can't fail, since the state holds only encodable types. If it did, readers would
        // reject the empty snapshot.
        let body = bincode::serde::encode_to_vec(self, config).unwrap_or_default();
        bytes.extend_from_slice(&body);
        bytes.into()
    }

    /// Decodes a snapshot. Returns `None` if it is damaged or has another encoding version.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let (&encoding, body) = bytes.split_first()?;
        if encoding != SNAPSHOT_ENCODING {
            return None;
        }
        let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let (state, used) = bincode::serde::decode_from_slice(body, config).ok()?;
        (used == body.len()).then_some(state)
    }
}

/// Splits the state's snapshot into chunks.
pub(crate) fn chunks(state: &State) -> Vec<Chunk> {
    let bytes = state.snapshot();
    let digest = xxh3_64(&bytes);
    let chunks = bytes.len().div_ceil(CHUNK_BYTES);
    let chunk_at = |chunk: usize| {
        let start = chunk * CHUNK_BYTES;
        let end = bytes.len().min(start + CHUNK_BYTES);
        Chunk {
            upto: state.folded,
            chunk: chunk as u32,
            chunks: chunks as u32,
            digest,
            data: bytes.slice(start..end),
        }
    };
    (0..chunks).map(chunk_at).collect()
}

/// The chunks of one snapshot that have arrived so far, by index.
#[derive(Debug, Default)]
struct PartialSnapshot {
    chunks: u32,
    received: BTreeMap<u32, Bytes>,
}

/// Assembles snapshots from chunks that arrive in any order and from several concurrent writers.
#[derive(Debug, Default)]
pub(crate) struct Assembler {
    /// Incomplete snapshots by their offset and digest.
    partial: BTreeMap<(u64, u64), PartialSnapshot>,
    has_unreadable: bool,
}

impl Assembler {
    /// Adds a chunk. Returns the state once its snapshot is complete and undamaged.
    pub(crate) fn add(&mut self, chunk: Chunk) -> Option<State> {
        if chunk.chunks == 0 || chunk.chunks > MAX_CHUNKS || chunk.chunk >= chunk.chunks {
            return None;
        }
        let key = (chunk.upto, chunk.digest);
        let partial = self.partial.entry(key).or_default();
        partial.chunks = chunk.chunks;
        partial.received.insert(chunk.chunk, chunk.data);
        if partial.received.len() < partial.chunks as usize {
            self.drop_oldest();
            return None;
        }
        let bytes = self.partial.remove(&key)?.concatenate();
        if xxh3_64(&bytes) != chunk.digest {
            return None;
        }
        let state = State::restore(&bytes).filter(|state| state.folded == chunk.upto);
        self.has_unreadable |= state.is_none();
        state
    }

    /// Returns whether a complete, undamaged snapshot had an encoding that this build can't read.
    pub(crate) fn has_unreadable(&self) -> bool {
        self.has_unreadable
    }

    /// Drops the snapshots with the lowest offsets beyond the maximum number.
    fn drop_oldest(&mut self) {
        while self.partial.len() > MAX_PARTIAL_SNAPSHOTS {
            self.partial.pop_first();
        }
    }
}

impl PartialSnapshot {
    fn concatenate(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for data in self.received.into_values() {
            bytes.extend_from_slice(&data);
        }
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Envelope;

    fn large_state() -> State {
        let mut state = State::default();
        for serial in 1..=8_000 {
            let envelope = Envelope {
                writer: "n1".into(),
                incarnation: 1,
                serial,
                record: Record::KeyGranted {
                    key_id: format!("fk-{serial}").into(),
                    digest: [serial as u8; 32],
                    organisation: "lodges".into(),
                },
            };
            state
                .fold(serial, &envelope)
                .expect("the grant of a new key is accepted");
        }
        state
    }

    #[test]
    fn snapshot_is_restored_from_chunks_in_any_order() {
        let state = large_state();
        let mut parts = chunks(&state);
        assert!(parts.len() > 1);
        parts.reverse();
        let mut assembler = Assembler::default();
        let restored = parts.into_iter().filter_map(|chunk| assembler.add(chunk));
        assert_eq!(restored.collect::<Vec<_>>(), [state]);
    }

    #[test]
    fn damaged_and_incomplete_snapshots_are_rejected() {
        let parts = chunks(&large_state());
        let mut assembler = Assembler::default();
        for mut chunk in parts.iter().cloned() {
            let mut data = chunk.data.to_vec();
            data[0] ^= 1;
            chunk.data = data.into();
            assert!(assembler.add(chunk).is_none());
        }
        for chunk in parts.iter().skip(1).cloned() {
            assert!(assembler.add(chunk).is_none());
        }
        let invalid = Chunk {
            upto: 1,
            chunk: 7,
            chunks: u32::MAX,
            digest: 0,
            data: Bytes::new(),
        };
        assert!(assembler.add(invalid).is_none());
    }
}
