//! Decides how an instance follows a topic of the store, and so how late it may be after a failure.
//!
//! Once the store answers an instance again, what was acknowledged before has to be in force within a
//! bound, whatever the failure was. The time that passes is a sum: the read that got no answer, the
//! pause after it, the interval until the next read, a read that finds its records deleted, the read of
//! the newest records, and the time for which an endpoint that is missing in the list is kept.
//! [`Lateness`] divides the bound among these, and nothing else sets them. See
//! `docs/design/reading.md`.

use rand_chacha::ChaCha8Rng;

use super::pacing::{
    Pacing,
    BASE_PAUSE_MS, //
};

/// Smallest bound that is divided. In the parts of a smaller one, a slow store would not answer.
const MIN_CONTACT_MS: u64 = 3_000;

/// Maximum time for which a read waits for a record. A dead connection is noticed only after it.
const MAX_WAIT_MS: u64 = 1_000;

/// Maximum time for which an endpoint is kept that is missing in the list after a failure: entries that
/// expired during an outage are written again within about two seconds of its end.
const GRACE_MS: u64 = 1_500;

/// A failed read counts as recent for this long: entries may expire after the end of an outage, too.
const FAILURE_WINDOW_MS: u64 = 5_000;

/// How late an instance may be with what it follows, and the parts of that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lateness {
    contact_ms: u64,
}

impl Lateness {
    /// Returns the lateness of a deployment whose instances count as in contact with the store this
    /// long after a failure.
    pub fn new(contact_ms: u64) -> Self {
        Self {
            contact_ms: contact_ms.max(MIN_CONTACT_MS),
        }
    }

    /// Returns the time after the end of a failure by which everything is in force. The rest of the bound
    /// is left to requests that are under way.
    fn total_ms(self) -> u64 {
        self.contact_ms - self.contact_ms / 15
    }

    /// Returns the timeout of a read of records from an offset on, beyond the time that it waits for them.
    fn call_ms(self) -> u64 {
        self.contact_ms / 6
    }

    /// Returns the timeout of a read of the newest records, which is larger and has no successor that
    /// could find its records deleted.
    fn newest_ms(self) -> u64 {
        self.contact_ms / 2
    }

    /// Returns the longest pause after a failed read.
    fn max_pause_ms(self) -> u64 {
        self.contact_ms / 5
    }

    /// Returns how long a read waits for a record: what the other parts leave of the total.
    fn wait_ms(self, interval_ms: u64) -> u64 {
        let others_ms = interval_ms + Pacing::longest_ms(BASE_PAUSE_MS) + 3 * self.call_ms();
        self.total_ms().saturating_sub(others_ms).min(MAX_WAIT_MS)
    }
}

/// A topic that an instance follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topic {
    /// Time between a read that reached the end and the next one, at the most.
    pub interval_ms: u64,
    /// Whether reads wait for records.
    pub waits: bool,
}

impl Topic {
    /// Configuration, keys, announced versions and evacuations.
    pub const OPERATOR: Self = Self {
        interval_ms: 0,
        waits: true,
    };

    /// Instances, leases, and batches that have begun or ended. The interval is a fraction of the time
    /// after which an instance may claim a lease.
    pub const FLEET: Self = Self {
        interval_ms: 150,
        waits: true,
    };

    /// Heartbeats of a cell.
    pub const HEARTBEATS: Self = Self {
        interval_ms: 400,
        waits: true,
    };

    /// Batches of the models whose samples the instance runs. The interval lets one read return the
    /// records of several instances.
    pub const BATCHES: Self = Self {
        interval_ms: 40,
        waits: true,
    };

    /// The list of endpoints. The interval is a fifth of the two seconds within which a draining endpoint
    /// must stop getting work.
    pub const ENDPOINTS: Self = Self {
        interval_ms: 400,
        waits: false,
    };
}

/// The next read of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextRead {
    /// Offset of the first record; `None` to read the newest record of each key.
    pub from: Option<u64>,
    /// How long the store waits for a record.
    pub wait_ms: u64,
    /// When the read is given up.
    pub timeout_ms: u64,
    /// Size of the page, in kilobytes.
    pub page_kb: u64,
}

/// The progress of one instance in one topic.
#[derive(Clone, Debug)]
pub struct Following {
    lateness: Lateness,
    topic: Topic,
    pacing: Pacing,
    next_offset: Option<u64>,
    /// Whether the last page was read from an offset and reached the end, and no read has failed since.
    at_end: bool,
    /// Whether the last read failed.
    failing: bool,
    /// When the last answer of the store arrived, in monotonic milliseconds.
    answered_ms: Option<u64>,
    last_failure_ms: Option<u64>,
    /// The earliest time at which the last failure may have ended; `None` after a page without a
    /// failure before it.
    doubtful_since_ms: Option<u64>,
}

impl Following {
    /// Returns the state before the first read.
    pub fn new(lateness: Lateness, topic: Topic) -> Self {
        Self {
            lateness,
            topic,
            pacing: Pacing::new(lateness.max_pause_ms()),
            next_offset: None,
            at_end: false,
            failing: false,
            answered_ms: None,
            last_failure_ms: None,
            doubtful_since_ms: None,
        }
    }

    /// Returns the offset of the next record; `None` if the newest records have to be read first.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Goes on at an offset, because the records before it were read in another way.
    pub fn continue_at(&mut self, offset: u64) {
        self.next_offset = Some(offset);
    }

    /// Returns whether the last page was read from an offset and reached the end, and no read has failed
    /// since.
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Returns whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Returns the read to send now. After a failure, reads do not wait for records, so that the next
    /// failure is noticed soon.
    pub fn next_read(&self) -> NextRead {
        let waits = self.topic.waits && self.at_end;
        let wait_ms = match waits {
            true => self.lateness.wait_ms(self.topic.interval_ms),
            false => 0,
        };
        NextRead {
            from: self.next_offset,
            wait_ms,
            timeout_ms: match self.next_offset {
                Some(_) => wait_ms + self.lateness.call_ms(),
                None => self.lateness.newest_ms(),
            },
            page_kb: self.pacing.page_kb(),
        }
    }

    /// Returns the time until the next read after one that the store answered. What is known to be there
    /// is read at once.
    pub fn interval_ms(&self) -> u64 {
        match self.at_end {
            true => self.topic.interval_ms,
            false => 0,
        }
    }

    /// Records a page that goes up to `next_offset`. The newest records are not a snapshot, so what was
    /// written while they were read is read at once.
    pub fn page_read(&mut self, next_offset: u64, end_offset: u64, now_ms: u64) {
        if self.at_end {
            self.doubtful_since_ms = None;
        }
        self.pacing.succeeded();
        self.at_end = self.next_offset.is_some() && next_offset >= end_offset;
        self.next_offset = Some(next_offset);
        self.failing = false;
        self.answered_ms = Some(now_ms);
    }

    /// Records that the records at the offset are deleted. This is an answer of the store, so the newest
    /// records are read at once.
    pub fn records_deleted(&mut self, now_ms: u64) {
        if !self.failing && self.at_end {
            self.doubtful_since_ms = self.answered_ms;
        }
        self.next_offset = None;
        self.at_end = false;
        self.failing = false;
        self.answered_ms = Some(now_ms);
    }

    /// Records that a read failed that was sent at `sent_ms`. Returns the pause before the next one.
    pub fn failed(&mut self, sent_ms: u64, now_ms: u64, random: &mut ChaCha8Rng) -> u64 {
        // The connection of the first read that fails may have been dead since the last answer.
        self.doubtful_since_ms = match self.failing {
            true => Some(sent_ms),
            false => self.answered_ms,
        };
        self.at_end = false;
        self.failing = true;
        self.last_failure_ms = Some(now_ms);
        self.pacing.failed(random)
    }

    /// Returns until when an endpoint is kept that is missing in the page that was just read. If another
    /// writer's record `hides` its own, it is kept like one that is missing after a failure.
    pub fn keep_until_ms(&self, hides: bool, now_ms: u64) -> u64 {
        let failed_ms = self.last_failure_ms;
        let has_failed = failed_ms.is_some_and(|it| now_ms.saturating_sub(it) < FAILURE_WINDOW_MS);
        if !has_failed && !hides {
            return now_ms;
        }
        let latest_ms = self
            .doubtful_since_ms
            .map(|it| it + self.lateness.total_ms());
        let kept_ms = now_ms + GRACE_MS;
        latest_ms.map_or(kept_ms, |latest_ms| kept_ms.min(latest_ms).max(now_ms))
    }
}

#[cfg(test)]
mod tests;
