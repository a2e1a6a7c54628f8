//! Shows the whole path in one process and judges it.

use std::process::ExitCode;

use bpaf::{
    construct,
    long,
    OptionParser,
    Parser, //
};
use standin::demo::{
    run,
    Options, //
};

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Decides the faults and what callers ask")
        .argument::<u64>("N")
        .fallback(1);
    let faults = long("faults")
        .help("Injects a seeded mix of failures")
        .switch();
    let nodes = long("nodes")
        .help("How many nodes run")
        .argument::<usize>("N")
        .guard(|&nodes| nodes > 0, "at least one node has to run")
        .fallback(3);
    let steps = long("steps")
        .help("How many steps the trainer opens")
        .argument::<u64>("N")
        .fallback(4);
    let show_timeline = long("timeline")
        .help("Prints the merged time line of all nodes at the end")
        .switch();
    construct!(Options {
        seed,
        faults,
        nodes,
        steps,
        show_timeline,
    })
    .to_options()
    .descr("The whole path in one process: platform, engines, nodes, callers and a trainer")
    .footer("Progress goes to stderr; the last line on stdout is one JSON object. Exit code 1 if a promise broke")
}

fn main() -> ExitCode {
    let options = options().run();
    let report = match run(options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("demo: failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let broken = report.broken_promises();
    for promise in &broken {
        eprintln!("demo: broken promise: {promise}");
    }
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("demo: {error}"),
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
