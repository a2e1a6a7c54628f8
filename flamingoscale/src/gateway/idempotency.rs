//! Idempotency keys: a repeated request gets the first answer, or a truthful refusal.
//!
//! See `docs/design/idempotency.md`.

pub(crate) mod owners;
pub mod table;
mod vouching;

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
            Broken,
            Cause,
            Whole, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        idempotency::{
            owners::Owners,
            table::{
                Claim,
                KeptAnswer,
                Progress,
                ScopedKey, //
            }, //
        },
        Shared, //
    },
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Largest answer that is kept for a repeated request.
const LARGEST_KEPT_BYTES: usize = 256 << 10;

/// Longest time that an answer waits for the key's owners to take it in.
const FINISH_WAIT: Duration = Duration::from_millis(500);

/// When to try again while no more keys can be remembered.
const FULL_RETRY_MS: u64 = 10_000;

/// When to try again while nobody can vouch for a key's past.
const NO_VOUCHING_RETRY_MS: u64 = 2_000;

/// Runs the first request of a key and answers the others from memory.
pub(crate) struct Idempotency {
    owners: Arc<Owners>,
}

impl Idempotency {
    pub(crate) fn new(shared: &Shared) -> Self {
        Self {
            owners: shared.owners.clone(),
        }
    }

    async fn claim(&self, key: ScopedKey, exchange: Exchange, next: Next<'_>) -> Answer {
        match self.owners.claim(key, exchange.whole_fingerprint()).await {
            Claim::First => self.first(key, exchange, next).await,
            Claim::Repeated(progress) => repeated(progress),
            Claim::Mismatch => {
                let why = "this idempotency key came with another request: use a new one";
                Answer::refused(Refusal::Idempotency(why.into()))
            }
            Claim::NoVouching => Answer::Broken(Broken {
                cause: Cause::NoVouching {
                    retry_after_ms: NO_VOUCHING_RETRY_MS,
                },
                reason: "nobody can say now whether this key's request ran before".into(),
            }),
            Claim::Full => {
                let full = NotRun::retry_after(Refusal::Overloaded, FULL_RETRY_MS);
                Answer::Refused(full)
            }
        }
    }

    async fn first(&self, key: ScopedKey, mut exchange: Exchange, next: Next<'_>) -> Answer {
        exchange.keep_whole = true;
        let fingerprint = exchange.whole_fingerprint();
        let answer = next.run(exchange).await;
        let progress = match &answer {
            Answer::Refused(_) => None,
            Answer::Whole(whole) => Some(Progress::Finished(keep(whole))),
            Answer::Stream(_) | Answer::Broken(_) => Some(Progress::Unknown),
        };
        let owners = self.owners.clone();
        let told = owners.finish(key, fingerprint, progress);
        // The caller gets its answer once the owners know; they are given a moment for that.
        let told = actix_rt::spawn(told);
        let _ = tokio::time::timeout(FINISH_WAIT, told).await;
        answer
    }
}

fn keep(whole: &Whole) -> Option<KeptAnswer> {
    (whole.body.len() <= LARGEST_KEPT_BYTES).then(|| KeptAnswer {
        status: whole.status,
        headers: whole.headers.clone(),
        body: whole.body.clone(),
    })
}

/// The answer to a repeated request.
fn repeated(progress: Progress) -> Answer {
    match progress {
        Progress::Finished(Some(kept)) => Answer::Whole(Whole {
            status: kept.status,
            headers: kept.headers,
            body: kept.body,
            tokens: None,
        }),
        Progress::Finished(None) => Answer::broken(
            Cause::Earlier,
            "the first request ran; its answer is not kept",
        ),
        Progress::Started => {
            Answer::broken(Cause::Earlier, "the first request with this key is running")
        }
        Progress::Unknown => Answer::broken(
            Cause::Earlier,
            "the first request with this key may have run",
        ),
    }
}

/// The key within its organisation and service.
fn scoped(exchange: &Exchange, key: &str) -> ScopedKey {
    let mut hasher = Xxh3::new();
    for part in [&*exchange.organisation, &*exchange.service_name, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    ScopedKey(hasher.digest128())
}

impl Filter for Idempotency {
    fn call<'a>(&'a self, exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let Some(key) = exchange.idempotency_key.clone() else {
            return next.run(exchange);
        };
        let key = scoped(&exchange, &key);
        Box::pin(self.claim(key, exchange, next))
    }
}
