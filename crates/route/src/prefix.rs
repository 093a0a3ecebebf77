//! Which prompt prefixes an upstream probably holds in its cache.

use crate::{
    job::{Prefix, PrefixHash},
    upstream::Slot,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use wire::Tokens;

/// A cache event of an upstream. Events come late and some never come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored(Prefix),
    /// A prefix was dropped.
    Evicted(PrefixHash),
    /// The whole cache was dropped.
    Cleared,
}

/// Prefixes of one upstream: a bounded guess, corrected by events and by
/// prefills.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    known: BTreeMap<PrefixHash, Tokens>,
    order: VecDeque<PrefixHash>,
    next_event: Option<u64>,
}

impl Prefixes {
    /// Takes in a numbered event. After a gap only half of what is known, the
    /// newer one, is kept: drops may have been missed.
    pub(crate) fn event(&mut self, sequence: u64, event: CacheEvent, max: usize) {
        if self.next_event.is_some_and(|next| sequence < next) {
            return;
        }
        if self.next_event.is_some_and(|next| sequence > next) {
            self.shrink(self.known.len() / 2);
        }
        self.next_event = Some(sequence + 1);
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix, max),
            CacheEvent::Evicted(hash) => self.drop_hash(hash),
            CacheEvent::Cleared => self.shrink(0),
        }
    }

    pub(crate) fn store(&mut self, prefix: Prefix, max: usize) {
        if self.known.insert(prefix.hash, prefix.tokens).is_none() {
            self.order.push_back(prefix.hash);
        }
        self.shrink(max);
    }

    pub(crate) fn drop_hash(&mut self, hash: PrefixHash) {
        if self.known.remove(&hash).is_some() {
            self.order.retain(|other| *other != hash);
        }
    }

    /// Tokens of the longest known prefix.
    pub(crate) fn hit(&self, prefixes: &[Prefix]) -> Tokens {
        let known = prefixes.iter().rev().find(|p| self.known.contains_key(&p.hash));
        known.map_or(0, |p| p.tokens)
    }

    /// Takes in a prompt that was prefilled: its prefixes are in the cache now,
    /// whether the guess before was right or not.
    pub(crate) fn prefilled(&mut self, prefixes: &[Prefix], max: usize) {
        for prefix in prefixes {
            self.store(*prefix, max);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    fn shrink(&mut self, max: usize) {
        while self.order.len() > max {
            let Some(hash) = self.order.pop_front() else { return };
            self.known.remove(&hash);
        }
    }
}

/// Upstreams remembered per prefix.
const HOLDERS: usize = 4;

/// Prefixes remembered over all upstreams.
const MAX_HINTS: usize = 262_144;

/// Hints which upstreams may hold a prefix. What each really holds is looked
/// up in its own [`Prefixes`], so a stale hint costs a look-up and nothing else.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    hints: HashMap<PrefixHash, Vec<Slot>>,
    order: VecDeque<PrefixHash>,
}

impl Holders {
    pub(crate) fn add(&mut self, hash: PrefixHash, slot: Slot) {
        let slots = self.hints.entry(hash).or_insert_with(|| {
            self.order.push_back(hash);
            Vec::new()
        });
        if slots.contains(&slot) {
            return;
        }
        if slots.len() == HOLDERS {
            slots.remove(0);
        }
        slots.push(slot);
        if self.order.len() > MAX_HINTS {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.hints.remove(&oldest);
        }
    }

    /// Holders of the longest prefix that any is known for.
    pub(crate) fn find(&self, prefixes: &[Prefix]) -> impl Iterator<Item = Slot> {
        let slots = prefixes.iter().rev().find_map(|p| self.hints.get(&p.hash));
        slots.into_iter().flatten().copied()
    }
}
