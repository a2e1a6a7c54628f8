//! The records of the log and their versioned encoding.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    configuration::Configuration,
    wire::{
        PlatformAction,
        PlatformEndpoint,
        UsageFigures, //
    }, //
};

/// The result of decoding.
pub type Result<T> = std::result::Result<T, RecordError>;

/// Version of the encoding that this build writes. It also reads older versions.
const ENCODING_VERSION: u8 = 1;

/// Prefix of every record that flamingoscale writes. Records without it are foreign.
const MAGIC: [u8; 3] = *b"FsR";

/// Maximum size of an encoded record, without the prefix and the version of the encoding.
const RECORD_LIMIT_BYTES: usize = 1 << 20;

/// An error while encoding or decoding a log record. A record that can't be decoded is skipped
/// and counted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum RecordError {
    /// The record was not written by flamingoscale.
    #[display("foreign record: skipped, no action needed")]
    Foreign,
    /// The record was written by a newer build.
    #[display("record of encoding {encoding}: upgrade this instance")]
    Newer {
        /// Version of the record's encoding.
        encoding: u8,
    },
    /// The record is truncated or corrupt.
    #[display("damaged record: skipped; see the platform's log if this repeats")]
    Damaged,
    /// The record exceeds the maximum size.
    #[display("record over {RECORD_LIMIT_BYTES} bytes: split it into chunks")]
    TooLarge,
}

/// A record with the identity of its submission: writer, incarnation and serial number.
///
/// The fold applies only the first record with a given identity. This makes appends idempotent, so
/// an append whose answer was lost can be retried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the instance that wrote the record.
    pub writer: Arc<str>,
    /// Random number that the writer chose when it started.
    pub incarnation: u64,
    /// Sequence number; increases by one with each record of this incarnation.
    pub serial: u64,
    /// The content of the record.
    pub record: Record,
}

/// The content of a log record.
///
/// The encoding numbers the variants in order: append new variants at the end, and never remove
/// one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Record {
    /// Puts a new configuration in force; dropped unless `base_revision` is still in force.
    Configuration {
        /// Offset of the configuration that this one replaces; 0 for none.
        base_revision: u64,
        /// Text of the questionnaire.
        text: Arc<str>,
        /// Configuration generated from the questionnaire.
        configuration: Arc<Configuration>,
    },
    /// Grants an API key.
    KeyGranted {
        /// Id of the key.
        key_id: Arc<str>,
        /// SHA-256 digest of the key.
        digest: [u8; 32],
        /// Organisation that owns the key.
        organisation: Arc<str>,
    },
    /// Withdraws an API key permanently.
    KeyWithdrawn {
        /// Id of the key.
        key_id: Arc<str>,
    },
    /// Claims or renews a lease; dropped unless `replaces` is the claim in force.
    LeaseClaim {
        /// Name of the lease.
        lease: Arc<str>,
        /// Offset of the claim that this one renews or succeeds; 0 for none.
        replaces: u64,
        /// Time in milliseconds until the lease expires without renewal.
        lease_ms: u64,
    },
    /// Releases a lease before it expires.
    LeaseRelease {
        /// Name of the lease.
        lease: Arc<str>,
        /// Offset of the claim that ends.
        claim: u64,
    },
    /// Changes of the platform's endpoint list, written by the holder of the orders lease, which is
    /// the only instance that sends endpoint orders.
    Endpoints {
        /// Offset of the lease claim under which the list was read.
        claim: u64,
        /// Endpoints that were added or changed.
        changed: Vec<PlatformEndpoint>,
        /// Ids of endpoints that are no longer listed.
        removed: Vec<Arc<str>>,
    },
    /// An order that is about to be sent. The offset of this record becomes the order number.
    OrderIntent {
        /// Offset of the lease claim under which the order is sent.
        claim: u64,
        /// Region of the orders lease under which the order is sent.
        region: Arc<str>,
        /// Action that the platform should perform.
        action: PlatformAction,
    },
    /// The result of an order.
    OrderOutcome {
        /// Offset of the lease claim under which the record is written.
        claim: u64,
        /// Number of the order: the offset of its intent.
        order: u64,
        /// Id of the endpoint that was started or stopped, if the order succeeded.
        endpoint: Option<Arc<str>>,
        /// Why the order failed, if it did.
        failure: Option<Arc<str>>,
    },
    /// A new weight version is available in the store.
    VersionPublished {
        /// Name of the trainer.
        trainer: Arc<str>,
        /// Version number; the record is dropped unless the version is newer than all earlier versions
        /// of the trainer.
        version: u64,
        /// Size of the weights in bytes.
        bytes: u64,
    },
    /// Usage that one instance counted since its previous record of this kind.
    UsageCounts {
        /// Increases by one with each record of `of_incarnation`; duplicates are dropped.
        sequence: u64,
        /// Instance that counted the usage: the writer, or an instance that died.
        of_instance: Arc<str>,
        /// Incarnation of `of_instance`.
        of_incarnation: u64,
        /// Usage by organisation.
        figures: BTreeMap<Arc<str>, UsageFigures>,
    },
    /// Closes a usage window. The figures are final: only these are reported to the platform.
    WindowClosed {
        /// Offset of the lease claim under which the window is closed.
        claim: u64,
        /// Region of the usage lease under which the window is closed.
        region: Arc<str>,
        /// Number of the window; consecutive.
        window: u64,
        /// The window covers the usage records before this offset.
        covers: u64,
        /// Usage by organisation.
        figures: BTreeMap<Arc<str>, UsageFigures>,
    },
    /// The platform accepted the report of a window.
    WindowReported {
        /// Region of the window.
        region: Arc<str>,
        /// Number of the window.
        window: u64,
    },
    /// One chunk of a snapshot of the folded state.
    SnapshotChunk {
        /// The snapshot contains the effects of all records before this offset.
        upto: u64,
        /// Index of this chunk.
        chunk: u32,
        /// Number of chunks of the snapshot.
        chunks: u32,
        /// XXH3 hash of the whole snapshot.
        digest: u64,
        /// Bytes of this chunk.
        data: Bytes,
    },
}

impl Record {
    /// Returns whether the record's offset serves as a revision, claim or order number. Offset 0 is
    /// unusable for these records because the number 0 means "none".
    pub(crate) fn is_numbered(&self) -> bool {
        matches!(
            self,
            Record::Configuration { .. } | Record::LeaseClaim { .. } | Record::OrderIntent { .. }
        )
    }
}

/// Encodes a record for the log.
///
/// # Errors
///
/// Returns [`RecordError::TooLarge`] if the encoded record exceeds the maximum size.
pub fn encode(envelope: &Envelope) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(envelope, bincode::config::standard())
        .map_err(|_| RecordError::TooLarge)?;
    if body.len() > RECORD_LIMIT_BYTES {
        return Err(RecordError::TooLarge);
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(ENCODING_VERSION);
    bytes.extend_from_slice(&body);
    Ok(bytes.into())
}

/// Decodes a record of the log. Arbitrary bytes are safe: this function never panics.
///
/// # Errors
///
/// Returns any [`RecordError`] except `TooLarge`. The caller should skip and count the record.
pub fn decode(bytes: &[u8]) -> Result<Envelope> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(RecordError::Foreign)?;
    let (&encoding, body) = rest.split_first().ok_or(RecordError::Damaged)?;
    if encoding > ENCODING_VERSION {
        return Err(RecordError::Newer { encoding });
    }
    let config = bincode::config::standard().with_limit::<RECORD_LIMIT_BYTES>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((envelope, used)) if used == body.len() => Ok(envelope),
        _ => Err(RecordError::Damaged),
    }
}
