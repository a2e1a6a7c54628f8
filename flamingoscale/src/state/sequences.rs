//! The last sequence number of each source, by which a repeated append is recognised and ignored.
//! A source is one incarnation of an instance.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Minimum number of sources kept. A source is dropped only after this many newer sources
/// have written.
const MIN_KEPT_SOURCES: usize = 2_048;

/// The last sequence number of one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastNumber {
    number: u64,
    /// Log offset at which the number was recorded, which orders sources by age identically on
    /// every instance.
    offset: u64,
}

/// The last sequence number of each source, bounded in memory.
///
/// Which sources are dropped depends on the records alone, so every instance drops the same ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequences {
    last_numbers: BTreeMap<(Arc<str>, u64), LastNumber>,
}

impl Sequences {
    /// Returns the last sequence number of a source, or 0 if the source is unknown.
    pub fn last(&self, instance: &Arc<str>, incarnation: u64) -> u64 {
        let source = (instance.clone(), incarnation);
        self.last_numbers.get(&source).map_or(0, |last| last.number)
    }

    /// Returns the number of sources kept.
    pub fn len(&self) -> usize {
        self.last_numbers.len()
    }

    /// Returns whether no sequence number has been recorded.
    pub fn is_empty(&self) -> bool {
        self.last_numbers.is_empty()
    }

    /// Records a sequence number. Returns false if the number is not higher than the last one.
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
        self.last_numbers
            .insert(source, LastNumber { number, offset });
        self.prune();
        true
    }

    /// Once there are twice the minimum number of sources, drops the older half.
    fn prune(&mut self) {
        if self.last_numbers.len() < 2 * MIN_KEPT_SOURCES {
            return;
        }
        let mut offsets: Vec<u64> = self.last_numbers.values().map(|last| last.offset).collect();
        offsets.sort_unstable();
        let oldest_kept = offsets[offsets.len() - MIN_KEPT_SOURCES];
        self.last_numbers
            .retain(|_, last| last.offset >= oldest_kept);
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
