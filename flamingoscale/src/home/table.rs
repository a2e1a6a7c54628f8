//! Decisions of a home: which request an endpoint runs next, and which requests are refused.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    home::{
        endpoint::HomeEndpoint,
        polls::PollState,
        HomeEndpointStatus, //
    },
    outcome::{
        NotRun,
        Refusal, //
    },
    routing::fair::Flow,
    view::EndpointKey,
    wire::EndpointStatus, //
};

/// Identifies a request at one home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request for admission to an endpoint.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the request at this home.
    pub ticket: Ticket,
    /// Flow of the fair queue to which the request belongs.
    pub flow: Flow,
    /// Estimated cost of the request in tokens.
    pub cost_tokens: u64,
    /// Time at which the caller gives up.
    pub deadline_ms: u64,
    /// Oldest weight version that may run the request; 0 for any.
    pub oldest_version: u64,
    /// Whether the request is exclusive: no other request may run at the endpoint while it runs.
    pub exclusive: bool,
    /// Fingerprint of the request, which becomes suspect if the endpoint crashes.
    pub fingerprint: u64,
}

/// Decision on an admission request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run now.
    Run,
    /// The request is queued.
    Wait,
    /// The request is refused; it did not run.
    Refuse(NotRun),
}

/// Effect of an event, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a queued request.
    Start(Ticket),
    /// Refuse a queued request.
    Refuse(Ticket, NotRun),
    /// The endpoint crashed while requests with these fingerprints were in flight.
    Crashed {
        /// Endpoint that crashed.
        endpoint: EndpointKey,
        /// Fingerprints of the requests in flight; exactly one if a request ran exclusively.
        fingerprints: Vec<u64>,
    },
}

/// Weight version that an endpoint runs, read at the start of a request. If a second reading after
/// the end of the request is equal, no other version took part in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReading {
    /// Weight version.
    pub version: u64,
    /// Boot number of the endpoint.
    pub boot: u64,
    /// Increases with every pause, resume, weight swap and restart.
    pub epoch: u64,
}

/// What was known of an endpoint when a read of its status began. Answers of reads may be late and
/// may overtake each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadBegin {
    /// Number of pauses, resumes, weight swaps and restarts before the read.
    pub(super) epoch: u64,
    /// Number of broken connections and restarts before the read.
    pub(super) breaks: u64,
}

/// Identity and configuration of an endpoint that is at home on this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// Key in the view.
    pub key: EndpointKey,
    /// Id assigned by the platform.
    pub id: Arc<str>,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// `ip:port` of its HTTP server.
    pub address: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// The endpoints whose home is this instance, with their requests.
#[derive(Debug, Default)]
pub struct HomeTable {
    entries: BTreeMap<EndpointKey, HomeEndpoint>,
}

impl HomeTable {
    /// Updates the set of endpoints at home. An endpoint that has moved to another home starts no
    /// new requests here and is removed after its running requests have finished.
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
            let refusal = Refusal::Unreachable("the endpoint has another home now".into());
            entry.refuse_all(&NotRun::retry_after(refusal, 0), &mut actions);
        }
        self.entries
            .retain(|_, entry| entry.at_home || !entry.running.is_empty());
        actions
    }

    /// Endpoints whose status has to be read: key and address.
    pub fn targets(&self) -> Vec<(EndpointKey, Arc<str>)> {
        self.entries
            .values()
            .map(|entry| (entry.target.key, entry.target.address.clone()))
            .collect()
    }

    /// State of each endpoint for the schedule of status reads.
    pub(crate) fn poll_states(&self) -> Vec<(EndpointKey, PollState)> {
        let entries = self.entries.iter();
        entries
            .map(|(key, entry)| (*key, entry.poll_state()))
            .collect()
    }

    /// Keys of the endpoints at home.
    pub fn at_home(&self) -> Vec<EndpointKey> {
        let entries = self.entries.iter().filter(|(_, entry)| entry.at_home);
        entries.map(|(key, _)| *key).collect()
    }

    /// Number of interactive requests and number of rollout samples that are running or queued
    /// here, as a pair for each service.
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

    /// Status of an endpoint at home; `None` if it is not at home.
    pub fn status(&self, endpoint: EndpointKey) -> Option<HomeEndpointStatus> {
        let entry = self.entries.get(&endpoint).filter(|entry| entry.at_home)?;
        let status = entry.status.as_ref();
        Some(HomeEndpointStatus {
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

    /// Identity and configuration of an endpoint that is at home, or was and still runs requests.
    pub fn target(&self, endpoint: EndpointKey) -> Option<&EndpointTarget> {
        self.entries.get(&endpoint).map(|entry| &entry.target)
    }

    /// Time until a leaving endpoint is gone, in milliseconds; `None` if it is not leaving.
    pub fn leaving_in_ms(&self, endpoint: EndpointKey) -> Option<u64> {
        let entry = self.entries.get(&endpoint)?;
        entry.status.as_ref()?.leaving_in_ms
    }

    /// Number of running and queued requests at an endpoint, which is reported to entries as its
    /// load.
    pub fn requests(&self, endpoint: EndpointKey) -> u32 {
        self.entries.get(&endpoint).map_or(0, |entry| {
            (entry.running.len() + entry.waiting.len()) as u32
        })
    }

    /// Pauses or resumes starting new work. In both cases the version is unknown until the next
    /// status read.
    pub fn set_paused(&mut self, endpoint: EndpointKey, paused: bool, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.paused = paused;
            entry.version_known = false;
            entry.epoch += 1;
            entry.start_waiting(now_ms, &mut actions);
        }
        actions
    }

    /// Decides whether a request runs now, is queued or is refused.
    pub fn admit(
        &mut self,
        endpoint: EndpointKey,
        request: AdmissionRequest,
        now_ms: u64,
    ) -> AdmissionDecision {
        match self.entries.get_mut(&endpoint) {
            Some(entry) if entry.at_home => entry.admit(request, now_ms),
            _ => {
                let refusal = Refusal::Unreachable("this instance is not its home".into());
                AdmissionDecision::Refuse(NotRun::retry_after(refusal, 0))
            }
        }
    }

    /// Weight version that a request starting now would run on; `None` if it can't be determined.
    pub fn version_reading(&self, endpoint: EndpointKey) -> Option<VersionReading> {
        let entry = self.entries.get(&endpoint)?;
        let status = entry.status.as_ref()?;
        Some(VersionReading {
            version: entry.version()?,
            boot: status.boot,
            epoch: entry.epoch,
        })
    }

    /// Returns what to pass to [`Self::status_read`] with a status read that starts now.
    pub fn begin_read(&self, endpoint: EndpointKey) -> ReadBegin {
        let entry = self.entries.get(&endpoint);
        entry.map_or_else(ReadBegin::default, |entry| entry.begin_read())
    }

    /// Records the result of a status read; `None` if it failed.
    pub fn status_read(
        &mut self,
        endpoint: EndpointKey,
        begun: ReadBegin,
        status: Option<EndpointStatus>,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return actions;
        };
        match status {
            Some(status) => entry.on_status(begun, status, &mut actions),
            None => entry.on_status_failure(&mut actions),
        }
        entry.refuse_if_closed(&mut actions);
        entry.start_waiting(now_ms, &mut actions);
        actions
    }

    /// Removes a running or queued request. `usage` is given if it ran to completion.
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

    /// Marks an endpoint as unreachable, because it does not answer on a new connection either.
    pub fn mark_unreachable(&mut self, endpoint: EndpointKey) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            entry.on_unreachable(&mut actions);
        }
        actions
    }

    /// Records that the connection of a running request broke. The request was in flight at a crash
    /// if the endpoint then has another boot number or becomes unreachable.
    pub fn connection_broke(&mut self, endpoint: EndpointKey, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&endpoint) {
            if let Some(request) = entry.running.get(&ticket) {
                entry.broken_fingerprints.push(request.fingerprint);
                entry.breaks += 1;
            }
        }
    }
}

/// Resources used by a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestUsage {
    /// Cost in tokens.
    pub tokens: u64,
    /// Running time in milliseconds.
    pub ran_ms: u64,
}

#[cfg(test)]
mod tests;
