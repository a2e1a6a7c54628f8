//! The platform's endpoints and the orders that start and stop them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Instant, //
};

use flamingoscale::wire::{
    EndpointPhase,
    PlatformAction,
    PlatformEndpoint,
    PlatformOrder,
    PlatformOrderDone,
    Tier, //
};

/// An endpoint that the platform has started and can reclaim.
pub trait StartedEndpoint: Send + Sync {
    /// Returns the address that the endpoint listens on.
    fn address(&self) -> SocketAddr;

    /// Notifies the endpoint that it will be stopped in `notice_ms` milliseconds.
    fn reclaim(&self, notice_ms: u64);

    /// Stops the endpoint permanently.
    fn stop(&self);
}

/// Starts the endpoint described by its argument; returns `None` if it can't be started.
pub type Starter = Box<dyn Fn(&PlatformEndpoint) -> Option<Arc<dyn StartedEndpoint>> + Send>;

/// Record of one received order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Arrival time, in milliseconds since the platform started.
    pub at_ms: u64,
    /// The order as received, with its sender.
    pub order: PlatformOrder,
    /// The HTTP status of the response.
    pub status: u16,
}

/// Accumulated running time of endpoints by tier, the basis of their cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSeconds {
    /// Running time of endpoints of the firm tier, in seconds.
    pub firm_s: f64,
    /// Running time of endpoints of the cheap tier, in seconds.
    pub cheap_s: f64,
}

struct EndpointEntry {
    listed: PlatformEndpoint,
    started: Arc<dyn StartedEndpoint>,
    started_at: Instant,
}

#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) starter: Option<Starter>,
    pub(super) orders: Vec<OrderRecord>,
    endpoints: BTreeMap<Arc<str>, EndpointEntry>,
    unavailable: BTreeSet<Arc<str>>,
    completed: BTreeMap<(Arc<str>, u64), PlatformOrderDone>,
    newest_fencing: BTreeMap<Arc<str>, u64>,
    ended_seconds: EndpointSeconds,
}

/// Reason for which an order was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderRefusal {
    StaleFencing,
    Unavailable,
}

impl Endpoints {
    pub(super) fn insert(&mut self, listed: PlatformEndpoint, started: Arc<dyn StartedEndpoint>) {
        let entry = EndpointEntry {
            listed,
            started,
            started_at: Instant::now(),
        };
        self.endpoints.insert(entry.listed.endpoint.clone(), entry);
    }

    pub(super) fn listed(&self) -> Vec<PlatformEndpoint> {
        let entries = self.endpoints.values();
        entries.map(|entry| entry.listed.clone()).collect()
    }

    pub(super) fn set_unavailable(&mut self, failure_domain: &Arc<str>, unavailable: bool) {
        if unavailable {
            self.unavailable.insert(failure_domain.clone());
        } else {
            self.unavailable.remove(failure_domain);
        }
    }

    /// Changes the phase of an endpoint from starting to running; has no effect in other phases.
    pub(super) fn mark_running(&mut self, endpoint: &str) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            if entry.listed.phase == EndpointPhase::Starting {
                entry.listed.phase = EndpointPhase::Running;
            }
        }
    }

    pub(super) fn set_phase(
        &mut self,
        endpoint: &str,
        phase: EndpointPhase,
    ) -> Option<Arc<dyn StartedEndpoint>> {
        let entry = self.endpoints.get_mut(endpoint)?;
        entry.listed.phase = phase;
        Some(entry.started.clone())
    }

    pub(super) fn remove(&mut self, endpoint: &str) -> Option<Arc<dyn StartedEndpoint>> {
        let entry = self.endpoints.remove(endpoint)?;
        add_seconds(&mut self.ended_seconds, &entry);
        Some(entry.started)
    }

    pub(super) fn seconds(&self) -> EndpointSeconds {
        let mut seconds = self.ended_seconds;
        for entry in self.endpoints.values() {
            add_seconds(&mut seconds, entry);
        }
        seconds
    }

    /// Executes an order. A repeated order is not executed again and returns the first result.
    pub(super) fn execute(
        &mut self,
        order: &PlatformOrder,
        checks_fencing: bool,
    ) -> Result<PlatformOrderDone, OrderRefusal> {
        let order_key = (order.region.clone(), order.order);
        if let Some(completed) = self.completed.get(&order_key) {
            return Ok(completed.clone());
        }
        let newest = self.newest_fencing.entry(order.region.clone()).or_default();
        if checks_fencing && order.fencing < *newest {
            return Err(OrderRefusal::StaleFencing);
        }
        *newest = (*newest).max(order.fencing);
        let endpoint = match &order.action {
            PlatformAction::Start {
                service,
                failure_domain,
                tier,
            } => self.launch(order.order, service, failure_domain, *tier)?,
            PlatformAction::Stop { endpoint } => endpoint.clone(),
        };
        let completed = PlatformOrderDone { endpoint };
        self.completed.insert(order_key, completed.clone());
        Ok(completed)
    }

    fn launch(
        &mut self,
        order: u64,
        service: &Arc<str>,
        failure_domain: &Arc<str>,
        tier: Tier,
    ) -> Result<Arc<str>, OrderRefusal> {
        if self.unavailable.contains(failure_domain) {
            return Err(OrderRefusal::Unavailable);
        }
        let mut listed = PlatformEndpoint {
            endpoint: format!("{service}-{failure_domain}-{order}").into(),
            service: service.clone(),
            failure_domain: failure_domain.clone(),
            address: "".into(),
            tier,
            phase: EndpointPhase::Starting,
            order,
        };
        let starter = self.starter.as_ref().ok_or(OrderRefusal::Unavailable)?;
        let started = starter(&listed).ok_or(OrderRefusal::Unavailable)?;
        listed.address = started.address().to_string().into();
        let endpoint = listed.endpoint.clone();
        self.insert(listed, started);
        Ok(endpoint)
    }
}

fn add_seconds(seconds: &mut EndpointSeconds, entry: &EndpointEntry) {
    let running_s = entry.started_at.elapsed().as_secs_f64();
    match entry.listed.tier {
        Tier::Firm => seconds.firm_s += running_s,
        Tier::Cheap => seconds.cheap_s += running_s,
    }
}

/// Counts orders whose fencing number is older than one that another sender used before in the same
/// region.
pub(super) fn stale_fencing_orders(orders: &[OrderRecord]) -> u64 {
    let mut newest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut stale = 0;
    for OrderRecord { order, .. } in orders {
        let entry = newest.entry(&order.region).or_default();
        if order.fencing < entry.0 && &*order.sender != entry.1 {
            stale += 1;
        }
        if order.fencing >= entry.0 {
            *entry = (order.fencing, &order.sender);
        }
    }
    stale
}
