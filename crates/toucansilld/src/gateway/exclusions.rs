//! Upstreams that an entry sends no requests to, because their responses have said so.

use crate::sync::lock;
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time after which an entry forgets that an upstream leaves: longer than any takes to be gone.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Upstreams that get no requests of this entry.
#[derive(Default)]
pub(crate) struct Exclusions {
    leaving: Mutex<BTreeMap<UpstreamId, LeavingRun>>,
}

/// Run of an upstream that leaves.
struct LeavingRun {
    /// Start time of the run, in milliseconds since the Unix epoch on the upstream's clock.
    started_at_ms: u64,
    learnt_at: Instant,
}

impl Exclusions {
    /// Records that a run of an upstream leaves. Returns whether that is new.
    pub(crate) fn leaves(&self, now: Instant, upstream: &UpstreamId, started_at_ms: u64) -> bool {
        let mut leaving = lock(&self.leaving);
        let is_recent =
            |run: &LeavingRun| now.saturating_duration_since(run.learnt_at) < LEAVING_RETENTION;
        leaving.retain(|_, run| is_recent(run));
        if leaving.get(upstream).is_some_and(|run| run.started_at_ms >= started_at_ms) {
            return false;
        }
        leaving.insert(upstream.clone(), LeavingRun { started_at_ms, learnt_at: now });
        metrics::gauge!("toucansill_upstreams_leaving").set(leaving.len() as f64);
        log::info!(
            upstream = upstream.as_str(), born = started_at_ms;
            "upstream leaves, by its response"
        );
        true
    }

    /// Whether this run of an upstream gets no requests.
    pub(crate) fn contains(&self, upstream: &UpstreamId, started_at_ms: u64) -> bool {
        let leaving = lock(&self.leaving);
        leaving.get(upstream).is_some_and(|run| run.started_at_ms == started_at_ms)
    }
}
