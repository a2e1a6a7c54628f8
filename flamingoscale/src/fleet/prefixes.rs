//! Prompt parts that engines are believed to have in their prefix cache.
//!
//! The belief rests on the requests that this instance has sent itself. It is revised when an engine
//! restarts, loads weights, runs out of memory, or answers more slowly than it would from its cache.
//! See `docs/design/prefixes.md`.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use derive_more::{
    Display,
    Error, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoints::{
    Endpoint,
    EndpointKey,
    Endpoints, //
};

/// Result of parsing what a request says of its prompt.
pub type Result<T> = std::result::Result<T, PromptError>;

/// A list of prompt parts that is not of the form `ID:TOKENS,...`.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{part:?}: expected a hexadecimal id, a colon and a number of tokens")]
pub struct PromptError {
    /// The first malformed part.
    pub part: String,
}

/// Maximum number of parts of one prompt that are tracked; the tokens of later parts count as the
/// request's own. A list of parts comes from a caller and may be of any length.
const MAX_PROMPT_PARTS: usize = 32;

/// Maximum number of parts that are tracked for one engine, which bounds the memory of this
/// instance: 48 engines take about 2 MB.
const MAX_ENGINE_PARTS: usize = 512;

/// Number of parts among which another sample for an engine is looked for: an engine with 16 slots runs
/// samples of a few groups at a time.
const MAX_RECENT_PARTS: usize = 16;

/// Number of engines above which those that are no longer listed are dropped.
const MAX_ENGINES: usize = 256;

/// Prompt tokens that an engine prefills in a millisecond. Engines that were measured prefill 193 to
/// 942.
const PREFILL_TOKENS_PER_MS: f64 = 400.0;

/// Time that cached parts must save before the time until the first event says whether they were
/// cached. Shorter differences disappear in the queueing at the engine.
const MIN_EVIDENCE_MS: f64 = 10.0;

/// Weight of the newest measurement in the average time until the first event.
const SMOOTHING: f64 = 0.3;

/// Identifies a prompt part of one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey(u64);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part.
    pub key: PartKey,
    /// Number of tokens.
    pub tokens: u32,
}

/// The prompt of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of all parts.
    pub tokens: u32,
    /// The parts that other requests may have too, in order. The last part of a prompt belongs to the
    /// request alone and is not listed.
    pub shared_parts: Vec<PromptPart>,
}

impl Prompt {
    /// Parses a list of prompt parts. `tokens` is the number of tokens of the whole prompt, 0 if it
    /// is not known.
    ///
    /// # Errors
    ///
    /// [`PromptError`] if a part is malformed.
    pub fn parse(model: &str, list: &str, tokens: u32) -> Result<Self> {
        let mut parts = Vec::new();
        let mut listed_tokens: u32 = 0;
        for text in list.split(',').filter(|text| !text.trim().is_empty()) {
            let part = parse_part(model, text)?;
            listed_tokens = listed_tokens.saturating_add(part.tokens);
            if parts.len() <= MAX_PROMPT_PARTS {
                parts.push(part);
            }
        }
        parts.pop();
        Ok(Self {
            tokens: tokens.max(listed_tokens),
            shared_parts: parts,
        })
    }

    /// Returns a prompt of which only the number of tokens is known.
    pub fn of_tokens(tokens: u32) -> Self {
        Self {
            tokens,
            shared_parts: Vec::new(),
        }
    }

    /// Returns the tokens of the parts that other requests may have too.
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts.iter().map(|part| part.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    fn has_part(&self, key: PartKey) -> bool {
        self.shared_parts.iter().any(|part| part.key == key)
    }
}

fn parse_part(model: &str, text: &str) -> Result<PromptPart> {
    let malformed = || PromptError {
        part: text.trim().chars().take(80).collect(),
    };
    let (id, tokens) = text.split_once(':').ok_or_else(malformed)?;
    let id = id.trim().to_ascii_lowercase();
    if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(malformed());
    }
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    Ok(PromptPart {
        key: PartKey(xxh3_64_with_seed(id.as_bytes(), seed)),
        tokens: tokens.trim().parse().map_err(|_| malformed())?,
    })
}

/// Returns the time that an engine needs to prefill tokens, in milliseconds.
pub fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) / PREFILL_TOKENS_PER_MS
}

/// The parts that one engine is believed to have cached.
#[derive(Debug, Default)]
struct EngineCache {
    /// [`Endpoint::weight_loads`] when the parts were prefilled.
    weight_loads: u64,
    /// Tokens and time of the last use of each part.
    parts: HashMap<PartKey, (u32, u64)>,
    /// The parts by the time of their last use.
    by_use: BTreeMap<u64, PartKey>,
    /// Tokens of all parts.
    tokens: u64,
    /// Number of uses so far, which serves as the time of a use.
    uses: u64,
    /// Moving average of the time until the first event without the time for prefilling, in
    /// milliseconds; 0 if none was observed.
    first_event_ms: f64,
}

impl EngineCache {
    /// Marks the parts of a prompt as used. The first part is the most recent one: the other parts are
    /// of no use without it.
    fn use_parts(&mut self, prompt: &Prompt) {
        for part in prompt.shared_parts.iter().rev() {
            self.remove(part.key);
            self.uses += 1;
            self.parts.insert(part.key, (part.tokens, self.uses));
            self.by_use.insert(self.uses, part.key);
            self.tokens += u64::from(part.tokens);
        }
    }

    fn remove(&mut self, key: PartKey) {
        if let Some((tokens, used)) = self.parts.remove(&key) {
            self.by_use.remove(&used);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Evicts the least recently used parts until the others fit.
    fn evict(&mut self, max_tokens: u64) {
        while self.tokens > max_tokens || self.parts.len() > MAX_ENGINE_PARTS {
            let Some(key) = self.by_use.values().next().copied() else {
                return;
            };
            self.remove(key);
        }
    }

    fn clear(&mut self) {
        self.parts.clear();
        self.by_use.clear();
        self.tokens = 0;
    }
}

/// What this instance believes that each engine has cached.
///
/// An engine that restarts gets a new [`EndpointKey`], so nothing is believed of it.
#[derive(Debug, Default)]
pub struct Prefixes {
    engines: HashMap<EndpointKey, EngineCache>,
}

impl Prefixes {
    /// Returns how many tokens at the start of a prompt the engine is believed to have cached.
    pub fn cached_tokens(&self, key: EndpointKey, endpoint: &Endpoint, prompt: &Prompt) -> u32 {
        let Some(cache) = self.engines.get(&key) else {
            return 0;
        };
        if cache.weight_loads != endpoint.weight_loads() {
            return 0;
        }
        let parts = prompt.shared_parts.iter();
        parts
            .take_while(|part| cache.parts.contains_key(&part.key))
            .map(|part| part.tokens)
            .fold(0, u32::saturating_add)
    }

    /// Returns the parts that the engine has used last and is believed to have cached, the most recent
    /// first.
    pub fn recent_parts(&self, key: EndpointKey, endpoint: &Endpoint) -> Vec<PartKey> {
        let cache = self.engines.get(&key);
        let cache = cache.filter(|cache| cache.weight_loads == endpoint.weight_loads());
        let by_use = cache.iter().flat_map(|cache| cache.by_use.values().rev());
        by_use.take(MAX_RECENT_PARTS).copied().collect()
    }

    /// Records that an engine runs a request with this prompt. `max_tokens` is the memory that running
    /// requests leave for cached parts.
    pub fn used(
        &mut self,
        endpoints: &Endpoints,
        key: EndpointKey,
        prompt: &Prompt,
        max_tokens: u64,
    ) {
        if prompt.shared_parts.is_empty() && !self.engines.contains_key(&key) {
            return;
        }
        if self.engines.len() >= MAX_ENGINES {
            self.engines
                .retain(|known, _| !endpoints.get(*known).delisted);
        }
        let weight_loads = endpoints.get(key).weight_loads();
        let cache = self.engines.entry(key).or_default();
        if cache.weight_loads != weight_loads {
            cache.clear();
            cache.weight_loads = weight_loads;
        }
        cache.use_parts(prompt);
        cache.evict(max_tokens);
    }

    /// Records that an engine did not run a request with this prompt after all.
    pub fn not_run(&mut self, key: EndpointKey, prompt: &Prompt) {
        if let Some(cache) = self.engines.get_mut(&key) {
            let parts = prompt.shared_parts.iter();
            parts.for_each(|part| cache.remove(part.key));
        }
    }

    /// Records how long the first event of a request took. Returns whether this contradicts the belief
    /// that `cached_tokens` of the prompt were cached. The engine then has lost parts for a reason that
    /// this instance does not know, and only those of this prompt are still believed to be cached.
    pub fn first_event(
        &mut self,
        key: EndpointKey,
        prompt: &Prompt,
        cached_tokens: u32,
        took_ms: f64,
    ) -> bool {
        let Some(cache) = self.engines.get_mut(&key) else {
            return false;
        };
        let saved_ms = prefill_ms(cached_tokens);
        let is_known = cache.first_event_ms > 0.0;
        if is_known && saved_ms >= MIN_EVIDENCE_MS && took_ms >= cache.first_event_ms + saved_ms {
            let other_parts = cache.parts.keys().copied();
            let other_parts: Vec<PartKey> =
                other_parts.filter(|key| !prompt.has_part(*key)).collect();
            other_parts.into_iter().for_each(|key| cache.remove(key));
            return true;
        }
        let prefilled_ms = prefill_ms(prompt.tokens.saturating_sub(cached_tokens));
        let rest_ms = (took_ms - prefilled_ms).max(1.0);
        cache.first_event_ms = match is_known {
            true => cache.first_event_ms + SMOOTHING * (rest_ms - cache.first_event_ms),
            false => rest_ms,
        };
        false
    }

    /// Returns the number of tracked parts of all engines.
    pub fn tracked_parts(&self) -> usize {
        self.engines.values().map(|cache| cache.parts.len()).sum()
    }
}

#[cfg(test)]
mod tests;
