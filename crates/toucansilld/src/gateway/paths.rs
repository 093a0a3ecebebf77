//! Paths of this daemon to the upstreams: own connections, or through other daemons while they are
//! lost.

use super::{
    relay::{RelayFailure, RelayedKind, Target, address_message, read_failure},
    view::View,
};
use crate::sync::lock;
use bytes::Bytes;
use http::{Request, request};
use kernel::SharedClock;
use proxy::{
    Connector, ExchangeError, ExchangeResponse, KnownRelays, PathChoice, PathTable, PathsChange,
    RelayDaemon, read_response_body,
};
use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::Notify,
    task::JoinSet,
    time::{sleep, timeout},
};
use wire::{DaemonId, DataCentreId};

/// Timeout for a connection: hundreds of round trips within a region. It does not cover the loss
/// of a SYN packet, which TCP resends only after 1 s.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a connection to a relay.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for a relay's reply whether it reaches an upstream.
const RELAY_CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of relays that are tried for one message.
const MAX_RELAYS_TRIED: usize = 4;
/// Number of relays that must not reach an upstream for it to count as gone, while this daemon itself
/// may have lost its paths.
const MIN_NOT_REACHED: usize = 2;
/// Longest reason of a relay for a failure, in bytes.
const REASON_BYTES_MAX: usize = 1 << 10;
/// Interval at which own connections are tried while paths are lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for such a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of such connections at a time.
const MAX_CHECKS: usize = 4;

/// Paths of this daemon to the upstreams.
pub(crate) struct Paths {
    connector: Connector,
    clock: SharedClock,
    data_centre: DataCentreId,
    table: Mutex<PathTable>,
    relays: Mutex<KnownRelays>,
    /// Notified when a connection has failed.
    has_failed: Notify,
}

/// Whether a part of a request may have been sent. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendState(Arc<AtomicBool>);

impl SendState {
    /// Whether the request may have reached an upstream.
    pub(crate) fn may_be_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Records that nothing has been sent yet, as an attempt begins or is known to have sent nothing.
    pub(crate) fn reset(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn sending(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Message to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamMessage {
    pub(crate) kind: RelayedKind,
    pub(crate) target: Target,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
}

/// Response of an upstream.
pub(crate) struct PathResponse {
    pub(crate) response: ExchangeResponse,
    /// Daemon through which it came; `None` on an own connection.
    pub(crate) relay: Option<DaemonId>,
}

/// Failure to get a response.
#[derive(Debug)]
pub(crate) struct PathError {
    pub(crate) err: ExchangeError,
    /// Whether this daemon has no path, which says nothing about the upstream.
    pub(crate) has_no_path: bool,
    /// Daemon through which the message was sent; `None` if on an own connection or not at all.
    pub(crate) relay: Option<DaemonId>,
}

impl From<ExchangeError> for PathError {
    fn from(err: ExchangeError) -> Self {
        Self { err, has_no_path: false, relay: None }
    }
}

/// What came of a message that was sent through relays.
enum RelayOutcome {
    Response(ExchangeResponse, DaemonId),
    /// The upstream accepts no connection.
    Gone(String),
    /// No relay is known.
    NoRelay,
    /// All relays that were tried failed before they sent anything.
    AllFailed(String),
    /// The upstream may have run the request.
    Failed(ExchangeError, DaemonId),
}

impl Paths {
    /// Creates the paths of a daemon that has made no connection yet.
    pub(crate) fn new(
        connector: Connector,
        clock: SharedClock,
        data_centre: DataCentreId,
    ) -> Arc<Self> {
        Arc::new(Self {
            connector,
            clock,
            data_centre,
            table: Mutex::default(),
            relays: Mutex::default(),
            has_failed: Notify::new(),
        })
    }

    /// Sends a message to an upstream on a connection of its own, which has to be made within
    /// `connect_limit`, or through another daemon if this one has lost its path. See
    /// [`proxy::exchange`]. `sent` tells, also if the future is dropped, whether a part of the message
    /// may have been sent.
    pub(crate) async fn exchange(
        &self,
        message: UpstreamMessage,
        connect_limit: Duration,
        sent: &SendState,
    ) -> Result<PathResponse, PathError> {
        let address = message.target.address;
        let choice = lock(&self.table).choice(self.clock.now(), address);
        let mut reason = String::from("own path lost");
        if choice != PathChoice::Relay {
            match self.connect(address, connect_limit).await {
                Ok(stream) => {
                    sent.sending();
                    let response = proxy::exchange(stream, message.head, message.body).await?;
                    return Ok(PathResponse { response, relay: None });
                }
                Err(err) if choice == PathChoice::Direct || !is_path_failure(&err) => {
                    return Err(ExchangeError::unsent(err).into());
                }
                Err(err) => reason = err.to_string(),
            }
        }
        let outcome = self.exchange_through_relays(&message, sent).await;
        let unsent = |reason: &str, has_no_path| {
            Err(PathError { err: ExchangeError::unsent(reason), has_no_path, relay: None })
        };
        match outcome {
            RelayOutcome::Response(response, relay) => {
                Ok(PathResponse { response, relay: Some(relay) })
            }
            RelayOutcome::Failed(err, relay) => {
                Err(PathError { err, has_no_path: false, relay: Some(relay) })
            }
            RelayOutcome::Gone(seen) => unsent(&format!("{reason}; another daemon: {seen}"), false),
            RelayOutcome::NoRelay => unsent(&reason, choice == PathChoice::Relay),
            RelayOutcome::AllFailed(last) => {
                let has_no_path = choice == PathChoice::Relay || self.is_in_doubt();
                unsent(&format!("{reason}; no other daemon sent it: {last}"), has_no_path)
            }
        }
    }

    /// Whether an upstream accepts a connection within `limit`, of this daemon or of another one. One
    /// that has crashed does not; one that only takes long does.
    pub(crate) async fn is_reachable(&self, target: &Target, limit: Duration) -> bool {
        self.connect(target.address, limit).await.is_ok() || self.is_reached_by_others(target).await
    }

    /// Whether an upstream accepts a connection of another daemon.
    pub(crate) async fn is_reached_by_others(&self, target: &Target) -> bool {
        let (head, ()) = Request::new(()).into_parts();
        let message = UpstreamMessage {
            kind: RelayedKind::Check,
            target: target.clone(),
            head,
            body: Bytes::new(),
        };
        let sent = SendState::default();
        let check = self.exchange_through_relays(&message, &sent);
        matches!(timeout(RELAY_CHECK_TIMEOUT, check).await, Ok(RelayOutcome::Response(..)))
    }

    /// Whether connections of this daemon to several upstreams have failed and none was made since.
    pub(crate) fn has_several_failures(&self) -> bool {
        lock(&self.table).has_several_failures()
    }

    /// Whether this daemon itself seems to have lost its paths.
    pub(crate) fn is_in_doubt(&self) -> bool {
        lock(&self.table).is_in_doubt()
    }

    /// Adds relays that the leader has listed.
    pub(crate) fn add_relays(&self, listed: Vec<RelayDaemon>) {
        lock(&self.relays).add(self.clock.now(), listed);
    }

    /// Makes an own connection to an upstream.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<TcpStream> {
        let connected = self.connector.connect(address, limit).await;
        let result = match &connected {
            Ok(_) => "made",
            Err(err) if err.kind() == io::ErrorKind::TimedOut => "timed_out",
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => "refused",
            Err(_) => "failed",
        };
        metrics::counter!("toucansill_upstream_connections_total", "result" => result).increment(1);
        let now = self.clock.now();
        match &connected {
            Ok(_) => {
                let change = lock(&self.table).connection_made(now, address);
                self.log_change(change);
            }
            Err(err) if is_path_failure(err) => {
                lock(&self.table).connection_failed(now, address);
                self.has_failed.notify_one();
            }
            Err(err) => log::warn!("no connection to {address}: {err}"),
        }
        connected
    }

    /// Sends a message through the first relay that takes it.
    async fn exchange_through_relays(
        &self,
        message: &UpstreamMessage,
        sent: &SendState,
    ) -> RelayOutcome {
        let address = message.target.address;
        let now = self.clock.now();
        let relays = lock(&self.relays).in_order(now, &self.data_centre, fastrand::usize(..));
        let (mut last_failure, mut not_reached) = (None, 0);
        for relay in relays.into_iter().take(MAX_RELAYS_TRIED) {
            let (outcome, is_sent_on) = self.exchange_through(&relay, message, sent).await;
            lock(&self.relays).tried(self.clock.now(), &relay.daemon, is_sent_on);
            let result = match &outcome {
                RelayOutcome::Response(..) => "sent",
                RelayOutcome::Gone(_) => "gone",
                _ => "failed",
            };
            metrics::counter!("toucansill_relay_attempts_total", "result" => result).increment(1);
            match outcome {
                RelayOutcome::Response(response, relay) => {
                    let change = lock(&self.table).relayed(address);
                    self.log_change(change);
                    self.has_failed.notify_one();
                    return RelayOutcome::Response(response, relay);
                }
                RelayOutcome::AllFailed(reason) => last_failure = Some(reason),
                RelayOutcome::Gone(reason) => {
                    not_reached += 1;
                    // The relay may have lost its paths just now too, without knowing.
                    if not_reached >= MIN_NOT_REACHED || !self.has_several_failures() {
                        lock(&self.table).not_reached_by_others(self.clock.now(), address);
                        return RelayOutcome::Gone(reason);
                    }
                    last_failure = Some(reason);
                }
                outcome => return outcome,
            }
        }
        last_failure.map_or(RelayOutcome::NoRelay, RelayOutcome::AllFailed)
    }

    /// Sends a message through one relay. Returns also whether the relay could have sent it on.
    async fn exchange_through(
        &self,
        relay: &RelayDaemon,
        message: &UpstreamMessage,
        sent: &SendState,
    ) -> (RelayOutcome, bool) {
        let failed = |reason: &dyn std::fmt::Display| {
            (RelayOutcome::AllFailed(format!("{}: {reason}", relay.daemon)), false)
        };
        let stream = match self.connector.connect(relay.address, RELAY_CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(err) => return failed(&err),
        };
        let mut head = message.head.clone();
        address_message(&mut head.headers, message.kind, &message.target);
        sent.sending();
        let mut response = match proxy::exchange(stream, head, message.body.clone()).await {
            Ok(response) => response,
            Err(err) if err.may_have_run() => {
                return (RelayOutcome::Failed(err, relay.daemon.clone()), false);
            }
            Err(err) => {
                sent.reset();
                return failed(&err);
            }
        };
        let Some(failure) = read_failure(&response.head.headers) else {
            return (RelayOutcome::Response(response, relay.daemon.clone()), true);
        };
        let reason = match read_response_body(&mut response.body, REASON_BYTES_MAX).await {
            Ok(reason) => String::from_utf8_lossy(&reason).into_owned(),
            Err(err) => format!("reason not read: {err}"),
        };
        match failure {
            RelayFailure::Declined => {
                sent.reset();
                failed(&reason)
            }
            RelayFailure::Unreachable => {
                sent.reset();
                (RelayOutcome::Gone(reason), true)
            }
            RelayFailure::Broken => {
                let err = ExchangeError::sent(reason);
                (RelayOutcome::Failed(err, relay.daemon.clone()), true)
            }
            RelayFailure::Unresponsive => {
                let err = ExchangeError::unresponsive(reason);
                (RelayOutcome::Failed(err, relay.daemon.clone()), true)
            }
        }
    }

    /// Tries own connections after several failures, and while paths are lost, until the task is
    /// aborted.
    pub(crate) async fn check(self: Arc<Self>, view: Arc<View>) {
        loop {
            let to_check = lock(&self.table).to_check(&known_addresses(&view));
            if to_check.is_empty() {
                self.has_failed.notified().await;
                continue;
            }
            let mut checks = JoinSet::new();
            for address in to_check.into_iter().take(MAX_CHECKS) {
                let paths = Arc::clone(&self);
                checks.spawn(async move { paths.connect(address, CHECK_TIMEOUT).await.is_ok() });
            }
            if !checks.join_all().await.contains(&true) {
                let change = lock(&self.table).checked_in_vain();
                self.log_change(change);
            }
            // A request that fails meanwhile can't tell more.
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn log_change(&self, change: Option<PathsChange>) {
        match change {
            None => {}
            Some(PathsChange::InDoubt) => {
                log::warn!("no connection to any of several upstreams can be made");
            }
            Some(PathsChange::Lost) => {
                log::warn!("paths to upstreams lost; other daemons reach them");
                metrics::gauge!("toucansill_paths_lost").set(1.0);
            }
            Some(PathsChange::Regained(lost)) => {
                log::info!(lost_ms = lost.as_millis() as u64; "paths to upstreams regained");
                metrics::gauge!("toucansill_paths_lost").set(0.0);
            }
        }
    }
}

/// Addresses of all upstreams in the directory.
fn known_addresses(view: &View) -> BTreeSet<SocketAddr> {
    view.with(|state| {
        let present = state.directory.entries().filter(|entry| !entry.is_departed);
        present.map(|entry| entry.registration.address).collect()
    })
}

/// Whether a failure to connect may mean that the path or the upstream is gone. Others are of this
/// daemon, for example a lack of file descriptors.
fn is_path_failure(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::TimedOut
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
