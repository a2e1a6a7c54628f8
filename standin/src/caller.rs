//! A caller: asks which address to use, caches the answer, and checks each answer whole.

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

/// Longest body that a caller reads.
const BODY_LIMIT_BYTES: usize = 8 << 20;

/// Pause before another try where the answer names none.
const RETRY_PAUSE_MS: u64 = 100;

/// Longest pause before another try.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// What became of one try, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Try {
    /// The whole answer to the request, as expected.
    Whole,
    /// An answer that is not the whole answer to this request: what must never happen.
    Wrong(String),
    /// A refusal that says "not run", with the status and the pause that it asks for.
    NotRun {
        /// The HTTP status.
        status: u16,
        /// The pause in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No connection was made, so nothing ran.
    NotConnected,
    /// It may have run.
    Unknown(String),
}

/// Every try of one request. Each try has an id of its own, by which it is judged later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id and fate of each try, in order.
    pub tries: Vec<(String, Try)>,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

impl Call {
    /// Whether the last try gave the whole answer.
    pub fn is_whole(&self) -> bool {
        matches!(self.tries.last(), Some((_, Try::Whole)))
    }

    /// Tries with a wrong answer.
    pub fn wrong(&self) -> u64 {
        let wrong = self.tries.iter();
        wrong
            .filter(|(_, fate)| matches!(fate, Try::Wrong(_)))
            .count() as u64
    }

    /// Ids of tries that the system said did not run.
    pub fn not_run(&self) -> impl Iterator<Item = &str> {
        let refused = self.tries.iter();
        let refused = refused.filter(|(_, fate)| matches!(fate, Try::NotRun { .. }));
        refused.map(|(id, _)| id.as_str())
    }
}

/// A caller of one organisation. It lives on one thread.
pub struct CallerStandin {
    client: Client,
    key: Option<Arc<str>>,
    near: Arc<str>,
    seeds: Vec<SocketAddr>,
    entries: Vec<Entry>,
    kept_until: Option<Instant>,
    next_entry: usize,
    timeout_ms: u64,
}

impl CallerStandin {
    /// A caller near a failure domain that knows some instances and shows `key`, if any.
    pub fn new(key: Option<Arc<str>>, near: impl Into<Arc<str>>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            client: client(),
            key,
            near: near.into(),
            seeds,
            entries: Vec::new(),
            kept_until: None,
            next_entry: 0,
            timeout_ms: 20_000,
        }
    }

    /// Sets how long one request may take with all its tries, in milliseconds.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Asks for a completion and checks it word by word.
    pub async fn complete(&mut self, service: &str, id: &str, tokens: u32, stream: bool) -> Call {
        let started = Instant::now();
        let mut tries = Vec::new();
        loop {
            let try_id = format!("{id}#{}", tries.len());
            let request = CompletionRequest {
                model: service.into(),
                prompt: format!("Condition note {try_id}").into(),
                max_tokens: tokens,
                stream,
                seed: tries.len() as u64,
                ..CompletionRequest::default()
            };
            let fate = self.try_completion(&request, started).await;
            let again = self.pause_after(&fate, true, started).await;
            tries.push((request.prompt.to_string(), fate));
            if !again {
                return ended(tries, started);
            }
        }
    }

    /// Calls a plain service whose calls may not be repeated.
    pub async fn look_up(&mut self, service: &str, id: &str) -> Call {
        let started = Instant::now();
        let mut tries = Vec::new();
        loop {
            let try_id = format!("{id}#{}", tries.len());
            let fate = self.try_lookup(service, &try_id, started).await;
            let again = self.pause_after(&fate, false, started).await;
            tries.push((try_id, fate));
            if !again {
                return ended(tries, started);
            }
        }
    }

    /// Waits before another try; returns whether one makes sense.
    async fn pause_after(&mut self, fate: &Try, repeatable: bool, started: Instant) -> bool {
        let pause_ms = match fate {
            Try::NotRun {
                status,
                retry_after_ms,
            } if *status >= 429 => retry_after_ms.unwrap_or(RETRY_PAUSE_MS),
            Try::NotConnected => RETRY_PAUSE_MS,
            Try::Unknown(_) if repeatable => RETRY_PAUSE_MS,
            _ => return false,
        };
        self.next_entry += 1;
        let pause_ms = pause_ms.min(LONGEST_PAUSE_MS);
        sleep_ms(pause_ms).await;
        self.left(started) > Duration::ZERO
    }

    fn left(&self, started: Instant) -> Duration {
        Duration::from_millis(self.timeout_ms).saturating_sub(started.elapsed())
    }

    /// The address to use now.
    async fn entry(&mut self) -> Option<Arc<str>> {
        let kept = self.kept_until.is_some_and(|until| Instant::now() < until);
        if !kept || self.entries.is_empty() {
            self.ask_entries().await;
        }
        if self.entries.is_empty() {
            return None;
        }
        let entry = &self.entries[self.next_entry % self.entries.len()];
        Some(entry.address.clone())
    }

    async fn ask_entries(&mut self) {
        let known = self.entries.iter().map(|entry| entry.address.to_string());
        let seeds = self.seeds.iter().map(ToString::to_string);
        let addresses: Vec<String> = known.chain(seeds).collect();
        for address in addresses {
            let url = format!("http://{address}/v1/entries?near={}", self.near);
            let request = self.client.get(url).timeout(Duration::from_secs(2));
            let Ok(mut response) = request.send().await else {
                continue;
            };
            let Ok(found) = response.json::<Entries>().await else {
                continue;
            };
            if !found.entries.is_empty() {
                self.entries = found.entries;
                self.kept_until = Some(Instant::now() + Duration::from_millis(found.ttl_ms));
                return;
            }
        }
    }

    fn post(&self, address: &str, path: &str, left: Duration) -> ClientRequest {
        let url = format!("http://{address}{path}");
        let request = self.client.post(url).timeout(left);
        let left_ms = left.as_millis().to_string();
        let request = request.insert_header(("flamingoscale-timeout-ms", left_ms));
        match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    async fn try_completion(&mut self, body: &CompletionRequest, started: Instant) -> Try {
        let Some(address) = self.entry().await else {
            return Try::NotConnected;
        };
        let request = self.post(&address, "/v1/completions", self.left(started));
        let mut response = match request.send_json(body).await {
            Ok(response) => response,
            Err(error) => return lost(&error),
        };
        if response.status() != StatusCode::OK {
            return refused(&response);
        }
        if body.stream {
            return self.read_stream(response, body, started).await;
        }
        let read = response.json::<Completion>().limit(BODY_LIMIT_BYTES);
        match actix_rt::time::timeout(self.left(started), read).await {
            Ok(Ok(completion)) => check_text(body, &completion.text, completion.tokens),
            Ok(Err(error)) => Try::Unknown(error.to_string()),
            Err(_) => Try::Unknown("no answer in time".to_owned()),
        }
    }

    async fn read_stream<S>(
        &self,
        mut response: awc::ClientResponse<S>,
        body: &CompletionRequest,
        started: Instant,
    ) -> Try
    where
        S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut events = Events::default();
        loop {
            let next = actix_rt::time::timeout(self.left(started), response.next()).await;
            match next {
                Ok(Some(Ok(bytes))) => events.take(&bytes),
                Ok(Some(Err(error))) => return Try::Unknown(error.to_string()),
                Ok(None) => break,
                Err(_) => return Try::Unknown("no answer in time".to_owned()),
            }
        }
        if !events.done {
            return Try::Unknown(format!("the stream broke off: {}", events.error));
        }
        check_text(body, &events.text, events.tokens)
    }

    async fn try_lookup(&mut self, service: &str, id: &str, started: Instant) -> Try {
        let Some(address) = self.entry().await else {
            return Try::NotConnected;
        };
        let path = format!("/s/{service}/lookup");
        let request = self.post(&address, &path, self.left(started));
        let body = Lookup { id: id.to_owned() };
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) => return lost(&error),
        };
        if response.status() != StatusCode::OK {
            return refused(&response);
        }
        match actix_rt::time::timeout(self.left(started), response.json::<LookupAnswer>()).await {
            Ok(Ok(answer)) if answer.id == id && answer.value == expected_value(id) => Try::Whole,
            Ok(Ok(answer)) => Try::Wrong(format!("{answer:?} for {id}")),
            Ok(Err(error)) => Try::Unknown(error.to_string()),
            Err(_) => Try::Unknown("no answer in time".to_owned()),
        }
    }
}

/// A client with new connections for each caller.
pub(crate) fn client() -> Client {
    Client::builder().disable_redirects().finish()
}

fn ended(tries: Vec<(String, Try)>, started: Instant) -> Call {
    Call {
        tries,
        took_ms: started.elapsed().as_millis() as u64,
    }
}

/// What a failed exchange says of the request.
fn lost(error: &awc::error::SendRequestError) -> Try {
    match error {
        // The other end closed the connection, perhaps after it took the request.
        awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
            Try::Unknown("the connection was closed".into())
        }
        awc::error::SendRequestError::Connect(_) => Try::NotConnected,
        other => Try::Unknown(other.to_string()),
    }
}

/// What an answer other than 200 says of the request.
fn refused<S>(response: &awc::ClientResponse<S>) -> Try {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let status = response.status().as_u16();
    if header(OUTCOME_HEADER) != Some("not-run") {
        return Try::Unknown(format!("status {status}"));
    }
    let retry_after_s: Option<u64> = header("retry-after").and_then(|value| value.parse().ok());
    Try::NotRun {
        status,
        retry_after_ms: retry_after_s.map(|seconds| seconds * 1_000),
    }
}

fn check_text(body: &CompletionRequest, text: &str, tokens: u32) -> Try {
    let expected = expected_text(&body.prompt, body.seed, body.max_tokens);
    if text == expected && tokens == body.max_tokens {
        return Try::Whole;
    }
    let prompt = &body.prompt;
    Try::Wrong(format!("{tokens} tokens for {prompt}: {text}"))
}

/// Reads server-sent events.
#[derive(Default)]
struct Events {
    buffer: Vec<u8>,
    text: String,
    tokens: u32,
    error: String,
    done: bool,
}

impl Events {
    fn take(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            if let Some(data) = event.trim().strip_prefix("data:") {
                self.event(data.trim());
            }
        }
    }

    fn event(&mut self, data: &str) {
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
