//! Counts the requests of each organisation per window of wall-clock time, and settles the windows.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc, //
};

use super::ledger::Ledger;

/// Delay from the end of a window until its counts are settled, that is, fixed by a record in the
/// shared store. The delay must exceed the sum of two times: the duration of a lookup, which is a
/// short direct request and takes up to 0.8 s, and the interval of one second at which instances
/// write their counts. The delay is short so that a store outage is less likely to delay the
/// report, which is due ten seconds after the end of the window.
pub const SETTLE_DELAY_MS: u64 = 2_400;

/// Windows that ended longer ago than this are neither settled nor reported.
const MAX_WINDOW_AGE_MS: u64 = 60_000;

/// Requests by organisation.
pub type Counts = Vec<(Arc<str>, u64)>;

/// Counts the requests that started at this instance, by window and organisation.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, HashMap<Arc<str>, u64>>,
    changed: bool,
}

impl UsageCounter {
    /// Counts one request of an organisation in the window with the given number.
    pub fn count(&mut self, window: u64, organisation: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        self.changed = true;
    }

    /// Returns the counts of the last two windows if any count changed since the last call, and an
    /// empty list otherwise. Counts of earlier windows are dropped.
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

/// An action of the lease holder for one usage window. Both variants hold the number of the window
/// and its counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowAction {
    /// Append a [`WindowSettled`](super::record::Record::WindowSettled) record with these counts.
    Settle(u64, Vec<(Arc<str>, u64)>),
    /// Send the settled counts to the platform.
    Report(u64, Vec<(Arc<str>, u64)>),
}

/// Returns the actions that are due. Only settled counts are reported, so a repeated report of a
/// window has the same counts as the first. Windows without requests are settled and reported too.
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
