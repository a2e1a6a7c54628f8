//! The time from a change until it is in force on all instances, and what the log is asked for.

use std::time::{
    Duration,
    Instant, //
};

use flamingoscale::record::Record;
use rand::{
    RngExt as _,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::{
    cluster::Cluster,
    quantile, //
};
use crate::output;

/// Changes that are timed.
const CHANGES: usize = 60;

/// Time without changes over which appends and processor time are counted.
const QUIET: Duration = Duration::from_secs(5);

/// Milliseconds of one tick of the process's times.
const TICK_MS: u64 = 10;

pub(crate) fn run(seed: u64, size: usize) {
    output::progress(super::NAME, &format!("{size} instances, changes in force"));
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(size).await;
        quiet(seed, &cluster).await;
        changes(seed, &cluster).await;
        cluster.stop();
    });
}

/// Processor time of this process, the stand-in platform included.
fn process_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let times = fields.skip(11).take(2);
    let ticks: u64 = times.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * TICK_MS
}

async fn quiet(seed: u64, cluster: &Cluster) {
    let (appends, process) = (cluster.platform.appends(), process_ms());
    actix_rt::time::sleep(QUIET).await;
    let quiet_s = QUIET.as_secs_f64();
    let size = cluster.nodes.len() as f64;
    let appends = (cluster.platform.appends() - appends) as f64;
    let process = (process_ms() - process) as f64;
    output::line(
        super::NAME,
        seed,
        json!({
            "part": "quiet",
            "instances": size,
            "appends_per_s": appends / quiet_s,
            "process_ms_per_s_an_instance": process / quiet_s / size,
        }),
    );
}

async fn changes(seed: u64, cluster: &Cluster) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut accepted_ms, mut spread_ms, mut total_ms) = (Vec::new(), Vec::new(), Vec::new());
    let appends = cluster.platform.appends();
    for change in 0..CHANGES {
        let node = &cluster.nodes[random.random_range(0..cluster.nodes.len())];
        let record = Record::Configuration {
            base_revision: node.revision(),
            text: format!("change {change}").into(),
            configuration: Default::default(),
        };
        let start = Instant::now();
        let revision = node.control.submit(record).await;
        let revision = revision.expect("nobody else changes the configuration");
        let accepted = start.elapsed();
        cluster.all(|node| node.revision() == revision).await;
        let total = start.elapsed();
        accepted_ms.push(accepted.as_millis() as u64);
        spread_ms.push((total - accepted).as_millis() as u64);
        total_ms.push(total.as_millis() as u64);
    }
    let appends = cluster.platform.appends() - appends;
    let mut figures = json!({
        "part": "in-force",
        "instances": cluster.nodes.len(),
        "changes": CHANGES,
        "appends_a_change": appends as f64 / CHANGES as f64,
    });
    let measured = [
        ("accepted", &mut accepted_ms),
        ("spread", &mut spread_ms),
        ("total", &mut total_ms),
    ];
    for (name, values) in measured {
        for (label, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            figures[format!("{name}_{label}_ms")] = quantile(values, share).into();
        }
    }
    output::line(super::NAME, seed, figures);
}
