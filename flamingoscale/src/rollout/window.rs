//! Limits how many samples of one trainer are in flight at once.
//!
//! A trainer is always entitled to its weighted share of the service's slots. It uses slots that
//! other trainers leave free by additive increase: one more for each finished sample. When engines
//! refuse its requests because they are full, the part of its window above its share is halved.
//! Shares therefore hold under contention, and free slots are used without coordination between
//! trainers.

/// The window may exceed the service's slots by their number divided by this value, so that the
/// engines' queues don't run empty.
const EXTRA_SLOTS_DIVISOR: u32 = 2;

/// Minimum window size.
const MIN_IN_FLIGHT: u32 = 2;

/// A trainer's share of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Slots of all engines of the service.
    pub(crate) slots: u32,
    /// Weight of the trainer.
    pub(crate) weight: u32,
    /// Sum of the weights of all trainers of the service.
    pub(crate) total_weight: u32,
}

/// In-flight window of one trainer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    share: Share,
    /// Number of samples allowed in flight beyond the trainer's share.
    extra: u32,
}

impl Window {
    /// Updates the share after a change of the configuration or of the endpoints.
    pub(crate) fn set_share(&mut self, share: Share) {
        self.share = share;
        self.extra = self.extra.min(self.ceiling() - self.floor());
    }

    /// Maximum number of samples in flight.
    pub(crate) fn size(&self) -> u32 {
        self.floor() + self.extra
    }

    /// Grows the window by one, after a sample has finished.
    pub(crate) fn grow(&mut self) {
        self.extra = (self.extra + 1).min(self.ceiling() - self.floor());
    }

    /// Halves the part of the window above the share, after engines refused because they were full.
    pub(crate) fn shrink(&mut self) {
        self.extra /= 2;
    }

    fn floor(&self) -> u32 {
        let Share {
            slots,
            weight,
            total_weight,
        } = self.share;
        let share = u64::from(slots) * u64::from(weight) / u64::from(total_weight.max(1));
        (share as u32).max(MIN_IN_FLIGHT)
    }

    fn ceiling(&self) -> u32 {
        (self.share.slots + self.share.slots / EXTRA_SLOTS_DIVISOR).max(self.floor())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn window_grows_into_free_slots_and_shrinks_to_its_share() {
        let mut window = Window::default();
        window.set_share(Share {
            slots: 100,
            weight: 1,
            total_weight: 4,
        });
        assert_eq!(window.size(), 25);
        for _ in 0..500 {
            window.grow();
        }
        assert_eq!(window.size(), 150);
        for _ in 0..10 {
            window.shrink();
        }
        assert_eq!(window.size(), 25);
    }
}
