//! Asks where a request runs, and tells how it went on.

use super::{
    bus::DaemonLinks,
    messages::{LeaderReply, LeaderRequest, Progress},
    settings::Bounds,
    view::View,
};
use crate::sync::lock;
use grant::{
    Decision, Grant, PlacementRequest, PlacementRequestId, RefusalReason, RequestOutcome,
    RunningRequest,
};
use kernel::SharedClock;
use route::RetryBudget;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;
use wire::{DaemonId, ServiceId, UpstreamId};

/// Time without an answer of the leader after which it is not asked any more: as long as
/// it may hold a follower's question, and a margin.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the leader's answer to one question, which it gives within 100 ms.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a leader before this daemon decides alone. An election takes longer;
/// short prompts that wait for its end are late.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause between two looks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which news of requests are collected into one message.
const PROGRESS_DELAY: Duration = Duration::from_millis(15);
/// Longest wait until the leader has noted news.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the allowed repeats that entry daemons may send while they reach no leader. The
/// leader gives out the rest.
const LOCAL_RETRY_SHARE: f64 = 0.15;
/// Time after which a caller that found no upstream may try again: about the time in which
/// a lost upstream is replaced in the directory.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Requests of this daemon that hold a grant of a leader.
pub(crate) struct InFlight {
    running: Mutex<BTreeMap<PlacementRequestId, (u64, RunningRequest)>>,
}

impl InFlight {
    /// None.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { running: Mutex::default() })
    }

    /// Those that the leader of this term did not grant and was not told of yet.
    pub(crate) fn take_unreported(&self, term: u64) -> Vec<RunningRequest> {
        let mut running = lock(&self.running);
        let unreported = running.values_mut().filter(|(reported_term, _)| *reported_term != term);
        unreported
            .map(|(reported_term, running)| {
                *reported_term = term;
                running.clone()
            })
            .collect()
    }

    fn add(&self, term: u64, running: RunningRequest) {
        lock(&self.running).insert(running.request.id.clone(), (term, running));
    }

    fn first_event_received(&self, id: &PlacementRequestId) {
        if let Some((_, running)) = lock(&self.running).get_mut(id) {
            running.has_first_event = true;
        }
    }

    fn remove(&self, id: &PlacementRequestId) {
        lock(&self.running).remove(id);
    }
}

/// Finds upstreams for requests of one entry daemon.
pub(crate) struct Placer {
    daemon: DaemonId,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
    in_flight: Arc<InFlight>,
    next_number: AtomicU64,
    progress_tx: flume::Sender<Progress>,
    retry_budgets: LocalRetryBudgets,
}

/// Repeats that this daemon may send by its own decision.
struct LocalRetryBudgets {
    ratio: f64,
    slack: u32,
    /// By service; with the number of entry daemons that share the slack.
    budgets: Mutex<BTreeMap<ServiceId, (u32, RetryBudget)>>,
}

impl LocalRetryBudgets {
    /// Counts a send, or takes a repeat if one is left. `is_dispatched` services get most
    /// of their repeats from the leader.
    fn admit(&self, request: &PlacementRequest, is_dispatched: bool, entry_daemons: u32) -> bool {
        let share = if is_dispatched { LOCAL_RETRY_SHARE } else { 1.0 - LOCAL_RETRY_SHARE };
        let new_budget = || {
            let percent = (self.ratio * share * 100.0) as u32;
            let slack = f64::from(self.slack) * share / f64::from(entry_daemons.max(1));
            (entry_daemons, RetryBudget::new(percent, slack as u32))
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(request.service.clone()).or_insert_with(new_budget);
        if budget.0 < entry_daemons {
            // More daemons share what is saved up.
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

/// Where a request runs, until it ends. Dropped before [`GrantGuard::end`], the request counts
/// as abandoned.
pub(crate) struct GrantGuard {
    placer: Arc<Placer>,
    request_id: PlacementRequestId,
    /// Where to send it.
    pub(crate) grant: Grant,
    is_local: bool,
    has_first_event: bool,
    has_ended: bool,
}

impl Placer {
    /// A placer, and the task that brings its news to the leader.
    pub(crate) fn new(
        daemon: DaemonId,
        view: Arc<View>,
        links: Arc<DaemonLinks>,
        clock: SharedClock,
        in_flight: Arc<InFlight>,
        bounds: Bounds,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send) {
        let (progress_tx, rx) = flume::unbounded();
        let reporter = send_progress(rx, Arc::clone(&view), Arc::clone(&links), Arc::clone(&clock));
        let first_number = fastrand::u64(..u64::from(u32::MAX)) << 32;
        let next_number = AtomicU64::new(first_number);
        let retry_budgets = LocalRetryBudgets {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            budgets: Mutex::default(),
        };
        (
            Arc::new(Self {
                daemon,
                view,
                links,
                clock,
                in_flight,
                next_number,
                progress_tx,
                retry_budgets,
            }),
            reporter,
        )
    }

    /// A name for the next question; differs from those of earlier runs of this daemon.
    pub(crate) fn next_id(&self) -> PlacementRequestId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        PlacementRequestId { daemon: self.daemon.clone(), number }
    }

    /// Finds an upstream for a stream: the leader decides, or this daemon alone while
    /// there is none. `is_dispatched` is false for services that daemons place alone.
    pub(crate) async fn place(
        self: &Arc<Self>,
        request: PlacementRequest,
        is_dispatched: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        if !is_dispatched {
            return self.place_locally(&request, false);
        }
        let started = self.clock.now();
        let deadline = started + request.deadline_remaining;
        let mut leaderless_since = None;
        loop {
            let now = self.clock.now();
            if now >= deadline {
                self.report(Progress::Ended(request.id.clone(), RequestOutcome::Abandoned));
                return Err((RefusalReason::DeadlineUnmeetable, NO_UPSTREAM_RETRY_AFTER));
            }
            let Some(leader) = self.view.leader(now, LEADER_TIMEOUT) else {
                let since = *leaderless_since.get_or_insert(now);
                if now.saturating_duration_since(since) >= NO_LEADER_TIMEOUT {
                    return self.place_locally(&request, true);
                }
                sleep(LEADER_CHECK_INTERVAL).await;
                continue;
            };
            let mut remaining = request.clone();
            let passed = now.saturating_duration_since(started);
            remaining.target_remaining = remaining.target_remaining.saturating_sub(passed);
            remaining.deadline_remaining = remaining.deadline_remaining.saturating_sub(passed);
            remaining.time_remaining = remaining.time_remaining.saturating_sub(passed);
            let term = self.view.with(|state| state.position.term);
            match self
                .links
                .request(leader, &LeaderRequest::Place(remaining), PLACEMENT_TIMEOUT)
                .await
            {
                Ok(LeaderReply::Placement(Decision::Granted(grant))) => {
                    return Ok(self.guard_grant(request, grant, term));
                }
                Ok(LeaderReply::Placement(Decision::Refused { reason, retry_after })) => {
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
                        return self.place_locally(&request, true);
                    }
                }
            }
        }
    }

    fn guard_grant(
        self: &Arc<Self>,
        request: PlacementRequest,
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
        self.in_flight.add(term, running);
        let placer = Arc::clone(self);
        GrantGuard {
            placer,
            request_id,
            grant,
            is_local: false,
            has_first_event: false,
            has_ended: false,
        }
    }

    fn place_locally(
        self: &Arc<Self>,
        request: &PlacementRequest,
        is_dispatched: bool,
    ) -> Result<GrantGuard, (RefusalReason, Duration)> {
        let now = self.clock.now();
        let entry_daemons = self.view.with(|state| state.entry_daemons);
        if !self.retry_budgets.admit(request, is_dispatched, entry_daemons) {
            return Err((RefusalReason::RetryBudget, NO_UPSTREAM_RETRY_AFTER));
        }
        let chosen = self.view.with(|state| {
            let spread = request.id.number;
            let service = &request.service;
            let entry =
                state.local.choose(now, &state.directory, service, &request.tried, spread)?;
            let registration = &entry.registration;
            let grant = Grant {
                id: 0,
                upstream: registration.id.clone(),
                address: registration.address,
                helpers: Vec::new(),
                expected_first_event: Duration::ZERO,
            };
            state.local.request_started(&grant.upstream);
            Some(grant)
        });
        let Some(grant) = chosen else {
            return Err((RefusalReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER));
        };
        let (placer, request_id) = (Arc::clone(self), request.id.clone());
        Ok(GrantGuard {
            placer,
            request_id,
            grant,
            is_local: true,
            has_first_event: false,
            has_ended: false,
        })
    }

    fn report(&self, progress: Progress) {
        // The receiver lives as long as the daemon.
        let _ = self.progress_tx.send(progress);
    }
}

impl GrantGuard {
    /// Whether this daemon decided alone.
    pub(crate) fn is_local(&self) -> bool {
        self.is_local
    }

    /// A name for what is reserved for it, unique in the region.
    pub(crate) fn reservation_name(&self) -> String {
        format!("{}-{:x}", self.request_id.daemon, self.request_id.number)
    }

    /// The upstream that runs it.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.grant.upstream
    }

    /// The first event of the answer has come.
    pub(crate) fn first_event_received(&mut self) {
        if self.has_first_event || self.is_local {
            return;
        }
        self.has_first_event = true;
        self.placer.in_flight.first_event_received(&self.request_id);
        self.placer.report(Progress::FirstEvent(self.request_id.clone()));
    }

    /// The request has ended there.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        self.end_once(outcome);
    }

    fn end_once(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        if self.is_local {
            let now = self.placer.clock.now();
            let id = &self.grant.upstream;
            return self
                .placer
                .view
                .with(|state| state.local.request_ended(now, id, outcome.is_failure()));
        }
        self.placer.in_flight.remove(&self.request_id);
        self.placer.report(Progress::Ended(self.request_id.clone(), outcome));
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.end_once(RequestOutcome::Abandoned);
    }
}

/// Brings news to the leader, in order, several in one message. What a leader missed, its
/// successor learns from the requests that still run.
async fn send_progress(
    rx: flume::Receiver<Progress>,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
) {
    while let Ok(first) = rx.recv_async().await {
        sleep(PROGRESS_DELAY).await;
        let progress: Vec<Progress> = std::iter::once(first).chain(rx.try_iter()).collect();
        let count = progress.len();
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else {
            log::warn!(count = count; "news of requests dropped: no leader");
            continue;
        };
        if let Err(err) =
            links.request(leader, &LeaderRequest::Progress(progress), PROGRESS_TIMEOUT).await
        {
            log::warn!(count = count, leader:% = leader; "news of requests not confirmed: {err}");
        }
    }
}
