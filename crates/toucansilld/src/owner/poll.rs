//! Looks at the owner's engines from time to time: their load reports.

use super::{Owner, OwnerMsg, actor::PollTarget};
use route::{Counters, Report};
use serde::Deserialize;
use std::{
    sync::{Arc, Weak},
    thread,
    time::Duration,
};
use wire::Tokens;

/// Time between two looks at an engine.
const POLL_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for an answer, in seconds.
const POLL_TIMEOUT_S: u64 = 2;

/// An engine's load report. Fields that an engine leaves out count as 0.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadReport {
    incarnation: u64,
    running: u32,
    queued: u32,
    memory_used: Tokens,
    requests: u64,
    prefill_tokens: Tokens,
    prefill_millis: u64,
    output_tokens: Tokens,
}

/// Starts the poller. It ends when the owner is gone.
pub(crate) fn start(owner: &Arc<Owner>) {
    let owner = Arc::downgrade(owner);
    thread::spawn(move || run(&owner));
}

fn run(owner: &Weak<Owner>) {
    while let Some(owner) = owner.upgrade() {
        let (reply, answer) = flume::bounded(1);
        owner.send(OwnerMsg::Targets { reply });
        let targets = answer.recv_timeout(POLL_EVERY).unwrap_or_default();
        targets.iter().filter(|target| target.is_engine).for_each(|target| look(&owner, target));
        drop(owner);
        thread::sleep(POLL_EVERY);
    }
}

fn look(owner: &Owner, target: &PollTarget) {
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

fn report(load: &LoadReport) -> Report {
    Report {
        incarnation: load.incarnation,
        running: load.running,
        queued: load.queued,
        memory_used: load.memory_used,
        counters: Counters {
            requests: load.requests,
            prefill_tokens: load.prefill_tokens,
            prefill_millis: load.prefill_millis,
            output_tokens: load.output_tokens,
        },
    }
}
