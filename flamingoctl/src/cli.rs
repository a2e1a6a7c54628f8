//! What can be said on the command line.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use bpaf::Bpaf;

/// Operates flamingoscale: questionnaire, keys, status, time line.
///
/// Example: `flamingoctl --entry 10.0.0.7:7400 questionnaire submit ours.ini`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// An entry instance to ask; give several and the first that answers is used.
    #[bpaf(
        long,
        env("FLAMINGOSCALE_ENTRY"),
        argument("IP:PORT"),
        some("name an entry instance by --entry IP:PORT")
    )]
    pub(crate) entry: Vec<SocketAddr>,
    /// The operators' token; better given by the environment than here.
    #[bpaf(
        long,
        env("FLAMINGOSCALE_TOKEN"),
        argument("TOKEN"),
        fallback(String::new())
    )]
    pub(crate) token: String,
    /// Print JSON for programs.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Write, check and submit the questionnaire.
    #[bpaf(command)]
    Questionnaire(#[bpaf(external(questionnaire_command))] QuestionnaireCommand),
    /// Grant, withdraw and list callers' keys.
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Show instances, endpoints, leases and weight versions.
    #[bpaf(command)]
    Status,
    /// Show the addresses that callers would be given.
    #[bpaf(command)]
    Entries {
        /// Prefer addresses in this failure domain.
        #[bpaf(long, argument("FAILURE_DOMAIN"))]
        near: Option<String>,
    },
    /// Show events of all instances in the order of cause and effect.
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_query))] TimelineQuery),
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum QuestionnaireCommand {
    /// Ask the questions and write the answers to a file.
    #[bpaf(command)]
    New {
        /// Write the commented template without asking.
        #[bpaf(long)]
        template: bool,
        /// The file to write; it must not be there yet.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check the answers as a whole and name every fault.
    #[bpaf(command)]
    Check {
        /// The answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the configuration that the answers generate.
    #[bpaf(command)]
    Generate {
        /// The answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what submitting the answers would change.
    #[bpaf(command)]
    Diff {
        /// The answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submit the answers and wait until they are in force everywhere.
    #[bpaf(command)]
    Submit {
        /// The revision that the answers were written against; the one in force if not given.
        #[bpaf(long, argument("REVISION"))]
        base: Option<u64>,
        /// The answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the answers in force, or those of an earlier revision, with their revision.
    #[bpaf(command)]
    Show {
        /// An earlier revision, as `history` lists it.
        #[bpaf(long, argument("REVISION"))]
        revision: Option<u64>,
    },
    /// List the last revisions and what each changed.
    #[bpaf(command)]
    History,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeyCommand {
    /// Grant a key; it is shown this once.
    #[bpaf(command)]
    Grant {
        /// Whose key it will be.
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Withdraw a key for good.
    #[bpaf(command)]
    Withdraw {
        /// The key's id, as `key list` shows it.
        #[bpaf(positional("KEY_ID"))]
        key_id: String,
    },
    /// List keys; secrets are never shown.
    #[bpaf(command)]
    List,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct TimelineQuery {
    /// Keep showing new events.
    #[bpaf(long)]
    pub(crate) follow: bool,
    /// Only kinds that start so, as `weights.`
    #[bpaf(long, argument("PREFIX"), fallback(String::new()))]
    pub(crate) kind: String,
    /// Only events of this request or sample.
    #[bpaf(long, argument("ID"))]
    pub(crate) trace: Option<String>,
    /// Write a page that a browser shows.
    #[bpaf(long, argument("FILE"))]
    pub(crate) html: Option<PathBuf>,
}
