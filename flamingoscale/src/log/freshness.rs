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
        Sight,
        Standing, //
    },
    view::Member, //
};

/// How long a confirmation lasts; with the time that a withdrawal takes to spread, this stays
/// within the tolerance for withdrawn keys.
pub(crate) const FRESH_MS: u64 = 4_000;

/// How long a member that vanished without leaving still counts while the log can be read.
const VANISHED_MS: u64 = 600_000;

/// How long the outcome of a read tells something about the log.
const SIGHT_MS: u64 = 5_000;

/// What the instance knows of its own freshness.
#[derive(Debug)]
pub(crate) struct Freshness {
    instance: Arc<str>,
    fresh_until_ms: u64,
    /// What the last read of the log came to, and when.
    sight: (Sight, u64),
    /// Members with the time when they were last there. One that vanished without leaving counts
    /// for a while, also when the log is confirmed meanwhile: or else an instance that lost its
    /// peers first and the log later would be a majority of one.
    electorate: BTreeMap<Arc<str>, u64>,
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
            sight: (Sight::Untried, 0),
            electorate: BTreeMap::new(),
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
    pub(crate) fn sight(&self, now_ms: u64) -> Sight {
        let (sight, seen_ms) = self.sight;
        let is_old = now_ms >= seen_ms + SIGHT_MS;
        let is_blind = sight == Sight::Away && !self.is_established;
        if is_old || is_blind {
            Sight::Untried
        } else {
            sight
        }
    }

    /// Takes in who is a member now.
    pub(crate) fn members(&mut self, now_ms: u64, members: &[Member]) {
        for member in members {
            if member.leaving {
                self.electorate.remove(&member.instance);
            } else {
                self.electorate.insert(member.instance.clone(), now_ms);
            }
        }
    }

    /// The log was read to its head by a read that began at `asked_ms`.
    pub(crate) fn confirmed(&mut self, asked_ms: u64, members: &[Member]) {
        self.forget_vanished(asked_ms, members);
        self.extend(asked_ms + FRESH_MS);
    }

    /// Drops members that vanished long ago, while the log can be read here or at the relay.
    pub(crate) fn forget_vanished(&mut self, now_ms: u64, members: &[Member]) {
        self.electorate
            .retain(|_, seen_ms| now_ms < *seen_ms + VANISHED_MS);
        self.members(now_ms, members);
    }

    /// The log could be read, though not yet to its head.
    pub(crate) fn reached(&mut self, now_ms: u64) {
        self.sight = (Sight::Reached, now_ms);
    }

    /// The log could not be read.
    pub(crate) fn failed(&mut self, now_ms: u64) {
        self.sight = (Sight::Away, now_ms);
    }

    /// A peer that was asked at `asked_ms` answered. Its freshness is good here too if it knows
    /// of no later record.
    pub(crate) fn peer(&mut self, asked_ms: u64, folded: u64, standing: &Standing) {
        let Some(fresh_for_ms) = standing.fresh_for_ms else {
            return;
        };
        if standing.folded <= folded {
            self.extend(asked_ms + fresh_for_ms.min(FRESH_MS));
        }
    }

    /// All reachable peers, asked at `asked_ms`, answered; `folded` is as far as this instance got.
    pub(crate) fn peers(&mut self, asked_ms: u64, folded: u64, answers: &[(Arc<str>, Standing)]) {
        for (_, standing) in answers {
            self.peer(asked_ms, folded, standing);
        }
        let is_contrary =
            |standing: &Standing| standing.sight == Sight::Reached || standing.folded > folded;
        let agree = !answers.iter().any(|(_, standing)| is_contrary(standing));
        if agree && self.is_established && self.sight(asked_ms) == Sight::Away {
            self.count(asked_ms, answers);
        }
    }

    /// Counts those that found the log away; who did not look has no vote.
    fn count(&mut self, asked_ms: u64, answers: &[(Arc<str>, Standing)]) {
        let votes = answers
            .iter()
            .filter(|(_, standing)| standing.sight == Sight::Away);
        if self.is_majority(votes.map(|(peer, _)| peer)) {
            self.extend(asked_ms + FRESH_MS);
        }
    }

    /// Whether these peers are, with this instance, more than half of the members. Two majorities
    /// have a member in common. An instance alone is never one, for it may be one that has not met
    /// the others yet.
    pub(crate) fn is_majority<'a>(&self, peers: impl Iterator<Item = &'a Arc<str>>) -> bool {
        let others =
            peers.filter(|peer| **peer != self.instance && self.electorate.contains_key(*peer));
        let is_listed = self.electorate.contains_key(&self.instance);
        let members = self.electorate.len() + usize::from(!is_listed);
        let agreeing = 1 + others.count();
        agreeing > 1 && 2 * agreeing > members
    }

    fn extend(&mut self, until_ms: u64) {
        // What is left of an older confirmation lets this instance serve, for its peer may as
        // well, but gives it no vote: in its former life it may have known of a later change.
        self.is_established |= until_ms >= self.started_ms + FRESH_MS;
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

    fn away(folded: u64) -> Standing {
        Standing {
            folded,
            fresh_for_ms: None,
            sight: Sight::Away,
            denied: Vec::new(),
        }
    }

    fn answers(indices: std::ops::Range<usize>, folded: u64) -> Vec<(Arc<str>, Standing)> {
        indices
            .map(|index| (format!("n{index}").into(), away(folded)))
            .collect()
    }

    /// An instance of five that confirmed the log at 1,000 and found it away at 2,000.
    fn cut_off() -> Freshness {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.confirmed(1_000, &members(5));
        freshness.failed(2_000);
        freshness
    }

    #[test]
    fn an_isolated_instance_stops_being_fresh() {
        let mut freshness = cut_off();
        // Membership has given the others up; they still count.
        freshness.members(2_000, &members(1));
        freshness.peers(2_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESH_MS);
    }

    /// Found by fuzzing: those who had read a withdrawal were replaced, and the new ones agreed
    /// with an instance that had missed it.
    #[test]
    fn a_new_instance_has_no_vote() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.failed(1_000);
        assert_eq!(freshness.sight(1_100), Sight::Untried);
        freshness.reached(1_200);
        assert_eq!(freshness.sight(1_300), Sight::Reached);
    }

    /// Found by fuzzing: one that had read a change was replaced, and an instance that had missed
    /// the change vouched for it with what was left of an old confirmation.
    #[test]
    fn a_confirmation_older_than_the_start_gives_no_vote() {
        let mut freshness = Freshness::new("n0".into(), 10_000);
        freshness.failed(10_100);
        let mut standing = away(5);
        standing.fresh_for_ms = Some(FRESH_MS - 500);
        freshness.peer(10_200, 5, &standing);
        assert_eq!(freshness.fresh_until_ms(), 10_200 + FRESH_MS - 500);
        assert_eq!(freshness.sight(10_300), Sight::Untried);
        freshness.peer(10_600, 5, &standing);
        assert_eq!(freshness.sight(10_700), Sight::Away);
    }

    /// Found by fuzzing: the peers were cut off first, and the log was confirmed without them.
    #[test]
    fn an_instance_that_lost_its_peers_before_the_log_is_no_majority() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.confirmed(1_000, &members(3));
        freshness.confirmed(20_000, &members(1));
        freshness.failed(21_000);
        freshness.peers(21_000, 10, &[]);
        assert_eq!(freshness.fresh_until_ms(), 20_000 + FRESH_MS);
    }

    #[test]
    fn a_member_that_vanished_long_ago_does_not_count() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.confirmed(1_000, &members(5));
        freshness.confirmed(1_000 + VANISHED_MS, &members(2));
        freshness.failed(2_000 + VANISHED_MS);
        freshness.peers(2_000 + VANISHED_MS, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_000 + VANISHED_MS + FRESH_MS);
    }

    #[test]
    fn a_majority_that_finds_the_log_away_stays_fresh() {
        let mut freshness = cut_off();
        freshness.peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESH_MS);
        freshness.peers(2_500, 10, &answers(1..3, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_500 + FRESH_MS);
    }

    #[test]
    fn a_peer_that_knows_more_or_reads_the_log_breaks_the_majority() {
        let mut freshness = cut_off();
        freshness.peers(2_000, 10, &answers(1..5, 11));
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESH_MS);
        let mut mixed = answers(1..5, 10);
        mixed[0].1.sight = Sight::Reached;
        freshness.peers(2_000, 10, &mixed);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESH_MS);
    }

    #[test]
    fn members_that_vanished_long_ago_are_forgotten_while_the_log_is_there() {
        let mut freshness = cut_off();
        let later_ms = 2_000 + VANISHED_MS;
        freshness.forget_vanished(later_ms, &members(2));
        freshness.failed(later_ms);
        freshness.peers(later_ms, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), later_ms + FRESH_MS);
    }

    #[test]
    fn who_did_not_look_has_no_vote() {
        let mut freshness = cut_off();
        let mut few = answers(1..5, 10);
        for (_, standing) in &mut few[1..] {
            standing.sight = Sight::Untried;
        }
        freshness.peers(2_000, 10, &few);
        assert_eq!(freshness.fresh_until_ms(), 1_000 + FRESH_MS);
        few[1].1.sight = Sight::Away;
        freshness.peers(2_000, 10, &few);
        assert_eq!(freshness.fresh_until_ms(), 2_000 + FRESH_MS);
    }

    #[test]
    fn members_that_left_do_not_count() {
        let mut freshness = cut_off();
        let mut leaving = members(5);
        for member in &mut leaving[2..] {
            member.leaving = true;
        }
        freshness.members(2_000, &leaving);
        freshness.peers(2_000, 10, &answers(1..2, 10));
        assert_eq!(freshness.fresh_until_ms(), 2_000 + FRESH_MS);
    }

    #[test]
    fn a_new_instance_needs_a_peer_that_is_fresh() {
        let mut freshness = Freshness::new("n0".into(), 0);
        freshness.members(100, &members(3));
        freshness.failed(100);
        freshness.peers(100, 0, &answers(1..3, 0));
        assert_eq!(freshness.fresh_until_ms(), 0);
        let mut standing = away(5);
        standing.fresh_for_ms = Some(700);
        freshness.peer(100, 4, &standing);
        assert_eq!(freshness.fresh_until_ms(), 0, "the peer knows more");
        freshness.peer(100, 5, &standing);
        assert_eq!(freshness.fresh_until_ms(), 800);
    }
}
