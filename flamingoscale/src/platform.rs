//! Traits at the border to the platform: the log, the instance list, endpoint orders, usage reports.
//!
//! What each outside system promises, and what it does not, is in `docs/INTERFACES.md`.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures::future::LocalBoxFuture;

mod http;

pub use http::HttpPlatform;

use crate::wire::{
    ListedInstance,
    PlatformEndpoint,
    PlatformOrder,
    PlatformOrderDone,
    UsageReport, //
};

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed, told apart by what the caller may conclude.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum PlatformError {
    /// The call had no effect.
    #[display("the platform refused without effect ({reason}): try again later")]
    Refused {
        /// What the platform said.
        reason: Arc<str>,
    },
    /// The call may have had its effect.
    #[display("the platform's answer was lost ({reason}): read back before sending again")]
    Unknown {
        /// What went wrong.
        reason: Arc<str>,
    },
    /// The fencing number is older than one that the platform has seen.
    #[display("fencing number {fencing} is old: another instance holds the lease; stop")]
    Fenced {
        /// The number that was refused.
        fencing: u64,
    },
    /// The wanted offset is past retention.
    #[display("the log starts at offset {earliest}: take a snapshot first")]
    Truncated {
        /// The earliest offset that is kept.
        earliest: u64,
    },
    /// The order arrived past its deadline and had no effect.
    #[display("the order came too late and had no effect: give a new order")]
    Expired,
}

/// One record of the log with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The record's offset.
    pub offset: u64,
    /// The record's bytes.
    pub data: Bytes,
}

/// The answer of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRead {
    /// Records from the wanted offset on, without a gap.
    pub records: Vec<LogRecord>,
    /// The earliest offset that is kept.
    pub earliest: u64,
    /// The offset that the next append will get.
    pub head: u64,
}

/// The platform's append-only log: the only thing that lasts.
pub trait Log {
    /// Appends records in order, all or none, and returns the first offset.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] when the append may have taken effect.
    fn append(&self, records: Vec<Bytes>) -> LocalBoxFuture<'_, Result<u64>>;

    /// Reads at most `max` records from offset `from`, waiting at most `wait_ms` for a first one.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Truncated`] when `from` is past retention.
    fn read(&self, from: u64, max: usize, wait_ms: u64) -> LocalBoxFuture<'_, Result<LogRead>>;
}

/// The platform's lagging list of instances: a hint, never an authority.
pub trait InstanceList {
    /// Lists the instances.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; go on with the last list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>>>;
}

/// The platform's interface for endpoints.
pub trait EndpointOrders {
    /// Lists the endpoints that there are.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; go on with the last list.
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformEndpoint>>>;

    /// Sends one order. The same order number again has no further effect.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Fenced`] ends this holder's term.
    fn order(&self, order: PlatformOrder) -> LocalBoxFuture<'_, Result<PlatformOrderDone>>;
}

/// The platform's interface for usage reports.
pub trait UsageReports {
    /// Sends one report. The same report again is harmless.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] when it may have been taken; send the same figures again.
    fn report(&self, report: UsageReport) -> LocalBoxFuture<'_, Result<()>>;
}
