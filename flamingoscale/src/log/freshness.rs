//! Until when this instance may serve keyed requests.
//!
//! It may while no accepted change can have passed it by: the log's head was confirmed a short
//! time ago, here or at a peer; or more than half of the members, all found to have the log away,
//! know of no later record. See `docs/design/freshness.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    log::{
        LogStatus,
        ReplicaStatus, //
    },
    view::Member, //
};

/// How long a confirmation lasts; with the time that a withdrawal takes to spread, this stays
/// within the tolerance for withdrawn keys.
pub(crate) const FRESHNESS_MS: u64 = 4_000;

/// How long a member that vanished without leaving still counts while the log can be read.
const VANISHED_MEMBER_RETENTION_MS: u64 = 600_000;

/// How long the outcome of a read tells something about the log.
const LOG_STATUS_TTL_MS: u64 = 5_000;

/// What the instance knows of its own freshness.
#[derive(Debug)]
pub(crate) struct Freshness {
    instance: Arc<str>,
    fresh_until_ms: u64,
    /// What the last read of the log came to, and when.
    log_status: (LogStatus, u64),
    /// Members with the time when they were last there. One that vanished without leaving counts
    /// for a while, also when the log is confirmed meanwhile: or else an instance that lost its
    /// peers first and the log later would be a majority of one.
    voters: BTreeMap<Arc<str>, u64>,
    started_ms: u64,
    /// Whether a confirmation that began after this instance's start has reached it; until then
    /// it can't tell what it missed before.
    is_established: bool,
}

impl Freshness {
    /// What an instance that started at `started_ms` knows.
    pub(crate) fn new(instance: Arc<str>, started_ms: u64) -> Self {
        Self {
            instance,
            started_ms,
            fresh_until_ms: 0,
            log_status: (LogStatus::Unknown, 0),
            voters: BTreeMap::new(),
            is_established: false,
        }
    }

    /// Until when the instance is fresh.
    pub(crate) fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms
    }

    /// How long the instance is still fresh.
    pub(crate) fn fresh_for_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.fresh_until_ms.checked_sub(now_ms)?;
        (left_ms > 0).then_some(left_ms)
    }

    /// What this instance's own last read of the log came to, if that was a short time ago. A new
    /// instance that finds the log away has no vote, as it can't tell what it missed.
    pub(crate) fn log_status(&self, now_ms: u64) -> LogStatus {
        let (log_status, seen_ms) = self.log_status;
        let is_expired = now_ms >= seen_ms + LOG_STATUS_TTL_MS;
        let lacks_vote = log_status == LogStatus::Unreachable && !self.is_established;
        if is_expired || lacks_vote {
            LogStatus::Unknown
        } else {
            log_status
        }
    }

    /// Takes in who is a member now.
    pub(crate) fn update_members(&mut self, now_ms: u64, members: &[Member]) {
        for member in members {
            if member.leaving {
                self.voters.remove(&member.instance);
            } else {
                self.voters.insert(member.instance.clone(), now_ms);
            }
        }
    }

    /// The log was read to its head by a read that began at `requested_ms`.
    pub(crate) fn log_confirmed(&mut self, requested_ms: u64, members: &[Member]) {
        self.expire_vanished(requested_ms, members);
        self.extend(requested_ms + FRESHNESS_MS);
    }

    /// Drops members that vanished long ago, while the log can be read here or at the relay.
    pub(crate) fn expire_vanished(&mut self, now_ms: u64, members: &[Member]) {
        self.voters
            .retain(|_, seen_ms| now_ms < *seen_ms + VANISHED_MEMBER_RETENTION_MS);
        self.update_members(now_ms, members);
    }

    /// The log could be read, though not yet to its head.
    pub(crate) fn log_reached(&mut self, now_ms: u64) {
        self.log_status = (LogStatus::Reachable, now_ms);
    }

    /// The log could not be read.
    pub(crate) fn log_failed(&mut self, now_ms: u64) {
        self.log_status = (LogStatus::Unreachable, now_ms);
    }

    /// A peer that was asked at `requested_ms` answered. Its freshness is good here too if it knows
    /// of no later record.
    pub(crate) fn observe_peer(&mut self, requested_ms: u64, folded: u64, status: &ReplicaStatus) {
        let Some(fresh_for_ms) = status.fresh_for_ms else {
            return;
        };
        if status.folded <= folded {
            self.extend(requested_ms + fresh_for_ms.min(FRESHNESS_MS));
        }
    }

    /// All reachable peers, asked at `requested_ms`, answered; `folded` is as far as this instance got.
    pub(crate) fn observe_peers(
        &mut self,
        requested_ms: u64,
        folded: u64,
        answers: &[(Arc<str>, ReplicaStatus)],
    ) {
        for (_, status) in answers {
            self.observe_peer(requested_ms, folded, status);
        }
        let disagrees = |status: &ReplicaStatus| {
            status.log_status == LogStatus::Reachable || status.folded > folded
        };
        let agree = !answers.iter().any(|(_, status)| disagrees(status));
        if agree && self.is_established && self.log_status(requested_ms) == LogStatus::Unreachable {
            self.count_votes(requested_ms, answers);
        }
    }

    /// Counts those that found the log away; who did not look has no vote.
    fn count_votes(&mut self, requested_ms: u64, answers: &[(Arc<str>, ReplicaStatus)]) {
        let votes = answers
            .iter()
            .filter(|(_, status)| status.log_status == LogStatus::Unreachable);
        if self.is_majority(votes.map(|(peer, _)| peer)) {
            self.extend(requested_ms + FRESHNESS_MS);
        }
    }

    /// Whether these peers are, with this instance, more than half of the members. Two majorities
    /// have a member in common. An instance alone is never one, for it may be one that has not met
    /// the others yet.
    pub(crate) fn is_majority<'a>(&self, peers: impl Iterator<Item = &'a Arc<str>>) -> bool {
        let others =
            peers.filter(|peer| **peer != self.instance && self.voters.contains_key(*peer));
        let is_listed = self.voters.contains_key(&self.instance);
        let members = self.voters.len() + usize::from(!is_listed);
        let agreeing = 1 + others.count();
        agreeing > 1 && 2 * agreeing > members
    }

    fn extend(&mut self, until_ms: u64) {
        // What is left of an older confirmation lets this instance serve, for its peer may as
        // well, but gives it no vote: in its former life it may have known of a later change.
        self.is_established |= until_ms >= self.started_ms + FRESHNESS_MS;
        self.fresh_until_ms = self.fresh_until_ms.max(until_ms);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(count: usize) -> Vec<Member> {
        let member = |index| Member {
            instance: format!("n{index}").into(),
            incarnation: 1,
            failure_domain: "saiq".into(),
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            leaving: false,
            suspect: false,
            revision: 0,
        };
        (0..count).map(member).collect()
    }

    fn unreachable_log(folded: u64) -> ReplicaStatus {
        ReplicaStatus {
            folded,
            fresh_for_ms: None,
            log_status: LogStatus::Unreachable,
            denied: Vec::new(),
        }
    }

    fn answers(indices: std::ops::Range<usize>, folded: u64) -> Vec<(Arc<str>, ReplicaStatus)> {
        indices
            .map(|index| (format!("n{index}").into(), unreachable_log(folded)))
            .collect()
    }

    /// An instance of five that confirmed the log at 1,000 and found it away at 2,000.
    fn cut_off() -> Freshness {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_confirmed(1_000, &members(5));
        freshness.log_failed(2_000);
        freshness
    }

    #[test]
    fn an_isolated_instance_stops_being_fresh() {
        let mut freshness = cut_off();
        // Membership has given the others up; they still count.
        freshness.update_members(2_000, &members(1));
        freshness.observe_peers(2_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
    }

    /// Found by fuzzing: those who had read a withdrawal were replaced, and the new ones agreed
    /// with an instance that had missed it.
    #[test]
    fn a_new_instance_has_no_vote() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_failed(1_000);
        assert_eq!(freshness.log_status(1_100), LogStatus::Unknown);
        freshness.log_reached(1_200);
        assert_eq!(freshness.log_status(1_300), LogStatus::Reachable);
    }

    /// Found by fuzzing: one that had read a change was replaced, and an instance that had missed
    /// the change vouched for it with what was left of an old confirmation.
    #[test]
    fn a_confirmation_older_than_the_start_gives_no_vote() {
        let mut freshness = Freshness::new("n0".into(), 10_000);
        freshness.log_failed(10_100);
        let mut status = unreachable_log(5);
        status.fresh_for_ms = Some(FRESHNESS_MS - 500);
        freshness.observe_peer(10_200, 5, &status);
        assert_eq!(freshness.fresh_until_ms(), 10_200 + FRESHNESS_MS - 500);
        assert_eq!(freshness.log_status(10_300), LogStatus::Unknown);
        freshness.observe_peer(10_600, 5, &status);
        assert_eq!(freshness.log_status(10_700), LogStatus::Unreachable);
    }

    /// Found by fuzzing: the peers were cut off first, and the log was confirmed without them.
    #[test]
    fn an_instance_that_lost_its_peers_before_the_log_is_no_majority() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_confirmed(1_000, &members(3));
        freshness.log_confirmed(20_000, &members(1));
        freshness.log_failed(21_000);
        freshness.observe_peers(21_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 20_000 + FRESHNESS_MS);
    }

    #[test]
    fn a_member_that_vanished_long_ago_does_not_count() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_confirmed(1_000, &members(5));
        freshness.log_confirmed(1_000 + VANISHED_MEMBER_RETENTION_MS, &members(2));
        freshness.log_failed(2_000 + VANISHED_MEMBER_RETENTION_MS);
        freshness.observe_peers(2_000 + VANISHED_MEMBER_RETENTION_MS, 10, &answers(1..2, 10));
        assert_eq!(
            freshness.fresh_until_ms(),
            2_000 + VANISHED_MEMBER_RETENTION_MS + FRESHNESS_MS
        );
    }

    #[test]
    fn a_majority_that_finds_the_log_away_stays_fresh() {
        let mut freshness = cut_off();
        freshness.observe_peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
        freshness.observe_peers(2_500, 10, &answers(1..3, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_500 + FRESHNESS_MS);
    }

    #[test]
    fn a_peer_that_knows_more_or_reads_the_log_breaks_the_majority() {
        let mut freshness = cut_off();
        freshness.observe_peers(2_000, 10, &answers(1..5, 11));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
        let mut mixed = answers(1..5, 10);
        mixed[0].1.log_status = LogStatus::Reachable;
        freshness.observe_peers(2_000, 10, &mixed);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
    }

    #[test]
    fn members_that_vanished_long_ago_are_forgotten_while_the_log_is_there() {
        let mut freshness = cut_off();
        let later_ms = 2_000 + VANISHED_MEMBER_RETENTION_MS;
        freshness.expire_vanished(later_ms, &members(2));
        freshness.log_failed(later_ms);
        freshness.observe_peers(later_ms, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), later_ms + FRESHNESS_MS);
    }

    #[test]
    fn who_did_not_look_has_no_vote() {
        let mut freshness = cut_off();
        let mut replies = answers(1..5, 10);
        for (_, status) in &mut replies[1..] {
            status.log_status = LogStatus::Unknown;
        }
        freshness.observe_peers(2_000, 10, &replies);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
        replies[1].1.log_status = LogStatus::Unreachable;
        freshness.observe_peers(2_000, 10, &replies);
        assert_eq!(freshness.fresh_until_ms(), 2_000 + FRESHNESS_MS);
    }

    #[test]
    fn members_that_left_do_not_count() {
        let mut freshness = cut_off();
        let mut leaving = members(5);
        for member in &mut leaving[2..] {
            member.leaving = true;
        }
        freshness.update_members(2_000, &leaving);
        freshness.observe_peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_000 + FRESHNESS_MS);
    }

    #[test]
    fn a_new_instance_needs_a_peer_that_is_fresh() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.update_members(100, &members(3));
        freshness.log_failed(100);
        freshness.observe_peers(100, 0, &answers(1..3, 0));
        assert_eq!(freshness.fresh_until_ms(), 0);
        let mut status = unreachable_log(5);
        status.fresh_for_ms = Some(700);
        freshness.observe_peer(100, 4, &status);
        assert_eq!(freshness.fresh_until_ms(), 0, "the peer knows more");
        freshness.observe_peer(100, 5, &status);
        assert_eq!(freshness.fresh_until_ms(), 800);
    }
}
