//! What to order: firm floors spread over failure domains.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    seq::IndexedRandom as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    configuration::{
        Configuration,
        Service, //
    },
    state::OpenOrder,
    wire::{
        EndpointPhase,
        PlatformAction,
        PlatformEndpoint,
        Tier, //
    }, //
};

/// How long an answer "unavailable" is remembered for a failure domain and tier.
const UNAVAILABLE_MS: u64 = 30_000;

/// The policy of the orders lease's holder.
#[derive(Clone, Debug)]
pub struct Policy {
    unavailable: BTreeMap<(Arc<str>, Tier), u64>,
    rng: ChaCha8Rng,
}

impl Policy {
    /// A policy that has seen nothing; `seed` decides between equal choices.
    pub fn new(seed: u64) -> Self {
        Self {
            unavailable: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The platform had no room for this action.
    pub fn unavailable(&mut self, now_ms: u64, action: &PlatformAction) {
        if let PlatformAction::Start {
            failure_domain,
            tier,
            ..
        } = action
        {
            let place = (failure_domain.clone(), *tier);
            self.unavailable.insert(place, now_ms + UNAVAILABLE_MS);
        }
    }

    /// Decides what to order now.
    pub fn decide(
        &mut self,
        now_ms: u64,
        configuration: &Configuration,
        listed: &[PlatformEndpoint],
        open: &BTreeMap<u64, OpenOrder>,
    ) -> Vec<PlatformAction> {
        self.unavailable.retain(|_, &mut until| now_ms < until);
        let mut wanted = Vec::new();
        for service in &configuration.services {
            self.fill_floor(configuration, service, listed, open, &mut wanted);
        }
        wanted
    }

    fn fill_floor(
        &mut self,
        configuration: &Configuration,
        service: &Service,
        listed: &[PlatformEndpoint],
        open: &BTreeMap<u64, OpenOrder>,
        wanted: &mut Vec<PlatformAction>,
    ) {
        let mut by_domain = firm_by_domain(configuration, service, listed, open);
        let mut total: u32 = by_domain.values().sum();
        while total < service.firm_floor {
            let Some(domain) = self.emptiest(&by_domain, Tier::Firm) else {
                return;
            };
            *by_domain.entry(domain.clone()).or_default() += 1;
            total += 1;
            wanted.push(PlatformAction::Start {
                service: service.name.clone(),
                failure_domain: domain,
                tier: Tier::Firm,
            });
        }
    }

    /// The failure domain with the fewest, among those that are not known to be full.
    fn emptiest(&mut self, by_domain: &BTreeMap<Arc<str>, u32>, tier: Tier) -> Option<Arc<str>> {
        let open = by_domain
            .iter()
            .filter(|(domain, _)| !self.unavailable.contains_key(&((*domain).clone(), tier)));
        let open: Vec<(&Arc<str>, u32)> = open.map(|(domain, &count)| (domain, count)).collect();
        let fewest = open.iter().map(|(_, count)| *count).min()?;
        let equal: Vec<&Arc<str>> = open
            .iter()
            .filter(|(_, count)| *count == fewest)
            .map(|(domain, _)| *domain)
            .collect();
        equal.choose(&mut self.rng).map(|domain| (*domain).clone())
    }
}

fn firm_by_domain(
    configuration: &Configuration,
    service: &Service,
    listed: &[PlatformEndpoint],
    open: &BTreeMap<u64, OpenOrder>,
) -> BTreeMap<Arc<str>, u32> {
    let domains = configuration.failure_domains.iter();
    let mut counts: BTreeMap<Arc<str>, u32> =
        domains.map(|domain| (domain.name.clone(), 0)).collect();
    let there = listed.iter().filter(|endpoint| {
        endpoint.service == service.name
            && endpoint.tier == Tier::Firm
            && endpoint.phase != EndpointPhase::Leaving
    });
    let there = there.map(|endpoint| &endpoint.failure_domain);
    let ordered = open
        .iter()
        .filter(|(number, _)| !listed.iter().any(|endpoint| endpoint.order == **number))
        .filter_map(|(_, order)| match &order.action {
            PlatformAction::Start {
                service: of,
                failure_domain,
                tier: Tier::Firm,
            } if *of == service.name => Some(failure_domain),
            _ => None,
        });
    for domain in there.chain(ordered) {
        *counts.entry(domain.clone()).or_default() += 1;
    }
    counts
}
