//! The fold gives the same positions to every instance, whenever it began to read.

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

fn folded(records: &[Record]) -> Ledger {
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
fn the_first_result_of_a_sample_holds() {
    let ledger = folded(&[
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
fn a_batch_that_is_submitted_twice_is_accepted_once() {
    let first = batch("b", 1, 2, |_, _| 10);
    let ledger = folded(&[
        first.clone(),
        results(vec![result("b", "s0.0", "text")]),
        first,
    ]);
    assert_eq!(positions(&ledger, "b").len(), 1);
}

/// A batch of more bytes than a record may have was refused for good.
#[test]
fn a_large_batch_comes_in_parts_and_is_whole() {
    let Record::Batch(large) = batch("b", 1, 40, |_, _| 10) else {
        unreachable!()
    };
    let records = Batch::clone(&large).into_records(1_000);
    assert!(records.len() > 3);
    let sizes = records.iter().map(|record| record.encode().unwrap().len());
    assert!(sizes.max() < Some(1_200));
    assert_eq!(folded(&records).batches["b"].batch, large);
    // From what the store kept, also where it was submitted again and its parts came twice.
    let again: Vec<Record> = [records.clone(), records].concat();
    let mut late = Ledger::default();
    late.bootstrap(kept(&again), again.len() as u64, 0);
    assert_eq!(late.batches["b"].batch, large);
}

#[test]
fn an_end_that_is_read_before_its_batch_holds() {
    let ended = Record::BatchEnded { batch: "b".into() };
    assert!(folded(&[ended, batch("b", 1, 2, |_, _| 10)]).batches["b"].ended);
}

#[test]
fn a_claim_of_an_epoch_that_is_taken_is_void() {
    let ledger = folded(&[claim("n1", 1), claim("n2", 1)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n1");
    let ledger = folded(&[claim("n1", 1), claim("n2", 2), claim("n3", 2)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n2");
    assert_eq!(ledger.leases["orders"].term, 2);
}

fn renewal(holder: &str, epoch: u64, term: u64) -> Record {
    let message = lease_message("orders", holder, epoch, 0);
    Record::Renewal { message, term }
}

#[test]
fn a_renewal_of_an_earlier_term_changes_nothing() {
    let ledger = folded(&[claim("n1", 1), claim("n2", 2), renewal("n1", 1, 1)]);
    assert_eq!(&*ledger.leases["orders"].last_message.holder, "n2");
}

/// The store keeps the void claim of one instance and the renewal of the other, not its claim.
#[test]
fn a_renewal_of_the_first_claim_beats_a_later_claim_of_the_epoch() {
    let records = [claim("n1", 1), claim("n2", 1), renewal("n1", 1, 1)];
    let live = folded(&records);
    let mut late = Ledger::default();
    late.bootstrap(kept(&records), 3, 0);
    assert_eq!(
        late.leases["orders"].last_message.holder,
        live.leases["orders"].last_message.holder
    );
    assert_eq!(late.leases["orders"].term, live.leases["orders"].term);
}

#[test]
fn a_sign_of_a_former_incarnation_is_ignored() {
    let ledger = folded(&[heartbeat("n1", 7), heartbeat("n1", 6)]);
    assert_eq!(ledger.members["n1"].heartbeat.incarnation, 7);
}

/// A batch that was over when a process started is read when it is asked for.
#[test]
fn a_batch_that_is_loaded_later_lists_the_same() {
    let opened = |submitted_unix_ms| Record::BatchAccepted {
        batch: "b".into(),
        submitted_unix_ms,
    };
    let records = [
        opened(1_000),
        batch("b", 1, 2, |_, _| 10),
        results(vec![result("b", "s0.1", "first")]),
        Record::BatchEnded { batch: "b".into() },
        opened(1_007),
        results(vec![result("b", "s0.0", "second")]),
        results(vec![result("b", "s1.0", "third")]),
    ];
    let live = folded(&records);
    let mut late = Ledger::default();
    for offset in [0, 3, 4] {
        late.apply(offset, records[offset as usize].clone(), 0);
    }
    assert_eq!(
        (late.unloaded("b"), late.oldest_open_unix_ms(0)),
        (Some(1_000), None)
    );
    late.begin_load(&"b".into());
    // One result was read with the batch, one both ways, one only from the topic meanwhile.
    late.apply(5, records[5].clone(), 0);
    late.apply(6, records[6].clone(), 0);
    let read = [5, 1, 2].map(|offset| (offset, records[offset as usize].clone()));
    // Another batch of the same millisecond stands beside it in the store.
    let neighbour = (9, batch("a", 1, 2, |_, _| 10));
    late.end_load(&"b".into(), [&read[..], &[neighbour]].concat(), 0);
    assert!(!late.batches.contains_key("a"));
    assert_eq!(positions(&late, "b"), positions(&live, "b"));
    assert!(late.batches["b"].ended && late.unloaded("b").is_none());
    assert_eq!(late.next_offset, 7);
}

/// A process that started after a batch was over took a second submission of it for a new batch,
/// and listed nothing.
#[test]
fn a_second_submission_of_a_batch_that_is_not_loaded_opens_nothing() {
    let opened = |submitted_unix_ms| Record::BatchAccepted {
        batch: "b".into(),
        submitted_unix_ms,
    };
    let mut late = Ledger::default();
    late.apply(0, opened(400), 0);
    late.apply(3, Record::BatchEnded { batch: "b".into() }, 0);
    late.apply(4, opened(1_000), 0);
    late.apply(5, batch("b", 1, 2, |_, _| 10), 0);
    assert!(late.batches.is_empty());
    assert_eq!(late.unloaded("b"), Some(400));
}

/// What the store keeps: the newest record of each key, with its offset.
fn kept(records: &[Record]) -> Vec<(u64, Record)> {
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

/// One instance settled a window twice before it read that back: the second record replaced the
/// first in the store, and a process that started later reported other figures.
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
    let mut late = Ledger::default();
    late.bootstrap(kept(&records), 4, 0);
    assert_eq!(late.windows[&7].settled, Some(vec![("lodges".into(), 3)]));
}

#[test]
fn only_batches_that_are_over_and_old_are_removed() {
    let opened = |batch: &str, submitted_unix_ms| Record::BatchAccepted {
        batch: batch.into(),
        submitted_unix_ms,
    };
    let ended = |batch: &str| Record::BatchEnded {
        batch: batch.into(),
    };
    let records = [
        opened("open", 100),
        opened("new", 900),
        opened("old/1", 200),
        batch("old/1", 1, 2, |_, _| 10),
        results(vec![result("old/1", "s0.0", "text")]),
        ended("new"),
        ended("old/1"),
    ];
    let mut ledger = folded(&records);
    assert_eq!(
        ledger.oldest_expired_batch(500),
        Some(("old/1".into(), 200))
    );
    let key = records[2].key("n1/7", 3);
    assert_eq!(Removed::from_key(&key), Some(Removed::Batch("old/1")));
    ledger.remove(Removed::Batch("old/1"));
    assert!(ledger.oldest_expired_batch(500).is_none() && ledger.batches.is_empty());
    assert!(ledger.last_results.is_empty());
    assert_eq!(ledger.unloaded("new"), Some(900));
}

#[test]
fn a_window_goes_after_its_report() {
    let settled = |window| Record::WindowSettled {
        window,
        counts: Vec::new(),
    };
    let reported = Record::WindowReported { window: 8 };
    let mut ledger = folded(&[settled(7), settled(8), settled(9), reported.clone()]);
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

    /// An instance that starts at any moment, from what the store kept, lists what the others do.
    #[test]
    fn a_late_reader_lists_the_same(
        records in proptest::collection::vec(any_record(), 1..60),
        cut in 0..60_usize,
    ) {
        let opened: Vec<Record> =
            (0..3).map(|id| batch(&format!("b{id}"), id, 3, |_, _| 10)).collect();
        let records: Vec<Record> = opened.into_iter().chain(records).collect();
        let cut = cut.min(records.len());
        let live = folded(&records);
        let mut late = Ledger::default();
        late.bootstrap(kept(&records[..cut]), cut as u64, 0);
        for (offset, record) in records.iter().enumerate().skip(cut) {
            late.apply(offset as u64, record.clone(), 0);
        }
        for (id, state) in &live.batches {
            prop_assert_eq!(positions(&live, id), positions(&late, id));
            prop_assert_eq!(state.ended, late.batches[id].ended);
        }
    }

    /// Reading the kept records again, after the store forgot its history, changes nothing.
    #[test]
    fn reading_again_changes_nothing(records in proptest::collection::vec(any_record(), 1..60)) {
        let mut ledger = folded(&records);
        let before: Vec<_> = ledger.batches.keys().cloned().collect();
        let listed: Vec<_> = before.iter().map(|id| positions(&ledger, id)).collect();
        ledger.bootstrap(kept(&records), records.len() as u64, 0);
        let again: Vec<_> = before.iter().map(|id| positions(&ledger, id)).collect();
        prop_assert_eq!(listed, again);
    }
}
