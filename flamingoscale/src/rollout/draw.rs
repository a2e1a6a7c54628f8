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
            Draw,
            Ended,
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
const PRIORITY: u8 = 128;

/// Longest that one try may take, its wait for an engine included.
const BUDGET_MS: u64 = 600_000;

/// A try that shows nothing for this long is given up.
const SILENCE_MS: u64 = 20_000;

/// Least time between two reports of progress.
const PROGRESS_MS: u64 = 200;

/// Wait where there is no way to engines yet.
const NO_DISPATCH_MS: u64 = 500;

/// Runs one try and tells the core how it ended.
pub(crate) async fn run(driver: Rc<Driver>, draw: Draw) {
    let key = draw.key;
    let ended = generate(&driver, &draw).await;
    driver.try_is_over(key);
    driver.event(|core, now_ms| core.ended(key, ended, now_ms));
}

async fn generate(driver: &Rc<Driver>, draw: &Draw) -> Ended {
    let Some(work) = work(driver, draw) else {
        return Ended::Refused {
            retry_after_ms: NO_DISPATCH_MS,
        };
    };
    let Some(dispatch) = driver.instance().dispatch() else {
        return Ended::Refused {
            retry_after_ms: NO_DISPATCH_MS,
        };
    };
    let stream = dispatch.start(work);
    follow(driver, draw, stream).await
}

fn work(driver: &Rc<Driver>, draw: &Draw) -> Option<Work> {
    let view = driver.instance().view.load();
    let trainer = view.configuration.trainer(&draw.trainer)?;
    let request = CompletionRequest {
        model: trainer.service.clone(),
        prompt: draw.contents.prompts.get(draw.group as usize)?.clone(),
        max_tokens: draw.contents.max_tokens,
        stream: true,
        seed: seed(draw),
        priority: PRIORITY,
        resume: None,
    };
    Some(Work {
        request_id: driver.instance().new_request_id(),
        organisation: trainer.organisation.clone(),
        key_id: None,
        service: trainer.service.clone(),
        class: Class::Rollout {
            trainer: draw.trainer.clone(),
        },
        body: WorkBody::Completion(request),
        budget_ms: BUDGET_MS,
        idempotent: true,
        avoid: draw.avoid.clone(),
        oldest_version: draw.oldest_version,
        alone: false,
    })
}

/// All tries of a sample have one seed: racing different ones would favour short samples.
fn seed(draw: &Draw) -> u64 {
    let step = draw.contents.step;
    let identity = format!("{}/{step}/{}/{}", draw.trainer, draw.group, draw.index);
    xxh3_64(identity.as_bytes())
}

async fn follow(driver: &Rc<Driver>, draw: &Draw, mut stream: WorkStream) -> Ended {
    let mut received = Received::default();
    let mut wait_ms = BUDGET_MS;
    let mut told_ms = driver.instance().now_ms();
    loop {
        let event = match timeout(Duration::from_millis(wait_ms), stream.next()).await {
            Ok(Some(event)) => event,
            _ => return Ended::Failed,
        };
        match event {
            WorkEvent::Started { endpoint } => {
                wait_ms = SILENCE_MS;
                driver.event(|core, now_ms| core.started(draw.key, endpoint, now_ms));
            }
            WorkEvent::Chunk(chunk) => {
                received.add(chunk);
                let now_ms = driver.instance().now_ms();
                if now_ms >= told_ms + PROGRESS_MS {
                    told_ms = now_ms;
                    let tokens = received.tokens;
                    driver.event(|core, now_ms| core.progressed(draw.key, tokens, now_ms));
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
    is_told: Option<bool>,
}

impl Received {
    fn add(&mut self, chunk: CompletionChunk) {
        self.text.push_str(&chunk.text);
        self.tokens += chunk.tokens;
        if chunk.tokens == 0 {
            return;
        }
        let told = chunk.version.is_some() && self.is_told != Some(false);
        self.is_told = Some(told);
        if let Some(version) = chunk.version.filter(|_| told) {
            push_span(&mut self.versions, version, chunk.tokens);
        }
    }

    fn end(self, outcome: Outcome<Summary>) -> Ended {
        match outcome {
            Outcome::Ran(summary) => self.finish(&summary),
            Outcome::NotRun(NotRun { retry_after_ms, .. }) => Ended::Refused {
                retry_after_ms: retry_after_ms.unwrap_or(NO_DISPATCH_MS),
            },
            Outcome::Unknown(_) => Ended::Failed,
        }
    }

    /// A whole generation. The home's account of versions stands unless the engine's own word
    /// for each chunk differs: then nobody knows.
    fn finish(self, summary: &Summary) -> Ended {
        let whole = summary.tokens == self.tokens && &*summary.finish_reason != "cancelled";
        if !whole {
            return Ended::Failed;
        }
        let told = self.is_told == Some(true);
        let contradicted = told && merged(&summary.versions) != self.versions;
        let versions = if contradicted {
            Vec::new()
        } else {
            summary.versions.clone()
        };
        Ended::Generated(Generated {
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
