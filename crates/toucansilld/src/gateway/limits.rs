//! Limits on the requests per second that upstreams take from all daemons together.
//!
//! An upstream in need names its limit in its responses, for as long as the limit holds. So an entry
//! knows the limits of the upstreams that have responded to it.

use crate::sync::lock;
use std::{collections::BTreeMap, sync::Mutex, time::Instant};
use wire::UpstreamId;

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
}

impl KnownLimits {
    /// Records the limit that a response names, or that it names none. The request was sent at
    /// `sent_at` to the run of the upstream that started at `started_at_ms`.
    pub(crate) fn response_received(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        started_at_ms: u64,
        sent_at: Instant,
        requests_per_s: Option<f64>,
    ) {
        let mut limits = lock(&self.limits);
        let known = limits.get(upstream).filter(|known| known.started_at_ms == started_at_ms);
        let former = known.map(|known| known.requests_per_s);
        match requests_per_s {
            Some(requests_per_s) => {
                let limit = KnownLimit { started_at_ms, requests_per_s, received_at: now };
                limits.insert(upstream.clone(), limit);
            }
            // The response to an earlier request may have overtaken one that names a limit.
            None if known.is_some_and(|known| known.received_at > sent_at) => return,
            None => drop(limits.remove(upstream)),
        }
        if former != requests_per_s {
            log::info!(
                upstream = upstream.as_str(), born = started_at_ms, former:? = former,
                requests_per_s:? = requests_per_s; "upstream names another limit"
            );
            metrics::gauge!("toucansill_upstreams_limited").set(limits.len() as f64);
        }
    }
}
