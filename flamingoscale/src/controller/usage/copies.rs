//! Copies of other instances' counts, kept until the log holds them.

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

/// How long an instance must be gone before its counts are appended in its stead.
const DEAD_AFTER_MS: u64 = 3_000;

/// Sources whose copies are held.
const MAX_SOURCES: usize = 1_024;

/// Copies held of one incarnation.
#[derive(Clone, Debug, Default)]
struct Source {
    batches: BTreeMap<u64, Figures>,
    gone_since_ms: Option<u64>,
}

/// All copies that this instance holds.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    sources: BTreeMap<(Arc<str>, u64), Source>,
}

impl Copies {
    /// Keeps a copy.
    pub fn hold(&mut self, of: Arc<str>, incarnation: u64, sequence: u64, figures: Figures) {
        let known = self.sources.contains_key(&(of.clone(), incarnation));
        if known || self.sources.len() < MAX_SOURCES {
            let source = self.sources.entry((of, incarnation)).or_default();
            source.batches.entry(sequence).or_insert(figures);
        }
    }

    /// Drops copies up to a number.
    pub fn release(&mut self, of: &Arc<str>, incarnation: u64, sequence: u64) {
        let key = (of.clone(), incarnation);
        if let Some(source) = self.sources.get_mut(&key) {
            source.batches.retain(|&held, _| held > sequence);
            if source.batches.is_empty() {
                self.sources.remove(&key);
            }
        }
    }

    /// Drops copies that the fold has counted.
    pub fn drop_counted(&mut self, counted: &Sequences) {
        self.sources.retain(|(of, incarnation), source| {
            let last = counted.last(of, *incarnation);
            source.batches.retain(|&held, _| held > last);
            !source.batches.is_empty()
        });
    }

    /// The batches, each source's in order, of incarnations that have been gone for a while.
    pub fn due(&mut self, now_ms: u64, members: &[Member]) -> Vec<(Arc<str>, u64, Batch)> {
        let mut due = Vec::new();
        for ((of, incarnation), source) in &mut self.sources {
            let is_live = members
                .iter()
                .any(|member| member.instance == *of && member.incarnation == *incarnation);
            if is_live {
                source.gone_since_ms = None;
                continue;
            }
            let since_ms = *source.gone_since_ms.get_or_insert(now_ms);
            if now_ms < since_ms + DEAD_AFTER_MS {
                continue;
            }
            let batches = source.batches.iter();
            due.extend(batches.map(|(&sequence, figures)| {
                let figures = figures.clone();
                (of.clone(), *incarnation, Batch { sequence, figures })
            }));
        }
        due
    }

    /// Copies held.
    pub fn held(&self) -> usize {
        let sources = self.sources.values();
        sources.map(|source| source.batches.len()).sum()
    }
}
