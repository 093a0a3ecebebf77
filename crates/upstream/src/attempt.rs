//! Whether and when a failed request is tried again: a pure state machine.

use fastrand::Rng;
use std::time::{Duration, Instant};
use wire::Verdict;

/// Delays between attempts: exponential, with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest delay before the second attempt.
    pub base: Duration,
    /// Longest delay at all.
    pub cap: Duration,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(20), cap: Duration::from_secs(1), max_attempts: 4 }
    }
}

impl Backoff {
    /// The longest delay after `attempts` attempts.
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

    /// A random delay in the upper half below the ceiling.
    fn delay(&self, attempts: u32, rng: &mut Rng) -> Duration {
        self.ceiling(attempts).mul_f64(0.5 + rng.f64() / 2.0)
    }
}

/// Bounds the retries of all requests to a share of the first attempts, so that
/// retries don't multiply the load on upstreams that fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    capacity: f64,
    left: f64,
}

impl RetryBudget {
    /// Allows `share` retries for each first attempt, and at most `capacity`
    /// at once. Starts full.
    ///
    /// ```
    /// let mut budget = upstream::RetryBudget::new(0.1, 1.0);
    /// assert!(budget.try_withdraw());
    /// assert!(!budget.try_withdraw());
    /// ```
    pub fn new(share: f64, capacity: f64) -> Self {
        Self { share, capacity, left: capacity }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.share).min(self.capacity);
    }

    /// Takes one retry out, and says whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let has = self.left >= 1.0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 20.0)
    }
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// The request ran; there is nothing to try again.
    Ran,
    /// It may have run and must not run twice.
    NotIdempotent,
    /// All its attempts are used.
    AttemptsExhausted,
    /// The retry budget is used.
    BudgetExhausted,
    /// The next attempt would start after the deadline.
    Deadline,
}

/// What happens next with a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again at this instant, which is before the deadline.
    RetryAt(Instant),
    /// Answer now. The answer is final.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// The worst verdict over all attempts.
        verdict: Verdict,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// The attempts of one request.
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
/// // Refused by the upstream: safe to send again.
/// let next = booking.on_failure(Verdict::NotRun, now, &mut budget, &mut rng);
/// assert!(matches!(next, RetryDecision::RetryAt(_)));
/// // The answer was lost: a booking must not run twice.
/// let next = booking.on_failure(Verdict::MayHaveRun, now, &mut budget, &mut rng);
/// assert!(matches!(next, RetryDecision::GiveUp { verdict: Verdict::MayHaveRun, .. }));
/// ```
#[derive(Clone, Debug)]
pub struct RetryState {
    backoff: Backoff,
    is_idempotent: bool,
    deadline: Instant,
    attempts: u32,
    may_have_run: bool,
}

impl RetryState {
    /// A request whose first attempt is about to be made.
    pub fn new(backoff: Backoff, is_idempotent: bool, deadline: Instant) -> Self {
        Self { backoff, is_idempotent, deadline, attempts: 0, may_have_run: false }
    }

    /// Attempts that have failed.
    pub fn failed_attempts(&self) -> u32 {
        self.attempts
    }

    /// Decides after a failed attempt with this verdict.
    pub fn on_failure(
        &mut self,
        verdict: Verdict,
        now: Instant,
        budget: &mut RetryBudget,
        rng: &mut Rng,
    ) -> RetryDecision {
        self.attempts += 1;
        self.may_have_run |= verdict != Verdict::NotRun;
        let delay = self.backoff.delay(self.attempts, rng);
        if let Some(reason) = self.give_up_reason(verdict, now + delay) {
            return self.give_up(reason, verdict, delay);
        }
        if !budget.try_withdraw() {
            return self.give_up(GiveUpReason::BudgetExhausted, verdict, delay);
        }
        RetryDecision::RetryAt(now + delay)
    }

    fn give_up_reason(&self, verdict: Verdict, at: Instant) -> Option<GiveUpReason> {
        if verdict == Verdict::Ran {
            return Some(GiveUpReason::Ran);
        }
        if self.may_have_run && !self.is_idempotent {
            return Some(GiveUpReason::NotIdempotent);
        }
        if self.attempts >= self.backoff.max_attempts {
            return Some(GiveUpReason::AttemptsExhausted);
        }
        (at >= self.deadline).then_some(GiveUpReason::Deadline)
    }

    fn give_up(&self, reason: GiveUpReason, verdict: Verdict, delay: Duration) -> RetryDecision {
        let verdict = match verdict {
            Verdict::NotRun if self.may_have_run => Verdict::MayHaveRun,
            verdict => verdict,
        };
        // A caller comes back no sooner than a retry would.
        let retry_after = self.backoff.ceiling(self.attempts + 1).max(delay);
        RetryDecision::GiveUp { reason, verdict, retry_after }
    }
}
