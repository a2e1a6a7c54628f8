//! The configuration in force: routes, services, organisations and their API keys.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::regions::HomeRegions;

/// How the requests of a route are executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of events that is forwarded as it arrives. The request runs at most
    /// once, and a stream that breaks off is not resumed.
    Stream,
    /// The route accepts batches of samples.
    Rollout,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that the route applies to.
    pub host: Arc<str>,
    /// Path prefix that the route applies to. Starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How the requests are executed, which decides whether they are retried.
    pub kind: RouteKind,
    /// Maximum time until a caller gets the response.
    pub timeout_ms: u64,
    /// Target response time. A later response is worth less to the caller.
    pub target_ms: u64,
    /// Services with their weights for distributing requests.
    pub services: Vec<(Arc<str>, u32)>,
    /// Maximum number of endpoints that may run one direct request, and the number of failed runs
    /// after which a sample is abandoned.
    pub max_attempts: u32,
    /// Whether requests are admitted without an API key.
    pub public: bool,
    /// Whether the text of a sample must come from a single version of the weights.
    pub single_version: bool,
    /// Time after the submission of a batch after which its unfinished samples may be abandoned.
    pub retention_ms: u64,
}

/// Settings of a service whose endpoints are model engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engines {
    /// The models that the engines serve, in the operator's order.
    pub models: Vec<Arc<str>>,
    /// Number of requests that an engine runs at once; 0 if not configured.
    pub slots: u32,
    /// Memory of an engine for running requests and cached prompt parts, in tokens; 0 if not
    /// configured.
    pub memory_tokens: u64,
}

/// How the endpoints of a service behave after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which an endpoint is cold after its start.
    pub duration_ms: u64,
    /// Requests per second that a cold endpoint bears from all instances together.
    pub requests_per_s: f64,
}

/// Bounds and prices of the endpoints of a service that can be ordered from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Smallest number of endpoints in each failure domain.
    pub min: u32,
    /// Largest number of endpoints in each failure domain.
    pub max: u32,
    /// Time from an accepted order until the endpoint serves.
    pub boot_ms: u64,
    /// Price of an endpoint that may be reclaimed, relative to the price of the others.
    pub spot_price: f64,
    /// Price of an endpoint for each second, by failure domain.
    pub domain_prices: HashMap<Arc<str>, f64>,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Settings of the engines; `None` if the endpoints are not model engines.
    pub engines: Option<Engines>,
    /// Behaviour of endpoints after their start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
    /// Bounds of the orders for endpoints; `None` if none can be ordered.
    pub scaling: Option<Scaling>,
}

/// A complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations by API key; `None` if the operator doesn't use API keys.
    pub keys: Option<HashMap<Arc<str>, Arc<str>>>,
    /// Size limits for requests of callers.
    pub limits: Limits,
    /// Where requests may run; empty where no route and no organisation has home regions.
    pub homes: HomeRegions,
}

/// Size limits for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Total size of the names and values of all headers.
    pub header_bytes: usize,
    /// Size of the body.
    pub body_bytes: usize,
}

impl Limits {
    /// Checks the size of the headers and the size of the body as far as it has been received.
    ///
    /// # Errors
    ///
    /// [`Denial`] that names the part that exceeds its limit.
    pub fn check(&self, header_bytes: usize, body_bytes: usize) -> Result<(), Denial> {
        if header_bytes > self.header_bytes {
            return Err(Denial::LargeHeaders);
        }
        match body_bytes > self.body_bytes {
            true => Err(Denial::LargeBody),
            false => Ok(()),
        }
    }
}

/// The reason why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The headers exceed their limit.
    LargeHeaders,
    /// The body exceeds its limit.
    LargeBody,
}

/// Who sends a request, as far as its API key tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The operator uses no API keys, so that nobody can be told apart.
    Anyone,
    /// An organisation.
    Organisation(Arc<str>),
    /// The API key is missing or unknown.
    Unknown,
}

impl Configuration {
    /// Returns the route of the host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the route of a request and the organisation that it runs for.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no route matches, or if the route requires an API key and the key is missing
    /// or unknown.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Arc<Route>, Option<Arc<str>>), Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?.clone();
        let organisation = self.organisation(key);
        if route.public || self.keys.is_none() || organisation.is_some() {
            return Ok((route, organisation));
        }
        Err(Denial::UnknownKey)
    }

    /// Returns who sends a request with this API key.
    pub fn caller(&self, key: Option<&str>) -> Caller {
        match (&self.keys, self.organisation(key)) {
            (None, _) => Caller::Anyone,
            (Some(_), Some(organisation)) => Caller::Organisation(organisation),
            (Some(_), None) => Caller::Unknown,
        }
    }

    /// Returns the organisation of an API key, or `None` if the key is missing or unknown.
    pub fn organisation(&self, key: Option<&str>) -> Option<Arc<str>> {
        self.keys.as_ref()?.get(key?).cloned()
    }
}

impl Caller {
    /// Returns whether the caller may use what was accepted for an organisation, or for none if the
    /// name is empty. What is accepted is a promise, so it depends neither on the routes that the
    /// configuration has now nor on whether it still has API keys. See `docs/incidents/removed-routes.md`.
    pub fn may_use(&self, owner: &str) -> bool {
        match self {
            Self::Anyone => true,
            Self::Organisation(organisation) => owner.is_empty() || **organisation == *owner,
            Self::Unknown => owner.is_empty(),
        }
    }
}

impl Route {
    /// Selects a service in proportion to the weights. `draw` is a uniformly distributed random
    /// number. Returns `None` if the weights add up to 0.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            match remaining.checked_sub(u64::from(*weight)) {
                Some(rest) => remaining = rest,
                None => return Some(service),
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
