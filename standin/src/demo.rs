//! An end-to-end run in one process, with stand-ins, nodes, callers, a trainer and an operator.
//!
//! The report is based only on what stand-ins, callers and trainers observed, never on what the
//! nodes report about themselves.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    timeline,
    wire::{
        OpenStep,
        PublishVersion, //
    }, //
};

mod callers;
mod faults;
mod nodes;
mod operator;
mod report;
mod world;

pub use faults::{
    FaultPlan,
    PlannedFault,
    Target, //
};
pub use report::Report;

use callers::{
    CallResults,
    Callers, //
};
use nodes::Nodes;
use operator::Operator;
use world::World;

/// Timeout of each operation, with an allowance for faults.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(40);

/// Bearer token of the demo's operator.
const OPERATOR_TOKEN: &str = "demo-operator-token";

/// Number of prompts in one step; each yields one group of samples.
const PROMPTS_PER_STEP: usize = 4;
const SAMPLES_PER_GROUP: u16 = 4;
const SAMPLE_TOKENS: u32 = 40;

/// Maximum number of versions that a sample may be behind the newest one.
const STALENESS_BOUND: u64 = 1;

/// Size of each weight version.
const VERSION_BYTES: u64 = 2_000_000;

/// Options of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of the fault plan and of the callers' requests.
    pub seed: u64,
    /// Whether to inject a seeded mix of faults and to tolerate calls without a correct response.
    pub faults: bool,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of steps that the trainer opens.
    pub steps: u64,
    /// Whether to print the merged time line of all nodes at the end.
    pub show_timeline: bool,
}

/// Prints a progress message to standard error.
pub(crate) fn progress(text: &str) {
    eprintln!("demo: {text}");
}

/// Runs the demo on the calling thread and returns its report.
///
/// # Errors
///
/// Returns a description of the operation that failed, if the run could not be completed. Violated
/// guarantees are in the report instead.
pub fn run(options: Options) -> Result<Report, String> {
    let plan = options.faults.then(|| FaultPlan::mixed(options.seed));
    actix_rt::System::new().block_on(run_with_plan(options, plan))
}

/// Like [`run`], with the given fault plan.
///
/// # Errors
///
/// Returns the same errors as [`run`].
pub fn run_plan(options: Options, plan: FaultPlan) -> Result<Report, String> {
    actix_rt::System::new().block_on(run_with_plan(options, Some(plan)))
}

async fn run_with_plan(options: Options, plan: Option<FaultPlan>) -> Result<Report, String> {
    let started = Instant::now();
    let world = World::start().map_err(|error| error.to_string())?;
    let nodes = Rc::new(Nodes::start(options.nodes, &world)?);
    progress(&format!("{} nodes are up", options.nodes));
    let operator = Operator::new(nodes.addresses());
    let result = run_workload(&options, plan, &world, &nodes, &operator).await;
    if options.show_timeline {
        show_timeline(&operator, &nodes).await;
    }
    nodes.stop_all().await;
    let elapsed_s = started.elapsed().as_secs_f64();
    progress(&format!("the run took {elapsed_s:.1} s"));
    result
}

/// Configures the service, runs callers and a trainer against it, and checks the results.
async fn run_workload(
    options: &Options,
    plan: Option<FaultPlan>,
    world: &Rc<World>,
    nodes: &Rc<Nodes>,
    operator: &Operator,
) -> Result<Report, String> {
    operator.wait_for("live", OPERATION_TIMEOUT).await?;
    let revision = operator
        .submit(&world::questionnaire(), OPERATION_TIMEOUT)
        .await?;
    operator.wait_for("ready", OPERATION_TIMEOUT).await?;
    progress(&format!("questionnaire applied as revision {revision}"));
    let keys = operator.grant_keys(OPERATION_TIMEOUT).await?;
    progress("granted a key to each organisation");

    let callers = Callers::start(&keys, nodes.addresses(), options.seed);
    let faults = plan.map(|plan| faults::inject(plan, world.clone(), nodes.clone()));
    let mut report = Report::new(options.seed, options.nodes as u64);
    train(options, world, nodes, &keys.trainer, &mut report).await?;
    let entries = nodes.addresses();
    let withdrawal_ms = callers::withdraw_key_in_use(operator, &entries, options.faults).await?;
    progress(&format!(
        "stream ended {withdrawal_ms} ms after its key was withdrawn"
    ));
    match faults {
        Some(faults) => drop(faults.await),
        None if options.nodes > 1 => nodes.drain(options.nodes - 1).await,
        None => {}
    }
    let results = callers.finish().await;
    wait_for_usage(world).await?;
    count_outcomes(world, &results, &mut report);
    check_correctness(&results, options.faults, &mut report);
    Ok(report)
}

/// Publishes versions, opens steps and verifies their batches.
async fn train(
    options: &Options,
    world: &Rc<World>,
    nodes: &Nodes,
    key: &Arc<str>,
    report: &mut Report,
) -> Result<(), String> {
    let entries = nodes.addresses();
    let mut trainer = crate::trainer::TrainerStandin::new(world::TRAINER, key.clone(), entries);
    for step in 1..=options.steps {
        let version = PublishVersion {
            version: step,
            bytes: VERSION_BYTES,
        };
        let store = world.store.address();
        trainer.publish(store, version, OPERATION_TIMEOUT).await?;
        progress(&format!("published weight version {step}"));
        let request = step_request(options.seed, step);
        trainer.open(&request, OPERATION_TIMEOUT).await?;
        let batch = trainer.fetch(step, OPERATION_TIMEOUT).await?;
        let check = crate::trainer::check_batch(&request, &batch, &world.engines());
        progress(&format!(
            "step {step}: {} of {} samples, newest version {}",
            check.delivered, check.expected, batch.newest_version
        ));
        report.add_batch(check);
        trainer.acknowledge(step, OPERATION_TIMEOUT).await?;
    }
    Ok(())
}

fn step_request(seed: u64, step: u64) -> OpenStep {
    let prompts =
        (0..PROMPTS_PER_STEP).map(|group| format!("Groomer log {seed}/{step}/{group}").into());
    OpenStep {
        step,
        prompts: prompts.collect(),
        samples_per_group: SAMPLES_PER_GROUP,
        max_tokens: SAMPLE_TOKENS,
        staleness_bound: STALENESS_BOUND,
        deadline_ms: 20_000,
        scoring: None,
    }
}

async fn wait_for_usage(world: &World) -> Result<(), String> {
    let started = Instant::now();
    while world.platform.billed_reports().is_empty() {
        if started.elapsed() > OPERATION_TIMEOUT {
            return Err("no usage window was reported within the timeout".to_owned());
        }
        crate::faults::sleep_ms(50).await;
    }
    progress("the platform accepted a usage window");
    Ok(())
}

/// Adds the stand-ins' and callers' observations to the report.
fn count_outcomes(world: &World, results: &CallResults, report: &mut Report) {
    let runs = world.runs_by_id();
    report.lookups = results.lookups;
    report.lookups_wrong = results.lookups_wrong;
    report.not_run_false = results
        .not_run_ids
        .iter()
        .filter(|id| runs.has_run(id))
        .count() as u64;
    report.ran_twice = runs.lookups_ran_twice();
    report.usage_windows = world.platform.billed_reports().len() as u64;
    report.usage_conflicts =
        world.platform.usage_conflicts() + world.platform.stale_fencing_reports();
    report.keys_seen_by_endpoints = world.requests_with_key();
    let stale_fencing_orders = world.platform.stale_fencing_orders();
    if stale_fencing_orders > 0 {
        report.add_violation(format!(
            "{stale_fencing_orders} orders came from a process that had lost its lease to another"
        ));
    }
}

/// Checks that every call got a correct response. With faults, a call may also end without a
/// successful response, but never with an incorrect one.
fn check_correctness(results: &CallResults, faults: bool, report: &mut Report) {
    let calls = results.completions + results.lookups;
    let correct = results.completions_correct + results.lookups_correct;
    report.unanswered = calls - correct;
    progress(&format!(
        "{correct} of {calls} calls got a correct response ({} completions, {} lookups)",
        results.completions, results.lookups
    ));
    for failed_call in &results.failed_calls {
        progress(&format!("no correct response: {failed_call}"));
    }
    if results.completions_wrong > 0 {
        let wrong = results.completions_wrong;
        report.add_violation(format!("{wrong} completions had an incorrect response"));
    }
    if !faults && correct != calls {
        report.add_violation(format!("{} calls had no correct response", calls - correct));
    }
}

async fn show_timeline(operator: &Operator, nodes: &Nodes) {
    let timelines = operator.timelines(&nodes.addresses()).await;
    let events = timeline::merge(timelines);
    let first_ms = events.first().map_or(0, |event| event.stamp.wall_ms);
    for event in &events {
        let at_s = (event.stamp.wall_ms - first_ms) as f64 / 1_000.0;
        let fields: Vec<String> = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let (process, kind) = (&event.process, &event.kind);
        eprintln!(
            "{at_s:8.3} {process:4} {kind:28} {} {}",
            event.trace,
            fields.join(" ")
        );
    }
}
