//! Runs one attempt: sends the request to an engine and receives its events until it ends.

use std::{
    rc::Rc,
    time::Duration, //
};

use actix_rt::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    dispatch::{
        Class,
        Summary,
        Work,
        WorkBody,
        WorkEvent,
        WorkStream, //
    },
    outcome::{
        NotRun,
        Outcome, //
    },
    rollout::{
        core::{
            AttemptEnd,
            AttemptSpec,
            Generated, //
        },
        driver::Driver, //
    },
    wire::{
        CompletionChunk,
        CompletionRequest,
        VersionSpan, //
    }, //
};

/// Engine priority of rollouts. Lower numbers run first, so rollouts run after interactive
/// requests.
const ROLLOUT_PRIORITY: u8 = 128;

/// Timeout of an attempt, including the time it is queued for an engine.
const ATTEMPT_TIMEOUT_MS: u64 = 600_000;

/// Maximum time without an event once an engine has accepted an attempt; after it, the attempt
/// fails.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Minimum interval between two progress reports to the core.
const PROGRESS_INTERVAL_MS: u64 = 200;

/// Retry delay while this instance has no dispatcher yet, and after a refusal that states no delay.
const DEFAULT_RETRY_DELAY_MS: u64 = 500;

/// Runs one attempt and reports its result to the core.
pub(crate) async fn run(driver: Rc<Driver>, spec: AttemptSpec) {
    let key = spec.key;
    let end = generate(&driver, &spec).await;
    driver.attempt_finished(key);
    driver.with_core(|core, now_ms| core.ended(key, end, now_ms));
}

async fn generate(driver: &Rc<Driver>, spec: &AttemptSpec) -> AttemptEnd {
    let Some(work) = build_work(driver, spec) else {
        return AttemptEnd::Refused {
            retry_after_ms: DEFAULT_RETRY_DELAY_MS,
        };
    };
    let Some(dispatch) = driver.instance().dispatch() else {
        return AttemptEnd::Refused {
            retry_after_ms: DEFAULT_RETRY_DELAY_MS,
        };
    };
    let stream = dispatch.start(work);
    receive_events(driver, spec, stream).await
}

fn build_work(driver: &Rc<Driver>, spec: &AttemptSpec) -> Option<Work> {
    let view = driver.instance().view.load();
    let trainer = view.configuration.trainer(&spec.trainer)?;
    let request = CompletionRequest {
        model: trainer.service.clone(),
        prompt: spec.contents.prompts.get(spec.group as usize)?.clone(),
        max_tokens: spec.contents.max_tokens,
        stream: true,
        seed: sample_seed(spec),
        priority: ROLLOUT_PRIORITY,
        resume: None,
    };
    Some(Work {
        request_id: driver.instance().new_request_id(),
        organisation: trainer.organisation.clone(),
        key_id: None,
        service: trainer.service.clone(),
        class: Class::Rollout {
            trainer: spec.trainer.clone(),
        },
        body: WorkBody::Completion(request),
        budget_ms: ATTEMPT_TIMEOUT_MS,
        idempotent: true,
        avoid: spec.avoid.clone(),
        oldest_version: spec.oldest_version,
        exclusive: false,
    })
}

/// All attempts at a sample use the same seed. With different seeds, the first to finish would tend
/// to be the shortest, which biases the samples.
fn sample_seed(spec: &AttemptSpec) -> u64 {
    let step = spec.contents.step;
    let identity = format!("{}/{step}/{}/{}", spec.trainer, spec.group, spec.index);
    xxh3_64(identity.as_bytes())
}

async fn receive_events(
    driver: &Rc<Driver>,
    spec: &AttemptSpec,
    mut stream: WorkStream,
) -> AttemptEnd {
    let mut received = Received::default();
    let mut wait_ms = ATTEMPT_TIMEOUT_MS;
    let mut last_report_ms = driver.instance().now_ms();
    loop {
        let event = match timeout(Duration::from_millis(wait_ms), stream.next()).await {
            Ok(Some(event)) => event,
            _ => return AttemptEnd::Failed,
        };
        match event {
            WorkEvent::Started { endpoint } => {
                wait_ms = IDLE_TIMEOUT_MS;
                driver.with_core(|core, now_ms| core.started(spec.key, endpoint, now_ms));
            }
            WorkEvent::Chunk(chunk) => {
                received.add(chunk);
                let now_ms = driver.instance().now_ms();
                if now_ms >= last_report_ms + PROGRESS_INTERVAL_MS {
                    last_report_ms = now_ms;
                    let tokens = received.tokens;
                    driver.with_core(|core, now_ms| core.progressed(spec.key, tokens, now_ms));
                }
            }
            WorkEvent::Done(outcome) => return received.into_end(outcome),
            // Ignores keep-alives and events that occur only in plain calls.
            _ => {}
        }
    }
}

/// The part of a generation that has been received so far.
#[derive(Debug, Default)]
struct Received {
    text: String,
    tokens: u32,
    /// Versions reported by the engine, up to the first chunk without a version.
    versions: Vec<VersionSpan>,
    /// Whether every chunk with tokens carried a version; `None` before the first such chunk.
    all_reported: Option<bool>,
}

impl Received {
    fn add(&mut self, chunk: CompletionChunk) {
        self.text.push_str(&chunk.text);
        self.tokens += chunk.tokens;
        if chunk.tokens == 0 {
            return;
        }
        let reported = chunk.version.is_some() && self.all_reported != Some(false);
        self.all_reported = Some(reported);
        if let Some(version) = chunk.version.filter(|_| reported) {
            push_span(&mut self.versions, version, chunk.tokens);
        }
    }

    fn into_end(self, outcome: Outcome<Summary>) -> AttemptEnd {
        match outcome {
            Outcome::Ran(summary) => self.finish(&summary),
            Outcome::NotRun(NotRun { retry_after_ms, .. }) => AttemptEnd::Refused {
                retry_after_ms: retry_after_ms.unwrap_or(DEFAULT_RETRY_DELAY_MS),
            },
            Outcome::Unknown(_) => AttemptEnd::Failed,
        }
    }

    /// Ends a generation. The versions determined by the endpoint's home are used, with one
    /// exception: if the engine reported a version with every chunk and these versions contradict
    /// the home's, the versions are unknown.
    fn finish(self, summary: &Summary) -> AttemptEnd {
        let complete = summary.tokens == self.tokens && &*summary.finish_reason != "cancelled";
        if !complete {
            return AttemptEnd::Failed;
        }
        let reported = self.all_reported == Some(true);
        let contradicts_home = reported && merge_spans(&summary.versions) != self.versions;
        let versions = if contradicts_home {
            Vec::new()
        } else {
            summary.versions.clone()
        };
        AttemptEnd::Generated(Generated {
            text: self.text,
            tokens: self.tokens,
            versions,
        })
    }
}

fn push_span(spans: &mut Vec<VersionSpan>, version: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(VersionSpan { version, tokens }),
    }
}

/// Merges adjacent spans of the same version.
fn merge_spans(spans: &[VersionSpan]) -> Vec<VersionSpan> {
    let mut merged = Vec::new();
    for span in spans {
        push_span(&mut merged, span.version, span.tokens);
    }
    merged
}
