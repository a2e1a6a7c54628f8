//! The border to model engines.

pub(crate) mod client;
pub(crate) mod events;
pub mod http;
pub(crate) mod run;

use futures::future::LocalBoxFuture;

use crate::wire::{
    CacheEvents,
    EndpointStatus,
    EngineOrder, //
};

/// The result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Why an engine's control face did not do as asked.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum EngineError {
    /// It can't be reached, or its answer was lost: what it did is unknown.
    #[display("the engine gave no answer: read its status before the next order")]
    Lost,
    /// The order's fencing number is old.
    #[display("the engine has seen a newer fencing number: stop giving it orders")]
    Fenced,
    /// It refused.
    #[display("the engine refused the order with status {status}: see its log")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
}

/// An engine's control face.
pub trait EngineControl {
    /// Reads load and version; both lag.
    ///
    /// # Errors
    ///
    /// [`EngineError::Lost`] when it gave no answer.
    fn status(&self, address: &str) -> LocalBoxFuture<'_, Result<EndpointStatus>>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Any [`EngineError`].
    fn order(&self, address: &str, order: EngineOrder) -> LocalBoxFuture<'_, Result<()>>;

    /// Reads cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// [`EngineError::Lost`] when it gave no answer.
    fn cache_events(&self, address: &str, after: u64) -> LocalBoxFuture<'_, Result<CacheEvents>>;
}
