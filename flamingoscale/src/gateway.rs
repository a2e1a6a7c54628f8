//! The way of a request: a chain of filters, then dispatch.
//!
//! deadline → route → key → organisation limit → quarantine → idempotency → dispatch. The chain
//! is built from the configuration and swapped whole when that changes; requests under way end on
//! the chain that they began on. See `docs/design/filters.md`.

mod answer;
mod chain;
mod deadline;
mod dispatch;
mod entries;
mod http;
pub mod idempotency;
pub(crate) mod key;
pub(crate) mod limit;
pub(crate) mod quarantine;
mod route;
mod stream;

pub(crate) use entries::ENTRIES_TTL_MS;

use std::sync::{
    Arc,
    Mutex, //
};

use actix_web::web;
use arc_swap::ArcSwap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    configuration::Configuration,
    dispatch::{
        Dispatch,
        Dispatcher, //
    },
    gateway::{
        chain::{
            Chain,
            Filter, //
        },
        idempotency::{
            owners::KeyOwners,
            table::{
                Claim,
                KeyCopy,
                Progress,
                ScopedKey, //
            }, //
        },
        limit::lending::Lending,
        quarantine::QuarantineTable, //
    },
    instance::Instance, //
};

/// What peers ask of each other on behalf of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// This fingerprint was in flight when an endpoint crashed.
    ReportCrash {
        /// The request's fingerprint.
        fingerprint: u64,
        /// How many crashes it was seen in.
        crashes: u32,
    },
    /// Is this the first request with the key? Asked of the key's owner.
    Claim {
        /// The key.
        key: ScopedKey,
        /// The fingerprint of its request.
        fingerprint: u64,
    },
    /// What do you know of this key? Asked by its owner.
    QueryKey {
        /// The key.
        key: ScopedKey,
        /// The fingerprint of its request.
        fingerprint: u64,
        /// Whether to note that its request started, if it is not known.
        reserve: bool,
    },
    /// The request of this key ended.
    Finish {
        /// The key.
        key: ScopedKey,
        /// The fingerprint of its request.
        fingerprint: u64,
        /// How it ended; none where it did not run.
        progress: Option<Progress>,
    },
    /// Keys that the receiver has to remember from now on.
    TransferKeys {
        /// What is known of them.
        copies: Vec<KeyCopy>,
    },
    /// Lend me tokens of an organisation's limit.
    BorrowTokens {
        /// The organisation.
        organisation: Arc<str>,
        /// How many.
        tokens: u64,
    },
    /// These tokens were not used.
    ReturnTokens {
        /// The organisation.
        organisation: Arc<str>,
        /// How many.
        tokens: u64,
    },
    /// This fingerprint ran alone and did no harm.
    ClearSuspicion {
        /// The request's fingerprint.
        fingerprint: u64,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Done.
    Accepted,
    /// To [`Message::Claim`] and [`Message::QueryKey`].
    Claimed(Claim),
    /// To [`Message::BorrowTokens`]: all of them.
    TokensLent,
    /// To [`Message::BorrowTokens`]: the limit is used up.
    LimitExhausted {
        /// Milliseconds until there will be some.
        retry_after_ms: u64,
    },
}

/// The entry for callers of one instance.
pub struct Gateway {
    instance: Arc<Instance>,
    shared: Shared,
    chain: ArcSwap<Chain>,
    build_lock: Mutex<()>,
}

/// What outlives a change of the chain.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) instance: Arc<Instance>,
    pub(crate) dispatch: Arc<dyn Dispatch>,
    pub(crate) lending: Arc<Lending>,
    pub(crate) quarantine: Arc<QuarantineTable>,
    pub(crate) owners: Arc<KeyOwners>,
}

impl Gateway {
    /// A gateway that hands requests to the dispatcher.
    pub fn new(instance: Arc<Instance>, dispatcher: Arc<Dispatcher>) -> Arc<Self> {
        let shared = Shared {
            instance: instance.clone(),
            lending: dispatcher.lending.clone(),
            quarantine: dispatcher.quarantine.clone(),
            owners: dispatcher.owners.clone(),
            dispatch: dispatcher,
        };
        Arc::new(Self {
            instance,
            chain: ArcSwap::from_pointee(build_chain(&Arc::default(), &shared)),
            shared,
            build_lock: Mutex::default(),
        })
    }

    /// The chain of the configuration in force.
    fn chain(&self) -> Arc<Chain> {
        let view = self.instance.view.load();
        let chain = self.chain.load_full();
        if Arc::ptr_eq(&chain.configuration, &view.configuration) {
            return chain;
        }
        let _build_guard = self
            .build_lock
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let built = Arc::new(build_chain(&view.configuration, &self.shared));
        self.chain.store(built.clone());
        let fields: [(&str, &dyn std::fmt::Display); 1] = [("revision", &view.revision)];
        self.instance.timeline.record("gateway.chain", "", &fields);
        built
    }
}

fn build_chain(configuration: &Arc<Configuration>, shared: &Shared) -> Chain {
    let filters: Vec<Box<dyn Filter>> = vec![
        Box::new(deadline::Deadline::new(configuration)),
        Box::new(route::Route::new(configuration)),
        Box::new(key::Key::new(shared)),
        Box::new(limit::Limit::new(configuration, shared)),
        Box::new(quarantine::Quarantine::new(shared)),
        Box::new(idempotency::Idempotency::new(shared)),
        Box::new(dispatch::DispatchFilter::new(shared)),
    ];
    Chain {
        configuration: configuration.clone(),
        filters,
    }
}

/// Registers the callers' routes.
pub fn configure(config: &mut web::ServiceConfig, gateway: Arc<Gateway>) {
    http::configure(config, gateway);
}
