//! The interface to the platform: the log, the instance list, endpoint orders and usage reports.
//!
//! The guarantees of each external system are described in `docs/INTERFACES.md`.

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

/// A failed call to the platform, classified by what the caller may conclude about its effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum PlatformError {
    /// The call had no effect.
    #[display("the platform refused without effect ({reason}): try again later")]
    Refused {
        /// Status or error message.
        reason: Arc<str>,
    },
    /// The call may have taken effect.
    #[display("the platform's answer was lost ({reason}): read back before sending again")]
    Unknown {
        /// Description of the failure.
        reason: Arc<str>,
    },
    /// The platform has seen a newer fencing number than that of the call.
    #[display("fencing number {fencing} is old: another instance holds the lease; stop")]
    Fenced {
        /// Fencing number that was refused.
        fencing: u64,
    },
    /// The requested offset is no longer retained.
    #[display("the log starts at offset {earliest}: take a snapshot first")]
    Truncated {
        /// Earliest offset that is retained.
        earliest: u64,
    },
    /// The order arrived after its deadline and had no effect.
    #[display("the order came too late and had no effect: give a new order")]
    Expired,
}

/// One encoded record of the log with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Encoded record.
    pub data: Bytes,
}

/// The result of reading the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRead {
    /// Records from the requested offset on, without a gap.
    pub records: Vec<LogRecord>,
    /// Earliest offset that is retained.
    pub earliest: u64,
    /// Offset that the next append will get.
    pub head: u64,
}

/// The platform's append-only log, which is the only durable storage.
pub trait Log {
    /// Appends records atomically, in order, and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unknown`] if the append may have taken effect.
    fn append(&self, records: Vec<Bytes>) -> LocalBoxFuture<'_, Result<u64>>;

    /// Reads at most `max` records from offset `from`. A long poll: waits up to `wait_ms`
    /// milliseconds for the first record.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Truncated`] if `from` is no longer retained.
    fn read(&self, from: u64, max: usize, wait_ms: u64) -> LocalBoxFuture<'_, Result<LogRead>>;
}

/// The platform's list of instances. It may be out of date and serves only to find peers.
pub trait InstanceList {
    /// Lists the instances.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]; the caller should keep using the previous list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>>>;
}

/// The platform's interface for listing, starting and stopping endpoints.
pub trait EndpointOrders {
    /// Lists the endpoints.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]; the caller should keep using the previous list.
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformEndpoint>>>;

    /// Sends one order. Orders are idempotent by order number.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Fenced`] if another instance has taken over the lease; the caller
    /// must stop sending orders.
    fn order(&self, order: PlatformOrder) -> LocalBoxFuture<'_, Result<PlatformOrderDone>>;
}

/// The platform's interface for usage reports.
pub trait UsageReports {
    /// Sends one report. Reports are idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unknown`] if the report may have been accepted; the caller should
    /// retry with the same figures.
    fn report(&self, report: UsageReport) -> LocalBoxFuture<'_, Result<()>>;
}
