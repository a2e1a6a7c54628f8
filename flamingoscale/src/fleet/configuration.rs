//! The configuration in force: routes, services, organisations and their keys.

use std::{
    collections::HashMap,
    sync::Arc, //
};

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answers with events; may be resumed only where the route says so.
    Stream,
    /// Takes batches of samples.
    Rollout,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that it is for.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What its requests allow.
    pub kind: Kind,
    /// Longest time to keep a caller waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most.
    pub target_ms: u64,
    /// Services with their shares of the requests.
    pub services: Vec<(Arc<str>, u32)>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a sample's text must come from one version of the weights.
    pub single_version: bool,
    /// A sample may be given up this long after its batch was submitted.
    pub retention_ms: u64,
}

/// What a service's engines serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engines {
    /// The models, in the operator's order.
    pub models: Vec<Arc<str>>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Set for model engines.
    pub engines: Option<Engines>,
}

/// One whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations by key; `None` where the operator uses no keys.
    pub keys: Option<HashMap<Arc<str>, Arc<str>>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// The largest request that a caller may send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Names and values of all headers.
    pub header_bytes: usize,
    /// The body.
    pub body_bytes: usize,
}

impl Limits {
    /// Checks a request of which so many bytes are known.
    ///
    /// # Errors
    ///
    /// [`Denial`] for the part that is too large.
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

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The headers are over the limit.
    LargeHeaders,
    /// The body is over the limit.
    LargeBody,
}

impl Configuration {
    /// Returns the route with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| &*route.host == host && path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether any route is for a host.
    pub fn serves_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| &*route.host == host)
    }

    /// Returns the route of a request and the organisation that it runs for.
    ///
    /// # Errors
    ///
    /// [`Denial`] when the configuration doesn't allow the request.
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

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: Option<&str>) -> Option<Arc<str>> {
        self.keys.as_ref()?.get(key?).cloned()
    }
}

impl Route {
    /// Picks the service for a request by the shares; `draw` is any evenly spread number.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for (service, share) in &self.services {
            match left.checked_sub(u64::from(*share)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
