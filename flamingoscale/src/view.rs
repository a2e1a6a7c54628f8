//! The immutable view of control state that traffic threads read.
//!
//! The control thread builds a new view after each change and swaps it in whole. Readers never
//! wait, and one request sees one view.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    }, //
};

use arc_swap::ArcSwap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    configuration::Configuration,
    keys::KeyTable,
    state::History,
    wire::{
        PlatformEndpoint,
        Tier, //
    }, //
};

/// Names one endpoint in the arena of [`EndpointTable`]. The fold gives it out in log order, so
/// all instances use the same number, and it is never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointKey(pub u32);

/// One endpoint as the fold knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// What the platform last said of it.
    pub platform: PlatformEndpoint,
}

impl Endpoint {
    /// Whether the platform may reclaim it.
    pub fn is_cheap(&self) -> bool {
        self.platform.tier == Tier::Cheap
    }
}

/// The endpoints by key and by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointTable {
    /// Every endpoint that the platform still lists.
    pub endpoints: BTreeMap<EndpointKey, Endpoint>,
    /// Keys by service.
    pub by_service: BTreeMap<Arc<str>, Vec<EndpointKey>>,
    /// Keys by the platform's id.
    pub by_id: BTreeMap<Arc<str>, EndpointKey>,
    /// The key that the next new endpoint gets.
    pub next_key: u32,
}

/// One live instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub instance: Arc<str>,
    /// Random at each start.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// `ip:port` for callers.
    pub address: Arc<str>,
    /// `ip:port` for peers.
    pub peer_address: Arc<str>,
    /// Whether it is going away: no new work, no new homes.
    pub leaving: bool,
    /// Whether it missed probes. It keeps its homes until it counts as dead.
    pub suspect: bool,
    /// The configuration revision that it said it has in force.
    pub revision: u64,
}

/// A newest weight version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestVersion {
    /// The version.
    pub version: u64,
    /// Its size.
    pub bytes: u64,
    /// The offset of the record that published it: grows with every version of every trainer.
    pub offset: u64,
}

/// Everything that traffic needs to know of control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The offset of the configuration in force; 0 before the first.
    pub revision: u64,
    /// The log is folded up to this offset.
    pub folded: u64,
    /// The questionnaire's text in force, for operators.
    pub text: Arc<str>,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// Holders by lease, for operators; traffic decides nothing by it.
    pub leases: Arc<BTreeMap<Arc<str>, Arc<str>>>,
    /// Accepted configurations, for operators.
    pub history: Arc<History>,
    /// Keys by digest, withdrawals from peers included.
    pub keys: Arc<KeyTable>,
    /// Endpoints.
    pub endpoints: Arc<EndpointTable>,
    /// Live members, this instance included, in order of id.
    pub members: Arc<Vec<Member>>,
    /// Newest weights by trainer.
    pub versions: Arc<BTreeMap<Arc<str>, NewestVersion>>,
}

/// The view in use, and how long it counts as fresh.
#[derive(Debug, Default)]
pub struct SharedView {
    current: ArcSwap<View>,
    /// Held by writers only, so that two changes of different fields don't undo each other.
    writers: Mutex<()>,
    fresh_until_ms: AtomicU64,
}

impl SharedView {
    /// Returns the view in use.
    pub fn load(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Puts a new view in use.
    pub fn store(&self, view: View) {
        self.current.store(Arc::new(view));
    }

    /// Puts a changed copy of the view in use. Copying is cheap: the tables are shared.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        let _writer_guard = self
            .writers
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut view = View::clone(&self.current.load());
        change(&mut view);
        self.store(view);
    }

    /// Until when keyed requests may be served on this view, by this instance's clock.
    pub fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Says until when keyed requests may be served on this view, by this instance's clock.
    pub fn set_fresh_until_ms(&self, until_ms: u64) {
        self.fresh_until_ms.store(until_ms, Ordering::Release);
    }

    /// Whether no accepted change can have passed this instance by.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.fresh_until_ms.load(Ordering::Acquire)
    }
}
