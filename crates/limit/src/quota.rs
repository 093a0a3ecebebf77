//! Quotas of a region, split over its live daemons.

use crate::{bucket::Bucket, limiter::Limiter};
use std::time::Instant;

impl Limiter {
    /// This daemon's part of a quota: a fixed part evenly over live daemons,
    /// the rest by demand. Over daemons with the same view the parts sum to 1.
    pub(crate) fn local_part(&self, here: f64, others: f64) -> f64 {
        let even = 1.0 / f64::from(self.live_daemons);
        let total = here + others;
        let by_demand = if total > 0.0 { here / total } else { even };
        let even_part = f64::from(self.cfg.even_percent.min(100)) / 100.0;
        even_part * even + (1.0 - even_part) * by_demand
    }

    pub(crate) fn split_quotas(&mut self, now: Instant) {
        let totals = self.elsewhere.totals();
        let parts: Vec<f64> = self
            .accounts
            .iter()
            .map(|(name, a)| {
                self.local_part(a.demand.rate(now), totals.get(name).copied().unwrap_or(0.0))
            })
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
