//! A running daemon: starts its components in order and stops them in reverse order.

use crate::{
    control_client::ControlClient,
    entry::{Entry, EntryContext},
    error::{Error, Result},
    gossip,
    messages::message_service,
    net::Net,
    operators::{OperatorContext, Operators},
    owner::{Owner, OwnerContext},
    relay::Relay,
    services,
    session::SessionService,
    settings::Settings,
    sync::lock,
    voter::{LEASE_CHECK_INTERVAL, TICK, Voter},
};
use edge::{EdgeConfig, OperatorToken, Server};
use event::{EventKind, Recorder, RecorderConfig};
use kernel::{Lifecycle, SharedClock, StopFn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, UNIX_EPOCH},
};

/// Maximum number of consensus messages queued to be sent; further ones are dropped.
const OUTBOX_CAPACITY: usize = 4_096;
/// Time between aggregations of metric samples.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time between checks whether running requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A daemon with its components. Dropping it without [`Daemon::drain`] stops it at once.
pub struct Daemon {
    settings: Settings,
    clock: SharedClock,
    net: Arc<Net>,
    voter: Option<Arc<Voter>>,
    session: Arc<SessionService>,
    owner: Arc<Owner>,
    entry: Arc<Entry>,
    addresses: Addresses,
    drain_requested: flume::Receiver<()>,
    recorder: Arc<Recorder>,
    /// Stops the components, the last one started first. The lock lets threads share the daemon.
    lifecycle: Mutex<Lifecycle>,
}

/// Addresses of the HTTP servers, with the ports that the system chose.
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Daemon {
    /// Starts the daemon's services.
    ///
    /// # Errors
    ///
    /// Fails if a component can't be started. The error names the component or the setting.
    pub fn start(settings: &Settings, clock: SharedClock) -> Result<Self> {
        let token = OperatorToken::read(&settings.operator_token_file)
            .map_err(|err| Error::start("operator_token_file", err))?;
        let metrics = install_metrics_recorder();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let mut lifecycle = Lifecycle::new();
        start_metrics_upkeep(&metrics, &is_stopping);
        let recorder = start_recorder(settings, &clock)?;
        recorder.record(recorder.event(EventKind::DaemonStarted));
        let net = Net::start(settings, Arc::clone(&recorder))?;
        let links = Arc::clone(&net);
        register(&mut lifecycle, "links", move || links.stop())?;
        let voter = start_voter(settings, &net, &clock, &is_stopping)?;
        if let Some(voter) = voter.clone() {
            register(&mut lifecycle, "voter", move || voter.stop())?;
        }
        let control = control_client(settings, &net, &clock, voter.as_deref());
        if voter.is_none() {
            let known = Arc::clone(&control);
            services::serve_referral(&net, move || known.leader());
        }
        let relay = Relay::start(Arc::clone(&control), Arc::clone(&is_stopping));
        services::serve_relay(&net, &relay);
        let session = session(settings, &net, &clock, &control, relay);
        let owner = Owner::start(OwnerContext {
            session: Arc::clone(&session),
            control: Arc::clone(&control),
            net: Arc::clone(&net),
            recorder: Arc::clone(&recorder),
            clock: Arc::clone(&clock),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
        });
        let owner_service = Arc::clone(&owner);
        register(&mut lifecycle, "owner", move || owner_service.stop())?;
        let cx = EntryContext {
            session: Arc::clone(&session),
            control: Arc::clone(&control),
            net: Arc::clone(&net),
            owner: Arc::clone(&owner),
            recorder: Arc::clone(&recorder),
            clock: Arc::clone(&clock),
        };
        let entry = Entry::new(cx, &settings.data_centre, &settings.region);
        services::serve_owner_and_entry(&net, &owner, &entry);
        follow_view(&session, &owner, &entry, &recorder);
        session.start();
        let (renewer, stopping) = (Arc::clone(&session), Arc::clone(&is_stopping));
        register(&mut lifecycle, "session", move || {
            stopping.store(true, Ordering::Relaxed);
            renewer.stop();
        })?;
        gossip::start(
            Arc::clone(&net),
            Arc::clone(&owner),
            Arc::clone(&entry),
            Arc::clone(&is_stopping),
        );
        let callers = serve_callers(settings, &entry)?;
        let (drain, drain_requested) = flume::bounded(1);
        let operators = serve_operators(
            settings,
            OperatorContext {
                session: Arc::clone(&session),
                control,
                owner: Arc::clone(&owner),
                entry: Arc::clone(&entry),
                voter: voter.clone(),
                recorder: Arc::clone(&recorder),
                metrics,
                token,
                drain,
            },
        )?;
        let addresses = Addresses { callers: callers.address(), operators: operators.address() };
        register(&mut lifecycle, "operators", move || operators.stop())?;
        register(&mut lifecycle, "callers", move || callers.stop())?;
        let settings = settings.clone();
        Ok(Self {
            settings,
            clock,
            net,
            voter,
            session,
            owner,
            entry,
            addresses,
            drain_requested,
            recorder,
            lifecycle: Mutex::new(lifecycle),
        })
    }

    /// Address of the HTTP server for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Address of the HTTP server for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.addresses.operators
    }

    /// Address on which the daemon listens for links.
    pub fn links_address(&self) -> SocketAddr {
        self.net.address()
    }

    /// Channel that receives a message when operators request a drain.
    pub fn drain_requested(&self) -> flume::Receiver<()> {
        self.drain_requested.clone()
    }

    /// Stops as planned. The health check fails at once, and new requests are still served until
    /// the load balancer has noticed ([`Settings::drain_delay`]). Then the running requests finish,
    /// at most within [`Settings::drain_limit`], and the daemon leaves the roster.
    pub fn drain(self) {
        log::info!("draining");
        self.recorder.record(self.recorder.event(EventKind::DaemonStopping));
        self.entry.drain();
        thread::sleep(self.settings.drain_delay());
        self.session.end();
        self.owner.view_changed();
        self.await_idle();
        if let Some(voter) = &self.voter {
            voter.step_down();
        }
        self.session.leave();
        self.stop();
        log::info!("stopped");
    }

    /// Stops at once, as in a crash: the daemon neither leaves the roster nor transfers leadership.
    pub fn stop(self) {
        lock(&self.lifecycle).shut_down();
    }

    /// Waits until no request is queued or in flight, at most for the drain limit.
    fn await_idle(&self) {
        let deadline = self.clock.now() + self.settings.drain_limit();
        while self.entry.in_flight() + self.owner.request_count() > 0 {
            if self.clock.now() >= deadline {
                return log::warn!("requests are still running at the end of the drain limit");
            }
            thread::sleep(DRAIN_CHECK_INTERVAL);
        }
    }
}

/// Registers a running service with the function that stops it.
fn register(
    lifecycle: &mut Lifecycle,
    name: &str,
    stop: impl FnOnce() + Send + 'static,
) -> Result<()> {
    let stop: StopFn = Box::new(stop);
    lifecycle.start(name, || Ok::<StopFn, Error>(stop)).map_err(|err| Error::start(name, err))
}

fn start_recorder(settings: &Settings, clock: &SharedClock) -> Result<Arc<Recorder>> {
    let mut cfg = RecorderConfig::new(settings.daemon.clone());
    cfg.path = settings.timeline_file.clone();
    let recorder = Recorder::start(cfg, Arc::clone(clock));
    Ok(Arc::new(recorder.map_err(|err| Error::start("timeline_file", err))?))
}

/// Installs the process's recorder of metrics. A process has one: a second daemon in it gets a
/// handle that renders nothing.
fn install_metrics_recorder() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::debug!("another daemon in this process records the metrics");
    }
    handle
}

/// Starts the thread that aggregates metric samples, so that they don't accumulate between scrapes.
fn start_metrics_upkeep(metrics: &PrometheusHandle, is_stopping: &Arc<AtomicBool>) {
    let (metrics, is_stopping) = (metrics.clone(), Arc::clone(is_stopping));
    thread::spawn(move || {
        while !is_stopping.load(Ordering::Relaxed) {
            metrics.run_upkeep();
            thread::sleep(METRICS_UPKEEP_INTERVAL);
        }
    });
}

/// Starts the voter if the settings have one, with a thread that sends its consensus messages and
/// one that checks for expired leases.
fn start_voter(
    settings: &Settings,
    net: &Arc<Net>,
    clock: &SharedClock,
    is_stopping: &Arc<AtomicBool>,
) -> Result<Option<Arc<Voter>>> {
    let Some(cfg) = &settings.voter else { return Ok(None) };
    let (outbox, outgoing) = flume::bounded(OUTBOX_CAPACITY);
    let address = net.address().to_string();
    let voter = Arc::new(Voter::start(cfg, &address, TICK, Arc::clone(clock), outbox)?);
    services::serve_voter(net, &voter);
    let (sender, links) = (Arc::clone(&voter), Arc::clone(net));
    thread::spawn(move || {
        for outgoing in outgoing {
            if let Some((address, envelope)) = sender.envelope(outgoing) {
                links.notify(&address, message_service::RAFT, control::encode(&envelope));
            }
        }
    });
    let (lease_checker, is_stopping) = (Arc::clone(&voter), Arc::clone(is_stopping));
    thread::spawn(move || {
        while !is_stopping.load(Ordering::Relaxed) {
            lease_checker.check_leases();
            thread::sleep(LEASE_CHECK_INTERVAL);
        }
    });
    Ok(Some(voter))
}

/// Client that looks for the leader at the seeds, and at the voters that this VM's own voter knows.
fn control_client(
    settings: &Settings,
    net: &Arc<Net>,
    clock: &SharedClock,
    voter: Option<&Voter>,
) -> Arc<ControlClient> {
    let seeds = settings.seeds.iter().map(SocketAddr::to_string);
    let voters = voter.map(Voter::known_addresses).unwrap_or_default();
    let addresses = seeds.chain(voters).collect();
    Arc::new(ControlClient::new(Arc::clone(net), Arc::clone(clock), addresses))
}

/// Session whose incarnation is the wall-clock time of the start in milliseconds, so that a
/// restarted daemon has a higher one.
fn session(
    settings: &Settings,
    net: &Arc<Net>,
    clock: &SharedClock,
    control: &Arc<ControlClient>,
    relay: Arc<Relay>,
) -> Arc<SessionService> {
    let wall = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
    SessionService::new(
        settings.daemon.clone(),
        settings.data_centre.clone(),
        incarnation,
        Arc::clone(control),
        Arc::clone(net),
        relay,
        Arc::clone(clock),
    )
}

/// Passes each change of the view to the entry and the owner, and records it as an event.
fn follow_view(
    session: &Arc<SessionService>,
    owner: &Arc<Owner>,
    entry: &Arc<Entry>,
    recorder: &Arc<Recorder>,
) {
    let (owner, entry, recorder) = (Arc::clone(owner), Arc::clone(entry), Arc::clone(recorder));
    session.on_change(Box::new(move |session| {
        let position = session.view_position();
        let applied = recorder.event(EventKind::ChangeApplied).change(position.index);
        recorder.record(applied.text(format!("sheet {}", position.sheet)));
        entry.view_changed();
        owner.view_changed();
    }));
}

fn serve_callers(settings: &Settings, entry: &Arc<Entry>) -> Result<Server> {
    let entry = Arc::clone(entry);
    let cfg = EdgeConfig::new(settings.listen.callers);
    Server::start(cfg, Arc::new(move |req| entry.handle(req)))
        .map_err(|err| Error::start("listen.callers", err))
}

fn serve_operators(settings: &Settings, cx: OperatorContext) -> Result<Server> {
    let operators = Operators::new(cx);
    let cfg = EdgeConfig::new(settings.listen.operators);
    Server::start(cfg, Arc::new(move |req| operators.handle(req)))
        .map_err(|err| Error::start("listen.operators", err))
}
