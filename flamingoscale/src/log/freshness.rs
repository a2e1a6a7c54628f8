//! Tracks the time until which this instance may serve requests that carry an API key.
//!
//! An instance is fresh while it cannot have missed an accepted change. This is the case for a
//! short time after this instance or a peer confirmed the head of the log, and while more than half
//! of the members agree that the log is unreachable and none of them knows of a later record. See
//! `docs/design/freshness.md`.

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

/// How long a confirmation keeps an instance fresh. Together with the time that a withdrawal takes
/// to spread, it stays within the tolerance for withdrawn keys.
pub(crate) const FRESHNESS_MS: u64 = 4_000;

/// How long a member that disappeared without leaving still counts as a voter while the log can be
/// read.
const VANISHED_MEMBER_RETENTION_MS: u64 = 600_000;

/// How long the result of a read of the log stays valid.
const LOG_STATUS_TTL_MS: u64 = 5_000;

/// What an instance knows about its own freshness.
#[derive(Debug)]
pub(crate) struct Freshness {
    instance: Arc<str>,
    fresh_until_ms: u64,
    /// Result and time of the last read of the log.
    log_status: (LogStatus, u64),
    /// The voters, which are the members that a majority is counted among, with the time when each
    /// was last seen. A member that disappeared without leaving still counts for a while, even if
    /// the log is confirmed in the meantime. Otherwise an instance that first lost its peers and
    /// later the log would form a majority on its own.
    voters: BTreeMap<Arc<str>, u64>,
    started_ms: u64,
    /// Whether a confirmation that began after this instance started has reached this instance.
    /// Until then, this instance cannot know which changes it missed.
    is_established: bool,
}

impl Freshness {
    /// Returns the state of an instance that started at `started_ms` and is not fresh yet.
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

    /// Returns the time until which the instance is fresh.
    pub(crate) fn fresh_until_ms(&self) -> u64 {
        self.fresh_until_ms
    }

    /// Returns the remaining time for which the instance is fresh, or `None` if it is not.
    pub(crate) fn fresh_for_ms(&self, now_ms: u64) -> Option<u64> {
        let remaining_ms = self.fresh_until_ms.checked_sub(now_ms)?;
        (remaining_ms > 0).then_some(remaining_ms)
    }

    /// Returns the result of this instance's last read of the log, if it is recent. A new instance
    /// that cannot reach the log has no vote, because it does not know what it missed.
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

    /// Updates the voters from the current member list.
    pub(crate) fn update_members(&mut self, now_ms: u64, members: &[Member]) {
        for member in members {
            if member.leaving {
                self.voters.remove(&member.instance);
            } else {
                self.voters.insert(member.instance.clone(), now_ms);
            }
        }
    }

    /// Records that a read of the log, requested at `requested_ms`, reached the head.
    pub(crate) fn log_confirmed(&mut self, requested_ms: u64, members: &[Member]) {
        self.expire_vanished(requested_ms, members);
        self.extend(requested_ms + FRESHNESS_MS);
    }

    /// Drops voters that disappeared long ago; called while this instance or its relay can read the
    /// log.
    pub(crate) fn expire_vanished(&mut self, now_ms: u64, members: &[Member]) {
        self.voters
            .retain(|_, seen_ms| now_ms < *seen_ms + VANISHED_MEMBER_RETENTION_MS);
        self.update_members(now_ms, members);
    }

    /// Records that the log answered, possibly without reaching its head.
    pub(crate) fn log_reached(&mut self, now_ms: u64) {
        self.log_status = (LogStatus::Reachable, now_ms);
    }

    /// Records that the log could not be read.
    pub(crate) fn log_failed(&mut self, now_ms: u64) {
        self.log_status = (LogStatus::Unreachable, now_ms);
    }

    /// Processes the status of a peer that was queried at `requested_ms`. The freshness of the peer
    /// extends to this instance if the peer has folded no later record than this instance.
    pub(crate) fn observe_peer(&mut self, requested_ms: u64, folded: u64, status: &ReplicaStatus) {
        let Some(fresh_for_ms) = status.fresh_for_ms else {
            return;
        };
        if status.folded <= folded {
            self.extend(requested_ms + fresh_for_ms.min(FRESHNESS_MS));
        }
    }

    /// Processes the statuses of all reachable peers, queried at `requested_ms`. `folded` is the
    /// offset up to which this instance has folded the log.
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
        let all_agree = !answers.iter().any(|(_, status)| disagrees(status));
        if all_agree
            && self.is_established
            && self.log_status(requested_ms) == LogStatus::Unreachable
        {
            self.count_votes(requested_ms, answers);
        }
    }

    /// Counts the peers that found the log unreachable. A peer that did not read the log recently
    /// has no vote.
    fn count_votes(&mut self, requested_ms: u64, answers: &[(Arc<str>, ReplicaStatus)]) {
        let votes = answers
            .iter()
            .filter(|(_, status)| status.log_status == LogStatus::Unreachable);
        if self.is_majority(votes.map(|(peer, _)| peer)) {
            self.extend(requested_ms + FRESHNESS_MS);
        }
    }

    /// Returns whether these peers and this instance are more than half of the voters. Any two
    /// majorities have a member in common. A single instance is never a majority, because it may
    /// not have met the other members yet.
    pub(crate) fn is_majority<'a>(&self, peers: impl Iterator<Item = &'a Arc<str>>) -> bool {
        let others =
            peers.filter(|peer| **peer != self.instance && self.voters.contains_key(*peer));
        let is_listed = self.voters.contains_key(&self.instance);
        let members = self.voters.len() + usize::from(!is_listed);
        let agreeing = 1 + others.count();
        agreeing > 1 && 2 * agreeing > members
    }

    fn extend(&mut self, until_ms: u64) {
        // The remaining time of an older confirmation lets this instance serve requests, as it lets
        // the peer, but gives this instance no vote: before its restart, it may have known of a
        // later change.
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

    /// One of five instances, which confirmed the log at 1,000 ms and found it unreachable at
    /// 2,000 ms.
    fn isolated_instance() -> Freshness {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_confirmed(1_000, &members(5));
        freshness.log_failed(2_000);
        freshness
    }

    #[test]
    fn an_isolated_instance_stops_being_fresh() {
        let mut freshness = isolated_instance();
        // Membership has removed the other members, but they still count as voters.
        freshness.update_members(2_000, &members(1));
        freshness.observe_peers(2_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
    }

    /// Found by fuzzing: the instances that had read a withdrawal were replaced, and their
    /// replacements voted with an instance that had missed it.
    #[test]
    fn a_new_instance_has_no_vote() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_failed(1_000);
        assert_eq!(freshness.log_status(1_100), LogStatus::Unknown);
        freshness.log_reached(1_200);
        assert_eq!(freshness.log_status(1_300), LogStatus::Reachable);
    }

    /// Found by fuzzing: an instance that had read a change was replaced, and received the rest of
    /// an old confirmation from a peer that had missed the change.
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

    /// Found by fuzzing: an instance lost its peers first, and then confirmed the log without them.
    #[test]
    fn an_instance_that_lost_its_peers_before_the_log_has_no_majority() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.log_confirmed(1_000, &members(3));
        freshness.log_confirmed(20_000, &members(1));
        freshness.log_failed(21_000);
        freshness.observe_peers(21_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 20_000 + FRESHNESS_MS);
    }

    #[test]
    fn a_member_that_vanished_long_ago_is_not_a_voter() {
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
    fn a_majority_that_cannot_reach_the_log_stays_fresh() {
        let mut freshness = isolated_instance();
        freshness.observe_peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
        freshness.observe_peers(2_500, 10, &answers(1..3, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_500 + FRESHNESS_MS);
    }

    #[test]
    fn a_peer_that_is_ahead_or_reads_the_log_breaks_the_majority() {
        let mut freshness = isolated_instance();
        freshness.observe_peers(2_000, 10, &answers(1..5, 11));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
        let mut mixed = answers(1..5, 10);
        mixed[0].1.log_status = LogStatus::Reachable;
        freshness.observe_peers(2_000, 10, &mixed);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESHNESS_MS);
    }

    #[test]
    fn members_that_vanished_long_ago_are_dropped_while_the_log_is_readable() {
        let mut freshness = isolated_instance();
        let later_ms = 2_000 + VANISHED_MEMBER_RETENTION_MS;
        freshness.expire_vanished(later_ms, &members(2));
        freshness.log_failed(later_ms);
        freshness.observe_peers(later_ms, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), later_ms + FRESHNESS_MS);
    }

    #[test]
    fn a_peer_that_did_not_read_the_log_has_no_vote() {
        let mut freshness = isolated_instance();
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
    fn members_that_left_are_not_voters() {
        let mut freshness = isolated_instance();
        let mut leaving = members(5);
        for member in &mut leaving[2..] {
            member.leaving = true;
        }
        freshness.update_members(2_000, &leaving);
        freshness.observe_peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_000 + FRESHNESS_MS);
    }

    #[test]
    fn a_new_instance_becomes_fresh_only_through_a_fresh_peer() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.update_members(100, &members(3));
        freshness.log_failed(100);
        freshness.observe_peers(100, 0, &answers(1..3, 0));
        assert_eq!(freshness.fresh_until_ms(), 0);
        let mut status = unreachable_log(5);
        status.fresh_for_ms = Some(700);
        freshness.observe_peer(100, 4, &status);
        assert_eq!(freshness.fresh_until_ms(), 0, "the peer has a later record");
        freshness.observe_peer(100, 5, &status);
        assert_eq!(freshness.fresh_until_ms(), 800);
    }
}
