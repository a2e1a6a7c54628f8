//! Connections from clients, within the limits of [`Clients`].
//!
//! [`ClientTable`] takes connections and wraps each in a [`ClientStream`], which reads only as much as the
//! process can take now. [`Gate`] is the other side of it: the HTTP server tells it which part of a request it
//! waits for. [`ClientMemory`] is what is kept for a request, and gives it back when it is dropped. See
//! `docs/design/clients.md`.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};

use crate::{
    clock::{
        BootClock,
        Clock, //
    },
    fleet::clients::{
        ClientLimits,
        Clients,
        ConnectionKey,
        End,
        Result,
        Shortage, //
    }, //
};

mod body;
mod gate;
mod stream;

pub(crate) use body::append;
pub use body::{
    read_body,
    BodyError,
    KeptBody, //
};
pub use gate::{
    BodyForm,
    Gate, //
};
pub use stream::ClientStream;

/// Number of connections that are left to the addresses which callers don't use.
const SPARE_CONNECTIONS: usize = 16;

/// Is told what clients don't get.
pub trait ClientObserver {
    /// A connection ends before its client has ended it.
    fn ended(&self, client: &str, end: End);
    /// A connection is not taken, as all others are in use.
    fn not_taken(&self, client: &str);
    /// Something is not kept for a request.
    fn short(&self, client: &str, shortage: Shortage);
}

/// The connections of a process from its clients.
pub struct ClientTable {
    clients: RefCell<Clients>,
    gates: RefCell<HashMap<ConnectionKey, Rc<Gate>>>,
    observer: Box<dyn ClientObserver>,
}

impl ClientTable {
    /// Returns the table of a process without connections.
    pub fn new(limits: ClientLimits, observer: Box<dyn ClientObserver>) -> Rc<Self> {
        Rc::new(Self {
            clients: RefCell::new(Clients::new(limits)),
            gates: RefCell::default(),
            observer,
        })
    }

    /// Takes a connection of a client with this address, and may end another one for it. Returns `None` if all
    /// connections are in use: then it should be closed.
    pub fn take<S>(
        self: &Rc<Self>,
        stream: S,
        client: Arc<str>,
        is_caller: bool,
    ) -> Option<ClientStream<S>> {
        let spare = self.clients.borrow().limits().connections / 2;
        let spare = if is_caller {
            spare.min(SPARE_CONNECTIONS)
        } else {
            0
        };
        let opened = self.clients.borrow_mut().open_connection(spare, now_ms());
        let Some((key, displaced)) = opened else {
            self.observer.not_taken(&client);
            return None;
        };
        self.end_all(displaced.map(|key| (key, End::Displaced)));
        self.clients.borrow_mut().identify(key, &client);
        let gate = Rc::new(Gate::new(self.clone(), key, client));
        self.gates.borrow_mut().insert(key, gate.clone());
        Some(ClientStream::new(stream, gate))
    }

    /// Ends the connections whose clients took too long. Has to be called regularly.
    pub fn end_late(&self) {
        let late = self.clients.borrow_mut().end_late(now_ms());
        self.end_all(late);
    }

    /// Returns the number of open connections and the bytes that are kept for requests.
    pub fn in_use(&self) -> (usize, usize) {
        let clients = self.clients.borrow();
        (clients.open(), clients.used_bytes())
    }

    fn end_all(&self, keys: impl IntoIterator<Item = (ConnectionKey, End)>) {
        for (key, end) in keys {
            let gate = self.gates.borrow().get(&key).cloned();
            if let Some(gate) = gate {
                self.observer.ended(gate.client(), end);
                gate.end(end);
            }
        }
    }

    fn close(&self, key: ConnectionKey) {
        self.clients.borrow_mut().close_connection(key);
        self.gates.borrow_mut().remove(&key);
    }
}

/// Memory that something is taken from before it is used.
pub(crate) trait KeepMemory {
    /// Keeps more.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if there is no memory left. Nothing is kept then.
    fn keep(&self, bytes: usize) -> Result<()>;
}

impl KeepMemory for ClientMemory {
    fn keep(&self, bytes: usize) -> Result<()> {
        Self::keep(self, bytes)
    }
}

/// Memory that is kept for a request, until this is dropped.
pub struct ClientMemory {
    table: Rc<ClientTable>,
    key: ConnectionKey,
    kept_bytes: Cell<usize>,
}

impl ClientMemory {
    fn new(table: Rc<ClientTable>, key: ConnectionKey) -> Self {
        Self {
            table,
            key,
            kept_bytes: Cell::new(0),
        }
    }

    /// Returns memory for another part of the same request, of which nothing is kept yet.
    pub fn another(&self) -> Self {
        Self::new(self.table.clone(), self.key)
    }

    /// Keeps more, and ends clients for it that have brought nothing for a while.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if there is no memory left. Nothing is kept then.
    pub fn keep(&self, bytes: usize) -> Result<()> {
        let mut clients = self.table.clients.borrow_mut();
        let kept = clients.keep(self.key, bytes, now_ms());
        let client = clients.client(self.key);
        drop(clients);
        let displaced = kept.inspect_err(|shortage| {
            self.table.observer.short(&client, *shortage);
        })?;
        self.kept_bytes.set(self.kept_bytes.get() + bytes);
        self.end_all(displaced);
        Ok(())
    }

    /// Keeps more until there are `bytes`, as [`ClientMemory::keep`] does.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if there is no memory left.
    pub fn keep_up_to(&self, bytes: usize) -> Result<()> {
        match bytes.saturating_sub(self.kept_bytes.get()) {
            0 => Ok(()),
            more_bytes => self.keep(more_bytes),
        }
    }

    /// Keeps more for a response that exists already, whatever is left.
    pub fn keep_response(&self, bytes: usize) {
        let mut clients = self.table.clients.borrow_mut();
        let displaced = clients.keep_response(self.key, bytes, now_ms());
        drop(clients);
        self.kept_bytes.set(self.kept_bytes.get() + bytes);
        self.end_all(displaced);
    }

    /// Gives back some of it, as far as it is kept.
    pub fn give_back(&self, bytes: usize) {
        let kept_bytes = self.kept_bytes.get();
        let bytes = bytes.min(kept_bytes);
        let mut clients = self.table.clients.borrow_mut();
        clients.give_back(self.key, bytes);
        self.kept_bytes.set(kept_bytes - bytes);
    }

    fn end_all(&self, displaced: Vec<ConnectionKey>) {
        let displaced = displaced.into_iter().map(|key| (key, End::Displaced));
        self.table.end_all(displaced);
    }
}

impl Drop for ClientMemory {
    fn drop(&mut self) {
        self.give_back(usize::MAX);
    }
}

fn now_ms() -> u64 {
    BootClock.now_ms()
}

#[cfg(test)]
mod tests;
