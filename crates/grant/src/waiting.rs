//! Requests that wait for an engine.

use crate::request::{PlacementRequest, PlacementRequestId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a question that is not asked again is dropped: several times the
/// interval at which entry daemons repeat it.
const FORGET: Duration = Duration::from_millis(1_000);

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) ask: PlacementRequest,
    pub(crate) arrived: Instant,
    asked: Instant,
}

impl Waiter {
    /// The request with the times that are left now.
    pub(crate) fn at(&self, now: Instant) -> PlacementRequest {
        let passed = now.saturating_duration_since(self.arrived);
        let mut ask = self.ask.clone();
        ask.target_remaining = ask.target_remaining.saturating_sub(passed);
        ask.deadline_remaining = ask.deadline_remaining.saturating_sub(passed);
        ask.time_remaining = ask.time_remaining.saturating_sub(passed);
        ask
    }
}

/// All requests that wait, in the order in which they are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waiting {
    waiters: BTreeMap<PlacementRequestId, Waiter>,
}

impl Waiting {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether any request for a service that waits is of a kind.
    pub(crate) fn any(
        &self,
        now: Instant,
        service: &str,
        is_kind: impl Fn(&PlacementRequest) -> bool,
    ) -> bool {
        self.waiters.values().any(|w| w.ask.service == service && is_kind(&w.at(now)))
    }

    /// Sum over the requests for the same service that wait and go before this one.
    pub(crate) fn before(
        &self,
        now: Instant,
        ask: &PlacementRequest,
        cost: impl Fn(&PlacementRequest) -> Duration,
    ) -> Duration {
        let waiting = self.waiters.values().filter(|w| w.ask.service == ask.service);
        let waiting = waiting.map(|w| w.at(now)).filter(|other| rank(other) <= rank(ask));
        waiting.map(|other| cost(&other)).sum()
    }

    /// Adds a request, or notes that it still waits.
    pub(crate) fn add(&mut self, now: Instant, ask: PlacementRequest) {
        let waiter = Waiter { arrived: now, asked: now, ask };
        self.waiters.entry(waiter.ask.id.clone()).or_insert(waiter).asked = now;
    }

    pub(crate) fn contains(&self, id: &PlacementRequestId) -> bool {
        self.waiters.contains_key(id)
    }

    pub(crate) fn remove(&mut self, id: &PlacementRequestId) {
        self.waiters.remove(id);
    }

    /// Those that wait, the most urgent first: by rank, then those that can still be on
    /// time before those that can't, then by what time they have left.
    pub(crate) fn in_order(&self, now: Instant) -> Vec<PlacementRequest> {
        let mut asks: Vec<PlacementRequest> =
            self.waiters.values().map(|waiter| waiter.at(now)).collect();
        asks.sort_by_key(rank);
        asks
    }

    /// Drops those whose entry daemon no longer asks.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        self.waiters.retain(|_, w| now.saturating_duration_since(w.asked) < FORGET);
    }
}

/// Place among those that wait: the least goes first.
fn rank(ask: &PlacementRequest) -> (u8, bool, Duration) {
    let is_late = ask.target_remaining.is_zero();
    let left = if is_late { ask.deadline_remaining } else { ask.target_remaining };
    (ask.priority, is_late, left)
}
