//! The filter chain: what passes through it, and how a filter calls the next.

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

/// One request on its way through the chain. Filters fill in what they find out.
pub(crate) struct Exchange {
    /// Its id, new with each request.
    pub(crate) request_id: Arc<str>,
    /// The view under which it is decided.
    pub(crate) view: Arc<View>,
    /// The name of the wanted service.
    pub(crate) service_name: Arc<str>,
    /// What the service is asked to run.
    pub(crate) body: WorkBody,
    /// The key that the caller showed; the key filter takes it out.
    pub(crate) presented_key: Option<Arc<str>>,
    /// The caller's idempotency key.
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// How long the caller waits, by its own word.
    pub(crate) timeout_ms: Option<u64>,
    /// When it is given up; set by the deadline filter.
    pub(crate) deadline: Instant,
    /// The service; set by the route filter.
    pub(crate) service: Option<Service>,
    /// Whose request it is; set by the key filter, empty on open routes.
    pub(crate) organisation: Arc<str>,
    /// The id of the key; set by the key filter.
    pub(crate) key_id: Option<Arc<str>>,
    /// Whether it must run alone; set by the quarantine filter.
    pub(crate) alone: bool,
    /// Whether the whole answer is wanted even for a stream, to be kept for a repeated request.
    pub(crate) buffer_answer: bool,
}

impl Exchange {
    /// Milliseconds that are left before the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }

    /// The request's text, by which one that crashes endpoints is told apart.
    pub(crate) fn fingerprint(&self) -> u64 {
        crate::dispatch::fingerprint(&self.service_name, &self.body)
    }

    /// All of the request, by which a repeated idempotency key must come with the same one.
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

/// A step of the chain.
pub(crate) trait Filter: Send + Sync {
    /// Answers the request, mostly by way of `next`.
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer>;
}

/// The filters behind the present one.
#[derive(Clone, Copy)]
pub(crate) struct Next<'a> {
    filters: &'a [Box<dyn Filter>],
}

impl<'a> Next<'a> {
    /// Hands the request to the next filter.
    pub(crate) fn run(self, exchange: Exchange) -> LocalBoxFuture<'a, Answer> {
        match self.filters.split_first() {
            Some((filter, rest)) => filter.call(exchange, Next { filters: rest }),
            None => Box::pin(std::future::ready(Answer::no_route())),
        }
    }
}

/// The chain of one configuration.
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

/// Whether bytes hold a text; short texts in bodies of a few megabytes at most.
pub(crate) fn contains_text(bytes: &Bytes, text: &str) -> bool {
    !text.is_empty() && memchr::memmem::find(bytes, text.as_bytes()).is_some()
}
