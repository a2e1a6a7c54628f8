//! Whether this instance reaches the endpoints at all, as opposed to single endpoints that fail.
//!
//! An instance can lose its links to all endpoints while callers, the store and the other instances
//! still reach it. Failed requests only raise the question; checks on new connections to several
//! endpoints answer it, because open connections may live on. See `docs/design/reach.md`.

/// A check starts if requests wait at endpoints and no endpoint was heard from for this long.
const MAX_SILENCE_MS: u64 = 200;

/// Minimum time between a check that an endpoint answered and the next one.
const CONFIRMATION_LIFETIME_MS: u64 = 400;

/// Pause after a check that no endpoint answered, while the links count as working.
const RECHECK_PAUSE_MS: u64 = 20;

/// Interval between checks while the links count as lost.
const RECOVERY_INTERVAL_MS: u64 = 500;

/// The links count as lost after this many checks in a row that no endpoint answered.
const MAX_FAILED_CHECKS: u32 = 2;

/// A change in what this instance believes of its links to the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No endpoint can be reached any more.
    Lost {
        /// Time since an endpoint was last heard from, in milliseconds.
        silent_ms: u64,
        /// Number of exchanges without a response since the last successful check.
        unanswered: u32,
    },
    /// Endpoints can be reached again.
    Restored {
        /// How long the links counted as lost, in milliseconds.
        lost_ms: u64,
    },
}

/// What this instance knows of its links to the endpoints. All times are in monotonic milliseconds.
#[derive(Debug, Default)]
pub struct Reach {
    /// When any endpoint was last heard from.
    heard_ms: u64,
    /// Exchanges with endpoints that are in progress.
    in_progress: u32,
    /// When the first of the exchanges in progress began.
    waiting_since_ms: u64,
    /// Exchanges that ended without a response since the last successful check.
    unanswered: u32,
    /// Whether a check was asked for since the last one began.
    wanted: bool,
    /// Whether a check is in progress.
    checking: bool,
    /// No check starts before this time.
    next_check_ms: u64,
    /// Checks in a row that no endpoint answered.
    failed_checks: u32,
    /// When the last check began that an endpoint answered.
    confirmed_ms: Option<u64>,
    /// Since when the links count as lost.
    lost_since_ms: Option<u64>,
}

impl Reach {
    /// Records that an exchange with an endpoint begins.
    pub fn began(&mut self, now_ms: u64) {
        if self.in_progress == 0 {
            self.waiting_since_ms = now_ms;
        }
        self.in_progress += 1;
    }

    /// Records that an exchange has ended, regardless of its outcome.
    pub fn ended(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Records that an endpoint was heard from.
    pub fn heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
    }

    /// Records an exchange that ended without a response. It calls for a check.
    pub fn unanswered(&mut self) {
        self.unanswered += 1;
        self.wanted = true;
    }

    /// Asks for a check, unless one has succeeded recently.
    pub fn want_check(&mut self) {
        self.wanted = true;
    }

    /// Returns whether a check should start now, and counts it as in progress.
    pub fn start_check(&mut self, now_ms: u64) -> bool {
        let silent_since_ms = self.heard_ms.max(self.waiting_since_ms);
        let is_silent =
            self.in_progress > 0 && now_ms.saturating_sub(silent_since_ms) >= MAX_SILENCE_MS;
        let is_needed = self.wanted || is_silent || self.failed_checks > 0;
        let starts = is_needed && !self.checking && now_ms >= self.next_check_ms;
        if starts {
            self.checking = true;
            self.wanted = false;
        }
        starts
    }

    /// Records the end of a check that began at `began_ms`, and whether any endpoint answered it.
    pub fn check_ended(&mut self, answered: bool, began_ms: u64, now_ms: u64) -> Option<Change> {
        self.checking = false;
        if answered {
            self.heard_ms = now_ms;
            self.unanswered = 0;
            self.failed_checks = 0;
            self.confirmed_ms = Some(began_ms);
            self.next_check_ms = began_ms + CONFIRMATION_LIFETIME_MS;
            let lost_since_ms = self.lost_since_ms.take()?;
            let lost_ms = now_ms.saturating_sub(lost_since_ms);
            return Some(Change::Restored { lost_ms });
        }
        self.failed_checks += 1;
        if self.failed_checks < MAX_FAILED_CHECKS {
            self.next_check_ms = now_ms + RECHECK_PAUSE_MS;
            return None;
        }
        self.next_check_ms = now_ms + RECOVERY_INTERVAL_MS;
        if self.is_lost() {
            return None;
        }
        self.lost_since_ms = Some(now_ms);
        Some(Change::Lost {
            silent_ms: now_ms.saturating_sub(self.heard_ms),
            unanswered: self.unanswered,
        })
    }

    /// Returns whether this instance believes that it reaches no endpoint.
    pub fn is_lost(&self) -> bool {
        self.lost_since_ms.is_some()
    }

    /// Returns whether an endpoint answered a check that began at `since_ms` or later.
    pub fn is_confirmed_since(&self, since_ms: u64) -> bool {
        self.confirmed_ms
            .is_some_and(|began_ms| began_ms >= since_ms)
    }

    /// Returns whether an endpoint answered a check recently.
    pub fn is_confirmed(&self, now_ms: u64) -> bool {
        self.is_confirmed_since(now_ms.saturating_sub(CONFIRMATION_LIFETIME_MS))
    }
}

#[cfg(test)]
mod tests;
