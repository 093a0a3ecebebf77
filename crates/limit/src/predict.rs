//! Predictions of how long a request will wait and run.

use crate::{
    admission::{AdmissionRequest, Priority},
    limiter::Limiter,
    refusal::{RefusalReason, Result},
};
use std::time::{Duration, Instant};
use wire::Tokens;

/// Longest time that is predicted, in seconds.
const MAX_PREDICTION_SECONDS: f64 = 86_400.0;

impl Limiter {
    /// Expected time from the admission of a request to the end of its response.
    pub(crate) fn service_time(&self, request: &AdmissionRequest) -> Duration {
        let output = request.max_output_tokens as f64 * f64::from(self.cfg.expected_output_percent);
        let prefill =
            request.prompt_tokens as f64 / nonzero_rate(self.capacity.prefill_tokens_per_second);
        let decode = output / 100.0 / nonzero_rate(self.capacity.decode_tokens_per_second);
        Duration::from_secs_f64((prefill + decode).min(MAX_PREDICTION_SECONDS))
    }

    /// Wait due to the load of the region: the lesser of the time for all requests ahead at the
    /// full rate, and the time for the organisation's own requests at its fair share of that rate.
    pub(crate) fn load_wait(&self, request: &AdmissionRequest) -> Duration {
        if self.is_below_capacity() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let tokens_ahead: Tokens = match request.priority {
            Priority::Urgent => self.waiting_tokens[Priority::Urgent.index()],
            Priority::Ordinary => self.waiting_tokens.iter().sum(),
        };
        let region_rate = nonzero_rate(self.capacity.tokens_per_second);
        let account = &self.accounts[&request.organisation];
        let waiting_weight: f64 =
            self.accounts.values().filter(|a| a.is_waiting()).map(|a| a.weight).sum();
        let fair_share = account.weight / waiting_weight.max(account.weight);
        let seconds = (tokens_ahead as f64 / region_rate)
            .min(account.waiting_tokens as f64 / (region_rate * fair_share));
        Duration::from_secs_f64(seconds.min(MAX_PREDICTION_SECONDS))
    }

    /// Wait due to the quota: time until the requests of the organisation that wait already are
    /// covered.
    pub(crate) fn quota_wait(&self, request: &AdmissionRequest) -> Duration {
        let account = &self.accounts[&request.organisation];
        account
            .bucket
            .as_ref()
            .map_or(Duration::ZERO, |b| b.time_until_positive(account.waiting_tokens))
    }

    /// Predicted time until the request is admitted.
    pub(crate) fn predicted_wait(&self, request: &AdmissionRequest) -> Duration {
        self.load_wait(request).max(self.quota_wait(request))
    }

    /// Refuses a request that would have to wait beyond its latest start.
    pub(crate) fn check_wait(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        latest_start: Instant,
    ) -> Result<()> {
        let slack = latest_start.saturating_duration_since(now);
        let (load, quota) = (self.load_wait(request), self.quota_wait(request));
        if quota > slack {
            return Err(self.refusal(RefusalReason::QuotaExceeded, quota - slack));
        }
        if load > slack {
            return Err(self.refusal(RefusalReason::DeadlineUnmeetable, load - slack));
        }
        Ok(())
    }

    /// Time to process all waiting requests.
    pub(crate) fn drain_time(&self) -> Duration {
        let tokens: Tokens = self.waiting_tokens.iter().sum();
        let seconds = tokens as f64 / nonzero_rate(self.capacity.tokens_per_second);
        Duration::from_secs_f64(seconds.min(MAX_PREDICTION_SECONDS))
    }
}

/// A rate as a divisor, which must not be zero.
fn nonzero_rate(tokens_per_second: Tokens) -> f64 {
    tokens_per_second.max(1) as f64
}
