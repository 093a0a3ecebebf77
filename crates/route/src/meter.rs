//! Averages over time and over samples.

use std::time::{Duration, Instant};

/// Exponentially weighted sum per second.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    rate: f64,
    updated: Option<Instant>,
    averaging: Duration,
}

impl Meter {
    pub(crate) fn new(averaging: Duration) -> Self {
        Self { rate: 0.0, updated: None, averaging }
    }

    pub(crate) fn add(&mut self, now: Instant, amount: f64) {
        self.rate = self.rate(now) + amount / self.averaging.as_secs_f64();
        self.updated = Some(self.updated.map_or(now, |at| at.max(now)));
    }

    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        self.rate * (-elapsed / self.averaging.as_secs_f64()).exp()
    }
}

/// Exponentially weighted mean of samples, kept within bounds.
#[derive(Clone, Debug)]
pub(crate) struct Mean {
    value: f64,
    low: f64,
    high: f64,
}

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

impl Mean {
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
