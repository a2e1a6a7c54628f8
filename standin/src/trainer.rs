//! Stand-in for a trainer, which publishes versions, opens steps, fetches batches and verifies
//! every sample.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::{
    http::StatusCode,
    Client,
    ClientRequest, //
};
use flamingoscale::wire::{
    Batch,
    Entries,
    OpenStep,
    PublishVersion,
    Sample, //
};

use crate::{
    caller::client,
    engine::{
        expected_text,
        EngineStandin, //
    },
    faults::sleep_ms,
    weight_store::PutVersion, //
};

/// Maximum size of a batch that a trainer reads.
const MAX_BATCH_BYTES: usize = 64 << 20;

/// Long-poll duration of one fetch.
const FETCH_LONG_POLL_MS: u64 = 1_000;

/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a request for the list of entries.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a retry.
const RETRY_PAUSE_MS: u64 = 100;

/// Result of verifying batches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchCheck {
    /// Samples that were requested.
    pub expected: u64,
    /// Distinct samples that were delivered.
    pub delivered: u64,
    /// Samples that were delivered more than once or never requested.
    pub duplicates: u64,
    /// Samples that exceeded the staleness bound when the batch closed.
    pub stale: u64,
    /// Samples whose weight versions differ from the engines' records.
    pub versions_wrong: u64,
    /// Samples whose text has no seed or is not the expected text for their prompt and seed.
    pub texts_wrong: u64,
}

impl BatchCheck {
    /// Adds the counts of another batch.
    pub fn add(&mut self, other: Self) {
        self.expected += other.expected;
        self.delivered += other.delivered;
        self.duplicates += other.duplicates;
        self.stale += other.stale;
        self.versions_wrong += other.versions_wrong;
        self.texts_wrong += other.texts_wrong;
    }
}

/// A trainer of one organisation. It is not `Send`.
pub struct TrainerStandin {
    client: Client,
    trainer: Arc<str>,
    key: Arc<str>,
    entries: Vec<SocketAddr>,
    next_entry: usize,
}

impl TrainerStandin {
    /// Creates a trainer that sends its requests to `entries` in round-robin order.
    pub fn new(trainer: impl Into<Arc<str>>, key: Arc<str>, entries: Vec<SocketAddr>) -> Self {
        Self {
            client: client(),
            trainer: trainer.into(),
            key,
            entries,
            next_entry: 0,
        }
    }

    /// Uploads a version to the weight store and publishes it.
    ///
    /// # Errors
    ///
    /// Returns the last error if the request did not succeed within `timeout`.
    pub async fn publish(
        &mut self,
        store: SocketAddr,
        body: PublishVersion,
        timeout: Duration,
    ) -> Result<(), String> {
        let (trainer, version) = (&self.trainer, body.version);
        let url = format!("http://{store}/trainers/{trainer}/versions/{version}");
        let upload = PutVersion { bytes: body.bytes };
        let started = Instant::now();
        loop {
            let result = self.client.put(&url).send_json(&upload).await;
            if result.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            if started.elapsed() > timeout {
                return Err(format!(
                    "{url}: the store did not accept the version within the timeout"
                ));
            }
            sleep_ms(RETRY_PAUSE_MS).await;
        }
        self.post_until_accepted("versions", &body, timeout).await
    }

    /// Opens a step, with retries until the request is accepted.
    ///
    /// # Errors
    ///
    /// Returns the last error if the request did not succeed within `timeout`.
    pub async fn open(&mut self, step: &OpenStep, timeout: Duration) -> Result<(), String> {
        self.post_until_accepted("steps", step, timeout).await
    }

    /// Fetches the batch of a step from any entry, with retries until the batch is complete.
    ///
    /// # Errors
    ///
    /// Returns the last error if the request did not succeed within `timeout`.
    pub async fn fetch(&mut self, step: u64, timeout: Duration) -> Result<Batch, String> {
        let started = Instant::now();
        let mut last_error = String::new();
        while started.elapsed() < timeout {
            let path = format!("steps/{step}?wait_ms={FETCH_LONG_POLL_MS}");
            let url = self.next_url(&path);
            match self.fetch_once(&url).await {
                Ok(batch) if batch.complete => return Ok(batch),
                Ok(batch) => {
                    last_error = format!("{} of {} samples", batch.finished, batch.expected)
                }
                Err(error) => {
                    last_error = error;
                    self.refresh_entries().await;
                    sleep_ms(RETRY_PAUSE_MS).await;
                }
            }
        }
        Err(format!("step {step}: {last_error}"))
    }

    /// Refreshes the list of entries from the first instance that answers.
    async fn refresh_entries(&mut self) {
        for address in self.entries.clone() {
            let url = format!("http://{address}/v1/entries");
            let result = self.client.get(url).timeout(ENTRIES_TIMEOUT).send().await;
            let Ok(mut response) = result else {
                continue;
            };
            let Ok(received) = response.json::<Entries>().await else {
                continue;
            };
            let received = received.entries.iter();
            let received: Vec<SocketAddr> = received
                .filter_map(|entry| entry.address.parse().ok())
                .collect();
            if !received.is_empty() {
                self.entries = received;
                return;
            }
        }
    }

    /// Acknowledges that the trainer has stored the batch durably.
    ///
    /// # Errors
    ///
    /// Returns the last error if the request did not succeed within `timeout`.
    pub async fn acknowledge(&mut self, step: u64, timeout: Duration) -> Result<(), String> {
        let path = format!("steps/{step}/ack");
        self.post_until_accepted(&path, &(), timeout).await
    }

    async fn fetch_once(&self, url: &str) -> Result<Batch, String> {
        let request = self.with_key(self.client.get(url));
        let result = request.send().await;
        let mut response = result.map_err(|error| format!("{url}: {error}"))?;
        if response.status() != StatusCode::OK {
            return Err(format!("{url}: status {}", response.status()));
        }
        let body = response.json::<Batch>().limit(MAX_BATCH_BYTES);
        body.await.map_err(|error| error.to_string())
    }

    async fn post_until_accepted(
        &mut self,
        path: &str,
        body: &impl serde::Serialize,
        timeout: Duration,
    ) -> Result<(), String> {
        let started = Instant::now();
        let mut last_error = String::new();
        while started.elapsed() < timeout {
            let url = self.next_url(path);
            let request = self.with_key(self.client.post(&url));
            match request.send_json(body).await {
                Ok(response) if response.status().is_success() => return Ok(()),
                Ok(mut response) => {
                    let text = response.body().await.unwrap_or_default();
                    let text = String::from_utf8_lossy(&text);
                    last_error = format!("{url}: status {} {text}", response.status());
                }
                Err(error) => {
                    last_error = format!("{url}: {error}");
                    self.refresh_entries().await;
                }
            }
            sleep_ms(RETRY_PAUSE_MS).await;
        }
        Err(last_error)
    }

    fn with_key(&self, request: ClientRequest) -> ClientRequest {
        request.timeout(REQUEST_TIMEOUT).bearer_auth(&self.key)
    }

    fn next_url(&mut self, path: &str) -> String {
        let entry = self.entries[self.next_entry % self.entries.len()];
        self.next_entry += 1;
        format!("http://{entry}/v1/trainers/{}/{path}", self.trainer)
    }
}

/// Verifies a batch against the step and the engines' records.
pub fn check_batch(step: &OpenStep, batch: &Batch, engines: &[Arc<EngineStandin>]) -> BatchCheck {
    let runs: Vec<_> = engines.iter().flat_map(|engine| engine.runs()).collect();
    let expected = step.prompts.len() as u64 * u64::from(step.samples_per_group);
    let mut distinct = std::collections::BTreeSet::new();
    let mut check = BatchCheck {
        expected,
        ..BatchCheck::default()
    };
    for sample in &batch.samples {
        let was_requested =
            (sample.group as usize) < step.prompts.len() && sample.index < step.samples_per_group;
        if !was_requested || !distinct.insert((sample.group, sample.index)) {
            check.duplicates += 1;
            continue;
        }
        let prompt = &step.prompts[sample.group as usize];
        let seed = seed_of(sample);
        let text = seed.map(|seed| expected_text(prompt, seed, sample.tokens));
        check.texts_wrong += u64::from(text.as_ref() != Some(&sample.text));
        let matches_run = runs.iter().any(|run| {
            let same_request = run.prompt == *prompt && Some(run.seed) == seed;
            same_request && run.spans == sample.versions
        });
        check.versions_wrong += u64::from(!matches_run);
        check.stale += u64::from(is_stale(sample, batch.newest_version, step.staleness_bound));
    }
    check.delivered = distinct.len() as u64;
    check
}

/// Parses the seed from the first word of a sample.
fn seed_of(sample: &Sample) -> Option<u64> {
    let first = sample.text.split(' ').next()?;
    u64::from_str_radix(first.strip_prefix('s')?, 16).ok()
}

/// Returns whether any token of the sample exceeds the staleness bound. A sample without versions
/// counts as stale.
fn is_stale(sample: &Sample, newest: u64, bound: u64) -> bool {
    let oldest = sample.versions.iter().map(|span| span.version).min();
    oldest.is_none_or(|oldest| oldest + bound < newest)
}
