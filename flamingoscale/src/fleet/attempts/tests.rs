//! Played tries: what is sent again, and that "not run" is true.

use proptest::prelude::*;

use super::*;

fn lookup() -> Attempts {
    Attempts::new(2, true, 75, 0)
}

#[test]
fn a_slow_first_try_gets_a_second_beside_it() {
    let mut attempts = lookup();
    assert_eq!(attempts.next_attempt_ms(), Some(0));
    attempts.sent(0);
    assert_eq!(attempts.next_attempt_ms(), Some(75));
    attempts.sent(75);
    assert_eq!(attempts.next_attempt_ms(), None);
}

#[test]
fn a_lost_try_is_replaced_at_once() {
    let mut attempts = lookup();
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
fn what_may_not_be_repeated_is_tried_again_only_after_a_refusal() {
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
fn a_service_that_only_refuses_is_not_asked_for_ever() {
    let mut attempts = lookup();
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

    /// Whatever happens, no more endpoints run a request than its route allows, one that may not
    /// be repeated runs once at most, and the caller hears "not run" only if none did.
    #[test]
    fn promises_hold_for_any_history(
        most in 1..4_u32,
        idempotent: bool,
        steps in proptest::collection::vec(0..5_u8, 0..24),
    ) {
        let mut attempts = Attempts::new(most, idempotent, 75, 0);
        let (mut now_ms, mut open, mut ran) = (0, 0, 0);
        for step in steps {
            now_ms += 40;
            let due = attempts.next_attempt_ms().is_some_and(|at_ms| at_ms <= now_ms);
            match step {
                0 | 1 if due => {
                    attempts.sent(now_ms);
                    open += 1;
                }
                2..=4 if open > 0 => {
                    let end = [AttemptEnd::Refused, AttemptEnd::Lost, AttemptEnd::Failed][step as usize - 2];
                    attempts.ended(end, now_ms);
                    open -= 1;
                    ran += u32::from(end != AttemptEnd::Refused);
                }
                _ => (),
            }
            let may_have_run = open + ran;
            let allowed = if idempotent { most } else { 1 };
            prop_assert!(may_have_run <= allowed);
            prop_assert_eq!(attempts.verdict() == Verdict::NotRun, may_have_run == 0);
        }
    }
}
