//! The last number seen of each numbered source, so that a repeated append has no effect.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Sources that are kept at least; a source is dropped only after this many newer ones wrote.
const MIN_KEPT_SOURCES: usize = 2_048;

/// The last number of one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastSeen {
    number: u64,
    /// Where the log said so, which orders sources by age on every instance alike.
    offset: u64,
}

/// The last number of each instance's incarnation, bounded in memory.
///
/// What is dropped depends on the records alone, so every instance drops the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequences {
    seen: BTreeMap<(Arc<str>, u64), LastSeen>,
}

impl Sequences {
    /// The last number of a source; 0 if none is known.
    pub fn last(&self, instance: &Arc<str>, incarnation: u64) -> u64 {
        let source = (instance.clone(), incarnation);
        self.seen.get(&source).map_or(0, |seen| seen.number)
    }

    /// How many sources are kept.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no source is known.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Takes in a number; returns false when it, or a later one, was seen before.
    pub(crate) fn advance(
        &mut self,
        instance: &Arc<str>,
        incarnation: u64,
        number: u64,
        offset: u64,
    ) -> bool {
        if number <= self.last(instance, incarnation) {
            return false;
        }
        let source = (instance.clone(), incarnation);
        self.seen.insert(source, LastSeen { number, offset });
        self.prune();
        true
    }

    /// Drops the older half once there are twice as many sources as must be kept.
    fn prune(&mut self) {
        if self.seen.len() < 2 * MIN_KEPT_SOURCES {
            return;
        }
        let mut offsets: Vec<u64> = self.seen.values().map(|seen| seen.offset).collect();
        offsets.sort_unstable();
        let oldest_kept = offsets[offsets.len() - MIN_KEPT_SOURCES];
        self.seen.retain(|_, seen| seen.offset >= oldest_kept);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeats_are_detected_with_bounded_memory() {
        let mut sequences = Sequences::default();
        let name: Arc<str> = "n1".into();
        for incarnation in 0..10_000 {
            assert!(sequences.advance(&name, incarnation, 1, incarnation));
            assert!(!sequences.advance(&name, incarnation, 1, incarnation));
        }
        assert!(sequences.len() < 2 * MIN_KEPT_SOURCES);
        assert_eq!(sequences.last(&name, 9_999), 1);
        assert_eq!(sequences.last(&name, 0), 0);
    }
}
