//! Finds upstreams for the requests of an entry daemon, by the leader or without it.

use super::{
    bus::DaemonLinks,
    exclusions::Exclusions,
    guard::GrantGuard,
    limits::KnownLimits,
    messages::{LeaderReply, LeaderRequest, Progress},
    paths::Paths,
    reports::{Report, send_reports},
    settings::GatewaySettings,
    view::View,
    watchlist::{RequestFingerprint, WatchlistView},
};
use crate::sync::lock;
use control::QUARANTINE;
use grant::{
    Decision, DirectoryEntry, Grant, LimitReport, PlacementRequest, PlacementRequestId,
    RefusalReason, Registration, RequestOutcome, RunningRequest, StartWait, reply_timeout,
};
use kernel::SharedClock;
use platform::head::ResponseHead;
use route::RetryBudget;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time::sleep;
use wire::{DaemonId, ServiceId, UpstreamId};

/// Time since the last reply of the leader after which no more requests are sent to it: as long
/// as it may hold a follow request open, and a margin.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a leader before this daemon places a request itself. An election takes
/// longer, but short prompts that wait for its end would miss their targets.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a waiting request checks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of a leader-placed service's retry budget that entry daemons may spend without a leader;
/// the dispatcher's share is separate (`RETRY_BUDGET_SHARE` in `grant`). For services that daemons
/// always place themselves, the share is 1 minus this.
const LOCAL_RETRY_SHARE: f64 = 0.15;
/// `Retry-After` for a caller whose request this daemon itself refused to place: about the time
/// within which a lost upstream is replaced in the directory.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for the leader's permission to send a request to an upstream with a limit: a few round
/// trips and the scheduling delay of a busy VM.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Running requests of this daemon that a leader placed.
pub(crate) struct LeaderPlacedRequests {
    /// By id; with the term of the leader that knows of the request.
    running: Mutex<BTreeMap<PlacementRequestId, (u64, RunningRequest)>>,
}

impl LeaderPlacedRequests {
    /// Creates an empty set.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { running: Mutex::default() })
    }

    /// Marks as reported, and returns, the requests that the leader of `term` has neither placed
    /// nor been told of.
    pub(crate) fn mark_reported(&self, term: u64) -> Vec<RunningRequest> {
        let mut running = lock(&self.running);
        let unreported = running.values_mut().filter(|(reported_term, _)| *reported_term != term);
        unreported
            .map(|(reported_term, running)| {
                *reported_term = term;
                running.clone()
            })
            .collect()
    }

    /// Adds a request that the leader of `term` placed.
    pub(super) fn add(&self, term: u64, running: RunningRequest) {
        lock(&self.running).insert(running.request.id.clone(), (term, running));
    }

    /// Records that the first event of a request has come.
    pub(super) fn first_event_received(&self, id: &PlacementRequestId) {
        if let Some((_, running)) = lock(&self.running).get_mut(id) {
            running.has_first_event = true;
        }
    }

    pub(super) fn remove(&self, id: &PlacementRequestId) {
        lock(&self.running).remove(id);
    }
}

/// Finds upstreams for the requests of one entry daemon.
pub(crate) struct Placer {
    daemon: DaemonId,
    pub(super) view: Arc<View>,
    links: Arc<DaemonLinks>,
    pub(super) clock: SharedClock,
    pub(super) leader_placed: Arc<LeaderPlacedRequests>,
    next_number: AtomicU64,
    reports_tx: flume::Sender<Report>,
    retry_budgets: LocalRetryBudgets,
    pub(super) watchlist: Arc<WatchlistView>,
    pub(super) limits: Arc<KnownLimits>,
    pub(super) exclusions: Exclusions,
    pub(super) paths: Arc<Paths>,
    start_wait: StartWait,
}

/// Parts of the daemon that its placer uses.
pub(crate) struct PlacerParts {
    pub(crate) view: Arc<View>,
    pub(crate) links: Arc<DaemonLinks>,
    pub(crate) clock: SharedClock,
    pub(crate) leader_placed: Arc<LeaderPlacedRequests>,
    pub(crate) watchlist: Arc<WatchlistView>,
    pub(crate) limits: Arc<KnownLimits>,
    pub(crate) paths: Arc<Paths>,
    pub(crate) start_wait: StartWait,
}

/// Budgets for retries that this daemon places itself.
struct LocalRetryBudgets {
    /// Retries allowed in the region for each first attempt, for each service.
    ratio: f64,
    /// Maximum balance of each service's budget, in retries for the whole region.
    slack: f64,
    /// By service; with the number of entry daemons that the slack was divided by.
    budgets: Mutex<BTreeMap<ServiceId, (u32, RetryBudget)>>,
}

impl LocalRetryBudgets {
    /// Counts a first attempt, or takes a retry from the budget. Returns false if none is left.
    /// Services whose requests the leader places get most of their retries from it, so this
    /// daemon's share for them is small.
    fn admit(
        &self,
        request: &PlacementRequest,
        is_leader_placed: bool,
        entry_daemons: u32,
    ) -> bool {
        let share = if is_leader_placed { LOCAL_RETRY_SHARE } else { 1.0 - LOCAL_RETRY_SHARE };
        let new_budget = || {
            let percent = (self.ratio * share * 100.0) as u32;
            let slack = self.slack * share / f64::from(entry_daemons.max(1));
            (entry_daemons, RetryBudget::new(percent, slack as u32))
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(request.service.clone()).or_insert_with(new_budget);
        if budget.0 < entry_daemons {
            // More daemons share the slack than when the budget was made.
            *budget = new_budget();
        }
        match request.is_retry {
            true => budget.1.withdraw().is_ok(),
            false => {
                budget.1.deposit();
                true
            }
        }
    }
}

impl Placer {
    /// Creates a placer, and the task that sends its progress reports to the leader.
    pub(crate) fn new(
        settings: &GatewaySettings,
        parts: PlacerParts,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send + use<>) {
        let PlacerParts { view, links, clock, leader_placed, watchlist, limits, paths, start_wait } =
            parts;
        let (reports_tx, rx) = flume::unbounded();
        let reporter = send_reports(rx, Arc::clone(&view), Arc::clone(&links), Arc::clone(&clock));
        let first_number = fastrand::u64(..u64::from(u32::MAX)) << 32;
        let next_number = AtomicU64::new(first_number);
        let retry_budgets = LocalRetryBudgets {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            budgets: Mutex::default(),
        };
        (
            Arc::new(Self {
                daemon: settings.daemon.clone(),
                view,
                links,
                clock,
                leader_placed,
                next_number,
                reports_tx,
                retry_budgets,
                watchlist,
                limits,
                exclusions: Exclusions::default(),
                paths,
                start_wait,
            }),
            reporter,
        )
    }

    /// Id for the next placement request. Numbering starts at random, so that ids differ from
    /// those of earlier runs of this daemon.
    pub(crate) fn next_id(&self) -> PlacementRequestId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        PlacementRequestId { daemon: self.daemon.clone(), number }
    }

    /// Finds an upstream for a request with this fingerprint: by the leader, or by this daemon itself
    /// while there is none. `is_leader_placed` is false for services that daemons always place
    /// themselves. A request that has crashed upstreams is refused.
    ///
    /// # Errors
    ///
    /// The reason of the refusal, and the time after which the caller may try again.
    pub(crate) async fn place(
        self: &Arc<Self>,
        request: PlacementRequest,
        fingerprint: &RequestFingerprint,
        is_leader_placed: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        let started = self.clock.now();
        let deadline = started + request.first_event_deadline_remaining;
        while self.watchlist.has_many_unsettled_crashes(fingerprint)
            && !self.watchlist.is_quarantined(fingerprint)
            && self.clock.now() < deadline
        {
            sleep(LEADER_CHECK_INTERVAL).await;
        }
        if !is_leader_placed {
            return self.place_locally(&request, fingerprint, false).await;
        }
        let mut request = request;
        // A short prompt is placed without the leader while it can still meet its target.
        let no_leader_timeout =
            reply_timeout(request.first_event_target_remaining).min(NO_LEADER_TIMEOUT);
        let mut leaderless_since = None;
        let mut may_be_queued = false;
        loop {
            let now = self.clock.now();
            let refusal = match self.watchlist.is_quarantined(fingerprint) {
                true => Some((RefusalReason::Quarantined, QUARANTINE)),
                false if now >= deadline => {
                    Some((RefusalReason::DeadlineUnmeetable, REFUSED_RETRY_AFTER))
                }
                false => None,
            };
            let refusal = refusal.or_else(|| {
                let wait = self.wait_if_all_excluded(&request.service)?;
                Some((RefusalReason::NoUpstream, wait))
            });
            if let Some(refusal) = refusal {
                if may_be_queued {
                    self.report(Progress::Ended(request.id.clone(), RequestOutcome::Abandoned));
                }
                return Err(refusal);
            }
            let Some(leader) = self.view.leader(now, LEADER_TIMEOUT) else {
                let since = *leaderless_since.get_or_insert(now);
                if now.saturating_duration_since(since) >= no_leader_timeout {
                    self.give_up_leader(&request, may_be_queued);
                    return self.place_locally(&request, fingerprint, true).await;
                }
                sleep(LEADER_CHECK_INTERVAL).await;
                continue;
            };
            let mut remaining = request.clone();
            remaining.tried.extend(self.excluded(&request.service));
            let passed = now.saturating_duration_since(started);
            remaining.first_event_target_remaining =
                remaining.first_event_target_remaining.saturating_sub(passed);
            remaining.first_event_deadline_remaining =
                remaining.first_event_deadline_remaining.saturating_sub(passed);
            remaining.response_time_remaining =
                remaining.response_time_remaining.saturating_sub(passed);
            let term = self.view.with(|state| state.position.term);
            may_be_queued = true;
            let timeout = reply_timeout(remaining.first_event_target_remaining);
            match self.links.request_leader(leader, &LeaderRequest::Place(remaining), timeout).await
            {
                Ok(LeaderReply::Placement(Decision::Granted(grant))) => {
                    let started_at_ms =
                        self.view.with(|state| state.started_at_ms(&grant.upstream));
                    if self.exclusions.remaining(now, &grant.upstream, started_at_ms).is_none() {
                        return Ok(self.guard_grant(request, fingerprint, grant, term));
                    }
                    // Excluded since the leader queued the request, or the leader found no other. A
                    // new id, as the report may come after the new request.
                    self.report(Progress::Ended(request.id.clone(), RequestOutcome::NotRun));
                    request.id = self.next_id();
                    may_be_queued = false;
                    if !request.tried.contains(&grant.upstream) {
                        request.tried.push(grant.upstream);
                    } else if self.exclusions.is_leaving(&grant.upstream, started_at_ms) {
                        // The leader will know of the departure soon.
                        sleep(LEADER_CHECK_INTERVAL).await;
                    } else {
                        return Err((RefusalReason::NoUpstream, REFUSED_RETRY_AFTER));
                    }
                }
                Ok(LeaderReply::Placement(Decision::Refused { reason, retry_after })) => {
                    let retry_after = match reason {
                        RefusalReason::Quarantined => QUARANTINE,
                        _ => retry_after,
                    };
                    return Err((reason, retry_after));
                }
                Ok(LeaderReply::Placement(Decision::Waiting)) => leaderless_since = None,
                Ok(_) => {
                    leaderless_since.get_or_insert(now);
                    sleep(LEADER_CHECK_INTERVAL).await;
                }
                Err(err) => {
                    log::debug!("{leader}: {err}");
                    let since = *leaderless_since.get_or_insert(now);
                    if self.clock.now().saturating_duration_since(since) >= no_leader_timeout {
                        self.give_up_leader(&request, may_be_queued);
                        return self.place_locally(&request, fingerprint, true).await;
                    }
                    // A link that failed a moment ago refuses the request without a wait.
                    sleep(LEADER_CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Tells the leader that this daemon places a request itself: the grant may be on its way, and the
    /// engine would count as busy.
    fn give_up_leader(&self, request: &PlacementRequest, may_be_queued: bool) {
        if may_be_queued {
            self.report(Progress::Ended(request.id.clone(), RequestOutcome::NotRun));
        }
    }

    /// Upstreams of a service that have said that they take no requests of this daemon.
    fn excluded(&self, service: &ServiceId) -> Vec<UpstreamId> {
        if self.exclusions.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let is_excluded = |entry: &&DirectoryEntry| {
            let Registration { id, started_at_ms, .. } = &entry.registration;
            self.exclusions.remaining(now, id, *started_at_ms).is_some()
        };
        self.view.with(|state| {
            let available = state.directory.available(service).filter(is_excluded);
            available.map(|entry| entry.registration.id.clone()).collect()
        })
    }

    /// Shortest time until an upstream of a service takes requests of this daemon, if none does now
    /// because all that are available have turned it away. Those that leave don't count: requests wait
    /// for others to come, as they do once the leader knows of the departures.
    pub(crate) fn wait_if_all_excluded(&self, service: &ServiceId) -> Option<Duration> {
        if self.exclusions.is_empty() {
            return None;
        }
        let now = self.clock.now();
        self.view.with(|state| {
            let available = state.directory.available(service).map(|entry| &entry.registration);
            let staying = available.filter(|r| !self.exclusions.is_leaving(&r.id, r.started_at_ms));
            let waits = staying.map(|r| self.exclusions.remaining(now, &r.id, r.started_at_ms));
            let waits: Vec<Duration> = waits.collect::<Option<_>>()?;
            waits.into_iter().min()
        })
    }

    /// Registers a grant of the leader of `term`.
    fn guard_grant(
        self: &Arc<Self>,
        request: PlacementRequest,
        fingerprint: &RequestFingerprint,
        grant: Grant,
        term: u64,
    ) -> GrantGuard {
        let running = RunningRequest {
            upstream: grant.upstream.clone(),
            helpers: grant.helpers.iter().map(|helper| helper.upstream.clone()).collect(),
            has_first_event: false,
            request,
        };
        let request_id = running.request.id.clone();
        self.leader_placed.add(term, running);
        let started_at_ms = self.view.with(|state| state.started_at_ms(&grant.upstream));
        let fingerprint = fingerprint.clone();
        GrantGuard::new(Arc::clone(self), request_id, fingerprint, grant, started_at_ms, None)
    }

    /// Places a request by this daemon's view alone, if its budget for retries allows it and it has
    /// not crashed upstreams. Upstreams whose limit doesn't allow a request now are passed over.
    async fn place_locally(
        self: &Arc<Self>,
        request: &PlacementRequest,
        fingerprint: &RequestFingerprint,
        is_leader_placed: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        if self.watchlist.is_quarantined(fingerprint) {
            return Err((RefusalReason::Quarantined, QUARANTINE));
        }
        let entry_daemons = self.view.with(|state| state.entry_daemons);
        if !self.retry_budgets.admit(request, is_leader_placed, entry_daemons) {
            return Err((RefusalReason::RetryBudget, REFUSED_RETRY_AFTER));
        }
        let started = self.clock.now();
        let mut passed_over = request.tried.clone();
        let mut shortest_wait: Option<Duration> = None;
        loop {
            let now = self.clock.now();
            let Some((grant, started_at_ms)) = self.choose_locally(now, request, &passed_over)
            else {
                if self.lacks_upstreams(&request.service)
                    && self.start_wait.remaining(now, started).is_some()
                {
                    sleep(LEADER_CHECK_INTERVAL).await;
                    continue;
                }
                let retry_after = shortest_wait.unwrap_or_default().max(REFUSED_RETRY_AFTER);
                return Err((RefusalReason::NoUpstream, retry_after));
            };
            let excluded = self.exclusions.remaining(now, &grant.upstream, started_at_ms);
            let wait = match (excluded, self.limits.get(&grant.upstream, started_at_ms)) {
                (Some(remaining), _) => remaining,
                (None, Some(limit)) => self.reserve_request(limit).await,
                (None, None) => Duration::ZERO,
            };
            if !wait.is_zero() {
                shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
                passed_over.push(grant.upstream);
                continue;
            }
            let view_age = self.view.with(|state| {
                state.local.request_started(&grant.upstream);
                state.age(now)
            });
            let (placer, request_id) = (Arc::clone(self), request.id.clone());
            let (fingerprint, view_age) = (fingerprint.clone(), Some(view_age));
            return Ok(GrantGuard::new(
                placer,
                request_id,
                fingerprint,
                grant,
                started_at_ms,
                view_age,
            ));
        }
    }

    /// Whether this daemon's view has no upstream of a service at all.
    fn lacks_upstreams(&self, service: &ServiceId) -> bool {
        self.view.with(|state| state.directory.available(service).next().is_none())
    }

    /// Chooses an upstream by this daemon's view, except those passed over. Returns it with the
    /// start time of its run.
    fn choose_locally(
        &self,
        now: Instant,
        request: &PlacementRequest,
        passed_over: &[UpstreamId],
    ) -> Option<(Grant, u64)> {
        self.view.with(|state| {
            let (service, tie_breaker) = (&request.service, request.id.number);
            let entry =
                state.local.choose(now, &state.directory, service, passed_over, tie_breaker)?;
            let registration = &entry.registration;
            let grant = Grant {
                id: 0,
                upstream: registration.id.clone(),
                address: registration.address,
                helpers: Vec::new(),
                expected_first_event: Duration::ZERO,
            };
            Some((grant, registration.started_at_ms))
        })
    }

    /// Asks the leader whether an upstream with a limit may get a request, which the leader then
    /// counts. Without a leader, the request is taken from this daemon's share of the limit. Returns
    /// the time until the request is allowed; zero if it may be sent.
    async fn reserve_request(&self, limit: LimitReport) -> Duration {
        let upstream = limit.upstream.clone();
        if let Some(leader) = self.view.leader(self.clock.now(), LEADER_TIMEOUT) {
            let request = LeaderRequest::ReserveRequest(limit);
            match self.links.request_leader(leader, &request, RESERVE_TIMEOUT).await {
                Ok(LeaderReply::RequestReserved { wait }) => return wait,
                Ok(_) => log::debug!("{leader}: request not reserved: it leads no more"),
                Err(err) => log::debug!("{leader}: request not reserved: {err}"),
            }
        }
        let entry_daemons = self.view.with(|state| state.entry_daemons);
        self.limits.take_from_share(self.clock.now(), &upstream, entry_daemons)
    }

    /// Records what a response says about whether the run of an upstream takes requests of this
    /// daemon: that it leaves, or for how long it turns them away.
    pub(super) fn record_exclusions(
        &self,
        upstream: &UpstreamId,
        started_at_ms: u64,
        head: &ResponseHead,
    ) {
        let now = self.clock.now();
        if head.is_leaving && self.exclusions.leaves(now, upstream, started_at_ms) {
            self.queue(Report::Leaving(upstream.clone(), started_at_ms));
        }
        if let Some(time) = head.turned_away_for {
            self.exclusions.turned_away(now, upstream, started_at_ms, time);
        }
    }

    /// Queues a progress report.
    pub(super) fn report(&self, progress: Progress) {
        self.queue(Report::Progress(progress));
    }

    /// Queues a report for the leader.
    pub(super) fn queue(&self, report: Report) {
        // An error is impossible: the receiver lives as long as the daemon.
        let _ = self.reports_tx.send(report);
    }
}
