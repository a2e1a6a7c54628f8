//! `flamingoctl`, the command-line tool for operators.
//!
//! Exit codes are listed in `docs/operators/flamingoctl.md`.

mod cli;
mod client;
mod dialogue;
mod entries;
mod error;
mod html;
mod key;
mod output;
mod questionnaire;
mod status;
mod timeline;

use std::process::ExitCode;

use cli::{
    Command,
    Options, //
};
use client::Client;

fn main() -> ExitCode {
    let options = cli::options().run();
    match actix_rt::System::new().block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flamingoctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(options: Options) -> error::Result<()> {
    let client = Client::new(options.entry, options.token);
    match options.command {
        Command::Questionnaire(command) => questionnaire::run(&client, command, options.json).await,
        Command::Key(command) => key::run(&client, command, options.json).await,
        Command::Status => status::run(&client, options.json).await,
        Command::Entries { near } => entries::run(&client, near, options.json).await,
        Command::Timeline(query) => timeline::run(&client, query, options.json).await,
    }
}
