//! Token bucket that may go into debt.

use std::time::{Duration, Instant};
use wire::Tokens;

/// A token bucket. A request is let in while the balance is positive and may
/// take it below zero, so a prompt longer than the burst is not refused for
/// good: the organisation pays the debt before its next request.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    balance: f64,
    rate: f64,
    burst: f64,
    refilled: Instant,
}

impl Bucket {
    pub(crate) fn new(now: Instant, rate: f64, burst: Duration) -> Self {
        let burst = rate * burst.as_secs_f64();
        Self { balance: burst, rate, burst, refilled: now }
    }

    /// Changes the rate; what was saved up is cut to the new burst.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: f64, burst: Duration) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate * burst.as_secs_f64();
        self.balance = self.balance.min(self.burst);
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.balance = (self.balance + elapsed * self.rate).min(self.burst);
        self.refilled = self.refilled.max(now);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.balance > 0.0
    }

    pub(crate) fn take(&mut self, tokens: Tokens) {
        self.balance -= tokens as f64;
    }

    pub(crate) fn give_back(&mut self, tokens: Tokens) {
        self.balance = (self.balance + tokens as f64).min(self.burst);
    }

    /// Time until the bucket opens once `ahead` more tokens were taken.
    pub(crate) fn wait(&self, ahead: Tokens) -> Duration {
        let debt = ahead as f64 - self.balance;
        if debt < 0.0 {
            return Duration::ZERO;
        }
        let seconds = if self.rate > 0.0 { debt / self.rate } else { MAX_WAIT_SECONDS };
        // One millisecond more than the exact time, so that the balance is
        // above zero and not just at it.
        Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)) + Duration::from_millis(1)
    }
}

/// Longest wait that is ever predicted, in seconds.
const MAX_WAIT_SECONDS: f64 = 86_400.0;
