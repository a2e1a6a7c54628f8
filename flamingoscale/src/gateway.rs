//! The way of a request: a chain of filters, then dispatch.

use serde::{
    Deserialize,
    Serialize, //
};

/// What peers ask of each other on behalf of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// This fingerprint was in flight when an endpoint crashed.
    Suspect {
        /// The request's fingerprint.
        fingerprint: u64,
        /// How many crashes it was seen in.
        crashes: u32,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Done.
    Taken,
}
