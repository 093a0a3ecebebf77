//! Sends reports of an entry daemon to the leader: the progress of the requests that it placed, and
//! what responses of upstreams say: limits that they name, and that they leave.

use super::{
    bus::DaemonLinks,
    messages::{LeaderReply, LeaderRequest, Progress},
    placer::LEADER_TIMEOUT,
    view::View,
};
use grant::LimitReport;
use kernel::SharedClock;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use wire::UpstreamId;

/// Time for which progress reports are collected into one message.
const PROGRESS_DELAY: Duration = Duration::from_millis(15);
/// Timeout for the leader's confirmation of progress reports.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the leader's confirmation of limits.
const LIMIT_REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of times that limits are sent until the leader confirms them.
const LIMIT_REPORT_ATTEMPTS: usize = 3;

/// Timeout for the leader's confirmation that a departure is replicated.
const LEAVING_REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a departure is reported again that the leader has not confirmed.
const LEAVING_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a departure is no longer reported: upstreams that leave are gone then.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(60);

/// Report for the leader.
pub(crate) enum Report {
    /// Progress of a request that the leader placed.
    Progress(Progress),
    /// Limit that a response has named, or that it has ended.
    Limit(LimitReport),
    /// A response says that the run of the upstream that started at this time leaves.
    Leaving(UpstreamId, u64),
}

/// Sends reports to the leader, in order, several in one message; limits before the progress that
/// was made meanwhile. Lost progress reports are logged, not repeated. The leader releases a grant
/// without a reported end when it expires; a new leader learns from the entry daemons which requests
/// are running.
pub(crate) async fn send_reports(
    rx: flume::Receiver<Report>,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
) {
    while let Ok(first) = rx.recv_async().await {
        sleep(PROGRESS_DELAY).await;
        let (mut progress, mut limits) = (Vec::new(), Vec::new());
        for report in std::iter::once(first).chain(rx.try_iter()) {
            match report {
                Report::Progress(report) => progress.push(report),
                Report::Limit(report) => limits.push(report),
                Report::Leaving(upstream, started_at_ms) => {
                    let (view, links) = (Arc::clone(&view), Arc::clone(&links));
                    let clock = Arc::clone(&clock);
                    tokio::spawn(send_leaving(upstream, started_at_ms, view, links, clock));
                }
            }
        }
        if !limits.is_empty() {
            send_limits(limits, &view, &links, &clock).await;
        }
        if progress.is_empty() {
            continue;
        }
        let count = progress.len();
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else {
            log::warn!(count = count; "progress reports dropped: no leader");
            continue;
        };
        if let Err(err) =
            links.request_leader(leader, &LeaderRequest::Progress(progress), PROGRESS_TIMEOUT).await
        {
            log::warn!(count = count, leader:% = leader; "progress reports not confirmed: {err}");
        }
    }
}

/// Sends limits to the leader, again if it does not confirm them: without them it would take the
/// progress that follows for the end of a limit. A new leader gets all limits from [`Follower`].
///
/// [`Follower`]: super::follow::Follower
async fn send_limits(
    limits: Vec<LimitReport>,
    view: &View,
    links: &DaemonLinks,
    clock: &SharedClock,
) {
    let count = limits.len();
    let request = LeaderRequest::ReportLimits(limits);
    for _ in 0..LIMIT_REPORT_ATTEMPTS {
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else { return };
        match links.request_leader(leader, &request, LIMIT_REPORT_TIMEOUT).await {
            Ok(LeaderReply::LimitsRecorded) => return,
            Ok(_) => log::debug!("{leader}: limits not recorded: it leads no more"),
            Err(err) => log::debug!("{leader}: limits not recorded: {err}"),
        }
    }
    log::warn!(count = count; "limits of upstreams not recorded by the leader");
}

/// Reports to the leader that a run of an upstream leaves, until the leader has replicated it.
async fn send_leaving(
    upstream: UpstreamId,
    started_at_ms: u64,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
) {
    let started = clock.now();
    let request = LeaderRequest::ReportLeaving { upstream: upstream.clone(), started_at_ms };
    while clock.now().saturating_duration_since(started) < LEAVING_REPORT_TIME {
        if let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) {
            match links.request_leader(leader, &request, LEAVING_REPORT_TIMEOUT).await {
                Ok(LeaderReply::LeavingRecorded) => return,
                Ok(_) => log::debug!("{leader}: departure not recorded: it leads no more"),
                Err(err) => log::debug!("{leader}: departure not recorded: {err}"),
            }
        }
        sleep(LEAVING_RETRY_PAUSE).await;
    }
    log::warn!(
        upstream = upstream.as_str(), born = started_at_ms;
        "departure of an upstream not recorded by the leader"
    );
}
