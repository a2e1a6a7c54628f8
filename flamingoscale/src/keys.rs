//! Callers' keys: kept as digests only, compared in constant time.

use std::{
    collections::HashMap,
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

/// Random bytes in a key.
const SECRET_BYTES: usize = 32;

/// Random bytes in a key's id.
const ID_BYTES: usize = 6;

/// SHA-256 of a key.
pub type KeyDigest = [u8; 32];

/// One granted key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Names the key.
    pub key_id: Arc<str>,
    /// Its digest.
    pub digest: KeyDigest,
    /// Whose it is.
    pub organisation: Arc<str>,
    /// True once withdrawn, for good.
    pub withdrawn: bool,
}

/// All keys, found by their id. The id is part of the key that a caller shows, so the lookup
/// leaks nothing of the secret, and the digest is then compared in constant time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    entries: HashMap<Arc<str>, KeyEntry>,
}

impl KeyTable {
    /// Adds a key, unless its id is there already.
    pub fn grant(&mut self, entry: KeyEntry) {
        self.entries.entry(entry.key_id.clone()).or_insert(entry);
    }

    /// Withdraws a key; returns whether it was known and in force.
    pub fn withdraw(&mut self, key_id: &str) -> bool {
        match self.entries.get_mut(key_id) {
            Some(entry) if !entry.withdrawn => {
                entry.withdrawn = true;
                true
            }
            _ => false,
        }
    }

    /// Returns the entry of a shown key, if it is in force.
    pub fn check(&self, shown: &str) -> Option<&KeyEntry> {
        let (key_id, _) = shown.split_once('.')?;
        let entry = self.entries.get(key_id)?;
        let same: bool = entry.digest.ct_eq(&digest(shown)).into();
        (same && !entry.withdrawn).then_some(entry)
    }

    /// Whether the key with this id is in force; running streams ask this again.
    pub fn is_in_force(&self, key_id: &str) -> bool {
        self.entries
            .get(key_id)
            .is_some_and(|entry| !entry.withdrawn)
    }

    /// Lists all keys in no order.
    pub fn iter(&self) -> impl Iterator<Item = &KeyEntry> {
        self.entries.values()
    }
}

/// A new key: the text to show once, and the entry to keep.
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

/// The digest under which a key is kept.
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
