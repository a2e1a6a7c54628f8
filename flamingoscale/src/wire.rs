//! The JSON bodies of every HTTP face: callers, trainers, operators, engines and the platform.
//!
//! The stand-ins use the same types, so a field can't differ between the two ends.
//! The faces are described in `docs/INTERFACES.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Header of every answer to a caller: `not-run`, `ran` or `unknown`.
pub const OUTCOME_HEADER: &str = "flamingoscale-outcome";
/// Header that carries the request's id towards an endpoint.
pub const REQUEST_ID_HEADER: &str = "flamingoscale-request-id";
/// Header that names the organisation towards an endpoint.
pub const ORGANISATION_HEADER: &str = "flamingoscale-organisation";
/// Header by which a plain service says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "flamingoscale-not-run";
/// Header by which an endpoint names itself.
pub const ENDPOINT_HEADER: &str = "flamingoscale-endpoint";
/// The field's standard header for at-most-once requests.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Body of `POST /v1/completions`, at entries and engines alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The service that should answer.
    pub model: Arc<str>,
    /// The text to continue.
    pub prompt: Arc<str>,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Sampling seed; two samples of one group differ by it.
    #[serde(default)]
    pub seed: u64,
    /// Lower runs first. Set by the entry; a caller's value is dropped.
    #[serde(default)]
    pub priority: u8,
    /// Exported KV cache to go on from.
    #[serde(default)]
    pub resume: Option<KvExport>,
}

/// Tokens in a row that one weight version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSpan {
    /// The weight version.
    pub version: u64,
    /// How many tokens it produced.
    pub tokens: u32,
}

/// A whole completion.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The id of the request that this answers.
    pub id: Arc<str>,
    /// The generated text, one word a token in the stand-ins.
    pub text: String,
    /// How many tokens were generated.
    pub tokens: u32,
    /// `stop`, `length` or `cancelled`.
    pub finish_reason: Arc<str>,
    /// The weight versions in order; empty where the engine gives none.
    #[serde(default)]
    pub versions: Vec<VersionSpan>,
}

/// One server-sent event of a streamed completion; `data: [DONE]` ends the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The id of the request that this answers.
    pub id: Arc<str>,
    /// Text that this event adds.
    pub text: String,
    /// Tokens that this event adds.
    pub tokens: u32,
    /// The weight version, where the engine tells it.
    #[serde(default)]
    pub version: Option<u64>,
    /// Set on the last event.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A stable word for programs.
    pub kind: Arc<str>,
    /// A sentence for people that names the remedy.
    pub message: String,
}

/// Exported KV cache of a partial generation, opaque but for its size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// The text generated so far.
    pub text: String,
    /// Tokens generated so far, by version.
    pub versions: Vec<VersionSpan>,
    /// The engine's own opaque state.
    pub state: String,
}

/// Body of `POST /v1/cancel` and `POST /v1/kv/export` at an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRef {
    /// The value of [`REQUEST_ID_HEADER`].
    pub request_id: Arc<str>,
}

/// Answer of `GET /admin/status` at engines and plain services: load, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint's id at the platform.
    pub endpoint: Arc<str>,
    /// Changes with every start of the endpoint's process.
    pub boot: u64,
    /// The weight version in use; 0 before the first load.
    pub version: u64,
    /// True while a load runs.
    pub swapping: bool,
    /// Why the last load failed, if it did.
    #[serde(default)]
    pub failed: Option<String>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Batch slots.
    pub slots: u32,
    /// Milliseconds until the endpoint goes, once it is reclaimed.
    #[serde(default)]
    pub leaving_in_ms: Option<u64>,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load a weight version of a trainer from the store.
    LoadVersion {
        /// The trainer whose weights these are.
        trainer: Arc<str>,
        /// The version.
        version: u64,
        /// Where the store serves it.
        url: Arc<str>,
    },
    /// Load an adapter beside the base weights.
    LoadAdapter {
        /// The adapter's name.
        adapter: Arc<str>,
        /// Where the store serves it.
        url: Arc<str>,
    },
    /// Change what the engine is used for.
    SetRole {
        /// `both`, `prefill` or `decode`.
        role: Arc<str>,
    },
}

/// Body of `POST /admin/orders` at an engine: 202 taken, 409 old fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Grows with every change of who gives orders.
    pub fencing: u64,
    /// What to do.
    pub action: EngineAction,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one an event; a jump is a gap.
    pub seq: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// True when the block was stored, false when it was dropped.
    pub stored: bool,
}

/// Answer of `GET /admin/cache_events?after=SEQ` at an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's boot; events of another boot mean an empty cache.
    pub boot: u64,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Body of `POST /log/append` at the platform. Records are base64.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records, appended in this order, all or none.
    pub records: Vec<String>,
}

/// Answer of an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The offset of the first record; the rest follow without a gap.
    pub first_offset: u64,
}

/// One record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its offset.
    pub offset: u64,
    /// Its bytes, base64.
    pub data: String,
}

/// Answer of `GET /log/read?from=OFFSET&max=N&wait_ms=MS`; waits at most `wait_ms` for a first entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Entries from `from` on.
    pub entries: Vec<LogEntry>,
    /// The earliest offset that is still kept.
    pub earliest: u64,
    /// The offset that the next append will get.
    pub head: u64,
}

/// One row of `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's id.
    pub instance: Arc<str>,
    /// Where peers reach it.
    pub peer_address: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// True once the platform is taking it away.
    pub leaving: bool,
}

/// Whether the platform may take an endpoint back at short notice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Stays until it is stopped.
    #[default]
    Firm,
    /// Cheaper, and reclaimed at a few seconds' notice.
    Cheap,
}

/// Where an ordered endpoint stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointPhase {
    /// Ordered, not yet reachable.
    Starting,
    /// Reachable.
    #[default]
    Running,
    /// Reclaimed or stopped; reachable for a short time.
    Leaving,
}

/// One row of `GET /endpoints` at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformEndpoint {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The service that it runs.
    pub service: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// `ip:port` of its HTTP face.
    pub address: Arc<str>,
    /// Firm or cheap.
    pub tier: Tier,
    /// Where it stands.
    pub phase: EndpointPhase,
    /// The order that started it; 0 for those that were there before.
    pub order: u64,
}

/// What the platform can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformAction {
    /// Start one endpoint.
    Start {
        /// The service it will run.
        service: Arc<str>,
        /// Where.
        failure_domain: Arc<str>,
        /// Firm or cheap.
        tier: Tier,
    },
    /// Stop one endpoint.
    Stop {
        /// Which.
        endpoint: Arc<str>,
    },
}

/// Body of `POST /orders`: 200 done, 409 old fencing number, 410 past its deadline, 503 unavailable.
/// The same order number again has no further effect and gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// The region whose lease stands behind the order.
    pub region: Arc<str>,
    /// Fencing number of that lease.
    pub fencing: u64,
    /// Order number: the offset of the intent.
    pub order: u64,
    /// The platform drops the order if it arrives later than this after it was sent.
    pub valid_ms: u64,
    /// The instance that sends it, for the platform's records.
    pub sender: Arc<str>,
    /// What to do.
    pub action: PlatformAction,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrderDone {
    /// The endpoint that was started or stopped.
    pub endpoint: Arc<str>,
}

/// What one organisation used in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageFigures {
    /// Requests that got an answer.
    pub requests: u64,
    /// Tokens delivered.
    pub tokens: u64,
}

/// Body of `POST /usage`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The region that the report covers.
    pub region: Arc<str>,
    /// The window's number.
    pub window: u64,
    /// Fencing number of the reporter's lease.
    pub fencing: u64,
    /// The instance that sends it.
    pub reporter: Arc<str>,
    /// Figures by organisation.
    pub figures: BTreeMap<Arc<str>, UsageFigures>,
}

/// Body of `POST /v1/trainers/{trainer}/versions`: new weights are in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishVersion {
    /// The version; grows.
    pub version: u64,
    /// Its size, for the schedule under the store's rate limit.
    pub bytes: u64,
}

/// Body of `POST /v1/trainers/{trainer}/steps`. Sending it again is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStep {
    /// The step's number; grows.
    pub step: u64,
    /// One prompt a group.
    pub prompts: Vec<Arc<str>>,
    /// Samples drawn from each prompt.
    pub samples_per_group: u16,
    /// Longest sample.
    pub max_tokens: u32,
    /// How many versions a sample may be behind the newest when the batch closes.
    pub staleness_bound: u64,
    /// Milliseconds until the batch should be whole.
    pub deadline_ms: u64,
    /// A scoring service, if samples are scored.
    #[serde(default)]
    pub scoring: Option<Arc<str>>,
}

/// One sample of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The group: index of its prompt.
    pub group: u32,
    /// The index in its group.
    pub index: u16,
    /// The generated text.
    pub text: String,
    /// Tokens generated.
    pub tokens: u32,
    /// The versions that produced it, in order.
    pub versions: Vec<VersionSpan>,
    /// The score, where a scoring service was named.
    #[serde(default)]
    pub score: Option<f64>,
}

/// Answer of `GET /v1/trainers/{trainer}/steps/{step}?wait_ms=MS`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The step.
    pub step: u64,
    /// True once every sample is in; `samples` is empty before that.
    pub complete: bool,
    /// Samples finished so far.
    pub finished: u32,
    /// Samples that the step asks for.
    pub expected: u32,
    /// The newest version when the batch closed.
    pub newest_version: u64,
    /// The samples in order of group and index.
    pub samples: Vec<Sample>,
}

/// One address of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub instance: Arc<str>,
    /// `ip:port` for callers.
    pub address: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// Answer of `GET /v1/entries?near=FAILURE_DOMAIN`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Addresses, the best first.
    pub entries: Vec<Entry>,
    /// How long a caller may keep them.
    pub ttl_ms: u64,
}

/// Body of `POST /admin/questionnaire`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SubmitQuestionnaire {
    /// The revision that the text was written against; 0 for the first.
    pub base_revision: u64,
    /// The answers, as INI.
    pub text: Arc<str>,
}

/// Answer of `GET /admin/questionnaire`, of a submission, and of a lost race (409).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuestionnaireState {
    /// The revision in force.
    pub revision: u64,
    /// Its text.
    pub text: Arc<str>,
    /// Lines that differ from the refused submission, if this answers one.
    #[serde(default)]
    pub difference: Vec<String>,
}

/// One row of `GET /admin/questionnaire/history`, the oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRevision {
    /// The revision.
    pub revision: u64,
    /// The instance that submitted it.
    pub writer: Arc<str>,
    /// Its text.
    pub text: Arc<str>,
}

/// Body of `POST /admin/keys`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantKey {
    /// Whose key it will be.
    pub organisation: Arc<str>,
}

/// Answer to a grant; the only time the key is shown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantedKey {
    /// Names the key in lists and withdrawals.
    pub key_id: Arc<str>,
    /// The secret.
    pub key: Arc<str>,
}

/// One row of `GET /admin/keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedKey {
    /// Names the key.
    pub key_id: Arc<str>,
    /// Whose it is.
    pub organisation: Arc<str>,
    /// True once withdrawn.
    pub withdrawn: bool,
}

/// Answer of `DELETE /admin/keys/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnKey {
    /// Names the key.
    pub key_id: Arc<str>,
    /// True when the log holds the withdrawal; false while only peers hold it.
    pub durable: bool,
}

/// One instance in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// `ip:port` for callers.
    pub address: Arc<str>,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub health: Arc<str>,
    /// The configuration revision that it last said it has in force.
    pub revision: u64,
}

/// Answer of `GET /admin/status`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: Arc<str>,
    /// The configuration revision in force here.
    pub revision: u64,
    /// The offset up to which the log is folded here.
    pub folded: u64,
    /// Whether keyed requests are served now.
    pub fresh: bool,
    /// Members as seen from here.
    pub members: Vec<MemberStatus>,
    /// Endpoints as seen from here: id, service, home, version, requests in flight.
    pub endpoints: Vec<EndpointSummary>,
    /// Leases: name to holder.
    pub leases: BTreeMap<Arc<str>, Arc<str>>,
    /// Newest weight version by trainer.
    pub versions: BTreeMap<Arc<str>, u64>,
}

/// One endpoint in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The instance that is its home.
    pub home: Arc<str>,
    /// The weight version, where the answering instance is the home.
    pub version: Option<u64>,
    /// Requests in flight, where the answering instance is the home.
    pub in_flight: Option<u32>,
}
