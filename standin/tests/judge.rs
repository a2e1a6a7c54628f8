//! `check_batch`, the trainer's check of a batch, detects each kind of faulty sample.

use std::sync::Arc;

use flamingoscale::wire::{
    Batch,
    Completion,
    CompletionRequest,
    OpenStep,
    Sample,
    VersionSpan,
    REQUEST_ID_HEADER, //
};
use standin::{
    engine::{
        EngineSettings,
        EngineStandin, //
    },
    server::Host,
    trainer::{
        check_batch,
        BatchCheck, //
    }, //
};

const MAX_TOKENS: u32 = 8;

fn step() -> OpenStep {
    OpenStep {
        step: 1,
        prompts: vec!["Groomer log".into()],
        samples_per_group: 2,
        max_tokens: MAX_TOKENS,
        staleness_bound: 1,
        deadline_ms: 1_000,
        scoring: None,
    }
}

/// Generates a batch on a real engine stand-in, and returns it with the engine and its host.
async fn generate_valid_batch() -> (Batch, Vec<Arc<EngineStandin>>, Host) {
    let host = Host::start().expect("the host should start its thread");
    let settings = EngineSettings::new("e1").tokens_per_s(4_000.0);
    let engine = settings
        .first_version(3)
        .start(&host)
        .expect("a stand-in should bind a free port");
    let mut samples = Vec::new();
    for index in 0..2 {
        let completion = generate(&engine, u64::from(index)).await;
        samples.push(Sample {
            group: 0,
            index,
            text: completion.text,
            tokens: completion.tokens,
            versions: completion.versions,
            score: None,
        });
    }
    let batch = Batch {
        step: 1,
        complete: true,
        finished: 2,
        expected: 2,
        newest_version: 3,
        samples,
    };
    (batch, vec![engine], host)
}

async fn generate(engine: &EngineStandin, seed: u64) -> Completion {
    let request = CompletionRequest {
        model: "draft".into(),
        prompt: step().prompts[0].clone(),
        max_tokens: MAX_TOKENS,
        seed,
        ..CompletionRequest::default()
    };
    let url = format!("http://{}/v1/completions", engine.address());
    let sent = awc::Client::default()
        .post(url)
        .insert_header((REQUEST_ID_HEADER, format!("r{seed}")))
        .send_json(&request);
    let mut response = sent.await.expect("the request should get a response");
    response
        .json()
        .await
        .expect("the body should be a completion")
}

async fn check_modified(modify: impl FnOnce(&mut Batch)) -> BatchCheck {
    let (mut batch, engines, _host) = generate_valid_batch().await;
    modify(&mut batch);
    check_batch(&step(), &batch, &engines)
}

#[actix_web::test]
async fn valid_batch_passes() {
    let check = check_modified(|_| {}).await;
    let expected = BatchCheck {
        expected: 2,
        delivered: 2,
        ..BatchCheck::default()
    };
    assert_eq!(check, expected);
}

#[actix_web::test]
async fn duplicate_sample_is_detected() {
    let check = check_modified(|batch| batch.samples[1] = batch.samples[0].clone()).await;
    assert_eq!((check.delivered, check.duplicates), (1, 1));
}

#[actix_web::test]
async fn wrong_versions_are_detected() {
    let set_wrong_version = |batch: &mut Batch| {
        batch.samples[0].versions = vec![VersionSpan {
            version: 4,
            tokens: MAX_TOKENS,
        }];
    };
    assert_eq!(check_modified(set_wrong_version).await.versions_wrong, 1);
}

#[actix_web::test]
async fn stale_samples_are_detected() {
    let check = check_modified(|batch| batch.newest_version = 5).await;
    assert_eq!(check.stale, 2);
}

#[actix_web::test]
async fn text_of_another_request_is_detected() {
    let check = check_modified(|batch| batch.samples[0].text = "s0 w1".into()).await;
    assert_eq!(check.texts_wrong, 1);
}
