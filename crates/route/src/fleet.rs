//! Exact state of an owner's upstreams and requests.

use crate::{
    announce::{DesiredState, LoadReport, ReportOutcome, UpstreamInfo},
    class::LengthClass,
    config::Config,
    error::{Refusal, RefusalReason},
    job::{LostJob, RefusedJob},
    pool::{Pool, PoolId},
    prefix::{CacheEvent, PrefixHolders},
    queue::{QueueId, QueuePosition},
    upstream::{Upstream, UpstreamIndex},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};
use wire::{ModelId, RequestId, Tokens, UpstreamId};

/// Maximum memory of an upstream, in tokens. Larger announced values are lowered to it.
const MAX_MEMORY_TOKENS: Tokens = 1 << 40;

/// A dispatched request.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) pool: PoolId,
    pub(crate) class: LengthClass,
    pub(crate) deadline: Instant,
    pub(crate) estimated_prompt: Tokens,
    pub(crate) max_output: Tokens,
    pub(crate) prefixes: Vec<crate::job::Prefix>,
    pub(crate) parts: Vec<Part>,
    /// Index of the part whose prefill is outstanding, and its remaining tokens.
    pub(crate) prefill: Option<(usize, Tokens)>,
    pub(crate) prefill_started: Instant,
    /// Prompt tokens already in prefill on the first upstream at the dispatch.
    pub(crate) backlog_at_start: Tokens,
    pub(crate) is_suspect: bool,
}

/// Part of a request in flight on one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) upstream: UpstreamIndex,
    /// Memory reserved, in tokens.
    pub(crate) tokens: Tokens,
    /// Length of the part of the prompt, in tokens.
    pub(crate) prompt: Tokens,
}

/// Exact state of an owner's upstreams and requests: which upstream serves which models, reserved
/// memory, ramps, queues and cached prefixes.
///
/// A fleet does no I/O. The owner's daemon passes in announcements, reports and request events,
/// and calls [`dispatch`](Self::dispatch) and [`refuse_expired`](Self::refuse_expired) after each
/// of them and, without any, at [`next_wakeup`](Self::next_wakeup).
#[derive(Debug)]
pub struct Fleet {
    pub(crate) cfg: Config,
    pub(crate) is_in_service: bool,
    /// Index of each upstream by its id. Gangs reserve memory in the order of ids.
    pub(crate) ids: BTreeMap<UpstreamId, UpstreamIndex>,
    /// Upstreams by index; the unused indices are listed in `free_indices`.
    pub(crate) upstreams: Vec<Option<Upstream>>,
    free_indices: Vec<UpstreamIndex>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) pool_ids: BTreeMap<ModelId, PoolId>,
    pub(crate) queued: HashMap<RequestId, (PoolId, QueueId, QueuePosition)>,
    pub(crate) running: HashMap<RequestId, RunningRequest>,
    pub(crate) deadlines: BTreeSet<(Instant, RequestId)>,
    /// Times at which the index keys of an upstream may change without an event.
    timers: BTreeSet<(Instant, UpstreamIndex)>,
    /// Desired states other than [`DesiredState::Up`], also of upstreams that have not announced
    /// themselves yet.
    desired_states: BTreeMap<UpstreamId, DesiredState>,
    pub(crate) prefix_holders: PrefixHolders,
    /// Jobs that lost their place in a full queue, returned by the next
    /// [`refuse_expired`](Self::refuse_expired).
    pub(crate) displaced: Vec<RefusedJob>,
    pub(crate) next_sequence: u64,
    /// Pool that the next dispatch starts with.
    pub(crate) first_pool: PoolId,
    /// Time of the last call of [`dispatch`](Self::dispatch).
    pub(crate) last_dispatch: Option<Instant>,
}

impl Fleet {
    /// Creates a fleet without upstreams whose data centre is in service.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            is_in_service: true,
            ids: BTreeMap::new(),
            upstreams: Vec::new(),
            free_indices: Vec::new(),
            pools: Vec::new(),
            pool_ids: BTreeMap::new(),
            queued: HashMap::new(),
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            desired_states: BTreeMap::new(),
            prefix_holders: PrefixHolders::default(),
            displaced: Vec::new(),
            next_sequence: 0,
            first_pool: 0,
            last_dispatch: None,
        }
    }

    /// Applies an announcement, first or repeated. A new incarnation restarts the ramp, and the
    /// requests that were in flight on the former one are returned as lost. An announcement of an
    /// earlier incarnation is ignored.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::QueueFull`] when [`Config::max_upstreams`] upstreams are known already.
    pub fn announce(
        &mut self,
        now: Instant,
        mut info: UpstreamInfo,
    ) -> std::result::Result<Vec<LostJob>, Refusal> {
        info.memory_tokens = info.memory_tokens.min(MAX_MEMORY_TOKENS);
        let Some(upstream) = self.ids.get(&info.id).copied() else {
            return self.add(now, info).map(|()| Vec::new());
        };
        let u = self.upstream(upstream);
        if info.incarnation < u.info.incarnation {
            return Ok(Vec::new());
        }
        let is_new = info.incarnation > u.info.incarnation;
        let lost = if is_new { self.drop_requests_on(now, upstream) } else { Vec::new() };
        self.remove_from_indices(upstream);
        let pools = self.pools_of(&info.models);
        let u = self.upstream_mut(upstream);
        u.last_heard = now;
        u.pools = pools;
        u.info = info;
        if is_new {
            let uptime = u.info.uptime;
            u.restart(now);
            u.ramp_started = now.checked_sub(uptime).unwrap_or(now);
        }
        self.reindex(now, upstream);
        Ok(lost)
    }

    /// Applies a load report. A report may be out of date, so it never replaces the reservations
    /// that the fleet keeps itself. If it shows a restart, the requests in flight on the upstream
    /// are returned as lost.
    pub fn report(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        report: LoadReport,
    ) -> (ReportOutcome, Vec<LostJob>) {
        let Some(upstream) = self.ids.get(id).copied() else {
            return (ReportOutcome::Unknown, Vec::new());
        };
        let gap = self.cfg.max_report_gap;
        let u = self.upstream_mut(upstream);
        if report.incarnation < u.info.incarnation {
            return (ReportOutcome::Stale, Vec::new());
        }
        let before = u.reported;
        let counters_reset =
            before.is_some_and(|(_, r)| report.counters.has_reset_since(&r.counters));
        let has_restarted = report.incarnation > u.info.incarnation || counters_reset;
        let has_gap = before.is_some_and(|(at, _)| now.saturating_duration_since(at) > gap);
        u.info.incarnation = report.incarnation;
        let lost = if has_restarted { self.drop_requests_on(now, upstream) } else { Vec::new() };
        let u = self.upstream_mut(upstream);
        if has_restarted {
            u.restart(now);
        } else if has_gap {
            u.ramp_started = now;
        } else if let Some((_, before)) = before {
            learn_prefill_rate(u, &before, &report);
        }
        u.apply_report(now, report);
        self.reindex(now, upstream);
        let restarted = has_restarted || has_gap;
        let outcome = if restarted { ReportOutcome::RampRestarted } else { ReportOutcome::Taken };
        (outcome, lost)
    }

    /// Applies a numbered cache event; one of an unknown upstream is ignored.
    pub fn cache_event(&mut self, id: &UpstreamId, sequence: u64, event: CacheEvent) {
        let max = self.cfg.max_prefixes;
        if let Some(upstream) = self.ids.get(id).copied() {
            if let CacheEvent::Stored(prefix) = event {
                self.prefix_holders.add(prefix.hash, upstream);
            }
            self.upstream_mut(upstream).prefixes.apply_event(sequence, event, max);
        }
    }

    /// Sets the state that the owner wants an upstream to be in. It is kept for an upstream that
    /// has not announced itself yet.
    pub fn set_desired_state(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        desired_state: DesiredState,
    ) {
        match desired_state {
            DesiredState::Up => self.desired_states.remove(id),
            DesiredState::Retired => self.desired_states.insert(id.clone(), desired_state),
        };
        if let Some(upstream) = self.ids.get(id).copied() {
            self.upstream_mut(upstream).desired_state = desired_state;
            self.reindex(now, upstream);
        }
    }

    /// Puts the data centre in or out of service. Out of service, nothing is dispatched and
    /// requests in flight may finish. Queued requests are refused at the next call of
    /// [`refuse_expired`](Self::refuse_expired), so that another owner can place them at once.
    pub fn set_data_centre_in_service(&mut self, now: Instant, is_in_service: bool) {
        self.is_in_service = is_in_service;
        let upstreams: Vec<UpstreamIndex> = self.ids.values().copied().collect();
        upstreams.into_iter().for_each(|upstream| self.reindex(now, upstream));
    }

    /// Removes an upstream, and returns the requests in flight there as lost.
    pub fn remove(&mut self, now: Instant, id: &UpstreamId) -> Vec<LostJob> {
        let Some(upstream) = self.ids.get(id).copied() else { return Vec::new() };
        let lost = self.drop_requests_on(now, upstream);
        self.remove_from_indices(upstream);
        self.ids.remove(id);
        self.upstreams[upstream as usize] = None;
        self.free_indices.push(upstream);
        lost
    }

    /// Removes upstreams without an announcement or report for [`Config::removal_timeout`].
    pub fn remove_silent(&mut self, now: Instant) -> Vec<LostJob> {
        let removal = self.cfg.removal_timeout;
        let silent: Vec<UpstreamId> = self
            .known()
            .filter(|u| now.saturating_duration_since(u.last_heard) >= removal)
            .map(|u| u.info.id.clone())
            .collect();
        silent.iter().flat_map(|id| self.remove(now, id)).collect()
    }

    /// Time at which `dispatch`, `refuse_expired` and `overdue_requests` should be called next if
    /// no event occurs before.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let latest_starts =
            self.pools.iter().filter_map(|p| p.queues.latest_start().map(|(at, ..)| at));
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let backlog = self.pools.iter().filter_map(|p| self.next_backlog_wakeup(p));
        latest_starts.chain(timer).chain(deadline).chain(backlog).min()
    }

    /// Time at which the prefill work of the least busy upstream falls to the limit for another
    /// request, if one is queued. A time up to the last dispatch is not returned: that dispatch
    /// did not place the request, and neither would another one at once.
    fn next_backlog_wakeup(&self, pool: &Pool) -> Option<Instant> {
        let (done, _) = pool.by_prefill_done.first()?;
        let at = done.checked_sub(self.cfg.max_backlog)?;
        let is_new = self.last_dispatch.is_some_and(|last| at > last);
        (!pool.queues.is_empty() && self.cfg.policy.queues_while_busy() && is_new).then_some(at)
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.running.len()
    }

    /// Whether a request is in flight.
    pub fn is_in_flight(&self, request: &RequestId) -> bool {
        self.running.contains_key(request)
    }

    /// Memory reserved on an upstream, in tokens; `None` if the upstream is not known.
    pub fn reserved_tokens(&self, id: &UpstreamId) -> Option<Tokens> {
        self.ids.get(id).map(|upstream| self.upstream(*upstream).reserved)
    }

    /// Requests that this owner has in flight on an upstream, for comparison with those that the
    /// upstream reports as running.
    pub fn requests_on(&self, id: &UpstreamId) -> Vec<RequestId> {
        let upstream = self.ids.get(id);
        upstream.map_or_else(Vec::new, |u| self.upstream(*u).requests.iter().cloned().collect())
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().flatten()
    }

    pub(crate) fn upstream(&self, index: UpstreamIndex) -> &Upstream {
        self.upstreams[index as usize].as_ref().expect("an index in use refers to an upstream")
    }

    pub(crate) fn upstream_mut(&mut self, index: UpstreamIndex) -> &mut Upstream {
        self.upstreams[index as usize].as_mut().expect("an index in use refers to an upstream")
    }

    /// Creates a refusal with a retry delay within the configured limits, lengthened by up to a
    /// quarter depending on the sequence number, so that callers do not retry at the same time.
    pub(crate) fn refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after);
        let spread = self.next_sequence.wrapping_mul(SPREAD_MULTIPLIER) >> 56;
        Refusal { reason, retry_after: wait + wait.mul_f64(spread as f64 / 1024.0) }
    }

    /// Updates the indices of the pools and the timer after a change of an upstream.
    pub(crate) fn reindex(&mut self, now: Instant, upstream: UpstreamIndex) {
        let (is_data_centre_in_service, silence) = (self.is_in_service, self.cfg.silence_timeout);
        let u = self.upstreams[upstream as usize]
            .as_mut()
            .expect("an index in use refers to an upstream");
        let keys = u.index_keys(now, is_data_centre_in_service, silence);
        let timer = u.next_timer(now, silence);
        if timer != u.timer {
            if let Some(at) = u.timer {
                self.timers.remove(&(at, upstream));
            }
            if let Some(at) = timer {
                self.timers.insert((at, upstream));
            }
            u.timer = timer;
        }
        if keys == u.indexed {
            return;
        }
        for pool in &u.pools {
            if let Some(old) = &u.indexed {
                self.pools[*pool].remove(upstream, old);
            }
            if let Some(new) = &keys {
                self.pools[*pool].insert(upstream, new);
            }
        }
        u.indexed = keys;
    }

    /// Updates the indices of upstreams whose ramp, silence or pause has changed their keys by
    /// now.
    pub(crate) fn run_timers(&mut self, now: Instant) {
        let due: Vec<UpstreamIndex> = self
            .timers
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, upstream)| *upstream)
            .collect();
        due.into_iter().for_each(|upstream| self.reindex(now, upstream));
    }

    /// Adds an upstream that has announced itself for the first time.
    fn add(&mut self, now: Instant, info: UpstreamInfo) -> std::result::Result<(), Refusal> {
        if self.ids.len() >= self.cfg.max_upstreams {
            return Err(self.refusal(RefusalReason::QueueFull, self.cfg.max_retry_after));
        }
        let pools = self.pools_of(&info.models);
        let id = info.id.clone();
        let mut u = Upstream::new(now, info, pools);
        u.desired_state = self.desired_states.get(&id).copied().unwrap_or_default();
        let index = self.free_indices.pop().unwrap_or(self.upstreams.len() as UpstreamIndex);
        if index as usize == self.upstreams.len() {
            self.upstreams.push(None);
        }
        self.upstreams[index as usize] = Some(u);
        self.ids.insert(id, index);
        self.reindex(now, index);
        Ok(())
    }

    fn pools_of(&mut self, models: &[ModelId]) -> Vec<PoolId> {
        let distinct: BTreeSet<&ModelId> = models.iter().collect();
        distinct.into_iter().map(|model| self.pool_id(model)).collect()
    }

    /// Index of the pool of a model, which is created if there is none.
    fn pool_id(&mut self, model: &ModelId) -> PoolId {
        if let Some(id) = self.pool_ids.get(model) {
            return *id;
        }
        self.pools.push(Pool::new(model.clone()));
        self.pool_ids.insert(model.clone(), self.pools.len() - 1);
        self.pools.len() - 1
    }

    /// Removes an upstream from the indices of its pools and from the timers, before its pools or
    /// its index change.
    fn remove_from_indices(&mut self, upstream: UpstreamIndex) {
        let u = self.upstreams[upstream as usize]
            .as_mut()
            .expect("an index in use refers to an upstream");
        if let Some(old) = u.indexed.take() {
            u.pools.iter().for_each(|pool| self.pools[*pool].remove(upstream, &old));
        }
        if let Some(at) = u.timer.take() {
            self.timers.remove(&(at, upstream));
        }
    }

    /// Ends all requests in flight on an upstream and releases their memory, also that of gangs
    /// on their other members.
    fn drop_requests_on(&mut self, now: Instant, upstream: UpstreamIndex) -> Vec<LostJob> {
        let u = self.upstream(upstream);
        let (id, requests) = (u.info.id.clone(), u.requests.clone());
        let concurrent_requests = requests.len().saturating_sub(1);
        requests
            .into_iter()
            .filter(|request| self.release(now, request).is_some())
            .map(|request| LostJob { request, upstream: id.clone(), concurrent_requests })
            .collect()
    }
}

/// Learns the prefill rate from the counters of two reports of one incarnation.
fn learn_prefill_rate(u: &mut Upstream, before: &LoadReport, after: &LoadReport) {
    let tokens = after.counters.prefill_tokens - before.counters.prefill_tokens;
    let millis = after.counters.prefill_millis - before.counters.prefill_millis;
    let announced = u.info.prefill_tokens_per_second as f64;
    if millis >= MIN_PREFILL_MILLIS && announced > 0.0 {
        u.prefill_factor.add(tokens as f64 * 1_000.0 / millis as f64 / announced);
    }
}

/// Minimum prefill time between two reports from which a rate is learnt; a shorter one is too
/// inexact.
const MIN_PREFILL_MILLIS: u64 = 50;

/// Odd multiplier, 2^64 divided by the golden ratio, that spreads consecutive numbers over 64
/// bits (Fibonacci hashing).
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
