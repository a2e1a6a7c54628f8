//! Homes: the one instance that sends work to an endpoint, and what it knows of it.

use std::sync::Arc;

use crate::view::EndpointKey;

pub(crate) mod admission;
mod endpoint;
pub(crate) mod polls;
pub mod table;

/// What the home of an endpoint knows of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeFacts {
    /// The weight version as last read; none while a swap runs or its end was not read back.
    pub version: Option<u64>,
    /// Whether a load runs.
    pub swapping: bool,
    /// Why the last load failed.
    pub failed: Option<Arc<str>>,
    /// The endpoint's boot, so that a restart is seen.
    pub boot: u64,
    /// Requests that this home has in flight there.
    pub in_flight: u32,
    /// Requests that wait for this endpoint.
    pub queued: u32,
    /// Milliseconds until the endpoint goes, by its own word.
    pub leaving_in_ms: Option<u64>,
    /// Whether its last status read worked.
    pub reachable: bool,
}

/// The endpoints that this instance is home of. Shared by traffic, rollouts and controllers.
pub trait Homes: Send + Sync {
    /// The keys of endpoints whose home this instance is now.
    fn at_home(&self) -> Vec<EndpointKey>;

    /// What is known of an endpoint; none where this instance is not its home.
    fn facts(&self, endpoint: EndpointKey) -> Option<HomeFacts>;

    /// Stops or resumes giving new work to an endpoint, around a swap. Resuming makes the version
    /// unknown until the status is read again.
    fn hold(&self, endpoint: EndpointKey, held: bool);
}
