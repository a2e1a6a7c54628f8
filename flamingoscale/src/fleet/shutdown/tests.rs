use super::*;

/// What becomes of requests that reach an instance every 50 ms of its shutdown: refused, whole or cut off.
fn outcomes(grace_ms: u64, limit_ms: u64, took_ms: u64) -> [usize; 3] {
    let start_ms = 1_000;
    let shutdown = Shutdown::begin(start_ms, grace_ms);
    let arrivals = (start_ms..start_ms + grace_ms).step_by(50);
    let admitted: Vec<u64> = arrivals
        .clone()
        .filter(|at_ms| shutdown.admits(*at_ms, limit_ms))
        .collect();
    let open = |now_ms: u64| {
        let is_open = |at_ms: &&u64| **at_ms <= now_ms && **at_ms + took_ms > now_ms;
        admitted.iter().filter(is_open).count()
    };
    let exit_ms = (start_ms..)
        .find(|now_ms| shutdown.may_exit(*now_ms, open(*now_ms)))
        .unwrap_or(u64::MAX);
    assert!(exit_ms < start_ms + grace_ms);
    let refused = arrivals.count() - admitted.len();
    // Callers that come after the exit find no listener.
    let taken = admitted.iter().filter(|at_ms| **at_ms < exit_ms);
    let whole = taken.clone().filter(|at_ms| **at_ms + took_ms <= exit_ms);
    let (taken, whole) = (taken.count(), whole.count());
    [refused, whole, taken - whole]
}

/// Load: short and long requests during the whole shutdown. None that was taken is cut off, whatever
/// it may last; lookups are served until their deadline reaches beyond the exit.
#[test]
fn no_request_that_was_taken_is_cut_off() {
    for (grace_ms, limit_ms) in [
        (8_000, 800),
        (8_000, 12_000),
        (4_000, 1_500),
        (30_000, 12_000),
    ] {
        for took_ms in [20, limit_ms / 2, limit_ms] {
            let [refused, whole, cut_off] = outcomes(grace_ms, limit_ms, took_ms);
            assert_eq!(cut_off, 0, "{limit_ms} ms of {grace_ms} ms");
            let reserve_ms = limit_ms + KILL_MARGIN_MS + DELIVERY_MS;
            let served_ms = grace_ms.saturating_sub(reserve_ms.max(SERVING_MARGIN_MS));
            assert!(whole as u64 >= served_ms / 50, "{refused} were refused");
        }
    }
}

#[test]
fn instance_exits_early_only_without_open_requests() {
    let shutdown = Shutdown::begin(0, 8_000);
    assert!(!shutdown.may_exit(6_000, 0));
    assert!(shutdown.may_exit(6_500, 0));
    assert!(!shutdown.may_exit(7_600, 1));
    assert!(shutdown.may_exit(7_700, 1));
}

#[test]
fn limits_without_end_are_refused() {
    let shutdown = Shutdown::begin(0, 8_000);
    assert!(!shutdown.admits(0, u64::MAX));
    assert_eq!(Shutdown::begin(0, 100).time_left_ms(50), 0);
}
