//! Tests of a home's decisions.

use super::*;

const KEY: EndpointKey = EndpointKey(1);

fn table(slots: u32) -> HomeTable {
    let mut table = HomeTable::default();
    table.sync(vec![target(slots)]);
    read(&mut table, Some(status(7, 1)), 0);
    table
}

fn target(slots: u32) -> EndpointTarget {
    EndpointTarget {
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
    let begun = table.begin_read(KEY);
    table.status_read(KEY, begun, status, now_ms)
}

fn request(ticket: u64) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(ticket),
        flow: Flow {
            rollout: false,
            name: "org".into(),
            weight: 1,
        },
        cost_tokens: 100,
        deadline_ms: 60_000,
        oldest_version: 0,
        exclusive: false,
        fingerprint: ticket,
    }
}

#[test]
fn running_requests_are_limited_by_slots_and_refilled_from_the_queue() {
    let mut table = table(2);
    assert_eq!(table.admit(KEY, request(1), 0), AdmissionDecision::Run);
    assert_eq!(table.admit(KEY, request(2), 0), AdmissionDecision::Run);
    assert_eq!(table.admit(KEY, request(3), 0), AdmissionDecision::Wait);
    let actions = table.release(KEY, Ticket(1), None, 10);
    assert_eq!(actions, [Action::Start(Ticket(3))]);
}

#[test]
fn leaving_endpoint_refuses_new_and_queued_requests() {
    let mut table = table(1);
    table.admit(KEY, request(1), 0);
    table.admit(KEY, request(2), 0);
    let leaving = EndpointStatus {
        leaving_in_ms: Some(20_000),
        ..status(7, 1)
    };
    let actions = read(&mut table, Some(leaving), 10);
    assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
    assert!(matches!(
        table.admit(KEY, request(3), 20),
        AdmissionDecision::Refuse(_)
    ));
    assert_eq!(table.status(KEY).map(|status| status.in_flight), Some(1));
}

#[test]
fn paused_endpoint_starts_requests_only_after_resume() {
    let mut table = table(1);
    table.set_paused(KEY, true, 0);
    assert_eq!(table.admit(KEY, request(1), 0), AdmissionDecision::Wait);
    assert_eq!(table.status(KEY).and_then(|status| status.version), None);
    assert_eq!(read(&mut table, Some(status(8, 1)), 5), []);
    let actions = table.set_paused(KEY, false, 10);
    assert_eq!(actions, [Action::Start(Ticket(1))]);
}

#[test]
fn pause_between_two_version_readings_is_detected() {
    let mut table = table(1);
    let before = table.version_reading(KEY).expect("the version is known");
    table.set_paused(KEY, true, 0);
    table.set_paused(KEY, false, 5);
    assert_eq!(table.version_reading(KEY), None);
    read(&mut table, Some(status(7, 1)), 10);
    assert_ne!(table.version_reading(KEY), Some(before));
}

#[test]
fn endpoint_with_outdated_weights_refuses_the_request() {
    let mut table = table(1);
    let mut newer = request(1);
    newer.oldest_version = 8;
    assert!(matches!(
        table.admit(KEY, newer.clone(), 0),
        AdmissionDecision::Refuse(_)
    ));
    read(&mut table, Some(status(8, 1)), 5);
    assert_eq!(table.admit(KEY, newer, 10), AdmissionDecision::Run);
}

#[test]
fn exclusive_request_runs_alone() {
    let mut table = table(4);
    let mut exclusive_request = request(2);
    exclusive_request.exclusive = true;
    assert_eq!(table.admit(KEY, request(1), 0), AdmissionDecision::Run);
    assert_eq!(
        table.admit(KEY, exclusive_request, 0),
        AdmissionDecision::Wait
    );
    assert_eq!(table.admit(KEY, request(3), 0), AdmissionDecision::Wait);
    let after_first_release = table.release(KEY, Ticket(1), None, 1);
    assert_eq!(after_first_release, [Action::Start(Ticket(2))]);
    let after_second_release = table.release(KEY, Ticket(2), None, 2);
    assert_eq!(after_second_release, [Action::Start(Ticket(3))]);
}

#[test]
fn request_that_cannot_start_before_its_deadline_is_refused_at_once() {
    let mut table = table(1);
    table.admit(KEY, request(1), 0);
    table.admit(KEY, request(2), 0);
    let mut urgent = request(3);
    urgent.deadline_ms = 500;
    let AdmissionDecision::Refuse(not_run) = table.admit(KEY, urgent, 0) else {
        panic!("the 100 queued tokens take 2 s on one slot, past the deadline of 500 ms");
    };
    assert_eq!(not_run.refusal, Refusal::Overloaded);
    assert!(not_run.retry_after_ms >= Some(1_000));
}

#[test]
fn restart_reports_in_flight_fingerprints() {
    let mut table = table(4);
    table.admit(KEY, request(1), 0);
    let actions = read(&mut table, Some(status(7, 2)), 5);
    let crashed = Action::Crashed {
        endpoint: KEY,
        fingerprints: vec![1],
    };
    assert_eq!(actions, [crashed]);
}

#[test]
fn crash_reports_each_fingerprint_once() {
    let mut table = table(4);
    table.admit(KEY, request(1), 0);
    table.admit(KEY, request(2), 0);
    table.connection_broke(KEY, Ticket(1));
    table.release(KEY, Ticket(1), None, 1);
    let crashed = |fingerprints: &[u64]| Action::Crashed {
        endpoint: KEY,
        fingerprints: fingerprints.to_vec(),
    };
    assert_eq!(table.mark_unreachable(KEY), [crashed(&[1, 2])]);
    assert_eq!(read(&mut table, Some(status(7, 2)), 5), []);
    assert_eq!(read(&mut table, Some(status(7, 3)), 6), [crashed(&[2])]);
}

#[test]
fn broken_connection_without_a_crash_reports_nothing() {
    let mut table = table(4);
    table.admit(KEY, request(1), 0);
    table.connection_broke(KEY, Ticket(1));
    table.release(KEY, Ticket(1), None, 1);
    assert_eq!(read(&mut table, Some(status(7, 1)), 5), []);
    assert_eq!(read(&mut table, Some(status(7, 2)), 6), []);
}

#[test]
fn status_read_that_began_before_a_connection_broke_does_not_hide_the_crash() {
    let mut table = table(4);
    read(&mut table, Some(status(7, 1)), 0);
    table.admit(KEY, request(1), 0);
    let late_read = table.begin_read(KEY);
    table.connection_broke(KEY, Ticket(1));
    table.release(KEY, Ticket(1), None, 1);
    table.status_read(KEY, late_read, Some(status(7, 1)), 5);
    let crashed = Action::Crashed {
        endpoint: KEY,
        fingerprints: vec![1],
    };
    assert_eq!(read(&mut table, Some(status(7, 2)), 6), [crashed]);
    // Nor does it accuse what runs after the restart.
    table.admit(KEY, request(2), 7);
    assert_eq!(table.status_read(KEY, late_read, Some(status(7, 1)), 8), []);
    assert_eq!(read(&mut table, Some(status(7, 2)), 9), []);
}

#[test]
fn endpoint_that_moves_to_another_home_keeps_its_running_requests() {
    let mut table = table(1);
    table.admit(KEY, request(1), 0);
    table.admit(KEY, request(2), 0);
    let actions = table.sync(Vec::new());
    assert!(matches!(actions[..], [Action::Refuse(Ticket(2), _)]));
    assert!(table.at_home().is_empty());
    table.release(KEY, Ticket(1), None, 5);
    assert!(table.targets().is_empty());
}

#[test]
fn interactive_request_starts_at_once_on_the_reserved_slot() {
    let mut table = table(4);
    let rollout = |ticket| {
        let mut rollout = request(ticket);
        rollout.flow.rollout = true;
        rollout
    };
    assert_eq!(table.admit(KEY, request(1), 0), AdmissionDecision::Run);
    table.release(KEY, Ticket(1), None, 1);
    for ticket in 2..5 {
        assert_eq!(table.admit(KEY, rollout(ticket), 2), AdmissionDecision::Run);
    }
    assert_eq!(table.admit(KEY, rollout(5), 2), AdmissionDecision::Wait);
    assert_eq!(table.admit(KEY, request(6), 3), AdmissionDecision::Run);
    assert_eq!(table.admit(KEY, request(7), 3), AdmissionDecision::Wait);
}
