//! Lending of tokens by the owner of an organisation's limit, and the tokens that this instance
//! borrowed.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    gateway::{
        limit::bucket::Buckets,
        Message,
        Reply, //
    },
    instance::Instance,
    peer::{
        PeerReply,
        PeerRequest, //
    },
    routing::rendezvous,
    view::Member, //
};

/// Number of chunks into which the tokens of one second are divided. An instance borrows at least
/// one chunk at a time, so that few requests wait for the owner.
const CHUNKS_PER_S: u64 = 20;

/// Number of unused chunks that an instance keeps; tokens beyond that are returned to the owner.
const MAX_KEPT_CHUNKS: u64 = 2;

/// Timeout for the owner's reply, after which an instance uses its even share of the limit.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits whose tokens this instance lends, and tokens that it has borrowed from other owners.
pub(crate) struct Lending {
    instance: Arc<Instance>,
    owned_buckets: Mutex<Buckets>,
    /// Buckets for this instance's even share of a limit, used while the owner is unreachable.
    fallback_buckets: Mutex<Buckets>,
    borrowed_tokens: Mutex<HashMap<Arc<str>, u64>>,
}

impl Lending {
    pub(crate) fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new(Self {
            instance,
            owned_buckets: Mutex::default(),
            fallback_buckets: Mutex::default(),
            borrowed_tokens: Mutex::default(),
        })
    }

    /// Acquires tokens for a request, borrowing from the owner of the limit if necessary.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until tokens are available again.
    pub(crate) async fn acquire(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
    ) -> Result<(), u64> {
        let missing = match self.take_borrowed(organisation, tokens) {
            Ok(()) => return Ok(()),
            Err(missing) => missing,
        };
        let requested = missing.max(tokens_per_s / CHUNKS_PER_S);
        self.borrow(organisation, requested, tokens_per_s).await?;
        *lock(&self.borrowed_tokens)
            .entry(organisation.clone())
            .or_default() += requested;
        // Another request may have used some of the borrowed tokens in the meantime. The request is
        // accepted nevertheless, because the owner's bucket has been charged.
        let mut borrowed = lock(&self.borrowed_tokens);
        let balance = borrowed.entry(organisation.clone()).or_default();
        *balance = balance.saturating_sub(tokens);
        Ok(())
    }

    /// Releases the tokens that a request did not use. Borrowed tokens beyond
    /// [`MAX_KEPT_CHUNKS`] are returned to the owner.
    pub(crate) fn return_unused(
        self: &Arc<Self>,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
    ) {
        let max_kept = (tokens_per_s / CHUNKS_PER_S).max(1) * MAX_KEPT_CHUNKS;
        let surplus = {
            let mut borrowed = lock(&self.borrowed_tokens);
            let balance = borrowed.entry(organisation.clone()).or_default();
            *balance += tokens;
            let surplus = balance.saturating_sub(max_kept);
            *balance -= surplus;
            surplus
        };
        if surplus == 0 {
            return;
        }
        match self.owner(organisation) {
            Some(owner) => {
                let message = Message::ReturnTokens {
                    organisation: organisation.clone(),
                    tokens: surplus,
                };
                let lending = self.clone();
                actix_rt::spawn(async move { lending.send_to_owner(&owner, message).await });
            }
            None => self.accept_return(organisation, surplus),
        }
    }

    /// Lends tokens of an organisation whose limit this instance owns.
    pub(crate) fn lend(&self, organisation: &Arc<str>, tokens: u64) -> Result<(), u64> {
        let view = self.instance.view.load();
        let limit = view.configuration.organisation(organisation);
        match limit.map_or(0, |organisation| organisation.tokens_per_s) {
            0 => Ok(()),
            tokens_per_s => {
                let now_ms = self.instance.now_ms();
                lock(&self.owned_buckets).try_acquire(organisation, tokens, tokens_per_s, now_ms)
            }
        }
    }

    /// Accepts lent tokens that another instance returns.
    pub(crate) fn accept_return(&self, organisation: &Arc<str>, tokens: u64) {
        lock(&self.owned_buckets).refund(organisation, tokens);
    }

    /// Takes tokens that were borrowed before. On error, returns the number of missing tokens.
    fn take_borrowed(&self, organisation: &Arc<str>, tokens: u64) -> Result<(), u64> {
        let mut borrowed = lock(&self.borrowed_tokens);
        let balance = borrowed.entry(organisation.clone()).or_default();
        if *balance < tokens {
            return Err(tokens - *balance);
        }
        *balance -= tokens;
        Ok(())
    }

    async fn borrow(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
    ) -> Result<(), u64> {
        let Some(owner) = self.owner(organisation) else {
            return self.lend(organisation, tokens);
        };
        let message = Message::BorrowTokens {
            organisation: organisation.clone(),
            tokens,
        };
        match self.send_to_owner(&owner, message).await {
            Some(Reply::TokensLent) => Ok(()),
            Some(Reply::LimitExhausted { retry_after_ms }) => Err(retry_after_ms),
            _ => self.acquire_fallback_share(organisation, tokens, tokens_per_s),
        }
    }

    /// Takes tokens from this instance's even share of the limit while the owner is unreachable.
    fn acquire_fallback_share(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
    ) -> Result<(), u64> {
        let members = self.instance.view.load().members.len().max(1) as u64;
        let share = tokens_per_s.div_ceil(members);
        let now_ms = self.instance.now_ms();
        self.instance.metrics.count("limit.owner_away");
        lock(&self.fallback_buckets).try_acquire(organisation, tokens, share, now_ms)
    }

    /// Returns the owner of an organisation's limit, or `None` if this instance owns it.
    fn owner(&self, organisation: &str) -> Option<Member> {
        let members = self.instance.view.load().members.clone();
        let owner = rendezvous::owner(xxh3_64(organisation.as_bytes()), &members)?;
        (owner.instance != *self.instance.id()).then(|| owner.clone())
    }

    async fn send_to_owner(&self, owner: &Member, message: Message) -> Option<Reply> {
        let peers = self.instance.peers()?;
        let request = PeerRequest::Gateway(message);
        let mut replies = peers.open(&owner.instance, &owner.peer_address, request);
        match tokio::time::timeout(OWNER_TIMEOUT, replies.next()).await {
            Ok(Some(Ok(PeerReply::Gateway(reply)))) => Some(reply),
            _ => None,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
