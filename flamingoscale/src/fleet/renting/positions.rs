//! The endpoints of a service in each failure domain, and which of them to order more or fewer of.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use super::{
    Counts,
    Kind,
    KnownSubject,
    OrderRecord,
    Reason,
    ServiceState,
    Subject,
    View,
    CHANGE_INTERVAL_MS,
    VISIBLE_MARGIN_MS, //
};
use crate::fleet::configuration::Scaling;

/// Part of the slots in use from which the endpoints of a service without batches count as full.
const FULL_SHARE: f64 = 0.8;

/// The endpoints of a service that are ready.
#[derive(Debug, Default)]
pub(super) struct Supply {
    /// Endpoints that may get work, by failure domain.
    pub present: BTreeMap<Arc<str>, Counts>,
    /// Requests that they run at once.
    pub slots: u64,
    /// Requests that they have, as far as this instance knows.
    load: u64,
    /// Endpoints that the platform is taking back.
    pub reclaimed: u32,
}

impl Supply {
    pub(super) fn of(view: &View<'_>) -> Self {
        let mut supply = Self::default();
        for (_, endpoint) in view.endpoints.of_service(&view.service.name) {
            let listing = &endpoint.listing;
            let is_reclaimed = listing.spot && listing.draining && listing.leaves_ms.is_some();
            supply.reclaimed += u32::from(is_reclaimed);
            let domain = &listing.failure_domain;
            if !endpoint.accepts_work() || view.evacuated.contains(domain) {
                continue;
            }
            supply.slots += u64::from(listing.slots.max(1));
            supply.load += u64::from(endpoint.load(view.now_ms));
            let counts = match supply.present.get_mut(domain) {
                Some(counts) => counts,
                None => supply.present.entry(domain.clone()).or_default(),
            };
            counts.regular += u32::from(!listing.spot);
            counts.spot += u32::from(listing.spot);
        }
        supply
    }

    /// Returns the number of endpoints that are ready.
    pub(super) fn ready(&self) -> u32 {
        self.present.values().map(|counts| counts.total()).sum()
    }

    /// Returns whether the endpoints are full by the load that they report.
    pub(super) fn is_loaded(&self) -> bool {
        self.load as f64 >= self.slots as f64 * FULL_SHARE
    }
}

/// The endpoints of a service in one failure domain.
#[derive(Clone, Debug)]
pub(super) struct Position {
    domain: Arc<str>,
    /// What was there before anything was ordered.
    pub initial: Counts,
    /// What is ready.
    present: Counts,
    /// What is ready once the order that is under way has its effect.
    pub expected: Counts,
    /// Like `expected`, but without endpoints that are still to come.
    pub confirmed: Counts,
    /// Price of an endpoint; `None` if none can be ordered.
    price: Option<f64>,
    /// Orders in sequence that were refused or had no effect.
    failures: u32,
    /// Whether an order may be sent now.
    is_free: bool,
    /// Whether anything was ever ordered.
    was_ordered: bool,
}

impl ServiceState {
    /// Returns the newest order of a subject if it may still have its effect.
    fn order_under_way(
        &self,
        domain: &str,
        known: &KnownSubject,
        scaling: &Scaling,
        now_ms: u64,
    ) -> Option<OrderRecord> {
        let order = known.record.last_order?;
        let settled = self.calls.get(domain).and_then(|call| call.settled);
        let end_ms = known.seen_ms + scaling.boot_ms + VISIBLE_MARGIN_MS;
        (settled != Some(order.identity()) && now_ms < end_ms).then_some(order)
    }

    /// Records which orders show in the list, and which had no effect in time.
    pub(super) fn settle_orders(&mut self, view: &View<'_>, supply: &Supply, scaling: &Scaling) {
        for (subject, known) in &view.ledger.rented {
            let domain = &subject.failure_domain;
            let Some(order) = known.record.last_order else {
                continue;
            };
            if subject.service != view.service.name || view.evacuated.contains(domain) {
                continue;
            }
            let is_over = self
                .order_under_way(domain, known, scaling, view.now_ms)
                .is_none();
            let present = supply.present.get(domain).copied().unwrap_or_default();
            let call = self.calls.entry(domain.clone()).or_default();
            if call.settled == Some(order.identity()) {
                continue;
            }
            if order.shows_in(present) {
                call.settled = Some(order.identity());
                call.failures = 0;
            } else if is_over {
                call.settled = Some(order.identity());
                call.failed(view.now_ms);
            }
        }
    }

    /// Returns the positions of a service in all failure domains that have a price, endpoints or orders.
    pub(super) fn positions(
        &self,
        view: &View<'_>,
        supply: &Supply,
        scaling: &Scaling,
    ) -> Vec<Position> {
        let subjects = view.ledger.rented.keys();
        let domains: BTreeSet<&Arc<str>> = subjects
            .filter(|subject| subject.service == view.service.name)
            .map(|subject| &subject.failure_domain)
            .chain(supply.present.keys())
            .chain(scaling.domain_prices.keys())
            .collect();
        domains
            .into_iter()
            .map(|domain| self.position(domain, view, supply, scaling))
            .collect()
    }

    fn position(
        &self,
        domain: &Arc<str>,
        view: &View<'_>,
        supply: &Supply,
        scaling: &Scaling,
    ) -> Position {
        let subject = Subject {
            service: view.service.name.clone(),
            failure_domain: domain.clone(),
        };
        let known = view.ledger.rented.get(&subject);
        let call = self.calls.get(domain).copied().unwrap_or_default();
        let under_way =
            known.and_then(|known| self.order_under_way(domain, known, scaling, view.now_ms));
        let present = supply.present.get(domain).copied().unwrap_or_default();
        let (mut expected, mut confirmed) = (present, present);
        if let Some(order) = under_way {
            let count = present.of(order.kind);
            if order.reason == Reason::Surplus {
                confirmed = present.with(order.kind, count.min(order.count));
                expected = confirmed;
            } else {
                expected = present.with(order.kind, count.max(order.count));
            }
        }
        let record = known.map(|known| known.record).unwrap_or_default();
        let changed_ms = known
            .filter(|known| known.record.last_order.is_some())
            .map_or(0, |known| known.seen_ms + CHANGE_INTERVAL_MS);
        // Without a record it is not known how many endpoints were there at the start.
        let is_known = known.is_some() || present.total() == 0;
        let is_evacuated = view.evacuated.contains(domain);
        Position {
            domain: domain.clone(),
            initial: record.initial,
            present,
            expected,
            confirmed,
            price: scaling.domain_prices.get(domain).copied(),
            failures: call.failures,
            is_free: is_known
                && !is_evacuated
                && under_way.is_none()
                && view.now_ms >= call.not_before_ms.max(changed_ms),
            was_ordered: record.last_order.is_some(),
        }
    }
}

/// An order: the failure domain, the kind, the number of endpoints of the kind, and the reason.
type Target = (Arc<str>, Kind, u32, Reason);

fn total(positions: &[Position], counts: impl Fn(&Position) -> Counts) -> u32 {
    positions.iter().map(|own| counts(own).total()).sum()
}

/// Returns the price of an endpoint relative to those of others.
fn cost(price: f64, kind: Kind, scaling: &Scaling) -> f64 {
    match kind {
        Kind::Regular => price,
        Kind::Spot => price * scaling.spot_price,
    }
}

/// Returns the cheapest orders that add `missing` endpoints, as far as the bounds allow. Failure domains
/// whose last orders failed come last. Without a price for spot endpoints none are ordered.
pub(super) fn orders_for_more(
    positions: &[Position],
    scaling: &Scaling,
    missing: u32,
    reason: Reason,
) -> Vec<Target> {
    let baseline = total(positions, |own| own.initial);
    let confirmed = total(positions, |own| own.confirmed);
    let mut candidates: Vec<(u32, f64, Kind, &Position)> = Vec::new();
    for own in positions.iter().filter(|own| own.is_free) {
        let Some(price) = own.price else {
            continue;
        };
        candidates.push((own.failures, price, Kind::Regular, own));
        // If all spot endpoints of the failure domain go, those that remain must be as many as at the
        // start. The ones that are added now are not among them.
        let stands_loss = confirmed.saturating_sub(own.expected.spot) >= baseline;
        if stands_loss && scaling.spot_price > 0.0 {
            let cost = cost(price, Kind::Spot, scaling);
            candidates.push((own.failures, cost, Kind::Spot, own));
        }
    }
    candidates.sort_by(|a, b| (a.0.cmp(&b.0)).then(a.1.total_cmp(&b.1)));
    let mut missing = missing;
    let mut targets: Vec<Target> = Vec::new();
    for (_, _, kind, own) in candidates {
        let is_ordered = targets.iter().any(|(domain, ..)| *domain == own.domain);
        let added = missing.min(scaling.max.saturating_sub(own.expected.total()));
        if is_ordered || added == 0 {
            continue;
        }
        // Both kinds together have to reach the minimum of the failure domain.
        let to_minimum = scaling.min.saturating_sub(own.expected.total());
        let count = own.expected.of(kind) + added.max(to_minimum);
        // Lost endpoints may come back, and an order for fewer than there were would then take them.
        let count = count.max(own.initial.of(kind));
        let added = count - own.expected.of(kind);
        if own.expected.total() + added > scaling.max {
            continue;
        }
        missing = missing.saturating_sub(added);
        targets.push((own.domain.clone(), kind, count, reason));
    }
    targets
}

/// Returns the order that gives back the most expensive endpoints that are not needed, of one failure
/// domain; `None` if there are none.
pub(super) fn order_for_fewer(positions: &[Position], scaling: &Scaling) -> Option<Target> {
    let baseline = total(positions, |own| own.initial);
    let confirmed = total(positions, |own| own.confirmed);
    let rented_spot = |own: &Position| own.present.spot.saturating_sub(own.initial.spot);
    let most_spot = positions.iter().map(rented_spot).max().unwrap_or(0);
    let candidates = positions
        .iter()
        .filter(|own| own.is_free && own.was_ordered)
        .flat_map(|own| [(Kind::Regular, own), (Kind::Spot, own)])
        .filter_map(|(kind, own)| {
            let rented = own.present.of(kind).saturating_sub(own.initial.of(kind));
            // The endpoints that remain have to stand the loss of the spot endpoints that are kept.
            let kept_spot = if kind == Kind::Regular { most_spot } else { 0 };
            let spare = confirmed.saturating_sub(baseline + kept_spot);
            let above_minimum = own.present.total().saturating_sub(scaling.min);
            let given_back = rented.min(spare).min(above_minimum);
            let count = own.present.of(kind) - given_back;
            let is_allowed = given_back > 0 && own.present.total() - given_back <= scaling.max;
            let cost = cost(own.price.unwrap_or(0.0), kind, scaling);
            is_allowed.then_some((own.failures, cost, (own.domain.clone(), kind, count)))
        });
    let (_, _, (domain, kind, count)) =
        candidates.min_by(|a, b| (a.0.cmp(&b.0)).then(b.1.total_cmp(&a.1)))?;
    Some((domain, kind, count, Reason::Surplus))
}
