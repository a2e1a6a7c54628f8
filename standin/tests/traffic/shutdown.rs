//! An instance that drains finishes its requests and is no longer offered to callers.

use std::time::{
    Duration,
    Instant, //
};

use awc::http::StatusCode;
use flamingoscale::{
    home::Homes as _,
    wire::Entries, //
};
use futures::{
    future::join_all,
    StreamExt as _, //
};

use crate::fixture::{
    client,
    outcome,
    request,
    start_fixture,
    Fixture,
    TIMEOUT, //
};

/// Starts draining an instance and marks it as leaving, as the daemon and the membership do when
/// the instance is asked to leave.
fn drain(fixture: &Fixture, node: usize) {
    let leaving = &fixture.cluster.nodes[node].instance;
    leaving.start_draining();
    let name = leaving.id().clone();
    fixture.cluster.update(|view| {
        let mut members = (*view.members).clone();
        for member in &mut members {
            member.leaving |= member.instance == name;
        }
        view.members = members.into();
    });
}

async fn assert_stream_completes(fixture: &Fixture, node: usize, number: usize) {
    let prompt = format!("over the change {number}");
    let mut response = fixture.send(node, &request(&prompt, 1_500, true)).await;
    assert_eq!(response.status(), StatusCode::OK, "{number}");
    let mut bytes = Vec::new();
    while let Some(part) = response.next().await {
        bytes.extend_from_slice(&part.expect("the stream should not be cut off"));
    }
    assert!(bytes.ends_with(b"data: [DONE]\n\n"), "{number}");
}

#[actix_rt::test]
async fn draining_instance_finishes_its_requests_and_becomes_idle() {
    let fixture = start_fixture().await;
    let streams = (0..6).map(|number| assert_stream_completes(&fixture, number % 3, number));
    let drain_first = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        drain(&fixture, 0);
        // Callers that still use the address of the draining instance are served.
        for number in 0..6 {
            let id = format!("late {number}");
            let response = fixture.look_up(0, &id, &[]).await;
            assert_eq!(outcome(&response), "ran");
            let connection = response.headers().get("connection");
            assert_eq!(
                connection.map(|value| value.as_bytes()),
                Some(&b"close"[..])
            );
            assert_eq!(fixture.runs(&id), 1);
        }
    };
    futures::join!(join_all(streams), drain_first);
    let leaving = &fixture.cluster.nodes[0];
    let started = Instant::now();
    while leaving.instance.in_flight() > 0 || !leaving.dispatcher.at_home().is_empty() {
        assert!(
            started.elapsed() < TIMEOUT,
            "the draining instance did not become idle in time"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn entries_omit_a_draining_instance() {
    let fixture = start_fixture().await;
    fixture.cluster.nodes[0].instance.start_draining();
    let sent = client().get(fixture.url(0, "/v1/entries?near=saiq")).send();
    let entries: Entries = sent
        .await
        .expect("the request should get a response")
        .json()
        .await
        .expect("the body should list entries");
    let names: Vec<&str> = entries.entries.iter().map(|e| &*e.instance).collect();
    assert!(!names.contains(&"n1") && names.len() == 2, "{names:?}");
    drain(&fixture, 0);
    for node in 0..3 {
        let sent = client().get(fixture.url(node, "/v1/entries")).send();
        let entries: Entries = sent
            .await
            .expect("the request should get a response")
            .json()
            .await
            .expect("the body should list entries");
        assert!(entries.entries.iter().all(|e| &*e.instance != "n1"));
    }
}
