//! Peer calls over `h2` and `bincode`, compared with the same calls over HTTP/1.1 and JSON.

use std::{
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::{
    web::{
        self,
        Json, //
    },
    App,
    HttpResponse,
    HttpServer, //
};
use flamingoscale::{
    clock::BootClock,
    instance::Instance,
    peer::{
        self,
        PeerHandler,
        PeerPool,
        PeerReply,
        PeerRequest,
        PeerRouter,
        Peers,
        ReplySender, //
    },
    settings::SettingsBuilder,
    usage,
    wire::UsageFigures, //
};
use futures::future::join_all;
use serde_json::{
    json,
    Value, //
};

use crate::output;

/// Numbers of concurrent calls that are measured.
const CONCURRENCY: [usize; 2] = [1, 64];

/// Number of calls in each measurement.
const CALLS: usize = 20_000;

/// Number of calls that are made before the measurement starts.
const WARM_UP_CALLS: usize = 500;

/// Peer handler that acknowledges each usage message immediately.
struct UsageResponder;

impl PeerHandler for UsageResponder {
    fn handle(&self, _from: Arc<str>, _request: PeerRequest, reply: ReplySender) {
        let _ = reply.try_send(PeerReply::Usage(usage::Reply::Held));
    }
}

/// Returns a typical message that sends usage counts to a replica.
fn usage_message() -> usage::Message {
    let figures = (0..8).map(|number| {
        let counts = UsageFigures {
            requests: 100 + number,
            tokens: 50_000 + number,
        };
        (Arc::from(format!("organisation-{number}")), counts)
    });
    usage::Message::Hold {
        incarnation: 0x1234_5678_9abc_def0,
        sequence: 77,
        figures: figures.collect(),
    }
}

fn instance(name: &str) -> Arc<Instance> {
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = SettingsBuilder::new(name, "saiq", unused_address, unused_address).build();
    Arc::new(Instance::new(settings, 1, Arc::new(BootClock)))
}

fn bind_loopback() -> std::io::Result<(TcpListener, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}

/// A function that makes one call and returns whether the call succeeded.
type Call = Rc<dyn Fn() -> futures::future::LocalBoxFuture<'static, bool>>;

/// Makes `count` calls with the given concurrency and returns the sorted times of those that
/// succeeded.
async fn run_calls(call: &Call, concurrency: usize, count: usize) -> Vec<Duration> {
    let workers = (0..concurrency).map(|_| async {
        let mut times = Vec::with_capacity(count / concurrency);
        for _ in 0..count / concurrency {
            let start = Instant::now();
            if call().await {
                times.push(start.elapsed());
            }
        }
        times
    });
    let mut times = join_all(workers).await.concat();
    times.sort_unstable();
    times
}

async fn measure(call: Call, concurrency: usize) -> Value {
    run_calls(&call, concurrency, WARM_UP_CALLS).await;
    let start = Instant::now();
    let times = run_calls(&call, concurrency, CALLS).await;
    let calls_per_s = times.len() as f64 / start.elapsed().as_secs_f64();
    let percentile_us = |percent: usize| {
        let index = times.len().saturating_sub(1) * percent / 100;
        times.get(index).map_or(0, |time| time.as_micros() as u64)
    };
    json!({
        "at_once": concurrency,
        "calls": times.len(),
        "failed": CALLS / concurrency * concurrency - times.len(),
        "p50_us": percentile_us(50),
        "p99_us": percentile_us(99),
        "calls_per_s": calls_per_s.round(),
    })
}

fn peer_call() -> std::io::Result<Call> {
    let (listener, address) = bind_loopback()?;
    let router = PeerRouter::default().usage(Arc::new(UsageResponder));
    actix_rt::Arbiter::new().spawn(async move {
        let _ = peer::serve(instance("b"), listener, router).await;
    });
    let client = instance("a");
    let pool = PeerPool::new(client.clone());
    let (peer, address): (Arc<str>, Arc<str>) = ("b".into(), address.into());
    Ok(Rc::new(move || {
        let (pool, peer, _client) = (pool.clone(), peer.clone(), client.clone());
        let stream = pool.open(&peer, &address, PeerRequest::Usage(usage_message()));
        Box::pin(async move { stream.single(&peer).await.is_ok() })
    }))
}

async fn handle_usage(_message: Json<usage::Message>) -> HttpResponse {
    HttpResponse::Ok().json(usage::Reply::Held)
}

fn http_call() -> std::io::Result<Call> {
    let (listener, address) = bind_loopback()?;
    let server = HttpServer::new(|| App::new().route("/usage", web::post().to(handle_usage)));
    let server = server.workers(1).listen(listener)?.run();
    actix_rt::Arbiter::new().spawn(async move {
        let _ = server.await;
    });
    let client = Rc::new(awc::Client::default());
    let url = format!("http://{address}/usage");
    Ok(Rc::new(move || {
        let (client, url) = (client.clone(), url.clone());
        Box::pin(async move {
            let Ok(mut response) = client.post(url).send_json(&usage_message()).await else {
                return false;
            };
            response.json::<usage::Reply>().await.is_ok()
        })
    }))
}

async fn compare(seed: u64) -> std::io::Result<()> {
    let (peer, http) = (peer_call()?, http_call()?);
    let (mut measured, mut baseline) = (Value::Null, Value::Null);
    for concurrency in CONCURRENCY {
        output::progress("peers", &format!("{concurrency} concurrent calls"));
        measured = measure(peer.clone(), concurrency).await;
        output::line("peers", seed, json!({ "h2_bincode": measured }));
        baseline = measure(http.clone(), concurrency).await;
        output::line("peers", seed, json!({ "http1_json": baseline }));
    }
    output::summary("peers", seed, measured, baseline);
    Ok(())
}

pub(crate) fn run(seed: u64) {
    if let Err(error) = actix_rt::System::new().block_on(compare(seed)) {
        output::progress(
            "peers",
            &format!("cannot start the servers ({error}); two free loopback ports are required"),
        );
    }
}
