//! Who may claim a lease, and when.

use super::*;
use crate::fleet::{
    fixtures::{
        heartbeat,
        heartbeat_with_millicores,
        lease_message, //
    },
    record::Record, //
};

const LEASE: &str = "orders";

fn ledger(instances: &[&str], now_ms: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for (offset, instance) in instances.iter().enumerate() {
        ledger.apply(offset as u64, heartbeat(instance, 1), now_ms);
    }
    ledger
}

fn candidate(instance: &str) -> Candidate {
    Candidate {
        instance: instance.into(),
        incarnation: 1,
        caught_up_ms: 0,
        connected_since_ms: 0,
    }
}

fn hold_lease(ledger: &mut Ledger, holder: &str, now_ms: u64) {
    let record = Record::Claim(lease_message(LEASE, holder, 1, now_ms));
    ledger.apply(10, record, now_ms);
}

fn first_claim(ledger: &Ledger, instance: &str, from_ms: u64) -> Option<u64> {
    (from_ms..from_ms + 9_000).find(|now_ms| {
        claim_epoch(ledger, LEASE, CONTROL_TIMING, &candidate(instance), *now_ms).is_some()
    })
}

#[test]
fn an_instance_that_just_started_waits_out_the_platforms_lease() {
    let ledger = ledger(&["n1"], 5_000);
    assert_eq!(
        first_claim(&ledger, "n1", 0),
        Some(CONTROL_TIMING.startup_delay_ms + FIRST_CLAIM_DELAY_MS)
    );
}

#[test]
fn others_wait_longer_than_the_holder_may_act() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let holder = candidate("n1");
    let holds =
        |now_ms| LocalLease::default().active_term(&ledger, LEASE, CONTROL_TIMING, &holder, now_ms);
    assert_eq!(holds(100_000), Some(11));
    let holds_until = (100_000..).find(|now_ms| holds(*now_ms).is_none());
    for other in ["n2", "n3"] {
        assert!(
            first_claim(&ledger, other, 100_000)
                >= holds_until.map(|ms| ms + CONTROL_TIMING.guard_ms)
        );
    }
}

#[test]
fn a_released_lease_is_free_at_once_for_the_first_in_line() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let release = Record::Release {
        message: lease_message(LEASE, "n1", 1, 100_000),
        term: 11,
    };
    ledger.apply(11, release, 100_000);
    let order = claim_order(&ledger, LEASE, 100_000);
    assert_eq!(first_claim(&ledger, &order[0], 100_000), Some(100_000));
    assert_eq!(
        first_claim(&ledger, &order[1], 100_000),
        Some(100_000 + RANK_DELAY_MS)
    );
}

#[test]
fn a_holder_that_started_again_holds_nothing() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    ledger.apply(12, heartbeat("n1", 2), 100_100);
    let order = claim_order(&ledger, LEASE, 100_100);
    assert_eq!(first_claim(&ledger, &order[0], 100_100), Some(100_100));
}

/// After a loss of power of all instances nobody could order weights for four seconds.
#[test]
fn an_instance_takes_its_own_lease_back_at_once() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let again = Candidate {
        instance: "n1".into(),
        incarnation: 2,
        caught_up_ms: 100_000,
        connected_since_ms: 0,
    };
    assert_eq!(
        claim_epoch(&ledger, LEASE, CONTROL_TIMING, &again, 100_000),
        Some(3)
    );
    let other = Candidate {
        instance: "n2".into(),
        ..again
    };
    assert_eq!(
        claim_epoch(&ledger, LEASE, CONTROL_TIMING, &other, 100_000),
        None
    );
}

/// The store keeps the newest record of each key: a claim that was written again before it was read
/// back replaced the first, and an instance that started then took another term for the one in force.
#[test]
fn a_claim_is_not_repeated_before_it_is_read_back() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    let first = candidate(&claim_order(&ledger, LEASE, 100_000)[0]);
    let mut local_lease = LocalLease::default();
    let mut step = |ledger: &Ledger, now_ms| {
        let step = local_lease.next_action(ledger, LEASE, CONTROL_TIMING, &first, (true, now_ms));
        (
            step,
            local_lease.active_term(ledger, LEASE, CONTROL_TIMING, &first, now_ms),
        )
    };
    assert_eq!(
        step(&ledger, 100_000),
        (LeaseAction::Claim { epoch: 1 }, None)
    );
    assert_eq!(step(&ledger, 102_000), (LeaseAction::Idle, None));
    let claim = Record::Claim(lease_message(LEASE, &first.instance, 1, 100_000));
    ledger.apply(10, claim, 102_050);
    let renews = LeaseAction::Renew { epoch: 1, term: 11 };
    // The lease counts from when the claim was sent: the others have counted since they read it.
    assert_eq!(step(&ledger, 102_100), (renews, None));
}

/// A holder that woke and whose reads came late acted on: its renewals were acknowledged, behind
/// another one's claim.
#[test]
fn only_a_renewal_that_was_read_back_prolongs_a_lease() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let (holder, other) = (candidate("n1"), candidate("n2"));
    let mut local_lease = LocalLease::default();
    let renews = LeaseAction::Renew { epoch: 1, term: 11 };
    let step = local_lease.next_action(&ledger, LEASE, CONTROL_TIMING, &holder, (true, 103_000));
    assert_eq!(step, renews);
    let term = |ledger: &Ledger, candidate, now_ms| {
        LocalLease::default().active_term(ledger, LEASE, CONTROL_TIMING, candidate, now_ms)
    };
    assert_eq!(term(&ledger, &holder, 103_100), None);
    let renewal = Record::Renewal {
        message: lease_message(LEASE, "n1", 1, 103_000),
        term: 11,
    };
    let claim = Record::Claim(lease_message(LEASE, "n2", 2, 103_100));
    // Behind the claim the renewal changes nothing.
    ledger.apply(12, claim.clone(), 103_200);
    ledger.apply(13, renewal.clone(), 103_200);
    assert_eq!(term(&ledger, &holder, 103_200), None);
    assert_eq!(term(&ledger, &other, 103_200), Some(13));
    // Before the claim it may have been read back: the new holder waits until it has lapsed.
    let mut ledger = self::ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    ledger.apply(12, renewal, 103_200);
    assert_eq!(term(&ledger, &holder, 103_200), Some(11));
    ledger.apply(13, claim, 103_200);
    assert_eq!(term(&ledger, &other, 103_200), None);
    let keeps = Record::Renewal {
        message: lease_message(LEASE, "n2", 2, 105_000),
        term: 14,
    };
    ledger.apply(14, keeps, 105_000);
    let lapsed_ms = 103_200 + CONTROL_TIMING.lease_ms + CONTROL_TIMING.guard_ms;
    assert_eq!(term(&ledger, &other, lapsed_ms - 1), None);
    assert_eq!(term(&ledger, &other, lapsed_ms), Some(14));
}

/// When the store came back, each lease went to another instance, whose samples began without what
/// the holder had made meanwhile.
#[test]
fn a_holder_keeps_its_lease_over_an_outage_of_the_store() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let (now_ms, back_ms) = (107_100, 107_000);
    for (offset, instance) in ["n1", "n2", "n3"].into_iter().enumerate() {
        ledger.apply(20 + offset as u64, heartbeat(instance, 1), now_ms);
    }
    for other in ["n2", "n3"] {
        let other = Candidate {
            connected_since_ms: back_ms,
            ..candidate(other)
        };
        let claims = |now_ms| claim_epoch(&ledger, LEASE, SAMPLING_TIMING, &other, now_ms);
        let lapsed_ms = back_ms + SAMPLING_TIMING.lease_ms + SAMPLING_TIMING.guard_ms;
        assert_eq!(claims(lapsed_ms - 1), None);
        assert_eq!(claims(lapsed_ms + 2 * RANK_DELAY_MS), Some(2));
    }
}

/// After a fencing refusal the instance doesn't act until it has claimed anew.
#[test]
fn a_lease_that_was_given_up_is_not_acted_under() {
    let mut ledger = ledger(&["n1"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let holder = candidate("n1");
    let mut local_lease = LocalLease::default();
    local_lease.next_action(&ledger, LEASE, CONTROL_TIMING, &holder, (true, 100_000));
    assert_eq!(local_lease.release(&ledger, LEASE), Some((1, 11)));
    assert_eq!(
        local_lease.active_term(&ledger, LEASE, CONTROL_TIMING, &holder, 100_100),
        None
    );
    let step = local_lease.next_action(&ledger, LEASE, CONTROL_TIMING, &holder, (true, 100_900));
    assert_eq!((step, local_lease.held_term()), (LeaseAction::Idle, None));
}

/// On the grown sites small instances (0.12 of a core) ran the samples of a whole model.
#[test]
fn large_instances_go_first() {
    let mut ledger = ledger(&[], 0);
    for (offset, (instance, millicores)) in [("n1", 120), ("n2", 500), ("n3", 120), ("n4", 500)]
        .into_iter()
        .enumerate()
    {
        ledger.apply(
            offset as u64,
            heartbeat_with_millicores(instance, 1, millicores),
            0,
        );
    }
    let order = claim_order(&ledger, LEASE, 0);
    let mut first = [&*order[0], &*order[1]];
    first.sort();
    assert_eq!(first, ["n2", "n4"]);
}

#[test]
fn the_silent_and_the_unknown_stay_out_of_line() {
    let ledger = ledger(&["n1"], 0);
    assert!(claim_order(&ledger, LEASE, MEMBER_TIMEOUT_MS).is_empty());
    assert_eq!(first_claim(&ledger, "n9", 0), None);
}

/// After all instances started again at once, samples are run again within a second.
#[test]
fn samples_are_taken_over_soon_after_a_loss_of_power() {
    let mut ledger = ledger(&["n1", "n2"], 1_000);
    hold_lease(&mut ledger, "n1", 1_000);
    for instance in ["n1", "n2"] {
        ledger.apply(20, heartbeat(instance, 2), 1_000);
    }
    let order = claim_order(&ledger, LEASE, 1_000);
    let candidate = Candidate {
        instance: order[0].clone(),
        incarnation: 2,
        caught_up_ms: 1_000,
        connected_since_ms: 0,
    };
    let taken_ms = (1_000..9_000)
        .find(|now_ms| claim_epoch(&ledger, LEASE, SAMPLING_TIMING, &candidate, *now_ms).is_some());
    assert_eq!(taken_ms, Some(1_000 + SAMPLING_TIMING.startup_delay_ms));
}
