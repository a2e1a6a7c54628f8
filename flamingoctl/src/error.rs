//! What can go wrong, and the exit code of each.

use derive_more::{
    Display,
    Error, //
};

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, CommandError>;

/// Why a command did not do what was asked.
#[derive(Debug, Display, Error)]
pub(crate) enum CommandError {
    /// An instance refused.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The instance's own words.
        message: String,
    },
    /// A file or the answers in it are faulty.
    #[display("{message}")]
    Input {
        /// What is wrong and what to do.
        message: String,
    },
    /// No instance answered.
    #[display("no entry instance answered ({reason}): check --entry and the network")]
    Unreachable {
        /// What the last one said.
        reason: String,
    },
    /// Another configuration was accepted first.
    #[display(
        "revision {revision} was accepted first: see the difference above, \
         then submit again with --base {revision}"
    )]
    Conflict {
        /// The revision in force.
        revision: u64,
    },
    /// Not seen in force on all instances in time.
    #[display("in force on {reached} of {all} instances when the wait ended: see `status`")]
    NotInForce {
        /// Instances that have it.
        reached: usize,
        /// All instances.
        all: usize,
    },
}

impl CommandError {
    /// The process's exit code, as listed in `docs/operators/flamingoctl.md`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Refused { .. } => 1,
            CommandError::Input { .. } => 2,
            CommandError::Unreachable { .. } => 3,
            CommandError::Conflict { .. } => 4,
            CommandError::NotInForce { .. } => 5,
        }
    }

    pub(crate) fn input(message: impl Into<String>) -> Self {
        CommandError::Input {
            message: message.into(),
        }
    }
}
