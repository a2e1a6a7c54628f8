//! One try: a piece of work from its start to its end.

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

/// Rollouts run behind interactive requests, whose priority is lower in number.
const ROLLOUT_PRIORITY: u8 = 128;

/// Longest that one try may take, its wait for an engine included.
const ATTEMPT_TIMEOUT_MS: u64 = 600_000;

/// A try that shows nothing for this long is given up.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Least time between two reports of progress.
const PROGRESS_INTERVAL_MS: u64 = 200;

/// Wait where there is no way to engines yet.
const NO_DISPATCHER_RETRY_MS: u64 = 500;

/// Runs one try and tells the core how it ended.
pub(crate) async fn run(driver: Rc<Driver>, spec: AttemptSpec) {
    let key = spec.key;
    let ended = generate(&driver, &spec).await;
    driver.attempt_finished(key);
    driver.event(|core, now_ms| core.ended(key, ended, now_ms));
}

async fn generate(driver: &Rc<Driver>, spec: &AttemptSpec) -> AttemptEnd {
    let Some(work) = work(driver, spec) else {
        return AttemptEnd::Refused {
            retry_after_ms: NO_DISPATCHER_RETRY_MS,
        };
    };
    let Some(dispatch) = driver.instance().dispatch() else {
        return AttemptEnd::Refused {
            retry_after_ms: NO_DISPATCHER_RETRY_MS,
        };
    };
    let stream = dispatch.start(work);
    follow(driver, spec, stream).await
}

fn work(driver: &Rc<Driver>, spec: &AttemptSpec) -> Option<Work> {
    let view = driver.instance().view.load();
    let trainer = view.configuration.trainer(&spec.trainer)?;
    let request = CompletionRequest {
        model: trainer.service.clone(),
        prompt: spec.contents.prompts.get(spec.group as usize)?.clone(),
        max_tokens: spec.contents.max_tokens,
        stream: true,
        seed: seed(spec),
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
        alone: false,
    })
}

/// All tries of a sample have one seed: racing different ones would favour short samples.
fn seed(spec: &AttemptSpec) -> u64 {
    let step = spec.contents.step;
    let identity = format!("{}/{step}/{}/{}", spec.trainer, spec.group, spec.index);
    xxh3_64(identity.as_bytes())
}

async fn follow(driver: &Rc<Driver>, spec: &AttemptSpec, mut stream: WorkStream) -> AttemptEnd {
    let mut received = Received::default();
    let mut wait_ms = ATTEMPT_TIMEOUT_MS;
    let mut reported_ms = driver.instance().now_ms();
    loop {
        let event = match timeout(Duration::from_millis(wait_ms), stream.next()).await {
            Ok(Some(event)) => event,
            _ => return AttemptEnd::Failed,
        };
        match event {
            WorkEvent::Started { endpoint } => {
                wait_ms = IDLE_TIMEOUT_MS;
                driver.event(|core, now_ms| core.started(spec.key, endpoint, now_ms));
            }
            WorkEvent::Chunk(chunk) => {
                received.add(chunk);
                let now_ms = driver.instance().now_ms();
                if now_ms >= reported_ms + PROGRESS_INTERVAL_MS {
                    reported_ms = now_ms;
                    let tokens = received.tokens;
                    driver.event(|core, now_ms| core.progressed(spec.key, tokens, now_ms));
                }
            }
            WorkEvent::Done(outcome) => return received.end(outcome),
            // Signs of life, and what only plain calls answer with.
            _ => {}
        }
    }
}

/// What has come of a generation.
#[derive(Debug, Default)]
struct Received {
    text: String,
    tokens: u32,
    /// By the engine's own word; cut short by the first chunk that gives none.
    versions: Vec<VersionSpan>,
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

    fn end(self, outcome: Outcome<Summary>) -> AttemptEnd {
        match outcome {
            Outcome::Ran(summary) => self.finish(&summary),
            Outcome::NotRun(NotRun { retry_after_ms, .. }) => AttemptEnd::Refused {
                retry_after_ms: retry_after_ms.unwrap_or(NO_DISPATCHER_RETRY_MS),
            },
            Outcome::Unknown(_) => AttemptEnd::Failed,
        }
    }

    /// A whole generation. The home's account of versions stands unless the engine's own word
    /// for each chunk differs: then nobody knows.
    fn finish(self, summary: &Summary) -> AttemptEnd {
        let whole = summary.tokens == self.tokens && &*summary.finish_reason != "cancelled";
        if !whole {
            return AttemptEnd::Failed;
        }
        let reported = self.all_reported == Some(true);
        let contradicted = reported && merged(&summary.versions) != self.versions;
        let versions = if contradicted {
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

/// Neighbouring spans of one version as one.
fn merged(spans: &[VersionSpan]) -> Vec<VersionSpan> {
    let mut merged = Vec::new();
    for span in spans {
        push_span(&mut merged, span.version, span.tokens);
    }
    merged
}
