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

/// The encoding that this build writes; it reads this and older ones.
const ENCODING: u8 = 1;

/// First bytes of every record of ours; anything else in the log is foreign.
const MAGIC: [u8; 3] = *b"FsR";

/// Largest record that is decoded.
const RECORD_LIMIT_BYTES: usize = 1 << 20;

/// Why a record of the log could not be read. Such a record is skipped and counted.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum RecordError {
    /// Not one of ours.
    #[display("foreign record: skipped, no action needed")]
    Foreign,
    /// Written by a newer build.
    #[display("record of encoding {encoding}: upgrade this instance")]
    Newer {
        /// The encoding found.
        encoding: u8,
    },
    /// Cut short or damaged.
    #[display("damaged record: skipped; see the platform's log if this repeats")]
    Damaged,
    /// Too large to write.
    #[display("record over {RECORD_LIMIT_BYTES} bytes: split it into chunks")]
    TooLarge,
}

/// A record with the identity of its submission.
///
/// The fold applies the first record of an identity and drops the rest, so an append whose answer
/// was lost may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The instance that wrote it.
    pub writer: Arc<str>,
    /// Random at each start of the instance.
    pub incarnation: u64,
    /// Grows by one a record of this incarnation.
    pub serial: u64,
    /// The record.
    pub record: Record,
}

/// What the log can say. New variants go at the end; none is ever removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Record {
    /// A new configuration, dropped unless `base_revision` is still in force.
    Configuration {
        /// The offset of the configuration that this replaces; 0 for none.
        base_revision: u64,
        /// The questionnaire's text.
        text: Arc<str>,
        /// What it generates.
        configuration: Arc<Configuration>,
    },
    /// A key was granted.
    KeyGranted {
        /// Names the key.
        key_id: Arc<str>,
        /// SHA-256 of the key.
        digest: [u8; 32],
        /// Whose it is.
        organisation: Arc<str>,
    },
    /// A key was withdrawn; this is for good.
    KeyWithdrawn {
        /// Names the key.
        key_id: Arc<str>,
    },
    /// A claim to a lease, dropped unless `replaces` is the claim in force.
    LeaseClaim {
        /// The lease.
        lease: Arc<str>,
        /// The offset of the claim that this renews or follows; 0 for none.
        replaces: u64,
        /// How long it lasts without renewal.
        lease_ms: u64,
    },
    /// The holder gives a lease back.
    LeaseRelease {
        /// The lease.
        lease: Arc<str>,
        /// The offset of the claim that ends.
        claim: u64,
    },
    /// Endpoints as the platform lists them, from the holder of the orders lease.
    Endpoints {
        /// The offset of the claim under which this was read.
        claim: u64,
        /// Endpoints that are new or changed.
        changed: Vec<PlatformEndpoint>,
        /// Endpoints that are gone.
        gone: Vec<Arc<str>>,
    },
    /// An order that will be sent; its number is this record's offset.
    OrderIntent {
        /// The offset of the claim under which it is given.
        claim: u64,
        /// The region.
        region: Arc<str>,
        /// What to do.
        action: PlatformAction,
    },
    /// What became of an order.
    OrderOutcome {
        /// The offset of the claim under which this is written.
        claim: u64,
        /// The order's number.
        order: u64,
        /// The endpoint, if it was carried out.
        endpoint: Option<Arc<str>>,
        /// Why not, else.
        failure: Option<Arc<str>>,
    },
    /// New weights are in the store.
    VersionPublished {
        /// The trainer.
        trainer: Arc<str>,
        /// The version; an older one than the newest is dropped.
        version: u64,
        /// Its size.
        bytes: u64,
    },
    /// What one instance counted since its last such record.
    UsageCounts {
        /// Counts one up for each record of `of_incarnation`; a repeated number is dropped.
        sequence: u64,
        /// The instance whose counts these are: the writer, or one that died.
        of_instance: Arc<str>,
        /// Its incarnation.
        of_incarnation: u64,
        /// Figures by organisation.
        figures: BTreeMap<Arc<str>, UsageFigures>,
    },
    /// A usage window is closed: these figures and no others will ever be reported.
    WindowClosed {
        /// The offset of the claim under which it is closed.
        claim: u64,
        /// The region.
        region: Arc<str>,
        /// The window's number; each follows the last by one.
        window: u64,
        /// Counts in records before this offset are covered.
        covers: u64,
        /// Figures by organisation.
        figures: BTreeMap<Arc<str>, UsageFigures>,
    },
    /// The platform took a window's report.
    WindowReported {
        /// The region.
        region: Arc<str>,
        /// The window's number.
        window: u64,
    },
    /// One chunk of a snapshot of the fold.
    SnapshotChunk {
        /// The state after all records before this offset.
        upto: u64,
        /// The chunk's number.
        chunk: u32,
        /// How many chunks there are.
        chunks: u32,
        /// XXH3 of the whole snapshot.
        digest: u64,
        /// This chunk's bytes.
        data: Bytes,
    },
}

impl Record {
    /// Whether the record's offset becomes the number of an entry, for which 0 stands for none.
    pub(crate) fn is_numbered(&self) -> bool {
        matches!(
            self,
            Record::Configuration { .. } | Record::LeaseClaim { .. } | Record::OrderIntent { .. }
        )
    }
}

/// Encodes one record for the log.
///
/// # Errors
///
/// [`RecordError::TooLarge`] when it is over the limit.
pub fn encode(envelope: &Envelope) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(envelope, bincode::config::standard())
        .map_err(|_| RecordError::TooLarge)?;
    if body.len() > RECORD_LIMIT_BYTES {
        return Err(RecordError::TooLarge);
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(ENCODING);
    bytes.extend_from_slice(&body);
    Ok(bytes.into())
}

/// Decodes one record of the log. Never panics, whatever the bytes.
///
/// # Errors
///
/// Any [`RecordError`] but `TooLarge`; skip the record and count it.
pub fn decode(bytes: &[u8]) -> Result<Envelope> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(RecordError::Foreign)?;
    let (&encoding, body) = rest.split_first().ok_or(RecordError::Damaged)?;
    if encoding > ENCODING {
        return Err(RecordError::Newer { encoding });
    }
    let config = bincode::config::standard().with_limit::<RECORD_LIMIT_BYTES>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((envelope, used)) if used == body.len() => Ok(envelope),
        _ => Err(RecordError::Damaged),
    }
}
