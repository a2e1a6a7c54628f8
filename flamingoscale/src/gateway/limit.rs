//! How many tokens a second an organisation may use.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    }, //
};

use futures::future::LocalBoxFuture;

use crate::{
    configuration::Configuration,
    dispatch::run::expected_tokens,
    gateway::{
        answer::{
            Answer,
            End, //
        },
        chain::{
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

/// An organisation that was idle may use the tokens of this time at once.
const BURST_MS: u64 = 2_000;

/// Longest time that a refused caller is sent away for.
const LONGEST_RETRY_MS: u64 = 30_000;

/// The tokens of one organisation at one instance, in thousandths. It may go below zero, because
/// what a request uses is known only when it ends; nothing is admitted until it is paid back.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: i64,
    filled_ms: u64,
}

/// The buckets of all organisations that have a limit.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    buckets: Mutex<HashMap<Arc<str>, Bucket>>,
}

impl LimitTable {
    /// Takes tokens, or says after how many milliseconds there will be some.
    pub(crate) fn take(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let mut buckets = self.lock();
        let full = (tokens_per_s * BURST_MS) as i64;
        let bucket = buckets.entry(organisation.clone()).or_insert(Bucket {
            level: full,
            filled_ms: now_ms,
        });
        let since_ms = now_ms.saturating_sub(bucket.filled_ms);
        let earned = tokens_per_s.saturating_mul(since_ms) as i64;
        bucket.level = bucket.level.saturating_add(earned).min(full);
        bucket.filled_ms = now_ms;
        if bucket.level <= 0 {
            let missing = bucket.level.unsigned_abs() + 1;
            return Err(missing.div_ceil(tokens_per_s.max(1)));
        }
        bucket.level -= (tokens * 1_000) as i64;
        Ok(())
    }

    /// Corrects the estimate of a finished request.
    pub(crate) fn settle(&self, organisation: &Arc<str>, estimate: u64, used: u64) {
        if let Some(bucket) = self.lock().get_mut(organisation) {
            bucket.level += (estimate * 1_000) as i64 - (used * 1_000) as i64;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Bucket>> {
        self.buckets
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Refuses what is over the organisation's limit.
pub(crate) struct Limit {
    instance: Arc<Instance>,
    table: Arc<LimitTable>,
    limits: HashMap<Arc<str>, u64>,
}

impl Limit {
    pub(crate) fn new(configuration: &Arc<Configuration>, shared: &Shared) -> Self {
        let limited = configuration.organisations.iter();
        let limited = limited.filter(|organisation| organisation.tokens_per_s > 0);
        Self {
            instance: shared.instance.clone(),
            table: shared.limits.clone(),
            limits: limited
                .map(|organisation| (organisation.name.clone(), organisation.tokens_per_s))
                .collect(),
        }
    }

    /// This instance's part of the organisation's limit.
    fn tokens_per_s(&self, exchange: &Exchange) -> Option<u64> {
        let whole = self.limits.get(&exchange.organisation)?;
        let members = exchange.view.members.len().max(1) as u64;
        Some(whole.div_ceil(members))
    }
}

impl Filter for Limit {
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let Some(tokens_per_s) = self.tokens_per_s(&exchange) else {
            return next.run(exchange);
        };
        let estimate = expected_tokens(&exchange.body);
        let organisation = exchange.organisation.clone();
        let now_ms = self.instance.now_ms();
        let taken = self
            .table
            .take(&organisation, estimate, tokens_per_s, now_ms);
        if let Err(after_ms) = taken {
            let after_ms = after_ms.min(LONGEST_RETRY_MS);
            let refusal = NotRun::retry_after(Refusal::OverLimit, after_ms);
            return Box::pin(std::future::ready(Answer::Refused(refusal)));
        }
        let table = self.table.clone();
        Box::pin(async move {
            let mut answer = next.run(exchange).await;
            answer.at_end(Box::new(move |end| {
                let used = match end {
                    End::NotRun | End::Repeated => 0,
                    End::Ran { tokens } | End::Left { tokens } => tokens,
                    End::Unknown => estimate,
                };
                table.settle(&organisation, estimate, used);
            }));
            answer
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_limit_holds_over_time_and_settles_estimates() {
        let table = LimitTable::default();
        let organisation: Arc<str> = "org".into();
        let mut used = 0;
        for now_ms in 0..20_000 {
            if table.take(&organisation, 500, 100, now_ms).is_ok() {
                table.settle(&organisation, 500, 40);
                used += 40;
            }
        }
        assert!((2_000..=2_300).contains(&used), "{used}");
    }

    #[test]
    fn a_refusal_says_when_to_come_back() {
        let table = LimitTable::default();
        let organisation: Arc<str> = "org".into();
        assert_eq!(table.take(&organisation, 700, 100, 0), Ok(()));
        let after_ms = table
            .take(&organisation, 1, 100, 0)
            .expect_err("the bucket is 500 tokens below zero");
        assert!(table.take(&organisation, 1, 100, after_ms - 1).is_err());
        assert_eq!(table.take(&organisation, 1, 100, after_ms), Ok(()));
    }
}
