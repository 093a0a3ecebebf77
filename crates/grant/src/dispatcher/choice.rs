//! Tries to place one request on the engines as they are now.

use super::{Dispatcher, ServiceState, is_current_run};
use crate::{
    directory::{Directory, Revision},
    fleet::{Fleet, FleetEngine},
    place::{Candidate, Candidates, Placement, helper_reservations, is_short},
    place_long::{LongCapacity, choose_long},
    place_short::{ShortObstacle, choose_short},
    request::{Grant, Helper, PlacementRequest, RequestNeeds},
};
use std::{
    cell::Cell,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time within which a complete response shows that an upstream works although its registrations
/// are missing.
const RECENT_SUCCESS_WINDOW: Duration = Duration::from_secs(3);

/// What a poll has learnt about the requests of a service that have to wait, so that it examines the
/// engines for few of the others. Grants that it makes meanwhile only add work to the engines.
#[derive(Default)]
pub(super) struct Obstacles {
    pub(super) short: Vec<ShortObstacle>,
    pub(super) long: Vec<LongCapacity>,
}

impl Dispatcher {
    /// Grants a request if any engines can run it now, unless the obstacles that others have met
    /// show that none can. One that it meets is added to them.
    pub(super) fn place(
        &mut self,
        now: Instant,
        directory: &Directory,
        request: &PlacementRequest,
        needs: &RequestNeeds,
        long_prompts_wait: bool,
        obstacles: Option<&mut Obstacles>,
    ) -> Option<Grant> {
        self.sync_engines(now, directory, &request.service);
        let service = self.services.get(&request.service)?;
        let profile = &service.profile;
        let engines = service.fleet.engines();
        let tried = indices_to_avoid(&service.fleet, &request.tried);
        let known_revision = self.reported_revisions.get(&request.id.daemon);
        let known_revision = known_revision.copied().unwrap_or(Revision::MAX);
        let examined = Cell::new(0);
        let examine = |i: usize| {
            examined.set(examined.get() + 1);
            let engine: &FleetEngine = &engines[i];
            let may_run =
                engine.is_available && engine.run_revision <= known_revision && !tried.contains(&i);
            may_run.then(|| self.candidate(now, directory, service, engine))
        };
        let candidates = Candidates {
            count: service.fleet.available() - tried.len(),
            engines: engines.len(),
            examine: &examine,
        };
        // What stands in the way of a request that has tried engines, or whose daemon doesn't know
        // all, need not do so for others.
        let has_all = tried.is_empty() && known_revision >= service.fleet.newest_run();
        let obstacles = obstacles.filter(|_| has_all);
        let is_short = is_short(profile, needs);
        let collected = service.collection.kept_from(&request.id);
        let placement = match (is_short, obstacles) {
            (true, Some(obstacles)) => {
                if obstacles.short.iter().any(|obstacle| obstacle.blocks(profile, needs)) {
                    return None;
                }
                let chosen = choose_short(profile, needs, &candidates, long_prompts_wait);
                if let Err(obstacle) = chosen {
                    obstacles.short.push(obstacle);
                }
                chosen.ok()
            }
            (true, None) => choose_short(profile, needs, &candidates, long_prompts_wait).ok(),
            (false, Some(obstacles)) => {
                let capacity = obstacles.long_capacity(needs, &candidates);
                let may_suffice = capacity.may_suffice(profile, needs);
                may_suffice.then(|| choose_long(profile, needs, &candidates, collected)).flatten()
            }
            (false, None) => choose_long(profile, needs, &candidates, collected),
        };
        let grant = placement.map(|placement| {
            let Placement { main, helpers, prefill, expected_first_event } = placement;
            // The first helpers hold what does not fit into the memory of the decoding engine.
            let mut reservations = helper_reservations(profile, needs).into_iter();
            let helpers = helpers.iter().map(|i| Helper {
                upstream: engines[*i].upstream.clone(),
                address: engines[*i].address,
                reserve_tokens: reservations.next().unwrap_or(0),
            });
            let grant = Grant {
                id: self.next_grant,
                upstream: engines[main].upstream.clone(),
                address: engines[main].address,
                helpers: helpers.collect(),
                expected_first_event,
            };
            (grant, prefill)
        });
        self.engines_examined += examined.get();
        let (grant, prefill) = grant?;
        self.start_request(now, request, needs, grant.clone(), prefill);
        if let Some(granted) = self.granted.get_mut(&grant.id) {
            granted.was_limited = self.limits.is_known(&grant.upstream);
        }
        self.limits.request_sent(now, &grant.upstream);
        Some(grant)
    }

    /// State of an upstream as the choice of engines needs it.
    pub(super) fn candidate<'a>(
        &self,
        now: Instant,
        directory: &Directory,
        service: &ServiceState,
        engine: &'a FleetEngine,
    ) -> Candidate<'a> {
        let FleetEngine { upstream, slots, timestamps, engine, pace, .. } = engine;
        let heard = directory.time_since_heard_at(now, *timestamps);
        let is_silent = heard > self.cfg.silence_timeout
            && !engine.succeeded_within(now, RECENT_SUCCESS_WINDOW);
        let is_cold = directory.is_cold_at(now, *timestamps);
        // The limit for cold upstreams applies to all, as the registration that reports a cold
        // start arrives late.
        let is_at_cold_limit = service.cold_requests_per_s > 0.0
            && engine.recent_attempts() as f64 >= service.cold_requests_per_s;
        let is_full = is_at_cold_limit || !self.limits.wait(now, upstream).is_zero();
        let learns_pace = self.cfg.learns_pace;
        let permitted = if learns_pace { pace.permitted().min(*slots) } else { *slots };
        Candidate {
            engine,
            now,
            slots: if is_full { 0 } else { permitted },
            is_unproven: is_cold && !pace.is_full(),
            is_doubtful: is_silent || (is_cold && !learns_pace) || engine.has_failed_recently(now),
        }
    }

    /// Updates the engines of a service from the directory, and advances them to `now`.
    pub(super) fn sync_engines(&mut self, now: Instant, directory: &Directory, service_id: &str) {
        let Some(service) = self.services.get_mut(service_id) else { return };
        if service.fleet.sync(service_id, &service.profile, directory) {
            self.limits.retain(|id, started_at_ms| is_current_run(directory, id, started_at_ms));
        }
        service.fleet.advance(now);
    }
}

impl Obstacles {
    /// Engines that may prefill long prompts like this one.
    fn long_capacity(&mut self, needs: &RequestNeeds, candidates: &Candidates<'_>) -> LongCapacity {
        if let Some(known) = self.long.iter().find(|known| known.is_for(needs)) {
            return *known;
        }
        let capacity = LongCapacity::of(needs, candidates);
        self.long.push(capacity);
        capacity
    }
}

/// Indices of the available engines that a request has tried; none if it has tried all.
fn indices_to_avoid(fleet: &Fleet, tried: &[UpstreamId]) -> Vec<usize> {
    let indices = tried.iter().filter_map(|upstream| fleet.index_of(upstream));
    let mut tried: Vec<usize> = indices.filter(|i| fleet.engines()[*i].is_available).collect();
    tried.sort_unstable();
    tried.dedup();
    if tried.len() == fleet.available() { Vec::new() } else { tried }
}
