//! Divides the instances of a large fleet into cells that exchange heartbeats.
//!
//! If every instance read the heartbeats of all others, a fleet of N instances would read N² of
//! them a second. An instance needs to know a few dozen live instances: enough addresses for
//! callers, and a place in the claim order. Instances of one failure domain share a cell, or a few.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::ledger::Ledger;

/// Largest number of instances in a cell, which is also how many addresses a caller takes.
const MAX_CELL_INSTANCES: usize = 64;

/// Largest number of cells; the topic of the heartbeats has a partition for each.
pub const MAX_CELLS: u32 = 12;

/// The cell of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Index of the cell, which is the partition of its heartbeats.
    pub index: u32,
    /// Number of cells of the fleet.
    pub count: u32,
}

impl Default for Cell {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

impl Cell {
    /// Returns the cell of an instance, according to all instances that have ever started.
    pub fn of(ledger: &Ledger, instance: &str, failure_domain: &str) -> Self {
        Cells::of(ledger).cell(instance, failure_domain)
    }

    /// Returns the rank of the cell in the order in which the cells may claim a lease.
    pub fn rank(&self, lease: &str) -> usize {
        let hash = |index: u32| xxh3_64(format!("{lease}\n{index}").as_bytes());
        let own = (hash(self.index), self.index);
        (0..self.count)
            .filter(|index| (hash(*index), *index) < own)
            .count()
    }
}

/// All cells of a fleet.
///
/// The failure domains share the cells in the order of their names. Instances that know different
/// members may disagree for a moment; then they see fewer of each other.
#[derive(Clone, Debug)]
pub struct Cells {
    domains: BTreeSet<Arc<str>>,
    count: u32,
}

impl Cells {
    /// Returns the cells of the fleet, according to all instances that have ever started.
    pub fn of(ledger: &Ledger) -> Self {
        let members = ledger.members.values();
        let count = ledger.members.len().div_ceil(MAX_CELL_INSTANCES);
        Self {
            domains: members
                .map(|member| member.heartbeat.failure_domain.clone())
                .collect(),
            count: u32::try_from(count)
                .unwrap_or(MAX_CELLS)
                .clamp(1, MAX_CELLS),
        }
    }

    /// Returns the cell of an instance.
    pub fn cell(&self, instance: &str, failure_domain: &str) -> Cell {
        let domains = self.domains.iter();
        let domain_index = domains.filter(|name| ***name < *failure_domain).count() as f64;
        let offset = xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64;
        let position = (domain_index + offset) / self.domains.len().max(1) as f64;
        let index = (position * f64::from(self.count)) as u32;
        Cell {
            index: index.min(self.count - 1),
            count: self.count,
        }
    }
}

#[cfg(test)]
mod tests;
