//! Time for the decision cores: milliseconds of a clock that never goes back.
//!
//! Cores take the time as an argument. Only actors and filters read a [`Clock`].

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    sync::Arc,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use rustix::time::{
    clock_gettime,
    ClockId, //
};

/// A source of monotonic time, so that tests can replace the machine's clock.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary fixed point, time spent suspended included.
    ///
    /// A lease that ran out while the machine slept must be seen as run out on waking, which is
    /// why this is not [`std::time::Instant`]. See `docs/design/leases.md`.
    fn now_ms(&self) -> u64;
}

/// The machine's boot-time clock, which also counts suspended time.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now_ms(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let millis = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
        seconds * 1_000 + millis
    }
}

/// A clock that tests and the scenario runner move by hand.
#[derive(Clone, Debug, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Moves the clock forward by `step_ms` milliseconds.
    pub fn advance(&self, step_ms: u64) {
        self.0.fetch_add(step_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// Returns wall-clock milliseconds, for display in logs and the time line only.
///
/// No decision may depend on this value: wall clocks of two instances are never compared.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
