//! Tests of the rate limiter for log lines.

use super::*;

#[test]
fn the_limit_applies_to_each_kind_separately() {
    let mut limiter = LineLimiter::default();
    let written = (0..1_000)
        .filter(|_| limiter.admit("refused", 5).is_some())
        .count();
    assert_eq!(written, MAX_LINES_PER_S as usize);
    assert_eq!(limiter.admit("lookup", 5), Some(0));
    assert_eq!(limiter.admit("refused", 5 + WINDOW_MS), Some(900));
    assert_eq!(limiter.admit("refused", 5 + WINDOW_MS), Some(0));
}
