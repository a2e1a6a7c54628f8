//! What a home decides: which request an endpoint gets next, and which is refused instead.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    home::{
        endpoint::HomeEndpoint,
        polls::PollState,
        HomeFacts, //
    },
    outcome::{
        NotRun,
        Refusal, //
    },
    routing::fair::Flow,
    view::EndpointKey,
    wire::EndpointStatus, //
};

/// Names one request at one home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One request that asks for a place at an endpoint.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Its name at this home.
    pub ticket: Ticket,
    /// Whose turn it takes.
    pub flow: Flow,
    /// The tokens that it is expected to use.
    pub cost_tokens: u64,
    /// When its caller gives up.
    pub deadline_ms: u64,
    /// The oldest weight version that may run it; 0 for any.
    pub oldest_version: u64,
    /// Whether nothing else may run beside it.
    pub exclusive: bool,
    /// Its fingerprint, which is suspect if the endpoint crashes.
    pub fingerprint: u64,
}

/// What becomes of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits for its turn.
    Wait,
    /// It is refused; nothing ran.
    Refuse(NotRun),
}

/// What a home does after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a waiting request.
    Start(Ticket),
    /// Refuses a waiting request.
    Refuse(Ticket, NotRun),
    /// The endpoint crashed with these fingerprints in flight.
    Crashed {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What it ran; only one where that ran alone.
        fingerprints: Vec<u64>,
    },
}

/// What an endpoint runs at the moment that a request starts there; the same reading after the
/// request's end shows that no other weights can have taken part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReading {
    /// The version.
    pub version: u64,
    /// The endpoint's boot.
    pub boot: u64,
    /// Grows with every hold, swap and restart.
    pub epoch: u64,
}

/// The endpoint as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// Its key.
    pub key: EndpointKey,
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// The endpoints that this instance is home of, and the requests there.
#[derive(Debug, Default)]
pub struct HomeTable {
    entries: BTreeMap<EndpointKey, HomeEndpoint>,
}

impl HomeTable {
    /// Takes in which endpoints are at home now. One that is not any more keeps its running
    /// requests, gets no new ones, and is forgotten once they are through.
    pub fn sync(&mut self, targets: Vec<EndpointTarget>) -> Vec<Action> {
        for entry in self.entries.values_mut() {
            entry.at_home = false;
        }
        for target in targets {
            let entry = self
                .entries
                .entry(target.key)
                .or_insert_with(|| HomeEndpoint::new(target.clone()));
            entry.at_home = true;
            entry.target = target;
        }
        let mut actions = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| !entry.at_home) {
            let moved = Refusal::Unreachable("the endpoint has another home now".into());
            entry.refuse_all(&NotRun::retry_after(moved, 0), &mut actions);
        }
        self.entries
            .retain(|_, entry| entry.at_home || !entry.running.is_empty());
        actions
    }

    /// The endpoints whose status has to be read: key and address.
    pub fn targets(&self) -> Vec<(EndpointKey, Arc<str>)> {
        self.entries
            .values()
            .map(|entry| (entry.target.key, entry.target.address.clone()))
            .collect()
    }

    /// What the plan of status reads needs to know of each of them.
    pub(crate) fn poll_states(&self) -> Vec<(EndpointKey, PollState)> {
        let entries = self.entries.iter();
        entries
            .map(|(key, entry)| (*key, entry.poll_state()))
            .collect()
    }

    /// The keys of endpoints at home.
    pub fn at_home(&self) -> Vec<EndpointKey> {
        let entries = self.entries.iter().filter(|(_, entry)| entry.at_home);
        entries.map(|(key, _)| *key).collect()
    }

    /// Requests of callers, and samples, that run or wait here, by service.
    pub fn loads(&self) -> BTreeMap<Arc<str>, (u32, u32)> {
        let mut loads: BTreeMap<Arc<str>, (u32, u32)> = BTreeMap::new();
        for entry in self.entries.values() {
            let load = loads.entry(entry.target.service.clone()).or_default();
            for request in entry.running.values().chain(entry.waiting.values()) {
                match request.flow.rollout {
                    false => load.0 += 1,
                    true => load.1 += 1,
                }
            }
        }
        loads
    }

    /// What is known of an endpoint at home.
    pub fn facts(&self, endpoint: EndpointKey) -> Option<HomeFacts> {
        let entry = self.entries.get(&endpoint).filter(|entry| entry.at_home)?;
        let status = entry.status.as_ref();
        Some(HomeFacts {
            version: entry.version(),
            swapping: status.is_some_and(|status| status.swapping),
            failed: status.and_then(|status| status.failed.as_deref().map(Arc::from)),
            boot: status.map_or(0, |status| status.boot),
            in_flight: entry.running.len() as u32,
            queued: entry.waiting.len() as u32,
            leaving_in_ms: status.and_then(|status| status.leaving_in_ms),
            reachable: entry.is_reachable(),
        })
    }

    /// The address and id of an endpoint that is or was at home.
    pub fn target(&self, endpoint: EndpointKey) -> Option<&EndpointTarget> {
        self.entries.get(&endpoint).map(|entry| &entry.target)
    }

    /// How long an endpoint still has, once it leaves.
    pub fn leaving_in_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        let entry = self.entries.get(&endpoint)?;
        entry.status.as_ref()?.leaving_in_ms
    }

    /// Requests in flight and waiting at an endpoint, for the entries' guess of its load.
    pub fn requests(&self, endpoint: EndpointKey) -> u32 {
        self.entries.get(&endpoint).map_or(0, |entry| {
            (entry.running.len() + entry.waiting.len()) as u32
        })
    }

    /// Stops or resumes new work for an endpoint. Either way its version is unknown until read.
    pub fn hold(&mut self, endpoint: EndpointKey, held: bool, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.held = held;
            entry.version_known = false;
            entry.epoch += 1;
            entry.start_waiting(now_ms, &mut actions);
        }
        actions
    }

    /// Asks for a place.
    pub fn admit(
        &mut self,
        endpoint: EndpointKey,
        request: AdmissionRequest,
        now_ms: u64,
    ) -> Verdict {
        match self.entries.get_mut(&endpoint) {
            Some(entry) if entry.at_home => entry.admit(request, now_ms),
            _ => {
                let elsewhere = Refusal::Unreachable("this instance is not its home".into());
                Verdict::Refuse(NotRun::retry_after(elsewhere, 0))
            }
        }
    }

    /// The version that a request starts on; none where it can't be known.
    pub fn version_reading(&self, endpoint: EndpointKey) -> Option<VersionReading> {
        let entry = self.entries.get(&endpoint)?;
        let status = entry.status.as_ref()?;
        Some(VersionReading {
            version: entry.version()?,
            boot: status.boot,
            epoch: entry.epoch,
        })
    }

    /// The epoch to hand back with a status that is read from now on.
    pub fn epoch(&self, endpoint: EndpointKey) -> u64 {
        self.entries.get(&endpoint).map_or(0, |entry| entry.epoch)
    }

    /// Takes in a status read that began in epoch `asked`, or that it failed.
    pub fn status_read(
        &mut self,
        endpoint: EndpointKey,
        read_epoch: u64,
        status: Option<EndpointStatus>,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return actions;
        };
        match status {
            Some(status) => entry.on_status(read_epoch, status, &mut actions),
            None => entry.on_status_failure(&mut actions),
        }
        entry.refuse_if_closed(&mut actions);
        entry.start_waiting(now_ms, &mut actions);
        actions
    }

    /// Ends a request, running or waiting: `used_tokens` in `ran_ms` where it ran to its end.
    pub fn release(
        &mut self,
        endpoint: EndpointKey,
        ticket: Ticket,
        usage: Option<RequestUsage>,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return actions;
        };
        entry.release(ticket, usage);
        entry.start_waiting(now_ms, &mut actions);
        if !entry.at_home && entry.running.is_empty() {
            self.entries.remove(&endpoint);
        }
        actions
    }

    /// Says that an endpoint gives no status on new connections either.
    pub fn mark_unreachable(&mut self, endpoint: EndpointKey) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.on_unreachable(&mut actions);
        }
        actions
    }

    /// Says that the connection broke while the request ran: it was in flight at a crash if the
    /// endpoint comes back with another boot, or not at all.
    pub fn connection_broke(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            if let Some(request) = entry.running.get(&ticket) {
                entry.broken.push(request.fingerprint);
            }
        }
    }
}

/// What a finished request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestUsage {
    /// Tokens.
    pub tokens: u64,
    /// The time that it ran.
    pub ran_ms: u64,
}

#[cfg(test)]
mod tests;
