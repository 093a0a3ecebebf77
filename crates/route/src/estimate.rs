//! Corrects token estimates by the tokens that finished requests used.

use crate::{job::TokenUsage, meter::RunningMean};
use wire::Tokens;

/// Learnt ratios of used to estimated tokens for one model.
#[derive(Clone, Debug)]
pub struct TokenEstimator {
    prompt: RunningMean,
    output: RunningMean,
}

impl Default for TokenEstimator {
    /// Starts with prompts as long as estimated and outputs half as long as allowed.
    fn default() -> Self {
        Self { prompt: RunningMean::new(1.0, 0.5, 2.0), output: RunningMean::new(0.5, 0.02, 1.0) }
    }
}

impl TokenEstimator {
    /// Corrected length of a prompt that was estimated at `estimated` tokens.
    ///
    /// ```
    /// use route::{TokenEstimator, TokenUsage};
    ///
    /// let mut estimator = TokenEstimator::default();
    /// let used = TokenUsage { prompt_tokens: 1_500, ..TokenUsage::default() };
    /// for _ in 0..100 {
    ///     estimator.observe(1_000, 0, used);
    /// }
    /// assert!(estimator.prompt_tokens(1_000) > 1_450);
    /// ```
    pub fn prompt_tokens(&self, estimated: Tokens) -> Tokens {
        (estimated as f64 * self.prompt.get()).ceil() as Tokens
    }

    /// Expected length of an output that is limited to `max` tokens.
    pub fn output_tokens(&self, max: Tokens) -> Tokens {
        (max as f64 * self.output.get()).ceil() as Tokens
    }

    /// Updates the ratios with a finished request, from its estimated prompt length, its output
    /// limit and the tokens that it used. An estimate or limit of 0 is skipped.
    pub fn observe(&mut self, estimated: Tokens, max_output: Tokens, used: TokenUsage) {
        if estimated > 0 && used.prompt_tokens > 0 {
            self.prompt.add(used.prompt_tokens as f64 / estimated as f64);
        }
        if max_output > 0 {
            self.output.add(used.output_tokens as f64 / max_output as f64);
        }
    }
}
