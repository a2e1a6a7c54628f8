//! Homes: the home of an endpoint is the one instance that sends work to it and tracks its status.
//! An endpoint is said to be at home on that instance. See `docs/design/homes.md`.

use std::sync::Arc;

use crate::view::EndpointKey;

pub(crate) mod admission;
mod endpoint;
pub(crate) mod polls;
pub mod table;

/// Status of an endpoint as known by its home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeEndpointStatus {
    /// Weight version as of the last status read; `None` during a weight swap and until the first
    /// status read after it.
    pub version: Option<u64>,
    /// Whether the endpoint is loading weights.
    pub swapping: bool,
    /// Error of the last load, if it failed.
    pub failed: Option<Arc<str>>,
    /// Boot number of the endpoint; a change indicates a restart.
    pub boot: u64,
    /// Requests that this home has in flight at the endpoint.
    pub in_flight: u32,
    /// Requests that are queued for the endpoint.
    pub queued: u32,
    /// Milliseconds until the endpoint leaves, as it announced.
    pub leaving_in_ms: Option<u64>,
    /// Whether recent status reads succeeded.
    pub reachable: bool,
}

/// The endpoints whose home is this instance, shared by traffic, rollouts and controllers.
pub trait Homes: Send + Sync {
    /// Keys of the endpoints whose home is this instance.
    fn at_home(&self) -> Vec<EndpointKey>;

    /// Status of an endpoint; `None` if this instance is not its home.
    fn status(&self, endpoint: EndpointKey) -> Option<HomeEndpointStatus>;

    /// Pauses or resumes starting new work at an endpoint, around a weight swap. After a resume
    /// the version is unknown until the next status read.
    fn set_paused(&self, endpoint: EndpointKey, paused: bool);
}
