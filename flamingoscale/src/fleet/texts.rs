//! Where the texts of samples are kept, and who reads them.
//!
//! Results go to every instance, their texts only to the instances that are asked for them: at 84
//! instances the texts alone would take four fifths of the store's reading rate. A text is written
//! before the result that names it. See `docs/design/shared-store.md`.

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
        Partial,
        SampleResult, //
    },
    sampling::SampleId, //
};

/// Where the text of one sample is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextLocation {
    /// Key of the record that holds it.
    pub key: Arc<str>,
    /// Its place in that record.
    pub index: u32,
    /// Its length.
    pub bytes: u32,
}

/// The texts of one record.
pub type Texts = Rc<[Arc<str>]>;

/// Partitions that the texts are spread over, so that reading one batch's texts reads few others.
/// A trainer has two batches open at most; with three or four trainers that makes eight.
pub const PARTITIONS: u32 = 8;

/// Returns the key of a record of texts. Records that one writer makes for one batch follow one
/// another in the order of keys.
pub fn text_key(submitted_unix_ms: u64, batch: &str, writer: &str, serial: u64) -> String {
    format!(
        "{}{writer}.{serial:08}",
        text_key_prefix(submitted_unix_ms, batch)
    )
}

/// Returns where the keys of a batch's texts begin.
pub fn text_key_prefix(submitted_unix_ms: u64, batch: &str) -> String {
    format!("{submitted_unix_ms:013}/{batch}/")
}

/// Returns the partition of a key made by [`text_key`] or of where a batch's keys begin: the same
/// for all keys of a batch.
pub fn partition(key: &str) -> u32 {
    let (time, rest) = key.split_once('/').unwrap_or((key, ""));
    let batch = rest.rsplit_once('/').map_or(rest, |(batch, _)| batch);
    let hash = xxh3_64(format!("{time}/{batch}").as_bytes());
    u32::try_from(hash % u64::from(PARTITIONS)).unwrap_or(0)
}

/// Returns the key of the unfinished texts that one instance holds for a model.
pub fn unfinished_key(model: &str, instance: &str) -> String {
    format!("{}{instance}", unfinished_key_prefix(model))
}

/// Returns where the keys of a model's unfinished texts begin.
pub fn unfinished_key_prefix(model: &str) -> String {
    format!("{model}/")
}

/// Keys to read in one go: all that are greater than the first and smaller than the second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// Below the first key wanted.
    pub after: String,
    /// Above the last key wanted.
    pub before: String,
}

/// Returns the key_ranges that cover some keys: one for each writer of a batch's texts.
pub fn key_ranges(mut keys: Vec<Arc<str>>) -> Vec<KeyRange> {
    let writer = |key: &str| {
        key.rsplit_once('.')
            .map_or(key, |(writer, _)| writer)
            .to_owned()
    };
    keys.sort();
    let of_writers = keys.chunk_by(|a, b| writer(a) == writer(b));
    let range = |keys: &[Arc<str>]| {
        let (first, last) = (keys.first()?, keys.last()?);
        Some(KeyRange {
            after: key_just_below(first),
            before: format!("{last}~"),
        })
    };
    of_writers.filter_map(range).collect()
}

/// Returns a key that is smaller than the given one and greater than that of the serial before.
fn key_just_below(key: &str) -> String {
    let mut bytes = key.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last = last.saturating_sub(1);
    }
    bytes.push(b'~');
    String::from_utf8(bytes).unwrap_or_default()
}

/// Returns how many results fit into one answer of `max_bytes`; at least one if there is one.
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

/// Bytes of a result beside its text, at most.
const RESULT_BYTES: usize = 200;

/// Takes in unfinished texts that another instance left. The longest text of a sample holds.
pub fn merge_unfinished(
    known: &mut HashMap<SampleId, Partial>,
    left: impl IntoIterator<Item = Partial>,
    ledger: &Ledger,
) {
    for partial in left {
        let open = ledger.is_open(&partial.batch, &partial.sample);
        let id = (partial.batch.clone(), partial.sample.clone());
        let longer = known
            .get(&id)
            .is_none_or(|known| known.last_event < partial.last_event);
        if open && longer {
            known.insert(id, partial);
        }
    }
}

/// Texts that were read or written lately; those that came first go first.
#[derive(Debug)]
pub struct TextCache {
    texts: HashMap<Arc<str>, Texts>,
    order: VecDeque<Arc<str>>,
    bytes: usize,
    max_bytes: usize,
}

impl TextCache {
    /// Returns a cache that holds up to `max_bytes` of texts.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            texts: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns the texts of a record.
    pub fn get(&self, key: &str) -> Option<Texts> {
        self.texts.get(key).cloned()
    }

    /// Keeps the texts of a record.
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
