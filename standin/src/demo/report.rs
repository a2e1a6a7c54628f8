//! The last line of a run.

use serde::Serialize;

use crate::trainer::BatchCheck;

/// What a run came to, counted by stand-ins, callers and trainers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The run's seed.
    pub seed: u64,
    /// Nodes that ran.
    pub nodes: u64,
    /// Steps whose batch came.
    pub steps: u64,
    /// Samples that were asked for.
    pub samples_expected: u64,
    /// Different samples that came.
    pub samples_delivered: u64,
    /// Samples that came twice or that nobody asked for.
    pub duplicates: u64,
    /// Samples over the staleness bound.
    pub stale: u64,
    /// Samples whose versions or text differ from the engines' records.
    pub versions_wrong: u64,
    /// Lookups that callers made.
    pub lookups: u64,
    /// Lookups with a wrong answer.
    pub lookups_wrong: u64,
    /// Refusals that said "not run" of what an endpoint ran.
    pub not_run_false: u64,
    /// Lookups that ran more than once.
    pub ran_twice: u64,
    /// Usage windows that the platform took.
    pub usage_windows: u64,
    /// Reports with other figures, or from a reporter that had been replaced.
    pub usage_conflicts: u64,
    /// Requests that reached an endpoint with a caller's key.
    pub keys_seen_by_endpoints: u64,
    /// Calls that ended without their whole answer.
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

    /// Notes a broken promise that has no figure of its own.
    pub(super) fn add_violation(&mut self, description: String) {
        self.violations.push(description);
    }

    /// Every promise that broke, as sentences.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        if self.samples_delivered != self.samples_expected {
            let missing = self.samples_expected.abs_diff(self.samples_delivered);
            violations.push(format!("{missing} samples are missing"));
        }
        let figures = [
            (self.duplicates, "samples came twice"),
            (self.stale, "samples were stale"),
            (self.versions_wrong, "samples named wrong versions"),
            (self.lookups_wrong, "lookups had a wrong answer"),
            (self.not_run_false, "refusals said \"not run\" falsely"),
            (self.ran_twice, "lookups ran twice"),
            (self.usage_conflicts, "usage reports were in conflict"),
            (
                self.keys_seen_by_endpoints,
                "requests showed a key to an endpoint",
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
