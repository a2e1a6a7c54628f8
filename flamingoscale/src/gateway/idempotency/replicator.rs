//! Distributed ownership of idempotency keys: claims, replication and transfer between instances.

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

/// Timeout for a peer's reply about a key.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of attempts to report an outcome to a key's replicas.
const MAX_OUTCOME_ATTEMPTS: u32 = 6;

/// Delay between attempts to report an outcome to a key's replicas.
const OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of copies in one transfer message.
const COPIES_PER_MESSAGE: usize = 64;

/// Stores the idempotency keys of which this instance is owner or backup, and exchanges their state
/// with the other replicas.
pub(crate) struct KeyReplicator {
    instance: Arc<Instance>,
    table: Mutex<IdempotencyTable>,
    member_history: Mutex<MemberHistory>,
}

impl KeyReplicator {
    pub(crate) fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new(Self {
            instance,
            table: Mutex::default(),
            member_history: Mutex::default(),
        })
    }

    /// Asks the key's owner whether a request is the first one with the key. On [`Claim::First`],
    /// the owner and its backup, if there is one, have recorded that the request started.
    pub(crate) async fn claim(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let Some(owner) = replica_pair(key, &members).first().copied() else {
            return self.claim_as_owner(key, fingerprint).await;
        };
        if owner.instance == *self.instance.id() {
            return self.claim_as_owner(key, fingerprint).await;
        }
        let message = Message::ClaimKey { key, fingerprint };
        self.call(owner, message)
            .await
            .unwrap_or(Claim::HistoryUnknown)
    }

    /// Decides a claim as the key's owner. If the owner does not know the key, it queries the
    /// replicas.
    pub(crate) async fn claim_as_owner(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        self.sync_members();
        let now_ms = self.instance.now_ms();
        let local_claim = self.table().claim(key, fingerprint, now_ms);
        if local_claim != Claim::First {
            return local_claim;
        }
        let claim = self.query_replicas(key, fingerprint).await;
        match &claim {
            Claim::First => {}
            Claim::Repeated(progress) => self.table().finish(key, progress.clone()),
            _ => self.table().release(key),
        }
        claim
    }

    /// Queries the other replicas about a key that this owner does not know, and asks the first of
    /// them, which is the backup if there is one, to record the key as started.
    async fn query_replicas(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let own_member = members
            .iter()
            .find(|member| member.instance == *self.instance.id());
        let Some(own_member) = own_member else {
            return Claim::First;
        };
        let replicas = match self.member_history().replicas_to_query(key, own_member) {
            Ok(replicas) => replicas,
            Err(HistoryLost) => return Claim::HistoryUnknown,
        };
        let queries = replicas.iter().enumerate().map(|(index, replica)| {
            let message = Message::QueryKey {
                key,
                fingerprint,
                reserve: index == 0,
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

    /// Answers the query of an owner that does not know a key. With `reserve`, a key that is
    /// unknown here too is recorded as started.
    pub(crate) fn answer_query(&self, key: ScopedKey, fingerprint: u64, reserve: bool) -> Claim {
        self.sync_members();
        let members = self.instance.view.load().members.clone();
        let now_ms = self.instance.now_ms();
        let local_claim = self.table().lookup(key, fingerprint);
        if local_claim != Claim::First || !reserve {
            return local_claim;
        }
        let own_member = members
            .iter()
            .find(|member| member.instance == *self.instance.id());
        if own_member.is_some_and(|own_member| {
            self.member_history().replicas_to_query(key, own_member) == Err(HistoryLost)
        }) {
            return Claim::HistoryUnknown;
        }
        self.table().claim(key, fingerprint, now_ms)
    }

    /// Reports the outcome of a key's request to the key's replicas; `None` means that it did not
    /// run. Makes up to [`MAX_OUTCOME_ATTEMPTS`] attempts, because the replicas may be changing.
    pub(crate) async fn publish_outcome(
        self: Arc<Self>,
        key: ScopedKey,
        fingerprint: u64,
        progress: Option<Progress>,
    ) {
        for _ in 0..MAX_OUTCOME_ATTEMPTS {
            let members = self.instance.view.load().members.clone();
            let mut delivered = true;
            for replica in replica_pair(key, &members) {
                if replica.instance == *self.instance.id() {
                    self.record_outcome(key, fingerprint, progress.clone());
                    continue;
                }
                let message = Message::ReportOutcome {
                    key,
                    fingerprint,
                    progress: progress.clone(),
                };
                delivered &= self.call(replica, message).await.is_some();
            }
            if delivered {
                return;
            }
            tokio::time::sleep(OUTCOME_RETRY_DELAY).await;
        }
        self.instance.metrics.count("idempotency.finish_lost");
    }

    /// Records the outcome of a key's request; `None` releases the key.
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

    /// Merges copies of keys that another instance transferred.
    pub(crate) fn merge_copies(&self, copies: Vec<KeyCopy>) {
        let now_ms = self.instance.now_ms();
        let mut table = self.table();
        for copy in copies {
            table.merge_copy(copy, now_ms);
        }
    }

    /// Reads the current member list, and transfers copies to the new pairs if it changed.
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
            for replica in replica_pair(copy.key, members) {
                if replica.instance != *self.instance.id() {
                    let entry = outgoing.entry(&replica.instance);
                    let (_, batch) = entry.or_insert((replica, Vec::new()));
                    batch.push(copy.clone());
                }
            }
        }
        let Some(peers) = self.instance.peers() else {
            return;
        };
        for (replica, copies) in outgoing.into_values() {
            for batch in copies.chunks(COPIES_PER_MESSAGE) {
                let message = Message::TransferKeys {
                    copies: batch.to_vec(),
                };
                let request = PeerRequest::Gateway(message);
                let mut replies = peers.open(&replica.instance, &replica.peer_address, request);
                actix_rt::spawn(async move { replies.next().await });
            }
        }
    }

    /// Sends a message to a peer. Returns `None` if the peer did not reply within [`PEER_TIMEOUT`].
    /// The reply [`Reply::Accepted`], which confirms delivery only, is returned as
    /// [`Claim::First`].
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
