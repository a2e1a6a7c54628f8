//! What is remembered of failure domains: where there was no room, and what was taken back.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use crate::wire::{
    EndpointPhase,
    PlatformEndpoint,
    Tier, //
};

/// How long a first "unavailable" is remembered; each further one doubles it.
const INITIAL_BACKOFF_MS: u64 = 10_000;

/// An "unavailable" is remembered at most this long.
const MAX_BACKOFF_MS: u64 = 160_000;

/// How long a failure domain that took cheap endpoints back gets no new ones.
const RECLAIM_BACKOFF_MS: u64 = 60_000;

/// An endpoint that is still starting after this long counts as failed.
const START_TIMEOUT_MS: u64 = 180_000;

/// A failure domain and what is ordered there.
type Placement = (Arc<str>, Tier);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until_ms: u64,
    backoff_ms: u64,
}

/// The memory of one holder of the orders lease.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementHistory {
    backoffs: BTreeMap<Placement, Backoff>,
    /// Endpoints that were there at the last look, with the time they were first seen starting.
    seen: BTreeMap<Arc<str>, SeenEndpoint>,
    /// Endpoints that this holder wants stopped.
    stopping: BTreeSet<Arc<str>>,
}

#[derive(Clone, Debug)]
struct SeenEndpoint {
    placement: Placement,
    leaving: bool,
    starting_since_ms: Option<u64>,
}

impl PlacementHistory {
    /// The platform had no room here.
    pub(super) fn on_unavailable(&mut self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) {
        let placement = (failure_domain.clone(), tier);
        let previous = self.backoffs.get(&placement);
        let backoff_ms = previous.map_or(INITIAL_BACKOFF_MS, |backoff| 2 * backoff.backoff_ms);
        self.back_off(now_ms, placement, backoff_ms.min(MAX_BACKOFF_MS));
    }

    /// Whether an order here makes sense now.
    pub(super) fn is_available(&self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) -> bool {
        let backoff = self.backoffs.get(&(failure_domain.clone(), tier));
        backoff.is_none_or(|backoff| now_ms >= backoff.until_ms)
    }

    /// This endpoint goes by our own order.
    pub(super) fn mark_stopping(&mut self, endpoint: &Arc<str>) {
        self.stopping.insert(endpoint.clone());
    }

    /// Compares the platform's list with the last one. A cheap endpoint that leaves without an
    /// order, or anything that vanishes, says that its failure domain is no place for new ones.
    pub(super) fn update(&mut self, now_ms: u64, listed: &[PlatformEndpoint]) {
        let seen = std::mem::take(&mut self.seen);
        for endpoint in listed {
            let before = seen.get(&endpoint.endpoint);
            self.update_endpoint(now_ms, endpoint, before);
        }
        for (endpoint, seen) in &seen {
            let is_listed = self.seen.contains_key(endpoint);
            if !is_listed && !seen.leaving && !self.stopping.contains(endpoint) {
                self.back_off(now_ms, seen.placement.clone(), RECLAIM_BACKOFF_MS);
            }
        }
        let seen = &self.seen;
        self.stopping.retain(|endpoint| seen.contains_key(endpoint));
        // A place that was open for long is forgotten, and with it how often it was backoff.
        let limit_ms = MAX_BACKOFF_MS;
        self.backoffs
            .retain(|_, backoff| now_ms < backoff.until_ms + limit_ms);
    }

    fn update_endpoint(
        &mut self,
        now_ms: u64,
        endpoint: &PlatformEndpoint,
        before: Option<&SeenEndpoint>,
    ) {
        let placement = (endpoint.failure_domain.clone(), endpoint.tier);
        let leaving = endpoint.phase == EndpointPhase::Leaving;
        let was_leaving = before.is_some_and(|before| before.leaving);
        let ordered = self.stopping.contains(&endpoint.endpoint);
        if leaving && !was_leaving && !ordered && before.is_some() {
            self.back_off(now_ms, placement.clone(), RECLAIM_BACKOFF_MS);
        }
        let starting = endpoint.phase == EndpointPhase::Starting;
        let since_ms = before.and_then(|before| before.starting_since_ms);
        let seen = SeenEndpoint {
            placement,
            leaving,
            starting_since_ms: starting.then(|| since_ms.unwrap_or(now_ms)),
        };
        self.seen.insert(endpoint.endpoint.clone(), seen);
    }

    /// Endpoints that have been starting for too long.
    pub(super) fn stuck(&self, now_ms: u64) -> Vec<Arc<str>> {
        let seen = self.seen.iter();
        let stuck = seen.filter(|(_, seen)| {
            let since_ms = seen.starting_since_ms;
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + START_TIMEOUT_MS)
        });
        stuck.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    fn back_off(&mut self, now_ms: u64, placement: Placement, backoff_ms: u64) {
        let until_ms = now_ms + backoff_ms;
        let previous = self.backoffs.get(&placement);
        if previous.is_none_or(|backoff| backoff.until_ms < until_ms) {
            self.backoffs.insert(
                placement,
                Backoff {
                    until_ms,
                    backoff_ms,
                },
            );
        }
    }
}
