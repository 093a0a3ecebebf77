//! Settings, capacity and shares.

use std::time::Duration;
use wire::{OrganisationId, Tokens};

/// Bounds of one limiter.
#[derive(Clone, Debug)]
pub struct Config {
    /// Most requests that wait at once.
    pub max_waiting: usize,
    /// Most tokens that wait at once.
    pub max_waiting_tokens: Tokens,
    /// Of so many tokens granted while both priorities wait, one goes to
    /// ordinary requests.
    pub ordinary_share_divisor: u32,
    /// How long an organisation may save up unused quota.
    pub burst: Duration,
    /// Part of a quota, in percent, that is split evenly over live daemons; the
    /// rest follows demand.
    pub even_split_percent: u32,
    /// After this time without news another daemon's usage counts as none.
    pub usage_lifetime: Duration,
    /// Part of the allowed output, in percent, that answers are expected to
    /// use.
    pub expected_output_percent: u32,
    /// Shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller is asked to come back; up to a
    /// quarter is added so that callers do not come back together.
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
            usage_lifetime: Duration::from_secs(10),
            expected_output_percent: 50,
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(120),
        }
    }
}

/// What this daemon may use of its region, learnt from owners' digests.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Tokens that may be in flight from this daemon before requests wait.
    pub tokens_in_flight: Tokens,
    /// Tokens a second that this daemon may expect to have served.
    pub tokens_per_second: Tokens,
    /// Prompt tokens a second of one upstream.
    pub prefill_tokens_per_second: Tokens,
    /// Output tokens a second of one request.
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

/// What an organisation may use in the whole region.
#[derive(Clone, Debug)]
pub struct OrganisationShare {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Part of the capacity under contention, relative to other organisations.
    pub weight: u32,
    /// Most tokens a second, or none for no quota.
    pub tokens_per_second: Option<Tokens>,
}
