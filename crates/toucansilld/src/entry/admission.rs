//! Admission of requests: the limiter and those that wait for it.

use crate::sync::lock;
use control::{Configuration, OrganisationPriority};
use kernel::SharedClock;
use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationShare, OrganisationUsage, Refusal,
    TicketId,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use wire::{DaemonId, Tokens};

/// Longest time between two looks at those that wait.
const POLL_EVERY: Duration = Duration::from_millis(20);
/// Part of its local quota from which an organisation's demand is told to others.
const PRESSING_PART: f64 = 0.5;
/// Pause while nobody waits.
const IDLE_POLL_EVERY: Duration = Duration::from_millis(100);

/// The limiter of one entry.
pub(crate) struct Admission {
    shared: Arc<Shared>,
}

struct Shared {
    clock: SharedClock,
    state: Mutex<State>,
}

struct State {
    limiter: Limiter,
    waiting: HashMap<TicketId, flume::Sender<Result<(), Refusal>>>,
}

/// An admitted request. Dropped, it counts as one that used nothing.
pub(crate) struct Pass {
    shared: Arc<Shared>,
    ticket: Option<TicketId>,
}

impl Admission {
    /// Starts the thread that answers those that wait.
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

    /// Waits until the request is admitted or refused.
    pub(crate) fn admit(&self, ask: &AdmissionRequest) -> Result<Pass, Refusal> {
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.state);
        let ticket = state.limiter.admit(now, ask)?;
        let pass = Pass { shared: Arc::clone(&self.shared), ticket: Some(ticket.id) };
        if ticket.is_granted() {
            return Ok(pass);
        }
        let (tx, rx) = flume::bounded(1);
        state.waiting.insert(ticket.id, tx);
        drop(state);
        match rx.recv_deadline(ask.deadline) {
            Ok(answer) => answer.map(|()| pass),
            Err(_) => Err(Refusal {
                reason: limit::RefusalReason::DeadlineUnmeetable,
                retry_after: POLL_EVERY,
            }),
        }
    }

    /// Puts the organisations of a configuration in force.
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

    /// Sets what this daemon may expect of the region.
    pub(crate) fn set_capacity(&self, capacity: Capacity) {
        lock(&self.shared.state).limiter.set_capacity(capacity);
    }

    /// Takes in the demand at another entry.
    pub(crate) fn set_usage_elsewhere(
        &self,
        now: Instant,
        daemon: DaemonId,
        usage: Vec<OrganisationUsage>,
    ) {
        lock(&self.shared.state).limiter.set_remote_usage(now, daemon, usage);
    }

    /// Demand at this entry of the organisations that come near their local quota.
    ///
    /// Only theirs moves a quota between daemons; telling that of all would cost
    /// many times what control may.
    pub(crate) fn pressing_usage(&self, now: Instant) -> Vec<OrganisationUsage> {
        let state = lock(&self.shared.state);
        let mut usage = state.limiter.usage(now);
        usage.retain(|usage| {
            let quota = state.limiter.local_quota(now, &usage.organisation);
            quota.is_some_and(|quota| usage.tokens_per_second as f64 >= quota * PRESSING_PART)
        });
        usage
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        lock(&self.shared.state).limiter.waiting()
    }
}

impl Shared {
    /// Answers those whose turn it is, and gives the time until the next look.
    fn poll(&self) -> Duration {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        for answer in state.limiter.poll(now) {
            if let Some(tx) = state.waiting.remove(&answer.ticket) {
                let _ = tx.send(answer.result);
            }
        }
        if state.waiting.is_empty() { IDLE_POLL_EVERY } else { POLL_EVERY }
    }
}

impl Pass {
    /// Ends the request with the tokens that it used.
    pub(crate) fn finish(mut self, used: Tokens) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.shared.clock.now();
            lock(&self.shared.state).limiter.finish(now, ticket, used);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.shared.clock.now();
            let mut state = lock(&self.shared.state);
            state.waiting.remove(&ticket);
            state.limiter.cancel(now, ticket);
        }
    }
}

/// The priority of a request: the caller's word, else the organisation's.
pub(crate) fn priority(
    asked: Option<edge::Priority>,
    usual: OrganisationPriority,
) -> limit::Priority {
    match asked {
        Some(edge::Priority::Urgent) => limit::Priority::Urgent,
        Some(edge::Priority::Ordinary) => limit::Priority::Ordinary,
        None if usual == OrganisationPriority::Urgent => limit::Priority::Urgent,
        None => limit::Priority::Ordinary,
    }
}
