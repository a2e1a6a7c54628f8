//! Schedules the status reads of the endpoints at home, with a bounded total rate.

use std::collections::BTreeMap;

use crate::view::EndpointKey;

/// Interval between reads of an endpoint that is changing or whose state is unknown.
const URGENT_INTERVAL_MS: u64 = 200;

/// Minimum interval between reads of an idle endpoint.
const MIN_IDLE_INTERVAL_MS: u64 = 1_000;

/// Maximum interval between reads of a stable endpoint. A departure is also announced in the
/// platform's list, which reaches every instance through the log.
const MAX_INTERVAL_MS: u64 = 15_000;

/// Read interval of idle endpoints per endpoint at home, which limits the total rate to five reads
/// in four seconds.
const IDLE_INTERVAL_PER_ENDPOINT_MS: u64 = 800;

/// Read interval of busy endpoints per endpoint at home, which limits the total rate to ten reads a
/// second. It is shorter than for idle endpoints, because running work must be moved in time when
/// the endpoint leaves.
const BUSY_INTERVAL_PER_ENDPOINT_MS: u64 = 100;

/// How long an unreachable endpoint is read at the urgent interval; then the idle interval applies.
const UNREACHABLE_URGENT_MS: u64 = 10_000;

/// State of an endpoint, which determines its read interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// Stable, without requests from this home.
    Idle,
    /// Stable, with requests from this home.
    Busy,
    /// Swapping, leaving or failed, or its version is unknown.
    Changing,
    /// Does not answer status reads.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct PollRecord {
    last_read_ms: u64,
    /// Time of the first schedule check that found the endpoint unreachable; `None` if it answers.
    unreachable_since_ms: Option<u64>,
}

/// Schedule of the status reads of all endpoints at home.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    records: BTreeMap<EndpointKey, PollRecord>,
}

impl PollSchedule {
    /// Returns the endpoints whose status read is due, and marks them as read now.
    pub(crate) fn due(
        &mut self,
        now_ms: u64,
        endpoints: &[(EndpointKey, PollState)],
    ) -> Vec<EndpointKey> {
        let mut records = BTreeMap::new();
        let mut due = Vec::new();
        for &(key, poll_state) in endpoints {
            let previous = self.records.get(&key).copied();
            let unreachable_since_ms = match poll_state {
                PollState::Unreachable => Some(
                    previous
                        .and_then(|record| record.unreachable_since_ms)
                        .unwrap_or(now_ms),
                ),
                _ => None,
            };
            let is_long_unreachable = unreachable_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + UNREACHABLE_URGENT_MS);
            let interval_ms = match poll_state {
                PollState::Busy => busy_interval_ms(endpoints.len()),
                PollState::Idle => idle_interval_ms(endpoints.len()),
                PollState::Unreachable if is_long_unreachable => idle_interval_ms(endpoints.len()),
                PollState::Changing | PollState::Unreachable => URGENT_INTERVAL_MS,
            };
            let is_due = previous.is_none_or(|record| now_ms >= record.last_read_ms + interval_ms);
            let last_read_ms = match previous {
                Some(record) if !is_due => record.last_read_ms,
                _ => now_ms,
            };
            records.insert(
                key,
                PollRecord {
                    last_read_ms,
                    unreachable_since_ms,
                },
            );
            due.extend(is_due.then_some(key));
        }
        self.records = records;
        due
    }
}

/// Read interval of an idle endpoint with `endpoints` at home.
fn idle_interval_ms(endpoints: usize) -> u64 {
    (endpoints as u64 * IDLE_INTERVAL_PER_ENDPOINT_MS).clamp(MIN_IDLE_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Read interval of a busy endpoint with `endpoints` at home.
fn busy_interval_ms(endpoints: usize) -> u64 {
    (endpoints as u64 * BUSY_INTERVAL_PER_ENDPOINT_MS).clamp(URGENT_INTERVAL_MS, MAX_INTERVAL_MS)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of reads in `span_ms` when the schedule is checked at the urgent interval.
    fn reads(count: u32, poll_state: PollState, span_ms: u64) -> usize {
        let endpoints: Vec<_> = (0..count)
            .map(|key| (EndpointKey(key), poll_state))
            .collect();
        let mut schedule = PollSchedule::default();
        (0..span_ms)
            .step_by(URGENT_INTERVAL_MS as usize)
            .map(|now_ms| schedule.due(now_ms, &endpoints).len())
            .sum()
    }

    #[test]
    fn read_rate_of_stable_endpoints_is_bounded() {
        for count in [2, 5, 18] {
            let first_reads = count as usize;
            let idle = reads(count, PollState::Idle, 60_000) - first_reads;
            assert!(idle <= 120, "{count}: {idle}");
            let busy = reads(count, PollState::Busy, 60_000) - first_reads;
            assert!(busy <= 600, "{count}: {busy}");
        }
    }

    #[test]
    fn changing_endpoint_is_read_on_every_check() {
        assert_eq!(reads(1, PollState::Changing, 10_000), 50);
    }

    #[test]
    fn long_unreachable_endpoint_is_read_at_the_idle_rate() {
        let reads = reads(1, PollState::Unreachable, 60_000);
        assert!((50..=101).contains(&reads), "{reads}");
    }

    #[test]
    fn endpoint_that_starts_changing_is_read_at_once() {
        let key = EndpointKey(1);
        let mut schedule = PollSchedule::default();
        assert_eq!(schedule.due(0, &[(key, PollState::Idle)]), [key]);
        assert!(schedule.due(200, &[(key, PollState::Idle)]).is_empty());
        assert_eq!(schedule.due(400, &[(key, PollState::Changing)]), [key]);
    }
}
