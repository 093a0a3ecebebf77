//! All upstreams of one model, indexed for quick choice.

use crate::{
    class::LENGTH_CLASS_COUNT,
    estimate::TokenEstimator,
    meter::Meter,
    queue::Queues,
    upstream::{Indexed, Slot},
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use wire::{ModelId, RequestId, Tokens};

/// Index of a pool in the fleet's table.
pub(crate) type PoolId = usize;

/// Time over which demand is averaged.
const AVERAGING: Duration = Duration::from_secs(20);

/// Upstreams and waiting requests of one model.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) model: ModelId,
    pub(crate) queues: Queues,
    /// Upstreams that may start a request, the least prefill work first.
    pub(crate) open: BTreeSet<(Instant, Slot)>,
    /// The same upstreams by memory that may be promised.
    pub(crate) roomy: BTreeSet<(Tokens, Slot)>,
    /// Upstreams in service by all their memory.
    pub(crate) capacity: BTreeSet<(Tokens, Slot)>,
    /// Memory of the upstreams in service.
    pub(crate) memory: Tokens,
    /// Prompt tokens in prefill on them, by class.
    pub(crate) prefill_tokens: [Tokens; LENGTH_CLASS_COUNT],
    /// Upstreams in service.
    pub(crate) serving: u32,
    /// Those of them that prefill short prompts before longer ones.
    pub(crate) honouring_priority: u32,
    /// Sum of the prefill rates of the upstreams in service.
    pub(crate) prefill_rate: f64,
    /// Upstreams in service with a prefill longer than each class outstanding.
    pub(crate) with_longer: [u32; LENGTH_CLASS_COUNT],
    /// Prompt tokens asked for, by class.
    pub(crate) demand: [Meter; LENGTH_CLASS_COUNT],
    pub(crate) estimator: TokenEstimator,
    /// The one request that upstreams' memory is kept for.
    pub(crate) holder: Option<RequestId>,
    pub(crate) next_turn: Slot,
}

impl Pool {
    pub(crate) fn new(model: ModelId) -> Self {
        Self {
            model,
            queues: Queues::default(),
            open: BTreeSet::new(),
            roomy: BTreeSet::new(),
            capacity: BTreeSet::new(),
            memory: 0,
            prefill_tokens: [0; LENGTH_CLASS_COUNT],
            serving: 0,
            honouring_priority: 0,
            prefill_rate: 0.0,
            with_longer: [0; LENGTH_CLASS_COUNT],
            demand: std::array::from_fn(|_| Meter::new(AVERAGING)),
            estimator: TokenEstimator::default(),
            holder: None,
            next_turn: 0,
        }
    }

    pub(crate) fn insert(&mut self, slot: Slot, keys: &Indexed) {
        self.serving += 1;
        self.honouring_priority += u32::from(keys.honours_priority);
        self.capacity.insert((keys.memory, slot));
        self.prefill_rate += keys.prefill_rate;
        self.memory += keys.memory;
        for (sum, tokens) in self.prefill_tokens.iter_mut().zip(keys.prefill_tokens) {
            *sum += tokens;
        }
        for (count, has) in self.with_longer.iter_mut().zip(keys.has_longer) {
            *count += u32::from(has);
        }
        if keys.is_open {
            self.open.insert((keys.prefill_done, slot));
            self.roomy.insert((keys.room, slot));
        }
    }

    pub(crate) fn remove(&mut self, slot: Slot, keys: &Indexed) {
        self.serving -= 1;
        self.honouring_priority -= u32::from(keys.honours_priority);
        self.capacity.remove(&(keys.memory, slot));
        self.prefill_rate = (self.prefill_rate - keys.prefill_rate).max(0.0);
        self.memory -= keys.memory;
        for (sum, tokens) in self.prefill_tokens.iter_mut().zip(keys.prefill_tokens) {
            *sum -= tokens;
        }
        for (count, has) in self.with_longer.iter_mut().zip(keys.has_longer) {
            *count -= u32::from(has);
        }
        if keys.is_open {
            self.open.remove(&(keys.prefill_done, slot));
            self.roomy.remove(&(keys.room, slot));
        }
    }

    /// Most memory of one upstream in service.
    pub(crate) fn largest_memory(&self) -> Tokens {
        self.capacity.last().map_or(0, |(memory, _)| *memory)
    }

    /// Most memory that one upstream may promise now.
    pub(crate) fn largest_room(&self) -> Tokens {
        self.roomy.last().map_or(0, |(room, _)| *room)
    }

    /// Mean prefill rate of an upstream in service, in tokens a second.
    pub(crate) fn mean_rate(&self) -> f64 {
        self.prefill_rate / f64::from(self.serving.max(1))
    }
}
