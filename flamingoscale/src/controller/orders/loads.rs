//! The loads that instances tell the holder of the orders lease.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    demand::Loads,
    view::Member, //
};

/// Shortest time between two messages of one instance.
const MIN_REPORT_INTERVAL_MS: u64 = 2_000;

/// At many instances each tells its load less often, so that the holder hears a bounded number
/// of messages a second.
const REPORT_INTERVAL_MS_PER_MEMBER: u64 = 50;

/// A load that was told this many intervals ago is not counted any more.
const STALE_AFTER_INTERVALS: u64 = 4;

/// What instances tell the holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// The load of the sender.
    Load {
        /// By service.
        loads: Loads,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// Done.
    Accepted,
}

/// Time between two messages of one instance, among `members` live ones.
pub(super) fn report_interval_ms(members: usize) -> u64 {
    MIN_REPORT_INTERVAL_MS.max(members as u64 * REPORT_INTERVAL_MS_PER_MEMBER)
}

/// The newest load of each instance.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTable {
    reports: BTreeMap<Arc<str>, (u64, Loads)>,
}

impl LoadTable {
    /// Takes in what an instance told.
    pub(super) fn record(&mut self, now_ms: u64, instance: Arc<str>, loads: Loads) {
        self.reports.insert(instance, (now_ms, loads));
    }

    /// The load of all live members together; none unless more than half of them told theirs of
    /// late, since a part of the load must not pass for the whole.
    pub(super) fn total(&mut self, now_ms: u64, members: &[Member]) -> Option<Loads> {
        let max_age_ms = STALE_AFTER_INTERVALS * report_interval_ms(members.len());
        let is_live =
            |instance: &Arc<str>| members.iter().any(|member| member.instance == *instance);
        self.reports
            .retain(|instance, (at_ms, _)| now_ms < *at_ms + max_age_ms && is_live(instance));
        if 2 * self.reports.len() <= members.len() {
            return None;
        }
        let mut total = Loads::new();
        for (_, loads) in self.reports.values() {
            for (service, load) in loads {
                total.entry(service.clone()).or_default().add(load);
            }
        }
        Some(total)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::demand::ServiceLoad;

    fn member(name: &str) -> Member {
        Member {
            instance: name.into(),
            incarnation: 1,
            failure_domain: "saiq".into(),
            address: "".into(),
            peer_address: "".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        }
    }

    #[test]
    fn total_requires_reports_from_a_majority() {
        let members = ["a", "b", "c"].map(member);
        let load = ServiceLoad {
            interactive: 4,
            ..ServiceLoad::default()
        };
        let loads = Loads::from([("drafting".into(), load)]);
        let mut table = LoadTable::default();
        table.record(0, "a".into(), loads.clone());
        assert_eq!(table.total(1, &members), None);
        table.record(1, "b".into(), loads.clone());
        table.record(1, "gone".into(), loads);
        let total = table.total(2, &members).expect("two of three told");
        assert_eq!(total["drafting"].interactive, 8);
        let stale_ms = STALE_AFTER_INTERVALS * MIN_REPORT_INTERVAL_MS;
        assert_eq!(table.total(stale_ms, &members), None);
    }
}
