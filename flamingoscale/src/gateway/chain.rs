//! The filter chain: the state of a request that passes through it, and how a filter calls the
//! next.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    configuration::{
        Configuration,
        Service, //
    },
    dispatch::WorkBody,
    gateway::answer::Answer,
    view::View, //
};

/// A request on its way through the chain. Filters add what they look up or decide.
pub(crate) struct Exchange {
    /// Unique id of this request, generated on arrival.
    pub(crate) request_id: Arc<str>,
    /// The cluster view under which the request is processed.
    pub(crate) view: Arc<View>,
    /// Name of the requested service.
    pub(crate) service_name: Arc<str>,
    /// The payload to run on the service.
    pub(crate) body: WorkBody,
    /// API key that the caller presented; removed by the key filter.
    pub(crate) presented_key: Option<Arc<str>>,
    /// Idempotency key that the caller sent.
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// Timeout that the caller requested, in milliseconds.
    pub(crate) timeout_ms: Option<u64>,
    /// Time at which the request is abandoned; set by the deadline filter.
    pub(crate) deadline: Instant,
    /// Configuration of the service; set by the route filter.
    pub(crate) service: Option<Service>,
    /// Organisation that owns the API key; set by the key filter, empty for open services.
    pub(crate) organisation: Arc<str>,
    /// Id of the API key; set by the key filter.
    pub(crate) key_id: Option<Arc<str>>,
    /// Whether the request must run on an endpoint without other requests; set by the quarantine
    /// filter.
    pub(crate) alone: bool,
    /// Whether the complete answer is collected before it is sent, even for a streaming request, so
    /// that it can be stored for replay.
    pub(crate) buffer_answer: bool,
}

impl Exchange {
    /// Milliseconds until the deadline; 0 once it has passed.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }

    /// Hash of the service name and the payload without headers and sampling seed, by which
    /// requests that crash endpoints are recognised.
    pub(crate) fn fingerprint(&self) -> u64 {
        crate::dispatch::fingerprint(&self.service_name, &self.body)
    }

    /// Hash of the request including its sampling seed and stream flag. Requests with the same
    /// idempotency key must have the same hash.
    pub(crate) fn full_fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.fingerprint().to_le_bytes());
        if let WorkBody::Completion(request) = &self.body {
            hasher.update(&request.seed.to_le_bytes());
            hasher.update(&[u8::from(request.stream)]);
        }
        hasher.digest()
    }
}

/// One step of the chain.
pub(crate) trait Filter: Send + Sync {
    /// Answers the request, usually by calling `next`.
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer>;
}

/// The filters that follow the current one.
#[derive(Clone, Copy)]
pub(crate) struct Next<'a> {
    filters: &'a [Box<dyn Filter>],
}

impl<'a> Next<'a> {
    /// Passes the request to the next filter.
    pub(crate) fn run(self, exchange: Exchange) -> LocalBoxFuture<'a, Answer> {
        match self.filters.split_first() {
            Some((filter, rest)) => filter.call(exchange, Next { filters: rest }),
            None => Box::pin(std::future::ready(Answer::no_route())),
        }
    }
}

/// The filter chain built from one configuration.
pub(crate) struct Chain {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// Runs a request through the chain.
    pub(crate) async fn run(&self, exchange: Exchange) -> Answer {
        let next = Next {
            filters: &self.filters,
        };
        next.run(exchange).await
    }
}

/// Whether `bytes` contains `text`. An empty text is never contained.
pub(crate) fn contains_text(bytes: &Bytes, text: &str) -> bool {
    !text.is_empty() && memchr::memmem::find(bytes, text.as_bytes()).is_some()
}
