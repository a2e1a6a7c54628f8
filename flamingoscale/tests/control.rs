//! Tests of the control threads of several instances that share an in-memory log and an in-memory
//! network, with failures of both.

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
async fn only_one_of_two_concurrent_submissions_is_accepted_and_replicated() {
    let cluster = Cluster::start(5).await;
    let first = cluster.nodes[1].control.submit(configuration(0, "one"));
    let second = cluster.nodes[4].control.submit(configuration(0, "two"));
    let results = [first.await, second.await];
    let reason = Rejection::Stale;
    let stale_error = Err(SubmitError::Refused { reason });
    assert_eq!(
        results
            .iter()
            .filter(|result| **result == stale_error)
            .count(),
        1
    );
    let winner = results.into_iter().find_map(Result::ok);
    let revision = winner.expect("one of the two submissions is accepted");
    assert!(revision > 0);
    cluster
        .eventually_on_all(
            "the accepted configuration is in force on all instances",
            |node| node.instance.view.load().revision == revision,
        )
        .await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_change_is_applied_once_when_append_answers_are_lost() {
    let cluster = Cluster::start(2).await;
    cluster.platform.lock().lost_answers = 3;
    let key_id = cluster.grant_key(0).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_key_withdrawal_takes_effect_during_a_log_outage_and_is_appended_later() {
    let cluster = Cluster::start(4).await;
    let key_id = cluster.grant_key(0).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    cluster.platform.set_log_down(true);
    let withdrawal = cluster.nodes[2].control.withdraw_key(key_id.clone()).await;
    assert!(
        !withdrawal
            .expect("the withdrawal of a known key is accepted")
            .durable
    );
    cluster
        .eventually_on_all("the key is denied on all instances", |node| {
            !node.is_in_force(&key_id)
        })
        .await;
    cluster.platform.set_log_down(false);
    let is_in_log = || {
        let inner = cluster.platform.lock();
        let decoded = inner.records.iter();
        decoded
            .filter_map(|bytes| flamingoscale::record::decode(bytes).ok())
            .any(|envelope| matches!(envelope.record, Record::KeyWithdrawn { .. }))
    };
    eventually("the withdrawal is in the log", is_in_log).await;
    cluster
        .eventually_on_all("the key is still denied on all instances", |node| {
            !node.is_in_force(&key_id)
        })
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_gets_state_and_denials_from_peers_during_a_log_outage() {
    let mut cluster = Cluster::start(3).await;
    let granted = cluster.grant_key(0).await;
    let denied = cluster.grant_key(1).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&denied)
        })
        .await;
    cluster.platform.set_log_down(true);
    let withdrawal = cluster.nodes[0].control.withdraw_key(denied.clone()).await;
    assert!(withdrawal.is_ok());
    cluster.add_instance();
    cluster
        .eventually_on_all(
            "all instances accept the granted key and reject the denied key",
            |node| node.is_in_force(&granted) && !node.is_in_force(&denied),
        )
        .await;
    cluster
        .eventually_on_all(
            "all instances are fresh during the log outage",
            Node::is_fresh,
        )
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn only_an_isolated_instance_loses_freshness_during_a_log_outage() {
    let cluster = Cluster::start(5).await;
    cluster.grant_key(0).await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.platform.set_log_down(true);
    cluster.network.isolate(cluster.nodes[4].instance.id());
    eventually("the isolated instance is no longer fresh", || {
        !cluster.nodes[4].is_fresh()
    })
    .await;
    assert!(cluster.nodes[..4].iter().all(Node::is_fresh));
    cluster.stop();
}

#[actix_rt::test]
async fn a_new_instance_starts_from_a_snapshot_when_older_records_are_truncated() {
    let mut cluster = Cluster::start(3).await;
    let key_id = cluster.grant_key(0).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    // An outage makes the instances write a snapshot. The platform then truncates all records
    // before it.
    cluster.platform.set_log_down(true);
    let read_failed = |node: &Node| node.instance.metrics.event_count("log.read_failed") > 0;
    let has_failed_read = || cluster.nodes.iter().any(read_failed);
    eventually("an instance notices the outage", has_failed_read).await;
    cluster.platform.set_log_down(false);
    let find_snapshot = || {
        let inner = cluster.platform.lock();
        inner.records.iter().position(|bytes| {
            let envelope = flamingoscale::record::decode(bytes);
            envelope.is_ok_and(|decoded| matches!(decoded.record, Record::SnapshotChunk { .. }))
        })
    };
    eventually("a snapshot is written", || find_snapshot().is_some()).await;
    let snapshot_offset = find_snapshot().expect("the snapshot was found above") as u64;
    cluster.platform.lock().earliest_offset = snapshot_offset;
    // The existing instances are isolated, so that the new one can only restore from the log.
    let old_instances: Vec<Arc<str>> = cluster
        .nodes
        .iter()
        .map(|node| node.instance.id().clone())
        .collect();
    for instance in &old_instances {
        cluster.network.isolate(instance);
    }
    cluster.add_instance();
    let added = cluster.nodes.last().expect("an instance was added");
    eventually("the new instance has restored the key", || {
        added.is_in_force(&key_id)
    })
    .await;
    assert!(added.instance.metrics.event_count("snapshot.installed") > 0);
    cluster.stop();
}

#[actix_rt::test]
async fn foreign_damaged_and_newer_records_are_skipped_and_counted() {
    let cluster = Cluster::start(1).await;
    let unreadable_records: [&[u8]; 4] = [b"", b"hello", b"FsR\x01\xff\xff", b"FsR\x63later"];
    cluster
        .platform
        .lock()
        .records
        .extend(unreadable_records.map(Bytes::from_static));
    let key_id = cluster.grant_key(0).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    let metrics = &cluster.nodes[0].instance.metrics;
    assert_eq!(metrics.event_count("log.foreign_record"), 2);
    assert_eq!(metrics.event_count("log.damaged_record"), 1);
    assert_eq!(metrics.event_count("log.newer_record"), 1);
    cluster.stop();
}

#[actix_rt::test]
async fn changes_succeed_and_instances_stay_fresh_with_a_slow_log() {
    let cluster = Cluster::start(3).await;
    cluster.grant_key(0).await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.platform.lock().delay_ms = 1_300;
    let key_id = cluster.grant_key(1).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn an_unanswered_log_read_blocks_no_instance() {
    let cluster = Cluster::start(3).await;
    cluster.grant_key(0).await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.platform.lock().hung_call_epoch += 1;
    let key_id = cluster.grant_key(1).await;
    cluster
        .eventually_on_all("the key is granted on all instances", |node| {
            node.is_in_force(&key_id)
        })
        .await;
    cluster
        .eventually_on_all("all instances are fresh", Node::is_fresh)
        .await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_peer_sends_a_snapshot_when_it_no_longer_has_the_records() {
    let mut cluster = Cluster::start(2).await;
    let key_id = cluster.grant_key(0).await;
    // These 6 MiB exceed the size of the records that an instance keeps for its peers.
    let foreign_record = Bytes::from(vec![b'x'; 1 << 20]);
    let records = std::iter::repeat_n(foreign_record, 6);
    cluster.platform.lock().records.extend(records);
    cluster
        .eventually_on_all("all instances have read the foreign records", |node| {
            node.instance.metrics.event_count("log.foreign_record") == 6
        })
        .await;
    cluster.platform.set_log_down(true);
    cluster.add_instance();
    let added = cluster.nodes.last().expect("an instance was added");
    eventually("the new instance has restored the key", || {
        added.is_in_force(&key_id)
    })
    .await;
    assert_eq!(added.instance.metrics.event_count("snapshot.installed"), 1);
    let folded = |node: &Node| node.instance.view.load().folded;
    assert_eq!(folded(added), folded(&cluster.nodes[0]));
    cluster.stop();
}

#[actix_rt::test]
async fn a_truncated_log_without_a_snapshot_is_accepted_only_after_a_timeout() {
    let clock = ManualClock::default();
    let mut cluster = Cluster {
        clock: Some(clock.clone()),
        ..Cluster::default()
    };
    let foreign_records = std::iter::repeat_n(Bytes::from_static(b"junk"), 50);
    cluster.platform.lock().records.extend(foreign_records);
    cluster.platform.lock().earliest_offset = 40;
    cluster.add_instance();
    let node = &cluster.nodes[0];
    let has_searched = || node.instance.metrics.event_count("log.truncated") == 1;
    eventually("the instance searches for a snapshot", has_searched).await;
    clock.advance(5_000);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(node.instance.metrics.event_count("log.state_lost"), 0);
    assert!(!node.is_fresh());
    clock.advance(6_000);
    eventually("the instance continues without a snapshot", || {
        node.is_fresh()
    })
    .await;
    assert_eq!(node.instance.metrics.event_count("log.state_lost"), 1);
    cluster.stop();
}
