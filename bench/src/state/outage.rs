//! Log outages in which calls are refused or not answered: how long views are stale, and how soon
//! all instances deny a key that is withdrawn during the outage.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::record::Record;
use futures::future::join;
use serde_json::json;
use standin::faults::Fault;

use super::cluster::{
    Cluster,
    Node, //
};
use crate::output;

/// Number of instances.
const INSTANCES: usize = 12;

/// Duration of the log outage.
const OUTAGE_MS: u64 = 12_000;

/// Time from the start of the outage until the key is withdrawn.
const WITHDRAW_AFTER: Duration = Duration::from_secs(6);

/// Interval between two checks of the freshness of all views.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Id of the key that is withdrawn during the outage.
const KEY_ID: &str = "fk-outage";

/// The failure mode of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OutageKind {
    /// The log refuses every call.
    Refusing,
    /// The log accepts calls but never answers.
    Silent,
}

pub(crate) fn run(seed: u64, kind: OutageKind) {
    output::progress(super::NAME, &format!("{INSTANCES} instances, log {kind:?}"));
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(INSTANCES).await;
        grant_key(&cluster).await;
        let start = Instant::now();
        cluster.platform.inject_fault(&match kind {
            OutageKind::Refusing => Fault::Outage { for_ms: OUTAGE_MS },
            OutageKind::Silent => Fault::Silent {
                for_ms: Some(OUTAGE_MS),
            },
        });
        let (stale_ms, denied_ms) = join(
            measure_stale_ms(&cluster, start),
            withdraw_during_outage(&cluster),
        )
        .await;
        cluster
            .wait_until_all(|node| is_withdrawn(node) && is_fresh(node))
            .await;
        let recovery_ms = (start.elapsed().as_millis() as u64).saturating_sub(OUTAGE_MS);
        output::line(
            super::NAME,
            seed,
            json!({
                "part": "outage",
                "kind": format!("{kind:?}"),
                "instances": INSTANCES,
                "away_ms": OUTAGE_MS,
                "unfresh_ms_of_all_instances": stale_ms,
                "denied_on_all_after_ms": denied_ms,
                "withdrawn_in_log_after_back_ms": recovery_ms,
            }),
        );
        cluster.stop();
    });
}

fn is_fresh(node: &Node) -> bool {
    node.instance.view.is_fresh(node.instance.now_ms())
}

/// Whether the key is not in force in the view of the instance.
fn is_denied(node: &Node) -> bool {
    !node.instance.view.load().keys.is_in_force(KEY_ID)
}

/// Whether the instance has folded the withdrawal. A denial that is not yet in the log records no
/// such event.
fn is_withdrawn(node: &Node) -> bool {
    let events = node.instance.timeline.events_after(0);
    events.iter().any(|event| &*event.kind == "key.withdrawn")
}

async fn grant_key(cluster: &Cluster) {
    let record = Record::KeyGranted {
        key_id: KEY_ID.into(),
        digest: [7; 32],
        organisation: "lodges".into(),
    };
    let granted = cluster.nodes[0].control.submit(record).await;
    granted.expect("the log is available");
    cluster.wait_until_all(|node| !is_denied(node)).await;
}

/// Returns the time with a stale view until the end of the outage, in milliseconds and summed over
/// all instances.
async fn measure_stale_ms(cluster: &Cluster, start: Instant) -> u64 {
    let mut stale = Duration::ZERO;
    let mut sampled_at = Instant::now();
    while start.elapsed() < Duration::from_millis(OUTAGE_MS) {
        actix_rt::time::sleep(SAMPLE_INTERVAL).await;
        let stale_nodes = cluster.nodes.iter().filter(|node| !is_fresh(node)).count();
        stale += sampled_at.elapsed() * stale_nodes as u32;
        sampled_at = Instant::now();
    }
    stale.as_millis() as u64
}

/// Withdraws the key during the outage, and returns the time in milliseconds until all instances
/// deny the key.
async fn withdraw_during_outage(cluster: &Cluster) -> u64 {
    actix_rt::time::sleep(WITHDRAW_AFTER).await;
    let start = Instant::now();
    let key: Arc<str> = KEY_ID.into();
    let withdrawn = cluster.nodes[INSTANCES / 2].control.withdraw_key(key);
    let denied_everywhere = async {
        cluster.wait_until_all(is_denied).await;
        start.elapsed().as_millis() as u64
    };
    let (withdrawn, denied_ms) = join(withdrawn, denied_everywhere).await;
    assert!(withdrawn.is_ok_and(|answer| !answer.durable));
    denied_ms
}
