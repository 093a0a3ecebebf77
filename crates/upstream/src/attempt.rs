//! Decides whether and when a failed request is attempted again.
//!
//! A pure state machine: the time, the budget and the random generator are
//! parameters, and the owner of the upstream carries out the decision.

use fastrand::Rng;
use std::time::{Duration, Instant};
use wire::Verdict;

/// Exponential delays between attempts, with jitter. Unlike those of `route::Backoff`,
/// they are at least half of the upper bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the delay before the second attempt; it doubles with each attempt.
    pub base: Duration,
    /// Upper bound of all delays.
    pub cap: Duration,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(20), cap: Duration::from_secs(1), max_attempts: 4 }
    }
}

impl Backoff {
    /// Upper bound of the delay after `attempts` attempts.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let backoff = upstream::Backoff::default();
    /// assert_eq!(backoff.ceiling(1), Duration::from_millis(20));
    /// assert_eq!(backoff.ceiling(3), Duration::from_millis(80));
    /// assert_eq!(backoff.ceiling(30), Duration::from_secs(1));
    /// ```
    pub fn ceiling(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(20);
        self.base.saturating_mul(1 << doublings).min(self.cap)
    }

    /// Random delay between half the ceiling and the ceiling.
    fn delay(&self, attempts: u32, rng: &mut Rng) -> Duration {
        self.ceiling(attempts).mul_f64(0.5 + rng.f64() / 2.0)
    }
}

/// Limits the retries of all requests together to a fraction of the first
/// attempts, so that retries don't multiply the load on failing upstreams. Gateway
/// mode uses `route::RetryBudget` instead.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    capacity: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget of `capacity` retries. Each first attempt adds
    /// `retries_per_request` to it, up to `capacity`.
    ///
    /// ```
    /// let mut budget = upstream::RetryBudget::new(0.1, 1.0);
    /// assert!(budget.try_withdraw());
    /// assert!(!budget.try_withdraw());
    /// ```
    pub fn new(retries_per_request: f64, capacity: f64) -> Self {
        Self { retries_per_request, capacity, available: capacity }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.retries_per_request).min(self.capacity);
    }

    /// Takes one retry from the budget; false if none is available.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 20.0)
    }
}

/// Reason for making no further attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The request ran to its end, so there is nothing to retry.
    Ran,
    /// The request may have run and isn't idempotent.
    NotIdempotent,
    /// The request has used [`Backoff::max_attempts`].
    AttemptsExhausted,
    /// The retry budget is empty.
    BudgetExhausted,
    /// The next attempt would start after the deadline.
    Deadline,
}

/// What to do with a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Make the next attempt at this instant, which is before the deadline.
    RetryAt(Instant),
    /// Report the failure now; no further attempt follows.
    GiveUp {
        /// Why no further attempt is made.
        reason: GiveUpReason,
        /// Worst verdict over all attempts.
        verdict: Verdict,
        /// Delay after which the request may be sent again.
        retry_after: Duration,
    },
}

/// Retry state of one request, over all its attempts.
///
/// ```
/// use fastrand::Rng;
/// use std::time::{Duration, Instant};
/// use upstream::{Backoff, RetryBudget, RetryDecision, RetryState};
/// use wire::Verdict;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::default();
/// let mut rng = Rng::with_seed(7);
/// let mut booking = RetryState::new(Backoff::default(), false, now + Duration::from_secs(5));
/// // The upstream refused the request, so another attempt is safe.
/// let next = booking.on_failure(Verdict::NotRun, now, &mut budget, &mut rng);
/// assert!(matches!(next, RetryDecision::RetryAt(_)));
/// // The response was lost: a booking must not run twice.
/// let next = booking.on_failure(Verdict::MayHaveRun, now, &mut budget, &mut rng);
/// assert!(matches!(next, RetryDecision::GiveUp { verdict: Verdict::MayHaveRun, .. }));
/// ```
#[derive(Clone, Debug)]
pub struct RetryState {
    backoff: Backoff,
    is_idempotent: bool,
    deadline: Instant,
    failed_attempts: u32,
    may_have_run: bool,
}

impl RetryState {
    /// State of a request before its first attempt.
    pub fn new(backoff: Backoff, is_idempotent: bool, deadline: Instant) -> Self {
        Self { backoff, is_idempotent, deadline, failed_attempts: 0, may_have_run: false }
    }

    /// Number of failed attempts.
    pub fn failed_attempts(&self) -> u32 {
        self.failed_attempts
    }

    /// Decides what to do after an attempt that failed with `verdict`.
    pub fn on_failure(
        &mut self,
        verdict: Verdict,
        now: Instant,
        budget: &mut RetryBudget,
        rng: &mut Rng,
    ) -> RetryDecision {
        self.failed_attempts += 1;
        self.may_have_run |= verdict != Verdict::NotRun;
        let delay = self.backoff.delay(self.failed_attempts, rng);
        if let Some(reason) = self.give_up_reason(verdict, now + delay) {
            return self.give_up(reason, verdict, delay);
        }
        if !budget.try_withdraw() {
            return self.give_up(GiveUpReason::BudgetExhausted, verdict, delay);
        }
        RetryDecision::RetryAt(now + delay)
    }

    fn give_up_reason(&self, verdict: Verdict, retry_at: Instant) -> Option<GiveUpReason> {
        if verdict == Verdict::Ran {
            return Some(GiveUpReason::Ran);
        }
        if self.may_have_run && !self.is_idempotent {
            return Some(GiveUpReason::NotIdempotent);
        }
        if self.failed_attempts >= self.backoff.max_attempts {
            return Some(GiveUpReason::AttemptsExhausted);
        }
        (retry_at >= self.deadline).then_some(GiveUpReason::Deadline)
    }

    fn give_up(&self, reason: GiveUpReason, verdict: Verdict, delay: Duration) -> RetryDecision {
        let verdict = match verdict {
            Verdict::NotRun if self.may_have_run => Verdict::MayHaveRun,
            verdict => verdict,
        };
        // A later request must wait at least as long as a retry by the owner would have.
        let retry_after = self.backoff.ceiling(self.failed_attempts + 1).max(delay);
        RetryDecision::GiveUp { reason, verdict, retry_after }
    }
}
