//! Which software the endpoints of each service have had, as all instances know it.
//!
//! What two versions of the software generate does not fit together, so before an instance resumes a
//! stream it has to know which versions may have begun it. An instance that has just started, was cut
//! off or stood still can't tell from its own list of endpoints. Therefore a version is recorded in the
//! store before the first stream begins there, and its end is recorded too. See
//! `docs/design/streams.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::streams::STREAM_LIFETIME_MS;

/// Clocks of instances differ by less than this, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 10_000;

/// What is recorded of one version of the software of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// When the version was first seen, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Whether the whole system started with the version, so that none was in service before.
    pub since_start: bool,
    /// When the version was last found to have left the list, in Unix milliseconds; `None` while it
    /// is listed.
    pub gone_unix_ms: Option<u64>,
}

impl Version {
    /// Returns whether a stream that may still be resumed can have begun at this version.
    fn may_have_streams(&self, now_unix_ms: u64) -> bool {
        let ended = |gone_ms: u64| gone_ms + STREAM_LIFETIME_MS + CLOCK_MARGIN_MS < now_unix_ms;
        !self.gone_unix_ms.is_some_and(ended)
    }
}

/// A version of the software of a service, with what is to be recorded of it.
pub type VersionRecord = (Arc<str>, Arc<str>, Version);

/// The recorded versions, by service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<Arc<str>, BTreeMap<Arc<str>, Version>>,
}

/// Which software may have begun a stream of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All endpoints of the service have had the same software for as long as a stream lasts.
    One,
    /// There were several, or it is not known whether there were.
    Several,
}

impl SoftwareHistory {
    /// Applies the newest record of a version. What is known of its first time stays.
    pub fn apply(&mut self, service: &Arc<str>, software: &Arc<str>, version: Version) {
        let versions = self.services.entry(service.clone()).or_default();
        let merged = match versions.get(software) {
            Some(known) => Version {
                first_unix_ms: known.first_unix_ms.min(version.first_unix_ms),
                since_start: known.since_start || version.since_start,
                ..version
            },
            None => version,
        };
        versions.insert(software.clone(), merged);
    }

    /// Forgets a version whose record was removed from the store.
    pub fn remove(&mut self, service: &str, software: &str) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.remove(software);
        }
    }

    /// Returns whether streams may begin at a version: all instances can know of it.
    pub fn is_recorded(&self, service: &str, software: &str) -> bool {
        let versions = self.services.get(service);
        let version = versions.and_then(|versions| versions.get(software));
        version.is_some_and(|version| version.gone_unix_ms.is_none())
    }

    /// Returns which software may have begun a stream of a service. `listed` are the versions that are
    /// listed now.
    pub fn candidates(
        &self,
        service: &str,
        listed: &BTreeSet<Arc<str>>,
        now_unix_ms: u64,
    ) -> Candidates {
        let Some(versions) = self.services.get(service) else {
            return Candidates::Several;
        };
        let recent = versions
            .iter()
            .filter(|(_, version)| version.may_have_streams(now_unix_ms))
            .map(|(software, _)| software);
        let recent: BTreeSet<&Arc<str>> = recent.chain(listed).collect();
        match recent.len() {
            0 | 1 if is_complete(versions, now_unix_ms) => Candidates::One,
            _ => Candidates::Several,
        }
    }

    /// Returns the record of a version that is listed, unless it is recorded as such.
    pub fn due_record(
        &self,
        service: &Arc<str>,
        software: &Arc<str>,
        first_start: bool,
        now_unix_ms: u64,
    ) -> Option<VersionRecord> {
        let versions = self.services.get(service);
        let known = versions.and_then(|versions| versions.get(software));
        let version = match known {
            Some(known) if known.gone_unix_ms.is_none() => return None,
            Some(known) => Version {
                gone_unix_ms: None,
                ..*known
            },
            None => Version {
                first_unix_ms: now_unix_ms,
                since_start: first_start && versions.is_none_or(BTreeMap::is_empty),
                gone_unix_ms: None,
            },
        };
        Some((service.clone(), software.clone(), version))
    }

    /// Returns the records of the versions of a service that are not listed any more.
    pub fn due_ends(
        &self,
        service: &Arc<str>,
        listed: &BTreeSet<Arc<str>>,
        now_unix_ms: u64,
    ) -> Vec<VersionRecord> {
        let versions = self.services.get(service).into_iter().flatten();
        let ended = versions
            .filter(|(software, version)| {
                version.gone_unix_ms.is_none() && !listed.contains(*software)
            })
            .map(|(software, version)| {
                let gone_unix_ms = Some(now_unix_ms);
                let version = Version {
                    gone_unix_ms,
                    ..*version
                };
                (service.clone(), software.clone(), version)
            });
        ended.collect()
    }

    /// Returns a version that can't have begun a stream any more. One version of each service stays, which
    /// says since when the records are complete.
    pub fn expired(&self, now_unix_ms: u64) -> Option<(Arc<str>, Arc<str>)> {
        let expired = |(service, versions): (&Arc<str>, &BTreeMap<Arc<str>, Version>)| {
            let (lasting, ended): (Vec<_>, Vec<_>) = versions
                .iter()
                .partition(|(_, version)| version.may_have_streams(now_unix_ms));
            let is_old = |(_, version): &(_, &Version)| is_older_than_streams(version, now_unix_ms);
            let (software, _) = ended.first()?;
            let is_covered = lasting.iter().any(is_old);
            is_covered.then(|| (service.clone(), Arc::clone(software)))
        };
        self.services.iter().find_map(expired)
    }
}

/// Returns whether the records name every version that can have begun a stream.
fn is_complete(versions: &BTreeMap<Arc<str>, Version>, now_unix_ms: u64) -> bool {
    let mut versions = versions.values();
    versions.any(|version| version.since_start || is_older_than_streams(version, now_unix_ms))
}

fn is_older_than_streams(version: &Version, now_unix_ms: u64) -> bool {
    version.first_unix_ms + STREAM_LIFETIME_MS + CLOCK_MARGIN_MS <= now_unix_ms
}

#[cfg(test)]
mod tests;
