//! Tests of when the next append is expected to succeed.

use super::*;

/// Guards against UNASKED: after a single failure, an instance with nothing to write expected every append to
/// fail, for good. See docs/incidents/refused-ends.md.
#[test]
fn a_failure_is_forgotten_by_an_instance_with_nothing_to_write() {
    let mut appends = Appends::default();
    assert!(appends.expects_success(true, 0));
    assert!(appends.failed(1_000));
    assert!(!appends.expects_success(true, 1_000));
    assert!(!appends.expects_success(true, 1_000 + STALE_MS - 1));
    assert!(appends.expects_success(true, 1_000 + STALE_MS));
    // Another failure is known for as long again.
    assert!(!appends.failed(1_500));
    assert!(!appends.expects_success(true, 1_500));
}

/// While appends are repeated, the last attempt is what is known.
#[test]
fn a_failure_is_known_while_appends_are_repeated() {
    let mut appends = Appends::default();
    appends.failed(1_000);
    assert!(!appends.expects_success(false, 60_000));
    assert_eq!(appends.succeeded(), 1);
    assert!(appends.expects_success(false, 60_000));
    assert_eq!(appends.succeeded(), 0);
}
