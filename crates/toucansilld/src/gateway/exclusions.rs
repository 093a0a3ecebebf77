//! Upstreams that an entry sends no requests to, because their responses have said so: those that
//! leave, and those that have turned this entry away for a time.

use crate::sync::lock;
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time after which an entry forgets that an upstream leaves: longer than any takes to be gone.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Time after which a caller may try again whose request only upstreams that leave could have run:
/// others register soon in their place.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Upstreams that get no requests of this entry.
#[derive(Default)]
pub(crate) struct Exclusions {
    runs: Mutex<BTreeMap<UpstreamId, ExcludedRun>>,
}

/// Run of an upstream that gets no requests.
#[derive(Clone, Copy)]
struct ExcludedRun {
    /// Start time of the run, in milliseconds since the Unix epoch on the upstream's clock.
    started_at_ms: u64,
    /// When this was first learnt.
    since: Instant,
    until: Instant,
    is_leaving: bool,
}

impl Exclusions {
    /// Records that a run of an upstream leaves. Returns whether that is new.
    pub(crate) fn leaves(&self, now: Instant, upstream: &UpstreamId, started_at_ms: u64) -> bool {
        let mut runs = lock(&self.runs);
        let known = runs.get(upstream).copied();
        if known.is_some_and(|run| run.is_leaving && run.started_at_ms >= started_at_ms) {
            return false;
        }
        let until = now + LEAVING_RETENTION;
        let run = ExcludedRun { started_at_ms, since: now, until, is_leaving: true };
        runs.insert(upstream.clone(), run);
        log::info!(
            upstream = upstream.as_str(), born = started_at_ms;
            "upstream leaves, by its response"
        );
        report_counts(&runs);
        true
    }

    /// Records that a run of an upstream wants no requests of this daemon for a time.
    pub(crate) fn turned_away(
        &self,
        now: Instant,
        upstream: &UpstreamId,
        started_at_ms: u64,
        time: Duration,
    ) {
        let mut runs = lock(&self.runs);
        let known = runs.get(upstream).copied();
        if known.is_some_and(|run| run.started_at_ms > started_at_ms) {
            return;
        }
        let known = known.filter(|run| run.started_at_ms == started_at_ms && run.until > now);
        match known {
            Some(run) if run.until >= now + time => return,
            Some(_) => {}
            None => log::info!(
                upstream = upstream.as_str(), born = started_at_ms,
                for_ms = time.as_millis() as u64; "upstream turns requests away"
            ),
        }
        let since = known.map_or(now, |run| run.since);
        let run = ExcludedRun { started_at_ms, since, until: now + time, is_leaving: false };
        runs.insert(upstream.clone(), run);
        report_counts(&runs);
    }

    /// Time after which a request for this run of an upstream may be tried again; `None` if it may be
    /// sent now.
    pub(crate) fn remaining(
        &self,
        now: Instant,
        upstream: &str,
        started_at_ms: u64,
    ) -> Option<Duration> {
        let mut runs = lock(&self.runs);
        if runs.values().any(|run| run.until <= now) {
            remove_expired(&mut runs, now);
        }
        let run = runs.get(upstream).filter(|run| run.started_at_ms == started_at_ms)?;
        Some(match run.is_leaving {
            true => LEAVING_RETRY_AFTER,
            false => run.until.saturating_duration_since(now),
        })
    }

    /// Whether this run of an upstream leaves.
    pub(crate) fn is_leaving(&self, upstream: &str, started_at_ms: u64) -> bool {
        let runs = lock(&self.runs);
        runs.get(upstream).is_some_and(|run| run.is_leaving && run.started_at_ms == started_at_ms)
    }

    /// Whether all upstreams may get requests.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.runs).is_empty()
    }
}

/// Removes the runs whose time is over.
fn remove_expired(runs: &mut BTreeMap<UpstreamId, ExcludedRun>, now: Instant) {
    runs.retain(|upstream, run| {
        let is_over = run.until <= now;
        if is_over {
            let excluded = now.saturating_duration_since(run.since);
            log::info!(
                upstream = upstream.as_str(), born = run.started_at_ms,
                excluded_ms = excluded.as_millis() as u64; "upstream may get requests again"
            );
        }
        !is_over
    });
    report_counts(runs);
}

fn report_counts(runs: &BTreeMap<UpstreamId, ExcludedRun>) {
    let leaving = runs.values().filter(|run| run.is_leaving).count();
    metrics::gauge!("toucansill_upstreams_leaving").set(leaving as f64);
    let turned_away = runs.len() - leaving;
    metrics::gauge!("toucansill_upstreams_turning_away").set(turned_away as f64);
}
