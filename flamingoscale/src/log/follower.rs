//! Where the next records come from: the log, a relay, or whoever knows more.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use crate::{
    log::{
        relays,
        LogStatus,
        ReplicaStatus, //
    },
    state::{
        snapshot::{
            Assembler,
            Chunk, //
        },
        State, //
    },
    view::Member, //
};

/// How long a read may wait at the log for a first record.
const READ_LONG_POLL_MS: u64 = 500;

/// How long a peer that failed or could not vouch is passed over.
const PEER_BACKOFF_MS: u64 = 1_000;

/// Pause between two reads of a relay while the log is away.
const RELAY_PROBE_INTERVAL_MS: u64 = 250;

/// Pause between two reads of any other instance while the log is away.
const FOLLOWER_PROBE_INTERVAL_MS: u64 = 2_000;

/// Pause while there is nobody to ask.
const IDLE_PAUSE_MS: u64 = 100;

/// How long to look for a snapshot before concluding that the log has none.
const SCAN_TIMEOUT_MS: u64 = 10_000;

/// Where to read next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The log, from this offset on.
    Log { from: u64, wait_ms: u64 },
    /// A peer, from the first offset that isn't folded.
    Peer(Member),
    /// Nobody, for a while.
    Pause { wait_ms: u64 },
}

/// The search for a snapshot after records that this instance needs have left the log.
#[derive(Debug, Default)]
struct Scan {
    since_ms: u64,
    next: u64,
    is_at_head: bool,
    queried: BTreeSet<Arc<str>>,
    /// Whether a peer gave no answer that can be read since all were asked anew.
    has_unanswered_peer: bool,
    /// Whether a record of a newer build was passed.
    has_newer_record: bool,
    assembler: Assembler,
    newest: Option<Box<State>>,
}

/// How far the search for a snapshot is.
#[derive(Debug)]
pub(crate) enum ScanStep {
    /// Read on.
    Continue,
    /// This is the newest state that the log has.
    Found(Box<State>),
    /// There is no snapshot, nor a peer that knows more.
    NotFound,
}

/// Chooses where to read, from what became of earlier reads.
pub(crate) struct Follower {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    backoff_until_ms: BTreeMap<Arc<str>, u64>,
    /// Whether this instance's own last read failed.
    is_failing: bool,
    /// Whether the relay said so of its own.
    is_relay_failing: bool,
    next_probe_ms: u64,
    /// A peer that knows of later records.
    peer_ahead: Option<Arc<str>>,
    scan: Option<Scan>,
}

impl Follower {
    pub(crate) fn new(instance: Arc<str>, failure_domain: Arc<str>) -> Self {
        Self {
            instance,
            failure_domain,
            backoff_until_ms: BTreeMap::new(),
            is_failing: false,
            is_relay_failing: false,
            next_probe_ms: 0,
            peer_ahead: None,
            scan: None,
        }
    }

    /// Whether this instance's own last read of the log failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether this instance reads the log for others.
    pub(crate) fn is_relay(&self, members: &[Member]) -> bool {
        relays::is_relay(members, &self.instance, &self.failure_domain)
    }

    /// Chooses the next read.
    pub(crate) fn next(&mut self, now_ms: u64, members: &[Member], folded: u64) -> Source {
        if self.scan.is_some() {
            return self.next_in_scan(members);
        }
        if let Some(peer) = self.take_ahead(members) {
            return Source::Peer(peer);
        }
        let is_relay = self.is_relay(members);
        if self.is_failing || (self.is_relay_failing && !is_relay) {
            return self.next_while_failing(now_ms, members, folded, is_relay);
        }
        let relay = self.usable_relay(now_ms, members);
        match relay.filter(|_| !is_relay) {
            Some(relay) => Source::Peer(relay),
            None => Source::Log {
                from: folded,
                wait_ms: READ_LONG_POLL_MS,
            },
        }
    }

    fn next_while_failing(
        &mut self,
        now_ms: u64,
        members: &[Member],
        folded: u64,
        is_relay: bool,
    ) -> Source {
        if now_ms >= self.next_probe_ms {
            let pause_ms = if is_relay {
                RELAY_PROBE_INTERVAL_MS
            } else {
                FOLLOWER_PROBE_INTERVAL_MS
            };
            self.next_probe_ms = now_ms + pause_ms;
            return Source::Log {
                from: folded,
                wait_ms: 0,
            };
        }
        match self.usable_relay(now_ms, members).filter(|_| !is_relay) {
            Some(relay) => Source::Peer(relay),
            None => Source::Pause {
                wait_ms: IDLE_PAUSE_MS,
            },
        }
    }

    fn next_in_scan(&mut self, members: &[Member]) -> Source {
        let own = &self.instance;
        let scan = self.scan.get_or_insert_with(Scan::default);
        let mut others = members.iter().filter(|member| member.instance != *own);
        if let Some(peer) = others.find(|member| !scan.queried.contains(&member.instance)) {
            scan.queried.insert(peer.instance.clone());
            return Source::Peer(peer.clone());
        }
        Source::Log {
            from: scan.next,
            wait_ms: if scan.is_at_head {
                READ_LONG_POLL_MS
            } else {
                0
            },
        }
    }

    fn take_ahead(&mut self, members: &[Member]) -> Option<Member> {
        let ahead = self.peer_ahead.take()?;
        let mut known = members.iter();
        known.find(|member| member.instance == ahead).cloned()
    }

    fn usable_relay(&self, now_ms: u64, members: &[Member]) -> Option<Member> {
        let mut relays = relays::relays(members, &self.failure_domain).into_iter();
        let usable = relays.find(|relay| {
            let backoff_until_ms = self.backoff_until_ms.get(&relay.instance);
            relay.instance != self.instance && backoff_until_ms.is_none_or(|until| now_ms >= *until)
        });
        usable.cloned()
    }

    /// A read of the log worked.
    pub(crate) fn log_read(&mut self) {
        self.is_failing = false;
        self.is_relay_failing = false;
    }

    /// A read of the log failed.
    pub(crate) fn log_failed(&mut self, now_ms: u64, members: &[Member]) {
        let pause_ms = if self.is_relay(members) {
            RELAY_PROBE_INTERVAL_MS
        } else {
            FOLLOWER_PROBE_INTERVAL_MS
        };
        self.is_failing = true;
        self.next_probe_ms = now_ms + pause_ms;
    }

    /// A peer answered. One that is not fresh itself is passed over for a while, so that this
    /// instance looks for itself.
    pub(crate) fn peer_answered(&mut self, now_ms: u64, peer: &Arc<str>, status: &ReplicaStatus) {
        let is_relay_failing = status.log_status == LogStatus::Unreachable;
        if is_relay_failing && !self.is_relay_failing {
            self.next_probe_ms = now_ms;
        }
        self.is_relay_failing = is_relay_failing;
        if status.fresh_for_ms.is_none() && !self.is_failing {
            self.back_off(now_ms, peer);
        }
    }

    /// A peer did not answer.
    pub(crate) fn peer_failed(&mut self, now_ms: u64, peer: &Arc<str>) {
        if let Some(scan) = &mut self.scan {
            scan.has_unanswered_peer = true;
        }
        self.back_off(now_ms, peer);
    }

    fn back_off(&mut self, now_ms: u64, peer: &Arc<str>) {
        self.backoff_until_ms.retain(|_, until| now_ms < *until);
        let until_ms = now_ms + PEER_BACKOFF_MS;
        self.backoff_until_ms.insert(peer.clone(), until_ms);
    }

    /// A peer knows of later records; read from it next.
    pub(crate) fn peer_is_ahead(&mut self, peer: &Arc<str>) {
        self.peer_ahead = Some(peer.clone());
    }

    /// Records that this instance needs have left the log, which begins at `earliest` now.
    pub(crate) fn truncated(&mut self, now_ms: u64, earliest: u64) {
        let scan = self.scan.get_or_insert_with(|| Scan {
            since_ms: now_ms,
            ..Scan::default()
        });
        if scan.next < earliest {
            scan.next = earliest;
        }
    }

    /// Whether a snapshot is looked for.
    pub(crate) fn is_scanning(&self) -> bool {
        self.scan.is_some()
    }

    /// Takes a chunk that was read while looking for a snapshot. The newest one counts, not the
    /// last: a slow writer may append an older one late.
    pub(crate) fn add_scanned_chunk(&mut self, chunk: Chunk) {
        let Some(scan) = &mut self.scan else {
            return;
        };
        let Some(state) = scan.assembler.add(chunk) else {
            return;
        };
        let known = scan.newest.as_ref().map_or(0, |newest| newest.folded);
        if state.folded > known {
            scan.newest = Some(Box::new(state));
        }
    }

    /// Passed a record that only a newer build can read, so that the search can't be in vain.
    pub(crate) fn saw_newer_record(&mut self) {
        if let Some(scan) = &mut self.scan {
            scan.has_newer_record = true;
        }
    }

    /// Everything before `next` was looked at, in a log that begins at `earliest`. At the head,
    /// asks the peers once more.
    pub(crate) fn advance_scan(
        &mut self,
        now_ms: u64,
        next: u64,
        earliest: u64,
        head: u64,
    ) -> ScanStep {
        let Some(scan) = &mut self.scan else {
            return ScanStep::Continue;
        };
        scan.next = next;
        scan.is_at_head = next >= head;
        if !scan.is_at_head {
            return ScanStep::Continue;
        }
        // Records between a snapshot and the earliest one that is kept could not be folded.
        let usable = scan.newest.take().filter(|state| state.folded >= earliest);
        if let Some(state) = usable {
            return ScanStep::Found(state);
        }
        scan.queried.clear();
        let is_unanswered = std::mem::take(&mut scan.has_unanswered_peer);
        let is_unreadable = scan.has_newer_record || scan.assembler.has_unreadable();
        let is_timed_out = now_ms >= scan.since_ms + SCAN_TIMEOUT_MS;
        if !is_timed_out || is_unanswered || is_unreadable {
            return ScanStep::Continue;
        }
        scan.since_ms = now_ms;
        ScanStep::NotFound
    }

    /// The missing records are made up for.
    pub(crate) fn end_scan(&mut self) {
        self.scan = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::snapshot;

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

    /// An instance that is not a relay, and its relays.
    fn follower(members: &[Member]) -> (Follower, Arc<str>, Arc<str>) {
        let relays = relays::relays(members, "saiq");
        let names: Vec<Arc<str>> = relays.iter().map(|relay| relay.instance.clone()).collect();
        let own = members
            .iter()
            .find(|member| !names.contains(&member.instance));
        let own = own.expect("there are more members than relays");
        let follower = Follower::new(own.instance.clone(), "saiq".into());
        (follower, names[0].clone(), names[1].clone())
    }

    fn peer_of(source: &Source) -> Option<Arc<str>> {
        match source {
            Source::Peer(member) => Some(member.instance.clone()),
            _ => None,
        }
    }

    #[test]
    fn others_pull_from_a_relay_then_the_second_then_the_log() {
        let members = members(4);
        let (mut follower, first, second) = follower(&members);
        assert_eq!(peer_of(&follower.next(0, &members, 5)), Some(first.clone()));
        follower.peer_failed(0, &first);
        assert_eq!(
            peer_of(&follower.next(0, &members, 5)),
            Some(second.clone())
        );
        follower.peer_failed(0, &second);
        assert!(matches!(
            follower.next(0, &members, 5),
            Source::Log { from: 5, .. }
        ));
        let later = follower.next(PEER_BACKOFF_MS, &members, 5);
        assert_eq!(peer_of(&later), Some(first));
    }

    #[test]
    fn a_relay_that_finds_the_log_away_makes_others_look_for_themselves() {
        let members = members(4);
        let (mut follower, first, _) = follower(&members);
        let status = ReplicaStatus {
            folded: 5,
            fresh_for_ms: Some(3_000),
            log_status: LogStatus::Unreachable,
            denied: Vec::new(),
        };
        follower.peer_answered(0, &first, &status);
        assert!(matches!(follower.next(0, &members, 5), Source::Log { .. }));
        follower.log_failed(1, &members);
        assert_eq!(peer_of(&follower.next(2, &members, 5)), Some(first));
    }

    #[test]
    fn a_scan_asks_every_peer_before_it_reads_the_log() {
        let members = members(3);
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.truncated(0, 40);
        assert_eq!(peer_of(&follower.next(0, &members, 0)), Some("n1".into()));
        assert_eq!(peer_of(&follower.next(0, &members, 0)), Some("n2".into()));
        let source = follower.next(0, &members, 0);
        assert!(matches!(source, Source::Log { from: 40, .. }));
        let early = follower.advance_scan(1, 50, 40, 50);
        assert!(matches!(early, ScanStep::Continue));
        let late = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(late, ScanStep::NotFound));
    }

    #[test]
    fn a_search_is_not_in_vain_while_a_peer_or_a_newer_build_may_know_more() {
        let members = members(2);
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.truncated(0, 40);
        follower.peer_failed(0, &members[1].instance);
        let unanswered = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(unanswered, ScanStep::Continue));
        follower.saw_newer_record();
        let unreadable = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(unreadable, ScanStep::Continue));
    }

    #[test]
    fn the_newest_snapshot_counts_and_one_before_the_kept_records_does_not() {
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.truncated(0, 40);
        for folded in [45, 48, 41] {
            let state = State {
                folded,
                ..State::default()
            };
            for chunk in snapshot::chunks(&state) {
                follower.add_scanned_chunk(chunk);
            }
        }
        let ScanStep::Found(state) = follower.advance_scan(1, 60, 47, 60) else {
            panic!("a usable snapshot was read");
        };
        assert_eq!(state.folded, 48);
        let old = State {
            folded: 50,
            ..State::default()
        };
        for chunk in snapshot::chunks(&old) {
            follower.add_scanned_chunk(chunk);
        }
        assert!(matches!(
            follower.advance_scan(2, 60, 51, 60),
            ScanStep::Continue
        ));
    }
}
