//! Finds upstreams for the requests of an entry daemon, by the leader or without it, and reports
//! the progress of those that the leader placed.

use super::{
    bus::DaemonLinks,
    forward::CONNECT_TIMEOUT,
    limits::KnownLimits,
    messages::{LeaderReply, LeaderRequest, Progress, RunReport},
    settings::GatewaySettings,
    view::{View, ViewAge},
    watchlist::WatchlistView,
};
use crate::sync::lock;
use control::{QUARANTINE, RequestHash};
use grant::{
    Decision, Grant, LimitReport, PlacementRequest, PlacementRequestId, RefusalReason,
    RequestOutcome, RunningRequest,
};
use kernel::SharedClock;
use proxy::accepts_connections;
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
/// Timeout for the leader's reply to one placement request, which it sends within 100 ms.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a leader before this daemon places a request itself. An election takes
/// longer, but short prompts that wait for its end would miss their targets.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a waiting request checks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which progress reports are collected into one message.
const PROGRESS_DELAY: Duration = Duration::from_millis(15);
/// Timeout for the leader's confirmation of progress reports.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of a leader-placed service's retry budget that entry daemons may spend without a leader;
/// the dispatcher's share is separate (`RETRY_BUDGET_SHARE` in `grant`). For services that daemons
/// always place themselves, the share is 1 minus this.
const LOCAL_RETRY_SHARE: f64 = 0.15;
/// `Retry-After` for a caller whose request this daemon itself refused to place: about the time
/// within which a lost upstream is replaced in the directory.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for the leader's confirmation of limits, and the number of attempts to report them.
const LIMIT_REPORT_TIMEOUT: Duration = Duration::from_millis(200);
const LIMIT_REPORT_ATTEMPTS: usize = 3;
/// Timeout for the leader's permission to send a request to an upstream with a limit: a few round
/// trips and the scheduling delay of a busy VM.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a response after which an abandoned attempt raises the suspicion that its upstream
/// has crashed: longer than nearly all responses take.
const SILENCE_MIN: Duration = Duration::from_millis(1_600);

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
    fn add(&self, term: u64, running: RunningRequest) {
        lock(&self.running).insert(running.request.id.clone(), (term, running));
    }

    /// Records that the first event of a request has come.
    fn first_event_received(&self, id: &PlacementRequestId) {
        if let Some((_, running)) = lock(&self.running).get_mut(id) {
            running.has_first_event = true;
        }
    }

    fn remove(&self, id: &PlacementRequestId) {
        lock(&self.running).remove(id);
    }
}

/// Report for the leader.
enum Report {
    /// Progress of a request that the leader placed.
    Progress(Progress),
    /// Limit that a response has named, or that it has ended.
    Limit(LimitReport),
}

/// Finds upstreams for the requests of one entry daemon.
pub(crate) struct Placer {
    daemon: DaemonId,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
    leader_placed: Arc<LeaderPlacedRequests>,
    next_number: AtomicU64,
    reports_tx: flume::Sender<Report>,
    retry_budgets: LocalRetryBudgets,
    watchlist: Arc<WatchlistView>,
    limits: Arc<KnownLimits>,
}

/// Budgets for retries that this daemon places itself.
struct LocalRetryBudgets {
    /// Retries allowed in the region for each first attempt, for each service.
    ratio: f64,
    /// Maximum balance of each service's budget, in retries for the whole region.
    slack: u32,
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
            let slack = f64::from(self.slack) * share / f64::from(entry_daemons.max(1));
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

/// Grant of an upstream for one request, until the request ends. If it is dropped before
/// [`GrantGuard::end`], the request counts as abandoned.
pub(crate) struct GrantGuard {
    placer: Arc<Placer>,
    request_id: PlacementRequestId,
    /// Hash of the request.
    request: RequestHash,
    /// Upstream and helpers to send the request to.
    pub(crate) grant: Grant,
    /// Start time of the upstream's run, in milliseconds since the Unix epoch on its clock; 0 if
    /// this daemon's view lacks the upstream.
    started_at_ms: u64,
    granted_at: Instant,
    /// View by which this daemon placed the request itself; `None` if the leader placed it.
    local_view: Option<ViewAge>,
    has_first_event: bool,
    has_ended: bool,
}

impl Placer {
    /// Creates a placer, and the task that sends its progress reports to the leader.
    pub(crate) fn new(
        settings: &GatewaySettings,
        view: Arc<View>,
        links: Arc<DaemonLinks>,
        clock: SharedClock,
        leader_placed: Arc<LeaderPlacedRequests>,
        watchlist: Arc<WatchlistView>,
        limits: Arc<KnownLimits>,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send + use<>) {
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

    /// Finds an upstream for a request with this hash: by the leader, or by this daemon itself
    /// while there is none. `is_leader_placed` is false for services that daemons always place
    /// themselves. A request that has crashed upstreams is refused.
    ///
    /// # Errors
    ///
    /// The reason of the refusal, and the time after which the caller may try again.
    pub(crate) async fn place(
        self: &Arc<Self>,
        request: PlacementRequest,
        hash: &RequestHash,
        is_leader_placed: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        if !is_leader_placed {
            return self.place_locally(&request, hash, false).await;
        }
        let started = self.clock.now();
        let deadline = started + request.first_event_deadline_remaining;
        let mut leaderless_since = None;
        loop {
            let now = self.clock.now();
            let refusal = match self.watchlist.is_quarantined(hash) {
                true => Some((RefusalReason::Quarantined, QUARANTINE)),
                false if now >= deadline => {
                    Some((RefusalReason::DeadlineUnmeetable, REFUSED_RETRY_AFTER))
                }
                false => None,
            };
            if let Some(refusal) = refusal {
                // The leader may have the request in its queue.
                self.report(Progress::Ended(request.id.clone(), RequestOutcome::Abandoned));
                return Err(refusal);
            }
            let Some(leader) = self.view.leader(now, LEADER_TIMEOUT) else {
                let since = *leaderless_since.get_or_insert(now);
                if now.saturating_duration_since(since) >= NO_LEADER_TIMEOUT {
                    return self.place_locally(&request, hash, true).await;
                }
                sleep(LEADER_CHECK_INTERVAL).await;
                continue;
            };
            let mut remaining = request.clone();
            let passed = now.saturating_duration_since(started);
            remaining.first_event_target_remaining =
                remaining.first_event_target_remaining.saturating_sub(passed);
            remaining.first_event_deadline_remaining =
                remaining.first_event_deadline_remaining.saturating_sub(passed);
            remaining.response_time_remaining =
                remaining.response_time_remaining.saturating_sub(passed);
            let term = self.view.with(|state| state.position.term);
            match self
                .links
                .request(leader, &LeaderRequest::Place(remaining), PLACEMENT_TIMEOUT)
                .await
            {
                Ok(LeaderReply::Placement(Decision::Granted(grant))) => {
                    return Ok(self.guard_grant(request, hash, grant, term));
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
                    if self.clock.now().saturating_duration_since(since) >= NO_LEADER_TIMEOUT {
                        return self.place_locally(&request, hash, true).await;
                    }
                }
            }
        }
    }

    /// Registers a grant of the leader of `term`.
    fn guard_grant(
        self: &Arc<Self>,
        request: PlacementRequest,
        hash: &RequestHash,
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
        let placer = Arc::clone(self);
        GrantGuard {
            placer,
            request_id,
            request: *hash,
            grant,
            started_at_ms,
            granted_at: self.clock.now(),
            local_view: None,
            has_first_event: false,
            has_ended: false,
        }
    }

    /// Places a request by this daemon's view alone, if its budget for retries allows it and it has
    /// not crashed upstreams. Upstreams whose limit doesn't allow a request now are passed over.
    async fn place_locally(
        self: &Arc<Self>,
        request: &PlacementRequest,
        hash: &RequestHash,
        is_leader_placed: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        if self.watchlist.is_quarantined(hash) {
            return Err((RefusalReason::Quarantined, QUARANTINE));
        }
        let entry_daemons = self.view.with(|state| state.entry_daemons);
        if !self.retry_budgets.admit(request, is_leader_placed, entry_daemons) {
            return Err((RefusalReason::RetryBudget, REFUSED_RETRY_AFTER));
        }
        let mut passed_over = request.tried.clone();
        let mut shortest_wait: Option<Duration> = None;
        loop {
            let now = self.clock.now();
            let Some((grant, started_at_ms)) = self.choose_locally(now, request, &passed_over)
            else {
                let retry_after = shortest_wait.unwrap_or_default().max(REFUSED_RETRY_AFTER);
                return Err((RefusalReason::NoUpstream, retry_after));
            };
            let wait = match self.limits.is_limited(&grant.upstream, started_at_ms) {
                true => self.reserve_request(&grant.upstream).await,
                false => Duration::ZERO,
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
            return Ok(GrantGuard {
                placer: Arc::clone(self),
                request_id: request.id.clone(),
                request: *hash,
                grant,
                started_at_ms,
                granted_at: self.clock.now(),
                local_view: Some(view_age),
                has_first_event: false,
                has_ended: false,
            });
        }
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
    async fn reserve_request(&self, upstream: &UpstreamId) -> Duration {
        if let Some(leader) = self.view.leader(self.clock.now(), LEADER_TIMEOUT) {
            let request = LeaderRequest::ReserveRequest { upstream: upstream.clone() };
            match self.links.request(leader, &request, RESERVE_TIMEOUT).await {
                Ok(LeaderReply::RequestReserved { wait }) => return wait,
                Ok(_) => log::debug!("{leader}: request not reserved: it leads no more"),
                Err(err) => log::debug!("{leader}: request not reserved: {err}"),
            }
        }
        let entry_daemons = self.view.with(|state| state.entry_daemons);
        self.limits.take_from_share(self.clock.now(), upstream, entry_daemons)
    }

    /// Queues a progress report.
    fn report(&self, progress: Progress) {
        self.queue(Report::Progress(progress));
    }

    fn queue(&self, report: Report) {
        // An error is impossible: the receiver lives as long as the daemon.
        let _ = self.reports_tx.send(report);
    }
}

impl GrantGuard {
    /// View by which this daemon placed the request itself; `None` if the leader placed it.
    pub(crate) fn local_view(&self) -> Option<ViewAge> {
        self.local_view
    }

    /// Name for the request's reservations on helpers, unique in the region.
    pub(crate) fn reservation_name(&self) -> String {
        format!("{}-{:x}", self.request_id.daemon, self.request_id.number)
    }

    /// Upstream that runs the request.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.grant.upstream
    }

    /// Reports the first event of the response to the leader. Later calls change nothing.
    pub(crate) fn first_event_received(&mut self) {
        if std::mem::replace(&mut self.has_first_event, true) || self.local_view.is_some() {
            return;
        }
        self.placer.leader_placed.first_event_received(&self.request_id);
        self.placer.report(Progress::FirstEvent(self.request_id.clone()));
    }

    /// Ends the grant: reports the outcome to the leader, or to the local placer.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        self.end_once(outcome);
    }

    /// Report that the upstream crashed under the request.
    fn crash(&self) -> RunReport {
        let (upstream, started_at_ms) = (self.grant.upstream.clone(), self.started_at_ms);
        RunReport::Crashed { request: self.request, upstream, started_at_ms }
    }

    /// Records the limit that the upstream's response names, or that it names none.
    pub(crate) fn response_received(&self, requests_per_s: Option<f64>) {
        let now = self.placer.clock.now();
        let (upstream, started_at_ms) = (&self.grant.upstream, self.started_at_ms);
        let limits = &self.placer.limits;
        let report =
            limits.response_received(now, upstream, started_at_ms, self.granted_at, requests_per_s);
        if let Some(report) = report {
            self.placer.queue(Report::Limit(report));
        }
    }

    /// Checks whether the upstream, which gave no response, still accepts connections, and reports
    /// a crash if it does not.
    fn report_if_crashed(&self) {
        let (watchlist, crash) = (Arc::clone(&self.placer.watchlist), self.crash());
        let address = self.grant.address;
        tokio::spawn(async move {
            if !accepts_connections(address, CONNECT_TIMEOUT).await {
                watchlist.report(crash);
            }
        });
    }

    fn end_once(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        match outcome {
            RequestOutcome::Broken => self.placer.watchlist.report(self.crash()),
            RequestOutcome::Silent => self.report_if_crashed(),
            RequestOutcome::Abandoned if !self.has_first_event => {
                let elapsed = self.placer.clock.now().saturating_duration_since(self.granted_at);
                if elapsed >= SILENCE_MIN {
                    self.report_if_crashed();
                }
            }
            RequestOutcome::Completed => {
                self.placer.watchlist.report(RunReport::Completed { request: self.request });
            }
            _ => {}
        }
        if self.local_view.is_some() {
            let now = self.placer.clock.now();
            let id = &self.grant.upstream;
            return self
                .placer
                .view
                .with(|state| state.local.request_ended(now, id, outcome.is_failure()));
        }
        self.placer.leader_placed.remove(&self.request_id);
        self.placer.report(Progress::Ended(self.request_id.clone(), outcome));
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.end_once(RequestOutcome::Abandoned);
    }
}

/// Sends reports to the leader, in order, several in one message; limits before the progress that
/// was made meanwhile. Lost progress reports are logged, not repeated. The leader releases a grant
/// without a reported end when it expires; a new leader learns from the entry daemons which requests
/// are running.
async fn send_reports(
    rx: flume::Receiver<Report>,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
) {
    while let Ok(first) = rx.recv_async().await {
        sleep(PROGRESS_DELAY).await;
        let (mut progress, mut limits) = (Vec::new(), Vec::new());
        for report in std::iter::once(first).chain(rx.try_iter()) {
            match report {
                Report::Progress(report) => progress.push(report),
                Report::Limit(report) => limits.push(report),
            }
        }
        if !limits.is_empty() {
            send_limits(limits, &view, &links, &clock).await;
        }
        if progress.is_empty() {
            continue;
        }
        let count = progress.len();
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else {
            log::warn!(count = count; "progress reports dropped: no leader");
            continue;
        };
        if let Err(err) =
            links.request(leader, &LeaderRequest::Progress(progress), PROGRESS_TIMEOUT).await
        {
            log::warn!(count = count, leader:% = leader; "progress reports not confirmed: {err}");
        }
    }
}

/// Sends limits to the leader, again if it does not confirm them: without them it would take the
/// progress that follows for the end of a limit. A new leader gets all limits from [`Follower`].
///
/// [`Follower`]: super::follow::Follower
async fn send_limits(
    limits: Vec<LimitReport>,
    view: &View,
    links: &DaemonLinks,
    clock: &SharedClock,
) {
    let count = limits.len();
    let request = LeaderRequest::ReportLimits(limits);
    for _ in 0..LIMIT_REPORT_ATTEMPTS {
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else { return };
        match links.request(leader, &request, LIMIT_REPORT_TIMEOUT).await {
            Ok(LeaderReply::LimitsRecorded) => return,
            Ok(_) => log::debug!("{leader}: limits not recorded: it leads no more"),
            Err(err) => log::debug!("{leader}: limits not recorded: {err}"),
        }
    }
    log::warn!(count = count; "limits of upstreams not recorded by the leader");
}
