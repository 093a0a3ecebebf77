//! The prefix cache: blocks of prompts in the KV memory that no request uses, evicted in order
//! of their last use (LRU).

use crate::text::{BYTES_PER_TOKEN, PromptDigest};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use wire::{RequestId, Tokens};

/// Length of a block.
pub(crate) const BLOCK_TOKENS: Tokens = 64;
/// Number of events that are kept for readers that lag behind.
const EVENT_CAPACITY: usize = 4096;

/// A published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Number of the event since the start of the engine, from 1.
    pub(crate) sequence: u64,
    #[serde(flatten)]
    pub(crate) change: CacheChange,
}

/// What changed.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub(crate) enum CacheChange {
    /// The prompt of this request is cached up to `tokens`.
    Stored { request: RequestId, tokens: Tokens, digest: u64 },
    /// The block at the end of the prefix with this digest was evicted.
    Evicted { digest: u64 },
}

/// Digests of the prefixes of a prompt that end at block boundaries, shortest first. Each one
/// identifies its last block together with everything before it.
pub(crate) fn block_digests(prompt: &[u8]) -> Vec<u64> {
    let block_bytes = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;
    let mut digest = PromptDigest::EMPTY;
    let blocks = prompt.chunks_exact(block_bytes);
    blocks
        .map(|block| {
            digest = digest.extend(block);
            digest.0
        })
        .collect()
}

/// Blocks of prompts, each identified by the digest of the prefix that it ends.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Number of the last use of each block.
    last_use: BTreeMap<u64, u64>,
    /// The same map inverted, for eviction.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    last_sequence: u64,
}

impl PrefixCache {
    /// KV memory that the blocks hold, in tokens.
    pub(crate) fn tokens(&self) -> Tokens {
        self.last_use.len() as Tokens * BLOCK_TOKENS
    }

    /// Returns how many tokens at the start of a prompt are cached, and marks them as used.
    pub(crate) fn lookup(&mut self, digests: &[u64]) -> Tokens {
        let hits = digests.iter().take_while(|digest| self.last_use.contains_key(digest)).count();
        // In reverse, so that the start of a prompt is evicted last: without it, the later blocks
        // are useless.
        digests[..hits].iter().rev().for_each(|digest| self.mark_used(*digest));
        hits as Tokens * BLOCK_TOKENS
    }

    /// Caches the blocks of a prefilled prompt, as far as they fit in `capacity` tokens.
    pub(crate) fn store(&mut self, request: &RequestId, digests: &[u64], capacity: Tokens) {
        let capacity_blocks = (capacity / BLOCK_TOKENS) as usize;
        let stored = &digests[..digests.len().min(capacity_blocks)];
        stored.iter().rev().for_each(|digest| self.mark_used(*digest));
        if let Some(digest) = stored.last() {
            let tokens = stored.len() as Tokens * BLOCK_TOKENS;
            let request = request.clone();
            self.publish(CacheChange::Stored { request, tokens, digest: *digest });
        }
        self.shrink(capacity);
    }

    /// Evicts the least recently used blocks until at most `capacity` tokens are held.
    pub(crate) fn shrink(&mut self, capacity: Tokens) {
        while self.tokens() > capacity {
            let Some((_, digest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&digest);
            self.publish(CacheChange::Evicted { digest });
        }
    }

    /// Events after number `since`, without the newest `lag` ones and without those whose number
    /// is a multiple of `gap` (0: none is left out).
    pub(crate) fn events(&self, since: u64, lag: usize, gap: u64) -> Vec<CacheEvent> {
        let published = self.events.len().saturating_sub(lag);
        self.events
            .iter()
            .take(published)
            .filter(|event| event.sequence > since)
            .filter(|event| gap == 0 || !event.sequence.is_multiple_of(gap))
            .cloned()
            .collect()
    }

    /// Makes a block the most recently used one, and adds it if it is new.
    fn mark_used(&mut self, digest: u64) {
        self.use_count += 1;
        if let Some(previous) = self.last_use.insert(digest, self.use_count) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.use_count, digest);
    }

    /// Records an event.
    fn publish(&mut self, change: CacheChange) {
        self.last_sequence += 1;
        if self.events.len() == EVENT_CAPACITY {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent { sequence: self.last_sequence, change });
    }
}
