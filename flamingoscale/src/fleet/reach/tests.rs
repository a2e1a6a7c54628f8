use super::*;

/// Runs the check that is due at `now_ms`, which takes `took_ms`.
fn check(reach: &mut Reach, answered: bool, now_ms: u64, took_ms: u64) -> Option<Change> {
    assert!(reach.start_check(now_ms), "no check is due at {now_ms}");
    assert!(!reach.start_check(now_ms), "two checks at once");
    reach.check_ended(answered, now_ms, now_ms + took_ms)
}

#[test]
fn links_are_lost_after_two_failed_checks_and_restored_by_one() {
    let mut reach = Reach::default();
    assert!(!reach.start_check(1_000));
    reach.heard(1_000);
    reach.unanswered();
    assert_eq!(check(&mut reach, false, 1_100, 250), None);
    assert!(!reach.is_lost());
    let lost = Change::Lost {
        silent_ms: 650,
        unanswered: 1,
    };
    assert_eq!(check(&mut reach, false, 1_400, 250), Some(lost));
    assert!(reach.is_lost());
    assert!(!reach.start_check(1_700));
    assert_eq!(check(&mut reach, false, 2_150, 250), None);
    let restored = Change::Restored { lost_ms: 1_255 };
    assert_eq!(check(&mut reach, true, 2_900, 5), Some(restored));
    assert!(!reach.is_lost() && reach.is_confirmed(2_905));
}

#[test]
fn failures_of_single_endpoints_do_not_count_as_lost_links() {
    let mut reach = Reach::default();
    for round in 1..100 {
        let now_ms = round * 1_000;
        reach.unanswered();
        reach.unanswered();
        assert_eq!(check(&mut reach, true, now_ms, 3), None);
        assert!(!reach.start_check(now_ms + 3));
    }
    assert!(!reach.is_lost());
}

#[test]
fn streams_that_live_on_do_not_hide_that_new_connections_fail() {
    let mut reach = Reach::default();
    reach.began(0);
    reach.unanswered();
    for now_ms in [0, 20, 100] {
        reach.heard(now_ms);
        if reach.start_check(now_ms) {
            reach.check_ended(false, now_ms, now_ms + 2);
        }
    }
    assert!(reach.is_lost());
}

#[test]
fn requests_that_wait_in_silence_call_for_a_check() {
    let mut reach = Reach::default();
    reach.heard(1_000);
    assert!(!reach.start_check(5_000));
    reach.began(5_000);
    assert!(!reach.start_check(5_199));
    reach.heard(5_199);
    assert!(!reach.start_check(5_398));
    assert_eq!(check(&mut reach, true, 5_399, 2), None);
    reach.ended();
    assert!(!reach.start_check(9_000));
}

#[test]
fn confirmation_counts_from_the_begin_of_its_check() {
    let mut reach = Reach::default();
    reach.want_check();
    check(&mut reach, true, 1_000, 200);
    assert!(reach.is_confirmed_since(1_000));
    assert!(!reach.is_confirmed_since(1_001));
    assert!(reach.is_confirmed(1_400) && !reach.is_confirmed(1_401));
}
