//! Load from many connections, with the time of each request.

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

/// Threads that send.
const SENDER_THREADS: usize = 2;

/// Longest time of one request that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// One kind of request.
#[derive(Clone)]
pub(crate) struct Target {
    /// Where it goes.
    pub(crate) url: Arc<str>,
    /// The key that it shows; empty for none.
    pub(crate) key: Arc<str>,
}

/// What came of a load.
pub(crate) struct LoadResult {
    /// Times in microseconds of requests that were answered with 200.
    pub(crate) latencies_us: Histogram<u64>,
    /// Requests that were not.
    pub(crate) failed: u64,
    /// Answered requests a second.
    pub(crate) requests_per_s: f64,
}

impl LoadResult {
    /// A quantile in microseconds.
    pub(crate) fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies_us.value_at_quantile(quantile)
    }
}

/// Sends the same small request over `connections` connections for a while, each as soon as the
/// one before is answered.
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
        .map_or_else(|_| new_histogram(), |t| t.clone());
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

/// An empty histogram of microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap_or_else(|_| {
        // Three digits up to a minute are within what a histogram can hold.
        unreachable!("the bounds are constants")
    })
}
