//! An immutable snapshot of the control state for traffic threads.
//!
//! The control thread builds a new view after each change and swaps it in atomically. Readers
//! never block, and a request can use one consistent view throughout.

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

/// Identifies an endpoint in [`EndpointTable`]. The fold assigns keys in log order, so all
/// instances use the same key for an endpoint, and keys are never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointKey(pub u32);

/// One endpoint in the folded state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// The platform's most recent list entry for the endpoint.
    pub platform: PlatformEndpoint,
}

impl Endpoint {
    /// Returns whether the platform may reclaim the endpoint at short notice.
    pub fn is_cheap(&self) -> bool {
        self.platform.tier == Tier::Cheap
    }
}

/// The listed endpoints, indexed by key, service and id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointTable {
    /// All endpoints in the platform's list, by key.
    pub endpoints: BTreeMap<EndpointKey, Endpoint>,
    /// Endpoint keys by service.
    pub by_service: BTreeMap<Arc<str>, Vec<EndpointKey>>,
    /// Endpoint keys by the platform's endpoint id.
    pub by_id: BTreeMap<Arc<str>, EndpointKey>,
    /// Key for the next new endpoint.
    pub next_key: u32,
}

/// One live instance, as seen by the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Random number that the instance chose when it started.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address for callers, as `ip:port`.
    pub address: Arc<str>,
    /// Address for peers, as `ip:port`.
    pub peer_address: Arc<str>,
    /// Whether the instance is draining: it gets no new work and becomes the home of no further
    /// endpoint. The home of an endpoint is the instance that sends requests to it.
    pub leaving: bool,
    /// Whether the instance has missed probes. It remains the home of its endpoints until the
    /// membership protocol considers it dead.
    pub suspect: bool,
    /// Configuration revision that the instance last reported to be in force.
    pub revision: u64,
}

/// The newest weight version of a trainer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestVersion {
    /// Version number.
    pub version: u64,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Log offset of the record that published the version. It orders the versions of all
    /// trainers.
    pub offset: u64,
}

/// The part of the control state that traffic threads need.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision in force: the log offset of its configuration; 0 before the first.
    pub revision: u64,
    /// Offset up to which the log is folded, exclusive.
    pub folded: u64,
    /// Text of the questionnaire in force, for display to operators.
    pub text: Arc<str>,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// Lease holders by lease name. For display to operators only: a holder may have lost its lease
    /// since, so traffic decisions must not use this field.
    pub leases: Arc<BTreeMap<Arc<str>, Arc<str>>>,
    /// History of accepted configurations, for display to operators.
    pub history: Arc<History>,
    /// API keys. Withdrawals reported by peers are already applied.
    pub keys: Arc<KeyTable>,
    /// Endpoints that the platform lists.
    pub endpoints: Arc<EndpointTable>,
    /// Live members including this instance, ordered by id.
    pub members: Arc<Vec<Member>>,
    /// Newest weight version by trainer.
    pub versions: Arc<BTreeMap<Arc<str>, NewestVersion>>,
}

/// Holds the current view and the time until which it counts as fresh, which means that this
/// instance can't have missed an accepted change.
#[derive(Debug, Default)]
pub struct SharedView {
    current: ArcSwap<View>,
    /// Serialises writers, so that concurrent updates of different fields are not lost.
    writers: Mutex<()>,
    fresh_until_ms: AtomicU64,
}

impl SharedView {
    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the current view.
    pub fn store(&self, view: View) {
        self.current.store(Arc::new(view));
    }

    /// Replaces the current view with a modified copy. Copying is cheap because the tables are
    /// reference-counted.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        let _writer_guard = self
            .writers
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut view = View::clone(&self.current.load());
        change(&mut view);
        self.store(view);
    }

    /// Returns the time until which this view may be used to serve requests that need an API key,
    /// in milliseconds of this instance's clock.
    pub fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Sets the time until which this view may be used to serve requests that need an API key, in
    /// milliseconds of this instance's clock.
    pub fn set_fresh_until_ms(&self, until_ms: u64) {
        self.fresh_until_ms.store(until_ms, Ordering::Release);
    }

    /// Returns whether the view is fresh at `now_ms`, so that this instance can't have missed an
    /// accepted change.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.fresh_until_ms.load(Ordering::Acquire)
    }
}
