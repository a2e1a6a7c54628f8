//! Entry point for requests from callers (HTTP clients): a chain of filters that ends in dispatch.
//!
//! The filters run in the order deadline → route → API key → organisation limit → quarantine →
//! idempotency → dispatch. The chain is built from the configuration and replaced as a whole when
//! the configuration changes; requests in flight finish on the chain on which they started. See
//! `docs/design/filters.md`.

mod answer;
mod bodies;
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
        bodies::BodyBudget,
        chain::{
            Chain,
            Filter, //
        },
        idempotency::{
            replicator::KeyReplicator,
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

/// Messages that the gateways of different instances send each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// Replaced by [`Message::CrashesSeen`] and no longer sent. It keeps its place, because the encoding
    /// numbers the variants.
    ReportCrash {
        /// Hash of the request, as computed by `Work::fingerprint`.
        fingerprint: u64,
        /// Number of crashes that the sender has counted for this request.
        crashes: u32,
    },
    /// Asks the key's owner whether this is the first request with the key, and claims the key for
    /// it if so.
    ClaimKey {
        /// The idempotency key.
        key: ScopedKey,
        /// Hash of the request, by which reuse of the key for a different request is detected.
        fingerprint: u64,
    },
    /// Asks another replica of a key for the progress of its request. Sent by the key's owner.
    QueryKey {
        /// The idempotency key.
        key: ScopedKey,
        /// Hash of the request, by which reuse of the key for a different request is detected.
        fingerprint: u64,
        /// Whether the receiver records the request as started if the key is unknown to it.
        reserve: bool,
    },
    /// Reports to the key's replicas how its request ended.
    ReportOutcome {
        /// The idempotency key.
        key: ScopedKey,
        /// Hash of the request, by which reuse of the key for a different request is detected.
        fingerprint: u64,
        /// How the request ended, or `None` if it did not run and the key can be released.
        progress: Option<Progress>,
    },
    /// Transfers keys of which the receiver has become a replica.
    TransferKeys {
        /// State of each transferred key.
        copies: Vec<KeyCopy>,
    },
    /// Asks the owner of an organisation's limit to lend tokens.
    BorrowTokens {
        /// The organisation whose limit is charged.
        organisation: Arc<str>,
        /// Number of tokens to borrow.
        tokens: u64,
    },
    /// Returns borrowed tokens that were not used to the owner of the limit.
    ReturnTokens {
        /// The organisation whose limit is credited.
        organisation: Arc<str>,
        /// Number of tokens returned.
        tokens: u64,
    },
    /// Reports that a suspect request ran alone without crashing its endpoint. Sent to all members.
    ClearSuspicion {
        /// Hash of the request, as computed by `Work::fingerprint`.
        fingerprint: u64,
    },
    /// Reports that a request was in flight when an endpoint crashed. Sent to all members.
    CrashesSeen {
        /// Hash of the request, as computed by `Work::fingerprint`.
        fingerprint: u64,
        /// The sender.
        instance: Arc<str>,
        /// Number of crashes of this request that the sender has seen itself.
        crashes: u32,
    },
}

/// Replies to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The message was processed; it has no other result.
    Accepted,
    /// Reply to [`Message::ClaimKey`] and [`Message::QueryKey`].
    Claimed(Claim),
    /// Reply to [`Message::BorrowTokens`]: all requested tokens are lent.
    TokensLent,
    /// Reply to [`Message::BorrowTokens`]: no tokens are lent because the limit is used up.
    LimitExhausted {
        /// Milliseconds until tokens are available again.
        retry_after_ms: u64,
    },
}

/// Accepts requests from callers on one instance.
pub struct Gateway {
    instance: Arc<Instance>,
    /// What is kept for the bodies of requests.
    bodies: Arc<BodyBudget>,
    shared: SharedState,
    chain: ArcSwap<Chain>,
    /// Serialises rebuilds of the chain.
    build_lock: Mutex<()>,
}

/// State that is kept when the chain is rebuilt.
#[derive(Clone)]
pub(crate) struct SharedState {
    pub(crate) instance: Arc<Instance>,
    pub(crate) dispatch: Arc<dyn Dispatch>,
    pub(crate) lending: Arc<Lending>,
    pub(crate) quarantine: Arc<QuarantineTable>,
    pub(crate) key_replicator: Arc<KeyReplicator>,
}

impl Gateway {
    /// Creates a gateway that passes requests to `dispatcher`.
    pub fn new(instance: Arc<Instance>, dispatcher: Arc<Dispatcher>) -> Arc<Self> {
        let shared = SharedState {
            instance: instance.clone(),
            lending: dispatcher.lending.clone(),
            quarantine: dispatcher.quarantine.clone(),
            key_replicator: dispatcher.owners.clone(),
            dispatch: dispatcher,
        };
        Arc::new(Self {
            bodies: BodyBudget::new(instance.settings.memory_mb << 20),
            instance,
            chain: ArcSwap::from_pointee(build_chain(&Arc::default(), &shared)),
            shared,
            build_lock: Mutex::default(),
        })
    }

    /// Returns the chain of the current configuration, and rebuilds it if the configuration
    /// changed.
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

fn build_chain(configuration: &Arc<Configuration>, shared: &SharedState) -> Chain {
    let filters: Vec<Box<dyn Filter>> = vec![
        Box::new(deadline::DeadlineFilter::new(configuration)),
        Box::new(route::RouteFilter::new(configuration)),
        Box::new(key::KeyFilter::new(shared)),
        Box::new(limit::LimitFilter::new(configuration, shared)),
        Box::new(quarantine::QuarantineFilter::new(shared)),
        Box::new(idempotency::IdempotencyFilter::new(shared)),
        Box::new(dispatch::DispatchFilter::new(shared)),
    ];
    Chain {
        configuration: configuration.clone(),
        filters,
    }
}

/// Registers the HTTP routes for callers.
pub fn configure(config: &mut web::ServiceConfig, gateway: Arc<Gateway>) {
    http::configure(config, gateway);
}
