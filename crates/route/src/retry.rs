//! Decides when to send a further attempt of a request: retries and hedges.

use crate::{
    class::LengthClass,
    error::{Refusal, RefusalReason, Result},
};
use fastrand::Rng;
use std::time::Duration;

/// Limits retries to a percentage of the requests, so that failures do not multiply the load. It
/// is set in percent; the `RetryBudget` of the crate `upstream`, used outside gateway mode, is set as a
/// fraction.
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
    /// Maximum balance, in retries.
    max: u32,
    /// Current balance, in hundredths of a retry.
    balance: u32,
}

impl RetryBudget {
    /// Creates a full budget that allows `percent` retries for 100 requests and saves up at most
    /// `max` retries.
    pub fn new(percent: u32, max: u32) -> Self {
        Self { percent, max, balance: max * 100 }
    }

    /// Lowers the balance to `part` of it, from 0 to 1. A daemon that takes over from another one
    /// starts with less than a full budget, as it does not know what was spent just before.
    pub fn with_balance_fraction(mut self, part: f64) -> Self {
        self.balance = (f64::from(self.balance) * part.clamp(0.0, 1.0)) as u32;
        self
    }

    /// Counts a first attempt, which adds its percentage of a retry to the balance.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.max * 100);
    }

    /// Spends one retry.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::RetryBudgetExhausted`] if none remains.
    pub fn withdraw(&mut self) -> Result<()> {
        let remaining = self.balance.checked_sub(100);
        self.balance = remaining
            .ok_or(Refusal::new(RefusalReason::RetryBudgetExhausted, Duration::from_secs(1)))?;
        Ok(())
    }
}

/// Exponential backoff with full jitter: each delay is uniformly random below a bound that doubles
/// with each retry.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Bound of the delay before the first retry.
    pub base: Duration,
    /// Largest bound of any delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(20), max: Duration::from_secs(2) }
    }
}

impl Backoff {
    /// Random delay before a retry, where `attempt` is 0 for the first retry.
    pub fn delay(&self, attempt: u32, rng: &mut Rng) -> Duration {
        let bound = self.base.saturating_mul(2u32.saturating_pow(attempt)).min(self.max);
        bound.mul_f64(rng.f64())
    }
}

/// Input of [`should_hedge`].
#[derive(Clone, Copy, Debug)]
pub struct HedgeInput {
    /// Whether the request may safely run twice.
    pub is_idempotent: bool,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Number of attempts in flight.
    pub attempts_in_flight: u32,
    /// Time since the dispatch without a token received.
    pub waited: Duration,
    /// Time to first token predicted at the dispatch.
    pub predicted_first_token: Duration,
    /// Predicted waiting time of a second attempt on another upstream.
    pub second_attempt_wait: Duration,
}

/// Multiple of the predicted time to first token that must have passed before a hedge.
const HEDGE_FACTOR: u32 = 4;

/// Minimum waiting time before a hedge.
const MIN_HEDGE_WAIT: Duration = Duration::from_millis(500);

/// Whether to send a second attempt (a hedge) concurrently with a slow first one. Only idempotent
/// requests with short prompts are hedged, once, and only if the second attempt is likely to
/// respond first. The caller then spends a retry of its [`RetryBudget`].
pub fn should_hedge(input: &HedgeInput) -> bool {
    let hedge_after = (input.predicted_first_token * HEDGE_FACTOR).max(MIN_HEDGE_WAIT);
    input.is_idempotent
        && input.class == LengthClass::Short
        && input.attempts_in_flight == 1
        && input.waited >= hedge_after
        && input.second_attempt_wait < input.waited
}
