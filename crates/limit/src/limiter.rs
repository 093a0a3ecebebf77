//! The limiter: admission of requests, and the queues of those that wait.

use crate::{
    account::Account,
    admission::{AdmissionRequest, Priority, QueuedOutcome, Ticket, TicketId, TicketState},
    config::{Capacity, Config, OrganisationShare},
    demand::{OrganisationDemand, RemoteDemand},
    refusal::{Refusal, RefusalReason, Result},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, OrganisationId, Tokens};

/// A waiting request.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    request: AdmissionRequest,
    /// Latest time of admission at which its response can still finish before its deadline.
    latest_start: Instant,
}

/// An admitted request that has not ended yet.
#[derive(Debug)]
struct AdmittedRequest {
    organisation: OrganisationId,
    cost: Tokens,
}

/// Admission of requests at the entry of one daemon.
///
/// Methods get the current time as an argument and do no I/O. Call [`poll`](Self::poll) after each
/// call that can free capacity (`finish`, `cancel`, `set_capacity`, `set_shares`) and at
/// [`next_wakeup`](Self::next_wakeup).
#[derive(Debug)]
pub struct Limiter {
    pub(crate) cfg: Config,
    pub(crate) capacity: Capacity,
    pub(crate) live_daemons: u32,
    pub(crate) accounts: BTreeMap<OrganisationId, Account>,
    pub(crate) waiting: BTreeMap<TicketId, WaitingRequest>,
    pub(crate) waiting_tokens: [Tokens; 2],
    /// Waiting tickets by the latest time of their admission.
    by_latest_start: BTreeSet<(Instant, TicketId)>,
    admitted: BTreeMap<TicketId, AdmittedRequest>,
    /// Tokens charged for the admitted requests.
    in_flight: Tokens,
    /// Virtual time of the organisation last served, from which idle ones start.
    virtual_time: f64,
    /// Tokens of ordinary requests that may be admitted ahead of urgent ones.
    ordinary_credit: f64,
    pub(crate) remote_demand: RemoteDemand,
    pub(crate) quotas_split_at: Option<Instant>,
    /// Outcomes for the next poll.
    outcomes: Vec<QueuedOutcome>,
    next_ticket: TicketId,
}

impl Limiter {
    /// Creates a limiter without organisations.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            capacity: Capacity::default(),
            live_daemons: 1,
            accounts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_tokens: [0; 2],
            by_latest_start: BTreeSet::new(),
            admitted: BTreeMap::new(),
            in_flight: 0,
            virtual_time: 0.0,
            ordinary_credit: 0.0,
            remote_demand: RemoteDemand::default(),
            quotas_split_at: None,
            outcomes: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Applies the shares of the organisations of an accepted sheet, and the number of live daemons
    /// in the region. Waiting requests of organisations that the sheet doesn't list are refused at
    /// the next poll; admitted ones may finish.
    pub fn set_shares(&mut self, now: Instant, shares: &[OrganisationShare], live_daemons: u32) {
        self.live_daemons = live_daemons.max(1);
        let names: BTreeSet<_> = shares.iter().map(|s| &s.organisation).collect();
        self.refuse_unknown(&names);
        self.accounts.retain(|name, _| names.contains(name));
        let virtual_time = self.virtual_time;
        for share in shares {
            let account = self
                .accounts
                .entry(share.organisation.clone())
                .or_insert_with(|| Account::new(now, virtual_time));
            account.weight = f64::from(share.weight.max(1));
            account.quota = share.tokens_per_second;
        }
        self.split_quotas(now);
    }

    /// Sets the capacity of the region that this daemon may use.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Applies the demand that another live daemon reported. Daemons don't ask each other for
    /// permission: quotas are split by the demand last reported.
    pub fn set_remote_demand(
        &mut self,
        now: Instant,
        daemon: DaemonId,
        demand: Vec<OrganisationDemand>,
    ) {
        self.remote_demand.set(now, daemon, demand);
        self.split_quotas_if_due(now);
    }

    /// Demand at this daemon, to be sent with the next digest.
    pub fn demand(&self, now: Instant) -> Vec<OrganisationDemand> {
        let to_demand = |(organisation, account): (&OrganisationId, &Account)| {
            let tokens_per_second = account.demand.rate(now).round() as Tokens;
            (tokens_per_second > 0).then(|| OrganisationDemand {
                organisation: organisation.clone(),
                tokens_per_second,
            })
        };
        self.accounts.iter().filter_map(to_demand).collect()
    }

    /// Admits a request, queues it, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the organisation is unknown, the deadline can't be met, the quota is
    /// exceeded for too long, or the queue is full.
    pub fn admit(&mut self, now: Instant, request: &AdmissionRequest) -> Result<Ticket> {
        self.split_quotas_if_due(now);
        let cost = request.cost();
        let Some(account) = self.accounts.get_mut(&request.organisation) else {
            return Err(self.refusal(RefusalReason::UnknownOrganisation, self.cfg.max_retry_after));
        };
        account.demand.add(now, cost);
        if let Some(bucket) = &mut account.bucket {
            bucket.refill(now);
        }
        let service_time = self.service_time(request);
        if now + service_time > request.deadline {
            return Err(self.refusal(RefusalReason::DeadlineTooShort, self.cfg.min_retry_after));
        }
        let latest_start = request.deadline - service_time;
        if self.can_admit_now(request) {
            let id = self.new_ticket();
            self.grant(id, request);
            return Ok(Ticket { id, state: TicketState::Granted });
        }
        self.check_wait(now, request, latest_start)?;
        self.make_room(request)?;
        let id = self.new_ticket();
        let predicted_wait = self.predicted_wait(request);
        self.enqueue(id, request, latest_start);
        Ok(Ticket { id, state: TicketState::Waiting { predicted_wait } })
    }

    /// Ends an admitted request and charges it the tokens that it used instead of the estimate.
    /// Returns `false` for a ticket that is unknown, waiting or already ended.
    pub fn finish(&mut self, now: Instant, ticket: TicketId, used: Tokens) -> bool {
        let Some(admitted) = self.admitted.remove(&ticket) else { return false };
        self.in_flight -= admitted.cost;
        if let Some(account) = self.accounts.get_mut(&admitted.organisation) {
            if let Some(bucket) = &mut account.bucket {
                bucket.refill(now);
            }
            account.settle(admitted.cost, used);
        }
        true
    }

    /// Ends a ticket whose caller has disconnected, without charging any tokens. Returns `false`
    /// for a ticket that is unknown or already ended.
    pub fn cancel(&mut self, now: Instant, ticket: TicketId) -> bool {
        self.dequeue(ticket).is_some() || self.finish(now, ticket, 0)
    }

    /// Outcomes of requests that waited: admitted, shed, or refused because the deadline can no
    /// longer be met or the organisation is gone.
    pub fn poll(&mut self, now: Instant) -> Vec<QueuedOutcome> {
        self.split_quotas_if_due(now);
        self.refuse_late(now);
        while let Some(id) = self.next_waiting() {
            let waiting = self.dequeue(id).expect("a ticket taken from a queue waits");
            self.update_ordinary_credit(&waiting.request);
            self.grant(id, &waiting.request);
            self.outcomes.push(QueuedOutcome { ticket: id, result: Ok(()) });
        }
        std::mem::take(&mut self.outcomes)
    }

    /// Time at which `poll` should be called next if nothing else happens before.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if !self.outcomes.is_empty() {
            return Some(now);
        }
        let latest_start = self.by_latest_start.first().map(|(at, _)| *at);
        let refilled = self
            .accounts
            .values()
            .filter(|a| a.is_waiting())
            .filter_map(|a| a.bucket.as_ref())
            .map(|b| now + b.time_until_positive(0))
            .min();
        latest_start.into_iter().chain(refilled).min()
    }

    /// Tokens charged for admitted requests that have not ended.
    pub fn in_flight_tokens(&self) -> Tokens {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// This daemon's share of an organisation's quota, in tokens per second; `None` without a
    /// quota.
    pub fn local_quota(&self, now: Instant, organisation: &OrganisationId) -> Option<f64> {
        let account = self.accounts.get(organisation)?;
        let remote_demand = self.remote_demand.total(organisation);
        Some(
            account.quota? as f64 * self.local_quota_share(account.demand.rate(now), remote_demand),
        )
    }

    fn new_ticket(&mut self) -> TicketId {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Whether a new request can be admitted without waiting.
    fn can_admit_now(&self, request: &AdmissionRequest) -> bool {
        let Some(account) = self.accounts.get(&request.organisation) else { return false };
        let is_next = Priority::ALL
            .iter()
            .filter(|p| **p >= request.priority)
            .all(|p| account.queue(*p).is_empty());
        let others_wait = self.accounts.values().any(|a| a.is_waiting() && a.is_within_quota());
        is_next && !others_wait && account.is_within_quota() && self.is_below_capacity()
    }

    /// Whether another request may be admitted. A request is admitted while any capacity is free,
    /// even if it needs more. Otherwise a prompt longer than the whole capacity would have to wait
    /// until nothing is in flight. This only limits the load on owners, which check the memory of
    /// their upstreams exactly.
    pub(crate) fn is_below_capacity(&self) -> bool {
        self.in_flight < self.capacity.tokens_in_flight
    }

    /// Makes room in a full queue by shedding requests, or refuses the new one.
    fn make_room(&mut self, request: &AdmissionRequest) -> Result<()> {
        while self.is_full(request.cost()) {
            let Some(shed) = self.shed_candidate(request) else {
                return Err(self.refusal(RefusalReason::QueueFull, self.drain_time()));
            };
            self.dequeue(shed);
            let refusal = self.refusal(RefusalReason::Shed, self.drain_time());
            self.outcomes.push(QueuedOutcome { ticket: shed, result: Err(refusal) });
        }
        Ok(())
    }

    /// Whether a request of this cost exceeds the limits of the queue. An empty queue takes any
    /// request.
    fn is_full(&self, cost: Tokens) -> bool {
        let tokens: Tokens = self.waiting_tokens.iter().sum();
        let too_many = self.waiting.len() >= self.cfg.max_waiting;
        let too_long = tokens.saturating_add(cost) > self.cfg.max_waiting_tokens;
        !self.waiting.is_empty() && (too_many || too_long)
    }

    /// The request to shed for a new one: the most recent ordinary request of the organisation with
    /// the most waiting tokens relative to its weight. For an urgent request there always is one if
    /// any ordinary request waits; for an ordinary one only if that organisation would still have
    /// more waiting tokens relative to its weight than that of the new request.
    fn shed_candidate(&self, request: &AdmissionRequest) -> Option<TicketId> {
        let weighted_waiting_tokens = |a: &Account| a.waiting_tokens as f64 / a.weight;
        let (name, heaviest) =
            self.accounts.iter().filter(|(_, a)| !a.queue(Priority::Ordinary).is_empty()).max_by(
                |(_, a), (_, b)| weighted_waiting_tokens(a).total_cmp(&weighted_waiting_tokens(b)),
            )?;
        let own_account = &self.accounts[&request.organisation];
        let own_after = (own_account.waiting_tokens + request.cost()) as f64 / own_account.weight;
        let is_fairer =
            name != &request.organisation && weighted_waiting_tokens(heaviest) > own_after;
        (request.priority == Priority::Urgent || is_fairer)
            .then(|| heaviest.queue(Priority::Ordinary).back().copied())
            .flatten()
    }

    /// A refusal whose retry time is extended by up to a quarter, so that callers refused together
    /// don't retry together.
    pub(crate) fn refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after);
        let spread =
            (self.next_ticket + self.outcomes.len() as u64).wrapping_mul(SPREAD_MULTIPLIER) >> 56;
        Refusal { reason, retry_after: wait + wait.mul_f64(spread as f64 / 1024.0) }
    }

    /// Adds a request to the queues.
    fn enqueue(&mut self, id: TicketId, request: &AdmissionRequest, latest_start: Instant) {
        let floor = self.virtual_time;
        let account =
            self.accounts.get_mut(&request.organisation).expect("the account was checked");
        if !account.is_waiting() {
            // An organisation must not accumulate an advantage while it has no requests.
            account.virtual_time = account.virtual_time.max(floor);
        }
        account.queue_mut(request.priority).push_back(id);
        account.waiting_tokens += request.cost();
        self.waiting_tokens[request.priority.index()] += request.cost();
        self.by_latest_start.insert((latest_start, id));
        self.waiting.insert(id, WaitingRequest { request: request.clone(), latest_start });
    }

    /// Removes a waiting request from the queues.
    fn dequeue(&mut self, id: TicketId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&id)?;
        self.by_latest_start.remove(&(waiting.latest_start, id));
        let request = &waiting.request;
        self.waiting_tokens[request.priority.index()] -= request.cost();
        if let Some(account) = self.accounts.get_mut(&request.organisation) {
            account.waiting_tokens -= request.cost();
            account.queue_mut(request.priority).retain(|other| *other != id);
        }
        Some(waiting)
    }

    /// Admits a request and charges its estimated cost.
    fn grant(&mut self, id: TicketId, request: &AdmissionRequest) {
        let account =
            self.accounts.get_mut(&request.organisation).expect("the account was checked");
        account.virtual_time = account.virtual_time.max(self.virtual_time);
        self.virtual_time = account.virtual_time;
        account.charge(request.cost());
        self.in_flight += request.cost();
        let admitted =
            AdmittedRequest { organisation: request.organisation.clone(), cost: request.cost() };
        self.admitted.insert(id, admitted);
    }

    /// The next request to admit, if there is capacity and any request may be admitted.
    fn next_waiting(&self) -> Option<TicketId> {
        if !self.is_below_capacity() || self.waiting.is_empty() {
            return None;
        }
        let urgent = self.next_of_priority(Priority::Urgent);
        let ordinary = self.next_of_priority(Priority::Ordinary);
        match (urgent, ordinary) {
            (Some(_), Some(ordinary)) if self.ordinary_credit > 0.0 => Some(ordinary),
            (urgent, ordinary) => urgent.or(ordinary),
        }
    }

    /// The next request of a priority: among organisations within their quota, of the one that was
    /// served least by weight.
    fn next_of_priority(&self, priority: Priority) -> Option<TicketId> {
        self.accounts
            .values()
            .filter(|a| !a.queue(priority).is_empty() && a.is_within_quota())
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))
            .and_then(|a| a.queue(priority).front().copied())
    }

    /// Maintains the minimum share of ordinary requests while both priorities wait: each urgent
    /// token earns ordinary requests a fraction of a token.
    fn update_ordinary_credit(&mut self, request: &AdmissionRequest) {
        let cost = request.cost() as f64;
        match request.priority {
            Priority::Urgent if self.next_of_priority(Priority::Ordinary).is_some() => {
                self.ordinary_credit +=
                    cost / f64::from(self.cfg.ordinary_share_divisor.max(2) - 1);
            }
            Priority::Ordinary if self.next_of_priority(Priority::Urgent).is_some() => {
                self.ordinary_credit -= cost;
            }
            _ => self.ordinary_credit = 0.0,
        }
    }

    /// Refuses waiting requests that can no longer finish before their deadline.
    fn refuse_late(&mut self, now: Instant) {
        while let Some((latest_start, id)) = self.by_latest_start.first().copied() {
            if latest_start >= now {
                return;
            }
            let Some(waiting) = self.dequeue(id) else { return };
            let account = &self.accounts[&waiting.request.organisation];
            let (reason, wait) = if account.is_within_quota() {
                (RefusalReason::DeadlineUnmeetable, self.drain_time())
            } else {
                (RefusalReason::QuotaExceeded, self.quota_wait(&waiting.request))
            };
            let refusal = self.refusal(reason, wait);
            self.outcomes.push(QueuedOutcome { ticket: id, result: Err(refusal) });
        }
    }

    /// Refuses waiting requests of organisations other than these.
    fn refuse_unknown(&mut self, names: &BTreeSet<&OrganisationId>) {
        let unknown: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, w)| !names.contains(&w.request.organisation))
            .map(|(id, _)| *id)
            .collect();
        for id in unknown {
            self.dequeue(id);
            let refusal =
                self.refusal(RefusalReason::UnknownOrganisation, self.cfg.max_retry_after);
            self.outcomes.push(QueuedOutcome { ticket: id, result: Err(refusal) });
        }
    }
}

/// Odd multiplier (2^64 divided by the golden ratio) that distributes consecutive numbers over 64
/// bits.
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
