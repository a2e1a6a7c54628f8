//! Stand-in for a model engine, with a configurable token rate, batch slots, weight versions, a
//! prefix cache and fault injection.
//!
//! The generated text is a function of the prompt and the seed, with one word for each token, so
//! that [`expected_text`] can verify any response.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        Weak, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::web;
use flamingoscale::wire::{
    EngineOrder,
    VersionSpan, //
};

use crate::{
    faults::{
        sleep_ms,
        ActiveFaults,
        Fault, //
    },
    platform::{
        lock,
        StartedEndpoint, //
    },
    server::{
        Host,
        StandinServer, //
    }, //
};

mod batch;
mod cache;
mod load;
mod routes;
mod text;

pub use cache::BLOCK_BYTES;
pub use text::{
    expected_text,
    expected_tokens, //
};

/// Interval at which the batch generates tokens.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Behaviour of an engine in the absence of faults.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    endpoint: Arc<str>,
    port: u16,
    tokens_per_s: f64,
    slots: u32,
    reports_versions: bool,
    checks_fencing: bool,
    first_version: u64,
    swap_ms: u64,
    status_lag_ms: u64,
    prefill_ms_per_block: f64,
    cache_blocks: usize,
    cache_event_lag_ms: u64,
    cache_event_loss_interval: u64,
    vary_lengths: bool,
}

impl EngineSettings {
    /// Creates default settings for an engine that the platform lists as `endpoint`.
    pub fn new(endpoint: impl Into<Arc<str>>) -> Self {
        Self {
            endpoint: endpoint.into(),
            port: 0,
            tokens_per_s: 200.0,
            slots: 8,
            reports_versions: true,
            checks_fencing: true,
            first_version: 0,
            swap_ms: 50,
            status_lag_ms: 50,
            prefill_ms_per_block: 1.0,
            cache_blocks: 1_024,
            cache_event_lag_ms: 100,
            cache_event_loss_interval: 17,
            vary_lengths: false,
        }
    }

    /// Sets the loopback port to listen on; 0 lets the kernel choose a free one.
    pub fn port(mut self, port: u16) -> Self {
        self.port = port;
        self
    }

    /// Sets the generation rate of each running request, in tokens per second.
    pub fn tokens_per_s(mut self, tokens: f64) -> Self {
        self.tokens_per_s = tokens;
        self
    }

    /// Sets the batch size, which is the maximum number of concurrently running requests.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether chunks report the weight version that produced them.
    pub fn reports_versions(mut self, reports: bool) -> Self {
        self.reports_versions = reports;
        self
    }

    /// Sets whether orders with a stale fencing number are rejected.
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the weight version after a start or crash; 0 means none.
    pub fn first_version(mut self, version: u64) -> Self {
        self.first_version = version;
        self
    }

    /// Sets how long a weight swap takes after the download, in milliseconds.
    pub fn swap_ms(mut self, swap_ms: u64) -> Self {
        self.swap_ms = swap_ms;
        self
    }

    /// Sets the minimum age of the request counts in the status, in milliseconds.
    pub fn status_lag_ms(mut self, lag_ms: u64) -> Self {
        self.status_lag_ms = lag_ms;
        self
    }

    /// Sets the prefill time of one uncached prompt block, in milliseconds.
    pub fn prefill_ms_per_block(mut self, prefill_ms: f64) -> Self {
        self.prefill_ms_per_block = prefill_ms;
        self
    }

    /// Sets the capacity of the prefix cache, in blocks.
    pub fn cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets the delay of cache events, in milliseconds, and that one in `loss_interval` events is
    /// lost; 0 means that none is lost.
    pub fn cache_events(mut self, lag_ms: u64, loss_interval: u64) -> Self {
        self.cache_event_lag_ms = lag_ms;
        self.cache_event_loss_interval = loss_interval;
        self
    }

    /// Sets whether generation ends at a length drawn from prompt and seed (see
    /// [`expected_tokens`]) instead of at `max_tokens`.
    pub fn vary_lengths(mut self, vary: bool) -> Self {
        self.vary_lengths = vary;
        self
    }

    /// Starts the engine on the thread of `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn start(self, host: &Host) -> io::Result<Arc<EngineStandin>> {
        EngineStandin::start(host, self)
    }
}

/// Ground-truth record of one request at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunRecord {
    /// The request id from the request's header.
    pub request_id: Arc<str>,
    /// The organisation from the request's header.
    pub organisation: Arc<str>,
    /// The prompt of the request.
    pub prompt: Arc<str>,
    /// The sampling seed of the request.
    pub seed: u64,
    /// The boot number of the engine process that received the request.
    pub boot: u64,
    /// Number of tokens by weight version, in order, including the tokens of a resumed export.
    pub spans: Vec<VersionSpan>,
    /// The finish reason; `None` while the request runs and after an engine crash.
    pub finish_reason: Option<Arc<str>>,
    /// Whether the request was admitted to a batch slot.
    pub got_slot: bool,
}

/// Record of one received order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrderRecord {
    /// Arrival time, in milliseconds since the engine started.
    pub at_ms: u64,
    /// The order as received.
    pub order: EngineOrder,
    /// Whether the order was accepted; an order with a stale fencing number is not.
    pub accepted: bool,
}

pub(crate) struct Shared {
    settings: EngineSettings,
    faults: ActiveFaults,
    batch: Mutex<batch::Batch>,
    weights: Mutex<load::WeightState>,
    cache: Mutex<cache::PrefixCache>,
    leaving_at: Mutex<Option<Instant>>,
    observed_headers: Mutex<ObservedHeaders>,
    reported_counts: Mutex<ReportedCounts>,
    started_at: Instant,
    server: Mutex<Weak<StandinServer>>,
}

/// Number of running and of queued requests.
type RequestCounts = (u32, u32);

/// Request counts in the status, which lag one sample behind the batch.
#[derive(Default)]
struct ReportedCounts {
    sampled_at: Option<Instant>,
    visible: RequestCounts,
    next: RequestCounts,
}

/// Headers of all received requests, and how many requests carried a caller's API key.
#[derive(Default)]
struct ObservedHeaders {
    headers: Vec<(String, String)>,
    requests_with_key: u64,
}

/// A running engine stand-in.
pub struct EngineStandin {
    shared: Arc<Shared>,
    server: Arc<StandinServer>,
}

impl EngineStandin {
    fn start(host: &Host, settings: EngineSettings) -> io::Result<Arc<Self>> {
        let port = settings.port;
        let shared = Arc::new(Shared {
            batch: Mutex::new(batch::Batch::new(&settings)),
            weights: Mutex::new(load::WeightState::new(settings.first_version)),
            cache: Mutex::new(cache::PrefixCache::new(&settings)),
            settings,
            faults: ActiveFaults::default(),
            leaving_at: Mutex::default(),
            observed_headers: Mutex::default(),
            reported_counts: Mutex::new(ReportedCounts::default()),
            started_at: Instant::now(),
            server: Mutex::default(),
        });
        let data = web::Data::from(shared.clone());
        let server =
            StandinServer::open(host, port, move |config| routes::configure(config, &data))?;
        let server = Arc::new(server);
        *lock(&shared.server) = Arc::downgrade(&server);
        let weak_shared = Arc::downgrade(&shared);
        host.run(move || {
            actix_rt::spawn(tick(weak_shared));
        });
        Ok(Arc::new(Self { shared, server }))
    }

    /// Returns the loopback address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the id under which the platform lists this endpoint.
    pub fn endpoint(&self) -> &Arc<str> {
        &self.shared.settings.endpoint
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// Returns the weight version in use.
    pub fn version(&self) -> u64 {
        lock(&self.shared.weights).version()
    }

    /// Returns the records of all received requests, in order of arrival.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.shared.batch).records.clone()
    }

    /// Returns the records of all received orders, in order of arrival.
    pub fn orders(&self) -> Vec<EngineOrderRecord> {
        lock(&self.shared.weights).orders.clone()
    }

    /// Returns the headers of all received requests, as names and values.
    pub fn headers(&self) -> Vec<(String, String)> {
        lock(&self.shared.observed_headers).headers.clone()
    }

    /// Returns how many requests carried a caller's API key. This must stay 0, because callers'
    /// keys must not be forwarded to endpoints.
    pub fn requests_with_key(&self) -> u64 {
        lock(&self.shared.observed_headers).requests_with_key
    }

    /// Returns the number of prefix cache hits and of lookups, in blocks.
    pub fn cache_hits_and_lookups(&self) -> (u64, u64) {
        lock(&self.shared.cache).hits_and_lookups
    }

    /// Returns the boot number, which starts at 1 and grows with each crash.
    pub fn boot(&self) -> u64 {
        lock(&self.shared.batch).boot
    }

    /// Returns how many tokens were generated since the start.
    pub fn generated_tokens(&self) -> u64 {
        lock(&self.shared.batch).generated_tokens
    }
}

impl StartedEndpoint for EngineStandin {
    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    fn reclaim(&self, notice_ms: u64) {
        self.shared.set_leaving(notice_ms);
    }

    fn stop(&self) {
        self.server.close();
        self.shared.lose_state();
    }
}

impl Shared {
    fn inject_fault(self: &Arc<Self>, fault: &Fault) {
        self.faults.set(fault);
        let Some(server) = lock(&self.server).upgrade() else {
            return;
        };
        if let Fault::Reclaim { notice_ms } = fault {
            self.set_leaving(*notice_ms);
            server.run_after(Some(*notice_ms), StandinServer::close);
        }
        server.apply(fault, &|| self.lose_state());
    }

    fn set_leaving(&self, notice_ms: u64) {
        *lock(&self.leaving_at) = Some(Instant::now() + Duration::from_millis(notice_ms));
    }

    /// Returns the milliseconds until this engine stops, if it is being reclaimed.
    fn leaving_in_ms(&self) -> Option<u64> {
        let at = (*lock(&self.leaving_at))?;
        let remaining = at.saturating_duration_since(Instant::now());
        Some(remaining.as_millis() as u64)
    }

    /// Discards the in-memory state, as a process crash does.
    fn lose_state(&self) {
        lock(&self.batch).crash();
        lock(&self.weights).crash(self.settings.first_version);
        lock(&self.cache).crash();
    }

    /// Records the headers of a request, so that tests can detect a leaked API key.
    fn record_headers(&self, request: &actix_web::HttpRequest) {
        let headers = crate::server::headers(request);
        let mut observed_headers = lock(&self.observed_headers);
        observed_headers.requests_with_key += u64::from(crate::server::carries_key(&headers));
        observed_headers.headers.extend(headers);
    }
}

/// Advances the batch periodically until the engine is dropped.
async fn tick(shared: Weak<Shared>) {
    let mut last = Instant::now();
    loop {
        sleep_ms(TICK_INTERVAL.as_millis() as u64).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        let elapsed = now - last;
        last = now;
        let version = lock(&shared.weights).version();
        let poison_restart_ms =
            lock(&shared.batch).step(elapsed, version, &shared.faults, &shared.cache);
        if let Some(back_after_ms) = poison_restart_ms {
            let back_after_ms = Some(back_after_ms);
            shared.inject_fault(&Fault::Crash { back_after_ms });
        }
    }
}
