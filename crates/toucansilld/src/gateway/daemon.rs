//! One run of a gateway daemon: its parts, and how they stop.

use super::{
    bus::{DaemonLinks, RaftHandler, RequestHandler},
    control::ControlMember,
    entry::{CallerHandler, LeaderPlacedRequests},
    follow::Follower,
    group_report,
    identity::{self, Identity},
    limits::KnownLimits,
    members::TICK,
    messages::{LeaderReply, LeaderRequest},
    paths::Paths,
    placer::{Placer, PlacerParts},
    raft_relay::RaftRelays,
    relay_announcer::RelayAnnouncer,
    relay_server::RelayHandler,
    servers::{
        CallerServer, serve_control, serve_entry, serve_metrics, serve_readiness, serve_relay,
    },
    settings::{ControlSettings, GatewaySettings},
    view::View,
    watchlist::WatchlistView,
};
use crate::{
    error::{Error, Result},
    sync::run_both,
    tasks::Tasks,
    voter::Voter,
};
use grant::StartWait;
use group::OutgoingMessage;
use kernel::{SharedClock, SystemClock};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use proxy::{BodyBudget, ConnectionCount, Connector};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, OnceLock, Weak},
    time::{Duration, Instant},
};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::spawn_blocking,
    time::sleep,
};

/// Bucket bounds of the latency histograms, in seconds: the latency targets of the users' routes
/// and steps between them.
const LATENCY_BUCKETS_S: [f64; 11] = [0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 3.0, 6.0, 10.0, 15.0];
/// Maximum number of Raft messages waiting to be sent. Further ones are dropped; Raft resends
/// them.
const RAFT_OUTBOX_CAPACITY: usize = 4_096;
/// Time after the stop signal for which the load balancer may still send connections here: it
/// checks readiness once a second and needs two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Time after the stop signal at which the listening socket is closed. A request that came later
/// could not be finished; as connections are refused instead, callers go to another daemon at
/// once.
const CLOSE_DELAY: Duration = Duration::from_millis(2_900);
/// Time before the process would be killed at which it exits by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a stopping daemon checks whether requests are still running.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of one run of a daemon once it has ended.
#[derive(Default)]
pub(super) struct Run {
    /// Whether all parts of the daemon ran.
    pub(super) has_started: bool,
    /// The voter of its control part, once it was started.
    pub(super) voter: Option<Arc<Voter>>,
}

/// Starts the parts of a daemon, and stops them when a signal says so or a task ends that it can't do without.
pub(super) async fn run_daemon(
    path: &Path,
    settings: Arc<GatewaySettings>,
    connector: Connector,
    signals: Signals,
    run: &mut Run,
) -> Result<StopCause> {
    let clock: SharedClock = Arc::new(SystemClock);
    let metrics = install_metrics()?;
    let view = View::new();
    let leader_placed = LeaderPlacedRequests::new();
    let limits: Arc<KnownLimits> = Arc::default();
    let (is_stopping_tx, is_stopping) = watch::channel(false);
    let (is_stopping_soon_tx, is_stopping_soon) = watch::channel(false);
    let (ends_at_tx, ends_at) = watch::channel(None);

    let mut tasks = Tasks::default();
    let identity = settings.control.as_ref().map(|cfg| identity::find(&settings, cfg));
    let slot = Arc::new(ControlSlot::new(identity.transpose()?));
    let known_members = {
        let (view, settings) = (Arc::clone(&view), Arc::clone(&settings));
        Box::new(move || view.control_daemons(&settings))
    };
    // The others learn which id is here, also while a slow disk holds up the voter.
    let links = DaemonLinks::start(
        &settings,
        connector.clone(),
        known_members,
        Arc::clone(&clock),
        request_handler(Arc::clone(&slot), connector.clone(), settings.links),
        settings.control.as_ref().map(|_| raft_handler(Arc::clone(&slot))),
    )
    .await?;
    let mut raft_out = None;
    let control = match (&settings.control, slot.identity) {
        (Some(cfg), Some(identity)) => {
            let (outbox, outgoing) = flume::bounded(RAFT_OUTBOX_CAPACITY);
            raft_out = Some(outgoing);
            let voter = open_voter(&settings, cfg, identity, &clock, outbox).await?;
            run.voter = Some(Arc::clone(&voter));
            let found = voter.status();
            log::info!(
                member = found.id, last = found.last_index, term = found.term;
                "{}", group_report::found_on_disk(&found)
            );
            voter.known_addresses().iter().for_each(|address| view.add_control_daemon(address));
            let (view, clock) = (Arc::clone(&view), Arc::clone(&clock));
            let (control, report_recorder) =
                ControlMember::new(Arc::clone(&settings), cfg.clone(), voter, view, clock);
            tasks.spawn("reports", report_recorder);
            Some(control)
        }
        _ => None,
    };
    if let (Some(control), Some(outgoing)) = (&control, raft_out) {
        control.set_links(Arc::clone(&links));
        slot.fill(control);
        tasks.spawn("Raft messages", send_raft(Arc::clone(control), outgoing));
        tasks.spawn("leadership", Arc::clone(control).watch_leadership());
        tasks.spawn("lost disks", Arc::clone(control).find_lost_disks());
        tasks.spawn("placements", Arc::clone(control).poll_waiting_requests());
        tasks.spawn("followers", Arc::clone(control).serve_followers());
        tasks.spawn("refreshes", Arc::clone(control).send_refreshes());
    }
    let follower = Follower {
        settings: Arc::clone(&settings),
        links: Arc::clone(&links),
        view: Arc::clone(&view),
        clock: Arc::clone(&clock),
        leader_placed: Arc::clone(&leader_placed),
        limits: Arc::clone(&limits),
    };
    tasks.spawn("view", follower.run());
    serve_metrics(&settings, metrics, is_stopping.clone())?;

    let mut callers = None;
    let mut relayed = None;
    if let Some(cfg) = &settings.entry {
        let start_wait = StartWait::new(clock.now(), settings.bounds.recovery_time());
        let watchlist = WatchlistView::start(&settings, &view, &links, &clock);
        let paths = Paths::new(connector, Arc::clone(&clock), settings.data_centre.clone());
        tasks.spawn("paths", Arc::clone(&paths).check(Arc::clone(&view)));
        let parts = PlacerParts {
            view: Arc::clone(&view),
            links: Arc::clone(&links),
            clock: Arc::clone(&clock),
            leader_placed,
            watchlist,
            limits,
            paths: Arc::clone(&paths),
            start_wait,
        };
        let (placer, reporter) = Placer::new(&settings, parts);
        tasks.spawn("progress", reporter);
        let body_budget = Arc::new(BodyBudget::new(cfg.body_bytes()));
        let entry = Arc::new(CallerHandler {
            view: Arc::clone(&view),
            placer: Arc::clone(&placer),
            clock: Arc::clone(&clock),
            is_stopping_soon: is_stopping_soon.clone(),
            ends_at: ends_at.clone(),
            body_budget: Arc::clone(&body_budget),
            response_budget: Arc::new(BodyBudget::new(cfg.response_bytes())),
            start_wait,
        });
        callers = Some(serve_entry(cfg, entry, is_stopping.clone())?);
        if let Some(address) = cfg.relay {
            let announcer = RelayAnnouncer {
                settings: Arc::clone(&settings),
                address,
                links: Arc::clone(&links),
                view: Arc::clone(&view),
                paths: Arc::clone(&paths),
                clock: Arc::clone(&clock),
            };
            let relay = RelayHandler {
                placer,
                paths,
                clock: Arc::clone(&clock),
                body_budget,
                is_stopping: is_stopping.clone(),
            };
            relayed = Some(serve_relay(address, relay, is_stopping.clone())?);
            tasks.spawn("relay", announcer.run());
        }
        serve_readiness(cfg, Arc::clone(&view), is_stopping.clone())?;
    }
    let mut membership_task = None;
    if let (Some(cfg), Some(control)) = (&settings.control, &control) {
        serve_control(cfg, Arc::clone(control), is_stopping.clone())?;
        let membership = Arc::clone(control).maintain_membership();
        membership_task = Some(tasks.spawn("membership", membership));
    }

    run.has_started = true;
    let cause = await_stop(path, &settings, &mut tasks, signals).await;
    let stopping = Instant::now();
    log::info!("stopping");
    // An error means that no task is left that would have to be told.
    let _ = is_stopping_tx.send(true);
    if let Some(task) = membership_task {
        task.abort();
    }
    let limit = settings.bounds.stop_time();
    let stop_control = async {
        if let (Some(control), StopCause::Signal) = (&control, &cause) {
            stop_voter(control, stopping + limit.saturating_sub(STOP_MARGIN)).await;
        }
    };
    let drain_callers = async {
        if let Some(callers) = callers {
            let relayed = relayed.unwrap_or_default();
            let news = StopNews { is_stopping_soon: is_stopping_soon_tx, ends_at: ends_at_tx };
            drain(callers, relayed, stopping, limit, &news).await;
        }
    };
    tokio::join!(stop_control, drain_callers);
    Ok(cause)
}

/// Passes on the leadership, leaves the group if a successor has joined, and stops the voter. A voter
/// that leaves is needed until then, so the process ends only after that, or at `deadline`.
async fn stop_voter(control: &Arc<ControlMember>, deadline: Instant) {
    let voter = Arc::clone(control.voter());
    if let Err(err) = spawn_blocking(move || voter.step_down()).await {
        log::error!("leadership was not transferred: {err}");
    }
    if control.leave(deadline).await {
        return control.discard_member("it has left the group");
    }
    let voter = Arc::clone(control.voter());
    if let Err(err) = spawn_blocking(move || voter.stop()).await {
        log::error!("the voter did not stop: {err}");
    }
}

/// Why a daemon stops.
pub(super) enum StopCause {
    Signal,
    /// A task ended that it can't do without. This names it.
    Task(String),
}

/// Signals that the running daemon awaits.
pub(super) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Starts to listen. Signals that come before they are awaited are kept.
    pub(super) fn listen() -> Result<Self> {
        let fault = |err| Error::start("signals", err);
        Ok(Self {
            term: signal(SignalKind::terminate()).map_err(fault)?,
            int: signal(SignalKind::interrupt()).map_err(fault)?,
            hup: signal(SignalKind::hangup()).map_err(fault)?,
        })
    }
}

/// Waits for a stop signal, or until one of the daemon's tasks ends. That of its membership ends when its id in the
/// control group can't be used any more, or its voter has failed. SIGHUP reads the settings again.
async fn await_stop(
    path: &Path,
    settings: &GatewaySettings,
    tasks: &mut Tasks,
    Signals { mut term, mut int, mut hup }: Signals,
) -> StopCause {
    loop {
        tokio::select! {
            _ = term.recv() => return StopCause::Signal,
            _ = int.recv() => return StopCause::Signal,
            end = tasks.first_end() => return StopCause::Task(end),
            _ = hup.recv() => reload(path, settings),
        }
    }
}

/// Reads the settings again, to report faults in them now. They take effect at the next start:
/// addresses and bounds are fixed until then, and seeds are needed only there, as a running
/// daemon knows the members of the control group.
fn reload(path: &Path, settings: &GatewaySettings) {
    match GatewaySettings::load(path) {
        Ok(read) => log::info!(
            seeds:? = read.seeds, former:? = settings.seeds; "settings read again"
        ),
        Err(err) => log::error!("settings not read again; the former ones stay in use: {err}"),
    }
}

/// What requests are told of a stop.
struct StopNews {
    /// See [`CallerHandler::is_stopping_soon`].
    is_stopping_soon: watch::Sender<bool>,
    /// See [`CallerHandler::ends_at`].
    ends_at: watch::Sender<Option<Instant>>,
}

/// Lets requests in progress, of callers and of other daemons, finish within `limit` after `since`, the
/// time of the stop signal.
///
/// Once the listening socket is closed, requests that are complete only now and may run for longer are
/// refused. Half way, requests still waiting for an upstream are refused, so that callers have time left
/// to try another daemon.
async fn drain(
    callers: CallerServer,
    relayed: ConnectionCount,
    since: Instant,
    limit: Duration,
    news: &StopNews,
) {
    let CallerServer { connections: callers, listener } = callers;
    let until = limit.saturating_sub(STOP_MARGIN);
    loop {
        let passed = since.elapsed();
        if passed >= CLOSE_DELAY {
            listener.abort();
            news.ends_at.send_replace(Some(since + until));
        }
        if passed >= limit / 2 {
            news.is_stopping_soon.send_replace(true);
        }
        if passed >= until {
            let open = callers.get() + relayed.get();
            return log::warn!(open = open; "requests still running at the stop deadline");
        }
        if passed >= BALANCER_DELAY && callers.is_zero() && relayed.is_zero() {
            return;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// The control part of a daemon, from the moment on at which its voter runs. The links and the control
/// part refer to each other, so one of them doesn't keep the other.
struct ControlSlot {
    identity: Option<Identity>,
    control: OnceLock<Weak<ControlMember>>,
}

impl ControlSlot {
    fn new(identity: Option<Identity>) -> Self {
        Self { identity, control: OnceLock::new() }
    }

    fn fill(&self, control: &Arc<ControlMember>) {
        if self.control.set(Arc::downgrade(control)).is_err() {
            log::error!("the control part was set twice");
        }
    }

    /// The control part; `None` if there is none, if its voter doesn't run yet, and once it has ended.
    fn get(&self) -> Option<Arc<ControlMember>> {
        self.control.get().and_then(Weak::upgrade)
    }
}

/// Opens the voter of this daemon. Its syncs don't hold up the links.
async fn open_voter(
    settings: &Arc<GatewaySettings>,
    cfg: &ControlSettings,
    identity: Identity,
    clock: &SharedClock,
    outbox: flume::Sender<OutgoingMessage>,
) -> Result<Arc<Voter>> {
    let (settings, cfg, clock) = (Arc::clone(settings), cfg.clone(), Arc::clone(clock));
    let open = move || {
        let voter = identity::voter_settings(&settings, &cfg, identity)?;
        // They don't wait for each other's syncs. An id without its log isn't used, and a log has the id as well.
        let (stored, started) = run_both(
            || identity::store(&cfg, identity),
            || Voter::start(&voter, &settings.links.to_string(), TICK, clock, outbox),
        );
        let started = started?;
        if let Err(err) = stored {
            started.stop();
            return Err(err);
        }
        Ok(started)
    };
    let opened = spawn_blocking(open).await.map_err(|err| Error::start("voter", err))?;
    opened.map(Arc::new)
}

/// Handler for requests of other daemons. Any daemon probes a member for the leader. A daemon without a
/// control part never leads, nor does one whose voter doesn't run.
fn request_handler(
    slot: Arc<ControlSlot>,
    connector: Connector,
    links: SocketAddr,
) -> RequestHandler {
    Arc::new(move |request: LeaderRequest, responder| {
        if let LeaderRequest::Probe { address } = &request {
            return super::bus::answer_probe(&connector, links, address, responder);
        }
        match (slot.get(), &request, slot.identity) {
            (Some(control), ..) => control.handle(request, responder),
            (None, LeaderRequest::Identify, Some(Identity { id, .. })) => {
                super::bus::reply(responder, &LeaderReply::Identified { id });
            }
            _ => super::bus::reply(responder, &LeaderReply::NotLeader { leader: None }),
        }
    })
}

/// Handler for Raft messages, on a daemon with a voter.
fn raft_handler(slot: Arc<ControlSlot>) -> RaftHandler {
    Arc::new(move |envelope| {
        let Some(control) = slot.get() else { return };
        // The sender may address a former node of this VM, whose disk was lost.
        if let Some(address) = envelope.voters.get(&envelope.message.from) {
            control.view().add_control_daemon(address);
        }
        control.step(envelope);
    })
}

/// Sends the voter's outgoing messages, also by way of other members if their recipient isn't reached. One
/// whose recipient has no known address is dropped.
async fn send_raft(control: Arc<ControlMember>, outgoing: flume::Receiver<OutgoingMessage>) {
    let relays = RaftRelays::new(Arc::clone(&control));
    while let Ok(outgoing) = outgoing.recv_async().await {
        let Some((address, envelope)) = control.voter().envelope(outgoing) else { continue };
        match address.parse() {
            Ok(address) => {
                control.links().send_raft(address, &envelope);
                relays.send(address, envelope);
            }
            Err(err) => log::error!("{address}: {err}"),
        }
    }
}

/// Returns the recorder of metrics, of which a process has only one, and installs it at the first call.
fn install_metrics() -> Result<PrometheusHandle> {
    static INSTALLED: OnceLock<PrometheusHandle> = OnceLock::new();
    if let Some(handle) = INSTALLED.get() {
        return Ok(handle.clone());
    }
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
    let recorder = builder.map_err(|err| Error::start("metrics", err))?.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another program part records the metrics");
    }
    Ok(INSTALLED.get_or_init(|| handle).clone())
}
