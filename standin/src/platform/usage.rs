//! Usage reports that the platform received.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use flamingoscale::wire::UsageReport;

/// Record of one received usage report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRecord {
    /// The report as received.
    pub report: UsageReport,
    /// Whether a report with different figures had been accepted for the same window.
    pub conflict: bool,
}

#[derive(Default)]
pub(super) struct UsageReports {
    pub(super) records: Vec<ReportRecord>,
    accepted: BTreeMap<(Arc<str>, u64), UsageReport>,
}

impl UsageReports {
    /// Records a report. The first report of a window is accepted; returns whether the figures
    /// agree with it.
    pub(super) fn record(&mut self, report: UsageReport) -> bool {
        let window = (report.region.clone(), report.window);
        let first = self
            .accepted
            .entry(window)
            .or_insert_with(|| report.clone());
        let conflict = first.figures != report.figures;
        self.records.push(ReportRecord { report, conflict });
        !conflict
    }

    pub(super) fn billed_reports(&self) -> Vec<UsageReport> {
        self.accepted.values().cloned().collect()
    }

    /// Counts reports whose fencing number is older than one that another reporter used before in
    /// the same region.
    pub(super) fn stale_fencing_reports(&self) -> u64 {
        let mut newest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
        let mut stale = 0;
        for ReportRecord { report, .. } in &self.records {
            let entry = newest.entry(&report.region).or_default();
            if report.fencing < entry.0 && &*report.reporter != entry.1 {
                stale += 1;
            }
            if report.fencing >= entry.0 {
                *entry = (report.fencing, &report.reporter);
            }
        }
        stale
    }

    pub(super) fn conflicts(&self) -> u64 {
        let conflicts = self.records.iter().filter(|record| record.conflict);
        conflicts.count() as u64
    }
}
