//! Control part of a daemon: a member of the control group that serves HTTP control requests and
//! does the leader's work while it leads.

use super::{
    bus::{DaemonLinks, reply, reply_encoded},
    calls::{read_registration, registered},
    group_report::{self, Contact},
    lead::{FOLLOW_WAIT, LeaderState, PlacementReply},
    members::{self, least_voters_for},
    messages::{
        ControlHttpRequest, ControlHttpResponse, FollowRequest, LeaderReply, LeaderRequest,
        RefreshedUpstream, ReplicatedState,
    },
    observer::Observer,
    own_vote::OwnVote,
    pending_votes::PendingVotes,
    quarantine::{ReadWatchlist, ReceivedReports},
    raft_relay::RelayTable,
    refreshes::Refreshes,
    request_relay::PassedRequests,
    servers,
    settings::{Bounds, ControlSettings, GatewaySettings},
    unanswered::RefusedCalls,
    view::View,
    votes::VoteNotes,
};
use crate::{control_messages::RaftEnvelope, sync::lock, voter::Voter};
use follow::{HeldRequest, HeldRequests, ViewPosition};
use grant::{Directory, DispatcherConfig, MAX_QUEUED_REPLY_TIME};
use group::{NodeId, Status, joining::Presence};
use http::StatusCode;
use kernel::SharedClock;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, watch},
    task::{JoinSet, spawn_blocking},
    time::{sleep, timeout},
};
use wire::{LinkFailure, Responder, Verdict};

/// Interval at which the Raft role is checked: a fraction of the time that an election takes, so
/// that a new leader starts work soon after it.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Age of the view of a new leader above which it asks the other members for theirs.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(2_500);
/// Timeout for the copy of another member.
const READ_DIRECTORY_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which it is checked whether all followers have caught up, while anybody waits for it.
const POSITION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which lost daemons and old departures are purged and the gauges are set.
const CLEAN_UP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout for forwarding an HTTP control request to the leader. Operators and upstreams try
/// another daemon after 1 s.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which a call waits for a leader: a usual election, and less than the second after
/// which callers try another daemon.
const LEADER_WAIT: Duration = Duration::from_millis(700);
/// Time without a leader after which calls are refused at once, as the others of the group may have one
/// that this daemon doesn't reach.
const CUT_OFF_TIME: Duration = Duration::from_secs(2);
/// Time for which the caller of an order that has no version must stay connected before the order counts:
/// more than a round trip. If a partition held up the order, the end of its connection follows by then.
const CALLER_CHECK_TIME: Duration = Duration::from_millis(150);
/// Time after its arrival within which such an order is passed to the leader, or not at all. It is less than
/// the second after which callers try another daemon.
const ORDER_TIME: Duration = Duration::from_millis(900);
/// Interval at which a call that waits looks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a new leader refuses changes while its group has fewer members than it needs.
/// Then it accepts them anyway, as no more daemons seem to be coming.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without a leader after which a member logs what it knows of the others, and interval at which it does
/// so again.
const LEADERLESS_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which the leader checks whether a quarantine has ended.
const QUARANTINE_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Control part of this daemon.
pub(crate) struct ControlMember {
    settings: Arc<GatewaySettings>,
    control: ControlSettings,
    voter: Arc<Voter>,
    view: Arc<View>,
    clock: SharedClock,
    links: OnceLock<Arc<DaemonLinks>>,
    /// State of this daemon's leadership; `None` while it does not lead.
    leader: Mutex<Option<LeaderState>>,
    /// When the leadership began.
    leading_since: Mutex<Option<Instant>>,
    /// When a call first found no leader; `None` if the last one found one.
    leaderless_since: Mutex<Option<Instant>>,
    /// Follow requests that are held open.
    held: Mutex<HeldRequests<Responder>>,
    /// Notified when a reply to a held follow request has become due sooner.
    reply_due: Notify,
    /// Counts times at which more followers may have caught up, to wake those who wait for it.
    position_reports: watch::Sender<u64>,
    /// Notified when a placement request may be waiting.
    placement_waiting: Notify,
    /// Held while the members of the group are changed.
    membership_change: tokio::sync::Mutex<()>,
    /// What the last probes of voters that don't answer have shown, and when. Locked during probes.
    probed: tokio::sync::Mutex<BTreeMap<NodeId, (Instant, Presence)>>,
    /// Daemons that pass requests to join on; the receiver is this daemon.
    join_relays: Mutex<RelayTable>,
    /// Requests that this daemon passes on.
    passed_requests: PassedRequests,
    /// When this daemon, as the leader, last told a member that it may stop and stays one.
    last_kept: Mutex<Option<Instant>>,
    pub(super) watchlist: watch::Sender<ReadWatchlist>,
    reports_tx: flume::Sender<ReceivedReports>,
    refreshes: Arc<Refreshes>,
    member: NodeId,
    /// Former member at this address that others still send Raft messages to.
    former_member: Mutex<Option<NodeId>>,
    /// What lines about missing votes need.
    pub(super) vote_notes: Mutex<VoteNotes>,
    /// Calls that got no answer, by the reason.
    pub(super) unanswered: RefusedCalls,
    /// Calls whose request could not be read, by the reason.
    pub(super) unread: RefusedCalls,
    /// Calls that were refused as invalid, by the reason.
    pub(super) invalid: RefusedCalls,
}

impl ControlMember {
    /// Creates the control part, and the task that replicates reports of crashes.
    pub(crate) fn new(
        settings: Arc<GatewaySettings>,
        control: ControlSettings,
        voter: Arc<Voter>,
        view: Arc<View>,
        clock: SharedClock,
    ) -> (Arc<Self>, impl Future<Output = ()> + Send) {
        let (reports_tx, reports) = flume::unbounded();
        let refreshes = Refreshes::new(Arc::clone(&view), Arc::clone(&clock));
        let member = voter.status().id;
        let control_part = Arc::new(Self {
            settings,
            control,
            voter,
            view,
            clock,
            links: OnceLock::new(),
            leader: Mutex::default(),
            leading_since: Mutex::default(),
            leaderless_since: Mutex::default(),
            held: Mutex::new(HeldRequests::new(FOLLOW_WAIT)),
            reply_due: Notify::new(),
            position_reports: watch::Sender::new(0),
            placement_waiting: Notify::new(),
            membership_change: tokio::sync::Mutex::default(),
            probed: tokio::sync::Mutex::default(),
            join_relays: Mutex::default(),
            passed_requests: PassedRequests::default(),
            last_kept: Mutex::default(),
            watchlist: watch::Sender::new(ReadWatchlist::default()),
            reports_tx,
            refreshes,
            member,
            former_member: Mutex::default(),
            vote_notes: Mutex::default(),
            unanswered: RefusedCalls::default(),
            unread: RefusedCalls::default(),
            invalid: RefusedCalls::default(),
        });
        (Arc::clone(&control_part), control_part.record_reports(reports))
    }

    /// Sets the links. They are created after this value, as they call it to handle requests.
    pub(crate) fn set_links(&self, links: Arc<DaemonLinks>) {
        if self.links.set(links).is_err() {
            log::error!("the links were set twice");
        }
    }

    /// Tells the leader of the registrations that this daemon has answered, until the task is aborted.
    pub(crate) async fn send_refreshes(self: Arc<Self>) {
        let links = self.shared_links();
        Arc::clone(&self.refreshes).send(links).await;
    }

    /// Links to the other daemons.
    pub(crate) fn links(&self) -> &DaemonLinks {
        self.links.get().expect("the links are set before any task runs")
    }

    /// As [`links`](Self::links), for a task of its own.
    pub(super) fn shared_links(&self) -> Arc<DaemonLinks> {
        Arc::clone(self.links.get().expect("the links are set before any task runs"))
    }

    /// Raft voter of this daemon.
    pub(crate) fn voter(&self) -> &Arc<Voter> {
        &self.voter
    }

    /// This daemon's view of its region.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Current time.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Channel that changes whenever more followers may have caught up.
    pub(super) fn watch_positions(&self) -> watch::Receiver<u64> {
        let positions = self.position_reports.subscribe();
        // The task that sends to it may be waiting for longer than while somebody listens.
        self.reply_due.notify_one();
        positions
    }

    /// Bounds of the deployment.
    pub(super) fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// Settings of the control part.
    pub(crate) fn settings(&self) -> &ControlSettings {
        &self.control
    }

    /// Link addresses of the other daemons of the control group, as far as they are known.
    pub(super) fn other_control_daemons(&self) -> Vec<SocketAddr> {
        let own = self.links().address();
        let known = self.view.control_daemons(&self.settings).into_iter();
        known.filter(|address| *address != own).collect()
    }

    /// Returns the exclusive right to change the members, unless it is taken.
    pub(crate) fn try_start_membership_change(&self) -> Option<tokio::sync::MutexGuard<'_, ()>> {
        self.membership_change.try_lock().ok()
    }

    /// What the last probes of voters that don't answer have shown, and when.
    pub(super) fn probed(&self) -> &tokio::sync::Mutex<BTreeMap<NodeId, (Instant, Presence)>> {
        &self.probed
    }

    /// Daemons that pass requests to join on.
    pub(super) fn join_relays(&self) -> &Mutex<RelayTable> {
        &self.join_relays
    }

    /// Requests that this daemon passes on.
    pub(super) fn passed_requests(&self) -> &PassedRequests {
        &self.passed_requests
    }

    /// Records that a member was told that it may stop and stays one.
    pub(super) fn member_kept(&self) {
        *lock(&self.last_kept) = Some(self.now());
    }

    /// Whether a member was told so within `time`.
    pub(super) fn has_just_kept_member(&self, time: Duration) -> bool {
        lock(&self.last_kept).is_some_and(|at| self.now().saturating_duration_since(at) < time)
    }

    /// Watches the Raft role: starts and ends the leader's work, and cleans up periodically.
    pub(crate) async fn watch_leadership(self: Arc<Self>) {
        let mut last_clean_up = self.clock.now();
        let mut last_quarantine_check = last_clean_up;
        let mut leaderless_report_due = last_clean_up + LEADERLESS_REPORT_INTERVAL;
        // A daemon that started anew within the process may have led before.
        let status = self.voter.status();
        self.record_group_metrics(&status);
        let mut observer = Observer::new(&status, last_clean_up);
        let mut pending_votes = PendingVotes::new(&status, last_clean_up);
        let mut own_vote = OwnVote::new(&status, last_clean_up);
        loop {
            let slept_at = self.clock.now();
            sleep(LEADERSHIP_CHECK_INTERVAL).await;
            servers::log_refused_calls(&self);
            self.read_watchlist();
            let status = self.voter.status();
            let now = self.clock.now();
            let pauses =
                [observer.pause(&status, slept_at, now), observer.voter_pause(&status, now)];
            pauses.iter().flatten().for_each(|text| log::warn!("{text}"));
            self.report_members(&mut observer, &status);
            self.report_votes(&mut pending_votes, &mut own_vote, &status);
            observer.observe(&status, now);
            if status.leader.is_some() {
                leaderless_report_due = self.clock.now() + LEADERLESS_REPORT_INTERVAL;
            } else if self.clock.now() >= leaderless_report_due {
                leaderless_report_due = self.clock.now() + LEADERLESS_REPORT_INTERVAL;
                self.report_leaderless(&status);
                let silence = |id| lock(&self.vote_notes).silence(now, id);
                let address_of = |id| self.voter.address_of(id);
                let lost_disks = observer.lost_disks(&status, now, silence, address_of);
                if let Some(text) = observer.leaderless(now) {
                    let delayed_ms = observer.delayed().as_millis() as u64;
                    log::warn!(member = status.id, delayed_ms = delayed_ms; "{text}");
                }
                if let Some(text) = lost_disks {
                    log::warn!(member = status.id; "{text}");
                }
            }
            let leading_term = lock(&self.leader).as_ref().map(LeaderState::term);
            match (status.is_leader(), leading_term) {
                (true, Some(term)) if term == status.term => self.apply_state(),
                (true, _) => self.start_leading().await,
                (false, Some(term)) => {
                    let delayed_ms = observer.delayed().as_millis() as u64;
                    log::warn!(term = term, delayed_ms = delayed_ms; "this daemon leads no more");
                    lock(&self.leader).take();
                    lock(&self.leading_since).take();
                    let held = lock(&self.held).take_all();
                    held.into_iter().for_each(|r| reply(r.responder, &self.not_leader()));
                }
                (false, None) => {}
            }
            let now = self.clock.now();
            if now.saturating_duration_since(last_clean_up) >= CLEAN_UP_INTERVAL {
                last_clean_up = now;
                let load = self.with_leader(|leader| {
                    leader.clean_up(now);
                    leader.load(now)
                });
                let load = load.unwrap_or_default();
                self.record_group_metrics(&status);
                load.record();
            }
            let has_quarantine = !self.watchlist.borrow().watchlist.quarantined.is_empty();
            if has_quarantine
                && now.saturating_duration_since(last_quarantine_check) >= QUARANTINE_CHECK_INTERVAL
            {
                last_quarantine_check = now;
                let voter = Arc::clone(&self.voter);
                if let Err(err) = spawn_blocking(move || voter.check_leases()).await {
                    log::error!("quarantines not checked: {err}");
                }
            }
        }
    }

    /// Logs what tells the reasons apart for which a group has no leader: which members vote, which of them
    /// this one knows the addresses of and reaches, and which have answered its last request for votes.
    fn report_leaderless(&self, status: &Status) {
        let address_of = |id| self.voter.address_of(id);
        let now = self.clock.now();
        let members: Vec<String> = status
            .membership
            .nodes()
            .map(|id| {
                let address = address_of(id);
                let address = address.as_deref().unwrap_or("unknown address");
                let vote = match status.votes.get(&id) {
                    _ if !status.membership.is_voter(id) => "no voter",
                    Some(true) => "for",
                    Some(false) => "against",
                    None => "none",
                };
                let failure = self.last_failure(id).map(|failure| {
                    let ago = now.saturating_duration_since(failure.at).as_millis();
                    format!(" {:?} {ago} ms ago", failure.kind)
                });
                format!("{id} {address} {vote}{}", failure.unwrap_or_default())
            })
            .collect();
        let contact = |id| self.contact(id);
        log::warn!(
            member = status.id, role:? = status.role, term = status.term, commit = status.commit,
            last = status.last_index, joint = status.membership.is_joint(), members:? = members,
            lost_disk = status.lost_disk;
            "{}", group_report::no_leader(status, *lock(&self.former_member), address_of, contact)
        );
    }

    /// Which votes this member lacks to be elected; `None` while it knows a leader.
    pub(super) fn missing_votes(&self) -> Option<String> {
        let status = self.voter.status();
        let address_of = |id| self.voter.address_of(id);
        let has_none = status.leader.is_none();
        has_none.then(|| group_report::missing_votes(&status, address_of, |id| self.contact(id)))
    }

    /// What is known of the way to another member.
    pub(super) fn contact(&self, id: NodeId) -> Contact {
        match (self.voter.address_of(id), self.last_failure(id)) {
            (None, _) => Contact::Unknown,
            (Some(_), Some(failure)) => Contact::Unreachable(failure.kind),
            (Some(_), None) => Contact::Linked,
        }
    }

    /// Logs a change of the members since the last call.
    fn report_members(&self, observer: &mut Observer, status: &Status) {
        let address_of = |id| self.voter.address_of(id);
        let now = self.clock.now();
        let Some(text) = observer.members_changed(status, now, address_of) else { return };
        let voters = status.membership.voters.iter();
        let voters: Vec<String> =
            voters.map(|id| format!("{id} {}", address_of(*id).unwrap_or_default())).collect();
        log::info!(
            member = status.id, index = status.membership_index, voters:? = voters; "{text}"
        );
    }

    /// Handles a Raft message of another member. One that addresses a former member at this address, whose disk
    /// was lost, tells that the group still counts that one.
    pub(super) fn step(&self, envelope: RaftEnvelope) {
        let to = envelope.message.to;
        if to != self.member {
            *lock(&self.former_member) = Some(to);
        }
        self.note_vote(|notes, now| notes.heard(now, envelope.message.from));
        self.voter.step(envelope);
    }

    /// The last failure to connect to another member, if it hasn't been reached since.
    fn last_failure(&self, id: NodeId) -> Option<LinkFailure> {
        let address = self.voter.address_of(id)?.parse().ok()?;
        self.links().last_failure(address)
    }

    /// Sets the gauges of the group's members and of those that the leader hears, itself included.
    /// Both are 0 on daemons that don't lead.
    fn record_group_metrics(&self, status: &Status) {
        let voters = &status.membership.voters;
        // A member that has acknowledged no entry yet has not been heard in this term.
        let has_acknowledged = |id| status.matched.get(id).is_some_and(|matched| *matched > 0);
        let others = status.silent_ticks.iter().filter(|(id, ticks)| {
            voters.contains(*id) && **ticks < members::UNHEARD_TICKS && has_acknowledged(*id)
        });
        let leader_factor = f64::from(u8::from(status.is_leader()));
        let heard = others.count() + 1;
        metrics::gauge!("toucansill_group_members").set(leader_factor * voters.len() as f64);
        metrics::gauge!("toucansill_group_members_heard").set(leader_factor * heard as f64);
    }

    /// Polls the dispatcher while placement requests are waiting.
    pub(crate) async fn poll_waiting_requests(self: Arc<Self>) {
        loop {
            let due = self.with_leader(|leader| leader.next_poll()).flatten();
            let Some(due) = due else {
                self.placement_waiting.notified().await;
                continue;
            };
            let started = self.clock.now();
            if let Some(remaining) = due.checked_duration_since(started).filter(|r| !r.is_zero()) {
                // A poll may become due sooner, or no request may be waiting any more.
                let _ = timeout(remaining, self.placement_waiting.notified()).await;
                continue;
            }
            let replies = self.with_leader(|leader| leader.poll(started));
            send_placements(replies.unwrap_or_default());
            let ended = self.clock.now();
            self.with_leader(|leader| leader.polled(started, ended));
            let taken = ended.saturating_duration_since(started);
            metrics::histogram!("toucansill_queue_poll_seconds").record(taken.as_secs_f64());
        }
    }

    /// Wakes the task that polls waiting requests, if a change has made a poll due sooner.
    fn wake_poll(&self, is_sooner: bool) {
        if is_sooner {
            self.placement_waiting.notify_one();
        }
    }

    /// Handles a request of another daemon, without blocking.
    pub(crate) fn handle(self: &Arc<Self>, request: LeaderRequest, responder: Responder) {
        match request {
            LeaderRequest::Follow(follow) => self.handle_follow(follow, responder),
            LeaderRequest::Place(request) => {
                let now = self.clock.now();
                let mut leader = lock(&self.leader);
                match leader.as_mut() {
                    Some(leader) => {
                        send_placements(leader.request_placement(now, request, responder))
                    }
                    None => reply(responder, &self.not_leader()),
                }
                drop(leader);
                self.placement_waiting.notify_one();
            }
            LeaderRequest::Progress(progress) => {
                let now = self.clock.now();
                let is_sooner = self.with_leader(|leader| leader.apply_progress(now, progress));
                let recorded = is_sooner.map(|_| LeaderReply::ProgressRecorded);
                self.wake_poll(is_sooner.unwrap_or(false));
                reply(responder, &recorded.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::Control(request) => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    let response = control.handle_as_leader(request).await;
                    reply(
                        responder,
                        &response.map_or_else(|| control.not_leader(), LeaderReply::Control),
                    );
                });
            }
            LeaderRequest::RequestTicket { valid_for } => {
                let now = self.clock.now();
                let ticket = self.with_leader(|leader| leader.orders.issue(now, valid_for));
                let ticket = ticket.map(LeaderReply::Ticket);
                reply(responder, &ticket.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::Order { ticket, request } => {
                let now = self.clock.now();
                match self.with_leader(|leader| leader.orders.redeem(now, ticket)) {
                    Some(true) => self.handle(LeaderRequest::Control(request), responder),
                    Some(false) => {
                        log::warn!(
                            method = request.method.as_str(), path = request.path.as_str();
                            "order came late and is not carried out"
                        );
                        reply(responder, &LeaderReply::TicketExpired);
                    }
                    None => reply(responder, &self.not_leader()),
                }
            }
            LeaderRequest::ReadReplicated { routing } => {
                reply(responder, &LeaderReply::Replicated(self.replicated_state(routing)));
            }
            LeaderRequest::ReportRuns(reports) => {
                if self.with_leader(|_| ()).is_none() {
                    return reply(responder, &self.not_leader());
                }
                // An error is impossible: the receiver lives as long as the daemon.
                let _ = self.reports_tx.send((reports, responder));
            }
            LeaderRequest::FollowWatchlist { index } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.await_watchlist(index).await);
                });
            }
            LeaderRequest::ReportLimits(reports) => {
                let now = self.clock.now();
                let is_sooner = self.with_leader(|leader| leader.report_limits(now, &reports));
                let recorded = is_sooner.map(|_| LeaderReply::LimitsRecorded);
                self.wake_poll(is_sooner.unwrap_or(false));
                reply(responder, &recorded.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::ReserveRequest(known) => {
                let now = self.clock.now();
                let wait = self.with_leader(|leader| leader.reserve_request(now, &known));
                let reserved = wait.map(|wait| LeaderReply::RequestReserved { wait });
                reply(responder, &reserved.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::ReportLeaving { upstream, started_at_ms } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    let is_recorded = control.record_leaving(upstream, started_at_ms).await;
                    let recorded = is_recorded.then_some(LeaderReply::LeavingRecorded);
                    reply(responder, &recorded.unwrap_or_else(|| control.not_leader()));
                });
            }
            LeaderRequest::AnnounceRelay(announced) => {
                let now = self.clock.now();
                let announce = |leader: &mut LeaderState| {
                    announced.relay().map(|relay| leader.announce_relay(now, relay))
                };
                let relays = self.with_leader(announce).map(|relays| {
                    let relays = relays.unwrap_or_default();
                    LeaderReply::Relays(relays.into_iter().map(Into::into).collect())
                });
                reply(responder, &relays.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::RefreshUpstreams(refreshed) => {
                let now = self.clock.now();
                let unknown = self.with_leader(|leader| {
                    let is_unknown = |r: &RefreshedUpstream| {
                        !leader.directory.refresh(now, &r.upstream, r.started_at_ms, r.sequence)
                    };
                    let unknown = refreshed.into_iter().filter(is_unknown);
                    unknown.map(|refreshed| refreshed.upstream).collect()
                });
                let refreshed = unknown.map(|unknown| LeaderReply::UpstreamsRefreshed { unknown });
                reply(responder, &refreshed.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::OfferUpstreams(offered) => {
                let now = self.clock.now();
                let added = self.with_leader(|leader| leader.add_offered(now, offered));
                if let Some(added) = added.filter(|added| *added > 0) {
                    log::info!(count = added; "upstreams offered by a daemon");
                    self.notify_followers();
                }
                let offered = added.map(|_| LeaderReply::UpstreamsOffered);
                reply(responder, &offered.unwrap_or_else(|| self.not_leader()));
            }
            LeaderRequest::ReadDirectory => {
                let copy = self.view.with(|state| LeaderReply::Directory {
                    position: state.position,
                    entries: state.directory.entries().cloned().collect(),
                    entry_daemons: state.entry_daemons,
                });
                reply(responder, &copy);
            }
            LeaderRequest::Join { id, address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.admit(id, address).await);
                });
            }
            LeaderRequest::Leave { id, address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.release(id, &address).await);
                });
            }
            LeaderRequest::Identify => {
                reply(responder, &LeaderReply::Identified { id: self.member });
            }
            LeaderRequest::RelayRaft { address, envelope } => {
                reply(responder, &self.relay_raft(&address, &envelope));
            }
            LeaderRequest::PassIdentify { address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.pass_identify(&address).await);
                });
            }
            LeaderRequest::PassJoin { id, address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.pass_join(id, address).await);
                });
            }
            LeaderRequest::PassRequest { address, timeout, request } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.pass_request(&address, timeout, request).await);
                });
            }
            // Answered before, by daemons without a control part as well.
            LeaderRequest::Probe { .. } => reply(responder, &self.not_leader()),
        }
    }

    /// Replicated state as this member has applied it, for a daemon with this routing version.
    fn replicated_state(&self, routing: u64) -> ReplicatedState {
        self.voter.peek(|state| ReplicatedState {
            routing: state
                .routing()
                .filter(|published| published.version > routing)
                .map(|published| published.document.clone()),
            out_of_service: state.out_of_service().clone(),
            departures: state.departures().clone(),
        })
    }

    /// Reply of a daemon that does not lead.
    pub(crate) fn not_leader(&self) -> LeaderReply {
        let status = self.voter.status();
        let leader = status.leader.filter(|leader| *leader != status.id);
        LeaderReply::NotLeader { leader: leader.and_then(|id| self.voter.address_of(id)) }
    }

    /// Handles an HTTP control request that this daemon received: itself if it leads, otherwise by
    /// forwarding it to the leader. While there is none, the request waits for [`LEADER_WAIT`] at most.
    ///
    /// The future is dropped when the caller disconnects. An order without a version is held back until that
    /// would be known.
    pub(crate) async fn handle_control(
        self: &Arc<Self>,
        request: ControlHttpRequest,
    ) -> ControlHttpResponse {
        let received_at = self.now();
        let order_until = request.is_unordered().then_some(received_at + ORDER_TIME);
        if order_until.is_some() {
            sleep(CALLER_CHECK_TIME).await;
        }
        let give_up_at = received_at + LEADER_WAIT;
        loop {
            let reason = match self.handle_by_leader(&request, order_until).await {
                Ok(response) => {
                    *lock(&self.leaderless_since) = None;
                    return response;
                }
                Err(reason) => reason,
            };
            let now = self.now();
            let since = *lock(&self.leaderless_since).get_or_insert(now);
            let is_cut_off = now.saturating_duration_since(since) >= CUT_OFF_TIME;
            if is_cut_off || now >= give_up_at {
                return ControlHttpResponse::new(503, &reason);
            }
            sleep(LEADER_CHECK_INTERVAL).await;
        }
    }

    /// Has the leader, which may be this daemon, handle a request. Registrations that say nothing new need
    /// not be forwarded. An order without a version counts until `order_until`. An error is the reason why no
    /// leader has got the request.
    async fn handle_by_leader(
        self: &Arc<Self>,
        request: &ControlHttpRequest,
        order_until: Option<Instant>,
    ) -> Result<ControlHttpResponse, String> {
        if order_until.is_some_and(|until| self.now() >= until) {
            return Err(String::from("the order came late"));
        }
        if let Some(response) = self.handle_as_leader(request.clone()).await {
            return Ok(response);
        }
        if let Some(registration) = read_registration(request)
            && self.refreshes.take_over(&registration)
        {
            return Ok(registered());
        }
        let address = self.leader_address()?;
        let request = match order_until {
            Some(until) => self.with_ticket(address, request.clone(), until).await?,
            None => LeaderRequest::Control(request.clone()),
        };
        match self.links().request_leader(address, &request, FORWARD_TIMEOUT).await {
            Ok(LeaderReply::Control(response)) => Ok(response),
            Ok(_) => Err(String::from("the leader has changed")),
            Err(err) => {
                let reason = format!("the leader did not answer: {err}");
                match err.verdict() {
                    Verdict::NotRun => Err(reason),
                    Verdict::Ran | Verdict::MayHaveRun => {
                        Ok(ControlHttpResponse::new(503, &reason))
                    }
                }
            }
        }
    }

    /// Link address of the leader, if it is another daemon. An error is the reason why there is none.
    fn leader_address(&self) -> Result<SocketAddr, String> {
        let status = self.voter.status();
        let Some(leader) = status.leader else {
            // A daemon that has yet to join, or whose voter waits for its disk, may follow one.
            let followed = self.known_leader().filter(|leader| *leader != self.links().address());
            return followed.ok_or_else(|| String::from("no leader is known"));
        };
        if leader == status.id {
            return Err(String::from("this daemon leads, and is not confirmed yet"));
        }
        let address = self.voter.address_of(leader).and_then(|address| address.parse().ok());
        address.ok_or_else(|| String::from("the leader's address is not known"))
    }

    /// Gets a ticket for an order from the leader, and returns the request that forwards the order. An error
    /// is the reason why there is none.
    async fn with_ticket(
        &self,
        leader: SocketAddr,
        order: ControlHttpRequest,
        until: Instant,
    ) -> Result<LeaderRequest, String> {
        let valid_for = until.saturating_duration_since(self.now());
        let request = LeaderRequest::RequestTicket { valid_for };
        match self.links().request_leader(leader, &request, valid_for).await {
            Ok(LeaderReply::Ticket(ticket)) => Ok(LeaderRequest::Order { ticket, request: order }),
            Ok(_) => Err(String::from("the leader has changed")),
            // A daemon of an earlier build doesn't know tickets.
            Err(err) if err.is_refused() => Ok(LeaderRequest::Control(order)),
            Err(err) => Err(format!("the leader did not answer: {err}")),
        }
    }

    /// Whether the group has the voters that it needs to keep acknowledged changes when the
    /// tolerated number of disks is lost, or this daemon has led without them for
    /// [`FORMATION_TIMEOUT`]. One voter may be set aside.
    pub(super) fn is_formed(&self) -> bool {
        let needed = least_voters_for(self.control.tolerated_losses);
        let now = self.clock.now();
        let has_timed_out = lock(&self.leading_since)
            .is_some_and(|since| now.saturating_duration_since(since) >= FORMATION_TIMEOUT);
        self.voter.status().membership.voters.len() >= needed || has_timed_out
    }

    /// Records a follower and holds its request until the next round of replies if it lacks anything,
    /// otherwise until there is a change, or for [`FOLLOW_WAIT`].
    fn handle_follow(&self, follow: FollowRequest, responder: Responder) {
        let now = self.clock.now();
        let position_held = follow.position;
        let recorded = self.with_leader(|leader| {
            let is_poll_sooner = leader.record_follower(now, &follow);
            (leader.position(), is_poll_sooner)
        });
        let Some((position, is_poll_sooner)) = recorded else {
            return reply(responder, &self.not_leader());
        };
        self.wake_poll(is_poll_sooner);
        let is_sooner = {
            let mut held = lock(&self.held);
            let is_first = held.hold(now, position_held, responder);
            let is_changed = position_held != position && held.changed(now);
            is_first || is_changed
        };
        if is_sooner {
            self.reply_due.notify_one();
        }
    }

    /// Replies to held follow requests when they are due, and wakes those who wait until all followers
    /// have caught up, every [`POSITION_CHECK_INTERVAL`] at most.
    pub(crate) async fn serve_followers(self: Arc<Self>) {
        loop {
            let due = lock(&self.held).next_due();
            let now = self.clock.now();
            let mut remaining = due.map_or(FOLLOW_WAIT, |due| due.saturating_duration_since(now));
            if self.position_reports.receiver_count() > 0 {
                remaining = remaining.min(POSITION_CHECK_INTERVAL);
            }
            // If it is notified, a reply is due sooner than it was.
            let _ = timeout(remaining, self.reply_due.notified()).await;
            let now = self.clock.now();
            if let Some(position) = self.with_leader(|leader| leader.position()) {
                let due = lock(&self.held).take_due(now, position);
                let due = due
                    .into_iter()
                    .map(|HeldRequest { position, responder, .. }| (position, responder));
                self.send_changes(due.collect());
            }
            if self.position_reports.receiver_count() > 0 {
                self.position_reports.send_modify(|n| *n += 1);
            }
        }
    }

    /// Replies to follow requests with the changes since the positions of the views. What several
    /// followers lack is encoded once.
    fn send_changes(&self, requests: Vec<(ViewPosition, Responder)>) {
        if requests.is_empty() {
            return;
        }
        let now = self.clock.now();
        let status = self.voter.status();
        let members = status.membership.nodes();
        let control_addresses: Vec<String> =
            members.filter_map(|id| self.voter.address_of(id)).collect();
        let mut encoded: HashMap<_, wire::Result<Vec<u8>>> = HashMap::new();
        for (position_held, responder) in requests {
            let key = self.with_leader(|leader| leader.change_key(position_held));
            let buf = encoded.entry(key).or_insert_with(|| {
                let change = self.with_leader(|leader| {
                    leader.change_for(now, position_held, &control_addresses)
                });
                wire::encode(&match change {
                    Some(change) => LeaderReply::View(Box::new(change)),
                    None => self.not_leader(),
                })
            });
            match buf {
                Ok(buf) => reply_encoded(responder, buf.clone()),
                Err(err) => log::error!("view not encoded: {err}"),
            }
        }
    }

    /// The directory that this daemon has followed, or, if it has followed no leader lately, the newest
    /// one among those of the other members; with its position and the number of entry daemons.
    async fn newest_directory(&self) -> (ViewPosition, Directory, u32) {
        let now = self.clock.now();
        let (mut newest, age) = self.view.with(|state| {
            let own = (state.position, state.directory.clone(), state.entry_daemons);
            (own, state.age(now).age)
        });
        if age <= MAX_DIRECTORY_AGE {
            return newest;
        }
        let status = self.voter.status();
        let others = status.membership.nodes().filter(|id| *id != status.id);
        let addresses = others.filter_map(|id| self.voter.address_of(id)?.parse().ok());
        let mut reads = JoinSet::new();
        for address in addresses {
            let links = self.shared_links();
            reads.spawn(async move {
                let request = LeaderRequest::ReadDirectory;
                links.request(address, &request, READ_DIRECTORY_TIMEOUT).await
            });
        }
        for read in reads.join_all().await {
            let Ok(LeaderReply::Directory { position, entries, entry_daemons }) = read else {
                // A member that is down, or of an earlier build.
                continue;
            };
            if (position.term, position.directory) > (newest.0.term, newest.0.directory) {
                let mut directory = Directory::new();
                directory.adopt_entries(now, true, position.directory, entries);
                newest = (position, directory, entry_daemons);
            }
        }
        newest
    }

    /// Starts the leader's work once a majority has confirmed this daemon's leadership. The
    /// directory starts as the one that this daemon or another member has followed. All upstreams
    /// count as heard now, as a follower does not hear them itself.
    async fn start_leading(&self) {
        let voter = Arc::clone(&self.voter);
        let confirmed = spawn_blocking(move || voter.read(control::State::applied)).await;
        if !matches!(confirmed, Ok(Ok(_))) {
            return log::warn!("not yet confirmed as the leader");
        }
        let term = self.voter.status().term;
        let bounds = &self.settings.bounds;
        let cfg = DispatcherConfig {
            retry_ratio: bounds.retry_ratio,
            retry_slack: bounds.retry_slack,
            silence_timeout: bounds.silence_timeout(),
            learns_pace: bounds.learn_pace,
        };
        let (base, mut directory, entry_daemons) = self.newest_directory().await;
        let now = self.clock.now();
        directory.mark_all_heard(now);
        log::info!(term = term, revision = directory.revision(); "this daemon leads");
        let mut leader = LeaderState::new(now, term, cfg, (base, directory), entry_daemons);
        if bounds.recovery_time().is_some() {
            leader.await_upstreams(now, bounds.registration_interval());
        }
        // The copy may lack departures that the former leader acknowledged.
        self.voter.peek(|state| leader.apply_state(now, state));
        self.read_watchlist();
        leader.set_quarantined(&self.watchlist.borrow().watchlist);
        *lock(&self.leader) = Some(leader);
        *lock(&self.leading_since) = Some(now);
        self.notify_followers();
    }

    /// Applies the replicated state to the leader's, and notifies followers of a change.
    pub(super) fn apply_state(&self) {
        let now = self.clock.now();
        let is_changed =
            self.voter.peek(|state| self.with_leader(|leader| leader.apply_state(now, state)));
        if is_changed.unwrap_or(false) {
            self.notify_followers();
        }
    }

    /// Has the followers told of a change, and waiting requests reconsidered.
    pub(super) fn notify_followers(&self) {
        let now = self.clock.now();
        if lock(&self.held).changed(now) {
            self.reply_due.notify_one();
        }
        let is_sooner = self.with_leader(|leader| leader.directory_changed(now));
        self.wake_poll(is_sooner.unwrap_or(false));
    }

    /// Calls `f` with the leader's state; `None` if this daemon does not lead.
    pub(super) fn with_leader<T>(&self, f: impl FnOnce(&mut LeaderState) -> T) -> Option<T> {
        lock(&self.leader).as_mut().map(f)
    }
}

/// Sends replies to placement requests.
fn send_placements(replies: Vec<PlacementReply>) {
    for (responder, decision) in replies {
        reply(responder, &LeaderReply::Placement(decision));
    }
}

/// Status of a response to an HTTP control request; 500 if its number is invalid.
pub(crate) fn status_of(response: &ControlHttpResponse) -> StatusCode {
    StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

const _: () = assert!(MAX_QUEUED_REPLY_TIME.as_millis() < FOLLOW_WAIT.as_millis());
