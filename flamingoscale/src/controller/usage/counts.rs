//! The usage that this instance has counted but not yet appended to the log.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use crate::{
    usage::Figures,
    view::Member, //
};

/// Interval between two batches while appends succeed.
const BATCH_INTERVAL_MS: u64 = 2_000;

/// Interval per live member. In a large cluster the total exceeds `BATCH_INTERVAL_MS`, and each
/// instance makes batches less often, so that all instances together append a bounded number of
/// records a second.
const BATCH_MS_PER_MEMBER: u64 = 50;

/// Number of pending batches for each doubling of the interval.
const BATCHES_PER_DOUBLING: usize = 4;

/// Maximum number of doublings, so that an hour without the log produces only a few dozen batches.
const MAX_DOUBLINGS: usize = 6;

/// A numbered batch of counts. It is immutable once it has its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The batch's number within its incarnation, consecutive from 1.
    pub sequence: u64,
    /// Figures by organisation.
    pub figures: Figures,
}

/// Batches of this instance that are not confirmed to be in the log.
#[derive(Clone, Debug)]
pub struct Counts {
    instance: Arc<str>,
    incarnation: u64,
    batches: VecDeque<Batch>,
    next_sequence: u64,
    next_batch_ms: u64,
    /// Members that hold copies, by instance and incarnation, each with the sequence number of the
    /// last batch copied to it.
    copy_holders: BTreeMap<(Arc<str>, u64), (Member, u64)>,
    /// The member that new batches are copied to.
    replica: Option<(Arc<str>, u64)>,
    /// Members that did not accept a copy and are not chosen again for now.
    failed_replicas: Vec<(Arc<str>, u64)>,
}

impl Counts {
    /// Creates an empty set of counts for one incarnation of an instance.
    pub fn new(instance: Arc<str>, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            batches: VecDeque::new(),
            next_sequence: 1,
            next_batch_ms: 0,
            copy_holders: BTreeMap::new(),
            replica: None,
            failed_replicas: Vec::new(),
        }
    }

    /// Returns whether the next batch is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_batch_ms
    }

    /// Makes a batch of `figures`, counted since the previous batch, and schedules the next one.
    /// `members` is the number of live members.
    pub fn take_batch(&mut self, now_ms: u64, members: usize, figures: Figures) {
        let doublings = (self.batches.len() / BATCHES_PER_DOUBLING).min(MAX_DOUBLINGS);
        let interval_ms = BATCH_INTERVAL_MS.max(members as u64 * BATCH_MS_PER_MEMBER);
        self.next_batch_ms = now_ms + (interval_ms << doublings);
        if figures.is_empty() {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.batches.push_back(Batch { sequence, figures });
    }

    /// Returns the member that should hold the copies. The current choice is preferred among
    /// equally suitable members.
    pub fn choose_replica<'members>(
        &self,
        members: &'members [Member],
        failure_domain: &str,
    ) -> Option<&'members Member> {
        let is_eligible = |member: &&Member| {
            member.instance != self.instance
                && !member.leaving
                && !self.failed_replicas.contains(&member_id(member))
        };
        let eligible = members.iter().filter(is_eligible);
        eligible.max_by_key(|member| {
            let other_domain = *member.failure_domain != *failure_domain;
            let is_current = self.replica.as_ref() == Some(&member_id(member));
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(
                member.instance.as_bytes(),
                xxhash_rust::xxh3::xxh3_64(self.instance.as_bytes()),
            );
            (!member.suspect, other_domain, is_current, hash)
        })
    }

    /// Sets the member that holds the copies. `None` makes the members that failed to accept a copy
    /// eligible again.
    pub fn set_replica(&mut self, replica: Option<&Member>) {
        self.replica = replica.map(member_id);
        match replica {
            Some(member) => {
                self.copy_holders
                    .entry(member_id(member))
                    .or_insert_with(|| (member.clone(), 0));
            }
            None => self.failed_replicas.clear(),
        }
    }

    /// Returns the batches that the chosen member does not hold yet, in order.
    pub fn uncopied(&self) -> Vec<Batch> {
        let Some((_, copied)) = self
            .replica
            .as_ref()
            .and_then(|id| self.copy_holders.get(id))
        else {
            return Vec::new();
        };
        let batches = self.batches.iter();
        batches
            .filter(|batch| batch.sequence > *copied)
            .cloned()
            .collect()
    }

    /// Records that the member holds all batches up to `sequence`, and makes the members that
    /// failed to accept a copy eligible again.
    pub fn mark_copied(&mut self, member: &Member, sequence: u64) {
        if let Some((_, copied)) = self.copy_holders.get_mut(&member_id(member)) {
            *copied = sequence;
        }
        self.failed_replicas.clear();
    }

    /// Records that the member did not accept a copy, so that another member is chosen.
    pub fn mark_copy_failed(&mut self, member: &Member) {
        self.failed_replicas.push(member_id(member));
    }

    /// Returns the first batch to append. The log is safer than any copy, so a batch without a copy
    /// is appended as well.
    pub fn next_to_append(&self) -> Option<&Batch> {
        self.batches.front()
    }

    /// Removes the batches up to `sequence`, which the log holds. Returns the members that hold
    /// copies of that batch.
    pub fn mark_appended(&mut self, sequence: u64) -> Vec<Member> {
        self.batches.retain(|batch| batch.sequence > sequence);
        let notified = self.copy_holders.values();
        let notified: Vec<Member> = notified
            .filter(|(_, copied)| *copied >= sequence)
            .map(|(member, _)| member.clone())
            .collect();
        let replica = self.replica.clone();
        self.copy_holders
            .retain(|id, (_, copied)| *copied > sequence || replica.as_ref() == Some(id));
        notified
    }

    /// Returns the batches that are not confirmed to be in the log, in order.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter()
    }

    /// Returns the number of batches that are not confirmed to be in the log.
    pub fn pending(&self) -> usize {
        self.batches.len()
    }

    /// Returns the instance and incarnation that these counts belong to.
    pub fn source(&self) -> (&Arc<str>, u64) {
        (&self.instance, self.incarnation)
    }
}

/// Returns the instance and incarnation of a member.
fn member_id(member: &Member) -> (Arc<str>, u64) {
    (member.instance.clone(), member.incarnation)
}
