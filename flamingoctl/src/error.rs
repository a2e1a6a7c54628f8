//! Errors of commands and their exit codes.

use derive_more::{
    Display,
    Error, //
};

/// A result whose error ends the command.
pub(crate) type Result<T> = std::result::Result<T, CommandError>;

/// The reason why a command failed, which determines the exit code of the process.
#[derive(Debug, Display, Error)]
pub(crate) enum CommandError {
    /// An instance answered with an error status or an unreadable body.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Message from the body of the response.
        message: String,
    },
    /// A file cannot be read or written, or its answers are invalid.
    #[display("{message}")]
    Input {
        /// Description of the fault and its remedy.
        message: String,
    },
    /// No entry instance could be reached.
    #[display("no entry instance answered ({reason}): check --entry and the network")]
    Unreachable {
        /// Address of the entry instance that was tried last, and its error.
        reason: String,
    },
    /// The submission is based on an outdated revision, because another submission was accepted
    /// first.
    #[display(
        "revision {revision} was accepted first: see the difference above, \
         then submit again with --base {revision}"
    )]
    Conflict {
        /// Number of the revision in force.
        revision: u64,
    },
    /// The revision was not in force on all instances before the timeout.
    #[display("in force on {reached} of {all} instances when the wait ended: see `status`")]
    NotInForce {
        /// Number of instances with the revision in force.
        reached: usize,
        /// Number of all known instances.
        all: usize,
    },
}

impl CommandError {
    /// Returns the exit code of the process, as listed in `docs/operators/flamingoctl.md`.
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
