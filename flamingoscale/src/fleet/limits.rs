//! Divides the requests that an endpoint takes from all instances together among the instances.
//!
//! An instance that has heard of a limit needs a permit for each request. Permits come from a grid
//! of slots in wall-clock time, and every instance works out by itself which instance owns a slot. So
//! the sum over all instances stays within the limit without any message between them, also while
//! the store is unavailable. The load that this answers is many instances that each send little and
//! together too much; `docs/design/limits.md` has the argument.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    cells::Cells,
    configuration::{
        Configuration,
        RouteKind, //
    },
    leases::RUN_LEASE_PREFIX,
    ledger::{
        LeaseState,
        Ledger, //
    }, //
};

/// The number of requests that an endpoint takes from all instances together in a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    requests_per_1000_s: u64,
}

/// Smallest limit, one request in 4 s. An endpoint that names less still gets a request now and then,
/// because only an answer shows that its limit has ended.
const MIN_REQUESTS_PER_1000_S: u64 = 250;

/// Largest limit; a greater one has no effect on any load that an endpoint can get.
const MAX_REQUESTS_PER_1000_S: f64 = 1e9;

impl RateLimit {
    /// Parses a decimal number of requests per second. Returns `None` if it is not a number, or
    /// negative.
    pub fn parse(text: &str) -> Option<Self> {
        let requests_per_s: f64 = text.trim().parse().ok()?;
        if requests_per_s.is_nan() || requests_per_s < 0.0 {
            return None;
        }
        Some(Self::per_s(requests_per_s))
    }

    /// Returns the limit of a number of requests per second that is not negative.
    fn per_s(requests_per_s: f64) -> Self {
        let requests_per_1000_s = (requests_per_s * 1_000.0).min(MAX_REQUESTS_PER_1000_S) as u64;
        Self {
            requests_per_1000_s: requests_per_1000_s.max(MIN_REQUESTS_PER_1000_S),
        }
    }

    /// Returns the limit in requests per second.
    pub fn requests_per_s(self) -> f64 {
        self.requests_per_1000_s as f64 / 1_000.0
    }

    /// Returns whether two limits differ by so little that the grid of the first one may stay. Slots
    /// of different grids have unrelated owners.
    pub(crate) fn is_close_to(self, other: Self) -> bool {
        let difference = self.requests_per_1000_s.abs_diff(other.requests_per_1000_s);
        difference * CLOSE_LIMITS_DIVISOR <= self.requests_per_1000_s
    }

    /// Returns the number of permits of one slot.
    fn permits_per_slot(self) -> u64 {
        (self.requests_per_1000_s * MIN_SLOT_MS)
            .div_ceil(1_000_000)
            .max(1)
    }

    /// Returns the length of a slot in microseconds.
    fn slot_us(self) -> u64 {
        self.permits_per_slot() * 1_000_000_000 / self.requests_per_1000_s
    }

    /// Returns how long a permit is valid, in milliseconds.
    fn permit_lifetime_ms(self) -> u64 {
        BASE_PERMIT_LIFETIME_MS + PERMIT_LIFETIME_REQUESTS * 1_000_000 / self.requests_per_1000_s
    }
}

/// Limits that differ by less than the first one divided by this are close.
const CLOSE_LIMITS_DIVISOR: u64 = 10;

/// Smallest length of a slot. It bounds the work of finding the owners of the slots.
const MIN_SLOT_MS: u64 = 50;

/// Time for which a permit is valid, on top of that for [`PERMIT_LIFETIME_REQUESTS`]. In a window of
/// `w` seconds an endpoint gets at most the permits of `w` seconds and one lifetime.
const BASE_PERMIT_LIFETIME_MS: u64 = 1_500;

/// A permit is valid for the time of this many requests longer, so that a small limit can be used.
const PERMIT_LIFETIME_REQUESTS: u64 = 2;

/// What a cold endpoint may get: in any second its rate times `overshoot`, and `slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Number of requests.
    pub slack: f64,
}

/// The rate at which permits of a cold endpoint are issued, and how long they are valid.
///
/// A window of one second gets the permits of its own time and of one lifetime before. Instances
/// without contact to the others use their slots beside those to whom the slots went, so this is
/// multiplied by `1 + 1 / UNCONFIRMED_DIVISOR`. [`SLOTS_AT_ENDS`] come to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRate {
    limit: RateLimit,
    lifetime_ms: u64,
}

/// An instance without contact to the others uses one of this many of its slots of a cold endpoint.
/// The others may have got the same slots. A larger share would leave less time for a permit to be
/// valid, and requests of callers would find none.
const UNCONFIRMED_DIVISOR: u64 = 4;

/// Slots that a window gets beyond its length: one at an end of those of the confirmed instances, and
/// two of the others, whose slots are not at equal distances.
const SLOTS_AT_ENDS: u64 = 3;

/// Shortest lifetime of a permit of a cold endpoint. Samples look for permits every 100 ms.
const MIN_COLD_LIFETIME_MS: u64 = 150;

impl ColdRate {
    /// Returns the largest rate up to that of a cold endpoint, and up to the limit that the endpoint
    /// itself names, that keeps the bounds, with the longest lifetime.
    pub fn new(requests_per_s: f64, bounds: ColdBounds, named: Option<RateLimit>) -> Self {
        let cold = RateLimit::per_s(requests_per_s);
        let limit = match named {
            Some(named) if named.requests_per_1000_s < cold.requests_per_1000_s => named,
            _ => cold,
        };
        let allowed = requests_per_s * bounds.overshoot + bounds.slack;
        let at_ends = (SLOTS_AT_ENDS * limit.permits_per_slot()) as f64;
        let overlap = 1.0 + 1.0 / UNCONFIRMED_DIVISOR as f64;
        let window_s = (allowed - at_ends).max(0.0) / (limit.requests_per_s() * overlap);
        let lifetime_ms = ((window_s - 1.0) * 1_000.0) as u64;
        if lifetime_ms >= MIN_COLD_LIFETIME_MS {
            return Self {
                limit,
                lifetime_ms: lifetime_ms.min(BASE_PERMIT_LIFETIME_MS),
            };
        }
        let window_s = 1.0 + MIN_COLD_LIFETIME_MS as f64 / 1_000.0;
        Self {
            limit: RateLimit::per_s((allowed - at_ends).max(0.0) / (window_s * overlap)),
            lifetime_ms: MIN_COLD_LIFETIME_MS,
        }
    }

    /// Returns the rate in requests per second.
    pub fn requests_per_s(self) -> f64 {
        self.limit.requests_per_s()
    }
}

/// How the slots of an endpoint are given to instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grid {
    /// The slots of a limit that the endpoint names.
    Named,
    /// The slots of a cold endpoint.
    Cold,
}

/// The permits of one instance for requests to one endpoint.
#[derive(Clone, Debug)]
pub struct Permits {
    limit: RateLimit,
    /// How long a permit is valid.
    lifetime_ms: u64,
    /// End of the time whose slots have been dealt, in microseconds of the wall clock.
    dealt_until_us: u64,
    /// The slots with unused permits, oldest first.
    slots: VecDeque<Slot>,
}

/// The unused permits of one slot.
#[derive(Clone, Copy, Debug)]
struct Slot {
    /// When the permits become invalid, in milliseconds of the wall clock.
    expiry_ms: u64,
    permits: u64,
}

impl Permits {
    /// Returns the state of an instance that heard of a limit at `wall_ms`. It has no permit yet.
    pub fn new(limit: RateLimit, wall_ms: u64) -> Self {
        Self {
            limit,
            lifetime_ms: limit.permit_lifetime_ms(),
            dealt_until_us: wall_ms * 1_000,
            slots: VecDeque::new(),
        }
    }

    /// Returns the permits for a cold endpoint, none of which is valid before `start_ms` of the wall
    /// clock.
    pub fn cold(rate: ColdRate, start_ms: u64) -> Self {
        Self {
            lifetime_ms: rate.lifetime_ms,
            ..Self::new(rate.limit, start_ms)
        }
    }

    /// Returns whether these are permits for a cold endpoint with this rate.
    pub fn follows(&self, rate: ColdRate) -> bool {
        self.limit == rate.limit && self.lifetime_ms == rate.lifetime_ms
    }

    /// Returns the limit.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Replaces the limit, unless the new one is close to it. Returns whether it was replaced.
    pub fn set_limit(&mut self, limit: RateLimit) -> bool {
        let replaced = !self.limit.is_close_to(limit);
        if replaced {
            self.limit = limit;
            self.lifetime_ms = limit.permit_lifetime_ms();
        }
        replaced
    }

    /// Adds the permits of the slots that have started and that `owns` accepts, and drops the
    /// permits that are no longer valid.
    pub fn deal(&mut self, wall_ms: u64, owns: impl Fn(u64) -> bool) {
        let lifetime_ms = self.lifetime_ms;
        let slot_us = self.limit.slot_us();
        let now_us = wall_ms * 1_000;
        let first_us = (self.dealt_until_us).max(now_us.saturating_sub(lifetime_ms * 1_000));
        for slot in first_us / slot_us + 1..=now_us / slot_us {
            if owns(slot) {
                let expiry_ms = slot * slot_us / 1_000 + lifetime_ms;
                let permits = self.limit.permits_per_slot();
                self.slots.push_back(Slot { expiry_ms, permits });
            }
        }
        self.dealt_until_us = now_us.max(self.dealt_until_us);
        self.slots.retain(|slot| slot.expiry_ms > wall_ms);
    }

    /// Returns the number of unused permits.
    pub fn left(&self) -> u32 {
        let permits = self.slots.iter().map(|slot| slot.permits).sum::<u64>();
        u32::try_from(permits).unwrap_or(u32::MAX)
    }

    /// Uses the permit that would expire first. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        let Some(slot) = self.slots.front_mut() else {
            return false;
        };
        slot.permits -= 1;
        if slot.permits == 0 {
            self.slots.pop_front();
        }
        true
    }
}

/// A part of an endpoint's slots; all parts of a service are equal.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    /// Requests of callers, whom any instance may get.
    Callers,
    /// Samples of one model or their scoring calls, with the instance that runs them.
    Samples { holder: Arc<str> },
}

/// Which instances may use the slots of the endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shares {
    parts: Vec<Part>,
    /// The instances that callers may reach.
    instances: Vec<Arc<str>>,
    /// The part of the samples of the model that an engine is assigned to, by the engine's id.
    assigned_parts: HashMap<Arc<str>, usize>,
    /// Whether the fleet has several cells, whose instances know different members for long.
    has_cells: bool,
}

impl Shares {
    /// Returns the shares of a service: a part for the callers, if a route of theirs leads to it, and
    /// a part for each model whose samples it runs or scores. Models without an unfinished batch have
    /// no part while others have one. Instances that reach no endpoint have no slots while others do.
    pub fn of(
        ledger: &Ledger,
        configuration: &Configuration,
        service: &str,
        mut instances: Vec<Arc<str>>,
    ) -> Self {
        if instances.iter().any(|name| !ledger.has_lost_links(name)) {
            instances.retain(|name| !ledger.has_lost_links(name));
        }
        let has_callers = configuration.routes.iter().any(|route| {
            let mut services = route.services.iter();
            route.kind != RouteKind::Rollout
                && services.any(|(name, weight)| **name == *service && *weight > 0)
        });
        let mut parts: Vec<Part> = has_callers.then_some(Part::Callers).into_iter().collect();
        let scores_samples = ledger.scoring_services.contains(service);
        let models = configuration
            .services
            .values()
            .filter(|engines| *engines.name == *service || scores_samples)
            .filter_map(|service| service.engines.as_ref())
            .flat_map(|engines| &engines.models);
        let mut models: Vec<&Arc<str>> = models.collect();
        models.sort();
        let busy_models: HashSet<&Arc<str>> = ledger
            .registered
            .values()
            .filter(|batch| batch.is_unfinished())
            .map(|batch| &batch.summary.model)
            .collect();
        if models.iter().any(|model| busy_models.contains(model)) {
            models.retain(|model| busy_models.contains(model));
        }
        let holder = |model: &Arc<str>| {
            let lease: &LeaseState = ledger.leases.get(&*format!("{RUN_LEASE_PREFIX}{model}"))?;
            (!lease.released).then(|| lease.last_message.holder.clone())
        };
        let mut part_of_model = HashMap::new();
        for model in models {
            if let Some(holder) = holder(model) {
                part_of_model.insert(model, parts.len());
                parts.push(Part::Samples { holder });
            }
        }
        if parts.is_empty() {
            parts.push(Part::Callers);
        }
        instances.sort();
        let has_cells = Cells::of(ledger).cell("", "").count > 1;
        let assignments = ledger.assignments.iter();
        Self {
            parts,
            instances,
            has_cells,
            assigned_parts: assignments
                .filter_map(|(engine, model)| Some((engine.clone(), *part_of_model.get(model)?)))
                .collect(),
        }
    }

    /// Returns whether an instance may use a slot of a cold endpoint.
    ///
    /// The instances take turns, so that each has its slots at equal distances: then an instance
    /// whose clock is off adds at most one request to a window. In a fleet of several cells the slots
    /// of callers go by hash, as those of [`Self::owner`]: turns would shift where an instance does
    /// not know a member, and a slot is so rarely one's own that a clock matters less. The samples' slots of an engine go to
    /// the model that the engine is assigned to. `confirmed` is whether the instance is in contact
    /// with the others; see [`is_confirmed`].
    pub fn may_use_cold_slot(
        &self,
        instance: &str,
        endpoint: &str,
        slot: u64,
        confirmed: bool,
    ) -> bool {
        let turn = slot + xxh3_64(endpoint.as_bytes()) % MAX_TURN_OFFSET;
        let (part, round) = self.cold_part(endpoint, turn);
        let every = if confirmed { 1 } else { UNCONFIRMED_DIVISOR };
        match part {
            Some(Part::Samples { holder }) => **holder == *instance && round % every == 0,
            Some(Part::Callers) if self.has_cells => {
                let seed = xxh3_64_with_seed(endpoint.as_bytes(), slot);
                let owner = self.hashed_instance(seed);
                owner.is_some_and(|owner| **owner == *instance) && round % every == 0
            }
            Some(Part::Callers) => {
                let count = self.instances.len().max(1) as u64;
                let place = round % count;
                let index = usize::try_from(place).unwrap_or(usize::MAX);
                let owner = self.instances.get(index);
                let lap = round / count + place;
                owner.is_some_and(|owner| **owner == *instance) && lap % every == 0
            }
            None => false,
        }
    }

    /// Returns the part that has a turn at a cold endpoint, and the number of this turn of the part.
    fn cold_part(&self, endpoint: &str, turn: u64) -> (Option<&Part>, u64) {
        let Some(assigned) = self.assigned_parts.get(endpoint) else {
            let count = self.parts.len().max(1) as u64;
            let index = usize::try_from(turn % count).unwrap_or(usize::MAX);
            return (self.parts.get(index), turn / count);
        };
        match self.parts.first() {
            Some(Part::Callers) if turn % 2 == 0 => (self.parts.first(), turn / 2),
            Some(Part::Callers) => (self.parts.get(*assigned), turn / 2),
            _ => (self.parts.get(*assigned), turn),
        }
    }

    /// Returns the instance that owns a slot of an endpoint.
    ///
    /// The slots of callers go to the instance with the highest hash. If instances know different
    /// members, at most the slots of the members in which they differ have no owner or two.
    pub fn owner(&self, endpoint: &str, slot: u64) -> Option<&Arc<str>> {
        let seed = xxh3_64_with_seed(endpoint.as_bytes(), slot);
        let part = seed % self.parts.len().max(1) as u64;
        match self.parts.get(usize::try_from(part).ok()?)? {
            Part::Samples { holder } => Some(holder),
            Part::Callers => self.hashed_instance(seed),
        }
    }

    /// Returns the instance with the highest hash.
    fn hashed_instance(&self, seed: u64) -> Option<&Arc<str>> {
        let hash = |instance: &Arc<str>| xxh3_64_with_seed(instance.as_bytes(), seed);
        let instances = self.instances.iter();
        instances.max_by_key(|instance| (hash(instance), *instance))
    }
}

/// The turns at different endpoints are offset by less than this many slots.
const MAX_TURN_OFFSET: u64 = 1 << 20;

/// An instance that read the fleet topic this long ago may not know who runs samples now. Each read
/// takes up to a second, and another instance claims the lease of samples after 1.8 s.
const MAX_FLEET_READ_AGE_MS: u64 = 1_500;

/// Returns whether an instance is in contact with the others: it knows recent records, and the
/// others count it as live. They leave it out `heartbeat_timeout_ms` after its last heartbeat, so it
/// has to have read one back somewhat later than that.
pub fn is_confirmed(
    ledger: &Ledger,
    own_name: &str,
    fleet_read_ms: u64,
    heartbeat_timeout_ms: u64,
    now_ms: u64,
) -> bool {
    let own = ledger.members.get(own_name);
    let margin_ms = heartbeat_timeout_ms / HEARTBEAT_MARGIN_DIVISOR;
    let is_counted = own.is_some_and(|member| {
        now_ms.saturating_sub(member.seen_ms) < heartbeat_timeout_ms - margin_ms
    });
    is_counted && now_ms.saturating_sub(fleet_read_ms) < MAX_FLEET_READ_AGE_MS
}

/// The instances read a heartbeat at times that differ by up to the interval of reads, 0.4 s of the
/// 2.6 s after which an instance is left out.
const HEARTBEAT_MARGIN_DIVISOR: u64 = 6;

/// Returns the instances that may get callers: this one, those of its cell whose last heartbeat is
/// recent, and all others that are not shutting down.
///
/// `last_read_ms` is the time of the last successful read of the heartbeats of the cell: while none
/// succeeds, the last known instances stay.
pub fn live_instances(
    ledger: &Ledger,
    own_name: &str,
    last_read_ms: u64,
    heartbeat_timeout_ms: u64,
) -> Vec<Arc<str>> {
    let cells = Cells::of(ledger);
    let own_cell = cells.cell(own_name, &ledger.failure_domain(own_name));
    let members = ledger.members.values().filter(|member| {
        let heartbeat = &member.heartbeat;
        let cell = cells.cell(&heartbeat.instance, &heartbeat.failure_domain);
        let is_recent = last_read_ms.saturating_sub(member.seen_ms) < heartbeat_timeout_ms;
        *heartbeat.instance != *own_name && !heartbeat.leaving && (is_recent || cell != own_cell)
    });
    let mut instances: Vec<Arc<str>> = members
        .map(|member| member.heartbeat.instance.clone())
        .collect();
    instances.push(own_name.into());
    instances
}

#[cfg(test)]
mod tests;
