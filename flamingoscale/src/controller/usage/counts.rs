//! This instance's own counts on their way into the log.

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

/// Time between two batches while the log takes them.
const BATCH_INTERVAL_MS: u64 = 2_000;

/// At many instances each makes a batch less often, so that all together append a bounded number
/// of records a replica.
const BATCH_MS_PER_MEMBER: u64 = 50;

/// Batches that wait before the interval doubles; it doubles with each as many more.
const BATCHES_PER_DOUBLING: usize = 4;

/// The interval doubles at most this often, so that an hour without the log is a few dozen
/// batches.
const MAX_DOUBLINGS: usize = 6;

/// Counts that are never changed again once they have a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Counts one up.
    pub sequence: u64,
    /// Figures by organisation.
    pub figures: Figures,
}

/// Batches of this instance that the log does not hold yet.
#[derive(Clone, Debug)]
pub struct Counts {
    instance: Arc<str>,
    incarnation: u64,
    batches: VecDeque<Batch>,
    next_sequence: u64,
    next_batch_ms: u64,
    /// The last sequence copied to each member that holds copies.
    holders: BTreeMap<(Arc<str>, u64), (Member, u64)>,
    replica: Option<(Arc<str>, u64)>,
    failed: Vec<(Arc<str>, u64)>,
}

impl Counts {
    /// Nothing counted yet.
    pub fn new(instance: Arc<str>, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            batches: VecDeque::new(),
            next_sequence: 1,
            next_batch_ms: 0,
            holders: BTreeMap::new(),
            replica: None,
            failed: Vec::new(),
        }
    }

    /// Whether the next batch is to be taken.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_batch_ms
    }

    /// Makes a batch of what was counted since the last one; `members` live instances do so.
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

    /// Chooses who should hold the copies. A member is_current chosen while it is there.
    pub fn choose_replica<'members>(
        &self,
        members: &'members [Member],
        failure_domain: &str,
    ) -> Option<&'members Member> {
        let is_eligible = |member: &&Member| {
            member.instance != self.instance
                && !member.leaving
                && !self.failed.contains(&id(member))
        };
        let eligible = members.iter().filter(is_eligible);
        eligible.max_by_key(|member| {
            let other_domain = *member.failure_domain != *failure_domain;
            let is_current = self.replica.as_ref() == Some(&id(member));
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(
                member.instance.as_bytes(),
                xxhash_rust::xxh3::xxh3_64(self.instance.as_bytes()),
            );
            (!member.suspect, other_domain, is_current, hash)
        })
    }

    /// Takes the choice in. Without a choice those that failed are tried again.
    pub fn set_replica(&mut self, replica: Option<&Member>) {
        self.replica = replica.map(id);
        match replica {
            Some(member) => {
                self.holders
                    .entry(id(member))
                    .or_insert_with(|| (member.clone(), 0));
            }
            None => self.failed.clear(),
        }
    }

    /// The batches that the chosen member does not hold, in order.
    pub fn uncopied(&self) -> Vec<Batch> {
        let Some((_, copied)) = self.replica.as_ref().and_then(|id| self.holders.get(id)) else {
            return Vec::new();
        };
        let batches = self.batches.iter();
        batches
            .filter(|batch| batch.sequence > *copied)
            .cloned()
            .collect()
    }

    /// The member holds this batch.
    pub fn mark_copied(&mut self, member: &Member, sequence: u64) {
        if let Some((_, copied)) = self.holders.get_mut(&id(member)) {
            *copied = sequence;
        }
        self.failed.clear();
    }

    /// The member did not take a copy: another is to be chosen.
    pub fn mark_copy_failed(&mut self, member: &Member) {
        self.failed.push(id(member));
    }

    /// The first batch, if it may be appended: the log is safer than any copy, so a batch without
    /// a copy goes too.
    pub fn next_to_append(&self) -> Option<&Batch> {
        self.batches.front()
    }

    /// The log holds the batches up to this one. Returns who held copies of it.
    pub fn mark_appended(&mut self, sequence: u64) -> Vec<Member> {
        self.batches.retain(|batch| batch.sequence > sequence);
        let notified = self.holders.values();
        let notified: Vec<Member> = notified
            .filter(|(_, copied)| *copied >= sequence)
            .map(|(member, _)| member.clone())
            .collect();
        let replica = self.replica.clone();
        self.holders
            .retain(|id, (_, copied)| *copied > sequence || replica.as_ref() == Some(id));
        notified
    }

    /// The batches that the log does not hold for certain, in order.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter()
    }

    /// Batches that wait.
    pub fn pending(&self) -> usize {
        self.batches.len()
    }

    /// Whose counts these are.
    pub fn source(&self) -> (&Arc<str>, u64) {
        (&self.instance, self.incarnation)
    }
}

fn id(member: &Member) -> (Arc<str>, u64) {
    (member.instance.clone(), member.incarnation)
}
