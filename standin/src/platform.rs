//! Stand-in for the platform: the log, the instance list, endpoint orders and usage reports.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::web;
use flamingoscale::wire::{
    EndpointPhase,
    ListedInstance,
    PlatformEndpoint,
    PlatformOrder,
    Tier,
    UsageReport, //
};

use crate::{
    faults::{
        ActiveFaults,
        Fault, //
    },
    server::{
        Host,
        StandinServer, //
    }, //
};

mod endpoints;
mod log;
mod routes;
mod usage;

pub use endpoints::{
    EndpointSeconds,
    OrderRecord,
    StartedEndpoint,
    Starter, //
};
pub use usage::ReportRecord;

/// Behaviour of the platform in the absence of faults.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    port: u16,
    appends_per_s: u32,
    retention_ms: u64,
    list_lag_ms: u64,
    start_ms: u64,
    stop_grace_ms: u64,
    checks_fencing: bool,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            port: 0,
            appends_per_s: 400,
            retention_ms: 3_600_000,
            list_lag_ms: 500,
            start_ms: 200,
            stop_grace_ms: 1_000,
            checks_fencing: true,
        }
    }
}

impl PlatformSettings {
    /// Sets the loopback port to listen on; 0 lets the kernel choose a free one.
    pub fn port(mut self, port: u16) -> Self {
        self.port = port;
        self
    }

    /// Sets the rate limit of log appends, in appends per second; the minimum is 1.
    pub fn appends_per_s(mut self, appends: u32) -> Self {
        self.appends_per_s = appends.max(1);
        self
    }

    /// Sets the retention time of log records, in milliseconds.
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Sets the propagation delay of changes to the instance list, in milliseconds.
    pub fn list_lag_ms(mut self, lag_ms: u64) -> Self {
        self.list_lag_ms = lag_ms;
        self
    }

    /// Sets the start-up time of an ordered endpoint, in milliseconds.
    pub fn start_ms(mut self, start_ms: u64) -> Self {
        self.start_ms = start_ms;
        self
    }

    /// Sets how long an endpoint stays reachable after a stop order, in milliseconds.
    pub fn stop_grace_ms(mut self, stop_grace_ms: u64) -> Self {
        self.stop_grace_ms = stop_grace_ms;
        self
    }

    /// Sets whether orders with a stale fencing number are rejected.
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Starts the platform on the thread of `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(self, host: &Host) -> io::Result<Platform> {
        Platform::start(host, self)
    }
}

/// An instance with the times at which it was added to the list and removed from it.
#[derive(Debug)]
struct InstanceEntry {
    listed_at: Instant,
    instance: ListedInstance,
    removed_at: Option<Instant>,
}

pub(crate) struct Shared {
    settings: PlatformSettings,
    faults: ActiveFaults,
    log: Mutex<log::LogStore>,
    appended: tokio::sync::Notify,
    instances: Mutex<Vec<InstanceEntry>>,
    endpoints: Mutex<endpoints::Endpoints>,
    usage: Mutex<usage::UsageReports>,
    started_at: Instant,
    server: Mutex<Weak<StandinServer>>,
}

/// A running platform stand-in.
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<StandinServer>,
    host: Host,
}

impl Platform {
    fn start(host: &Host, settings: PlatformSettings) -> io::Result<Self> {
        let port = settings.port;
        let shared = Arc::new(Shared {
            log: Mutex::new(log::LogStore::new(&settings)),
            settings,
            faults: ActiveFaults::default(),
            appended: tokio::sync::Notify::new(),
            instances: Mutex::default(),
            endpoints: Mutex::default(),
            usage: Mutex::default(),
            started_at: Instant::now(),
            server: Mutex::default(),
        });
        let data = web::Data::from(shared.clone());
        let server =
            StandinServer::open(host, port, move |config| routes::configure(config, &data))?;
        let server = Arc::new(server);
        *lock(&shared.server) = Arc::downgrade(&server);
        Ok(Self {
            shared,
            server,
            host: host.clone(),
        })
    }

    /// Returns the loopback address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Sets the function that starts ordered endpoints. Without it, start orders are rejected as
    /// unavailable.
    pub fn set_starter(&self, starter: Starter) {
        lock(&self.shared.endpoints).starter = Some(starter);
    }

    /// Adds an instance to the list; it becomes visible after the list lag.
    pub fn list_instance(&self, instance: ListedInstance) {
        let entry = InstanceEntry {
            listed_at: Instant::now(),
            instance,
            removed_at: None,
        };
        lock(&self.shared.instances).push(entry);
    }

    /// Removes an instance from the list; it stays visible until the list lag has passed.
    pub fn unlist_instance(&self, instance: &str) {
        let mut instances = lock(&self.shared.instances);
        let entries = instances
            .iter_mut()
            .filter(|entry| &*entry.instance.instance == instance);
        entries.for_each(|entry| entry.removed_at = Some(Instant::now()));
    }

    /// Adds an endpoint that exists without an order.
    pub fn add_endpoint(&self, listed: PlatformEndpoint, started: Arc<dyn StartedEndpoint>) {
        let mut endpoints = lock(&self.shared.endpoints);
        endpoints.insert(listed, started);
    }

    /// Notifies an endpoint that it is being reclaimed, and stops it after `notice_ms` milliseconds.
    pub fn reclaim(&self, endpoint: &str, notice_ms: u64) {
        let host = self.host.clone();
        let (shared, endpoint) = (self.shared.clone(), Arc::from(endpoint));
        host.run(move || shared.reclaim_endpoint(&endpoint, notice_ms));
    }

    /// Returns the endpoints that are listed now.
    pub fn endpoints(&self) -> Vec<PlatformEndpoint> {
        lock(&self.shared.endpoints).listed()
    }

    /// Returns the records of all received orders, in order of arrival.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.shared.endpoints).orders.clone()
    }

    /// Returns how many orders had a stale fencing number: another sender had already used a newer
    /// one in the same region. This must stay 0.
    pub fn stale_fencing_orders(&self) -> u64 {
        endpoints::stale_fencing_orders(&lock(&self.shared.endpoints).orders)
    }

    /// Returns the running time of all endpoints so far.
    pub fn endpoint_seconds(&self) -> EndpointSeconds {
        lock(&self.shared.endpoints).seconds()
    }

    /// Returns the records of all received usage reports, in order of arrival.
    pub fn reports(&self) -> Vec<ReportRecord> {
        lock(&self.shared.usage).records.clone()
    }

    /// Returns the first report of each usage window, which is the one that the platform bills.
    pub fn billed_reports(&self) -> Vec<UsageReport> {
        lock(&self.shared.usage).billed_reports()
    }

    /// Returns how many reports contradicted the accepted figures of their window. This must stay
    /// 0.
    pub fn usage_conflicts(&self) -> u64 {
        lock(&self.shared.usage).conflicts()
    }

    /// Returns how many reports had a stale fencing number: another reporter had already used a
    /// newer one in the same region. This must stay 0.
    pub fn stale_fencing_reports(&self) -> u64 {
        lock(&self.shared.usage).stale_fencing_reports()
    }

    /// Returns the log offset that the next append will get.
    pub fn log_head(&self) -> u64 {
        lock(&self.shared.log).head()
    }

    /// Returns how many appends were executed.
    pub fn appends(&self) -> u64 {
        lock(&self.shared.log).appends
    }

    /// Appends records in process, without the rate limit, as an operator's tool might.
    pub fn append(&self, records: Vec<String>) {
        lock(&self.shared.log).append(records);
        self.shared.appended.notify_waiters();
    }
}

impl Shared {
    fn inject_fault(self: &Arc<Self>, fault: &Fault) {
        self.faults.set(fault);
        match fault {
            Fault::Truncate { keep } => lock(&self.log).truncate(*keep),
            Fault::Unavailable {
                failure_domain,
                unavailable,
            } => lock(&self.endpoints).set_unavailable(failure_domain, *unavailable),
            Fault::Vanish {
                failure_domain,
                notice_ms,
                cheap_only,
            } => self.reclaim_domain(failure_domain, *notice_ms, *cheap_only),
            _ => {}
        }
        let server = lock(&self.server).upgrade();
        if let Some(server) = server {
            // The platform's stores are durable, so a crash loses no state.
            server.apply(fault, &|| ());
        }
    }

    /// Reclaims all endpoints of a failure domain, or only those of the cheap tier.
    fn reclaim_domain(self: &Arc<Self>, failure_domain: &str, notice_ms: u64, cheap_only: bool) {
        let listed = lock(&self.endpoints).listed();
        let affected = listed.into_iter().filter(|endpoint| {
            let tier_matches = !cheap_only || endpoint.tier == Tier::Cheap;
            tier_matches && &*endpoint.failure_domain == failure_domain
        });
        let affected: Vec<Arc<str>> = affected.map(|endpoint| endpoint.endpoint).collect();
        let server = lock(&self.server).upgrade();
        let Some(server) = server else {
            return;
        };
        for endpoint in affected {
            let shared = self.clone();
            server
                .host()
                .run(move || shared.reclaim_endpoint(&endpoint, notice_ms));
        }
    }

    /// Notifies an endpoint that it is being reclaimed, and stops it after `notice_ms` milliseconds.
    /// Must run on the stand-in thread.
    fn reclaim_endpoint(self: &Arc<Self>, endpoint: &Arc<str>, notice_ms: u64) {
        let started = lock(&self.endpoints).set_phase(endpoint, EndpointPhase::Leaving);
        if let Some(started) = started {
            started.reclaim(notice_ms);
        }
        let (shared, endpoint) = (self.clone(), endpoint.clone());
        actix_rt::spawn(async move {
            crate::faults::sleep_ms(notice_ms).await;
            let removed = lock(&shared.endpoints).remove(&endpoint);
            if let Some(removed) = removed {
                removed.stop();
            }
        });
    }

    fn instances(&self) -> Vec<ListedInstance> {
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        let lag_passed = |since: Instant| since.elapsed() >= lag;
        let instances = lock(&self.instances);
        let entries = instances.iter().filter(|entry| lag_passed(entry.listed_at));
        let entries = entries.filter(|entry| !entry.removed_at.is_some_and(lag_passed));
        entries.map(|entry| entry.instance.clone()).collect()
    }

    fn order_record(&self, order: &PlatformOrder, status: u16) -> OrderRecord {
        OrderRecord {
            at_ms: self.started_at.elapsed().as_millis() as u64,
            order: order.clone(),
            status,
        }
    }
}

/// Locks a mutex and ignores poisoning, because no holder can panic halfway through a change.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
