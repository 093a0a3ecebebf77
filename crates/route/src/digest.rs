//! Load summaries that owners send to entry daemons, from which those choose an owner.

use crate::{
    class::{LENGTH_CLASS_COUNT, LengthClass},
    fleet::Fleet,
    pool::{Pool, PoolId},
};
use bincode::{Decode, Encode};
use limit::Priority;
use std::time::{Duration, Instant};
use wire::{DaemonId, DataCentreId, ModelId, RegionId, Tokens};

/// Capacity and load of an owner for one model.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct ModelDigest {
    /// Name of the model.
    pub model: ModelId,
    /// Number of upstreams in service.
    pub upstreams_in_service: u32,
    /// Prompt tokens queued or in prefill.
    pub prefill_tokens: Tokens,
    /// Prefill rate of all upstreams together, in prompt tokens per second.
    pub prefill_tokens_per_second: Tokens,
    /// Mean prefill rate of one upstream, in prompt tokens per second.
    pub mean_prefill_tokens_per_second: Tokens,
    /// Memory that can be reserved now on all upstreams together, in tokens.
    pub free_tokens: Tokens,
    /// Largest amount of memory that can be reserved now on one upstream, in tokens.
    pub largest_free_tokens: Tokens,
    /// Total memory of the largest upstream, in tokens.
    pub largest_memory_tokens: Tokens,
    /// Total memory of the largest possible gang, in tokens.
    pub largest_gang_tokens: Tokens,
    /// Predicted wait for a new prompt of each length class, in microseconds.
    pub wait_micros: [u64; LENGTH_CLASS_COUNT],
}

/// Load digest of one owner, sent with its replies and at regular intervals.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct OwnerDigest {
    /// Name of the owner.
    pub daemon: DaemonId,
    /// Incarnation number of the daemon. It orders digests before `sequence`, so that those of a
    /// restarted daemon, which counts from one again, are not ignored as old.
    pub incarnation: u64,
    /// Number of the digest within the incarnation. Receivers ignore older ones.
    pub sequence: u64,
    /// Data centre of its upstreams.
    pub data_centre: DataCentreId,
    /// Region of its upstreams.
    pub region: RegionId,
    /// Whether the data centre is in service, as far as the owner knows.
    pub is_in_service: bool,
    /// Capacity and load of each model.
    pub models: Vec<ModelDigest>,
}

impl Fleet {
    /// Summarises the fleet for entry daemons. The caller numbers the digests.
    pub fn digest(
        &self,
        now: Instant,
        daemon: DaemonId,
        incarnation: u64,
        sequence: u64,
    ) -> OwnerDigest {
        OwnerDigest {
            daemon,
            incarnation,
            sequence,
            data_centre: self.cfg.data_centre.clone(),
            region: self.cfg.region.clone(),
            is_in_service: self.is_in_service,
            models: (0..self.pools.len()).map(|pool| self.model_digest(now, pool)).collect(),
        }
    }

    fn model_digest(&self, now: Instant, id: PoolId) -> ModelDigest {
        let pool = &self.pools[id];
        let waiting = pool.queues.work_up_to(Priority::Ordinary, LengthClass::Huge).prompt_tokens;
        ModelDigest {
            model: pool.model.clone(),
            upstreams_in_service: pool.upstreams_in_service,
            prefill_tokens: pool.prefill_tokens.iter().sum::<Tokens>() + waiting,
            prefill_tokens_per_second: pool.prefill_rate as Tokens,
            mean_prefill_tokens_per_second: pool.mean_rate() as Tokens,
            free_tokens: pool.by_free_tokens.iter().map(|(free, _)| free).sum(),
            largest_free_tokens: pool.largest_free_tokens(),
            largest_memory_tokens: pool.largest_memory(),
            largest_gang_tokens: self.largest_gang_tokens(id),
            wait_micros: LengthClass::ALL.map(|class| {
                (self.predicted_wait(now, id, (Priority::Ordinary, class))
                    + self.least_backlog(now, pool, class))
                .as_micros() as u64
            }),
        }
    }

    /// Least prefill backlog that a new prompt of this class finds on any upstream.
    fn least_backlog(&self, now: Instant, pool: &Pool, class: LengthClass) -> Duration {
        let upstreams =
            pool.by_prefill_done.iter().take(BACKLOG_CANDIDATES).map(|(_, upstream)| *upstream);
        upstreams
            .map(|upstream| self.upstream(upstream).backlog(now, class))
            .min()
            .unwrap_or_default()
    }
}

/// Number of upstreams examined for the least backlog, those with the least prefill work.
const BACKLOG_CANDIDATES: usize = 8;
