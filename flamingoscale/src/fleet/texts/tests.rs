//! Tests for key ranges, merging of unfinished texts, paging and the cache.

use proptest::prelude::*;

use super::*;
use crate::fleet::{
    fixtures::{
        apply,
        batch,
        result,
        results, //
    },
    record::Record, //
};

fn key(time: u64, batch: &str, writer: &str, serial: u64) -> Arc<str> {
    text_key(time, batch, writer, serial).into()
}

fn covers(range: &KeyRange, key: &str) -> bool {
    *key > *range.after && *key < *range.before
}

#[test]
fn keys_of_a_batch_share_a_partition() {
    let first = partition(&key(7, "b", "n1-5", 0));
    assert_eq!(partition(&key(7, "b", "n2-9", 31)), first);
    let used: std::collections::HashSet<u32> = (0..100)
        .map(|time| partition(&key(time, "b", "n1-5", 0)))
        .collect();
    assert_eq!(used.len() as u32, PARTITIONS);
}

#[test]
fn range_of_one_key_excludes_its_neighbours() {
    for serial in [0, 1, 9, 10, 99, 100] {
        let range = key_ranges(vec![key(7, "b", "n1-5", serial)]).remove(0);
        assert!(covers(&range, &key(7, "b", "n1-5", serial)));
        assert!(!covers(&range, &key(7, "b", "n1-5", serial + 1)));
        assert!(serial == 0 || !covers(&range, &key(7, "b", "n1-5", serial - 1)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn ranges_cover_each_key_once_and_no_other_batch(
        wanted in proptest::collection::vec((0..2_usize, 0..300_u64), 1..20),
    ) {
        let writers = ["n1-5", "n2-9"];
        let keys = wanted.iter().map(|(writer, serial)| key(7, "b", writers[*writer], *serial));
        let ranges = key_ranges(keys.clone().collect());
        for key in keys {
            prop_assert_eq!(ranges.iter().filter(|range| covers(range, &key)).count(), 1);
        }
        prop_assert!(ranges.len() <= 2);
        prop_assert!(!ranges.iter().any(|range| covers(range, &key(7, "c", "n1-5", 3))));
    }
}

fn partial(sample: &str, last_event: u64) -> PartialText {
    PartialText {
        batch: "b".into(),
        sample: sample.into(),
        last_event,
        text: format!("{last_event} events").into(),
        versions: vec![1],
        software: "v1".into(),
        complete: false,
    }
}

/// A text that only lacks its score must not be generated again after a handover.
#[test]
fn complete_text_replaces_an_unfinished_one_of_the_same_length() {
    let mut ledger = Ledger::default();
    apply(&mut ledger, 0, batch("b", 1, 2, |_, _| 10), 0);
    let complete = PartialText {
        complete: true,
        ..partial("s0.0", 4)
    };
    for stored in [
        [partial("s0.0", 4), complete.clone()],
        [complete.clone(), partial("s0.0", 4)],
    ] {
        let mut partials = HashMap::new();
        merge_unfinished(&mut partials, stored, &ledger);
        let kept: Vec<PartialText> = partials.into_values().collect();
        assert_eq!(kept, std::slice::from_ref(&complete));
    }
}

/// Two instances may have stored texts of the same sample, and the shorter text may be read last.
#[test]
fn longest_text_of_an_unfinished_sample_is_kept() {
    let mut ledger = Ledger::default();
    apply(&mut ledger, 0, batch("b", 1, 2, |_, _| 10), 0);
    apply(
        &mut ledger,
        1,
        results(vec![result("b", "s0.1", "whole")]),
        0,
    );
    let mut partials = HashMap::from([(("b".into(), "s1.0".into()), partial("s1.0", 5))]);
    let stored = [
        partial("s0.0", 3),
        partial("s0.0", 2),
        partial("s1.0", 4),
        partial("s0.1", 9),
    ];
    merge_unfinished(&mut partials, stored, &ledger);
    let events = |sample: &str| {
        let partials = partials.get(&("b".into(), sample.into()));
        partials.map(|partial: &PartialText| partial.last_event)
    };
    assert_eq!(
        (events("s0.0"), events("s1.0"), events("s0.1")),
        (Some(3), Some(5), None)
    );
    apply(&mut ledger, 2, Record::BatchEnded { batch: "b".into() }, 0);
    let mut partials = HashMap::new();
    merge_unfinished(&mut partials, [partial("s0.0", 3)], &ledger);
    assert!(partials.is_empty());
}

#[test]
fn page_has_at_least_one_result_and_respects_its_limit() {
    let listed: Vec<SampleResult> = (0..9)
        .map(|index| {
            let mut listed_result = result("b", &format!("s{index}.0"), "key");
            listed_result.text.as_mut().unwrap().bytes = 800;
            listed_result
        })
        .collect();
    assert_eq!(page_length(listed.iter(), 3_000), 3);
    assert_eq!(page_length(listed.iter(), 10), 1);
    assert_eq!(page_length([].iter(), 10), 0);
}

/// Regression test: every instance kept all texts in memory until it stopped.
#[test]
fn cache_respects_its_limit() {
    let mut cache = TextCache::new(100);
    for serial in 0..50 {
        cache.insert(
            key(7, "b", "n1-5", serial),
            vec!["0123456789".into(); 3].into(),
        );
        cache.insert(
            key(7, "b", "n1-5", serial),
            vec!["0123456789".into(); 3].into(),
        );
    }
    let kept = (0..50).filter(|serial| cache.get(&key(7, "b", "n1-5", *serial)).is_some());
    assert_eq!(kept.collect::<Vec<_>>(), [47, 48, 49]);
    assert!(cache.bytes <= 100);
}
