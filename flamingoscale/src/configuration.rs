//! The configuration that a questionnaire generates: services, organisations, domains, trainers.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// A whole configuration. Lists are short; lookups are by name because instances may hold
/// different revisions for a moment, so positions must not cross the network.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// What requests are routed to.
    pub services: Vec<Service>,
    /// Who may send requests.
    pub organisations: Vec<Organisation>,
    /// Where endpoints and instances are.
    pub failure_domains: Vec<FailureDomain>,
    /// Who asks for samples.
    pub trainers: Vec<Trainer>,
    /// What the users tolerate.
    pub tolerances: Tolerances,
}

impl Configuration {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| &*organisation.name == name)
    }

    /// Finds a trainer by name.
    pub fn trainer(&self, name: &str) -> Option<&Trainer> {
        self.trainers.iter().find(|trainer| &*trainer.name == name)
    }

    /// Returns the region of a failure domain.
    pub fn region(&self, failure_domain: &str) -> Option<&Arc<str>> {
        self.failure_domains
            .iter()
            .find(|domain| &*domain.name == failure_domain)
            .map(|domain| &domain.region)
    }
}

/// What kind of program runs a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model engine: completions, weights, batches.
    Engine,
    /// A plain service.
    Plain,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name; the `model` of completions, or the path of plain calls.
    pub name: Arc<str>,
    /// Engine or plain.
    pub kind: ServiceKind,
    /// Whether its calls may be repeated.
    pub idempotent: bool,
    /// Whether it is open to all, without a key.
    pub open: bool,
    /// Firm endpoints that must always be there.
    pub firm_floor: u32,
    /// The most endpoints, cheap ones included.
    pub ceiling: u32,
    /// Requests that one endpoint runs at once.
    pub slots: u32,
    /// Whether its endpoints refuse orders with an old fencing number.
    pub checks_fencing: bool,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its share under load, relative to the others'.
    pub weight: u32,
    /// Tokens a second that it may use; 0 for no limit.
    pub tokens_per_s: u64,
}

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Its name.
    pub name: Arc<str>,
    /// The region that it is in.
    pub region: Arc<str>,
}

/// One trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trainer {
    /// Its name.
    pub name: Arc<str>,
    /// The organisation that its samples run under.
    pub organisation: Arc<str>,
    /// The engine service that it draws from.
    pub service: Arc<str>,
    /// Its share of the engines, relative to the other trainers'.
    pub weight: u32,
    /// How many versions a sample may be behind at most.
    pub staleness_bound: u64,
}

/// What the users tolerate, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tolerances {
    /// A withdrawn key stops within this time.
    pub withdrawal_ms: u64,
    /// An accepted configuration is in force within this time.
    pub in_force_ms: u64,
    /// A leaving endpoint gets no new work after this time.
    pub drain_ms: u64,
    /// Longest wait of a caller, unless it says less.
    pub request_timeout_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// How long a lease lasts without renewal.
    pub lease_ms: u64,
    /// Bytes a second that the weight store gives.
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
