//! Tracks which prompt prefixes an upstream probably holds in its KV cache.

use crate::{
    job::{Prefix, PrefixHash},
    upstream::UpstreamIndex,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use wire::Tokens;

/// Change of an upstream's prefix cache. Events may be late, and some are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored(Prefix),
    /// A prefix was evicted.
    Evicted(PrefixHash),
    /// The whole cache was cleared.
    Cleared,
}

/// Prefixes that one upstream probably holds: an estimate of bounded size, updated by cache
/// events and by finished prefills.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    /// Length of each known prefix, in tokens.
    known: BTreeMap<PrefixHash, Tokens>,
    /// Hashes of `known` in the order in which they were stored, the oldest first.
    order: VecDeque<PrefixHash>,
    /// Expected sequence number of the next cache event.
    next_event: Option<u64>,
}

impl CachedPrefixes {
    /// Applies a cache event; one with a sequence number already passed is ignored. After a gap
    /// in the sequence only the newer half of the known prefixes is kept, because evictions may
    /// have been missed.
    pub(crate) fn apply_event(&mut self, sequence: u64, event: CacheEvent, max: usize) {
        if self.next_event.is_some_and(|next| sequence < next) {
            return;
        }
        if self.next_event.is_some_and(|next| sequence > next) {
            self.shrink(self.known.len() / 2);
        }
        self.next_event = Some(sequence + 1);
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix, max),
            CacheEvent::Evicted(hash) => self.remove(hash),
            CacheEvent::Cleared => self.shrink(0),
        }
    }

    /// Adds a prefix and forgets the oldest ones beyond `max`.
    pub(crate) fn store(&mut self, prefix: Prefix, max: usize) {
        if self.known.insert(prefix.hash, prefix.tokens).is_none() {
            self.order.push_back(prefix.hash);
        }
        self.shrink(max);
    }

    /// Removes an evicted prefix.
    pub(crate) fn remove(&mut self, hash: PrefixHash) {
        if self.known.remove(&hash).is_some() {
            self.order.retain(|other| *other != hash);
        }
    }

    /// Length in tokens of the longest known prefix among `prefixes`, which are sorted from the
    /// shortest to the longest; 0 if none is known.
    pub(crate) fn longest_hit(&self, prefixes: &[Prefix]) -> Tokens {
        let known = prefixes.iter().rev().find(|p| self.known.contains_key(&p.hash));
        known.map_or(0, |p| p.tokens)
    }

    /// Records a finished prefill: the prefixes of the prompt are in the cache now, whether or
    /// not the estimate was right before.
    pub(crate) fn record_prefill(&mut self, prefixes: &[Prefix], max: usize) {
        for prefix in prefixes {
            self.store(*prefix, max);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Forgets the oldest prefixes until at most `max` are left.
    fn shrink(&mut self, max: usize) {
        while self.order.len() > max {
            let Some(hash) = self.order.pop_front() else { return };
            self.known.remove(&hash);
        }
    }
}

/// Maximum number of upstreams remembered for one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 4;

/// Maximum number of prefixes remembered, over all upstreams.
const MAX_TRACKED_PREFIXES: usize = 262_144;

/// Index from a prefix to upstreams that may hold it. The caller checks each upstream's own
/// [`CachedPrefixes`], so an outdated entry costs one look-up and nothing else.
#[derive(Debug, Default)]
pub(crate) struct PrefixHolders {
    /// Upstreams of each prefix, the one added last at the end.
    upstreams_by_prefix: HashMap<PrefixHash, Vec<UpstreamIndex>>,
    /// Prefixes in the order in which they were added, the oldest first.
    order: VecDeque<PrefixHash>,
}

impl PrefixHolders {
    /// Adds an upstream for a prefix, in place of the oldest one when the limit is reached.
    pub(crate) fn add(&mut self, hash: PrefixHash, upstream: UpstreamIndex) {
        let upstreams = self.upstreams_by_prefix.entry(hash).or_insert_with(|| {
            self.order.push_back(hash);
            Vec::new()
        });
        if upstreams.contains(&upstream) {
            return;
        }
        if upstreams.len() == MAX_HOLDERS_PER_PREFIX {
            upstreams.remove(0);
        }
        upstreams.push(upstream);
        if self.order.len() > MAX_TRACKED_PREFIXES {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.upstreams_by_prefix.remove(&oldest);
        }
    }

    /// Upstreams that may hold the longest indexed prefix among `prefixes`, which are sorted
    /// from the shortest to the longest.
    pub(crate) fn find(&self, prefixes: &[Prefix]) -> impl Iterator<Item = UpstreamIndex> {
        let upstreams = prefixes.iter().rev().find_map(|p| self.upstreams_by_prefix.get(&p.hash));
        upstreams.into_iter().flatten().copied()
    }
}
