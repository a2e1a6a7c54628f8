//! Resource usage of this process, read from `/proc`.

use std::fs;

/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_S: u64 = 100;

/// Name of the threads that run stand-ins.
const STANDIN_THREAD: &str = "standins";

/// Returns the CPU time of all threads except those of stand-ins, in milliseconds.
pub(crate) fn cpu_ms() -> u64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let ticks: u64 = threads
        .filter_map(|thread| fs::read_to_string(thread.ok()?.path().join("stat")).ok())
        .filter_map(|stat| thread_ticks(&stat))
        .sum();
    ticks * 1_000 / TICKS_PER_S
}

/// Returns the user and system time of one thread in clock ticks, or `None` for a stand-in thread.
fn thread_ticks(stat: &str) -> Option<u64> {
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    if name == STANDIN_THREAD {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

/// Returns the resident memory of this process, in KiB.
pub(crate) fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the number of bytes that all processes have received on the loopback interface since
/// boot.
pub(crate) fn loopback_bytes() -> u64 {
    let table = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let row = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = row.and_then(|row| row.split_whitespace().next());
    received.and_then(|number| number.parse().ok()).unwrap_or(0)
}
