//! Chooses the instance that forwards a request for one that reaches no endpoint.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::ledger::Ledger;

/// Time during which an instance that did not forward a request is chosen last.
const BACKOFF_MS: u64 = 1_000;

/// An instance as seen by the one that sends it requests.
#[derive(Clone, Copy, Debug, Default)]
struct Relay {
    in_flight: u32,
    backoff_until_ms: u64,
    chosen_ms: u64,
}

/// The instances through which this instance has sent requests.
#[derive(Debug, Default)]
pub struct Relays {
    by_instance: HashMap<Arc<str>, Relay>,
}

impl Relays {
    /// Chooses the next instance among `candidates` that is known to reach endpoints, and counts a
    /// request as in flight there. Instances with more CPU get more of the requests. A hash gives each
    /// instance an order of its own: many may lose their links at once.
    pub fn choose(
        &mut self,
        ledger: &Ledger,
        own_name: &str,
        candidates: &[Arc<str>],
        now_ms: u64,
    ) -> Option<Arc<str>> {
        let usable = candidates
            .iter()
            .filter(|instance| ledger.relay_address(instance).is_some());
        let chosen = usable.min_by_key(|instance| {
            let relay = self.by_instance.get(*instance).copied().unwrap_or_default();
            let member = ledger.members.get(*instance);
            let millicores = member.map_or(0, |member| member.heartbeat.millicores);
            let load = u64::from(relay.in_flight) * 1_000 / u64::from(millicores.max(1));
            let is_avoided = now_ms < relay.backoff_until_ms;
            let order = xxh3_64(format!("{own_name}\n{instance}").as_bytes());
            (is_avoided, load, relay.chosen_ms, order)
        })?;
        let relay = self.by_instance.entry(chosen.clone()).or_default();
        relay.in_flight += 1;
        relay.chosen_ms = now_ms;
        Some(chosen.clone())
    }

    /// Records that a request is no longer in flight, regardless of its outcome.
    pub fn finished(&mut self, instance: &str) {
        if let Some(relay) = self.by_instance.get_mut(instance) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
        }
    }

    /// Records that an instance did not forward a request or gave no answer.
    pub fn failed(&mut self, instance: &Arc<str>, now_ms: u64) {
        let relay = self.by_instance.entry(instance.clone()).or_default();
        relay.backoff_until_ms = now_ms + BACKOFF_MS;
    }
}

#[cfg(test)]
mod tests;
