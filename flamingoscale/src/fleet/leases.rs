//! Decides when an instance may claim a lease and how long the holder may act under it.
//!
//! The holder measures a lease from the time before it sent its last renewal, all other instances
//! from the time at which they read that renewal. No two clocks are compared; see
//! `docs/design/shared-store.md`.

use std::{
    cmp::Reverse,
    sync::Arc, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    cells::Cell,
    ledger::{
        LeaseState,
        Ledger, //
    },
    record::LeaseMessage, //
};

/// Durations that govern the leases of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time between renewals: about a third of `lease_ms`, so that the lease survives two lost
    /// renewals.
    pub renew_interval_ms: u64,
    /// How long a holder may act after it sent its last renewal. A renewal counts only once the
    /// holder has read it back.
    pub lease_ms: u64,
    /// How much longer than `lease_ms` other instances wait before a claim. The margin covers
    /// timers that fire late and a load order that is in flight.
    pub guard_ms: u64,
    /// Delay between the first complete read of the topic after a start and the first claim.
    pub startup_delay_ms: u64,
    /// Time that has to pass between two acts of an instance if another instance held the lease in
    /// between. The receivers of acts tolerate no faster alternation of holders.
    pub turn_ms: u64,
}

/// Prefix of the names of the leases under which samples run; the name of the model follows.
pub const RUN_LEASE_PREFIX: &str = "run/";

/// Margin that is added to the platform's turn time.
const TURN_MARGIN_MS: u64 = 500;

/// Returns the timing of the lease under which load orders and usage reports are sent. `turn_ms` is
/// the time within which the platform allows no alternation of holders. An instance that started
/// waits as long, because its previous incarnation may have acted.
pub const fn control_timing(turn_ms: u64) -> LeaseTiming {
    LeaseTiming {
        renew_interval_ms: 600,
        lease_ms: 2_000,
        guard_ms: 700,
        startup_delay_ms: turn_ms + TURN_MARGIN_MS,
        turn_ms: turn_ms + TURN_MARGIN_MS,
    }
}

/// Timing of the leases under which samples run. Two simultaneous holders only duplicate work, so a
/// takeover may happen sooner.
pub const SAMPLING_TIMING: LeaseTiming = LeaseTiming {
    renew_interval_ms: 450,
    lease_ms: 1_400,
    guard_ms: 400,
    startup_delay_ms: 400,
    turn_ms: 0,
};

/// An instance sends nothing under a lease that expires sooner than this.
const MIN_REMAINING_MS: u64 = 200;

/// Additional delay before the first claim of a lease that was never held. By then all instances of
/// a new deployment have sent a heartbeat and are in the claim order, so that the leases are spread
/// over them.
pub const FIRST_CLAIM_DELAY_MS: u64 = 2_000;

/// Additional delay for each rank in the claim order, so that two instances rarely claim a lease at
/// the same time.
pub const RANK_DELAY_MS: u64 = 300;

/// Additional delay before an instance that reaches no endpoint claims a lease, so that any other
/// instance that does may claim it first.
pub const LOST_LINKS_DELAY_MS: u64 = 4_000;

/// An instance is considered dead when its last heartbeat is older than this: three heartbeat
/// intervals plus a margin.
pub const MEMBER_TIMEOUT_MS: u64 = 3_500;

/// An instance that may claim leases, and the times that decide how soon it may do so.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// The cell of the instance, which decides in which order it may claim a lease.
    pub cell: Cell,
    /// When the process started, in monotonic milliseconds.
    pub started_ms: u64,
    /// When the instance first read the topic to its end, in monotonic milliseconds.
    pub caught_up_ms: u64,
    /// When reads and appends of the instance last began to succeed, in monotonic milliseconds.
    pub connected_since_ms: u64,
    /// Whether the instance reaches endpoints, without which no lease is of use.
    pub links: LinkState,
}

/// What an instance knows of its links to the endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// An endpoint has answered recently.
    Confirmed,
    /// No endpoint has been asked recently.
    #[default]
    Unconfirmed,
    /// No endpoint can be reached.
    Lost,
}

impl Candidate {
    /// Returns a lease message from this instance, sent now.
    pub fn message(&self, lease: &Arc<str>, epoch: u64, now_ms: u64) -> LeaseMessage {
        LeaseMessage {
            lease: lease.clone(),
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            epoch,
            sent_ms: now_ms,
        }
    }
}

/// Returns the instances that are alive, ready and not leaving, in the order in which they may
/// claim a lease.
///
/// Instances with more CPU come first, because the holder of a model's lease reads the events of
/// the model's samples, several hundred a second. A hash orders instances of equal size differently
/// for each lease. Instances that reach no endpoint come last.
pub fn claim_order(ledger: &Ledger, lease: &str, now_ms: u64) -> Vec<Arc<str>> {
    let mut members: Vec<(bool, Reverse<u32>, u64, Arc<str>)> = ledger
        .members
        .values()
        .filter(|member| now_ms.saturating_sub(member.seen_ms) < MEMBER_TIMEOUT_MS)
        .filter(|member| member.heartbeat.ready && !member.heartbeat.leaving)
        .map(|member| {
            let name = &member.heartbeat.instance;
            let hash = xxh3_64(format!("{lease}\n{name}").as_bytes());
            let millicores = Reverse(member.heartbeat.millicores);
            (ledger.has_lost_links(name), millicores, hash, name.clone())
        })
        .collect();
    members.sort();
    members.into_iter().map(|(_, _, _, name)| name).collect()
}

/// Returns the epoch to claim the lease with, or `None` if the instance should not claim it now.
///
/// The caller must have read the topic to its end within about the last second.
pub fn claim_epoch(
    ledger: &Ledger,
    lease: &str,
    timing: LeaseTiming,
    candidate: &Candidate,
    now_ms: u64,
) -> Option<u64> {
    let current = ledger.leases.get(lease);
    let has_lost_links = candidate.links == LinkState::Lost;
    let own_state = current.filter(|state| state.last_message.holder == candidate.instance);
    if let Some(state) = own_state.filter(|_| !has_lost_links) {
        // The previous incarnation of this instance has ended. A claim that it had in flight was
        // read before the first record of this incarnation, or never takes effect.
        if state.last_message.incarnation < candidate.incarnation {
            let member = ledger.members.get(&candidate.instance);
            let read_own_record =
                member.is_some_and(|member| member.heartbeat.incarnation == candidate.incarnation);
            return read_own_record.then_some(state.last_message.epoch + 1);
        }
    }
    let startup_end_ms = candidate.caught_up_ms + timing.startup_delay_ms;
    let due_ms = match current {
        None => startup_end_ms + FIRST_CLAIM_DELAY_MS,
        Some(state) => startup_end_ms.max(vacant_from_ms(ledger, state, timing, candidate)),
    };
    let due_ms = due_ms
        + if has_lost_links {
            LOST_LINKS_DELAY_MS
        } else {
            0
        };
    if now_ms < due_ms {
        return None;
    }
    let rank = claim_rank(ledger, lease, candidate, now_ms)?;
    let epoch = current.map_or(0, |state| state.last_message.epoch) + 1;
    (now_ms >= due_ms + rank as u64 * RANK_DELAY_MS).then_some(epoch)
}

/// Returns when other instances may claim a lease, in monotonic milliseconds.
fn vacant_from_ms(
    ledger: &Ledger,
    state: &LeaseState,
    timing: LeaseTiming,
    candidate: &Candidate,
) -> u64 {
    let holder = ledger.members.get(&state.last_message.holder);
    let holder_restarted =
        holder.is_some_and(|member| member.heartbeat.incarnation > state.last_message.incarnation);
    if state.released || holder_restarted {
        return state.seen_ms;
    }
    // After a store outage it takes a while until the holder's messages are read again.
    let from_ms = state.seen_ms.max(candidate.connected_since_ms);
    from_ms + timing.lease_ms + timing.guard_ms
}

/// Returns how many instances may claim a lease before this one: the cells take turns, and in each
/// cell the instances follow the claim order.
fn claim_rank(ledger: &Ledger, lease: &str, candidate: &Candidate, now_ms: u64) -> Option<usize> {
    let position = claim_order(ledger, lease, now_ms)
        .iter()
        .position(|name| *name == candidate.instance)?;
    Some(position * candidate.cell.count as usize + candidate.cell.rank(lease))
}

/// The message that an instance should append for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Append nothing.
    Idle,
    /// Renew the lease.
    Renew {
        /// Epoch of the claim that is renewed.
        epoch: u64,
        /// Fencing number of the lease.
        term: u64,
    },
    /// Claim the lease.
    Claim {
        /// Epoch of the claim.
        epoch: u64,
    },
    /// Make sure that the instance reaches endpoints, because a claim is due.
    ConfirmLinks,
    /// Append [`Record::TurnPassed`](super::record::Record::TurnPassed).
    RecordTurn {
        /// Fencing number of the lease.
        term: u64,
    },
}

/// Permission to send one request under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The fencing number of the request.
    pub term: u64,
    /// Latest time at which the request may be written to its connection, in monotonic
    /// milliseconds. It has to be checked after the connection was established, because connecting
    /// takes time and the process may be paused meanwhile.
    pub send_before_ms: u64,
    /// Time at which the request has to be answered or its connection reset, in monotonic
    /// milliseconds: before any other instance acts.
    pub end_before_ms: u64,
}

/// State of a lease that only this process knows, in addition to the records in the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalLease {
    /// The term that was held at the last call of [`LocalLease::next_action`].
    held_term: Option<u64>,
    /// When `held_term` was first held, in monotonic milliseconds.
    held_since_ms: u64,
    /// When a record of a passed turn was last sent, in monotonic milliseconds.
    turn_sent_ms: Option<u64>,
    /// The term under which this process has stopped acting.
    released_term: Option<u64>,
    /// When the last renewal was sent, in monotonic milliseconds.
    renewal_sent_ms: Option<u64>,
    /// When the last claim was sent, in monotonic milliseconds; `None` if no claim was sent or the
    /// store refused it.
    claim_sent_ms: Option<u64>,
    /// Term of the last request that this process sent under the lease, and the time by which the
    /// request had ended, in monotonic milliseconds.
    last_act: Option<(u64, u64)>,
}

impl LocalLease {
    /// Updates the held term from the ledger and returns the message to append now.
    ///
    /// `fresh` says whether the topic was read to its end within about the last second.
    pub fn next_action(
        &mut self,
        ledger: &Ledger,
        lease: &str,
        timing: LeaseTiming,
        candidate: &Candidate,
        (fresh, now_ms): (bool, u64),
    ) -> LeaseAction {
        let state = self.own_lease(ledger, lease, candidate);
        let held_term = state.map(|state| state.term);
        if self.held_term != held_term {
            self.held_term = held_term;
            self.held_since_ms = now_ms;
        }
        let is_recent = |sent_ms: u64| now_ms.saturating_sub(sent_ms) < timing.renew_interval_ms;
        if let Some(state) = state {
            let recently_sent = is_recent(state.last_message.sent_ms)
                || self.renewal_sent_ms.is_some_and(is_recent);
            if recently_sent {
                let turn_due = self.turn_record_due(ledger, state, timing, now_ms);
                if !turn_due || self.turn_sent_ms.is_some_and(is_recent) {
                    return LeaseAction::Idle;
                }
                self.turn_sent_ms = Some(now_ms);
                return LeaseAction::RecordTurn { term: state.term };
            }
            self.renewal_sent_ms = Some(now_ms);
            return LeaseAction::Renew {
                epoch: state.last_message.epoch,
                term: state.term,
            };
        }
        // The store keeps only one claim of each instance. A second claim would replace the first,
        // which other instances may already have read. No claim is sent until the previous one has
        // been read back.
        let read_claim_sent_ms =
            ledger.last_claim_sent_ms(lease, &candidate.instance, candidate.incarnation);
        if !fresh
            || self
                .claim_sent_ms
                .is_some_and(|sent_ms| read_claim_sent_ms < Some(sent_ms))
        {
            return LeaseAction::Idle;
        }
        let epoch = claim_epoch(ledger, lease, timing, candidate, now_ms);
        epoch.map_or(LeaseAction::Idle, |epoch| {
            if candidate.links == LinkState::Unconfirmed {
                return LeaseAction::ConfirmLinks;
            }
            self.claim_sent_ms = Some(now_ms);
            LeaseAction::Claim { epoch }
        })
    }

    /// Returns whether the store should learn that the turn of the holder has passed: the last other
    /// holder had stopped when this one began, or stopped within the duration of a lease, and the
    /// turn time has passed since.
    fn turn_record_due(
        &self,
        ledger: &Ledger,
        state: &LeaseState,
        timing: LeaseTiming,
        now_ms: u64,
    ) -> bool {
        let turn_end_ms = self.held_since_ms + timing.lease_ms + timing.guard_ms + timing.turn_ms;
        timing.turn_ms > 0
            && !ledger.is_turn_recorded(state)
            && (state.turn_passed || now_ms >= turn_end_ms)
    }

    /// Records that the store definitely did not append the last claim, so that the claim may be
    /// repeated.
    pub fn claim_refused(&mut self) {
        self.claim_sent_ms = None;
    }

    /// Stops acting under the lease. Returns the epoch and the term of the lease if it was held.
    pub fn release(&mut self, ledger: &Ledger, lease: &str) -> Option<(u64, u64)> {
        let term = self.held_term.take()?;
        self.released_term = Some(term);
        let state = ledger.leases.get(lease)?;
        Some((state.last_message.epoch, term))
    }

    /// Returns the term that was held at the last call of [`LocalLease::next_action`].
    pub fn held_term(&self) -> Option<u64> {
        self.held_term
    }

    /// Returns the fencing number under which the instance may act now, or `None` if it may not
    /// act.
    ///
    /// Only messages that were read back count, because an acknowledged renewal may come after
    /// another instance's claim in the log. The holder measures from the time before it sent the
    /// message. Other instances measure from the time at which they read the holder's last message.
    /// A new holder waits in the same way until the previous holder's lease has expired.
    pub fn active_term(
        &self,
        ledger: &Ledger,
        lease: &str,
        timing: LeaseTiming,
        candidate: &Candidate,
        now_ms: u64,
    ) -> Option<u64> {
        let state = self.own_lease(ledger, lease, candidate)?;
        let from_ms = state.previous_holder_seen_ms;
        let from_ms = from_ms.map_or(0, |seen_ms| seen_ms + timing.lease_ms + timing.guard_ms);
        let unexpired = now_ms.saturating_sub(state.last_message.sent_ms) < timing.lease_ms;
        (unexpired && now_ms >= from_ms).then_some(state.term)
    }

    /// Returns the permission to send one request under the lease now, or `None` if the instance
    /// may not. The caller must send the request at once, and respect the times of the permission.
    ///
    /// The request ends before another instance acts, whatever becomes of its connection, so a
    /// receiver that checks no fencing numbers still gets them in order. If another instance held
    /// the lease since this one last acted, the request also waits until the receiver allows turns.
    pub fn authorize(
        &mut self,
        ledger: &Ledger,
        lease: &str,
        timing: LeaseTiming,
        candidate: &Candidate,
        now_ms: u64,
    ) -> Option<Authority> {
        let term = self.active_term(ledger, lease, timing, candidate, now_ms)?;
        let state = ledger.leases.get(lease)?;
        let expires_ms = state.last_message.sent_ms + timing.lease_ms;
        let other_held = state.previous_holder.is_some() && !state.turn_passed;
        // Before its first act, the previous incarnation may have acted until the process started.
        let (last_term, last_act_ms) = self.last_act.unwrap_or((0, candidate.started_ms));
        let waits_for_turn =
            last_term != term && other_held && now_ms < last_act_ms + timing.turn_ms;
        if waits_for_turn || now_ms + MIN_REMAINING_MS > expires_ms {
            return None;
        }
        let end_before_ms = expires_ms + timing.guard_ms / 2;
        self.last_act = Some((term, end_before_ms));
        Some(Authority {
            term,
            send_before_ms: expires_ms,
            end_before_ms,
        })
    }

    /// Returns the lease if, according to the ledger, this incarnation holds it.
    fn own_lease<'a>(
        &self,
        ledger: &'a Ledger,
        lease: &str,
        candidate: &Candidate,
    ) -> Option<&'a LeaseState> {
        let state = ledger.leases.get(lease)?;
        let message = &state.last_message;
        let is_own =
            message.holder == candidate.instance && message.incarnation == candidate.incarnation;
        let not_released = !state.released && self.released_term != Some(state.term);
        (is_own && not_released).then_some(state)
    }
}

#[cfg(test)]
mod tests;
