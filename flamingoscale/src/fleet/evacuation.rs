//! The failure domains that the operator has evacuated: their endpoints get no request.
//!
//! The state follows the operator's records, whose offsets order them. Where the order is in doubt a
//! domain stays evacuated, because denying traffic is the safe choice. See
//! `docs/design/evacuation.md`.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc, //
};

/// An evacuation of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// Offset of the newest record of the evacuation.
    offset: u64,
    /// When this instance read of the evacuation, in monotonic milliseconds.
    since_ms: u64,
    /// Whether a record with a malformed value was reported.
    malformed: bool,
    /// Whether the domain was compared with the list of endpoints.
    compared: bool,
    /// Whether no request of this instance runs in the domain any more.
    drained: bool,
}

/// What a record of an evacuation has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Whether the evacuation begins with the record.
    pub begun: bool,
    /// Whether the value is the first malformed one of the evacuation.
    pub newly_malformed: bool,
}

/// What this instance has observed in an evacuated failure domain; each is reported once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// No endpoint of the domain is listed.
    NoEndpoints {
        /// The failure domain.
        domain: Arc<str>,
    },
    /// The last request of this instance in the domain has ended.
    Drained {
        /// The failure domain.
        domain: Arc<str>,
        /// Time since this instance read of the evacuation, in milliseconds.
        took_ms: u64,
    },
}

/// The evacuated failure domains, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    by_domain: BTreeMap<Arc<str>, Evacuation>,
}

impl Evacuations {
    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.by_domain.contains_key(domain)
    }

    /// Returns whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
    }

    /// Returns the evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_domain.keys()
    }

    /// Applies a record that evacuates a failure domain. A domain without a name is ignored.
    ///
    /// The record is applied whatever its offset: a topic that was created anew starts again at 0.
    pub fn written(
        &mut self,
        domain: &Arc<str>,
        offset: u64,
        malformed: bool,
        now_ms: u64,
    ) -> Written {
        if domain.is_empty() {
            return Written::default();
        }
        let begun = !self.contains(domain);
        let evacuation = self.by_domain.entry(domain.clone()).or_insert(Evacuation {
            offset,
            since_ms: now_ms,
            malformed: false,
            compared: false,
            drained: false,
        });
        evacuation.offset = offset;
        let newly_malformed = malformed && !evacuation.malformed;
        evacuation.malformed |= malformed;
        Written {
            begun,
            newly_malformed,
        }
    }

    /// Applies the removal of a failure domain's key at an offset. Returns how long the domain was
    /// evacuated, in milliseconds, or `None` if it was not, or if the evacuation was written later.
    pub fn removed(&mut self, domain: &str, offset: u64, now_ms: u64) -> Option<u64> {
        let evacuation = self.by_domain.get(domain)?;
        if evacuation.offset >= offset {
            return None;
        }
        let lasted_ms = now_ms.saturating_sub(evacuation.since_ms);
        self.by_domain.remove(domain);
        Some(lasted_ms)
    }

    /// Returns the evacuated failure domains that are not among the keys which the store holds before
    /// `end_offset`. Their keys were removed while this instance could not read the topic.
    pub fn missing(&self, present: &HashSet<&str>, end_offset: u64) -> Vec<Arc<str>> {
        let is_missing = |domain: &str, evacuation: &Evacuation| {
            !present.contains(domain) && evacuation.offset < end_offset
        };
        let domains = self.by_domain.iter();
        domains
            .filter(|(domain, evacuation)| is_missing(domain, evacuation))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns what has not been reported yet. `count` returns the listed endpoints of a domain and the
    /// requests of this instance that run there.
    pub fn observe(
        &mut self,
        count: &dyn Fn(&str) -> (usize, u32),
        now_ms: u64,
    ) -> Vec<Observation> {
        let mut observations = Vec::new();
        for (domain, evacuation) in &mut self.by_domain {
            if evacuation.compared && evacuation.drained {
                continue;
            }
            let (endpoints, in_flight) = count(domain);
            if endpoints == 0 && !evacuation.compared {
                observations.push(Observation::NoEndpoints {
                    domain: domain.clone(),
                });
            }
            evacuation.compared = true;
            if in_flight == 0 && !evacuation.drained {
                evacuation.drained = true;
                observations.push(Observation::Drained {
                    domain: domain.clone(),
                    took_ms: now_ms.saturating_sub(evacuation.since_ms),
                });
            }
        }
        observations
    }
}

#[cfg(test)]
mod tests;
