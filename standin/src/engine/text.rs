//! The text that an engine generates, as a function of prompt and seed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of words in the vocabulary.
const VOCABULARY_WORDS: u64 = 100_000;

/// Returns the word at `index`. The first word encodes the seed, so that a sample can be verified
/// without further data.
pub(super) fn word(prompt: &str, seed: u64, index: u32) -> String {
    if index == 0 {
        return format!("s{seed:x}");
    }
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed ^ (u64::from(index) << 40));
    format!("w{}", hash % VOCABULARY_WORDS)
}

/// Returns the first `tokens` words that every engine generates for a prompt and seed.
pub fn expected_text(prompt: &str, seed: u64, tokens: u32) -> String {
    let words: Vec<String> = (0..tokens).map(|index| word(prompt, seed, index)).collect();
    words.join(" ")
}

/// Returns the length of a generation, in tokens, for an engine that varies lengths. Lengths start
/// at a quarter of `max_tokens`; about one request in 16 reaches `max_tokens`.
pub fn expected_tokens(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), !seed);
    let min_tokens = u64::from(max_tokens.div_ceil(4));
    let span = u64::from(max_tokens) - min_tokens + 1;
    let drawn = (min_tokens + hash % span).min(min_tokens + (hash >> 32) % span);
    if hash % 16 == 0 {
        return max_tokens;
    }
    drawn.max(1) as u32
}
