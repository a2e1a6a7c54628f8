//! Concurrent operators: conditional changes that name the revision they replace, compared with
//! writers that claim a lease, read, write and release the lease.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::{
    record::Record,
    state::SubmitError, //
};
use futures::future::join_all;
use rand::{
    RngExt as _,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::{
    json,
    Value, //
};

use super::{
    cluster::{
        Cluster,
        Node, //
    },
    quantile, //
};
use crate::output;

/// Number of instances.
const INSTANCES: usize = 12;

/// Number of operators that change the configuration concurrently, each on a different instance.
const OPERATORS: usize = 4;

/// Number of changes that each operator makes.
const CHANGES_PER_OPERATOR: usize = 15;

/// Name of the lease that a writer claims in `WriteMode::Lease`.
const LEASE_NAME: &str = "configuration";

/// Duration of the lease.
const LEASE_MS: u64 = 10_000;

/// Maximum backoff of an operator before a retry.
const MAX_BACKOFF_MS: u64 = 20;

/// Concurrency control that keeps changes from overwriting each other.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteMode {
    /// Each change names the revision that it replaces and is refused if that is outdated.
    Conditional,
    /// Each writer claims a lease, makes its change and releases the lease.
    Lease,
}

pub(crate) fn run(seed: u64, mode: WriteMode) -> Value {
    output::progress(super::NAME, &format!("racing operators, {mode:?}"));
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(INSTANCES).await;
        let (appends_before, head_before) =
            (cluster.platform.appends(), cluster.platform.log_head());
        let start = Instant::now();
        let operators = (0..OPERATORS).map(|index| run_operator(&cluster.nodes[index], mode, seed));
        let mut latencies_ms: Vec<u64> = join_all(operators).await.into_iter().flatten().collect();
        let seconds = start.elapsed().as_secs_f64();
        let changes = latencies_ms.len() as f64;
        let figures = json!({
            "part": "race",
            "way": format!("{mode:?}"),
            "operators": OPERATORS,
            "changes_per_s": changes / seconds,
            "change_p50_ms": quantile(&mut latencies_ms, 0.5),
            "change_p99_ms": quantile(&mut latencies_ms, 0.99),
            "records_a_change": (cluster.platform.log_head() - head_before) as f64 / changes,
            "appends_a_change": (cluster.platform.appends() - appends_before) as f64 / changes,
        });
        output::line(super::NAME, seed, figures.clone());
        cluster.stop();
        figures
    })
}

/// Makes the changes of one operator and returns the latency of each in milliseconds.
async fn run_operator(node: &Node, mode: WriteMode, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ node.instance.incarnation);
    let mut latencies_ms = Vec::new();
    for change in 0..CHANGES_PER_OPERATOR {
        let text: Arc<str> = format!("{} {change}", node.instance.id()).into();
        let start = Instant::now();
        match mode {
            WriteMode::Conditional => change_conditionally(node, &text, &mut random).await,
            WriteMode::Lease => change_under_lease(node, &text, &mut random).await,
        }
        latencies_ms.push(start.elapsed().as_millis() as u64);
    }
    latencies_ms
}

async fn back_off(random: &mut ChaCha8Rng) {
    let backoff_ms = random.random_range(1..=MAX_BACKOFF_MS);
    actix_rt::time::sleep(Duration::from_millis(backoff_ms)).await;
}

async fn submit(node: &Node, text: &Arc<str>) -> Result<u64, SubmitError> {
    let record = Record::Configuration {
        base_revision: node.revision(),
        text: text.clone(),
        configuration: Default::default(),
    };
    node.control.submit(record).await
}

async fn change_conditionally(node: &Node, text: &Arc<str>, random: &mut ChaCha8Rng) {
    while submit(node, text).await.is_err() {
        back_off(random).await;
    }
}

async fn change_under_lease(node: &Node, text: &Arc<str>, random: &mut ChaCha8Rng) {
    let claim = claim_lease(node, random).await;
    let written = submit(node, text).await;
    assert!(
        written.is_ok(),
        "the change of the lease holder was refused, though only the lease holder writes"
    );
    let lease = LEASE_NAME.into();
    let released = node.control.submit(Record::LeaseRelease { lease, claim });
    let _ = released.await;
}

/// Waits until the lease is free, claims it and returns the offset of the claim.
async fn claim_lease(node: &Node, random: &mut ChaCha8Rng) -> u64 {
    loop {
        let entry = node.lease(LEASE_NAME).await;
        let is_free = entry.as_ref().is_none_or(|entry| entry.released);
        if is_free {
            let record = Record::LeaseClaim {
                lease: LEASE_NAME.into(),
                replaces: entry.map_or(0, |entry| entry.claim),
                lease_ms: LEASE_MS,
            };
            if let Ok(claim) = node.control.submit(record).await {
                return claim;
            }
        }
        back_off(random).await;
    }
}
