//! The time from a change until it is in force on all instances, and the log appends it takes.

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

/// Number of timed changes.
const CHANGES: usize = 60;

/// Time over which appends and CPU time are counted while no changes are made.
const IDLE_WINDOW: Duration = Duration::from_secs(5);

/// Milliseconds per clock tick of the CPU times in `/proc`.
const TICK_MS: u64 = 10;

pub(crate) fn run(seed: u64, instances: usize) {
    output::progress(
        super::NAME,
        &format!("{instances} instances, changes in force"),
    );
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(instances).await;
        measure_idle(seed, &cluster).await;
        measure_changes(seed, &cluster).await;
        cluster.stop();
    });
}

/// Returns the CPU time of this process in milliseconds, including the stand-in platform.
fn process_cpu_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let tick_fields = fields.skip(11).take(2);
    let ticks: u64 = tick_fields
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks * TICK_MS
}

/// Measures appends and CPU time while no changes are made.
async fn measure_idle(seed: u64, cluster: &Cluster) {
    let (appends_before, cpu_before_ms) = (cluster.platform.appends(), process_cpu_ms());
    actix_rt::time::sleep(IDLE_WINDOW).await;
    let window_s = IDLE_WINDOW.as_secs_f64();
    let instances = cluster.nodes.len() as f64;
    let appends = (cluster.platform.appends() - appends_before) as f64;
    let cpu_ms = (process_cpu_ms() - cpu_before_ms) as f64;
    output::line(
        super::NAME,
        seed,
        json!({
            "part": "quiet",
            "instances": instances,
            "appends_per_s": appends / window_s,
            "process_ms_per_s_an_instance": cpu_ms / window_s / instances,
        }),
    );
}

/// Measures the time from the submission of a change until it is accepted, and until it is in force
/// on all instances.
async fn measure_changes(seed: u64, cluster: &Cluster) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut accepted_ms, mut spread_ms, mut total_ms) = (Vec::new(), Vec::new(), Vec::new());
    let appends_before = cluster.platform.appends();
    for change in 0..CHANGES {
        let node = &cluster.nodes[random.random_range(0..cluster.nodes.len())];
        let record = Record::Configuration {
            base_revision: node.revision(),
            text: format!("change {change}").into(),
            configuration: Default::default(),
        };
        let start = Instant::now();
        let revision = node.control.submit(record).await;
        let revision = revision.expect("no other change has replaced the base revision");
        let accepted = start.elapsed();
        cluster
            .wait_until_all(|node| node.revision() == revision)
            .await;
        let total = start.elapsed();
        accepted_ms.push(accepted.as_millis() as u64);
        spread_ms.push((total - accepted).as_millis() as u64);
        total_ms.push(total.as_millis() as u64);
    }
    let appends = cluster.platform.appends() - appends_before;
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
        for (label, fraction) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
            figures[format!("{name}_{label}_ms")] = quantile(values, fraction).into();
        }
    }
    output::line(super::NAME, seed, figures);
}
