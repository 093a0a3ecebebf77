//! Queue of the requests that wait for an engine.

use crate::{
    place::can_be_on_time,
    request::{PlacementRequest, PlacementRequestId, RequestNeeds},
};
use routing::EngineProfile;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::ServiceId;

/// Time after which a placement request that is not repeated is dropped: several times the interval
/// at which entry daemons repeat it.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: PlacementRequest,
    arrived_at: Instant,
    /// When the entry daemon last sent the placement request.
    last_repeated: Instant,
    /// Whether short prompts make room for it until its target passes.
    needs_idle_engine: bool,
    /// Time before which it is not tried again.
    pub(crate) retry_at: Option<Instant>,
}

impl Waiter {
    /// Its needs, with its remaining times reduced by the time that it has waited.
    pub(crate) fn needs(&self, now: Instant) -> RequestNeeds {
        RequestNeeds::of(&self.request, now.saturating_duration_since(self.arrived_at))
    }

    /// When the target for its first event passes, or the deadline if that comes first.
    fn target_at(&self) -> Instant {
        let PlacementRequest {
            first_event_target_remaining: target,
            first_event_deadline_remaining: deadline,
            ..
        } = self.request;
        self.arrived_at + target.min(deadline)
    }
}

/// All waiting requests of the dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    waiters: BTreeMap<PlacementRequestId, Waiter>,
    /// Prompts that need idle engines, by service and by when their target passes.
    need_idle_engines: BTreeMap<ServiceId, BTreeSet<(Instant, PlacementRequestId)>>,
}

impl WaitingQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether any prompt of a service waits that needs idle engines and can still be on time.
    pub(crate) fn needs_idle_engine(&self, now: Instant, service: &str) -> bool {
        let latest = self.need_idle_engines.get(service).and_then(BTreeSet::last);
        latest.is_some_and(|(target_at, _)| *target_at > now)
    }

    /// Total cost of the waiting requests for the same service that are served before this one or
    /// have the same position.
    pub(crate) fn cost_ahead(
        &self,
        now: Instant,
        service: &str,
        needs: &RequestNeeds,
        profile: &EngineProfile,
        cost: impl Fn(&RequestNeeds) -> Duration,
    ) -> Duration {
        let position = queue_position(needs, can_be_on_time(profile, needs));
        let waiting = self.waiters.values().filter(|waiter| waiter.request.service == service);
        let ahead = waiting
            .map(|waiter| waiter.needs(now))
            .filter(|other| queue_position(other, can_be_on_time(profile, other)) <= position);
        ahead.map(|other| cost(&other)).sum()
    }

    /// Adds a request. `needs_idle_engine` tells whether short prompts make room for it.
    pub(crate) fn add(&mut self, now: Instant, request: PlacementRequest, needs_idle_engine: bool) {
        let id = request.id.clone();
        let waiter = Waiter {
            arrived_at: now,
            last_repeated: now,
            needs_idle_engine,
            retry_at: None,
            request,
        };
        if needs_idle_engine {
            let waiting = self.need_idle_engines.entry(waiter.request.service.clone()).or_default();
            waiting.insert((waiter.target_at(), id.clone()));
        }
        self.waiters.insert(id, waiter);
    }

    /// Records that the entry daemon has repeated a request. Returns whether it waits.
    pub(crate) fn repeated(&mut self, now: Instant, id: &PlacementRequestId) -> bool {
        let Some(waiter) = self.waiters.get_mut(id) else { return false };
        waiter.last_repeated = now;
        true
    }

    /// Doesn't try a request again until `at`.
    pub(crate) fn retry_at(&mut self, id: &PlacementRequestId, at: Instant) {
        if let Some(waiter) = self.waiters.get_mut(id) {
            waiter.retry_at = Some(at);
        }
    }

    pub(crate) fn remove(&mut self, id: &PlacementRequestId) {
        let Some(waiter) = self.waiters.remove(id).filter(|waiter| waiter.needs_idle_engine) else {
            return;
        };
        if let Some(waiting) = self.need_idle_engines.get_mut(&waiter.request.service) {
            waiting.remove(&(waiter.target_at(), id.clone()));
        }
    }

    /// All waiting requests in the order in which they are served: by priority, then those that can
    /// still be on time before the others, then by remaining time. `can_be_on_time` decides, by the
    /// service and the needs of a request.
    pub(crate) fn in_order(
        &self,
        now: Instant,
        can_be_on_time: impl Fn(&str, &RequestNeeds) -> bool,
    ) -> Vec<(&Waiter, RequestNeeds)> {
        let position = |waiter: &Waiter, needs: &RequestNeeds| {
            queue_position(needs, can_be_on_time(&waiter.request.service, needs))
        };
        let mut waiting: Vec<(&Waiter, RequestNeeds)> =
            self.waiters.values().map(|waiter| (waiter, waiter.needs(now))).collect();
        waiting.sort_by_cached_key(|(waiter, needs)| position(waiter, needs));
        waiting
    }

    /// Drops requests that their entry daemon no longer repeats.
    pub(crate) fn drop_abandoned(&mut self, now: Instant) {
        let is_abandoned =
            |w: &&Waiter| now.saturating_duration_since(w.last_repeated) >= REPEAT_TIMEOUT;
        let abandoned = self.waiters.values().filter(is_abandoned);
        let abandoned: Vec<PlacementRequestId> = abandoned.map(|w| w.request.id.clone()).collect();
        abandoned.iter().for_each(|id| self.remove(id));
    }
}

/// Sort key of the queue; the lowest is served first. Requests that can't be on time come after those
/// that can: served first, they would make these late too.
fn queue_position(needs: &RequestNeeds, can_be_on_time: bool) -> (u8, bool, Duration) {
    let remaining = match can_be_on_time {
        true => needs.first_event_target_remaining,
        false => needs.first_event_deadline_remaining,
    };
    (needs.priority, !can_be_on_time, remaining)
}
