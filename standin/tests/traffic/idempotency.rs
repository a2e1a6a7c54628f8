//! Idempotency keys across several instances, also after the instances that own a key have failed.

use awc::http::StatusCode;
use standin::{
    faults::Fault,
    service::LookupAnswer, //
};

use crate::fixture::{
    outcome,
    start_fixture,
    Fixture, //
};

/// Disconnects an instance and removes it from the membership, as happens after a crash.
fn remove_member(fixture: &Fixture, name: &str) {
    fixture.cluster.set_disconnected(name, true);
    let name = name.to_owned();
    fixture.cluster.update(|view| {
        let mut members = (*view.members).clone();
        members.retain(|member| *member.instance != *name);
        view.members = members.into();
    });
}

#[actix_rt::test]
async fn repeated_key_returns_first_response_from_every_instance() {
    let fixture = start_fixture().await;
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        let header = [("idempotency-key", &*key)];
        let mut first = fixture.look_up(number % 3, &id, &header).await;
        assert_eq!(outcome(&first), "ran");
        let first: LookupAnswer = first
            .json()
            .await
            .expect("the body should be a lookup answer");
        let mut repeated = fixture.look_up((number + 1) % 3, &id, &header).await;
        assert_eq!(outcome(&repeated), "ran");
        let repeated: LookupAnswer = repeated
            .json()
            .await
            .expect("the body should be a lookup answer");
        assert_eq!(first, repeated);
        let conflicting = fixture.look_up((number + 2) % 3, "other", &header).await;
        assert_eq!(conflicting.status(), StatusCode::CONFLICT);
        assert_eq!(fixture.runs(&id), 1);
    }
    assert_eq!(fixture.runs("other"), 0);
}

#[actix_rt::test]
async fn key_survives_the_loss_of_any_instance() {
    for removed in ["n1", "n2", "n3"] {
        let fixture = start_fixture().await;
        let remaining = (0..3).find(|node| format!("n{}", node + 1) != removed);
        let remaining = remaining.expect("two instances should remain");
        for number in 0..6 {
            let id = format!("crew {number}");
            let key = format!("order {number}");
            fixture
                .look_up(number % 3, &id, &[("idempotency-key", &key)])
                .await;
        }
        remove_member(&fixture, removed);
        for number in 0..6 {
            let id = format!("crew {number}");
            let key = format!("order {number}");
            let repeated = fixture
                .look_up(remaining, &id, &[("idempotency-key", &key)])
                .await;
            assert_eq!(outcome(&repeated), "ran", "after losing {removed}");
            assert_eq!(fixture.runs(&id), 1, "after losing {removed}");
        }
    }
}

#[actix_rt::test]
async fn request_is_not_rerun_after_losing_both_key_owners_at_once() {
    let fixture = start_fixture().await;
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        fixture.look_up(0, &id, &[("idempotency-key", &key)]).await;
    }
    remove_member(&fixture, "n2");
    remove_member(&fixture, "n3");
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        let repeated = fixture.look_up(0, &id, &[("idempotency-key", &key)]).await;
        assert_ne!(
            outcome(&repeated),
            "not-run",
            "the request ran before its key owners were lost"
        );
        assert_eq!(fixture.runs(&id), 1);
    }
}

#[actix_rt::test]
async fn request_with_lost_response_is_not_rerun() {
    let fixture = start_fixture().await;
    for service in &fixture.services {
        service.inject_fault(&Fault::LoseAnswers { count: 1 });
    }
    let header = [("idempotency-key", "lost")];
    let first = fixture.look_up(0, "lost", &header).await;
    assert_eq!(outcome(&first), "unknown");
    for node in 0..3 {
        let repeated = fixture.look_up(node, "lost", &header).await;
        assert_eq!(outcome(&repeated), "unknown");
        assert_eq!(repeated.status(), StatusCode::CONFLICT);
    }
    assert_eq!(fixture.runs("lost"), 1);
}

#[actix_rt::test]
async fn key_of_a_request_that_did_not_run_can_be_reused() {
    let fixture = start_fixture().await;
    for service in &fixture.services {
        service.inject_fault(&Fault::Refuse { count: 1_000 });
    }
    let header = [("idempotency-key", "refused")];
    let first = fixture.look_up(0, "refused", &header).await;
    assert_eq!(outcome(&first), "not-run");
    for service in &fixture.services {
        service.inject_fault(&Fault::Clear);
    }
    let repeated = fixture.look_up(1, "refused", &header).await;
    assert_eq!(outcome(&repeated), "ran");
    assert_eq!(fixture.runs("refused"), 1);
}

#[actix_rt::test]
async fn request_does_not_run_when_key_owners_are_unreachable() {
    let fixture = start_fixture().await;
    fixture.cluster.set_disconnected("n2", true);
    fixture.cluster.set_disconnected("n3", true);
    for number in 0..6 {
        let id = format!("cut {number}");
        let key = format!("cut {number}");
        let response = fixture.look_up(0, &id, &[("idempotency-key", &key)]).await;
        assert_eq!(outcome(&response), "unknown");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fixture.runs(&id), 0);
    }
}
