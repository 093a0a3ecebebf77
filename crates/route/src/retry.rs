//! When to send a request again.

use crate::{
    class::LengthClass,
    error::{Refusal, RefusalReason, Result},
};
use fastrand::Rng;
use std::time::Duration;

/// Bounds retries to a part of the requests, so that failures do not multiply
/// the load.
///
/// ```
/// use route::RetryBudget;
///
/// let mut budget = RetryBudget::new(10, 2);
/// assert!(budget.withdraw().is_ok());
/// assert!(budget.withdraw().is_ok());
/// assert!(budget.withdraw().is_err());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw().is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    max: u32,
    /// Hundredths of a retry.
    balance: u32,
}

impl RetryBudget {
    /// Allows `percent` retries for 100 requests, and at most `max` saved up;
    /// it starts full.
    pub fn new(percent: u32, max: u32) -> Self {
        Self { percent, max, balance: max * 100 }
    }

    /// The same with only a part of what it may save up, for a successor that does not know
    /// what was spent a moment ago.
    pub fn with_balance_fraction(mut self, part: f64) -> Self {
        self.balance = (f64::from(self.balance) * part.clamp(0.0, 1.0)) as u32;
        self
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.max * 100);
    }

    /// Takes one retry.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::RetryBudgetExhausted`] if none is left.
    pub fn withdraw(&mut self) -> Result<()> {
        let left = self.balance.checked_sub(100);
        self.balance =
            left.ok_or(Refusal::new(RefusalReason::RetryBudgetExhausted, Duration::from_secs(1)))?;
        Ok(())
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Bound of the delay before the first retry.
    pub base: Duration,
    /// Bound of any delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(20), max: Duration::from_secs(2) }
    }
}

impl Backoff {
    /// Delay before a retry, where `attempt` is 0 for the first retry.
    pub fn delay(&self, attempt: u32, rng: &mut Rng) -> Duration {
        let bound = self.base.saturating_mul(2u32.saturating_pow(attempt)).min(self.max);
        bound.mul_f64(rng.f64())
    }
}

/// What a decision to hedge depends on.
#[derive(Clone, Copy, Debug)]
pub struct HedgeInput {
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Length of the prompt.
    pub class: LengthClass,
    /// Attempts in flight.
    pub attempts_in_flight: u32,
    /// Time since the dispatch, without a token.
    pub waited: Duration,
    /// Time to first token that was predicted at the dispatch.
    pub predicted_first_token: Duration,
    /// Wait that a second upstream would have.
    pub second_attempt_wait: Duration,
}

/// How many times the predicted time must have passed before a hedge.
const HEDGE_FACTOR: u32 = 4;

/// Least wait before a hedge.
const MIN_HEDGE_WAIT: Duration = Duration::from_millis(500);

/// Whether to send a second attempt beside a first one that is slow. Only for
/// idempotent short prompts, once, and only where the second is likely to be
/// first; the caller then takes a retry from its [`RetryBudget`].
pub fn should_hedge(input: &HedgeInput) -> bool {
    let patience = (input.predicted_first_token * HEDGE_FACTOR).max(MIN_HEDGE_WAIT);
    input.is_idempotent
        && input.class == LengthClass::Short
        && input.attempts_in_flight == 1
        && input.waited >= patience
        && input.second_attempt_wait < input.waited
}
