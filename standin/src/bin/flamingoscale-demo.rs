//! Runs flamingoscale with stand-ins for the systems around it in one process, and checks its
//! guarantees.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use bpaf::{
    construct,
    long,
    OptionParser,
    Parser, //
};
use standin::{
    demo::{
        run,
        Options,
        Report, //
    },
    scenario, //
};

/// Command line arguments.
struct Arguments {
    options: Options,
    scenario: Option<PathBuf>,
}

fn arguments() -> OptionParser<Arguments> {
    let seed = long("seed")
        .help("Seed of the fault plan and of the callers' requests")
        .argument::<u64>("N")
        .fallback(1);
    let faults = long("faults")
        .help("Injects a seeded mix of faults")
        .switch();
    let nodes = long("nodes")
        .help("Number of nodes")
        .argument::<usize>("N")
        .guard(|&nodes| nodes > 0, "at least one node is required")
        .fallback(3);
    let steps = long("steps")
        .help("Number of steps that the trainer opens")
        .argument::<u64>("N")
        .fallback(4);
    let show_timeline = long("timeline")
        .help("Prints the merged time line of all nodes at the end")
        .switch();
    let options = construct!(Options {
        seed,
        faults,
        nodes,
        steps,
        show_timeline,
    });
    let scenario = long("scenario")
        .help("Runs a scripted scenario instead; see docs/SCENARIOS.md")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Arguments { options, scenario })
    .to_options()
    .descr("Runs nodes with stand-ins for the platform, engines, callers and a trainer in one process")
    .footer("Progress goes to stderr; the last line on stdout is one JSON object. Exit code 1 if a guarantee was violated")
}

fn run_scenario(file: &Path, show_timeline: bool) -> Result<Report, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let mut scenario = scenario::parse(&text).map_err(|error| error.to_string())?;
    scenario.options.show_timeline = show_timeline;
    scenario.run().map_err(|error| error.to_string())
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let result = match &arguments.scenario {
        Some(file) => run_scenario(file, arguments.options.show_timeline),
        None => run(arguments.options),
    };
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            eprintln!("demo: failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let violations = report.violations();
    for violation in &violations {
        eprintln!("demo: guarantee violated: {violation}");
    }
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("demo: {error}"),
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
