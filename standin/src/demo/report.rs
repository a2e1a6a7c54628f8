//! The report of a run, printed as the last line of its output.

use serde::Serialize;

use crate::trainer::BatchCheck;

/// Results of a run, as counted by stand-ins, callers and trainers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// Number of nodes at the start.
    pub nodes: u64,
    /// Steps whose batch was delivered.
    pub steps: u64,
    /// Samples that were requested.
    pub samples_expected: u64,
    /// Distinct samples that were delivered.
    pub samples_delivered: u64,
    /// Samples that were delivered more than once or never requested.
    pub duplicates: u64,
    /// Samples that exceeded the staleness bound.
    pub stale: u64,
    /// Samples whose weight versions or text differ from the engines' records.
    pub versions_wrong: u64,
    /// Lookups that callers sent.
    pub lookups: u64,
    /// Lookup attempts with an incorrect response.
    pub lookups_wrong: u64,
    /// Attempts that were rejected as "not run" although an endpoint ran them.
    pub not_run_false: u64,
    /// Lookup attempts that ran more than once.
    pub ran_twice: u64,
    /// Usage windows that the platform accepted.
    pub usage_windows: u64,
    /// Usage reports that contradicted an accepted one or had a stale fencing number.
    pub usage_conflicts: u64,
    /// Requests that carried a caller's API key to an endpoint.
    pub keys_seen_by_endpoints: u64,
    /// Calls that did not end with a complete, correct response.
    #[serde(skip)]
    pub unanswered: u64,
    #[serde(skip)]
    violations: Vec<String>,
}

impl Report {
    pub(super) fn new(seed: u64, nodes: u64) -> Self {
        Self {
            seed,
            nodes,
            ..Self::default()
        }
    }

    pub(super) fn add_batch(&mut self, check: BatchCheck) {
        self.steps += 1;
        self.samples_expected += check.expected;
        self.samples_delivered += check.delivered;
        self.duplicates += check.duplicates;
        self.stale += check.stale;
        self.versions_wrong += check.versions_wrong + check.texts_wrong;
    }

    /// Adds a violated guarantee that no field of the report counts.
    pub(super) fn add_violation(&mut self, description: String) {
        self.violations.push(description);
    }

    /// Returns a sentence for each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        if self.samples_delivered != self.samples_expected {
            let missing = self.samples_expected.abs_diff(self.samples_delivered);
            violations.push(format!("{missing} samples are missing"));
        }
        let figures = [
            (
                self.duplicates,
                "samples were delivered more than once or not requested",
            ),
            (self.stale, "samples were stale"),
            (
                self.versions_wrong,
                "samples had incorrect versions or text",
            ),
            (self.lookups_wrong, "lookups had an incorrect response"),
            (
                self.not_run_false,
                "refusals said \"not run\" although the request ran",
            ),
            (self.ran_twice, "lookups ran twice"),
            (
                self.usage_conflicts,
                "usage reports contradicted an accepted one or had a stale fencing number",
            ),
            (
                self.keys_seen_by_endpoints,
                "requests carried a caller's key to an endpoint",
            ),
        ];
        for (count, description) in figures {
            if count > 0 {
                violations.push(format!("{count} {description}"));
            }
        }
        violations
    }
}
