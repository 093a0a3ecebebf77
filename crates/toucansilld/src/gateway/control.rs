//! A daemon of the control group: calls of operators and upstreams, and the leader's work.

use super::{
    bus::{Bus, reply},
    lead::{Answered, FOLLOW_WAIT, Lead, PLACE_WAIT},
    members::{self, members_for},
    messages::{Call, CallAnswer, Follow, Position, Question, Reply},
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
const LEADER_CHECK: Duration = Duration::from_millis(50);
/// Time between two looks at requests that wait, in which engines go on reading.
const WAITING_CHECK: Duration = Duration::from_millis(20);
/// Time between two clean-ups.
const CLEAN_UP: Duration = Duration::from_millis(1_000);
/// Longest wait for the leader's answer to a call that came here. Callers go on to
/// another daemon after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a group that has fewer members than it needs takes changes anyway: no
/// more daemons seem to come.
const FORMATION_PATIENCE: Duration = Duration::from_secs(20);

/// One daemon of the control group.
pub(crate) struct Control {
    settings: Arc<GatewaySettings>,
    control: ControlSettings,
    voter: Arc<Voter>,
    view: Arc<View>,
    clock: SharedClock,
    bus: OnceLock<Arc<Bus>>,
    lead: Mutex<Option<Lead>>,
    led_since: Mutex<Option<Instant>>,
    /// Raised with each change that followers lack.
    changed: watch::Sender<u64>,
    /// Raised when a follower says how far it is.
    heard: watch::Sender<u64>,
    waiting: Notify,
    is_admitting: AtomicBool,
}

/// The right to change the members, given back when dropped.
pub(crate) struct AdmissionTurn<'a>(&'a AtomicBool);

impl Drop for AdmissionTurn<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

impl Control {
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
            bus: OnceLock::new(),
            lead: Mutex::default(),
            led_since: Mutex::default(),
            changed: watch::Sender::new(0),
            heard: watch::Sender::new(0),
            waiting: Notify::new(),
            is_admitting: AtomicBool::new(false),
        })
    }

    /// Sets the links, which need this daemon's answers and so come after it.
    pub(crate) fn set_bus(&self, bus: Arc<Bus>) {
        if self.bus.set(bus).is_err() {
            log::error!("the links were set twice");
        }
    }

    /// The links.
    pub(crate) fn bus(&self) -> &Bus {
        self.bus.get().expect("the links are set before any task runs")
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
    pub(super) fn positions_heard(&self) -> watch::Receiver<u64> {
        self.heard.subscribe()
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
    pub(crate) fn take_admission_turn(&self) -> Option<AdmissionTurn<'_>> {
        let is_taken = self.is_admitting.swap(true, Ordering::AcqRel);
        (!is_taken).then_some(AdmissionTurn(&self.is_admitting))
    }

    /// Follows the consensus: takes up and lays down the leader's work.
    pub(crate) async fn watch_leadership(self: Arc<Self>) {
        let mut cleaned = self.clock.now();
        loop {
            sleep(LEADER_CHECK).await;
            let status = self.voter.status();
            let led = lock(&self.lead).as_ref().map(Lead::term);
            match (status.is_leader(), led) {
                (true, Some(term)) if term == status.term => self.follow_state(),
                (true, _) => self.take_lead().await,
                (false, Some(term)) => {
                    log::warn!(term = term; "this daemon leads no more");
                    lock(&self.lead).take();
                    lock(&self.led_since).take();
                    self.changed.send_modify(|n| *n += 1);
                }
                (false, None) => {}
            }
            let now = self.clock.now();
            if now.saturating_duration_since(cleaned) >= CLEAN_UP {
                cleaned = now;
                let load = self.with_lead(|lead| {
                    lead.clean_up(now);
                    lead.load()
                });
                let (waiting, running) = load.unwrap_or_default();
                self.measure_group(&status);
                metrics::gauge!("toucansill_streams_waiting").set(waiting as f64);
                metrics::gauge!("toucansill_streams_running").set(running as f64);
            }
        }
    }

    /// Members, and those of them that the leader hears; 0 on other daemons.
    fn measure_group(&self, status: &Status) {
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
    pub(crate) async fn watch_waiting(self: Arc<Self>) {
        loop {
            self.waiting.notified().await;
            while self.with_lead(|lead| lead.has_waiting()).unwrap_or(false) {
                sleep(WAITING_CHECK).await;
                let now = self.clock.now();
                send(self.with_lead(|lead| lead.poll(now)).unwrap_or_default());
            }
        }
    }

    /// Answers a question of another daemon. It does not wait.
    pub(crate) fn answer(self: &Arc<Self>, question: Question, responder: Responder) {
        match question {
            Question::Follow(follow) => self.answer_follow(follow, responder),
            Question::Place(ask) => {
                let now = self.clock.now();
                let mut lead = lock(&self.lead);
                match lead.as_mut() {
                    Some(lead) => send(lead.place(now, ask, responder)),
                    None => reply(responder, &self.not_leader()),
                }
                drop(lead);
                self.waiting.notify_one();
            }
            Question::Progress(progress) => {
                let now = self.clock.now();
                let answered = self.with_lead(|lead| lead.progress(now, progress));
                let noted = if answered.is_some() { Reply::Noted } else { self.not_leader() };
                send(answered.unwrap_or_default());
                reply(responder, &noted);
            }
            Question::Call(call) => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    let answer = control.call_as_leader(call).await;
                    reply(responder, &answer.map_or_else(|| control.not_leader(), Reply::Called));
                });
            }
            Question::Admit { id, address } => {
                let control = Arc::clone(self);
                tokio::spawn(async move {
                    reply(responder, &control.admit(id, address).await);
                });
            }
        }
    }

    pub(crate) fn not_leader(&self) -> Reply {
        let status = self.voter.status();
        let leader = status.leader.filter(|leader| *leader != status.id);
        Reply::NotLeader { leader: leader.and_then(|id| self.voter.address_of(id)) }
    }

    /// Answers a call of an operator or an upstream that came to this daemon.
    pub(crate) async fn call(self: &Arc<Self>, call: Call) -> CallAnswer {
        if let Some(answer) = self.call_as_leader(call.clone()).await {
            return answer;
        }
        let Reply::NotLeader { leader: Some(leader) } = self.not_leader() else {
            return CallAnswer::new(503, "no leader is known");
        };
        let Ok(address) = leader.parse() else {
            return CallAnswer::new(503, "the leader's address is not known");
        };
        match self.bus().ask(address, &Question::Call(call), FORWARD_TIMEOUT).await {
            Ok(Reply::Called(answer)) => answer,
            Ok(_) => CallAnswer::new(503, "the leader has changed"),
            Err(err) => CallAnswer::new(503, &format!("the leader did not answer: {err}")),
        }
    }

    /// Whether the group has all members that it needs to keep what it acknowledges.
    pub(super) fn is_formed(&self) -> bool {
        let needed = members_for(self.control.tolerated_losses);
        let now = self.clock.now();
        let patience_is_over = lock(&self.led_since)
            .is_some_and(|since| now.saturating_duration_since(since) >= FORMATION_PATIENCE);
        self.voter.status().membership.voters.len() >= needed || patience_is_over
    }

    fn answer_follow(self: &Arc<Self>, follow: Follow, responder: Responder) {
        let now = self.clock.now();
        let has = follow.position;
        let heard = self.with_lead(|lead| {
            lead.hear(now, &follow);
            lead.position()
        });
        let Some(position) = heard else { return reply(responder, &self.not_leader()) };
        // Whoever waits until all follow learns that one more does.
        self.heard.send_modify(|n| *n += 1);
        if has != position {
            return self.tell(has, responder);
        }
        let control = Arc::clone(self);
        tokio::spawn(async move {
            let mut changed = control.changed.subscribe();
            let news = async {
                while control.with_lead(|lead| lead.position()) == Some(has) {
                    if changed.changed().await.is_err() {
                        return;
                    }
                }
            };
            // Without news the follower still learns that the leader is there.
            let _ = timeout(FOLLOW_WAIT, news).await;
            control.tell(has, responder);
        });
    }

    fn tell(&self, has: Position, responder: Responder) {
        let now = self.clock.now();
        let status = self.voter.status();
        let members = status.membership.nodes();
        let controls: Vec<String> = members.filter_map(|id| self.voter.address_of(id)).collect();
        match self.with_lead(|lead| lead.change_for(now, has, &controls)) {
            Some(change) => reply(responder, &Reply::View(Box::new(change))),
            None => reply(responder, &self.not_leader()),
        }
    }

    async fn take_lead(&self) {
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
            silence_timeout: bounds.silence(),
        };
        let mut directory = self.view.with(|state| state.directory.clone());
        directory.mark_all_heard(self.clock.now());
        log::info!(term = term, revision = directory.revision(); "this daemon leads");
        *lock(&self.lead) = Some(Lead::new(term, cfg, directory));
        *lock(&self.led_since) = Some(self.clock.now());
        self.follow_state();
    }

    /// Takes the replicated state over into the leader's work.
    pub(super) fn follow_state(&self) {
        let is_news = self.voter.peek(|state| self.with_lead(|lead| lead.follow_state(state)));
        if is_news.unwrap_or(false) {
            self.tell_followers();
        }
    }

    pub(super) fn tell_followers(&self) {
        self.changed.send_modify(|n| *n += 1);
        let now = self.clock.now();
        send(self.with_lead(|lead| lead.poll(now)).unwrap_or_default());
    }

    pub(super) fn with_lead<T>(&self, f: impl FnOnce(&mut Lead) -> T) -> Option<T> {
        lock(&self.lead).as_mut().map(f)
    }
}

fn send(answered: Vec<Answered>) {
    for (responder, decision) in answered {
        reply(responder, &Reply::Placed(decision));
    }
}

/// Status of an answer to a call.
pub(crate) fn status_of(answer: &CallAnswer) -> StatusCode {
    StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

const _: () = assert!(PLACE_WAIT.as_millis() < FOLLOW_WAIT.as_millis());
