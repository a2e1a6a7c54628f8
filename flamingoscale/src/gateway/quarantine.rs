//! Quarantine filter: a request that was in flight when an endpoint crashed runs alone, and is
//! refused after a second crash.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    }, //
};

use futures::future::LocalBoxFuture;

use crate::{
    gateway::{
        answer::Answer,
        chain::{
            Exchange,
            Filter,
            Next, //
        },
        SharedState, //
    },
    instance::Instance,
    outcome::{
        NotRun,
        Refusal, //
    }, //
};

/// Number of crashes after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 2;

/// Time in milliseconds after which a suspicion expires if there is no further crash.
const SUSPICION_TTL_MS: u64 = 600_000;

/// Maximum number of suspects; beyond it, the one whose last crash is the oldest is evicted.
const MAX_SUSPECTS: usize = 10_000;

/// Suspicion against a request, by the number of crashes at which it was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// No known crash.
    None,
    /// One crash: the request runs alone.
    Suspect,
    /// Two or more crashes: the request is refused until the suspicion expires.
    Refused {
        /// Milliseconds until the suspicion expires.
        remaining_ms: u64,
    },
}

/// The crashes at which a request was in flight. Instances count them by themselves, so that crashes
/// that two of them see at the same time add up.
#[derive(Clone, Debug)]
struct CrashRecord {
    by_instance: HashMap<Arc<str>, u32>,
    last_crash_ms: u64,
}

impl CrashRecord {
    fn crashes(&self) -> u32 {
        self.by_instance.values().sum()
    }
}

/// Suspects that one instance counted itself or learned of from other instances, by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct QuarantineTable {
    records: Mutex<HashMap<u64, CrashRecord>>,
}

impl QuarantineTable {
    /// Counts a crash that this instance saw. Returns how many it has seen of this request.
    pub(crate) fn record_crash(&self, fingerprint: u64, own_name: &Arc<str>, now_ms: u64) -> u32 {
        let seen = match self.suspicion(fingerprint, now_ms) {
            Suspicion::None => 0,
            _ => self.lock().get(&fingerprint).map_or(0, |record| {
                record.by_instance.get(own_name).copied().unwrap_or(0)
            }),
        };
        self.merge(fingerprint, own_name, seen + 1, now_ms);
        seen + 1
    }

    /// Merges the crashes that an instance reported to have seen. A count that is not higher than the
    /// stored one is ignored, so that repeated reports count once.
    pub(crate) fn merge(&self, fingerprint: u64, instance: &Arc<str>, crashes: u32, now_ms: u64) {
        let mut records = self.lock();
        if records.len() >= MAX_SUSPECTS && !records.contains_key(&fingerprint) {
            let oldest = records
                .iter()
                .min_by_key(|(_, record)| record.last_crash_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                records.remove(&oldest);
            }
        }
        let record = records.entry(fingerprint).or_insert_with(|| CrashRecord {
            by_instance: HashMap::new(),
            last_crash_ms: now_ms,
        });
        let seen = record.by_instance.entry(instance.clone()).or_default();
        if crashes > *seen {
            *seen = crashes;
            record.last_crash_ms = now_ms;
        }
    }

    /// Returns the current suspicion against a request.
    pub(crate) fn suspicion(&self, fingerprint: u64, now_ms: u64) -> Suspicion {
        let mut records = self.lock();
        let Some(record) = records.get(&fingerprint) else {
            return Suspicion::None;
        };
        let remaining_ms = (record.last_crash_ms + SUSPICION_TTL_MS).saturating_sub(now_ms);
        if remaining_ms == 0 {
            records.remove(&fingerprint);
            Suspicion::None
        } else if record.crashes() >= CRASHES_TO_REFUSE {
            Suspicion::Refused { remaining_ms }
        } else {
            Suspicion::Suspect
        }
    }

    /// Clears a suspect that ran alone without crashing its endpoint. Returns whether the request
    /// was a suspect.
    pub(crate) fn clear(&self, fingerprint: u64) -> bool {
        self.lock().remove(&fingerprint).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CrashRecord>> {
        self.records
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Makes suspects run alone, and refuses requests that were in flight at two crashes.
pub(crate) struct QuarantineFilter {
    instance: Arc<Instance>,
    table: Arc<QuarantineTable>,
}

impl QuarantineFilter {
    pub(crate) fn new(shared: &SharedState) -> Self {
        Self {
            instance: shared.instance.clone(),
            table: shared.quarantine.clone(),
        }
    }
}

impl Filter for QuarantineFilter {
    fn call<'a>(&'a self, mut exchange: Exchange, next: Next<'a>) -> LocalBoxFuture<'a, Answer> {
        let now_ms = self.instance.now_ms();
        match self.table.suspicion(exchange.fingerprint(), now_ms) {
            Suspicion::None => {}
            Suspicion::Suspect => exchange.alone = true,
            Suspicion::Refused { remaining_ms } => {
                let timeline = &self.instance.timeline;
                timeline.record("gateway.quarantined", &exchange.request_id, &[]);
                let refusal = NotRun::retry_after(Refusal::Quarantined, remaining_ms);
                return Box::pin(std::future::ready(Answer::Refused(refusal)));
            }
        }
        next.run(exchange)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_crash_refuses_until_the_suspicion_expires() {
        let table = QuarantineTable::default();
        assert_eq!(table.record_crash(7, &"a".into(), 100), 1);
        assert_eq!(table.suspicion(7, 100), Suspicion::Suspect);
        assert_eq!(table.record_crash(7, &"a".into(), 200), 2);
        let remaining_ms = SUSPICION_TTL_MS;
        assert_eq!(table.suspicion(7, 200), Suspicion::Refused { remaining_ms });
        assert_eq!(table.suspicion(7, 200 + SUSPICION_TTL_MS), Suspicion::None);
        assert_eq!(
            table.record_crash(7, &"a".into(), 200 + SUSPICION_TTL_MS),
            1
        );
    }

    #[test]
    fn a_repeated_crash_report_is_counted_once() {
        let table = QuarantineTable::default();
        table.merge(7, &"b".into(), 1, 100);
        table.merge(7, &"b".into(), 1, 150);
        assert_eq!(table.suspicion(7, 200), Suspicion::Suspect);
        table.merge(7, &"b".into(), 2, 200);
        assert!(matches!(table.suspicion(7, 200), Suspicion::Refused { .. }));
    }

    #[test]
    fn crashes_that_two_instances_see_at_the_same_time_add_up() {
        let names: [Arc<str>; 2] = ["a".into(), "b".into()];
        let tables = [QuarantineTable::default(), QuarantineTable::default()];
        let seen = [0, 1].map(|i| tables[i].record_crash(7, &names[i], 100));
        for table in &tables {
            assert_eq!(table.suspicion(7, 100), Suspicion::Suspect);
        }
        for (i, other) in [(0, 1), (1, 0)] {
            tables[i].merge(7, &names[other], seen[other], 150);
            let suspicion = tables[i].suspicion(7, 150);
            assert!(matches!(suspicion, Suspicion::Refused { .. }));
        }
    }

    #[test]
    fn clearing_a_suspect_ends_the_suspicion() {
        let table = QuarantineTable::default();
        table.record_crash(7, &"a".into(), 100);
        table.clear(7);
        assert_eq!(table.suspicion(7, 100), Suspicion::None);
    }

    #[test]
    fn a_full_table_evicts_the_oldest_suspect() {
        let table = QuarantineTable::default();
        for fingerprint in 0..=MAX_SUSPECTS as u64 {
            table.record_crash(fingerprint, &"a".into(), fingerprint);
        }
        let now_ms = MAX_SUSPECTS as u64;
        assert_eq!(table.suspicion(0, now_ms), Suspicion::None);
        assert_eq!(table.suspicion(1, now_ms), Suspicion::Suspect);
    }
}
