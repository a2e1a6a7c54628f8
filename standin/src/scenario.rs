//! Scripted scenarios: a timed plan of faults, and expectations that are checked at the end.
//!
//! The language is described in `docs/SCENARIOS.md`; the scenario files are in `scenarios/`.

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

/// Result of parsing or running a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// Error of parsing or running a scenario.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Error)]
#[non_exhaustive]
pub enum ScenarioError {
    /// A line is not a valid statement.
    Syntax {
        /// The line number, starting at 1.
        line: usize,
        /// The column, starting at 1.
        column: usize,
        /// Description of what was expected at that position.
        expected: String,
    },
    /// The run could not be completed.
    Run {
        /// Description of the operation that failed.
        reason: String,
    },
    /// The run was completed, but a guarantee or an expectation was violated.
    Violated {
        /// One sentence for each violation.
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
                    "the run could not be completed ({reason}): see its time line"
                )
            }
            ScenarioError::Violated { violations } => {
                write!(formatter, "{}", violations.join("; "))
            }
        }
    }
}

/// A figure of the report that an `expect` line can check.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Figure {
    /// Steps whose batch was delivered.
    #[display("steps")]
    Steps,
    /// Distinct samples that were delivered.
    #[display("samples")]
    Samples,
    /// Lookups that callers sent.
    #[display("lookups")]
    Lookups,
    /// Calls that did not end with a complete, correct response.
    #[display("unanswered")]
    Unanswered,
    /// Usage windows that the platform accepted.
    #[display("windows")]
    Windows,
}

/// Comparison of a figure with a number.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Comparison {
    /// The figure equals the number.
    #[display("is")]
    Is,
    /// The figure is greater than or equal to the number.
    #[display("at least")]
    AtLeast,
    /// The figure is less than or equal to the number.
    #[display("at most")]
    AtMost,
}

/// An `expect` line of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The figure to check.
    pub figure: Figure,
    /// The comparison to apply.
    pub comparison: Comparison,
    /// The number to compare with.
    pub number: u64,
}

/// A parsed scenario. The service's guarantees are checked in every scenario, without an `expect`
/// line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Size, seed and length of the run.
    pub options: Options,
    /// The faults to inject, with their times.
    pub plan: FaultPlan,
    /// Expectations in addition to the guarantees.
    pub expectations: Vec<Expectation>,
}

impl Scenario {
    /// Runs the scenario on the calling thread and returns its report.
    ///
    /// # Errors
    ///
    /// Returns [`ScenarioError::Run`] if the run could not be completed, and
    /// [`ScenarioError::Violated`] if a guarantee or an expectation was violated.
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
    /// Returns a sentence that describes how the report violates the expectation, if it does.
    fn violation(&self, report: &Report) -> Option<String> {
        let actual = self.figure.value_in(report);
        let holds = match self.comparison {
            Comparison::Is => actual == self.number,
            Comparison::AtLeast => actual >= self.number,
            Comparison::AtMost => actual <= self.number,
        };
        let (figure, comparison, number) = (self.figure, self.comparison, self.number);
        (!holds).then(|| format!("{figure} is {actual}, expected {comparison} {number}"))
    }
}

impl Figure {
    fn value_in(self, report: &Report) -> u64 {
        match self {
            Figure::Steps => report.steps,
            Figure::Samples => report.samples_delivered,
            Figure::Lookups => report.lookups,
            Figure::Unanswered => report.unanswered,
            Figure::Windows => report.usage_windows,
        }
    }
}
