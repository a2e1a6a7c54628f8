//! The trainer's check of a batch finds what it has to find.

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

const TOKENS: u32 = 8;

fn step() -> OpenStep {
    OpenStep {
        step: 1,
        prompts: vec!["Groomer log".into()],
        samples_per_group: 2,
        max_tokens: TOKENS,
        staleness_bound: 1,
        deadline_ms: 1_000,
        scoring: None,
    }
}

/// A batch that an engine truly produced, and the engine.
async fn true_batch() -> (Batch, Vec<Arc<EngineStandin>>, Host) {
    let host = Host::start().expect("a thread");
    let settings = EngineSettings::new("e1").tokens_per_s(4_000.0);
    let engine = settings.first_version(3).start(&host).expect("a port");
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
        max_tokens: TOKENS,
        seed,
        ..CompletionRequest::default()
    };
    let url = format!("http://{}/v1/completions", engine.address());
    let sent = awc::Client::default()
        .post(url)
        .insert_header((REQUEST_ID_HEADER, format!("r{seed}")))
        .send_json(&request);
    let mut response = sent.await.expect("an answer");
    response.json().await.expect("a completion")
}

async fn check_changed(change: impl FnOnce(&mut Batch)) -> BatchCheck {
    let (mut batch, engines, _host) = true_batch().await;
    change(&mut batch);
    check_batch(&step(), &batch, &engines)
}

#[actix_web::test]
async fn a_true_batch_passes() {
    let check = check_changed(|_| {}).await;
    let good = BatchCheck {
        expected: 2,
        delivered: 2,
        ..BatchCheck::default()
    };
    assert_eq!(check, good);
}

#[actix_web::test]
async fn a_sample_that_came_twice_is_found() {
    let check = check_changed(|batch| batch.samples[1] = batch.samples[0].clone()).await;
    assert_eq!((check.delivered, check.duplicates), (1, 1));
}

#[actix_web::test]
async fn wrong_versions_are_found() {
    let wrong = |batch: &mut Batch| {
        batch.samples[0].versions = vec![VersionSpan {
            version: 4,
            tokens: TOKENS,
        }];
    };
    assert_eq!(check_changed(wrong).await.versions_wrong, 1);
}

#[actix_web::test]
async fn a_stale_sample_is_found() {
    let check = check_changed(|batch| batch.newest_version = 5).await;
    assert_eq!(check.stale, 2);
}

#[actix_web::test]
async fn anothers_text_is_found() {
    let check = check_changed(|batch| batch.samples[0].text = "s0 w1".into()).await;
    assert_eq!(check.texts_wrong, 1);
}
