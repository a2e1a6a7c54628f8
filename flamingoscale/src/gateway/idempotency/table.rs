//! The table of idempotency keys that one instance stores. A decision core without I/O.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Time in milliseconds for which an instance remembers a key, counted from the moment at which it
/// stored the key.
pub(crate) const KEY_LIFETIME_MS: u64 = 600_000;

/// Maximum number of keys in the table. When it is full, new keys are refused until old ones
/// expire.
const MAX_KEYS: usize = 100_000;

/// Maximum total size of stored answers, in bytes. Beyond it the oldest answers are evicted, while
/// their keys stay in the table.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Hash of an idempotency key together with its organisation and service, so that callers can't
/// collide with keys of other organisations or services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScopedKey(pub u128);

/// An answer that is stored so that it can be replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// HTTP headers of the answer, in the order in which they were received.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Complete body of the answer.
    pub body: bytes::Bytes,
}

/// Progress of the first request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The request may be running.
    Started,
    /// The request ran. The answer is `None` if it was too large to store or has been evicted.
    Finished(Option<CachedAnswer>),
    /// The request may have run, and its answer will not become available.
    Unknown,
}

/// The owner's decision about a request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// This is the first request with the key; run it.
    First,
    /// An earlier request had the same key; this is its progress.
    Repeated(Progress),
    /// The key was used before for a different request.
    Mismatch,
    /// The key can't be stored because the table is full; the request is not run.
    TableFull,
    /// No reachable instance knows the key's history.
    HistoryUnknown,
}

/// State of a key that is replicated to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCopy {
    /// Hash of the scoped key.
    pub key: ScopedKey,
    /// Hash of the request, by which reuse of the key for a different request is detected.
    pub fingerprint: u64,
    /// Progress of that request, as stored by the sender.
    pub progress: Progress,
    /// Milliseconds since the sender stored the key. The receiver drops a copy that is 10 minutes
    /// old or older.
    pub age_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    progress: Progress,
    started_ms: u64,
}

/// The keys that one instance stores as owner or backup.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyTable {
    entries: HashMap<ScopedKey, Entry>,
    /// Keys in the order in which they were stored, each with that time in milliseconds.
    expiry_queue: VecDeque<(u64, ScopedKey)>,
    /// Keys with a stored answer, oldest first.
    answer_queue: VecDeque<ScopedKey>,
    /// Total size of the stored answers.
    answer_bytes: usize,
}

impl IdempotencyTable {
    /// Claims a key for a request. Returns [`Claim::First`] if the key was unknown and is now
    /// stored.
    pub(crate) fn claim(&mut self, key: ScopedKey, fingerprint: u64, now_ms: u64) -> Claim {
        self.remove_expired(now_ms);
        let current = self.lookup(key, fingerprint);
        if current != Claim::First {
            return current;
        }
        if self.entries.len() >= MAX_KEYS {
            return Claim::TableFull;
        }
        self.expiry_queue.push_back((now_ms, key));
        let entry = Entry {
            fingerprint,
            progress: Progress::Started,
            started_ms: now_ms,
        };
        self.entries.insert(key, entry);
        Claim::First
    }

    /// Returns the state of a key without claiming it; [`Claim::First`] if the key is not stored.
    pub(crate) fn lookup(&self, key: ScopedKey, fingerprint: u64) -> Claim {
        match self.entries.get(&key) {
            None => Claim::First,
            Some(entry) if entry.fingerprint != fingerprint => Claim::Mismatch,
            Some(entry) => Claim::Repeated(entry.progress.clone()),
        }
    }

    /// Records the outcome of a key's first request. [`Progress::Finished`] is final: a later
    /// outcome is ignored.
    pub(crate) fn finish(&mut self, key: ScopedKey, progress: Progress) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if matches!(entry.progress, Progress::Finished(_)) {
            return;
        }
        if let Progress::Finished(Some(answer)) = &progress {
            self.answer_bytes += answer.body.len();
            self.answer_queue.push_back(key);
        }
        entry.progress = progress;
        self.evict_answers();
    }

    /// Removes a key whose request did not run.
    pub(crate) fn release(&mut self, key: ScopedKey) {
        self.remove(key);
    }

    /// Merges the state of a key from another instance. An outcome takes precedence over
    /// [`Progress::Started`].
    pub(crate) fn merge_copy(&mut self, copy: KeyCopy, now_ms: u64) {
        if copy.age_ms >= KEY_LIFETIME_MS {
            return;
        }
        let claim = self.claim(copy.key, copy.fingerprint, now_ms);
        if !matches!(claim, Claim::Mismatch | Claim::TableFull)
            && copy.progress != Progress::Started
        {
            self.finish(copy.key, copy.progress);
        }
    }

    /// Returns copies of all keys, to be transferred to their new replicas.
    pub(crate) fn copies(&self, now_ms: u64) -> Vec<KeyCopy> {
        let entries = self.entries.iter();
        entries
            .map(|(key, entry)| KeyCopy {
                key: *key,
                fingerprint: entry.fingerprint,
                progress: entry.progress.clone(),
                age_ms: now_ms.saturating_sub(entry.started_ms),
            })
            .collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((started_ms, key)) = self.expiry_queue.front().copied() {
            if started_ms + KEY_LIFETIME_MS > now_ms {
                return;
            }
            self.expiry_queue.pop_front();
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.started_ms == started_ms) {
                self.remove(key);
            }
        }
    }

    fn remove(&mut self, key: ScopedKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.answer_bytes -= cached_bytes(&entry.progress);
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(key) = self.answer_queue.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.answer_bytes -= cached_bytes(&entry.progress);
                if matches!(entry.progress, Progress::Finished(_)) {
                    entry.progress = Progress::Finished(None);
                }
            }
        }
    }
}

fn cached_bytes(progress: &Progress) -> usize {
    match progress {
        Progress::Finished(Some(answer)) => answer.body.len(),
        _ => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEY: ScopedKey = ScopedKey(7);

    fn answer(bytes: usize) -> Progress {
        Progress::Finished(Some(CachedAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![b'a'; bytes].into(),
        }))
    }

    #[test]
    fn a_repeated_key_returns_the_first_answer_and_another_body_a_mismatch() {
        let mut table = IdempotencyTable::default();
        assert_eq!(table.claim(KEY, 1, 0), Claim::First);
        assert_eq!(table.claim(KEY, 1, 1), Claim::Repeated(Progress::Started));
        assert_eq!(table.claim(KEY, 2, 1), Claim::Mismatch);
        table.finish(KEY, answer(3));
        assert_eq!(table.claim(KEY, 1, 2), Claim::Repeated(answer(3)));
        table.finish(KEY, Progress::Unknown);
        assert_eq!(table.claim(KEY, 1, 2), Claim::Repeated(answer(3)));
    }

    #[test]
    fn a_released_key_can_be_claimed_again() {
        let mut table = IdempotencyTable::default();
        table.claim(KEY, 1, 0);
        table.release(KEY);
        assert_eq!(table.claim(KEY, 1, 1), Claim::First);
    }

    #[test]
    fn a_key_claimed_again_after_release_expires_a_full_lifetime_later() {
        let mut table = IdempotencyTable::default();
        table.claim(KEY, 1, 0);
        table.release(KEY);
        table.claim(KEY, 1, 1_000);
        let claim = table.claim(KEY, 1, KEY_LIFETIME_MS + 500);
        assert_eq!(claim, Claim::Repeated(Progress::Started));
        assert_eq!(table.claim(KEY, 1, KEY_LIFETIME_MS + 1_000), Claim::First);
    }

    #[test]
    fn evicted_answers_leave_their_keys_in_the_table() {
        let mut table = IdempotencyTable::default();
        for key in 0..3 {
            table.claim(ScopedKey(key), 1, 0);
            table.finish(ScopedKey(key), answer(MAX_ANSWER_BYTES / 2));
        }
        let first = table.claim(ScopedKey(0), 1, 0);
        assert_eq!(first, Claim::Repeated(Progress::Finished(None)));
        assert!(table.answer_bytes <= MAX_ANSWER_BYTES);
    }
}
