//! Quotas of a region, split over its live daemons.

use crate::{bucket::Bucket, limiter::Limiter};
use std::time::{Duration, Instant};

/// How often quotas follow demand. Reports come about once a second.
const SPLIT_INTERVAL: Duration = Duration::from_millis(250);

impl Limiter {
    /// This daemon's part of a quota: a fixed part evenly over live daemons,
    /// the rest by demand. Over daemons with the same view the parts sum to 1.
    pub(crate) fn local_part(&self, here: f64, others: f64) -> f64 {
        let even = 1.0 / f64::from(self.live_daemons);
        let total = here + others;
        let by_demand = if total > 0.0 { here / total } else { even };
        let even_part = f64::from(self.cfg.even_split_percent.min(100)) / 100.0;
        even_part * even + (1.0 - even_part) * by_demand
    }

    /// Splits the quotas anew if the last time was long enough ago.
    pub(crate) fn split_quotas_if_due(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SPLIT_INTERVAL;
        if self.quotas_split.is_none_or(is_due) {
            self.elsewhere.forget_stale(now, self.cfg.usage_lifetime);
            self.split_quotas(now);
        }
    }

    pub(crate) fn split_quotas(&mut self, now: Instant) {
        self.quotas_split = Some(now);
        let parts: Vec<f64> = self
            .accounts
            .iter()
            .map(|(name, a)| self.local_part(a.demand.rate(now), self.elsewhere.total(name)))
            .collect();
        for (account, part) in self.accounts.values_mut().zip(parts) {
            let Some(quota) = account.quota else {
                account.bucket = None;
                continue;
            };
            let rate = quota as f64 * part;
            match &mut account.bucket {
                Some(bucket) => bucket.set_rate(now, rate, self.cfg.burst),
                None => account.bucket = Some(Bucket::new(now, rate, self.cfg.burst)),
            }
        }
    }
}
