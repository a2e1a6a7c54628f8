//! Engines of a world and the way to them, with the true record of every run.

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

/// Time between two chunks.
const CHUNK_MS: u64 = 200;

/// When refused work may come back.
const RETRY_MS: u64 = 200;

/// How often a waiting run looks whether its engine still stands.
const LOOK_MS: u64 = 50;

/// How long generations are.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    /// The shortest.
    pub shortest: u32,
    /// Weight of the tail: the smaller, the longer the longest ones.
    pub tail: f64,
}

impl Lengths {
    /// The length of one generation, the same whenever it is generated again.
    pub fn of(&self, prompt: &str, seed: u64, max_tokens: u32) -> u32 {
        let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
        let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let drawn = f64::from(self.shortest) * (1.0 - uniform).powf(-1.0 / self.tail);
        drawn.min(f64::from(max_tokens)).max(1.0) as u32
    }
}

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Engines.
    pub engines: u32,
    /// Runs that one engine has at once.
    pub slots: u32,
    /// Tokens a second of one run.
    pub tokens_per_s: f64,
    /// How long generations are.
    pub lengths: Lengths,
}

/// One whole run, as the engine knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The prompt.
    pub prompt: Arc<str>,
    /// The seed.
    pub seed: u64,
    /// Which version produced how many tokens.
    pub spans: Vec<VersionSpan>,
}

#[derive(Debug)]
struct Engine {
    boot: u64,
    up: bool,
    version: u64,
    /// Grows with every change of version, seen or not.
    swaps: u64,
    swapping: bool,
    tells_versions: bool,
    silent: bool,
    slowness: f64,
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

/// The engines of a world.
#[derive(Clone, Debug)]
pub struct Fleet(Arc<Mutex<Inner>>);

/// What a run sees of its engine at one moment.
#[derive(Clone, Copy, Debug)]
struct Moment {
    boot: u64,
    up: bool,
    version: u64,
    swaps: u64,
    swapping: bool,
    tells_versions: bool,
    silent: bool,
    slowness: f64,
}

impl Fleet {
    /// Engines that all run version 1 and tell it.
    pub fn new(settings: FleetSettings) -> Self {
        let engines = (0..settings.engines).map(|number| {
            let engine = Engine {
                boot: 1,
                up: true,
                version: 1,
                swaps: 0,
                swapping: false,
                tells_versions: true,
                silent: false,
                slowness: 1.0,
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

    /// The keys of all engines.
    pub fn keys(&self) -> Vec<EndpointKey> {
        lock(&self.0).engines.keys().copied().collect()
    }

    /// Slots of one engine.
    pub fn slots(&self) -> u32 {
        lock(&self.0).settings.slots
    }

    /// The version that an engine runs.
    pub fn version(&self, key: EndpointKey) -> Option<u64> {
        self.moment(key).map(|moment| moment.version)
    }

    /// Whole runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.0).runs.clone()
    }

    /// Tokens generated so far, wanted or not.
    pub fn tokens(&self) -> u64 {
        lock(&self.0).tokens
    }

    /// Ends the engine's process with all that runs; [`Fleet::restart`] brings it back.
    pub fn crash(&self, key: EndpointKey) {
        self.with(key, |engine| engine.up = false);
    }

    /// Brings an engine back with a version in use.
    pub fn restart(&self, key: EndpointKey, version: u64) {
        self.with(key, |engine| {
            engine.up = true;
            engine.boot += 1;
            engine.version = version;
            engine.swaps += 1;
            engine.swapping = false;
            engine.silent = false;
        });
    }

    /// Stops generation on an engine while it loads.
    pub fn begin_swap(&self, key: EndpointKey) {
        self.with(key, |engine| engine.swapping = true);
    }

    /// Ends a load: with a new version, or with the old one where it failed.
    pub fn end_swap(&self, key: EndpointKey, version: Option<u64>) {
        self.with(key, |engine| {
            engine.swapping = false;
            engine.swaps += 1;
            engine.version = version.unwrap_or(engine.version);
        });
    }

    /// Sets whether an engine names its version in each chunk.
    pub fn tell_versions(&self, key: EndpointKey, tells: bool) {
        self.with(key, |engine| engine.tells_versions = tells);
    }

    /// Lets an engine take work and give nothing, or ends that.
    pub fn silence(&self, key: EndpointKey, silent: bool) {
        self.with(key, |engine| engine.silent = silent);
    }

    /// Lets an engine generate this many times slower.
    pub fn slow(&self, key: EndpointKey, slowness: f64) {
        self.with(key, |engine| engine.slowness = slowness);
    }

    fn with(&self, key: EndpointKey, change: impl FnOnce(&mut Engine)) {
        if let Some(engine) = lock(&self.0).engines.get_mut(&key) {
            change(engine);
        }
    }

    /// The engine that the prompt's prefix would be on, unless it is busy; else the freest.
    fn choose(&self, work: &Work) -> Option<EndpointKey> {
        let inner = lock(&self.0);
        let WorkBody::Completion(request) = &work.body else {
            return None;
        };
        let slots = inner.settings.slots;
        let fits = |key: &EndpointKey, engine: &Engine| {
            let wanted = engine.up && !engine.swapping && !work.avoid.contains(key);
            wanted && engine.version >= work.oldest_version && engine.load < 2 * slots
        };
        let open = inner.engines.iter().filter(|(key, e)| fits(key, e));
        let rank =
            |key: &EndpointKey| xxh3_64_with_seed(request.prompt.as_bytes(), u64::from(key.0));
        let free = open.clone().filter(|(_, engine)| engine.load < slots);
        let best = free.max_by_key(|(key, _)| rank(key));
        let best = best.or_else(|| open.min_by_key(|(_, engine)| engine.load));
        best.map(|(key, _)| *key)
    }

    fn moment(&self, key: EndpointKey) -> Option<Moment> {
        let inner = lock(&self.0);
        let engine = inner.engines.get(&key)?;
        Some(Moment {
            boot: engine.boot,
            up: engine.up,
            version: engine.version,
            swaps: engine.swaps,
            swapping: engine.swapping,
            tells_versions: engine.tells_versions,
            silent: engine.silent,
            slowness: engine.slowness,
        })
    }

    async fn run(self, work: Work, events: WorkSender) {
        let outcome = tokio::select! {
            outcome = self.run_somewhere(&work, &events) => outcome,
            () = events.closed() => return,
        };
        let _ = events.send(WorkEvent::Done(outcome)).await;
    }

    async fn run_somewhere(&self, work: &Work, events: &WorkSender) -> Outcome<Summary> {
        let WorkBody::Completion(request) = &work.body else {
            return refused();
        };
        let Some(key) = self.choose(work) else {
            return refused();
        };
        let _counted = Counted::new(self, key);
        let permits = lock(&self.0).engines.get(&key).map(|e| e.permits.clone());
        let Some(permits) = permits else {
            return refused();
        };
        let Ok(_slot) = permits.acquire().await else {
            return refused();
        };
        match self.moment(key) {
            Some(now) if now.up && now.version >= work.oldest_version => {
                let _ = events.send(WorkEvent::Started { endpoint: key }).await;
                self.generate(key, now, work, request, events).await
            }
            _ => refused(),
        }
    }

    async fn generate(
        &self,
        key: EndpointKey,
        before: Moment,
        work: &Work,
        request: &CompletionRequest,
        events: &WorkSender,
    ) -> Outcome<Summary> {
        let settings = lock(&self.0).settings;
        let lengths = settings.lengths;
        let length = lengths.of(&request.prompt, request.seed, request.max_tokens);
        let text = expected_text(&request.prompt, request.seed, length);
        let mut words = text.split_inclusive(' ');
        let mut spans: Vec<VersionSpan> = Vec::new();
        let mut done = 0;
        let mut credit = 0.0;
        let mut told = true;
        while done < length {
            sleep(Duration::from_millis(CHUNK_MS)).await;
            let now = match self.standing(key, before.boot).await {
                Some(now) => now,
                None => return Outcome::Unknown("the engine broke off".into()),
            };
            credit += settings.tokens_per_s / now.slowness * CHUNK_MS as f64 / 1_000.0;
            let tokens = (credit as u32).min(length - done);
            if tokens == 0 {
                continue;
            }
            credit -= f64::from(tokens);
            done += tokens;
            lock(&self.0).tokens += u64::from(tokens);
            push_span(&mut spans, now.version, tokens);
            told &= now.tells_versions;
            let chunk = CompletionChunk {
                id: work.request_id.clone(),
                text: words.by_ref().take(tokens as usize).collect(),
                tokens,
                version: now.tells_versions.then_some(now.version),
                finish_reason: None,
            };
            let _ = events.send(WorkEvent::Chunk(chunk)).await;
        }
        lock(&self.0).runs.push(Run {
            prompt: request.prompt.clone(),
            seed: request.seed,
            spans: spans.clone(),
        });
        let after = self.moment(key).map(|moment| moment.swaps);
        let versions = match (told, after == Some(before.swaps)) {
            (true, _) => spans,
            // As a home does: two readings that agree, and nothing in between.
            (false, true) => vec![VersionSpan {
                version: before.version,
                tokens: length,
            }],
            (false, false) => Vec::new(),
        };
        Outcome::Ran(Summary {
            endpoint: key,
            tokens: length,
            versions,
            finish_reason: "stop".into(),
        })
    }

    /// Waits until the engine generates; none once it broke off.
    async fn standing(&self, key: EndpointKey, boot: u64) -> Option<Moment> {
        loop {
            let now = self.moment(key)?;
            if !now.up || now.boot != boot {
                return None;
            }
            if !now.swapping && !now.silent {
                return Some(now);
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
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

/// Counts a run at its engine while it lives.
struct Counted<'a> {
    fleet: &'a Fleet,
    key: EndpointKey,
}

impl<'a> Counted<'a> {
    fn new(fleet: &'a Fleet, key: EndpointKey) -> Self {
        fleet.with(key, |engine| engine.load += 1);
        Self { fleet, key }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.fleet.with(self.key, |engine| engine.load -= 1);
    }
}

fn refused() -> Outcome<Summary> {
    Outcome::NotRun(NotRun::retry_after(Refusal::Overloaded, RETRY_MS))
}

fn push_span(spans: &mut Vec<VersionSpan>, version: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}
