//! The endpoints that the platform lists, with their health and load as observed by this instance.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc, //
};

use super::{
    limits::{
        Permits,
        RateLimit, //
    },
    migration::Pace,
    pace::MachineSpeed,
    statements::{
        Announced,
        Statement, //
    }, //
};

/// Index of an endpoint in [`Endpoints`]. Indices are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(u32);

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Id of the endpoint; usually a new one at each start.
    pub id: Arc<str>,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address at which the endpoint listens.
    pub address: Arc<str>,
    /// Failure domain of the endpoint.
    pub failure_domain: Arc<str>,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Version of the endpoint's software. What two versions generate does not fit together.
    pub software: Arc<str>,
    /// Whether the endpoint is draining and accepts no new work.
    pub draining: bool,
    /// Version of the loaded weights, by model.
    pub versions: HashMap<Arc<str>, u64>,
    /// Start time in Unix milliseconds; distinguishes incarnations with the same id.
    pub started_unix_ms: u64,
}

/// One endpoint with its health and load as observed by this instance.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The most recent listing.
    pub listing: Listing,
    /// Whether the platform no longer lists the endpoint.
    pub delisted: bool,
    /// What the endpoint said in its answers about leaving.
    pub notice: LeavingNotice,
    /// Permits of this instance for requests to the endpoint; `None` while it names no limit.
    pub permits: Option<Permits>,
    /// When this instance last heard whether the endpoint names a limit, in monotonic milliseconds.
    pub limit_known_ms: u64,
    /// When this instance last told the others what the endpoint says, in monotonic milliseconds.
    pub announced_ms: u64,
    /// Requests of this instance in flight at the endpoint.
    pub in_flight: u32,
    /// Requests that the endpoint reported as running or waiting, excluding those of this instance.
    pub other_load: u32,
    /// When this instance received the load report, in monotonic milliseconds.
    pub load_reported_ms: u64,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// End of the backoff, in monotonic milliseconds. Until then the endpoint is chosen last.
    pub backoff_until_ms: u64,
    /// End of the pause after a refused request, in monotonic milliseconds. Until then the endpoint
    /// gets no sample.
    pub refused_until_ms: u64,
    /// Whether the last order could not be delivered.
    pub unreachable: bool,
    /// Moving average of the response time in milliseconds; 0 if none was observed.
    pub response_ms: f64,
    /// Moving average of the time between two events of a stream in milliseconds; 0 if none was
    /// observed.
    pub event_ms: f64,
    /// How long work takes on the machine, if the endpoint reports it.
    pub machine: Option<MachineSpeed>,
    /// Whether a part of a load report could not be interpreted.
    pub load_malformed: bool,
}

/// What an endpoint said about itself in its answers. This holds for one incarnation of the endpoint:
/// an endpoint that leaves does not come back before it has restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeavingNotice {
    /// Nothing.
    #[default]
    None,
    /// Something that can't be understood; it is ignored.
    Malformed,
    /// The endpoint leaves. It gets no new work, whatever the list says.
    Leaving,
}

/// Backoff after the first failure; doubles with each further failure. A crashed server is
/// available again after a few seconds.
const BASE_BACKOFF_MS: u64 = 500;

/// Maximum backoff after repeated failures.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Time during which an endpoint that refused a request gets no further sample. An engine refuses
/// requests while it loads weights, which takes 0.9 s.
const REFUSAL_PAUSE_MS: u64 = 120;

/// Weight of the newest measurement in the moving averages.
const SMOOTHING: f64 = 0.3;

/// Load reports older than this are ignored.
const MAX_REPORT_AGE_MS: u64 = 500;

/// Interval between two announcements of what an endpoint says by one instance.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_000;

impl Endpoint {
    /// Returns whether the endpoint may get new work: it is listed, and neither the list nor the
    /// endpoint itself says that it leaves.
    pub fn accepts_work(&self) -> bool {
        !self.delisted && !self.listing.draining && self.notice != LeavingNotice::Leaving
    }

    /// Returns what the endpoint says of itself, as far as this instance knows.
    pub fn statement(&self) -> Statement {
        Statement {
            limit: self.permits.as_ref().map(Permits::limit),
            leaving: self.notice == LeavingNotice::Leaving,
        }
    }

    /// Returns whether this instance may send `requests` more requests within the endpoint's limit.
    pub fn permits_requests(&self, requests: u32) -> bool {
        let permits = self.permits.as_ref();
        permits.is_none_or(|permits| permits.left() >= requests)
    }

    /// Returns the newest known version of a model's weights at the endpoint.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.listing.versions.get(model).copied()
    }

    /// Returns the estimated number of requests that all instances have at the endpoint.
    pub fn load(&self, now_ms: u64) -> u32 {
        let fresh = now_ms.saturating_sub(self.load_reported_ms) < MAX_REPORT_AGE_MS;
        self.in_flight + if fresh { self.other_load } else { 0 }
    }

    /// Returns how long work that takes about `duration_ms` is expected to take on the endpoint's
    /// machine, relative to the usual time.
    pub fn work_factor(&self, duration_ms: f64, now_ms: u64) -> f64 {
        let machine = self.machine.as_ref();
        machine.map_or(1.0, |machine| machine.expected_factor(duration_ms, now_ms))
    }

    /// Returns whether the endpoint has just reported that its machine is slow, or that it is not;
    /// `None` without a recent report.
    pub fn is_machine_slow(&self, now_ms: u64) -> Option<bool> {
        self.machine.as_ref()?.is_slow(now_ms)
    }

    /// Returns whether the endpoint is in backoff after a failure.
    pub fn in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }
}

/// All endpoints, including those that are no longer listed.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// All endpoints, indexed by [`EndpointKey`].
    arena: Vec<Endpoint>,
    /// The newest endpoint with each id.
    by_id: HashMap<Arc<str>, EndpointKey>,
}

impl Endpoints {
    /// Applies the listing of one endpoint. Listings of earlier incarnations are ignored.
    pub fn update(&mut self, listing: Listing) {
        let mut notice = LeavingNotice::None;
        if let Some(key) = self.by_id.get(&listing.id) {
            let current = &mut self.arena[key.0 as usize];
            if current.listing.started_unix_ms > listing.started_unix_ms {
                return;
            }
            let restarted = current.listing.started_unix_ms < listing.started_unix_ms;
            if !restarted && current.listing.address == listing.address {
                current.listing = merge_listings(&current.listing, listing);
                current.delisted = false;
                return;
            }
            current.delisted = true;
            if !restarted {
                notice = current.notice;
            }
        }
        let index = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        self.by_id.insert(listing.id.clone(), EndpointKey(index));
        self.arena.push(Endpoint {
            listing,
            delisted: false,
            notice,
            permits: None,
            limit_known_ms: 0,
            announced_ms: 0,
            in_flight: 0,
            other_load: 0,
            load_reported_ms: 0,
            failures: 0,
            backoff_until_ms: 0,
            refused_until_ms: 0,
            unreachable: false,
            response_ms: 0.0,
            event_ms: 0.0,
            machine: None,
            load_malformed: false,
        });
    }

    /// Records that an endpoint is no longer listed.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.get(id) {
            self.arena[key.0 as usize].delisted = true;
        }
    }

    /// Records what an endpoint said in an answer about leaving. Returns whether this is new, so that
    /// it is logged once.
    pub fn notice_received(&mut self, key: EndpointKey, notice: LeavingNotice) -> bool {
        let current = &mut self.arena[key.0 as usize].notice;
        let is_new = match (*current, notice) {
            (LeavingNotice::Leaving, _) | (_, LeavingNotice::None) => false,
            (before, now) => before != now,
        };
        if is_new {
            *current = notice;
        }
        is_new
    }

    /// Records the request limit that an endpoint named in an answer, or that it named none. Returns
    /// whether this differs from what it said before.
    pub fn limit_heard(
        &mut self,
        key: EndpointKey,
        limit: Option<RateLimit>,
        now_ms: u64,
        wall_ms: u64,
    ) -> bool {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.limit_known_ms = now_ms;
        let permits = &mut endpoint.permits;
        match (permits.as_mut(), limit) {
            (Some(permits), Some(limit)) => permits.set_limit(limit),
            (None, None) => false,
            (_, limit) => {
                *permits = limit.map(|limit| Permits::new(limit, wall_ms));
                true
            }
        }
    }

    /// Records that this instance tells the others what the endpoint says. Returns whether it may: it
    /// has not done so within the last second, in which its record is read back.
    pub fn announce(&mut self, key: EndpointKey, now_ms: u64) -> bool {
        let announced_ms = &mut self.arena[key.0 as usize].announced_ms;
        let is_due = now_ms.saturating_sub(*announced_ms) >= ANNOUNCEMENT_INTERVAL_MS;
        if is_due {
            *announced_ms = now_ms;
        }
        is_due
    }

    /// Applies what other instances have announced. A limit is not applied if this instance has heard
    /// from the endpoint since.
    pub fn adopt_statements(&mut self, announced: &HashMap<Arc<str>, Announced>, wall_ms: u64) {
        for (id, announced) in announced {
            let Some(key) = self.find(id) else {
                continue;
            };
            let endpoint = self.get(key);
            if endpoint.listing.started_unix_ms != announced.started_unix_ms {
                continue;
            }
            let Statement { limit, leaving } = announced.statement;
            if endpoint.limit_known_ms < announced.seen_ms {
                self.limit_heard(key, limit, announced.seen_ms, wall_ms);
            }
            if leaving {
                self.notice_received(key, LeavingNotice::Leaving);
            }
        }
    }

    /// Returns whether an endpoint of the service names a request limit.
    pub fn has_limits(&self, service: &str) -> bool {
        self.of_service(service)
            .any(|(_, endpoint)| endpoint.permits.is_some())
    }

    /// Adds the permits for requests to the endpoints of a service. `owns` returns whether this
    /// instance owns a slot of an endpoint.
    pub fn deal_permits(&mut self, service: &str, wall_ms: u64, owns: &dyn Fn(&str, u64) -> bool) {
        for key in self.by_id.values() {
            let endpoint = &mut self.arena[key.0 as usize];
            if *endpoint.listing.service != *service {
                continue;
            }
            if let Some(permits) = &mut endpoint.permits {
                permits.deal(wall_ms, |slot| owns(&endpoint.listing.id, slot));
            }
        }
    }

    /// Uses a permit for a request to the endpoint, if it names a limit.
    pub fn take_permit(&mut self, key: EndpointKey) {
        if let Some(permits) = &mut self.arena[key.0 as usize].permits {
            permits.take();
        }
    }

    /// Returns the listed endpoints of all services.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let newest = self.by_id.values().map(|key| (*key, self.get(*key)));
        newest.filter(|(_, endpoint)| !endpoint.delisted)
    }

    /// Returns the ids of the listed endpoints.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.listed()
            .map(|(_, endpoint)| endpoint.listing.id.clone())
            .collect()
    }

    /// Returns the endpoint with the given key, even if it is no longer listed.
    pub fn get(&self, key: EndpointKey) -> &Endpoint {
        &self.arena[key.0 as usize]
    }

    /// Returns the key of the newest endpoint with the given id.
    pub fn find(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the listed endpoints of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.listed()
            .filter(move |(_, endpoint)| &*endpoint.listing.service == service)
    }

    /// Returns the versions of the software of the listed endpoints of a service.
    pub fn software_of(&self, service: &str) -> BTreeSet<Arc<str>> {
        self.of_service(service)
            .map(|(_, endpoint)| endpoint.listing.software.clone())
            .collect()
    }

    /// Counts a request as in flight at the endpoint.
    pub fn request_sent(&mut self, key: EndpointKey) {
        self.arena[key.0 as usize].in_flight += 1;
    }

    /// Records that a request is no longer in flight, regardless of its outcome.
    pub fn request_finished(&mut self, key: EndpointKey) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
    }

    /// Records that the endpoint works, which resets its failure count and its backoff.
    pub fn succeeded(&mut self, key: EndpointKey) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.failures = 0;
        endpoint.backoff_until_ms = 0;
    }

    /// Records a complete response that took `duration_ms` milliseconds.
    pub fn response_received(&mut self, key: EndpointKey, duration_ms: f64) {
        self.succeeded(key);
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.response_ms = match endpoint.response_ms {
            0.0 => duration_ms,
            current => current + SMOOTHING * (duration_ms - current),
        };
    }

    /// Updates the endpoint's average time between two events with that of one run.
    pub fn record_pace(&mut self, key: EndpointKey, pace: &Pace) {
        let Some(interval_ms) = pace.smoothed_interval_ms() else {
            return;
        };
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.event_ms = match endpoint.event_ms {
            0.0 => interval_ms,
            current => current + SMOOTHING * (interval_ms - current),
        };
    }

    /// Records that the endpoint gave no complete response, and starts a backoff that doubles with
    /// each failure up to the maximum.
    pub fn failed(&mut self, key: EndpointKey, now_ms: u64) {
        let endpoint = &mut self.arena[key.0 as usize];
        let backoff_ms = BASE_BACKOFF_MS << endpoint.failures.min(3);
        endpoint.failures += 1;
        endpoint.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Forgets the failures of all endpoints. They say nothing of an endpoint if this instance reached
    /// none.
    pub fn forget_failures(&mut self) {
        for endpoint in &mut self.arena {
            endpoint.failures = 0;
            endpoint.backoff_until_ms = 0;
            endpoint.refused_until_ms = 0;
            endpoint.unreachable = false;
        }
    }

    /// Records that an order could not be delivered to the endpoint. It gets neither orders nor samples
    /// before the end of the backoff.
    pub fn order_failed(&mut self, key: EndpointKey, now_ms: u64) {
        self.failed(key, now_ms);
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.unreachable = true;
        endpoint.refused_until_ms = endpoint.backoff_until_ms;
    }

    /// Records that the endpoint can be given orders.
    pub fn order_possible(&mut self, key: EndpointKey) {
        self.arena[key.0 as usize].unreachable = false;
    }

    /// Records that the endpoint refused a request without running it.
    pub fn refused(&mut self, key: EndpointKey, now_ms: u64) {
        self.arena[key.0 as usize].refused_until_ms = now_ms + REFUSAL_PAUSE_MS;
    }

    /// Records the number of running and waiting requests that the endpoint reported.
    pub fn load_reported(&mut self, key: EndpointKey, running_and_waiting: u32, now_ms: u64) {
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.other_load = running_and_waiting.saturating_sub(endpoint.in_flight);
        endpoint.load_reported_ms = now_ms;
    }

    /// Records how long work takes on the endpoint's machine, relative to the usual time.
    pub fn work_factor_reported(&mut self, key: EndpointKey, factor: f64, now_ms: u64) {
        let machine = &mut self.arena[key.0 as usize].machine;
        *machine = Some(MachineSpeed::reported(*machine, factor, now_ms));
    }

    /// Records that a load report could not be interpreted. Returns whether this is the endpoint's
    /// first one, so that it is logged once.
    pub fn load_ignored(&mut self, key: EndpointKey) -> bool {
        !std::mem::replace(&mut self.arena[key.0 as usize].load_malformed, true)
    }

    /// Records a version of a model's weights that the endpoint is known to have loaded.
    pub fn observe_version(&mut self, key: EndpointKey, model: &Arc<str>, version: u64) {
        let versions = &mut self.arena[key.0 as usize].listing.versions;
        let current = versions.entry(model.clone()).or_default();
        *current = version.max(*current);
    }
}

/// Merges a new listing into the current one. Within one incarnation the versions never decrease
/// and draining never ends, regardless of the order in which listings arrive.
fn merge_listings(current: &Listing, mut update: Listing) -> Listing {
    update.draining |= current.draining;
    for (model, version) in &current.versions {
        let merged_version = update.versions.entry(model.clone()).or_default();
        *merged_version = (*merged_version).max(*version);
    }
    update
}

#[cfg(test)]
mod tests;
