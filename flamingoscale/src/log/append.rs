//! Appends records to the log: batched, rate-limited, retried after a lost answer, and completed
//! when the record is read back.
//!
//! Each record carries a serial, which its writer assigns in ascending order. At most one call is
//! in flight, and every call starts at the lowest serial that is not known to be appended. The
//! first copy of a record in the log therefore follows the first copies of all lower serials that
//! were not abandoned. This lets the fold drop any record whose serial is not above the last serial
//! that it folded from the same writer.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use bytes::Bytes;

use crate::{
    platform::PlatformError,
    record::{
        self,
        Envelope,
        Record, //
    },
    state::{
        Rejection,
        SubmitError, //
    }, //
};

/// Rate limit for append calls, shared equally by all instances.
const MAX_CALLS_PER_S: u64 = 200;

/// Number of calls that may be made in a burst after an idle period.
const MAX_BURST_CALLS: u64 = 4;

/// Maximum number of records in one call.
const MAX_BATCH_RECORDS: usize = 64;

/// Maximum size of one call, unless a single record is larger.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Backoff after the first failed call; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 50;

/// Maximum backoff after failed calls.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Identifies a submission across retries under different serials.
pub(crate) type Ticket = u64;

/// The ticket of a completed submission, and the offset of its record or the error.
pub(crate) type SubmissionResult = (Ticket, Result<u64, SubmitError>);

/// Whether a record that has not been read back is in the log.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AppendState {
    /// The record is not in the log.
    Unsent,
    /// The record may be in the log: the answer to an append was lost.
    Uncertain,
    /// The log confirmed the append.
    Appended,
}

/// A record that waits to be appended or read back.
struct PendingRecord {
    ticket: Ticket,
    serial: u64,
    record: Record,
    bytes: Bytes,
    deadline_ms: u64,
    state: AppendState,
}

/// The records of this writer that wait to be appended or read back.
pub(crate) struct Appender {
    writer: Arc<str>,
    incarnation: u64,
    last_serial: u64,
    last_ticket: Ticket,
    pending: VecDeque<PendingRecord>,
    /// The highest serial of the call in flight.
    in_flight: Option<u64>,
    backoff_ms: u64,
    /// Earliest time of the next call, after a failed one.
    retry_at_ms: u64,
    /// Time at which the next call is due under an even rate.
    next_call_ms: u64,
}

impl Appender {
    pub(crate) fn new(writer: Arc<str>, incarnation: u64) -> Self {
        Self {
            writer,
            incarnation,
            last_serial: 0,
            last_ticket: 0,
            pending: VecDeque::new(),
            in_flight: None,
            backoff_ms: 0,
            retry_at_ms: 0,
            next_call_ms: 0,
        }
    }

    /// Queues a record, to be retried until `deadline_ms`.
    ///
    /// # Errors
    ///
    /// [`Rejection::TooLarge`] if the record exceeds the maximum size of a log record.
    pub(crate) fn submit(
        &mut self,
        record: Record,
        deadline_ms: u64,
    ) -> Result<Ticket, SubmitError> {
        self.last_ticket += 1;
        self.queue(self.last_ticket, record, deadline_ms)?;
        Ok(self.last_ticket)
    }

    fn queue(
        &mut self,
        ticket: Ticket,
        record: Record,
        deadline_ms: u64,
    ) -> Result<(), SubmitError> {
        let serial = self.last_serial + 1;
        let envelope = Envelope {
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            serial,
            record,
        };
        let bytes = record::encode(&envelope).map_err(|_| SubmitError::Refused {
            reason: Rejection::TooLarge,
        })?;
        self.last_serial = serial;
        self.pending.push_back(PendingRecord {
            ticket,
            serial,
            record: envelope.record,
            bytes,
            deadline_ms,
            state: AppendState::Unsent,
        });
        Ok(())
    }

    /// Returns the records of the next call, if the rate limit and the backoff allow one now. Every
    /// instance gets an equal share of the rate limit.
    pub(crate) fn next_call(&mut self, now_ms: u64, members: usize) -> Option<Vec<Bytes>> {
        let interval_ms = (1_000 * members.max(1) as u64).div_ceil(MAX_CALLS_PER_S);
        let earliest_ms = self
            .next_call_ms
            .saturating_sub(interval_ms * MAX_BURST_CALLS);
        if self.in_flight.is_some() || now_ms < earliest_ms || now_ms < self.retry_at_ms {
            return None;
        }
        let batch = self.batch();
        if batch.is_empty() {
            return None;
        }
        self.next_call_ms = self.next_call_ms.max(now_ms) + interval_ms;
        Some(batch)
    }

    fn batch(&mut self) -> Vec<Bytes> {
        let mut batch = Vec::new();
        let mut size = 0;
        let unacknowledged = self.pending.iter();
        for pending in unacknowledged.filter(|pending| pending.state != AppendState::Appended) {
            size += pending.bytes.len();
            let is_full = batch.len() == MAX_BATCH_RECORDS || size > MAX_BATCH_BYTES;
            if is_full && !batch.is_empty() {
                break;
            }
            batch.push(pending.bytes.clone());
            self.in_flight = Some(pending.serial);
        }
        batch
    }

    /// Processes the answer to the call in flight.
    pub(crate) fn call_completed(&mut self, result: &Result<u64, PlatformError>, now_ms: u64) {
        let upto = self.in_flight.take().unwrap_or(0);
        let state = match result {
            Ok(_) => Some(AppendState::Appended),
            Err(PlatformError::Refused { .. }) => None,
            Err(_) => Some(AppendState::Uncertain),
        };
        let sent = self.pending.iter_mut();
        for pending in sent.filter(|pending| pending.serial <= upto) {
            if let Some(state) = state.filter(|_| pending.state != AppendState::Appended) {
                pending.state = state;
            }
        }
        self.backoff_ms = match result {
            Ok(_) => 0,
            Err(_) => (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS),
        };
        self.retry_at_ms = now_ms + self.backoff_ms;
    }

    /// Completes the submission of one of this writer's records with the result of the fold.
    pub(crate) fn record_folded(
        &mut self,
        serial: u64,
        result: Result<u64, Rejection>,
    ) -> Option<SubmissionResult> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.serial == serial)?;
        let pending = self.pending.remove(index)?;
        let outcome = match result {
            Ok(offset) => Ok(offset),
            Err(Rejection::Reserved) => {
                let (ticket, deadline_ms) = (pending.ticket, pending.deadline_ms);
                match self.queue(ticket, pending.record, deadline_ms) {
                    Ok(()) => return None,
                    Err(error) => Err(error),
                }
            }
            Err(Rejection::Repeated) => Err(SubmitError::Unknown),
            Err(reason) => Err(SubmitError::Refused { reason }),
        };
        Some((pending.ticket, outcome))
    }

    /// Ends submissions whose records a snapshot covers: they are in the log, but the result of
    /// their fold was not observed.
    pub(crate) fn end_covered_by_snapshot(&mut self, last_serial: u64) -> Vec<SubmissionResult> {
        self.end_matching(|pending| pending.serial <= last_serial)
    }

    /// Ends submissions that are past their deadline. A record that was sent and then abandoned can
    /// take effect only until a record with a later serial is folded.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<SubmissionResult> {
        self.end_matching(|pending| pending.deadline_ms <= now_ms)
    }

    fn end_matching(
        &mut self,
        is_finished: impl Fn(&PendingRecord) -> bool,
    ) -> Vec<SubmissionResult> {
        let in_flight = self.in_flight.unwrap_or(0);
        let mut ended = Vec::new();
        self.pending.retain(|pending| {
            if !is_finished(pending) {
                return true;
            }
            let is_unsent = pending.state == AppendState::Unsent && pending.serial > in_flight;
            let error = if is_unsent {
                SubmitError::LogUnavailable
            } else {
                SubmitError::Unknown
            };
            ended.push((pending.ticket, Err(error)));
            false
        });
        ended
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn appender() -> Appender {
        Appender::new("n1".into(), 7)
    }

    fn withdrawal(key: &str) -> Record {
        Record::KeyWithdrawn { key_id: key.into() }
    }

    fn serials(batch: &[Bytes]) -> Vec<u64> {
        let decoded = batch.iter().map(|bytes| record::decode(bytes));
        decoded
            .map(|envelope| {
                envelope
                    .expect("a record of this build can be decoded")
                    .serial
            })
            .collect()
    }

    fn lost_answer() -> Result<u64, PlatformError> {
        Err(PlatformError::Unknown { reason: "".into() })
    }

    fn refused_call() -> Result<u64, PlatformError> {
        Err(PlatformError::Refused { reason: "".into() })
    }

    #[test]
    fn after_a_lost_answer_the_same_serials_are_resent_first() {
        let mut appender = appender();
        appender.submit(withdrawal("a"), 9_000).unwrap();
        let first = appender.next_call(0, 1).expect("a call is due");
        appender.submit(withdrawal("b"), 9_000).unwrap();
        assert!(
            appender.next_call(0, 1).is_none(),
            "the second call must wait for the first"
        );
        appender.call_completed(&lost_answer(), 0);
        let second = appender.next_call(1_000, 1).expect("a call is due");
        assert_eq!(serials(&first), [1]);
        assert_eq!(serials(&second), [1, 2]);
        assert_eq!(first[0], second[0]);
    }

    #[test]
    fn only_a_record_that_was_never_sent_is_reported_as_not_appended() {
        let mut appender = appender();
        let uncertain = appender.submit(withdrawal("a"), 100).unwrap();
        appender.next_call(0, 1).expect("a call is due");
        appender.call_completed(&lost_answer(), 0);
        appender.next_call(60, 1).expect("a call is due");
        appender.call_completed(&refused_call(), 60);
        let unsent = appender.submit(withdrawal("b"), 100).unwrap();
        let ended = appender.expire(100);
        assert_eq!(ended[0], (uncertain, Err(SubmitError::Unknown)));
        assert_eq!(ended[1], (unsent, Err(SubmitError::LogUnavailable)));
    }

    #[test]
    fn a_record_in_flight_at_its_deadline_ends_as_unknown() {
        let mut appender = appender();
        let ticket = appender.submit(withdrawal("a"), 100).unwrap();
        appender.next_call(0, 1).expect("a call is due");
        let ended = appender.expire(100);
        assert_eq!(ended, [(ticket, Err(SubmitError::Unknown))]);
    }

    #[test]
    fn a_record_at_the_reserved_offset_is_retried_under_a_new_serial() {
        let mut appender = appender();
        let ticket = appender.submit(withdrawal("a"), 9_000).unwrap();
        appender.next_call(0, 1).expect("a call is due");
        appender.call_completed(&Ok(0), 0);
        assert_eq!(appender.record_folded(1, Err(Rejection::Reserved)), None);
        let retry = appender.next_call(100, 1).expect("a call is due");
        assert_eq!(serials(&retry), [2]);
        assert_eq!(appender.record_folded(2, Ok(1)), Some((ticket, Ok(1))));
    }

    #[test]
    fn calls_stay_within_the_share_of_the_rate_limit() {
        let mut appender = appender();
        let members = 20;
        let mut calls = 0;
        for now_ms in 0..10_000 {
            appender.submit(withdrawal("a"), 60_000).unwrap();
            if appender.next_call(now_ms, members).is_some() {
                appender.call_completed(&Ok(0), now_ms);
                calls += 1;
            }
        }
        let share = 10 * MAX_CALLS_PER_S / members as u64;
        assert!(
            calls <= share + MAX_BURST_CALLS + 1,
            "{calls} calls exceed the share"
        );
        assert!(calls >= share, "{calls} calls do not use the whole share");
    }
}
