//! Performance model of the engines of a service.

use std::time::Duration;
use wire::Tokens;

/// Rates of the engines of a service.
///
/// An engine works in passes. A pass prefills chunks of prompts. While any request decodes, a pass
/// has a fixed number of steps, and each step decodes one token of every request in the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that an engine's memory holds.
    pub memory_tokens: Tokens,
    /// Steps of a pass in which any request decodes.
    pub steps_per_pass: u32,
    /// Duration of a step, in milliseconds, without the terms below.
    pub step_ms: f64,
    /// Additional duration of a step for each request that decodes, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Additional duration of a step for each 1,000 tokens of context, in milliseconds.
    pub step_ms_per_thousand_context_tokens: f64,
    /// Prompt tokens prefilled per second, without the quadratic term.
    pub prefill_tokens_per_s: f64,
    /// Prefill time for each million pairs of a prompt token and an earlier one, in milliseconds.
    pub prefill_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: Tokens,
}

impl EngineProfile {
    /// Profile of the engines of the users' first sites, as their configuration states it, for
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

    /// Time to prefill a prompt on an otherwise idle engine.
    ///
    /// The second term grows with the square of the prompt length, as attention compares each token
    /// with all earlier ones.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt as f64;
        let linear_ms = tokens / self.prefill_tokens_per_s.max(1.0) * 1e3;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        millis(linear_ms + pairs_m * self.prefill_ms_per_million_pairs)
    }

    /// Duration of a pass that only decodes, without the terms for requests and context.
    pub fn pass_time(&self) -> Duration {
        millis(self.step_ms * f64::from(self.steps_per_pass))
    }

    /// Duration of a pass that only decodes, with a batch of `batch_size` requests that have
    /// `context` tokens in total.
    pub fn decode_time(&self, batch_size: usize, context: Tokens) -> Duration {
        let step_ms = self.step_ms
            + self.step_ms_per_sequence * batch_size as f64
            + self.step_ms_per_thousand_context_tokens * context as f64 / 1e3;
        millis(step_ms * f64::from(self.steps_per_pass))
    }

    /// Time by which prefill lengthens a decoding pass if all chunks of the pass belong to a prompt
    /// of this length.
    pub fn full_pass_prefill_time(&self, prompt: Tokens) -> Duration {
        let chunks = prompt.max(1) as f64 / self.chunk_tokens.max(1) as f64;
        let prefill_ms = self.prefill_time(prompt.max(1)).as_secs_f64() * 1e3;
        millis(prefill_ms * f64::from(self.steps_per_pass) / chunks)
    }
}

/// A duration in milliseconds, limited to one day; zero if it is no number.
fn millis(ms: f64) -> Duration {
    match ms.is_nan() {
        true => Duration::ZERO,
        false => Duration::from_secs_f64((ms / 1e3).clamp(0.0, 86_400.0)),
    }
}
