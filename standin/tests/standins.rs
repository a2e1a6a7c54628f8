//! Tests of the stand-ins without the real service: their normal behaviour and the effect of each
//! injected fault.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::wire::{
    AppendRequest,
    AppendResponse,
    Completion,
    CompletionRequest,
    EndpointPhase,
    EndpointStatus,
    EngineAction,
    EngineOrder,
    PlatformAction,
    PlatformEndpoint,
    PlatformOrder,
    PlatformOrderDone,
    ReadResponse,
    Tier,
    UsageFigures,
    UsageReport,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER, //
};
use standin::{
    engine::{
        expected_text,
        EngineSettings,
        EngineStandin, //
    },
    faults::Fault,
    platform::{
        Platform,
        PlatformSettings,
        StartedEndpoint, //
    },
    server::Host,
    service::{
        Lookup,
        ServiceStandin, //
    },
    weight_store::WeightStore, //
};

/// Time limit for each request and for each condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start_host() -> Host {
    Host::start().expect("the host should start its thread")
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

/// Polls `condition` until it returns true, or panics after `TIMEOUT`.
async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

fn start_fast_engine(host: &Host) -> Arc<EngineStandin> {
    let settings = EngineSettings::new("e1").tokens_per_s(4_000.0).swap_ms(5);
    settings
        .start(host)
        .expect("a stand-in should bind a free port")
}

fn completion(prompt: &str, max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        model: "draft".into(),
        prompt: prompt.into(),
        max_tokens,
        seed: 7,
        ..CompletionRequest::default()
    }
}

async fn complete(
    address: SocketAddr,
    id: &str,
    request: &CompletionRequest,
) -> Result<Completion, String> {
    let url = format!("http://{address}/v1/completions");
    let request = client()
        .post(url)
        .insert_header((REQUEST_ID_HEADER, id))
        .send_json(request);
    let mut response = request.await.map_err(|error| error.to_string())?;
    let not_run = response.headers().contains_key(NOT_RUN_HEADER);
    if !response.status().is_success() {
        return Err(format!("{} not_run={not_run}", response.status()));
    }
    response.json().await.map_err(|error| error.to_string())
}

async fn status(address: SocketAddr) -> Result<EndpointStatus, String> {
    let request = client().get(format!("http://{address}/admin/status"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}

async fn order_engine_to_load(
    address: SocketAddr,
    fencing: u64,
    version: u64,
    store: SocketAddr,
) -> u16 {
    let url = format!("http://{store}/trainers/t/versions/{version}");
    let order = EngineOrder {
        fencing,
        action: EngineAction::LoadVersion {
            trainer: "t".into(),
            version,
            url: url.into(),
        },
    };
    let request = client().post(format!("http://{address}/admin/orders"));
    let response = request
        .send_json(&order)
        .await
        .expect("the request should get a response");
    response.status().as_u16()
}

#[actix_web::test]
async fn engine_output_depends_only_on_prompt_and_seed() {
    let host = start_host();
    let engine = start_fast_engine(&host);
    let response = complete(engine.address(), "r1", &completion("snow", 40)).await;
    let response = response.expect("the response should be complete");
    assert_eq!(response.text, expected_text("snow", 7, 40));
    assert_eq!(&*response.finish_reason, "length");
    assert_eq!(engine.runs()[0].spans, response.versions);
    assert_eq!(engine.requests_with_key(), 0);
}

#[actix_web::test]
async fn engine_counts_requests_with_caller_key() {
    let host = start_host();
    let engine = start_fast_engine(&host);
    let url = format!("http://{}/v1/completions", engine.address());
    let request = client().post(url).bearer_auth("fk-abc.secret");
    let sent = request.send_json(&completion("snow", 1)).await;
    assert!(sent.is_ok());
    assert_eq!(engine.requests_with_key(), 1);
}

#[actix_web::test]
async fn engine_applies_refuse_lose_answers_and_crash_faults() {
    let host = start_host();
    let engine = start_fast_engine(&host);
    let request = completion("ice", 10);
    engine.inject_fault(&Fault::Refuse { count: 1 });
    let refused = complete(engine.address(), "r1", &request).await;
    assert!(refused
        .expect_err("the engine should refuse the request")
        .contains("not_run=true"));
    assert!(engine.runs().is_empty());

    engine.inject_fault(&Fault::LoseAnswers { count: 1 });
    let lost = complete(engine.address(), "r2", &request).await;
    assert!(lost.is_err());
    assert_eq!(engine.runs()[0].finish_reason.as_deref(), Some("length"));

    let back_after_ms = Some(50);
    engine.inject_fault(&Fault::Crash { back_after_ms });
    let crashed = complete(engine.address(), "r3", &request).await;
    assert!(crashed.is_err());
    let started = Instant::now();
    while complete(engine.address(), "r4", &request).await.is_err() {
        assert!(
            started.elapsed() < TIMEOUT,
            "the engine did not restart in time"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(engine.boot(), 2);
}

#[actix_web::test]
async fn poison_prompt_crashes_engine() {
    let host = start_host();
    let engine = start_fast_engine(&host);
    engine.inject_fault(&Fault::Poison {
        text: "avalanche".into(),
        back_after_ms: 10,
    });
    let poisoned = complete(engine.address(), "r1", &completion("an avalanche", 5)).await;
    assert!(poisoned.is_err());
    wait_until("the engine has restarted", || engine.boot() == 2).await;
}

#[actix_web::test]
async fn silence_open_fault_spares_new_connections() {
    let host = start_host();
    let settings = EngineSettings::new("e1").tokens_per_s(100.0);
    let engine = settings
        .start(&host)
        .expect("a stand-in should bind a free port");
    let address = engine.address();
    let request = completion("fog", 50);
    let pending = complete(address, "r1", &request);
    let silence_connections = async {
        wait_until("the request has a slot", || {
            engine.runs().iter().any(|run| run.got_slot)
        })
        .await;
        engine.inject_fault(&Fault::SilenceOpen);
        let new_connection_response = complete(address, "r2", &completion("sun", 2)).await;
        assert!(new_connection_response.is_ok());
        wait_until("the request on the silent connection finishes", || {
            engine.runs()[0].finish_reason.is_some()
        })
        .await;
    };
    let pending = actix_rt::time::timeout(Duration::from_secs(2), pending);
    let (pending, ()) = futures::join!(pending, silence_connections);
    assert!(
        pending.is_err(),
        "a response arrived on a silent connection"
    );
}

#[actix_web::test]
async fn weights_load_and_stale_fencing_is_rejected() {
    let host = start_host();
    let store =
        WeightStore::start(&host, 0, 50_000_000).expect("a stand-in should bind a free port");
    store.put("t", 3, 100_000);
    let engine = start_fast_engine(&host);
    assert_eq!(
        order_engine_to_load(engine.address(), 5, 3, store.address()).await,
        202
    );
    assert_eq!(
        order_engine_to_load(engine.address(), 4, 3, store.address()).await,
        409
    );
    wait_until("the weights are loaded", || engine.version() == 3).await;
    assert_eq!(store.served_bytes(), 100_000);
    let status = status(engine.address())
        .await
        .expect("the engine should report its status");
    assert_eq!((status.version, status.swapping), (3, false));

    engine.inject_fault(&Fault::FailSwaps { count: 1 });
    assert_eq!(
        order_engine_to_load(engine.address(), 5, 3, store.address()).await,
        202
    );
    let started = Instant::now();
    loop {
        let status = self::status(engine.address())
            .await
            .expect("the engine should report its status");
        if status.failed.is_some() {
            break;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "the engine did not report the failed swap in time"
        );
    }
}

#[actix_web::test]
async fn weight_store_shares_bandwidth_between_downloads() {
    let host = start_host();
    let store =
        WeightStore::start(&host, 0, 1_000_000).expect("a stand-in should bind a free port");
    store.put("t", 1, 200_000);
    let (first, second) = (start_fast_engine(&host), start_fast_engine(&host));
    let started = Instant::now();
    for engine in [&first, &second] {
        order_engine_to_load(engine.address(), 1, 1, store.address()).await;
    }
    wait_until("both engines have loaded the weights", || {
        first.version() == 1 && second.version() == 1
    })
    .await;
    // 400 kB at 1 MB/s take 400 ms. This is a lower bound, so a slow machine can't fail the test.
    assert!(started.elapsed() >= Duration::from_millis(390));
}

#[actix_web::test]
async fn service_counts_runs_per_body() {
    let host = start_host();
    let service =
        ServiceStandin::start(&host, 0, "s1", 1).expect("a stand-in should bind a free port");
    let url = format!("http://{}/lookup", service.address());
    let body = Lookup { id: "km 12".into() };
    for _ in 0..2 {
        let sent = client().post(&url).send_json(&body).await;
        assert!(sent
            .expect("the request should get a response")
            .status()
            .is_success());
    }
    service.inject_fault(&Fault::LoseAnswers { count: 1 });
    assert!(client().post(&url).send_json(&body).await.is_err());
    assert_eq!(service.runs_by_body()["km 12"], 3);
    service.inject_fault(&Fault::Refuse { count: 1 });
    let refused = client().post(&url).send_json(&body).await;
    let refused = refused.expect("the service should respond with a refusal");
    assert!(refused.headers().contains_key(NOT_RUN_HEADER));
    assert_eq!(service.runs_by_body()["km 12"], 3);
}

async fn append(platform: &Platform, records: &[&str]) -> Result<u64, String> {
    let body = AppendRequest {
        records: records.iter().map(ToString::to_string).collect(),
    };
    let request = client().post(format!("http://{}/log/append", platform.address()));
    let mut response = request
        .send_json(&body)
        .await
        .map_err(|error| error.to_string())?;
    let response_body = response.json::<AppendResponse>().await;
    Ok(response_body
        .map_err(|error| error.to_string())?
        .first_offset)
}

async fn read(platform: &Platform, from: u64, wait_ms: u64) -> (u16, ReadResponse) {
    let address = platform.address();
    let url = format!("http://{address}/log/read?from={from}&max=100&wait_ms={wait_ms}");
    let mut response = client()
        .get(url)
        .send()
        .await
        .expect("the request should get a response");
    let status = response.status().as_u16();
    (
        status,
        response
            .json()
            .await
            .expect("the body should be a log read"),
    )
}

#[actix_web::test]
async fn log_keeps_order_and_applies_appends_with_lost_responses() {
    let host = start_host();
    let platform = PlatformSettings::default()
        .start(&host)
        .expect("a stand-in should bind a free port");
    assert_eq!(append(&platform, &["YQ==", "Yg=="]).await, Ok(0));
    platform.inject_fault(&Fault::LoseAnswers { count: 1 });
    assert!(append(&platform, &["Yw=="]).await.is_err());
    let (status, read_response) = read(&platform, 1, 0).await;
    assert_eq!(
        (status, read_response.entries.len(), read_response.head),
        (200, 2, 3)
    );
    assert_eq!(read_response.entries[1].offset, 2);
    platform.inject_fault(&Fault::Truncate { keep: 1 });
    let (status, read_response) = read(&platform, 1, 0).await;
    assert_eq!((status, read_response.earliest), (410, 2));
    platform.inject_fault(&Fault::Outage { for_ms: 60_000 });
    assert!(append(&platform, &["ZA=="]).await.is_err());
    platform.inject_fault(&Fault::Clear);
    assert_eq!(append(&platform, &["ZA=="]).await, Ok(3));
}

#[actix_web::test]
async fn long_poll_read_returns_next_record() {
    let host = start_host();
    let platform = PlatformSettings::default()
        .start(&host)
        .expect("a stand-in should bind a free port");
    let waiting = read(&platform, 0, 5_000);
    let appending = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        append(&platform, &["YQ=="]).await
    };
    let ((status, read_response), _) = futures::join!(waiting, appending);
    assert_eq!((status, read_response.entries.len()), (200, 1));
}

#[actix_web::test]
async fn append_rate_limit_is_enforced() {
    let host = start_host();
    let settings = PlatformSettings::default().appends_per_s(2);
    let platform = settings
        .start(&host)
        .expect("a stand-in should bind a free port");
    let mut refused = 0;
    for _ in 0..20 {
        refused += u32::from(append(&platform, &["YQ=="]).await.is_err());
    }
    assert!(refused > 0);
}

fn start_order(order: u64, fencing: u64, sender: &str) -> PlatformOrder {
    PlatformOrder {
        region: "r".into(),
        fencing,
        order,
        valid_ms: 1_000,
        sender: sender.into(),
        action: PlatformAction::Start {
            service: "draft".into(),
            failure_domain: "saiq".into(),
            tier: Tier::Cheap,
        },
    }
}

async fn send_order(
    platform: &Platform,
    order: &PlatformOrder,
) -> Result<Result<PlatformOrderDone, u16>, String> {
    let request = client().post(format!("http://{}/orders", platform.address()));
    let sent = request.send_json(order).await;
    let mut response = sent.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Ok(Err(response.status().as_u16()));
    }
    Ok(Ok(response
        .json()
        .await
        .map_err(|error| error.to_string())?))
}

fn start_platform_with_starter(host: &Host, settings: PlatformSettings) -> Platform {
    let platform = settings
        .start(host)
        .expect("a stand-in should bind a free port");
    let host = host.clone();
    platform.set_starter(Box::new(move |listed| {
        let engine = EngineSettings::new(listed.endpoint.clone()).start(&host);
        Some(engine.ok()? as Arc<dyn StartedEndpoint>)
    }));
    platform
}

#[actix_web::test]
async fn orders_are_idempotent_fenced_and_expire() {
    let host = start_host();
    let platform = start_platform_with_starter(&host, PlatformSettings::default().start_ms(1));
    platform.inject_fault(&Fault::LoseAnswers { count: 1 });
    let order = start_order(8, 5, "n1");
    assert!(send_order(&platform, &order).await.is_err());
    let repeated = send_order(&platform, &order)
        .await
        .expect("the request should get a response");
    assert_eq!(platform.endpoints().len(), 1);
    assert_eq!(
        repeated.expect("the order should succeed").endpoint,
        platform.endpoints()[0].endpoint
    );

    let stale = send_order(&platform, &start_order(9, 4, "n2")).await;
    assert_eq!(stale, Ok(Err(409)));
    assert_eq!(platform.stale_fencing_orders(), 1);

    platform.inject_fault(&Fault::DelayOrders { delay_ms: 20 });
    let mut expired = start_order(10, 5, "n1");
    expired.valid_ms = 10;
    assert_eq!(send_order(&platform, &expired).await, Ok(Err(410)));
    platform.inject_fault(&Fault::Clear);
    platform.inject_fault(&Fault::Unavailable {
        failure_domain: "saiq".into(),
        unavailable: true,
    });
    let unavailable = send_order(&platform, &start_order(11, 5, "n1")).await;
    assert_eq!(unavailable, Ok(Err(503)));
}

#[actix_web::test]
async fn cheap_endpoints_vanish_after_notice_period() {
    let host = start_host();
    let platform = start_platform_with_starter(&host, PlatformSettings::default().start_ms(1));
    let sent = send_order(&platform, &start_order(1, 1, "n1")).await;
    sent.expect("the request should get a response")
        .expect("the order should succeed");
    let engine = EngineSettings::new("firm")
        .start(&host)
        .expect("a stand-in should bind a free port");
    let listed = PlatformEndpoint {
        endpoint: "firm".into(),
        service: "draft".into(),
        failure_domain: "saiq".into(),
        address: engine.address().to_string().into(),
        tier: Tier::Firm,
        phase: EndpointPhase::Running,
        order: 0,
    };
    platform.add_endpoint(listed, engine);
    platform.inject_fault(&Fault::Vanish {
        failure_domain: "saiq".into(),
        notice_ms: 50,
        cheap_only: true,
    });
    wait_until("the cheap endpoint is gone", || {
        platform.endpoints().len() == 1
    })
    .await;
    assert_eq!(&*platform.endpoints()[0].endpoint, "firm");
}

#[actix_web::test]
async fn conflicting_usage_reports_are_rejected() {
    let host = start_host();
    let platform = PlatformSettings::default()
        .start(&host)
        .expect("a stand-in should bind a free port");
    let mut report = UsageReport {
        region: "r".into(),
        window: 1,
        fencing: 3,
        reporter: "n1".into(),
        figures: [("oasis".into(), UsageFigures::default())].into(),
    };
    let url = format!("http://{}/usage", platform.address());
    let mut statuses = Vec::new();
    for tokens in [0, 0, 9] {
        report.figures.insert(
            "oasis".into(),
            UsageFigures {
                requests: 1,
                tokens,
            },
        );
        let sent = client().post(&url).send_json(&report).await;
        statuses.push(
            sent.expect("the request should get a response")
                .status()
                .as_u16(),
        );
    }
    assert_eq!(statuses, [200, 200, 409]);
    assert_eq!(platform.usage_conflicts(), 1);
}
