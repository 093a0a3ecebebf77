//! Reconciles the requests and KV caches that an owner expects on an engine with those
//! that the engine reports: a pure state machine.
//!
//! The owner periodically fetches each engine's inventory. A request or KV cache
//! that the owner doesn't expect is cancelled or released after a grace period,
//! in which the daemon that waits for a request can reclaim it. One that the
//! engine doesn't report is given up as lost.

use crate::manage::{EngineInventory, MemoryHolder};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{Incarnation, RequestId, Tokens};

/// A request or KV cache that the owner expects on the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedHolder {
    /// When it was sent to the engine.
    pub sent_at: Instant,
    /// Incarnation of the engine to which it was sent.
    pub incarnation: Incarnation,
}

/// What the owner expects on one engine.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    /// Running requests, by id.
    pub requests: BTreeMap<RequestId, ExpectedHolder>,
    /// KV caches of gangs, by handle.
    pub kv: BTreeMap<RequestId, ExpectedHolder>,
}

/// Action that the owner must carry out.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Cancel a request that no daemon waits for.
    Cancel(RequestId),
    /// Release a KV cache that no gang holds.
    Release(RequestId),
    /// Add a reclaimed request to the owner's table, with the memory that it holds.
    Adopt(RequestId, Tokens),
    /// Give up a request or KV cache that the engine doesn't have, or a reclaimed request
    /// that no inventory has confirmed.
    Lost(RequestId),
    /// Stop sending to this engine: it has a newer owner.
    Superseded,
}

/// Result of reclaiming a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimOutcome {
    /// The request is adopted as soon as the engine reports it.
    Accepted,
    /// The request is being cancelled, so it must be sent again.
    TooLate,
}

/// Reconciles one engine with the table of its owner.
#[derive(Clone, Debug)]
pub struct Reconciler {
    epoch: u64,
    grace: Duration,
    /// Requests and KV caches that are reported but not expected, with the time of the first
    /// such inventory.
    unexpected: BTreeMap<RequestId, Instant>,
    /// Requests and KV caches that are expected but not reported, with the time of the first
    /// such inventory.
    missing: BTreeMap<RequestId, Instant>,
    /// Requests that the daemons that wait for them have reclaimed, with the time of the
    /// reclaim.
    reclaims: BTreeMap<RequestId, Instant>,
    /// Requests and KV caches that are being cancelled or released, until the engine no longer
    /// reports them.
    removing: BTreeSet<RequestId>,
}

impl Reconciler {
    /// Creates a reconciler for the ownership epoch `epoch`. `grace` is the time for which a
    /// difference must persist before it is acted on.
    pub fn new(epoch: u64, grace: Duration) -> Self {
        Self {
            epoch,
            grace,
            unexpected: BTreeMap::new(),
            missing: BTreeMap::new(),
            reclaims: BTreeMap::new(),
            removing: BTreeSet::new(),
        }
    }

    /// Reclaims a request that a former owner sent, for the daemon that waits for its
    /// response.
    pub fn reclaim(&mut self, id: impl Into<RequestId>, now: Instant) -> ReclaimOutcome {
        let id = id.into();
        if self.removing.contains(&id) {
            return ReclaimOutcome::TooLate;
        }
        self.reclaims.insert(id, now);
        ReclaimOutcome::Accepted
    }

    /// Compares the owner's table with an inventory that was requested at
    /// `requested_at`, and returns the actions for the owner.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use upstream::{EngineInventory, MemoryHolder, reconcile::{Action, OwnerTable, Reconciler}};
    ///
    /// let mut reconciler = Reconciler::new(4, Duration::from_secs(2));
    /// let orphan = MemoryHolder { id: "r-1".to_string(), memory_tokens: 900, fence: None };
    /// let inventory = EngineInventory { incarnation: 1, requests: vec![orphan], kv: vec![] };
    /// let now = Instant::now();
    /// assert_eq!(reconciler.reconcile(&OwnerTable::default(), &inventory, now), []);
    /// let now = now + Duration::from_secs(2);
    /// let actions = reconciler.reconcile(&OwnerTable::default(), &inventory, now);
    /// assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    /// ```
    pub fn reconcile(
        &mut self,
        table: &OwnerTable,
        inventory: &EngineInventory,
        requested_at: Instant,
    ) -> Vec<Action> {
        if self.is_superseded(inventory) {
            return vec![Action::Superseded];
        }
        let reported = inventory.requests.iter().chain(&inventory.kv);
        let reported: BTreeSet<&RequestId> = reported.map(|holder| &holder.id).collect();
        self.removing.retain(|id| reported.contains(id));
        self.unexpected.retain(|id, _| reported.contains(id));
        let mut actions = Vec::new();
        for holder in &inventory.requests {
            actions.extend(self.check_request(table, holder, requested_at));
        }
        for holder in &inventory.kv {
            actions.extend(self.check_kv(table, holder, requested_at));
        }
        actions.extend(self.find_lost(table, inventory, &reported, requested_at));
        actions.extend(self.expire_reclaims(&reported, requested_at));
        actions
    }

    /// Number of unresolved differences and unconfirmed reclaims: 0 when owner and engine agree.
    pub fn unresolved_count(&self) -> usize {
        self.unexpected.len() + self.missing.len() + self.reclaims.len() + self.removing.len()
    }

    /// Whether the engine holds anything sent by an owner with a later epoch.
    fn is_superseded(&self, inventory: &EngineInventory) -> bool {
        let fences =
            inventory.requests.iter().chain(&inventory.kv).filter_map(|holder| holder.fence);
        fences.into_iter().any(|fence| fence.epoch > self.epoch)
    }

    /// Returns the action for a reported request, if any.
    fn check_request(
        &mut self,
        table: &OwnerTable,
        holder: &MemoryHolder,
        requested_at: Instant,
    ) -> Option<Action> {
        let id = &holder.id;
        if table.requests.contains_key(id) {
            self.unexpected.remove(id);
            return None;
        }
        if self.reclaims.remove(id).is_some() {
            self.unexpected.remove(id);
            return Some(Action::Adopt(id.clone(), holder.memory_tokens));
        }
        self.must_remove(id, requested_at).then(|| Action::Cancel(id.clone()))
    }

    /// Returns the action for a reported KV cache, if any.
    fn check_kv(
        &mut self,
        table: &OwnerTable,
        holder: &MemoryHolder,
        requested_at: Instant,
    ) -> Option<Action> {
        let id = &holder.id;
        if table.kv.contains_key(id) {
            self.unexpected.remove(id);
            return None;
        }
        self.must_remove(id, requested_at).then(|| Action::Release(id.clone()))
    }

    /// Whether an unexpected request or KV cache has outlived the grace period. From then
    /// on each inventory that reports it leads to another cancellation or release,
    /// because the previous one may have been lost.
    fn must_remove(&mut self, id: &RequestId, requested_at: Instant) -> bool {
        let first_seen = *self.unexpected.entry(id.clone()).or_insert(requested_at);
        let is_expired = requested_at.saturating_duration_since(first_seen) >= self.grace;
        if is_expired {
            self.removing.insert(id.clone());
        }
        is_expired
    }

    /// Finds what the engine has lost. After a restart of the engine a single inventory
    /// proves it. Otherwise it takes inventories over a grace period, because a request
    /// that has ended is not reported while its response is still on its way.
    fn find_lost(
        &mut self,
        table: &OwnerTable,
        inventory: &EngineInventory,
        reported: &BTreeSet<&RequestId>,
        requested_at: Instant,
    ) -> Vec<Action> {
        let all_expected = || table.requests.iter().chain(&table.kv);
        let not_reported: BTreeMap<&RequestId, &ExpectedHolder> = all_expected()
            .filter(|(id, expected)| !reported.contains(id) && expected.sent_at < requested_at)
            .collect();
        self.missing.retain(|id, _| not_reported.contains_key(id));
        let mut lost = Vec::new();
        for (id, expected) in not_reported {
            let first_missing = *self.missing.entry(id.clone()).or_insert(requested_at);
            let is_restarted = expected.incarnation != inventory.incarnation;
            if is_restarted || requested_at.saturating_duration_since(first_missing) >= self.grace {
                lost.push(Action::Lost(id.clone()));
            }
        }
        lost
    }

    /// Removes reclaims that no inventory has confirmed for the grace period.
    fn expire_reclaims(
        &mut self,
        reported: &BTreeSet<&RequestId>,
        requested_at: Instant,
    ) -> Vec<Action> {
        let grace = self.grace;
        let expired = self.reclaims.extract_if(.., |id, reclaimed_at| {
            !reported.contains(id) && requested_at.saturating_duration_since(*reclaimed_at) >= grace
        });
        expired.map(|(id, _)| Action::Lost(id)).collect()
    }
}
