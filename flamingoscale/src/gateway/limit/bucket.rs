//! Token buckets of organisations. A decision core without I/O.

use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Capacity of a bucket, as the time in milliseconds in which it fills: an organisation that was
/// idle may use the tokens of this time at once.
const BURST_MS: u64 = 2_000;

/// Token bucket of one organisation, counted in thousandths of a token. The tokens that a request
/// uses are known only when it ends, so a positive level covers an estimate of any size and may
/// become negative; nothing is lent until the level is positive again.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level_thousandths: i64,
    last_refill_ms: u64,
}

/// Buckets of the organisations whose tokens an instance lends.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl Buckets {
    /// Takes tokens from a bucket. On error, returns the milliseconds until the bucket has tokens
    /// again.
    pub(crate) fn try_acquire(
        &mut self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let capacity_thousandths = to_thousandths(tokens_per_s.saturating_mul(BURST_MS) / 1_000);
        let entry = self.buckets.entry(organisation.clone());
        let bucket = entry.or_insert(Bucket {
            level_thousandths: capacity_thousandths,
            last_refill_ms: now_ms,
        });
        let elapsed_ms = now_ms.saturating_sub(bucket.last_refill_ms);
        let refill_thousandths =
            i64::try_from(tokens_per_s.saturating_mul(elapsed_ms)).unwrap_or(i64::MAX);
        bucket.level_thousandths = bucket
            .level_thousandths
            .saturating_add(refill_thousandths)
            .min(capacity_thousandths);
        bucket.last_refill_ms = now_ms;
        if bucket.level_thousandths <= 0 {
            let missing_thousandths = bucket.level_thousandths.unsigned_abs() + 1;
            return Err(missing_thousandths.div_ceil(tokens_per_s.max(1)));
        }
        bucket.level_thousandths = bucket
            .level_thousandths
            .saturating_sub(to_thousandths(tokens));
        Ok(())
    }

    /// Puts unused tokens back into a bucket.
    pub(crate) fn refund(&mut self, organisation: &Arc<str>, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level_thousandths = bucket
                .level_thousandths
                .saturating_add(to_thousandths(tokens));
        }
    }
}

fn to_thousandths(tokens: u64) -> i64 {
    i64::try_from(tokens.saturating_mul(1_000)).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_stays_within_the_limit_when_estimates_are_refunded() {
        let mut buckets = Buckets::default();
        let organisation: Arc<str> = "org".into();
        let mut used_tokens = 0;
        for now_ms in 0..20_000 {
            if buckets.try_acquire(&organisation, 500, 100, now_ms).is_ok() {
                buckets.refund(&organisation, 460);
                used_tokens += 40;
            }
        }
        assert!((2_000..=2_300).contains(&used_tokens), "{used_tokens}");
    }

    #[test]
    fn a_refusal_returns_the_time_until_tokens_are_available() {
        let mut buckets = Buckets::default();
        let organisation: Arc<str> = "org".into();
        assert_eq!(buckets.try_acquire(&organisation, 700, 100, 0), Ok(()));
        let retry_after_ms = buckets
            .try_acquire(&organisation, 1, 100, 0)
            .expect_err("the bucket is 500 tokens below zero");
        assert!(buckets
            .try_acquire(&organisation, 1, 100, retry_after_ms - 1)
            .is_err());
        assert_eq!(
            buckets.try_acquire(&organisation, 1, 100, retry_after_ms),
            Ok(())
        );
    }
}
