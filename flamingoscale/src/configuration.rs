//! The configuration that is generated from a questionnaire: services, organisations, failure
//! domains and trainers.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// A complete configuration.
///
/// Entries are referred to by name, because instances may briefly hold different revisions and list
/// positions would not match between them. Lookups are linear since the lists are short.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Services to which requests are routed.
    pub services: Vec<Service>,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Failure domains of endpoints and instances.
    pub failure_domains: Vec<FailureDomain>,
    /// Trainers that request samples.
    pub trainers: Vec<Trainer>,
    /// Time limits and rates that apply to the whole system.
    pub tolerances: Tolerances,
}

impl Configuration {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| &*organisation.name == name)
    }

    /// Returns the trainer with this name.
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|trainer| &*trainer.name == name)
    }

    /// Returns the region of a failure domain, or `None` if the domain is unknown.
    pub fn region(&self, failure_domain: &str) -> Option<&Arc<str>> {
        self.failure_domains
            .iter()
            .find(|domain| &*domain.name == failure_domain)
            .map(|domain| &domain.region)
    }
}

/// The kind of program that runs a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model engine, which serves completions in batches and loads weight versions.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service: the `model` of completions, or the path segment of plain calls.
    pub name: Arc<str>,
    /// Whether the service runs on model engines or is a plain HTTP service.
    pub kind: ServiceKind,
    /// Whether calls are idempotent, so that they may be retried after they may have run.
    pub idempotent: bool,
    /// Whether the service accepts requests without an API key.
    pub open: bool,
    /// Minimum number of firm endpoints, which the platform does not reclaim.
    pub firm_floor: u32,
    /// Maximum number of endpoints, including cheap ones, which the platform may reclaim.
    pub ceiling: u32,
    /// Number of requests that one endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoints refuse orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// An organisation that sends requests and is billed for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Unique name.
    pub name: Arc<str>,
    /// Weight for fair queueing under load, relative to other organisations.
    pub weight: u32,
    /// Rate limit in tokens per second; 0 for no limit.
    pub tokens_per_s: u64,
}

/// A group of endpoints and instances that can fail together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Unique name.
    pub name: Arc<str>,
    /// Region that contains the domain. Callers are referred to instances of their own region
    /// before those of other regions.
    pub region: Arc<str>,
}

/// A trainer that requests batches of samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trainer {
    /// Unique name.
    pub name: Arc<str>,
    /// Organisation that is billed for the samples.
    pub organisation: Arc<str>,
    /// Engine service that generates the samples.
    pub service: Arc<str>,
    /// Weight for sharing the engines, relative to other trainers.
    pub weight: u32,
    /// Maximum number of weight versions by which a sample may be behind the newest.
    pub staleness_bound: u64,
}

/// Time limits and rates that apply to the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tolerances {
    /// Time within which a withdrawn key stops working on all instances.
    pub withdrawal_ms: u64,
    /// Time within which an accepted configuration is in force on all instances.
    pub in_force_ms: u64,
    /// Time after which a leaving endpoint gets no new work.
    pub drain_ms: u64,
    /// Timeout of a request, unless the caller sets a shorter one.
    pub request_timeout_ms: u64,
    /// Length of a usage window, the period that one usage report covers.
    pub usage_window_ms: u64,
    /// Time until a lease expires without renewal.
    pub lease_ms: u64,
    /// Read rate of the weight store in bytes per second.
    pub store_bytes_per_s: u64,
}

impl Default for Tolerances {
    fn default() -> Self {
        Self {
            withdrawal_ms: 5_000,
            in_force_ms: 10_000,
            drain_ms: 3_000,
            request_timeout_ms: 60_000,
            usage_window_ms: 300_000,
            lease_ms: 10_000,
            store_bytes_per_s: 1_000_000_000,
        }
    }
}
