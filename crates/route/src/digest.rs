//! Short summaries that owners send to entry daemons.

use crate::{
    class::{LENGTH_CLASS_COUNT, LengthClass},
    fleet::Fleet,
    pool::{Pool, PoolId},
};
use bincode::{Decode, Encode};
use limit::Priority;
use std::time::{Duration, Instant};
use wire::{DaemonId, DataCentreId, ModelId, RegionId, Tokens};

/// What an owner can do for one model.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct ModelDigest {
    /// Name of the model.
    pub model: ModelId,
    /// Upstreams in service.
    pub upstreams_in_service: u32,
    /// Prompt tokens waiting or in prefill.
    pub prefill_tokens: Tokens,
    /// Prompt tokens a second of all upstreams together.
    pub prefill_tokens_per_second: Tokens,
    /// Prompt tokens a second of one upstream.
    pub mean_prefill_tokens_per_second: Tokens,
    /// Memory that may be promised now, in tokens.
    pub free_tokens: Tokens,
    /// The most of it on one upstream.
    pub largest_free_tokens: Tokens,
    /// All memory of the largest upstream.
    pub largest_memory_tokens: Tokens,
    /// All memory that the largest gang can bring together.
    pub largest_gang_tokens: Tokens,
    /// Predicted wait for a new prompt of each length class, in microseconds.
    pub wait_micros: [u64; LENGTH_CLASS_COUNT],
}

/// State of one owner, sent along with replies and at intervals.
#[derive(Clone, Debug, Decode, Default, Encode, PartialEq)]
pub struct OwnerDigest {
    /// The owner.
    pub daemon: DaemonId,
    /// Number of the daemon's start, so that a restarted daemon is believed.
    pub incarnation: u64,
    /// Number of the digest within the start. Older ones are ignored.
    pub sequence: u64,
    /// Data centre of its upstreams.
    pub data_centre: DataCentreId,
    /// Region of its upstreams.
    pub region: RegionId,
    /// Whether the data centre is in service, as far as the owner knows.
    pub is_in_service: bool,
    /// One entry for each model.
    pub models: Vec<ModelDigest>,
}

impl Fleet {
    /// Sums up the state for entry daemons.
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
            upstreams_in_service: pool.serving,
            prefill_tokens: pool.prefill_tokens.iter().sum::<Tokens>() + waiting,
            prefill_tokens_per_second: pool.prefill_rate as Tokens,
            mean_prefill_tokens_per_second: pool.mean_rate() as Tokens,
            free_tokens: pool.roomy.iter().map(|(room, _)| room).sum(),
            largest_free_tokens: pool.largest_room(),
            largest_memory_tokens: pool.largest_memory(),
            largest_gang_tokens: self.gang_reach(id),
            wait_micros: LengthClass::ALL.map(|class| {
                (self.predicted_wait(now, id, (Priority::Ordinary, class))
                    + self.least_backlog(now, pool, class))
                .as_micros() as u64
            }),
        }
    }

    /// Prefill work ahead of a new prompt on the upstream with the least.
    fn least_backlog(&self, now: Instant, pool: &Pool, class: LengthClass) -> Duration {
        let slots = pool.open.iter().take(BACKLOG_LOOK).map(|(_, slot)| *slot);
        slots.map(|slot| self.upstream(slot).backlog(now, class)).min().unwrap_or_default()
    }
}

/// Upstreams looked at for the least backlog.
const BACKLOG_LOOK: usize = 8;
