//! Makes an owner's and an engine's tables agree again: a pure state machine.
//!
//! The owner asks each engine from time to time what it runs. What the engine
//! runs without the owner's knowledge is cancelled after a grace period, in
//! which the daemon that waits for the answer can claim it. What the owner
//! holds and the engine does not run is given up.

use crate::manage::{EngineInventory, MemoryHolder};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{Incarnation, RequestId, Tokens};

/// A request or KV cache that the owner believes to be on the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedHolder {
    /// When it was sent.
    pub sent_at: Instant,
    /// The engine's start that it was sent to.
    pub incarnation: Incarnation,
}

/// What the owner believes about one engine.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    /// Requests.
    pub requests: BTreeMap<RequestId, ExpectedHolder>,
    /// KV caches that wait for the next engine of a gang.
    pub kv: BTreeMap<RequestId, ExpectedHolder>,
}

/// What the owner must do.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Cancel a request that nobody waits for.
    Cancel(RequestId),
    /// Release a KV cache that no gang holds.
    Release(RequestId),
    /// Take a claimed request into the table, with the memory that it holds.
    Adopt(RequestId, Tokens),
    /// Give up a request or KV cache that the engine does not have.
    Lost(RequestId),
    /// Stop: a newer owner sends to this engine.
    Superseded,
}

/// Whether a claim came in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimOutcome {
    /// The request is adopted as soon as the engine reports it.
    Accepted,
    /// The request is being cancelled: it must be sent anew.
    TooLate,
}

/// Reconciles one engine with its owner's table.
#[derive(Clone, Debug)]
pub struct Reconciler {
    epoch: u64,
    grace: Duration,
    /// Reported but not held, with the first report that said so.
    unknown: BTreeMap<RequestId, Instant>,
    /// Held but not reported, with the first report that said so.
    absent: BTreeMap<RequestId, Instant>,
    /// Claimed by the daemons that wait for them.
    claims: BTreeMap<RequestId, Instant>,
    /// Cancelled or released, until the engine no longer reports them.
    condemned: BTreeSet<RequestId>,
}

impl Reconciler {
    /// A reconciler for the ownership epoch `epoch`.
    pub fn new(epoch: u64, grace: Duration) -> Self {
        Self {
            epoch,
            grace,
            unknown: BTreeMap::new(),
            absent: BTreeMap::new(),
            claims: BTreeMap::new(),
            condemned: BTreeSet::new(),
        }
    }

    /// Claims a request that a former owner sent, for the daemon that waits for it.
    pub fn reclaim(&mut self, id: impl Into<RequestId>, now: Instant) -> ReclaimOutcome {
        let id = id.into();
        if self.condemned.contains(&id) {
            return ReclaimOutcome::TooLate;
        }
        self.claims.insert(id, now);
        ReclaimOutcome::Accepted
    }

    /// Compares the owner's table with a report that was asked for at `asked_at`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use upstream::{EngineInventory, MemoryHolder, reconcile::{Action, OwnerTable, Reconciler}};
    ///
    /// let mut reconciler = Reconciler::new(4, Duration::from_secs(2));
    /// let orphan = MemoryHolder { id: "r-1".to_string(), memory_tokens: 900, fence: None };
    /// let report = EngineInventory { incarnation: 1, requests: vec![orphan], kv: vec![] };
    /// let now = Instant::now();
    /// assert_eq!(reconciler.reconcile(&OwnerTable::default(), &report, now), []);
    /// let now = now + Duration::from_secs(2);
    /// let actions = reconciler.reconcile(&OwnerTable::default(), &report, now);
    /// assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    /// ```
    pub fn reconcile(
        &mut self,
        table: &OwnerTable,
        report: &EngineInventory,
        asked_at: Instant,
    ) -> Vec<Action> {
        if self.is_superseded(report) {
            return vec![Action::Superseded];
        }
        let reported = report.requests.iter().chain(&report.kv);
        let reported: BTreeSet<&RequestId> = reported.map(|holding| &holding.id).collect();
        self.condemned.retain(|id| reported.contains(id));
        self.unknown.retain(|id, _| reported.contains(id));
        let mut actions = Vec::new();
        for holding in &report.requests {
            actions.extend(self.check_request(table, holding, asked_at));
        }
        for holding in &report.kv {
            actions.extend(self.check_kv(table, holding, asked_at));
        }
        actions.extend(self.find_lost(table, report, &reported, asked_at));
        actions.extend(self.expire_claims(&reported, asked_at));
        actions
    }

    /// Number of ids under observation: none once both tables agree.
    pub fn unresolved_count(&self) -> usize {
        self.unknown.len() + self.absent.len() + self.claims.len() + self.condemned.len()
    }

    fn is_superseded(&self, report: &EngineInventory) -> bool {
        let fences = report.requests.iter().chain(&report.kv).filter_map(|holding| holding.fence);
        fences.into_iter().any(|fence| fence.epoch > self.epoch)
    }

    fn check_request(
        &mut self,
        table: &OwnerTable,
        holding: &MemoryHolder,
        asked_at: Instant,
    ) -> Option<Action> {
        let id = &holding.id;
        if table.requests.contains_key(id) {
            self.unknown.remove(id);
            return None;
        }
        if self.claims.remove(id).is_some() {
            self.unknown.remove(id);
            return Some(Action::Adopt(id.clone(), holding.memory_tokens));
        }
        self.is_condemned(id, asked_at).then(|| Action::Cancel(id.clone()))
    }

    fn check_kv(
        &mut self,
        table: &OwnerTable,
        holding: &MemoryHolder,
        asked_at: Instant,
    ) -> Option<Action> {
        let id = &holding.id;
        if table.kv.contains_key(id) {
            self.unknown.remove(id);
            return None;
        }
        self.is_condemned(id, asked_at).then(|| Action::Release(id.clone()))
    }

    /// Whether the grace period of something unknown has passed. Once it has,
    /// each round says so, as the cancellation itself can get lost.
    fn is_condemned(&mut self, id: &RequestId, asked_at: Instant) -> bool {
        let since = *self.unknown.entry(id.clone()).or_insert(asked_at);
        let is_condemned = asked_at.saturating_duration_since(since) >= self.grace;
        if is_condemned {
            self.condemned.insert(id.clone());
        }
        is_condemned
    }

    /// What the engine does not have: at once after a restart, else when two
    /// reports a grace period apart agree, as an answer may be on its way.
    fn find_lost(
        &mut self,
        table: &OwnerTable,
        report: &EngineInventory,
        reported: &BTreeSet<&RequestId>,
        asked_at: Instant,
    ) -> Vec<Action> {
        let held = || table.requests.iter().chain(&table.kv);
        let missing: BTreeMap<&RequestId, &ExpectedHolder> =
            held().filter(|(id, held)| !reported.contains(id) && held.sent_at < asked_at).collect();
        self.absent.retain(|id, _| missing.contains_key(id));
        let mut lost = Vec::new();
        for (id, held) in missing {
            let since = *self.absent.entry(id.clone()).or_insert(asked_at);
            let is_restarted = held.incarnation != report.incarnation;
            if is_restarted || asked_at.saturating_duration_since(since) >= self.grace {
                lost.push(Action::Lost(id.clone()));
            }
        }
        lost
    }

    /// Claims that no report has confirmed for a grace period.
    fn expire_claims(&mut self, reported: &BTreeSet<&RequestId>, asked_at: Instant) -> Vec<Action> {
        let grace = self.grace;
        let expired = self.claims.extract_if(.., |id, since| {
            !reported.contains(id) && asked_at.saturating_duration_since(*since) >= grace
        });
        expired.map(|(id, _)| Action::Lost(id)).collect()
    }
}
