//! A model engine: tokens at a stated speed, batch slots, weights, a prefix cache, and faults.
//!
//! Its text is a function of prompt and seed, one word a token, so that anyone can check an answer
//! with [`expected_text`].

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

/// How often the batch moves on.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// How an engine behaves without faults.
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
    /// An engine with the platform's id `endpoint`.
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

    /// Sets the port; 0 lets the kernel choose.
    pub fn port(mut self, port: u16) -> Self {
        self.port = port;
        self
    }

    /// Sets how many tokens a second each request gets.
    pub fn tokens_per_s(mut self, tokens: f64) -> Self {
        self.tokens_per_s = tokens;
        self
    }

    /// Sets how many requests run at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether chunks name the weight version.
    pub fn reports_versions(mut self, reports: bool) -> Self {
        self.reports_versions = reports;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the version after a start; 0 for none.
    pub fn first_version(mut self, version: u64) -> Self {
        self.first_version = version;
        self
    }

    /// Sets how long a swap takes once its bytes are there, in milliseconds.
    pub fn swap_ms(mut self, swap_ms: u64) -> Self {
        self.swap_ms = swap_ms;
        self
    }

    /// Sets how late the load in the status is, in milliseconds.
    pub fn status_lag_ms(mut self, lag_ms: u64) -> Self {
        self.status_lag_ms = lag_ms;
        self
    }

    /// Sets how long the prefill of one uncached block takes, in milliseconds.
    pub fn prefill_ms_per_block(mut self, prefill_ms: f64) -> Self {
        self.prefill_ms_per_block = prefill_ms;
        self
    }

    /// Sets how many blocks the prefix cache holds.
    pub fn cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets how late cache events are, in milliseconds, and that one in `gap` is lost (0: none).
    pub fn cache_events(mut self, lag_ms: u64, loss_interval: u64) -> Self {
        self.cache_event_lag_ms = lag_ms;
        self.cache_event_loss_interval = loss_interval;
        self
    }

    /// Sets whether requests end at lengths of their own rather than at `max_tokens`.
    pub fn vary_lengths(mut self, vary: bool) -> Self {
        self.vary_lengths = vary;
        self
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// When the port can't be opened.
    pub fn start(self, host: &Host) -> io::Result<Arc<EngineStandin>> {
        EngineStandin::start(host, self)
    }
}

/// What truly happened to one request at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunRecord {
    /// The request's id, as the header gave it.
    pub request_id: Arc<str>,
    /// The organisation, as the header gave it.
    pub organisation: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The sampling seed.
    pub seed: u64,
    /// The engine's boot.
    pub boot: u64,
    /// Which version produced how many tokens, those of a resumed export included.
    pub spans: Vec<VersionSpan>,
    /// How it ended; none while it runs or when the engine crashed.
    pub finish_reason: Option<Arc<str>>,
    /// Whether it got a slot.
    pub got_slot: bool,
}

/// One order as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrderRecord {
    /// When, in milliseconds since the engine started.
    pub at_ms: u64,
    /// The order.
    pub order: EngineOrder,
    /// Whether it was taken.
    pub accepted: bool,
}

pub(crate) struct Shared {
    settings: EngineSettings,
    faults: ActiveFaults,
    batch: Mutex<batch::Batch>,
    loads: Mutex<load::Loads>,
    cache: Mutex<cache::PrefixCache>,
    leaving_at: Mutex<Option<Instant>>,
    observed_headers: Mutex<ObservedHeaders>,
    reported: Mutex<ReportedLoad>,
    started: Instant,
    server: Mutex<Weak<StandinServer>>,
}

/// Requests that run and that wait.
type Load = (u32, u32);

/// The load as the status tells it: one reading late.
#[derive(Default)]
struct ReportedLoad {
    sampled_at: Option<Instant>,
    visible: Load,
    next: Load,
}

#[derive(Default)]
struct ObservedHeaders {
    headers: Vec<(String, String)>,
    with_key: u64,
}

/// A running engine.
pub struct EngineStandin {
    shared: Arc<Shared>,
    server: Arc<StandinServer>,
}

impl EngineStandin {
    fn start(host: &Host, settings: EngineSettings) -> io::Result<Arc<Self>> {
        let port = settings.port;
        let shared = Arc::new(Shared {
            batch: Mutex::new(batch::Batch::new(&settings)),
            loads: Mutex::new(load::Loads::new(settings.first_version)),
            cache: Mutex::new(cache::PrefixCache::new(&settings)),
            settings,
            faults: ActiveFaults::default(),
            leaving_at: Mutex::default(),
            observed_headers: Mutex::default(),
            reported: Mutex::new(ReportedLoad::default()),
            started: Instant::now(),
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

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its id at the platform.
    pub fn endpoint(&self) -> &Arc<str> {
        &self.shared.settings.endpoint
    }

    /// Sets a fault.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.inject_fault(fault);
    }

    /// The weight version that produces tokens now.
    pub fn version(&self) -> u64 {
        lock(&self.shared.loads).version()
    }

    /// Every request that arrived, in order, with what became of it.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.shared.batch).records.clone()
    }

    /// Every order that arrived, in order.
    pub fn orders(&self) -> Vec<EngineOrderRecord> {
        lock(&self.shared.loads).orders.clone()
    }

    /// Every header that arrived with a request.
    pub fn headers(&self) -> Vec<(String, String)> {
        lock(&self.shared.observed_headers).headers.clone()
    }

    /// Requests that arrived with a caller's key: what must never happen.
    pub fn requests_with_key(&self) -> u64 {
        lock(&self.shared.observed_headers).with_key
    }

    /// Prompt blocks that were found in the cache, and that were asked for.
    pub fn cache_hits_and_lookups(&self) -> (u64, u64) {
        lock(&self.shared.cache).hits_and_lookups
    }

    /// Starts and crashes so far.
    pub fn boot(&self) -> u64 {
        lock(&self.shared.batch).boot
    }

    /// Tokens generated so far.
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

    /// Milliseconds until this engine goes, once it is reclaimed.
    fn leaving_in_ms(&self) -> Option<u64> {
        let at = (*lock(&self.leaving_at))?;
        let left = at.saturating_duration_since(Instant::now());
        Some(left.as_millis() as u64)
    }

    /// Loses what the process held in memory.
    fn lose_state(&self) {
        lock(&self.batch).crash();
        lock(&self.loads).crash(self.settings.first_version);
        lock(&self.cache).crash();
    }

    /// Notes the headers of a request, by which the oracle finds a caller's key.
    fn record_headers(&self, request: &actix_web::HttpRequest) {
        let headers = crate::server::headers(request);
        let mut observed_headers = lock(&self.observed_headers);
        observed_headers.with_key += u64::from(crate::server::shows_key(&headers));
        observed_headers.headers.extend(headers);
    }
}

/// Moves the batch on until the engine is gone.
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
        let version = lock(&shared.loads).version();
        let poison_restart_ms =
            lock(&shared.batch).step(elapsed, version, &shared.faults, &shared.cache);
        if let Some(back_after_ms) = poison_restart_ms {
            let back_after_ms = Some(back_after_ms);
            shared.inject_fault(&Fault::Crash { back_after_ms });
        }
    }
}
