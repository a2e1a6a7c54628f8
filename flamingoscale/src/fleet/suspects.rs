//! Requests that may crash the endpoints that run them, and when such a request is held back.
//!
//! A request counts a crash if an incarnation of an endpoint ended while the request was at work there.
//! Each incarnation counts once, however many connections broke. A request that was at work at
//! [`MAX_CRASHES`] crashes is held back for a time at all instances. Then one instance lets it run, one
//! caller at a time; each further crash holds it back for longer. See `docs/design/suspects.md`.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

/// A request is held back after it was at work at this many crashes.
pub const MAX_CRASHES: usize = 3;

/// Number of runs that a request gets, one after another, after it was held back.
const MAX_TRIALS: usize = 3;

/// How long a request is held back after the crash that reached [`MAX_CRASHES`]; doubles with each
/// further crash.
const HOLD_MS: u64 = 60_000;

/// How long a request is held back once its trials have failed too.
const LAST_HOLD_MS: u64 = 24 * 3_600_000;

/// A crash says nothing about a request any more after this time, unless the request is held back.
const CRASH_LIFETIME_MS: u64 = 600_000;

/// Largest number of requests that are remembered.
const MAX_SUSPECTS: usize = 10_000;

/// The end of an endpoint's incarnation at which a request was at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the incarnation in Unix milliseconds.
    pub started_unix_ms: u64,
    /// When the crash was noticed, in Unix milliseconds.
    pub noticed_unix_ms: u64,
}

/// What is known against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing that counts any more.
    None,
    /// The request was at work at some crashes, and runs.
    Suspect,
    /// The request must not run.
    HeldBack(HeldBack),
    /// The request may run once, at the instance that [`trial_instance`] names.
    Trial(HeldBack),
}

/// Why a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBack {
    /// Number of crashes.
    pub crashes: usize,
    /// Time since the last crash, in milliseconds.
    pub age_ms: u64,
    /// Time until the request may run again, in milliseconds.
    pub left_ms: u64,
}

/// The crashes of requests, by the fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: HashMap<u64, Vec<Crash>>,
}

impl Suspects {
    /// Records a crash at which a request was at work. Returns whether it was not known.
    pub fn crashed(&mut self, fingerprint: u64, crash: Crash) -> bool {
        if self.crashes.len() >= MAX_SUSPECTS && !self.crashes.contains_key(&fingerprint) {
            let last = |crashes: &Vec<Crash>| last_noticed_unix_ms(crashes);
            let oldest = self.crashes.iter().min_by_key(|(_, crashes)| last(crashes));
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|oldest| self.crashes.remove(&oldest));
        }
        let known = self.crashes.entry(fingerprint).or_default();
        let is_same = |known: &Crash| {
            known.endpoint == crash.endpoint && known.started_unix_ms == crash.started_unix_ms
        };
        if known.iter().any(is_same) {
            return false;
        }
        if is_expired(known, crash.noticed_unix_ms) {
            known.clear();
        }
        known.push(crash);
        true
    }

    /// Returns what is known against a request.
    pub fn suspicion(&self, fingerprint: u64, now_unix_ms: u64) -> Suspicion {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return Suspicion::None;
        };
        let age_ms = now_unix_ms.saturating_sub(last_noticed_unix_ms(crashes));
        let hold_ms = hold_ms(crashes.len());
        let held_back = HeldBack {
            crashes: crashes.len(),
            age_ms,
            left_ms: hold_ms.saturating_sub(age_ms),
        };
        match (hold_ms, held_back.left_ms) {
            (0, _) if age_ms >= CRASH_LIFETIME_MS => Suspicion::None,
            (0, _) => Suspicion::Suspect,
            (_, 0) => Suspicion::Trial(held_back),
            _ => Suspicion::HeldBack(held_back),
        }
    }

    /// Forgets all crashes of a request that was answered completely, and returns them.
    pub fn acquit(&mut self, fingerprint: u64) -> Vec<Crash> {
        self.crashes.remove(&fingerprint).unwrap_or_default()
    }

    /// Forgets one crash, whose record was removed from the store.
    pub fn forget(&mut self, fingerprint: u64, endpoint: &str, started_unix_ms: u64) {
        if let Some(crashes) = self.crashes.get_mut(&fingerprint) {
            crashes.retain(|crash| {
                *crash.endpoint != *endpoint || crash.started_unix_ms != started_unix_ms
            });
            if crashes.is_empty() {
                self.crashes.remove(&fingerprint);
            }
        }
    }

    /// Returns a request whose crashes need not be remembered any more.
    pub fn expired(&self, now_unix_ms: u64) -> Option<u64> {
        let mut suspects = self.crashes.iter();
        let expired = suspects.find(|(_, crashes)| is_expired(crashes, now_unix_ms));
        expired.map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns the number of requests that were at work at crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no request was at work at a crash.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}

/// Returns for how long a request is held back after its last crash; 0 if it is not.
fn hold_ms(crashes: usize) -> u64 {
    match crashes.checked_sub(MAX_CRASHES) {
        None => 0,
        Some(trials) if trials >= MAX_TRIALS => LAST_HOLD_MS,
        Some(trials) => HOLD_MS << trials,
    }
}

fn is_expired(crashes: &[Crash], now_unix_ms: u64) -> bool {
    let lifetime_ms = hold_ms(crashes.len()) + CRASH_LIFETIME_MS;
    now_unix_ms.saturating_sub(last_noticed_unix_ms(crashes)) >= lifetime_ms
}

fn last_noticed_unix_ms(crashes: &[Crash]) -> u64 {
    let times = crashes.iter().map(|crash| crash.noticed_unix_ms);
    times.max().unwrap_or(0)
}

/// Returns which of the live instances lets a request run that was held back. While all of them know
/// the same members, only one of its callers at a time can crash an endpoint.
pub fn trial_instance(fingerprint: u64, instances: &[Arc<str>]) -> Option<&Arc<str>> {
    let rank = |instance: &&Arc<str>| xxh3_64(format!("{fingerprint:x}/{instance}").as_bytes());
    instances.iter().max_by_key(rank)
}

#[cfg(test)]
mod tests;
