//! The daemon of one entry instance: settings, then the library.
//!
//! Exit codes: 0 after a graceful shutdown, 1 when start-up failed, 2 for faulty settings,
//! 130 when a second signal ended it at once.

use std::{
    path::PathBuf,
    process::{
        exit,
        ExitCode, //
    }, //
};

use bpaf::Bpaf;
use flamingoscale::{
    daemon::Daemon,
    logging,
    settings::{
        self,
        Settings, //
    }, //
};
use tokio::signal::unix::{
    signal,
    Signal,
    SignalKind, //
};

/// Exit code of faulty settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code of a second signal.
const EXIT_FORCED: i32 = 130;

/// Longest wait for open requests at a shutdown.
const DRAIN_TIMEOUT_MS: u64 = 600_000;

/// Runs one entry instance of flamingoscale.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The settings file, INI; see examples/instance-1.ini.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings, and say all that is wrong with them.
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprint!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("{}: whole", options.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::install(&settings.instance) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        spdlog::error!("signals can't be caught: check the limits of this process");
        return ExitCode::FAILURE;
    };
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            spdlog::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    logging::mirror(&daemon.instance().timeline);
    spdlog::info!("serving", kv: {
        address = daemon.address().to_string().as_str(),
        peer_address = daemon.peer_address().to_string().as_str(),
    });
    wait_for_any_signal(&mut terminate, &mut interrupt).await;
    spdlog::info!("leaving: waiting for open requests; a second signal ends at once");
    let drained = tokio::task::spawn_blocking(|| daemon.drain(DRAIN_TIMEOUT_MS));
    tokio::select! {
        _ = drained => ExitCode::SUCCESS,
        () = wait_for_any_signal(&mut terminate, &mut interrupt) => exit(EXIT_FORCED),
    }
}

async fn wait_for_any_signal(first: &mut Signal, second: &mut Signal) {
    tokio::select! {
        _ = first.recv() => (),
        _ = second.recv() => (),
    }
}
