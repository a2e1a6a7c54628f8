//! A bounded history of accepted configurations.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum number of configurations kept.
const MAX_REVISIONS: usize = 20;

/// Maximum total size of the texts kept, in bytes. The newest configuration is always kept,
/// whatever its size.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// One accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Offset of the log record, which is the revision number of the configuration.
    pub revision: u64,
    /// The instance that submitted the configuration.
    pub writer: Arc<str>,
    /// The text of the configuration, called the questionnaire.
    pub text: Arc<str>,
}

/// Accepted configurations, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    revisions: VecDeque<Revision>,
}

impl History {
    /// Appends the newest configuration and evicts the oldest ones beyond the limits.
    pub(crate) fn push(&mut self, revision: Revision) {
        self.revisions.push_back(revision);
        while self.revisions.len() > 1 && self.exceeds_limits() {
            self.revisions.pop_front();
        }
    }

    /// Returns the revisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Revision> {
        self.revisions.iter()
    }

    fn exceeds_limits(&self) -> bool {
        let bytes: usize = self.iter().map(|revision| revision.text.len()).sum();
        self.revisions.len() > MAX_REVISIONS || bytes > MAX_TEXT_BYTES
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn revision(revision: u64, bytes: usize) -> Revision {
        Revision {
            revision,
            writer: "n1".into(),
            text: "x".repeat(bytes).into(),
        }
    }

    #[test]
    fn oldest_revisions_are_evicted_and_newest_is_kept() {
        let mut history = History::default();
        for number in 1..=30 {
            history.push(revision(number, 10));
        }
        let kept: Vec<u64> = history.iter().map(|kept| kept.revision).collect();
        assert_eq!(kept, (11..=30).collect::<Vec<u64>>());
        history.push(revision(31, MAX_TEXT_BYTES + 1));
        let kept: Vec<u64> = history.iter().map(|kept| kept.revision).collect();
        assert_eq!(kept, [31]);
    }
}
