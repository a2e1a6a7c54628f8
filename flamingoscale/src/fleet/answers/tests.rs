//! Tests of what each kind of answer says.

use super::*;

/// Guards against MIXED: only a failure of the endpoint counts as a failed run. See
/// docs/incidents/slow-scorers.md.
#[test]
fn each_status_says_one_thing() {
    for (status, expected) in [
        (200, RunReport::Completed),
        (204, RunReport::Completed),
        (304, RunReport::Completed),
        (400, RunReport::Completed),
        (404, RunReport::Completed),
        (422, RunReport::Completed),
        (408, RunReport::Unknown),
        (421, RunReport::NotRun),
        (429, RunReport::Unknown),
        (500, RunReport::Failed),
        (501, RunReport::Unknown),
        (502, RunReport::Unknown),
        (503, RunReport::Unknown),
        (504, RunReport::OutOfTime),
        (599, RunReport::Unknown),
    ] {
        assert_eq!(RunReport::of(status, false), expected, "status {status}");
        assert_eq!(RunReport::of(status, true), RunReport::NotRun);
    }
}

/// Guards against REFUSED: no answer that leaves the run open bears a status that callers take as a
/// promise.
#[test]
fn only_a_request_that_did_not_run_is_refused() {
    let promises = (200..600).filter(|status| promises_not_run(*status));
    assert!(promises
        .clone()
        .all(|status| !RunReport::of(status, false).has_ended()));
    assert_eq!(promises.collect::<Vec<_>>(), [408, 421, 429, 503]);
}

/// Guards against MIXED: the end of a connection is not the end of a text. See
/// docs/incidents/texts-without-length.md.
#[test]
fn the_end_of_a_connection_is_confirmed_by_another_run() {
    assert!(is_whole_text(false, 24));
    assert!(!is_whole_text(true, 14));
    assert!(is_whole_text(true, 0));
}
