//! What the machine of this process has.

use rustix::process::{
    getrlimit,
    Resource, //
};

/// File in which the kernel tells the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Returns the memory of the machine in megabytes, or that of this process if it is limited to less; `None` if
/// neither is known.
pub fn memory_mb() -> Option<f64> {
    let file = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let total_kb = parse_total_kb(&file);
    let limit_kb = getrlimit(Resource::As).current.map(|bytes| bytes >> 10);
    let least_kb = total_kb.into_iter().chain(limit_kb).min()?;
    Some(least_kb as f64 / 1_024.0)
}

/// Returns the number of descriptors that this process may have; `None` if it is not limited.
pub fn descriptors() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Returns the memory of the machine in kilobytes.
fn parse_total_kb(file: &str) -> Option<u64> {
    let line = file
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
