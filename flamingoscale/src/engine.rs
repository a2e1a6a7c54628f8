//! The interface to model engines: their control interface and the completions that they run.

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

/// A failed call to an engine's control interface.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum EngineError {
    /// The engine can't be reached or its answer was lost, so the effect of the call is unknown.
    #[display("the engine gave no answer: read its status before the next order")]
    Unknown,
    /// The engine has seen a newer fencing number than that of the order.
    #[display("the engine has seen a newer fencing number: stop giving it orders")]
    Fenced,
    /// The engine refused the call.
    #[display("the engine refused the order with status {status}: see its log")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// The control interface of engines. Engines are selected by address, as `ip:port`.
pub trait EngineControl {
    /// Reads the load and the weight version. Both may be slightly out of date.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Unknown`] if the engine gave no answer.
    fn status(&self, address: &str) -> LocalBoxFuture<'_, Result<EndpointStatus>>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns any [`EngineError`].
    fn order(&self, address: &str, order: EngineOrder) -> LocalBoxFuture<'_, Result<()>>;

    /// Reads the events of the prefix cache with a sequence number above `after`.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Unknown`] if the engine gave no answer.
    fn cache_events(&self, address: &str, after: u64) -> LocalBoxFuture<'_, Result<CacheEvents>>;
}
