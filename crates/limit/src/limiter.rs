//! The limiter: admission, waiting and shares.

use crate::{
    account::Account,
    admission::{AdmissionRequest, Priority, QueuedOutcome, Ticket, TicketId, TicketState},
    config::{Capacity, Config, OrganisationShare},
    refusal::{Refusal, RefusalReason, Result},
    usage::{Elsewhere, OrganisationUsage},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, OrganisationId, Tokens};

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    ask: AdmissionRequest,
    latest_start: Instant,
}

/// A request that was let in.
#[derive(Debug)]
struct Running {
    organisation: OrganisationId,
    cost: Tokens,
}

/// Admission at the entry of one daemon.
///
/// Every method takes the time; none does I/O. After each call that can free
/// room (`finish`, `cancel`, `set_capacity`, `set_shares`) and at
/// [`next_wakeup`](Self::next_wakeup), call [`poll`](Self::poll).
#[derive(Debug)]
pub struct Limiter {
    pub(crate) cfg: Config,
    pub(crate) capacity: Capacity,
    pub(crate) live_daemons: u32,
    pub(crate) accounts: BTreeMap<OrganisationId, Account>,
    pub(crate) waiting: BTreeMap<TicketId, Waiting>,
    pub(crate) waiting_tokens: [Tokens; 2],
    expiry: BTreeSet<(Instant, TicketId)>,
    running: BTreeMap<TicketId, Running>,
    in_flight: Tokens,
    virtual_time: f64,
    ordinary_credit: f64,
    pub(crate) elsewhere: Elsewhere,
    pub(crate) quotas_split: Option<Instant>,
    answers: Vec<QueuedOutcome>,
    next_ticket: TicketId,
}

impl Limiter {
    /// A limiter that knows no organisation yet.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            capacity: Capacity::default(),
            live_daemons: 1,
            accounts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_tokens: [0; 2],
            expiry: BTreeSet::new(),
            running: BTreeMap::new(),
            in_flight: 0,
            virtual_time: 0.0,
            ordinary_credit: 0.0,
            elsewhere: Elsewhere::default(),
            quotas_split: None,
            answers: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Puts the organisations of an accepted sheet in force, with the number of
    /// live daemons in the region. Requests of organisations that are gone are
    /// refused at the next poll; what already runs is left to end.
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

    /// Sets what this daemon may expect of the region.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Takes in the demand that another live daemon reported. No daemon asks
    /// another for leave: quotas are split by demand as it was last reported.
    pub fn set_remote_usage(
        &mut self,
        now: Instant,
        daemon: DaemonId,
        usage: Vec<OrganisationUsage>,
    ) {
        self.elsewhere.set(now, daemon, usage);
        self.split_quotas_if_due(now);
    }

    /// Demand here, to be sent with the next digest.
    pub fn usage(&self, now: Instant) -> Vec<OrganisationUsage> {
        let used = |(organisation, account): (&OrganisationId, &Account)| {
            let tokens_per_second = account.demand.rate(now).round() as Tokens;
            (tokens_per_second > 0).then(|| OrganisationUsage {
                organisation: organisation.clone(),
                tokens_per_second,
            })
        };
        self.accounts.iter().filter_map(used).collect()
    }

    /// Decides about a request: granted, waiting, or refused at once.
    pub fn admit(&mut self, now: Instant, ask: &AdmissionRequest) -> Result<Ticket> {
        self.split_quotas_if_due(now);
        let cost = ask.cost();
        let Some(account) = self.accounts.get_mut(&ask.organisation) else {
            return Err(self.refusal(RefusalReason::UnknownOrganisation, self.cfg.max_retry_after));
        };
        account.demand.add(now, cost);
        if let Some(bucket) = &mut account.bucket {
            bucket.refill(now);
        }
        let service = self.service_time(ask);
        if now + service > ask.deadline {
            return Err(self.refusal(RefusalReason::DeadlineTooShort, self.cfg.min_retry_after));
        }
        let latest_start = ask.deadline - service;
        if self.has_room(ask) {
            let id = self.new_ticket();
            self.grant(id, ask);
            return Ok(Ticket { id, state: TicketState::Granted });
        }
        self.check_wait(now, ask, latest_start)?;
        self.make_room(ask)?;
        let id = self.new_ticket();
        let predicted = self.predicted_wait(ask);
        self.enqueue(id, ask, latest_start);
        Ok(Ticket { id, state: TicketState::Waiting { predicted_wait: predicted } })
    }

    /// Ends a granted request with the tokens that it used. Unknown or already
    /// ended tickets are ignored and give `false`.
    pub fn finish(&mut self, now: Instant, ticket: TicketId, used: Tokens) -> bool {
        let Some(running) = self.running.remove(&ticket) else { return false };
        self.in_flight -= running.cost;
        if let Some(account) = self.accounts.get_mut(&running.organisation) {
            if let Some(bucket) = &mut account.bucket {
                bucket.refill(now);
            }
            account.correct(running.cost, used);
        }
        true
    }

    /// Ends a ticket whose caller has left, waiting or granted, without use.
    pub fn cancel(&mut self, now: Instant, ticket: TicketId) -> bool {
        self.dequeue(ticket).is_some() || self.finish(now, ticket, 0)
    }

    /// Final answers for requests that waited: granted, shed, or given up on
    /// because their deadline can no longer be met.
    pub fn poll(&mut self, now: Instant) -> Vec<QueuedOutcome> {
        self.split_quotas_if_due(now);
        self.refuse_late(now);
        while let Some(id) = self.next_waiting() {
            let waiting = self.dequeue(id).expect("a ticket taken from a queue waits");
            self.pay_credit(&waiting.ask);
            self.grant(id, &waiting.ask);
            self.answers.push(QueuedOutcome { ticket: id, result: Ok(()) });
        }
        std::mem::take(&mut self.answers)
    }

    /// When `poll` should be called next, if nothing else happens before.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if !self.answers.is_empty() {
            return Some(now);
        }
        let late = self.expiry.first().map(|(at, _)| *at);
        let refilled = self
            .accounts
            .values()
            .filter(|a| a.is_waiting())
            .filter_map(|a| a.bucket.as_ref())
            .map(|b| now + b.wait(0))
            .min();
        late.into_iter().chain(refilled).min()
    }

    /// Tokens charged for requests in flight.
    pub fn in_flight_tokens(&self) -> Tokens {
        self.in_flight
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The local part of an organisation's quota, in tokens a second.
    pub fn local_quota(&self, now: Instant, organisation: &OrganisationId) -> Option<f64> {
        let account = self.accounts.get(organisation)?;
        let others = self.elsewhere.total(organisation);
        Some(account.quota? as f64 * self.local_part(account.demand.rate(now), others))
    }

    fn new_ticket(&mut self) -> TicketId {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Whether a newcomer may pass straight through.
    fn has_room(&self, ask: &AdmissionRequest) -> bool {
        let Some(account) = self.accounts.get(&ask.organisation) else { return false };
        let is_next = Priority::ALL
            .iter()
            .filter(|p| **p >= ask.priority)
            .all(|p| account.queue(*p).is_empty());
        let others_wait = self.accounts.values().any(|a| a.is_waiting() && a.is_within_quota());
        is_next && !others_wait && account.is_within_quota() && self.is_below_capacity()
    }

    /// A request is let in while there is any room, even if it needs more: a
    /// prompt longer than the whole room then waits for no drained daemon. The
    /// owner of an upstream knows its memory exactly; this is only pressure.
    pub(crate) fn is_below_capacity(&self) -> bool {
        self.in_flight < self.capacity.tokens_in_flight
    }

    /// Makes room in a full queue, or refuses the newcomer.
    fn make_room(&mut self, ask: &AdmissionRequest) -> Result<()> {
        while self.is_full(ask.cost()) {
            let Some(victim) = self.victim(ask) else {
                return Err(self.refusal(RefusalReason::QueueFull, self.drain_time()));
            };
            self.dequeue(victim);
            let refusal = self.refusal(RefusalReason::Shed, self.drain_time());
            self.answers.push(QueuedOutcome { ticket: victim, result: Err(refusal) });
        }
        Ok(())
    }

    fn is_full(&self, cost: Tokens) -> bool {
        let tokens: Tokens = self.waiting_tokens.iter().sum();
        let too_many = self.waiting.len() >= self.cfg.max_waiting;
        let too_long = tokens.saturating_add(cost) > self.cfg.max_waiting_tokens;
        !self.waiting.is_empty() && (too_many || too_long)
    }

    /// The youngest ordinary request of the organisation that waits for most
    /// tokens by weight: for an urgent newcomer always, for an ordinary one only
    /// if that organisation would still wait for more than the newcomer's.
    fn victim(&self, ask: &AdmissionRequest) -> Option<TicketId> {
        let backlog = |a: &Account| a.waiting_tokens as f64 / a.weight;
        let (name, heaviest) = self
            .accounts
            .iter()
            .filter(|(_, a)| !a.queue(Priority::Ordinary).is_empty())
            .max_by(|(_, a), (_, b)| backlog(a).total_cmp(&backlog(b)))?;
        let newcomer = &self.accounts[&ask.organisation];
        let after = (newcomer.waiting_tokens + ask.cost()) as f64 / newcomer.weight;
        let is_fairer = name != &ask.organisation && backlog(heaviest) > after;
        (ask.priority == Priority::Urgent || is_fairer)
            .then(|| heaviest.queue(Priority::Ordinary).back().copied())
            .flatten()
    }

    /// A refusal whose retry time is spread by up to a quarter, so that callers
    /// refused together do not come back together.
    pub(crate) fn refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        let wait = wait.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after);
        let spread = (self.next_ticket + self.answers.len() as u64).wrapping_mul(SPREAD) >> 56;
        Refusal { reason, retry_after: wait + wait.mul_f64(spread as f64 / 1024.0) }
    }

    fn enqueue(&mut self, id: TicketId, ask: &AdmissionRequest, latest_start: Instant) {
        let floor = self.virtual_time;
        let account = self.accounts.get_mut(&ask.organisation).expect("the account was checked");
        if !account.is_waiting() {
            // An organisation that was idle may not save up a claim.
            account.virtual_time = account.virtual_time.max(floor);
        }
        account.queue_mut(ask.priority).push_back(id);
        account.waiting_tokens += ask.cost();
        self.waiting_tokens[ask.priority.index()] += ask.cost();
        self.expiry.insert((latest_start, id));
        self.waiting.insert(id, Waiting { ask: ask.clone(), latest_start });
    }

    fn dequeue(&mut self, id: TicketId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.expiry.remove(&(waiting.latest_start, id));
        let ask = &waiting.ask;
        self.waiting_tokens[ask.priority.index()] -= ask.cost();
        if let Some(account) = self.accounts.get_mut(&ask.organisation) {
            account.waiting_tokens -= ask.cost();
            account.queue_mut(ask.priority).retain(|other| *other != id);
        }
        Some(waiting)
    }

    fn grant(&mut self, id: TicketId, ask: &AdmissionRequest) {
        let account = self.accounts.get_mut(&ask.organisation).expect("the account was checked");
        account.virtual_time = account.virtual_time.max(self.virtual_time);
        self.virtual_time = account.virtual_time;
        account.charge(ask.cost());
        self.in_flight += ask.cost();
        let running = Running { organisation: ask.organisation.clone(), cost: ask.cost() };
        self.running.insert(id, running);
    }

    /// The next request to let in, if there is room and one may go.
    fn next_waiting(&self) -> Option<TicketId> {
        if !self.is_below_capacity() || self.waiting.is_empty() {
            return None;
        }
        let urgent = self.first_of(Priority::Urgent);
        let ordinary = self.first_of(Priority::Ordinary);
        match (urgent, ordinary) {
            (Some(_), Some(ordinary)) if self.ordinary_credit > 0.0 => Some(ordinary),
            (urgent, ordinary) => urgent.or(ordinary),
        }
    }

    /// Among organisations within quota, the one served least by weight.
    fn first_of(&self, priority: Priority) -> Option<TicketId> {
        self.accounts
            .values()
            .filter(|a| !a.queue(priority).is_empty() && a.is_within_quota())
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))
            .and_then(|a| a.queue(priority).front().copied())
    }

    /// Keeps ordinary requests' part while both priorities wait: each urgent
    /// token earns ordinary requests a fraction of a token.
    fn pay_credit(&mut self, ask: &AdmissionRequest) {
        let cost = ask.cost() as f64;
        match ask.priority {
            Priority::Urgent if self.first_of(Priority::Ordinary).is_some() => {
                self.ordinary_credit +=
                    cost / f64::from(self.cfg.ordinary_share_divisor.max(2) - 1);
            }
            Priority::Ordinary if self.first_of(Priority::Urgent).is_some() => {
                self.ordinary_credit -= cost;
            }
            _ => self.ordinary_credit = 0.0,
        }
    }

    fn refuse_late(&mut self, now: Instant) {
        while let Some((latest_start, id)) = self.expiry.first().copied() {
            if latest_start >= now {
                return;
            }
            let Some(waiting) = self.dequeue(id) else { return };
            let account = &self.accounts[&waiting.ask.organisation];
            let (reason, wait) = if account.is_within_quota() {
                (RefusalReason::DeadlineUnmeetable, self.drain_time())
            } else {
                (RefusalReason::QuotaExceeded, self.quota_wait(&waiting.ask))
            };
            let refusal = self.refusal(reason, wait);
            self.answers.push(QueuedOutcome { ticket: id, result: Err(refusal) });
        }
    }

    fn refuse_unknown(&mut self, names: &BTreeSet<&OrganisationId>) {
        let gone: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, w)| !names.contains(&w.ask.organisation))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.dequeue(id);
            let refusal =
                self.refusal(RefusalReason::UnknownOrganisation, self.cfg.max_retry_after);
            self.answers.push(QueuedOutcome { ticket: id, result: Err(refusal) });
        }
    }
}

/// Odd multiplier that spreads consecutive numbers over 64 bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
