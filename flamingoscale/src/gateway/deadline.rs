//! Deadline filter: limits how long a request may take.

use std::{
    sync::Arc,
    time::Duration, //
};

use futures::future::LocalBoxFuture;
use tokio::time::Instant;

use crate::{
    configuration::Configuration,
    gateway::{
        answer::Answer,
        chain::{
            Exchange,
            Filter,
            Next, //
        }, //
    },
    outcome::Refusal, //
};

/// Sets the deadline from the caller's timeout, capped at the configured maximum.
pub(crate) struct DeadlineFilter {
    max_timeout_ms: u64,
}

impl DeadlineFilter {
    pub(crate) fn new(configuration: &Arc<Configuration>) -> Self {
        Self {
            max_timeout_ms: configuration.tolerances.request_timeout_ms,
        }
    }
}

impl Filter for DeadlineFilter {
    fn call<'a>(&'a self, mut exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let requested_ms = exchange.timeout_ms.unwrap_or(self.max_timeout_ms);
        if requested_ms == 0 {
            return Box::pin(std::future::ready(Answer::refused(Refusal::Deadline)));
        }
        let limit = Duration::from_millis(requested_ms.min(self.max_timeout_ms));
        exchange.deadline = Instant::now() + limit;
        next.run(exchange)
    }
}
