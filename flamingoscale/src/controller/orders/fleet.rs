//! Counts of one service's endpoints by failure domain.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

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

/// Number of endpoints in one failure domain. Starts in progress are included; endpoints that are
/// leaving or being stopped are not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DomainCount {
    pub(super) firm: u32,
    pub(super) cheap: u32,
}

impl DomainCount {
    pub(super) fn total(self) -> u32 {
        self.firm + self.cheap
    }

    pub(super) fn in_tier(self, tier: Tier) -> u32 {
        match tier {
            Tier::Firm => self.firm,
            Tier::Cheap => self.cheap,
        }
    }

    fn add(&mut self, tier: Tier) {
        match tier {
            Tier::Firm => self.firm += 1,
            Tier::Cheap => self.cheap += 1,
        }
    }
}

/// One service's endpoints as they will be once all open orders are carried out.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet<'listed> {
    pub(super) by_domain: BTreeMap<Arc<str>, DomainCount>,
    /// Listed endpoints that are neither leaving nor being stopped, including those that are still
    /// starting.
    pub(super) active: Vec<&'listed PlatformEndpoint>,
    /// Number of stops in progress.
    pub(super) stops: u32,
}

impl<'listed> Fleet<'listed> {
    pub(super) fn new(
        configuration: &Configuration,
        service: &Service,
        listed: &'listed [PlatformEndpoint],
        open_orders: &BTreeMap<u64, OpenOrder>,
    ) -> Self {
        let mut fleet = Self::default();
        for domain in &configuration.failure_domains {
            fleet
                .by_domain
                .insert(domain.name.clone(), DomainCount::default());
        }
        let is_stopped = |endpoint: &PlatformEndpoint| {
            open_orders.values().any(|order| match &order.action {
                PlatformAction::Stop { endpoint: stopped } => *stopped == endpoint.endpoint,
                PlatformAction::Start { .. } => false,
            })
        };
        for endpoint in listed {
            let is_of_service = endpoint.service == service.name;
            if !is_of_service || endpoint.phase == EndpointPhase::Leaving {
                continue;
            }
            if is_stopped(endpoint) {
                fleet.stops += 1;
                continue;
            }
            fleet.add(&endpoint.failure_domain, endpoint.tier);
            fleet.active.push(endpoint);
        }
        for (number, order) in open_orders {
            let is_listed = listed.iter().any(|endpoint| endpoint.order == *number);
            if let PlatformAction::Start {
                service: started_service,
                failure_domain,
                tier,
            } = &order.action
            {
                if *started_service == service.name && !is_listed {
                    fleet.add(failure_domain, *tier);
                }
            }
        }
        fleet
    }

    pub(super) fn add(&mut self, failure_domain: &Arc<str>, tier: Tier) {
        let count = self.by_domain.entry(failure_domain.clone()).or_default();
        count.add(tier);
    }

    pub(super) fn total(&self) -> u32 {
        self.by_domain.values().map(|count| count.total()).sum()
    }

    pub(super) fn firm(&self) -> u32 {
        self.by_domain.values().map(|count| count.firm).sum()
    }

    /// Returns the number of endpoints left after the loss of the failure domain with the most
    /// endpoints.
    pub(super) fn survivors(&self) -> u32 {
        let counts = self.by_domain.values();
        let fullest = counts.map(|count| count.total()).max();
        self.total() - fullest.unwrap_or(0)
    }

    /// Returns the number of endpoints left after the loss of the fullest failure domain, if
    /// `endpoint` were stopped first.
    pub(super) fn survivors_without(&self, endpoint: &PlatformEndpoint) -> u32 {
        let mut remaining = self.clone();
        if let Some(count) = remaining.by_domain.get_mut(&endpoint.failure_domain) {
            match endpoint.tier {
                Tier::Firm => count.firm = count.firm.saturating_sub(1),
                Tier::Cheap => count.cheap = count.cheap.saturating_sub(1),
            }
        }
        remaining.survivors()
    }
}

/// Returns the smallest fleet, spread over `domains` failure domains, of which `floor` endpoints
/// are left when any one failure domain is lost. A single failure domain can't be protected
/// against, so its fleet is just `floor`.
pub(super) fn surviving_size(floor: u32, domains: u32) -> u32 {
    match domains {
        0 | 1 => floor,
        domains => floor + floor.div_ceil(domains - 1),
    }
}
