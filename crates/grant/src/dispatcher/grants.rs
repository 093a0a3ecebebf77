//! Grants from their start to their end: what they add to the engines, and what their progress tells.

use super::Dispatcher;
use crate::{
    directory::{Directory, DirectoryEntry},
    engine::{EngineRequest, prefill_part},
    request::{
        Grant, GrantId, Helper, PlacementRequest, PlacementRequestId, RequestNeeds, RequestOutcome,
        RunningRequest,
    },
};
use std::time::{Duration, Instant};
use wire::{DaemonId, Tokens};

/// Time after the deadline for the first event at which a grant without a reported end is released:
/// longer than any of the users' streams takes to decode.
const GRANT_EXPIRY_MARGIN: Duration = Duration::from_secs(15);
/// Share of a request's remaining time within which its response is expected to end: the rest is
/// for what the expectation omits, as with first events.
const COMPLETION_TIME_SHARE: f64 = 0.8;
/// Assumed batch size while a response is decoded: half of an upstream's slots.
const TYPICAL_BATCH_SIZE: usize = 8;

/// A placement request with its grant.
#[derive(Debug)]
pub(super) struct GrantedRequest {
    pub(super) request: PlacementRequest,
    pub(super) grant: Grant,
    pub(super) granted_at: Instant,
    /// Time at which the grant is released unless its end has been reported.
    pub(super) expires_at: Instant,
    pub(super) has_first_event: bool,
    /// Whether the upstream had a limit when it was granted here. If its response is not reported to
    /// name one, the limit has ended.
    pub(super) was_limited: bool,
}

impl Dispatcher {
    /// Records that the first event of a granted request has arrived.
    pub fn first_event_received(&mut self, now: Instant, request_id: &PlacementRequestId) {
        if let Some(id) = self.grants_by_request.get(request_id) {
            self.record_first_event(now, *id);
        }
    }

    /// Updates the state of the engines by the first event of a grant; later ones are ignored.
    pub(super) fn record_first_event(&mut self, now: Instant, id: GrantId) {
        let Some(granted) = self.granted.get_mut(&id).filter(|granted| !granted.has_first_event)
        else {
            return;
        };
        granted.has_first_event = true;
        if granted.was_limited {
            self.limits.response_received(&granted.grant.upstream, granted.granted_at);
        }
        let actual = now.saturating_duration_since(granted.granted_at);
        let (service, grant) = (granted.request.service.clone(), granted.grant.clone());
        for upstream in grant.upstreams() {
            if let Some(engine) = self.engine_mut(&service, upstream) {
                engine.advance(now);
                engine.first_event_received(now, id);
            }
        }
        let granted_at = now.checked_sub(actual).unwrap_or(now);
        if let Some(service) = self.services.get_mut(&service)
            && let Some(pace) = service.fleet.pace_mut(&grant.upstream)
        {
            pace.first_event(granted_at, now, grant.expected_first_event);
        }
        if let Some(engine) = self.engine_mut(&service, &grant.upstream) {
            engine.record_first_event_time(grant.expected_first_event, actual);
        }
    }

    /// Records that a granted request has ended, or that a waiting one was given up.
    pub fn request_ended(
        &mut self,
        now: Instant,
        request_id: &PlacementRequestId,
        outcome: RequestOutcome,
    ) {
        self.waiting.remove(request_id);
        let Some(id) = self.grants_by_request.get(request_id).copied() else { return };
        let Some(granted) = self.release(now, id) else { return };
        if outcome.is_failure()
            && let Some(service) = self.services.get_mut(&granted.request.service)
            && let Some(pace) = service.fleet.pace_mut(&granted.grant.upstream)
        {
            pace.failed(granted.granted_at, now);
        }
        if let Some(engine) = self.engine_mut(&granted.request.service, &granted.grant.upstream) {
            match outcome {
                RequestOutcome::Completed => engine.record_success(now),
                outcome if outcome.is_failure() => engine.record_failure(now),
                _ => {}
            }
        }
    }

    /// Releases all grants of a daemon that was lost.
    pub fn daemon_lost(&mut self, now: Instant, daemon: &DaemonId) {
        self.reported_revisions.remove(daemon);
        let lost_grants: Vec<GrantId> = self
            .granted
            .iter()
            .filter(|(_, granted)| granted.request.id.daemon == *daemon)
            .map(|(id, _)| *id)
            .collect();
        for id in lost_grants {
            self.release(now, id);
        }
    }

    /// Takes over a request that a former leader granted. It is ignored if its service or upstream
    /// is no longer known here.
    pub fn adopt_running(&mut self, now: Instant, directory: &Directory, running: &RunningRequest) {
        if self.grants_by_request.contains_key(&running.request.id) {
            return;
        }
        let Some(service) = self.services.get(&running.request.service) else { return };
        let Some(entry) = directory.get(&running.upstream) else { return };
        let profile = service.profile.clone();
        let own_part =
            prefill_part(&profile, running.request.prompt_tokens, running.helpers.len() + 1);
        let helpers = running.helpers.iter().filter_map(|id| directory.get(id));
        let helpers = helpers.map(|entry| helper_of(entry, 0));
        let prefill = (own_part.time, own_part.per_pass);
        let grant = Grant {
            id: self.next_grant,
            upstream: running.upstream.clone(),
            address: entry.registration.address,
            helpers: helpers.collect(),
            expected_first_event: own_part.time,
        };
        self.sync_engines(now, directory, &running.request.service);
        let needs = RequestNeeds::of(&running.request, Duration::ZERO);
        self.start_request(now, &running.request, &needs, grant.clone(), prefill);
        if running.has_first_event {
            self.record_first_event(now, grant.id);
        }
    }

    /// Enters a grant into the state of its engines. Each of them prefills a part of the prompt.
    pub(super) fn start_request(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        needs: &RequestNeeds,
        grant: Grant,
        (prefill_time, prefill_per_pass): (Duration, Duration),
    ) {
        self.next_grant += 1;
        let reserved: Tokens = grant.helpers.iter().map(|helper| helper.reserve_tokens).sum();
        let engine_request = EngineRequest {
            prefill_slack: self.prefill_slack(request, needs, grant.expected_first_event),
            tokens: request.prompt_tokens + request.max_output_tokens - reserved,
            pause_target: request.pause_target,
            is_prefilled: false,
            first_event_slack: needs
                .first_event_target_remaining
                .checked_sub(grant.expected_first_event),
        };
        if let Some(engine) = self.engine_mut(&request.service, &grant.upstream) {
            engine.add_request(now, grant.id, engine_request);
        }
        for upstream in grant.upstreams() {
            if let Some(engine) = self.engine_mut(&request.service, upstream) {
                engine.add_prefill(now, grant.id, prefill_time, prefill_per_pass);
            }
        }
        for helper in &grant.helpers {
            if let Some(engine) = self.engine_mut(&request.service, &helper.upstream) {
                engine.reserve(grant.id, helper.reserve_tokens);
            }
        }
        self.grants_by_request.insert(request.id.clone(), grant.id);
        let expires_at = now + needs.first_event_deadline_remaining + GRANT_EXPIRY_MARGIN;
        self.grants_by_expiry.insert((expires_at, grant.id));
        let granted = GrantedRequest {
            request: request.clone(),
            granted_at: now,
            expires_at,
            has_first_event: false,
            was_limited: false,
            grant,
        };
        self.granted.insert(granted.grant.id, granted);
    }

    /// Time that an engine may spend on prefill for others while it decodes this response.
    pub(super) fn prefill_slack(
        &self,
        request: &PlacementRequest,
        needs: &RequestNeeds,
        first_event: Duration,
    ) -> Duration {
        let Some(service) = self.services.get(&request.service) else { return Duration::ZERO };
        let passes =
            request.max_output_tokens.div_ceil(u64::from(service.profile.steps_per_pass.max(1)));
        let pass = service.profile.decode_time(TYPICAL_BATCH_SIZE, request.prompt_tokens);
        let decoding = pass * u32::try_from(passes).unwrap_or(u32::MAX);
        needs
            .response_time_remaining
            .mul_f64(COMPLETION_TIME_SHARE)
            .saturating_sub(first_event + decoding)
    }

    /// Removes a grant from the state of its engines.
    pub(super) fn release(&mut self, now: Instant, id: GrantId) -> Option<GrantedRequest> {
        let granted = self.granted.remove(&id)?;
        self.grants_by_request.remove(&granted.request.id);
        self.grants_by_expiry.remove(&(granted.expires_at, id));
        for upstream in granted.grant.upstreams() {
            if let Some(engine) = self.engine_mut(&granted.request.service, upstream) {
                engine.advance(now);
                engine.remove(id);
            }
        }
        Some(granted)
    }

    /// Releases grants whose daemons should have ended them long ago.
    pub(super) fn release_expired(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.grants_by_expiry.first().copied()
            && expires_at <= now
        {
            self.release(now, id);
        }
    }
}

/// The upstream of an entry as a helper with this reservation.
fn helper_of(entry: &DirectoryEntry, reserve_tokens: Tokens) -> Helper {
    let registration = &entry.registration;
    Helper { upstream: registration.id.clone(), address: registration.address, reserve_tokens }
}
