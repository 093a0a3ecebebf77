//! Limits on the requests per second that upstreams take from all daemons together.
//!
//! An upstream in need names its limit in its responses, for as long as the limit holds. So an entry
//! knows the limits of the upstreams that have responded to it, and reports them to the leader,
//! which counts all requests to these upstreams. Without a leader, each entry sends its share.

use crate::sync::lock;
use grant::{LimitReport, MIN_REQUESTS_PER_S};
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time without a response after which a limit is forgotten: longer than an upstream that is in use
/// is left without a request.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// Part of a limit that the entries without a leader use together. Other daemons may still reach the
/// leader, which uses the whole limit.
const LEADERLESS_PART: f64 = 0.5;

/// Limits that an entry knows.
#[derive(Default)]
pub(crate) struct KnownLimits {
    limits: Mutex<BTreeMap<UpstreamId, KnownLimit>>,
}

/// Limit of one run of an upstream.
struct KnownLimit {
    /// Start time of the run, in milliseconds since the Unix epoch on the upstream's clock.
    started_at_ms: u64,
    requests_per_s: f64,
    /// When the last response that named it was received.
    received_at: Instant,
    /// When this daemon may send the next request of its share; `None` until it has to.
    next_in_share: Option<Instant>,
}

impl KnownLimit {
    fn report(&self, upstream: &UpstreamId) -> LimitReport {
        LimitReport {
            upstream: upstream.clone(),
            started_at_ms: self.started_at_ms,
            requests_per_s: Some(self.requests_per_s),
        }
    }
}

impl KnownLimits {
    /// Records the limit that a response names, or that it names none. The request was sent at
    /// `sent_at` to the run of the upstream that started at `started_at_ms`. Returns what has to be
    /// reported to the leader.
    pub(crate) fn response_received(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        started_at_ms: u64,
        sent_at: Instant,
        requests_per_s: Option<f64>,
    ) -> Option<LimitReport> {
        let mut limits = lock(&self.limits);
        let known = limits.get(upstream).filter(|known| known.started_at_ms == started_at_ms);
        let former = known.map(|known| known.requests_per_s);
        match (requests_per_s, known) {
            (None, None) => return None,
            // The response to an earlier request may have overtaken one that names a limit.
            (None, Some(known)) if known.received_at > sent_at => return None,
            (None, Some(_)) => drop(limits.remove(upstream)),
            (Some(requests_per_s), known) => {
                let next_in_share = known.and_then(|known| known.next_in_share);
                let limit =
                    KnownLimit { started_at_ms, requests_per_s, received_at: now, next_in_share };
                limits.insert(upstream.clone(), limit);
            }
        }
        limits
            .retain(|_, limit| now.saturating_duration_since(limit.received_at) < LIMIT_RETENTION);
        if former != requests_per_s {
            log::info!(
                upstream = upstream.as_str(), born = started_at_ms, former:? = former,
                requests_per_s:? = requests_per_s; "upstream names another limit"
            );
            metrics::gauge!("toucansill_upstreams_limited").set(limits.len() as f64);
        }
        Some(LimitReport { upstream: upstream.clone(), started_at_ms, requests_per_s })
    }

    /// All known limits, for a new leader.
    pub(crate) fn all(&self) -> Vec<LimitReport> {
        let limits = lock(&self.limits);
        limits.iter().map(|(upstream, limit)| limit.report(upstream)).collect()
    }

    /// Known limit of a run of an upstream.
    pub(crate) fn get(&self, upstream: &UpstreamId, started_at_ms: u64) -> Option<LimitReport> {
        let limits = lock(&self.limits);
        let limit = limits.get(upstream).filter(|limit| limit.started_at_ms == started_at_ms)?;
        Some(limit.report(upstream))
    }

    /// Takes a request from this daemon's share of a limit, for the time without a leader: one of
    /// `entry_daemons` equal parts of [`LEADERLESS_PART`]. Returns the time until the share allows it; zero if it does now.
    ///
    /// The daemons' first requests are spread at random over the interval between two of a share, as
    /// all lose the leader at about the same time.
    pub(crate) fn take_from_share(
        &self,
        now: Instant,
        upstream: &str,
        entry_daemons: u32,
    ) -> Duration {
        let mut limits = lock(&self.limits);
        let Some(limit) = limits.get_mut(upstream) else { return Duration::ZERO };
        let requests_per_s = limit.requests_per_s.max(MIN_REQUESTS_PER_S) * LEADERLESS_PART;
        let interval = Duration::from_secs_f64(f64::from(entry_daemons.max(1)) / requests_per_s);
        let random_start = || now + interval.mul_f64(fastrand::f64());
        let next = *limit.next_in_share.get_or_insert_with(random_start);
        if now >= next {
            limit.next_in_share = Some(now + interval);
        }
        next.saturating_duration_since(now)
    }
}
