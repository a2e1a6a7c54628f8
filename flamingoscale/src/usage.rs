//! Usage counts, kept at the instance that delivered the answer until they are in the log.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    }, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::UsageFigures;

/// Usage by organisation.
pub type Figures = BTreeMap<Arc<str>, UsageFigures>;

/// Messages between peers about usage counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Requests the receiver to keep a copy of counts that are not yet in the log, so that they are
    /// not lost if the sender dies.
    Hold {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Sequence number that the log record will have.
        sequence: u64,
        /// The usage counts.
        figures: Figures,
    },
    /// Allows the receiver to discard its copies up to `sequence`, because these counts are in the
    /// log.
    Release {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Last sequence number that is in the log.
        sequence: u64,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The message was processed.
    Held,
}

/// Usage counts that traffic threads increment and the usage controller drains.
#[derive(Debug, Default)]
pub struct UsageCounter {
    figures: Mutex<Figures>,
}

impl UsageCounter {
    /// Counts one delivered answer with its number of tokens.
    pub fn add(&self, organisation: &Arc<str>, tokens: u64) {
        let mut figures = self.lock();
        let entry = figures.entry(organisation.clone()).or_default();
        entry.requests += 1;
        entry.tokens += tokens;
    }

    /// Returns all counts and resets them to zero.
    pub fn take(&self) -> Figures {
        std::mem::take(&mut self.lock())
    }

    /// Returns whether nothing was counted since the last [`UsageCounter::take`].
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Figures> {
        self.figures
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
