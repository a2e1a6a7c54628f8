//! The endpoints that the platform lists, and what this instance saw of each.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::migration::Pace;

/// Names an endpoint's place in [`Endpoints`]. Places are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(u32);

/// What the platform lists of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its id; mostly new at each start.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Version of the weights by model.
    pub versions: HashMap<Arc<str>, u64>,
    /// Unix milliseconds of its start; tells incarnations under one id apart.
    pub started_unix_ms: u64,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// As the platform lists it.
    pub listing: Listing,
    /// Whether it has left the list.
    pub gone: bool,
    /// Requests that this instance has at it.
    pub in_flight: u32,
    /// Requests that it reported running and waiting, less this instance's own.
    pub other_load: u32,
    /// When it reported that, in monotonic milliseconds.
    pub load_reported_ms: u64,
    /// Failures since the last answer.
    pub failures: u32,
    /// It is chosen last until then, in monotonic milliseconds.
    pub backoff_until_ms: u64,
    /// It refused a request; it gets none of a batch until then, in monotonic milliseconds.
    pub refused_until_ms: u64,
    /// Smoothed time to an answer; 0 where none was seen.
    pub answer_ms: f64,
    /// Smoothed time between two events of a stream; 0 where none was seen.
    pub event_ms: f64,
}

/// How long an endpoint is chosen last after its first failure; doubles with each further one.
/// A crashed server is back after some seconds.
const BASE_BACKOFF_MS: u64 = 500;

/// Longest time that an endpoint is chosen last.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Pause after a refusal. A load of weights, during which an engine refuses, takes 0.9 s.
const REFUSAL_PAUSE_MS: u64 = 120;

/// Weight of the newest answer in the smoothed time.
const SMOOTHING: f64 = 0.3;

/// A load report older than this says nothing.
const MAX_REPORT_AGE_MS: u64 = 500;

impl Endpoint {
    /// Returns whether new work may go to it.
    pub fn accepts_work(&self) -> bool {
        !self.gone && !self.listing.draining
    }

    /// Returns the version of a model's weights that it was last known to have.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.listing.versions.get(model).copied()
    }

    /// Returns the requests that are probably at it.
    pub fn load(&self, now_ms: u64) -> u32 {
        let fresh = now_ms.saturating_sub(self.load_reported_ms) < MAX_REPORT_AGE_MS;
        self.in_flight + if fresh { self.other_load } else { 0 }
    }

    /// Returns whether it failed lately.
    pub fn in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }
}

/// All endpoints by place.
#[derive(Debug, Default)]
pub struct Endpoints {
    arena: Vec<Endpoint>,
    by_id: HashMap<Arc<str>, EndpointKey>,
}

impl Endpoints {
    /// Takes in what the platform says of one endpoint.
    pub fn update(&mut self, listing: Listing) {
        if let Some(key) = self.by_id.get(&listing.id) {
            let known = &mut self.arena[key.0 as usize];
            if known.listing.started_unix_ms > listing.started_unix_ms {
                return;
            }
            let restarted = known.listing.started_unix_ms < listing.started_unix_ms;
            if !restarted && known.listing.address == listing.address {
                known.listing = merged(&known.listing, listing);
                known.gone = false;
                return;
            }
            known.gone = true;
        }
        let place = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        self.by_id.insert(listing.id.clone(), EndpointKey(place));
        self.arena.push(Endpoint {
            listing,
            gone: false,
            in_flight: 0,
            other_load: 0,
            load_reported_ms: 0,
            failures: 0,
            backoff_until_ms: 0,
            refused_until_ms: 0,
            answer_ms: 0.0,
            event_ms: 0.0,
        });
    }

    /// Notes that an endpoint has left the list.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id) {
            self.arena[key.0 as usize].gone = true;
        }
    }

    /// Returns the ids of the endpoints that are listed.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.by_id
            .values()
            .filter(|key| !self.get(**key).gone)
            .map(|key| self.get(*key).listing.id.clone())
            .collect()
    }

    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> &Endpoint {
        &self.arena[key.0 as usize]
    }

    /// Returns an endpoint's place by its id.
    pub fn find(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the endpoints of a service that are listed.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.by_id
            .values()
            .map(|key| (*key, self.get(*key)))
            .filter(move |(_, endpoint)| !endpoint.gone && &*endpoint.listing.service == service)
    }

    /// Notes a request sent.
    pub fn request_sent(&mut self, key: EndpointKey) {
        self.arena[key.0 as usize].in_flight += 1;
    }

    /// Notes that a request is over, however it ended.
    pub fn request_finished(&mut self, key: EndpointKey) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
    }

    /// Notes that the endpoint does its work, so that former failures count no more.
    pub fn succeeded(&mut self, key: EndpointKey) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.failures = 0;
        endpoint.backoff_until_ms = 0;
    }

    /// Notes an answer.
    pub fn answered(&mut self, key: EndpointKey, took_ms: f64) {
        self.succeeded(key);
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.answer_ms = match endpoint.answer_ms {
            0.0 => took_ms,
            known => known + SMOOTHING * (took_ms - known),
        };
    }

    /// Notes the time between two events of a stream.
    pub fn record_pace(&mut self, key: EndpointKey, pace: &Pace) {
        let Some(interval_ms) = pace.smoothed_interval_ms() else {
            return;
        };
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.event_ms = match endpoint.event_ms {
            0.0 => interval_ms,
            known => known + SMOOTHING * (interval_ms - known),
        };
    }

    /// Notes that the endpoint gave no whole answer.
    pub fn failed(&mut self, key: EndpointKey, now_ms: u64) {
        let endpoint = &mut self.arena[key.0 as usize];
        let backoff_ms = BASE_BACKOFF_MS << endpoint.failures.min(3);
        endpoint.failures += 1;
        endpoint.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Notes that an endpoint refused a request without running it.
    pub fn refused(&mut self, key: EndpointKey, now_ms: u64) {
        self.arena[key.0 as usize].refused_until_ms = now_ms + REFUSAL_PAUSE_MS;
    }

    /// Notes the load that an endpoint reported.
    pub fn load_reported(&mut self, key: EndpointKey, running_and_waiting: u32, now_ms: u64) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.other_load = running_and_waiting.saturating_sub(endpoint.in_flight);
        endpoint.load_reported_ms = now_ms;
    }

    /// Notes the version that an endpoint's own answer named.
    pub fn observe_version(&mut self, key: EndpointKey, model: &Arc<str>, version: u64) {
        let versions = &mut self.arena[key.0 as usize].listing.versions;
        let known = versions.entry(model.clone()).or_default();
        *known = version.max(*known);
    }
}

/// Versions and counts of one incarnation only rise, whatever order the update comes in.
fn merged(known: &Listing, mut update: Listing) -> Listing {
    update.draining |= known.draining;
    for (model, version) in &known.versions {
        let newer = update.versions.entry(model.clone()).or_default();
        *newer = (*newer).max(*version);
    }
    update
}

#[cfg(test)]
mod tests;
