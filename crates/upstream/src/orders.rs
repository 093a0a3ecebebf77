//! Orders to engines, such as loading a model.
//!
//! [`OrderQueue`] decides when each order may be sent: it assigns fencing tokens, waits for
//! the former owner's lease to expire, limits reads from the weight store and retries. It
//! is a pure state machine. [`Client::send_order`] sends an order to the engine.

use crate::{
    client::{Client, Target},
    error::{Error, ErrorReason, Result},
    manage,
};
use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};
use wire::{
    FencingToken, ModelId, UpstreamId, Verdict,
    border::upstream::{self as border, OrderAction},
};

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Loads a model from the weight store.
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Loads an adapter of a model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: String,
    },
    /// Loads a version of a model.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
    },
    /// Changes the role of the engine, such as `prefill` or `decode`.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

impl EngineOrder {
    /// Whether the engine reads from the weight store to execute the order.
    pub fn reads_weights(&self) -> bool {
        !matches!(self, Self::ChangeRole { .. })
    }

    /// Action and target of the JSON body; an adapter or version is written `model/name`.
    fn action_and_target(&self) -> (OrderAction, String) {
        match self {
            Self::LoadModel { model } => (OrderAction::LoadModel, model.clone()),
            Self::LoadAdapter { model, adapter } => {
                (OrderAction::LoadAdapter, format!("{model}/{adapter}"))
            }
            Self::LoadVersion { model, version } => {
                (OrderAction::LoadVersion, format!("{model}/{version}"))
            }
            Self::ChangeRole { role } => (OrderAction::SetRole, role.clone()),
        }
    }
}

/// Token bucket that limits the rate of reads from the weight store.
///
/// ```
/// use std::time::{Duration, Instant};
/// use upstream::orders::WeightReadLimiter;
///
/// let now = Instant::now();
/// let mut limiter = WeightReadLimiter::new(Duration::from_secs(10), 1, now);
/// assert_eq!(limiter.try_acquire(now), Ok(()));
/// assert_eq!(limiter.try_acquire(now), Err(now + Duration::from_secs(10)));
/// ```
#[derive(Clone, Debug)]
pub struct WeightReadLimiter {
    interval: Duration,
    burst: u32,
    available: u32,
    /// Time up to which `available` has been refilled.
    refilled_at: Instant,
}

impl WeightReadLimiter {
    /// Creates a limiter that grants one permit each `interval`, and up to `burst` at once
    /// after a pause. It starts with `burst` permits. An `interval` below 1 ms counts as
    /// 1 ms.
    pub fn new(interval: Duration, burst: u32, now: Instant) -> Self {
        let interval = interval.max(Duration::from_millis(1));
        Self { interval, burst, available: burst, refilled_at: now }
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// The instant of the next permit, when none is available.
    pub fn try_acquire(&mut self, now: Instant) -> std::result::Result<(), Instant> {
        self.refill(now);
        if self.available == 0 {
            return Err(self.refilled_at + self.interval);
        }
        self.available -= 1;
        Ok(())
    }

    fn refill(&mut self, now: Instant) {
        if self.available >= self.burst {
            self.refilled_at = now;
            return;
        }
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let gained = u32::try_from(elapsed.as_nanos() / self.interval.as_nanos());
        let gained = gained.unwrap_or(u32::MAX).min(self.burst - self.available);
        self.available += gained;
        self.refilled_at += self.interval * gained;
        if self.available == self.burst {
            self.refilled_at = now;
        }
    }
}

/// An order that waits or is being sent.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// The engine to send it to.
    pub upstream: UpstreamId,
    /// The order itself.
    pub order: EngineOrder,
    /// Its fencing token, which is the same in each attempt.
    pub fence: FencingToken,
    checks_fences: bool,
    attempts: u32,
    not_before: Option<Instant>,
    /// Whether it has its permit to read weights, which it keeps for all attempts.
    has_permit: bool,
    in_flight: bool,
}

/// What the owner must do next.
#[derive(Clone, Debug)]
pub enum NextOrder {
    /// Send this order now, and pass its result to [`OrderQueue::record_result`].
    Send(PendingOrder),
    /// No order may be sent before this instant.
    Wait(Instant),
    /// No order may be sent until one is submitted or a result is recorded.
    Idle,
}

/// Outcome of an attempt to send an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has executed the order.
    Executed,
    /// The engine has a newer owner, or the order is no longer pending.
    Superseded,
    /// The attempt failed; the order will be sent again.
    Retrying,
    /// The order was refused, or its last attempt failed.
    Failed(Error),
}

/// Settings of an [`OrderQueue`].
#[derive(Clone, Copy, Debug)]
pub struct OrderConfig {
    /// Maximum number of pending orders.
    pub capacity: usize,
    /// Maximum number of attempts of one order.
    pub max_attempts: u32,
    /// Delay before each further attempt.
    pub retry_delay: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self { capacity: 1024, max_attempts: 5, retry_delay: Duration::from_secs(1) }
    }
}

/// The pending orders of one owner, in one ownership epoch.
///
/// Orders to one engine are sent one after the other, in order of their
/// fencing tokens. An engine that ignores fencing tokens gets no order before
/// the former owner's lease has expired.
///
/// ```
/// use std::time::{Duration, Instant};
/// use upstream::orders::{EngineOrder, NextOrder, OrderConfig, OrderQueue, WeightReadLimiter};
///
/// let now = Instant::now();
/// let lease_end = now + Duration::from_secs(3);
/// let limiter = WeightReadLimiter::new(Duration::from_secs(1), 1, now);
/// let mut queue = OrderQueue::new(OrderConfig::default(), 4, lease_end, limiter);
/// let order = EngineOrder::ChangeRole { role: "prefill".to_string() };
/// queue.submit("engine-1", order, false)?;
/// assert!(matches!(queue.next_order(now), NextOrder::Wait(at) if at == lease_end));
/// assert!(matches!(queue.next_order(lease_end), NextOrder::Send(_)));
/// # Ok::<(), upstream::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct OrderQueue {
    cfg: OrderConfig,
    epoch: u64,
    sequence: u64,
    former_lease_end: Instant,
    weight_reads: WeightReadLimiter,
    pending: VecDeque<PendingOrder>,
}

impl OrderQueue {
    /// Creates an empty queue for the ownership epoch `epoch`.
    ///
    /// `former_lease_end` is the instant by which the former owner's lease has
    /// expired for certain, or the present instant if the former owner has
    /// acknowledged the change of ownership.
    pub fn new(
        cfg: OrderConfig,
        epoch: u64,
        former_lease_end: Instant,
        weight_reads: WeightReadLimiter,
    ) -> Self {
        Self { cfg, epoch, sequence: 0, former_lease_end, weight_reads, pending: VecDeque::new() }
    }

    /// Adds an order and returns its fencing token. `checks_fences` tells whether the
    /// engine refuses orders with an outdated fencing token.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Full`] when the queue has reached its capacity.
    pub fn submit(
        &mut self,
        upstream: impl Into<UpstreamId>,
        order: EngineOrder,
        checks_fences: bool,
    ) -> Result<FencingToken> {
        if self.pending.len() >= self.cfg.capacity {
            let message = format!("{} orders are waiting", self.pending.len());
            return Err(Error::new(ErrorReason::Full, Verdict::NotRun, message));
        }
        self.sequence += 1;
        let fence = FencingToken { epoch: self.epoch, sequence: self.sequence };
        self.pending.push_back(PendingOrder {
            upstream: upstream.into(),
            order,
            fence,
            checks_fences,
            attempts: 0,
            not_before: None,
            has_permit: false,
            in_flight: false,
        });
        Ok(fence)
    }

    /// Decides what to do at `now`. An order that it returns counts as being sent until its
    /// result is recorded.
    pub fn next_order(&mut self, now: Instant) -> NextOrder {
        let mut wait: Option<Instant> = None;
        let mut checked_upstreams: BTreeSet<UpstreamId> = BTreeSet::new();
        for pending in &mut self.pending {
            // An order waits for all earlier orders to the same engine.
            if !checked_upstreams.insert(pending.upstream.clone()) || pending.in_flight {
                continue;
            }
            match check_ready(pending, self.former_lease_end, &mut self.weight_reads, now) {
                Ok(()) => {
                    pending.in_flight = true;
                    pending.attempts += 1;
                    return NextOrder::Send(pending.clone());
                }
                Err(at) => wait = Some(wait.map_or(at, |earliest| earliest.min(at))),
            }
        }
        wait.map_or(NextOrder::Idle, NextOrder::Wait)
    }

    /// Records the result of sending the order with the fencing token `fence`.
    pub fn record_result(
        &mut self,
        fence: FencingToken,
        result: Result<()>,
        now: Instant,
    ) -> OrderOutcome {
        let Some(at) = self.pending.iter().position(|pending| pending.fence == fence) else {
            return OrderOutcome::Superseded;
        };
        let pending = &mut self.pending[at];
        pending.in_flight = false;
        let outcome = match result {
            Ok(()) => OrderOutcome::Executed,
            Err(e) if e.is_stale() => OrderOutcome::Superseded,
            Err(e) if e.is_caller_fault() || pending.attempts >= self.cfg.max_attempts => {
                OrderOutcome::Failed(e)
            }
            Err(_) => {
                // The next attempt has the same fencing token, so an engine that checks fencing
                // tokens executes the order once even if only the response was lost.
                pending.not_before = Some(now + self.cfg.retry_delay);
                return OrderOutcome::Retrying;
            }
        };
        self.pending.remove(at);
        outcome
    }

    /// Number of pending orders, including those being sent.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no order is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Checks whether an order may be sent now; otherwise returns when to check again.
fn check_ready(
    pending: &mut PendingOrder,
    former_lease_end: Instant,
    weight_reads: &mut WeightReadLimiter,
    now: Instant,
) -> std::result::Result<(), Instant> {
    if !pending.checks_fences && now < former_lease_end {
        return Err(former_lease_end);
    }
    if let Some(at) = pending.not_before.filter(|at| now < *at) {
        return Err(at);
    }
    if pending.order.reads_weights() && !pending.has_permit {
        weight_reads.try_acquire(now)?;
        pending.has_permit = true;
    }
    Ok(())
}

impl Client {
    /// Sends an order with its fencing token.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Stale`] when the engine has seen a newer fencing token. After
    /// any other failure the order may be sent again with the same token.
    pub fn send_order(
        &self,
        target: &Target,
        order: &EngineOrder,
        fence: FencingToken,
    ) -> Result<()> {
        let (action, order_target) = order.action_and_target();
        let body = border::Order {
            action,
            fence_epoch: fence.epoch,
            fence_sequence: fence.sequence,
            target: Some(order_target),
        };
        manage::post(&target.address, "/orders", &body).map(|_| ())
    }
}
