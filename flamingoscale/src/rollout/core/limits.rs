//! Memory limits, which are checked before a step is opened.

use derive_more::{
    Display,
    Error, //
};

use crate::{
    rollout::step::sample_count,
    wire::OpenStep, //
};

/// Upper estimate of the text bytes per token.
const TOKEN_BYTES: u64 = 8;

/// Memory overhead of a sample in addition to its text.
const SAMPLE_BYTES: u64 = 256;

/// Limits of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Maximum memory of one step.
    pub(crate) step_bytes: u64,
    /// Maximum memory of all steps of one coordinator.
    pub(crate) total_bytes: u64,
    /// A step is discarded after this time without a request from its trainer.
    pub(crate) expiry_ms: u64,
    /// Whether stragglers get hedged attempts.
    pub(crate) hedging: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            step_bytes: 96 << 20,
            total_bytes: 160 << 20,
            expiry_ms: 600_000,
            hedging: true,
        }
    }
}

/// Reason why a step can't be opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub(crate) enum TooLarge {
    /// The step exceeds the limit of a single step.
    #[display(
        "the step needs {need_bytes} bytes and {limit_bytes} are allowed: \
         ask for fewer samples or a lower max_tokens, or split it into more steps"
    )]
    Step {
        /// Memory that the step may need.
        need_bytes: u64,
        /// Maximum memory of a step.
        limit_bytes: u64,
    },
    /// The step does not fit next to the steps that are open now.
    #[display(
        "the step needs {need_bytes} bytes and {free_bytes} are free: \
         acknowledge finished steps and send it again"
    )]
    NotEnoughFree {
        /// Memory that the step may need.
        need_bytes: u64,
        /// Memory that is free now.
        free_bytes: u64,
    },
    /// The step has no prompts, or no samples per group.
    #[display("the step has no samples: name at least one prompt and one sample a group")]
    Empty,
}

impl Limits {
    /// Upper bound of the memory that a step can use.
    pub(crate) fn need_bytes(contents: &OpenStep) -> u64 {
        let prompts: u64 = contents.prompts.iter().map(|p| p.len() as u64).sum();
        let sample_bytes = u64::from(contents.max_tokens) * TOKEN_BYTES + SAMPLE_BYTES;
        prompts + u64::from(sample_count(contents)) * sample_bytes
    }

    /// Checks whether a step may be opened while open steps use `used_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`TooLarge`], whose message states the limit and the remedy.
    pub(crate) fn check(&self, contents: &OpenStep, used_bytes: u64) -> Result<(), TooLarge> {
        let need_bytes = Self::need_bytes(contents);
        let limit_bytes = self.step_bytes;
        let free_bytes = self.total_bytes.saturating_sub(used_bytes);
        if sample_count(contents) == 0 {
            return Err(TooLarge::Empty);
        }
        if need_bytes > limit_bytes {
            return Err(TooLarge::Step {
                need_bytes,
                limit_bytes,
            });
        }
        if need_bytes > free_bytes {
            return Err(TooLarge::NotEnoughFree {
                need_bytes,
                free_bytes,
            });
        }
        Ok(())
    }
}
