//! Target number of endpoints for a service, with hysteresis: the target rises quickly and
//! falls slowly.

use std::collections::VecDeque;

/// The target rises once the need has exceeded the target for this long.
const SCALE_UP_DELAY_MS: u64 = 3_000;

/// The target falls to the highest need within this window.
const SCALE_DOWN_WINDOW_MS: u64 = 360_000;

/// Planned utilisation of an endpoint's slots, in percent. It is below 100 so that callers
/// rarely wait for a slot.
const TARGET_UTILISATION_PERCENT: u64 = 80;

/// Returns the number of endpoints needed for `slots` concurrent requests, with `per_endpoint`
/// slots on each.
pub(super) fn endpoints_for(slots: u32, per_endpoint: u32) -> u32 {
    let usable = u64::from(per_endpoint.max(1)) * TARGET_UTILISATION_PERCENT;
    let needed = (u64::from(slots) * 100).div_ceil(usable);
    u32::try_from(needed).unwrap_or(u32::MAX)
}

/// The target number of endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    /// Time and value of the needs within the window, in descending order of value.
    needs: VecDeque<(u64, u32)>,
    /// Since when the need has exceeded the target.
    above_since_ms: Option<u64>,
    /// Since when the load has been known without a gap.
    observed_since_ms: Option<u64>,
    current: u32,
}

impl Target {
    /// Records the number of endpoints needed now and returns the new target.
    pub(super) fn update(&mut self, now_ms: u64, need: u32) -> u32 {
        let observed_since_ms = *self.observed_since_ms.get_or_insert(now_ms);
        self.push_need(now_ms, need);
        if need > self.current {
            let above_since_ms = *self.above_since_ms.get_or_insert(now_ms);
            if now_ms >= above_since_ms + SCALE_UP_DELAY_MS {
                self.current = need;
            }
            return self.current;
        }
        self.above_since_ms = None;
        if now_ms >= observed_since_ms + SCALE_DOWN_WINDOW_MS {
            let highest = self.needs.iter().map(|(_, need)| *need).max();
            self.current = self.current.min(highest.unwrap_or(0));
        }
        self.current
    }

    /// Keeps the target while the load is unknown, and restarts the observation window.
    pub(super) fn hold(&mut self) -> u32 {
        self.needs.clear();
        self.above_since_ms = None;
        self.observed_since_ms = None;
        self.current
    }

    /// Returns whether the load has been observed for long enough to stop endpoints.
    pub(super) fn may_shrink(&self, now_ms: u64) -> bool {
        self.observed_since_ms
            .is_some_and(|observed_since_ms| now_ms >= observed_since_ms + SCALE_DOWN_WINDOW_MS)
    }

    /// Appends a need to the window, as a monotonic queue: earlier needs that are not higher are
    /// dropped.
    fn push_need(&mut self, now_ms: u64, need: u32) {
        while self.needs.back().is_some_and(|(_, last)| *last <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now_ms, need));
        while self
            .needs
            .front()
            .is_some_and(|(at_ms, _)| at_ms + SCALE_DOWN_WINDOW_MS < now_ms)
        {
            self.needs.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn target_rises_quickly_and_falls_slowly() {
        let mut target = Target::default();
        assert_eq!(target.update(0, 4), 0);
        assert_eq!(target.update(SCALE_UP_DELAY_MS, 4), 4);
        assert_eq!(target.update(10_000, 1), 4);
        assert_eq!(target.update(SCALE_DOWN_WINDOW_MS, 1), 4);
        assert_eq!(
            target.update(SCALE_DOWN_WINDOW_MS + SCALE_UP_DELAY_MS + 1, 1),
            1
        );
    }

    #[test]
    fn oscillating_load_does_not_change_the_target() {
        let mut target = Target::default();
        target.update(0, 5);
        target.update(SCALE_UP_DELAY_MS, 5);
        for round in 0..500 {
            let now_ms = 4_000 + round * 1_000;
            let need = if round % 2 == 0 { 2 } else { 5 };
            assert_eq!(target.update(now_ms, need), 5);
        }
    }

    #[test]
    fn endpoints_are_sized_below_full_utilisation() {
        assert_eq!(endpoints_for(0, 8), 0);
        assert_eq!(endpoints_for(6, 8), 1);
        assert_eq!(endpoints_for(7, 8), 2);
    }
}
