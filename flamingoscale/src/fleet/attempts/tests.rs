//! Tests for retries and hedged attempts: `NotRun` is reported only if no endpoint ran the request.

use proptest::prelude::*;

use super::*;

fn hedged_request() -> Attempts {
    Attempts::new(2, true, 75, 0)
}

#[test]
fn slow_first_attempt_is_hedged() {
    let mut attempts = hedged_request();
    assert_eq!(attempts.next_attempt_ms(), Some(0));
    attempts.sent(0);
    assert_eq!(attempts.next_attempt_ms(), Some(75));
    attempts.sent(75);
    assert_eq!(attempts.next_attempt_ms(), None);
}

#[test]
fn lost_attempt_is_retried_immediately() {
    let mut attempts = hedged_request();
    attempts.sent(0);
    attempts.ended(AttemptEnd::Lost, 30);
    assert_eq!(attempts.next_attempt_ms(), Some(30));
    attempts.sent(30);
    attempts.ended(AttemptEnd::Failed, 60);
    assert_eq!(
        (attempts.next_attempt_ms(), attempts.verdict()),
        (None, Verdict::Unknown)
    );
}

#[test]
fn non_idempotent_request_is_retried_only_after_a_refusal() {
    let mut attempts = Attempts::new(3, false, 75, 0);
    attempts.sent(0);
    assert_eq!(attempts.next_attempt_ms(), None);
    attempts.ended(AttemptEnd::Refused, 10);
    assert_eq!(
        (attempts.next_attempt_ms(), attempts.verdict()),
        (Some(10), Verdict::NotRun)
    );
    attempts.sent(10);
    attempts.ended(AttemptEnd::Lost, 20);
    assert_eq!(
        (attempts.next_attempt_ms(), attempts.verdict()),
        (None, Verdict::Unknown)
    );
}

#[test]
fn number_of_refused_attempts_is_limited() {
    let mut attempts = hedged_request();
    let mut sends = 0;
    while let Some(at_ms) = attempts.next_attempt_ms() {
        attempts.sent(at_ms);
        attempts.ended(AttemptEnd::Refused, at_ms);
        sends += 1;
    }
    assert_eq!((sends, attempts.verdict()), (MAX_REFUSALS, Verdict::NotRun));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// For any sequence of events, no more endpoints run a request than its route allows, a
    /// request that is not idempotent runs at most once, and `NotRun` is reported only if no
    /// endpoint ran the request.
    #[test]
    fn invariants_hold_for_any_history(
        max_attempts in 1..4_u32,
        idempotent: bool,
        steps in proptest::collection::vec(0..5_u8, 0..24),
    ) {
        let mut attempts = Attempts::new(max_attempts, idempotent, 75, 0);
        let (mut now_ms, mut in_flight, mut possibly_run) = (0, 0, 0);
        for step in steps {
            now_ms += 40;
            let due = attempts.next_attempt_ms().is_some_and(|at_ms| at_ms <= now_ms);
            match step {
                0 | 1 if due => {
                    attempts.sent(now_ms);
                    in_flight += 1;
                }
                2..=4 if in_flight > 0 => {
                    let end = [AttemptEnd::Refused, AttemptEnd::Lost, AttemptEnd::Failed]
                        [step as usize - 2];
                    attempts.ended(end, now_ms);
                    in_flight -= 1;
                    possibly_run += u32::from(end != AttemptEnd::Refused);
                }
                _ => (),
            }
            let may_have_run = in_flight + possibly_run;
            let allowed = if idempotent { max_attempts } else { 1 };
            prop_assert!(may_have_run <= allowed);
            prop_assert_eq!(attempts.verdict() == Verdict::NotRun, may_have_run == 0);
        }
    }
}

#[test]
fn instances_that_turn_a_request_away_do_not_use_up_its_refusals() {
    let mut attempts = Attempts::new(2, false, 75, 0);
    for now_ms in 0..u64::from(MAX_TURNED_AWAY) - 1 {
        attempts.sent(now_ms);
        attempts.ended(AttemptEnd::TurnedAway, now_ms);
        assert!(attempts.next_attempt_ms().is_some());
    }
    attempts.sent(20);
    attempts.ended(AttemptEnd::TurnedAway, 20);
    assert_eq!(attempts.next_attempt_ms(), None);
    assert_eq!(attempts.verdict(), Verdict::NotRun);
}
