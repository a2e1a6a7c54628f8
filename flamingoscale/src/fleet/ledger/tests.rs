//! Tests that every instance computes the same state, regardless of when it started reading.

use proptest::prelude::*;

use super::*;
use crate::fleet::fixtures::{
    batch,
    heartbeat,
    lease_message,
    result,
    results, //
};

fn claim(holder: &str, epoch: u64) -> Record {
    Record::Claim(lease_message("orders", holder, epoch, 0))
}

fn replayed(records: &[Record]) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, record) in records.iter().enumerate() {
        ledger.apply(offset as u64, record.clone(), 0);
    }
    ledger
}

fn positions(ledger: &Ledger, batch: &str) -> Vec<(Arc<str>, Arc<str>)> {
    let text = |result: &SampleResult| result.text.as_ref().map(|text| text.key.clone());
    let listed = |result: &Rc<SampleResult>| {
        (
            result.sample.clone(),
            text(result).unwrap_or_else(|| "".into()),
        )
    };
    ledger.batches[batch].results.iter().map(listed).collect()
}

#[test]
fn first_result_of_a_sample_is_kept() {
    let ledger = replayed(&[
        batch("b", 1, 2, |_, _| 10),
        results(vec![result("b", "s0.1", "first")]),
        results(vec![
            result("b", "s0.1", "second"),
            result("b", "s0.0", "other"),
        ]),
        results(vec![result("b", "stranger", "text")]),
    ]);
    let expected: Vec<(Arc<str>, Arc<str>)> = vec![
        ("s0.1".into(), "first".into()),
        ("s0.0".into(), "other".into()),
    ];
    assert_eq!(positions(&ledger, "b"), expected);
}

#[test]
fn repeated_submission_is_accepted_once() {
    let first = batch("b", 1, 2, |_, _| 10);
    let ledger = replayed(&[
        first.clone(),
        results(vec![result("b", "s0.0", "text")]),
        first,
    ]);
    assert_eq!(positions(&ledger, "b").len(), 1);
}

/// Regression test: a batch that exceeded the size limit of a record was permanently refused.
#[test]
fn large_batch_is_split_and_reassembled() {
    let Record::Batch(large) = batch("b", 1, 40, |_, _| 10) else {
        unreachable!()
    };
    let records = Batch::clone(&large).into_records(1_000);
    assert!(records.len() > 3);
    let sizes = records.iter().map(|record| record.encode().unwrap().len());
    assert!(sizes.max() < Some(1_200));
    assert_eq!(replayed(&records).batches["b"].batch, large);
    // The compacted store gives the same batch after a second submission that wrote all parts
    // again.
    let repeated: Vec<Record> = [records.clone(), records].concat();
    let mut restored = Ledger::default();
    restored.bootstrap(compacted(&repeated), repeated.len() as u64, 0);
    assert_eq!(restored.batches["b"].batch, large);
}

#[test]
fn batch_end_read_before_its_batch_is_applied() {
    let ended = Record::BatchEnded { batch: "b".into() };
    assert!(replayed(&[ended, batch("b", 1, 2, |_, _| 10)]).batches["b"].ended);
}

#[test]
fn a_claim_of_an_epoch_that_is_taken_is_void() {
    let ledger = replayed(&[claim("n1", 1), claim("n2", 1)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n1");
    let ledger = replayed(&[claim("n1", 1), claim("n2", 2), claim("n3", 2)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n2");
    assert_eq!(ledger.leases["orders"].term, 2);
}

fn renewal(holder: &str, epoch: u64, term: u64) -> Record {
    let message = lease_message("orders", holder, epoch, 0);
    Record::Renewal { message, term }
}

#[test]
fn renewal_of_an_earlier_term_is_ignored() {
    let ledger = replayed(&[claim("n1", 1), claim("n2", 2), renewal("n1", 1, 1)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n2");
}

/// Compaction keeps the void claim of n2 and the renewal of n1, but not the claim of n1.
#[test]
fn renewal_of_the_first_claim_beats_a_later_claim_of_the_epoch() {
    let records = [claim("n1", 1), claim("n2", 1), renewal("n1", 1, 1)];
    let live = replayed(&records);
    let mut restored = Ledger::default();
    restored.bootstrap(compacted(&records), 3, 0);
    assert_eq!(
        restored.leases["orders"].last_message.holder,
        live.leases["orders"].last_message.holder
    );
    assert_eq!(restored.leases["orders"].term, live.leases["orders"].term);
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_ignored() {
    let ledger = replayed(&[heartbeat("n1", 7), heartbeat("n1", 6)]);
    assert_eq!(ledger.members["n1"].heartbeat.incarnation, 7);
}

/// A batch that had ended before the process started is not loaded until it is requested.
#[test]
fn batch_loaded_on_demand_has_the_same_positions() {
    let accepted = |submitted_unix_ms| Record::BatchAccepted {
        batch: "b".into(),
        submitted_unix_ms,
    };
    let records = [
        accepted(1_000),
        batch("b", 1, 2, |_, _| 10),
        results(vec![result("b", "s0.1", "first")]),
        Record::BatchEnded { batch: "b".into() },
        accepted(1_007),
        results(vec![result("b", "s0.0", "second")]),
        results(vec![result("b", "s1.0", "third")]),
    ];
    let live = replayed(&records);
    let mut restored = Ledger::default();
    for offset in [0, 3, 4] {
        restored.apply(offset, records[offset as usize].clone(), 0);
    }
    assert_eq!(
        (
            restored.unloaded_submitted_unix_ms("b"),
            restored.oldest_open_batch_unix_ms(0)
        ),
        (Some(1_000), None)
    );
    restored.begin_load(&"b".into());
    // The first result is loaded with the batch. The second is loaded and also read from the topic.
    // The third is only read from the topic, during the load.
    restored.apply(5, records[5].clone(), 0);
    restored.apply(6, records[6].clone(), 0);
    let loaded_records = [5, 1, 2].map(|offset| (offset, records[offset as usize].clone()));
    // Another batch of the same millisecond has an adjacent key in the store.
    let neighbour = (9, batch("a", 1, 2, |_, _| 10));
    restored.end_load(&"b".into(), [&loaded_records[..], &[neighbour]].concat(), 0);
    assert!(!restored.batches.contains_key("a"));
    assert_eq!(positions(&restored, "b"), positions(&live, "b"));
    assert!(restored.batches["b"].ended && restored.unloaded_submitted_unix_ms("b").is_none());
    assert_eq!(restored.next_offset, 7);
}

/// Regression test: a process that started after the end of a batch mistook a second submission of
/// that batch for a new batch and listed no results.
#[test]
fn repeated_submission_of_an_unloaded_batch_is_ignored() {
    let accepted = |submitted_unix_ms| Record::BatchAccepted {
        batch: "b".into(),
        submitted_unix_ms,
    };
    let mut restored = Ledger::default();
    restored.apply(0, accepted(400), 0);
    restored.apply(3, Record::BatchEnded { batch: "b".into() }, 0);
    restored.apply(4, accepted(1_000), 0);
    restored.apply(5, batch("b", 1, 2, |_, _| 10), 0);
    assert!(restored.batches.is_empty());
    assert_eq!(restored.unloaded_submitted_unix_ms("b"), Some(400));
}

/// Returns the records that the store keeps: the newest one of each key, with its offset.
fn compacted(records: &[Record]) -> Vec<(u64, Record)> {
    let mut newest = HashMap::new();
    for (offset, record) in records.iter().enumerate() {
        let writer = format!("n{}", offset % 3);
        newest.insert(
            record.key(&writer, offset as u64),
            (offset as u64, record.clone()),
        );
    }
    newest.into_values().collect()
}

/// Regression test: an instance settled a window a second time before it had read back the first
/// record. The second record replaced the first in the store, and a process that started later
/// reported different counts.
#[test]
fn a_window_that_is_settled_twice_keeps_its_first_figures() {
    let settled = |count| Record::WindowSettled {
        window: 7,
        counts: vec![("lodges".into(), count)],
    };
    let records = [
        settled(3),
        heartbeat("n1", 1),
        heartbeat("n1", 1),
        settled(4),
    ];
    let mut restored = Ledger::default();
    restored.bootstrap(compacted(&records), 4, 0);
    assert_eq!(
        restored.windows[&7].settled,
        Some(vec![("lodges".into(), 3)])
    );
}

#[test]
fn only_old_ended_batches_are_removed() {
    let accepted = |batch: &str, submitted_unix_ms| Record::BatchAccepted {
        batch: batch.into(),
        submitted_unix_ms,
    };
    let ended = |batch: &str| Record::BatchEnded {
        batch: batch.into(),
    };
    let records = [
        accepted("open", 100),
        accepted("new", 900),
        accepted("old/1", 200),
        batch("old/1", 1, 2, |_, _| 10),
        results(vec![result("old/1", "s0.0", "text")]),
        ended("new"),
        ended("old/1"),
    ];
    let mut ledger = replayed(&records);
    assert_eq!(
        ledger.oldest_expired_batch(500),
        Some(("old/1".into(), 200))
    );
    let key = records[2].key("n1/7", 3);
    assert_eq!(Removed::from_key(&key), Some(Removed::Batch("old/1")));
    ledger.remove(Removed::Batch("old/1"));
    assert!(ledger.oldest_expired_batch(500).is_none() && ledger.batches.is_empty());
    assert!(ledger.last_results.is_empty());
    assert_eq!(ledger.unloaded_submitted_unix_ms("new"), Some(900));
}

#[test]
fn reported_window_is_removed() {
    let settled = |window| Record::WindowSettled {
        window,
        counts: Vec::new(),
    };
    let reported = Record::WindowReported { window: 8 };
    let mut ledger = replayed(&[settled(7), settled(8), settled(9), reported.clone()]);
    assert_eq!(
        (
            ledger.oldest_expired_window(8),
            ledger.oldest_expired_window(9)
        ),
        (None, Some(8))
    );
    assert_eq!(
        Removed::from_key(&reported.key("n1/7", 3)),
        Some(Removed::Window(8))
    );
    ledger.remove(Removed::Window(8));
    assert_eq!(ledger.oldest_expired_window(100), None);
}

fn any_record() -> impl Strategy<Value = Record> {
    prop_oneof![
        2 => (0..3_u64).prop_map(|id| batch(&format!("b{id}"), id, 3, |_, _| 10)),
        6 => (0..3_u64, 0..3_usize, 0..2_usize, 0..100_u32).prop_map(|(id, group, index, text)| {
            let sample = format!("s{group}.{index}");
            results(vec![result(&format!("b{id}"), &sample, &text.to_string())])
        }),
        1 => (0..3_u64).prop_map(|id| Record::BatchEnded { batch: format!("b{id}").into() }),
        1 => (1..9_u64).prop_map(|incarnation| heartbeat("n1", incarnation)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// An instance that starts at any time from the compacted store lists the same results as the
    /// instances that read all records.
    #[test]
    fn late_reader_computes_the_same_positions(
        records in proptest::collection::vec(any_record(), 1..60),
        cut in 0..60_usize,
    ) {
        let accepted: Vec<Record> =
            (0..3).map(|id| batch(&format!("b{id}"), id, 3, |_, _| 10)).collect();
        let records: Vec<Record> = accepted.into_iter().chain(records).collect();
        let cut = cut.min(records.len());
        let live = replayed(&records);
        let mut restored = Ledger::default();
        restored.bootstrap(compacted(&records[..cut]), cut as u64, 0);
        for (offset, record) in records.iter().enumerate().skip(cut) {
            restored.apply(offset as u64, record.clone(), 0);
        }
        for (id, state) in &live.batches {
            prop_assert_eq!(positions(&live, id), positions(&restored, id));
            prop_assert_eq!(state.ended, restored.batches[id].ended);
        }
    }

    /// Applying the compacted records again, as an instance does if the store no longer holds its
    /// next offset, changes nothing.
    #[test]
    fn replaying_again_changes_nothing(records in proptest::collection::vec(any_record(), 1..60)) {
        let mut ledger = replayed(&records);
        let before: Vec<_> = ledger.batches.keys().cloned().collect();
        let listed: Vec<_> = before.iter().map(|id| positions(&ledger, id)).collect();
        ledger.bootstrap(compacted(&records), records.len() as u64, 0);
        let repeated: Vec<_> = before.iter().map(|id| positions(&ledger, id)).collect();
        prop_assert_eq!(listed, repeated);
    }
}
