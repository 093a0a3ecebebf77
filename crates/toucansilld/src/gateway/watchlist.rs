//! Requests, and parts of prompts, that crash the upstreams which run them, as an entry daemon
//! recognises them.
//!
//! An entry reports each upstream that has crashed under a request to the leader, which replicates
//! the report. Every member of the control group derives the [`Watchlist`] from these reports, and
//! the entries follow it. So an entry refuses a quarantined request although it has never seen it,
//! and goes on to do so when it has no leader.
//!
//! A sound part of prompts may share several crashes with one that isn't. An entry therefore remembers
//! the parts of requests that were served to the end, and reports those that get on the watchlist. A request
//! that callers send again and again may share several crashes with a fault of the upstreams. So an entry
//! also remembers the requests that were served, and reports no crash under one of these.

use super::{
    bus::DaemonLinks,
    messages::{LeaderReply, LeaderRequest, RunReport},
    placer::LEADER_TIMEOUT,
    settings::GatewaySettings,
    view::View,
};
use crate::sync::lock;
use control::{PartHash, RequestHash, Watchlist};
use kernel::SharedClock;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Longest time that a member holds open the request of a daemon whose watchlist is up to date.
pub(crate) const WATCHLIST_WAIT: Duration = Duration::from_secs(2);
/// Time beyond [`WATCHLIST_WAIT`] after which a reply is overdue.
const REPLY_MARGIN: Duration = Duration::from_millis(350);
/// Pause before the next member is asked after one gave no watchlist.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before reports that the leader has not recorded are sent again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Timeout for the leader's confirmation that reports are replicated.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of reports that wait for a leader. Beyond it the oldest are dropped.
const MAX_REPORTS: usize = 1_024;

/// Time after a crash by which the group has replicated it and this daemon knows of that, unless they are
/// out of touch.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Number of crashes within [`SETTLING_TIME`] after which a request waits: as many as quarantine a request
/// that shared the upstreams with others.
const MAX_UNSETTLED_CRASHES: usize = 3;
/// Maximum number of parts of prompts, and of requests, that are remembered as served. Beyond it the oldest
/// are forgotten.
const MAX_SERVED_PARTS: usize = 4_096;
const MAX_SERVED_REQUESTS: usize = 512;

/// What a request is recognised by.
#[derive(Clone, Debug)]
pub(crate) struct RequestFingerprint {
    /// Hash of the request, by which it is recognised when the caller sends it again.
    pub(crate) request: RequestHash,
    /// Parts of its prompt that other requests may share, in order.
    pub(crate) parts: Arc<[PartHash]>,
}

/// Time for which a part or a request counts as sound after a complete response, whatever crashes are charged
/// to it meanwhile. One that begins to crash upstreams is refused that much later.
const SERVED_RECENTLY: Duration = Duration::from_secs(2);

/// Hash of a part of prompts or of a request.
type Hash = [u8; 32];

/// Parts of prompts with which requests were served to the end, or such requests, and when that was last.
struct Served {
    last_served: HashMap<Hash, Instant>,
    /// Maximum number that is remembered.
    capacity: usize,
}

impl Served {
    fn new(capacity: usize) -> Self {
        Self { last_served: HashMap::new(), capacity }
    }

    fn add(&mut self, now: Instant, hash: Hash) {
        if self.last_served.len() >= self.capacity && !self.last_served.contains_key(&hash) {
            let oldest = self.last_served.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(hash, _)| *hash) {
                self.last_served.remove(&oldest);
            }
        }
        self.last_served.insert(hash, now);
    }

    /// Those of these that were served. Each is returned once, or as often as asked for within
    /// [`SERVED_RECENTLY`].
    fn take(&mut self, now: Instant, hashes: &mut dyn Iterator<Item = &Hash>) -> Vec<Hash> {
        let served: Vec<Hash> =
            hashes.copied().filter(|hash| self.last_served.contains_key(hash)).collect();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SERVED_RECENTLY;
        for hash in &served {
            if !self.last_served.get(hash).is_some_and(is_recent) {
                self.last_served.remove(hash);
            }
        }
        served
    }
}

/// Crashes that a daemon has seen and the control group may not know of yet. Without them, a caller that
/// repeats a request at once would crash further upstreams until the group has quarantined it.
#[derive(Default)]
struct UnsettledCrashes {
    /// Times at which connections broke, by the request that was under way.
    times: HashMap<RequestHash, VecDeque<Instant>>,
}

impl UnsettledCrashes {
    fn add(&mut self, now: Instant, request: RequestHash) {
        self.forget_settled(now);
        self.times.entry(request).or_default().push_back(now);
    }

    /// Removes one crash of a request, which was none.
    fn remove(&mut self, request: &RequestHash) {
        if let Some(times) = self.times.get_mut(request) {
            times.pop_back();
        }
    }

    fn has_many(&mut self, now: Instant, request: &RequestHash) -> bool {
        self.forget_settled(now);
        self.times.get(request).is_some_and(|times| times.len() >= MAX_UNSETTLED_CRASHES)
    }

    fn forget_settled(&mut self, now: Instant) {
        self.times.retain(|_, times| {
            times.retain(|at| now.saturating_duration_since(*at) < SETTLING_TIME);
            !times.is_empty()
        });
    }
}

/// Watchlist of an entry daemon.
pub(crate) struct WatchlistView {
    /// With the state index at which it was read.
    state: Mutex<(u64, Watchlist)>,
    served_parts: Mutex<Served>,
    served_requests: Mutex<Served>,
    unsettled: Mutex<UnsettledCrashes>,
    clock: SharedClock,
    reports_tx: flume::Sender<RunReport>,
}

impl WatchlistView {
    /// Creates an empty watchlist, and starts the tasks that keep it up to date and send the reports
    /// that are made through it.
    pub(crate) fn start(
        settings: &Arc<GatewaySettings>,
        view: &Arc<View>,
        links: &Arc<DaemonLinks>,
        clock: &SharedClock,
    ) -> Arc<Self> {
        let (reports_tx, rx) = flume::unbounded();
        let watchlist = Arc::new(Self {
            state: Mutex::default(),
            served_parts: Mutex::new(Served::new(MAX_SERVED_PARTS)),
            served_requests: Mutex::new(Served::new(MAX_SERVED_REQUESTS)),
            unsettled: Mutex::default(),
            clock: Arc::clone(clock),
            reports_tx,
        });
        let follower = WatchlistFollower {
            settings: Arc::clone(settings),
            links: Arc::clone(links),
            view: Arc::clone(view),
            watchlist: Arc::clone(&watchlist),
        };
        tokio::spawn(follower.run());
        tokio::spawn(send_reports(rx, Arc::clone(view), Arc::clone(links), Arc::clone(clock)));
        watchlist
    }

    /// Whether a request is refused because it, or a part of its prompt, has crashed upstreams.
    pub(crate) fn is_quarantined(&self, fingerprint: &RequestFingerprint) -> bool {
        let quarantined = &lock(&self.state).1.quarantined;
        quarantined.contains(&fingerprint.request)
            || fingerprint.parts.iter().any(|part| quarantined.contains(part))
    }

    /// Records that a connection broke under a request, before it is known whether the upstream has
    /// crashed.
    pub(crate) fn crash_suspected(&self, request: RequestHash) {
        lock(&self.unsettled).add(self.clock.now(), request);
    }

    /// Takes back [`crash_suspected`](Self::crash_suspected): the upstream has not crashed.
    pub(crate) fn crash_disproved(&self, request: &RequestHash) {
        lock(&self.unsettled).remove(request);
    }

    /// Whether a request must wait, as the group may be about to quarantine it: upstreams seem to have
    /// crashed under it just now, as many as it is allowed.
    pub(crate) fn has_many_unsettled_crashes(&self, fingerprint: &RequestFingerprint) -> bool {
        lock(&self.unsettled).has_many(self.clock.now(), &fingerprint.request)
    }

    /// Records a complete response to a request. It is reported only if the request is a suspect or has
    /// parts on the watchlist, which it clears.
    pub(crate) fn completed(&self, fingerprint: &RequestFingerprint) {
        let request = fingerprint.request;
        let (is_suspect, listed) = {
            let watchlist = &lock(&self.state).1;
            let is_listed = |part: &&PartHash| {
                watchlist.suspects.contains(*part) || watchlist.quarantined.contains(*part)
            };
            let listed: Vec<PartHash> =
                fingerprint.parts.iter().filter(is_listed).copied().collect();
            (watchlist.suspects.contains(&request), listed)
        };
        if is_suspect {
            self.report(RunReport::Completed { request });
        }
        listed.into_iter().for_each(|part| self.report(RunReport::PartCompleted { part }));
        let now = self.clock.now();
        let mut served_parts = lock(&self.served_parts);
        fingerprint.parts.iter().for_each(|part| served_parts.add(now, *part));
        drop(served_parts);
        lock(&self.served_requests).add(now, request);
    }

    /// Reports that an upstream has crashed under a request, unless the request was served just now: then the
    /// crash has another cause. `crash_of_parts` is the report for the parts of its prompt. Returns whether
    /// the crash was reported.
    pub(crate) fn report_crash(&self, crash: RunReport, crash_of_parts: Option<RunReport>) -> bool {
        let is_explained = match &crash {
            RunReport::Crashed { request, .. } => {
                let mut requests = std::iter::once(request);
                !lock(&self.served_requests).take(self.clock.now(), &mut requests).is_empty()
            }
            _ => false,
        };
        match (is_explained, &crash) {
            (true, RunReport::Crashed { upstream, .. }) => log::info!(
                upstream = upstream.as_str();
                "no crash reported: the request was served by others"
            ),
            _ => self.report(crash),
        }
        crash_of_parts.into_iter().for_each(|report| self.report(report));
        !is_explained
    }

    /// Queues a report.
    fn report(&self, report: RunReport) {
        // An error is impossible: the receiver lives as long as the daemon.
        let _ = self.reports_tx.send(report);
    }

    /// Takes over a watchlist that a member read at a state index, unless the own one is newer.
    /// Parts that this daemon knows as served are reported, and not refused meanwhile.
    fn apply(&self, index: u64, mut watchlist: Watchlist) {
        let mut state = lock(&self.state);
        if index <= state.0 {
            return;
        }
        let mut listed = watchlist.quarantined.union(&watchlist.suspects);
        for part in lock(&self.served_parts).take(self.clock.now(), &mut listed) {
            watchlist.quarantined.remove(&part);
            self.report(RunReport::PartCompleted { part });
        }
        log::info!(
            index = index, quarantined = watchlist.quarantined.len(),
            suspects = watchlist.suspects.len(); "watchlist changed"
        );
        metrics::gauge!("toucansill_requests_quarantined").set(watchlist.quarantined.len() as f64);
        *state = (index, watchlist);
    }

    fn index(&self) -> u64 {
        lock(&self.state).0
    }
}

/// Task that keeps the watchlist of an entry daemon up to date.
struct WatchlistFollower {
    settings: Arc<GatewaySettings>,
    links: Arc<DaemonLinks>,
    view: Arc<View>,
    watchlist: Arc<WatchlistView>,
}

impl WatchlistFollower {
    /// Requests changes from the leader, which has them first, until the task is aborted. After a
    /// failure, and without a leader, it asks the members in turn.
    async fn run(self) {
        let mut turn = usize::from(self.settings.links.port());
        let mut has_failed = false;
        loop {
            let leader = self.view.with(|state| state.leader).filter(|_| !has_failed);
            let target =
                leader.or_else(|| self.view.next_control_daemon(&self.settings, &mut turn));
            let Some(target) = target else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let request = LeaderRequest::FollowWatchlist { index: self.watchlist.index() };
            let timeout = WATCHLIST_WAIT + REPLY_MARGIN;
            let reply = match leader {
                Some(leader) => self.links.request_leader(leader, &request, timeout).await,
                None => self.links.request(target, &request, timeout).await,
            };
            has_failed = !matches!(reply, Ok(LeaderReply::Watchlist { .. }));
            match reply {
                Ok(LeaderReply::Watchlist { index, watchlist: Some(watchlist) }) => {
                    self.watchlist.apply(index, watchlist);
                }
                Ok(LeaderReply::Watchlist { .. }) => {}
                Ok(_) => log::error!("{target}: unexpected reply"),
                // A daemon of an earlier build refuses the request.
                Err(err) => log::debug!("{target}: watchlist not read: {err}"),
            }
            if has_failed {
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Sends reports to the leader, in order, until it has replicated them. Those that come meanwhile
/// are sent together in the next message.
async fn send_reports(
    rx: flume::Receiver<RunReport>,
    view: Arc<View>,
    links: Arc<DaemonLinks>,
    clock: SharedClock,
) {
    let mut reports: VecDeque<RunReport> = VecDeque::new();
    loop {
        if reports.is_empty() {
            let Ok(first) = rx.recv_async().await else { return };
            reports.push_back(first);
        }
        reports.extend(rx.try_iter());
        if reports.len() > MAX_REPORTS {
            let dropped = reports.len() - MAX_REPORTS;
            reports.drain(..dropped);
            log::warn!(count = dropped; "reports of crashes dropped: no leader records them");
        }
        let Some(leader) = view.leader(clock.now(), LEADER_TIMEOUT) else {
            sleep(REPORT_RETRY_PAUSE).await;
            continue;
        };
        let request = LeaderRequest::ReportRuns(reports.iter().cloned().collect());
        match links.request_leader(leader, &request, REPORT_TIMEOUT).await {
            Ok(LeaderReply::RunsRecorded) => reports.clear(),
            reply => {
                let reason = reply.map_or_else(|err| err.to_string(), |_| "not recorded".into());
                log::warn!(
                    count = reports.len(), leader:% = leader;
                    "reports of crashes are sent again: {reason}"
                );
                sleep(REPORT_RETRY_PAUSE).await;
            }
        }
    }
}
