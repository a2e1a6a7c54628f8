//! Decides whether and when a failed attempt is retried.

use rand::{
    Rng,
    RngExt as _, //
};

use crate::outcome::{
    NotRun,
    Outcome,
    Refusal, //
};

/// Maximum number of attempts of one request that find their endpoint unreachable.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 8;

/// Maximum number of attempts of one idempotent request whose outcome is unknown.
const MAX_UNKNOWN_ATTEMPTS: u32 = 4;

/// Maximum number of attempts of one request that are refused because the endpoint is overloaded.
const MAX_OVERLOADED_ATTEMPTS: u32 = 3;

/// Upper bound of the backoff before the first retry; it doubles with each retry.
const INITIAL_BACKOFF_MS: u64 = 40;

/// Upper bound of the backoff before any retry.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Number of requests that earn one retry.
const REQUESTS_PER_RETRY: u64 = 5;

/// Maximum saved credit, counted in requests: enough for 100 retries.
const MAX_CREDITS: u64 = 100 * REQUESTS_PER_RETRY;

/// Limits the retries of one instance to a fraction of its requests, so that retries don't amplify
/// a fault that affects all requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credits: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credits: MAX_CREDITS,
        }
    }
}

impl RetryBudget {
    /// Adds credit for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + 1).min(MAX_CREDITS);
    }

    /// Spends credit on one retry. Returns whether there was enough.
    pub fn withdraw(&mut self) -> bool {
        let sufficient = self.credits >= REQUESTS_PER_RETRY;
        if sufficient {
            self.credits -= REQUESTS_PER_RETRY;
        }
        sufficient
    }
}

/// Decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a backoff.
    Retry {
        /// Backoff in milliseconds.
        wait_ms: u64,
    },
    /// Return the outcome to the caller.
    Stop,
}

/// Retry state of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retries {
    unreachable: u32,
    overloaded: u32,
    unknown: u32,
}

impl Retries {
    /// Decides after a failed attempt. `idempotent` states whether the request may run twice;
    /// `remaining_ms` is the time until the caller's deadline.
    pub fn decide<T>(
        &mut self,
        outcome: &Outcome<T>,
        idempotent: bool,
        remaining_ms: u64,
        random: &mut impl Rng,
    ) -> RetryDecision {
        let retry = match outcome {
            Outcome::Ran(_) => false,
            Outcome::NotRun(not_run) => self.should_retry_not_run(not_run),
            Outcome::Unknown(_) => {
                self.unknown += 1;
                idempotent && self.unknown < MAX_UNKNOWN_ATTEMPTS
            }
        };
        let wait_ms = self.wait_ms(random);
        if retry && wait_ms < remaining_ms {
            RetryDecision::Retry { wait_ms }
        } else {
            RetryDecision::Stop
        }
    }

    fn should_retry_not_run(&mut self, not_run: &NotRun) -> bool {
        match not_run.refusal {
            Refusal::Overloaded => {
                self.overloaded += 1;
                self.overloaded < MAX_OVERLOADED_ATTEMPTS
            }
            Refusal::Unreachable(_) => {
                self.unreachable += 1;
                self.unreachable < MAX_UNREACHABLE_ATTEMPTS
            }
            _ => false,
        }
    }

    /// Backoff with full jitter: a random time up to a bound that doubles with each retry.
    fn wait_ms(&self, random: &mut impl Rng) -> u64 {
        let attempts = self.unreachable + self.unknown;
        if attempts == 0 {
            return 0;
        }
        let max_wait_ms = INITIAL_BACKOFF_MS << (attempts - 1).min(10);
        random.random_range(0..=max_wait_ms.min(MAX_BACKOFF_MS))
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
    fn unknown_outcome_is_retried_only_if_idempotent() {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let mut retries = Retries::default();
        let decision = retries.decide(&unknown(), false, 60_000, &mut random);
        assert_eq!(decision, RetryDecision::Stop);
        let mut retries = Retries::default();
        let mut attempts = 1;
        while retries.decide(&unknown(), true, 60_000, &mut random) != RetryDecision::Stop {
            attempts += 1;
        }
        assert_eq!(attempts, MAX_UNKNOWN_ATTEMPTS);
    }

    #[test]
    fn backoff_stays_within_the_callers_deadline() {
        let mut random = ChaCha8Rng::seed_from_u64(2);
        let refusal = Refusal::Unreachable("unreachable".into());
        let outcome: Outcome<()> = Outcome::NotRun(NotRun::retry_after(refusal, 0));
        for remaining_ms in 0..200 {
            let mut retries = Retries::default();
            while let RetryDecision::Retry { wait_ms } =
                retries.decide(&outcome, false, remaining_ms, &mut random)
            {
                assert!(wait_ms < remaining_ms);
            }
        }
    }

    #[test]
    fn budget_limits_retries_to_a_fraction_of_requests() {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.deposit();
            if budget.withdraw() {
                retries += 1;
            }
        }
        assert!(retries <= 10_000 / REQUESTS_PER_RETRY + MAX_CREDITS / REQUESTS_PER_RETRY);
    }
}
