//! Admission of requests: the limiter, and the requests that wait for it.

use crate::sync::lock;
use control::{Configuration, OrganisationPriority};
use kernel::SharedClock;
use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationDemand, OrganisationShare, Refusal,
    TicketId,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use wire::{DaemonId, Tokens};

/// Time between polls of the limiter while requests wait.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of its local quota from which an organisation's demand is sent to other daemons.
const REPORTED_QUOTA_FRACTION: f64 = 0.5;
/// Time between polls of the limiter while no request waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Limiter of one entry, with a thread that admits or refuses waiting requests.
pub(crate) struct Admission {
    shared: Arc<Shared>,
}

struct Shared {
    clock: SharedClock,
    state: Mutex<State>,
}

struct State {
    limiter: Limiter,
    /// Channel for the result of each waiting request.
    waiting: HashMap<TicketId, flume::Sender<Result<(), Refusal>>>,
}

/// Permission to run a request. Dropping it without [`finish`](Self::finish) counts the request as
/// having used no tokens.
pub(crate) struct Permit {
    shared: Arc<Shared>,
    ticket: Option<TicketId>,
}

impl Admission {
    /// Starts the polling thread, which ends when the value is dropped.
    pub(crate) fn start(clock: SharedClock) -> Self {
        let state = State { limiter: Limiter::new(Config::default()), waiting: HashMap::new() };
        let shared = Arc::new(Shared { clock, state: Mutex::new(state) });
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = weak.upgrade() {
                let pause = shared.poll();
                drop(shared);
                thread::sleep(pause);
            }
        });
        Self { shared }
    }

    /// Waits until the request is admitted or refused, at most until its deadline.
    pub(crate) fn admit(&self, req: &AdmissionRequest) -> Result<Permit, Refusal> {
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.state);
        let ticket = state.limiter.admit(now, req)?;
        let permit = Permit { shared: Arc::clone(&self.shared), ticket: Some(ticket.id) };
        if ticket.is_granted() {
            return Ok(permit);
        }
        let (tx, rx) = flume::bounded(1);
        state.waiting.insert(ticket.id, tx);
        drop(state);
        match rx.recv_deadline(req.deadline) {
            Ok(result) => result.map(|()| permit),
            Err(_) => Err(Refusal {
                reason: limit::RefusalReason::DeadlineUnmeetable,
                retry_after: POLL_INTERVAL,
            }),
        }
    }

    /// Applies the weights and quotas of a configuration's organisations.
    pub(crate) fn set_shares(&self, now: Instant, cfg: &Configuration, live_daemons: usize) {
        let shares: Vec<OrganisationShare> = cfg
            .organisations
            .iter()
            .map(|(id, organisation)| OrganisationShare {
                organisation: id.clone(),
                weight: organisation.weight,
                tokens_per_second: Some(organisation.tokens_per_second),
            })
            .collect();
        let live_daemons = u32::try_from(live_daemons.max(1)).unwrap_or(u32::MAX);
        lock(&self.shared.state).limiter.set_shares(now, &shares, live_daemons);
    }

    /// Sets this daemon's share of the region's capacity.
    pub(crate) fn set_capacity(&self, capacity: Capacity) {
        lock(&self.shared.state).limiter.set_capacity(capacity);
    }

    /// Sets the demand at another daemon's entry.
    pub(crate) fn set_remote_demand(
        &self,
        now: Instant,
        daemon: DaemonId,
        demand: Vec<OrganisationDemand>,
    ) {
        lock(&self.shared.state).limiter.set_remote_demand(now, daemon, demand);
    }

    /// Demand at this entry of the organisations near their local quota.
    ///
    /// Only their demand shifts quota between daemons. Sending the demand of all organisations
    /// would exceed the traffic allowed for control many times over.
    pub(crate) fn demand_near_quota(&self, now: Instant) -> Vec<OrganisationDemand> {
        let state = lock(&self.shared.state);
        let mut demand = state.limiter.demand(now);
        demand.retain(|demand| {
            let quota = state.limiter.local_quota(now, &demand.organisation);
            quota.is_some_and(|quota| {
                demand.tokens_per_second as f64 >= quota * REPORTED_QUOTA_FRACTION
            })
        });
        demand
    }

    /// Number of requests waiting for admission.
    pub(crate) fn waiting_count(&self) -> usize {
        lock(&self.shared.state).limiter.waiting()
    }
}

impl Shared {
    /// Passes the limiter's decisions to waiting requests, and returns the time until the next
    /// poll.
    fn poll(&self) -> Duration {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        for outcome in state.limiter.poll(now) {
            if let Some(tx) = state.waiting.remove(&outcome.ticket) {
                let _ = tx.send(outcome.result);
            }
        }
        if state.waiting.is_empty() { IDLE_POLL_INTERVAL } else { POLL_INTERVAL }
    }
}

impl Permit {
    /// Ends the request, which used this number of tokens.
    pub(crate) fn finish(mut self, used: Tokens) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.shared.clock.now();
            lock(&self.shared.state).limiter.finish(now, ticket, used);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.shared.clock.now();
            let mut state = lock(&self.shared.state);
            state.waiting.remove(&ticket);
            state.limiter.cancel(now, ticket);
        }
    }
}

/// Priority of a request: the one that the caller requested, or else the organisation's.
pub(crate) fn priority(
    requested: Option<edge::RequestPriority>,
    default: OrganisationPriority,
) -> limit::Priority {
    match requested {
        Some(edge::RequestPriority::Urgent) => limit::Priority::Urgent,
        Some(edge::RequestPriority::Ordinary) => limit::Priority::Ordinary,
        None if default == OrganisationPriority::Urgent => limit::Priority::Urgent,
        None => limit::Priority::Ordinary,
    }
}
