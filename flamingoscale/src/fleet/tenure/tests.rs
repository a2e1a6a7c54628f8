//! Who may claim a lease, and when.

use super::*;
use crate::fleet::{
    fixtures::{
        beat,
        beat_with, //
    },
    record::Record, //
};

const LEASE: &str = "orders";

fn ledger(instances: &[&str], now_ms: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, instance) in instances.iter().enumerate() {
        ledger.apply(offset as u64, beat(instance, 1), now_ms);
    }
    ledger
}

fn claimer(instance: &str) -> Claimer {
    Claimer {
        instance: instance.into(),
        incarnation: 1,
        caught_up_ms: 0,
    }
}

fn held(ledger: &mut Ledger, holder: &str, now_ms: u64) {
    let record = Record::Claim {
        lease: LEASE.into(),
        holder: holder.into(),
        incarnation: 1,
        previous: 0,
    };
    ledger.apply(10, record, now_ms);
}

fn first_claim(ledger: &Ledger, instance: &str, from_ms: u64) -> Option<u64> {
    (from_ms..from_ms + 9_000)
        .find(|now_ms| claim(ledger, LEASE, ORDERS, &claimer(instance), *now_ms).is_some())
}

#[test]
fn an_instance_that_just_started_waits_out_the_platforms_lease() {
    let ledger = ledger(&["n1"], 5_000);
    assert_eq!(
        first_claim(&ledger, "n1", 0),
        Some(ORDERS.settle_ms + FIRST_MS)
    );
}

#[test]
fn others_wait_longer_than_the_holder_may_act() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    held(&mut ledger, "n1", 100_000);
    let tenure = Tenure {
        term: 11,
        sent_ms: 100_000,
    };
    let holds_until = (100_000..).find(|now_ms| !tenure.holds(ORDERS, *now_ms));
    for other in ["n2", "n3"] {
        assert!(first_claim(&ledger, other, 100_000) >= holds_until.map(|ms| ms + ORDERS.guard_ms));
    }
}

#[test]
fn a_released_lease_is_free_at_once_for_the_first_in_line() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    held(&mut ledger, "n1", 100_000);
    let release = Record::Release {
        lease: LEASE.into(),
        holder: "n1".into(),
        term: 11,
    };
    ledger.apply(11, release, 100_000);
    let line = succession(&ledger, LEASE, 100_000);
    assert_eq!(first_claim(&ledger, &line[0], 100_000), Some(100_000));
    assert_eq!(
        first_claim(&ledger, &line[1], 100_000),
        Some(100_000 + RANK_MS)
    );
}

#[test]
fn a_holder_that_started_again_holds_nothing() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    held(&mut ledger, "n1", 100_000);
    ledger.apply(12, beat("n1", 2), 100_100);
    let line = succession(&ledger, LEASE, 100_100);
    assert_eq!(first_claim(&ledger, &line[0], 100_100), Some(100_100));
}

/// After a loss of power of all instances nobody could order weights for four seconds.
#[test]
fn an_instance_takes_its_own_lease_back_at_once() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    held(&mut ledger, "n1", 100_000);
    let again = Claimer {
        instance: "n1".into(),
        incarnation: 2,
        caught_up_ms: 100_000,
    };
    assert_eq!(claim(&ledger, LEASE, ORDERS, &again, 100_000), Some(11));
    let other = Claimer {
        instance: "n2".into(),
        ..again
    };
    assert_eq!(claim(&ledger, LEASE, ORDERS, &other, 100_000), None);
}

/// On the grown sites small instances (0.12 of a core) ran the samples of a whole model.
#[test]
fn large_instances_go_first() {
    let mut ledger = ledger(&[], 0);
    for (offset, (instance, millicores)) in [("n1", 120), ("n2", 500), ("n3", 120), ("n4", 500)]
        .into_iter()
        .enumerate()
    {
        ledger.apply(offset as u64, beat_with(instance, 1, millicores), 0);
    }
    let line = succession(&ledger, LEASE, 0);
    let mut first = [&*line[0], &*line[1]];
    first.sort();
    assert_eq!(first, ["n2", "n4"]);
}

#[test]
fn the_silent_and_the_unknown_stay_out_of_line() {
    let ledger = ledger(&["n1"], 0);
    assert!(succession(&ledger, LEASE, MEMBER_MS).is_empty());
    assert_eq!(first_claim(&ledger, "n9", 0), None);
}

/// After all instances started again at once, samples are run again within a second.
#[test]
fn samples_are_taken_over_soon_after_a_loss_of_power() {
    let mut ledger = ledger(&["n1", "n2"], 1_000);
    held(&mut ledger, "n1", 1_000);
    for instance in ["n1", "n2"] {
        ledger.apply(20, beat(instance, 2), 1_000);
    }
    let line = succession(&ledger, LEASE, 1_000);
    let claimer = Claimer {
        instance: line[0].clone(),
        incarnation: 2,
        caught_up_ms: 1_000,
    };
    let taken_ms =
        (1_000..9_000).find(|now_ms| claim(&ledger, LEASE, SAMPLES, &claimer, *now_ms).is_some());
    assert_eq!(taken_ms, Some(1_000 + SAMPLES.settle_ms));
}
