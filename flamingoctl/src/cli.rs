//! Command-line options and subcommands.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use bpaf::Bpaf;

/// Operates flamingoscale: questionnaire, keys, status and timeline.
///
/// Example: `flamingoctl --entry 10.0.0.7:7400 questionnaire submit ours.ini`
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// Address of an entry instance; repeat the option to try several in order until one answers.
    #[bpaf(
        long,
        env("FLAMINGOSCALE_ENTRY"),
        argument("IP:PORT"),
        some("name an entry instance by --entry IP:PORT")
    )]
    pub(crate) entry: Vec<SocketAddr>,
    /// The operators' token; prefer the environment variable over this option.
    #[bpaf(
        long,
        env("FLAMINGOSCALE_TOKEN"),
        argument("TOKEN"),
        fallback(String::new())
    )]
    pub(crate) token: String,
    /// Print machine-readable JSON.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Write, check and submit the questionnaire, and show earlier revisions.
    #[bpaf(command)]
    Questionnaire(#[bpaf(external(questionnaire_command))] QuestionnaireCommand),
    /// Grant, withdraw and list callers' API keys.
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Show instances, endpoints, leases and weight versions.
    #[bpaf(command)]
    Status,
    /// Show the addresses of the entry instances, as callers receive them.
    #[bpaf(command)]
    Entries {
        /// Prefer addresses in this failure domain.
        #[bpaf(long, argument("FAILURE_DOMAIN"))]
        near: Option<String>,
    },
    /// Show events of all instances in causal order.
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_query))] TimelineQuery),
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum QuestionnaireCommand {
    /// Prompt for the answers and write them to a file.
    #[bpaf(command)]
    New {
        /// Write the commented template instead of prompting.
        #[bpaf(long)]
        template: bool,
        /// The file to write; it must not exist yet.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Validate the answers and report every fault.
    #[bpaf(command)]
    Check {
        /// The file with the answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the configuration that the answers generate.
    #[bpaf(command)]
    Generate {
        /// The file with the answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what submitting the answers would change.
    #[bpaf(command)]
    Diff {
        /// The file with the answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submit the answers and wait until they are in force on all instances.
    #[bpaf(command)]
    Submit {
        /// The revision that the answers are based on; defaults to the revision in force.
        #[bpaf(long, argument("REVISION"))]
        base: Option<u64>,
        /// The file with the answers.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the answers in force, or those of an earlier revision, with the revision number.
    #[bpaf(command)]
    Show {
        /// An earlier revision, as listed by `history`.
        #[bpaf(long, argument("REVISION"))]
        revision: Option<u64>,
    },
    /// List recent revisions and the changes of each.
    #[bpaf(command)]
    History,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeyCommand {
    /// Grant a key; its secret is shown only once.
    #[bpaf(command)]
    Grant {
        /// The organisation that owns the key.
        #[bpaf(positional("ORGANISATION"))]
        organisation: String,
    },
    /// Withdraw a key permanently.
    #[bpaf(command)]
    Withdraw {
        /// The id of the key, as shown by `key list`.
        #[bpaf(positional("KEY_ID"))]
        key_id: String,
    },
    /// List keys; secrets are never shown.
    #[bpaf(command)]
    List,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct TimelineQuery {
    /// Keep running and print new events.
    #[bpaf(long)]
    pub(crate) follow: bool,
    /// Show only events whose kind starts with this prefix, such as `weights.`
    #[bpaf(long, argument("PREFIX"), fallback(String::new()))]
    pub(crate) kind: String,
    /// Show only events of this request or sample.
    #[bpaf(long, argument("ID"))]
    pub(crate) trace: Option<String>,
    /// Write the events as an HTML page to this file instead of printing them.
    #[bpaf(long, argument("FILE"))]
    pub(crate) html: Option<PathBuf>,
}
