//! Settings of a limiter, and its inputs: the capacity of the region and the shares of
//! organisations.

use std::time::Duration;
use wire::{OrganisationId, Tokens};

/// Settings of one limiter.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum number of tokens that waiting requests have in total.
    pub max_waiting_tokens: Tokens,
    /// While both priorities wait, one of this many granted tokens goes to ordinary requests.
    pub ordinary_share_divisor: u32,
    /// Time for which an organisation may accumulate unused quota.
    pub burst: Duration,
    /// Percentage of a quota that is split evenly among live daemons; the rest is split by demand.
    pub even_split_percent: u32,
    /// Time after which the demand that another daemon reported is ignored, unless it reports
    /// again.
    pub demand_lifetime: Duration,
    /// Percentage of the allowed output tokens that responses are expected to have.
    pub expected_output_percent: u32,
    /// Shortest time after which a refused caller is asked to retry.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller is asked to retry. Up to a quarter is added, so
    /// that callers don't retry together.
    pub max_retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_waiting: 4_096,
            max_waiting_tokens: 64_000_000,
            ordinary_share_divisor: 10,
            burst: Duration::from_secs(10),
            even_split_percent: 20,
            demand_lifetime: Duration::from_secs(10),
            expected_output_percent: 50,
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(120),
        }
    }
}

/// Capacity of the region that this daemon may use, derived from the load digests of the owners.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Tokens that may be in flight from this daemon before requests wait.
    pub tokens_in_flight: Tokens,
    /// Tokens per second that this daemon can expect the region to process for it.
    pub tokens_per_second: Tokens,
    /// Prompt tokens that one upstream prefills per second.
    pub prefill_tokens_per_second: Tokens,
    /// Output tokens that one request decodes per second.
    pub decode_tokens_per_second: Tokens,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            tokens_in_flight: 4_000_000,
            tokens_per_second: 100_000,
            prefill_tokens_per_second: 10_000,
            decode_tokens_per_second: 40,
        }
    }
}

/// Share and quota of an organisation in the whole region.
#[derive(Clone, Debug)]
pub struct OrganisationShare {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Weight of its share of the capacity under contention, relative to other organisations.
    pub weight: u32,
    /// Quota in tokens per second; `None` without a quota.
    pub tokens_per_second: Option<Tokens>,
}
