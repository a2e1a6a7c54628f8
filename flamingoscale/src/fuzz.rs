//! State-machine tests that check the guarantees of the decision cores.
//!
//! Each test applies a random sequence of transitions to the cores, with virtual time and in-memory
//! fakes of everything around them. Every case has its own seed; a failure prints the seed and the
//! command that replays the case. See `docs/PROOF.md`.

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
    CaseOptions,
    Guarantee,
    PlantedFault, //
};

/// Number of cases per state machine unless `FLAMINGOSCALE_FUZZ_CASES` is set.
const DEFAULT_CASES: u64 = 60;

/// Seed of the first case unless `FLAMINGOSCALE_FUZZ_SEED` is set.
const DEFAULT_SEED: u64 = 1;

/// Maximum number of transitions in one case.
const MAX_TRANSITIONS: usize = 160;

/// Number of seeds tried before a planted fault counts as undetected.
const MAX_FAULT_SEEDS: u64 = 5_000;

/// Reads a number from an environment variable; `default` if it is unset or not a number.
fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs the cases of one state machine. The environment sets the first seed and the number of
/// cases; each case uses the next seed.
fn run_cases<T>(name: &str)
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = CaseOptions>,
{
    let first_seed = env_number("FLAMINGOSCALE_FUZZ_SEED", DEFAULT_SEED);
    let case_count = env_number("FLAMINGOSCALE_FUZZ_CASES", DEFAULT_CASES);
    for seed in first_seed..first_seed + case_count {
        if let Err(reason) = run_case::<T>(seed, CaseOptions::default()) {
            panic!(
                "{reason}\nreplay: FLAMINGOSCALE_FUZZ_SEED={seed} FLAMINGOSCALE_FUZZ_CASES=1 \
                 cargo test -p flamingoscale {name}"
            );
        }
    }
}

/// Runs the case of one seed. On failure, returns the reason and the shrunk transition sequence.
fn run_case<T>(seed: u64, options: CaseOptions) -> Result<(), String>
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = CaseOptions>,
{
    let config = Config {
        cases: 1,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = T::Reference::sequential_strategy(MAX_TRANSITIONS);
    let outcome = runner.run(&strategy, |(_, transitions, seen_counter)| {
        let run = || T::test_sequential(config.clone(), options, transitions, seen_counter);
        catch_unwind(AssertUnwindSafe(run))
            .map_err(|panic| TestCaseError::fail(panic_message(&panic)))
    });
    match outcome {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, (_, transitions, _))) => Err(format!(
            "{reason}\nshortest failing history: {transitions:#?}"
        )),
        Err(TestError::Abort(reason)) => Err(reason.to_string()),
    }
}

/// Returns the text of a panic, or an empty string if its payload is not text.
fn panic_message(panic: &Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_default()
}

/// Fails unless the check of `guarantee` detects the planted fault within [`MAX_FAULT_SEEDS`]
/// seeds. All other checks are disabled.
fn assert_fault_found<T>(fault: PlantedFault, guarantee: Guarantee)
where
    T: StateMachineTest,
    T::Reference: ReferenceStateMachine<State = CaseOptions>,
{
    let options = CaseOptions {
        planted_fault: Some(fault),
        only_guarantee: Some(guarantee),
    };
    let failure = (0..MAX_FAULT_SEEDS).find_map(|seed| run_case::<T>(seed, options).err());
    let reason =
        failure.unwrap_or_else(|| panic!("the check of {guarantee:?} did not detect {fault:?}"));
    let expected_text = format!("guarantee {guarantee:?} is violated");
    assert!(
        reason.contains(&expected_text),
        "{fault:?} ended with another failure: {reason}"
    );
}

#[test]
fn fuzz_control() {
    run_cases::<control::ControlTest>("fuzz_control");
}

#[test]
fn fuzz_finds_planted_faults_of_control() {
    for (fault, guarantee) in control::PLANTED_FAULTS {
        assert_fault_found::<control::ControlTest>(fault, guarantee);
    }
}

#[test]
fn fuzz_freshness() {
    run_cases::<freshness::FreshnessTest>("fuzz_freshness");
}

#[test]
fn fuzz_finds_planted_faults_of_freshness() {
    for (fault, guarantee) in freshness::PLANTED_FAULTS {
        assert_fault_found::<freshness::FreshnessTest>(fault, guarantee);
    }
}

#[test]
fn fuzz_traffic() {
    run_cases::<traffic::TrafficTest>("fuzz_traffic");
}

#[test]
fn fuzz_finds_planted_faults_of_traffic() {
    for (fault, guarantee) in traffic::PLANTED_FAULTS {
        assert_fault_found::<traffic::TrafficTest>(fault, guarantee);
    }
}

#[test]
fn fuzz_rollout() {
    run_cases::<rollout::RolloutTest>("fuzz_rollout");
}

#[test]
fn fuzz_finds_planted_faults_of_rollout() {
    for (fault, guarantee) in rollout::PLANTED_FAULTS {
        assert_fault_found::<rollout::RolloutTest>(fault, guarantee);
    }
}
