//! Records that instances append to the shared topic, and their encoding.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};

use super::texts::TextLocation;

/// The result of encoding or decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// A record that can't be encoded or read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the record can't be coded ({reason}): skip it and compare the instances' releases")]
pub struct RecordError {
    /// What the codec said.
    pub reason: String,
}

/// One sample that a trainer asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Unique within the batch; the same in a later batch that asks for it again.
    pub id: Arc<str>,
    /// Samples of one group share their prompt and count only together.
    pub group: Arc<str>,
    /// The path that the endpoint is asked for.
    pub path: Arc<str>,
    /// Headers that go to the endpoint as they came.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The request body.
    pub body: Bytes,
    /// Expected output tokens: the trainer's estimate, or else the allowed maximum.
    pub expected_tokens: u32,
}

/// A batch as a trainer submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The trainer's name for the batch.
    pub id: Arc<str>,
    /// The organisation whose key came with it.
    pub organisation: Arc<str>,
    /// The host that it was sent to; with a sample's path it selects the route.
    pub host: Arc<str>,
    /// The model that is trained.
    pub model: Arc<str>,
    /// The trainer's step.
    pub step: u64,
    /// Oldest weights that may generate a token of it.
    pub min_version: u64,
    /// Whole groups that the trainer waits for.
    pub wanted_groups: u32,
    /// When it was accepted, in Unix milliseconds.
    pub submitted_unix_ms: u64,
    /// Records before this one that hold the first samples, where one record can't hold all.
    pub earlier_parts: u32,
    /// The samples, in the trainer's order.
    pub samples: Vec<Sample>,
}

impl Batch {
    /// Splits the batch into records of at most about `max_bytes` each. The last one opens the
    /// batch; the others come before it.
    pub fn into_records(mut self, max_bytes: usize) -> Vec<Record> {
        let size = |sample: &Sample| {
            let headers = sample
                .headers
                .iter()
                .map(|(name, value)| name.len() + value.len() + 4);
            let texts = sample.id.len() + sample.group.len() + sample.path.len();
            sample.body.len() + texts + headers.sum::<usize>() + SAMPLE_BYTES
        };
        let mut parts: Vec<Vec<Sample>> = vec![Vec::new()];
        let mut bytes = 0;
        for sample in std::mem::take(&mut self.samples) {
            let sample_bytes = size(&sample);
            if bytes + sample_bytes > max_bytes && bytes > 0 {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += sample_bytes;
            parts
                .last_mut()
                .into_iter()
                .for_each(|part| part.push(sample.clone()));
        }
        self.samples = parts.pop().unwrap_or_default();
        self.earlier_parts = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let id = self.id.clone();
        let submitted_unix_ms = self.submitted_unix_ms;
        let mut records: Vec<Record> = (0..)
            .zip(parts)
            .map(|(part, samples)| Record::BatchPart {
                batch: id.clone(),
                submitted_unix_ms,
                part,
                samples,
            })
            .collect();
        records.push(Record::BatchAccepted {
            batch: id,
            submitted_unix_ms,
        });
        records.push(Record::Batch(Arc::new(self)));
        records
    }
}

/// Bytes of a sample's encoding beside its texts, at most.
const SAMPLE_BYTES: usize = 64;

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// The whole text is there.
    Complete,
    /// It was given up.
    Failed,
}

/// The final result of a sample. Its text is kept apart: see [`super::texts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// The batch.
    pub batch: Arc<str>,
    /// The sample.
    pub sample: Arc<str>,
    /// How it ended.
    pub end: SampleEnd,
    /// Where its text is; `None` for a sample that was given up.
    pub text: Option<TextLocation>,
    /// All versions of the weights that made an event of the text.
    pub versions: Vec<u64>,
}

/// Text of a sample that is still being generated, so that another instance can go on from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// The batch.
    pub batch: Arc<str>,
    /// The sample.
    pub sample: Arc<str>,
    /// Id of the last event of the text.
    pub last_event: u64,
    /// Data of the events so far, separated by line feeds.
    pub text: Arc<str>,
    /// Versions that made an event of the text.
    pub versions: Vec<u64>,
}

/// One message of life of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance.
    pub instance: Arc<str>,
    /// Unix milliseconds of this process's start: greater for a later one.
    pub incarnation: u64,
    /// Where callers reach it.
    pub address: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its share of a processor core, in thousandths.
    pub millicores: u32,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// What an instance says of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// The lease.
    pub lease: Arc<str>,
    /// The instance.
    pub holder: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Which claim it is about: of two claims the one with the greater epoch holds, of two with
    /// the same epoch the first.
    pub epoch: u64,
    /// When it was sent, by the instance's own monotonic clock.
    pub sent_ms: u64,
}

/// A record of the shared topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A batch is accepted.
    Batch(Arc<Batch>),
    /// The first samples of a large batch, whose own record follows.
    BatchPart {
        /// The batch.
        batch: Arc<str>,
        /// When it was accepted.
        submitted_unix_ms: u64,
        /// Place among the parts, from 0.
        part: u32,
        /// The samples.
        samples: Vec<Sample>,
    },
    /// A batch was accepted: where a process that starts finds it.
    BatchAccepted {
        /// The batch.
        batch: Arc<str>,
        /// When it was accepted; part of the keys of its records.
        submitted_unix_ms: u64,
    },
    /// Samples of one batch are finished. The first record of a sample holds.
    Results {
        /// When the batch was accepted.
        submitted_unix_ms: u64,
        /// The samples.
        results: Vec<SampleResult>,
    },
    /// A batch is over: no sample of it may start any more.
    BatchEnded {
        /// The batch.
        batch: Arc<str>,
    },
    /// An instance lives.
    Heartbeat(Heartbeat),
    /// An instance wants a lease.
    Claim(LeaseMessage),
    /// The holder of a lease keeps it.
    Renewal {
        /// The holder's message.
        message: LeaseMessage,
        /// The fencing number.
        term: u64,
    },
    /// The holder gives a lease back.
    Release {
        /// The holder's message.
        message: LeaseMessage,
        /// The fencing number.
        term: u64,
    },
    /// Requests that one instance saw begin in one window, so far.
    UsageCounts {
        /// The instance.
        instance: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// The window.
        window: u64,
        /// Requests by organisation.
        counts: Vec<(Arc<str>, u64)>,
    },
    /// The figures of a window are settled: only these are ever reported.
    WindowSettled {
        /// The window.
        window: u64,
        /// Requests by organisation.
        counts: Vec<(Arc<str>, u64)>,
    },
    /// The platform accepted the report of a window.
    WindowReported {
        /// The window.
        window: u64,
    },
    /// A request broke off at an endpoint in a way that it may have caused.
    Suspect {
        /// Digest of caller, path and body.
        fingerprint: u64,
    },
    /// Which model each engine serves first.
    ModelAssignment {
        /// Endpoint ids with their models.
        engines: Vec<(Arc<str>, Arc<str>)>,
    },
}

impl Record {
    /// Returns the batch whose samples or results the record holds.
    pub fn batch(&self) -> Option<&Arc<str>> {
        match self {
            Self::Batch(batch) => Some(&batch.id),
            Self::BatchPart { batch, .. } => Some(batch),
            Self::Results { results, .. } => results.first().map(|result| &result.batch),
            _ => None,
        }
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the codec refuses it.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns the key under which the store keeps the record.
    ///
    /// Records whose first occurrence decides get a key that no other record has (`writer` and
    /// `serial`), so that the store never replaces one of them. Small records come first, large
    /// ones in the order of their batches' age, so that a process that starts reads the small ones
    /// and the batches of the last minute only; see `docs/design/shared-store.md`.
    pub fn key(&self, writer: &str, serial: u64) -> String {
        match self {
            Self::Batch(batch) => batch_key(batch.submitted_unix_ms, &batch.id),
            Self::BatchPart {
                batch,
                submitted_unix_ms,
                part,
                ..
            } => format!("{}/{part}", batch_key(*submitted_unix_ms, batch)),
            Self::Results {
                submitted_unix_ms,
                results,
            } => {
                let batch = results.first().map_or("", |result| &*result.batch);
                format!(
                    "{}{writer}/{serial}",
                    results_key_prefix(*submitted_unix_ms, batch)
                )
            }
            Self::BatchAccepted { batch, .. } => {
                format!("{}{writer}/{serial}", accepted_key_prefix(batch))
            }
            Self::BatchEnded { batch } => ended_key(batch),
            Self::Heartbeat(heartbeat) => format!("a/m/{}", heartbeat.instance),
            Self::Claim(message)
            | Self::Renewal { message, .. }
            | Self::Release { message, .. } => {
                format!("a/l/{}/{}", message.lease, message.holder)
            }
            Self::UsageCounts {
                instance,
                incarnation,
                window,
                ..
            } => format!("{}{instance}/{incarnation}", window_keys(*window).0),
            Self::WindowSettled { window, .. } => {
                format!("{}{writer}/{serial}", window_keys(*window).1)
            }
            Self::WindowReported { window } => window_keys(*window).2,
            Self::Suspect { .. } => format!("a/q/{writer}/{serial}"),
            Self::ModelAssignment { .. } => "a/p".to_owned(),
        }
    }
}

/// Encodes a value of the store.
///
/// # Errors
///
/// [`RecordError`] when the codec refuses it.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_err(|error| RecordError {
        reason: error.to_string(),
    })
}

/// Reads a value of the store.
///
/// # Errors
///
/// [`RecordError`] when the bytes are no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| RecordError {
            reason: error.to_string(),
        })
}

/// Keys from here on belong to batches; before them are the small records.
pub const BATCH_KEY_PREFIX: &str = "b/";

/// Keys from here on belong to results.
pub const RESULT_KEY_PREFIX: &str = "r/";

/// Returns where the keys of the records begin that name a batch.
pub fn accepted_key_prefix(batch: &str) -> String {
    format!("{ACCEPTED_KEY_PREFIX}{batch}/")
}

/// Returns the key of a batch's end.
pub fn ended_key(batch: &str) -> String {
    format!("a/e/{batch}")
}

/// Returns where the keys of a window's counts and of its settled figures begin, and the key of
/// its report.
pub fn window_keys(window: u64) -> (String, String, String) {
    let counts = format!("a/u/{window}/");
    let settled = format!("a/w/{window}/");
    (counts, settled, format!("{REPORTED_KEY_PREFIX}{window}"))
}

const ACCEPTED_KEY_PREFIX: &str = "a/o/";
const REPORTED_KEY_PREFIX: &str = "a/d/";

/// What the removal of a key ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removed<'a> {
    /// All that is known of a batch.
    Batch(&'a str),
    /// All that is known of a usage window.
    Window(u64),
}

impl<'a> Removed<'a> {
    /// Returns what ends with the removal of a key, if anything does.
    pub fn from_key(key: &'a str) -> Option<Self> {
        if let Some(window) = key.strip_prefix(REPORTED_KEY_PREFIX) {
            return window.parse().ok().map(Self::Window);
        }
        // The writer's name, its incarnation and the serial number follow the batch.
        let rest = key.strip_prefix(ACCEPTED_KEY_PREFIX)?;
        rest.rsplitn(4, '/').nth(3).map(Self::Batch)
    }
}

/// Returns where the keys of a batch begin.
pub fn batch_key(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{BATCH_KEY_PREFIX}{submitted_unix_ms:013}/{batch}")
}

/// Returns where the keys of a batch's results begin.
pub fn results_key_prefix(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{RESULT_KEY_PREFIX}{submitted_unix_ms:013}/{batch}/")
}
