//! Load reports that instances send to the holder of the orders lease.

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

/// Shortest interval between two reports of one instance, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 2_000;

/// Interval per live member. In a large cluster this value times the number of live members exceeds
/// the shortest interval, and each instance reports less often, so that the holder of the orders
/// lease receives a bounded number of messages a second.
const REPORT_INTERVAL_MS_PER_MEMBER: u64 = 50;

/// A report older than this many report intervals is ignored.
const STALE_AFTER_INTERVALS: u64 = 4;

/// Messages from an instance to the holder of the orders lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Message {
    /// A report of the sender's load.
    Load {
        /// Load by service name.
        loads: Loads,
    },
}

/// Answers to [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Reply {
    /// The report was recorded.
    Accepted,
}

/// Returns the interval between two reports of one instance when there are `members` live members.
pub(super) fn report_interval_ms(members: usize) -> u64 {
    MIN_REPORT_INTERVAL_MS.max(members as u64 * REPORT_INTERVAL_MS_PER_MEMBER)
}

/// The most recent report of each instance.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTable {
    /// Time of receipt and load, by instance.
    reports: BTreeMap<Arc<str>, (u64, Loads)>,
}

impl LoadTable {
    /// Records a report, replacing the instance's previous one.
    pub(super) fn record(&mut self, now_ms: u64, instance: Arc<str>, loads: Loads) {
        self.reports.insert(instance, (now_ms, loads));
    }

    /// Returns the total load of all live members. Returns `None` unless more than half of the
    /// live members reported recently, since a partial sum must not be mistaken for the total.
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
        let total = table
            .total(2, &members)
            .expect("two of three members reported");
        assert_eq!(total["drafting"].interactive, 8);
        let stale_ms = STALE_AFTER_INTERVALS * MIN_REPORT_INTERVAL_MS;
        assert_eq!(table.total(stale_ms, &members), None);
    }
}
