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
            table::{
                Claim,
                KeyCopy,
                KeyMemory,
                Progress,
                ScopedKey, //
            },
            vouching::{
                pair,
                Lost,
                Vouching, //
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
const FINISH_TRIES: u32 = 6;

/// Pause between these tries.
const FINISH_PAUSE: Duration = Duration::from_millis(400);

/// Copies in one message of a hand-over.
const COPIES_PER_MESSAGE: usize = 64;

/// Idempotency keys as one instance remembers them, and its way to the other owners.
pub(crate) struct Owners {
    instance: Arc<Instance>,
    memory: Mutex<KeyMemory>,
    vouching: Mutex<Vouching>,
}

impl Owners {
    pub(crate) fn new(instance: Arc<Instance>) -> Arc<Self> {
        Arc::new(Self {
            instance,
            memory: Mutex::default(),
            vouching: Mutex::default(),
        })
    }

    /// Asks the key's owner whether a request is the first with the key. When the answer is
    /// [`Claim::First`], two instances have noted that it started.
    pub(crate) async fn claim(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let Some(owner) = pair(key, &members).first().copied() else {
            return self.claim_here(key, fingerprint).await;
        };
        if owner.instance == *self.instance.id() {
            return self.claim_here(key, fingerprint).await;
        }
        let message = Message::Claim { key, fingerprint };
        self.ask(owner, message).await.unwrap_or(Claim::NoVouching)
    }

    /// Answers a claim as the key's owner.
    pub(crate) async fn claim_here(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        self.follow_members();
        let now_ms = self.instance.now_ms();
        let known = self.memory().claim(key, fingerprint, now_ms);
        if known != Claim::First {
            return known;
        }
        let claim = self.ask_witnesses(key, fingerprint).await;
        match &claim {
            Claim::First => {}
            Claim::Repeated(progress) => self.memory().finish(key, progress.clone()),
            _ => self.memory().release(key),
        }
        claim
    }

    async fn ask_witnesses(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        let members = self.instance.view.load().members.clone();
        let here = members.iter().find(|m| m.instance == *self.instance.id());
        let Some(here) = here else {
            return Claim::First;
        };
        let witnesses = match self.vouching().witnesses(key, here) {
            Ok(witnesses) => witnesses,
            Err(Lost) => return Claim::NoVouching,
        };
        let asked = witnesses.iter().enumerate().map(|(number, witness)| {
            let message = Message::Ask {
                key,
                fingerprint,
                hold: number == 0,
            };
            self.ask(witness, message)
        });
        let mut claim = Claim::First;
        for answer in join_all(asked).await {
            match answer {
                Some(Claim::First) => {}
                Some(Claim::Repeated(progress)) => return Claim::Repeated(progress),
                Some(other) => claim = other,
                None => claim = Claim::NoVouching,
            }
        }
        claim
    }

    /// Answers an owner that does not know a key.
    pub(crate) fn asked(&self, key: ScopedKey, fingerprint: u64, hold: bool) -> Claim {
        self.follow_members();
        let members = self.instance.view.load().members.clone();
        let now_ms = self.instance.now_ms();
        let known = self.memory().look(key, fingerprint);
        if known != Claim::First || !hold {
            return known;
        }
        let here = members.iter().find(|m| m.instance == *self.instance.id());
        if here.is_some_and(|here| self.vouching().witnesses(key, here) == Err(Lost)) {
            return Claim::NoVouching;
        }
        self.memory().claim(key, fingerprint, now_ms)
    }

    /// Tells the owners how the request of a key ended; nothing where it did not run. Tries for a
    /// while, because owners may be changing.
    pub(crate) async fn finish(
        self: Arc<Self>,
        key: ScopedKey,
        fingerprint: u64,
        progress: Option<Progress>,
    ) {
        for _ in 0..FINISH_TRIES {
            let members = self.instance.view.load().members.clone();
            let mut told = true;
            for owner in pair(key, &members) {
                if owner.instance == *self.instance.id() {
                    self.finished(key, fingerprint, progress.clone());
                    continue;
                }
                let message = Message::Finish {
                    key,
                    fingerprint,
                    progress: progress.clone(),
                };
                told &= self.ask(owner, message).await.is_some();
            }
            if told {
                return;
            }
            tokio::time::sleep(FINISH_PAUSE).await;
        }
        self.instance.metrics.count("idempotency.finish_lost");
    }

    /// Takes in how the request of a key ended.
    pub(crate) fn finished(&self, key: ScopedKey, fingerprint: u64, progress: Option<Progress>) {
        let now_ms = self.instance.now_ms();
        let mut memory = self.memory();
        match progress {
            None => memory.release(key),
            Some(progress) => memory.adopt(
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
    pub(crate) fn adopt(&self, copies: Vec<KeyCopy>) {
        let now_ms = self.instance.now_ms();
        let mut memory = self.memory();
        for copy in copies {
            memory.adopt(copy, now_ms);
        }
    }

    /// Looks at the list of members, and moves copies where the pairs changed.
    pub(crate) fn follow_members(&self) {
        let members = self.instance.view.load().members.clone();
        let now_ms = self.instance.now_ms();
        let changed = self.vouching().update(&members, now_ms);
        if changed {
            self.hand_over(&members, now_ms);
        }
    }

    fn hand_over(&self, members: &[Member], now_ms: u64) {
        let copies = self.memory().copies(now_ms);
        let mut outgoing: HashMap<&Arc<str>, (&Member, Vec<KeyCopy>)> = HashMap::new();
        for copy in copies {
            for owner in pair(copy.key, members) {
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
                let message = Message::Adopt {
                    copies: batch.to_vec(),
                };
                let request = PeerRequest::Gateway(message);
                let mut replies = peers.open(&owner.instance, &owner.peer_address, request);
                actix_rt::spawn(async move { replies.next().await });
            }
        }
    }

    /// Asks a peer; nothing comes back where it gave no answer in time.
    async fn ask(&self, peer: &Member, message: Message) -> Option<Claim> {
        let peers = self.instance.peers()?;
        let request = PeerRequest::Gateway(message);
        let mut replies = peers.open(&peer.instance, &peer.peer_address, request);
        match tokio::time::timeout(PEER_TIMEOUT, replies.next()).await {
            Ok(Some(Ok(PeerReply::Gateway(Reply::Claimed(claim))))) => Some(claim),
            Ok(Some(Ok(PeerReply::Gateway(Reply::Taken)))) => Some(Claim::First),
            _ => None,
        }
    }

    fn memory(&self) -> MutexGuard<'_, KeyMemory> {
        self.memory
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn vouching(&self) -> MutexGuard<'_, Vouching> {
        self.vouching
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
