//! The dispatcher: state of all granted requests for engines of a region, and the order of the
//! waiting ones.

mod admission;
mod choice;
mod grants;

use crate::{
    collection::Collection,
    directory::{Directory, Revision},
    engine::Engine,
    fleet::Fleet,
    limit::{LimitReport, UpstreamLimits},
    place::{can_be_on_time, is_short},
    promise::Promises,
    request::{Decision, GrantId, PlacementRequest, PlacementRequestId, RequestNeeds},
    waiting::{Waiter, WaitingQueue},
};
use choice::Obstacles;
use grants::GrantedRequest;
use route::{RequestHash, RetryBudget};
use routing::{EngineProfile, Service};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, ServiceId, UpstreamId};

/// Share of the allowed retries that the dispatcher grants. The rest is for entry daemons that
/// can't reach it.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// Share of the full retry balance with which a dispatcher starts: its predecessors may have spent
/// theirs within the same window, and three leaders in one window are rare.
const INITIAL_BUDGET_SHARE: f64 = 0.3;
/// Interval at which a long prompt that waits is tried: examining all engines for it takes long, and
/// they change little meanwhile.
const LONG_PROMPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

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
    /// Whether engines that start or recover get as many requests as their answers show that they can
    /// serve, instead of being avoided while they are cold.
    pub learns_pace: bool,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 100.0,
            silence_timeout: Duration::from_millis(4_600),
            learns_pace: false,
        }
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
    collection: Collection,
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
    promises: Promises,
    promises_redeemed: u64,
    /// Revisions of the directory that daemons have, by the name of the daemon.
    reported_revisions: BTreeMap<DaemonId, Revision>,
    /// Requests that have crashed upstreams and are refused.
    quarantined: BTreeSet<RequestHash>,
    /// Time until which requests wait for services without upstreams, which may register soon.
    upstreams_awaited_until: Option<Instant>,
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
            promises: Promises::default(),
            promises_redeemed: 0,
            reported_revisions: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            upstreams_awaited_until: None,
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
            let collection = Collection::default();
            let state = ServiceState { profile, cold_requests_per_s, budget, fleet, collection };
            self.services.insert(service.name.clone(), state);
        }
    }

    /// Sets the requests that are refused, also if they are waiting, because they have crashed
    /// upstreams.
    pub fn set_quarantined(&mut self, quarantined: BTreeSet<RequestHash>) {
        self.quarantined = quarantined;
    }

    /// Lets requests for a service without upstreams wait until then, instead of refusing them. A
    /// leader that has just started lacks the upstreams that nobody else knows, until they register.
    pub fn await_upstreams(&mut self, until: Instant) {
        self.upstreams_awaited_until = Some(until);
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

    /// Number of engines whose pace is below their slots.
    pub fn paced_engines(&self) -> usize {
        let engines = self.services.values().flat_map(|service| service.fleet.engines());
        engines.filter(|engine| self.cfg.learns_pace && !engine.pace.is_full()).count()
    }

    /// Numbers of refused requests that have a place in the queue if they return in time, and of those
    /// that have returned to theirs since the dispatcher was created.
    pub fn promises(&self, now: Instant) -> (usize, u64) {
        (self.promises.open(now), self.promises_redeemed)
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
        self.services.values_mut().for_each(|service| service.collection = Collection::default());
        let services = &self.services;
        let is_in_time = |service: &str, needs: &RequestNeeds| {
            services.get(service).is_some_and(|service| can_be_on_time(&service.profile, needs))
        };
        for (waiter, needs) in waiting.in_order(now, is_in_time) {
            let request = &waiter.request;
            if let Some(reason) = self.refusal_of_waiting(request, &needs) {
                decided.push((request.id.clone(), self.refuse(&needs, reason)));
                continue;
            }
            if waiter.retry_at.is_some_and(|at| now < at) {
                self.collect_engines(waiter, &needs);
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
                None => {
                    deferred.push(request.id.clone());
                    self.collect_engines(waiter, &needs);
                }
            }
        }
        drop(obstacles);
        decided.iter().for_each(|(id, _)| waiting.remove(id));
        deferred.iter().for_each(|id| waiting.retry_at(id, now + LONG_PROMPT_RETRY_INTERVAL));
        self.waiting = waiting;
        decided
    }

    /// Keeps idle engines for a long prompt that waits, if it has waited long.
    fn collect_engines(&mut self, waiter: &Waiter, needs: &RequestNeeds) {
        if let Some(service) = self.services.get_mut(&waiter.request.service) {
            let engines = service.fleet.available();
            service.collection.collect(&service.profile, &waiter.request, needs, engines);
        }
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
}

/// Whether no later run of an upstream is known than the one that started at this time, and this one
/// has not departed.
fn is_current_run(directory: &Directory, upstream: &UpstreamId, started_at_ms: u64) -> bool {
    directory
        .get(upstream)
        .is_none_or(|entry| !entry.is_departed && entry.registration.started_at_ms <= started_at_ms)
}
