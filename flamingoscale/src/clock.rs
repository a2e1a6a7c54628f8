//! Monotonic time in milliseconds for the decision cores.
//!
//! Decision cores, which do no I/O, receive the current time as an argument. Only the actors and
//! request filters that drive them read a [`Clock`].

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

/// A source of monotonic time. Tests replace the system clock with their own.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary fixed point, including time in suspend.
    ///
    /// [`std::time::Instant`] is not suitable because it may stop during suspend, and a lease that
    /// expired while the machine was suspended must count as expired after it resumes. See
    /// `docs/design/leases.md`.
    fn now_ms(&self) -> u64;
}

/// The system's boot-time clock, which keeps running during suspend.
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

/// A clock that tests and the scenario runner advance explicitly.
#[derive(Clone, Debug, Default)]
pub struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    /// Advances the clock by `step_ms` milliseconds.
    pub fn advance(&self, step_ms: u64) {
        self.0.fetch_add(step_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// Returns the Unix time in milliseconds, for display in logs and the time line only.
///
/// No decision may depend on this value, because the wall clocks of two instances can differ.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
