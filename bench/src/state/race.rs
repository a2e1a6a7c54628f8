//! Operators that race: a change that names what it replaces, against a writer that holds a lease
//! while it reads, writes and gives the lease back.

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

/// Instances of the run.
const SIZE: usize = 12;

/// Operators that change the configuration at once, each on an instance of its own.
const OPERATORS: usize = 4;

/// Changes of each operator.
const CHANGES: usize = 15;

/// The lease that the alternative's writer holds.
const LEASE: &str = "configuration";

/// How long that lease lasts.
const LEASE_MS: u64 = 10_000;

/// Longest pause of an operator before another try.
const PAUSE_MS: u64 = 20;

/// How two changes are kept from overwriting each other.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    /// The change names the revision that it replaces.
    Conditional,
    /// The writer claims a lease first.
    Lease,
}

pub(crate) fn run(seed: u64, way: Way) -> Value {
    output::progress(super::NAME, &format!("racing operators, {way:?}"));
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(SIZE).await;
        let (appends, head) = (cluster.platform.appends(), cluster.platform.log_head());
        let start = Instant::now();
        let operators = (0..OPERATORS).map(|index| operate(&cluster.nodes[index], way, seed));
        let mut times: Vec<u64> = join_all(operators).await.into_iter().flatten().collect();
        let seconds = start.elapsed().as_secs_f64();
        let changes = times.len() as f64;
        let figures = json!({
            "part": "race",
            "way": format!("{way:?}"),
            "operators": OPERATORS,
            "changes_per_s": changes / seconds,
            "change_p50_ms": quantile(&mut times, 0.5),
            "change_p99_ms": quantile(&mut times, 0.99),
            "records_a_change": (cluster.platform.log_head() - head) as f64 / changes,
            "appends_a_change": (cluster.platform.appends() - appends) as f64 / changes,
        });
        output::line(super::NAME, seed, figures.clone());
        cluster.stop();
        figures
    })
}

/// One operator's changes, with the time that each took.
async fn operate(node: &Node, way: Way, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ node.instance.incarnation);
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let text: Arc<str> = format!("{} {change}", node.instance.id()).into();
        let start = Instant::now();
        match way {
            Way::Conditional => conditional(node, &text, &mut random).await,
            Way::Lease => under_lease(node, &text, &mut random).await,
        }
        times.push(start.elapsed().as_millis() as u64);
    }
    times
}

async fn pause(random: &mut ChaCha8Rng) {
    let pause_ms = random.random_range(1..=PAUSE_MS);
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

async fn submit(node: &Node, text: &Arc<str>) -> Result<u64, SubmitError> {
    let record = Record::Configuration {
        base_revision: node.revision(),
        text: text.clone(),
        configuration: Default::default(),
    };
    node.control.submit(record).await
}

async fn conditional(node: &Node, text: &Arc<str>, random: &mut ChaCha8Rng) {
    while submit(node, text).await.is_err() {
        pause(random).await;
    }
}

async fn under_lease(node: &Node, text: &Arc<str>, random: &mut ChaCha8Rng) {
    let claim = claimed(node, random).await;
    let written = submit(node, text).await;
    assert!(written.is_ok(), "the holder of the lease is alone");
    let lease = LEASE.into();
    let released = node.control.submit(Record::LeaseRelease { lease, claim });
    let _ = released.await;
}

/// Claims the lease once it is free.
async fn claimed(node: &Node, random: &mut ChaCha8Rng) -> u64 {
    loop {
        let entry = node.lease(LEASE).await;
        let is_free = entry.as_ref().is_none_or(|entry| entry.released);
        if is_free {
            let record = Record::LeaseClaim {
                lease: LEASE.into(),
                replaces: entry.map_or(0, |entry| entry.claim),
                lease_ms: LEASE_MS,
            };
            if let Ok(claim) = node.control.submit(record).await {
                return claim;
            }
        }
        pause(random).await;
    }
}
