//! Storage keys and cache for the texts of samples.
//!
//! Every instance reads all results, but only the texts that it needs: with 84 instances the texts
//! alone would use four fifths of the store's read rate if every instance read them. A text is
//! written before the result that refers to it. See `docs/design/shared-store.md`.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    ledger::Ledger,
    record::{
        PartialText,
        SampleResult, //
    },
    sampling::SampleId, //
};

/// Where the text of a sample is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextLocation {
    /// Key of the record that holds the text.
    pub key: Arc<str>,
    /// Index of the text within the record.
    pub index: u32,
    /// Length of the text in bytes.
    pub bytes: u32,
}

/// The texts of one record; [`TextLocation::index`] selects one of them.
pub type Texts = Rc<[Arc<str>]>;

/// Number of partitions of the topic for texts, so that a reader of one batch's texts reads few
/// other texts. A trainer has at most two open batches, so three or four trainers have up to eight.
pub const PARTITIONS: u32 = 8;

/// Returns the key of a record of texts. The records of one batch by the same writer have adjacent
/// keys.
pub fn text_key(submitted_unix_ms: u64, batch: &str, writer: &str, serial: u64) -> String {
    format!(
        "{}{writer}.{serial:08}",
        text_key_prefix(submitted_unix_ms, batch)
    )
}

/// Returns the key prefix of a batch's texts.
pub fn text_key_prefix(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{submitted_unix_ms:013}/{batch}/")
}

/// Returns the partition of a key from [`text_key`] or a prefix from [`text_key_prefix`]. All texts
/// of a batch share one partition.
pub fn partition(key: &str) -> u32 {
    let (time, rest) = key.split_once('/').unwrap_or((key, ""));
    let batch = rest.rsplit_once('/').map_or(rest, |(batch, _)| batch);
    let hash = xxh3_64(format!("{time}/{batch}").as_bytes());
    u32::try_from(hash % u64::from(PARTITIONS)).unwrap_or(0)
}

/// Returns the key of a record of a model's unfinished texts. The records of one writer sort by their
/// serial numbers.
pub fn checkpoint_key(model: &str, writer: &str, serial: u64) -> String {
    format!("{}{writer}.{serial:08}", checkpoint_key_prefix(model))
}

/// Returns the key prefix of a model's unfinished texts.
pub fn checkpoint_key_prefix(model: &str) -> String {
    format!("{model}/")
}

/// Returns the part of a key from [`checkpoint_key`] that all records of one writer share.
pub fn checkpoint_writer(key: &str) -> &str {
    key.rsplit_once('.').map_or(key, |(writer, _)| writer)
}

/// A range of keys with both bounds excluded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// Lower bound; smaller than the first key.
    pub after: String,
    /// Upper bound; greater than the last key.
    pub before: String,
}

/// Returns ranges that cover the keys from [`text_key`], one range for each batch and writer.
pub fn key_ranges(mut keys: Vec<Arc<str>>) -> Vec<KeyRange> {
    let writer = |key: &str| {
        key.rsplit_once('.')
            .map_or(key, |(writer, _)| writer)
            .to_owned()
    };
    keys.sort();
    let keys_by_writer = keys.chunk_by(|a, b| writer(a) == writer(b));
    let range = |keys: &[Arc<str>]| {
        let (first, last) = (keys.first()?, keys.last()?);
        Some(KeyRange {
            after: key_just_below(first),
            before: format!("{last}~"),
        })
    };
    keys_by_writer.filter_map(range).collect()
}

/// Returns a string that sorts before the given key, but after the key with the previous serial
/// number.
fn key_just_below(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last = last.saturating_sub(1);
    }
    bytes.push(b'~');
    String::from_utf8(bytes).unwrap_or_default()
}

/// Returns how many of the results fit into a page of `max_bytes`. The first result always fits,
/// even if it exceeds the limit.
pub fn page_length<'a>(results: impl Iterator<Item = &'a SampleResult>, max_bytes: usize) -> usize {
    let mut bytes = 0;
    results
        .take_while(|result| {
            let first = bytes == 0;
            let text = result.text.as_ref().map_or(0, |text| text.bytes);
            bytes += text as usize + RESULT_BYTES;
            first || bytes <= max_bytes
        })
        .count()
}

/// Upper bound for the size of a result in bytes, without its text.
const RESULT_BYTES: usize = 200;

/// Merges texts of unfinished samples that another instance stored into `partials`. The longest
/// text of each open sample is kept; of two texts of one length, the one that is known to be
/// complete.
pub fn merge_unfinished(
    partials: &mut HashMap<SampleId, PartialText>,
    stored: impl IntoIterator<Item = PartialText>,
    ledger: &Ledger,
) {
    for partial in stored {
        let is_open = ledger.is_sample_open(&partial.batch, &partial.sample);
        let id = (partial.batch.clone(), partial.sample.clone());
        let length = |partial: &PartialText| (partial.last_event, partial.complete);
        let is_longer = partials
            .get(&id)
            .is_none_or(|existing| length(existing) < length(&partial));
        if is_open && is_longer {
            partials.insert(id, partial);
        }
    }
}

/// A cache of texts that were recently read or written. Entries are evicted in insertion order.
#[derive(Debug)]
pub struct TextCache {
    texts: HashMap<Arc<str>, Texts>,
    /// Keys in the order of insertion.
    order: VecDeque<Arc<str>>,
    bytes: usize,
    max_bytes: usize,
}

impl TextCache {
    /// Creates a cache that holds up to `max_bytes` of texts.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            texts: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns the texts of the record with this key, or `None` if they are not cached.
    pub fn get(&self, key: &str) -> Option<Texts> {
        self.texts.get(key).cloned()
    }

    /// Caches the texts of a record and evicts the oldest entries beyond the limit.
    pub fn insert(&mut self, key: Arc<str>, texts: Texts) {
        if self.texts.contains_key(&key) {
            return;
        }
        self.bytes += text_bytes(&texts);
        self.order.push_back(key.clone());
        self.texts.insert(key, texts);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            let evicted = self.texts.remove(&oldest);
            self.bytes -= evicted.map_or(0, |texts| text_bytes(&texts));
        }
    }
}

fn text_bytes(texts: &[Arc<str>]) -> usize {
    texts.iter().map(|text| text.len()).sum()
}

#[cfg(test)]
mod tests;
