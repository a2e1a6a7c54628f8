//! Copies of other instances' counts, held until the log contains them.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::counts::Batch;
use crate::{
    state::Sequences,
    usage::Figures,
    view::Member, //
};

/// How long an instance must be absent before its counts are appended on its behalf.
const DEAD_AFTER_MS: u64 = 3_000;

/// Maximum number of incarnations whose copies are held.
const MAX_SOURCES: usize = 1_024;

/// The copies of one incarnation's batches.
#[derive(Clone, Debug, Default)]
struct Source {
    /// Figures by sequence number.
    batches: BTreeMap<u64, Figures>,
    /// Since when the incarnation has been missing from the list of live members.
    absent_since_ms: Option<u64>,
}

/// All copies that this instance holds.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    /// Copies by instance and incarnation.
    sources: BTreeMap<(Arc<str>, u64), Source>,
}

impl Copies {
    /// Stores a copy, unless the incarnation has no copies here yet and `MAX_SOURCES` is reached.
    pub fn hold(&mut self, instance: Arc<str>, incarnation: u64, sequence: u64, figures: Figures) {
        let is_known = self.sources.contains_key(&(instance.clone(), incarnation));
        if is_known || self.sources.len() < MAX_SOURCES {
            let source = self.sources.entry((instance, incarnation)).or_default();
            source.batches.entry(sequence).or_insert(figures);
        }
    }

    /// Drops the copies with sequence numbers up to and including `sequence`.
    pub fn release(&mut self, instance: &Arc<str>, incarnation: u64, sequence: u64) {
        let key = (instance.clone(), incarnation);
        if let Some(source) = self.sources.get_mut(&key) {
            source.batches.retain(|&held, _| held > sequence);
            if source.batches.is_empty() {
                self.sources.remove(&key);
            }
        }
    }

    /// Drops the copies that the folded state already includes.
    pub fn drop_counted(&mut self, counted: &Sequences) {
        self.sources.retain(|(instance, incarnation), source| {
            let last = counted.last(instance, *incarnation);
            source.batches.retain(|&held, _| held > last);
            !source.batches.is_empty()
        });
    }

    /// Returns the batches of all incarnations that have been absent for at least
    /// `DEAD_AFTER_MS`, in order within each incarnation.
    pub fn due(&mut self, now_ms: u64, members: &[Member]) -> Vec<(Arc<str>, u64, Batch)> {
        let mut due = Vec::new();
        for ((instance, incarnation), source) in &mut self.sources {
            let is_live = members
                .iter()
                .any(|member| member.instance == *instance && member.incarnation == *incarnation);
            if is_live {
                source.absent_since_ms = None;
                continue;
            }
            let since_ms = *source.absent_since_ms.get_or_insert(now_ms);
            if now_ms < since_ms + DEAD_AFTER_MS {
                continue;
            }
            let batches = source.batches.iter();
            due.extend(batches.map(|(&sequence, figures)| {
                let figures = figures.clone();
                (instance.clone(), *incarnation, Batch { sequence, figures })
            }));
        }
        due
    }

    /// Returns the number of batches held.
    pub fn held(&self) -> usize {
        let sources = self.sources.values();
        sources.map(|source| source.batches.len()).sum()
    }
}
