//! Idempotency keys: a repeated request gets the first answer, or a truthful refusal.
//!
//! See `docs/design/idempotency.md`.

pub(crate) mod table;

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use futures::future::LocalBoxFuture;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    gateway::{
        answer::{
            Answer,
            Cause,
            Whole, //
        },
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        idempotency::table::{
            Claim,
            KeptAnswer,
            KeyMemory,
            Progress,
            ScopedKey, //
        },
        Shared, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Largest answer that is kept for a repeated request.
const LARGEST_KEPT_BYTES: usize = 256 << 10;

/// When to try again while no more keys can be remembered.
const FULL_RETRY_MS: u64 = 10_000;

/// The keys that this instance remembers.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyTable {
    memory: Mutex<KeyMemory>,
}

impl IdempotencyTable {
    pub(crate) fn memory(&self) -> MutexGuard<'_, KeyMemory> {
        self.memory
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Runs the first request of a key and answers the others from memory.
pub(crate) struct Idempotency {
    instance: Arc<Instance>,
    table: Arc<IdempotencyTable>,
}

impl Idempotency {
    pub(crate) fn new(shared: &Shared) -> Self {
        Self {
            instance: shared.instance.clone(),
            table: shared.idempotency.clone(),
        }
    }

    async fn first(&self, key: ScopedKey, mut exchange: Exchange, next: Next<'_>) -> Answer {
        exchange.keep_whole = true;
        let mut guard = FinishGuard {
            table: &self.table,
            key,
            progress: Some(Progress::Unknown),
        };
        let answer = next.run(exchange).await;
        guard.progress = match &answer {
            Answer::Refused(_) => None,
            Answer::Whole(whole) => Some(Progress::Finished(keep(whole))),
            Answer::Stream(_) | Answer::Broken(_) => Some(Progress::Unknown),
        };
        answer
    }
}

/// Says how the first request ended, also when its caller is gone before that.
struct FinishGuard<'a> {
    table: &'a IdempotencyTable,
    key: ScopedKey,
    progress: Option<Progress>,
}

impl Drop for FinishGuard<'_> {
    fn drop(&mut self) {
        let mut memory = self.table.memory();
        match self.progress.take() {
            Some(progress) => memory.finish(self.key, progress),
            None => memory.release(self.key),
        }
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
        let now_ms = self.instance.now_ms();
        let claim = self
            .table
            .memory()
            .claim(key, exchange.fingerprint(), now_ms);
        let answer = match claim {
            Claim::First => return Box::pin(self.first(key, exchange, next)),
            Claim::Repeated(progress) => repeated(progress),
            Claim::Mismatch => {
                let why = "this idempotency key came with another request: use a new one";
                Answer::refused(Refusal::Idempotency(why.into()))
            }
            Claim::NoVouching => {
                let why = "nobody can say whether this key's request ran before";
                Answer::broken(Cause::Earlier, why)
            }
            Claim::Full => {
                let full = NotRun::retry_after(Refusal::Overloaded, FULL_RETRY_MS);
                Answer::Refused(full)
            }
        };
        Box::pin(std::future::ready(answer))
    }
}
