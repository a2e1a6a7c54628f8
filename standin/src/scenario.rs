//! Scripted scenarios: what fails when, and what must hold at the end.
//!
//! The language is described in `docs/SCENARIOS.md`; the files are under `scenarios/`.

use std::fmt;

use derive_more::Display;

use crate::demo::{
    self,
    FaultPlan,
    Options,
    Report, //
};

mod parse;

pub use parse::parse;

/// The result of reading or running a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// Why a scenario can't be read, or did not hold.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
#[non_exhaustive]
pub enum ScenarioError {
    /// A line is no statement of the language.
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What was expected there.
        expected: String,
    },
    /// The run did not come to its end.
    Run {
        /// What could not be done.
        reason: String,
    },
    /// The run came to its end, and something did not hold.
    Violated {
        /// Each as a sentence.
        violations: Vec<String>,
    },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Syntax {
                line,
                column,
                expected,
            } => write!(
                formatter,
                "line {line}, column {column}: expected {expected}"
            ),
            ScenarioError::Run { reason } => {
                write!(
                    formatter,
                    "the run did not end ({reason}): see its time line"
                )
            }
            ScenarioError::Violated { violations } => {
                write!(formatter, "{}", violations.join("; "))
            }
        }
    }
}

/// A figure of the report that a scenario may name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Figure {
    /// Steps whose batch came.
    #[display("steps")]
    Steps,
    /// Different samples that came.
    #[display("samples")]
    Samples,
    /// Lookups that callers made.
    #[display("lookups")]
    Lookups,
    /// Calls that ended without their whole answer.
    #[display("unanswered")]
    Unanswered,
    /// Usage windows that the platform took.
    #[display("windows")]
    Windows,
}

/// How a figure is compared.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Comparison {
    /// No other number will do.
    #[display("is")]
    Is,
    /// This or more.
    #[display("at least")]
    AtLeast,
    /// This or less.
    #[display("at most")]
    AtMost,
}

/// One `expect` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// What is looked at.
    pub figure: Figure,
    /// How.
    pub comparison: Comparison,
    /// Against what.
    pub number: u64,
}

/// A whole scenario. The promises of the brief are checked in every one, unasked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// What runs.
    pub options: Options,
    /// What fails when.
    pub plan: FaultPlan,
    /// What must hold besides the promises.
    pub expectations: Vec<Expectation>,
}

impl Scenario {
    /// Runs the scenario on the calling thread.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Run`] when it did not end, [`ScenarioError::Broken`] when a promise or an
    /// expectation did not hold.
    pub fn run(&self) -> Result<Report> {
        let report = demo::run_plan(self.options, self.plan.clone());
        let report = report.map_err(|reason| ScenarioError::Run { reason })?;
        let mut violations = report.violations();
        let expectations = self.expectations.iter();
        violations.extend(expectations.filter_map(|expectation| expectation.violation(&report)));
        if violations.is_empty() {
            Ok(report)
        } else {
            Err(ScenarioError::Violated { violations })
        }
    }
}

impl Expectation {
    /// A sentence that says how the report differs, if it does.
    fn violation(&self, report: &Report) -> Option<String> {
        let found = self.figure.of(report);
        let holds = match self.comparison {
            Comparison::Is => found == self.number,
            Comparison::AtLeast => found >= self.number,
            Comparison::AtMost => found <= self.number,
        };
        let (figure, comparison, number) = (self.figure, self.comparison, self.number);
        (!holds).then(|| format!("{figure} is {found}, expected {comparison} {number}"))
    }
}

impl Figure {
    fn of(self, report: &Report) -> u64 {
        match self {
            Figure::Steps => report.steps,
            Figure::Samples => report.samples_delivered,
            Figure::Lookups => report.lookups,
            Figure::Unanswered => report.unanswered,
            Figure::Windows => report.usage_windows,
        }
    }
}
