//! The prefix cache with LRU eviction, and its event stream, which is delayed and lossy.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    }, //
};

use flamingoscale::wire::{
    CacheEvent,
    CacheEvents, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::EngineSettings;

/// Prompt bytes in one block. A block's hash is the XXH3-64 of the prompt up to the block's end.
pub const BLOCK_BYTES: usize = 64;

/// Maximum number of events that are retained for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;

pub(super) struct PrefixCache {
    blocks: VecDeque<u64>,
    capacity_blocks: usize,
    event_lag: Duration,
    event_loss_interval: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Number of cache hits and of lookups since the start, in blocks.
    pub(super) hits_and_lookups: (u64, u64),
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity_blocks: settings.cache_blocks,
            event_lag: Duration::from_millis(settings.cache_event_lag_ms),
            event_loss_interval: settings.cache_event_loss_interval,
            seq: 0,
            events: VecDeque::new(),
            hits_and_lookups: (0, 0),
        }
    }

    pub(super) fn crash(&mut self) {
        self.blocks.clear();
        self.events.clear();
        self.seq = 0;
    }

    /// Looks up and inserts the blocks of a prompt; returns how many were not cached.
    pub(super) fn admit_prompt(&mut self, prompt: &str) -> usize {
        let bytes = prompt.as_bytes();
        let ends = (1..=bytes.len() / BLOCK_BYTES).map(|number| number * BLOCK_BYTES);
        let hashes: Vec<u64> = ends.map(|end| xxh3_64(&bytes[..end])).collect();
        let mut uncached_blocks = 0;
        for hash in hashes {
            let cached = self.touch_block(hash);
            self.hits_and_lookups.0 += u64::from(cached);
            self.hits_and_lookups.1 += 1;
            uncached_blocks += usize::from(!cached);
        }
        uncached_blocks
    }

    /// Marks a block as most recently used, inserting it if needed; returns whether it was cached.
    fn touch_block(&mut self, block: u64) -> bool {
        let cached_index = self.blocks.iter().position(|&cached| cached == block);
        if let Some(index) = cached_index {
            self.blocks.remove(index);
        } else {
            self.publish(block, true);
        }
        self.blocks.push_back(block);
        while self.blocks.len() > self.capacity_blocks {
            if let Some(evicted) = self.blocks.pop_front() {
                self.publish(evicted, false);
            }
        }
        cached_index.is_some()
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.seq += 1;
        if self.event_loss_interval > 0 && self.seq % self.event_loss_interval == 0 {
            return;
        }
        if self.events.len() == MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq: self.seq,
            block,
            stored,
        };
        self.events.push_back((Instant::now(), event));
    }

    pub(super) fn events_after(&self, after: u64, boot: u64) -> CacheEvents {
        let visible = self
            .events
            .iter()
            .filter(|(at, _)| at.elapsed() >= self.event_lag);
        let unread = visible.filter(|(_, event)| event.seq > after);
        CacheEvents {
            boot,
            events: unread.map(|(_, event)| event.clone()).collect(),
        }
    }
}
