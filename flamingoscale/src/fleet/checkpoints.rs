//! Plans which parts of unfinished texts are stored, so that the next instance that runs the samples
//! resumes them instead of starting again.
//!
//! After all instances were killed at once, what was not stored is generated again, and the trainer
//! waits for it. Texts are therefore stored often, but each event only once: a checkpoint holds what
//! has been added since the one before. See `docs/design/shared-store.md`.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    record::PartialText,
    sampling::SampleId, //
};

/// The events that were added to the text of a sample since the part before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPart {
    /// Id of the batch.
    pub batch: Arc<str>,
    /// Id of the sample.
    pub sample: Arc<str>,
    /// Id of the last event of the part before; 0 if the text starts with this part.
    pub previous_event: u64,
    /// Id of the last event of this part.
    pub last_event: u64,
    /// Data of the events of this part, separated by line feeds.
    pub text: Arc<str>,
    /// Versions of the weights that generated the text up to this part.
    pub versions: Vec<u64>,
    /// Version of the software of the engines that generated the text.
    pub software: Arc<str>,
    /// Whether the text is complete and waits for its score only.
    pub complete: bool,
}

/// Records to store now, and records that no unfinished text needs any more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    /// Serial numbers of the new records, with their parts.
    pub records: Vec<(u64, Vec<TextPart>)>,
    /// Serial numbers of records to remove.
    pub obsolete: Vec<u64>,
}

/// How far the text of a sample is stored.
#[derive(Clone, Copy, Debug)]
struct StoredText {
    last_event: u64,
    bytes: usize,
    /// Digest of the stored bytes and of the software that generated them: a sample that was started
    /// again has another text.
    digest: u64,
    complete: bool,
}

/// What this instance has stored of the unfinished texts of one model.
#[derive(Debug, Default)]
pub struct Checkpoints {
    stored: HashMap<SampleId, StoredText>,
    /// The samples of each stored record.
    records: BTreeMap<u64, HashSet<SampleId>>,
    next_serial: u64,
}

impl Checkpoints {
    /// Returns the checkpoint to store now. It counts as stored from then on, so the caller must store
    /// it before any later one. `texts` are all unfinished texts of the model. A record holds at most
    /// `max_bytes` of text; a longer part is not stored.
    pub fn next<'a>(
        &mut self,
        texts: impl IntoIterator<Item = &'a PartialText>,
        max_bytes: usize,
    ) -> Checkpoint {
        let mut checkpoint = Checkpoint::default();
        let mut unfinished = HashSet::new();
        let mut record_bytes = 0;
        for text in texts {
            let id = (text.batch.clone(), text.sample.clone());
            unfinished.insert(id.clone());
            let Some(part) = self.next_part(&id, text) else {
                continue;
            };
            if part.text.len() > max_bytes {
                continue;
            }
            record_bytes += part.text.len();
            if checkpoint.records.is_empty() || record_bytes > max_bytes {
                record_bytes = part.text.len();
                checkpoint.records.push((self.next_serial, Vec::new()));
                self.next_serial += 1;
            }
            let stored = StoredText {
                last_event: text.last_event,
                bytes: text.text.len(),
                digest: digest(text, text.text.len()),
                complete: text.complete,
            };
            self.stored.insert(id.clone(), stored);
            if let Some((serial, parts)) = checkpoint.records.last_mut() {
                self.records.entry(*serial).or_default().insert(id);
                parts.push(part);
            }
        }
        self.stored.retain(|id, _| unfinished.contains(id));
        self.records.retain(|serial, samples| {
            let is_needed = !samples.is_disjoint(&unfinished);
            if !is_needed {
                checkpoint.obsolete.push(*serial);
            }
            is_needed
        });
        checkpoint
    }

    /// Forgets what was stored, because another instance may have removed it.
    pub fn forget(&mut self) {
        self.stored.clear();
        self.records.clear();
    }

    /// Returns what has been added to a text since its last part; `None` if nothing has.
    fn next_part(&self, id: &SampleId, text: &PartialText) -> Option<TextPart> {
        let stored = self.stored.get(id).filter(|stored| {
            let fits = stored.last_event <= text.last_event && stored.bytes <= text.text.len();
            fits && digest(text, stored.bytes) == stored.digest
        });
        let previous_event = stored.map_or(0, |stored| stored.last_event);
        let is_new = previous_event < text.last_event
            || text.complete && stored.is_none_or(|stored| !stored.complete);
        if !is_new {
            return None;
        }
        let added = stored.map_or(&*text.text, |stored| &text.text[stored.bytes..]);
        // A line feed separates the events of two parts.
        let added = match previous_event {
            0 => added,
            _ => added.strip_prefix('\n').unwrap_or(added),
        };
        Some(TextPart {
            batch: text.batch.clone(),
            sample: text.sample.clone(),
            previous_event,
            last_event: text.last_event,
            text: added.into(),
            versions: text.versions.clone(),
            software: text.software.clone(),
            complete: text.complete,
        })
    }
}

/// Returns a digest of the first bytes of a text and of the software that generated them.
fn digest(text: &PartialText, bytes: usize) -> u64 {
    let seed = xxh3_64(text.software.as_bytes());
    xxh3_64_with_seed(&text.text.as_bytes()[..bytes], seed)
}

/// Joins the parts that one instance stored, in the order in which it stored them. A part whose
/// predecessor is missing is left out with all that follow.
pub fn join_parts(parts: impl IntoIterator<Item = TextPart>) -> Vec<PartialText> {
    let mut joined: HashMap<SampleId, PartialText> = HashMap::new();
    for part in parts {
        let id = (part.batch.clone(), part.sample.clone());
        let text = match joined.get(&id) {
            _ if part.previous_event == 0 => part.text,
            Some(before) if before.last_event != part.previous_event => continue,
            Some(before) if part.last_event == part.previous_event => before.text.clone(),
            Some(before) => format!("{}\n{}", before.text, part.text).into(),
            None => continue,
        };
        let partial = PartialText {
            batch: part.batch,
            sample: part.sample,
            last_event: part.last_event,
            text,
            versions: part.versions,
            software: part.software,
            complete: part.complete,
        };
        joined.insert(id, partial);
    }
    joined.into_values().collect()
}

#[cfg(test)]
mod tests;
