//! The owners of idempotency keys over all instances: claims, copies and hand-overs.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use futures::future::join_all;

use crate::{
    gateway::{
        idempotency::{
            member_history::{
                replica_pair,
                HistoryLost,
                MemberHistory, //
            },
            table::{
                Claim,
                IdempotencyTable,
                KeyCopy,
                Progress,
                ScopedKey, //
            }, //
        },
        Message,
        Reply, //
    },
    instance::Instance,
    peer::{
        PeerReply,
        PeerRequest, //
    },
    view::Member, //
};

/// Longest wait for a peer's word on a key.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Tries to tell the owners how a request ended.
const MAX_OUTCOME_ATTEMPTS: u32 = 6;

/// Pause between these tries.
const OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Copies in one message of a hand-over.
const COPIES_PER_MESSAGE: usize = 64;

/// Idempotency keys as one instance remembers them, and its way to the other owners.
pub(crate) struct KeyOwners {
    instance: Arc<Instance>,
    table: Mutex<IdempotencyTable>,
    member_history: Mutex<MemberHistory>,
}

impl KeyOwners {
    pub(crate) fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new(Self {
            instance,
            table: Mutex::default(),
            member_history: Mutex::default(),
        })
    }

    /// Asks the key's owner whether a request is the first with the key. When the answer is
    /// [`Claim::First`], two instances have noted that it started.
    pub(crate) async fn claim(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let Some(owner) = replica_pair(key, &members).first().copied() else {
            return self.claim_as_owner(key, fingerprint).await;
        };
        if owner.instance == *self.instance.id() {
            return self.claim_as_owner(key, fingerprint).await;
        }
        let message = Message::Claim { key, fingerprint };
        self.call(owner, message)
            .await
            .unwrap_or(Claim::HistoryUnknown)
    }

    /// Answers a claim as the key's owner.
    pub(crate) async fn claim_as_owner(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        self.sync_members();
        let now_ms = self.instance.now_ms();
        let known = self.table().claim(key, fingerprint, now_ms);
        if known != Claim::First {
            return known;
        }
        let claim = self.query_replicas(key, fingerprint).await;
        match &claim {
            Claim::First => {}
            Claim::Repeated(progress) => self.table().finish(key, progress.clone()),
            _ => self.table().release(key),
        }
        claim
    }

    async fn query_replicas(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let own = members.iter().find(|m| m.instance == *self.instance.id());
        let Some(own) = own else {
            return Claim::First;
        };
        let replicas = match self.member_history().replicas_to_query(key, own) {
            Ok(replicas) => replicas,
            Err(HistoryLost) => return Claim::HistoryUnknown,
        };
        let queries = replicas.iter().enumerate().map(|(number, replica)| {
            let message = Message::QueryKey {
                key,
                fingerprint,
                reserve: number == 0,
            };
            self.call(replica, message)
        });
        let mut claim = Claim::First;
        for answer in join_all(queries).await {
            match answer {
                Some(Claim::First) => {}
                Some(Claim::Repeated(progress)) => return Claim::Repeated(progress),
                Some(other) => claim = other,
                None => claim = Claim::HistoryUnknown,
            }
        }
        claim
    }

    /// Answers an owner that does not know a key.
    pub(crate) fn answer_query(&self, key: ScopedKey, fingerprint: u64, reserve: bool) -> Claim {
        self.sync_members();
        let members = self.instance.view.load().members.clone();
        let now_ms = self.instance.now_ms();
        let known = self.table().lookup(key, fingerprint);
        if known != Claim::First || !reserve {
            return known;
        }
        let own = members.iter().find(|m| m.instance == *self.instance.id());
        if own.is_some_and(|own| {
            self.member_history().replicas_to_query(key, own) == Err(HistoryLost)
        }) {
            return Claim::HistoryUnknown;
        }
        self.table().claim(key, fingerprint, now_ms)
    }

    /// Tells the owners how the request of a key ended; nothing where it did not run. Tries for a
    /// while, because owners may be changing.
    pub(crate) async fn publish_outcome(
        self: Arc<Self>,
        key: ScopedKey,
        fingerprint: u64,
        progress: Option<Progress>,
    ) {
        for _ in 0..MAX_OUTCOME_ATTEMPTS {
            let members = self.instance.view.load().members.clone();
            let mut delivered = true;
            for owner in replica_pair(key, &members) {
                if owner.instance == *self.instance.id() {
                    self.record_outcome(key, fingerprint, progress.clone());
                    continue;
                }
                let message = Message::Finish {
                    key,
                    fingerprint,
                    progress: progress.clone(),
                };
                delivered &= self.call(owner, message).await.is_some();
            }
            if delivered {
                return;
            }
            tokio::time::sleep(OUTCOME_RETRY_DELAY).await;
        }
        self.instance.metrics.count("idempotency.finish_lost");
    }

    /// Takes in how the request of a key ended.
    pub(crate) fn record_outcome(
        &self,
        key: ScopedKey,
        fingerprint: u64,
        progress: Option<Progress>,
    ) {
        let now_ms = self.instance.now_ms();
        let mut table = self.table();
        match progress {
            None => table.release(key),
            Some(progress) => table.merge_copy(
                KeyCopy {
                    key,
                    fingerprint,
                    progress,
                    age_ms: 0,
                },
                now_ms,
            ),
        }
    }

    /// Takes in copies of another instance.
    pub(crate) fn merge_copies(&self, copies: Vec<KeyCopy>) {
        let now_ms = self.instance.now_ms();
        let mut table = self.table();
        for copy in copies {
            table.merge_copy(copy, now_ms);
        }
    }

    /// Looks at the list of members, and moves copies where the pairs changed.
    pub(crate) fn sync_members(&self) {
        let members = self.instance.view.load().members.clone();
        let now_ms = self.instance.now_ms();
        let changed = self.member_history().update(&members, now_ms);
        if changed {
            self.transfer_copies(&members, now_ms);
        }
    }

    fn transfer_copies(&self, members: &[Member], now_ms: u64) {
        let copies = self.table().copies(now_ms);
        let mut outgoing: HashMap<&Arc<str>, (&Member, Vec<KeyCopy>)> = HashMap::new();
        for copy in copies {
            for owner in replica_pair(copy.key, members) {
                if owner.instance != *self.instance.id() {
                    let entry = outgoing.entry(&owner.instance);
                    let (_, batch) = entry.or_insert((owner, Vec::new()));
                    batch.push(copy.clone());
                }
            }
        }
        let Some(peers) = self.instance.peers() else {
            return;
        };
        for (owner, copies) in outgoing.into_values() {
            for batch in copies.chunks(COPIES_PER_MESSAGE) {
                let message = Message::TransferKeys {
                    copies: batch.to_vec(),
                };
                let request = PeerRequest::Gateway(message);
                let mut replies = peers.open(&owner.instance, &owner.peer_address, request);
                actix_rt::spawn(async move { replies.next().await });
            }
        }
    }

    /// Asks a peer; nothing comes back where it gave no answer in time.
    async fn call(&self, peer: &Member, message: Message) -> Option<Claim> {
        let peers = self.instance.peers()?;
        let request = PeerRequest::Gateway(message);
        let mut replies = peers.open(&peer.instance, &peer.peer_address, request);
        match tokio::time::timeout(PEER_TIMEOUT, replies.next()).await {
            Ok(Some(Ok(PeerReply::Gateway(Reply::Claimed(claim))))) => Some(claim),
            Ok(Some(Ok(PeerReply::Gateway(Reply::Accepted)))) => Some(Claim::First),
            _ => None,
        }
    }

    fn table(&self) -> MutexGuard<'_, IdempotencyTable> {
        self.table
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn member_history(&self) -> MutexGuard<'_, MemberHistory> {
        self.member_history
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
