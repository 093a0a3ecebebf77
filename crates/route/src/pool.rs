//! Upstreams of one model, indexed so that a placement examines only a few of them.

use crate::{
    class::LENGTH_CLASS_COUNT,
    estimate::TokenEstimator,
    meter::RateMeter,
    queue::Queues,
    upstream::{IndexKeys, UpstreamIndex},
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use wire::{ModelId, RequestId, Tokens};

/// Index of a pool in the fleet's table.
pub(crate) type PoolId = usize;

/// Time constant of the average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Upstreams and queued requests of one model.
///
/// An upstream is in service if it may receive new work and its data centre is in service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) model: ModelId,
    pub(crate) queues: Queues,
    /// Upstreams in service below their limit of concurrent requests, by the predicted end of their
    /// prefills.
    pub(crate) by_prefill_done: BTreeSet<(Instant, UpstreamIndex)>,
    /// The same upstreams by the memory that can be reserved now, in tokens.
    pub(crate) by_free_tokens: BTreeSet<(Tokens, UpstreamIndex)>,
    /// Upstreams in service by their total memory, in tokens.
    pub(crate) by_memory: BTreeSet<(Tokens, UpstreamIndex)>,
    /// Total memory of the upstreams in service, in tokens.
    pub(crate) memory: Tokens,
    /// Prompt tokens in prefill on the upstreams in service, by class.
    pub(crate) prefill_tokens: [Tokens; LENGTH_CLASS_COUNT],
    /// Number of upstreams in service.
    pub(crate) upstreams_in_service: u32,
    /// Number of upstreams in service that prefill short prompts before longer ones.
    pub(crate) honouring_priority: u32,
    /// Sum of the prefill rates of the upstreams in service, in tokens per second.
    pub(crate) prefill_rate: f64,
    /// For each class, the number of upstreams in service with an outstanding prefill of a
    /// longer class.
    pub(crate) with_longer_prefill: [u32; LENGTH_CLASS_COUNT],
    /// Prompt tokens submitted per second, by class, including those refused later.
    pub(crate) demand: [RateMeter; LENGTH_CLASS_COUNT],
    pub(crate) estimator: TokenEstimator,
    /// The queued request that memory is held back for; one at a time.
    pub(crate) memory_held_for: Option<RequestId>,
    /// First index to try next under [`PlacementPolicy::RoundRobin`](crate::PlacementPolicy).
    pub(crate) next_round_robin_upstream: UpstreamIndex,
}

impl Pool {
    pub(crate) fn new(model: ModelId) -> Self {
        Self {
            model,
            queues: Queues::default(),
            by_prefill_done: BTreeSet::new(),
            by_free_tokens: BTreeSet::new(),
            by_memory: BTreeSet::new(),
            memory: 0,
            prefill_tokens: [0; LENGTH_CLASS_COUNT],
            upstreams_in_service: 0,
            honouring_priority: 0,
            prefill_rate: 0.0,
            with_longer_prefill: [0; LENGTH_CLASS_COUNT],
            demand: std::array::from_fn(|_| RateMeter::new(DEMAND_TIME_CONSTANT)),
            estimator: TokenEstimator::default(),
            memory_held_for: None,
            next_round_robin_upstream: 0,
        }
    }

    /// Adds an upstream in service under its keys.
    pub(crate) fn insert(&mut self, upstream: UpstreamIndex, keys: &IndexKeys) {
        self.upstreams_in_service += 1;
        self.honouring_priority += u32::from(keys.honours_priority);
        self.by_memory.insert((keys.memory, upstream));
        self.prefill_rate += keys.prefill_rate;
        self.memory += keys.memory;
        for (sum, tokens) in self.prefill_tokens.iter_mut().zip(keys.prefill_tokens) {
            *sum += tokens;
        }
        for (count, has) in self.with_longer_prefill.iter_mut().zip(keys.has_longer_prefill) {
            *count += u32::from(has);
        }
        if keys.is_below_running_limit {
            self.by_prefill_done.insert((keys.prefill_done, upstream));
            self.by_free_tokens.insert((keys.free_tokens, upstream));
        }
    }

    /// Removes an upstream; `keys` must be those that it was inserted with.
    pub(crate) fn remove(&mut self, upstream: UpstreamIndex, keys: &IndexKeys) {
        self.upstreams_in_service -= 1;
        self.honouring_priority -= u32::from(keys.honours_priority);
        self.by_memory.remove(&(keys.memory, upstream));
        self.prefill_rate = (self.prefill_rate - keys.prefill_rate).max(0.0);
        self.memory -= keys.memory;
        for (sum, tokens) in self.prefill_tokens.iter_mut().zip(keys.prefill_tokens) {
            *sum -= tokens;
        }
        for (count, has) in self.with_longer_prefill.iter_mut().zip(keys.has_longer_prefill) {
            *count -= u32::from(has);
        }
        if keys.is_below_running_limit {
            self.by_prefill_done.remove(&(keys.prefill_done, upstream));
            self.by_free_tokens.remove(&(keys.free_tokens, upstream));
        }
    }

    /// Total memory of the largest upstream in service, in tokens.
    pub(crate) fn largest_memory(&self) -> Tokens {
        self.by_memory.last().map_or(0, |(memory, _)| *memory)
    }

    /// Largest amount of memory that can be reserved now on one upstream, in tokens.
    pub(crate) fn largest_free_tokens(&self) -> Tokens {
        self.by_free_tokens.last().map_or(0, |(free, _)| *free)
    }

    /// Mean prefill rate of an upstream in service, in tokens per second.
    pub(crate) fn mean_rate(&self) -> f64 {
        self.prefill_rate / f64::from(self.upstreams_in_service.max(1))
    }
}
