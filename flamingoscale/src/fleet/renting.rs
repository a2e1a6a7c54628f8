//! Decides how many endpoints are ordered from the platform, in which failure domain and of which kind,
//! and when they are given back.
//!
//! An order costs money and nothing can be read back, so the list of endpoints is the only evidence of
//! what an order has done. The reasons are in `docs/design/renting.md`.

mod demand;
mod positions;

use std::{
    collections::{
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    sync::Arc, //
};

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use self::{
    demand::{
        Demand,
        Speed, //
    },
    positions::{
        Position,
        Supply, //
    }, //
};
use super::{
    configuration::{
        Scaling,
        Service, //
    },
    endpoints::Endpoints,
    ledger::Ledger, //
};

/// Time for which a service is observed before the first order. The list of endpoints and the batches
/// are not complete right after a start, and listings that lapsed in an outage of the store take 2 s to
/// come back.
const START_MS: u64 = 5_000;

/// A longer pause between two observations starts them anew: the time in between is not known.
const MAX_GAP_MS: u64 = 2_000;

/// A loss that lasts this long is replaced. A crashed endpoint is back after 4 to 5 s, and the list shows
/// it up to 1.2 s later.
const LASTING_LOSS_MS: u64 = 8_000;

/// A large loss, or one of reclaimed endpoints, is replaced after this time: longer than the 2 s in which
/// a lapsed listing comes back.
const LARGE_LOSS_MS: u64 = 3_000;

/// Part of the endpoints whose loss is large.
const LARGE_LOSS_SHARE: f64 = 0.25;

/// Work that the endpoints can't do in time has to be there this long: more than the 4 s between two
/// batches of a trainer, so that the peak after a batch arrives is not taken for a shortage.
const OVERLOAD_MS: u64 = 5_000;

/// The need of endpoints has to exceed those that are ready by this factor. The expected tokens and the
/// progress of batches are rough.
const OVERLOAD_FACTOR: f64 = 1.25;

/// Endpoints beyond those at the start, as a part of them, that work alone may justify. Half as many again
/// changed the value of four heavily loaded days by no more than the noise.
const MAX_EXTRA_SHARE: f64 = 0.5;

/// Time constant of the average that says whether the endpoints are full.
const BUSY_TIME_MS: f64 = 6_000.0;

/// Endpoints that are full for a smaller part of the time have room, and nothing is ordered.
const BUSY_SHARE: f64 = 0.5;

/// Endpoints are given back after this time without a shortage.
const QUIET_MS: u64 = 20_000;

/// Minimum time between two orders for one subject.
const CHANGE_INTERVAL_MS: u64 = 5_000;

/// Time after `boot_ms` by which an order has to show in the list: the heartbeat of an endpoint (1.2 s),
/// the age of the list (0.8 s), and a platform that is slow.
const VISIBLE_MARGIN_MS: u64 = 5_000;

/// Wait after an order that was refused or had no effect; doubles with each further one.
const REFUSAL_WAIT_MS: u64 = 10_000;

/// Wait of the whole service after the platform limited the rate, could not be reached or gave no answer;
/// doubles with each further one.
const PLATFORM_WAIT_MS: u64 = 3_000;

/// Maximum number of times that a wait doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Time after which an order that was handed out no longer counts as being sent, if its end was never
/// reported.
const SENDING_MS: u64 = 5_000;

/// What was listed at the start of a subject is taken after it was stable for this long.
const FIRST_STABLE_MS: u64 = 2_000;

/// A greater count than that at the start has to be stable for this long to replace it. Restarted
/// endpoints may be listed twice for a moment.
const RAISE_STABLE_MS: u64 = 5_000;

/// Minimum time between two records for what was there at the start of a subject.
const RECORD_INTERVAL_MS: u64 = 3_000;

/// The unit of orders: the platform checks fencing numbers for each subject.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// Name of the service.
    pub service: Arc<str>,
    /// The failure domain.
    pub failure_domain: Arc<str>,
}

/// How an endpoint is rented.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// At the full price; the platform does not take it back.
    Regular,
    /// At a lower price. The platform may take back all those of a failure domain at once.
    Spot,
}

/// Why endpoints are ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Endpoints that were there are gone.
    #[display("endpoints lost")]
    Lost,
    /// The endpoints can't do the work in time.
    #[display("work can't be done in time")]
    Work,
    /// There was no shortage for some time.
    #[display("given back")]
    Surplus,
}

/// Numbers of endpoints by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Endpoints at the full price.
    pub regular: u32,
    /// Endpoints that may be reclaimed.
    pub spot: u32,
}

impl Counts {
    /// Returns the number of endpoints of both kinds.
    pub fn total(self) -> u32 {
        self.regular + self.spot
    }

    fn of(self, kind: Kind) -> u32 {
        match kind {
            Kind::Regular => self.regular,
            Kind::Spot => self.spot,
        }
    }

    fn with(mut self, kind: Kind, count: u32) -> Self {
        match kind {
            Kind::Regular => self.regular = count,
            Kind::Spot => self.spot = count,
        }
        self
    }

    fn max(self, other: Self) -> Self {
        Self {
            regular: self.regular.max(other.regular),
            spot: self.spot.max(other.spot),
        }
    }
}

/// An order for a subject, as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The kind that is ordered.
    pub kind: Kind,
    /// Number of endpoints of this kind that the subject shall have.
    pub count: u32,
    /// Why it was ordered.
    pub reason: Reason,
    /// Term of the control lease under which the order is sent.
    pub term: u64,
    /// When the order was decided, in Unix milliseconds. With the term this tells two orders apart.
    pub ordered_unix_ms: u64,
}

impl OrderRecord {
    /// Returns what tells this order from others of its subject. Later orders have greater values.
    fn identity(&self) -> (u64, u64) {
        (self.term, self.ordered_unix_ms)
    }

    fn shows_in(&self, present: Counts) -> bool {
        match self.reason {
            Reason::Surplus => present.of(self.kind) <= self.count,
            _ => present.of(self.kind) >= self.count,
        }
    }
}

/// What the store keeps of a subject, so that the next holder of the lease can go on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectRecord {
    /// The endpoints that were there before anything was ordered.
    pub initial: Counts,
    /// The newest order; `None` if there was none.
    pub last_order: Option<OrderRecord>,
}

/// A subject as this instance has read it from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownSubject {
    /// What the store keeps.
    pub record: SubjectRecord,
    /// When this instance read of the newest order, in monotonic milliseconds. An order that was decided
    /// long before counts as new, which only delays the next one.
    pub seen_ms: u64,
}

impl KnownSubject {
    /// Returns what holds after `next` was read. A record that a former holder of the lease wrote late
    /// does not replace the order of the current one.
    pub fn followed_by(self, next: Self) -> Self {
        let identity = |known: &Self| known.record.last_order.map(|order| order.identity());
        let initial = self.record.initial.max(next.record.initial);
        let mut newest = match identity(&self) >= identity(&next) {
            true => self,
            false => next,
        };
        newest.record.initial = initial;
        newest
    }
}

/// An order to send: the subject's record has to be stored and read back before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What the order is for.
    pub subject: Subject,
    /// The record of the subject, with this order.
    pub record: SubjectRecord,
    /// The order itself.
    pub order: OrderRecord,
}

/// How the sending of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform has no such endpoints there now, or refused the order for another reason.
    Refused,
    /// The platform limits the rate of orders.
    Limited,
    /// The order was not sent.
    NotSent,
    /// There was no answer, or one that does not say whether the order is carried out. It may still be.
    Unanswered,
}

/// Why nothing is ordered for a service.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// `min` is above `max`.
    #[display("min is above max")]
    Bounds,
    /// A price is negative or not a number.
    #[display("a price is negative or not a number")]
    Price,
    /// No failure domain has a price.
    #[display("no failure domain has a price")]
    NoPrices,
    /// A price is given for a failure domain in which nothing was ever seen.
    #[display("unknown failure domain {_0}")]
    UnknownDomain(Arc<str>),
}

/// What a decision for one service is based on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The service.
    pub service: &'a Service,
    /// All listed endpoints.
    pub endpoints: &'a Endpoints,
    /// The batches, and what was ordered before.
    pub ledger: &'a Ledger,
    /// Failure domains that the operator evacuates: they get no order and count as no capacity.
    pub evacuated: &'a BTreeSet<Arc<str>>,
    /// Time after its submission within which a batch is wanted.
    pub target_ms: u64,
    /// How long after its submission a batch may lack results before its samples are given up.
    pub retention_ms: u64,
    /// Term of the control lease.
    pub term: u64,
    /// Monotonic time in milliseconds.
    pub now_ms: u64,
    /// Wall-clock time in Unix milliseconds.
    pub now_unix_ms: u64,
}

/// What is to be done for a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Why nothing is ordered, if that is new.
    pub fault: Option<Fault>,
    /// What was there at the start of subjects, to be stored.
    pub records: Vec<(Subject, SubjectRecord)>,
    /// Orders to send.
    pub orders: Vec<Order>,
}

/// What the holder of the control lease remembers of all services.
#[derive(Debug, Default)]
pub struct Renting {
    services: HashMap<Arc<str>, ServiceState>,
}

/// One observation of a service.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at_ms: u64,
    /// Endpoints fewer than at the start.
    lost: u32,
    /// Endpoints that the work needs.
    needed: u32,
}

#[derive(Debug, Default)]
struct ServiceState {
    /// When the first and the last observation of an unbroken series were made, in monotonic milliseconds.
    observed_since_ms: Option<u64>,
    observed_ms: u64,
    observations: VecDeque<Observation>,
    /// Part of the time for which the endpoints were full: a moving average.
    busy: f64,
    speed: Speed,
    /// When there was last a shortage, in monotonic milliseconds.
    last_short_ms: u64,
    /// Counts of each failure domain that are to be stored, and since when they are stable.
    stable: HashMap<Arc<str>, (Counts, u64)>,
    /// When a record of what was there was last handed out, by failure domain.
    recorded_ms: HashMap<Arc<str>, u64>,
    /// What became of the calls for each failure domain.
    calls: HashMap<Arc<str>, CallState>,
    /// No order is sent before this time, in monotonic milliseconds.
    paused_until_ms: u64,
    platform_failures: u32,
    fault: Option<Fault>,
}

/// What this instance knows of the calls for one subject.
#[derive(Clone, Copy, Debug, Default)]
struct CallState {
    /// The newest order that is known to have had its effect or to have none.
    settled: Option<(u64, u64)>,
    /// Orders in sequence that were refused or had no effect.
    failures: u32,
    /// No order is sent before this time, in monotonic milliseconds.
    not_before_ms: u64,
}

fn doubled(wait_ms: u64, failures: u32) -> u64 {
    wait_ms << failures.saturating_sub(1).min(MAX_DOUBLINGS)
}

impl CallState {
    fn failed(&mut self, now_ms: u64) {
        self.failures += 1;
        self.not_before_ms = now_ms + doubled(REFUSAL_WAIT_MS, self.failures);
    }
}

impl Renting {
    /// Returns what to do for a service now. It has to be called about twice a second by the holder of
    /// the control lease, and by no other instance.
    pub fn decide(&mut self, view: &View<'_>) -> Decision {
        let Some(scaling) = &view.service.scaling else {
            return Decision::default();
        };
        let name = &view.service.name;
        let state = self.services.entry(name.clone()).or_default();
        let supply = Supply::of(view);
        let demand = Demand::of(view);
        let observed_since_ms = state.start_observation(view.now_ms);
        let records = state.due_records(view, &supply);
        state.settle_orders(view, &supply, scaling);
        let positions = state.positions(view, &supply, scaling);
        let baseline: u32 = positions.iter().map(|own| own.initial.total()).sum();
        state.observe(view, scaling, &supply, &demand, baseline);
        let mut decision = Decision {
            records,
            ..Decision::default()
        };
        if view.now_ms < observed_since_ms + START_MS || baseline == 0 {
            return decision;
        }
        if let Some(fault) = find_fault(view, scaling, &supply) {
            let is_new = state.fault.as_ref() != Some(&fault);
            state.fault = Some(fault.clone());
            decision.fault = is_new.then_some(fault);
            return decision;
        }
        decision.orders = state.due_orders(view, scaling, &supply, positions, baseline);
        decision
    }

    /// Records how the sending of an order ended.
    pub fn ended(&mut self, order: &Order, outcome: Outcome, now_ms: u64) {
        let state = self
            .services
            .entry(order.subject.service.clone())
            .or_default();
        let domain = order.subject.failure_domain.clone();
        let call = state.calls.entry(domain).or_default();
        // Whatever is not carried out does not count as being on its way.
        if !matches!(outcome, Outcome::Accepted | Outcome::Unanswered) {
            call.settled = Some(order.order.identity());
        }
        match outcome {
            Outcome::Accepted => state.platform_failures = 0,
            Outcome::Refused => {
                state.platform_failures = 0;
                call.failed(now_ms);
            }
            Outcome::Limited | Outcome::NotSent | Outcome::Unanswered => {
                state.platform_failures += 1;
                state.paused_until_ms = now_ms + doubled(PLATFORM_WAIT_MS, state.platform_failures);
            }
        }
    }
}

impl ServiceState {
    /// Returns since when the service is observed without a gap. What was observed before a gap is
    /// forgotten.
    fn start_observation(&mut self, now_ms: u64) -> u64 {
        if now_ms.saturating_sub(self.observed_ms) > MAX_GAP_MS {
            self.observed_since_ms = None;
        }
        *self.observed_since_ms.get_or_insert_with(|| {
            self.observations.clear();
            self.stable.clear();
            self.busy = 0.0;
            self.speed = Speed::default();
            self.last_short_ms = now_ms;
            self.observed_ms = now_ms;
            now_ms
        })
    }

    fn observe(
        &mut self,
        view: &View<'_>,
        scaling: &Scaling,
        supply: &Supply,
        demand: &Demand,
        baseline: u32,
    ) {
        let elapsed_ms = view.now_ms.saturating_sub(self.observed_ms) as f64;
        self.observed_ms = view.now_ms;
        let is_full = match demand.open_samples {
            Some(open_samples) => open_samples > supply.slots,
            None => supply.is_loaded(),
        };
        let weight = 1.0 - (-elapsed_ms / BUSY_TIME_MS).exp();
        self.busy += weight * (f64::from(u8::from(is_full)) - self.busy);
        self.speed.observe(demand, supply, elapsed_ms / 1_000.0);
        self.observations.push_back(Observation {
            at_ms: view.now_ms,
            lost: baseline.saturating_sub(supply.ready()),
            needed: self
                .speed
                .needed_endpoints(demand, supply.ready(), scaling.boot_ms),
        });
        let first_ms = view.now_ms.saturating_sub(LASTING_LOSS_MS);
        // One observation from before the window stays, so that the window is covered.
        while self.observations.len() > 1 && self.observations[1].at_ms <= first_ms {
            self.observations.pop_front();
        }
    }

    /// Returns the smallest value of the last `duration_ms`, or 0 if the service was not observed that
    /// long.
    fn lasting(&self, duration_ms: u64, value: impl Fn(&Observation) -> u32) -> u32 {
        let first_ms = self.observed_ms.saturating_sub(duration_ms);
        if self
            .observations
            .front()
            .is_none_or(|first| first.at_ms > first_ms)
        {
            return 0;
        }
        let recent = self.observations.iter().rev();
        let recent = recent.take_while(|observation| observation.at_ms >= first_ms);
        recent.map(value).min().unwrap_or(0)
    }

    /// Returns how many endpoints are to be replaced.
    fn lasting_loss(&self, baseline: u32, supply: &Supply) -> u32 {
        let lasting = self.lasting(LASTING_LOSS_MS, |observation| observation.lost);
        let recent = self.lasting(LARGE_LOSS_MS, |observation| observation.lost);
        let is_large = f64::from(recent) >= f64::from(baseline) * LARGE_LOSS_SHARE;
        match is_large {
            true => recent,
            // Reclaimed endpoints don't come back.
            false => lasting.max(recent.min(supply.reclaimed)),
        }
    }

    /// Returns how many endpoints the work needs, or 0 if those that are ready suffice.
    fn lasting_need(&self, baseline: u32, supply: &Supply) -> u32 {
        let needed = self.lasting(OVERLOAD_MS, |observation| observation.needed);
        let enough = f64::from(supply.ready()) * OVERLOAD_FACTOR;
        let extra = (f64::from(baseline) * MAX_EXTRA_SHARE).ceil() as u32;
        match f64::from(needed) > enough {
            true => needed.min(baseline + extra),
            false => 0,
        }
    }

    fn due_orders(
        &mut self,
        view: &View<'_>,
        scaling: &Scaling,
        supply: &Supply,
        positions: Vec<Position>,
        baseline: u32,
    ) -> Vec<Order> {
        let expected: u32 = positions.iter().map(|own| own.expected.total()).sum();
        let is_busy = self.busy >= BUSY_SHARE;
        let lost = self.lasting_loss(baseline, supply);
        let needed = self.lasting_need(baseline, supply);
        let latest_need = self.observations.back().map_or(0, |latest| latest.needed);
        if is_busy && (lost > 0 || needed > 0) || latest_need > baseline {
            self.last_short_ms = view.now_ms;
        }
        if view.now_ms < self.paused_until_ms {
            return Vec::new();
        }
        let to_replace = lost.min(baseline.saturating_sub(expected));
        // What was there at the start comes first: once it is there, the rest can be spot endpoints.
        let confirmed: u32 = positions.iter().map(|own| own.confirmed.total()).sum();
        let wanted = if confirmed < baseline {
            needed.min(baseline)
        } else {
            needed
        };
        let to_add = wanted.saturating_sub(expected);
        let (reason, missing) = match to_add > to_replace {
            true => (Reason::Work, to_add),
            false => (Reason::Lost, to_replace),
        };
        let orders = if is_busy && missing > 0 {
            positions::orders_for_more(&positions, scaling, missing, reason)
        } else if view.now_ms >= self.last_short_ms + QUIET_MS {
            positions::order_for_fewer(&positions, scaling)
                .into_iter()
                .collect()
        } else {
            Vec::new()
        };
        orders
            .into_iter()
            .map(|(domain, kind, count, reason)| {
                self.build_order(view, domain, kind, count, reason)
            })
            .collect()
    }

    fn build_order(
        &mut self,
        view: &View<'_>,
        failure_domain: Arc<str>,
        kind: Kind,
        count: u32,
        reason: Reason,
    ) -> Order {
        let order = OrderRecord {
            kind,
            count,
            reason,
            term: view.term,
            ordered_unix_ms: view.now_unix_ms,
        };
        let call = self.calls.entry(failure_domain.clone()).or_default();
        call.not_before_ms = view.now_ms + SENDING_MS;
        let subject = Subject {
            service: view.service.name.clone(),
            failure_domain,
        };
        let known = view.ledger.rented.get(&subject);
        let initial = known.map_or(Counts::default(), |known| known.record.initial);
        Order {
            subject,
            record: SubjectRecord {
                initial,
                last_order: Some(order),
            },
            order,
        }
    }

    /// Returns the records of subjects whose count at the start is not stored, or was too low. Once
    /// something was ordered for a subject the count stays.
    fn due_records(&mut self, view: &View<'_>, supply: &Supply) -> Vec<(Subject, SubjectRecord)> {
        let mut records = Vec::new();
        for (domain, present) in &supply.present {
            let subject = Subject {
                service: view.service.name.clone(),
                failure_domain: domain.clone(),
            };
            let known = view.ledger.rented.get(&subject).map(|known| known.record);
            let record = known.unwrap_or_default();
            let initial = record.initial.max(*present);
            if record.last_order.is_some() || known.is_some() && initial == record.initial {
                self.stable.remove(domain);
                continue;
            }
            let entry = (initial, view.now_ms);
            let stable = self.stable.entry(domain.clone()).or_insert(entry);
            if stable.0 != initial {
                *stable = entry;
            }
            let stable_ms = if known.is_some() {
                RAISE_STABLE_MS
            } else {
                FIRST_STABLE_MS
            };
            let recorded_ms = self.recorded_ms.get(domain).copied();
            let recently =
                recorded_ms.is_some_and(|at_ms| view.now_ms < at_ms + RECORD_INTERVAL_MS);
            if view.now_ms < stable.1 + stable_ms || recently {
                continue;
            }
            self.recorded_ms.insert(domain.clone(), view.now_ms);
            records.push((subject, SubjectRecord { initial, ..record }));
        }
        records
    }
}

/// Returns the first reason why nothing may be ordered for a service.
fn find_fault(view: &View<'_>, scaling: &Scaling, supply: &Supply) -> Option<Fault> {
    if scaling.min > scaling.max {
        return Some(Fault::Bounds);
    }
    let mut prices = scaling.domain_prices.values().chain([&scaling.spot_price]);
    if prices.any(|price| !price.is_finite() || *price < 0.0) {
        return Some(Fault::Price);
    }
    let is_known = |domain: &Arc<str>| {
        let mut members = view.ledger.members.values();
        let mut subjects = view.ledger.rented.keys();
        supply.present.contains_key(domain)
            || subjects.any(|subject| subject.failure_domain == *domain)
            || members.any(|member| member.heartbeat.failure_domain == *domain)
            || (view.endpoints.listed())
                .any(|(_, endpoint)| endpoint.listing.failure_domain == *domain)
    };
    let unknown = scaling
        .domain_prices
        .keys()
        .filter(|domain| !is_known(domain));
    match scaling.domain_prices.is_empty() {
        true => Some(Fault::NoPrices),
        false => unknown.min().cloned().map(Fault::UnknownDomain),
    }
}

#[cfg(test)]
mod tests;
