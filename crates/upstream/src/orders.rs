//! Orders to engines: fencing numbers, the former owner's lease, and permits.

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
    Fence, ModelId, UpstreamId, Verdict,
    border::upstream::{self as border, OrderAction},
};

/// What an order asks for.
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
    /// Changes what the engine does.
    ChangeRole {
        /// The role.
        role: String,
    },
}

impl EngineOrder {
    /// Whether the order reads from the weight store.
    pub fn reads_weights(&self) -> bool {
        !matches!(self, Self::ChangeRole { .. })
    }

    /// The action, and what it is about: an adapter or version as `model/name`.
    fn at_border(&self) -> (OrderAction, String) {
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

/// Limits the rate of reads from the weight store, with a burst.
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
    left: u32,
    /// When the present count was right.
    since: Instant,
}

impl WeightReadLimiter {
    /// One permit each `interval` (above zero), and at most `burst` at once.
    pub fn new(interval: Duration, burst: u32, now: Instant) -> Self {
        let interval = interval.max(Duration::from_millis(1));
        Self { interval, burst, left: burst, since: now }
    }

    /// Takes a permit, or gives the instant of the next one.
    ///
    /// # Errors
    ///
    /// When none is left.
    pub fn try_acquire(&mut self, now: Instant) -> std::result::Result<(), Instant> {
        self.refill(now);
        if self.left == 0 {
            return Err(self.since + self.interval);
        }
        self.left -= 1;
        Ok(())
    }

    fn refill(&mut self, now: Instant) {
        if self.left >= self.burst {
            self.since = now;
            return;
        }
        let elapsed = now.saturating_duration_since(self.since);
        let gained = u32::try_from(elapsed.as_nanos() / self.interval.as_nanos());
        let gained = gained.unwrap_or(u32::MAX).min(self.burst - self.left);
        self.left += gained;
        self.since += self.interval * gained;
        if self.left == self.burst {
            self.since = now;
        }
    }
}

/// An order that waits or is on its way.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// The engine.
    pub upstream: UpstreamId,
    /// What it asks for.
    pub order: EngineOrder,
    /// Its fencing number, the same at each attempt.
    pub fence: Fence,
    checks_fences: bool,
    attempts: u32,
    not_before: Option<Instant>,
    has_permit: bool,
    in_flight: bool,
}

/// What the owner does next.
#[derive(Clone, Debug)]
pub enum NextOrder {
    /// Send this order now, and report its result with [`OrderQueue::record_result`].
    Send(PendingOrder),
    /// Nothing can be sent before this instant.
    Wait(Instant),
    /// Nothing can be sent before an order is submitted or done.
    Idle,
}

/// How an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has carried it out.
    Executed,
    /// A newer owner is in charge of the engine.
    Superseded,
    /// It will be sent again.
    Retrying,
    /// It was refused, or its attempts are used.
    Failed(Error),
}

/// Settings of an [`OrderQueue`].
#[derive(Clone, Copy, Debug)]
pub struct OrderConfig {
    /// Most orders that wait.
    pub capacity: usize,
    /// Most attempts of one order.
    pub max_attempts: u32,
    /// Delay before another attempt.
    pub retry_delay: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self { capacity: 1024, max_attempts: 5, retry_delay: Duration::from_secs(1) }
    }
}

/// The orders of one owner, in one ownership epoch.
///
/// Orders to one engine are sent one after the other, in order of their
/// fencing numbers. An engine that ignores fencing numbers gets none before
/// the former owner's lease has run out.
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
    permits: WeightReadLimiter,
    pending: VecDeque<PendingOrder>,
}

impl OrderQueue {
    /// An empty queue for the ownership epoch `epoch`.
    ///
    /// `former_lease_end` is when the former owner's lease has run out for
    /// certain; the present instant if it has acknowledged the change.
    pub fn new(
        cfg: OrderConfig,
        epoch: u64,
        former_lease_end: Instant,
        permits: WeightReadLimiter,
    ) -> Self {
        Self { cfg, epoch, sequence: 0, former_lease_end, permits, pending: VecDeque::new() }
    }

    /// Adds an order and gives its fencing number.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Full`] at the capacity.
    pub fn submit(
        &mut self,
        upstream: impl Into<UpstreamId>,
        order: EngineOrder,
        checks_fences: bool,
    ) -> Result<Fence> {
        if self.pending.len() >= self.cfg.capacity {
            let message = format!("{} orders are waiting", self.pending.len());
            return Err(Error::new(ErrorReason::Full, Verdict::NotRun, message));
        }
        self.sequence += 1;
        let fence = Fence { epoch: self.epoch, sequence: self.sequence };
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

    /// What to do at `now`.
    pub fn next_order(&mut self, now: Instant) -> NextOrder {
        let mut wait: Option<Instant> = None;
        let mut seen: BTreeSet<UpstreamId> = BTreeSet::new();
        for pending in &mut self.pending {
            // An order waits for all earlier ones to the same engine.
            if !seen.insert(pending.upstream.clone()) || pending.in_flight {
                continue;
            }
            match ready(pending, self.former_lease_end, &mut self.permits, now) {
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

    /// Takes in the result of sending an order.
    pub fn record_result(
        &mut self,
        fence: Fence,
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
                // The same number again: carried out once even if the answer was lost.
                pending.not_before = Some(now + self.cfg.retry_delay);
                return OrderOutcome::Retrying;
            }
        };
        self.pending.remove(at);
        outcome
    }

    /// Number of orders that wait or are on their way.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Whether an order may be sent now, or when to ask again.
fn ready(
    pending: &mut PendingOrder,
    former_lease_end: Instant,
    permits: &mut WeightReadLimiter,
    now: Instant,
) -> std::result::Result<(), Instant> {
    if !pending.checks_fences && now < former_lease_end {
        return Err(former_lease_end);
    }
    if let Some(at) = pending.not_before.filter(|at| now < *at) {
        return Err(at);
    }
    if pending.order.reads_weights() && !pending.has_permit {
        permits.try_acquire(now)?;
        pending.has_permit = true;
    }
    Ok(())
}

impl Client {
    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Stale`] when the engine has seen a newer fencing number; any
    /// other failure may be sent again under the same number.
    pub fn send_order(&self, target: &Target, order: &EngineOrder, fence: Fence) -> Result<()> {
        let (action, about) = order.at_border();
        let body = border::Order {
            action,
            fence_epoch: fence.epoch,
            fence_sequence: fence.sequence,
            target: Some(about),
        };
        manage::post(&target.address, "/orders", &body).map(|_| ())
    }
}
