//! The log away, refusing or silent: whether all stay fresh, and how fast a withdrawal works.

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

/// Instances of the run.
const SIZE: usize = 12;

/// How long the log is away.
const AWAY_MS: u64 = 12_000;

/// When the key is withdrawn, counted from the start of the outage.
const WITHDRAW_AFTER: Duration = Duration::from_secs(6);

/// Pause between two looks at the instances.
const SAMPLE: Duration = Duration::from_millis(5);

const KEY: &str = "fk-outage";

/// How the log is away.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// It refuses every call.
    Refusing,
    /// It takes calls and answers none.
    Silent,
}

pub(crate) fn run(seed: u64, kind: Kind) {
    output::progress(super::NAME, &format!("{SIZE} instances, log {kind:?}"));
    actix_rt::System::new().block_on(async move {
        let cluster = Cluster::start(SIZE).await;
        grant(&cluster).await;
        let start = Instant::now();
        cluster.platform.inject_fault(&match kind {
            Kind::Refusing => Fault::Outage { for_ms: AWAY_MS },
            Kind::Silent => Fault::Silent {
                for_ms: Some(AWAY_MS),
            },
        });
        let (unfresh_ms, denied_ms) = join(watch(&cluster, start), withdraw(&cluster)).await;
        cluster
            .all(|node| is_withdrawn(node) && is_fresh(node))
            .await;
        let settled_ms = (start.elapsed().as_millis() as u64).saturating_sub(AWAY_MS);
        output::line(
            super::NAME,
            seed,
            json!({
                "part": "outage",
                "kind": format!("{kind:?}"),
                "instances": SIZE,
                "away_ms": AWAY_MS,
                "unfresh_ms_of_all_instances": unfresh_ms,
                "denied_on_all_after_ms": denied_ms,
                "withdrawn_in_log_after_back_ms": settled_ms,
            }),
        );
        cluster.stop();
    });
}

fn is_fresh(node: &Node) -> bool {
    node.instance.view.is_fresh(node.instance.now_ms())
}

fn is_denied(node: &Node) -> bool {
    !node.instance.view.load().keys.is_in_force(KEY)
}

/// Whether the fold has the withdrawal; a denial alone is no event of the fold.
fn is_withdrawn(node: &Node) -> bool {
    let events = node.instance.timeline.events_after(0);
    events.iter().any(|event| &*event.kind == "key.withdrawn")
}

async fn grant(cluster: &Cluster) {
    let record = Record::KeyGranted {
        key_id: KEY.into(),
        digest: [7; 32],
        organisation: "lodges".into(),
    };
    let granted = cluster.nodes[0].control.submit(record).await;
    granted.expect("the log is there");
    cluster.all(|node| !is_denied(node)).await;
}

/// Adds up, over all instances, the time without freshness until the log is back.
async fn watch(cluster: &Cluster, start: Instant) -> u64 {
    let mut unfresh = Duration::ZERO;
    let mut last = Instant::now();
    while start.elapsed() < Duration::from_millis(AWAY_MS) {
        actix_rt::time::sleep(SAMPLE).await;
        let missing = cluster.nodes.iter().filter(|node| !is_fresh(node)).count();
        unfresh += last.elapsed() * missing as u32;
        last = Instant::now();
    }
    unfresh.as_millis() as u64
}

async fn withdraw(cluster: &Cluster) -> u64 {
    actix_rt::time::sleep(WITHDRAW_AFTER).await;
    let start = Instant::now();
    let key: Arc<str> = KEY.into();
    let withdrawn = cluster.nodes[SIZE / 2].control.withdraw_key(key);
    let spread = async {
        cluster.all(is_denied).await;
        start.elapsed().as_millis() as u64
    };
    let (withdrawn, denied_ms) = join(withdrawn, spread).await;
    assert!(withdrawn.is_ok_and(|answer| !answer.durable));
    denied_ms
}
