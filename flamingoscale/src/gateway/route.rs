//! Route filter: finds the service that a request is for.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use futures::future::LocalBoxFuture;

use crate::{
    configuration::{
        Configuration,
        Service,
        ServiceKind, //
    },
    dispatch::WorkBody,
    gateway::{
        answer::Answer,
        chain::{
            Exchange,
            Filter,
            Next, //
        }, //
    }, //
};

/// Looks up the service, and refuses a request if there is none of that name and kind.
pub(crate) struct RouteFilter {
    services: HashMap<Arc<str>, Service>,
}

impl RouteFilter {
    pub(crate) fn new(configuration: &Arc<Configuration>) -> Self {
        let services = configuration.services.iter();
        Self {
            services: services
                .map(|service| (service.name.clone(), service.clone()))
                .collect(),
        }
    }
}

impl Filter for RouteFilter {
    fn call<'a>(&'a self, mut exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let required_kind = match exchange.body {
            WorkBody::Completion(_) => ServiceKind::Engine,
            WorkBody::Plain { .. } => ServiceKind::Plain,
        };
        match self.services.get(&exchange.service_name) {
            Some(service) if service.kind == required_kind => {
                exchange.service = Some(service.clone());
                next.run(exchange)
            }
            _ => Box::pin(std::future::ready(Answer::no_route())),
        }
    }
}
