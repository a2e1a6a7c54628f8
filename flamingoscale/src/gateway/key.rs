//! Key filter: authenticates the caller. The API key itself is not passed on beyond this filter.

use std::sync::Arc;

use futures::future::LocalBoxFuture;

use crate::{
    dispatch::WorkBody,
    gateway::{
        answer::{
            Answer,
            RequestEnd, //
        },
        chain::{
            contains_text,
            Exchange,
            Filter,
            Next, //
        },
        SharedState, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Retry delay given to callers while this instance can't tell whether its API keys are up to date,
/// in milliseconds.
const STALE_KEYS_RETRY_MS: u64 = 2_000;

/// Checks the API key, sets the organisation, and removes the key from the request.
pub(crate) struct KeyFilter {
    instance: Arc<Instance>,
}

impl KeyFilter {
    pub(crate) fn new(shared: &SharedState) -> Self {
        Self {
            instance: shared.instance.clone(),
        }
    }

    fn check(&self, exchange: &mut Exchange) -> Result<(), NotRun> {
        let presented = exchange.presented_key.take();
        if let Some(presented) = &presented {
            remove_key(&mut exchange.body, presented)?;
        }
        let open = exchange
            .service
            .as_ref()
            .is_some_and(|service| service.open);
        if open {
            return Ok(());
        }
        let presented = presented.ok_or(NotRun::permanent(Refusal::Unauthorized))?;
        if !self.instance.view.is_fresh(self.instance.now_ms()) {
            return Err(NotRun::retry_after(Refusal::NotFresh, STALE_KEYS_RETRY_MS));
        }
        let entry = exchange.view.keys.authenticate(&presented);
        let entry = entry.ok_or(NotRun::permanent(Refusal::Unauthorized))?;
        exchange.organisation = entry.organisation.clone();
        exchange.key_id = Some(entry.key_id.clone());
        Ok(())
    }
}

impl KeyFilter {
    /// Runs the request, and adds the delivered tokens to the organisation's usage when it ends.
    async fn run_and_count_usage(&self, exchange: Exchange, next: Next<'_>) -> Answer {
        let organisation = exchange.organisation.clone();
        let instance = self.instance.clone();
        let mut answer = next.run(exchange).await;
        answer.on_end(Box::new(move |end| match end {
            RequestEnd::Ran { tokens } => instance.usage.add(&organisation, tokens),
            RequestEnd::Disconnected { tokens } if tokens > 0 => {
                instance.usage.add(&organisation, tokens)
            }
            _ => {}
        }));
        answer
    }
}

/// Removes headers that contain the API key, and refuses a request that has the key in its path,
/// body or prompt.
pub(crate) fn remove_key(body: &mut WorkBody, presented: &str) -> Result<(), NotRun> {
    let contains_key = match body {
        WorkBody::Completion(request) => request.prompt.contains(presented),
        WorkBody::Plain {
            path,
            headers,
            body,
            ..
        } => {
            headers.retain(|(_, value)| !value.contains(presented));
            path.contains(presented) || contains_text(body, presented)
        }
    };
    if contains_key && !presented.is_empty() {
        let message = "the key may stand in the authorization header only";
        return Err(NotRun::permanent(Refusal::Invalid(message.into())));
    }
    Ok(())
}

impl Filter for KeyFilter {
    fn call<'a>(&'a self, mut exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        match self.check(&mut exchange) {
            Ok(()) if exchange.key_id.is_none() => next.run(exchange),
            Ok(()) => Box::pin(self.run_and_count_usage(exchange, next)),
            Err(not_run) => Box::pin(std::future::ready(Answer::Refused(not_run))),
        }
    }
}
