//! Polls the load and the inventory of the owner's upstreams.

use super::{Owner, OwnerMsg, actor::PollTarget, reconcile};
use route::LoadCounters;
use serde::Deserialize;
use std::{
    sync::{Arc, Weak},
    thread,
    time::Duration,
};
use wire::Tokens;

/// Time between polling rounds. Each round covers the upstreams that are not reconciled yet.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of rounds from one poll of all upstreams to the next.
const ROUNDS_PER_FULL_POLL: u64 = 10;
/// Maximum time to wait for a reply of the owner's thread.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to wait for an upstream's response, in seconds.
const POLL_TIMEOUT_S: u64 = 2;

/// Body of an engine's `GET /load` response. Missing fields count as 0.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadResponse {
    incarnation: u64,
    running: u32,
    memory_tokens_used: Tokens,
    prefilled_tokens: Tokens,
    decoded_tokens: Tokens,
}

/// Starts the polling thread. It ends once the owner is dropped or its thread has stopped.
pub(crate) fn start(owner: &Arc<Owner>) {
    let owner = Arc::downgrade(owner);
    thread::spawn(move || run(&owner));
}

/// Polls in rounds. The weak reference lets the owner be dropped while the thread sleeps.
fn run(owner: &Weak<Owner>) {
    for round in 0u64.. {
        let Some(owner) = owner.upgrade() else { return };
        let (reply, rx) = flume::bounded(1);
        owner.send(OwnerMsg::PollTargets { reply });
        let Ok(targets) = rx.recv_timeout(REPLY_TIMEOUT) else { return };
        let is_full_round = round % ROUNDS_PER_FULL_POLL == 0;
        thread::scope(|scope| {
            let due = targets.iter().filter(|target| is_full_round || !target.is_reconciled);
            due.for_each(|target| drop(scope.spawn(|| poll(&owner, target))));
        });
        drop(owner);
        thread::sleep(ROUND_INTERVAL);
    }
}

/// Polls one upstream. The load comes first, so that memory in use for former owners is known
/// before reconciliation lets new requests through.
fn poll(owner: &Owner, target: &PollTarget) {
    if target.is_engine {
        poll_load(owner, target);
    }
    reconcile::check(owner, target);
}

/// Fetches an engine's load report and passes it to the owner's thread.
fn poll_load(owner: &Owner, target: &PollTarget) {
    let url = format!("http://{}/load", target.target.address);
    let Ok(res) = minreq::get(url).with_timeout(POLL_TIMEOUT_S).send() else { return };
    match serde_json::from_slice::<LoadResponse>(res.as_bytes()) {
        Ok(load) => {
            let id = target.target.upstream.clone();
            owner.send(OwnerMsg::LoadReport { id, report: to_load_report(&load) });
        }
        Err(err) => log::debug!("{}: invalid load report: {err}", target.target.upstream),
    }
}

/// The report as input of placement decisions.
fn to_load_report(load: &LoadResponse) -> route::LoadReport {
    route::LoadReport {
        incarnation: load.incarnation,
        running: load.running,
        queued: 0,
        memory_used: load.memory_tokens_used,
        counters: LoadCounters {
            prefill_tokens: load.prefilled_tokens,
            output_tokens: load.decoded_tokens,
            ..LoadCounters::default()
        },
    }
}
