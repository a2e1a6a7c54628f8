//! JSON bodies and headers of all HTTP interfaces: callers, trainers, operators, engines and the
//! platform.
//!
//! The simulated systems of the `standin` crate use the same types, so both ends always agree on
//! the fields.
//! The interfaces are described in `docs/INTERFACES.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Header of every response to a caller with the outcome: `not-run`, `ran` or `unknown`.
pub const OUTCOME_HEADER: &str = "flamingoscale-outcome";
/// Header of a request to an endpoint with the request id.
pub const REQUEST_ID_HEADER: &str = "flamingoscale-request-id";
/// Header of a request to an endpoint with the organisation's name.
pub const ORGANISATION_HEADER: &str = "flamingoscale-organisation";
/// Header of a response by which a plain service states that it did not run the request.
pub const NOT_RUN_HEADER: &str = "flamingoscale-not-run";
/// Header of a response with the id of the endpoint that sent it.
pub const ENDPOINT_HEADER: &str = "flamingoscale-endpoint";
/// Standard header of a request with the idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Body of `POST /v1/completions` at entry instances and engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the service to use.
    pub model: Arc<str>,
    /// Text to continue.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Sampling seed; the samples of a group have different seeds.
    #[serde(default)]
    pub seed: u64,
    /// Priority; lower values run first. The entry instance sets it and ignores a caller's value.
    #[serde(default)]
    pub priority: u8,
    /// Exported KV cache from which to resume.
    #[serde(default)]
    pub resume: Option<KvExport>,
}

/// Consecutive tokens that were generated with one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// Weight version.
    pub version: u64,
    /// Number of tokens generated with the version.
    pub tokens: u32,
}

/// A complete response to a completion request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the request.
    pub id: Arc<str>,
    /// Generated text. The simulated engines generate one word per token.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Why generation ended: `stop`, `length` or `cancelled`.
    pub finish_reason: Arc<str>,
    /// Weight versions that generated the tokens, in order; empty if the engine does not report
    /// them.
    #[serde(default)]
    pub versions: Vec<VersionSpan>,
}

/// One server-sent event of a streamed completion; `data: [DONE]` ends the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Id of the request.
    pub id: Arc<str>,
    /// Text added by this event.
    pub text: String,
    /// Number of tokens added by this event.
    pub tokens: u32,
    /// Weight version that generated the tokens, if the engine reports it.
    #[serde(default)]
    pub version: Option<u64>,
    /// Why generation ended: `stop`, `length` or `cancelled`; set on the last event only.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error, for programs; it does not change between releases.
    pub kind: Arc<str>,
    /// Message for operators and callers, which states the remedy.
    pub message: String,
}

/// Exported KV cache of a partial completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Text generated so far.
    pub text: String,
    /// Weight versions of the tokens generated so far, in order.
    pub versions: Vec<VersionSpan>,
    /// Opaque state of the engine.
    pub state: String,
}

/// Body of `POST /v1/cancel` and `POST /v1/kv/export` at an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRef {
    /// Request id, as sent in [`REQUEST_ID_HEADER`].
    pub request_id: Arc<str>,
}

/// Response of `GET /admin/status` at engines and plain services. It may be slightly out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Id of the endpoint at the platform.
    pub endpoint: Arc<str>,
    /// Number that changes whenever the endpoint's process starts.
    pub boot: u64,
    /// Weight version in use; 0 before the first load.
    pub version: u64,
    /// Whether the endpoint is loading weights.
    pub swapping: bool,
    /// Reason of failure if the last load failed.
    #[serde(default)]
    pub failed: Option<String>,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests queued for a slot.
    pub queued: u32,
    /// Number of batch slots.
    pub slots: u32,
    /// Milliseconds until the endpoint stops, if the platform is reclaiming it.
    #[serde(default)]
    pub leaving_in_ms: Option<u64>,
}

/// The action of an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load a weight version of a trainer from the store.
    LoadVersion {
        /// Trainer that published the weights.
        trainer: Arc<str>,
        /// Version number.
        version: u64,
        /// URL of the weights in the store.
        url: Arc<str>,
    },
    /// Load an adapter in addition to the base weights.
    LoadAdapter {
        /// Name of the adapter.
        adapter: Arc<str>,
        /// URL of the weights in the store.
        url: Arc<str>,
    },
    /// Change which phases of a completion the engine runs.
    SetRole {
        /// Phases that the engine runs: `both`, `prefill` or `decode`.
        role: Arc<str>,
    },
}

/// Body of `POST /admin/orders` at an engine. Status 202: accepted; 409: outdated fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number; increases whenever another instance becomes the sender of orders.
    pub fencing: u64,
    /// Action to perform.
    pub action: EngineAction,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; consecutive, so a jump means that events are missing.
    pub seq: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// Whether the block was stored (true) or evicted (false).
    pub stored: bool,
}

/// Response of `GET /admin/cache_events?after=SEQ` at an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Boot number of the engine. A change means that the engine restarted with an empty cache.
    pub boot: u64,
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Body of `POST /log/append` at the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in base64, appended atomically in this order.
    pub records: Vec<String>,
}

/// Response of `POST /log/append`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record; the others follow without a gap.
    pub first_offset: u64,
}

/// One record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Encoded record in base64.
    pub data: String,
}

/// Response of `GET /log/read?from=OFFSET&max=N&wait_ms=MS`, a long poll that waits up to `wait_ms`
/// milliseconds for the first entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Entries from offset `from` on.
    pub entries: Vec<LogEntry>,
    /// Earliest offset that is retained.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub head: u64,
}

/// One row of `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Address for peers, as `ip:port`.
    pub peer_address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the platform is stopping the instance.
    pub leaving: bool,
}

/// Whether the platform may reclaim an endpoint at short notice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// The endpoint runs until an order stops it.
    #[default]
    Firm,
    /// The endpoint costs less, but the platform may reclaim it with a few seconds' notice.
    Cheap,
}

/// Lifecycle phase of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPhase {
    /// Ordered, but not yet reachable.
    Starting,
    /// Reachable.
    #[default]
    Running,
    /// Reclaimed or stopped, but still reachable for a short time.
    Leaving,
}

/// One row of `GET /endpoints` at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformEndpoint {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Service that the endpoint runs.
    pub service: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address of its HTTP interface, as `ip:port`.
    pub address: Arc<str>,
    /// Whether the platform may reclaim the endpoint.
    pub tier: Tier,
    /// Lifecycle phase.
    pub phase: EndpointPhase,
    /// Number of the order that started the endpoint; 0 if it was not started by an order.
    pub order: u64,
}

/// The action of an order to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformAction {
    /// Start one endpoint.
    Start {
        /// Service that the endpoint will run.
        service: Arc<str>,
        /// Failure domain in which to start it.
        failure_domain: Arc<str>,
        /// Whether the platform may reclaim the endpoint.
        tier: Tier,
    },
    /// Stop one endpoint.
    Stop {
        /// Id of the endpoint.
        endpoint: Arc<str>,
    },
}

/// Body of `POST /orders`. Status 200: done; 409: outdated fencing number; 410: past its deadline;
/// 503: unavailable. Orders are idempotent: a repeated order number gets the first response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// Region to whose orders lease the fencing number belongs.
    pub region: Arc<str>,
    /// Fencing number of the lease.
    pub fencing: u64,
    /// Order number: the log offset of the order's `OrderIntent` record.
    pub order: u64,
    /// Time after sending, in milliseconds, until which the platform accepts the order.
    pub valid_ms: u64,
    /// Id of the sending instance, for the platform's records.
    pub sender: Arc<str>,
    /// Action to perform.
    pub action: PlatformAction,
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrderDone {
    /// Id of the endpoint that was started or stopped.
    pub endpoint: Arc<str>,
}

/// Usage of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigures {
    /// Number of answered requests.
    pub requests: u64,
    /// Number of delivered tokens.
    pub tokens: u64,
}

/// Body of `POST /usage` at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Region that the report covers.
    pub region: Arc<str>,
    /// Number of the usage window.
    pub window: u64,
    /// Fencing number of the reporting instance's lease.
    pub fencing: u64,
    /// Id of the reporting instance.
    pub reporter: Arc<str>,
    /// Usage by organisation.
    pub figures: BTreeMap<Arc<str>, UsageFigures>,
}

/// Body of `POST /v1/trainers/{trainer}/versions`, which announces new weights in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishVersion {
    /// Version number; must increase.
    pub version: u64,
    /// Size in bytes, used to schedule loads within the store's rate limit.
    pub bytes: u64,
}

/// Body of `POST /v1/trainers/{trainer}/steps`. The request is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStep {
    /// Step number; must increase.
    pub step: u64,
    /// Prompts, one for each group.
    pub prompts: Vec<Arc<str>>,
    /// Number of samples to generate for each prompt.
    pub samples_per_group: u16,
    /// Maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// Maximum number of versions by which a sample may be behind the newest when the batch closes.
    pub staleness_bound: u64,
    /// Time in milliseconds within which the batch should be complete.
    pub deadline_ms: u64,
    /// Scoring service, if samples are to be scored.
    #[serde(default)]
    pub scoring: Option<Arc<str>>,
}

/// One sample of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Group number: the index of the prompt.
    pub group: u32,
    /// Index within the group.
    pub index: u16,
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Weight versions that generated the tokens, in order.
    pub versions: Vec<VersionSpan>,
    /// Score, if the step has a scoring service.
    #[serde(default)]
    pub score: Option<f64>,
}

/// Response of `GET /v1/trainers/{trainer}/steps/{step}?wait_ms=MS`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Step number.
    pub step: u64,
    /// Whether all samples are finished; `samples` is empty until then.
    pub complete: bool,
    /// Number of samples finished so far.
    pub finished: u32,
    /// Number of samples of the step.
    pub expected: u32,
    /// Newest weight version when the batch closed.
    pub newest_version: u64,
    /// Samples, ordered by group and index.
    pub samples: Vec<Sample>,
}

/// One entry instance in the response of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Address for callers, as `ip:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
}

/// Response of `GET /v1/entries?near=FAILURE_DOMAIN`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Entry instances, in order of preference.
    pub entries: Vec<Entry>,
    /// Time in milliseconds for which a caller may cache the list.
    pub ttl_ms: u64,
}

/// Body of `POST /admin/questionnaire`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitQuestionnaire {
    /// Revision on which the text is based; 0 for the first questionnaire.
    pub base_revision: u64,
    /// Questionnaire in INI format.
    pub text: Arc<str>,
}

/// Response of `GET /admin/questionnaire` and of a submission, including one that was refused with
/// status 409 because its base revision is no longer in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuestionnaireState {
    /// Revision in force.
    pub revision: u64,
    /// Text of the questionnaire.
    pub text: Arc<str>,
    /// Lines in which the refused submission differs, if a submission was refused.
    #[serde(default)]
    pub difference: Vec<String>,
}

/// One row of `GET /admin/questionnaire/history`; rows are ordered from oldest to newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRevision {
    /// Revision number.
    pub revision: u64,
    /// Id of the instance that appended the revision to the log.
    pub writer: Arc<str>,
    /// Text of the questionnaire.
    pub text: Arc<str>,
}

/// Body of `POST /admin/keys`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantKey {
    /// Organisation that will own the key.
    pub organisation: Arc<str>,
}

/// Response of `POST /admin/keys`. The key is not shown again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedKey {
    /// Id of the key, for listing and withdrawal.
    pub key_id: Arc<str>,
    /// The complete key, including its secret part.
    pub key: Arc<str>,
}

/// One row of `GET /admin/keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedKey {
    /// Id of the key.
    pub key_id: Arc<str>,
    /// Organisation that owns the key.
    pub organisation: Arc<str>,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// Response of `DELETE /admin/keys/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnKey {
    /// Id of the key.
    pub key_id: Arc<str>,
    /// Whether the withdrawal is in the log; false while it is known only to peers.
    pub durable: bool,
}

/// An instance in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Address for callers, as `ip:port`.
    pub address: Arc<str>,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub health: Arc<str>,
    /// Configuration revision that the instance last reported to be in force.
    pub revision: u64,
}

/// Response of `GET /admin/status` at an entry instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Id of the responding instance.
    pub instance: Arc<str>,
    /// Configuration revision in force at the responding instance.
    pub revision: u64,
    /// Offset up to which the responding instance has folded the log.
    pub folded: u64,
    /// Whether the responding instance currently serves requests that need an API key.
    pub fresh: bool,
    /// Live instances, as seen by the responding instance.
    pub members: Vec<MemberStatus>,
    /// Endpoints whose home is the responding instance.
    pub endpoints: Vec<EndpointSummary>,
    /// Holder of each lease, by lease name.
    pub leases: BTreeMap<Arc<str>, Arc<str>>,
    /// Newest weight version, by trainer.
    pub versions: BTreeMap<Arc<str>, u64>,
}

/// An endpoint in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Service that the endpoint runs.
    pub service: Arc<str>,
    /// Id of the home instance, the only one that sends requests to the endpoint.
    pub home: Arc<str>,
    /// Weight version, if the responding instance is the home.
    pub version: Option<u64>,
    /// Number of requests in flight, if the responding instance is the home.
    pub in_flight: Option<u32>,
}
