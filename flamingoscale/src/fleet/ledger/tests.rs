//! Tests that every instance computes the same state, regardless of when it started reading.

use proptest::prelude::*;

use super::*;
use crate::fleet::{
    fixtures::{
        apply,
        batch,
        heartbeat,
        lease_message,
        ledger_of,
        result,
        results, //
    },
    record::Batch, //
};

fn claim(holder: &str, epoch: u64) -> Record {
    Record::Claim(lease_message("orders", holder, epoch, 0))
}

fn replayed(records: &[Record]) -> Ledger {
    ledger_of(records.iter().cloned())
}

/// Sample ids with the keys of their texts, by position.
type Positions = Vec<(Arc<str>, Arc<str>)>;

fn positions_in(list: &ResultList) -> Positions {
    let text = |result: &SampleResult| result.text.as_ref().map(|text| text.key.clone());
    let listed = |result: &Rc<SampleResult>| {
        (
            result.sample.clone(),
            text(result).unwrap_or_else(|| "".into()),
        )
    };
    list.from(0).iter().map(listed).collect()
}

fn positions(ledger: &Ledger, batch: &str) -> Positions {
    positions_in(&ledger.batches[batch].results)
}

/// Returns the positions that an instance lists that reads the records of a batch from the store.
fn positions_read_from(records: &[Record], batch: &str) -> Positions {
    positions_in(&ResultList::from_records(batch, compacted(records)))
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
        results(vec![result("c", "s1.0", "of another batch")]),
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
    let mut records = Batch::clone(&large).into_records(1_000);
    assert!(records.len() > 3);
    let sizes = records.iter().map(|record| record.encode().unwrap().len());
    assert!(sizes.max() < Some(1_200));
    assert_eq!(replayed(&records).batches["b"].batch, large);
    // The compacted store gives the same batch after a second submission that wrote all parts
    // again.
    records.extend(records.clone());
    let mut restored = Ledger::default();
    restored.apply(0, Record::BatchRegistered(large.summary()), 0);
    restored.load_batch("b", compacted(&records));
    assert_eq!(restored.batches["b"].batch, large);
}

/// A batch whose records were stored runs only once it is registered, and only with the records of
/// the registered submission.
#[test]
fn batch_is_accepted_when_its_registered_submission_was_read() {
    let Record::Batch(first) = batch("b", 1, 2, |_, _| 10) else {
        unreachable!()
    };
    let mut second = Batch::clone(&first);
    second.submitted_unix_ms += 7;
    second.samples.truncate(1);
    let register = |batch: &Batch| Record::BatchRegistered(batch.summary());
    let stored = |batch: &Batch| Record::Batch(Arc::new(batch.clone()));
    let mut ledger = Ledger::default();
    ledger.apply_batch_record(stored(&first));
    assert!(ledger.batches.is_empty());
    ledger.apply_batch_record(stored(&second));
    ledger.apply(0, register(&second), 0);
    ledger.apply(1, register(&first), 0);
    assert_eq!(*ledger.batches["b"].batch, second);
    let mut ledger = Ledger::default();
    ledger.apply(0, register(&second), 0);
    ledger.apply_batch_record(stored(&first));
    assert!(ledger.batches.is_empty());
    ledger.apply_batch_record(stored(&second));
    assert_eq!(*ledger.batches["b"].batch, second);
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

/// A batch whose records are read late lists the same positions as one that was followed from its
/// start, also if results are followed while it is loaded.
#[test]
fn batch_that_is_loaded_late_has_the_same_positions() {
    let records = [
        batch("b", 1, 2, |_, _| 10),
        results(vec![result("b", "s0.1", "first")]),
        results(vec![result("b", "s0.0", "second")]),
        results(vec![result("b", "s1.0", "third")]),
    ];
    let live = replayed(&records);
    let Record::Batch(loaded) = &records[0] else {
        unreachable!()
    };
    let mut late = Ledger::default();
    late.apply(0, Record::BatchRegistered(loaded.summary()), 0);
    // The second result is followed and loaded, the third is only followed.
    late.apply_batch_record(records[2].clone());
    late.apply_batch_record(records[3].clone());
    let mut stored: Vec<_> = (0..).zip(records.iter().take(3).cloned()).collect();
    stored.reverse();
    // Another batch of the same millisecond has an adjacent key in the store.
    stored.push((9, batch("a", 1, 2, |_, _| 10)));
    late.load_batch("b", stored);
    assert!(!late.batches.contains_key("a"));
    assert_eq!(positions(&late, "b"), positions(&live, "b"));
    assert_eq!(positions_read_from(&records, "b"), positions(&live, "b"));
}

/// The instance that runs the samples of a model reads its unfinished batches and the newest ones.
/// Guards against LOST: open batches that were submitted more than a minute ago were not read.
#[test]
fn unfinished_and_newest_batches_of_a_partition_are_needed() {
    const DAY_S: u64 = 86_400;
    let mut ledger = Ledger::default();
    for step in 1..=5 {
        // Batches of five days.
        let submitted_s = step * DAY_S;
        apply(
            &mut ledger,
            step,
            batch(&format!("b{step}"), submitted_s, 1, |_, _| 10),
            0,
        );
    }
    for ended in ["b1", "b4", "b5"] {
        let batch = ended.into();
        ledger.apply(9, Record::BatchEnded { batch }, 0);
    }
    let needed = |ledger: &Ledger, partition: u32| {
        let needed = ledger.needed_batches(partition);
        let mut needed: Vec<String> = needed.iter().map(|batch| batch.id.to_string()).collect();
        needed.sort();
        needed
    };
    let partition = batch_partition("notes");
    assert_eq!(needed(&ledger, partition), ["b2", "b3", "b4", "b5"]);
    for (batch, milestone) in [("b2", Milestone::Finished), ("b3", Milestone::HalfFinished)] {
        let batch = batch.into();
        ledger.apply(10, Record::BatchMilestone { batch, milestone }, 0);
    }
    assert_eq!(needed(&ledger, partition), ["b3", "b4", "b5"]);
    assert!(needed(&ledger, partition + 1).is_empty());
}

/// Followed batches are dropped when another instance runs their samples.
#[test]
fn unloaded_batch_leaves_no_results() {
    let mut ledger = replayed(&[
        batch("b", 1, 2, |_, _| 10),
        results(vec![result("b", "s0.1", "text")]),
    ]);
    ledger.unload(|state| &*state.batch.model == "notes");
    assert!(ledger.batches.is_empty() && ledger.last_results.is_empty());
    assert!(ledger.registered.contains_key("b"));
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
    let ended = |batch: &str| Record::BatchEnded {
        batch: batch.into(),
    };
    let records = [
        batch("open", 1, 1, |_, _| 10),
        batch("new", 9, 1, |_, _| 10),
        batch("old/1", 2, 2, |_, _| 10),
        results(vec![result("old/1", "s0.0", "text")]),
        ended("new"),
        ended("old/1"),
    ];
    let mut ledger = replayed(&records);
    let expired = ledger.oldest_expired_batch(5_000, &|_| true).unwrap();
    assert_eq!((&*expired.id, expired.submitted_unix_ms), ("old/1", 2_000));
    let registered = Record::BatchRegistered((*expired).clone());
    let key = registered.key("n1/7", 3);
    assert_eq!(Removed::from_key(&key), Some(Removed::Batch("old/1")));
    ledger.remove(Removed::Batch("old/1"));
    assert!(ledger.oldest_expired_batch(5_000, &|_| true).is_none());
    assert!(!ledger.batches.contains_key("old/1") && ledger.last_results.is_empty());
    assert!(ledger.registered.contains_key("new"));
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
        let registered = live.batches.values();
        let registered = registered.map(|state| Record::BatchRegistered(state.batch.summary()));
        registered.for_each(|record| restored.apply(0, record, 0));
        for id in live.batches.keys() {
            restored.load_batch(id, compacted(&records[..cut]));
        }
        for (offset, record) in records.iter().enumerate() {
            match record {
                Record::BatchEnded { .. } => restored.apply(offset as u64, record.clone(), 0),
                _ if offset >= cut => restored.apply_batch_record(record.clone()),
                _ => (),
            }
        }
        for (id, state) in &live.batches {
            prop_assert_eq!(positions(&live, id), positions(&restored, id));
            prop_assert_eq!(positions(&live, id), positions_read_from(&records, id));
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
        for id in &before {
            ledger.load_batch(id, compacted(&records));
        }
        let repeated: Vec<_> = before.iter().map(|id| positions(&ledger, id)).collect();
        prop_assert_eq!(listed, repeated);
    }
}

/// Guards against MIXED: the last result of a sample is that of its own trainer. See
/// docs/incidents/texts-of-other-trainers.md.
#[test]
fn last_results_are_kept_by_trainer() {
    let of = |id: &str, organisation: &str, model: &str| {
        let Record::Batch(of_lodges) = batch(id, 1, 1, |_, _| 10) else {
            unreachable!("the fixture is a batch");
        };
        Arc::new(Batch {
            organisation: organisation.into(),
            model: model.into(),
            ..Batch::clone(&of_lodges)
        })
    };
    let batches = [
        of("a", "lodges", "notes"),
        of("b", "rescue", "notes"),
        of("c", "lodges", "cards"),
    ];
    let mut records: Vec<Record> = Vec::new();
    for batch in &batches {
        records.push(Record::Batch(batch.clone()));
        records.push(Record::BatchRegistered(batch.summary()));
        records.push(results(vec![result(&batch.id, "s0.0", "text")]));
    }
    let ledger = replayed(&records);
    for batch in &batches {
        let last = ledger.last_results.get(batch, "s0.0");
        let last = last.expect("it has a result");
        assert_eq!(last.batch, batch.id);
    }
}
