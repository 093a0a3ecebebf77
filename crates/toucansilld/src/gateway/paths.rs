//! Connections of this daemon to the upstreams, and whether it has lost its paths to them.

use crate::sync::lock;
use bytes::Bytes;
use http::request;
use kernel::SharedClock;
use proxy::{Connector, ExchangeError, ExchangeResponse};
use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::net::TcpStream;

/// Number of upstreams to which connections fail, with none to any other upstream in between, at
/// which the paths of this daemon count as lost.
const LOST_PATHS_MIN: usize = 2;

/// Paths of this daemon to the upstreams.
pub(crate) struct Paths {
    connector: Connector,
    clock: SharedClock,
    failures: Mutex<Option<Failures>>,
}

/// Whether a part of a request may have been sent. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendState(Arc<AtomicBool>);

impl SendState {
    /// Whether the request may have reached an upstream.
    pub(crate) fn may_be_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Records that the next attempt begins: those before it have proved that nothing was run, or are
    /// known by their failures.
    pub(crate) fn reset(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn sending(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Failures to connect since the last connection that was made.
struct Failures {
    since: Instant,
    upstreams: BTreeSet<SocketAddr>,
}

impl Failures {
    fn are_paths_lost(&self) -> bool {
        self.upstreams.len() >= LOST_PATHS_MIN
    }
}

impl Paths {
    /// Creates the paths of a daemon that has made no connection yet.
    pub(crate) fn new(connector: Connector, clock: SharedClock) -> Arc<Self> {
        Arc::new(Self { connector, clock, failures: Mutex::default() })
    }

    /// Sends a request to an upstream on a connection of its own, which has to be made within
    /// `connect_limit`. See [`proxy::exchange`]. `sent` tells, also if the future is dropped, whether a
    /// part of the request may have been sent.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        connect_limit: Duration,
        head: request::Parts,
        body: Bytes,
        sent: &SendState,
    ) -> Result<ExchangeResponse, ExchangeError> {
        let stream = self.connect(address, connect_limit).await.map_err(ExchangeError::unsent)?;
        sent.sending();
        proxy::exchange(stream, head, body).await
    }

    /// Whether an upstream accepts a connection at `address` within `limit`. One that has crashed
    /// does not; one that only takes long does.
    pub(crate) async fn accepts_connections(&self, address: SocketAddr, limit: Duration) -> bool {
        self.connect(address, limit).await.is_ok()
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        let connected = self.connector.connect(address, limit).await;
        let result = match &connected {
            Ok(_) => "made",
            Err(err) if err.kind() == io::ErrorKind::TimedOut => "timed_out",
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => "refused",
            Err(_) => "failed",
        };
        metrics::counter!("toucansill_upstream_connections_total", "result" => result).increment(1);
        match &connected {
            Ok(_) => self.connection_made(),
            Err(err) => self.connection_failed(address, err),
        }
        connected
    }

    fn connection_made(&self) {
        let Some(failures) = lock(&self.failures).take() else { return };
        if failures.are_paths_lost() {
            let lost = self.clock.now().saturating_duration_since(failures.since);
            log::info!(lost_ms = lost.as_millis() as u64; "paths to upstreams regained");
            metrics::gauge!("toucansill_paths_lost").set(0.0);
        }
    }

    fn connection_failed(&self, address: SocketAddr, err: &io::Error) {
        let mut failures = lock(&self.failures);
        let failures = failures.get_or_insert_with(|| Failures {
            since: self.clock.now(),
            upstreams: BTreeSet::new(),
        });
        let were_lost = failures.are_paths_lost();
        failures.upstreams.insert(address);
        if !were_lost && failures.are_paths_lost() {
            let elapsed = self.clock.now().saturating_duration_since(failures.since);
            log::warn!(
                upstreams:? = failures.upstreams, since_ms = elapsed.as_millis() as u64;
                "paths to upstreams lost: {err}"
            );
            metrics::gauge!("toucansill_paths_lost").set(1.0);
        }
    }
}
