//! Rollouts: steps, groups, samples and batches.
//!
//! A trainer opens a step. The step's coordinator requests every sample from the engines,
//! replicates each finished sample to a second instance, and closes the batch once all samples are
//! replicated. See `docs/design/rollouts.md`.

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
mod placement;
mod recovery;
mod replicator;
mod routes;
mod scoring;
pub(crate) mod step;
mod trainer_params;
pub(crate) mod window;

pub use coordinator::Coordinator;
pub use routes::configure;

/// Fencing number of a step's coordinator. A copy holder rejects messages that carry a lower epoch
/// than the highest one it has seen for the step.
pub(crate) type Epoch = u64;

/// A finished sample as it is replicated to the copy holder, the instance that holds copies of the
/// step for its coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleCopy {
    /// Position in the step: groups in order, then the samples of a group in order.
    pub position: u32,
    /// Number of results accepted for this position so far. A copy with a higher draw number
    /// replaces one with a lower number.
    pub draw: u32,
    /// The sample: its text, tokens, versions and score.
    pub sample: Arc<Sample>,
}

/// Requests between peers: to a trainer's coordinator, or to the copy holder of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Open a step, or confirm that it is open with the same contents.
    Open {
        /// Trainer that opens the step.
        trainer: Arc<str>,
        /// Contents of the step.
        step: Box<OpenStep>,
    },
    /// Return the batch, waiting up to `wait_ms` for it to be complete.
    Fetch {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number, as chosen by the trainer.
        step: u64,
        /// Maximum wait in milliseconds; 0 returns the current state at once.
        wait_ms: u64,
    },
    /// The trainer has received the batch or abandons the step: discard it.
    End {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number.
        step: u64,
    },
    /// A weight version that the sender knows to be recorded in the log.
    Published {
        /// Trainer whose samples must be checked against this version.
        trainer: Arc<str>,
        /// Published version.
        version: u64,
    },
    /// Hold a step for the sender, which coordinates it.
    Hold {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Epoch of the sending coordinator.
        epoch: Epoch,
        /// Contents of the step.
        step: Arc<OpenStep>,
    },
    /// Store copies of finished samples of a held step.
    Copy {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number.
        step: u64,
        /// Epoch of the sending coordinator.
        epoch: Epoch,
        /// Finished samples, split into messages of bounded size.
        samples: Vec<SampleCopy>,
    },
    /// Make the batch final: it consists of the copy with the given draw number (see
    /// [`SampleCopy::draw`]) at each position. If copies are missing, report their positions
    /// instead.
    Seal {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number.
        step: u64,
        /// Epoch of the sending coordinator.
        epoch: Epoch,
        /// Newest weight version at the time the batch was checked for staleness.
        newest_version: u64,
        /// Draw number of each position, in order.
        draws: Vec<u32>,
    },
    /// Discard the copies of a held step.
    Forget {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number.
        step: u64,
    },
    /// The sender takes this step over: stop coordinating it and return everything held of it.
    Recover {
        /// Trainer that owns the step.
        trainer: Arc<str>,
        /// Step number.
        step: u64,
    },
}

/// Replies to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The step is open, either newly or from an earlier request with the same contents.
    Opened,
    /// The current batch without its samples. If it is complete, they follow in [`Reply::Samples`].
    Batch(Box<Batch>),
    /// The request was refused. The text states the remedy.
    Refused(String),
    /// The next part of the batch's samples.
    Samples(Vec<Arc<Sample>>),
    /// The step is already open with different contents.
    Conflict,
    /// No such step is open or held here.
    NotOpen,
    /// The request was carried out.
    Accepted,
    /// A coordinator with a higher epoch has taken the step over.
    Superseded,
    /// Positions for which the copy holder has no copy with the draw number given in
    /// [`Message::Seal`].
    Missing(Vec<u32>),
    /// Contents of a held step. Its samples follow in [`Reply::Copies`]; an empty list of copies
    /// ends the stream.
    Held {
        /// Contents of the step.
        step: Arc<OpenStep>,
        /// Highest epoch that the sender has seen for the step.
        epoch: Epoch,
        /// Newest weight version at closing, if [`Message::Seal`] made the batch final.
        sealed: Option<u64>,
    },
    /// The next part of the held samples.
    Copies(Vec<SampleCopy>),
}

/// The newest weights of a service and the trainer that published them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NewestWeights {
    pub(crate) trainer: Arc<str>,
    pub(crate) newest: NewestVersion,
}

/// Returns the newest weights of a service. All trainers of a service share its engines and number
/// its versions together.
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
