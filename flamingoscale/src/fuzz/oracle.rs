//! The promises, each with one check that names it.

use std::fmt::Display;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Guarantee {
    /// Every sample names the weight versions that truly produced it.
    VersionsTrue,
    /// No sample is older than its trainer's bound.
    Fresh,
    /// Every sample reaches its batch exactly once.
    ExactlyOnce,
    /// A request runs only for the organisation whose key came with it.
    RightOrganisation,
    /// No endpoint sees a caller's key.
    KeyHidden,
    /// Every caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal saying "not run" is true.
    NotRunTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work.
    LeavingDrains,
    /// A graceful shutdown cuts no request.
    ShutdownCutsNone,
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
pub(super) enum PlantedFault {
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
    /// A new instance that never read the log is counted with those that find it away.
    NewcomersVote,
    /// The log's head counts as confirmed though it was not read.
    ConfirmsUnread,
    /// A lost answer is taken for a refusal.
    UnknownIsNotRun,
    /// What may not run twice is tried again like everything else.
    AllMayRunTwice,
    /// An endpoint's status does not say that it leaves.
    LeavingIsHidden,
    /// A home drops the running requests of an endpoint that moves away.
    MoveCutsRunning,
    /// The answer that is kept for one idempotency key is another's.
    CrossedAnswers,
    /// Headers go to the endpoint as they came.
    KeyIsForwarded,
    /// A key is found by its id alone.
    KeyByIdAlone,
    /// The version is read once, before the generation.
    ReadsVersionOnce,
    /// The coordinator does not hear of new versions.
    OldNewestVersion,
    /// The holder of copies says "taken" and keeps nothing.
    CopyIsMadeUp,
    /// The holder of copies does not keep the seal.
    SealIsForgotten,
}

/// What a case runs with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CaseOptions {
    /// The planted fault.
    pub(super) planted_fault: Option<PlantedFault>,
    /// The one promise that is checked; none for all.
    pub(super) only_guarantee: Option<Guarantee>,
}

impl CaseOptions {
    /// Whether this fault is planted.
    pub(super) fn has(self, fault: PlantedFault) -> bool {
        self.planted_fault == Some(fault)
    }

    /// Fails the case unless `holds`; the message names the promise.
    #[track_caller]
    pub(super) fn check(self, guarantee: Guarantee, holds: bool, details: impl Display) {
        let is_checked = self.only_guarantee.is_none_or(|only| only == guarantee);
        assert!(
            holds || !is_checked,
            "guarantee {guarantee:?} is violated: {details}"
        );
    }
}
