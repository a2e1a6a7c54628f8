//! Closing windows and reporting what was closed, never anything else.

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

/// When the holder of the lease closes windows.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    open: Option<OpenWindow>,
}

/// The window that counts now go into.
#[derive(Clone, Copy, Debug)]
struct OpenWindow {
    number: u64,
    since_ms: u64,
}

impl Windows {
    /// Another instance may close windows now.
    pub fn lost_lease(&mut self) {
        self.open = None;
    }

    /// The record that closes the window, if it is over and anything was counted. Its figures are
    /// those of the fold at `covers`; the fold drops the record if they were closed before.
    pub fn close(&mut self, now_ms: u64, term: Term, state: &State) -> Option<Record> {
        let usage = state.usage.get(ALL_REGIONS);
        let number = usage.map_or(0, |usage| usage.next_window);
        let open = match self.open {
            Some(open) if open.number == number => open,
            _ => OpenWindow {
                number,
                since_ms: now_ms,
            },
        };
        self.open = Some(open);
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

/// Closed windows that the platform has not taken yet.
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

/// The report of a closed window; nothing unless the lease is held at this very instant.
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
