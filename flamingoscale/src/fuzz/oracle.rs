//! The promises, each with one check that names it.

use std::fmt::Display;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Promise {
    /// The platform never gets orders from two processes that both believe they are in charge.
    OneOrders,
    /// No window is reported twice with different figures, nor by two that believe they may.
    OneReports,
    /// A withdrawn key stops working.
    WithdrawnStops,
    /// An accepted configuration is in force everywhere and never reverts.
    ConfigurationHolds,
}

/// A fault that is planted in a fake or a wrapper to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Plant {
    /// The clock stands still while a process is paused.
    ClockStopsInPause,
    /// An instance decides on claims with a clock that runs ahead.
    ClaimsEarly,
    /// The figures of a window are taken anew for each report.
    FreshFigures,
    /// A restarted process takes up the log at its head, without what came before.
    StartsAtHead,
    /// The fold of one instance lets a withdrawn key be granted again.
    RegrantsKey,
}

/// What a case runs with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Setting {
    /// The planted fault.
    pub(super) plant: Option<Plant>,
    /// The one promise that is checked; none for all.
    pub(super) only: Option<Promise>,
}

impl Setting {
    /// Whether this fault is planted.
    pub(super) fn has(self, plant: Plant) -> bool {
        self.plant == Some(plant)
    }

    /// Fails the case unless `holds`; the message names the promise.
    #[track_caller]
    pub(super) fn check(self, promise: Promise, holds: bool, what: impl Display) {
        let is_checked = self.only.is_none_or(|only| only == promise);
        assert!(
            holds || !is_checked,
            "promise {promise:?} is broken: {what}"
        );
    }
}
