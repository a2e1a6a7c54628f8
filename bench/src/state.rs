//! Durable state: folding the log into state, snapshots, the time until a change is in force
//! everywhere, and conditional appends compared with writers that are serialised by a lease.

use crate::output;

mod cluster;
mod fold;
mod in_force;
mod outage;
mod race;

pub(crate) const NAME: &str = "state";

/// Numbers of instances: that of current deployments, and four times as many.
const CLUSTER_SIZES: [usize; 2] = [12, 48];

pub(crate) fn run(seed: u64) {
    fold::run(seed);
    for instances in CLUSTER_SIZES {
        in_force::run(seed, instances);
    }
    outage::run(seed, outage::OutageKind::Refusing);
    outage::run(seed, outage::OutageKind::Silent);
    let conditional = race::run(seed, race::WriteMode::Conditional);
    let leased = race::run(seed, race::WriteMode::Lease);
    output::summary(NAME, seed, conditional, leased);
}

/// Sorts the values and returns the quantile at `fraction` (0 to 1), or 0 if there are no values.
pub(crate) fn quantile(values: &mut [u64], fraction: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len().saturating_sub(1) as f64 * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0)
}
