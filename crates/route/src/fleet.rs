//! An owner's exact state of its upstreams.

use crate::{
    announce::{DesiredState, LoadReport, ReportOutcome, UpstreamInfo},
    class::LengthClass,
    config::Config,
    error::{Refusal, RefusalReason},
    job::{LostJob, RefusedJob},
    pool::{Pool, PoolId},
    prefix::{CacheEvent, Holders},
    queue::{Key, Lane},
    upstream::{Slot, Upstream},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};
use wire::{ModelId, RequestId, Tokens, UpstreamId};

/// Most memory that an upstream may announce, in tokens.
const MAX_MEMORY: Tokens = 1 << 40;

/// A request that was dispatched.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) pool: PoolId,
    pub(crate) class: LengthClass,
    pub(crate) deadline: Instant,
    pub(crate) estimated_prompt: Tokens,
    pub(crate) max_output: Tokens,
    pub(crate) prefixes: Vec<crate::job::Prefix>,
    pub(crate) parts: Vec<Part>,
    /// The part whose prefill is outstanding, with its tokens.
    pub(crate) prefill: Option<(usize, Tokens)>,
    pub(crate) prefill_started: Instant,
    pub(crate) backlog_at_start: Tokens,
    pub(crate) is_suspect: bool,
}

/// Memory of a running request on one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) slot: Slot,
    pub(crate) tokens: Tokens,
    pub(crate) prompt: Tokens,
}

/// An owner's exact state of its upstreams: who serves what, memory promised,
/// ramps, queues and prefixes.
///
/// Plain data with no I/O. Events go in, orders come out:
/// after any event call [`dispatch`](Self::dispatch) and
/// [`refuse_expired`](Self::refuse_expired); without events call them at
/// [`next_wakeup`](Self::next_wakeup).
#[derive(Debug)]
pub struct Fleet {
    pub(crate) cfg: Config,
    pub(crate) is_in_service: bool,
    /// Slots by id, the global order in which memory is reserved.
    pub(crate) ids: BTreeMap<UpstreamId, Slot>,
    pub(crate) upstreams: Vec<Option<Upstream>>,
    free_slots: Vec<Slot>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) pool_ids: BTreeMap<ModelId, PoolId>,
    pub(crate) queued: HashMap<RequestId, (PoolId, Lane, Key)>,
    pub(crate) running: HashMap<RequestId, Running>,
    pub(crate) deadlines: BTreeSet<(Instant, RequestId)>,
    timers: BTreeSet<(Instant, Slot)>,
    /// Desired states of upstreams that have not announced themselves yet.
    desired_states: BTreeMap<UpstreamId, DesiredState>,
    pub(crate) prefix_holders: Holders,
    pub(crate) shed: Vec<RefusedJob>,
    pub(crate) next_sequence: u64,
    pub(crate) first_pool: PoolId,
    /// When jobs were last dispatched.
    pub(crate) dispatched: Option<Instant>,
}

impl Fleet {
    /// A fleet without upstreams whose data centre is in service.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            is_in_service: true,
            ids: BTreeMap::new(),
            upstreams: Vec::new(),
            free_slots: Vec::new(),
            pools: Vec::new(),
            pool_ids: BTreeMap::new(),
            queued: HashMap::new(),
            running: HashMap::new(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            desired_states: BTreeMap::new(),
            prefix_holders: Holders::default(),
            shed: Vec::new(),
            next_sequence: 0,
            first_pool: 0,
            dispatched: None,
        }
    }

    /// Takes in an announcement, first or repeated. A new incarnation restarts
    /// the ramp, and what ran on the former one is lost.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::QueueFull`] when as many upstreams are known as may be.
    pub fn announce(
        &mut self,
        now: Instant,
        mut ann: UpstreamInfo,
    ) -> std::result::Result<Vec<LostJob>, Refusal> {
        ann.memory_tokens = ann.memory_tokens.min(MAX_MEMORY);
        let Some(slot) = self.ids.get(&ann.id).copied() else {
            return self.add(now, ann).map(|()| Vec::new());
        };
        let u = self.upstream(slot);
        if ann.incarnation < u.ann.incarnation {
            return Ok(Vec::new());
        }
        let is_new = ann.incarnation > u.ann.incarnation;
        let lost = if is_new { self.lose(now, slot) } else { Vec::new() };
        self.unindex(slot);
        let pools = self.pools_of(&ann.models);
        let u = self.upstream_mut(slot);
        u.heard = now;
        u.pools = pools;
        u.ann = ann;
        if is_new {
            let uptime = u.ann.uptime;
            u.restart(now);
            u.ramp_started = now.checked_sub(uptime).unwrap_or(now);
        }
        self.touch(now, slot);
        Ok(lost)
    }

    /// Takes in a load report. It may be late; it is never taken as exact.
    pub fn report(
        &mut self,
        now: Instant,
        id: &UpstreamId,
        report: LoadReport,
    ) -> (ReportOutcome, Vec<LostJob>) {
        let Some(slot) = self.ids.get(id).copied() else {
            return (ReportOutcome::Unknown, Vec::new());
        };
        let gap = self.cfg.max_report_gap;
        let u = self.upstream_mut(slot);
        if report.incarnation < u.ann.incarnation {
            return (ReportOutcome::Stale, Vec::new());
        }
        let before = u.reported;
        let fell = before.is_some_and(|(_, r)| report.counters.has_reset_since(&r.counters));
        let has_restarted = report.incarnation > u.ann.incarnation || fell;
        let has_gap = before.is_some_and(|(at, _)| now.saturating_duration_since(at) > gap);
        u.ann.incarnation = report.incarnation;
        let lost = if has_restarted { self.lose(now, slot) } else { Vec::new() };
        let u = self.upstream_mut(slot);
        if has_restarted {
            u.restart(now);
        } else if has_gap {
            u.ramp_started = now;
        } else if let Some((_, before)) = before {
            learn_rate(u, &before, &report);
        }
        u.take_report(now, report);
        self.touch(now, slot);
        let restarted = has_restarted || has_gap;
        let outcome = if restarted { ReportOutcome::RampRestarted } else { ReportOutcome::Taken };
        (outcome, lost)
    }

    /// Takes in a numbered cache event; unknown upstreams are ignored.
    pub fn cache_event(&mut self, id: &UpstreamId, sequence: u64, event: CacheEvent) {
        let max = self.cfg.max_prefixes;
        if let Some(slot) = self.ids.get(id).copied() {
            if let CacheEvent::Stored(prefix) = event {
                self.prefix_holders.add(prefix.hash, slot);
            }
            self.upstream_mut(slot).prefixes.event(sequence, event, max);
        }
    }

    /// Sets what operators want of an upstream, known already or not.
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
        if let Some(slot) = self.ids.get(id).copied() {
            self.upstream_mut(slot).desired_state = desired_state;
            self.touch(now, slot);
        }
    }

    /// Puts the data centre in or out of service. Out of service, nothing is
    /// dispatched; what runs may end, what waits is refused at the next call of
    /// [`refuse_expired`](Self::refuse_expired) so that it can go elsewhere at once.
    pub fn set_data_centre_in_service(&mut self, now: Instant, is_in_service: bool) {
        self.is_in_service = is_in_service;
        let slots: Vec<Slot> = self.ids.values().copied().collect();
        slots.into_iter().for_each(|slot| self.touch(now, slot));
    }

    /// Removes an upstream. What ran there is lost, its memory returned.
    pub fn remove(&mut self, now: Instant, id: &UpstreamId) -> Vec<LostJob> {
        let Some(slot) = self.ids.get(id).copied() else { return Vec::new() };
        let lost = self.lose(now, slot);
        self.unindex(slot);
        self.ids.remove(id);
        self.upstreams[slot as usize] = None;
        self.free_slots.push(slot);
        lost
    }

    /// Removes upstreams that have not been heard for long.
    pub fn remove_silent(&mut self, now: Instant) -> Vec<LostJob> {
        let removal = self.cfg.removal_timeout;
        let silent: Vec<UpstreamId> = self
            .known()
            .filter(|u| now.saturating_duration_since(u.heard) >= removal)
            .map(|u| u.ann.id.clone())
            .collect();
        silent.iter().flat_map(|id| self.remove(now, id)).collect()
    }

    /// Time of the next call of `dispatch`, `refuse_expired` and `overdue_requests` if nothing
    /// else happens before.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let late = self.pools.iter().filter_map(|p| p.queues.latest_start().map(|(at, ..)| at));
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let room = self.pools.iter().filter_map(|p| self.next_room(p));
        late.chain(timer).chain(deadline).chain(room).min()
    }

    /// When the upstream with the least prefill work will have little enough of
    /// it for a request that waits. Only times after the last dispatch count, so
    /// that one which did not help is not given again.
    fn next_room(&self, pool: &Pool) -> Option<Instant> {
        let (done, _) = pool.open.first()?;
        let at = done.checked_sub(self.cfg.max_backlog)?;
        let is_new = self.dispatched.is_some_and(|last| at > last);
        (!pool.queues.is_empty() && self.cfg.policy.holds_back() && is_new).then_some(at)
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
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

    /// Memory promised on an upstream, in tokens.
    pub fn reserved_tokens(&self, id: &UpstreamId) -> Option<Tokens> {
        self.ids.get(id).map(|slot| self.upstream(*slot).reserved)
    }

    /// Requests that this owner has in flight on an upstream, to be compared
    /// with what the upstream reports as running.
    pub fn requests_on(&self, id: &UpstreamId) -> Vec<RequestId> {
        let slot = self.ids.get(id);
        slot.map_or_else(Vec::new, |s| self.upstream(*s).requests.iter().cloned().collect())
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().flatten()
    }

    pub(crate) fn upstream(&self, slot: Slot) -> &Upstream {
        self.upstreams[slot as usize].as_ref().expect("slots in use hold an upstream")
    }

    pub(crate) fn upstream_mut(&mut self, slot: Slot) -> &mut Upstream {
        self.upstreams[slot as usize].as_mut().expect("slots in use hold an upstream")
    }

    pub(crate) fn refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after);
        let spread = self.next_sequence.wrapping_mul(SPREAD) >> 56;
        Refusal { reason, retry_after: wait + wait.mul_f64(spread as f64 / 1024.0) }
    }

    /// Brings the indexes up to date after any change of an upstream.
    pub(crate) fn touch(&mut self, now: Instant, slot: Slot) {
        let (may_serve, silence) = (self.is_in_service, self.cfg.silence_timeout);
        let u = self.upstreams[slot as usize].as_mut().expect("slots in use hold an upstream");
        let keys = u.index_keys(now, may_serve, silence);
        let timer = u.next_timer(now, silence);
        if timer != u.timer {
            if let Some(at) = u.timer {
                self.timers.remove(&(at, slot));
            }
            if let Some(at) = timer {
                self.timers.insert((at, slot));
            }
            u.timer = timer;
        }
        if keys == u.indexed {
            return;
        }
        for pool in &u.pools {
            if let Some(old) = &u.indexed {
                self.pools[*pool].remove(slot, old);
            }
            if let Some(new) = &keys {
                self.pools[*pool].insert(slot, new);
            }
        }
        u.indexed = keys;
    }

    /// Looks again at upstreams whose ramp, silence or pause has moved on.
    pub(crate) fn run_timers(&mut self, now: Instant) {
        let due: Vec<Slot> =
            self.timers.iter().take_while(|(at, _)| *at <= now).map(|(_, slot)| *slot).collect();
        due.into_iter().for_each(|slot| self.touch(now, slot));
    }

    fn add(&mut self, now: Instant, ann: UpstreamInfo) -> std::result::Result<(), Refusal> {
        if self.ids.len() >= self.cfg.max_upstreams {
            return Err(self.refusal(RefusalReason::QueueFull, self.cfg.max_retry_after));
        }
        let pools = self.pools_of(&ann.models);
        let id = ann.id.clone();
        let mut u = Upstream::new(now, ann, pools);
        u.desired_state = self.desired_states.get(&id).copied().unwrap_or_default();
        let slot = self.free_slots.pop().unwrap_or(self.upstreams.len() as Slot);
        if slot as usize == self.upstreams.len() {
            self.upstreams.push(None);
        }
        self.upstreams[slot as usize] = Some(u);
        self.ids.insert(id, slot);
        self.touch(now, slot);
        Ok(())
    }

    fn pools_of(&mut self, models: &[ModelId]) -> Vec<PoolId> {
        let distinct: BTreeSet<&ModelId> = models.iter().collect();
        distinct.into_iter().map(|model| self.pool_id(model)).collect()
    }

    fn pool_id(&mut self, model: &ModelId) -> PoolId {
        if let Some(id) = self.pool_ids.get(model) {
            return *id;
        }
        self.pools.push(Pool::new(model.clone()));
        self.pool_ids.insert(model.clone(), self.pools.len() - 1);
        self.pools.len() - 1
    }

    fn unindex(&mut self, slot: Slot) {
        let u = self.upstreams[slot as usize].as_mut().expect("slots in use hold an upstream");
        if let Some(old) = u.indexed.take() {
            u.pools.iter().for_each(|pool| self.pools[*pool].remove(slot, &old));
        }
        if let Some(at) = u.timer.take() {
            self.timers.remove(&(at, slot));
        }
    }

    /// Ends all requests in flight on an upstream and returns their memory,
    /// that of gangs on the other members too.
    fn lose(&mut self, now: Instant, slot: Slot) -> Vec<LostJob> {
        let u = self.upstream(slot);
        let (upstream, requests) = (u.ann.id.clone(), u.requests.clone());
        let concurrent_requests = requests.len().saturating_sub(1);
        requests
            .into_iter()
            .filter(|request| self.release(now, request).is_some())
            .map(|request| LostJob { request, upstream: upstream.clone(), concurrent_requests })
            .collect()
    }
}

/// Learns the prefill rate from two reports of one incarnation.
fn learn_rate(u: &mut Upstream, before: &LoadReport, after: &LoadReport) {
    let tokens = after.counters.prefill_tokens - before.counters.prefill_tokens;
    let millis = after.counters.prefill_millis - before.counters.prefill_millis;
    let announced = u.ann.prefill_tokens_per_second as f64;
    if millis >= MIN_PREFILL_MILLIS && announced > 0.0 {
        u.prefill_factor.add(tokens as f64 * 1_000.0 / millis as f64 / announced);
    }
}

/// Least time in prefill between two reports that says anything about a rate.
const MIN_PREFILL_MILLIS: u64 = 50;

/// Odd multiplier that spreads consecutive numbers over 64 bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
