//! Control threads of several instances over a log and a network in memory, and their failures.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use flamingoscale::{
    clock::ManualClock,
    record::Record,
    state::{
        Rejection,
        SubmitError, //
    }, //
};

use fakes::{
    configuration,
    eventually,
    Cluster,
    Node, //
};

#[path = "control/fakes.rs"]
mod fakes;
#[path = "control/faults.rs"]
mod faults;

#[actix_rt::test]
async fn of_two_submissions_exactly_one_is_accepted_and_reaches_all() {
    let cluster = Cluster::start(5).await;
    let first = cluster.nodes[1].control.submit(configuration(0, "one"));
    let second = cluster.nodes[4].control.submit(configuration(0, "two"));
    let results = [first.await, second.await];
    let reason = Rejection::Stale;
    let lost = Err(SubmitError::Refused { reason });
    assert_eq!(results.iter().filter(|result| **result == lost).count(), 1);
    let winner = results.into_iter().find_map(Result::ok);
    let revision = winner.expect("one of them is accepted");
    assert!(revision > 0);
    cluster
        .all("in force on all", |node| {
            node.instance.view.load().revision == revision
        })
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_lost_answer_neither_loses_nor_doubles_a_change() {
    let cluster = Cluster::start(2).await;
    cluster.platform.lock().lost_answers = 3;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_withdrawal_works_while_the_log_is_away_and_is_appended_later() {
    let cluster = Cluster::start(4).await;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.platform.set_away(true);
    let withdrawn = cluster.nodes[2].control.withdraw_key(key_id.clone()).await;
    assert!(!withdrawn.expect("the key is known").durable);
    cluster
        .all("denied", |node| !node.is_in_force(&key_id))
        .await;
    cluster.platform.set_away(false);
    let is_in_log = || {
        let inner = cluster.platform.lock();
        let decoded = inner.records.iter();
        decoded
            .filter_map(|bytes| flamingoscale::record::decode(bytes).ok())
            .any(|envelope| matches!(envelope.record, Record::KeyWithdrawn { .. }))
    };
    eventually("in the log", is_in_log).await;
    cluster
        .all("still denied", |node| !node.is_in_force(&key_id))
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_learns_state_and_denials_from_peers_while_the_log_is_away() {
    let mut cluster = Cluster::start(3).await;
    let kept = cluster.grant(0).await;
    let denied = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&denied))
        .await;
    cluster.platform.set_away(true);
    let withdrawn = cluster.nodes[0].control.withdraw_key(denied.clone()).await;
    assert!(withdrawn.is_ok());
    cluster.add();
    cluster
        .all("known", |node| {
            node.is_in_force(&kept) && !node.is_in_force(&denied)
        })
        .await;
    cluster.all("fresh by majority", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn an_isolated_instance_stops_being_fresh_and_a_majority_does_not() {
    let cluster = Cluster::start(5).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.set_away(true);
    cluster.network.cut(cluster.nodes[4].instance.id());
    eventually("the isolated one refuses", || !cluster.nodes[4].is_fresh()).await;
    assert!(cluster.nodes[..4].iter().all(Node::is_fresh));
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_starts_from_a_snapshot_after_retention() {
    let mut cluster = Cluster::start(3).await;
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    // An outage asks for a snapshot, after which the platform forgets what was before it.
    cluster.platform.set_away(true);
    let failed = |node: &Node| node.instance.metrics.event_count("log.read_failed") > 0;
    let relays = || cluster.nodes.iter().any(failed);
    eventually("the outage is seen", relays).await;
    cluster.platform.set_away(false);
    let snapshot_at = || {
        let inner = cluster.platform.lock();
        inner.records.iter().position(|bytes| {
            let envelope = flamingoscale::record::decode(bytes);
            envelope.is_ok_and(|one| matches!(one.record, Record::SnapshotChunk { .. }))
        })
    };
    eventually("a snapshot is written", || snapshot_at().is_some()).await;
    let at = snapshot_at().expect("it was there") as u64;
    cluster.platform.lock().earliest = at;
    // Nobody answers the new one but the log.
    let old: Vec<Arc<str>> = cluster
        .nodes
        .iter()
        .map(|node| node.instance.id().clone())
        .collect();
    for instance in &old {
        cluster.network.cut(instance);
    }
    cluster.add();
    let newest = cluster.nodes.last().expect("one was added");
    eventually("restored", || newest.is_in_force(&key_id)).await;
    assert!(newest.instance.metrics.event_count("snapshot.installed") > 0);
    cluster.stop();
}

#[actix_rt::test]
async fn foreign_damaged_and_newer_records_are_skipped_and_counted() {
    let cluster = Cluster::start(1).await;
    let junk: [&[u8]; 4] = [b"", b"hello", b"FsR\x01\xff\xff", b"FsR\x63later"];
    cluster
        .platform
        .lock()
        .records
        .extend(junk.map(Bytes::from_static));
    let key_id = cluster.grant(0).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    let metrics = &cluster.nodes[0].instance.metrics;
    assert_eq!(metrics.event_count("log.foreign_record"), 2);
    assert_eq!(metrics.event_count("log.damaged_record"), 1);
    assert_eq!(metrics.event_count("log.newer_record"), 1);
    cluster.stop();
}

#[actix_rt::test]
async fn changes_get_through_a_slow_log_and_all_stay_fresh() {
    let cluster = Cluster::start(3).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.lock().delay_ms = 1_300;
    let key_id = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_read_that_went_silent_holds_nobody_up() {
    let cluster = Cluster::start(3).await;
    cluster.grant(0).await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.platform.lock().silenced += 1;
    let key_id = cluster.grant(1).await;
    cluster
        .all("granted", |node| node.is_in_force(&key_id))
        .await;
    cluster.all("fresh", Node::is_fresh).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_peer_gives_its_state_where_it_no_longer_has_the_records() {
    let mut cluster = Cluster::start(2).await;
    let key_id = cluster.grant(0).await;
    // More than an instance keeps for others.
    let junk = Bytes::from(vec![b'x'; 1 << 20]);
    let records = std::iter::repeat_n(junk, 6);
    cluster.platform.lock().records.extend(records);
    cluster
        .all("all is read", |node| {
            node.instance.metrics.event_count("log.foreign_record") == 6
        })
        .await;
    cluster.platform.set_away(true);
    cluster.add();
    let newest = cluster.nodes.last().expect("one was added");
    eventually("restored", || newest.is_in_force(&key_id)).await;
    assert_eq!(newest.instance.metrics.event_count("snapshot.installed"), 1);
    let folded = |node: &Node| node.instance.view.load().folded;
    assert_eq!(folded(newest), folded(&cluster.nodes[0]));
    cluster.stop();
}

#[actix_rt::test]
async fn a_log_without_a_snapshot_is_gone_on_with_only_after_a_long_search() {
    let clock = ManualClock::default();
    let mut cluster = Cluster {
        clock: Some(clock.clone()),
        ..Cluster::default()
    };
    let junk = std::iter::repeat_n(Bytes::from_static(b"junk"), 50);
    cluster.platform.lock().records.extend(junk);
    cluster.platform.lock().earliest = 40;
    cluster.add();
    let node = &cluster.nodes[0];
    let searched = || node.instance.metrics.event_count("log.truncated") == 1;
    eventually("the search began", searched).await;
    clock.advance(5_000);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(node.instance.metrics.event_count("log.state_lost"), 0);
    assert!(!node.is_fresh());
    clock.advance(6_000);
    eventually("gone on", || node.is_fresh()).await;
    assert_eq!(node.instance.metrics.event_count("log.state_lost"), 1);
    cluster.stop();
}
