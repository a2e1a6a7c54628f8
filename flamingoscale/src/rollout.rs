//! Rollouts: steps, groups, samples and batches.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::{
    Batch,
    OpenStep, //
};

/// What peers ask of a trainer's coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Open a step.
    Open {
        /// The trainer.
        trainer: Arc<str>,
        /// The step.
        step: Box<OpenStep>,
    },
    /// Give me the batch, waiting for it a while.
    Fetch {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
        /// How long to wait.
        wait_ms: u64,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The step is open.
    Opened,
    /// The batch as it stands.
    Batch(Box<Batch>),
    /// Refused, with a sentence that names the remedy.
    Refused(String),
}
