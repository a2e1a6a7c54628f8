//! Placement history: failure domains that had no capacity, or from which the platform reclaimed
//! endpoints.

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

/// Backoff after the first refused or failed start of a placement. Each further refused or failed
/// start doubles the backoff.
const INITIAL_BACKOFF_MS: u64 = 10_000;

/// Longest backoff after repeated refused or failed starts.
const MAX_BACKOFF_MS: u64 = 160_000;

/// Backoff of a placement after endpoints were reclaimed there or disappeared.
const RECLAIM_BACKOFF_MS: u64 = 60_000;

/// An endpoint that is still starting after this time counts as failed.
const START_TIMEOUT_MS: u64 = 180_000;

/// A failure domain and the tier of an endpoint in it.
type Placement = (Arc<str>, Tier);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until_ms: u64,
    backoff_ms: u64,
}

/// Placement history of one holder of the orders lease. The history is not replicated.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementHistory {
    backoffs: BTreeMap<Placement, Backoff>,
    /// Endpoints in the last list, with the time at which each was first seen starting.
    last_listed: BTreeMap<Arc<str>, ListedEndpoint>,
    /// Endpoints that this holder is stopping.
    stopping: BTreeSet<Arc<str>>,
}

#[derive(Clone, Debug)]
struct ListedEndpoint {
    placement: Placement,
    leaving: bool,
    starting_since_ms: Option<u64>,
}

impl PlacementHistory {
    /// Records that the platform had no capacity for this placement and backs off.
    pub(super) fn on_unavailable(&mut self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) {
        let placement = (failure_domain.clone(), tier);
        let previous = self.backoffs.get(&placement);
        let backoff_ms = previous.map_or(INITIAL_BACKOFF_MS, |backoff| 2 * backoff.backoff_ms);
        self.back_off(now_ms, placement, backoff_ms.min(MAX_BACKOFF_MS));
    }

    /// Returns whether this placement is not in backoff.
    pub(super) fn is_available(&self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) -> bool {
        let backoff = self.backoffs.get(&(failure_domain.clone(), tier));
        backoff.is_none_or(|backoff| now_ms >= backoff.until_ms)
    }

    /// Records that this holder stops the endpoint, so that its leaving does not count as a
    /// reclaim.
    pub(super) fn mark_stopping(&mut self, endpoint: &Arc<str>) {
        self.stopping.insert(endpoint.clone());
    }

    /// Compares the platform's list with the previous one. If an endpoint leaves or disappears
    /// without an order of this holder, a backoff starts for the endpoint's placement.
    pub(super) fn update(&mut self, now_ms: u64, listed: &[PlatformEndpoint]) {
        let previous_list = std::mem::take(&mut self.last_listed);
        for endpoint in listed {
            let previous = previous_list.get(&endpoint.endpoint);
            self.update_endpoint(now_ms, endpoint, previous);
        }
        for (endpoint, previous) in &previous_list {
            let is_listed = self.last_listed.contains_key(endpoint);
            if !is_listed && !previous.leaving && !self.stopping.contains(endpoint) {
                self.back_off(now_ms, previous.placement.clone(), RECLAIM_BACKOFF_MS);
            }
        }
        let last_listed = &self.last_listed;
        self.stopping
            .retain(|endpoint| last_listed.contains_key(endpoint));
        // Once a backoff has been over for `MAX_BACKOFF_MS`, drop it, so that the next failure
        // starts again with the initial backoff.
        let retention_ms = MAX_BACKOFF_MS;
        self.backoffs
            .retain(|_, backoff| now_ms < backoff.until_ms + retention_ms);
    }

    /// Records an endpoint of the current list. `previous` is its entry in the previous list.
    fn update_endpoint(
        &mut self,
        now_ms: u64,
        endpoint: &PlatformEndpoint,
        previous: Option<&ListedEndpoint>,
    ) {
        let placement = (endpoint.failure_domain.clone(), endpoint.tier);
        let leaving = endpoint.phase == EndpointPhase::Leaving;
        let was_leaving = previous.is_some_and(|previous| previous.leaving);
        let is_own_stop = self.stopping.contains(&endpoint.endpoint);
        if leaving && !was_leaving && !is_own_stop && previous.is_some() {
            self.back_off(now_ms, placement.clone(), RECLAIM_BACKOFF_MS);
        }
        let starting = endpoint.phase == EndpointPhase::Starting;
        let since_ms = previous.and_then(|previous| previous.starting_since_ms);
        let current = ListedEndpoint {
            placement,
            leaving,
            starting_since_ms: starting.then(|| since_ms.unwrap_or(now_ms)),
        };
        self.last_listed.insert(endpoint.endpoint.clone(), current);
    }

    /// Returns the endpoints that have been starting for longer than [`START_TIMEOUT_MS`].
    pub(super) fn stuck(&self, now_ms: u64) -> Vec<Arc<str>> {
        let endpoints = self.last_listed.iter();
        let stuck = endpoints.filter(|(_, listed)| {
            let since_ms = listed.starting_since_ms;
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + START_TIMEOUT_MS)
        });
        stuck.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Starts a backoff, unless a longer one is in force.
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
