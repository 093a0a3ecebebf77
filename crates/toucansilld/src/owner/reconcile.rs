//! Compares what upstreams report as running with what their owner holds.

use super::{
    Owner, OwnerMsg,
    actor::{HeldRequest, PollTarget},
};
use crate::{
    messages::{OwnerRequest, ReclaimedRequests, service},
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

/// Time for which an unknown request may run on, so that the daemon that waits
/// for it can claim it.
const GRACE: Duration = Duration::from_secs(5);

/// One reconciler for each owned upstream.
#[derive(Default)]
pub(crate) struct Reconcilers {
    by_upstream: Mutex<BTreeMap<UpstreamId, Entry>>,
}

struct Entry {
    epoch: u64,
    reconciler: Reconciler,
}

impl Reconcilers {
    /// Takes in claims of a former owner.
    pub(crate) fn claim(&self, claimed: &ReclaimedRequests, now: Instant) {
        let mut all = lock(&self.by_upstream);
        let Some(entry) = all.get_mut(&claimed.upstream) else { return };
        for request in &claimed.requests {
            entry.reconciler.reclaim(request.clone(), now);
        }
    }

    fn round(
        &self,
        target: &PollTarget,
        epoch: u64,
        report: &EngineInventory,
        asked_at: Instant,
    ) -> Vec<Action> {
        let mut all = lock(&self.by_upstream);
        let fresh = || Entry { epoch, reconciler: Reconciler::new(epoch, GRACE) };
        let entry = all.entry(target.target.upstream.clone()).or_insert_with(fresh);
        if entry.epoch != epoch {
            *entry = fresh();
        }
        entry.reconciler.reconcile(&table(target), report, asked_at)
    }
}

/// Compares once. An upstream that does not tell what it runs counts as compared.
pub(crate) fn look(owner: &Owner, target: &PollTarget) {
    let Some(epoch) = target.epoch else { return claim(owner, target) };
    if !target.is_engine {
        return tell(owner, target, epoch);
    }
    let asked_at = owner.cx.clock.now();
    match owner.client.inventory(&target.target) {
        Ok(report) => {
            let actions = owner.reconcilers.round(target, epoch, &report, asked_at);
            actions.into_iter().for_each(|action| act(owner, target, action));
            tell(owner, target, epoch);
        }
        Err(err) if err.reason() == ErrorReason::Refused(404) => tell(owner, target, epoch),
        Err(err) => log::debug!("{}: {err}", target.target.upstream),
    }
}

fn tell(owner: &Owner, target: &PollTarget, epoch: u64) {
    if target.is_reconciled {
        return;
    }
    let (id, incarnation) = (target.target.upstream.clone(), target.incarnation);
    owner.send(OwnerMsg::Reconciled { id, incarnation, epoch });
}

fn act(owner: &Owner, target: &PollTarget, action: Action) {
    let upstream = &target.target.upstream;
    match action {
        Action::Cancel(request) => {
            log::warn!("{upstream} runs {request} for nobody; cancelled");
            metrics::counter!("toucansill_orphans_cancelled_total").increment(1);
            owner.client.cancel(&target.target, &request);
        }
        Action::Release(handle) => {
            log::warn!("{upstream} keeps KV cache {handle} for nobody; released");
            metrics::counter!("toucansill_orphan_caches_released_total").increment(1);
            if let Err(err) = owner.client.release_kv_cache(&target.target, &handle) {
                log::warn!("{upstream}: {handle} was not released: {err}");
            }
        }
        // The stream itself notices its silence and goes on elsewhere.
        Action::Lost(request) => log::warn!("{upstream} does not run {request}"),
        // Its memory counts as used through the load report.
        Action::Adopt(request, tokens) => {
            log::debug!("{upstream} runs {request} ({tokens} tokens) for its former owner");
        }
        Action::Superseded => log::warn!("{upstream} has a newer owner"),
    }
}

/// Tells the present owner what still runs here.
fn claim(owner: &Owner, target: &PollTarget) {
    if target.held.is_empty() {
        return;
    }
    let upstream = target.target.upstream.clone();
    let roster = owner.cx.session.roster();
    let Some(now_owner) = control::owner_of(&target.group, &owner.cx.data_centre, &roster) else {
        return;
    };
    let Some(address) = owner.cx.session.address_of(&now_owner) else { return };
    let requests = target.held.iter().flat_map(ids).collect();
    match wire::encode(&OwnerRequest::Reclaim(ReclaimedRequests { upstream, requests })) {
        Ok(buf) => owner.cx.net.notify(&address, service::OWNER, buf),
        Err(err) => log::warn!("claims were not sent: {err}"),
    }
}

/// What the owner believes to be on the upstream.
fn table(target: &PollTarget) -> OwnerTable {
    let mut table = OwnerTable::default();
    for held in &target.held {
        let known = ExpectedHolder { sent_at: held.placed_at, incarnation: target.incarnation };
        for id in ids(held) {
            table.requests.insert(id.clone(), known);
            if held.members > 1 {
                table.kv.insert(id, known);
            }
        }
    }
    table
}

/// Ids under which a request may appear: a gang has one more for each segment.
fn ids(held: &HeldRequest) -> Vec<RequestId> {
    let segments = if held.members > 1 { held.members } else { 0 };
    let parts = (0..segments).map(|number| format!("{}.{number}", held.request));
    parts.chain([held.request.clone()]).collect()
}
