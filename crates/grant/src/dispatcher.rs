//! The dispatcher: state of all granted requests for engines of a region, and the order of the
//! waiting ones.

use crate::{
    directory::{Directory, DirectoryEntry, Revision},
    engine::{Engine, EngineRequest, prefill_part},
    fleet::{Fleet, FleetEngine},
    limit::{LimitReport, UpstreamLimits},
    place::{
        Candidate, Candidates, MAX_PREFILL_ENGINES, Placement, helper_reservations, is_short,
        min_time_to_first_event, needs_idle_engine,
    },
    place_long::{LongCapacity, choose_long},
    place_short::{ShortObstacle, choose_short},
    request::{
        Decision, Grant, GrantId, Helper, PlacementRequest, PlacementRequestId, RefusalReason,
        RequestNeeds, RequestOutcome, RunningRequest,
    },
    waiting::WaitingQueue,
};
use route::{RequestHash, RetryBudget};
use routing::{EngineProfile, Service};
use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, ServiceId, Tokens, UpstreamId};

/// Time after the deadline for the first event at which a grant without a reported end is released:
/// longer than any of the users' streams takes to decode.
const GRANT_EXPIRY_MARGIN: Duration = Duration::from_secs(15);
/// Share of the allowed retries that the dispatcher grants. The rest is for entry daemons that
/// can't reach it.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// Share of the full retry balance with which a dispatcher starts: its predecessors may have spent
/// theirs within the same window, and three leaders in one window are rare.
const INITIAL_BUDGET_SHARE: f64 = 0.3;
/// Time within which a complete response shows that an upstream works although its registrations
/// are missing.
const RECENT_SUCCESS_WINDOW: Duration = Duration::from_secs(3);
/// Share of a long prompt's remaining time to its target within which the prompts ahead of it, and
/// itself, have to be prefilled. Otherwise it is refused at once.
const MAX_LONG_PROMPT_WAIT_SHARE: f64 = 0.25;
/// Share of a request's remaining time within which its response is expected to end: the rest is
/// for what the expectation omits, as with first events.
const COMPLETION_TIME_SHARE: f64 = 0.8;
/// Interval at which a long prompt that waits is tried: examining all engines for it takes long, and
/// they change little meanwhile.
const LONG_PROMPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Assumed batch size while a response is decoded: half of an upstream's slots.
const TYPICAL_BATCH_SIZE: usize = 8;
/// Shortest and longest time that a refused caller is told to wait before a retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(5));

/// Limits of a dispatcher, from the settings of the deployment.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Retries allowed for each first attempt.
    pub retry_ratio: f64,
    /// Retries allowed in addition to those in proportion to first attempts.
    pub retry_slack: f64,
    /// Time without a registration after which an upstream is avoided, unless it completed a
    /// response within the last 3 s.
    pub silence_timeout: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_slack: 100.0, silence_timeout: Duration::from_millis(4_600) }
    }
}

/// Profile, cold-start limit, retry budget and engines of one service.
#[derive(Debug)]
struct ServiceState {
    profile: EngineProfile,
    /// Requests per second that a cold engine can serve; 0 for no limit.
    cold_requests_per_s: f64,
    budget: RetryBudget,
    fleet: Fleet,
}

/// What a poll has learnt about the requests of a service that have to wait, so that it examines the
/// engines for few of the others. Grants that it makes meanwhile only add work to the engines.
#[derive(Default)]
struct Obstacles {
    short: Vec<ShortObstacle>,
    long: Vec<LongCapacity>,
}

/// A placement request with its grant.
#[derive(Debug)]
struct GrantedRequest {
    request: PlacementRequest,
    grant: Grant,
    granted_at: Instant,
    /// Time at which the grant is released unless its end has been reported.
    expires_at: Instant,
    has_first_event: bool,
    /// Whether the upstream had a limit when it was granted here. If its response is not reported to
    /// name one, the limit has ended.
    was_limited: bool,
}

/// Places requests on engines. The [crate] documentation describes its role among the daemons.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    services: BTreeMap<ServiceId, ServiceState>,
    granted: BTreeMap<GrantId, GrantedRequest>,
    grants_by_request: BTreeMap<PlacementRequestId, GrantId>,
    /// Grants by the time at which they are released.
    grants_by_expiry: BTreeSet<(Instant, GrantId)>,
    waiting: WaitingQueue,
    limits: UpstreamLimits,
    /// Revisions of the directory that daemons have, by the name of the daemon.
    reported_revisions: BTreeMap<DaemonId, Revision>,
    /// Requests that have crashed upstreams and are refused.
    quarantined: BTreeSet<RequestHash>,
    next_grant: GrantId,
    engines_examined: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without services or running requests.
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self {
            cfg,
            services: BTreeMap::new(),
            granted: BTreeMap::new(),
            grants_by_request: BTreeMap::new(),
            grants_by_expiry: BTreeSet::new(),
            waiting: WaitingQueue::default(),
            limits: UpstreamLimits::default(),
            reported_revisions: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            next_grant: 1,
            engines_examined: 0,
        }
    }

    /// Sets the services. Services without an engine profile are not placed here. A service that
    /// was known keeps its retry budget.
    pub fn set_services(&mut self, services: &[Service]) {
        let percent = (self.cfg.retry_ratio * RETRY_BUDGET_SHARE * 100.0) as u32;
        let slack = (self.cfg.retry_slack * RETRY_BUDGET_SHARE) as u32;
        let mut former = std::mem::take(&mut self.services);
        for service in services {
            let Some(profile) = service.engine.clone() else { continue };
            let cold_requests_per_s = service.cold_requests_per_s;
            let new_budget =
                || RetryBudget::new(percent, slack).with_balance_fraction(INITIAL_BUDGET_SHARE);
            let (budget, fleet) = match former.remove(&service.name) {
                Some(ServiceState { budget, fleet, .. }) => (budget, fleet),
                None => (new_budget(), Fleet::default()),
            };
            let state = ServiceState { profile, cold_requests_per_s, budget, fleet };
            self.services.insert(service.name.clone(), state);
        }
    }

    /// Sets the requests that are refused, also if they are waiting, because they have crashed
    /// upstreams.
    pub fn set_quarantined(&mut self, quarantined: BTreeSet<RequestHash>) {
        self.quarantined = quarantined;
    }

    /// Records the revision of the directory that a daemon has. It gets no grants of runs that it
    /// doesn't know: it could not tell which run of an upstream has responded to it. A daemon without
    /// a report gets grants of all. Returns whether the daemon has a higher revision than before.
    pub fn revision_reported(&mut self, daemon: &DaemonId, revision: Revision) -> bool {
        match self.reported_revisions.get_mut(daemon) {
            Some(reported) => std::mem::replace(reported, revision) < revision,
            None => self.reported_revisions.insert(daemon.clone(), revision).is_none(),
        }
    }

    /// Applies the report of a limit, unless the run of the upstream that named it has ended. An
    /// entry has to send it before it reports the first event of the same response: a response
    /// without a report before it ends the limit.
    pub fn report_limit(&mut self, now: Instant, directory: &Directory, report: &LimitReport) {
        if is_current_run(directory, &report.upstream, report.started_at_ms) {
            self.limits.report(now, report);
        }
    }

    /// Counts a request that an entry is about to send to an upstream by its own placement, unless
    /// the upstream's limit does not allow it yet. Returns the time until it does; zero if the
    /// request may be sent. `known` is the limit as the entry knows it, which is taken over if it is
    /// not known here.
    pub fn reserve_request(
        &mut self,
        now: Instant,
        directory: &Directory,
        known: &LimitReport,
    ) -> Duration {
        if !self.limits.is_known(&known.upstream) {
            self.report_limit(now, directory, known);
        }
        let wait = self.limits.wait(now, &known.upstream);
        if wait.is_zero() {
            self.limits.request_sent(now, &known.upstream);
        }
        wait
    }

    /// Number of requests waiting for a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that hold a grant.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Number of times that an engine has been examined for a request, since the dispatcher was
    /// created: the work that its decisions take.
    pub fn engines_examined(&self) -> u64 {
        self.engines_examined
    }

    /// Number of engines that are avoided because of failures that entries have reported.
    pub fn failed_engines(&self, now: Instant) -> usize {
        let engines = self.services.values().flat_map(|service| service.fleet.engines());
        engines.filter(|engine| engine.engine.has_failed_recently(now)).count()
    }

    /// Decides on a placement request. A repeated request keeps its place in the queue, or gets the
    /// same grant again if the first reply was lost.
    pub fn request_placement(
        &mut self,
        now: Instant,
        directory: &Directory,
        request: PlacementRequest,
    ) -> Decision {
        if let Some(granted) =
            self.grants_by_request.get(&request.id).and_then(|id| self.granted.get(id))
        {
            return Decision::Granted(granted.grant.clone());
        }
        if self.waiting.repeated(now, &request.id) {
            return Decision::Waiting;
        }
        let needs = RequestNeeds::of(&request, Duration::ZERO);
        if let Err(reason) = self.admit(&request, &needs) {
            return self.refuse(&needs, reason);
        }
        let long_prompts_wait = self.waiting.needs_idle_engine(now, &request.service);
        let placed = self.place(now, directory, &request, &needs, long_prompts_wait, None);
        match placed {
            Some(grant) => Decision::Granted(grant),
            None => self.enqueue(now, directory, request, &needs),
        }
    }

    /// Grants waiting requests as far as possible now, and refuses those whose deadline can no
    /// longer be met.
    pub fn poll(
        &mut self,
        now: Instant,
        directory: &Directory,
    ) -> Vec<(PlacementRequestId, Decision)> {
        self.release_expired(now);
        self.waiting.drop_abandoned(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        let (mut decided, mut deferred) = (Vec::new(), Vec::new());
        let mut obstacles: BTreeMap<&str, Obstacles> = BTreeMap::new();
        for (waiter, needs) in waiting.in_order(now) {
            let request = &waiter.request;
            if let Some(reason) = self.refusal_of_waiting(request, &needs) {
                decided.push((request.id.clone(), self.refuse(&needs, reason)));
                continue;
            }
            if waiter.retry_at.is_some_and(|at| now < at) {
                continue;
            }
            let long_prompts_wait = waiting.needs_idle_engine(now, &request.service);
            let obstacles = obstacles.entry(&request.service).or_default();
            // A request that can't be placed does not block those behind it, which may need less.
            let placed =
                self.place(now, directory, request, &needs, long_prompts_wait, Some(obstacles));
            match placed {
                Some(grant) => decided.push((request.id.clone(), Decision::Granted(grant))),
                None if self.is_short(request, &needs) => {}
                None => deferred.push(request.id.clone()),
            }
        }
        drop(obstacles);
        decided.iter().for_each(|(id, _)| waiting.remove(id));
        deferred.iter().for_each(|id| waiting.retry_at(id, now + LONG_PROMPT_RETRY_INTERVAL));
        self.waiting = waiting;
        decided
    }

    /// Why a waiting request is refused; `None` if it goes on waiting.
    fn refusal_of_waiting(
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

    /// Whether the prompt of a request counts as short for the engines of its service.
    fn is_short(&self, request: &PlacementRequest, needs: &RequestNeeds) -> bool {
        let service = self.services.get(&request.service);
        service.is_some_and(|service| is_short(&service.profile, needs))
    }

    /// State of the engine of an upstream.
    fn engine_mut(&mut self, service: &str, upstream: &str) -> Option<&mut Engine> {
        self.services.get_mut(service)?.fleet.engine_mut(upstream)
    }

    /// Records that the first event of a granted request has arrived.
    pub fn first_event_received(&mut self, now: Instant, request_id: &PlacementRequestId) {
        if let Some(id) = self.grants_by_request.get(request_id) {
            self.record_first_event(now, *id);
        }
    }

    /// Updates the state of the engines by the first event of a grant; later ones are ignored.
    fn record_first_event(&mut self, now: Instant, id: GrantId) {
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

    /// Refuses a request that must not or can't be run, and charges the retry budget.
    fn admit(
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

    /// Adds a request to the queue, or refuses it if no upstream is available, the limits of all
    /// are too low, or the prompts ahead of it take too long.
    fn enqueue(
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
            return self.refuse(needs, RefusalReason::NoUpstream);
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
        {
            let retry_after = long_prompt_wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
            return Decision::Refused { reason: RefusalReason::DeadlineUnmeetable, retry_after };
        }
        let needs_idle_engine = needs_idle_engine(&service.profile, needs);
        self.waiting.add(now, request, needs_idle_engine);
        Decision::Waiting
    }

    /// If all available upstreams have limits, the time until these allow the request and those
    /// ahead of it.
    fn limit_wait(
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
        let second = Duration::from_secs(1);
        let requests = self.waiting.cost_ahead(now, service, needs, |_| second) + second;
        Some(requests.div_f64(total))
    }

    /// For a long prompt, the time until it and the long prompts ahead of it are prefilled; `None`
    /// for a short one.
    fn long_prompt_wait(
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
        let total = self.waiting.cost_ahead(now, &request.service, needs, cost) + cost(needs);
        Some(total / u32::try_from(engines).unwrap_or(u32::MAX))
    }

    /// Refuses a request, with the time until the first engine of any service has finished its
    /// assigned prefill, at most a third of the remaining deadline, within [`RETRY_AFTER_RANGE`].
    fn refuse(&self, needs: &RequestNeeds, reason: RefusalReason) -> Decision {
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

    /// Grants a request if any engines can run it now, unless the obstacles that others have met
    /// show that none can. One that it meets is added to them.
    fn place(
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
                may_suffice.then(|| choose_long(profile, needs, &candidates)).flatten()
            }
            (false, None) => choose_long(profile, needs, &candidates),
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
    fn candidate<'a>(
        &self,
        now: Instant,
        directory: &Directory,
        service: &ServiceState,
        engine: &'a FleetEngine,
    ) -> Candidate<'a> {
        let FleetEngine { upstream, slots, timestamps, engine, .. } = engine;
        let heard = directory.time_since_heard_at(now, *timestamps);
        let is_silent = heard > self.cfg.silence_timeout
            && !engine.succeeded_within(now, RECENT_SUCCESS_WINDOW);
        let is_cold = directory.is_cold_at(now, *timestamps);
        // The limit for cold upstreams applies to all, as the registration that reports a cold
        // start arrives late.
        let is_at_cold_limit = service.cold_requests_per_s > 0.0
            && engine.recent_attempts() as f64 >= service.cold_requests_per_s;
        let is_full = is_at_cold_limit || !self.limits.wait(now, upstream).is_zero();
        Candidate {
            engine,
            now,
            slots: if is_full { 0 } else { *slots },
            is_doubtful: is_silent || is_cold || engine.has_failed_recently(now),
        }
    }

    /// Updates the engines of a service from the directory, and advances them to `now`.
    fn sync_engines(&mut self, now: Instant, directory: &Directory, service_id: &str) {
        let Some(service) = self.services.get_mut(service_id) else { return };
        if service.fleet.sync(service_id, &service.profile, directory) {
            self.limits.retain(|id, started_at_ms| is_current_run(directory, id, started_at_ms));
        }
        service.fleet.advance(now);
    }

    /// Enters a grant into the state of its engines. Each of them prefills a part of the prompt.
    fn start_request(
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
    fn prefill_slack(
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
    fn release(&mut self, now: Instant, id: GrantId) -> Option<GrantedRequest> {
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
    fn release_expired(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.grants_by_expiry.first().copied()
            && expires_at <= now
        {
            self.release(now, id);
        }
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

/// Whether no later run of an upstream is known than the one that started at this time, and this one
/// has not departed.
fn is_current_run(directory: &Directory, upstream: &UpstreamId, started_at_ms: u64) -> bool {
    directory
        .get(upstream)
        .is_none_or(|entry| !entry.is_departed && entry.registration.started_at_ms <= started_at_ms)
}

/// The upstream of an entry as a helper with this reservation.
fn helper_of(entry: &DirectoryEntry, reserve_tokens: Tokens) -> Helper {
    let registration = &entry.registration;
    Helper { upstream: registration.id.clone(), address: registration.address, reserve_tokens }
}
