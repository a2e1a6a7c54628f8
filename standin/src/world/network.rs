//! Simulated network between the instances of a world.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use flamingoscale::peer::{
    PeerError,
    PeerHandler,
    PeerRequest,
    PeerStream,
    Peers, //
};
use rand::{
    Rng as _,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use super::lock;

/// Latency of one message in one direction.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);

/// Capacity of the channel for replies in flight.
const REPLY_CHANNEL_CAPACITY: usize = 32;

struct Inner {
    handlers: BTreeMap<Arc<str>, Arc<dyn PeerHandler>>,
    random: ChaCha8Rng,
    /// The replies to a random one in this many requests are lost; 0 turns the fault off.
    drop_one_reply_in: u32,
}

/// The network that connects all instances.
#[derive(Clone)]
pub(super) struct Network(Arc<Mutex<Inner>>);

/// One instance's connections to its peers.
struct NetworkPeers {
    from: Arc<str>,
    network: Network,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            handlers: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x57),
            drop_one_reply_in: 0,
        })))
    }

    pub(super) fn connect(&self, name: &Arc<str>, handler: Arc<dyn PeerHandler>) {
        lock(&self.0).handlers.insert(name.clone(), handler);
    }

    pub(super) fn disconnect(&self, name: &str) {
        lock(&self.0).handlers.remove(name);
    }

    pub(super) fn drop_replies(&self, one_in: u32) {
        lock(&self.0).drop_one_reply_in = one_in;
    }

    pub(super) fn peers_of(&self, name: &Arc<str>) -> Arc<dyn Peers> {
        Arc::new(NetworkPeers {
            from: name.clone(),
            network: self.clone(),
        })
    }

    fn handler(&self, name: &str) -> Option<Arc<dyn PeerHandler>> {
        lock(&self.0).handlers.get(name).cloned()
    }

    fn should_drop_reply(&self) -> bool {
        let mut inner = lock(&self.0);
        let one_in = inner.drop_one_reply_in;
        one_in > 0 && inner.random.next_u32() % one_in == 0
    }

    /// Delivers a request to a peer and its replies back to the sender. The reply stream ends with an
    /// error at the first reply that is lost.
    async fn deliver(
        self,
        from: Arc<str>,
        peer: Arc<str>,
        request: PeerRequest,
        replies: mpsc::Sender<Result<flamingoscale::peer::PeerReply, PeerError>>,
    ) {
        sleep(ONE_WAY_LATENCY).await;
        let reason: Arc<str> = "the wire is cut".into();
        let Some(handler) = self.handler(&peer) else {
            let _ = replies.send(Err(PeerError::NotSent { peer, reason })).await;
            return;
        };
        let drop_reply = self.should_drop_reply();
        let (sender, mut receiver) = mpsc::channel(REPLY_CHANNEL_CAPACITY);
        handler.handle(from, request, sender);
        while let Some(reply) = receiver.recv().await {
            if drop_reply || self.handler(&peer).is_none() {
                let _ = replies.send(Err(PeerError::Lost { peer, reason })).await;
                return;
            }
            sleep(ONE_WAY_LATENCY).await;
            if replies.send(Ok(reply)).await.is_err() {
                return;
            }
        }
    }
}

impl Peers for NetworkPeers {
    fn open(&self, peer: &Arc<str>, _peer_address: &Arc<str>, request: PeerRequest) -> PeerStream {
        let (replies, stream) = PeerStream::channel();
        let network = self.network.clone();
        let (from, peer) = (self.from.clone(), peer.clone());
        actix_rt::spawn(network.deliver(from, peer, request, replies));
        stream
    }
}
