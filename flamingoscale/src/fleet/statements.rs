//! What endpoints say of themselves in their responses, and how instances tell each other.
//!
//! A response reaches one instance, and what it says concerns all: how many requests the endpoint
//! takes, and whether it leaves. See `docs/design/limits.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use super::limits::RateLimit;

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Requests that the endpoint takes from all instances together; `None` if it names no limit.
    pub limit: Option<RateLimit>,
    /// Whether the endpoint leaves. This never ends before the endpoint's next start.
    pub leaving: bool,
}

impl Statement {
    /// Returns whether there is no need to announce `other` after this statement.
    fn covers(self, other: Self) -> bool {
        let same_limit = match (self.limit, other.limit) {
            (Some(announced), Some(limit)) => announced.is_close_to(limit),
            (announced, limit) => announced == limit,
        };
        same_limit && self.leaving >= other.leaving
    }
}

/// What an instance has told the others about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Start time of the endpoint in Unix milliseconds; a statement holds for one start.
    pub started_unix_ms: u64,
    /// What the endpoint says of itself.
    pub statement: Statement,
    /// When this instance read the announcement, in monotonic milliseconds.
    pub seen_ms: u64,
}

impl Announced {
    /// Returns the announcement that holds after this one was read.
    pub fn followed_by(self, mut next: Self) -> Self {
        if self.started_unix_ms > next.started_unix_ms {
            return self;
        }
        // The instance that announced a limit may not have known that the endpoint leaves.
        if self.started_unix_ms == next.started_unix_ms {
            next.statement.leaving |= self.statement.leaving;
        }
        next
    }

    /// Returns whether the announcement says what an endpoint with this start says now.
    pub fn covers(&self, started_unix_ms: u64, statement: Statement) -> bool {
        self.started_unix_ms == started_unix_ms && self.statement.covers(statement)
    }
}
