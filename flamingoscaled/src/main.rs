//! The daemon of one entry instance: loads the settings and runs the `flamingoscale` library.
//!
//! Exit codes: 0 after a graceful shutdown, 1 if start-up fails, 2 for invalid settings, 130 if a
//! second signal interrupts the graceful shutdown.

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

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code if a second signal interrupts the graceful shutdown.
const EXIT_INTERRUPTED: i32 = 130;

/// Maximum time that a graceful shutdown waits for open requests.
const DRAIN_TIMEOUT_MS: u64 = 600_000;

/// Runs one entry instance of flamingoscale.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The settings file in INI format; see examples/instance-1.ini.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings, report all faults and exit.
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
        spdlog::error!("cannot install signal handlers: check the resource limits of this process");
        return ExitCode::FAILURE;
    };
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            spdlog::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    logging::log_timeline(&daemon.instance().timeline);
    spdlog::info!("serving", kv: {
        address = daemon.address().to_string().as_str(),
        peer_address = daemon.peer_address().to_string().as_str(),
    });
    wait_for_any_signal(&mut terminate, &mut interrupt).await;
    spdlog::info!("shutting down: draining open requests; a second signal exits at once");
    let drained = tokio::task::spawn_blocking(|| daemon.drain(DRAIN_TIMEOUT_MS));
    tokio::select! {
        _ = drained => ExitCode::SUCCESS,
        () = wait_for_any_signal(&mut terminate, &mut interrupt) => exit(EXIT_INTERRUPTED),
    }
}

async fn wait_for_any_signal(first: &mut Signal, second: &mut Signal) {
    tokio::select! {
        _ = first.recv() => (),
        _ = second.recv() => (),
    }
}
