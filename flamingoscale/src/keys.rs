//! API keys of callers, stored as digests only and compared in constant time.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use base64::{
    engine::general_purpose::URL_SAFE_NO_PAD,
    Engine as _, //
};
use rand::{
    Rng,
    RngExt as _, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// Number of random bytes in the secret part of a key.
const SECRET_BYTES: usize = 32;

/// Number of random bytes in a key id.
const ID_BYTES: usize = 6;

/// Maximum number of withdrawn keys that stay in the table.
const MAX_WITHDRAWN_KEYS: usize = 4_096;

/// SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// One granted key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Id of the key.
    pub key_id: Arc<str>,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Organisation that owns the key.
    pub organisation: Arc<str>,
    /// Whether the key was withdrawn. A withdrawal is permanent.
    pub withdrawn: bool,
}

/// All keys, indexed by id. The id is the public part of the presented key, so the timing of the
/// lookup reveals nothing about the secret. The digest is then compared in constant time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    entries: BTreeMap<Arc<str>, KeyEntry>,
    /// Ids of withdrawn keys, in order of withdrawal.
    withdrawn: VecDeque<Arc<str>>,
}

impl KeyTable {
    /// Adds a key, unless a key with its id exists.
    pub fn grant(&mut self, entry: KeyEntry) {
        self.entries.entry(entry.key_id.clone()).or_insert(entry);
    }

    /// Withdraws a key and returns whether it was in force.
    pub fn withdraw(&mut self, key_id: &str) -> bool {
        match self.entries.get_mut(key_id) {
            Some(entry) if !entry.withdrawn => {
                entry.withdrawn = true;
                self.withdrawn.push_back(entry.key_id.clone());
                self.evict_oldest_withdrawn();
                true
            }
            _ => false,
        }
    }

    /// Removes the key that was withdrawn first if the table holds too many withdrawn keys. This is
    /// safe because an unknown key is refused just like a withdrawn one.
    fn evict_oldest_withdrawn(&mut self) {
        if self.withdrawn.len() <= MAX_WITHDRAWN_KEYS {
            return;
        }
        if let Some(oldest) = self.withdrawn.pop_front() {
            self.entries.remove(&oldest);
        }
    }

    /// Returns the entry of a presented key, if it is in force.
    pub fn authenticate(&self, presented: &str) -> Option<&KeyEntry> {
        let (key_id, _) = presented.split_once('.')?;
        let entry = self.entries.get(key_id)?;
        let matches: bool = entry.digest.ct_eq(&digest(presented)).into();
        (matches && !entry.withdrawn).then_some(entry)
    }

    /// Returns whether the key with this id is in force. Running streams check this repeatedly.
    pub fn is_in_force(&self, key_id: &str) -> bool {
        self.entries
            .get(key_id)
            .is_some_and(|entry| !entry.withdrawn)
    }

    /// Returns the entry of a key, withdrawn or not.
    pub fn get(&self, key_id: &str) -> Option<&KeyEntry> {
        self.entries.get(key_id)
    }

    /// Iterates over all keys, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &KeyEntry> {
        self.entries.values()
    }
}

/// Generates a key. Returns its text, which is shown only once, and the entry to store.
pub fn generate(organisation: Arc<str>, random: &mut impl Rng) -> (Arc<str>, KeyEntry) {
    let id: [u8; ID_BYTES] = random.random();
    let secret: [u8; SECRET_BYTES] = random.random();
    let key_id: Arc<str> = format!("fk-{}", URL_SAFE_NO_PAD.encode(id)).into();
    let key: Arc<str> = format!("{key_id}.{}", URL_SAFE_NO_PAD.encode(secret)).into();
    let entry = KeyEntry {
        key_id,
        digest: digest(&key),
        organisation,
        withdrawn: false,
    };
    (key, entry)
}

/// Returns the digest under which a key is stored.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
