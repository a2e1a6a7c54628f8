//! Simulated engines with their dispatcher, and a ground-truth record of every completed run.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use flamingoscale::{
    dispatch::{
        Dispatch,
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkSender,
        WorkStream, //
    },
    outcome::{
        NotRun,
        Outcome,
        Refusal, //
    },
    view::EndpointKey,
    wire::{
        CompletionChunk,
        CompletionRequest,
        VersionSpan, //
    }, //
};
use tokio::{
    sync::Semaphore,
    time::sleep, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::lock;
use crate::engine::expected_text;

/// Interval between two chunks of a run.
const CHUNK_INTERVAL_MS: u64 = 200;

/// Delay after which rejected work may be retried.
const RETRY_AFTER_MS: u64 = 200;

/// Interval at which a stalled run checks the state of its engine.
const POLL_INTERVAL_MS: u64 = 50;

/// Distribution of generation lengths.
#[derive(Clone, Copy, Debug)]
pub struct LengthDistribution {
    /// The minimum length, in tokens.
    pub min_tokens: u32,
    /// Exponent of the Pareto tail; smaller values give longer maximum lengths.
    pub tail_exponent: f64,
}

impl LengthDistribution {
    /// Returns the length of a generation, in tokens. The length depends only on the arguments.
    pub fn length_of(&self, prompt: &str, seed: u64, max_tokens: u32) -> u32 {
        let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
        let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let drawn = f64::from(self.min_tokens) * (1.0 - uniform).powf(-1.0 / self.tail_exponent);
        drawn.min(f64::from(max_tokens)).max(1.0) as u32
    }
}

/// Size and speed of a [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Number of engines.
    pub engines: u32,
    /// Number of concurrent runs of one engine.
    pub slots: u32,
    /// Generation rate of one run, in tokens per second.
    pub tokens_per_s: f64,
    /// Distribution of generation lengths.
    pub lengths: LengthDistribution,
}

/// Ground-truth record of one completed run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The prompt of the request.
    pub prompt: Arc<str>,
    /// The sampling seed.
    pub seed: u64,
    /// Number of tokens by weight version, in order.
    pub spans: Vec<VersionSpan>,
}

#[derive(Debug)]
struct Engine {
    boot: u64,
    up: bool,
    version: u64,
    /// Incremented by each swap and restart, also when the version stays the same.
    swap_count: u64,
    swapping: bool,
    reports_versions: bool,
    silent: bool,
    slowdown: f64,
    load: u32,
    permits: Arc<Semaphore>,
}

#[derive(Debug)]
struct Inner {
    settings: FleetSettings,
    engines: BTreeMap<EndpointKey, Engine>,
    runs: Vec<Run>,
    tokens: u64,
}

/// The engines of a [`World`](super::World).
#[derive(Clone, Debug)]
pub struct Fleet(Arc<Mutex<Inner>>);

/// State of an engine at one point in time, as a run observes it.
#[derive(Clone, Copy, Debug)]
struct EngineState {
    boot: u64,
    up: bool,
    version: u64,
    swap_count: u64,
    swapping: bool,
    reports_versions: bool,
    silent: bool,
    slowdown: f64,
}

impl Fleet {
    /// Creates engines that run version 1 and report it in each chunk.
    pub fn new(settings: FleetSettings) -> Self {
        let engines = (0..settings.engines).map(|number| {
            let engine = Engine {
                boot: 1,
                up: true,
                version: 1,
                swap_count: 0,
                swapping: false,
                reports_versions: true,
                silent: false,
                slowdown: 1.0,
                load: 0,
                permits: Arc::new(Semaphore::new(settings.slots as usize)),
            };
            (EndpointKey(number), engine)
        });
        Self(Arc::new(Mutex::new(Inner {
            settings,
            engines: engines.collect(),
            runs: Vec::new(),
            tokens: 0,
        })))
    }

    /// Returns the keys of all engines.
    pub fn keys(&self) -> Vec<EndpointKey> {
        lock(&self.0).engines.keys().copied().collect()
    }

    /// Returns the number of slots of each engine.
    pub fn slots(&self) -> u32 {
        lock(&self.0).settings.slots
    }

    /// Returns the weight version that an engine runs; `None` for an unknown engine.
    pub fn version(&self, key: EndpointKey) -> Option<u64> {
        self.state(key).map(|state| state.version)
    }

    /// Returns the records of all completed runs.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.0).runs.clone()
    }

    /// Returns how many tokens were generated so far, including those of abandoned runs.
    pub fn tokens(&self) -> u64 {
        lock(&self.0).tokens
    }

    /// Crashes an engine and all its runs; [`Fleet::restart`] starts it again.
    pub fn crash(&self, key: EndpointKey) {
        self.with_engine(key, |engine| engine.up = false);
    }

    /// Restarts an engine with the given weight version.
    pub fn restart(&self, key: EndpointKey, version: u64) {
        self.with_engine(key, |engine| {
            engine.up = true;
            engine.boot += 1;
            engine.version = version;
            engine.swap_count += 1;
            engine.swapping = false;
            engine.silent = false;
        });
    }

    /// Begins a weight swap; the engine generates nothing until it ends.
    pub fn begin_swap(&self, key: EndpointKey) {
        self.with_engine(key, |engine| engine.swapping = true);
    }

    /// Ends a weight swap with a new version, or with the old one (`None`) if the swap failed.
    pub fn end_swap(&self, key: EndpointKey, version: Option<u64>) {
        self.with_engine(key, |engine| {
            engine.swapping = false;
            engine.swap_count += 1;
            engine.version = version.unwrap_or(engine.version);
        });
    }

    /// Sets whether an engine reports its version in each chunk.
    pub fn set_reports_versions(&self, key: EndpointKey, reports: bool) {
        self.with_engine(key, |engine| engine.reports_versions = reports);
    }

    /// Sets whether an engine accepts work without generating tokens.
    pub fn set_silent(&self, key: EndpointKey, silent: bool) {
        self.with_engine(key, |engine| engine.silent = silent);
    }

    /// Divides the generation rate of an engine by `slowdown`.
    pub fn set_slowdown(&self, key: EndpointKey, slowdown: f64) {
        self.with_engine(key, |engine| engine.slowdown = slowdown);
    }

    fn with_engine(&self, key: EndpointKey, change: impl FnOnce(&mut Engine)) {
        if let Some(engine) = lock(&self.0).engines.get_mut(&key) {
            change(engine);
        }
    }

    /// Chooses the engine with a free slot that rendezvous hashing of the prompt ranks highest, or
    /// else the least loaded engine.
    fn choose(&self, work: &Work) -> Option<EndpointKey> {
        let inner = lock(&self.0);
        let WorkBody::Completion(request) = &work.body else {
            return None;
        };
        let slots = inner.settings.slots;
        let fits = |key: &EndpointKey, engine: &Engine| {
            let eligible = engine.up && !engine.swapping && !work.avoid.contains(key);
            eligible && engine.version >= work.oldest_version && engine.load < 2 * slots
        };
        let candidates = inner.engines.iter().filter(|(key, e)| fits(key, e));
        let rank =
            |key: &EndpointKey| xxh3_64_with_seed(request.prompt.as_bytes(), u64::from(key.0));
        let free = candidates.clone().filter(|(_, engine)| engine.load < slots);
        let best = free.max_by_key(|(key, _)| rank(key));
        let best = best.or_else(|| candidates.min_by_key(|(_, engine)| engine.load));
        best.map(|(key, _)| *key)
    }

    fn state(&self, key: EndpointKey) -> Option<EngineState> {
        let inner = lock(&self.0);
        let engine = inner.engines.get(&key)?;
        Some(EngineState {
            boot: engine.boot,
            up: engine.up,
            version: engine.version,
            swap_count: engine.swap_count,
            swapping: engine.swapping,
            reports_versions: engine.reports_versions,
            silent: engine.silent,
            slowdown: engine.slowdown,
        })
    }

    async fn run(self, work: Work, events: WorkSender) {
        let outcome = tokio::select! {
            outcome = self.run_on_engine(&work, &events) => outcome,
            () = events.closed() => return,
        };
        let _ = events.send(WorkEvent::Done(outcome)).await;
    }

    async fn run_on_engine(&self, work: &Work, events: &WorkSender) -> Outcome<Summary> {
        let WorkBody::Completion(request) = &work.body else {
            return overloaded();
        };
        let Some(key) = self.choose(work) else {
            return overloaded();
        };
        let _load_guard = LoadGuard::new(self, key);
        let permits = lock(&self.0).engines.get(&key).map(|e| e.permits.clone());
        let Some(permits) = permits else {
            return overloaded();
        };
        let Ok(_slot) = permits.acquire().await else {
            return overloaded();
        };
        match self.state(key) {
            Some(now) if now.up && now.version >= work.oldest_version => {
                let _ = events.send(WorkEvent::Started { endpoint: key }).await;
                self.generate(key, now, work, request, events).await
            }
            _ => overloaded(),
        }
    }

    async fn generate(
        &self,
        key: EndpointKey,
        initial: EngineState,
        work: &Work,
        request: &CompletionRequest,
        events: &WorkSender,
    ) -> Outcome<Summary> {
        let settings = lock(&self.0).settings;
        let lengths = settings.lengths;
        let target_tokens = lengths.length_of(&request.prompt, request.seed, request.max_tokens);
        let text = expected_text(&request.prompt, request.seed, target_tokens);
        let mut words = text.split_inclusive(' ');
        let mut spans: Vec<VersionSpan> = Vec::new();
        let mut produced = 0;
        let mut token_credit = 0.0;
        let mut all_reported = true;
        while produced < target_tokens {
            sleep(Duration::from_millis(CHUNK_INTERVAL_MS)).await;
            let now = match self.wait_until_generating(key, initial.boot).await {
                Some(now) => now,
                None => return Outcome::Unknown("the engine broke off".into()),
            };
            token_credit +=
                settings.tokens_per_s / now.slowdown * CHUNK_INTERVAL_MS as f64 / 1_000.0;
            let tokens = (token_credit as u32).min(target_tokens - produced);
            if tokens == 0 {
                continue;
            }
            token_credit -= f64::from(tokens);
            produced += tokens;
            lock(&self.0).tokens += u64::from(tokens);
            append_span(&mut spans, now.version, tokens);
            all_reported &= now.reports_versions;
            let chunk = CompletionChunk {
                id: work.request_id.clone(),
                text: words.by_ref().take(tokens as usize).collect(),
                tokens,
                version: now.reports_versions.then_some(now.version),
                finish_reason: None,
            };
            let _ = events.send(WorkEvent::Chunk(chunk)).await;
        }
        lock(&self.0).runs.push(Run {
            prompt: request.prompt.clone(),
            seed: request.seed,
            spans: spans.clone(),
        });
        let final_swap_count = self.state(key).map(|state| state.swap_count);
        let versions = match (all_reported, final_swap_count == Some(initial.swap_count)) {
            (true, _) => spans,
            // Like an endpoint's home instance, trusts the version only if it was the same before
            // and after the run without a swap in between.
            (false, true) => vec![VersionSpan {
                version: initial.version,
                tokens: target_tokens,
            }],
            (false, false) => Vec::new(),
        };
        Outcome::Ran(Summary {
            endpoint: key,
            tokens: target_tokens,
            versions,
            finish_reason: "stop".into(),
        })
    }

    /// Waits until the engine generates; returns `None` if it has crashed or restarted.
    async fn wait_until_generating(&self, key: EndpointKey, boot: u64) -> Option<EngineState> {
        loop {
            let now = self.state(key)?;
            if !now.up || now.boot != boot {
                return None;
            }
            if !now.swapping && !now.silent {
                return Some(now);
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

impl Dispatch for Fleet {
    fn start(&self, work: Work) -> WorkStream {
        let (events, stream) = WorkStream::channel();
        actix_rt::spawn(self.clone().run(work, events));
        stream
    }
}

/// Counts a run in its engine's load until it is dropped.
struct LoadGuard<'a> {
    fleet: &'a Fleet,
    key: EndpointKey,
}

impl<'a> LoadGuard<'a> {
    fn new(fleet: &'a Fleet, key: EndpointKey) -> Self {
        fleet.with_engine(key, |engine| engine.load += 1);
        Self { fleet, key }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.fleet.with_engine(self.key, |engine| engine.load -= 1);
    }
}

fn overloaded() -> Outcome<Summary> {
    Outcome::NotRun(NotRun::retry_after(Refusal::Overloaded, RETRY_AFTER_MS))
}

fn append_span(spans: &mut Vec<VersionSpan>, version: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}
