//! Runs every file under `scenarios/` against the stand-ins, and checks the errors of the scenario
//! parser.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::Mutex,
    thread, //
};

use standin::scenario::{
    parse,
    ScenarioError, //
};

/// Number of scenarios that run concurrently.
const PARALLEL_SCENARIOS: usize = 4;

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let entries = fs::read_dir(folder).expect("the scenarios folder should exist");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("the folder entry should be readable").path())
        .collect();
    paths.sort();
    paths
}

#[test]
fn every_scenario_passes() {
    let pending = Mutex::new(scenario_files());
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_SCENARIOS {
            scope.spawn(|| loop {
                let next = pending
                    .lock()
                    .expect("the mutex should not be poisoned")
                    .pop();
                let Some(file) = next else {
                    return;
                };
                if let Err(error) = run(&file) {
                    let name = file.display();
                    let failure = format!("{name}: {error}");
                    failures
                        .lock()
                        .expect("the mutex should not be poisoned")
                        .push(failure);
                }
            });
        }
    });
    let failures = failures
        .into_inner()
        .expect("the mutex should not be poisoned");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn run(file: &Path) -> Result<(), ScenarioError> {
    let text = fs::read_to_string(file).expect("the scenario should be a text file");
    parse(&text)?.run().map(|_| ())
}

#[test]
fn syntax_errors_report_line_and_column() {
    let cases = [
        ("nodes 3\nfly away", 2, 1, "nodes"),
        ("at 5m platform away for 1s", 1, 5, "time"),
        ("at 1s moon away for 1s", 1, 7, "platform"),
        ("  at 1s engine x silent for 1s", 1, 16, "whole number"),
        ("at 1s node 1 hidden", 1, 14, "killed"),
        ("expect samples is", 1, 18, ""),
        ("expect steps is 2 or so", 1, 18, "end of the line"),
    ];
    for (text, line, column, hint) in cases {
        let error = parse(text).expect_err("the text should not parse");
        let ScenarioError::Syntax {
            line: found_line,
            column: found_column,
            ref expected,
        } = error
        else {
            panic!("{text}: {error}");
        };
        assert_eq!(
            (found_line, found_column),
            (line, column),
            "{text}: {error}"
        );
        assert!(expected.contains(hint), "{text}: {error}");
    }
}

#[test]
fn unmet_expectation_fails_the_scenario() {
    let scenario = parse("steps 1\nexpect samples is 17").expect("the scenario should parse");
    let error = scenario
        .run()
        .expect_err("one step should have 16 samples, not 17");
    assert_eq!(error.to_string(), "samples is 16, expected is 17");
}
