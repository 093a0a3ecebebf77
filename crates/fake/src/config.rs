//! Settings of a simulated engine.

use kernel::{SharedClock, SystemClock};
use std::{sync::Arc, time::Duration};
use wire::{DataCentreId, Incarnation, ModelId, Tokens, UpstreamId};

/// Capacity of an engine after a cold start.
///
/// The share of its memory that may be in use grows linearly from `initial_share` to 1 over
/// `duration`.
///
/// ```
/// use std::time::Duration;
///
/// let ramp = fake::Ramp { initial_share: 0.5, duration: Duration::from_secs(10) };
/// assert_eq!(ramp.share(Duration::from_secs(5)), 0.75);
/// assert_eq!(ramp.share(Duration::from_secs(11)), 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Share of the capacity immediately after a start, from 0 to 1.
    pub initial_share: f64,
    /// Time from a start to the full capacity.
    pub duration: Duration,
}

impl Ramp {
    /// Share of the capacity at `age` after the start.
    pub fn share(&self, age: Duration) -> f64 {
        if age >= self.duration {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.duration.as_secs_f64();
        self.initial_share + (1.0 - self.initial_share) * progress
    }
}

/// Settings of a simulated engine. By default it responds without delay, and has its full
/// capacity from the start.
#[derive(Clone)]
pub struct EngineConfig {
    /// Id in announcements.
    pub id: UpstreamId,
    /// Data centre in announcements.
    pub data_centre: DataCentreId,
    /// Models that it serves; it refuses requests for others.
    pub models: Vec<ModelId>,
    /// Prompt tokens that it prefills per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens per second that it generates for each request while it prefills no prompt.
    pub decode_tokens_per_s: f64,
    /// Most prompt tokens that it prefills between two tokens of the other requests.
    pub prefill_chunk: Tokens,
    /// KV memory, in tokens.
    pub memory_tokens: Tokens,
    /// Capacity after a cold start, or `None` for the full one. An engine that has more memory in
    /// use than its ramp allows crashes.
    pub ramp: Option<Ramp>,
    /// Incarnation of its first start; each restart increments it.
    pub incarnation: Incarnation,
    /// Whether it refuses requests and orders with an outdated fencing token.
    pub checks_fences: bool,
    /// Real seconds per simulated second of the rates above; 0 runs without any delay.
    pub time_scale: f64,
    /// It crashes on a prompt that contains this text; `None` for no prompt.
    pub crash_on: Option<String>,
    /// Time from a crash to the next start. With `None` it stays down until
    /// [`Engine::restart`](crate::Engine::restart).
    pub restart_after: Option<Duration>,
    /// Number of load reports by which the published one lags behind the newest; until there are as
    /// many, it publishes the first. It records a report at each batch step, and about every 100 ms
    /// while it is idle.
    pub load_lag_steps: usize,
    /// Cache events whose number is a multiple of this are left out; 0 leaves out none.
    pub cache_event_gap: u64,
    /// Number of the newest cache events that are not yet published.
    pub cache_event_lag: usize,
    /// Clock for the age of the ramp.
    pub clock: SharedClock,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            id: "engine-1".to_string(),
            data_centre: "dc-1".to_string(),
            models: vec!["small".to_string()],
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 50.0,
            prefill_chunk: 2_048,
            memory_tokens: 400_000,
            ramp: None,
            incarnation: 1,
            checks_fences: true,
            time_scale: 0.0,
            crash_on: None,
            restart_after: None,
            load_lag_steps: 0,
            cache_event_gap: 0,
            cache_event_lag: 0,
            clock: Arc::new(SystemClock),
        }
    }
}
