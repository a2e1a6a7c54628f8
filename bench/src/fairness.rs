//! Latency and number of answers of the worst-served organisation while another organisation floods
//! the node with requests, with weighted fair queueing and with first come, first served.

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

/// Organisations that send one request at a time and pause after each.
const SMALL_ORGANISATIONS: [&str; 7] = [
    "skiers", "lodges", "rescue", "crews", "schools", "guides", "shops",
];

/// The organisation that floods the node with concurrent requests.
const FLOODING_ORGANISATION: &str = "flood";

/// Number of requests that the flooding organisation keeps in flight.
const FLOOD_IN_FLIGHT: usize = 96;

/// Number of tokens that each request generates.
const TOKENS_PER_REQUEST: u32 = 20;

/// Pause of a small organisation between two requests, and of every sender after a failed request.
const SEND_PAUSE: Duration = Duration::from_millis(100);

/// Duration of each round.
const ROUND_DURATION: Duration = Duration::from_secs(5);

/// Measurements of one organisation in one round.
struct OrganisationResult {
    latencies_us: Histogram<u64>,
    /// Number of requests that failed, were refused or returned an incomplete completion.
    refused: u64,
}

pub(crate) fn run(seed: u64) {
    let fair = run_round("fair", |organisation| organisation);
    // If all requests carry the key of the same organisation, they share one queue and are served
    // in order of arrival.
    let first_come = run_round("first_come", |_| FLOODING_ORGANISATION);
    let (Some(fair), Some(first_come)) = (fair, first_come) else {
        output::progress(
            "fairness",
            "cannot start the node, the engines or their host thread",
        );
        return;
    };
    for (name, round) in [("fair", &fair), ("first_come", &first_come)] {
        for (organisation, result) in round {
            output::line(
                "fairness",
                seed,
                json!({
                    "queue": name,
                    "organisation": organisation,
                    "answers": result.latencies_us.len(),
                    "refused": result.refused,
                    "p50_us": result.latencies_us.value_at_quantile(0.5),
                    "p99_us": result.latencies_us.value_at_quantile(0.99),
                }),
            );
        }
    }
    output::summary("fairness", seed, summarise(&fair), summarise(&first_come));
}

fn summarise(round: &[(&'static str, OrganisationResult)]) -> serde_json::Value {
    let small_organisations = || {
        round
            .iter()
            .filter(|(name, _)| *name != FLOODING_ORGANISATION)
    };
    let worst_latency_us = |quantile| {
        let latencies = small_organisations()
            .map(|(_, result)| result.latencies_us.value_at_quantile(quantile));
        latencies.max().unwrap_or(0)
    };
    let fewest_answers = small_organisations()
        .map(|(_, result)| result.latencies_us.len())
        .min();
    let flooding_result = round
        .iter()
        .find(|(name, _)| *name == FLOODING_ORGANISATION);
    json!({
        "worst_served_p50_us": worst_latency_us(0.5),
        "worst_served_p99_us": worst_latency_us(0.99),
        "worst_served_answers": fewest_answers.unwrap_or(0),
        "flood_answers": flooding_result.map_or(0, |(_, result)| result.latencies_us.len()),
    })
}

/// Runs one round. `key_owner` returns the organisation whose key the requests of the given
/// organisation carry.
fn run_round(
    name: &str,
    key_owner: impl Fn(&'static str) -> &'static str,
) -> Option<Vec<(&'static str, OrganisationResult)>> {
    output::progress("fairness", name);
    actix_rt::System::new().block_on(async {
        let host = Host::start().ok()?;
        let (cluster, _engines) = start_cluster(&host)?;
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let started = Instant::now();
        let mut names: Vec<&'static str> = SMALL_ORGANISATIONS.to_vec();
        names.push(FLOODING_ORGANISATION);
        let organisations = names.into_iter().map(|organisation| {
            let key = cluster.keys[key_owner(organisation)].clone();
            let url = format!("http://{}/v1/completions", cluster.nodes[0].address);
            async move {
                let in_flight = if organisation == FLOODING_ORGANISATION {
                    FLOOD_IN_FLIGHT
                } else {
                    1
                };
                let senders = (0..in_flight)
                    .map(|sender| send_requests(organisation, sender, &url, &key, started));
                let mut result = OrganisationResult {
                    latencies_us: new_histogram(),
                    refused: 0,
                };
                for sender_result in futures::future::join_all(senders).await {
                    let _ = result.latencies_us.add(sender_result.latencies_us);
                    result.refused += sender_result.refused;
                }
                (organisation, result)
            }
        });
        Some(futures::future::join_all(organisations).await)
    })
}

fn start_cluster(host: &Host) -> Option<(Cluster, Vec<Arc<EngineStandin>>)> {
    let mut builder = ClusterBuilder::default()
        .node("n1", "saiq")
        .organisation(FLOODING_ORGANISATION, 1, 0)
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
    for organisation in SMALL_ORGANISATIONS {
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

async fn send_requests(
    organisation: &str,
    sender: usize,
    url: &str,
    key: &Arc<str>,
    started: Instant,
) -> OrganisationResult {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let mut result = OrganisationResult {
        latencies_us: new_histogram(),
        refused: 0,
    };
    let mut number = 0;
    while started.elapsed() < ROUND_DURATION {
        number += 1;
        let request = CompletionRequest {
            model: "draft".into(),
            prompt: format!("{organisation} {sender} {number}").into(),
            max_tokens: TOKENS_PER_REQUEST,
            ..CompletionRequest::default()
        };
        let sent_at = Instant::now();
        let answer = client
            .post(url)
            .insert_header(("authorization", format!("Bearer {key}")))
            .send_json(&request)
            .await;
        let succeeded = match answer {
            Ok(mut response) => response
                .json::<Completion>()
                .await
                .is_ok_and(|completion| completion.tokens == TOKENS_PER_REQUEST),
            Err(_) => false,
        };
        if succeeded {
            result
                .latencies_us
                .saturating_record(sent_at.elapsed().as_micros() as u64);
        } else {
            result.refused += 1;
            actix_rt::time::sleep(SEND_PAUSE).await;
        }
        if organisation != FLOODING_ORGANISATION {
            actix_rt::time::sleep(SEND_PAUSE).await;
        }
    }
    result
}
