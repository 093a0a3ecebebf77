//! Settings of a fleet and the placement policies.

use std::time::Duration;
use wire::{DataCentreId, RegionId, Tokens};

/// How an owner chooses an upstream for a request. All but the first are baselines to compare
/// with. All of them respect memory, ramps and desired states.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Least predicted time to first token, with upstreams kept free for short prompts by length
    /// class.
    #[default]
    Predicted,
    /// Least predicted time to first token, with all prompts in one class.
    NoLengthClasses,
    /// Fewest requests in flight; requests are sent in the order of arrival.
    LeastOutstanding,
    /// Upstreams in turn; requests are sent in the order of arrival.
    RoundRobin,
}

impl PlacementPolicy {
    /// Whether requests stay in the owner's queue while every upstream is busy.
    pub(crate) fn queues_while_busy(self) -> bool {
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
    /// Maximum number of queued requests, over all models.
    pub max_queued: usize,
    /// Maximum number of known upstreams.
    pub max_upstreams: usize,
    /// Maximum prefill work ahead of a request on the upstream that it is sent to; with more on the
    /// upstream with the least predicted time to first token, the request stays queued.
    pub max_backlog: Duration,
    /// Headroom for short prompts: `short_headroom * sqrt(busy)` upstreams are kept free of
    /// longer prefills in addition to the `busy` ones that the demand for short prompts needs.
    pub short_headroom: f64,
    /// The same for prompts of the classes above the shortest.
    pub long_headroom: f64,
    /// Maximum headroom, in upstreams, which limits the capacity left unused under overload.
    pub max_headroom: f64,
    /// Longest gap between two load reports of an upstream; after a longer one its ramp starts
    /// over, as it may have restarted meanwhile.
    pub max_report_gap: Duration,
    /// Time without an announcement or report after which an upstream receives no new work.
    pub silence_timeout: Duration,
    /// Time without an announcement or report after which an upstream is removed.
    pub removal_timeout: Duration,
    /// Time in the queue after which memory is held back for a request that needs more than half
    /// of the largest upstream.
    pub hold_memory_after: Duration,
    /// Maximum number of upstreams in a gang.
    pub max_gang_members: usize,
    /// Minimum free memory of a member of a gang, in tokens; less only if less remains to be
    /// placed.
    pub min_segment_tokens: Tokens,
    /// Maximum number of prompt prefixes remembered for each upstream.
    pub max_prefixes: usize,
    /// Shortest delay after which a refused caller is told to retry.
    pub min_retry_after: Duration,
    /// Longest delay after which a refused caller is told to retry. Up to a quarter is added to
    /// every delay so that callers do not retry at the same time.
    pub max_retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            data_centre: DataCentreId::new(),
            region: RegionId::new(),
            policy: PlacementPolicy::default(),
            max_queued: 16_384,
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
