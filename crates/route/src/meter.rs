//! Exponentially weighted averages over time and over samples.

use std::time::{Duration, Instant};

/// Exponentially weighted rate per second of amounts added over time.
#[derive(Clone, Debug)]
pub(crate) struct RateMeter {
    rate: f64,
    updated: Option<Instant>,
    time_constant: Duration,
}

impl RateMeter {
    /// Creates a meter at rate 0; after `time_constant` an amount has decayed to 1/e.
    pub(crate) fn new(time_constant: Duration) -> Self {
        Self { rate: 0.0, updated: None, time_constant }
    }

    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.rate = self.rate(now) + amount / self.time_constant.as_secs_f64();
        self.updated = Some(self.updated.map_or(now, |at| at.max(now)));
    }

    /// Rate per second at this time.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        self.rate * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}

/// Exponentially weighted mean of samples, each clamped to `low..=high`.
#[derive(Clone, Debug)]
pub(crate) struct RunningMean {
    value: f64,
    low: f64,
    high: f64,
}

/// Weight of a new sample in a [`RunningMean`].
const SAMPLE_WEIGHT: f64 = 0.1;

impl RunningMean {
    pub(crate) fn new(value: f64, low: f64, high: f64) -> Self {
        Self { value, low, high }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let sample = sample.clamp(self.low, self.high);
        self.value += SAMPLE_WEIGHT * (sample - self.value);
    }

    pub(crate) fn get(&self) -> f64 {
        self.value
    }
}
