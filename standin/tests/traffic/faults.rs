//! Endpoints that crash, stop responding, leave or are listed under a wrong address, and homes that
//! stop responding or are unreachable.

use std::time::Instant;

use awc::http::StatusCode;
use flamingoscale::wire::{
    Completion,
    CompletionChunk, //
};
use futures::{
    future::join_all,
    StreamExt as _, //
};
use standin::{
    engine::expected_text,
    faults::Fault, //
};

use crate::fixture::{
    client,
    outcome,
    request,
    start_fixture,
    Fixture,
    TIMEOUT, //
};

/// Requests a completion and checks its text; returns false if the request failed.
async fn completes(fixture: &Fixture, node: usize, prompt: &str) -> bool {
    let mut response = fixture.complete(node, prompt, false).await;
    if response.status() != StatusCode::OK {
        return false;
    }
    let completion: Completion = response
        .json()
        .await
        .expect("the body should be a completion");
    assert_eq!(completion.text, expected_text(prompt, 0, 20));
    true
}

/// Polls `condition` until it returns true, or panics after `TIMEOUT`.
async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Joins the texts of all completion chunks of a stream.
fn chunk_text(stream: &str) -> String {
    let chunks = stream
        .split("\n\n")
        .filter_map(|e| e.strip_prefix("data: "));
    let chunks = chunks.filter(|data| data.starts_with('{'));
    chunks
        .map(|data| {
            serde_json::from_str::<CompletionChunk>(data)
                .expect("the event should be a completion chunk")
                .text
        })
        .collect()
}

#[actix_rt::test]
async fn engine_crash_fails_no_idempotent_request() {
    let fixture = start_fixture().await;
    let calls = (0..12).map(|number| {
        let fixture = &fixture;
        async move {
            let prompt = format!("{number} ways down");
            let request = request(&prompt, 400, false);
            let mut response = fixture.send(number % 3, &request).await;
            assert_eq!(response.status(), StatusCode::OK, "{number}");
            let completion: Completion = response
                .json()
                .await
                .expect("the body should be a completion");
            assert_eq!(completion.text, expected_text(&prompt, 0, 400));
        }
    });
    let crash = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(60)).await;
        let back_after_ms = Some(300);
        fixture.engines[0].inject_fault(&Fault::Crash { back_after_ms });
    };
    futures::join!(join_all(calls), crash);
}

#[actix_rt::test]
async fn a_request_that_crashes_engines_is_refused_everywhere_after_the_second() {
    let fixture = start_fixture().await;
    for engine in &fixture.engines {
        engine.inject_fault(&Fault::Poison {
            text: "poison".into(),
            back_after_ms: 100,
        });
    }
    let first = fixture.complete(0, "some poison", false).await;
    assert_eq!(outcome(&first), "unknown");
    let crashes = || fixture.engines.iter().map(|e| e.boot() - 1).sum::<u64>();
    assert_eq!(crashes(), 2, "the request should crash exactly two engines");
    let started = Instant::now();
    for node in 0..3 {
        loop {
            let repeated = fixture.complete(node, "some poison", false).await;
            if repeated.status() == StatusCode::UNPROCESSABLE_ENTITY {
                assert_eq!(outcome(&repeated), "not-run");
                break;
            }
            assert!(
                started.elapsed() < TIMEOUT,
                "an instance still accepts the request that crashes engines"
            );
        }
    }
    assert!(crashes() <= 3, "{} crashes", crashes());
    fixture.wait_until_reachable().await;
    assert!(completes(&fixture, 0, "harmless").await);
}

#[actix_rt::test]
async fn silent_connections_are_replaced() {
    let fixture = start_fixture().await;
    for number in 0..12 {
        assert!(completes(&fixture, number % 3, &format!("warm {number}")).await);
    }
    for engine in &fixture.engines {
        engine.inject_fault(&Fault::SilenceOpen);
    }
    for service in &fixture.services {
        service.inject_fault(&Fault::SilenceOpen);
    }
    let calls = (0..12).map(|number| {
        let fixture = &fixture;
        async move {
            assert!(completes(fixture, number % 3, &format!("after {number}")).await);
            let id = format!("silent {number}");
            let response = fixture.look_up(number % 3, &id, &[]).await;
            assert_eq!(outcome(&response), "ran");
            assert_eq!(fixture.runs(&id), 1);
        }
    });
    join_all(calls).await;
}

#[actix_rt::test]
async fn unresponsive_home_causes_no_second_run() {
    let fixture = start_fixture().await;
    fixture.cluster.set_unresponsive("n2", true);
    let calls = (0..12).map(|number| {
        let fixture = &fixture;
        async move {
            let node = [0, 2][number % 2];
            assert!(completes(fixture, node, &format!("past the silent home {number}")).await);
            let id = format!("home {number}");
            let response = fixture.look_up(node, &id, &[]).await;
            let runs = fixture.runs(&id);
            match &*outcome(&response) {
                "ran" => assert_eq!(runs, 1),
                "not-run" => assert_eq!(runs, 0),
                _ => assert!(runs <= 1),
            }
        }
    });
    join_all(calls).await;
}

#[actix_rt::test]
async fn unreachable_home_is_skipped() {
    let fixture = start_fixture().await;
    fixture.cluster.set_disconnected("n2", true);
    for number in 0..12 {
        let node = [0, 2][number % 2];
        assert!(completes(&fixture, node, &format!("without n2 {number}")).await);
        let id = format!("without n2 {number}");
        let response = fixture.look_up(node, &id, &[]).await;
        assert_eq!(outcome(&response), "ran");
        assert_eq!(fixture.runs(&id), 1);
    }
}

#[actix_rt::test]
async fn leaving_engine_gets_no_new_work_and_its_streams_resume_elsewhere() {
    let fixture = start_fixture().await;
    let prompts: Vec<String> = (0..6).map(|n| format!("long way {n}")).collect();
    let streams = prompts.iter().enumerate().map(|(number, prompt)| {
        let fixture = &fixture;
        async move {
            // 4,000 tokens take two seconds at the engine's speed; the engine leaves earlier.
            let mut response = fixture
                .send(number % 3, &request(prompt, 4_000, true))
                .await;
            assert_eq!(response.status(), StatusCode::OK);
            let mut bytes = Vec::new();
            while let Some(part) = response.next().await {
                bytes.extend_from_slice(&part.expect("the stream should not be cut off"));
            }
            let text = String::from_utf8(bytes).expect("the stream should be UTF-8");
            assert!(text.ends_with("data: [DONE]\n\n"), "{prompt}: {text:.200}");
            assert_eq!(chunk_text(&text), expected_text(prompt, 0, 4_000));
        }
    });
    let leave = async {
        wait_until("both engines have generated tokens", || {
            fixture
                .engines
                .iter()
                .all(|engine| engine.generated_tokens() > 100)
        })
        .await;
        let leaving = &fixture.engines[0];
        leaving.inject_fault(&Fault::Reclaim { notice_ms: 1_200 });
        actix_rt::time::sleep(std::time::Duration::from_millis(400)).await;
        let runs_before = leaving.runs().len();
        for number in 0..8 {
            assert!(completes(&fixture, number % 3, &format!("meanwhile {number}")).await);
        }
        assert_eq!(leaving.runs().len(), runs_before);
    };
    futures::join!(join_all(streams), leave);
    let other_engine_runs = fixture.engines[1].runs();
    assert!(
        other_engine_runs.len() > 8,
        "no stream resumed on the other engine"
    );
}

#[actix_rt::test]
async fn endpoint_at_wrong_address_receives_no_requests() {
    let fixture = start_fixture().await;
    // The platform lists the address of lookup0 for lookup1 too.
    fixture.cluster.update(|view| {
        let mut table = (*view.endpoints).clone();
        let mut endpoints = table.endpoints.values_mut();
        let first = endpoints.find(|e| &*e.platform.endpoint == "lookup0");
        let address = first
            .expect("the table should list lookup0")
            .platform
            .address
            .clone();
        for endpoint in table.endpoints.values_mut() {
            if &*endpoint.platform.service == "lookup" {
                endpoint.platform.address = address.clone();
            }
        }
        view.endpoints = table.into();
    });
    actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
    for number in 0..8 {
        let id = format!("posing {number}");
        let response = fixture.look_up(number % 3, &id, &[]).await;
        let runs = fixture.runs(&id);
        match &*outcome(&response) {
            "ran" => assert_eq!(runs, 1),
            "not-run" => assert_eq!(runs, 0),
            _ => assert!(runs <= 1),
        }
    }
    let impostor_runs = fixture.services[1].runs();
    assert!(
        impostor_runs.is_empty(),
        "an endpoint that is not at its listed address got requests"
    );
}

#[actix_rt::test]
async fn streams_on_silent_connections_resume_elsewhere() {
    let fixture = start_fixture().await;
    let streams = (0..4).map(|number| {
        let fixture = &fixture;
        async move {
            let prompt = format!("quiet way {number}");
            // 8,000 tokens take four seconds, so that no stream ends on its silent connection before
            // the silence is detected; such a stream could not be resumed.
            let mut response = fixture
                .send(number % 3, &request(&prompt, 8_000, true))
                .await;
            let mut bytes = Vec::new();
            while let Some(part) = response.next().await {
                bytes.extend_from_slice(&part.expect("the stream should not be cut off"));
            }
            let text = String::from_utf8(bytes).expect("the stream should be UTF-8");
            let last = text.get(text.len().saturating_sub(300)..).unwrap_or("");
            assert!(text.ends_with("data: [DONE]\n\n"), "{prompt}: {last}");
            assert_eq!(chunk_text(&text), expected_text(&prompt, 0, 8_000));
        }
    });
    let silence = async {
        wait_until("both engines have generated tokens", || {
            fixture
                .engines
                .iter()
                .all(|engine| engine.generated_tokens() > 100)
        })
        .await;
        for engine in &fixture.engines {
            engine.inject_fault(&Fault::SilenceOpen);
        }
    };
    futures::join!(join_all(streams), silence);
}

#[actix_rt::test]
async fn refused_retry_does_not_hide_an_attempt_that_ran() {
    let fixture = start_fixture().await;
    let board_service = &fixture.services[2];
    board_service.inject_fault(&Fault::Poison {
        text: "poison".into(),
        back_after_ms: 60_000,
    });
    let sent = client().post(fixture.url(0, "/s/board/x"));
    let response = sent
        .send_body("poison")
        .await
        .expect("the request should get a response");
    assert_eq!(fixture.runs("poison"), 1);
    assert_eq!(outcome(&response), "unknown");
}
