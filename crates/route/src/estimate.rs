//! Corrects estimates of tokens by what requests really used.

use crate::{job::TokenUsage, meter::Mean};
use wire::Tokens;

/// Learnt ratios of measured to estimated tokens for one model.
#[derive(Clone, Debug)]
pub struct TokenEstimator {
    prompt: Mean,
    output: Mean,
}

impl Default for TokenEstimator {
    /// Starts with prompts as estimated and answers half as long as allowed.
    fn default() -> Self {
        Self { prompt: Mean::new(1.0, 0.5, 2.0), output: Mean::new(0.5, 0.02, 1.0) }
    }
}

impl TokenEstimator {
    /// Corrected length of a prompt.
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

    /// Expected length of an answer that may have `max` tokens.
    pub fn output_tokens(&self, max: Tokens) -> Tokens {
        (max as f64 * self.output.get()).ceil() as Tokens
    }

    /// Learns from a request that has finished.
    pub fn observe(&mut self, estimated: Tokens, max_output: Tokens, used: TokenUsage) {
        if estimated > 0 && used.prompt_tokens > 0 {
            self.prompt.add(used.prompt_tokens as f64 / estimated as f64);
        }
        if max_output > 0 {
            self.output.add(used.output_tokens as f64 / max_output as f64);
        }
    }
}
