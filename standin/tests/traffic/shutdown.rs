//! An instance that goes: no request cut, and none for it any more.

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

use crate::bed::{
    bed,
    client,
    outcome,
    request,
    Bed,
    PATIENCE, //
};

/// What the daemon and membership do when an instance is told to go.
fn drain(bed: &Bed, node: usize) {
    let leaving = &bed.cluster.nodes[node].instance;
    leaving.start_draining();
    let name = leaving.id().clone();
    bed.cluster.update(|view| {
        let mut members = (*view.members).clone();
        for member in &mut members {
            member.leaving |= member.instance == name;
        }
        view.members = members.into();
    });
}

async fn whole_stream(bed: &Bed, node: usize, number: usize) {
    let prompt = format!("over the change {number}");
    let mut response = bed.send(node, &request(&prompt, 1_500, true)).await;
    assert_eq!(response.status(), StatusCode::OK, "{number}");
    let mut bytes = Vec::new();
    while let Some(part) = response.next().await {
        bytes.extend_from_slice(&part.expect("it is not cut"));
    }
    assert!(bytes.ends_with(b"data: [DONE]\n\n"), "{number}");
}

#[actix_rt::test]
async fn a_draining_instance_cuts_nothing_and_ends_empty() {
    let bed = bed().await;
    let streams = (0..6).map(|number| whole_stream(&bed, number % 3, number));
    let drained = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        drain(&bed, 0);
        // Callers that still have the address are served.
        for number in 0..6 {
            let id = format!("late {number}");
            let response = bed.look_up(0, &id, &[]).await;
            assert_eq!(outcome(&response), "ran");
            let connection = response.headers().get("connection");
            assert_eq!(
                connection.map(|value| value.as_bytes()),
                Some(&b"close"[..])
            );
            assert_eq!(bed.runs(&id), 1);
        }
    };
    futures::join!(join_all(streams), drained);
    let leaving = &bed.cluster.nodes[0];
    let started = Instant::now();
    while leaving.instance.in_flight() > 0 || !leaving.dispatcher.at_home().is_empty() {
        assert!(started.elapsed() < PATIENCE, "it never ends empty");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn entries_leave_out_an_instance_that_goes() {
    let bed = bed().await;
    bed.cluster.nodes[0].instance.start_draining();
    let ask = client().get(bed.url(0, "/v1/entries?near=saiq")).send();
    let entries: Entries = ask.await.expect("an answer").json().await.expect("entries");
    let names: Vec<&str> = entries.entries.iter().map(|e| &*e.instance).collect();
    assert!(!names.contains(&"n1") && names.len() == 2, "{names:?}");
    drain(&bed, 0);
    for node in 0..3 {
        let ask = client().get(bed.url(node, "/v1/entries")).send();
        let entries: Entries = ask.await.expect("an answer").json().await.expect("entries");
        assert!(entries.entries.iter().all(|e| &*e.instance != "n1"));
    }
}
