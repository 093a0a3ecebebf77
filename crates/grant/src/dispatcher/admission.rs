//! Which requests are admitted, wait or are refused, and when refused callers should retry.

use super::{Dispatcher, ServiceState};
use crate::{
    directory::{Directory, DirectoryEntry},
    place::{
        MAX_PREFILL_ENGINES, helper_reservations, is_short, min_time_to_first_event,
        needs_idle_engine,
    },
    place_long::is_easily_on_time,
    request::{Decision, PlacementRequest, RefusalReason, RequestNeeds},
};
use std::time::{Duration, Instant};

/// Share of a long prompt's remaining time to its target within which the prompts ahead of it, and
/// itself, have to be prefilled. Otherwise it is refused at once.
const MAX_LONG_PROMPT_WAIT_SHARE: f64 = 0.25;
/// Shortest and longest time that a refused caller is told to wait before a retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(5));

impl Dispatcher {
    /// Refuses a request that must not or can't be run, and charges the retry budget.
    pub(super) fn admit(
        &mut self,
        request: &PlacementRequest,
        needs: &RequestNeeds,
    ) -> Result<(), RefusalReason> {
        if self.quarantined.contains(&request.request_hash) {
            return Err(RefusalReason::Quarantined);
        }
        let Some(service) = self.services.get_mut(&request.service) else {
            return Err(RefusalReason::NoUpstream);
        };
        if helper_reservations(&service.profile, needs).len() + 1 > MAX_PREFILL_ENGINES {
            return Err(RefusalReason::TooLarge);
        }
        if min_time_to_first_event(&service.profile, needs) > needs.first_event_deadline_remaining {
            return Err(RefusalReason::DeadlineUnmeetable);
        }
        match request.is_retry {
            true => service.budget.withdraw().map_err(|_| RefusalReason::RetryBudget),
            false => {
                service.budget.deposit();
                Ok(())
            }
        }
    }

    /// Why a waiting request is refused; `None` if it goes on waiting.
    pub(super) fn refusal_of_waiting(
        &self,
        request: &PlacementRequest,
        needs: &RequestNeeds,
    ) -> Option<RefusalReason> {
        if self.quarantined.contains(&request.request_hash) {
            return Some(RefusalReason::Quarantined);
        }
        let Some(service) = self.services.get(&request.service) else {
            return Some(RefusalReason::NoUpstream);
        };
        let min_time = min_time_to_first_event(&service.profile, needs);
        (min_time > needs.first_event_deadline_remaining)
            .then_some(RefusalReason::DeadlineUnmeetable)
    }

    /// Adds a request to the queue, or refuses it if no upstream is available, the limits of all
    /// are too low, or the prompts ahead of it take too long.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        directory: &Directory,
        request: PlacementRequest,
        needs: &RequestNeeds,
    ) -> Decision {
        let Some(service) = self.services.get(&request.service) else {
            return self.refuse(needs, RefusalReason::NoUpstream);
        };
        if service.fleet.available() == 0 {
            if self.upstreams_awaited_until.is_none_or(|until| until <= now) {
                return self.refuse(needs, RefusalReason::NoUpstream);
            }
            return self.add_to_queue(now, request, needs);
        }
        if let Some(wait) = self.limit_wait(now, directory, &request.service, needs)
            && wait > needs.first_event_deadline_remaining
        {
            let retry_after = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
            return Decision::Refused { reason: RefusalReason::DeadlineUnmeetable, retry_after };
        }
        if let Some(long_prompt_wait) = self.long_prompt_wait(now, service, &request, needs)
            && long_prompt_wait
                > needs.first_event_target_remaining.mul_f64(MAX_LONG_PROMPT_WAIT_SHARE)
            && !(is_easily_on_time(&service.profile, needs)
                && self.returns_as_promised(now, &request))
        {
            let retry_after = long_prompt_wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
            self.promises.promise(now, request.request_hash, retry_after);
            return Decision::Refused { reason: RefusalReason::DeadlineUnmeetable, retry_after };
        }
        self.add_to_queue(now, request, needs)
    }

    /// Adds a request to the queue.
    fn add_to_queue(
        &mut self,
        now: Instant,
        request: PlacementRequest,
        needs: &RequestNeeds,
    ) -> Decision {
        let service = self.services.get(&request.service);
        let needs_idle_engine =
            service.is_some_and(|service| needs_idle_engine(&service.profile, needs));
        self.waiting.add(now, request, needs_idle_engine);
        Decision::Waiting
    }

    /// Whether a request was refused before and returns when it was told to.
    fn returns_as_promised(&mut self, now: Instant, request: &PlacementRequest) -> bool {
        let is_redeemed = self.promises.redeem(now, request.request_hash);
        self.promises_redeemed += u64::from(is_redeemed);
        is_redeemed
    }

    /// If all available upstreams have limits, the time until these allow the request and those
    /// ahead of it.
    pub(super) fn limit_wait(
        &self,
        now: Instant,
        directory: &Directory,
        service: &str,
        needs: &RequestNeeds,
    ) -> Option<Duration> {
        if self.limits.is_empty() {
            return None;
        }
        let limit = |entry: &DirectoryEntry| self.limits.requests_per_s(&entry.registration.id);
        let limits: Option<Vec<f64>> = directory.available(service).map(limit).collect();
        let total = limits?.iter().sum();
        let profile = &self.services.get(service)?.profile;
        let second = Duration::from_secs(1);
        let requests = self.waiting.cost_ahead(now, service, needs, profile, |_| second) + second;
        Some(requests.div_f64(total))
    }

    /// For a long prompt, the time until it and the long prompts ahead of it are prefilled; `None`
    /// for a short one.
    pub(super) fn long_prompt_wait(
        &self,
        now: Instant,
        service: &ServiceState,
        request: &PlacementRequest,
        needs: &RequestNeeds,
    ) -> Option<Duration> {
        let profile = &service.profile;
        let cost = |needs: &RequestNeeds| match is_short(profile, needs) {
            true => Duration::ZERO,
            false => profile.prefill_time(needs.prompt_tokens),
        };
        if is_short(profile, needs) {
            return None;
        }
        let engines = service.fleet.available().max(1);
        let total =
            self.waiting.cost_ahead(now, &request.service, needs, profile, cost) + cost(needs);
        Some(total / u32::try_from(engines).unwrap_or(u32::MAX))
    }

    /// Refuses a request, with the time until the first engine of any service has finished its
    /// assigned prefill, at most a third of the remaining deadline, within [`RETRY_AFTER_RANGE`].
    pub(super) fn refuse(&self, needs: &RequestNeeds, reason: RefusalReason) -> Decision {
        let prefills =
            self.services.values().filter_map(|service| service.fleet.min_prefill_remaining());
        let free_in = prefills.min().unwrap_or_default();
        let retry_after = free_in.clamp(
            RETRY_AFTER_RANGE.0,
            RETRY_AFTER_RANGE
                .1
                .min(needs.first_event_deadline_remaining / 3)
                .max(RETRY_AFTER_RANGE.0),
        );
        Decision::Refused { reason, retry_after }
    }
}
