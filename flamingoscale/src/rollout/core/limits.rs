//! How much memory steps may take, decided before a step is opened.

use derive_more::{
    Display,
    Error, //
};

use crate::{
    rollout::step::sample_count,
    wire::OpenStep, //
};

/// Bytes of text that a token takes, on the safe side.
const TOKEN_BYTES: u64 = 8;

/// Bytes that a sample takes besides its text.
const SAMPLE_BYTES: u64 = 256;

/// What steps may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Largest step.
    pub(crate) step_bytes: u64,
    /// All steps of one coordinator together.
    pub(crate) total_bytes: u64,
    /// A step that its trainer does not ask for is forgotten after this time.
    pub(crate) expiry_ms: u64,
    /// Whether stragglers get second tries.
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

/// Why a step is not opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub(crate) enum TooLarge {
    /// It could never be opened.
    #[display(
        "the step needs {need_bytes} bytes and {limit_bytes} are allowed: \
         ask for fewer samples or a lower max_tokens, or split it into more steps"
    )]
    Step {
        /// What it needs.
        need_bytes: u64,
        /// What is allowed.
        limit_bytes: u64,
    },
    /// It could be opened once other steps are through.
    #[display(
        "the step needs {need_bytes} bytes and {free_bytes} are free: \
         acknowledge finished steps and send it again"
    )]
    Now {
        /// What it needs.
        need_bytes: u64,
        /// What is free.
        free_bytes: u64,
    },
    /// It asks for nothing.
    #[display("the step has no samples: name at least one prompt and one sample a group")]
    Empty,
}

impl Limits {
    /// The most that a step can come to take.
    pub(crate) fn need_bytes(contents: &OpenStep) -> u64 {
        let prompts: u64 = contents.prompts.iter().map(|p| p.len() as u64).sum();
        let sample_bytes = u64::from(contents.max_tokens) * TOKEN_BYTES + SAMPLE_BYTES;
        prompts + u64::from(sample_count(contents)) * sample_bytes
    }

    /// Decides whether a step may be opened beside those that take `used_bytes`.
    ///
    /// # Errors
    ///
    /// [`TooLarge`], which names the figure and the remedy.
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
            return Err(TooLarge::Now {
                need_bytes,
                free_bytes,
            });
        }
        Ok(())
    }
}
