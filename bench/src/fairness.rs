//! How the worst-served organisation fares while another floods, against first come, first served.

use std::{
    sync::Arc,
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
        CompletionRequest, //
    }, //
};
use hdrhistogram::Histogram;
use serde_json::json;
use standin::{
    cluster::{
        Cluster,
        ClusterBuilder, //
    },
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

/// Organisations that send a little, beside the one that floods.
const SMALL: [&str; 7] = [
    "skiers", "lodges", "rescue", "crews", "schools", "guides", "shops",
];

/// The organisation that floods.
const FLOOD: &str = "flood";

/// Requests that it keeps in flight.
const FLOOD_AT_ONCE: usize = 96;

/// Tokens of each request.
const TOKENS: u32 = 20;

/// Pause of a small organisation between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Length of each round.
const ROUND: Duration = Duration::from_secs(5);

struct Served {
    times_us: Histogram<u64>,
    refused: u64,
}

pub(crate) fn run(seed: u64) {
    let fair = round("fair", |organisation| organisation);
    // Under one organisation's key all requests are one flow: first come, first served.
    let first_come = round("first_come", |_| FLOOD);
    let (Some(fair), Some(first_come)) = (fair, first_come) else {
        output::progress("fairness", "no ports");
        return;
    };
    for (name, round) in [("fair", &fair), ("first_come", &first_come)] {
        for (organisation, served) in round {
            output::line(
                "fairness",
                seed,
                json!({
                    "queue": name,
                    "organisation": organisation,
                    "answers": served.times_us.len(),
                    "refused": served.refused,
                    "p50_us": served.times_us.value_at_quantile(0.5),
                    "p99_us": served.times_us.value_at_quantile(0.99),
                }),
            );
        }
    }
    output::summary("fairness", seed, figures(&fair), figures(&first_come));
}

fn figures(round: &[(&'static str, Served)]) -> serde_json::Value {
    let small = || round.iter().filter(|(name, _)| *name != FLOOD);
    let worst = |quantile| {
        let times = small().map(|(_, served)| served.times_us.value_at_quantile(quantile));
        times.max().unwrap_or(0)
    };
    let fewest = small().map(|(_, served)| served.times_us.len()).min();
    let flood = round.iter().find(|(name, _)| *name == FLOOD);
    json!({
        "worst_served_p50_us": worst(0.5),
        "worst_served_p99_us": worst(0.99),
        "worst_served_answers": fewest.unwrap_or(0),
        "flood_answers": flood.map_or(0, |(_, served)| served.times_us.len()),
    })
}

/// One round: `shows` says whose key an organisation's requests carry.
fn round(
    name: &str,
    shows: impl Fn(&'static str) -> &'static str,
) -> Option<Vec<(&'static str, Served)>> {
    output::progress("fairness", name);
    actix_rt::System::new().block_on(async {
        let host = Host::start().ok()?;
        let (cluster, _engines) = start(&host)?;
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let started = Instant::now();
        let mut names: Vec<&'static str> = SMALL.to_vec();
        names.push(FLOOD);
        let organisations = names.into_iter().map(|organisation| {
            let key = cluster.keys[shows(organisation)].clone();
            let url = format!("http://{}/v1/completions", cluster.nodes[0].address);
            async move {
                let at_once = if organisation == FLOOD {
                    FLOOD_AT_ONCE
                } else {
                    1
                };
                let senders =
                    (0..at_once).map(|sender| send(organisation, sender, &url, &key, started));
                let mut served = Served {
                    times_us: new_histogram(),
                    refused: 0,
                };
                for part in futures::future::join_all(senders).await {
                    let _ = served.times_us.add(part.times_us);
                    served.refused += part.refused;
                }
                (organisation, served)
            }
        });
        Some(futures::future::join_all(organisations).await)
    })
}

fn start(host: &Host) -> Option<(Cluster, Vec<Arc<EngineStandin>>)> {
    let mut builder = ClusterBuilder::default()
        .node("n1", "saiq")
        .organisation(FLOOD, 1, 0)
        .service(Service {
            name: "draft".into(),
            kind: ServiceKind::Engine,
            idempotent: true,
            open: false,
            firm_floor: 1,
            ceiling: 4,
            slots: 4,
            checks_fencing: true,
        });
    for organisation in SMALL {
        builder = builder.organisation(organisation, 1, 0);
    }
    let mut engines = Vec::new();
    for number in 0..2 {
        let name = format!("e{number}");
        let settings = EngineSettings::new(&*name).tokens_per_s(400.0).slots(4);
        let engine = settings.start(host).ok()?;
        builder = builder.endpoint(&name, "draft", "saiq", engine.address());
        engines.push(engine);
    }
    Some((builder.start().ok()?, engines))
}

async fn send(
    organisation: &str,
    sender: usize,
    url: &str,
    key: &Arc<str>,
    started: Instant,
) -> Served {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let mut served = Served {
        times_us: new_histogram(),
        refused: 0,
    };
    let mut number = 0;
    while started.elapsed() < ROUND {
        number += 1;
        let request = CompletionRequest {
            model: "draft".into(),
            prompt: format!("{organisation} {sender} {number}").into(),
            max_tokens: TOKENS,
            ..CompletionRequest::default()
        };
        let sent = Instant::now();
        let answer = client
            .post(url)
            .insert_header(("authorization", format!("Bearer {key}")))
            .send_json(&request)
            .await;
        let whole = match answer {
            Ok(mut response) => response
                .json::<Completion>()
                .await
                .is_ok_and(|c| c.tokens == TOKENS),
            Err(_) => false,
        };
        if whole {
            served
                .times_us
                .saturating_record(sent.elapsed().as_micros() as u64);
        } else {
            served.refused += 1;
            actix_rt::time::sleep(PAUSE).await;
        }
        if organisation != FLOOD {
            actix_rt::time::sleep(PAUSE).await;
        }
    }
    served
}
