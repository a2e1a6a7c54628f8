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
mod idempotency;
mod key;
mod limit;
pub(crate) mod quarantine;
mod route;
mod stream;

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
        idempotency::IdempotencyTable,
        limit::LimitTable,
        quarantine::QuarantineTable, //
    },
    instance::Instance, //
};

/// What peers ask of each other on behalf of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// This fingerprint was in flight when an endpoint crashed.
    Suspect {
        /// The request's fingerprint.
        fingerprint: u64,
        /// How many crashes it was seen in.
        crashes: u32,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Done.
    Taken,
}

/// The entry for callers of one instance.
pub struct Gateway {
    instance: Arc<Instance>,
    shared: Shared,
    chain: ArcSwap<Chain>,
    building: Mutex<()>,
}

/// What outlives a change of the chain.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) instance: Arc<Instance>,
    pub(crate) dispatch: Arc<dyn Dispatch>,
    pub(crate) limits: Arc<LimitTable>,
    pub(crate) quarantine: Arc<QuarantineTable>,
    pub(crate) idempotency: Arc<IdempotencyTable>,
}

impl Gateway {
    /// A gateway that hands requests to the dispatcher.
    pub fn new(instance: Arc<Instance>, dispatcher: Arc<Dispatcher>) -> Arc<Self> {
        let shared = Shared {
            instance: instance.clone(),
            limits: Arc::default(),
            quarantine: dispatcher.quarantine.clone(),
            idempotency: Arc::default(),
            dispatch: dispatcher,
        };
        Arc::new(Self {
            instance,
            chain: ArcSwap::from_pointee(build_chain(&Arc::default(), &shared)),
            shared,
            building: Mutex::default(),
        })
    }

    /// The chain of the configuration in force.
    fn chain(&self) -> Arc<Chain> {
        let view = self.instance.view.load();
        let chain = self.chain.load_full();
        if Arc::ptr_eq(&chain.configuration, &view.configuration) {
            return chain;
        }
        let _building = self
            .building
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
