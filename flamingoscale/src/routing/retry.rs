//! Whether a try that failed is followed by another, and when.

use rand::{
    Rng,
    RngExt as _, //
};

use crate::outcome::{
    NotRun,
    Outcome,
    Refusal, //
};

/// Tries of one request where each was refused without running.
const MOST_REFUSED_TRIES: u32 = 8;

/// Tries of one repeatable request whose outcomes are unknown.
const MOST_UNKNOWN_TRIES: u32 = 4;

/// Endpoints that refuse for want of room before the request is given up at once.
const MOST_FULL_TRIES: u32 = 3;

/// Longest wait before the second try; it doubles from try to try.
const FIRST_WAIT_MS: u64 = 40;

/// Longest wait before any try.
const LONGEST_WAIT_MS: u64 = 1_000;

/// Requests that earn one repeated try.
const REQUESTS_PER_RETRY: u64 = 5;

/// Repeated tries that can be saved up, in requests.
const LARGEST_SAVING: u64 = 100 * REQUESTS_PER_RETRY;

/// Bounds the repeated tries of one instance to a part of its requests, so that retries don't
/// multiply a fault that hits everything.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: LARGEST_SAVING,
        }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + 1).min(LARGEST_SAVING);
    }

    /// Takes one repeated try, if there is one left.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= REQUESTS_PER_RETRY;
        if enough {
            self.saved -= REQUESTS_PER_RETRY;
        }
        enough
    }
}

/// What to do after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again after this time.
    Again {
        /// The wait.
        wait_ms: u64,
    },
    /// Give the outcome to the caller now.
    Stop,
}

/// The tries of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retries {
    refused: u32,
    full: u32,
    unknown: u32,
}

impl Retries {
    /// Decides after a failed try. `idempotent` says whether the request may run twice, and
    /// `left_ms` how long its caller still waits.
    pub fn after<T>(
        &mut self,
        outcome: &Outcome<T>,
        idempotent: bool,
        left_ms: u64,
        random: &mut impl Rng,
    ) -> Next {
        let again = match outcome {
            Outcome::Ran(_) => false,
            Outcome::NotRun(not_run) => self.refused_again(not_run),
            Outcome::Unknown(_) => {
                self.unknown += 1;
                idempotent && self.unknown < MOST_UNKNOWN_TRIES
            }
        };
        let wait_ms = self.wait_ms(random);
        if again && wait_ms < left_ms {
            Next::Again { wait_ms }
        } else {
            Next::Stop
        }
    }

    fn refused_again(&mut self, not_run: &NotRun) -> bool {
        match not_run.refusal {
            Refusal::Overloaded => {
                self.full += 1;
                self.full < MOST_FULL_TRIES
            }
            Refusal::Unreachable(_) => {
                self.refused += 1;
                self.refused < MOST_REFUSED_TRIES
            }
            _ => false,
        }
    }

    /// Full jitter: any time up to a bound that doubles.
    fn wait_ms(&self, random: &mut impl Rng) -> u64 {
        let tries = self.refused + self.unknown;
        if tries == 0 {
            return 0;
        }
        let bound = FIRST_WAIT_MS << (tries - 1).min(10);
        random.random_range(0..=bound.min(LONGEST_WAIT_MS))
    }
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng as _;
    use rand_chacha::ChaCha8Rng;

    use super::*;

    fn unknown() -> Outcome<()> {
        Outcome::Unknown("lost".into())
    }

    #[test]
    fn an_unknown_outcome_is_tried_again_only_where_it_may_run_twice() {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let mut retries = Retries::default();
        let next = retries.after(&unknown(), false, 60_000, &mut random);
        assert_eq!(next, Next::Stop);
        let mut retries = Retries::default();
        let mut tries = 1;
        while retries.after(&unknown(), true, 60_000, &mut random) != Next::Stop {
            tries += 1;
        }
        assert_eq!(tries, MOST_UNKNOWN_TRIES);
    }

    #[test]
    fn waits_stay_within_the_callers_time() {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let away = Refusal::Unreachable("away".into());
        let outcome: Outcome<()> = Outcome::NotRun(NotRun::retry_after(away, 0));
        for left_ms in 0..200 {
            let mut retries = Retries::default();
            while let Next::Again { wait_ms } = retries.after(&outcome, false, left_ms, &mut random)
            {
                assert!(wait_ms < left_ms);
            }
        }
    }

    #[test]
    fn the_budget_bounds_retries_to_a_part_of_requests() {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.earn();
            if budget.take() {
                retries += 1;
            }
        }
        assert!(retries <= 10_000 / REQUESTS_PER_RETRY + LARGEST_SAVING / REQUESTS_PER_RETRY);
    }
}
