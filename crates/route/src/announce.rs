//! Announcements and load reports of upstreams, and the states that owners want them in.

use crate::ramp::Ramp;
use std::time::Duration;
use wire::{Incarnation, ModelId, Tokens, UpstreamId};

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service without prompts or KV caches, placed by the number of calls only.
    Service,
}

/// Announcement of an upstream, repeated at intervals to be considered alive.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Incarnation number of the upstream, raised at each start.
    pub incarnation: Incarnation,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Models, or names of plain services, that it serves.
    pub models: Vec<ModelId>,
    /// Memory for KV caches, in tokens; 0 for a plain service.
    pub memory_tokens: Tokens,
    /// Maximum number of concurrent requests.
    pub max_running: u32,
    /// Prefill rate, in prompt tokens per second; 0 for a plain service.
    pub prefill_tokens_per_second: Tokens,
    /// Decode rate of a single request, in output tokens per second; 0 for a plain service.
    pub decode_tokens_per_second: Tokens,
    /// Limits on concurrent requests and memory after a start.
    pub ramp: Ramp,
    /// Time since its start, as announced.
    pub uptime: Duration,
    /// Whether it is about to shut down and accepts no new work.
    pub is_draining: bool,
    /// Whether it can export and import KV caches, which members of a gang must.
    pub transfers_kv_cache: bool,
    /// Whether it prefills short prompts ahead of longer ones that arrived earlier.
    pub honours_priority: bool,
}

/// Load of an upstream as it reports it; out of date by the reporting delay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Number of requests generating output.
    pub running: u32,
    /// Number of requests waiting for their prefill.
    pub queued: u32,
    /// Memory in use, in tokens, excluding cached prefixes that can be evicted.
    pub memory_used: Tokens,
    /// Counters since the start of this incarnation.
    pub counters: LoadCounters,
}

/// Counters that only grow within one incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadCounters {
    /// Number of requests ended.
    pub requests: u64,
    /// Number of prompt tokens prefilled.
    pub prefill_tokens: Tokens,
    /// Time spent in prefill, in milliseconds.
    pub prefill_millis: u64,
    /// Number of output tokens generated.
    pub output_tokens: Tokens,
}

impl LoadCounters {
    /// Whether any counter is lower than in `before`, which means that the upstream has
    /// restarted.
    pub fn has_reset_since(&self, before: &Self) -> bool {
        self.requests < before.requests
            || self.prefill_tokens < before.prefill_tokens
            || self.prefill_millis < before.prefill_millis
            || self.output_tokens < before.output_tokens
    }
}

/// State that an owner wants an upstream to be in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DesiredState {
    /// It may receive new work.
    #[default]
    Up,
    /// It receives no new work, and requests in flight may finish: operators have retired it,
    /// another daemon owns it, or the requests already in flight there are not reconciled yet.
    Retired,
}

/// Result of applying a [`LoadReport`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The report was applied.
    Taken,
    /// Ignored: the upstream has not announced itself.
    Unknown,
    /// Ignored: it is from an earlier incarnation.
    Stale,
    /// Applied; it showed a restart or followed a gap in the reports, so the ramp starts over.
    RampRestarted,
}
