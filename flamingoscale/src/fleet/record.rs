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
use xxhash_rust::xxh3::xxh3_64;

use super::{
    limits::RateLimit,
    renting::{
        Subject,
        SubjectRecord, //
    },
    software::Version,
    statements::Statement,
    texts::TextLocation, //
};

/// The result of encoding or decoding a record or another value of the store.
pub type Result<T> = std::result::Result<T, RecordError>;

/// A record that can't be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("can't encode or decode the record ({reason}): run the same release on all instances")]
pub struct RecordError {
    /// The error message of the codec.
    pub reason: String,
}

/// The request that scores the text of a sample. It is sent once the text is complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringCall {
    /// Request id that the trainer gave to the call.
    pub id: Arc<str>,
    /// Host that the call is sent to. Together with the path it selects the route.
    pub host: Arc<str>,
    /// Request path at the endpoint.
    pub path: Arc<str>,
    /// The request body.
    pub body: Bytes,
}

/// One sample that a trainer requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Id of the sample, unique within the batch. A later batch that requests the same sample again
    /// uses the same id.
    pub id: Arc<str>,
    /// Id of the group. The samples of a group share their prompt, and the trainer can use a group
    /// only when all its samples are finished.
    pub group: Arc<str>,
    /// Request path at the endpoint.
    pub path: Arc<str>,
    /// Headers that are forwarded to the endpoint unchanged.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The request body.
    pub body: Bytes,
    /// Expected number of output tokens: the trainer's estimate, or else the allowed maximum.
    pub expected_tokens: u32,
    /// The call that scores the text; `None` if the sample needs no score. Stored apart, in
    /// [`Record::ScoringCalls`], so that the encoding of a sample stays as it was.
    #[serde(skip)]
    pub scoring: Option<Arc<ScoringCall>>,
}

/// A batch as submitted by a trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Id that the trainer gave to the batch.
    pub id: Arc<str>,
    /// Organisation of the API key that the batch was submitted with.
    pub organisation: Arc<str>,
    /// Host that the batch was sent to. Together with a sample's path it selects the route.
    pub host: Arc<str>,
    /// The model that is being trained.
    pub model: Arc<str>,
    /// The training step.
    pub step: u64,
    /// Oldest version of the weights that may generate a token of this batch.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for; may be less than the groups of the
    /// batch.
    pub wanted_groups: u32,
    /// Submission time: when an instance received the batch, in Unix milliseconds.
    pub submitted_unix_ms: u64,
    /// Number of [`Record::BatchPart`] records before this record. They hold the first samples of a
    /// batch that is too large for one record.
    pub earlier_parts: u32,
    /// The samples, in the trainer's order.
    pub samples: Vec<Sample>,
}

impl Batch {
    /// Returns what every instance has to know of the batch.
    pub fn summary(&self) -> BatchSummary {
        let expected_tokens = self.samples.iter();
        BatchSummary {
            id: self.id.clone(),
            organisation: self.organisation.clone(),
            model: self.model.clone(),
            step: self.step,
            min_version: self.min_version,
            submitted_unix_ms: self.submitted_unix_ms,
            samples: u32::try_from(self.samples.len()).unwrap_or(u32::MAX),
            expected_tokens: expected_tokens
                .map(|sample| u64::from(sample.expected_tokens))
                .sum(),
        }
    }

    /// Returns the sample with the given id.
    pub fn sample(&self, id: &str) -> Option<&Sample> {
        self.samples.iter().find(|sample| &*sample.id == id)
    }

    /// Returns whether a result may be listed: it is of a sample of the batch, and a complete text
    /// has its score if the sample needs one.
    pub fn permits(&self, result: &SampleResult) -> bool {
        self.sample(&result.sample).is_some_and(|sample| {
            let has_score = sample.scoring.is_none() || result.score.is_some();
            has_score || result.end == SampleEnd::Failed
        })
    }

    /// Splits the batch into records of at most about `max_bytes` each. The last record makes the
    /// batch visible; the caller must append the others before it.
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
        let id = self.id.clone();
        let submitted_unix_ms = self.submitted_unix_ms;
        let scoring_parts = scoring_parts(parts.iter().flatten(), max_bytes);
        self.samples = parts.pop().unwrap_or_default();
        self.earlier_parts = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let mut records: Vec<Record> = (0..)
            .zip(scoring_parts)
            .map(|(part, calls)| Record::ScoringCalls {
                batch: id.clone(),
                submitted_unix_ms,
                part,
                calls,
            })
            .collect();
        records.extend((0..).zip(parts).map(|(part, samples)| Record::BatchPart {
            batch: id.clone(),
            submitted_unix_ms,
            part,
            samples,
        }));
        records.push(Record::Batch(Arc::new(self)));
        records
    }
}

/// Splits the scoring calls of samples into parts of at most about `max_bytes` each.
fn scoring_parts<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    max_bytes: usize,
) -> Vec<Vec<(Arc<str>, ScoringCall)>> {
    let mut parts: Vec<Vec<(Arc<str>, ScoringCall)>> = Vec::new();
    let mut bytes = 0;
    for sample in samples {
        let Some(call) = &sample.scoring else {
            continue;
        };
        let texts = sample.id.len() + call.id.len() + call.host.len() + call.path.len();
        let call_bytes = texts + call.body.len() + SAMPLE_BYTES;
        if parts.is_empty() || bytes + call_bytes > max_bytes {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += call_bytes;
        if let Some(part) = parts.last_mut() {
            part.push((sample.id.clone(), ScoringCall::clone(call)));
        }
    }
    parts
}

/// What every instance knows of a batch. The batch itself is read only by those that need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSummary {
    /// Id that the trainer gave to the batch.
    pub id: Arc<str>,
    /// Organisation of the API key that the batch was submitted with.
    pub organisation: Arc<str>,
    /// The model that is being trained.
    pub model: Arc<str>,
    /// The training step.
    pub step: u64,
    /// Oldest version of the weights that may generate a token of this batch.
    pub min_version: u64,
    /// Submission time in Unix milliseconds, which is part of the keys of the batch's records.
    pub submitted_unix_ms: u64,
    /// Number of samples.
    pub samples: u32,
    /// Expected number of output tokens of all samples.
    pub expected_tokens: u64,
}

/// How far a batch has come, for the instance that orders weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Milestone {
    /// At least half of the samples have a result.
    HalfFinished,
    /// All samples have a result.
    Finished,
}

/// Upper bound for the encoded size of a sample or of a scoring call in bytes, without its strings
/// and its body.
const SAMPLE_BYTES: usize = 64;

/// The outcome of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// The complete text was generated.
    Complete,
    /// The sample was abandoned without a complete text.
    Failed,
}

/// The final result of a sample. Its text is stored separately; see [`super::texts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleResult {
    /// Id of the batch.
    pub batch: Arc<str>,
    /// Id of the sample.
    pub sample: Arc<str>,
    /// How the sample ended.
    pub end: SampleEnd,
    /// Where the text is stored; `None` for an abandoned sample.
    pub text: Option<TextLocation>,
    /// All versions of the weights that generated a part of the text.
    pub versions: Vec<u64>,
    /// The score of the text; `None` if the sample needs no score or was abandoned. Stored beside
    /// the result, in [`Record::ScoredResults`], so that the encoding of a result stays as it was.
    #[serde(skip)]
    pub score: Option<Arc<str>>,
}

/// Text of a sample that is still being generated. Another instance can resume it from its
/// [checkpoints](super::checkpoints).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialText {
    /// Id of the batch.
    pub batch: Arc<str>,
    /// Id of the sample.
    pub sample: Arc<str>,
    /// Id of the last event of the text.
    pub last_event: u64,
    /// Data of all events up to `last_event`, separated by line feeds.
    pub text: Arc<str>,
    /// Versions of the weights that generated a part of the text.
    pub versions: Vec<u64>,
    /// Version of the software of the engines that generated the text. Only engines with the same
    /// software may continue it.
    pub software: Arc<str>,
    /// Whether the text is complete and waits for its score only.
    pub complete: bool,
}

/// A heartbeat of an instance, with the properties that other instances need to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Start time of the process in Unix milliseconds; a later process has a greater value.
    pub incarnation: u64,
    /// Address at which callers reach the instance.
    pub address: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// CPU share of the instance, in thousandths of a core.
    pub millicores: u32,
    /// Whether the instance accepts callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

/// A message from an instance about a lease that it claims, renews or releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// Name of the lease.
    pub lease: Arc<str>,
    /// Name of the instance that sent the message.
    pub holder: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Epoch of the claim that the message belongs to. Of two claims, the one with the greater
    /// epoch wins. Of two claims with the same epoch, the first in the log wins.
    pub epoch: u64,
    /// When the message was sent, by the sender's monotonic clock in milliseconds.
    pub sent_ms: u64,
}

/// A record of the shared topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A complete batch, or the last samples of a large batch.
    Batch(Arc<Batch>),
    /// Some of the samples of a large batch. The [`Record::Batch`] record follows all parts.
    BatchPart {
        /// Id of the batch.
        batch: Arc<str>,
        /// Submission time of the batch in Unix milliseconds.
        submitted_unix_ms: u64,
        /// Index of the part, from 0.
        part: u32,
        /// The samples of this part.
        samples: Vec<Sample>,
    },
    /// Replaced by [`Record::BatchRegistered`] and no longer written. It keeps its place, because the
    /// encoding numbers the variants.
    BatchAccepted {
        /// Id of the batch.
        batch: Arc<str>,
        /// Submission time of the batch in Unix milliseconds, which is part of the keys of the
        /// batch's records.
        submitted_unix_ms: u64,
    },
    /// Samples of one batch are finished. If several records hold a result of the same sample, only
    /// the first is valid.
    Results {
        /// Submission time of the batch in Unix milliseconds.
        submitted_unix_ms: u64,
        /// Results of the samples.
        results: Vec<SampleResult>,
    },
    /// A batch has ended: no further sample of it may start.
    BatchEnded {
        /// Id of the batch.
        batch: Arc<str>,
    },
    /// Shows that an instance is alive, and describes the instance.
    Heartbeat(Heartbeat),
    /// An instance claims a lease.
    Claim(LeaseMessage),
    /// The holder of a lease renews it.
    Renewal {
        /// The holder's message.
        message: LeaseMessage,
        /// The fencing number: the offset of the claim plus one.
        term: u64,
    },
    /// The holder of a lease releases it.
    Release {
        /// The holder's message.
        message: LeaseMessage,
        /// The fencing number: the offset of the claim plus one.
        term: u64,
    },
    /// Number of requests that have started at one instance during one window so far.
    UsageCounts {
        /// Name of the instance.
        instance: Arc<str>,
        /// Incarnation of the instance.
        incarnation: u64,
        /// Number of the window: its start time divided by its length.
        window: u64,
        /// Requests by organisation.
        counts: Vec<(Arc<str>, u64)>,
    },
    /// The counts of a window are settled: if several records settle the same window, only the
    /// first is valid. Only settled counts are reported to the platform.
    WindowSettled {
        /// Number of the window: its start time divided by its length.
        window: u64,
        /// Requests by organisation.
        counts: Vec<(Arc<str>, u64)>,
    },
    /// The platform accepted the report of a window.
    WindowReported {
        /// Number of the window: its start time divided by its length.
        window: u64,
    },
    /// Makes instances of former releases hold back a request: three of them do. Replaced by
    /// [`Record::EndpointCrashed`], and ignored by this release.
    Suspect {
        /// Digest of the organisation, path and body of the request.
        fingerprint: u64,
    },
    /// The model that each engine primarily serves.
    ModelAssignment {
        /// Endpoint ids with their models.
        engines: Vec<(Arc<str>, Arc<str>)>,
    },
    /// Scoring calls of samples of a batch. The [`Record::Batch`] record follows all parts.
    ScoringCalls {
        /// Id of the batch.
        batch: Arc<str>,
        /// Submission time of the batch in Unix milliseconds.
        submitted_unix_ms: u64,
        /// Index of the part, from 0.
        part: u32,
        /// Sample ids with their calls.
        calls: Vec<(Arc<str>, ScoringCall)>,
    },
    /// Samples of one batch are finished and scored: like [`Record::Results`], with the score of
    /// each result.
    ScoredResults {
        /// Submission time of the batch in Unix milliseconds.
        submitted_unix_ms: u64,
        /// Results of the samples with their scores.
        results: Vec<(SampleResult, Arc<str>)>,
    },
    /// A batch was accepted: its records were stored before. If several records register the same
    /// batch, only the first is valid.
    BatchRegistered(BatchSummary),
    /// A batch has reached a milestone.
    BatchMilestone {
        /// Id of the batch.
        batch: Arc<str>,
        /// The milestone.
        milestone: Milestone,
    },
    /// The holder of a lease no longer waits for its turn: no other instance has acted under the
    /// lease within the turn time. A later incarnation that continues the lease need not wait either.
    TurnPassed {
        /// Name of the lease.
        lease: Arc<str>,
        /// Term of the lease.
        term: u64,
    },
    /// Scoring calls are sent to a service, so the instances that run samples have a share of its
    /// endpoints' request limits.
    ScoringService {
        /// Name of the service.
        service: Arc<str>,
    },
    /// Replaced by [`Record::EndpointStatement`] and no longer written. It keeps its place, because the
    /// encoding numbers the variants.
    EndpointLimit {
        /// Id of the endpoint.
        endpoint: Arc<str>,
        /// Start time of the endpoint in Unix milliseconds.
        started_unix_ms: u64,
        /// The limit; `None` if the endpoint names none.
        limit: Option<RateLimit>,
    },
    /// The software that generated the stream of a caller, while a service has several.
    StreamBegan {
        /// Id of the caller's request that brought the first event.
        id: Arc<str>,
        /// Version of the endpoint's software.
        software: Arc<str>,
        /// When the record was written, in Unix milliseconds.
        written_unix_ms: u64,
    },
    /// Whether an instance reaches endpoints, and where it takes requests of those that do not.
    Links {
        /// Name of the instance.
        instance: Arc<str>,
        /// Incarnation of the instance.
        incarnation: u64,
        /// Address at which the instance takes requests of other instances; empty if it takes none.
        relay_address: Arc<str>,
        /// Whether the instance reaches endpoints.
        working: bool,
    },
    /// An endpoint says something else of itself than before.
    EndpointStatement {
        /// Id of the endpoint.
        endpoint: Arc<str>,
        /// Start time of the endpoint in Unix milliseconds.
        started_unix_ms: u64,
        /// What the endpoint says.
        statement: Statement,
    },
    /// What was there at the start of a subject, and the newest order for it. Written before the order
    /// is sent.
    EndpointsOrdered {
        /// The service and the failure domain.
        subject: Subject,
        /// What the next holder of the control lease has to know.
        record: SubjectRecord,
    },
    /// An endpoint crashed while a request was at work there.
    EndpointCrashed {
        /// Digest of the organisation, path and body of the request.
        fingerprint: u64,
        /// Id of the endpoint.
        endpoint: Arc<str>,
        /// Start time of the endpoint's incarnation in Unix milliseconds.
        started_unix_ms: u64,
        /// When the crash was noticed, in Unix milliseconds.
        noticed_unix_ms: u64,
    },
    /// A version of the software of a service is listed, or has left the list.
    ServiceSoftware {
        /// Name of the service.
        service: Arc<str>,
        /// Version of the software.
        software: Arc<str>,
        /// What is recorded of it.
        version: Version,
    },
}

impl Record {
    /// Returns the records that list results of one batch.
    pub fn of_results(submitted_unix_ms: u64, results: Vec<SampleResult>) -> Vec<Self> {
        let (mut scored, mut others) = (Vec::new(), Vec::new());
        for result in results {
            match result.score.clone() {
                Some(score) => scored.push((result, score)),
                None => others.push(result),
            }
        }
        let mut records = Vec::new();
        if !scored.is_empty() {
            records.push(Self::ScoredResults {
                submitted_unix_ms,
                results: scored,
            });
        }
        if !others.is_empty() {
            records.push(Self::Results {
                submitted_unix_ms,
                results: others,
            });
        }
        records
    }

    /// Returns the id of the batch whose samples or results the record holds.
    pub fn batch(&self) -> Option<&Arc<str>> {
        match self {
            Self::Batch(batch) => Some(&batch.id),
            Self::BatchPart { batch, .. } | Self::ScoringCalls { batch, .. } => Some(batch),
            Self::Results { results, .. } => results.first().map(|result| &result.batch),
            Self::ScoredResults { results, .. } => results.first().map(|(result, _)| &result.batch),
            _ => None,
        }
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the codec can't encode the record.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns the key under which the store keeps the record.
    ///
    /// The store keeps only the newest record of each key. Records of which only the first is valid
    /// get a unique key from `writer` and `serial`, so that the store never replaces one of them.
    /// Batches and results sort by submission time, so that a reader can ask for those of one batch
    /// or of the last minute; see `docs/design/shared-store.md`.
    pub fn key(&self, writer: &str, serial: u64) -> String {
        match self {
            Self::Batch(batch) => batch_key(batch.submitted_unix_ms, &batch.id),
            Self::BatchPart {
                batch,
                submitted_unix_ms,
                part,
                ..
            } => format!("{}/{part}", batch_key(*submitted_unix_ms, batch)),
            Self::ScoringCalls {
                batch,
                submitted_unix_ms,
                part,
                ..
            } => format!("{}/s{part}", batch_key(*submitted_unix_ms, batch)),
            Self::Results {
                submitted_unix_ms, ..
            }
            | Self::ScoredResults {
                submitted_unix_ms, ..
            } => {
                let batch = self.batch().map_or("", |batch| &**batch);
                format!(
                    "{}{writer}/{serial}",
                    results_key_prefix(*submitted_unix_ms, batch)
                )
            }
            Self::BatchAccepted { batch, .. } => {
                format!("{}{writer}/{serial}", registered_key_prefix(batch))
            }
            Self::BatchRegistered(summary) => {
                format!("{}{writer}/{serial}", registered_key_prefix(&summary.id))
            }
            Self::BatchMilestone { batch, .. } => milestone_key(batch),
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
            Self::TurnPassed { lease, .. } => format!("a/t/{lease}"),
            Self::ScoringService { service } => format!("a/s/{service}"),
            Self::EndpointLimit { endpoint, .. } | Self::EndpointStatement { endpoint, .. } => {
                statement_key(endpoint)
            }
            Self::Links { instance, .. } => format!("a/k/{instance}"),
            Self::StreamBegan { id, .. } => format!("{}{writer}", stream_key_prefix(id)),
            Self::EndpointsOrdered { subject, .. } => {
                format!("a/r/{}/{}", subject.service, subject.failure_domain)
            }
            Self::EndpointCrashed {
                fingerprint,
                endpoint,
                started_unix_ms,
                ..
            } => crash_key(*fingerprint, *started_unix_ms, endpoint),
            Self::ServiceSoftware {
                service, software, ..
            } => software_key(service, software),
        }
    }
}

/// Encodes a value for the store.
///
/// # Errors
///
/// [`RecordError`] if the codec can't encode the value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_err(|error| RecordError {
        reason: error.to_string(),
    })
}

/// Decodes a value from the store.
///
/// # Errors
///
/// [`RecordError`] if the bytes are not a valid value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| RecordError {
            reason: error.to_string(),
        })
}

/// Prefix of the keys of batches.
pub const BATCH_KEY_PREFIX: &str = "b/";

/// Prefix of the keys of results. The keys of batches sort before this prefix.
pub const RESULT_KEY_PREFIX: &str = "r/";

/// Returns the key prefix of the [`Record::BatchRegistered`] records of a batch.
pub fn registered_key_prefix(batch: &str) -> String {
    format!("{REGISTERED_KEY_PREFIX}{batch}/")
}

/// Returns the key of the [`Record::BatchMilestone`] record of a batch.
pub fn milestone_key(batch: &str) -> String {
    format!("a/h/{batch}")
}

/// Number of partitions of the topic for batches and their results.
pub const BATCH_PARTITIONS: u32 = 8;

/// Returns the partition of the batches of a model and their results.
pub fn batch_partition(model: &str) -> u32 {
    u32::try_from(xxh3_64(model.as_bytes()) % u64::from(BATCH_PARTITIONS)).unwrap_or(0)
}

/// Returns the key prefix of the [`Record::StreamBegan`] record of a stream.
pub fn stream_key_prefix(id: &str) -> String {
    format!("s/{id}/")
}

/// Number of partitions of the topic of streams.
pub const STREAM_PARTITIONS: u32 = 8;

/// Returns the partition of the [`Record::StreamBegan`] record of a stream.
pub fn stream_partition(id: &str) -> u32 {
    u32::try_from(xxh3_64(id.as_bytes()) % u64::from(STREAM_PARTITIONS)).unwrap_or(0)
}

/// Returns the key of the [`Record::EndpointStatement`] record of an endpoint.
pub fn statement_key(endpoint: &str) -> String {
    format!("{STATEMENT_KEY_PREFIX}{endpoint}")
}

/// Returns the key of the [`Record::ServiceSoftware`] record of a version.
pub fn software_key(service: &str, software: &str) -> String {
    format!("{SOFTWARE_KEY_PREFIX}{service}/{software}")
}

/// Returns the key of the [`Record::EndpointCrashed`] record of a request and an endpoint's incarnation.
pub fn crash_key(fingerprint: u64, started_unix_ms: u64, endpoint: &str) -> String {
    format!("{CRASH_KEY_PREFIX}{fingerprint:016x}/{started_unix_ms}/{endpoint}")
}

/// Returns the keys of the [`Record::Suspect`] records that make instances of former releases hold back
/// a request.
pub fn suspect_keys(fingerprint: u64) -> [String; 3] {
    [0, 1, 2].map(|number| format!("a/q/{fingerprint:016x}/{number}"))
}

/// Returns the key of the [`Record::BatchEnded`] record of a batch.
pub fn ended_key(batch: &str) -> String {
    format!("a/e/{batch}")
}

/// Returns the key prefix of a usage window's counts, the key prefix of its settled counts, and the
/// key of its [`Record::WindowReported`] record.
pub fn window_keys(window: u64) -> (String, String, String) {
    let counts = format!("a/u/{window}/");
    let settled = format!("a/w/{window}/");
    (counts, settled, format!("{REPORTED_KEY_PREFIX}{window}"))
}

const REGISTERED_KEY_PREFIX: &str = "a/o/";
const REPORTED_KEY_PREFIX: &str = "a/d/";
const STATEMENT_KEY_PREFIX: &str = "a/n/";
const CRASH_KEY_PREFIX: &str = "a/c/";
const SOFTWARE_KEY_PREFIX: &str = "a/v/";

/// The state that becomes obsolete when a record is removed from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removed<'a> {
    /// All state of the batch with this id.
    Batch(&'a str),
    /// All state of the usage window with this number.
    Window(u64),
    /// What the endpoint with this id says of itself.
    Statement(&'a str),
    /// A crash at which a request was at work.
    Crash {
        /// Digest of the organisation, path and body of the request.
        fingerprint: u64,
        /// Id of the endpoint.
        endpoint: &'a str,
        /// Start time of the endpoint's incarnation in Unix milliseconds.
        started_unix_ms: u64,
    },
    /// A version of the software of a service, which can't have begun a stream any more.
    Software {
        /// Name of the service.
        service: &'a str,
        /// Version of the software.
        software: &'a str,
    },
}

impl<'a> Removed<'a> {
    /// Returns the state that becomes obsolete when the record with this key is removed, if any.
    pub fn from_key(key: &'a str) -> Option<Self> {
        if let Some(window) = key.strip_prefix(REPORTED_KEY_PREFIX) {
            return window.parse().ok().map(Self::Window);
        }
        if let Some(endpoint) = key.strip_prefix(STATEMENT_KEY_PREFIX) {
            return Some(Self::Statement(endpoint));
        }
        if let Some(crash) = key.strip_prefix(CRASH_KEY_PREFIX) {
            let mut parts = crash.splitn(3, '/');
            return Some(Self::Crash {
                fingerprint: u64::from_str_radix(parts.next()?, 16).ok()?,
                started_unix_ms: parts.next()?.parse().ok()?,
                endpoint: parts.next()?,
            });
        }
        if let Some(version) = key.strip_prefix(SOFTWARE_KEY_PREFIX) {
            let (service, software) = version.split_once('/')?;
            return Some(Self::Software { service, software });
        }
        // The batch id is followed by the writer's name, its incarnation and the serial number.
        let rest = key.strip_prefix(REGISTERED_KEY_PREFIX)?;
        rest.rsplitn(4, '/').nth(3).map(Self::Batch)
    }
}

/// Returns the key of a batch, which is also the prefix of the keys of its parts.
pub fn batch_key(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{BATCH_KEY_PREFIX}{submitted_unix_ms:013}/{batch}")
}

/// Returns the key prefix of a batch's results.
pub fn results_key_prefix(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{RESULT_KEY_PREFIX}{submitted_unix_ms:013}/{batch}/")
}
