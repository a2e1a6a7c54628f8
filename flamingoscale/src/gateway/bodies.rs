//! Memory for the bodies of callers' requests, on all threads together. See `docs/design/clients.md`.

use std::{
    cell::Cell,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use crate::{
    client::KeepMemory,
    clock::{
        BootClock,
        Clock, //
    },
    fleet::clients::{
        Activity,
        ClientLimits,
        Clients,
        ConnectionKey,
        Result,
        Shortage, //
    },
};

/// What is kept for all bodies.
pub(crate) struct BodyBudget {
    clients: Mutex<Clients>,
}

/// What is kept for one body, until this is dropped.
pub(crate) struct BodyMemory {
    budget: Arc<BodyBudget>,
    key: ConnectionKey,
    kept_bytes: Cell<usize>,
}

impl BodyBudget {
    /// Returns the budget of a machine with this memory.
    pub(crate) fn new(memory_bytes: usize) -> Arc<Self> {
        let limits = ClientLimits::of_machine(memory_bytes, usize::MAX);
        Arc::new(Self {
            clients: Mutex::new(Clients::new(limits)),
        })
    }

    /// Returns memory for a body from this address, of which nothing is kept yet.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if there are too many bodies.
    pub(crate) fn begin(self: &Arc<Self>, address: &Arc<str>) -> Result<BodyMemory> {
        let now_ms = BootClock.now_ms();
        let mut clients = self.lock();
        let (key, _) = clients
            .open_connection(0, now_ms)
            .ok_or(Shortage::Process)?;
        // A body ends by its own time limit, so none is displaced.
        clients.begin(key, Activity::Response, now_ms);
        clients.identify(key, address);
        Ok(BodyMemory {
            budget: self.clone(),
            key,
            kept_bytes: Cell::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Clients> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeepMemory for BodyMemory {
    fn keep(&self, bytes: usize) -> Result<()> {
        let mut clients = self.budget.lock();
        clients.keep(self.key, bytes, BootClock.now_ms())?;
        self.kept_bytes.set(self.kept_bytes.get() + bytes);
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let mut clients = self.budget.lock();
        clients.give_back(self.key, self.kept_bytes.get());
        clients.close_connection(self.key);
    }
}

#[cfg(test)]
mod tests;
