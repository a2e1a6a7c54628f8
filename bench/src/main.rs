//! Experiments and load for flamingoscale.
//!
//! `flamingoscale-bench EXPERIMENT --seed N` prints progress on standard error and JSON lines on
//! standard output. The last line is a summary of the measured figures and those of the baseline.

mod capacity;
mod fairness;
mod faults;
mod gateway;
mod lease;
mod load;
mod membership;
mod orders;
mod output;
mod peers;
mod process;
mod report;
mod rollout;
mod routing;
mod state;
mod timeline;
mod usage;
mod weights;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Measures flamingoscale and compares it with baselines in the same run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Seed of the random number generators of the run.
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Name of the experiment; `list` prints all names.
    #[bpaf(positional("EXPERIMENT"))]
    experiment: String,
}

/// An experiment that can be selected on the command line.
struct Experiment {
    name: &'static str,
    about: &'static str,
    run: fn(u64),
}

const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "usage",
        about: "counts lost and time to the bill, against counts without copies",
        run: usage::run,
    },
    Experiment {
        name: "orders",
        about: "cost and backlog of the order policy against a fixed fleet and thresholds",
        run: orders::run,
    },
    Experiment {
        name: "membership",
        about: "peer probes against heartbeats through the log",
        run: membership::run,
    },
    Experiment {
        name: "lease",
        about: "takeover and time with two holders, against wall-clock timestamps",
        run: lease::run,
    },
    Experiment {
        name: "fairness",
        about:
            "the worst-served organisation while another floods, against first come, first served",
        run: fairness::run,
    },
    Experiment {
        name: "faults",
        about:
            "promised answers under crashes, losses and silence, against calls without the system",
        run: faults::run,
    },
    Experiment {
        name: "gateway",
        about: "added latency and requests a second of one node, against a direct call",
        run: gateway::run,
    },
    Experiment {
        name: "capacity",
        about: "what control costs a node against nodes, endpoints and changes",
        run: capacity::run,
    },
    Experiment {
        name: "rollout",
        about: "trainer idle time, staleness and waste, against synchronous steps",
        run: rollout::run,
    },
    Experiment {
        name: "weights",
        about: "time for a version on all engines, against the store's limit and all at once",
        run: weights::run,
    },
    Experiment {
        name: "peers",
        about: "a call to a peer over h2 and bincode, against HTTP/1.1 and JSON",
        run: peers::run,
    },
    Experiment {
        name: "report",
        about: "gathers docs/measurements/*.jsonl into a table and plots",
        run: report::run,
    },
    Experiment {
        name: state::NAME,
        about: "fold, snapshots, time until a change is in force, racing changes",
        run: state::run,
    },
    Experiment {
        name: "routing",
        about: "cost of a choice as endpoints grow; cache hits against other policies",
        run: routing::run,
    },
    Experiment {
        name: "timeline",
        about: "cost of recording an event",
        run: timeline::run,
    },
];

fn main() -> ExitCode {
    let options = options().run();
    if options.experiment == "list" {
        for experiment in EXPERIMENTS {
            println!("{:<14}{}", experiment.name, experiment.about);
        }
        return ExitCode::SUCCESS;
    }
    let selected = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == options.experiment);
    let Some(experiment) = selected else {
        eprintln!(
            "unknown experiment `{}`: `flamingoscale-bench list` prints all names",
            options.experiment
        );
        return ExitCode::from(2);
    };
    output::progress(experiment.name, "starting");
    (experiment.run)(options.seed);
    ExitCode::SUCCESS
}
