//! The connecting side of links: one connection to each peer, established on first use.

use super::{
    accept::{CONNECTION_WINDOW_BYTES, FRAME_BUDGET_BYTES, STREAM_WINDOW_BYTES},
    config::LinkConfig,
    counters::LinkCounters,
    exchange::FrameReader,
    failure::{LinkFailure, LinkFailureKind, LinkFailures},
    handshake::{self, MAX_HELLO_BYTES},
    ping::{self, OpenStreamCount, OpenStreamGuard},
};
use crate::{Error, Result, error::Kind};
use bytes::Bytes;
use h2::{
    RecvStream, SendStream,
    client::{Connection, ResponseFuture, SendRequest},
};
use http::{Method, Request, Uri};
use kernel::Repeated;
use std::{
    net::SocketAddr,
    sync::{
        Arc, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::{Mutex, oneshot},
    time::{Instant, sleep, timeout},
};

/// URI of every stream. HTTP/2 requires one; the service is named in the message.
const STREAM_URI: &str = "http://link/";

/// A peer that messages are sent to, with its connection.
pub(crate) struct OutboundPeer {
    address: SocketAddr,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    state: Arc<Mutex<ConnectionState>>,
    failures: std::sync::Mutex<LinkFailures>,
    /// Start of the attempts to connect that are under way.
    connecting_since: std::sync::Mutex<Option<Instant>>,
}

#[derive(Default)]
struct ConnectionState {
    link: Option<Link>,
    /// Number of consecutive failed connection attempts.
    failures: u32,
    /// Time until which no connection is attempted, after the peer was found unreachable.
    retry_at: Option<Instant>,
}

/// An open connection that has completed the handshake.
#[derive(Clone)]
struct Link {
    send: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    open_streams: OpenStreamCount,
}

/// A newly opened stream: the sending half, and the pending response.
pub(crate) struct OpenStream {
    pub(crate) tx: SendStream<Bytes>,
    pub(crate) response: ResponseFuture,
    /// To be held while the stream is open.
    pub(crate) guard: OpenStreamGuard,
}

impl OutboundPeer {
    pub(crate) fn new(
        address: SocketAddr,
        cfg: Arc<LinkConfig>,
        counters: Arc<LinkCounters>,
    ) -> Self {
        let failures = std::sync::Mutex::default();
        let connecting_since = std::sync::Mutex::default();
        Self { address, cfg, counters, state: Arc::default(), failures, connecting_since }
    }

    /// The last failure to connect since the peer was reached.
    pub(crate) fn last_failure(&self) -> Option<LinkFailure> {
        self.failures().last()
    }

    /// Time for which attempts to connect have been under way; `None` if none is.
    pub(crate) fn connecting_for(&self) -> Option<Duration> {
        self.connecting_since().map(|since| since.elapsed())
    }

    fn connecting_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.connecting_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn failures(&self) -> MutexGuard<'_, LinkFailures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects unless a link is open, an attempt is under way, or one has just failed. A failure is recorded
    /// as any other.
    pub(crate) async fn reconnect(self: Arc<Self>) {
        if self.connecting_for().is_none() {
            let _ = self.get_or_connect().await;
        }
    }

    /// Opens a stream, on a new connection if none is open.
    pub(crate) async fn open(self: &Arc<Self>) -> Result<OpenStream> {
        let link = self.get_or_connect().await?;
        match self.open_on(&link).await {
            Ok(opened) => Ok(opened),
            // The connection may have ended since its last use; a new one may succeed.
            Err(_) => {
                link.closed.store(true, Ordering::Release);
                let link = self.get_or_connect().await?;
                self.open_on(&link).await
            }
        }
    }

    async fn open_on(&self, link: &Link) -> Result<OpenStream> {
        let guard = link.open_streams.register();
        let ready = link.send.clone().ready();
        let mut send = ready.await.map_err(|e| self.open_error(&e))?;
        let (response, tx) =
            send.send_request(stream_request(), false).map_err(|e| self.open_error(&e))?;
        Ok(OpenStream { tx, response, guard })
    }

    /// Error of a stream that was not opened. No message was sent, so the peer did not act on it.
    fn open_error(&self, e: &h2::Error) -> Error {
        Error::new(Kind::Unreachable, format!("no stream to {}: {e}", self.address))
    }

    /// Returns the open connection, or establishes one. Concurrent callers wait for the same
    /// attempt, which goes on when all of them have given up: a request may have less time than a
    /// busy peer needs for the handshake.
    async fn get_or_connect(self: &Arc<Self>) -> Result<Link> {
        let mut state = Arc::clone(&self.state).lock_owned().await;
        if let Some(link) = state.link.as_ref().filter(|l| !l.closed.load(Ordering::Acquire)) {
            return Ok(link.clone());
        }
        state.link = None;
        self.check_backoff(&state)?;
        let peer = Arc::clone(self);
        let attempt = tokio::spawn(async move {
            let link = peer.connect_with_retries(&mut state).await?;
            state.link = Some(link.clone());
            Ok(link)
        });
        attempt.await.unwrap_or_else(|e| Err(self.unreachable_error(&e.to_string())))
    }

    /// Fails without an attempt while the delay after a failure lasts.
    fn check_backoff(&self, state: &ConnectionState) -> Result<()> {
        match state.retry_at.filter(|at| *at > Instant::now()) {
            Some(_) => Err(self.unreachable_error("unreachable a moment ago")),
            None => Ok(()),
        }
    }

    async fn connect_with_retries(&self, state: &mut ConnectionState) -> Result<Link> {
        // A peer that was unreachable before gets one attempt instead of several.
        let attempts = match state.failures {
            0 => self.cfg.connect_attempts,
            _ => 1,
        };
        let mut attempt = 1;
        *self.connecting_since() = Some(Instant::now());
        loop {
            let (kind, e) = match self.connect().await {
                Ok(link) => {
                    *state = ConnectionState::default();
                    self.failures().end();
                    *self.connecting_since() = None;
                    return Ok(link);
                }
                Err(failed) => failed,
            };
            state.failures = state.failures.saturating_add(1);
            let pause = backoff(&self.cfg, state.failures);
            // A wrong secret or version would fail every further attempt as well.
            if attempt >= attempts || e.is_authentication_failure() || e.is_version_mismatch() {
                state.retry_at = Some(Instant::now() + pause);
                self.record_failure(kind, &e);
                *self.connecting_since() = None;
                return Err(e);
            }
            attempt += 1;
            sleep(pause).await;
        }
    }

    /// Records that the peer is unreachable, and logs it unless it was logged a moment ago.
    fn record_failure(&self, kind: LinkFailureKind, e: &Error) {
        let address = self.address;
        match self.failures().add(kind, Instant::now().into_std()) {
            Some(Repeated { count: 1, .. }) => log::warn!("peer {address} is unreachable: {e}"),
            Some(Repeated { count, since_last, .. }) => log::warn!(
                "peer {address} is unreachable, {count} times in {:.1} s: {e}",
                since_last.as_secs_f64()
            ),
            None => {}
        }
    }

    async fn connect(&self) -> std::result::Result<Link, (LinkFailureKind, Error)> {
        let failed = |e: Error| (LinkFailureKind::of(&e), e);
        let address = self.cfg.route.of(self.address);
        let connected = timeout(self.cfg.connect_timeout, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(stream) => stream.map_err(|e| failed(self.io_error(e)))?,
            Err(_) => {
                let e = self.unreachable_error("no connection in time");
                return Err((LinkFailureKind::Timeout, e));
            }
        };
        match timeout(self.cfg.handshake_timeout, self.authenticate_on(stream)).await {
            Ok(link) => link.map_err(failed),
            Err(_) => {
                let e = self.unreachable_error("no handshake in time");
                Err((LinkFailureKind::NoHandshake, e))
            }
        }
    }

    async fn authenticate_on(&self, stream: TcpStream) -> Result<Link> {
        stream.set_nodelay(true).map_err(|e| self.io_error(e))?;
        let (send, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .data_frame_budget(FRAME_BUDGET_BYTES)
            .enable_push(false)
            .handshake(stream)
            .await
            .map_err(|e| self.open_error(&e))?;
        let closed = Arc::new(AtomicBool::new(false));
        let (established_tx, established) = oneshot::channel::<()>();
        let open_streams = OpenStreamCount::default();
        tokio::spawn(drive_connection(
            connection,
            open_streams.clone(),
            self.cfg.clone(),
            self.counters.clone(),
            closed.clone(),
            established,
            self.address,
        ));
        let send = self.authenticate(send).await?;
        // From now on the driver task keeps the connection even if this future is dropped.
        let _ = established_tx.send(());
        Ok(Link { send, closed, open_streams })
    }

    /// Performs the handshake on the first stream of a connection.
    async fn authenticate(&self, send: SendRequest<Bytes>) -> Result<SendRequest<Bytes>> {
        let mut send = send.ready().await.map_err(|e| self.open_error(&e))?;
        let (response, mut tx) =
            send.send_request(stream_request(), false).map_err(|e| self.open_error(&e))?;
        let body = self.response_body(response).await?;
        let mut rx = FrameReader::new(body, MAX_HELLO_BYTES);
        match handshake::connect(&self.cfg, &mut tx, &mut rx).await {
            Ok(_) => {
                let _ = tx.send_data(Bytes::new(), true);
                Ok(send)
            }
            Err(e) => Err(self.handshake_error(&e)),
        }
    }

    async fn response_body(&self, response: ResponseFuture) -> Result<RecvStream> {
        let response = response.await.map_err(|e| self.open_error(&e))?;
        Ok(response.into_body())
    }

    /// Converts an error of the handshake. No message was sent, so the peer did not act on one.
    fn handshake_error(&self, e: &Error) -> Error {
        let kind = match e.kind() {
            kind @ (Kind::AuthenticationFailed | Kind::VersionMismatch) => kind,
            Kind::Malformed | Kind::TooLarge => {
                self.counters.count_malformed_input();
                Kind::Unreachable
            }
            _ => Kind::Unreachable,
        };
        Error::new(kind, format!("peer {}: {e}", self.address))
    }

    fn io_error(&self, e: std::io::Error) -> Error {
        Error::io(Kind::Unreachable, format!("peer {}", self.address), e)
    }

    fn unreachable_error(&self, reason: &str) -> Error {
        Error::new(Kind::Unreachable, format!("peer {}: {reason}", self.address))
    }
}

/// Drives a connection until it ends, the peer stops responding, or the sender of `established` is
/// dropped without a value because the handshake failed or timed out.
async fn drive_connection(
    mut connection: Connection<TcpStream, Bytes>,
    open_streams: OpenStreamCount,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    closed: Arc<AtomicBool>,
    established: oneshot::Receiver<()>,
    peer: SocketAddr,
) {
    if let Some(ping_pong) = connection.ping_pong() {
        let abandoned = async {
            if let Ok(()) = established.await {
                std::future::pending().await
            }
        };
        tokio::select! {
            ended = connection => log::debug!("link ended: {ended:?}"),
            () = ping::watch_peer(ping_pong, open_streams, cfg, counters) =>
                log::warn!("link lost: peer {peer} stopped responding"),
            () = abandoned => (),
        }
    }
    closed.store(true, Ordering::Release);
}

/// Delay after a number of consecutive failures. It doubles with each failure; the result is
/// random between one half and the whole of that delay, so that many daemons don't reconnect at the
/// same moment.
fn backoff(cfg: &LinkConfig, failures: u32) -> Duration {
    // A shift by 32 or more would overflow.
    let doublings = failures.saturating_sub(1).min(16);
    let full = cfg.min_backoff.saturating_mul(1 << doublings).min(cfg.max_backoff);
    let mut random = [0; 1];
    let _ = getrandom::fill(&mut random);
    full / 2 + full.mul_f64(f64::from(random[0]) / 512.0)
}

fn stream_request() -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(STREAM_URI);
    request
}
