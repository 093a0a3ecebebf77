//! Settings of a stand-in engine.

use kernel::{SharedClock, SystemClock};
use std::{sync::Arc, time::Duration};
use wire::{DataCentreId, Incarnation, ModelId, Tokens, UpstreamId};

/// How much an engine bears after a start.
///
/// The share of its memory that may be in use grows in a straight line from
/// `initial_share` to the whole over `duration`.
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
    /// Share of the capacity right after a start, from 0 to 1.
    pub initial_share: f64,
    /// Time from a start to the whole capacity.
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

/// Settings of a stand-in engine. The default is fast and warm.
#[derive(Clone)]
pub struct EngineConfig {
    /// Name in announcements.
    pub id: UpstreamId,
    /// Data centre in announcements.
    pub data_centre: DataCentreId,
    /// Models that it serves. Requests for others are refused.
    pub models: Vec<ModelId>,
    /// Prompt tokens that it reads a second.
    pub prefill_tokens_per_s: f64,
    /// Tokens that it generates a second for each request, while no prompt is read.
    pub decode_tokens_per_s: f64,
    /// Prompt tokens that it reads between two tokens of the other requests.
    pub prefill_chunk: Tokens,
    /// KV memory, in tokens.
    pub memory_tokens: Tokens,
    /// Capacity after a start. An engine with more in use than its ramp allows crashes.
    pub ramp: Option<Ramp>,
    /// Number of its first start.
    pub incarnation: Incarnation,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
    /// Real seconds for a second of the rates above: 0 runs without any waiting.
    pub time_scale: f64,
    /// Crashes on a prompt that contains this text.
    pub crash_on: Option<String>,
    /// Time from a crash to the next start. `None`: it stays down until told.
    pub restart_after: Option<Duration>,
    /// Age of the load report that it publishes, in batch steps.
    pub load_lag_steps: usize,
    /// Leaves out each cache event whose number is a multiple of this. 0: none.
    pub cache_event_gap: u64,
    /// Number of the newest cache events that it holds back.
    pub cache_event_lag: usize,
    /// Clock that the ramp runs by.
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
