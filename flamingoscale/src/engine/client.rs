//! HTTP clients for endpoints, one per thread and address.
//!
//! If one connection to an address stops responding, others to the same address may be dead too.
//! The pooled connections to that address are then discarded on all threads, and the next request
//! opens a new connection.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::{
        Arc,
        RwLock, //
    },
    time::Duration, //
};

use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    Client,
    Connector, //
};

use crate::outcome::{
    NotRun,
    Outcome,
    Refusal, //
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which an idle connection may be reused. It is shorter than the keep-alive timeout of
/// endpoints, so that no request is sent on a connection that the endpoint is closing.
const KEEP_ALIVE: Duration = Duration::from_millis(2_000);

/// Maximum number of clients per thread. When it is reached, most of them belong to endpoints that
/// no longer exist, so all are dropped.
const MAX_CLIENTS_PER_THREAD: usize = 4_096;

/// Delay after which a request may be retried if its endpoint could not be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

thread_local! {
    /// Clients by address, with the generation of the address for which they were created. Clients
    /// are not `Send`, so each thread has its own.
    static CLIENTS: RefCell<HashMap<Arc<str>, (u64, Client)>> = RefCell::new(HashMap::new());
}

/// Generation by address. It is incremented to invalidate the pooled connections to the address on
/// all threads.
static GENERATIONS: RwLock<BTreeMap<Arc<str>, u64>> = RwLock::new(BTreeMap::new());

/// Returns this thread's client for an endpoint, which reuses its open connections.
pub(crate) fn pooled(address: &Arc<str>) -> Client {
    let generation = generation(address);
    CLIENTS.with_borrow_mut(|clients| {
        if clients.len() >= MAX_CLIENTS_PER_THREAD && !clients.contains_key(address) {
            clients.clear();
        }
        let entry = clients.entry(address.clone());
        let (client_generation, client) = entry.or_insert_with(|| (generation, build(KEEP_ALIVE)));
        if *client_generation != generation {
            *client_generation = generation;
            *client = build(KEEP_ALIVE);
        }
        client.clone()
    })
}

fn generation(address: &str) -> u64 {
    let generations = GENERATIONS
        .read()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    generations.get(address).copied().unwrap_or(0)
}

/// Returns a client without open connections, for requests that must not be sent on a connection
/// that may be dead.
pub(crate) fn unpooled() -> Client {
    build(Duration::ZERO)
}

/// Discards the pooled connections to an endpoint on all threads.
pub(crate) fn discard_connections(address: &Arc<str>) {
    let mut generations = GENERATIONS
        .write()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    *generations.entry(address.clone()).or_default() += 1;
}

fn build(keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(keep_alive)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Returns the outcome of a request whose sending failed.
///
/// Only a connection that was never established proves that the request did not run.
/// `Disconnected` is no such proof although it is a [`ConnectError`]: the client also returns it if
/// the endpoint closes the connection after the request was sent.
pub(crate) fn send_error_outcome<T>(error: &SendRequestError) -> Outcome<T> {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Outcome::Unknown("the endpoint closed the connection".into())
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            let refusal = Refusal::Unreachable(error.to_string().into());
            Outcome::NotRun(NotRun::retry_after(refusal, UNREACHABLE_RETRY_MS))
        }
        _ => Outcome::Unknown(error.to_string().into()),
    }
}

#[cfg(test)]
mod tests;
