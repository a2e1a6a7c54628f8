//! Scores of finished samples, from a plain service.
//!
//! Scoring runs beside generation and has its own limit, so a slow service holds up no engine.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix_rt::time::{
    sleep,
    timeout, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    dispatch::{
        Class,
        Work,
        WorkBody,
        WorkEvent, //
    },
    outcome::Outcome,
    rollout::{
        arena::SampleKey,
        driver::Driver, //
    },
    wire::Sample, //
};

/// Tries before a sample is given up and drawn again.
const MAX_ATTEMPTS: u32 = 6;

/// Wait before the second try; it doubles with each one.
const INITIAL_BACKOFF_MS: u64 = 100;

/// Longest wait for one score.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// Where scoring services take samples.
const SCORE_PATH: &str = "/score";

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What a scoring service gets.
#[derive(Debug, Serialize)]
struct ScoreRequest<'sample> {
    prompt: &'sample str,
    text: &'sample str,
}

/// What a scoring service answers.
#[derive(Debug, Deserialize)]
struct Score {
    score: f64,
}

/// How one call ended.
enum CallResult {
    Scored(f64),
    NotRun,
    Unknown,
}

/// Gets one sample's score and tells the core.
pub(crate) async fn run(driver: Rc<Driver>, sample: SampleKey, draw: u32) {
    let score = score(&driver, sample, draw).await;
    driver.event(|core, now_ms| core.scored(sample, draw, score, now_ms));
}

/// None when no score can be had: a call that may have run is not made twice unless the service
/// allows it, and a sample that may have been scored twice is drawn again instead.
async fn score(driver: &Rc<Driver>, sample: SampleKey, draw: u32) -> Option<f64> {
    let (service, work) = work(driver, sample, draw)?;
    let view = driver.instance().view.load();
    let repeatable = view.configuration.service(&service)?.idempotent;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(permit) = driver.scoring.acquire().await else {
            return None;
        };
        let mut work = work.clone();
        work.request_id = driver.instance().new_request_id();
        work.idempotent = repeatable;
        match call(driver, work).await {
            CallResult::Scored(score) => return Some(score),
            CallResult::Unknown if !repeatable => return None,
            CallResult::NotRun | CallResult::Unknown => {}
        }
        drop(permit);
        sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
    None
}

fn work(driver: &Rc<Driver>, key: SampleKey, draw: u32) -> Option<(Arc<str>, Work)> {
    let core = driver.core.borrow();
    let step = core.step(key.step)?;
    let service = step.contents.scoring.clone()?;
    let slot = step.slots.get(key.position as usize)?;
    let sample: &Sample = slot.result.as_deref().filter(|_| slot.draw == draw)?;
    let request = ScoreRequest {
        prompt: step.contents.prompts.get(sample.group as usize)?,
        text: &sample.text,
    };
    let body = serde_json::to_vec(&request).ok()?;
    let view = driver.instance().view.load();
    let trainer = view.configuration.trainer(&step.trainer)?;
    let work = Work {
        request_id: "".into(),
        organisation: trainer.organisation.clone(),
        key_id: None,
        service: service.clone(),
        class: Class::Rollout {
            trainer: step.trainer.clone(),
        },
        body: WorkBody::Plain {
            method: "POST".into(),
            path: SCORE_PATH.into(),
            headers: vec![("content-type".into(), "application/json".into())],
            body: body.into(),
        },
        budget_ms: CALL_TIMEOUT_MS,
        idempotent: false,
        avoid: Vec::new(),
        oldest_version: 0,
        alone: false,
    };
    Some((service, work))
}

async fn call(driver: &Rc<Driver>, work: Work) -> CallResult {
    let Some(dispatch) = driver.instance().dispatch() else {
        return CallResult::NotRun;
    };
    let mut stream = dispatch.start(work);
    let mut body = Vec::new();
    loop {
        let event = timeout(Duration::from_millis(CALL_TIMEOUT_MS), stream.next()).await;
        match event {
            Ok(Some(WorkEvent::Body(part))) if body.len() + part.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&part);
            }
            Ok(Some(WorkEvent::Done(Outcome::Ran(_)))) => break,
            Ok(Some(WorkEvent::Done(Outcome::NotRun(_)))) => return CallResult::NotRun,
            Ok(Some(WorkEvent::Body(_) | WorkEvent::Done(_)) | None) | Err(_) => {
                return CallResult::Unknown;
            }
            // Signs of life, and the head, which says no more than the body.
            Ok(Some(_)) => {}
        }
    }
    match serde_json::from_slice::<Score>(&body) {
        Ok(answer) if answer.score.is_finite() => CallResult::Scored(answer.score),
        _ => CallResult::Unknown,
    }
}
