//! Tests that a stream is resumed only where its software is known or cannot matter.

use super::*;

const START_MS: u64 = 1_000_000;
const MINUTE_MS: u64 = STREAM_LIFETIME_MS + CLOCK_MARGIN_MS;

fn service() -> Arc<str> {
    "drafting".into()
}

fn listed(versions: &[&str]) -> BTreeSet<Arc<str>> {
    versions.iter().map(|version| Arc::from(*version)).collect()
}

/// Records what an instance with this list sees, as the holder of the control lease does.
fn observe(history: &mut SoftwareHistory, versions: &[&str], first_start: bool, now_ms: u64) {
    let versions = listed(versions);
    let new = versions
        .iter()
        .filter_map(|software| history.due_record(&service(), software, first_start, now_ms));
    let mut records: Vec<VersionRecord> = new.collect();
    records.extend(history.due_ends(&service(), &versions, now_ms));
    for (service, software, version) in records {
        history.apply(&service, &software, version);
    }
}

fn candidates(history: &SoftwareHistory, versions: &[&str], now_ms: u64) -> Candidates {
    history.candidates("drafting", &listed(versions), now_ms)
}

#[test]
fn any_endpoint_resumes_a_stream_while_there_is_one_software() {
    let mut history = SoftwareHistory::default();
    observe(&mut history, &["v1"], true, START_MS);
    assert_eq!(candidates(&history, &["v1"], START_MS), Candidates::One);
    // A system that ran before its versions were recorded may have had another one.
    let mut history = SoftwareHistory::default();
    observe(&mut history, &["v1"], false, START_MS);
    let at = |now_ms| candidates(&history, &["v1"], now_ms);
    assert_eq!(at(START_MS + MINUTE_MS - 1), Candidates::Several);
    assert_eq!(at(START_MS + MINUTE_MS), Candidates::One);
}

/// Guards against ORDER: an instance that starts after the servers of the former version have left knew
/// of one version only.
#[test]
fn instance_that_starts_after_a_release_knows_of_the_former_software() {
    let mut history = SoftwareHistory::default();
    observe(&mut history, &["v1"], true, START_MS);
    let released_ms = START_MS + 600_000;
    observe(&mut history, &["v1", "v2"], false, released_ms);
    // All instances are killed before they see v1 leave.
    let at = |now_ms| candidates(&history, &["v2"], now_ms);
    assert_eq!(at(released_ms + 1_000), Candidates::Several);
    observe(&mut history, &["v2"], false, released_ms + 2_000);
    let last_ms = released_ms + 2_000 + MINUTE_MS;
    let at = |now_ms| candidates(&history, &["v2"], now_ms);
    assert_eq!(at(last_ms), Candidates::Several);
    assert_eq!(at(last_ms + 1), Candidates::One);
}

/// Guards against ORDER: an instance that was out of step knew of one version only.
#[test]
fn instance_with_an_old_list_knows_of_the_new_software() {
    let mut history = SoftwareHistory::default();
    observe(&mut history, &["v1"], true, START_MS);
    observe(&mut history, &["v1", "v2"], false, START_MS + 600_000);
    let now_ms = START_MS + 600_001;
    assert_eq!(candidates(&history, &["v1"], now_ms), Candidates::Several);
    assert_eq!(candidates(&history, &[], now_ms), Candidates::Several);
}

#[test]
fn streams_begin_only_at_recorded_software() {
    let mut history = SoftwareHistory::default();
    assert!(!history.is_recorded("drafting", "v1"));
    assert_eq!(candidates(&history, &[], START_MS), Candidates::Several);
    observe(&mut history, &["v1"], true, START_MS);
    assert!(history.is_recorded("drafting", "v1"));
    observe(&mut history, &["v2"], false, START_MS + 1);
    assert!(!history.is_recorded("drafting", "v1"));
    // A version that comes back is recorded again.
    let again = history.due_record(&service(), &"v1".into(), false, START_MS + 2);
    let (_, _, version) = again.unwrap();
    assert_eq!(
        (version.first_unix_ms, version.gone_unix_ms),
        (START_MS, None)
    );
}

/// The records of the first writer and of the last one merge, in whatever order they are read.
#[test]
fn records_of_several_instances_merge() {
    let version = |first_unix_ms, since_start| Version {
        first_unix_ms,
        since_start,
        gone_unix_ms: None,
    };
    let records = [version(START_MS, true), version(START_MS + 5, false)];
    let mut reversed = records;
    reversed.reverse();
    for records in [records, reversed] {
        let mut history = SoftwareHistory::default();
        for record in records {
            history.apply(&service(), &"v1".into(), record);
        }
        assert_eq!(candidates(&history, &["v1"], START_MS + 6), Candidates::One);
    }
}

#[test]
fn versions_without_streams_are_removed_but_for_one() {
    let mut history = SoftwareHistory::default();
    for release in 0..10_u64 {
        let software = format!("v{release}");
        observe(
            &mut history,
            &[&software],
            release == 0,
            START_MS + release * 1_000,
        );
    }
    let now_ms = START_MS + 10_000;
    assert_eq!(history.expired(now_ms), None);
    let later_ms = now_ms + 2 * MINUTE_MS;
    let mut removed = 0;
    while let Some((service, software)) = history.expired(later_ms) {
        history.remove(&service, &software);
        removed += 1;
    }
    assert_eq!(removed, 9);
    assert_eq!(candidates(&history, &["v9"], later_ms), Candidates::One);
}
