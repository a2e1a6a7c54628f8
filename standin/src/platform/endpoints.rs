//! Endpoints and the orders for them.

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

/// An endpoint that the platform started and can take back.
pub trait StartedEndpoint: Send + Sync {
    /// Where it is.
    fn address(&self) -> SocketAddr;

    /// Tells it that it goes in `notice_ms` milliseconds.
    fn reclaim(&self, notice_ms: u64);

    /// Ends it for good.
    fn stop(&self);
}

/// Starts an endpoint: id, service and failure domain.
pub type Starter = Box<dyn Fn(&PlatformEndpoint) -> Option<Arc<dyn StartedEndpoint>> + Send>;

/// One order as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// When, in milliseconds since the platform started.
    pub at_ms: u64,
    /// The order with its sender.
    pub order: PlatformOrder,
    /// The HTTP status that answered it.
    pub status: u16,
}

/// What the endpoints cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSeconds {
    /// Seconds of firm endpoints.
    pub firm_s: f64,
    /// Seconds of cheap ones.
    pub cheap_s: f64,
}

struct Known {
    listed: PlatformEndpoint,
    started: Arc<dyn StartedEndpoint>,
    since: Instant,
}

#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) starter: Option<Starter>,
    pub(super) orders: Vec<OrderRecord>,
    known: BTreeMap<Arc<str>, Known>,
    unavailable: BTreeSet<Arc<str>>,
    done: BTreeMap<(Arc<str>, u64), PlatformOrderDone>,
    newest_fencing: BTreeMap<Arc<str>, u64>,
    ended: EndpointSeconds,
}

/// Why an order was not carried out, as an HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderRefusal {
    Fenced,
    Unavailable,
}

impl Endpoints {
    pub(super) fn add(&mut self, listed: PlatformEndpoint, started: Arc<dyn StartedEndpoint>) {
        let known = Known {
            listed,
            started,
            since: Instant::now(),
        };
        self.known.insert(known.listed.endpoint.clone(), known);
    }

    pub(super) fn listed(&self) -> Vec<PlatformEndpoint> {
        let known = self.known.values();
        known.map(|known| known.listed.clone()).collect()
    }

    pub(super) fn set_unavailable(&mut self, failure_domain: &Arc<str>, unavailable: bool) {
        if unavailable {
            self.unavailable.insert(failure_domain.clone());
        } else {
            self.unavailable.remove(failure_domain);
        }
    }

    /// Makes a starting endpoint a running one.
    pub(super) fn started(&mut self, endpoint: &str) {
        if let Some(known) = self.known.get_mut(endpoint) {
            if known.listed.phase == EndpointPhase::Starting {
                known.listed.phase = EndpointPhase::Running;
            }
        }
    }

    pub(super) fn set_phase(
        &mut self,
        endpoint: &str,
        phase: EndpointPhase,
    ) -> Option<Arc<dyn StartedEndpoint>> {
        let known = self.known.get_mut(endpoint)?;
        known.listed.phase = phase;
        Some(known.started.clone())
    }

    pub(super) fn remove(&mut self, endpoint: &str) -> Option<Arc<dyn StartedEndpoint>> {
        let known = self.known.remove(endpoint)?;
        add_seconds(&mut self.ended, &known);
        Some(known.started)
    }

    pub(super) fn seconds(&self) -> EndpointSeconds {
        let mut seconds = self.ended;
        for known in self.known.values() {
            add_seconds(&mut seconds, known);
        }
        seconds
    }

    /// Carries out an order, or answers a repeated one as the first time.
    pub(super) fn carry_out(
        &mut self,
        order: &PlatformOrder,
        checks_fencing: bool,
    ) -> Result<PlatformOrderDone, OrderRefusal> {
        let number = (order.region.clone(), order.order);
        if let Some(done) = self.done.get(&number) {
            return Ok(done.clone());
        }
        let newest = self.newest_fencing.entry(order.region.clone()).or_default();
        if checks_fencing && order.fencing < *newest {
            return Err(OrderRefusal::Fenced);
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
        let done = PlatformOrderDone { endpoint };
        self.done.insert(number, done.clone());
        Ok(done)
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
        self.add(listed, started);
        Ok(endpoint)
    }
}

fn add_seconds(seconds: &mut EndpointSeconds, known: &Known) {
    let length = known.since.elapsed().as_secs_f64();
    match known.listed.tier {
        Tier::Firm => seconds.firm_s += length,
        Tier::Cheap => seconds.cheap_s += length,
    }
}

/// Counts orders with a fencing number older than one that another sender had shown before.
pub(super) fn orders_from_two(orders: &[OrderRecord]) -> u64 {
    let mut newest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut wrong = 0;
    for OrderRecord { order, .. } in orders {
        let entry = newest.entry(&order.region).or_default();
        if order.fencing < entry.0 && &*order.sender != entry.1 {
            wrong += 1;
        }
        if order.fencing >= entry.0 {
            *entry = (order.fencing, &order.sender);
        }
    }
    wrong
}
