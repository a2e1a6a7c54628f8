//! The log client: batched appends, reads through relays, freshness.

use std::sync::Arc;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// What peers ask of each other about the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Give me records from this offset on.
    Pull {
        /// The first wanted offset.
        from: u64,
    },
    /// This key is withdrawn; stop it now.
    DenyKey {
        /// The key's id.
        key_id: Arc<str>,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Records without a gap.
    Records {
        /// Offset and bytes.
        records: Vec<(u64, Bytes)>,
        /// The log's head as last confirmed.
        head: u64,
        /// How long ago the head was confirmed; none if the log is away.
        confirmed_ago_ms: Option<u64>,
    },
    /// Done.
    Taken,
}
