//! A flood of lines is cut, counted, and said.

use super::*;

#[test]
fn a_flood_is_counted_and_other_kinds_pass() {
    let mut bound = Bound::default();
    let written = (0..1_000)
        .filter(|_| bound.admit("refused", 5).is_some())
        .count();
    assert_eq!(written, MOST_LINES_PER_S as usize);
    assert_eq!(bound.admit("lookup", 5), Some(0));
    assert_eq!(bound.admit("refused", 5 + SECOND_MS), Some(900));
    assert_eq!(bound.admit("refused", 5 + SECOND_MS), Some(0));
}
