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
const UNAVAILABLE_MS: u64 = 10_000;

/// An "unavailable" is remembered at most this long.
const UNAVAILABLE_LIMIT_MS: u64 = 160_000;

/// How long a failure domain that took cheap endpoints back gets no new ones.
const RECLAIMED_MS: u64 = 60_000;

/// An endpoint that is still starting after this long counts as failed.
const START_LIMIT_MS: u64 = 180_000;

/// A failure domain and what is ordered there.
type Place = (Arc<str>, Tier);

#[derive(Clone, Copy, Debug)]
struct Shut {
    until_ms: u64,
    wait_ms: u64,
}

/// The memory of one holder of the orders lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Places {
    shut: BTreeMap<Place, Shut>,
    /// Endpoints that were there at the last look, with the time they were first seen starting.
    seen: BTreeMap<Arc<str>, Seen>,
    /// Endpoints that this holder wants stopped.
    stopping: BTreeSet<Arc<str>>,
}

#[derive(Clone, Debug)]
struct Seen {
    place: Place,
    leaving: bool,
    starting_since_ms: Option<u64>,
}

impl Places {
    /// The platform had no room here.
    pub(super) fn refused(&mut self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) {
        let place = (failure_domain.clone(), tier);
        let known = self.shut.get(&place);
        let wait_ms = known.map_or(UNAVAILABLE_MS, |shut| 2 * shut.wait_ms);
        self.shut_for(now_ms, place, wait_ms.min(UNAVAILABLE_LIMIT_MS));
    }

    /// Whether an order here makes sense now.
    pub(super) fn is_open(&self, now_ms: u64, failure_domain: &Arc<str>, tier: Tier) -> bool {
        let shut = self.shut.get(&(failure_domain.clone(), tier));
        shut.is_none_or(|shut| now_ms >= shut.until_ms)
    }

    /// This endpoint goes by our own order.
    pub(super) fn stopping(&mut self, endpoint: &Arc<str>) {
        self.stopping.insert(endpoint.clone());
    }

    /// Compares the platform's list with the last one. A cheap endpoint that leaves without an
    /// order, or anything that vanishes, says that its failure domain is no place for new ones.
    pub(super) fn look(&mut self, now_ms: u64, listed: &[PlatformEndpoint]) {
        let seen = std::mem::take(&mut self.seen);
        for endpoint in listed {
            let before = seen.get(&endpoint.endpoint);
            self.look_at(now_ms, endpoint, before);
        }
        for (endpoint, seen) in &seen {
            let there = self.seen.contains_key(endpoint);
            if !there && !seen.leaving && !self.stopping.contains(endpoint) {
                self.shut_for(now_ms, seen.place.clone(), RECLAIMED_MS);
            }
        }
        let seen = &self.seen;
        self.stopping.retain(|endpoint| seen.contains_key(endpoint));
        // A place that was open for long is forgotten, and with it how often it was shut.
        let limit_ms = UNAVAILABLE_LIMIT_MS;
        self.shut
            .retain(|_, shut| now_ms < shut.until_ms + limit_ms);
    }

    fn look_at(&mut self, now_ms: u64, endpoint: &PlatformEndpoint, before: Option<&Seen>) {
        let place = (endpoint.failure_domain.clone(), endpoint.tier);
        let leaving = endpoint.phase == EndpointPhase::Leaving;
        let was_leaving = before.is_some_and(|before| before.leaving);
        let ordered = self.stopping.contains(&endpoint.endpoint);
        if leaving && !was_leaving && !ordered && before.is_some() {
            self.shut_for(now_ms, place.clone(), RECLAIMED_MS);
        }
        let starting = endpoint.phase == EndpointPhase::Starting;
        let since_ms = before.and_then(|before| before.starting_since_ms);
        let seen = Seen {
            place,
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
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + START_LIMIT_MS)
        });
        stuck.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    fn shut_for(&mut self, now_ms: u64, place: Place, wait_ms: u64) {
        let until_ms = now_ms + wait_ms;
        let known = self.shut.get(&place);
        if known.is_none_or(|shut| shut.until_ms < until_ms) {
            self.shut.insert(place, Shut { until_ms, wait_ms });
        }
    }
}
