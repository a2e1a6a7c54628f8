//! Whose request it is. The key itself goes no further than this filter.

use std::sync::Arc;

use futures::future::LocalBoxFuture;

use crate::{
    dispatch::WorkBody,
    gateway::{
        answer::{
            Answer,
            End, //
        },
        chain::{
            holds,
            Exchange,
            Filter,
            Next, //
        },
        Shared, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// When to try again at an instance that can't show that its keys are current.
const NOT_FRESH_RETRY_MS: u64 = 2_000;

/// Checks the key, sets the organisation, and takes the key out of the request.
pub(crate) struct Key {
    instance: Arc<Instance>,
}

impl Key {
    pub(crate) fn new(shared: &Shared) -> Self {
        Self {
            instance: shared.instance.clone(),
        }
    }

    fn check(&self, exchange: &mut Exchange) -> Result<(), NotRun> {
        let shown = exchange.shown_key.take();
        if let Some(shown) = &shown {
            remove_key(&mut exchange.body, shown)?;
        }
        let open = exchange
            .service
            .as_ref()
            .is_some_and(|service| service.open);
        if open {
            return Ok(());
        }
        let shown = shown.ok_or(NotRun::permanent(Refusal::Unauthorized))?;
        if !self.instance.view.is_fresh(self.instance.now_ms()) {
            return Err(NotRun::retry_after(Refusal::NotFresh, NOT_FRESH_RETRY_MS));
        }
        let entry = exchange.view.keys.authenticate(&shown);
        let entry = entry.ok_or(NotRun::permanent(Refusal::Unauthorized))?;
        exchange.organisation = entry.organisation.clone();
        exchange.key_id = Some(entry.key_id.clone());
        Ok(())
    }
}

impl Key {
    /// Counts what the organisation got, once the answer is delivered.
    async fn count(&self, exchange: Exchange, next: Next<'_>) -> Answer {
        let organisation = exchange.organisation.clone();
        let instance = self.instance.clone();
        let mut answer = next.run(exchange).await;
        answer.at_end(Box::new(move |end| match end {
            End::Ran { tokens } => instance.usage.add(&organisation, tokens),
            End::Left { tokens } if tokens > 0 => instance.usage.add(&organisation, tokens),
            _ => {}
        }));
        answer
    }
}

/// Drops headers that repeat the key, and refuses a request that has it in its path or body.
pub(crate) fn remove_key(body: &mut WorkBody, shown: &str) -> Result<(), NotRun> {
    let repeated = match body {
        WorkBody::Completion(request) => request.prompt.contains(shown),
        WorkBody::Plain {
            path,
            headers,
            body,
            ..
        } => {
            headers.retain(|(_, value)| !value.contains(shown));
            path.contains(shown) || holds(body, shown)
        }
    };
    if repeated && !shown.is_empty() {
        let only_there = "the key may stand in the authorization header only";
        return Err(NotRun::permanent(Refusal::Invalid(only_there.into())));
    }
    Ok(())
}

impl Filter for Key {
    fn call<'a>(&'a self, mut exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        match self.check(&mut exchange) {
            Ok(()) if exchange.key_id.is_none() => next.run(exchange),
            Ok(()) => Box::pin(self.count(exchange, next)),
            Err(not_run) => Box::pin(std::future::ready(Answer::Refused(not_run))),
        }
    }
}
