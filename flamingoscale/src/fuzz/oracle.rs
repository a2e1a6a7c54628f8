//! The guarantees of the service, the faults that tests plant, and the check that links the two.

use std::fmt::Display;

/// A guarantee that must hold in every history. A failed check names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Guarantee {
    /// Every sample lists exactly the weight versions that produced it.
    VersionsTrue,
    /// No sample exceeds the staleness bound of its trainer.
    Fresh,
    /// Every sample is delivered in its batch exactly once.
    ExactlyOnce,
    /// A request runs only for the organisation that owns the API key it carries.
    RightOrganisation,
    /// No endpoint receives a caller's API key.
    KeyHidden,
    /// Every caller receives the complete answer to its own request.
    WholeAnswer,
    /// A request that is refused as "not run" was not run by any endpoint.
    NotRunTrue,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A leaving endpoint receives no new requests.
    LeavingDrains,
    /// A graceful shutdown or a change of home does not interrupt running requests.
    ShutdownCutsNone,
    /// The platform never receives orders from two processes that both consider themselves the
    /// holder of the orders lease.
    OneOrders,
    /// No usage window is reported twice with different figures, and no two processes consider
    /// themselves the holder of the usage lease.
    OneReports,
    /// A withdrawn API key is no longer accepted.
    WithdrawnStops,
    /// An accepted configuration takes effect on all instances and is never reverted.
    ConfigurationHolds,
}

/// A fault planted in a fake or a wrapper, to prove that the check of a guarantee can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlantedFault {
    /// The clock of a process stops while the process is paused.
    ClockStopsInPause,
    /// An instance decides whether to claim a lease with a clock that runs ahead.
    ClaimsEarly,
    /// Each report of a usage window carries the current figures instead of those in the log.
    FreshFigures,
    /// A restarted process starts reading at the head of the log and misses all earlier records.
    StartsAtHead,
    /// An instance accepts a new grant of a key that has been withdrawn.
    RegrantsKey,
    /// A new instance that has never read the log counts towards the majority that finds it
    /// unreachable.
    NewcomersVote,
    /// The head of the log counts as confirmed although the read failed.
    ConfirmsUnread,
    /// A lost answer is treated as a refusal ("not run") instead of an unknown outcome.
    UnknownIsNotRun,
    /// Requests that are not idempotent are retried after an unknown outcome.
    AllMayRunTwice,
    /// The status of a leaving endpoint does not report that it is leaving.
    LeavingIsHidden,
    /// A home drops the running requests of an endpoint that moves to another home.
    MoveCutsRunning,
    /// The answer stored under an idempotency key belongs to another key.
    CrossedAnswers,
    /// Headers are forwarded to the endpoint without removing the caller's API key.
    KeyIsForwarded,
    /// An API key is accepted by its id, without a check of its secret.
    KeyByIdAlone,
    /// The weight version is read only once, before the generation starts.
    ReadsVersionOnce,
    /// The coordinator is not notified of new weight versions.
    OldNewestVersion,
    /// The instance that holds the sample copies accepts a copy without storing it.
    CopyIsMadeUp,
    /// The instance that holds the sample copies accepts the seal of a batch without storing it.
    SealIsForgotten,
}

/// Options of one test case.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CaseOptions {
    /// The fault to plant; `None` for a run without faults in the code under test.
    pub(super) planted_fault: Option<PlantedFault>,
    /// The only guarantee to check; `None` checks all of them.
    pub(super) only_guarantee: Option<Guarantee>,
}

impl CaseOptions {
    /// Returns whether `fault` is planted in this case.
    pub(super) fn has(self, fault: PlantedFault) -> bool {
        self.planted_fault == Some(fault)
    }

    /// Fails the case with a message that names the guarantee, unless `holds` is true or the
    /// guarantee is not checked in this case.
    #[track_caller]
    pub(super) fn check(self, guarantee: Guarantee, holds: bool, details: impl Display) {
        let is_checked = self.only_guarantee.is_none_or(|only| only == guarantee);
        assert!(
            holds || !is_checked,
            "guarantee {guarantee:?} is violated: {details}"
        );
    }
}
