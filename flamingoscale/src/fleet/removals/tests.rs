//! Tests of when an endpoint that is missing in the list is removed.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::fleet::following::{
    Lateness,
    Topic, //
};

/// Returns the state of a list that was read at 100 ms and whose next read failed.
fn failed_list() -> Following {
    let topic = Topic {
        interval_ms: 400,
        waits: false,
    };
    let mut list = Following::new(Lateness::new(3_000), topic);
    list.page_read(5, 5, 100);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    list.failed(500, 1_000, &mut random);
    list
}

/// An endpoint that is missing in a sound list leaves at once.
#[test]
fn endpoint_is_removed_at_once_without_a_failure() {
    let mut list = failed_list();
    list.page_read(6, 6, 1_100);
    list.page_read(7, 7, 8_000);
    let mut removals = Removals::default();
    removals.missing("e", false, &list, 8_000);
    assert_eq!(removals.next_due_ms(8_000), Some(0));
    assert_eq!(removals.take_due(&list, 8_000), ["e".into()]);
    assert_eq!(removals.next_due_ms(8_000), None);
}

/// After a failure an endpoint is kept for a while, and for good if it is listed again.
#[test]
fn endpoint_is_kept_after_a_failure() {
    let mut list = failed_list();
    list.page_read(6, 6, 1_100);
    let mut removals = Removals::default();
    removals.missing("left", false, &list, 1_100);
    removals.missing("back", false, &list, 1_100);
    assert!(removals.take_due(&list, 2_500).is_empty());
    removals.listed("back");
    assert_eq!(removals.take_due(&list, 2_600), ["left".into()]);
    assert!(removals.take_due(&list, 9_000).is_empty());
}

/// While the list can't be read, nothing is removed; afterwards what is still missing gets another
/// chance.
#[test]
fn endpoint_is_not_removed_while_the_list_cannot_be_read() {
    let mut list = failed_list();
    list.page_read(6, 6, 1_100);
    let mut removals = Removals::default();
    removals.missing("e", false, &list, 1_100);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for sent_ms in [1_500, 8_400] {
        list.failed(sent_ms, sent_ms + 500, &mut random);
    }
    assert!(removals.take_due(&list, 9_000).is_empty());
    list.page_read(7, 7, 9_000);
    removals.list_recovered(&list, 9_000);
    assert!(removals.take_due(&list, 9_000).is_empty());
    assert_eq!(removals.take_due(&list, 10_500), ["e".into()]);
}
