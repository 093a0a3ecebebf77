//! Token bucket whose balance may become negative.

use std::time::{Duration, Instant};
use wire::Tokens;

/// A token bucket. A request is admitted while the balance is positive and may make it negative, so
/// that a prompt longer than the burst is not refused forever: the organisation pays the debt off
/// before its next request.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// Tokens available; negative while in debt.
    balance: f64,
    /// Tokens added per second.
    rate: f64,
    /// Highest balance.
    burst: f64,
    last_refill: Instant,
}

impl Bucket {
    /// A full bucket, for `rate` tokens per second and a burst of this duration.
    pub(crate) fn new(now: Instant, rate: f64, burst: Duration) -> Self {
        let burst = rate * burst.as_secs_f64();
        Self { balance: burst, rate, burst, last_refill: now }
    }

    /// Changes the rate. A balance above the new burst is cut to it.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: f64, burst: Duration) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate * burst.as_secs_f64();
        self.balance = self.balance.min(self.burst);
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill).as_secs_f64();
        self.balance = (self.balance + elapsed * self.rate).min(self.burst);
        self.last_refill = self.last_refill.max(now);
    }

    pub(crate) fn has_balance(&self) -> bool {
        self.balance > 0.0
    }

    pub(crate) fn withdraw(&mut self, tokens: Tokens) {
        self.balance -= tokens as f64;
    }

    pub(crate) fn refund(&mut self, tokens: Tokens) {
        self.balance = (self.balance + tokens as f64).min(self.burst);
    }

    /// Time until the balance is positive, after another `tokens_ahead` tokens have been withdrawn.
    pub(crate) fn time_until_positive(&self, tokens_ahead: Tokens) -> Duration {
        let debt = tokens_ahead as f64 - self.balance;
        if debt < 0.0 {
            return Duration::ZERO;
        }
        let seconds = if self.rate > 0.0 { debt / self.rate } else { MAX_WAIT_SECONDS };
        // One millisecond more than the exact time, so that the balance is positive and not exactly
        // zero.
        Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)) + Duration::from_millis(1)
    }
}

/// Longest wait that is returned, in seconds.
const MAX_WAIT_SECONDS: f64 = 86_400.0;
