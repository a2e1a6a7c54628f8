//! Overload: rate limits, load shedding, oversized or malformed requests, and callers that stall or
//! disconnect.

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

use crate::fixture::{
    client,
    outcome,
    request,
    start_fixture,
    start_fixture_at,
    TIMEOUT, //
};

#[actix_rt::test]
async fn organisation_rate_limit_holds_across_instances() {
    let fixture = start_fixture().await;
    let started = Instant::now();
    let duration = Duration::from_secs(3);
    let callers = (0..6).map(|caller| {
        let fixture = &fixture;
        async move {
            let mut tokens = 0;
            let mut number = 0;
            while started.elapsed() < duration {
                number += 1;
                let request = request(&format!("limited {caller} {number}"), 20, false);
                let mut response = fixture.send_as("limited", caller % 3, &request).await;
                if response.status() == StatusCode::OK {
                    let completion: Completion = response
                        .json()
                        .await
                        .expect("the body should be a completion");
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
    // 200 tokens/s, a burst of two seconds, one request of 20 tokens by each of the 6 callers beyond
    // the limit, and a margin of 60 tokens.
    let max_expected_tokens = 200.0 * (started.elapsed().as_secs_f64() + 2.0) + 6.0 * 20.0 + 60.0;
    assert!(
        f64::from(tokens) <= max_expected_tokens,
        "got {tokens} tokens, expected at most {max_expected_tokens}"
    );
    assert!(tokens >= 600, "got {tokens} tokens, expected at least 600");
}

#[actix_rt::test]
async fn requests_that_cannot_meet_their_deadline_are_refused_early() {
    let fixture = start_fixture().await;
    let calls = (0..120).map(|number| {
        let fixture = &fixture;
        async move {
            let url = fixture.url(number % 3, "/v1/completions");
            let sent = Instant::now();
            let response = client()
                .post(url)
                .insert_header(("authorization", fixture.authorization()))
                .insert_header(("flamingoscale-timeout-ms", "3000"))
                .send_json(&request(&format!("rush {number}"), 2_000, false))
                .await
                .expect("the request should get a response");
            (outcome(&response), response.status(), sent.elapsed())
        }
    });
    let responses = join_all(calls).await;
    let ran = responses
        .iter()
        .filter(|(outcome_name, ..)| outcome_name == "ran")
        .count();
    let refused_early = responses.iter().filter(|(outcome_name, status, latency)| {
        outcome_name == "not-run"
            && *status == StatusCode::SERVICE_UNAVAILABLE
            && *latency < Duration::from_millis(2_500)
    });
    assert!(ran >= 8, "{ran} requests ran, expected at least 8");
    assert!(
        refused_early.count() > 40,
        "too few requests were refused within 2.5 s"
    );
    let prompts = fixture.engines.iter().flat_map(|engine| engine.runs());
    let mut started_prompts: Vec<_> = prompts.map(|run| run.prompt).collect();
    started_prompts.sort();
    started_prompts.dedup();
    for (number, (outcome_name, ..)) in responses.iter().enumerate() {
        let prompt = format!("rush {number}");
        if outcome_name == "not-run" {
            assert!(
                !started_prompts
                    .iter()
                    .any(|started_prompt| **started_prompt == *prompt),
                "{prompt} ran although its outcome was not-run"
            );
        }
    }
}

#[actix_rt::test]
async fn stalled_reader_releases_its_engine() {
    // The engines are fast enough to fill the kernel's socket buffers.
    let fixture = start_fixture_at(100_000.0).await;
    let body = serde_json::to_string(&request("never read", 20_000_000, true))
        .expect("the request should serialise");
    let address = fixture.cluster.nodes[0].address;
    let socket = TcpSocket::new_v4().expect("the socket should open");
    // A small receive window limits the bytes that are in flight once the reader stalls.
    socket
        .set_recv_buffer_size(4_096)
        .expect("the buffer size should be accepted");
    let mut connection = socket
        .connect(address)
        .await
        .expect("the connection should open");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        fixture.authorization(),
        body.len(),
    );
    connection
        .write_all(head.as_bytes())
        .await
        .expect("the request should be written");
    // The connection stays open, but nothing is read from it.
    let started = Instant::now();
    let running = || {
        let runs = fixture.engines.iter().flat_map(|engine| engine.runs());
        runs.filter(|run| run.got_slot && run.finish_reason.is_none())
            .count()
    };
    while running() == 0 {
        assert!(
            started.elapsed() < TIMEOUT,
            "the request did not start in time"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let release_timeout = Duration::from_secs(45);
    while running() > 0 {
        assert!(
            started.elapsed() < release_timeout,
            "the stalled reader still occupies its engine"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let tokens: u64 = fixture.engines.iter().map(|e| e.generated_tokens()).sum();
    assert!(tokens < 4_000_000, "the stream was generated to its end");
    drop(connection);
}

#[actix_rt::test]
async fn disconnected_caller_releases_its_engine() {
    let fixture = start_fixture().await;
    let response = fixture.send(0, &request("gone", 1_000_000, true)).await;
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    let started = Instant::now();
    loop {
        let runs = fixture.engines.iter().flat_map(|engine| engine.runs());
        if runs.filter(|run| run.finish_reason.is_none()).count() == 0 {
            break;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "the request of the disconnected caller still runs"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn oversized_and_malformed_requests_get_specific_errors() {
    let fixture = start_fixture().await;
    let post = |path: &str, body: Vec<u8>| {
        let sent = client()
            .post(fixture.url(0, path))
            .insert_header(("authorization", fixture.authorization()))
            .send_body(body);
        async move {
            let mut response = sent.await.expect("the request should get a response");
            assert_eq!(outcome(&response), "not-run");
            let body: ErrorBody = response.json().await.expect("the body should be an error");
            (response.status().as_u16(), body.kind.to_string())
        }
    };
    let oversized_body = vec![b'a'; (4 << 20) + 1];
    assert_eq!(
        post("/s/lookup/x", oversized_body).await,
        (413, "too_large".into())
    );
    let malformed_body = b"{".to_vec();
    let refused = post("/v1/completions", malformed_body).await;
    assert_eq!(refused, (400, "malformed".into()));
    let unknown_service = post("/s/nowhere/x", Vec::new()).await;
    assert_eq!(unknown_service, (404, "no_route".into()));
    // A body that contains the caller's key is refused, so that the key never reaches an endpoint.
    let body_with_key = fixture.cluster.keys["lodges"].as_bytes().to_vec();
    let refused = post("/s/lookup/x", body_with_key).await;
    assert_eq!(refused, (400, "malformed".into()));
    assert!(fixture
        .services
        .iter()
        .all(|service| service.runs().is_empty()));
}

#[actix_rt::test]
async fn endless_request_header_is_rejected() {
    let fixture = start_fixture().await;
    let mut connection =
        TcpStream::connect(fixture.cluster.nodes[0].address).expect("the connection should open");
    let mut closed = connection
        .write_all(b"GET /v1/entries HTTP/1.1\r\n")
        .is_err();
    let line = format!("x-long: {}\r\n", "a".repeat(4_000));
    for _ in 0..200 {
        closed = closed || connection.write_all(line.as_bytes()).is_err();
    }
    connection
        .set_read_timeout(Some(TIMEOUT))
        .expect("the read timeout should be accepted");
    let mut status_line = [0; 12];
    let read = connection.read(&mut status_line).unwrap_or(0);
    let refused = read == 0 || status_line.starts_with(b"HTTP/1.1 4");
    assert!(
        closed || refused,
        "{}",
        String::from_utf8_lossy(&status_line)
    );
}
