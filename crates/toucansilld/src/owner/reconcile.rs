//! Compares the inventories of engines with what their owner expects on them.
//!
//! Requests and KV caches that no daemon needs any more are cancelled and released. A daemon
//! that has lost an upstream to another owner reclaims the requests it still waits for, so that
//! the new owner leaves them running.

use super::{
    Owner, OwnerMsg,
    actor::{InFlightRequest, PollTarget},
};
use crate::{
    messages::{OwnerRequest, ReclaimedRequests, message_service},
    sync::lock,
};
use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};
use upstream::{
    EngineInventory, ErrorReason,
    reconcile::{Action, ExpectedHolder, OwnerTable, Reconciler},
};
use wire::{RequestId, UpstreamId};

/// Time for which an unknown request is left running, so that the former owner that waits for
/// it can reclaim it.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// One reconciler for each owned upstream.
#[derive(Default)]
pub(crate) struct Reconcilers {
    by_upstream: Mutex<BTreeMap<UpstreamId, EpochReconciler>>,
}

/// Reconciler of an upstream, replaced at a new roster epoch of its ownership.
struct EpochReconciler {
    epoch: u64,
    reconciler: Reconciler,
}

impl Reconcilers {
    /// Keeps the requests of a former owner from being cancelled. Those of an upstream that was
    /// not reconciled here yet are ignored; the former owner sends them again.
    pub(crate) fn reclaim(&self, reclaimed: &ReclaimedRequests, now: Instant) {
        let mut all = lock(&self.by_upstream);
        let Some(epoch_reconciler) = all.get_mut(&reclaimed.upstream) else { return };
        for request in &reclaimed.requests {
            epoch_reconciler.reconciler.reclaim(request.clone(), now);
        }
    }

    /// Compares an inventory that was requested at `requested_at` with what the owner expects, and
    /// returns the actions to perform. A new roster epoch starts with a new reconciler.
    fn reconcile(
        &self,
        target: &PollTarget,
        epoch: u64,
        inventory: &EngineInventory,
        requested_at: Instant,
    ) -> Vec<Action> {
        let mut all = lock(&self.by_upstream);
        let fresh =
            || EpochReconciler { epoch, reconciler: Reconciler::new(epoch, RECLAIM_TIMEOUT) };
        let epoch_reconciler = all.entry(target.target.upstream.clone()).or_insert_with(fresh);
        if epoch_reconciler.epoch != epoch {
            *epoch_reconciler = fresh();
        }
        epoch_reconciler.reconciler.reconcile(&expected(target), inventory, requested_at)
    }
}

/// Reconciles one upstream once. Plain services, and engines that respond 404, have no inventory
/// and count as reconciled. For an upstream of another owner, reclaims requests in flight instead.
pub(crate) fn check(owner: &Owner, target: &PollTarget) {
    let Some(epoch) = target.epoch else { return reclaim(owner, target) };
    if !target.is_engine {
        return mark_reconciled(owner, target, epoch);
    }
    let requested_at = owner.cx.clock.now();
    match owner.client.inventory(&target.target) {
        Ok(inventory) => {
            let actions = owner.reconcilers.reconcile(target, epoch, &inventory, requested_at);
            actions.into_iter().for_each(|action| perform(owner, target, action));
            mark_reconciled(owner, target, epoch);
        }
        Err(err) if err.reason() == ErrorReason::ErrorStatus(404) => {
            mark_reconciled(owner, target, epoch)
        }
        Err(err) => log::debug!("{}: {err}", target.target.upstream),
    }
}

/// Informs the owner's thread that the upstream may receive new requests.
fn mark_reconciled(owner: &Owner, target: &PollTarget, epoch: u64) {
    if target.is_reconciled {
        return;
    }
    let (id, incarnation) = (target.target.upstream.clone(), target.incarnation);
    owner.send(OwnerMsg::Reconciled { id, incarnation, epoch });
}

/// Performs an action of the reconciler.
fn perform(owner: &Owner, target: &PollTarget, action: Action) {
    let upstream = &target.target.upstream;
    match action {
        Action::Cancel(request) => {
            log::warn!("{upstream} runs {request}, which no daemon waits for; cancelled");
            metrics::counter!("toucansill_orphans_cancelled_total").increment(1);
            owner.client.cancel(&target.target, &request);
        }
        Action::Release(handle) => {
            log::warn!("{upstream} holds KV cache {handle}, which no daemon needs; released");
            metrics::counter!("toucansill_orphan_caches_released_total").increment(1);
            if let Err(err) = owner.client.release_kv_cache(&target.target, &handle) {
                log::warn!("{upstream}: {handle} was not released: {err}");
            }
        }
        // The request's stream times out and resumes on another upstream by itself.
        Action::Lost(request) => log::warn!("{upstream} does not run {request}"),
        // Placement knows its memory from the load report.
        Action::Adopt(request, tokens) => {
            log::debug!("{upstream} runs {request} ({tokens} tokens) for its former owner");
        }
        Action::Superseded => log::warn!("{upstream} has a newer owner"),
    }
}

/// Sends the current owner the requests that this daemon still has in flight.
fn reclaim(owner: &Owner, target: &PollTarget) {
    if target.in_flight.is_empty() {
        return;
    }
    let upstream = target.target.upstream.clone();
    let roster = owner.cx.session.roster();
    let Some(current_owner) =
        control::owner_of(&target.ownership_group, &owner.cx.data_centre, &roster)
    else {
        return;
    };
    let Some(address) = owner.cx.session.address_of(&current_owner) else { return };
    let requests = target.in_flight.iter().flat_map(ids).collect();
    match wire::encode(&OwnerRequest::Reclaim(ReclaimedRequests { upstream, requests })) {
        Ok(buf) => owner.cx.net.notify(&address, message_service::OWNER, buf),
        Err(err) => log::warn!("requests in flight were not reclaimed: {err}"),
    }
}

/// Requests and KV caches that this owner expects on the upstream.
fn expected(target: &PollTarget) -> OwnerTable {
    let mut table = OwnerTable::default();
    for request in &target.in_flight {
        let holder = ExpectedHolder { sent_at: request.placed_at, incarnation: target.incarnation };
        for id in ids(request) {
            table.requests.insert(id.clone(), holder);
            if request.upstream_count > 1 {
                table.kv.insert(id, holder);
            }
        }
    }
    table
}

/// Ids under which the engine may list a request. On a gang, each segment has an id of its own
/// besides the request's.
fn ids(request: &InFlightRequest) -> Vec<RequestId> {
    let segments = if request.upstream_count > 1 { request.upstream_count } else { 0 };
    let parts = (0..segments).map(|number| format!("{}.{number}", request.request));
    parts.chain([request.request.clone()]).collect()
}
