//! How long a request will wait and run.

use crate::{
    admission::{AdmissionRequest, Priority},
    limiter::Limiter,
    refusal::{RefusalReason, Result},
};
use std::time::{Duration, Instant};
use wire::Tokens;

/// Longest time that is ever predicted, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

impl Limiter {
    /// Expected time from start to the end of the answer.
    pub(crate) fn service_time(&self, ask: &AdmissionRequest) -> Duration {
        let output = ask.max_output_tokens as f64 * f64::from(self.cfg.expected_output_percent);
        let prefill = ask.prompt_tokens as f64 / rate(self.capacity.prefill_tokens_per_second);
        let decode = output / 100.0 / rate(self.capacity.decode_tokens_per_second);
        Duration::from_secs_f64((prefill + decode).min(MAX_SECONDS))
    }

    /// Wait for the fleet: the lesser of all work ahead at the whole rate and
    /// the organisation's own work at its fair part of it.
    pub(crate) fn load_wait(&self, ask: &AdmissionRequest) -> Duration {
        if self.is_below_capacity() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead: Tokens = match ask.priority {
            Priority::Urgent => self.waiting_tokens[Priority::Urgent.index()],
            Priority::Ordinary => self.waiting_tokens.iter().sum(),
        };
        let whole = rate(self.capacity.tokens_per_second);
        let account = &self.accounts[&ask.organisation];
        let active: f64 = self.accounts.values().filter(|a| a.is_waiting()).map(|a| a.weight).sum();
        let part = account.weight / active.max(account.weight);
        let seconds = (ahead as f64 / whole).min(account.waiting_tokens as f64 / (whole * part));
        Duration::from_secs_f64(seconds.min(MAX_SECONDS))
    }

    pub(crate) fn quota_wait(&self, ask: &AdmissionRequest) -> Duration {
        let account = &self.accounts[&ask.organisation];
        account.bucket.as_ref().map_or(Duration::ZERO, |b| b.wait(account.waiting_tokens))
    }

    pub(crate) fn predicted_wait(&self, ask: &AdmissionRequest) -> Duration {
        self.load_wait(ask).max(self.quota_wait(ask))
    }

    /// Refuses what would wait beyond its latest start.
    pub(crate) fn check_wait(
        &self,
        now: Instant,
        ask: &AdmissionRequest,
        latest_start: Instant,
    ) -> Result<()> {
        let slack = latest_start.saturating_duration_since(now);
        let (load, quota) = (self.load_wait(ask), self.quota_wait(ask));
        if quota > slack {
            return Err(self.refusal(RefusalReason::QuotaExceeded, quota - slack));
        }
        if load > slack {
            return Err(self.refusal(RefusalReason::DeadlineUnmeetable, load - slack));
        }
        Ok(())
    }

    /// Time until what waits now has drained.
    pub(crate) fn drain_time(&self) -> Duration {
        let tokens: Tokens = self.waiting_tokens.iter().sum();
        let seconds = tokens as f64 / rate(self.capacity.tokens_per_second);
        Duration::from_secs_f64(seconds.min(MAX_SECONDS))
    }
}

/// A rate as divisor, never zero.
fn rate(tokens_per_second: Tokens) -> f64 {
    tokens_per_second.max(1) as f64
}
