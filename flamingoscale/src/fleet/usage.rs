//! Counts the requests of each organisation per window of wall-clock time, and settles the windows.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ledger::Ledger,
    record::Record, //
};

/// Delay from the end of a window until its counts are settled, that is, fixed by a record in the
/// shared store. The delay must exceed the sum of two times: the duration of a lookup, which is a
/// short direct request and takes up to 0.8 s, and the interval of one second at which instances
/// write their counts. The delay is short so that a store outage is less likely to delay the
/// report, which is due ten seconds after the end of the window.
pub const SETTLE_DELAY_MS: u64 = 2_400;

/// Windows that ended longer ago than this are neither settled nor reported.
const MAX_WINDOW_AGE_MS: u64 = 60_000;

/// Number of partitions of the topic for counts, so that many instances can write at once.
pub const PARTITIONS: u32 = 4;

/// Returns the partition of an instance's counts.
pub fn partition(instance: &str) -> u32 {
    u32::try_from(xxh3_64(instance.as_bytes()) % u64::from(PARTITIONS)).unwrap_or(0)
}

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

/// An action of the lease holder for one usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowAction {
    /// Read the counts of the window with this number and append a
    /// [`WindowSettled`](super::record::Record::WindowSettled) record with their total.
    Settle(u64),
    /// Send the settled counts of the window with this number to the platform.
    Report(u64, Counts),
}

/// Returns the actions that are due. Only settled counts are reported, so a repeated report of a
/// window has the same counts as the first. Windows without requests are settled and reported too,
/// from the start of the oldest process on.
pub fn due_actions(ledger: &Ledger, window_ms: u64, now_unix_ms: u64) -> Vec<WindowAction> {
    let members = ledger.members.values();
    let oldest_start = members.map(|member| member.heartbeat.incarnation).min();
    let first_started = oldest_start.map(|unix_ms| unix_ms / window_ms);
    let first_known = ledger.windows.keys().next().copied();
    let Some(first) = first_started.into_iter().chain(first_known).min() else {
        return Vec::new();
    };
    let last = now_unix_ms.saturating_sub(SETTLE_DELAY_MS) / window_ms;
    let oldest = now_unix_ms.saturating_sub(MAX_WINDOW_AGE_MS) / window_ms;
    (first.max(oldest)..last)
        .filter_map(|window| match ledger.windows.get(&window) {
            Some(state) if state.reported => None,
            Some(state) => Some(match &state.settled {
                Some(counts) => WindowAction::Report(window, counts.clone()),
                None => WindowAction::Settle(window),
            }),
            None => Some(WindowAction::Settle(window)),
        })
        .collect()
}

/// Returns the total of the counts that instances recorded for a window. `records` holds the newest
/// record of each instance and incarnation.
pub fn total_counts(window: u64, records: impl IntoIterator<Item = Record>) -> Counts {
    let mut totals: HashMap<Arc<str>, u64> = HashMap::new();
    for record in records {
        let Record::UsageCounts {
            window: counted,
            counts,
            ..
        } = record
        else {
            continue;
        };
        if counted != window {
            continue;
        }
        for (organisation, count) in counts {
            *totals.entry(organisation).or_default() += count;
        }
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
