use super::*;

/// Time between two looks whether the instance may close or exit.
const CHECK_MS: u64 = 20;

/// What becomes of requests that reach an instance every `interval_ms` of its shutdown: refused, whole or cut
/// off. Requests that come after it has closed find no listener.
fn outcomes(grace_ms: u64, limit_ms: u64, took_ms: u64, interval_ms: u64) -> [usize; 3] {
    let start_ms = 1_000;
    let mut shutdown = Shutdown::begin(start_ms, grace_ms);
    let mut open_until_ms: Vec<u64> = Vec::new();
    let [mut refused, mut whole] = [0, 0];
    for now_ms in start_ms.. {
        let before = open_until_ms.len();
        open_until_ms.retain(|end_ms| *end_ms > now_ms);
        whole += before - open_until_ms.len();
        if (now_ms - start_ms) % CHECK_MS == 0 {
            if shutdown.may_exit(now_ms, open_until_ms.len()) {
                assert!(now_ms < start_ms + grace_ms);
                return [refused, whole, open_until_ms.len()];
            }
            if shutdown.may_close(now_ms, open_until_ms.len()) {
                shutdown = shutdown.closed();
            }
        }
        if (now_ms - start_ms) % interval_ms == 0 {
            match shutdown.admits(now_ms, limit_ms) {
                true => open_until_ms.push(now_ms + took_ms),
                false => refused += usize::from(!shutdown.is_closing()),
            }
        }
    }
    unreachable!("the instance exits");
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
            for interval_ms in [50, 23, 7] {
                let [refused, whole, cut_off] = outcomes(grace_ms, limit_ms, took_ms, interval_ms);
                assert_eq!(cut_off, 0, "{limit_ms} ms of {grace_ms} ms");
                let reserve_ms = limit_ms + KILL_MARGIN_MS + DELIVERY_MS;
                let served_ms = grace_ms.saturating_sub(reserve_ms.max(SERVING_MARGIN_MS));
                assert!(
                    whole as u64 >= served_ms / interval_ms,
                    "{refused} were refused"
                );
            }
        }
    }
}

#[test]
fn instance_closes_early_only_without_open_requests() {
    let shutdown = Shutdown::begin(0, 8_000);
    assert!(!shutdown.may_close(6_000, 0));
    assert!(shutdown.may_close(6_500, 0));
    assert!(!shutdown.may_close(7_599, 1));
    assert!(shutdown.may_close(7_600, 1));
}

/// Guards against LOST: an instance that had nothing left to do took requests until its process was gone. See
/// docs/incidents/requests-at-exit.md.
#[test]
fn instance_that_closes_takes_nothing_and_waits_for_its_connections() {
    let shutdown = Shutdown::begin(0, 8_000);
    assert!(shutdown.admits(6_500, 800));
    assert!(!shutdown.may_exit(6_500, 0));
    let closing = shutdown.closed();
    assert!(!closing.admits(6_500, 0));
    assert!(!closing.may_exit(6_520, 1));
    assert!(closing.may_exit(6_520, 0));
    assert!(!closing.may_exit(7_699, 1));
    assert!(closing.may_exit(7_700, 1));
}

#[test]
fn limits_without_end_are_refused() {
    let shutdown = Shutdown::begin(0, 8_000);
    assert!(!shutdown.admits(0, u64::MAX));
    assert_eq!(Shutdown::begin(0, 100).time_left_ms(50), 0);
}
