//! The prefix cache: blocks of prompt text in whatever memory is left.

use crate::text::{BYTES_PER_TOKEN, Digest};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use wire::{RequestId, Tokens};

/// Tokens of one block.
pub(crate) const BLOCK_TOKENS: Tokens = 64;
/// Events that are kept for those who ask late.
const EVENT_CAPACITY: usize = 4096;

/// A change of the cache, as published.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    #[serde(flatten)]
    pub(crate) change: CacheChange,
}

#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub(crate) enum CacheChange {
    /// The prompt of this request is cached up to `tokens`.
    Stored { request: RequestId, tokens: Tokens, digest: u64 },
    /// The block that ends a prefix with this digest is gone.
    Evicted { digest: u64 },
}

/// Digests of the prefixes that end at block boundaries, shortest first.
pub(crate) fn block_digests(prompt: &[u8]) -> Vec<u64> {
    let block_bytes = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;
    let mut digest = Digest::EMPTY;
    let blocks = prompt.chunks_exact(block_bytes);
    blocks
        .map(|block| {
            digest = digest.extend(block);
            digest.0
        })
        .collect()
}

/// Blocks in order of their last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    /// Tokens that the blocks hold.
    pub(crate) fn tokens(&self) -> Tokens {
        self.last_use.len() as Tokens * BLOCK_TOKENS
    }

    /// Cached tokens at the start of a prompt, which count as used again.
    pub(crate) fn lookup(&mut self, digests: &[u64]) -> Tokens {
        let hits = digests.iter().take_while(|digest| self.last_use.contains_key(digest)).count();
        // The start of a prompt is used last, so that it is evicted last.
        digests[..hits].iter().rev().for_each(|digest| self.touch(*digest));
        hits as Tokens * BLOCK_TOKENS
    }

    /// Caches the blocks of a prompt that has been read.
    pub(crate) fn store(&mut self, request: &RequestId, digests: &[u64], capacity: Tokens) {
        let room = (capacity / BLOCK_TOKENS) as usize;
        let stored = &digests[..digests.len().min(room)];
        stored.iter().rev().for_each(|digest| self.touch(*digest));
        if let Some(digest) = stored.last() {
            let tokens = stored.len() as Tokens * BLOCK_TOKENS;
            let request = request.clone();
            self.publish(CacheChange::Stored { request, tokens, digest: *digest });
        }
        self.shrink(capacity);
    }

    /// Evicts the blocks used longest ago until `capacity` tokens suffice.
    pub(crate) fn shrink(&mut self, capacity: Tokens) {
        while self.tokens() > capacity {
            let Some((_, digest)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&digest);
            self.publish(CacheChange::Evicted { digest });
        }
    }

    /// Published events after number `since`, but for the newest `lag` and for
    /// each `gap`th.
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

    fn touch(&mut self, digest: u64) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(digest, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, digest);
    }

    fn publish(&mut self, change: CacheChange) {
        self.sequence += 1;
        if self.events.len() == EVENT_CAPACITY {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent { sequence: self.sequence, change });
    }
}
