//! Usage reports as the platform takes them.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use flamingoscale::wire::UsageReport;

/// One report as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRecord {
    /// The report.
    pub report: UsageReport,
    /// Whether the window had been taken with other figures.
    pub conflict: bool,
}

#[derive(Default)]
pub(super) struct Reports {
    pub(super) records: Vec<ReportRecord>,
    accepted: BTreeMap<(Arc<str>, u64), UsageReport>,
}

impl Reports {
    /// Takes a report; returns whether its figures are those that were taken first.
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

    pub(super) fn billed(&self) -> Vec<UsageReport> {
        self.accepted.values().cloned().collect()
    }

    /// Counts reports with a fencing number older than one that another reporter had shown.
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
