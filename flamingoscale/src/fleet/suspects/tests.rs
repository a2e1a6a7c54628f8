use super::*;

const POISON: u64 = 1;
const POPULAR: u64 = 2;

fn crash(endpoint: usize, started_unix_ms: u64, noticed_unix_ms: u64) -> Crash {
    Crash {
        endpoint: format!("e{endpoint}").into(),
        started_unix_ms,
        noticed_unix_ms,
    }
}

fn is_held_back(suspects: &Suspects, fingerprint: u64, now_ms: u64) -> bool {
    let suspicion = suspects.suspicion(fingerprint, now_ms);
    matches!(suspicion, Suspicion::HeldBack(_))
}

/// Connections that break at one crash count once, whichever instances see them break.
#[test]
fn connections_that_break_at_one_crash_count_once() {
    let mut suspects = Suspects::default();
    assert!(suspects.crashed(POPULAR, crash(0, 10, 100)));
    for noticed_ms in 101..150 {
        assert!(!suspects.crashed(POPULAR, crash(0, 10, noticed_ms)));
    }
    assert_eq!(suspects.suspicion(POPULAR, 150), Suspicion::Suspect);
    // The next incarnations of the same endpoint.
    suspects.crashed(POPULAR, crash(0, 120, 200));
    suspects.crashed(POPULAR, crash(0, 220, 300));
    assert!(is_held_back(&suspects, POPULAR, 300));
}

/// Load: a caller repeats a request that crashes each endpoint 1.5 s after the last crash, at four
/// endpoints that are back after 3 s, for an hour. Every instance in turn gets the request.
#[test]
fn request_that_crashes_endpoints_crashes_six_at_most() {
    let instances: Vec<Arc<str>> = ["n1", "n2", "n3"].map(Arc::from).into();
    let mut suspects = Suspects::default();
    let mut crashes_ms = Vec::new();
    for (attempt, now_ms) in (0..3_600_000).step_by(1_500).enumerate() {
        let instance = &instances[attempt % instances.len()];
        let runs = match suspects.suspicion(POISON, now_ms) {
            Suspicion::None | Suspicion::Suspect => true,
            Suspicion::HeldBack(_) => false,
            Suspicion::Trial(_) => trial_instance(POISON, &instances) == Some(instance),
        };
        if runs {
            suspects.crashed(POISON, crash(attempt % 4, now_ms, now_ms));
            crashes_ms.push(now_ms);
        }
    }
    assert_eq!(crashes_ms.len(), MAX_CRASHES + MAX_TRIALS, "{crashes_ms:?}");
    assert!(crashes_ms[3] >= crashes_ms[2] + HOLD_MS);
}

/// Load: callers of one sound request at six endpoints, one of which crashes every second, for reasons of
/// its own. Answers of the others acquit the request, so that it is never held back.
#[test]
fn sound_request_is_served_while_endpoints_crash() {
    let mut suspects = Suspects::default();
    for now_ms in (0..600_000).step_by(50) {
        assert!(!is_held_back(&suspects, POPULAR, now_ms));
        let second = now_ms / 1_000;
        if now_ms % 1_000 == 0 {
            suspects.crashed(POPULAR, crash((second % 6) as usize, now_ms, now_ms));
        } else {
            suspects.acquit(POPULAR);
        }
    }
}

/// A sound request that was held back by bad luck is served again after a trial.
#[test]
fn request_that_was_held_back_gets_a_trial() {
    let mut suspects = Suspects::default();
    for number in 0..3 {
        suspects.crashed(POPULAR, crash(number, 0, 100));
    }
    let held_back = Suspicion::HeldBack(HeldBack {
        crashes: 3,
        age_ms: 400,
        left_ms: HOLD_MS - 400,
    });
    assert_eq!(suspects.suspicion(POPULAR, 500), held_back);
    let trial = Suspicion::Trial(HeldBack {
        crashes: 3,
        age_ms: HOLD_MS,
        left_ms: 0,
    });
    assert_eq!(suspects.suspicion(POPULAR, 100 + HOLD_MS), trial);
    assert_eq!(suspects.acquit(POPULAR).len(), 3);
    assert_eq!(suspects.suspicion(POPULAR, 500), Suspicion::None);
}

/// Nothing is remembered for ever, and no number of requests exhausts the memory.
#[test]
fn suspects_are_bounded_and_expire() {
    let mut suspects = Suspects::default();
    for fingerprint in 0..MAX_SUSPECTS as u64 + 10 {
        suspects.crashed(fingerprint, crash(0, 0, fingerprint));
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.suspicion(3, 20), Suspicion::None);
    assert_eq!(suspects.expired(1_000), None);
    let now_ms = 2 * CRASH_LIFETIME_MS;
    assert_eq!(suspects.suspicion(11, now_ms), Suspicion::None);
    while let Some(fingerprint) = suspects.expired(now_ms) {
        suspects.forget(fingerprint, "e0", 0);
    }
    assert!(suspects.is_empty());
}

/// While all instances know the same members, they name the same instance.
#[test]
fn one_instance_holds_the_trials_of_a_request() {
    let mut instances: Vec<Arc<str>> = (0..12).map(|it| format!("n{it}").into()).collect();
    let owner = trial_instance(POISON, &instances).cloned();
    instances.reverse();
    assert_eq!(trial_instance(POISON, &instances).cloned(), owner);
    let owners = (0..100).map(|fingerprint| trial_instance(fingerprint, &instances));
    let owners: std::collections::HashSet<_> = owners.collect();
    assert!(owners.len() > 6);
    assert_eq!(trial_instance(POISON, &[]), None);
}
