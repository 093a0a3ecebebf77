//! Keeps a daemon's [`View`] up to date by following the leader of the control group.

use super::{
    bus::DaemonLinks,
    entry::LeaderPlacedRequests,
    lead::FOLLOW_WAIT,
    limits::KnownLimits,
    messages::{FollowRequest, LeaderReply, LeaderRequest, ViewChange},
    settings::GatewaySettings,
    view::View,
};
use kernel::SharedClock;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time beyond [`FOLLOW_WAIT`] after which a reply of the leader is overdue: a few scheduling
/// delays of a busy VM.
const REPLY_MARGIN: Duration = Duration::from_millis(350);
/// Timeout for the reply to a follow request, which a leader may hold.
const FOLLOW_TIMEOUT: Duration =
    Duration::from_millis((FOLLOW_WAIT.as_millis() + REPLY_MARGIN.as_millis()) as u64);
/// Shortest interval between requests for the replicated state.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the replicated state of a member that does not lead.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a new leader's confirmation of the known limits.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a new leader's reply to an offer of upstreams.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest random pause before upstreams are offered to a new leader: most daemons then find that
/// others have done so.
const MAX_OFFER_PAUSE: Duration = Duration::from_millis(150);
/// Time since a view was confirmed within which its upstreams are offered: as long as a group takes to
/// come back from the loss of all its members, and short beside the life of an upstream.
const MAX_OFFERED_AGE: Duration = Duration::from_secs(10);
/// Pause before the next daemon is tried, while no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Time without a reply after which the next daemon is asked as well, while no leader is known. Daemons that are up
/// reply sooner, so that only those that are gone or frozen cost further requests.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Reply to a follow request, or why there is none.
type FollowReply = wire::Result<LeaderReply>;

/// Requests of a search for the leader that have no reply yet.
#[derive(Default)]
struct Search {
    requests: JoinSet<(SocketAddr, FollowReply)>,
    asked: BTreeSet<SocketAddr>,
}

/// Terms in which this daemon has waited for others to offer upstreams to the leader, and has offered
/// them itself.
#[derive(Default)]
struct Offers {
    waited_in: u64,
    offered_in: u64,
}

/// Task that follows the leader.
pub(crate) struct Follower {
    pub(crate) settings: Arc<GatewaySettings>,
    pub(crate) links: Arc<DaemonLinks>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: SharedClock,
    pub(crate) leader_placed: Arc<LeaderPlacedRequests>,
    pub(crate) limits: Arc<KnownLimits>,
}

impl Follower {
    /// Requests changes from the leader, one request at a time, until the task is aborted.
    ///
    /// Without a known leader, it tries the daemons of the control group in turn, and doesn't wait for those
    /// that are silent. Each daemon replies with changes if it leads, or names the leader if it knows one.
    pub(crate) async fn run(self) {
        let mut turn = usize::from(self.settings.links.port());
        let mut named_leader: Option<SocketAddr> = None;
        let mut known_term = 0;
        let mut last_read: Option<Instant> = None;
        let mut offers = Offers::default();
        let mut search = Search::default();
        loop {
            if let Some(heard) = self.view.with(|state| state.leader_heard) {
                let age = self.clock.now().saturating_duration_since(heard);
                metrics::gauge!("toucansill_view_age_seconds").set(age.as_secs_f64());
            }
            let target = named_leader.take().or_else(|| self.view.with(|state| state.leader));
            let replied = match target {
                Some(target) => {
                    // Replies to earlier requests would be of former positions of the view.
                    search = Search::default();
                    Some((target, self.request_change(target, known_term).await))
                }
                None => self.next_found(&mut search, &mut turn, known_term).await,
            };
            let Some((target, reply)) = replied else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match reply {
                Ok(LeaderReply::View(change)) => {
                    if self.offer_missing(target, &change, &mut offers).await {
                        // The next view of this leader may have them.
                        named_leader = Some(target);
                        continue;
                    }
                    if change.position.term != known_term {
                        self.report_limits(target).await;
                    }
                    let now = self.clock.now();
                    known_term = change.position.term;
                    self.view.with(|state| {
                        if state.leader != Some(target) {
                            log::info!(leader:% = target, term = known_term; "leader followed");
                        }
                        state.leader = Some(target);
                        state.apply(now, *change);
                    });
                }
                Ok(LeaderReply::NotLeader { leader }) => {
                    self.leader_lost(target, "leads no more");
                    let now = self.clock.now();
                    if last_read.is_none_or(|at| now.saturating_duration_since(at) >= READ_INTERVAL)
                    {
                        last_read = Some(now);
                        self.read_replicated(target);
                    }
                    named_leader =
                        leader.and_then(|leader| leader.parse().ok()).filter(|l| *l != target);
                    if named_leader.is_none() {
                        sleep(RETRY_PAUSE).await;
                    }
                }
                Ok(_) => log::error!("{target}: unexpected reply"),
                Err(err) => {
                    self.leader_lost(target, &err.to_string());
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Next reply of a daemon of the control group. Asks a further daemon now, and another one each
    /// [`SEARCH_INTERVAL`] until a reply comes, so that the time that this takes hardly depends on how many are gone or
    /// frozen. `None` if no daemon is known.
    async fn next_found(
        &self,
        search: &mut Search,
        turn: &mut usize,
        known_term: u64,
    ) -> Option<(SocketAddr, FollowReply)> {
        loop {
            if search.requests.is_empty() {
                search.asked.clear();
            }
            let target = self.view.next_control_daemon(&self.settings, turn)?;
            if search.asked.insert(target) {
                let links = Arc::clone(&self.links);
                let follow = self.follow_request(known_term);
                search.requests.spawn(async move {
                    (target, links.request(target, &follow, FOLLOW_TIMEOUT).await)
                });
            }
            match timeout(SEARCH_INTERVAL, search.requests.join_next()).await {
                Ok(Some(Ok((target, reply)))) => {
                    search.asked.remove(&target);
                    return Some((target, reply));
                }
                Ok(Some(Err(err))) => log::error!("a daemon was not asked for the leader: {err}"),
                Ok(None) | Err(_) => {}
            }
        }
    }

    /// Requests what has changed since the view's position. The leader holds the request for
    /// up to [`FOLLOW_WAIT`] if nothing has.
    async fn request_change(&self, target: SocketAddr, known_term: u64) -> FollowReply {
        let follow = self.follow_request(known_term);
        self.links.request_leader(target, &follow, FOLLOW_TIMEOUT).await
    }

    /// Request for what has changed since the view's position. While no leader is followed, the last change
    /// is requested once more, so that a leader replies at once.
    fn follow_request(&self, known_term: u64) -> LeaderRequest {
        let (position, has_leader) =
            self.view.with(|state| (state.position, state.leader.is_some()));
        // A new leader does not know the requests that its predecessors placed. They are
        // reported to it once the view is of its term.
        let running = match position.term == known_term {
            true => self.leader_placed.mark_reported(known_term),
            false => Vec::new(),
        };
        LeaderRequest::Follow(FollowRequest {
            daemon: self.settings.daemon.clone(),
            is_entry: self.settings.entry.is_some(),
            position: if has_leader { position } else { position.before_last_change() },
            running,
        })
    }

    /// If a new leader's directory lacks upstreams that this daemon knows, as it has just started, waits
    /// until others have offered them, and offers them itself if they haven't. Returns whether the view
    /// has to be requested again. Until then, the view of the former leader stays in use.
    async fn offer_missing(
        &self,
        leader: SocketAddr,
        change: &ViewChange,
        offers: &mut Offers,
    ) -> bool {
        let term = change.position.term;
        if !change.is_whole || offers.offered_in == term {
            return false;
        }
        let now = self.clock.now();
        let missing = self.view.with(|state| match state.age(now).age <= MAX_OFFERED_AGE {
            true => state.directory.missing_in(&change.entries),
            false => Vec::new(),
        });
        if missing.is_empty() {
            return false;
        }
        if offers.waited_in != term {
            offers.waited_in = term;
            sleep(MAX_OFFER_PAUSE.mul_f64(fastrand::f64())).await;
            return true;
        }
        offers.offered_in = term;
        let count = missing.len();
        let request = LeaderRequest::OfferUpstreams(missing);
        match self.links.request_leader(leader, &request, OFFER_TIMEOUT).await {
            Ok(LeaderReply::UpstreamsOffered) => {
                log::info!(leader:% = leader, count; "upstreams offered to a new leader");
            }
            Ok(_) => log::debug!("{leader}: upstreams not offered: it leads no more"),
            // A daemon of an earlier build refuses the request.
            Err(err) => log::warn!(leader:% = leader, count; "upstreams not offered: {err}"),
        }
        true
    }

    /// Reports all known limits of upstreams to a new leader, before it gets placement requests of
    /// this daemon.
    async fn report_limits(&self, leader: SocketAddr) {
        let limits = self.limits.all();
        if limits.is_empty() {
            return;
        }
        let count = limits.len();
        let request = LeaderRequest::ReportLimits(limits);
        match self.links.request_leader(leader, &request, REPORT_TIMEOUT).await {
            Ok(LeaderReply::LimitsRecorded) => {
                log::info!(count = count, leader:% = leader; "limits reported to a new leader");
            }
            Ok(_) => log::warn!(leader:% = leader; "limits not reported: it leads no more"),
            Err(err) => log::warn!(leader:% = leader; "limits not reported: {err}"),
        }
    }

    /// Requests what is replicated from a member that does not lead, on a task of its own: the
    /// search for the leader goes on meanwhile.
    fn read_replicated(&self, target: SocketAddr) {
        let (links, view, clock) =
            (Arc::clone(&self.links), Arc::clone(&self.view), Arc::clone(&self.clock));
        let routing = view.with(|state| state.position.routing);
        let request = LeaderRequest::ReadReplicated { routing };
        tokio::spawn(async move {
            match links.request(target, &request, READ_TIMEOUT).await {
                Ok(LeaderReply::Replicated(replicated)) => view.with(|state| {
                    // A leader that was found meanwhile knows more.
                    if state.leader.is_none() {
                        state.apply_replicated(clock.now(), replicated);
                    }
                }),
                Ok(_) => log::error!("{target}: unexpected reply"),
                // A daemon of an earlier build refuses the request.
                Err(err) => log::debug!("{target}: replicated state not read: {err}"),
            }
        });
    }

    /// Stops following `target`, unless the view has another leader by now.
    fn leader_lost(&self, target: SocketAddr, reason: &str) {
        self.view.with(|state| {
            if state.leader == Some(target) {
                log::warn!(leader:% = target; "leader lost: {reason}");
                state.leader = None;
            }
        });
    }
}
