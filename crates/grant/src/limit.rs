//! Limits on the requests per second that upstreams take from all daemons together.

use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Lowest rate at which an upstream gets requests, per second, whatever its limit: only responses
/// show that a limit has ended.
pub const MIN_REQUESTS_PER_S: f64 = 0.2;
/// Time over which requests that an upstream didn't get accumulate.
const ACCUMULATION_TIME: Duration = Duration::from_millis(500);

/// Limit that a response of an upstream names, as an entry daemon reports it.
#[derive(Clone, Debug, Decode, Encode, PartialEq)]
pub struct LimitReport {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start time of the upstream's run, in milliseconds since the Unix epoch on its clock.
    pub started_at_ms: u64,
    /// Requests per second that it takes from all daemons together; `None` if it names no limit any
    /// more.
    pub requests_per_s: Option<f64>,
}

/// Limit of one run of an upstream, with the requests that it may still get.
#[derive(Debug)]
struct UpstreamLimit {
    started_at_ms: u64,
    requests_per_s: f64,
    /// Number of requests that it may get at `updated_at`.
    allowance: f64,
    updated_at: Instant,
    /// When a response that names the limit was last reported.
    confirmed_at: Instant,
}

impl UpstreamLimit {
    /// Adds the requests that have become allowed since the last update.
    fn update(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at);
        let max = (self.requests_per_s * ACCUMULATION_TIME.as_secs_f64()).max(1.0);
        self.allowance = (self.allowance + self.requests_per_s * passed.as_secs_f64()).min(max);
        self.updated_at = now;
    }

    /// Time from `now` until it may get a request.
    fn wait(&self, now: Instant) -> Duration {
        let due = Duration::from_secs_f64((1.0 - self.allowance).max(0.0) / self.requests_per_s);
        due.saturating_sub(now.saturating_duration_since(self.updated_at))
    }
}

/// Known limits, by upstream. All requests for a limited upstream have to be counted here.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    limits: BTreeMap<UpstreamId, UpstreamLimit>,
}

impl UpstreamLimits {
    /// Applies a report. One of an earlier run of the upstream is ignored.
    pub(crate) fn report(&mut self, now: Instant, report: &LimitReport) {
        let LimitReport { upstream, started_at_ms, requests_per_s } = report;
        let known = self.limits.get_mut(upstream);
        if known.as_ref().is_some_and(|known| known.started_at_ms > *started_at_ms) {
            return;
        }
        let Some(requests_per_s) = requests_per_s.map(|limit| limit.max(MIN_REQUESTS_PER_S)) else {
            self.limits.remove(upstream);
            return;
        };
        match known.filter(|known| known.started_at_ms == *started_at_ms) {
            Some(known) => {
                known.update(now);
                known.requests_per_s = requests_per_s;
                known.confirmed_at = now;
            }
            None => {
                let limit = UpstreamLimit {
                    started_at_ms: *started_at_ms,
                    requests_per_s,
                    allowance: 0.0,
                    updated_at: now,
                    confirmed_at: now,
                };
                self.limits.insert(upstream.clone(), limit);
            }
        }
    }

    /// Whether no limit is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether a limit of this upstream is known.
    pub(crate) fn is_known(&self, upstream: &str) -> bool {
        self.limits.contains_key(upstream)
    }

    /// Limit of an upstream in requests per second, if it has one.
    pub(crate) fn requests_per_s(&self, upstream: &str) -> Option<f64> {
        self.limits.get(upstream).map(|limit| limit.requests_per_s)
    }

    /// Time until an upstream may get a request.
    pub(crate) fn wait(&self, now: Instant, upstream: &str) -> Duration {
        self.limits.get(upstream).map_or(Duration::ZERO, |limit| limit.wait(now))
    }

    /// Counts a request that is sent to an upstream.
    pub(crate) fn request_sent(&mut self, now: Instant, upstream: &str) {
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.update(now);
            limit.allowance -= 1.0;
        }
    }

    /// Records a response to a request that was sent at `sent_at`. If no limit was reported since,
    /// the response named none, so the limit has ended.
    pub(crate) fn response_received(&mut self, upstream: &str, sent_at: Instant) {
        if self.limits.get(upstream).is_some_and(|limit| limit.confirmed_at < sent_at) {
            self.limits.remove(upstream);
        }
    }

    /// Forgets the limits for which `is_current`, of the upstream and the start time of its run, is
    /// false.
    pub(crate) fn retain(&mut self, is_current: impl Fn(&UpstreamId, u64) -> bool) {
        self.limits.retain(|upstream, limit| is_current(upstream, limit.started_at_ms));
    }
}
