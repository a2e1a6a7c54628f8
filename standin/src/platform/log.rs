//! The append-only log, with retention and a rate limit on appends.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::wire::{
    LogEntry,
    ReadResponse, //
};

use super::PlatformSettings;

/// Maximum number of entries in one response.
const MAX_READ_ENTRIES: usize = 1_000;

pub(super) struct LogStore {
    entries: VecDeque<(Instant, String)>,
    earliest_offset: u64,
    retention: Duration,
    appends_per_s: f64,
    /// Number of appends that the rate limiter admits now; refilled at `appends_per_s`.
    available_tokens: f64,
    refilled_at: Instant,
    pub(super) appends: u64,
}

impl LogStore {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let appends_per_s = f64::from(settings.appends_per_s);
        Self {
            entries: VecDeque::new(),
            earliest_offset: 0,
            retention: Duration::from_millis(settings.retention_ms),
            appends_per_s,
            available_tokens: appends_per_s,
            refilled_at: Instant::now(),
            appends: 0,
        }
    }

    pub(super) fn head(&self) -> u64 {
        self.earliest_offset + self.entries.len() as u64
    }

    /// Takes a token for one append from the rate limiter; returns false if the limit is reached.
    pub(super) fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled_at).as_secs_f64() * self.appends_per_s;
        self.available_tokens = (self.available_tokens + refill).min(self.appends_per_s);
        self.refilled_at = now;
        let has_token = self.available_tokens >= 1.0;
        if has_token {
            self.available_tokens -= 1.0;
        }
        has_token
    }

    pub(super) fn append(&mut self, records: Vec<String>) -> u64 {
        let first_offset = self.head();
        let now = Instant::now();
        self.appends += 1;
        self.entries
            .extend(records.into_iter().map(|record| (now, record)));
        first_offset
    }

    pub(super) fn truncate(&mut self, keep: usize) {
        while self.entries.len() > keep {
            self.entries.pop_front();
            self.earliest_offset += 1;
        }
    }

    fn expire(&mut self) {
        while let Some((appended, _)) = self.entries.front() {
            if appended.elapsed() < self.retention {
                return;
            }
            self.entries.pop_front();
            self.earliest_offset += 1;
        }
    }

    /// Reads up to `max` entries starting at offset `from`. Returns no entries if `from` is older than
    /// the earliest retained offset.
    pub(super) fn read(&mut self, from: u64, max: usize) -> ReadResponse {
        self.expire();
        let skipped = from.saturating_sub(self.earliest_offset) as usize;
        let is_retained = from >= self.earliest_offset;
        let count = if is_retained {
            max.min(MAX_READ_ENTRIES)
        } else {
            0
        };
        let entries = self.entries.iter().skip(skipped).take(count);
        let entries = entries.enumerate().map(|(index, (_, data))| LogEntry {
            offset: from + index as u64,
            data: data.clone(),
        });
        ReadResponse {
            entries: entries.collect(),
            earliest: self.earliest_offset,
            head: self.head(),
        }
    }
}
