//! Token buckets of organisations, as a plain decision core.

use std::{
    collections::HashMap,
    sync::Arc, //
};

/// An organisation that was idle may use the tokens of this time at once.
const BURST_MS: u64 = 2_000;

/// The tokens of one organisation, in thousandths. The level may go below zero, because what a
/// request uses is known only when it ends; nothing is lent until it is paid back.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: i64,
    filled_ms: u64,
}

/// The buckets of the organisations that an instance lends to.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    buckets: HashMap<Arc<str>, Bucket>,
}

impl Buckets {
    /// Takes tokens out, or says after how many milliseconds there will be some.
    pub(crate) fn take(
        &mut self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let full = thousandths(tokens_per_s.saturating_mul(BURST_MS) / 1_000);
        let entry = self.buckets.entry(organisation.clone());
        let bucket = entry.or_insert(Bucket {
            level: full,
            filled_ms: now_ms,
        });
        let since_ms = now_ms.saturating_sub(bucket.filled_ms);
        let earned = i64::try_from(tokens_per_s.saturating_mul(since_ms)).unwrap_or(i64::MAX);
        bucket.level = bucket.level.saturating_add(earned).min(full);
        bucket.filled_ms = now_ms;
        if bucket.level <= 0 {
            let missing = bucket.level.unsigned_abs() + 1;
            return Err(missing.div_ceil(tokens_per_s.max(1)));
        }
        bucket.level = bucket.level.saturating_sub(thousandths(tokens));
        Ok(())
    }

    /// Puts tokens back that were not used.
    pub(crate) fn give_back(&mut self, organisation: &Arc<str>, tokens: u64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level = bucket.level.saturating_add(thousandths(tokens));
        }
    }
}

fn thousandths(tokens: u64) -> i64 {
    i64::try_from(tokens.saturating_mul(1_000)).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_limit_holds_over_time_and_settles_estimates() {
        let mut table = Buckets::default();
        let organisation: Arc<str> = "org".into();
        let mut used = 0;
        for now_ms in 0..20_000 {
            if table.take(&organisation, 500, 100, now_ms).is_ok() {
                table.give_back(&organisation, 460);
                used += 40;
            }
        }
        assert!((2_000..=2_300).contains(&used), "{used}");
    }

    #[test]
    fn a_refusal_says_when_to_come_back() {
        let mut table = Buckets::default();
        let organisation: Arc<str> = "org".into();
        assert_eq!(table.take(&organisation, 700, 100, 0), Ok(()));
        let after_ms = table
            .take(&organisation, 1, 100, 0)
            .expect_err("the bucket is 500 tokens below zero");
        assert!(table.take(&organisation, 1, 100, after_ms - 1).is_err());
        assert_eq!(table.take(&organisation, 1, 100, after_ms), Ok(()));
    }
}
