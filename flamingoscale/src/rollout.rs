//! Rollouts: steps, groups, samples and batches.
//!
//! A trainer opens a step; its coordinator draws every sample from the engines, has each finished
//! one copied to a second instance, and closes the batch. See `docs/design/rollouts.md`.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    view::{
        NewestVersion,
        View, //
    },
    wire::{
        Batch,
        OpenStep,
        Sample, //
    }, //
};

mod answer;
pub(crate) mod arena;
mod attempt;
mod coordinator;
pub(crate) mod copies;
pub(crate) mod core;
mod driver;
mod facts;
mod holder;
mod placement;
mod recovery;
mod routes;
mod scoring;
pub(crate) mod step;
pub(crate) mod window;

pub use coordinator::Coordinator;
pub use routes::configure;

/// The number by which a copy holder tells an old coordinator of a step from a new one.
pub(crate) type Epoch = u64;

/// One finished sample with the draw that it came from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleCopy {
    /// Position in the step: groups in order, samples of a group in order.
    pub position: u32,
    /// Counts the accepted results of this position; a later one replaces an earlier one.
    pub draw: u32,
    /// The sample.
    pub sample: Arc<Sample>,
}

/// What peers ask of a trainer's coordinator, or of the instance that holds its copies.
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
    /// The trainer has the batch, or gives the step up: forget it.
    End {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
    },
    /// A version that the sender knows to be in the log.
    Published {
        /// The trainer whose samples it concerns.
        trainer: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Keep the contents of a step that I coordinate.
    Hold {
        /// The trainer.
        trainer: Arc<str>,
        /// The sender's epoch.
        epoch: Epoch,
        /// The step.
        step: Arc<OpenStep>,
    },
    /// Keep finished samples of a held step.
    Copy {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
        /// The sender's epoch.
        epoch: Epoch,
        /// The samples.
        samples: Vec<SampleCopy>,
    },
    /// The batch is made of exactly these draws; say which of them you lack.
    Seal {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
        /// The sender's epoch.
        epoch: Epoch,
        /// The newest version at closing.
        newest_version: u64,
        /// The draw of each position.
        draws: Vec<u32>,
    },
    /// Forget a held step.
    Forget {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
    },
    /// I take this step over: give me what you have of it, and coordinate it no longer.
    Recover {
        /// The trainer.
        trainer: Arc<str>,
        /// The step's number.
        step: u64,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The step is open.
    Opened,
    /// The batch as it stands; its samples follow in [`Reply::Samples`], then the stream ends.
    Batch(Box<Batch>),
    /// Refused, with a sentence that names the remedy.
    Refused(String),
    /// More samples of the batch.
    Samples(Vec<Arc<Sample>>),
    /// The step is open with other contents.
    Conflict,
    /// No such step is open.
    NotOpen,
    /// Done; what was asked for holds now.
    Accepted,
    /// A coordinator with a higher epoch took the step over.
    Superseded,
    /// These positions are not held with the draw that the seal names.
    Missing(Vec<u32>),
    /// What is held of a step; [`Reply::Copies`] follow.
    Held {
        /// The contents.
        step: Arc<OpenStep>,
        /// The highest epoch seen.
        epoch: Epoch,
        /// The newest version at closing, if the batch was sealed.
        sealed: Option<u64>,
    },
    /// Held samples.
    Copies(Vec<SampleCopy>),
}

/// The newest weights of a service and the trainer that published them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NewestWeights {
    pub(crate) trainer: Arc<str>,
    pub(crate) newest: NewestVersion,
}

/// The newest weights of a service: trainers of one service share its engines and its versions.
pub(crate) fn newest_weights(view: &View, service: &str) -> Option<NewestWeights> {
    let trainers = view.configuration.trainers.iter();
    let of_service = trainers.filter(|trainer| &*trainer.service == service);
    let published = of_service.filter_map(|trainer| {
        let newest = view.versions.get(&trainer.name)?;
        Some(NewestWeights {
            trainer: trainer.name.clone(),
            newest: *newest,
        })
    });
    published.max_by_key(|weights| (weights.newest.version, weights.newest.offset))
}
