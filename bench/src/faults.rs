//! Promised answers while endpoints crash, a failure domain goes and connections go silent,
//! against callers that go to the endpoints themselves.

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

/// Failure domains, each with one node.
const DOMAINS: [&str; 3] = ["saiq", "shams", "nizwa"];

/// Endpoints of either kind in each failure domain.
const ENDPOINTS_PER_DOMAIN: usize = 2;

/// Callers at once.
const CALLERS: usize = 12;

/// Length of each round.
const ROUND: Duration = Duration::from_secs(5);

/// Tokens of each completion.
const TOKENS: u32 = 30;

/// Longest wait of a caller.
const CALLER_MS: u64 = 15_000;

/// What goes wrong in a round.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    Crashes,
    DomainGone,
    Silence,
    LostAnswers,
}

const TROUBLES: [(Trouble, &str); 5] = [
    (Trouble::None, "none"),
    (Trouble::Crashes, "crashes"),
    (Trouble::DomainGone, "domain_gone"),
    (Trouble::Silence, "silence"),
    (Trouble::LostAnswers, "lost_answers"),
];

struct Bed {
    cluster: Cluster,
    engines: Vec<Arc<EngineStandin>>,
    services: Vec<Arc<ServiceStandin>>,
    _host: Host,
}

#[derive(Default)]
struct Counts {
    asked: u64,
    whole: u64,
    unknown: u64,
    wrong: u64,
    not_run_false: u64,
    ran_twice: u64,
}

struct Round {
    completions: Counts,
    lookups: Counts,
    took_ms: Histogram<u64>,
}

pub(crate) fn run(seed: u64) {
    let mut own = serde_json::Map::new();
    let mut base = serde_json::Map::new();
    for (trouble, name) in TROUBLES {
        output::progress("faults", name);
        let through = round(seed, trouble, true);
        let direct = round(seed, trouble, false);
        let (Some(through), Some(direct)) = (through, direct) else {
            output::progress("faults", "no ports");
            return;
        };
        for (path, round) in [("system", &through), ("direct", &direct)] {
            let mut figures = figures(round);
            figures["trouble"] = name.into();
            figures["path"] = path.into();
            output::line("faults", seed, figures);
        }
        for (round, sums) in [(&through, &mut own), (&direct, &mut base)] {
            let share = |counts: &Counts| counts.whole as f64 / counts.asked.max(1) as f64;
            sums.insert(
                format!("{name}_completions_whole"),
                share(&round.completions).into(),
            );
            sums.insert(
                format!("{name}_lookups_whole"),
                share(&round.lookups).into(),
            );
            let p99 = round.took_ms.value_at_quantile(0.99);
            sums.insert(format!("{name}_p99_ms"), p99.into());
            let lookups = &round.lookups;
            let broken = lookups.not_run_false + lookups.ran_twice + lookups.wrong;
            sums.insert(format!("{name}_promises_broken"), broken.into());
        }
    }
    output::summary("faults", seed, own.into(), base.into());
}

fn figures(round: &Round) -> serde_json::Value {
    let counts = |counts: &Counts| {
        json!({
            "asked": counts.asked,
            "whole": counts.whole,
            "unknown": counts.unknown,
            "wrong": counts.wrong,
            "not_run_false": counts.not_run_false,
            "ran_twice": counts.ran_twice,
        })
    };
    json!({
        "completions": counts(&round.completions),
        "lookups": counts(&round.lookups),
        "p50_ms": round.took_ms.value_at_quantile(0.5),
        "p99_ms": round.took_ms.value_at_quantile(0.99),
    })
}

fn round(seed: u64, trouble: Trouble, through: bool) -> Option<Round> {
    actix_rt::System::new().block_on(async {
        let bed = start()?;
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        let started = Instant::now();
        let turn = AtomicUsize::new(0);
        let callers = (0..CALLERS).map(|number| caller(&bed, number, started, through, &turn));
        let (calls, ()) = futures::join!(
            futures::future::join_all(callers),
            bring_about(seed, trouble, &bed, started),
        );
        let calls: Vec<Asked> = calls.into_iter().flatten().collect();
        Some(judge(&bed, &calls))
    })
}

fn start() -> Option<Bed> {
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
    Some(Bed {
        cluster: builder.start().ok()?,
        engines,
        services,
        _host: host,
    })
}

/// Brings the round's trouble about, now and then until the round ends.
async fn bring_about(seed: u64, trouble: Trouble, bed: &Bed, started: Instant) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    while started.elapsed() < ROUND {
        let victim = random.random_range(0..bed.engines.len());
        match trouble {
            Trouble::None => return,
            Trouble::Crashes => {
                let fault = Fault::Crash {
                    back_after_ms: Some(400),
                };
                bed.engines[victim].inject_fault(&fault);
                bed.services[victim].inject_fault(&fault);
            }
            Trouble::DomainGone => {
                let fault = Fault::Crash {
                    back_after_ms: None,
                };
                for number in 0..ENDPOINTS_PER_DOMAIN {
                    bed.engines[number].inject_fault(&fault);
                    bed.services[number].inject_fault(&fault);
                }
                return;
            }
            Trouble::Silence => {
                bed.engines[victim].inject_fault(&Fault::SilenceOpen);
                bed.services[victim].inject_fault(&Fault::SilenceOpen);
            }
            Trouble::LostAnswers => {
                bed.engines[victim].inject_fault(&Fault::LoseAnswers { count: 1 });
                bed.services[victim].inject_fault(&Fault::LoseAnswers { count: 1 });
            }
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
}

/// One request: its kind and what became of it.
struct Asked {
    lookup: bool,
    call: Call,
}

/// Asks for a completion and a lookup in turn until the round ends.
async fn caller(
    bed: &Bed,
    number: usize,
    started: Instant,
    through: bool,
    turn: &AtomicUsize,
) -> Vec<Asked> {
    let seeds = bed.cluster.nodes.iter().map(|node| node.address).collect();
    let key = Some(bed.cluster.keys["lodges"].clone());
    let near = DOMAINS[number % DOMAINS.len()];
    let mut caller = CallerStandin::new(key, near, seeds).timeout_ms(CALLER_MS);
    let mut asked = Vec::new();
    let mut count = 0;
    while started.elapsed() < ROUND {
        count += 1;
        let lookup = count % 2 == 0;
        let id = format!("{number}-{count}");
        let call = match (through, lookup) {
            (true, true) => caller.look_up("lookup", &id).await,
            (true, false) => caller.complete("draft", &id, TOKENS, false).await,
            (false, _) => straight(bed, lookup, &id, turn.fetch_add(1, Ordering::Relaxed)).await,
        };
        asked.push(Asked { lookup, call });
    }
    asked
}

/// One try at the next endpoint in turn, as a caller without the system would do it.
async fn straight(bed: &Bed, lookup: bool, id: &str, turn: usize) -> Call {
    use standin::caller::Attempt;
    let client = awc::Client::builder()
        .timeout(Duration::from_millis(CALLER_MS))
        .finish();
    let sent = Instant::now();
    let address = if lookup {
        bed.services[turn % bed.services.len()].address()
    } else {
        bed.engines[turn % bed.engines.len()].address()
    };
    let whole = if lookup {
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
            max_tokens: TOKENS,
            ..CompletionRequest::default()
        };
        let url = format!("http://{address}/v1/completions");
        let post = client.post(url).insert_header((REQUEST_ID_HEADER, id));
        match post.send_json(&request).await {
            Ok(mut response) => response
                .json::<Completion>()
                .await
                .is_ok_and(|completion| completion.tokens == TOKENS),
            Err(_) => false,
        }
    };
    let fate = if whole {
        Attempt::Correct
    } else {
        Attempt::Unknown("it failed".into())
    };
    Call {
        attempts: vec![(format!("{id}#0"), fate)],
        duration_ms: sent.elapsed().as_millis() as u64,
    }
}

/// Counts by the services' own records.
fn judge(bed: &Bed, calls: &[Asked]) -> Round {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &bed.services {
        for (id, count) in service.runs_by_body() {
            *runs.entry(id).or_default() += count;
        }
    }
    let mut round = Round {
        completions: Counts::default(),
        lookups: Counts::default(),
        took_ms: new_histogram(),
    };
    for Asked { lookup, call } in calls {
        let counts = if *lookup {
            &mut round.lookups
        } else {
            &mut round.completions
        };
        counts.asked += 1;
        counts.whole += u64::from(call.is_correct());
        counts.unknown += u64::from(!call.is_correct());
        counts.wrong += call.incorrect_attempts();
        if *lookup {
            let ran = |id: &str| runs.get(id).copied().unwrap_or(0);
            counts.not_run_false += call.not_run_ids().filter(|id| ran(id) > 0).count() as u64;
            let twice = call.attempts.iter().filter(|(id, _)| ran(id) > 1);
            counts.ran_twice += twice.count() as u64;
        }
        round.took_ms.saturating_record(call.duration_ms);
    }
    round
}
