//! What an engine does in which time.

use std::time::Duration;
use wire::Tokens;

/// Rates of the engines of a service.
///
/// An engine works in passes. A pass reads pieces of prompts, and while any request
/// writes it runs a fixed number of steps, each of which writes a token of each.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub memory_tokens: Tokens,
    /// Steps of a pass in which a request writes.
    pub steps_per_pass: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that a step takes longer for each request that writes.
    pub step_ms_per_sequence: f64,
    /// Milliseconds that a step takes longer for each 1,000 tokens of context.
    pub step_ms_per_thousand_context_tokens: f64,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for each million pairs of a token and an earlier one.
    pub prefill_ms_per_million_pairs: f64,
    /// Most prompt tokens that one step reads.
    pub chunk_tokens: Tokens,
}

impl EngineProfile {
    /// The engines of the users' first sites as their configuration states them, for
    /// examples and tests.
    pub fn example() -> Self {
        Self {
            slots: 16,
            memory_tokens: 405_000,
            steps_per_pass: 34,
            step_ms: 1.31,
            step_ms_per_sequence: 0.000917,
            step_ms_per_thousand_context_tokens: 0.00213,
            prefill_tokens_per_s: 154_000.0,
            prefill_ms_per_million_pairs: 0.162,
            chunk_tokens: 2_048,
        }
    }

    /// Time to read a prompt on an otherwise idle engine.
    ///
    /// The second term grows with the square of the length: each token is compared with
    /// all earlier ones.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt as f64;
        let linear_ms = tokens / self.prefill_tokens_per_s.max(1.0) * 1e3;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        millis(linear_ms + pairs_m * self.prefill_ms_per_million_pairs)
    }

    /// Time of a pass that writes and reads nothing.
    pub fn pass_time(&self) -> Duration {
        millis(self.step_ms * f64::from(self.steps_per_pass))
    }

    /// Time of a pass that reads nothing, in which so many requests write beside so many
    /// tokens of context.
    pub fn decode_time(&self, writers: usize, context: Tokens) -> Duration {
        let step_ms = self.step_ms
            + self.step_ms_per_sequence * writers as f64
            + self.step_ms_per_thousand_context_tokens * context as f64 / 1e3;
        millis(step_ms * f64::from(self.steps_per_pass))
    }

    /// Time that a writing pass takes longer if all its pieces are of a prompt of this length.
    pub fn full_pass_prefill_time(&self, prompt: Tokens) -> Duration {
        let pieces = prompt.max(1) as f64 / self.chunk_tokens.max(1) as f64;
        self.prefill_time(prompt.max(1)).mul_f64(f64::from(self.steps_per_pass) / pieces)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, 86_400.0))
}
