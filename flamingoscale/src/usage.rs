//! Usage counts: kept where the answer was delivered, until a record of the log holds them.

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

/// Figures by organisation.
pub type Figures = BTreeMap<Arc<str>, UsageFigures>;

/// What peers tell each other of usage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Keep a copy of counts that are not yet in the log.
    Hold {
        /// The sender's incarnation.
        incarnation: u64,
        /// The number that the record will carry.
        sequence: u64,
        /// The counts.
        figures: Figures,
    },
    /// The counts up to this number are in the log.
    Release {
        /// The sender's incarnation.
        incarnation: u64,
        /// The last number that is in the log.
        sequence: u64,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Done.
    Held,
}

/// Counts that traffic threads add to and the usage controller takes away.
#[derive(Debug, Default)]
pub struct UsageCounter {
    figures: Mutex<Figures>,
}

impl UsageCounter {
    /// Adds one delivered answer.
    pub fn add(&self, organisation: &Arc<str>, tokens: u64) {
        let mut figures = self.lock();
        let entry = figures.entry(organisation.clone()).or_default();
        entry.requests += 1;
        entry.tokens += tokens;
    }

    /// Takes all counts away.
    pub fn take(&self) -> Figures {
        std::mem::take(&mut self.lock())
    }

    /// Whether nothing was counted since the last [`UsageCounter::take`].
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Figures> {
        self.figures
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
