//! Request outcomes while endpoints crash, a failure domain is lost, open connections stop
//! answering or answers are lost, compared with callers that call the endpoints directly.

use std::{
    collections::BTreeMap,
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
    configuration::{
        Service,
        ServiceKind, //
    },
    wire::{
        Completion,
        CompletionRequest,
        REQUEST_ID_HEADER, //
    }, //
};
use hdrhistogram::Histogram;
use rand::{
    RngExt as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use standin::{
    caller::{
        Call,
        CallerStandin, //
    },
    cluster::{
        Cluster,
        ClusterBuilder, //
    },
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    faults::Fault,
    server::Host,
    service::ServiceStandin, //
};

use crate::{
    load::new_histogram,
    output, //
};

/// Failure domains; each has one node.
const DOMAINS: [&str; 3] = ["saiq", "shams", "nizwa"];

/// Number of engines, and of plain services, in each failure domain.
const ENDPOINTS_PER_DOMAIN: usize = 2;

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// Duration of each round.
const ROUND_DURATION: Duration = Duration::from_secs(5);

/// Number of tokens of each completion.
const TOKENS_PER_COMPLETION: u32 = 30;

/// Timeout of a caller.
const CALLER_TIMEOUT_MS: u64 = 15_000;

/// The fault that is injected in a round.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    None,
    /// A random engine and service crash and restart after 400 ms.
    Crashes,
    /// All endpoints of the first failure domain crash and do not restart.
    DomainLost,
    /// The open connections to a random engine and service stop answering; new connections work.
    Silence,
    /// A random engine and service each lose one answer.
    LostAnswers,
}

/// All kinds of faults, and their names in the output.
const FAULT_KINDS: [(FaultKind, &str); 5] = [
    (FaultKind::None, "none"),
    (FaultKind::Crashes, "crashes"),
    (FaultKind::DomainLost, "domain_gone"),
    (FaultKind::Silence, "silence"),
    (FaultKind::LostAnswers, "lost_answers"),
];

/// The cluster under test, its endpoints and their host thread.
struct Fixture {
    cluster: Cluster,
    engines: Vec<Arc<EngineStandin>>,
    services: Vec<Arc<ServiceStandin>>,
    _host: Host,
}

/// Counts of the outcomes of one kind of request.
#[derive(Default)]
struct Outcomes {
    requests: u64,
    /// Requests with a complete and correct answer.
    complete: u64,
    /// Requests without a complete and correct answer.
    unknown: u64,
    /// Attempts that were answered with a wrong result.
    wrong: u64,
    /// Attempts of lookups that were reported as not run although a service ran them.
    falsely_not_run: u64,
    /// Attempts of lookups that services ran more than once.
    ran_twice: u64,
}

/// Measurements of one round.
struct Round {
    completions: Outcomes,
    lookups: Outcomes,
    latencies_ms: Histogram<u64>,
}

pub(crate) fn run(seed: u64) {
    let mut measured = serde_json::Map::new();
    let mut baseline = serde_json::Map::new();
    for (fault_kind, name) in FAULT_KINDS {
        output::progress("faults", name);
        let via_system = run_round(seed, fault_kind, true);
        let direct = run_round(seed, fault_kind, false);
        let (Some(via_system), Some(direct)) = (via_system, direct) else {
            output::progress("faults", "cannot start the cluster or its endpoints");
            return;
        };
        for (path, round) in [("system", &via_system), ("direct", &direct)] {
            let mut figures = round_to_json(round);
            figures["trouble"] = name.into();
            figures["path"] = path.into();
            output::line("faults", seed, figures);
        }
        for (round, summary) in [(&via_system, &mut measured), (&direct, &mut baseline)] {
            let share =
                |outcomes: &Outcomes| outcomes.complete as f64 / outcomes.requests.max(1) as f64;
            summary.insert(
                format!("{name}_completions_whole"),
                share(&round.completions).into(),
            );
            summary.insert(
                format!("{name}_lookups_whole"),
                share(&round.lookups).into(),
            );
            let p99 = round.latencies_ms.value_at_quantile(0.99);
            summary.insert(format!("{name}_p99_ms"), p99.into());
            let lookups = &round.lookups;
            let broken = lookups.falsely_not_run + lookups.ran_twice + lookups.wrong;
            summary.insert(format!("{name}_promises_broken"), broken.into());
        }
    }
    output::summary("faults", seed, measured.into(), baseline.into());
}

fn round_to_json(round: &Round) -> serde_json::Value {
    let to_json = |outcomes: &Outcomes| {
        json!({
            "asked": outcomes.requests,
            "whole": outcomes.complete,
            "unknown": outcomes.unknown,
            "wrong": outcomes.wrong,
            "not_run_false": outcomes.falsely_not_run,
            "ran_twice": outcomes.ran_twice,
        })
    };
    json!({
        "completions": to_json(&round.completions),
        "lookups": to_json(&round.lookups),
        "p50_ms": round.latencies_ms.value_at_quantile(0.5),
        "p99_ms": round.latencies_ms.value_at_quantile(0.99),
    })
}

fn run_round(seed: u64, fault_kind: FaultKind, via_system: bool) -> Option<Round> {
    actix_rt::System::new().block_on(async {
        let fixture = start_fixture()?;
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        let started = Instant::now();
        let next_endpoint = AtomicUsize::new(0);
        let callers = (0..CALLERS)
            .map(|number| run_caller(&fixture, number, started, via_system, &next_endpoint));
        let (calls, ()) = futures::join!(
            futures::future::join_all(callers),
            inject_faults(seed, fault_kind, &fixture, started),
        );
        let calls: Vec<RequestResult> = calls.into_iter().flatten().collect();
        Some(tally(&fixture, &calls))
    })
}

fn start_fixture() -> Option<Fixture> {
    let host = Host::start().ok()?;
    let service = |name: &str, kind, idempotent| Service {
        name: name.into(),
        kind,
        idempotent,
        open: false,
        firm_floor: 1,
        ceiling: 8,
        slots: 8,
        checks_fencing: true,
    };
    let mut builder = ClusterBuilder::default()
        .organisation("lodges", 1, 0)
        .service(service("draft", ServiceKind::Engine, true))
        .service(service("lookup", ServiceKind::Plain, false));
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for domain in DOMAINS {
        builder = builder.node(&format!("node-{domain}"), domain);
        for number in 0..ENDPOINTS_PER_DOMAIN {
            let name = format!("engine-{domain}-{number}");
            let settings = EngineSettings::new(&*name).tokens_per_s(300.0);
            let engine = settings.start(&host).ok()?;
            builder = builder.endpoint(&name, "draft", domain, engine.address());
            engines.push(engine);
            let name = format!("lookup-{domain}-{number}");
            let service = ServiceStandin::start(&host, 0, &*name, 5).ok()?;
            builder = builder.endpoint(&name, "lookup", domain, service.address());
            services.push(service);
        }
    }
    Some(Fixture {
        cluster: builder.start().ok()?,
        engines,
        services,
        _host: host,
    })
}

/// Injects the fault of the round every 500 ms until the round ends. The loss of a failure domain
/// is injected once.
async fn inject_faults(seed: u64, fault_kind: FaultKind, fixture: &Fixture, started: Instant) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    while started.elapsed() < ROUND_DURATION {
        let victim = random.random_range(0..fixture.engines.len());
        match fault_kind {
            FaultKind::None => return,
            FaultKind::Crashes => {
                let fault = Fault::Crash {
                    back_after_ms: Some(400),
                };
                fixture.engines[victim].inject_fault(&fault);
                fixture.services[victim].inject_fault(&fault);
            }
            FaultKind::DomainLost => {
                let fault = Fault::Crash {
                    back_after_ms: None,
                };
                for number in 0..ENDPOINTS_PER_DOMAIN {
                    fixture.engines[number].inject_fault(&fault);
                    fixture.services[number].inject_fault(&fault);
                }
                return;
            }
            FaultKind::Silence => {
                fixture.engines[victim].inject_fault(&Fault::SilenceOpen);
                fixture.services[victim].inject_fault(&Fault::SilenceOpen);
            }
            FaultKind::LostAnswers => {
                fixture.engines[victim].inject_fault(&Fault::LoseAnswers { count: 1 });
                fixture.services[victim].inject_fault(&Fault::LoseAnswers { count: 1 });
            }
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
}

/// The kind and the outcome of one request.
struct RequestResult {
    is_lookup: bool,
    call: Call,
}

/// Sends completions and lookups alternately, one at a time, until the round ends.
async fn run_caller(
    fixture: &Fixture,
    number: usize,
    started: Instant,
    via_system: bool,
    next_endpoint: &AtomicUsize,
) -> Vec<RequestResult> {
    let seeds = fixture
        .cluster
        .nodes
        .iter()
        .map(|node| node.address)
        .collect();
    let key = Some(fixture.cluster.keys["lodges"].clone());
    let home_domain = DOMAINS[number % DOMAINS.len()];
    let mut caller = CallerStandin::new(key, home_domain, seeds).timeout_ms(CALLER_TIMEOUT_MS);
    let mut results = Vec::new();
    let mut count = 0;
    while started.elapsed() < ROUND_DURATION {
        count += 1;
        let is_lookup = count % 2 == 0;
        let id = format!("{number}-{count}");
        let call = match (via_system, is_lookup) {
            (true, true) => caller.look_up("lookup", &id).await,
            (true, false) => {
                caller
                    .complete("draft", &id, TOKENS_PER_COMPLETION, false)
                    .await
            }
            (false, _) => {
                call_directly(
                    fixture,
                    is_lookup,
                    &id,
                    next_endpoint.fetch_add(1, Ordering::Relaxed),
                )
                .await
            }
        };
        results.push(RequestResult { is_lookup, call });
    }
    results
}

/// Makes one attempt at an endpoint without the system, so without routing and retries.
async fn call_directly(
    fixture: &Fixture,
    is_lookup: bool,
    id: &str,
    endpoint_index: usize,
) -> Call {
    use standin::caller::Attempt;
    let client = awc::Client::builder()
        .timeout(Duration::from_millis(CALLER_TIMEOUT_MS))
        .finish();
    let sent = Instant::now();
    let address = if is_lookup {
        fixture.services[endpoint_index % fixture.services.len()].address()
    } else {
        fixture.engines[endpoint_index % fixture.engines.len()].address()
    };
    let complete = if is_lookup {
        let url = format!("http://{address}/x");
        let body = json!({ "id": format!("{id}#0") });
        match client.post(url).send_json(&body).await {
            Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
            Err(_) => false,
        }
    } else {
        let request = CompletionRequest {
            model: "draft".into(),
            prompt: id.into(),
            max_tokens: TOKENS_PER_COMPLETION,
            ..CompletionRequest::default()
        };
        let url = format!("http://{address}/v1/completions");
        let post = client.post(url).insert_header((REQUEST_ID_HEADER, id));
        match post.send_json(&request).await {
            Ok(mut response) => response
                .json::<Completion>()
                .await
                .is_ok_and(|completion| completion.tokens == TOKENS_PER_COMPLETION),
            Err(_) => false,
        }
    };
    let outcome = if complete {
        Attempt::Correct
    } else {
        Attempt::Unknown("the direct call failed".into())
    };
    Call {
        attempts: vec![(format!("{id}#0"), outcome)],
        duration_ms: sent.elapsed().as_millis() as u64,
    }
}

/// Counts the outcomes of all calls. The reported outcomes of lookups are checked against the runs
/// that the services recorded.
fn tally(fixture: &Fixture, calls: &[RequestResult]) -> Round {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &fixture.services {
        for (id, count) in service.runs_by_body() {
            *runs.entry(id).or_default() += count;
        }
    }
    let mut round = Round {
        completions: Outcomes::default(),
        lookups: Outcomes::default(),
        latencies_ms: new_histogram(),
    };
    for RequestResult { is_lookup, call } in calls {
        let outcomes = if *is_lookup {
            &mut round.lookups
        } else {
            &mut round.completions
        };
        outcomes.requests += 1;
        outcomes.complete += u64::from(call.is_correct());
        outcomes.unknown += u64::from(!call.is_correct());
        outcomes.wrong += call.incorrect_attempts();
        if *is_lookup {
            let ran = |id: &str| runs.get(id).copied().unwrap_or(0);
            outcomes.falsely_not_run += call.not_run_ids().filter(|id| ran(id) > 0).count() as u64;
            let run_twice = call.attempts.iter().filter(|(id, _)| ran(id) > 1);
            outcomes.ran_twice += run_twice.count() as u64;
        }
        round.latencies_ms.saturating_record(call.duration_ms);
    }
    round
}
