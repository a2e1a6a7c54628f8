//! What to order: firm floors, cheap endpoints above them, spread over failure domains.
//!
//! After the loss of any one failure domain as many endpoints as the floor names are left, as
//! far as the ceiling allows. Above that, numbers follow the load. See `docs/design/orders.md`.

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
    places::Places,
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

/// Starts of one service in one look.
const STARTS_PER_LOOK: u32 = 8;

/// What one decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// What the platform lists.
    pub listed: &'a [PlatformEndpoint],
    /// Orders under way.
    pub open: &'a BTreeMap<u64, OpenOrder>,
    /// The load of all instances; none while too few have told theirs, when nothing is stopped.
    pub loads: Option<&'a Loads>,
}

/// The policy of the orders lease's holder.
#[derive(Clone, Debug)]
pub struct Policy {
    places: Places,
    targets: BTreeMap<Arc<str>, Target>,
    rng: ChaCha8Rng,
}

impl Policy {
    /// A policy that has seen nothing; `seed` decides between equal choices.
    pub fn new(seed: u64) -> Self {
        Self {
            places: Places::default(),
            targets: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The platform refused this action.
    pub fn unavailable(&mut self, now_ms: u64, action: &PlatformAction) {
        if let PlatformAction::Start {
            failure_domain,
            tier,
            ..
        } = action
        {
            self.places.refused(now_ms, failure_domain, *tier);
        }
    }

    /// Decides what to order now.
    pub fn decide(&mut self, now_ms: u64, facts: &Facts<'_>) -> Vec<PlatformAction> {
        self.places.look(now_ms, facts.listed);
        let mut wanted = Vec::new();
        for service in &facts.configuration.services {
            self.decide_service(now_ms, facts, service, &mut wanted);
        }
        self.stop_stuck(now_ms, facts, &mut wanted);
        wanted
    }

    fn decide_service(
        &mut self,
        now_ms: u64,
        facts: &Facts<'_>,
        service: &Service,
        wanted: &mut Vec<PlatformAction>,
    ) {
        let (configuration, listed, open) = (facts.configuration, facts.listed, facts.open);
        let mut fleet = Fleet::new(configuration, service, listed, open);
        let size = self.size(now_ms, facts, service);
        let before = wanted.len();
        self.start(now_ms, service, size, &mut fleet, wanted);
        if wanted.len() == before {
            self.stop(now_ms, service, size, &fleet, wanted);
        }
    }

    /// How many endpoints the service should have.
    fn size(&mut self, now_ms: u64, facts: &Facts<'_>, service: &Service) -> u32 {
        let domains = facts.configuration.failure_domains.len() as u32;
        let least = surviving_size(service.firm_floor, domains);
        let target = self.targets.entry(service.name.clone()).or_default();
        let needed = match facts.loads {
            Some(loads) => {
                let slots = loads.get(&service.name).map_or(0, |load| load.slots());
                target.update(now_ms, endpoints_for(slots, service.slots))
            }
            None => target.pause(),
        };
        let ceiling = service.ceiling.max(service.firm_floor);
        needed.max(least).min(ceiling)
    }

    fn start(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &mut Fleet<'_>,
        wanted: &mut Vec<PlatformAction>,
    ) {
        for _ in 0..STARTS_PER_LOOK {
            let Some((failure_domain, tier)) = self.next_start(now_ms, service, size, fleet) else {
                return;
            };
            fleet.add(&failure_domain, tier);
            wanted.push(PlatformAction::Start {
                service: service.name.clone(),
                failure_domain,
                tier,
            });
        }
    }

    /// The next endpoint to start: a firm one for the floor, else a cheap one where there is
    /// room, else a firm one in its stead.
    fn next_start(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
    ) -> Option<(Arc<str>, Tier)> {
        if fleet.firm() < service.firm_floor {
            return self.emptiest(now_ms, fleet, Tier::Firm);
        }
        let ceiling = service.ceiling.max(service.firm_floor);
        let lopsided = fleet.survivors() < service.firm_floor && fleet.total() < ceiling;
        if fleet.total() >= size && !lopsided {
            return self.exchange(now_ms, service, size, fleet);
        }
        let place = self.emptiest(now_ms, fleet, Tier::Cheap);
        let place = place.or_else(|| self.emptiest(now_ms, fleet, Tier::Firm))?;
        // One more where most are already would not help a lopsided fleet.
        let fullest = fleet.by_domain.values().map(|count| count.total()).max();
        let there = fleet.by_domain.get(&place.0).map(|count| count.total());
        let helps = fleet.total() < size || there < fullest;
        helps.then_some(place)
    }

    /// A cheap endpoint for a firm one that stood in for it; the firm one is stopped after that.
    fn exchange(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
    ) -> Option<(Arc<str>, Tier)> {
        let target = self.targets.get(&service.name)?;
        let stand_in = fleet.firm() > service.firm_floor;
        let room = fleet.total() == size && fleet.total() < service.ceiling;
        if !stand_in || !room || !target.may_shrink(now_ms) {
            return None;
        }
        self.emptiest(now_ms, fleet, Tier::Cheap)
    }

    /// The failure domain with the fewest, of this tier if it is the firm one that counts.
    fn emptiest(&mut self, now_ms: u64, fleet: &Fleet<'_>, tier: Tier) -> Option<(Arc<str>, Tier)> {
        let open = fleet.by_domain.iter();
        let open = open.filter(|(domain, _)| self.places.is_open(now_ms, domain, tier));
        let filled: Vec<((u32, u32), &Arc<str>)> = open
            .map(|(domain, count)| match tier {
                Tier::Firm => ((count.of(tier), count.total()), domain),
                Tier::Cheap => ((count.total(), count.of(tier)), domain),
            })
            .collect();
        let fewest = filled.iter().map(|(count, _)| *count).min()?;
        let equal: Vec<&Arc<str>> = filled
            .iter()
            .filter(|(count, _)| *count == fewest)
            .map(|(_, domain)| *domain)
            .collect();
        let domain = equal.choose(&mut self.rng)?;
        Some(((*domain).clone(), tier))
    }

    /// Stops one endpoint at a time, and none that the floor or the loss of a failure domain
    /// needs.
    fn stop(
        &mut self,
        now_ms: u64,
        service: &Service,
        size: u32,
        fleet: &Fleet<'_>,
        wanted: &mut Vec<PlatformAction>,
    ) {
        let target = self.targets.get(&service.name);
        let watched = target.is_some_and(|target| target.may_shrink(now_ms));
        if !watched || fleet.stops > 0 || fleet.total() <= size {
            return;
        }
        let spare_firm = fleet.firm() > service.firm_floor;
        let needed = service.firm_floor.min(fleet.survivors());
        let candidates = fleet.running.iter().filter(|endpoint| {
            let spare = endpoint.tier == Tier::Cheap || spare_firm;
            spare && fleet.survivors_without(endpoint) >= needed
        });
        let chosen = candidates.max_by_key(|endpoint| {
            let count = fleet.by_domain.get(&endpoint.failure_domain);
            let there = count.map_or(0, |count| count.total());
            let starting = endpoint.phase == EndpointPhase::Starting;
            (
                endpoint.tier == Tier::Firm,
                starting,
                there,
                &endpoint.endpoint,
            )
        });
        if let Some(endpoint) = chosen {
            self.places.stopping(&endpoint.endpoint);
            wanted.push(PlatformAction::Stop {
                endpoint: endpoint.endpoint.clone(),
            });
        }
    }

    /// An endpoint that does not come up is given back, and its place is left alone for a while.
    fn stop_stuck(&mut self, now_ms: u64, facts: &Facts<'_>, wanted: &mut Vec<PlatformAction>) {
        for stuck in self.places.stuck(now_ms) {
            let listed = facts.listed.iter().find(|listed| listed.endpoint == stuck);
            if let Some(listed) = listed {
                self.places
                    .refused(now_ms, &listed.failure_domain, listed.tier);
            }
            self.places.stopping(&stuck);
            let stop = PlatformAction::Stop { endpoint: stuck };
            if !wanted.contains(&stop) {
                wanted.push(stop);
            }
        }
    }
}

#[cfg(test)]
mod tests;
