//! Stand-in for a caller, which looks up the addresses of the entry instances, caches them, and
//! verifies the full body of each response.

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
    Completion,
    CompletionChunk,
    CompletionRequest,
    Entries,
    Entry,
    OUTCOME_HEADER, //
};
use futures::StreamExt as _;

use crate::{
    engine::expected_text,
    faults::sleep_ms,
    service::{
        expected_value,
        Lookup,
        LookupAnswer, //
    }, //
};

/// Maximum response body that a caller reads.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Pause before a retry when the response has no `retry-after`.
const DEFAULT_RETRY_PAUSE_MS: u64 = 100;

/// Upper bound on the pause before a retry, also when the response asks for more.
const MAX_RETRY_PAUSE_MS: u64 = 2_000;

/// Outcome of one attempt from the caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The response was complete and had the expected content.
    Correct,
    /// The response was successful, but incomplete or not the answer to this request. This must
    /// never happen.
    Incorrect(String),
    /// The request was rejected with the outcome "not run", so it is safe to retry.
    NotRun {
        /// The HTTP status code.
        status: u16,
        /// The pause that `retry-after` asks for, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No connection was established, so the request did not run.
    NotConnected,
    /// The request may or may not have run; the text is the error.
    Unknown(String),
}

/// All attempts of one request. Each attempt has its own id, so that it can be compared with the
/// endpoints' records later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id and outcome of each attempt, in order. The id of a completion attempt is its prompt.
    pub attempts: Vec<(String, Attempt)>,
    /// Duration of all attempts together, in milliseconds.
    pub duration_ms: u64,
}

impl Call {
    /// Returns whether the last attempt received the complete, expected response.
    pub fn is_correct(&self) -> bool {
        matches!(self.attempts.last(), Some((_, Attempt::Correct)))
    }

    /// Returns how many attempts received an incorrect response.
    pub fn incorrect_attempts(&self) -> u64 {
        let attempts = self.attempts.iter();
        attempts
            .filter(|(_, result)| matches!(result, Attempt::Incorrect(_)))
            .count() as u64
    }

    /// Returns the ids of attempts that were rejected as "not run".
    pub fn not_run_ids(&self) -> impl Iterator<Item = &str> {
        let rejected = self.attempts.iter();
        let rejected = rejected.filter(|(_, result)| matches!(result, Attempt::NotRun { .. }));
        rejected.map(|(id, _)| id.as_str())
    }
}

/// A caller of one organisation. It is not `Send`.
pub struct CallerStandin {
    client: Client,
    key: Option<Arc<str>>,
    preferred_domain: Arc<str>,
    seeds: Vec<SocketAddr>,
    entries: Vec<Entry>,
    entries_expire_at: Option<Instant>,
    next_entry: usize,
    timeout_ms: u64,
}

impl CallerStandin {
    /// Creates a caller that prefers entries in the failure domain `preferred_domain`, finds entries
    /// through the instances in `seeds`, and authenticates with `key`, if any.
    pub fn new(
        key: Option<Arc<str>>,
        preferred_domain: impl Into<Arc<str>>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            client: client(),
            key,
            preferred_domain: preferred_domain.into(),
            seeds,
            entries: Vec::new(),
            entries_expire_at: None,
            next_entry: 0,
            timeout_ms: 20_000,
        }
    }

    /// Sets the timeout of one request including its retries, in milliseconds.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Requests a completion and compares it with the expected text.
    pub async fn complete(&mut self, service: &str, id: &str, tokens: u32, stream: bool) -> Call {
        let started = Instant::now();
        let mut attempts = Vec::new();
        loop {
            let attempt_id = format!("{id}#{}", attempts.len());
            let request = CompletionRequest {
                model: service.into(),
                prompt: format!("Condition note {attempt_id}").into(),
                max_tokens: tokens,
                stream,
                seed: attempts.len() as u64,
                ..CompletionRequest::default()
            };
            let result = self.attempt_completion(&request, started).await;
            let should_retry = self.pause_before_retry(&result, true, started).await;
            attempts.push((request.prompt.to_string(), result));
            if !should_retry {
                return finished_call(attempts, started);
            }
        }
    }

    /// Sends a lookup to a plain service. Lookups are not idempotent, so an attempt with an unknown
    /// outcome is not retried.
    pub async fn look_up(&mut self, service: &str, id: &str) -> Call {
        let started = Instant::now();
        let mut attempts = Vec::new();
        loop {
            let attempt_id = format!("{id}#{}", attempts.len());
            let result = self.attempt_lookup(service, &attempt_id, started).await;
            let should_retry = self.pause_before_retry(&result, false, started).await;
            attempts.push((attempt_id, result));
            if !should_retry {
                return finished_call(attempts, started);
            }
        }
    }

    /// Waits before a retry; returns whether the request should be retried.
    async fn pause_before_retry(
        &mut self,
        result: &Attempt,
        idempotent: bool,
        started: Instant,
    ) -> bool {
        let pause_ms = match result {
            Attempt::NotRun {
                status,
                retry_after_ms,
            } if *status >= 429 => retry_after_ms.unwrap_or(DEFAULT_RETRY_PAUSE_MS),
            Attempt::NotConnected => DEFAULT_RETRY_PAUSE_MS,
            Attempt::Unknown(_) if idempotent => DEFAULT_RETRY_PAUSE_MS,
            _ => return false,
        };
        self.next_entry += 1;
        let pause_ms = pause_ms.min(MAX_RETRY_PAUSE_MS);
        sleep_ms(pause_ms).await;
        self.remaining(started) > Duration::ZERO
    }

    fn remaining(&self, started: Instant) -> Duration {
        Duration::from_millis(self.timeout_ms).saturating_sub(started.elapsed())
    }

    /// Returns the entry address for the next request, after refreshing an expired list.
    async fn next_address(&mut self) -> Option<Arc<str>> {
        let fresh = self
            .entries_expire_at
            .is_some_and(|expires_at| Instant::now() < expires_at);
        if !fresh || self.entries.is_empty() {
            self.refresh_entries().await;
        }
        if self.entries.is_empty() {
            return None;
        }
        let entry = &self.entries[self.next_entry % self.entries.len()];
        Some(entry.address.clone())
    }

    async fn refresh_entries(&mut self) {
        let cached = self.entries.iter().map(|entry| entry.address.to_string());
        let seeds = self.seeds.iter().map(ToString::to_string);
        let addresses: Vec<String> = cached.chain(seeds).collect();
        for address in addresses {
            let url = format!("http://{address}/v1/entries?near={}", self.preferred_domain);
            let request = self.client.get(url).timeout(Duration::from_secs(2));
            let Ok(mut response) = request.send().await else {
                continue;
            };
            let Ok(list) = response.json::<Entries>().await else {
                continue;
            };
            if !list.entries.is_empty() {
                self.entries = list.entries;
                self.entries_expire_at = Some(Instant::now() + Duration::from_millis(list.ttl_ms));
                return;
            }
        }
    }

    fn post(&self, address: &str, path: &str, remaining: Duration) -> ClientRequest {
        let url = format!("http://{address}{path}");
        let request = self.client.post(url).timeout(remaining);
        let remaining_ms = remaining.as_millis().to_string();
        let request = request.insert_header(("flamingoscale-timeout-ms", remaining_ms));
        match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    async fn attempt_completion(&mut self, body: &CompletionRequest, started: Instant) -> Attempt {
        let Some(address) = self.next_address().await else {
            return Attempt::NotConnected;
        };
        let request = self.post(&address, "/v1/completions", self.remaining(started));
        let mut response = match request.send_json(body).await {
            Ok(response) => response,
            Err(error) => return classify_send_error(&error),
        };
        if response.status() != StatusCode::OK {
            return classify_refusal(&response);
        }
        if body.stream {
            return self.read_stream(response, body, started).await;
        }
        let read = response.json::<Completion>().limit(MAX_BODY_BYTES);
        match actix_rt::time::timeout(self.remaining(started), read).await {
            Ok(Ok(completion)) => check_text(body, &completion.text, completion.tokens),
            Ok(Err(error)) => Attempt::Unknown(error.to_string()),
            Err(_) => Attempt::Unknown("no response within the timeout".to_owned()),
        }
    }

    async fn read_stream<S>(
        &self,
        mut response: awc::ClientResponse<S>,
        body: &CompletionRequest,
        started: Instant,
    ) -> Attempt
    where
        S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut events = EventParser::default();
        loop {
            let next = actix_rt::time::timeout(self.remaining(started), response.next()).await;
            match next {
                Ok(Some(Ok(bytes))) => events.push(&bytes),
                Ok(Some(Err(error))) => return Attempt::Unknown(error.to_string()),
                Ok(None) => break,
                Err(_) => return Attempt::Unknown("no response within the timeout".to_owned()),
            }
        }
        if !events.done {
            return Attempt::Unknown(format!("stream ended early: {}", events.error));
        }
        check_text(body, &events.text, events.tokens)
    }

    async fn attempt_lookup(&mut self, service: &str, id: &str, started: Instant) -> Attempt {
        let Some(address) = self.next_address().await else {
            return Attempt::NotConnected;
        };
        let path = format!("/s/{service}/lookup");
        let request = self.post(&address, &path, self.remaining(started));
        let body = Lookup { id: id.to_owned() };
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) => return classify_send_error(&error),
        };
        if response.status() != StatusCode::OK {
            return classify_refusal(&response);
        }
        match actix_rt::time::timeout(self.remaining(started), response.json::<LookupAnswer>())
            .await
        {
            Ok(Ok(answer)) if answer.id == id && answer.value == expected_value(id) => {
                Attempt::Correct
            }
            Ok(Ok(answer)) => Attempt::Incorrect(format!("got {answer:?} for lookup {id}")),
            Ok(Err(error)) => Attempt::Unknown(error.to_string()),
            Err(_) => Attempt::Unknown("no response within the timeout".to_owned()),
        }
    }
}

/// Creates a client with its own connection pool.
pub(crate) fn client() -> Client {
    Client::builder().disable_redirects().finish()
}

fn finished_call(attempts: Vec<(String, Attempt)>, started: Instant) -> Call {
    Call {
        attempts,
        duration_ms: started.elapsed().as_millis() as u64,
    }
}

/// Classifies a send error by whether the request may have run.
fn classify_send_error(error: &awc::error::SendRequestError) -> Attempt {
    match error {
        // The server closed the connection, possibly after it received the request.
        awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
            Attempt::Unknown("connection closed by the server".into())
        }
        awc::error::SendRequestError::Connect(_) => Attempt::NotConnected,
        other => Attempt::Unknown(other.to_string()),
    }
}

/// Classifies a response other than 200 by whether the request may have run.
fn classify_refusal<S>(response: &awc::ClientResponse<S>) -> Attempt {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let status = response.status().as_u16();
    if header(OUTCOME_HEADER) != Some("not-run") {
        return Attempt::Unknown(format!("status {status}"));
    }
    let retry_after_s: Option<u64> = header("retry-after").and_then(|value| value.parse().ok());
    Attempt::NotRun {
        status,
        retry_after_ms: retry_after_s.map(|seconds| seconds * 1_000),
    }
}

fn check_text(body: &CompletionRequest, text: &str, tokens: u32) -> Attempt {
    let expected = expected_text(&body.prompt, body.seed, body.max_tokens);
    if text == expected && tokens == body.max_tokens {
        return Attempt::Correct;
    }
    let prompt = &body.prompt;
    Attempt::Incorrect(format!("got {tokens} tokens for prompt {prompt}: {text}"))
}

/// Parses server-sent events of a completion stream.
#[derive(Default)]
struct EventParser {
    buffer: Vec<u8>,
    text: String,
    tokens: u32,
    error: String,
    done: bool,
}

impl EventParser {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            if let Some(data) = event.trim().strip_prefix("data:") {
                self.handle_event(data.trim());
            }
        }
    }

    fn handle_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        match serde_json::from_str::<CompletionChunk>(data) {
            Ok(chunk) => {
                self.text.push_str(&chunk.text);
                self.tokens += chunk.tokens;
            }
            Err(_) => self.error = data.to_owned(),
        }
    }
}
