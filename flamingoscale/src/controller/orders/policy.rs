//! Decides which endpoints to start and stop: firm endpoints up to the floor, cheap ones above it,
//! spread over the failure domains.
//!
//! After the loss of any one failure domain at least as many endpoints as the floor are left, as
//! far as the ceiling allows. Above that, the fleet size follows the load. See
//! `docs/design/orders.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    seq::IndexedRandom as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    fleet::{
        surviving_size,
        Fleet, //
    },
    placement::PlacementHistory,
    target::{
        endpoints_for,
        Target, //
    }, //
};
use crate::{
    configuration::{
        Configuration,
        Service, //
    },
    demand::Loads,
    state::OpenOrder,
    wire::{
        EndpointPhase,
        PlatformAction,
        PlatformEndpoint,
        Tier, //
    }, //
};

/// Maximum number of starts of one service in one reconcile cycle.
const MAX_STARTS_PER_CYCLE: u32 = 8;

/// Input of one decision.
#[derive(Clone, Copy, Debug)]
pub struct PolicyInput<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// The platform's list of endpoints.
    pub listed: &'a [PlatformEndpoint],
    /// Orders without an outcome, by number.
    pub open_orders: &'a BTreeMap<u64, OpenOrder>,
    /// Total load of all instances, or `None` while too few have reported. While the load is
    /// unknown, only endpoints that failed to start are stopped.
    pub loads: Option<&'a Loads>,
}

/// The ordering policy, run by the holder of the orders lease.
#[derive(Clone, Debug)]
pub struct Policy {
    placements: PlacementHistory,
    targets: BTreeMap<Arc<str>, Target>,
    rng: ChaCha8Rng,
}

impl Policy {
    /// Creates a policy without history; `seed` breaks ties between equally good placements.
    pub fn new(seed: u64) -> Self {
        Self {
            placements: PlacementHistory::default(),
            targets: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records that the platform refused this action. A refused start counts as a lack of capacity
    /// in its failure domain and tier; a refused stop is ignored.
    pub fn on_unavailable(&mut self, now_ms: u64, action: &PlatformAction) {
        if let PlatformAction::Start {
            failure_domain,
            tier,
            ..
        } = action
        {
            self.placements
                .on_unavailable(now_ms, failure_domain, *tier);
        }
    }

    /// Returns the actions to order now.
    pub fn decide(&mut self, now_ms: u64, input: &PolicyInput<'_>) -> Vec<PlatformAction> {
        self.placements.update(now_ms, input.listed);
        let mut actions = Vec::new();
        for service in &input.configuration.services {
            self.decide_service(now_ms, input, service, &mut actions);
        }
        self.stop_stuck(now_ms, input, &mut actions);
        actions
    }

    fn decide_service(
        &mut self,
        now_ms: u64,
        input: &PolicyInput<'_>,
        service: &Service,
        actions: &mut Vec<PlatformAction>,
    ) {
        let (configuration, listed, open_orders) =
            (input.configuration, input.listed, input.open_orders);
        let mut fleet = Fleet::new(configuration, service, listed, open_orders);
        let size = self.target_size(now_ms, input, service);
        let actions_before = actions.len();
        self.start(now_ms, service, size, &mut fleet, actions);
        if actions.len() == actions_before {
            self.stop(now_ms, service, size, &fleet, actions);
        }
    }

    /// Returns the number of endpoints that the service should have.
    fn target_size(&mut self, now_ms: u64, input: &PolicyInput<'_>, service: &Service) -> u32 {
        let domains = input.configuration.failure_domains.len() as u32;
        let min_size = surviving_size(service.firm_floor, domains);
        let target = self.targets.entry(service.name.clone()).or_default();
        let needed = match input.loads {
            Some(loads) => {
                let slots = loads.get(&service.name).map_or(0, |load| load.slots());
                target.update(now_ms, endpoints_for(slots, service.slots))
            }
            None => target.hold(),
        };
        let ceiling = service.ceiling.max(service.firm_floor);
        needed.max(min_size).min(ceiling)
    }

    /// Adds starts until the fleet has its target size or the limit per cycle is reached.
    fn start(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &mut Fleet<'_>,
        actions: &mut Vec<PlatformAction>,
    ) {
        for _ in 0..MAX_STARTS_PER_CYCLE {
            let Some((failure_domain, tier)) = self.next_start(now_ms, service, size, fleet) else {
                return;
            };
            fleet.add(&failure_domain, tier);
            actions.push(PlatformAction::Start {
                service: service.name.clone(),
                failure_domain,
                tier,
            });
        }
    }

    /// Returns the next endpoint to start: a firm one while the floor is not reached, otherwise a
    /// cheap one, or a firm one as a substitute if no failure domain has cheap capacity.
    fn next_start(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
    ) -> Option<(Arc<str>, Tier)> {
        if fleet.firm() < service.firm_floor {
            return self.least_populated(now_ms, fleet, Tier::Firm);
        }
        let ceiling = service.ceiling.max(service.firm_floor);
        let is_unbalanced = fleet.survivors() < service.firm_floor && fleet.total() < ceiling;
        if fleet.total() >= size && !is_unbalanced {
            return self.replace_substitute(now_ms, service, size, fleet);
        }
        let placement = self.least_populated(now_ms, fleet, Tier::Cheap);
        let placement = placement.or_else(|| self.least_populated(now_ms, fleet, Tier::Firm))?;
        // Another endpoint in the fullest failure domain would not help an unbalanced fleet.
        let fullest = fleet.by_domain.values().map(|count| count.total()).max();
        let in_domain = fleet.by_domain.get(&placement.0).map(|count| count.total());
        let helps = fleet.total() < size || in_domain < fullest;
        helps.then_some(placement)
    }

    /// Returns the placement of a cheap endpoint that replaces a firm substitute, if there is one.
    /// The substitute is stopped afterwards.
    fn replace_substitute(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
    ) -> Option<(Arc<str>, Tier)> {
        let target = self.targets.get(&service.name)?;
        let has_substitute = fleet.firm() > service.firm_floor;
        let has_room = fleet.total() == size && fleet.total() < service.ceiling;
        if !has_substitute || !has_room || !target.may_shrink(now_ms) {
            return None;
        }
        self.least_populated(now_ms, fleet, Tier::Cheap)
    }

    /// Returns the available failure domain with the fewest endpoints, with ties broken at random.
    /// For the firm tier the number of firm endpoints is compared first, then the number of all
    /// endpoints; for the cheap tier the number of all endpoints, then the number of cheap ones.
    fn least_populated(
        &mut self,
        now_ms: u64,
        fleet: &Fleet<'_>,
        tier: Tier,
    ) -> Option<(Arc<str>, Tier)> {
        let available = fleet.by_domain.iter();
        let available =
            available.filter(|(domain, _)| self.placements.is_available(now_ms, domain, tier));
        let candidates: Vec<((u32, u32), &Arc<str>)> = available
            .map(|(domain, count)| match tier {
                Tier::Firm => ((count.in_tier(tier), count.total()), domain),
                Tier::Cheap => ((count.total(), count.in_tier(tier)), domain),
            })
            .collect();
        let lowest = candidates.iter().map(|(count, _)| *count).min()?;
        let tied: Vec<&Arc<str>> = candidates
            .iter()
            .filter(|(count, _)| *count == lowest)
            .map(|(_, domain)| *domain)
            .collect();
        let domain = tied.choose(&mut self.rng)?;
        Some(((*domain).clone(), tier))
    }

    /// Stops at most one endpoint at a time, and none that is needed for the floor or to survive
    /// the loss of a failure domain.
    fn stop(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
        actions: &mut Vec<PlatformAction>,
    ) {
        let target = self.targets.get(&service.name);
        let may_shrink = target.is_some_and(|target| target.may_shrink(now_ms));
        if !may_shrink || fleet.stops > 0 || fleet.total() <= size {
            return;
        }
        let spare_firm = fleet.firm() > service.firm_floor;
        let needed = service.firm_floor.min(fleet.survivors());
        let candidates = fleet.active.iter().filter(|endpoint| {
            let is_spare = endpoint.tier == Tier::Cheap || spare_firm;
            is_spare && fleet.survivors_without(endpoint) >= needed
        });
        let chosen = candidates.max_by_key(|endpoint| {
            let count = fleet.by_domain.get(&endpoint.failure_domain);
            let in_domain = count.map_or(0, |count| count.total());
            let starting = endpoint.phase == EndpointPhase::Starting;
            (
                endpoint.tier == Tier::Firm,
                starting,
                in_domain,
                &endpoint.endpoint,
            )
        });
        if let Some(endpoint) = chosen {
            self.placements.mark_stopping(&endpoint.endpoint);
            actions.push(PlatformAction::Stop {
                endpoint: endpoint.endpoint.clone(),
            });
        }
    }

    /// Stops endpoints that failed to start in time and backs off from their placement.
    fn stop_stuck(
        &mut self,
        now_ms: u64,
        input: &PolicyInput<'_>,
        actions: &mut Vec<PlatformAction>,
    ) {
        for stuck in self.placements.stuck(now_ms) {
            let listed = input.listed.iter().find(|listed| listed.endpoint == stuck);
            if let Some(listed) = listed {
                self.placements
                    .on_unavailable(now_ms, &listed.failure_domain, listed.tier);
            }
            self.placements.mark_stopping(&stuck);
            let stop = PlatformAction::Stop { endpoint: stuck };
            if !actions.contains(&stop) {
                actions.push(stop);
            }
        }
    }
}

#[cfg(test)]
mod tests;
