//! Closes usage windows and builds the reports. Only closed windows are ever reported.

use std::sync::Arc;

use crate::{
    lease::Term,
    record::Record,
    state::{
        State,
        ALL_REGIONS, //
    },
    wire::UsageReport, //
};

/// Decides when the holder of the usage lease closes windows.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    open_window: Option<OpenWindow>,
}

/// The window that pending usage will be part of.
#[derive(Clone, Copy, Debug)]
struct OpenWindow {
    number: u64,
    since_ms: u64,
}

impl Windows {
    /// Forgets the current window, since another instance may close windows now.
    pub fn on_lease_lost(&mut self) {
        self.open_window = None;
    }

    /// Returns the record that closes the current window, if its time is up and there is usage to
    /// report. The record covers the usage pending at offset `covers`; the fold rejects the
    /// record if another window has already covered that usage.
    pub fn close(&mut self, now_ms: u64, term: Term, state: &State) -> Option<Record> {
        let usage = state.usage.get(ALL_REGIONS);
        let number = usage.map_or(0, |usage| usage.next_window);
        let open = match self.open_window {
            Some(open) if open.number == number => open,
            _ => OpenWindow {
                number,
                since_ms: now_ms,
            },
        };
        self.open_window = Some(open);
        let length_ms = state.configuration.tolerances.usage_window_ms;
        if now_ms < open.since_ms + length_ms || state.pending_usage.is_empty() {
            return None;
        }
        Some(Record::WindowClosed {
            claim: term.claim,
            region: ALL_REGIONS.into(),
            window: number,
            covers: state.folded,
            figures: state.pending_usage.clone(),
        })
    }
}

/// Returns the region and number of each closed window that the platform has not accepted yet.
pub fn unreported(state: &State) -> Vec<(Arc<str>, u64)> {
    let regions = state.usage.iter();
    regions
        .flat_map(|(region, usage)| {
            let windows = usage.windows.iter();
            let unreported = windows.filter(|(_, window)| !window.reported);
            unreported.map(|(&number, _)| (region.clone(), number))
        })
        .collect()
}

/// Builds the report of a closed window, or returns `None` unless `term` shows that the lease is
/// held.
pub fn report(
    term: Option<Term>,
    state: &State,
    region: &Arc<str>,
    window: u64,
    reporter: &Arc<str>,
) -> Option<UsageReport> {
    let closed = state.usage.get(region)?.windows.get(&window)?;
    Some(UsageReport {
        region: region.clone(),
        window,
        fencing: term?.fencing,
        reporter: reporter.clone(),
        figures: closed.figures.clone(),
    })
}
