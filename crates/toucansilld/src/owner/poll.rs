//! Looks at the owner's upstreams from time to time: load reports and requests.

use super::{Owner, OwnerMsg, actor::PollTarget, reconcile};
use route::LoadCounters;
use serde::Deserialize;
use std::{
    sync::{Arc, Weak},
    thread,
    time::Duration,
};
use wire::Tokens;

/// Time between two rounds; in each, upstreams that are not yet reconciled are looked at.
const ROUND_EVERY: Duration = Duration::from_millis(200);
/// Rounds between two looks at every upstream.
const ROUNDS_PER_POLL: u64 = 10;
/// Longest wait for the owner's thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an answer, in seconds.
const POLL_TIMEOUT_S: u64 = 2;

/// An engine's load report. Fields that an engine leaves out count as 0.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadReport {
    incarnation: u64,
    running: u32,
    memory_tokens_used: Tokens,
    prefilled_tokens: Tokens,
    decoded_tokens: Tokens,
}

/// Starts the poller. It ends when the owner is gone.
pub(crate) fn start(owner: &Arc<Owner>) {
    let owner = Arc::downgrade(owner);
    thread::spawn(move || run(&owner));
}

fn run(owner: &Weak<Owner>) {
    for round in 0u64.. {
        let Some(owner) = owner.upgrade() else { return };
        let (reply, answer) = flume::bounded(1);
        owner.send(OwnerMsg::Targets { reply });
        let Ok(targets) = answer.recv_timeout(ANSWER_TIMEOUT) else { return };
        let is_full_round = round % ROUNDS_PER_POLL == 0;
        thread::scope(|scope| {
            let due = targets.iter().filter(|target| is_full_round || !target.is_reconciled);
            due.for_each(|target| drop(scope.spawn(|| look(&owner, target))));
        });
        drop(owner);
        thread::sleep(ROUND_EVERY);
    }
}

/// Load first, so that memory used for others is known before new work is sent.
fn look(owner: &Owner, target: &PollTarget) {
    if target.is_engine {
        look_at_load(owner, target);
    }
    reconcile::look(owner, target);
}

fn look_at_load(owner: &Owner, target: &PollTarget) {
    let url = format!("http://{}/load", target.target.address);
    let Ok(res) = minreq::get(url).with_timeout(POLL_TIMEOUT_S).send() else { return };
    match serde_json::from_slice::<LoadReport>(res.as_bytes()) {
        Ok(load) => {
            let id = target.target.upstream.clone();
            owner.send(OwnerMsg::Report { id, report: report(&load) });
        }
        Err(err) => log::debug!("{}: load report: {err}", target.target.upstream),
    }
}

fn report(load: &LoadReport) -> route::LoadReport {
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
