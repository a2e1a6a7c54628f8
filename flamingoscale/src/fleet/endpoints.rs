//! The endpoints that the platform lists, with their health and load as observed by this instance.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    sync::Arc, //
};

use super::{
    configuration::{
        ColdStart,
        Configuration, //
    },
    evacuation::{
        Evacuations,
        Observation,
        Written, //
    },
    limits::{
        ColdBounds,
        ColdRate,
        Grid,
        Permits,
        RateLimit, //
    },
    migration::Pace,
    pace::MachineSpeed,
    statements::{
        Announced,
        Statement, //
    },
    warming::{
        Change,
        ColdReport,
        Warming,
        WINDOW_MS, //
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
    /// How long the endpoint stays cold, as the record says.
    pub cold_left: ColdReport,
    /// Whether the endpoint is rented at a lower price and the platform may take it back.
    pub spot: bool,
    /// Time until the platform takes the endpoint back, as of the listing; `None` if it does not.
    pub leaves_ms: Option<u64>,
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
    /// Whether the operator has evacuated the endpoint's failure domain.
    pub evacuated: bool,
    /// Permits of this instance for requests to the endpoint; `None` while it names no limit.
    pub permits: Option<Permits>,
    /// What is known of the endpoint's cold period.
    pub warming: Warming,
    /// Permits of this instance while the endpoint is cold. They replace `permits` and follow the
    /// smaller one of the two limits.
    pub cold_permits: Option<Permits>,
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

/// Interval between two looks for cold periods that have ended. It bounds the work for each request.
const EVALUATION_INTERVAL_MS: u64 = 20;

/// Interval between two announcements of what an endpoint says by one instance.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_000;

impl Endpoint {
    /// Returns whether the endpoint may get new work: it is listed, its failure domain is not evacuated,
    /// and neither the list nor the endpoint itself says that it leaves.
    pub fn accepts_work(&self) -> bool {
        !self.delisted
            && !self.evacuated
            && !self.listing.draining
            && self.notice != LeavingNotice::Leaving
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
        self.permits_left().is_none_or(|left| left >= requests)
    }

    /// Returns the number of requests that this instance may send now; `None` if there is no limit.
    pub fn permits_left(&self) -> Option<u32> {
        let permits = self.cold_permits.as_ref().or(self.permits.as_ref());
        permits.map(Permits::left)
    }

    /// Returns whether a request to the endpoint needs a permit.
    pub fn is_limited(&self) -> bool {
        self.cold_permits.is_some() || self.permits.is_some()
    }

    /// Returns whether the endpoint is cold and this instance has no permit for it.
    pub fn lacks_cold_permit(&self) -> bool {
        let permits = self.cold_permits.as_ref();
        permits.is_some_and(|permits| permits.left() == 0)
    }

    /// Evaluates what is known of the cold period, and gives the endpoint permits for its rate or
    /// takes them away.
    fn warm_up(
        &mut self,
        cold_start: Option<&ColdStart>,
        bounds: ColdBounds,
        wall_ms: u64,
    ) -> Option<Change> {
        let Some(cold_start) = cold_start else {
            self.cold_permits = None;
            return None;
        };
        let was_unlimited = self.warming.may_have_been_unlimited();
        let started_unix_ms = self.listing.started_unix_ms;
        let change = self.warming.evaluate(cold_start, started_unix_ms, wall_ms);
        if !self.warming.is_cold() {
            if self.cold_permits.take().is_some() {
                let limit = self.permits.as_ref().map(Permits::limit);
                self.permits = limit.map(|limit| Permits::new(limit, wall_ms));
            }
            return change;
        }
        let named = self.permits.as_ref().map(Permits::limit);
        let rate = ColdRate::new(cold_start.requests_per_s, bounds, named);
        let current = self.cold_permits.as_ref();
        if current.is_some_and(|permits| permits.follows(rate)) {
            return change;
        }
        // The bound holds for a window that began before: what was sent in it counts.
        let counts_earlier = was_unlimited || current.is_some();
        let start_ms = wall_ms + if counts_earlier { WINDOW_MS } else { 0 };
        self.cold_permits = Some(Permits::cold(rate, start_ms));
        change
    }

    /// Returns the newest known version of a model's weights at the endpoint.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.listing.versions.get(model).copied()
    }

    /// Returns a number that grows with each load of weights that is known. A load discards what the
    /// endpoint has cached.
    pub fn weight_loads(&self) -> u64 {
        let versions = self.listing.versions.values();
        versions.fold(0, |sum, version| sum.wrapping_add(*version))
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
    /// When the cold endpoints of a service were last evaluated, in wall-clock milliseconds. Cleared by
    /// new evidence.
    evaluated_ms: HashMap<Arc<str>, u64>,
    /// When the read of the list was sent whose records are applied now, in wall-clock milliseconds.
    list_read_ms: u64,
    /// The evacuated failure domains, which also apply to endpoints that are listed later.
    evacuations: Evacuations,
}

/// The endpoints of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainCount {
    /// Number of listed endpoints.
    pub endpoints: usize,
    /// Requests of this instance in flight at them, or at earlier starts of them.
    pub in_flight: u32,
}

impl Endpoints {
    /// Records when the read of the list was sent that gave the records that are applied next, in
    /// wall-clock milliseconds.
    pub fn list_read(&mut self, sent_wall_ms: u64) {
        self.list_read_ms = sent_wall_ms;
    }

    /// Applies the listing of one endpoint. Listings of earlier incarnations are ignored.
    pub fn update(&mut self, listing: Listing) {
        self.evaluated_ms.clear();
        let mut notice = LeavingNotice::None;
        let mut warming = Warming::default();
        let mut cold_permits = None;
        let evacuated = self.evacuations.contains(&listing.failure_domain);
        if let Some(key) = self.by_id.get(&listing.id) {
            let current = &mut self.arena[key.0 as usize];
            if current.listing.started_unix_ms > listing.started_unix_ms {
                return;
            }
            let restarted = current.listing.started_unix_ms < listing.started_unix_ms;
            if !restarted && current.listing.address == listing.address {
                current.warming.listed(listing.cold_left, self.list_read_ms);
                current.listing = merge_listings(&current.listing, listing);
                current.evacuated = evacuated;
                current.delisted = false;
                return;
            }
            current.delisted = true;
            if restarted {
                warming = current.warming.of_next_start();
            } else {
                notice = current.notice;
                warming = current.warming;
                cold_permits = current.cold_permits.clone();
            }
        }
        warming.listed(listing.cold_left, self.list_read_ms);
        let index = u32::try_from(self.arena.len()).unwrap_or(u32::MAX);
        self.by_id.insert(listing.id.clone(), EndpointKey(index));
        self.arena.push(Endpoint {
            listing,
            delisted: false,
            notice,
            evacuated,
            permits: None,
            warming,
            cold_permits,
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

    /// Applies a record that evacuates a failure domain; see [`Evacuations::written`].
    pub fn evacuate(
        &mut self,
        domain: &Arc<str>,
        offset: u64,
        malformed: bool,
        now_ms: u64,
    ) -> Written {
        let written = self.evacuations.written(domain, offset, malformed, now_ms);
        if written.begun {
            self.mark_evacuated();
        }
        written
    }

    /// Applies the removal of a failure domain's key; see [`Evacuations::removed`].
    pub fn end_evacuation(&mut self, domain: &str, offset: u64, now_ms: u64) -> Option<u64> {
        let lasted_ms = self.evacuations.removed(domain, offset, now_ms)?;
        self.mark_evacuated();
        Some(lasted_ms)
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns what has happened in evacuated failure domains since the last call; see
    /// [`Evacuations::observe`].
    pub fn observe_evacuations(&mut self, now_ms: u64) -> Vec<Observation> {
        let mut evacuations = std::mem::take(&mut self.evacuations);
        let count = |domain: &str| {
            let count = self.count_domain(domain);
            (count.endpoints, count.in_flight)
        };
        let observations = evacuations.observe(&count, now_ms);
        self.evacuations = evacuations;
        observations
    }

    /// Counts the endpoints of a failure domain and the requests of this instance there.
    pub fn count_domain(&self, domain: &str) -> DomainCount {
        let in_domain = |endpoint: &&Endpoint| *endpoint.listing.failure_domain == *domain;
        let in_flight = self.arena.iter().filter(in_domain);
        DomainCount {
            endpoints: self
                .listed()
                .filter(|(_, endpoint)| in_domain(endpoint))
                .count(),
            in_flight: in_flight.map(|endpoint| endpoint.in_flight).sum(),
        }
    }

    /// Returns whether a service has endpoints, and the failure domains of all of them are evacuated.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut endpoints = self.of_service(service).peekable();
        !self.evacuations.is_empty()
            && endpoints.peek().is_some()
            && endpoints.all(|(_, endpoint)| endpoint.evacuated)
    }

    /// Marks the endpoints of evacuated failure domains, also those that are no longer listed: a request
    /// may have been chosen for them.
    fn mark_evacuated(&mut self) {
        for endpoint in &mut self.arena {
            let domain = &endpoint.listing.failure_domain;
            endpoint.evacuated = self.evacuations.contains(domain);
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
        let is_new = match (permits.as_mut(), limit) {
            (Some(permits), Some(limit)) => permits.set_limit(limit),
            (None, None) => false,
            (_, limit) => {
                *permits = limit.map(|limit| Permits::new(limit, wall_ms));
                true
            }
        };
        if is_new {
            self.evaluated_ms.clear();
        }
        is_new
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

    /// Records that a connection to an endpoint was refused, reset or broken. The endpoint may start
    /// again under the same id and address, which the list shows late.
    pub fn connection_failed(&mut self, key: EndpointKey) {
        self.evaluated_ms.clear();
        self.arena[key.0 as usize].warming.connection_failed();
    }

    /// Records that an endpoint answered.
    pub fn answered(&mut self, key: EndpointKey, wall_ms: u64) {
        self.arena[key.0 as usize].warming.answered(wall_ms);
    }

    /// Records how long an endpoint stays cold, as its response says.
    pub fn cold_stated(&mut self, key: EndpointKey, report: ColdReport, wall_ms: u64) {
        if report != ColdReport::NotStated {
            self.evaluated_ms.clear();
        }
        self.arena[key.0 as usize].warming.stated(report, wall_ms);
    }

    /// Records that the evacuation of a failure domain has ended. Its endpoints are cold for the time
    /// that their service's endpoints are cold after a start, unless a record shows otherwise that was
    /// written later. Cold periods count in wall-clock time, so the monotonic time is not used.
    pub fn domain_returned(
        &mut self,
        failure_domain: &str,
        configuration: &Configuration,
        _now_ms: u64,
        wall_ms: u64,
    ) {
        self.evaluated_ms.clear();
        for endpoint in &mut self.arena {
            let listing = &endpoint.listing;
            let service = configuration.services.get(&listing.service);
            let is_in_domain = *listing.failure_domain == *failure_domain;
            if is_in_domain && service.is_some_and(|service| service.cold_start.is_some()) {
                endpoint.warming.domain_returned(wall_ms);
            }
        }
    }

    /// Returns whether requests to an endpoint of the service need permits.
    pub fn has_limits(&self, service: &str) -> bool {
        self.of_service(service)
            .any(|(_, endpoint)| endpoint.is_limited())
    }

    /// Evaluates which endpoints of a service are cold, unless it has just been done and there is no new
    /// evidence. Returns what has changed, for the log.
    pub fn warm_up(
        &mut self,
        service: &str,
        cold_start: Option<&ColdStart>,
        bounds: ColdBounds,
        wall_ms: u64,
    ) -> Vec<(EndpointKey, Change)> {
        let evaluated_ms = self.evaluated_ms.get(service);
        if evaluated_ms.is_some_and(|at_ms| wall_ms < at_ms + EVALUATION_INTERVAL_MS) {
            return Vec::new();
        }
        self.evaluated_ms.insert(service.into(), wall_ms);
        let mut changes = Vec::new();
        for key in self.by_id.values() {
            let endpoint = &mut self.arena[key.0 as usize];
            if *endpoint.listing.service == *service && !endpoint.delisted {
                let change = endpoint.warm_up(cold_start, bounds, wall_ms);
                changes.extend(change.map(|change| (*key, change)));
            }
        }
        changes
    }

    /// Adds the permits for requests to the endpoints of a service. `owns` returns whether this
    /// instance may use a slot of an endpoint.
    pub fn deal_permits(
        &mut self,
        service: &str,
        wall_ms: u64,
        owns: &dyn Fn(&str, u64, Grid) -> bool,
    ) {
        for key in self.by_id.values() {
            let endpoint = &mut self.arena[key.0 as usize];
            if *endpoint.listing.service != *service {
                continue;
            }
            let id = &endpoint.listing.id;
            if let Some(permits) = &mut endpoint.cold_permits {
                permits.deal(wall_ms, |slot| owns(id, slot, Grid::Cold));
            } else if let Some(permits) = &mut endpoint.permits {
                permits.deal(wall_ms, |slot| owns(id, slot, Grid::Named));
            }
        }
    }

    /// Uses a permit for a request to the endpoint, if it has a limit.
    pub fn take_permit(&mut self, key: EndpointKey) {
        let endpoint = &mut self.arena[key.0 as usize];
        let permits = endpoint.cold_permits.as_mut();
        if let Some(permits) = permits.or(endpoint.permits.as_mut()) {
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
        let endpoint = &mut self.arena[key.0 as usize];
        endpoint.in_flight += 1;
        if endpoint.cold_permits.is_none() {
            endpoint.warming.sent_without_permit();
        }
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
