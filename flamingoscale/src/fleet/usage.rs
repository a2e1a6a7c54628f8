//! Counts the requests of each organisation per window of wall-clock time, and settles the windows.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc, //
};

use super::ledger::Ledger;

/// Delay from the end of a window until it is settled. A lookup takes up to 0.8 s, and instances
/// write their counts every second. An earlier settlement is exposed to fewer store outages before
/// the report is due, ten seconds after the end of the window.
pub const SETTLE_DELAY_MS: u64 = 2_400;

/// Windows that ended longer ago than this are ignored.
const MAX_WINDOW_AGE_MS: u64 = 60_000;

/// Requests by organisation.
pub type Counts = Vec<(Arc<str>, u64)>;

/// Counts the requests that started at this instance.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, HashMap<Arc<str>, u64>>,
    changed: bool,
}

impl UsageCounter {
    /// Counts one request.
    pub fn count(&mut self, window: u64, organisation: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        self.changed = true;
    }

    /// Returns the counts of the last two windows if any count changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(u64, Counts)> {
        if !std::mem::take(&mut self.changed) {
            return Vec::new();
        }
        while self.windows.len() > 2 {
            self.windows.pop_first();
        }
        self.windows
            .iter()
            .map(|(window, counts)| (*window, sorted(counts.clone())))
            .collect()
    }
}

/// An action of the lease holder for one usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowAction {
    /// Append the figures as settled.
    Settle(u64, Vec<(Arc<str>, u64)>),
    /// Send the settled figures to the platform.
    Report(u64, Vec<(Arc<str>, u64)>),
}

/// Returns the actions that are due. Only settled figures are sent, so a window is never reported
/// with different figures.
pub fn due_actions(ledger: &Ledger, window_ms: u64, now_unix_ms: u64) -> Vec<WindowAction> {
    let Some(first) = ledger.windows.keys().next().copied() else {
        return Vec::new();
    };
    let last = now_unix_ms.saturating_sub(SETTLE_DELAY_MS) / window_ms;
    let oldest = now_unix_ms.saturating_sub(MAX_WINDOW_AGE_MS) / window_ms;
    (first.max(oldest)..last)
        .filter_map(|window| match ledger.windows.get(&window) {
            Some(state) if state.reported => None,
            Some(state) => Some(match &state.settled {
                Some(counts) => WindowAction::Report(window, counts.clone()),
                None => WindowAction::Settle(window, total(state.counts_by_instance.values())),
            }),
            None => Some(WindowAction::Settle(window, Vec::new())),
        })
        .collect()
}

fn total<'a>(
    counts_by_instance: impl Iterator<Item = &'a Vec<(Arc<str>, u64)>>,
) -> Vec<(Arc<str>, u64)> {
    let mut totals: HashMap<Arc<str>, u64> = HashMap::new();
    for (organisation, count) in counts_by_instance.flatten() {
        *totals.entry(organisation.clone()).or_default() += count;
    }
    sorted(totals)
}

fn sorted(counts: HashMap<Arc<str>, u64>) -> Vec<(Arc<str>, u64)> {
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    counts
}

#[cfg(test)]
mod tests;
