//! What upstreams say about themselves and operators about them.

use crate::ramp::Ramp;
use std::time::Duration;
use wire::{Incarnation, ModelId, Tokens, UpstreamId};

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service, placed by the number of calls only.
    Service,
}

/// What an upstream announces about itself, repeated to stay alive.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Raised by the upstream at each start.
    pub incarnation: Incarnation,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Models, or names of plain services, that it serves.
    pub models: Vec<ModelId>,
    /// Memory for KV caches, in tokens; 0 for a plain service.
    pub memory_tokens: Tokens,
    /// Most requests at once.
    pub max_running: u32,
    /// Prompt tokens a second; 0 for a plain service.
    pub prefill_tokens_per_second: Tokens,
    /// Output tokens a second of one request; 0 for a plain service.
    pub decode_tokens_per_second: Tokens,
    /// What it bears after a start.
    pub ramp: Ramp,
    /// Time since its start, as it says.
    pub uptime: Duration,
    /// Whether it is about to leave and wants no new work.
    pub is_leaving: bool,
    /// Whether it exports and imports KV caches, as members of gangs must.
    pub transfers_kv_cache: bool,
    /// Whether it prefills short prompts before longer ones already queued.
    pub honours_priority: bool,
}

/// Load of an upstream, late by some lag.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Incarnation that is reporting.
    pub incarnation: Incarnation,
    /// Requests that generate.
    pub running: u32,
    /// Requests that wait for their prefill.
    pub queued: u32,
    /// Memory in use, in tokens, without what the cache can drop.
    pub memory_used: Tokens,
    /// Counters since the start.
    pub counters: LoadCounters,
}

/// Counters that only grow within one incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadCounters {
    /// Requests ended.
    pub requests: u64,
    /// Prompt tokens prefilled.
    pub prefill_tokens: Tokens,
    /// Time spent in prefill, in milliseconds.
    pub prefill_millis: u64,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

impl LoadCounters {
    /// Whether any counter is lower than it was: the upstream has restarted.
    pub fn has_reset_since(&self, before: &Self) -> bool {
        self.requests < before.requests
            || self.prefill_tokens < before.prefill_tokens
            || self.prefill_millis < before.prefill_millis
            || self.output_tokens < before.output_tokens
    }
}

/// What operators want of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DesiredState {
    /// It may get work.
    #[default]
    Up,
    /// It gets no new work; what runs may end.
    Retired,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// Taken in.
    Taken,
    /// From an upstream that has not announced itself.
    Unknown,
    /// From an earlier incarnation.
    Stale,
    /// It shows a restart or a gap: the ramp starts over.
    RampRestarted,
}
