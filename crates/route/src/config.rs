//! Settings of the decisions and the policies to compare.

use std::time::Duration;
use wire::{DataCentreId, RegionId, Tokens};

/// How an owner places requests on its upstreams. All but the first are there
/// to measure against; every one keeps memory, ramps and desired states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Least predicted time to first token, with length classes.
    #[default]
    Predicted,
    /// Least predicted time to first token, all prompts in one class.
    NoLengthClasses,
    /// Fewest requests outstanding, sent in the order of arrival.
    LeastOutstanding,
    /// Upstreams in turn, requests in the order of arrival.
    RoundRobin,
}

impl PlacementPolicy {
    /// Whether requests stay in the owner's queue while every upstream is busy.
    pub(crate) fn holds_back(self) -> bool {
        matches!(self, Self::Predicted | Self::NoLengthClasses)
    }
}

/// Settings of a [`Fleet`](crate::Fleet).
#[derive(Clone, Debug)]
pub struct Config {
    /// Data centre of the upstreams.
    pub data_centre: DataCentreId,
    /// Region of the upstreams.
    pub region: RegionId,
    /// How requests are placed.
    pub policy: PlacementPolicy,
    /// Most requests that wait at once, over all models.
    pub max_waiting: usize,
    /// Most upstreams that may announce themselves.
    pub max_upstreams: usize,
    /// Prefill work that an upstream may have ahead of a short prompt.
    pub max_backlog: Duration,
    /// Upstreams kept free of long prefills beyond those that short prompts
    /// keep busy, in units of the square root of the latter.
    pub short_headroom: f64,
    /// The same for prompts of the middle classes.
    pub long_headroom: f64,
    /// Most headroom, in upstreams, so that overload wastes little.
    pub max_headroom: f64,
    /// A gap between reports of this length restarts the ramp.
    pub max_report_gap: Duration,
    /// An upstream not heard for this time gets no new work.
    pub silence_timeout: Duration,
    /// An upstream not heard for this time is removed.
    pub removal_timeout: Duration,
    /// Wait after which memory is kept for a request that needs much of it.
    pub hold_memory_after: Duration,
    /// Most upstreams in a gang.
    pub max_gang_members: usize,
    /// Least memory that an upstream must bring into a gang, in tokens.
    pub min_segment_tokens: Tokens,
    /// Prefixes remembered per upstream.
    pub max_prefixes: usize,
    /// Shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller is asked to come back; up to a
    /// quarter is added so that callers do not come back together.
    pub max_retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            data_centre: DataCentreId::new(),
            region: RegionId::new(),
            policy: PlacementPolicy::default(),
            max_waiting: 16_384,
            max_upstreams: 16_384,
            max_backlog: Duration::from_millis(100),
            short_headroom: 1.0,
            long_headroom: 0.0,
            max_headroom: 0.75,
            max_report_gap: Duration::from_secs(10),
            silence_timeout: Duration::from_secs(3),
            removal_timeout: Duration::from_secs(30),
            hold_memory_after: Duration::from_secs(2),
            max_gang_members: 8,
            min_segment_tokens: 16_384,
            max_prefixes: 1_024,
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(120),
        }
    }
}
