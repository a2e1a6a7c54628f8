//! Stateful tests of the decision cores against an oracle that knows the promises.
//!
//! Random histories run over the cores with virtual time and small fakes. Each case has a seed of
//! its own, which a failure prints. See `docs/PROOF.md`.

use std::{
    any::Any,
    panic::{
        catch_unwind,
        AssertUnwindSafe, //
    }, //
};

use proptest::test_runner::{
    Config,
    RngSeed,
    TestCaseError,
    TestError,
    TestRunner, //
};
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};

mod control;
mod freshness;
mod oracle;
mod rollout;
mod traffic;

use self::oracle::{
    Plant,
    Promise,
    Setting, //
};

/// Cases of each machine when nobody asks for more.
const DEFAULT_CASES: u64 = 60;

/// The first seed when nobody names one.
const DEFAULT_SEED: u64 = 1;

/// Transitions of one case.
const LONGEST_CASE: usize = 160;

/// Seeds in which a planted fault has to be found.
const PLANTED_SEEDS: u64 = 5_000;

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs one machine for as many cases as the environment asks for.
fn run<T>(name: &str)
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = Setting>,
{
    let first = number("FLAMINGOSCALE_FUZZ_SEED", DEFAULT_SEED);
    let cases = number("FLAMINGOSCALE_FUZZ_CASES", DEFAULT_CASES);
    for seed in first..first + cases {
        if let Err(reason) = run_case::<T>(seed, Setting::default()) {
            panic!(
                "{reason}\nreplay: FLAMINGOSCALE_FUZZ_SEED={seed} FLAMINGOSCALE_FUZZ_CASES=1 \
                 cargo test -p flamingoscale {name}"
            );
        }
    }
}

/// Runs the case of one seed; a failure is shrunk and described.
fn run_case<T>(seed: u64, setting: Setting) -> Result<(), String>
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = Setting>,
{
    let config = Config {
        cases: 1,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = T::Reference::sequential_strategy(LONGEST_CASE);
    let outcome = runner.run(&strategy, |(_, transitions, seen)| {
        let run = || T::test_sequential(config.clone(), setting, transitions, seen);
        catch_unwind(AssertUnwindSafe(run)).map_err(|panic| TestCaseError::fail(text_of(&panic)))
    });
    match outcome {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, (_, transitions, _))) => {
            Err(format!("{reason}\nsmallest history: {transitions:#?}"))
        }
        Err(TestError::Abort(reason)) => Err(reason.to_string()),
    }
}

fn text_of(panic: &Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_default()
}

/// Fails unless the check of `promise` finds the planted fault.
fn finds<T>(plant: Plant, promise: Promise)
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = Setting>,
{
    let setting = Setting {
        plant: Some(plant),
        only: Some(promise),
    };
    let found = (0..PLANTED_SEEDS).find_map(|seed| run_case::<T>(seed, setting).err());
    let reason = found.unwrap_or_else(|| panic!("{promise:?} does not find {plant:?}"));
    let name = format!("promise {promise:?} is broken");
    assert!(
        reason.contains(&name),
        "{plant:?} ended otherwise: {reason}"
    );
}

#[test]
fn fuzz_control() {
    run::<control::ControlTest>("fuzz_control");
}

#[test]
fn fuzz_finds_planted_faults_of_control() {
    for (plant, promise) in control::PLANTS {
        finds::<control::ControlTest>(plant, promise);
    }
}

#[test]
fn fuzz_freshness() {
    run::<freshness::FreshnessTest>("fuzz_freshness");
}

#[test]
fn fuzz_finds_planted_faults_of_freshness() {
    for (plant, promise) in freshness::PLANTS {
        finds::<freshness::FreshnessTest>(plant, promise);
    }
}

#[test]
fn fuzz_traffic() {
    run::<traffic::TrafficTest>("fuzz_traffic");
}

#[test]
fn fuzz_finds_planted_faults_of_traffic() {
    for (plant, promise) in traffic::PLANTS {
        finds::<traffic::TrafficTest>(plant, promise);
    }
}

#[test]
fn fuzz_rollout() {
    run::<rollout::RolloutTest>("fuzz_rollout");
}

#[test]
fn fuzz_finds_planted_faults_of_rollout() {
    for (plant, promise) in rollout::PLANTS {
        finds::<rollout::RolloutTest>(plant, promise);
    }
}
