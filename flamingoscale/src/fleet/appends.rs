//! Decides whether an instance expects the store to take its next append, so that what can't be stored is
//! refused at once.
//!
//! A failed append says something of the next one for a short time only. While appends are repeated, each
//! attempt renews what is known. An instance that has nothing to write would know of the failure for good, so
//! after that time it tries the next append. See `docs/design/shared-store.md`.

/// Time after which a failed append says nothing of the next one.
const STALE_MS: u64 = 300;

/// What an instance knows of its appends to one partition.
#[derive(Clone, Copy, Debug, Default)]
pub struct Appends {
    /// Failures since the last success.
    failures: u64,
    last_failure_ms: u64,
}

impl Appends {
    /// Records an append that failed. Returns whether it is the first one since a success.
    pub fn failed(&mut self, now_ms: u64) -> bool {
        self.failures += 1;
        self.last_failure_ms = now_ms;
        self.failures == 1
    }

    /// Records an append that succeeded. Returns the number of failures before it.
    pub fn succeeded(&mut self) -> u64 {
        std::mem::take(&mut self.failures)
    }

    /// Returns whether the next append is expected to succeed. `is_idle` says that none is waiting or under
    /// way.
    pub fn expects_success(&self, is_idle: bool, now_ms: u64) -> bool {
        let is_stale = now_ms.saturating_sub(self.last_failure_ms) >= STALE_MS;
        self.failures == 0 || (is_idle && is_stale)
    }
}

#[cfg(test)]
mod tests;
