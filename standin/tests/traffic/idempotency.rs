//! Idempotency keys over several instances, with owners that go.

use awc::http::StatusCode;
use standin::{
    faults::Fault,
    service::LookupAnswer, //
};

use crate::bed::{
    bed,
    outcome,
    Bed, //
};

/// Takes an instance away from the others, as membership would once it is dead.
fn remove(bed: &Bed, name: &str) {
    bed.cluster.set_disconnected(name, true);
    let name = name.to_owned();
    bed.cluster.update(|view| {
        let mut members = (*view.members).clone();
        members.retain(|member| *member.instance != *name);
        view.members = members.into();
    });
}

#[actix_rt::test]
async fn any_instance_knows_a_key_that_ran_at_another() {
    let bed = bed().await;
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        let header = [("idempotency-key", &*key)];
        let mut first = bed.look_up(number % 3, &id, &header).await;
        assert_eq!(outcome(&first), "ran");
        let first: LookupAnswer = first.json().await.expect("an answer");
        let mut again = bed.look_up((number + 1) % 3, &id, &header).await;
        assert_eq!(outcome(&again), "ran");
        let again: LookupAnswer = again.json().await.expect("an answer");
        assert_eq!(first, again);
        let other = bed.look_up((number + 2) % 3, "other", &header).await;
        assert_eq!(other.status(), StatusCode::CONFLICT);
        assert_eq!(bed.runs(&id), 1);
    }
    assert_eq!(bed.runs("other"), 0);
}

#[actix_rt::test]
async fn a_key_outlives_any_one_instance() {
    for gone in ["n1", "n2", "n3"] {
        let bed = bed().await;
        let left = (0..3).find(|node| format!("n{}", node + 1) != gone);
        let left = left.expect("two are left");
        for number in 0..6 {
            let id = format!("crew {number}");
            let key = format!("order {number}");
            bed.look_up(number % 3, &id, &[("idempotency-key", &key)])
                .await;
        }
        remove(&bed, gone);
        for number in 0..6 {
            let id = format!("crew {number}");
            let key = format!("order {number}");
            let again = bed.look_up(left, &id, &[("idempotency-key", &key)]).await;
            assert_eq!(outcome(&again), "ran", "without {gone}");
            assert_eq!(bed.runs(&id), 1, "without {gone}");
        }
    }
}

#[actix_rt::test]
async fn where_both_owners_went_at_once_the_key_is_refused() {
    let bed = bed().await;
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        bed.look_up(0, &id, &[("idempotency-key", &key)]).await;
    }
    remove(&bed, "n2");
    remove(&bed, "n3");
    for number in 0..6 {
        let id = format!("crew {number}");
        let key = format!("order {number}");
        let again = bed.look_up(0, &id, &[("idempotency-key", &key)]).await;
        assert_ne!(outcome(&again), "not-run", "it ran before");
        assert_eq!(bed.runs(&id), 1);
    }
}

#[actix_rt::test]
async fn a_key_whose_answer_was_lost_is_not_run_again() {
    let bed = bed().await;
    for service in &bed.services {
        service.inject_fault(&Fault::LoseAnswers { count: 1 });
    }
    let header = [("idempotency-key", "lost")];
    let first = bed.look_up(0, "lost", &header).await;
    assert_eq!(outcome(&first), "unknown");
    for node in 0..3 {
        let again = bed.look_up(node, "lost", &header).await;
        assert_eq!(outcome(&again), "unknown");
        assert_eq!(again.status(), StatusCode::CONFLICT);
    }
    assert_eq!(bed.runs("lost"), 1);
}

#[actix_rt::test]
async fn a_key_that_did_not_run_may_be_sent_again() {
    let bed = bed().await;
    for service in &bed.services {
        service.inject_fault(&Fault::Refuse { count: 1_000 });
    }
    let header = [("idempotency-key", "refused")];
    let first = bed.look_up(0, "refused", &header).await;
    assert_eq!(outcome(&first), "not-run");
    for service in &bed.services {
        service.inject_fault(&Fault::Clear);
    }
    let again = bed.look_up(1, "refused", &header).await;
    assert_eq!(outcome(&again), "ran");
    assert_eq!(bed.runs("refused"), 1);
}

#[actix_rt::test]
async fn an_owner_that_cannot_be_reached_means_no_run() {
    let bed = bed().await;
    bed.cluster.set_disconnected("n2", true);
    bed.cluster.set_disconnected("n3", true);
    for number in 0..6 {
        let id = format!("cut {number}");
        let key = format!("cut {number}");
        let answer = bed.look_up(0, &id, &[("idempotency-key", &key)]).await;
        assert_eq!(outcome(&answer), "unknown");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(bed.runs(&id), 0);
    }
}
