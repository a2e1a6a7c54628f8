//! Chooses the source of the next records: the log, a relay, or a peer that is further ahead.

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

/// Long-poll time of a read of the log.
const READ_LONG_POLL_MS: u64 = 500;

/// How long to avoid a peer that failed to answer or was not fresh.
const PEER_BACKOFF_MS: u64 = 1_000;

/// Interval between reads of a relay while the log is unreachable.
const RELAY_PROBE_INTERVAL_MS: u64 = 250;

/// Interval between reads of an instance that is not a relay while the log is unreachable.
const FOLLOWER_PROBE_INTERVAL_MS: u64 = 2_000;

/// Pause while there is no peer to pull from.
const IDLE_PAUSE_MS: u64 = 100;

/// How long to scan the log for a snapshot before concluding that it holds none.
const SCAN_TIMEOUT_MS: u64 = 10_000;

/// The source of the next read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Read the log from this offset on, waiting up to `wait_ms` for the first record.
    Log { from: u64, wait_ms: u64 },
    /// Pull from this peer, starting at the first offset that is not folded.
    Peer(Member),
    /// Read nothing for this time.
    Pause { wait_ms: u64 },
}

/// The scan for a snapshot, which starts when records that this instance has not folded have left
/// the log.
#[derive(Debug, Default)]
struct Scan {
    started_ms: u64,
    next_offset: u64,
    is_at_head: bool,
    queried: BTreeSet<Arc<str>>,
    /// Whether a peer failed to give a readable answer since the peers were last queried.
    has_unanswered_peer: bool,
    /// Whether the scan skipped a record that only a newer build can read.
    has_newer_record: bool,
    assembler: Assembler,
    newest: Option<Box<State>>,
}

/// The result of one step of the scan for a snapshot.
#[derive(Debug)]
pub(crate) enum ScanStep {
    /// The scan must continue.
    Continue,
    /// The newest snapshot in the log.
    Found(Box<State>),
    /// There is no usable snapshot in the log, and no peer has a newer state.
    NotFound,
}

/// Chooses where to read next, depending on the results of earlier reads.
pub(crate) struct Follower {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    backoff_until_ms: BTreeMap<Arc<str>, u64>,
    /// Whether this instance's own last read of the log failed.
    is_log_failing: bool,
    /// Whether the last peer that answered reported that its own last read of the log failed;
    /// cleared by a successful read of the log.
    is_relay_failing: bool,
    next_probe_ms: u64,
    /// A peer that has folded later records than this instance.
    peer_ahead: Option<Arc<str>>,
    scan: Option<Scan>,
}

impl Follower {
    pub(crate) fn new(instance: Arc<str>, failure_domain: Arc<str>) -> Self {
        Self {
            instance,
            failure_domain,
            backoff_until_ms: BTreeMap::new(),
            is_log_failing: false,
            is_relay_failing: false,
            next_probe_ms: 0,
            peer_ahead: None,
            scan: None,
        }
    }

    /// Returns whether this instance's own last read of the log failed.
    pub(crate) fn is_log_failing(&self) -> bool {
        self.is_log_failing
    }

    /// Returns whether this instance is a relay, which reads the log for others.
    pub(crate) fn is_relay(&self, members: &[Member]) -> bool {
        relays::is_relay(members, &self.instance, &self.failure_domain)
    }

    /// Returns the source of the next read. Relays read the log; other instances pull from a relay
    /// and read the log only if no relay is usable.
    pub(crate) fn next_source(&mut self, now_ms: u64, members: &[Member], folded: u64) -> Source {
        if self.scan.is_some() {
            return self.next_source_in_scan(members);
        }
        if let Some(peer) = self.take_peer_ahead(members) {
            return Source::Peer(peer);
        }
        let is_relay = self.is_relay(members);
        if self.is_log_failing || (self.is_relay_failing && !is_relay) {
            return self.next_source_while_failing(now_ms, members, folded, is_relay);
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

    fn next_source_while_failing(
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

    fn next_source_in_scan(&mut self, members: &[Member]) -> Source {
        let own = &self.instance;
        let scan = self.scan.get_or_insert_with(Scan::default);
        let mut others = members.iter().filter(|member| member.instance != *own);
        if let Some(peer) = others.find(|member| !scan.queried.contains(&member.instance)) {
            scan.queried.insert(peer.instance.clone());
            return Source::Peer(peer.clone());
        }
        Source::Log {
            from: scan.next_offset,
            wait_ms: if scan.is_at_head {
                READ_LONG_POLL_MS
            } else {
                0
            },
        }
    }

    fn take_peer_ahead(&mut self, members: &[Member]) -> Option<Member> {
        let ahead = self.peer_ahead.take()?;
        let mut candidates = members.iter();
        candidates.find(|member| member.instance == ahead).cloned()
    }

    fn usable_relay(&self, now_ms: u64, members: &[Member]) -> Option<Member> {
        let mut relays = relays::relays(members, &self.failure_domain).into_iter();
        let usable = relays.find(|relay| {
            let backoff_until_ms = self.backoff_until_ms.get(&relay.instance);
            relay.instance != self.instance && backoff_until_ms.is_none_or(|until| now_ms >= *until)
        });
        usable.cloned()
    }

    /// Records a successful read of the log.
    pub(crate) fn log_read(&mut self) {
        self.is_log_failing = false;
        self.is_relay_failing = false;
    }

    /// Records a failed read of the log.
    pub(crate) fn log_failed(&mut self, now_ms: u64, members: &[Member]) {
        let pause_ms = if self.is_relay(members) {
            RELAY_PROBE_INTERVAL_MS
        } else {
            FOLLOWER_PROBE_INTERVAL_MS
        };
        self.is_log_failing = true;
        self.next_probe_ms = now_ms + pause_ms;
    }

    /// Records the answer of a peer. A peer that is not fresh is avoided for [`PEER_BACKOFF_MS`],
    /// so that this instance reads the log itself. While this instance cannot read the log, it
    /// avoids no such peer. The first answer that reports the log as unreachable, after one that
    /// did not, makes the next probe of the log due at once.
    pub(crate) fn peer_answered(&mut self, now_ms: u64, peer: &Arc<str>, status: &ReplicaStatus) {
        let is_relay_failing = status.log_status == LogStatus::Unreachable;
        if is_relay_failing && !self.is_relay_failing {
            self.next_probe_ms = now_ms;
        }
        self.is_relay_failing = is_relay_failing;
        if status.fresh_for_ms.is_none() && !self.is_log_failing {
            self.back_off(now_ms, peer);
        }
    }

    /// Records that a peer did not answer.
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

    /// Records that a peer has folded later records, so that the next read pulls from it.
    pub(crate) fn peer_is_ahead(&mut self, peer: &Arc<str>) {
        self.peer_ahead = Some(peer.clone());
    }

    /// Starts or continues the scan for a snapshot: records that this instance has not folded
    /// have left the log, which now begins at `earliest`.
    pub(crate) fn start_scan(&mut self, now_ms: u64, earliest: u64) {
        let scan = self.scan.get_or_insert_with(|| Scan {
            started_ms: now_ms,
            ..Scan::default()
        });
        if scan.next_offset < earliest {
            scan.next_offset = earliest;
        }
    }

    /// Returns whether a scan for a snapshot is in progress.
    pub(crate) fn is_scanning(&self) -> bool {
        self.scan.is_some()
    }

    /// Processes a snapshot chunk found by the scan. The snapshot with the highest offset wins
    /// rather than the one appended last, because a slow writer may append an older snapshot late.
    pub(crate) fn add_scanned_chunk(&mut self, chunk: Chunk) {
        let Some(scan) = &mut self.scan else {
            return;
        };
        let Some(state) = scan.assembler.add(chunk) else {
            return;
        };
        let newest_folded = scan.newest.as_ref().map_or(0, |newest| newest.folded);
        if state.folded > newest_folded {
            scan.newest = Some(Box::new(state));
        }
    }

    /// Records that the scan skipped a record that only a newer build can read. This record may
    /// hold a snapshot, so the scan must not end without a result.
    pub(crate) fn skipped_newer_record(&mut self) {
        if let Some(scan) = &mut self.scan {
            scan.has_newer_record = true;
        }
    }

    /// Records that the scan has read everything before `next`, in a log that begins at `earliest`.
    /// If the scan finds no snapshot up to the head of the log, it queries the peers once more.
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
        scan.next_offset = next;
        scan.is_at_head = next >= head;
        if !scan.is_at_head {
            return ScanStep::Continue;
        }
        // A snapshot older than `earliest` is unusable: the records in between are gone.
        let usable = scan.newest.take().filter(|state| state.folded >= earliest);
        if let Some(state) = usable {
            return ScanStep::Found(state);
        }
        scan.queried.clear();
        let is_unanswered = std::mem::take(&mut scan.has_unanswered_peer);
        let is_unreadable = scan.has_newer_record || scan.assembler.has_unreadable();
        let is_timed_out = now_ms >= scan.started_ms + SCAN_TIMEOUT_MS;
        if !is_timed_out || is_unanswered || is_unreadable {
            return ScanStep::Continue;
        }
        scan.started_ms = now_ms;
        ScanStep::NotFound
    }

    /// Ends the scan: the missing records are covered by a snapshot or a peer.
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

    /// Returns the follower of an instance that is not a relay, and the names of its two relays.
    fn follower(members: &[Member]) -> (Follower, Arc<str>, Arc<str>) {
        let relays = relays::relays(members, "saiq");
        let names: Vec<Arc<str>> = relays.iter().map(|relay| relay.instance.clone()).collect();
        let own = members
            .iter()
            .find(|member| !names.contains(&member.instance));
        let own = own.expect("one of the members is not a relay");
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
    fn a_follower_falls_back_to_the_second_relay_and_then_to_the_log() {
        let members = members(4);
        let (mut follower, first, second) = follower(&members);
        assert_eq!(
            peer_of(&follower.next_source(0, &members, 5)),
            Some(first.clone())
        );
        follower.peer_failed(0, &first);
        assert_eq!(
            peer_of(&follower.next_source(0, &members, 5)),
            Some(second.clone())
        );
        follower.peer_failed(0, &second);
        assert!(matches!(
            follower.next_source(0, &members, 5),
            Source::Log { from: 5, .. }
        ));
        let later = follower.next_source(PEER_BACKOFF_MS, &members, 5);
        assert_eq!(peer_of(&later), Some(first));
    }

    #[test]
    fn a_follower_reads_the_log_itself_when_its_relay_cannot() {
        let members = members(4);
        let (mut follower, first, _) = follower(&members);
        let status = ReplicaStatus {
            folded: 5,
            fresh_for_ms: Some(3_000),
            log_status: LogStatus::Unreachable,
            denied: Vec::new(),
        };
        follower.peer_answered(0, &first, &status);
        assert!(matches!(
            follower.next_source(0, &members, 5),
            Source::Log { .. }
        ));
        follower.log_failed(1, &members);
        assert_eq!(peer_of(&follower.next_source(2, &members, 5)), Some(first));
    }

    #[test]
    fn a_scan_queries_every_peer_before_it_reads_the_log() {
        let members = members(3);
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.start_scan(0, 40);
        assert_eq!(
            peer_of(&follower.next_source(0, &members, 0)),
            Some("n1".into())
        );
        assert_eq!(
            peer_of(&follower.next_source(0, &members, 0)),
            Some("n2".into())
        );
        let source = follower.next_source(0, &members, 0);
        assert!(matches!(source, Source::Log { from: 40, .. }));
        let before_timeout = follower.advance_scan(1, 50, 40, 50);
        assert!(matches!(before_timeout, ScanStep::Continue));
        let after_timeout = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(after_timeout, ScanStep::NotFound));
    }

    #[test]
    fn a_scan_continues_while_a_peer_has_not_answered_or_a_record_is_unreadable() {
        let members = members(2);
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.start_scan(0, 40);
        follower.peer_failed(0, &members[1].instance);
        let unanswered = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(unanswered, ScanStep::Continue));
        follower.skipped_newer_record();
        let unreadable = follower.advance_scan(SCAN_TIMEOUT_MS, 50, 40, 50);
        assert!(matches!(unreadable, ScanStep::Continue));
    }

    #[test]
    fn the_newest_snapshot_is_used_unless_it_predates_the_retained_records() {
        let mut follower = Follower::new("n0".into(), "saiq".into());
        follower.start_scan(0, 40);
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
            panic!("the scan must find the snapshot at offset 48");
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
