//! Queue of the requests that wait for an engine.

use crate::request::{PlacementRequest, PlacementRequestId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a placement request that is not repeated is dropped: several times the interval
/// at which entry daemons repeat it.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: PlacementRequest,
    pub(crate) arrived_at: Instant,
    /// When the entry daemon last sent the placement request.
    last_repeated: Instant,
}

impl Waiter {
    /// The request with its time limits reduced by the time that it has waited.
    pub(crate) fn at(&self, now: Instant) -> PlacementRequest {
        let passed = now.saturating_duration_since(self.arrived_at);
        let mut request = self.request.clone();
        request.first_event_target_remaining =
            request.first_event_target_remaining.saturating_sub(passed);
        request.first_event_deadline_remaining =
            request.first_event_deadline_remaining.saturating_sub(passed);
        request.response_time_remaining = request.response_time_remaining.saturating_sub(passed);
        request
    }
}

/// All waiting requests of the dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    waiters: BTreeMap<PlacementRequestId, Waiter>,
}

impl WaitingQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether the predicate holds for any waiting request of a service.
    pub(crate) fn any(
        &self,
        now: Instant,
        service: &str,
        predicate: impl Fn(&PlacementRequest) -> bool,
    ) -> bool {
        self.waiters.values().any(|w| w.request.service == service && predicate(&w.at(now)))
    }

    /// Total cost of the waiting requests for the same service that are served before this one or
    /// have the same position.
    pub(crate) fn cost_ahead(
        &self,
        now: Instant,
        request: &PlacementRequest,
        cost: impl Fn(&PlacementRequest) -> Duration,
    ) -> Duration {
        let waiting = self.waiters.values().filter(|w| w.request.service == request.service);
        let waiting = waiting
            .map(|w| w.at(now))
            .filter(|other| queue_position(other) <= queue_position(request));
        waiting.map(|other| cost(&other)).sum()
    }

    /// Adds a request, or records that a waiting one was repeated.
    pub(crate) fn add(&mut self, now: Instant, request: PlacementRequest) {
        let waiter = Waiter { arrived_at: now, last_repeated: now, request };
        self.waiters.entry(waiter.request.id.clone()).or_insert(waiter).last_repeated = now;
    }

    pub(crate) fn contains(&self, id: &PlacementRequestId) -> bool {
        self.waiters.contains_key(id)
    }

    pub(crate) fn remove(&mut self, id: &PlacementRequestId) {
        self.waiters.remove(id);
    }

    /// All waiting requests in the order in which they are served: by priority, then those whose
    /// target has not passed before the others, then by remaining time.
    pub(crate) fn in_order(&self, now: Instant) -> Vec<PlacementRequest> {
        let mut requests: Vec<PlacementRequest> =
            self.waiters.values().map(|waiter| waiter.at(now)).collect();
        requests.sort_by_key(queue_position);
        requests
    }

    /// Drops requests that their entry daemon no longer repeats.
    pub(crate) fn drop_abandoned(&mut self, now: Instant) {
        self.waiters.retain(|_, w| now.saturating_duration_since(w.last_repeated) < REPEAT_TIMEOUT);
    }
}

/// Sort key of the queue; the lowest is served first.
fn queue_position(request: &PlacementRequest) -> (u8, bool, Duration) {
    let is_target_passed = request.first_event_target_remaining.is_zero();
    let remaining = if is_target_passed {
        request.first_event_deadline_remaining
    } else {
        request.first_event_target_remaining
    };
    (request.priority, is_target_passed, remaining)
}
