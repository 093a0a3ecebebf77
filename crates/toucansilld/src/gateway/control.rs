//! A daemon of the control group: calls of operators and upstreams, and the leader's work.

use super::{
    bus::{DaemonLinks, reply},
    lead::{FOLLOW_WAIT, LeaderState, PLACE_WAIT, PlacementReply},
    members::{self, members_for},
    messages::{
        ControlHttpRequest, ControlHttpResponse, FollowRequest, LeaderReply, LeaderRequest,
        ViewPosition,
    },
    settings::{Bounds, ControlSettings, GatewaySettings},
    view::View,
};
use crate::{sync::lock, voter::Voter};
use grant::DispatcherConfig;
use group::Status;
use http::StatusCode;
use kernel::SharedClock;
use std::{
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, watch},
    task::spawn_blocking,
    time::{sleep, timeout},
};
use wire::Responder;

/// Time between two looks at the consensus: a new leader is noticed in a part of the time
/// that its election took.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at requests that wait, in which engines go on reading.
const WAITING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two clean-ups.
const CLEAN_UP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for the leader's answer to a call that came here. Callers go on to
/// another daemon after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a group that has fewer members than it needs takes changes anyway: no
/// more daemons seem to come.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// One daemon of the control group.
pub(crate) struct ControlMember {
    settings: Arc<GatewaySettings>,
    control: ControlSettings,
    voter: Arc<Voter>,
    view: Arc<View>,
    clock: SharedClock,
    links: OnceLock<Arc<DaemonLinks>>,
    leader: Mutex<Option<LeaderState>>,
    leading_since: Mutex<Option<Instant>>,
    /// Raised with each change that followers lack.
    view_changes: watch::Sender<u64>,
    /// Raised when a follower says how far it is.
    position_reports: watch::Sender<u64>,
    placement_waiting: Notify,
    is_changing_membership: AtomicBool,
}

/// The right to change the members, given back when dropped.
pub(crate) struct MembershipChangeGuard<'a>(&'a AtomicBool);

impl Drop for MembershipChangeGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

impl ControlMember {
    pub(crate) fn new(
        settings: Arc<GatewaySettings>,
        control: ControlSettings,
        voter: Arc<Voter>,
        view: Arc<View>,
        clock: SharedClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            control,
            voter,
            view,
            clock,
            links: OnceLock::new(),
            leader: Mutex::default(),
            leading_since: Mutex::default(),
            view_changes: watch::Sender::new(0),
            position_reports: watch::Sender::new(0),
            placement_waiting: Notify::new(),
            is_changing_membership: AtomicBool::new(false),
        })
    }

    /// Sets the links, which need this daemon's answers and so come after it.
    pub(crate) fn set_links(&self, links: Arc<DaemonLinks>) {
        if self.links.set(links).is_err() {
            log::error!("the links were set twice");
        }
    }

    /// The links.
    pub(crate) fn links(&self) -> &DaemonLinks {
        self.links.get().expect("the links are set before any task runs")
    }

    /// The voter of this daemon.
    pub(crate) fn voter(&self) -> &Arc<Voter> {
        &self.voter
    }

    /// What this daemon knows of its region.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// The time.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Changes when a follower says how far it is.
    pub(super) fn watch_positions(&self) -> watch::Receiver<u64> {
        self.position_reports.subscribe()
    }

    /// Bounds of the deployment.
    pub(super) fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// The settings of this part.
    pub(crate) fn settings(&self) -> &ControlSettings {
        &self.control
    }

    /// The right to change the members, if nobody has it.
    pub(crate) fn try_start_membership_change(&self) -> Option<MembershipChangeGuard<'_>> {
        let is_taken = self.is_changing_membership.swap(true, Ordering::AcqRel);
        (!is_taken).then_some(MembershipChangeGuard(&self.is_changing_membership))
    }

    /// Follows the consensus: takes up and lays down the leader's work.
    pub(crate) async fn watch_leadership(self: Arc<Self>) {
        let mut last_clean_up = self.clock.now();
        loop {
            sleep(LEADERSHIP_CHECK_INTERVAL).await;
            let status = self.voter.status();
            let leading_term = lock(&self.leader).as_ref().map(LeaderState::term);
            match (status.is_leader(), leading_term) {
                (true, Some(term)) if term == status.term => self.apply_state(),
                (true, _) => self.start_leading().await,
                (false, Some(term)) => {
                    log::warn!(term = term; "this daemon leads no more");
                    lock(&self.leader).take();
                    lock(&self.leading_since).take();
                    self.view_changes.send_modify(|n| *n += 1);
                }
                (false, None) => {}
            }
            let now = self.clock.now();
            if now.saturating_duration_since(last_clean_up) >= CLEAN_UP_INTERVAL {
                last_clean_up = now;
                let load = self.with_leader(|leader| {
                    leader.clean_up(now);
                    leader.load()
                });
                let (waiting, running) = load.unwrap_or_default();
                self.record_group_metrics(&status);
                metrics::gauge!("toucansill_streams_waiting").set(waiting as f64);
                metrics::gauge!("toucansill_streams_running").set(running as f64);
            }
        }
    }

    /// Members, and those of them that the leader hears; 0 on other daemons.
    fn record_group_metrics(&self, status: &Status) {
        let voters = &status.membership.voters;
        // One that has acknowledged nothing yet was not heard in this term.
        let has_answered = |id| status.matched.get(id).is_some_and(|matched| *matched > 0);
        let others = status.silent_ticks.iter().filter(|(id, ticks)| {
            voters.contains(*id) && **ticks < members::UNHEARD_TICKS && has_answered(*id)
        });
        let leads = f64::from(u8::from(status.is_leader()));
        let heard = others.count() + 1;
        metrics::gauge!("toucansill_group_members").set(leads * voters.len() as f64);
        metrics::gauge!("toucansill_group_members_heard").set(leads * heard as f64);
    }

    /// Answers requests that wait, as engines go on.
    pub(crate) async fn poll_waiting_requests(self: Arc<Self>) {
        loop {
            self.placement_waiting.notified().await;
            while self.with_leader(|leader| leader.has_waiting()).unwrap_or(false) {
                sleep(WAITING_POLL_INTERVAL).await;
                let now = self.clock.now();
                send_placements(self.with_leader(|leader| leader.poll(now)).unwrap_or_default());
            }
        }
    }

    /// Answers a question of another daemon. It does not wait.
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
                let replies = self.with_leader(|leader| leader.apply_progress(now, progress));
                let outcome_reply = if replies.is_some() {
                    LeaderReply::ProgressRecorded
                } else {
                    self.not_leader()
                };
                send_placements(replies.unwrap_or_default());
                reply(responder, &outcome_reply);
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
            LeaderRequest::Join { id, address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.admit(id, address).await);
                });
            }
        }
    }

    pub(crate) fn not_leader(&self) -> LeaderReply {
        let status = self.voter.status();
        let leader = status.leader.filter(|leader| *leader != status.id);
        LeaderReply::NotLeader { leader: leader.and_then(|id| self.voter.address_of(id)) }
    }

    /// Answers a call of an operator or an upstream that came to this daemon.
    pub(crate) async fn handle_control(
        self: &Arc<Self>,
        request: ControlHttpRequest,
    ) -> ControlHttpResponse {
        if let Some(response) = self.handle_as_leader(request.clone()).await {
            return response;
        }
        let LeaderReply::NotLeader { leader: Some(leader) } = self.not_leader() else {
            return ControlHttpResponse::new(503, "no leader is known");
        };
        let Ok(address) = leader.parse() else {
            return ControlHttpResponse::new(503, "the leader's address is not known");
        };
        match self.links().request(address, &LeaderRequest::Control(request), FORWARD_TIMEOUT).await
        {
            Ok(LeaderReply::Control(response)) => response,
            Ok(_) => ControlHttpResponse::new(503, "the leader has changed"),
            Err(err) => ControlHttpResponse::new(503, &format!("the leader did not answer: {err}")),
        }
    }

    /// Whether the group has all members that it needs to keep what it acknowledges.
    pub(super) fn is_formed(&self) -> bool {
        let needed = members_for(self.control.tolerated_losses);
        let now = self.clock.now();
        let has_timed_out = lock(&self.leading_since)
            .is_some_and(|since| now.saturating_duration_since(since) >= FORMATION_TIMEOUT);
        self.voter.status().membership.voters.len() >= needed || has_timed_out
    }

    fn handle_follow(self: &Arc<Self>, follow: FollowRequest, responder: Responder) {
        let now = self.clock.now();
        let position_held = follow.position;
        let leader_position = self.with_leader(|leader| {
            leader.record_follower(now, &follow);
            leader.position()
        });
        let Some(position) = leader_position else { return reply(responder, &self.not_leader()) };
        // Whoever waits until all follow learns that one more does.
        self.position_reports.send_modify(|n| *n += 1);
        if position_held != position {
            return self.send_change(position_held, responder);
        }
        let control = Arc::clone(self);
        tokio::spawn(async move {
            let mut view_changes = control.view_changes.subscribe();
            let changed = async {
                while control.with_leader(|leader| leader.position()) == Some(position_held) {
                    if view_changes.changed().await.is_err() {
                        return;
                    }
                }
            };
            // Without news the follower still learns that the leader is there.
            let _ = timeout(FOLLOW_WAIT, changed).await;
            control.send_change(position_held, responder);
        });
    }

    fn send_change(&self, position_held: ViewPosition, responder: Responder) {
        let now = self.clock.now();
        let status = self.voter.status();
        let members = status.membership.nodes();
        let control_addresses: Vec<String> =
            members.filter_map(|id| self.voter.address_of(id)).collect();
        match self.with_leader(|leader| leader.change_for(now, position_held, &control_addresses)) {
            Some(change) => reply(responder, &LeaderReply::View(Box::new(change))),
            None => reply(responder, &self.not_leader()),
        }
    }

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
        };
        let mut directory = self.view.with(|state| state.directory.clone());
        directory.mark_all_heard(self.clock.now());
        log::info!(term = term, revision = directory.revision(); "this daemon leads");
        *lock(&self.leader) = Some(LeaderState::new(term, cfg, directory));
        *lock(&self.leading_since) = Some(self.clock.now());
        self.apply_state();
    }

    /// Takes the replicated state over into the leader's work.
    pub(super) fn apply_state(&self) {
        let is_changed =
            self.voter.peek(|state| self.with_leader(|leader| leader.apply_state(state)));
        if is_changed.unwrap_or(false) {
            self.notify_followers();
        }
    }

    pub(super) fn notify_followers(&self) {
        self.view_changes.send_modify(|n| *n += 1);
        let now = self.clock.now();
        send_placements(self.with_leader(|leader| leader.poll(now)).unwrap_or_default());
    }

    pub(super) fn with_leader<T>(&self, f: impl FnOnce(&mut LeaderState) -> T) -> Option<T> {
        lock(&self.leader).as_mut().map(f)
    }
}

fn send_placements(replies: Vec<PlacementReply>) {
    for (responder, decision) in replies {
        reply(responder, &LeaderReply::Placement(decision));
    }
}

/// Status of an answer to a call.
pub(crate) fn status_of(response: &ControlHttpResponse) -> StatusCode {
    StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

const _: () = assert!(PLACE_WAIT.as_millis() < FOLLOW_WAIT.as_millis());
