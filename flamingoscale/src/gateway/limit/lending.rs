//! Tokens lent out by the owner of an organisation's limit, and what was borrowed here.

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

/// The part of a second's tokens that is borrowed at once, as one in so many.
const CHUNKS_PER_S: u64 = 20;

/// Borrowed tokens above this many chunks go back to the owner.
const MAX_KEPT_CHUNKS: u64 = 2;

/// Longest wait for the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The limits of organisations as one instance lends and borrows them.
pub(crate) struct Lending {
    instance: Arc<Instance>,
    owned_buckets: Mutex<Buckets>,
    /// Used while an owner can't be reached: this instance's even share.
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

    /// Takes tokens for a request.
    ///
    /// # Errors
    ///
    /// The milliseconds after which there will be some.
    pub(crate) async fn acquire(
        &self,
        organisation: &Arc<str>,
        tokens: u64,
        tokens_per_s: u64,
    ) -> Result<(), u64> {
        let missing = match self.take_local(organisation, tokens) {
            Ok(()) => return Ok(()),
            Err(missing) => missing,
        };
        let requested = missing.max(tokens_per_s / CHUNKS_PER_S);
        self.borrow(organisation, requested, tokens_per_s).await?;
        *lock(&self.borrowed_tokens)
            .entry(organisation.clone())
            .or_default() += requested;
        // Another request may have taken some meanwhile; the owner has been charged all the same.
        let mut borrowed = lock(&self.borrowed_tokens);
        let balance = borrowed.entry(organisation.clone()).or_default();
        *balance = balance.saturating_sub(tokens);
        Ok(())
    }

    /// Gives back what a request did not use; the owner gets what is more than needed here.
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
                let this = self.clone();
                actix_rt::spawn(async move { this.send_to_owner(&owner, message).await });
            }
            None => self.accept_return(organisation, surplus),
        }
    }

    /// Lends tokens of an organisation that this instance owns the limit of.
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

    /// Takes lent tokens back.
    pub(crate) fn accept_return(&self, organisation: &Arc<str>, tokens: u64) {
        lock(&self.owned_buckets).refund(organisation, tokens);
    }

    /// Takes tokens that are here, or says how many are missing.
    fn take_local(&self, organisation: &Arc<str>, tokens: u64) -> Result<(), u64> {
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

    /// Without the owner, each instance keeps to an even share.
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

    /// The owner of an organisation's limit; none where that is this instance.
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
