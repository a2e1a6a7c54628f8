use bytes::Bytes;
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::TcpListener, //
};

use super::*;
use crate::{
    dispatch::{
        Class,
        WorkBody,
        WorkStream, //
    },
    view::EndpointKey, //
};

#[test]
fn credentials_and_connection_headers_are_not_forwarded() {
    let connection_headers = connection_header_names([&b"close, X-Hop"[..]].into_iter());
    for name in [
        "authorization",
        "cookie",
        "proxy-authorization",
        "transfer-encoding",
        "x-hop",
        "flamingoscale-organisation",
        "idempotency-key",
    ] {
        assert!(
            !is_forwarded_to_service(name, &connection_headers),
            "{name}"
        );
    }
    assert!(is_forwarded_to_service("accept", &connection_headers));
    assert!(is_forwarded_to_service("traceparent", &connection_headers));
}

#[test]
fn reserved_response_headers_of_a_service_are_dropped() {
    assert!(!is_forwarded_to_caller("flamingoscale-outcome", &[]));
    assert!(!is_forwarded_to_caller(ENDPOINT_HEADER, &[]));
    assert!(is_forwarded_to_caller("set-cookie", &[]));
}

/// Runs a call to a service that answers with these bytes and then closes the connection.
async fn outcome_of(method: &str, response: &str) -> Outcome<Summary> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = Target {
        key: EndpointKey(0),
        id: "s1".into(),
        address: listener.local_addr().unwrap().to_string().into(),
    };
    let body = Bytes::new();
    let call_parts = Call {
        method,
        path: "/",
        headers: &[],
        body: &body,
    };
    let work = Work {
        request_id: "r1".into(),
        organisation: "org".into(),
        key_id: None,
        service: "lookup".into(),
        class: Class::Interactive,
        body: WorkBody::Plain {
            method: method.into(),
            path: "/".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
        budget_ms: 5_000,
        idempotent: false,
        avoid: Vec::new(),
        oldest_version: 0,
        exclusive: false,
    };
    let (events, mut stream) = WorkStream::channel();
    let deadline = Instant::now() + Duration::from_secs(5);
    let service = async {
        let (mut connection, _) = listener.accept().await.unwrap();
        let _ = connection.read(&mut [0; 4096]).await;
        let head = format!("HTTP/1.1 {response}");
        connection.write_all(head.as_bytes()).await.unwrap();
    };
    let running = async {
        let end = call(&target, &work, &call_parts, &events, deadline).await;
        drop(events);
        end.outcome
    };
    let (outcome, (), ()) = futures::join!(running, service, async {
        while stream.next().await.is_some() {}
    });
    outcome
}

/// Guards against MIXED: an answer of a plain service that was cut off was passed on as a whole one. See
/// docs/incidents/errors-in-streams.md.
#[actix_rt::test]
async fn answer_that_is_shorter_than_its_length_is_not_complete() {
    let head = format!("{ENDPOINT_HEADER}: s1\r\ncontent-length: 10\r\n\r\n");
    for (method, response, is_whole) in [
        ("GET", format!("200 OK\r\n{head}0123456789"), true),
        ("GET", format!("200 OK\r\n{head}01234"), false),
        ("GET", format!("200 OK\r\n{head}"), false),
        ("GET", format!("500 Error\r\n{head}01234"), false),
        ("HEAD", format!("200 OK\r\n{head}"), true),
        ("GET", format!("304 Not Modified\r\n{head}"), true),
    ] {
        let outcome = outcome_of(method, &response).await;
        let ran = matches!(outcome, Outcome::Ran(_));
        assert_eq!(ran, is_whole, "{method} {response}: {outcome:?}");
    }
}

/// Guards against MIXED: an answer of a plain service whose head was cut off is none. See
/// docs/incidents/cut-heads.md.
#[actix_rt::test]
async fn answer_whose_head_is_cut_off_is_unknown() {
    let framings = [
        "content-length: 2\r\n",
        "transfer-encoding: chunked\r\n",
        "",
    ];
    for framing in framings {
        let head = format!("200 OK\r\n{ENDPOINT_HEADER}: s1\r\n{framing}\r\n");
        for length in 0..head.len() {
            let outcome = outcome_of("GET", &head[..length]).await;
            assert!(
                matches!(outcome, Outcome::Unknown(_)),
                "{:?}: {outcome:?}",
                &head[..length]
            );
        }
    }
}

/// The same for an answer in chunks.
#[actix_rt::test]
async fn answer_whose_chunks_break_off_is_not_complete() {
    let head = format!("{ENDPOINT_HEADER}: s1\r\ntransfer-encoding: chunked\r\n\r\n");
    for (rest, is_whole) in [("5\r\n01234\r\n0\r\n\r\n", true), ("5\r\n01234\r\n", false)] {
        let outcome = outcome_of("GET", &format!("200 OK\r\n{head}{rest}")).await;
        let ran = matches!(outcome, Outcome::Ran(_));
        assert_eq!(ran, is_whole, "{rest}: {outcome:?}");
    }
}

/// Guards against MIXED: an answer without a status was passed on. See
/// docs/incidents/answers-without-status.md.
#[actix_rt::test]
async fn answer_without_a_final_status_is_unknown() {
    for status in ["000", "099", "101", "600", "999"] {
        let head =
            format!("{ENDPOINT_HEADER}: s1\r\n{NOT_RUN_HEADER}: 1\r\ncontent-length: 2\r\n\r\n");
        let outcome = outcome_of("GET", &format!("{status} OK\r\n{head}ok")).await;
        assert!(
            matches!(outcome, Outcome::Unknown(_)),
            "{status}: {outcome:?}"
        );
    }
}
