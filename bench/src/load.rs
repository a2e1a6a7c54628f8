//! A closed-loop load generator that measures the latency of each request.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use hdrhistogram::Histogram;

/// Number of threads that send requests.
const SENDER_THREADS: usize = 2;

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The URL and key of the requests that a load sends.
#[derive(Clone)]
pub(crate) struct Target {
    /// URL that requests are sent to.
    pub(crate) url: Arc<str>,
    /// Key that is sent as bearer token, or empty to send no token.
    pub(crate) key: Arc<str>,
}

/// Latencies, failures and throughput of a load.
pub(crate) struct LoadResult {
    /// Latencies in microseconds of the requests that were answered with a success status, normally
    /// 200.
    pub(crate) latencies_us: Histogram<u64>,
    /// Number of requests that failed or were answered with an error status.
    pub(crate) failed: u64,
    /// Successful requests per second.
    pub(crate) requests_per_s: f64,
}

impl LoadResult {
    /// Returns a quantile of the latencies, in microseconds.
    pub(crate) fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies_us.value_at_quantile(quantile)
    }
}

/// Sends small requests over `connections` connections for `duration`. Each connection has one
/// request in flight and sends the next as soon as the previous one is answered.
pub(crate) fn closed_loop(target: &Target, connections: usize, duration: Duration) -> LoadResult {
    let latencies = Arc::new(Mutex::new(new_histogram()));
    let failed = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let threads: Vec<_> = (0..SENDER_THREADS)
        .map(|thread| {
            let thread_connections =
                connections / SENDER_THREADS + usize::from(thread < connections % SENDER_THREADS);
            let (target, latencies, failed) = (target.clone(), latencies.clone(), failed.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async {
                    let clients = (0..thread_connections)
                        .map(|_| run_connection(&target, started, duration, &failed));
                    for histogram in futures::future::join_all(clients).await {
                        if let Ok(mut latencies) = latencies.lock() {
                            let _ = latencies.add(histogram);
                        }
                    }
                });
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let latencies_us = latencies
        .lock()
        .map_or_else(|_| new_histogram(), |latencies| latencies.clone());
    LoadResult {
        requests_per_s: latencies_us.len() as f64 / elapsed_s,
        latencies_us,
        failed: failed.load(Ordering::Relaxed),
    }
}

async fn run_connection(
    target: &Target,
    started: Instant,
    duration: Duration,
    failed: &AtomicU64,
) -> Histogram<u64> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let mut latencies = new_histogram();
    while started.elapsed() < duration {
        let sent_at = Instant::now();
        let mut request = client.post(&*target.url);
        if !target.key.is_empty() {
            request = request.insert_header(("authorization", format!("Bearer {}", target.key)));
        }
        let succeeded = match request.send_body("{\"id\":\"e4\"}").await {
            Ok(mut response) => response.body().await.is_ok() && response.status().is_success(),
            Err(_) => false,
        };
        if succeeded {
            latencies.saturating_record(sent_at.elapsed().as_micros() as u64);
        } else {
            failed.fetch_add(1, Ordering::Relaxed);
        }
    }
    latencies
}

/// Returns an empty latency histogram in microseconds, up to `MAX_LATENCY_US`.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap_or_else(|_| {
        // Three significant digits up to one minute are within the limits of the histogram.
        unreachable!("the bounds are constants")
    })
}
