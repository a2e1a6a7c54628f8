//! HTTP clients towards endpoints, one a thread and address.
//!
//! A connection that goes silent may have taken others with it, so the whole client of that
//! address is dropped and the next request opens new connections.

use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
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
const KEPT_CLIENTS: usize = 4_096;

/// When to try another endpoint after one could not be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

thread_local! {
    static CLIENTS: RefCell<HashMap<Arc<str>, Client>> = RefCell::new(HashMap::new());
}

/// The client for an endpoint, with its open connections.
pub(crate) fn pooled(address: &Arc<str>) -> Client {
    CLIENTS.with_borrow_mut(|clients| {
        if clients.len() >= KEPT_CLIENTS && !clients.contains_key(address) {
            clients.clear();
        }
        let entry = clients.entry(address.clone());
        entry.or_insert_with(|| build(KEEP_ALIVE)).clone()
    })
}

/// A client with no open connection, for requests that must not meet a silent one.
pub(crate) fn fresh() -> Client {
    build(Duration::ZERO)
}

/// Forgets the open connections to an endpoint.
pub(crate) fn forget(address: &str) {
    CLIENTS.with_borrow_mut(|clients| clients.remove(address));
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
pub(crate) fn failed_send<T>(error: &SendRequestError) -> Outcome<T> {
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
