//! Tests for when an instance may claim a lease and how long the holder may act under it.

use super::*;
use crate::fleet::{
    cells::Cell,
    fixtures::{
        heartbeat,
        heartbeat_with_millicores,
        lease_message, //
    },
    record::Record, //
};

const LEASE: &str = "orders";
const TIMING: LeaseTiming = control_timing(3_000);

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
        cell: Cell::default(),
        started_ms: 0,
        caught_up_ms: 0,
        connected_since_ms: 0,
        links: LinkState::Confirmed,
    }
}

fn hold_lease(ledger: &mut Ledger, holder: &str, now_ms: u64) {
    let record = Record::Claim(lease_message(LEASE, holder, 1, now_ms));
    ledger.apply(10, record, now_ms);
}

fn first_claim(ledger: &Ledger, instance: &str, from_ms: u64) -> Option<u64> {
    (from_ms..from_ms + 9_000)
        .find(|now_ms| claim_epoch(ledger, LEASE, TIMING, &candidate(instance), *now_ms).is_some())
}

#[test]
fn started_instance_waits_for_the_startup_delay() {
    let ledger = ledger(&["n1"], 5_000);
    assert_eq!(
        first_claim(&ledger, "n1", 0),
        Some(TIMING.startup_delay_ms + FIRST_CLAIM_DELAY_MS)
    );
}

#[test]
fn other_instances_wait_longer_than_the_holder_may_act() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let holder = candidate("n1");
    let term_at =
        |now_ms| LocalLease::default().active_term(&ledger, LEASE, TIMING, &holder, now_ms);
    assert_eq!(term_at(100_000), Some(11));
    let expired_at_ms = (100_000..).find(|now_ms| term_at(*now_ms).is_none());
    for other in ["n2", "n3"] {
        assert!(
            first_claim(&ledger, other, 100_000) >= expired_at_ms.map(|ms| ms + TIMING.guard_ms)
        );
    }
}

#[test]
fn released_lease_can_be_claimed_immediately_in_claim_order() {
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
fn lease_of_restarted_holder_can_be_claimed_immediately() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    ledger.apply(12, heartbeat("n1", 2), 100_100);
    let order = claim_order(&ledger, LEASE, 100_100);
    assert_eq!(first_claim(&ledger, &order[0], 100_100), Some(100_100));
}

/// Regression test: after a power loss of all instances, no instance could send load orders for
/// four seconds.
#[test]
fn restarted_instance_reclaims_its_lease_immediately() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let restarted = Candidate {
        instance: "n1".into(),
        incarnation: 2,
        cell: Cell::default(),
        started_ms: 99_000,
        caught_up_ms: 100_000,
        connected_since_ms: 0,
        links: LinkState::Confirmed,
    };
    // A claim of the previous incarnation may still be in flight.
    assert_eq!(
        claim_epoch(&ledger, LEASE, TIMING, &restarted, 100_000),
        None
    );
    ledger.apply(12, heartbeat("n1", 2), 100_000);
    assert_eq!(
        claim_epoch(&ledger, LEASE, TIMING, &restarted, 100_000),
        Some(2)
    );
    let other = Candidate {
        instance: "n2".into(),
        ..restarted
    };
    assert_eq!(claim_epoch(&ledger, LEASE, TIMING, &other, 100_000), None);
}

/// Regression test: the store keeps the newest record of each key. A claim that was repeated before
/// it was read back replaced the first one, and an instance that started afterwards computed a
/// different term.
#[test]
fn a_claim_is_not_repeated_before_it_is_read_back() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    let first = candidate(&claim_order(&ledger, LEASE, 100_000)[0]);
    let mut local_lease = LocalLease::default();
    let mut action = |ledger: &Ledger, now_ms| {
        let action = local_lease.next_action(ledger, LEASE, TIMING, &first, (true, now_ms));
        (
            action,
            local_lease.active_term(ledger, LEASE, TIMING, &first, now_ms),
        )
    };
    assert_eq!(
        action(&ledger, 100_000),
        (LeaseAction::Claim { epoch: 1 }, None)
    );
    assert_eq!(action(&ledger, 102_000), (LeaseAction::Idle, None));
    let claim = Record::Claim(lease_message(LEASE, &first.instance, 1, 100_000));
    ledger.apply(10, claim, 102_050);
    let renew = LeaseAction::Renew { epoch: 1, term: 11 };
    // The lease counts from the time at which the claim was sent, because other instances count
    // from the time at which they read it.
    assert_eq!(action(&ledger, 102_100), (renew, None));
}

/// Regression test: a holder that resumed after a pause and had not yet read the topic kept acting.
/// Its renewals were acknowledged, but came after the claim of another instance.
#[test]
fn only_a_renewal_that_was_read_back_prolongs_a_lease() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let (holder, other) = (candidate("n1"), candidate("n2"));
    let mut local_lease = LocalLease::default();
    let renew = LeaseAction::Renew { epoch: 1, term: 11 };
    let action = local_lease.next_action(&ledger, LEASE, TIMING, &holder, (true, 103_000));
    assert_eq!(action, renew);
    let term = |ledger: &Ledger, candidate, now_ms| {
        LocalLease::default().active_term(ledger, LEASE, TIMING, candidate, now_ms)
    };
    assert_eq!(term(&ledger, &holder, 103_100), None);
    let renewal = Record::Renewal {
        message: lease_message(LEASE, "n1", 1, 103_000),
        term: 11,
    };
    let claim = Record::Claim(lease_message(LEASE, "n2", 2, 103_100));
    // A renewal after the claim has no effect.
    ledger.apply(12, claim.clone(), 103_200);
    ledger.apply(13, renewal.clone(), 103_200);
    assert_eq!(term(&ledger, &holder, 103_200), None);
    assert_eq!(term(&ledger, &other, 103_200), Some(13));
    // The old holder may have read back a renewal that precedes the claim: the new holder waits
    // until that renewal has expired.
    let mut ledger = self::ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    ledger.apply(12, renewal, 103_200);
    assert_eq!(term(&ledger, &holder, 103_200), Some(11));
    ledger.apply(13, claim, 103_200);
    assert_eq!(term(&ledger, &other, 103_200), None);
    let new_holder_renewal = Record::Renewal {
        message: lease_message(LEASE, "n2", 2, 105_000),
        term: 14,
    };
    ledger.apply(14, new_holder_renewal, 105_000);
    let expired_ms = 103_200 + TIMING.lease_ms + TIMING.guard_ms;
    assert_eq!(term(&ledger, &other, expired_ms - 1), None);
    assert_eq!(term(&ledger, &other, expired_ms), Some(14));
}

/// Regression test: after a store outage each lease moved to another instance, which restarted
/// samples without the text that had been generated for the holder during the outage.
#[test]
fn holder_keeps_its_lease_after_a_store_outage() {
    let mut ledger = ledger(&["n1", "n2", "n3"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let (now_ms, reconnected_ms) = (107_100, 107_000);
    for (offset, instance) in ["n1", "n2", "n3"].into_iter().enumerate() {
        ledger.apply(20 + offset as u64, heartbeat(instance, 1), now_ms);
    }
    for other in ["n2", "n3"] {
        let other = Candidate {
            connected_since_ms: reconnected_ms,
            links: LinkState::Confirmed,
            ..candidate(other)
        };
        let claim_at = |now_ms| claim_epoch(&ledger, LEASE, SAMPLING_TIMING, &other, now_ms);
        let expired_ms = reconnected_ms + SAMPLING_TIMING.lease_ms + SAMPLING_TIMING.guard_ms;
        assert_eq!(claim_at(expired_ms - 1), None);
        assert_eq!(claim_at(expired_ms + 2 * RANK_DELAY_MS), Some(2));
    }
}

/// After an order was rejected by fencing, the instance must not act until it has claimed the lease
/// again.
#[test]
fn released_lease_has_no_active_term() {
    let mut ledger = ledger(&["n1"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let holder = candidate("n1");
    let mut local_lease = LocalLease::default();
    local_lease.next_action(&ledger, LEASE, TIMING, &holder, (true, 100_000));
    assert_eq!(local_lease.release(&ledger, LEASE), Some((1, 11)));
    assert_eq!(
        local_lease.active_term(&ledger, LEASE, TIMING, &holder, 100_100),
        None
    );
    let action = local_lease.next_action(&ledger, LEASE, TIMING, &holder, (true, 100_900));
    assert_eq!((action, local_lease.held_term()), (LeaseAction::Idle, None));
}

/// Regression test: on large sites, small instances (0.12 of a core) ran all samples of a model.
#[test]
fn large_instances_come_first_in_claim_order() {
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
fn dead_and_unknown_instances_are_not_in_claim_order() {
    let ledger = ledger(&["n1"], 0);
    assert!(claim_order(&ledger, LEASE, MEMBER_TIMEOUT_MS).is_empty());
    assert_eq!(first_claim(&ledger, "n9", 0), None);
}

/// After a restart of all instances at once, samples must run again within a second.
#[test]
fn sampling_lease_is_claimed_soon_after_a_restart_of_all_instances() {
    let mut ledger = ledger(&["n1", "n2"], 1_000);
    hold_lease(&mut ledger, "n1", 1_000);
    for instance in ["n1", "n2"] {
        ledger.apply(20, heartbeat(instance, 2), 1_000);
    }
    let order = claim_order(&ledger, LEASE, 1_000);
    let candidate = Candidate {
        instance: order[0].clone(),
        incarnation: 2,
        cell: Cell::default(),
        started_ms: 0,
        caught_up_ms: 1_000,
        connected_since_ms: 0,
        links: LinkState::Confirmed,
    };
    let claimed_ms = (1_000..9_000)
        .find(|now_ms| claim_epoch(&ledger, LEASE, SAMPLING_TIMING, &candidate, *now_ms).is_some());
    assert_eq!(claimed_ms, Some(1_000 + SAMPLING_TIMING.startup_delay_ms));
}

fn claim_by(holder: &str, incarnation: u64, epoch: u64, sent_ms: u64) -> Record {
    Record::Claim(LeaseMessage {
        incarnation,
        ..lease_message(LEASE, holder, epoch, sent_ms)
    })
}

fn authorize(
    local_lease: &mut LocalLease,
    ledger: &Ledger,
    candidate: &Candidate,
    now_ms: u64,
) -> Option<Authority> {
    local_lease.authorize(ledger, LEASE, TIMING, candidate, now_ms)
}

/// Regression test: an instance that restarted twice replaced its own claim and forgot that another
/// instance still acted under the one before.
#[test]
fn wait_for_an_earlier_holder_outlives_a_second_claim() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    ledger.apply(10, claim_by("n2", 1, 2, 100_000), 100_000);
    ledger.apply(11, claim_by("n1", 2, 3, 100_010), 100_010);
    ledger.apply(12, heartbeat("n1", 3), 100_020);
    ledger.apply(13, claim_by("n1", 3, 4, 100_030), 100_030);
    let third = Candidate {
        incarnation: 3,
        ..candidate("n1")
    };
    let term_at =
        |now_ms| LocalLease::default().active_term(&ledger, LEASE, TIMING, &third, now_ms);
    assert_eq!(term_at(100_030), None);
    let waited_ms = 100_000 + TIMING.lease_ms + TIMING.guard_ms;
    assert!(ledger.leases[LEASE].previous_holder_seen_ms >= Some(100_000));
    let renewal = Record::Renewal {
        message: LeaseMessage {
            incarnation: 3,
            ..lease_message(LEASE, "n1", 4, waited_ms)
        },
        term: 14,
    };
    ledger.apply(14, renewal, waited_ms);
    let term_at =
        |now_ms| LocalLease::default().active_term(&ledger, LEASE, TIMING, &third, now_ms);
    assert_eq!(term_at(waited_ms), Some(14));
}

/// A request under a lease ends before any other instance acts, even if connecting takes long.
#[test]
fn request_under_a_lease_ends_before_another_instance_acts() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let holder = candidate("n1");
    let authority = authorize(&mut LocalLease::default(), &ledger, &holder, 100_500).unwrap();
    let first_claim_ms = first_claim(&ledger, "n2", 100_500).unwrap();
    assert!(authority.send_before_ms < authority.end_before_ms);
    assert!(authority.end_before_ms < first_claim_ms);
    let last_ms = (100_500..)
        .take_while(|now_ms| {
            authorize(&mut LocalLease::default(), &ledger, &holder, *now_ms).is_some()
        })
        .last();
    assert!(last_ms < Some(authority.send_before_ms));
}

/// A receiver without a check of fencing numbers tolerates no quick alternation of holders.
#[test]
fn instance_acts_again_only_after_its_turn_if_another_one_held_the_lease() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n1", 100_000);
    let first = candidate("n1");
    let mut local_lease = LocalLease::default();
    let authority = authorize(&mut local_lease, &ledger, &first, 100_000).unwrap();
    ledger.apply(11, claim_by("n2", 1, 2, 100_100), 100_100);
    let release = Record::Release {
        message: lease_message(LEASE, "n2", 2, 100_200),
        term: 12,
    };
    ledger.apply(12, release, 100_200);
    ledger.apply(13, claim_by("n1", 1, 3, 102_800), 102_800);
    assert_eq!(authorize(&mut local_lease, &ledger, &first, 102_800), None);
    let turn_ms = authority.end_before_ms + TIMING.turn_ms;
    let renewal = Record::Renewal {
        message: lease_message(LEASE, "n1", 3, turn_ms),
        term: 14,
    };
    ledger.apply(14, renewal, turn_ms);
    assert_eq!(
        authorize(&mut local_lease, &ledger, &first, turn_ms - 1),
        None
    );
    assert!(authorize(&mut local_lease, &ledger, &first, turn_ms).is_some());
    // A process that started does not know whether its previous incarnation acted.
    let restarted = Candidate {
        started_ms: turn_ms - 100,
        ..first
    };
    assert_eq!(
        authorize(&mut LocalLease::default(), &ledger, &restarted, turn_ms),
        None
    );
}

/// Returns whether an instance that restarts may act at once, if it took the lease over from another
/// instance and recorded that its turn has passed with `recorded_term`.
fn acts_at_once_after_restart(recorded_term: Option<u64>) -> bool {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n2", 100_000);
    let claim = |epoch| Record::Claim(lease_message(LEASE, "n1", epoch, 110_000));
    ledger.apply(20, claim(2), 110_000);
    let turn_passed = |term| Record::TurnPassed {
        lease: LEASE.into(),
        term,
    };
    ledger.apply(21, heartbeat("n1", 2), 120_000);
    if let Some(term) = recorded_term {
        ledger.apply(22, turn_passed(term), 120_000);
    }
    let mut message = lease_message(LEASE, "n1", 3, 120_000);
    message.incarnation = 2;
    ledger.apply(23, Record::Claim(message), 120_000);
    let restarted = Candidate {
        incarnation: 2,
        started_ms: 119_500,
        ..candidate("n1")
    };
    let mut local_lease = LocalLease::default();
    let authority = local_lease.authorize(&ledger, LEASE, TIMING, &restarted, 120_100);
    authority.is_some()
}

/// Load: all instances are killed at once while trainers wait for new weights. Regression test: the
/// holder of the lease came back after half a second and then ordered no loads for three seconds,
/// because another instance had held the lease at some time before.
#[test]
fn restarted_holder_whose_turn_has_passed_acts_at_once() {
    assert!(acts_at_once_after_restart(Some(21)));
    assert!(!acts_at_once_after_restart(None));
    // The record of an earlier term says nothing about the holder before this one.
    assert!(!acts_at_once_after_restart(Some(11)));
}

#[test]
fn turn_is_recorded_only_after_the_turn_time() {
    let mut ledger = ledger(&["n1", "n2"], 100_000);
    hold_lease(&mut ledger, "n2", 100_000);
    let holder = candidate("n1");
    let mut local_lease = LocalLease::default();
    let recorded = (1_100..2_000).find_map(|tick| {
        let now_ms = tick * 100;
        let message = lease_message(LEASE, "n1", 2, now_ms);
        let record = match tick {
            1_100 => Record::Claim(message),
            _ => Record::Renewal { message, term: 21 },
        };
        ledger.apply(20, record, now_ms);
        let fresh = (true, now_ms);
        match local_lease.next_action(&ledger, LEASE, TIMING, &holder, fresh) {
            LeaseAction::RecordTurn { term } => Some((now_ms, term)),
            _ => None,
        }
    });
    let turn_end_ms = 110_000 + TIMING.lease_ms + TIMING.guard_ms + TIMING.turn_ms;
    assert_eq!(recorded, Some((turn_end_ms, 21)));
}

fn links(instance: &str, working: bool) -> Record {
    Record::Links {
        instance: instance.into(),
        incarnation: 1,
        relay_address: "".into(),
        working,
    }
}

#[test]
fn instance_that_reaches_no_endpoint_claims_after_those_that_do() {
    let mut ledger = ledger(&["a", "b", "c"], 0);
    let order = claim_order(&ledger, LEASE, 0);
    ledger.apply(20, links(&order[0], false), 0);
    let new_order = claim_order(&ledger, LEASE, 0);
    assert_eq!(
        new_order[..],
        [order[1].clone(), order[2].clone(), order[0].clone()]
    );
    hold_lease(&mut ledger, "d", 0);
    let mut first_claim = |instance: &str, links| {
        let candidate = Candidate {
            links,
            ..candidate(instance)
        };
        (0..10_000).find(|now_ms| {
            if now_ms % 1_000 == 0 {
                for name in &order {
                    ledger.apply(30, heartbeat(name, 1), *now_ms);
                }
            }
            claim_epoch(&ledger, LEASE, SAMPLING_TIMING, &candidate, *now_ms).is_some()
        })
    };
    let reaching_ms = first_claim(&order[1], LinkState::Confirmed).unwrap();
    let lost_ms = first_claim(&order[0], LinkState::Lost).unwrap();
    assert!(lost_ms >= reaching_ms + LOST_LINKS_DELAY_MS);
}

#[test]
fn links_are_confirmed_before_a_claim() {
    let ledger = ledger(&["a"], 0);
    let mut lease = LocalLease::default();
    let mut unconfirmed = candidate("a");
    unconfirmed.links = LinkState::Unconfirmed;
    let first_action = |lease: &mut LocalLease, candidate: &Candidate, from_ms: u64| {
        (from_ms..9_000).find_map(|now_ms| {
            let now = (true, now_ms);
            let action = lease.next_action(&ledger, LEASE, SAMPLING_TIMING, candidate, now);
            (action != LeaseAction::Idle).then_some((now_ms, action))
        })
    };
    let (due_ms, action) = first_action(&mut lease, &unconfirmed, 0).unwrap();
    assert_eq!(action, LeaseAction::ConfirmLinks);
    let claim = first_action(&mut lease, &candidate("a"), due_ms + 3).unwrap();
    assert_eq!(claim, (due_ms + 3, LeaseAction::Claim { epoch: 1 }));
}
