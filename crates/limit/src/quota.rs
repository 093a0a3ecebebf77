//! Split of the region's quotas among its live daemons.

use crate::{bucket::Bucket, limiter::Limiter};
use std::time::{Duration, Instant};

/// Interval at which quotas are split anew by demand. Reports arrive about once per second.
const SPLIT_INTERVAL: Duration = Duration::from_millis(250);

impl Limiter {
    /// This daemon's share of a quota: a fixed part is split evenly among live daemons, the rest by
    /// demand. If all daemons know the same demand, their shares add up to 1.
    pub(crate) fn local_quota_share(&self, local_demand: f64, remote_demand: f64) -> f64 {
        let even = 1.0 / f64::from(self.live_daemons);
        let total = local_demand + remote_demand;
        let by_demand = if total > 0.0 { local_demand / total } else { even };
        let even_share = f64::from(self.cfg.even_split_percent.min(100)) / 100.0;
        even_share * even + (1.0 - even_share) * by_demand
    }

    /// Splits the quotas again if [`SPLIT_INTERVAL`] has passed since the last time.
    pub(crate) fn split_quotas_if_due(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SPLIT_INTERVAL;
        if self.quotas_split_at.is_none_or(is_due) {
            self.remote_demand.remove_stale(now, self.cfg.demand_lifetime);
            self.split_quotas(now);
        }
    }

    /// Sets the rate of each organisation's bucket to this daemon's share of the quota.
    pub(crate) fn split_quotas(&mut self, now: Instant) {
        self.quotas_split_at = Some(now);
        let shares: Vec<f64> = self
            .accounts
            .iter()
            .map(|(name, a)| {
                self.local_quota_share(a.demand.rate(now), self.remote_demand.total(name))
            })
            .collect();
        for (account, share) in self.accounts.values_mut().zip(shares) {
            let Some(quota) = account.quota else {
                account.bucket = None;
                continue;
            };
            let rate = quota as f64 * share;
            match &mut account.bucket {
                Some(bucket) => bucket.set_rate(now, rate, self.cfg.burst),
                None => account.bucket = Some(Bucket::new(now, rate, self.cfg.burst)),
            }
        }
    }
}
