//! Scores finished samples by calling a plain service, that is, one without engines.
//!
//! Scoring runs concurrently with generation under its own limit, so a slow service does not block
//! engines.

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

/// Maximum number of calls for one result; if all fail, the sample is generated again.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before the first retry; it doubles with each retry.
const INITIAL_BACKOFF_MS: u64 = 100;

/// Timeout of one call.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// Path of scoring requests at the service.
const SCORE_PATH: &str = "/score";

/// Maximum size of a response.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Request body of a scoring call.
#[derive(Debug, Serialize)]
struct ScoreRequest<'sample> {
    prompt: &'sample str,
    text: &'sample str,
}

/// Response body of a scoring call.
#[derive(Debug, Deserialize)]
struct Score {
    score: f64,
}

/// Result of one call.
enum CallResult {
    Scored(f64),
    NotRun,
    Unknown,
}

/// Requests the score of one sample and passes it to the core.
pub(crate) async fn run(driver: Rc<Driver>, sample: SampleKey, draw: u32) {
    let score = score(&driver, sample, draw).await;
    driver.with_core(|core, now_ms| core.scored(sample, draw, score, now_ms));
}

/// Returns the score, or `None` if it can't be obtained. A call that may have run is retried only
/// if the service is idempotent; otherwise the sample is generated again.
async fn score(driver: &Rc<Driver>, sample: SampleKey, draw: u32) -> Option<f64> {
    let (service, work) = build_work(driver, sample, draw)?;
    let view = driver.instance().view.load();
    let idempotent = view.configuration.service(&service)?.idempotent;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(permit) = driver.scoring.acquire().await else {
            return None;
        };
        let mut work = work.clone();
        work.request_id = driver.instance().new_request_id();
        work.idempotent = idempotent;
        match call(driver, work).await {
            CallResult::Scored(score) => return Some(score),
            CallResult::Unknown if !idempotent => return None,
            CallResult::NotRun | CallResult::Unknown => {}
        }
        drop(permit);
        sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
    None
}

fn build_work(driver: &Rc<Driver>, key: SampleKey, draw: u32) -> Option<(Arc<str>, Work)> {
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
        exclusive: false,
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
            // Ignores keep-alives and the response head.
            Ok(Some(_)) => {}
        }
    }
    match serde_json::from_slice::<Score>(&body) {
        Ok(answer) if answer.score.is_finite() => CallResult::Scored(answer.score),
        _ => CallResult::Unknown,
    }
}
