//! What a home decides, event by event.

use super::*;

const KEY: EndpointKey = EndpointKey(1);

fn table(slots: u32) -> HomeTable {
    let mut table = HomeTable::default();
    table.sync(vec![target(slots)]);
    read(&mut table, Some(status(7, 1)), 0);
    table
}

fn target(slots: u32) -> SlotTarget {
    SlotTarget {
        key: KEY,
        id: "e1".into(),
        service: "draft".into(),
        address: "127.0.0.1:1".into(),
        slots,
    }
}

fn status(version: u64, boot: u64) -> EndpointStatus {
    EndpointStatus {
        endpoint: "e1".into(),
        boot,
        version,
        ..EndpointStatus::default()
    }
}

fn read(table: &mut HomeTable, status: Option<EndpointStatus>, now_ms: u64) -> Vec<Action> {
    let asked = table.epoch(KEY);
    table.status(KEY, asked, status, now_ms)
}

fn offer(ticket: u64) -> Offer {
    Offer {
        ticket: Ticket(ticket),
        flow: Flow {
            rollout: false,
            name: "org".into(),
            weight: 1,
        },
        cost_tokens: 100,
        deadline_ms: 60_000,
        oldest_version: 0,
        alone: false,
        fingerprint: ticket,
    }
}

#[test]
fn slots_bound_what_runs_and_the_queue_fills_them() {
    let mut table = table(2);
    assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Run);
    assert_eq!(table.offer(KEY, offer(2), 0), Verdict::Run);
    assert_eq!(table.offer(KEY, offer(3), 0), Verdict::Wait);
    let actions = table.leave(KEY, Ticket(1), None, 10);
    assert_eq!(actions, [Action::Start(Ticket(3))]);
}

#[test]
fn a_leaving_endpoint_gets_nothing_and_refuses_what_waits() {
    let mut table = table(1);
    table.offer(KEY, offer(1), 0);
    table.offer(KEY, offer(2), 0);
    let leaving = EndpointStatus {
        leaving_in_ms: Some(20_000),
        ..status(7, 1)
    };
    let actions = read(&mut table, Some(leaving), 10);
    assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
    assert!(matches!(table.offer(KEY, offer(3), 20), Verdict::Refuse(_)));
    assert_eq!(table.facts(KEY).map(|facts| facts.in_flight), Some(1));
}

#[test]
fn a_held_endpoint_starts_nothing_until_it_is_let_go() {
    let mut table = table(1);
    table.hold(KEY, true, 0);
    assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Wait);
    assert_eq!(table.facts(KEY).and_then(|facts| facts.version), None);
    assert_eq!(read(&mut table, Some(status(8, 1)), 5), []);
    let actions = table.hold(KEY, false, 10);
    assert_eq!(actions, [Action::Start(Ticket(1))]);
}

#[test]
fn a_swap_between_two_readings_shows() {
    let mut table = table(1);
    let before = table.reading(KEY).expect("the version is known");
    table.hold(KEY, true, 0);
    table.hold(KEY, false, 5);
    assert_eq!(table.reading(KEY), None);
    read(&mut table, Some(status(7, 1)), 10);
    assert_ne!(table.reading(KEY), Some(before));
}

#[test]
fn old_weights_are_refused() {
    let mut table = table(1);
    let mut young = offer(1);
    young.oldest_version = 8;
    assert!(matches!(
        table.offer(KEY, young.clone(), 0),
        Verdict::Refuse(_)
    ));
    read(&mut table, Some(status(8, 1)), 5);
    assert_eq!(table.offer(KEY, young, 10), Verdict::Run);
}

#[test]
fn a_lone_request_runs_alone() {
    let mut table = table(4);
    let mut lone = offer(2);
    lone.alone = true;
    assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Run);
    assert_eq!(table.offer(KEY, lone, 0), Verdict::Wait);
    assert_eq!(table.offer(KEY, offer(3), 0), Verdict::Wait);
    let first = table.leave(KEY, Ticket(1), None, 1);
    assert_eq!(first, [Action::Start(Ticket(2))]);
    let second = table.leave(KEY, Ticket(2), None, 2);
    assert_eq!(second, [Action::Start(Ticket(3))]);
}

#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let mut table = table(1);
    table.offer(KEY, offer(1), 0);
    table.offer(KEY, offer(2), 0);
    let mut hasty = offer(3);
    hasty.deadline_ms = 500;
    let Verdict::Refuse(not_run) = table.offer(KEY, hasty, 0) else {
        panic!("a slot needs two seconds for the hundred tokens ahead");
    };
    assert_eq!(not_run.refusal, Refusal::Overloaded);
    assert!(not_run.retry_after_ms >= Some(1_000));
}

#[test]
fn a_new_boot_names_what_was_in_flight() {
    let mut table = table(4);
    table.offer(KEY, offer(1), 0);
    let actions = read(&mut table, Some(status(7, 2)), 5);
    let crashed = Action::Crashed {
        endpoint: KEY,
        fingerprints: vec![1],
    };
    assert_eq!(actions, [crashed]);
}

#[test]
fn a_crash_names_each_request_once() {
    let mut table = table(4);
    table.offer(KEY, offer(1), 0);
    table.offer(KEY, offer(2), 0);
    table.broke(KEY, Ticket(1));
    table.leave(KEY, Ticket(1), None, 1);
    let crashed = |fingerprints: &[u64]| Action::Crashed {
        endpoint: KEY,
        fingerprints: fingerprints.to_vec(),
    };
    assert_eq!(table.lost(KEY), [crashed(&[1, 2])]);
    assert_eq!(read(&mut table, Some(status(7, 2)), 5), []);
    assert_eq!(read(&mut table, Some(status(7, 3)), 6), [crashed(&[2])]);
}

#[test]
fn a_connection_that_broke_without_a_crash_makes_no_suspect() {
    let mut table = table(4);
    table.offer(KEY, offer(1), 0);
    table.broke(KEY, Ticket(1));
    table.leave(KEY, Ticket(1), None, 1);
    assert_eq!(read(&mut table, Some(status(7, 1)), 5), []);
    assert_eq!(read(&mut table, Some(status(7, 2)), 6), []);
}

#[test]
fn an_endpoint_that_moves_away_keeps_what_runs() {
    let mut table = table(1);
    table.offer(KEY, offer(1), 0);
    table.offer(KEY, offer(2), 0);
    let actions = table.sync(Vec::new());
    assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
    assert!(table.at_home().is_empty());
    table.leave(KEY, Ticket(1), None, 5);
    assert!(table.targets().is_empty());
}

#[test]
fn a_caller_gets_the_slot_that_is_kept_from_rollouts_at_once() {
    let mut table = table(4);
    let rollout = |ticket| {
        let mut rollout = offer(ticket);
        rollout.flow.rollout = true;
        rollout
    };
    assert_eq!(table.offer(KEY, offer(1), 0), Verdict::Run);
    table.leave(KEY, Ticket(1), None, 1);
    for ticket in 2..5 {
        assert_eq!(table.offer(KEY, rollout(ticket), 2), Verdict::Run);
    }
    assert_eq!(table.offer(KEY, rollout(5), 2), Verdict::Wait);
    assert_eq!(table.offer(KEY, offer(6), 3), Verdict::Run);
    assert_eq!(table.offer(KEY, offer(7), 3), Verdict::Wait);
}
