//! Load of an endpoint as estimated by an entry, the instance that received a request from a
//! caller. The estimate combines the entry's own requests with the last report of the endpoint's
//! home.

use std::sync::atomic::{
    AtomicU32,
    AtomicU64,
    Ordering, //
};

/// How long a home's report is used; after that only the entry's own requests count.
const REPORT_VALID_MS: u64 = 1_000;

/// Load of one endpoint as seen by one entry. Traffic threads share it without a lock; an
/// inconsistent read can lead to a worse choice of endpoint but never to an incorrect result.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    own_requests: AtomicU32,
    reported_requests: AtomicU32,
    /// Value of `own_requests` when the last report arrived.
    own_at_report: AtomicU32,
    /// Time of the last report; 0 before the first.
    reported_at_ms: AtomicU64,
    suspended_until_ms: AtomicU64,
}

impl EndpointLoad {
    /// Counts a request that this entry sends to the endpoint.
    pub fn begin(&self) {
        self.own_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request that was counted by [`Self::begin`].
    pub fn end(&self) {
        self.own_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the load reported by the home: running and queued requests from all entries.
    pub fn report(&self, requests: u32, now_ms: u64) {
        self.reported_requests.store(requests, Ordering::Relaxed);
        let own_requests = self.own_requests.load(Ordering::Relaxed);
        self.own_at_report.store(own_requests, Ordering::Relaxed);
        self.reported_at_ms.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Suspends the endpoint for new requests until `until_ms`, after it refused or could not be
    /// reached.
    pub fn suspend(&self, until_ms: u64) {
        self.suspended_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Whether the endpoint is not suspended.
    pub fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.suspended_until_ms.load(Ordering::Relaxed)
    }

    /// Estimated number of running and queued requests at the endpoint.
    pub fn estimate(&self, now_ms: u64) -> u32 {
        let own_requests = self.own_requests.load(Ordering::Relaxed);
        let reported_at_ms = self.reported_at_ms.load(Ordering::Relaxed);
        if reported_at_ms == 0 || now_ms.saturating_sub(reported_at_ms) > REPORT_VALID_MS {
            return own_requests;
        }
        let reported = self.reported_requests.load(Ordering::Relaxed);
        let own_since_report =
            own_requests.saturating_sub(self.own_at_report.load(Ordering::Relaxed));
        own_requests.max(reported.saturating_add(own_since_report))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn own_requests_since_the_report_are_added_to_it() {
        let load = EndpointLoad::default();
        load.begin();
        load.report(5, 100);
        load.begin();
        load.begin();
        assert_eq!(load.estimate(200), 7);
        assert_eq!(load.estimate(100 + REPORT_VALID_MS + 1), 3);
    }

    #[test]
    fn suspension_ends_at_its_deadline() {
        let load = EndpointLoad::default();
        load.suspend(500);
        assert!(!load.is_available(499));
        assert!(load.is_available(500));
    }
}
