//! Too much of everything: requests, tokens, bytes, and readers that are too slow.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpStream,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::http::StatusCode;
use flamingoscale::wire::{
    Completion,
    ErrorBody, //
};
use futures::future::join_all;
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpSocket, //
};

use crate::bed::{
    bed,
    bed_at,
    client,
    outcome,
    request,
    PATIENCE, //
};

#[actix_rt::test]
async fn a_limit_holds_over_all_instances_together() {
    let bed = bed().await;
    let started = Instant::now();
    let length = Duration::from_secs(3);
    let callers = (0..6).map(|caller| {
        let bed = &bed;
        async move {
            let mut tokens = 0;
            let mut number = 0;
            while started.elapsed() < length {
                number += 1;
                let request = request(&format!("limited {caller} {number}"), 20, false);
                let mut response = bed.send_as("limited", caller % 3, &request).await;
                if response.status() == StatusCode::OK {
                    let completion: Completion = response.json().await.expect("a completion");
                    tokens += completion.tokens;
                } else {
                    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
                    assert_eq!(outcome(&response), "not-run");
                    assert!(response.headers().contains_key("retry-after"));
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            }
            tokens
        }
    });
    let tokens: u32 = join_all(callers).await.into_iter().sum();
    // 200 a second, a burst of two seconds, and one request of each caller beyond it.
    let most = 200.0 * (started.elapsed().as_secs_f64() + 2.0) + 6.0 * 20.0 + 60.0;
    assert!(f64::from(tokens) <= most, "{tokens} of {most}");
    assert!(tokens >= 600, "{tokens}: the limit is there to be used");
}

#[actix_rt::test]
async fn what_can_not_be_done_in_time_is_refused_at_once() {
    let bed = bed().await;
    let calls = (0..120).map(|number| {
        let bed = &bed;
        async move {
            let url = bed.url(number % 3, "/v1/completions");
            let sent = Instant::now();
            let response = client()
                .post(url)
                .insert_header(("authorization", bed.key()))
                .insert_header(("flamingoscale-timeout-ms", "3000"))
                .send_json(&request(&format!("rush {number}"), 2_000, false))
                .await
                .expect("an answer");
            (outcome(&response), response.status(), sent.elapsed())
        }
    });
    let answers = join_all(calls).await;
    let ran = answers.iter().filter(|(word, ..)| word == "ran").count();
    let shed = answers.iter().filter(|(word, status, took)| {
        word == "not-run"
            && *status == StatusCode::SERVICE_UNAVAILABLE
            && *took < Duration::from_millis(2_500)
    });
    assert!(ran >= 8, "{ran} ran");
    assert!(
        shed.count() > 40,
        "most are told long before their time is up"
    );
    let prompts = bed.engines.iter().flat_map(|engine| engine.runs());
    let mut began: Vec<_> = prompts.map(|run| run.prompt).collect();
    began.sort();
    began.dedup();
    for (number, (word, ..)) in answers.iter().enumerate() {
        let prompt = format!("rush {number}");
        if word == "not-run" {
            assert!(
                !began.iter().any(|other| **other == *prompt),
                "{prompt} ran"
            );
        }
    }
}

#[actix_rt::test]
async fn a_reader_that_stops_does_not_hold_its_engine_for_long() {
    // Fast enough to fill what the kernel holds for a connection.
    let bed = bed_at(100_000.0).await;
    let body = serde_json::to_string(&request("never read", 20_000_000, true)).expect("json");
    let address = bed.cluster.nodes[0].address;
    let socket = TcpSocket::new_v4().expect("a socket");
    // A small window, so that little is on the way when it fills up.
    socket.set_recv_buffer_size(4_096).expect("a size");
    let mut connection = socket.connect(address).await.expect("a connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        bed.key(),
        body.len(),
    );
    connection
        .write_all(head.as_bytes())
        .await
        .expect("it is taken");
    // The connection stays open and nothing is read from it any more.
    let started = Instant::now();
    let running = || {
        let runs = bed.engines.iter().flat_map(|engine| engine.runs());
        runs.filter(|run| run.got_slot && run.finish_reason.is_none())
            .count()
    };
    while running() == 0 {
        assert!(started.elapsed() < PATIENCE, "it never starts");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let limit = Duration::from_secs(45);
    while running() > 0 {
        assert!(started.elapsed() < limit, "it holds the engine");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let tokens: u64 = bed.engines.iter().map(|e| e.generated_tokens()).sum();
    assert!(tokens < 4_000_000, "it was cut, not read to its end");
    drop(connection);
}

#[actix_rt::test]
async fn a_caller_that_goes_frees_its_engine() {
    let bed = bed().await;
    let response = bed.send(0, &request("gone", 1_000_000, true)).await;
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    let started = Instant::now();
    loop {
        let runs = bed.engines.iter().flat_map(|engine| engine.runs());
        if runs.filter(|run| run.finish_reason.is_none()).count() == 0 {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "it runs on");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn what_is_too_large_or_malformed_is_refused_by_name() {
    let bed = bed().await;
    let post = |path: &str, body: Vec<u8>| {
        let sent = client()
            .post(bed.url(0, path))
            .insert_header(("authorization", bed.key()))
            .send_body(body);
        async move {
            let mut response = sent.await.expect("an answer");
            assert_eq!(outcome(&response), "not-run");
            let body: ErrorBody = response.json().await.expect("an error body");
            (response.status().as_u16(), body.kind.to_string())
        }
    };
    let large = vec![b'a'; (4 << 20) + 1];
    assert_eq!(post("/s/lookup/x", large).await, (413, "too_large".into()));
    let garbage = b"{".to_vec();
    let refused = post("/v1/completions", garbage).await;
    assert_eq!(refused, (400, "malformed".into()));
    let nowhere = post("/s/nowhere/x", Vec::new()).await;
    assert_eq!(nowhere, (404, "no_route".into()));
    let key = bed.cluster.keys["lodges"].as_bytes().to_vec();
    let refused = post("/s/lookup/x", key).await;
    assert_eq!(refused, (400, "malformed".into()));
    assert!(bed.services.iter().all(|service| service.runs().is_empty()));
}

#[actix_rt::test]
async fn a_head_that_never_ends_is_cut() {
    let bed = bed().await;
    let mut connection = TcpStream::connect(bed.cluster.nodes[0].address).expect("a connection");
    let mut cut = connection
        .write_all(b"GET /v1/entries HTTP/1.1\r\n")
        .is_err();
    let line = format!("x-long: {}\r\n", "a".repeat(4_000));
    for _ in 0..200 {
        cut = cut || connection.write_all(line.as_bytes()).is_err();
    }
    connection
        .set_read_timeout(Some(PATIENCE))
        .expect("a limit");
    let mut answer = [0; 12];
    let read = connection.read(&mut answer).unwrap_or(0);
    let refused = read == 0 || answer.starts_with(b"HTTP/1.1 4");
    assert!(cut || refused, "{}", String::from_utf8_lossy(&answer));
}
