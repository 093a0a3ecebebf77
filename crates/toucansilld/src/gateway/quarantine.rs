//! Quarantine of requests, and of parts of prompts, that crash upstreams, on the members of the
//! control group.
//!
//! The leader replicates the reports of the entries. Every member derives the [`Watchlist`] from the
//! replicated state, for the entries that follow it ([`watchlist`](super::watchlist)).

use super::{
    bus::reply,
    control::ControlMember,
    forward::short_hash,
    messages::{LeaderReply, RunReport},
    watchlist::WATCHLIST_WAIT,
};
use control::{Command, CrashCharge, PartsCharge, QuarantineStatus, RequestHash, State, Watchlist};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};
use wire::Responder;

/// Time for which reports of crashes are collected into one entry of the replicated log.
const REPORT_DELAY: Duration = Duration::from_millis(10);

/// Reports of a daemon, to be replied to once they are replicated.
pub(super) type ReceivedReports = (Vec<RunReport>, Responder);

/// Watchlist of the replicated state, as this member has last seen it.
#[derive(Default)]
pub(super) struct ReadWatchlist {
    pub(super) watchlist: Watchlist,
    /// Those of the watchlist that are parts of prompts.
    parts: Watchlist,
    /// State index at which it was read.
    index: u64,
    /// State index at which it was first read with this content.
    changed_at: u64,
    /// State index at which it was first read with these quarantined requests.
    quarantine_changed_at: u64,
}

impl ControlMember {
    /// Replicates reports of crashes, those that come at about the same time in one entry of the
    /// log.
    pub(super) async fn record_reports(self: Arc<Self>, rx: flume::Receiver<ReceivedReports>) {
        while let Ok(first) = rx.recv_async().await {
            sleep(REPORT_DELAY).await;
            let received: Vec<ReceivedReports> =
                std::iter::once(first).chain(rx.try_iter()).collect();
            let commands: Vec<Command> = self.voter().peek(|state| {
                let reports = received.iter().flat_map(|(reports, _)| reports);
                reports.filter_map(|report| command_for(state, report)).collect()
            });
            let count = commands.len();
            let recorded = match commands.is_empty() {
                true => Ok(()),
                false => self.propose(Command::Batch(commands)).await.map(drop),
            };
            if recorded.is_ok() {
                metrics::counter!("toucansill_crash_reports_total").increment(count as u64);
                self.read_watchlist();
            }
            for (_, responder) in received {
                match &recorded {
                    Ok(()) => reply(responder, &LeaderReply::RunsRecorded),
                    Err(response) => {
                        let reason = String::from_utf8_lossy(&response.body);
                        log::warn!(count = count; "reports of crashes not replicated: {reason}");
                        reply(responder, &self.not_leader());
                    }
                }
            }
        }
    }

    /// Reads the watchlist from the replicated state if the state has changed. A leader applies it,
    /// and logs which requests are now refused or no longer.
    pub(super) fn read_watchlist(&self) {
        let known = self.watchlist.borrow().index;
        let read = self.voter().peek(|state| {
            (state.applied() != known)
                .then(|| (state.applied(), state.watchlist(), state.parts().watchlist()))
        });
        let Some((index, watchlist, parts)) = read else { return };
        self.watchlist.send_if_modified(|known| {
            known.index = index;
            if known.watchlist == watchlist {
                return false;
            }
            let is_quarantine_changed = known.watchlist.quarantined != watchlist.quarantined;
            if is_quarantine_changed {
                known.quarantine_changed_at = index;
                self.with_leader(|leader| {
                    log_quarantine_changes(&known.watchlist, &watchlist, |hash| {
                        known.parts.quarantined.contains(hash) || parts.quarantined.contains(hash)
                    });
                    leader.set_quarantined(&watchlist);
                });
            }
            known.watchlist = watchlist;
            known.parts = parts;
            known.changed_at = index;
            is_quarantine_changed
        });
    }

    /// Waits until other requests are quarantined than when a follower's watchlist was read at
    /// `index`, for [`WATCHLIST_WAIT`] at most, and returns the reply to the follower. Suspects, of
    /// which there may be many new ones when upstreams fail, are sent with that reply only.
    pub(super) async fn await_watchlist(&self, index: u64) -> LeaderReply {
        let mut watchlist = self.watchlist.subscribe();
        // Without a change in time, the reply tells the follower that this member is alive.
        let _ =
            timeout(WATCHLIST_WAIT, watchlist.wait_for(|read| read.quarantine_changed_at > index))
                .await;
        let read = watchlist.borrow();
        let changed = (read.changed_at > index).then(|| read.watchlist.clone());
        LeaderReply::Watchlist { index: read.index, watchlist: changed }
    }
}

/// Command that records a report, unless the quarantine shows that it changes nothing.
fn command_for(state: &State, report: &RunReport) -> Option<Command> {
    let quarantine = state.quarantine();
    match report {
        RunReport::Crashed { request, upstream, started_at_ms } => {
            let is_known = quarantine.has_charged(request, upstream, *started_at_ms);
            let charge = CrashCharge {
                fingerprint: *request,
                upstream: upstream.clone(),
                incarnation: *started_at_ms,
                alone: false,
                at_ms: 0,
            };
            (!is_known).then_some(Command::Charge(charge))
        }
        RunReport::Completed { request } => {
            let is_suspect = quarantine.status(request) == QuarantineStatus::Suspect;
            is_suspect.then_some(Command::Acquit { fingerprint: *request, at_ms: 0 })
        }
        RunReport::CrashedBeforeEvent { parts, request, upstream, started_at_ms } => {
            let is_explained = parts.iter().any(|part| state.parts().is_quarantined(part));
            let charge = PartsCharge {
                parts: parts.clone(),
                request: *request,
                upstream: upstream.clone(),
                incarnation: *started_at_ms,
                at_ms: 0,
            };
            (!is_explained).then_some(Command::ChargeParts(charge))
        }
        RunReport::PartCompleted { part } => {
            let is_charged = state.parts().is_charged(part);
            is_charged.then_some(Command::AcquitPart { part: *part, at_ms: 0 })
        }
    }
}

/// Logs which requests, and which parts of prompts, are refused from now on, and which no longer.
fn log_quarantine_changes(
    former: &Watchlist,
    watchlist: &Watchlist,
    is_part: impl Fn(&RequestHash) -> bool,
) {
    let kind = |hash| if is_part(hash) { "part of prompts" } else { "request" };
    for hash in watchlist.quarantined.difference(&former.quarantined) {
        let kind = kind(hash);
        log::warn!(hash:% = format!("{:016x}", short_hash(hash)); "{kind} quarantined");
    }
    for hash in former.quarantined.difference(&watchlist.quarantined) {
        let kind = kind(hash);
        log::info!(hash:% = format!("{:016x}", short_hash(hash)); "{kind} quarantined no longer");
    }
}
