//! Cost of choosing an endpoint as the number of endpoints grows, and prompt cache hit rate of each
//! routing policy.

use std::{
    hint::black_box,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    routing::table::{
        prompt_affinity,
        RouteEndpoint,
        RouteTable,
        ServiceRoutes, //
    },
    view::{
        Endpoint,
        EndpointKey,
        EndpointTable,
        Member,
        View, //
    },
    wire::{
        CompletionRequest,
        EndpointPhase,
        PlatformEndpoint,
        Tier,
        REQUEST_ID_HEADER, //
    }, //
};
use futures::StreamExt as _;
use hdrhistogram::Histogram;
use rand::{
    Rng as _,
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use standin::{
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    server::Host, //
};

use crate::{
    load::new_histogram,
    output, //
};

/// Numbers of endpoints for which the cost of a choice is measured.
const ENDPOINT_COUNTS: [usize; 4] = [10, 100, 1_000, 7_000];

/// Number of endpoints per instance at the target size.
const ENDPOINTS_PER_INSTANCE: usize = 18;

/// Number of failure domains at the target size.
const FAILURE_DOMAINS: usize = 22;

/// Maximum number of choices in each measurement.
const MAX_CHOICES: u64 = 200_000;

/// Average number of requests in flight per endpoint while the cost of a choice is measured.
const IN_FLIGHT_PER_ENDPOINT: usize = 6;

/// Number of engines in the cache rounds.
const ENGINES: usize = 8;

/// Number of batch slots of each engine.
const SLOTS_PER_ENGINE: usize = 8;

/// Number of distinct prompts.
const PROMPTS: usize = 160;

/// Approximate size of each prompt.
const PROMPT_BYTES: usize = 4_096;

/// Number of blocks in the prompt cache of each engine, which is enough for a fifth of the distinct
/// prompts.
const CACHE_BLOCKS: usize = 2_048;

/// Number of concurrent callers in the cache rounds.
const CALLERS: usize = 40;

/// Number of requests in each cache round.
const REQUESTS: usize = 2_000;

pub(crate) fn run(seed: u64) {
    let mut measured = serde_json::Map::new();
    let mut baseline = serde_json::Map::new();
    for size in ENDPOINT_COUNTS {
        let (choice_ns, scan_ns, build_us) = measure_choices(seed, size);
        output::line(
            "routing",
            seed,
            json!({
                "endpoints": size,
                "choice_ns": choice_ns,
                "scan_ns": scan_ns,
                "build_us": build_us,
            }),
        );
        measured.insert(format!("choice_ns_{size}"), choice_ns.into());
        baseline.insert(format!("choice_ns_{size}"), scan_ns.into());
    }
    let policies = [Policy::Affinity, Policy::RoundRobin, Policy::LeastLoaded];
    for policy in policies {
        output::progress("routing", policy.name());
        let Some(round) = cache_round(seed, policy) else {
            output::progress("routing", "cannot start the engines or their host thread");
            return;
        };
        let ttft = |quantile| round.first_token_us.value_at_quantile(quantile);
        output::line(
            "routing",
            seed,
            json!({
                "policy": policy.name(),
                "hit_rate": round.hit_rate,
                "first_token_p50_us": ttft(0.5),
                "first_token_p99_us": ttft(0.99),
                "failed": round.failed,
            }),
        );
        let (figures, prefixes) = match policy {
            Policy::Affinity => (&mut measured, ["", "least_loaded_"].as_slice()),
            Policy::RoundRobin => (&mut baseline, [""].as_slice()),
            Policy::LeastLoaded => (&mut baseline, ["least_loaded_"].as_slice()),
        };
        for prefix in prefixes {
            figures.insert(format!("{prefix}hit_rate"), round.hit_rate.into());
            figures.insert(format!("{prefix}first_token_p50_us"), ttft(0.5).into());
            figures.insert(format!("{prefix}first_token_p99_us"), ttft(0.99).into());
        }
    }
    output::summary("routing", seed, measured.into(), baseline.into());
}

/// Returns the time of a choice by the route table and of the full scan that it replaces, both in
/// nanoseconds, and the time to build the route table in microseconds.
fn measure_choices(seed: u64, size: usize) -> (u64, u64, u64) {
    output::progress("routing", &format!("{size} endpoints"));
    let view = build_view(size);
    let started = Instant::now();
    let table = RouteTable::build(&view, &RouteTable::default());
    let build_us = started.elapsed().as_micros() as u64;
    let Some(routes) = table.service("draft") else {
        return (0, 0, build_us);
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..size * IN_FLIGHT_PER_ENDPOINT {
        if let Some(endpoint) = routes.choose(random.next_u64(), &[], 0) {
            endpoint.load.begin();
        }
    }
    let choice_ns = ns_per_choice(|| {
        routes
            .choose(random.next_u64(), &[], 0)
            .map(|endpoint| endpoint.key)
    });
    let scan_ns = ns_per_choice(|| least_loaded_by_scan(routes).map(|endpoint| endpoint.key));
    (choice_ns, scan_ns, build_us)
}

fn ns_per_choice(mut choose: impl FnMut() -> Option<EndpointKey>) -> u64 {
    let started = Instant::now();
    let mut choices = 0;
    while choices < MAX_CHOICES && started.elapsed() < Duration::from_secs(1) {
        for _ in 0..50 {
            black_box(choose());
        }
        choices += 50;
    }
    (started.elapsed().as_nanos() / u128::from(choices)) as u64
}

/// Scans all endpoints and returns the least loaded one.
fn least_loaded_by_scan(routes: &ServiceRoutes) -> Option<&RouteEndpoint> {
    let endpoints = routes.endpoints().iter();
    endpoints.min_by_key(|endpoint| endpoint.load.estimate(0))
}

fn build_view(size: usize) -> View {
    let domain = |number: usize| format!("d{}", number % FAILURE_DOMAINS);
    let mut endpoints = EndpointTable::default();
    for number in 0..size {
        let key = EndpointKey(number as u32);
        let platform = PlatformEndpoint {
            endpoint: format!("e{number}").into(),
            service: "draft".into(),
            failure_domain: domain(number).into(),
            address: "127.0.0.1:1".into(),
            tier: Tier::Firm,
            phase: EndpointPhase::Running,
            order: 0,
        };
        endpoints.endpoints.insert(key, Endpoint { key, platform });
        let keys = endpoints.by_service.entry("draft".into());
        keys.or_default().push(key);
    }
    let members = (0..size.div_ceil(ENDPOINTS_PER_INSTANCE).max(3)).map(|number| Member {
        instance: format!("n{number}").into(),
        incarnation: 1,
        failure_domain: domain(number).into(),
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        leaving: false,
        suspect: false,
        revision: 1,
    });
    View {
        endpoints: Arc::new(endpoints),
        members: Arc::new(members.collect()),
        ..View::default()
    }
}

/// The routing policy of a cache round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The production policy, which prefers the same engines for prompts with the same prefix.
    Affinity,
    /// Each request goes to the next engine in order.
    RoundRobin,
    /// Each request goes to the engine with the lowest estimated load.
    LeastLoaded,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Policy::Affinity => "affinity",
            Policy::RoundRobin => "round_robin",
            Policy::LeastLoaded => "least_loaded",
        }
    }
}

/// Measurements of one cache round.
struct CacheRound {
    hit_rate: f64,
    first_token_us: Histogram<u64>,
    failed: u64,
}

/// Sends the requests with one policy to engines with cold caches.
fn cache_round(seed: u64, policy: Policy) -> Option<CacheRound> {
    actix_rt::System::new().block_on(async move {
        let host = Host::start().ok()?;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let settings = EngineSettings::new(format!("e{number}"))
                .tokens_per_s(400.0)
                .slots(SLOTS_PER_ENGINE as u32)
                .cache_blocks(CACHE_BLOCKS);
            engines.push(settings.start(&host).ok()?);
        }
        let table = RouteTable::build(&build_view(ENGINES), &RouteTable::default());
        let routes = table.service("draft")?;
        let sender = Sender {
            policy,
            routes,
            engines: &engines,
            next_engine_index: AtomicUsize::new(0),
        };
        let prompts = prompts(seed);
        let next_request = AtomicUsize::new(0);
        let callers = (0..CALLERS).map(|_| sender.run_caller(&prompts, &next_request));
        let mut first_token_us = new_histogram();
        let mut failed = 0;
        for (caller_times, caller_failed) in futures::future::join_all(callers).await {
            first_token_us.add(caller_times).ok()?;
            failed += caller_failed;
        }
        let (hits, lookups) = engines
            .iter()
            .map(|engine| engine.cache_hits_and_lookups())
            .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
        Some(CacheRound {
            hit_rate: hits as f64 / lookups.max(1) as f64,
            first_token_us,
            failed,
        })
    })
}

/// Returns the prompt of each request. Some prompts occur far more often than others.
fn prompts(seed: u64) -> Vec<Arc<str>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let texts: Vec<Arc<str>> = (0..PROMPTS)
        .map(|number| format!("log {number} ").repeat(PROMPT_BYTES / 6).into())
        .collect();
    (0..REQUESTS)
        .map(|_| {
            let uniform: f64 = random.random::<f64>();
            let number = (uniform * uniform * PROMPTS as f64) as usize;
            texts[number.min(PROMPTS - 1)].clone()
        })
        .collect()
}

/// Sends the requests of a cache round to the engines that the policy chooses.
struct Sender<'a> {
    policy: Policy,
    routes: &'a ServiceRoutes,
    engines: &'a [Arc<EngineStandin>],
    next_engine_index: AtomicUsize,
}

impl Sender<'_> {
    /// Sends requests one after another. Returns the times to first token and the number of
    /// failures.
    async fn run_caller(
        &self,
        prompts: &[Arc<str>],
        next_request: &AtomicUsize,
    ) -> (Histogram<u64>, u64) {
        let client = awc::Client::builder().disable_timeout().finish();
        let mut times = new_histogram();
        let mut failed = 0;
        loop {
            let number = next_request.fetch_add(1, Ordering::Relaxed);
            let Some(prompt) = prompts.get(number) else {
                return (times, failed);
            };
            let Some(endpoint) = self.choose(prompt) else {
                failed += 1;
                continue;
            };
            endpoint.load.begin();
            match self.first_token(&client, endpoint, prompt, number).await {
                Some(elapsed) => times.saturating_record(elapsed.as_micros() as u64),
                None => failed += 1,
            }
            endpoint.load.end();
        }
    }

    fn choose(&self, prompt: &str) -> Option<&RouteEndpoint> {
        match self.policy {
            Policy::Affinity => self.routes.choose(prompt_affinity(prompt), &[], 0),
            Policy::LeastLoaded => least_loaded_by_scan(self.routes),
            Policy::RoundRobin => {
                let next_engine_index = self.next_engine_index.fetch_add(1, Ordering::Relaxed);
                self.routes.endpoints().get(next_engine_index % ENGINES)
            }
        }
    }

    /// Sends one request, reads the whole answer and returns the time to its first token.
    async fn first_token(
        &self,
        client: &awc::Client,
        endpoint: &RouteEndpoint,
        prompt: &Arc<str>,
        number: usize,
    ) -> Option<Duration> {
        let engine = self.engines.get(endpoint.key.0 as usize)?;
        let request = CompletionRequest {
            model: "draft".into(),
            prompt: prompt.clone(),
            max_tokens: 24,
            stream: true,
            ..CompletionRequest::default()
        };
        let started = Instant::now();
        let sent = client
            .post(format!("http://{}/v1/completions", engine.address()))
            .insert_header((REQUEST_ID_HEADER, format!("r{number}")))
            .send_json(&request);
        let mut response = sent.await.ok()?;
        response.next().await?.ok()?;
        let elapsed = started.elapsed();
        while let Some(part) = response.next().await {
            part.ok()?;
        }
        Some(elapsed)
    }
}
