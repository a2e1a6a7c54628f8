//! Idempotency filter: a repeated request gets the answer of the first one, or an error that says
//! whether the first one is running, ran or may have run.
//!
//! See `docs/design/idempotency.md`.

mod member_history;
pub(crate) mod replicator;
pub mod table;

use std::{
    sync::Arc,
    time::Duration, //
};

use futures::future::LocalBoxFuture;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    gateway::{
        answer::{
            Answer,
            CompleteAnswer,
            UnknownAnswer,
            UnknownCause, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        idempotency::{
            replicator::KeyReplicator,
            table::{
                CachedAnswer,
                Claim,
                Progress,
                ScopedKey, //
            }, //
        },
        SharedState, //
    },
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Maximum size in bytes of an answer that is stored for replay.
const MAX_CACHED_ANSWER_BYTES: usize = 256 << 10;

/// Maximum time for which an answer is held back until the key's replicas have recorded the
/// outcome.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay given to callers while the table of idempotency keys is full, in milliseconds.
const TABLE_FULL_RETRY_MS: u64 = 10_000;

/// Retry delay given to callers while no reachable instance knows the history of a key, in
/// milliseconds.
const HISTORY_UNKNOWN_RETRY_MS: u64 = 2_000;

/// Runs the first request of each key and replays the stored answer to the others.
pub(crate) struct IdempotencyFilter {
    key_replicator: Arc<KeyReplicator>,
}

impl IdempotencyFilter {
    pub(crate) fn new(shared: &SharedState) -> Self {
        Self {
            key_replicator: shared.key_replicator.clone(),
        }
    }

    async fn claim_and_run(&self, key: ScopedKey, exchange: Exchange, next: Next<'_>) -> Answer {
        match self
            .key_replicator
            .claim(key, exchange.full_fingerprint())
            .await
        {
            Claim::First => self.run_first(key, exchange, next).await,
            Claim::Repeated(progress) => replay(progress),
            Claim::Mismatch => {
                let message = "this idempotency key came with another request: use a new one";
                Answer::refused(Refusal::Idempotency(message.into()))
            }
            Claim::HistoryUnknown => Answer::Unknown(UnknownAnswer {
                cause: UnknownCause::HistoryUnknown {
                    retry_after_ms: HISTORY_UNKNOWN_RETRY_MS,
                },
                reason: "nobody can say now whether this key's request ran before".into(),
            }),
            Claim::TableFull => {
                let refusal = NotRun::retry_after(Refusal::Overloaded, TABLE_FULL_RETRY_MS);
                Answer::Refused(refusal)
            }
        }
    }

    async fn run_first(&self, key: ScopedKey, mut exchange: Exchange, next: Next<'_>) -> Answer {
        exchange.buffer_answer = true;
        let fingerprint = exchange.full_fingerprint();
        let answer = next.run(exchange).await;
        let progress = match &answer {
            Answer::Refused(_) => None,
            Answer::Complete(complete) => Some(Progress::Finished(cached_copy(complete))),
            Answer::Stream(_) | Answer::Unknown(_) => Some(Progress::Unknown),
        };
        let key_replicator = self.key_replicator.clone();
        let publication = key_replicator.publish_outcome(key, fingerprint, progress);
        // The caller gets its answer once the replicas have recorded the outcome, or after a
        // timeout.
        let publication = actix_rt::spawn(publication);
        let _ = tokio::time::timeout(PUBLISH_TIMEOUT, publication).await;
        answer
    }
}

fn cached_copy(complete: &CompleteAnswer) -> Option<CachedAnswer> {
    (complete.body.len() <= MAX_CACHED_ANSWER_BYTES).then(|| CachedAnswer {
        status: complete.status,
        headers: complete.headers.clone(),
        body: complete.body.clone(),
    })
}

/// Returns the answer to a repeated request.
fn replay(progress: Progress) -> Answer {
    match progress {
        Progress::Finished(Some(cached)) => Answer::Complete(CompleteAnswer {
            status: cached.status,
            headers: cached.headers,
            body: cached.body,
            tokens: None,
        }),
        Progress::Finished(None) => Answer::unknown(
            UnknownCause::EarlierRequest,
            "the first request ran; its answer is not kept",
        ),
        Progress::Started => Answer::unknown(
            UnknownCause::EarlierRequest,
            "the first request with this key is running",
        ),
        Progress::Unknown => Answer::unknown(
            UnknownCause::EarlierRequest,
            "the first request with this key may have run",
        ),
    }
}

/// Hashes an idempotency key together with its organisation and service.
fn scoped_key(exchange: &Exchange, key: &str) -> ScopedKey {
    let mut hasher = Xxh3::new();
    for part in [&*exchange.organisation, &*exchange.service_name, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    ScopedKey(hasher.digest128())
}

impl Filter for IdempotencyFilter {
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let Some(key) = exchange.idempotency_key.clone() else {
            return next.run(exchange);
        };
        let key = scoped_key(&exchange, &key);
        Box::pin(self.claim_and_run(key, exchange, next))
    }
}
