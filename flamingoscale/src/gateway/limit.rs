//! Limit filter: limits how many tokens per second an organisation may use over all instances.
//!
//! One instance owns an organisation's limit and lends tokens in chunks, so that most requests are
//! admitted by the instance that received them, without a message to the owner. See
//! `docs/design/fairness.md`.

mod bucket;
pub(crate) mod lending;

use std::{
    collections::HashMap,
    sync::Arc, //
};

use futures::future::LocalBoxFuture;

use crate::{
    configuration::Configuration,
    dispatch::run::expected_tokens,
    gateway::{
        answer::{
            Answer,
            RequestEnd, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        limit::lending::Lending,
        SharedState, //
    },
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Upper bound of the retry delay given to refused callers, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Refuses requests of organisations that have used up their limit.
pub(crate) struct LimitFilter {
    lending: Arc<Lending>,
    limits: HashMap<Arc<str>, u64>,
}

impl LimitFilter {
    pub(crate) fn new(configuration: &Arc<Configuration>, shared: &SharedState) -> Self {
        let limited = configuration.organisations.iter();
        let limited = limited.filter(|organisation| organisation.tokens_per_s > 0);
        Self {
            lending: shared.lending.clone(),
            limits: limited
                .map(|organisation| (organisation.name.clone(), organisation.tokens_per_s))
                .collect(),
        }
    }

    async fn run_limited(&self, exchange: Exchange, next: Next<'_>, tokens_per_s: u64) -> Answer {
        let estimate = expected_tokens(&exchange.body);
        let organisation = exchange.organisation.clone();
        let acquisition = self.lending.acquire(&organisation, estimate, tokens_per_s);
        if let Err(retry_after_ms) = acquisition.await {
            let retry_after_ms = retry_after_ms.min(MAX_RETRY_AFTER_MS);
            return Answer::Refused(NotRun::retry_after(Refusal::OverLimit, retry_after_ms));
        }
        let lending = self.lending.clone();
        let mut answer = next.run(exchange).await;
        answer.on_end(Box::new(move |end| {
            let used = match end {
                RequestEnd::NotRun | RequestEnd::Replayed => 0,
                RequestEnd::Ran { tokens } | RequestEnd::Disconnected { tokens } => tokens,
                RequestEnd::Unknown => estimate,
            };
            let unused = estimate.saturating_sub(used);
            lending.return_unused(&organisation, unused, tokens_per_s);
        }));
        answer
    }
}

impl Filter for LimitFilter {
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        match self.limits.get(&exchange.organisation) {
            Some(&tokens_per_s) => Box::pin(self.run_limited(exchange, next, tokens_per_s)),
            None => next.run(exchange),
        }
    }
}
