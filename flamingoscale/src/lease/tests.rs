use super::*;

const LEASE_MS: u64 = 10_000;
const GUARD_MS: u64 = 2_000;

fn lease(id: &str) -> Lease {
    Lease::new(id.into(), 1, GUARD_MS)
}

fn entry(holder: &str, fencing: u64, claim: u64) -> LeaseEntry {
    LeaseEntry {
        holder: holder.into(),
        incarnation: 1,
        fencing,
        claim,
        lease_ms: LEASE_MS,
        released: false,
    }
}

fn is_claim(action: Option<Action>) -> bool {
    matches!(action, Some(Action::Claim { .. }))
}

#[test]
fn holder_term_starts_when_the_claim_was_sent() {
    let mut holder = lease("a");
    assert!(is_claim(holder.decide(1_000, LEASE_MS, 0, false)));
    holder.observe(4_000, Some(&entry("a", 5, 5)));
    assert_eq!(holder.term(10_999).map(|term| term.fencing), Some(5));
    assert_eq!(holder.term(11_000), None);
}

#[test]
fn other_instances_wait_for_lease_drift_and_guard() {
    let mut other = lease("b");
    other.observe(4_000, Some(&entry("a", 5, 5)));
    let free_ms = 4_000 + LEASE_MS + LEASE_MS / DRIFT_DIVISOR + GUARD_MS;
    assert_eq!(other.decide(free_ms - 1, LEASE_MS, 0, false), None);
    assert!(is_claim(other.decide(free_ms, LEASE_MS, 0, false)));
}

#[test]
fn renewal_restarts_the_takeover_wait() {
    let mut other = lease("b");
    other.observe(0, Some(&entry("a", 5, 5)));
    other.observe(9_000, Some(&entry("a", 5, 8)));
    assert_eq!(other.decide(20_000, LEASE_MS, 0, false), None);
}

#[test]
fn lost_answer_does_not_extend_the_term() {
    let mut holder = lease("a");
    assert!(is_claim(holder.decide(0, LEASE_MS, 0, false)));
    assert!(is_claim(holder.resend(LEASE_MS)));
    holder.observe(6_000, Some(&entry("a", 9, 9)));
    assert_eq!(holder.term(9_999).map(|term| term.claim), Some(9));
    assert_eq!(holder.term(10_000), None);
}

#[test]
fn claim_of_earlier_incarnation_is_not_own() {
    let mut restarted = Lease::new("a".into(), 2, GUARD_MS);
    restarted.observe(0, Some(&entry("a", 5, 5)));
    assert_eq!(restarted.term(1), None);
    assert_eq!(restarted.decide(1, LEASE_MS, 0, false), None);
}

#[test]
fn fenced_holder_stops_acting_immediately() {
    let mut holder = lease("a");
    holder.decide(0, LEASE_MS, 0, false);
    holder.observe(10, Some(&entry("a", 5, 5)));
    holder.mark_fenced();
    assert_eq!(holder.term(20), None);
    let released = holder.decide(30, LEASE_MS, 0, false);
    assert_eq!(released, Some(Action::Release { claim: 5 }));
}

#[test]
fn released_lease_can_be_claimed_without_waiting() {
    let mut holder = lease("a");
    holder.decide(0, LEASE_MS, 0, false);
    holder.observe(10, Some(&entry("a", 5, 5)));
    let released = holder.decide(20, LEASE_MS, 0, true);
    assert_eq!(released, Some(Action::Release { claim: 5 }));
    let mut next = lease("b");
    let mut released_entry = entry("a", 5, 5);
    next.observe(15, Some(&released_entry));
    released_entry.released = true;
    next.observe(30, Some(&released_entry));
    holder.observe(30, Some(&released_entry));
    assert_eq!(holder.term(31), None);
    assert!(is_claim(next.decide(30, LEASE_MS, 0, false)));
}

/// Guards against a term that lasts too long. A claim with an unknown outcome was resent, the
/// resend was refused, and the next claim reset the start of the first claim's term to its own,
/// later, time. The fuzz tests found this.
#[test]
fn refused_resend_does_not_resolve_the_first_claim() {
    let mut holder = lease("a");
    assert!(is_claim(holder.decide(0, LEASE_MS, 0, false)));
    assert!(is_claim(holder.resend(LEASE_MS)));
    holder.append_refused();
    assert_eq!(holder.decide(8_000, LEASE_MS, 0, false), None);
    assert!(is_claim(holder.resend(LEASE_MS)));
    holder.observe(9_000, Some(&entry("a", 5, 5)));
    assert_eq!(holder.term(9_999).map(|term| term.claim), Some(5));
    assert_eq!(holder.term(10_000), None);
    assert!(is_claim(holder.decide(10_000, LEASE_MS, 0, false)));
}
