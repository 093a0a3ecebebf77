//! Asks where a request runs, and tells how it went on.

use super::{
    bus::Bus,
    messages::{Progress, Question, Reply},
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
const LEADER_WINDOW: Duration = Duration::from_millis(900);
/// Longest wait for the leader's answer to one question, which it gives within 100 ms.
const PLACE_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a leader before this daemon decides alone. An election takes longer;
/// short prompts that wait for its end are late.
const LEADER_PATIENCE: Duration = Duration::from_millis(150);
/// Pause between two looks for a leader.
const LEADER_CHECK: Duration = Duration::from_millis(25);
/// Time for which news of requests are collected into one message.
const PROGRESS_DELAY: Duration = Duration::from_millis(15);
/// Longest wait until the leader has noted news.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the allowed repeats that entry daemons may send while they reach no leader. The
/// leader gives out the rest.
const OWN_SHARE: f64 = 0.15;
/// Time after which a caller that found no upstream may try again: about the time in which
/// a lost upstream is replaced in the directory.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

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
        let unreported = running.values_mut().filter(|(known, _)| *known != term);
        unreported
            .map(|(known, running)| {
                *known = term;
                running.clone()
            })
            .collect()
    }

    fn add(&self, term: u64, running: RunningRequest) {
        lock(&self.running).insert(running.request.id.clone(), (term, running));
    }

    fn began(&self, id: &PlacementRequestId) {
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
    bus: Arc<Bus>,
    clock: SharedClock,
    in_flight: Arc<InFlight>,
    next: AtomicU64,
    news: flume::Sender<Progress>,
    retries: OwnRetries,
}

/// Repeats that this daemon may send by its own decision.
struct OwnRetries {
    ratio: f64,
    slack: u32,
    /// By service; with the number of entry daemons that share the slack.
    budgets: Mutex<BTreeMap<ServiceId, (u32, RetryBudget)>>,
}

impl OwnRetries {
    /// Counts a send, or takes a repeat if one is left. `is_dispatched` services get most
    /// of their repeats from the leader.
    fn admit(&self, ask: &PlacementRequest, is_dispatched: bool, entries: u32) -> bool {
        let share = if is_dispatched { OWN_SHARE } else { 1.0 - OWN_SHARE };
        let fresh = || {
            let percent = (self.ratio * share * 100.0) as u32;
            let slack = f64::from(self.slack) * share / f64::from(entries.max(1));
            (entries, RetryBudget::new(percent, slack as u32))
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(ask.service.clone()).or_insert_with(fresh);
        if budget.0 < entries {
            // More daemons share what is saved up.
            *budget = fresh();
        }
        match ask.is_retry {
            true => budget.1.withdraw().is_ok(),
            false => {
                budget.1.deposit();
                true
            }
        }
    }
}

/// Where a request runs, until it ends. Dropped before [`Hold::end`], the request counts
/// as abandoned.
pub(crate) struct Hold {
    placer: Arc<Placer>,
    ask: PlacementRequestId,
    /// Where to send it.
    pub(crate) grant: Grant,
    is_local: bool,
    has_begun: bool,
    has_ended: bool,
}

impl Placer {
    /// A placer, and the task that brings its news to the leader.
    pub(crate) fn new(
        daemon: DaemonId,
        view: Arc<View>,
        bus: Arc<Bus>,
        clock: SharedClock,
        in_flight: Arc<InFlight>,
        bounds: Bounds,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send) {
        let (news, rx) = flume::unbounded();
        let teller = tell(rx, Arc::clone(&view), Arc::clone(&bus), Arc::clone(&clock));
        let start = fastrand::u64(..u64::from(u32::MAX)) << 32;
        let next = AtomicU64::new(start);
        let retries = OwnRetries {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            budgets: Mutex::default(),
        };
        (Arc::new(Self { daemon, view, bus, clock, in_flight, next, news, retries }), teller)
    }

    /// A name for the next question; differs from those of earlier runs of this daemon.
    pub(crate) fn next_id(&self) -> PlacementRequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        PlacementRequestId { daemon: self.daemon.clone(), number }
    }

    /// Finds an upstream for a stream: the leader decides, or this daemon alone while
    /// there is none. `is_dispatched` is false for services that daemons place alone.
    pub(crate) async fn place(
        self: &Arc<Self>,
        ask: PlacementRequest,
        is_dispatched: bool,
    ) -> Result<Hold, (RefusalReason, Duration)> {
        if !is_dispatched {
            return self.place_alone(&ask, false);
        }
        let asked = self.clock.now();
        let deadline = asked + ask.deadline_remaining;
        let mut without_leader = None;
        loop {
            let now = self.clock.now();
            if now >= deadline {
                self.tell(Progress::Ended(ask.id.clone(), RequestOutcome::Abandoned));
                return Err((RefusalReason::DeadlineUnmeetable, NO_UPSTREAM_RETRY));
            }
            let Some(leader) = self.view.leader(now, LEADER_WINDOW) else {
                let since = *without_leader.get_or_insert(now);
                if now.saturating_duration_since(since) >= LEADER_PATIENCE {
                    return self.place_alone(&ask, true);
                }
                sleep(LEADER_CHECK).await;
                continue;
            };
            let mut left = ask.clone();
            let passed = now.saturating_duration_since(asked);
            left.target_remaining = left.target_remaining.saturating_sub(passed);
            left.deadline_remaining = left.deadline_remaining.saturating_sub(passed);
            left.time_remaining = left.time_remaining.saturating_sub(passed);
            let term = self.view.with(|state| state.position.term);
            match self.bus.ask(leader, &Question::Place(left), PLACE_TIMEOUT).await {
                Ok(Reply::Placed(Decision::Granted(grant))) => {
                    return Ok(self.hold(ask, grant, term));
                }
                Ok(Reply::Placed(Decision::Refused { reason, retry_after })) => {
                    return Err((reason, retry_after));
                }
                Ok(Reply::Placed(Decision::Waiting)) => without_leader = None,
                Ok(_) => {
                    without_leader.get_or_insert(now);
                    sleep(LEADER_CHECK).await;
                }
                Err(err) => {
                    log::debug!("{leader}: {err}");
                    let since = *without_leader.get_or_insert(now);
                    if self.clock.now().saturating_duration_since(since) >= LEADER_PATIENCE {
                        return self.place_alone(&ask, true);
                    }
                }
            }
        }
    }

    fn hold(self: &Arc<Self>, ask: PlacementRequest, grant: Grant, term: u64) -> Hold {
        let running = RunningRequest {
            upstream: grant.upstream.clone(),
            helpers: grant.helpers.iter().map(|helper| helper.upstream.clone()).collect(),
            has_first_event: false,
            request: ask,
        };
        let ask = running.request.id.clone();
        self.in_flight.add(term, running);
        let placer = Arc::clone(self);
        Hold { placer, ask, grant, is_local: false, has_begun: false, has_ended: false }
    }

    fn place_alone(
        self: &Arc<Self>,
        ask: &PlacementRequest,
        is_dispatched: bool,
    ) -> Result<Hold, (RefusalReason, Duration)> {
        let now = self.clock.now();
        let entries = self.view.with(|state| state.entry_daemons);
        if !self.retries.admit(ask, is_dispatched, entries) {
            return Err((RefusalReason::RetryBudget, NO_UPSTREAM_RETRY));
        }
        let chosen = self.view.with(|state| {
            let spread = ask.id.number;
            let service = &ask.service;
            let entry = state.local.choose(now, &state.directory, service, &ask.tried, spread)?;
            let said = &entry.registration;
            let grant = Grant {
                id: 0,
                upstream: said.id.clone(),
                address: said.address,
                helpers: Vec::new(),
                expected_first_event: Duration::ZERO,
            };
            state.local.request_started(&grant.upstream);
            Some(grant)
        });
        let Some(grant) = chosen else {
            return Err((RefusalReason::NoUpstream, NO_UPSTREAM_RETRY));
        };
        let (placer, ask) = (Arc::clone(self), ask.id.clone());
        Ok(Hold { placer, ask, grant, is_local: true, has_begun: false, has_ended: false })
    }

    fn tell(&self, progress: Progress) {
        // The receiver lives as long as the daemon.
        let _ = self.news.send(progress);
    }
}

impl Hold {
    /// Whether this daemon decided alone.
    pub(crate) fn is_local(&self) -> bool {
        self.is_local
    }

    /// A name for what is reserved for it, unique in the region.
    pub(crate) fn ticket_name(&self) -> String {
        format!("{}-{:x}", self.ask.daemon, self.ask.number)
    }

    /// The upstream that runs it.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.grant.upstream
    }

    /// The first event of the answer has come.
    pub(crate) fn began(&mut self) {
        if self.has_begun || self.is_local {
            return;
        }
        self.has_begun = true;
        self.placer.in_flight.began(&self.ask);
        self.placer.tell(Progress::Began(self.ask.clone()));
    }

    /// The request has ended there.
    pub(crate) fn end(mut self, end: RequestOutcome) {
        self.conclude(end);
    }

    fn conclude(&mut self, end: RequestOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        if self.is_local {
            let now = self.placer.clock.now();
            let id = &self.grant.upstream;
            return self
                .placer
                .view
                .with(|state| state.local.request_ended(now, id, end.is_failure()));
        }
        self.placer.in_flight.remove(&self.ask);
        self.placer.tell(Progress::Ended(self.ask.clone(), end));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.conclude(RequestOutcome::Abandoned);
    }
}

/// Brings news to the leader, in order, several in one message. What a leader missed, its
/// successor learns from the requests that still run.
async fn tell(rx: flume::Receiver<Progress>, view: Arc<View>, bus: Arc<Bus>, clock: SharedClock) {
    while let Ok(first) = rx.recv_async().await {
        sleep(PROGRESS_DELAY).await;
        let news: Vec<Progress> = std::iter::once(first).chain(rx.try_iter()).collect();
        let count = news.len();
        let Some(leader) = view.leader(clock.now(), LEADER_WINDOW) else {
            log::warn!(count = count; "news of requests dropped: no leader");
            continue;
        };
        if let Err(err) = bus.ask(leader, &Question::Progress(news), PROGRESS_TIMEOUT).await {
            log::warn!(count = count, leader:% = leader; "news of requests not confirmed: {err}");
        }
    }
}
