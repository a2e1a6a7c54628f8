//! HTTP clients towards endpoints, one a thread and address.
//!
//! A connection that goes silent may have taken others with it, so the clients of that address
//! are dropped on all threads, and the next request opens new connections.

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

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An idle connection is used again within this time; endpoints close theirs later than that.
const KEEP_ALIVE: Duration = Duration::from_millis(2_000);

/// Clients kept on one thread; more addresses than that means that endpoints came and went.
const MAX_CLIENTS_PER_THREAD: usize = 4_096;

/// When to try another endpoint after one could not be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

thread_local! {
    /// Clients can't cross threads, so each thread keeps its own, with the generation of their
    /// address at the time.
    static CLIENTS: RefCell<HashMap<Arc<str>, (u64, Client)>> = RefCell::new(HashMap::new());
}

/// Grows for an address when its open connections must not be used any more.
static GENERATIONS: RwLock<BTreeMap<Arc<str>, u64>> = RwLock::new(BTreeMap::new());

/// The client for an endpoint, with its open connections.
pub(crate) fn pooled(address: &Arc<str>) -> Client {
    let generation = generation(address);
    CLIENTS.with_borrow_mut(|clients| {
        if clients.len() >= MAX_CLIENTS_PER_THREAD && !clients.contains_key(address) {
            clients.clear();
        }
        let entry = clients.entry(address.clone());
        let (kept, client) = entry.or_insert_with(|| (generation, build(KEEP_ALIVE)));
        if *kept != generation {
            *kept = generation;
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

/// A client with no open connection, for requests that must not meet a silent one.
pub(crate) fn unpooled() -> Client {
    build(Duration::ZERO)
}

/// Forgets the open connections to an endpoint, on all threads.
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

/// What a failed send says of the request: only a connection that was never made proves that
/// nothing ran. `Disconnected` is no such proof, though it counts as an error of connecting: the
/// client also gives it when the other end closes after the request was sent.
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
