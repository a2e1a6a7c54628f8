//! How many samples of one trainer are in flight at once.
//!
//! A trainer always has its share of the service's slots. It takes what others leave free by
//! adding one for each finished sample, and halves what it took when engines refuse for want of
//! room; so shares hold under contention and no slot stays empty for want of a message.

/// Slots beyond the engines' own that keep their queues from running dry.
const EXTRA_SLOTS_DIVISOR: u32 = 2;

/// Fewest samples in flight.
const MIN_IN_FLIGHT: u32 = 2;

/// What a trainer may use of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Slots of all engines of the service.
    pub(crate) slots: u32,
    /// The trainer's weight.
    pub(crate) weight: u32,
    /// The weights of all trainers of the service together.
    pub(crate) weights: u32,
}

/// The window of one trainer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    share: Share,
    extra: u32,
}

impl Window {
    /// Takes in a changed configuration or fleet.
    pub(crate) fn set_share(&mut self, share: Share) {
        self.share = share;
        self.extra = self.extra.min(self.ceiling() - self.floor());
    }

    /// How many samples may be in flight.
    pub(crate) fn size(&self) -> u32 {
        self.floor() + self.extra
    }

    /// A sample finished: there may be room for one more.
    pub(crate) fn grow(&mut self) {
        self.extra = (self.extra + 1).min(self.ceiling() - self.floor());
    }

    /// Engines refused for want of room.
    pub(crate) fn shrink(&mut self) {
        self.extra /= 2;
    }

    fn floor(&self) -> u32 {
        let Share {
            slots,
            weight,
            weights,
        } = self.share;
        let share = u64::from(slots) * u64::from(weight) / u64::from(weights.max(1));
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
            weights: 4,
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
