//! The connecting side of links: one connection to each peer, made when needed.

use super::{
    accept::{CONNECTION_WINDOW_BYTES, FRAME_BUDGET_BYTES, STREAM_WINDOW_BYTES},
    config::LinkConfig,
    counters::LinkCounters,
    exchange::FrameReader,
    handshake::{self, MAX_HELLO_BYTES},
    ping::{self, ActiveStream, Activity},
};
use crate::{Error, Result, error::Kind};
use bytes::Bytes;
use h2::{
    RecvStream, SendStream,
    client::{Connection, ResponseFuture, SendRequest},
};
use http::{Method, Request, Uri};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::{Mutex, oneshot},
    time::{Instant, sleep, timeout},
};

/// Target of every stream. h2 wants one; names travel in messages.
const TARGET: &str = "http://link/";

/// A peer that messages are sent to.
pub(crate) struct Outbound {
    address: SocketAddr,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    link: Option<Link>,
    /// Connections that failed in a row.
    failures: u32,
    retry_at: Option<Instant>,
}

/// An open connection that has passed the handshake.
#[derive(Clone)]
struct Link {
    send: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    activity: Activity,
}

/// A stream just opened: where to write, and where the answer comes from.
pub(crate) struct Opened {
    pub(crate) tx: SendStream<Bytes>,
    pub(crate) response: ResponseFuture,
    /// Kept for as long as the stream is open.
    pub(crate) active: ActiveStream,
}

impl Outbound {
    pub(crate) fn new(
        address: SocketAddr,
        cfg: Arc<LinkConfig>,
        counters: Arc<LinkCounters>,
    ) -> Self {
        Self { address, cfg, counters, state: Mutex::default() }
    }

    /// Opens a stream, on a new connection if there is none.
    pub(crate) async fn open(&self) -> Result<Opened> {
        let link = self.link().await?;
        match self.open_on(&link).await {
            Ok(opened) => Ok(opened),
            // The connection ended a moment ago. A new one may work.
            Err(_) => {
                link.closed.store(true, Ordering::Release);
                let link = self.link().await?;
                self.open_on(&link).await
            }
        }
    }

    async fn open_on(&self, link: &Link) -> Result<Opened> {
        let active = link.activity.stream();
        let ready = link.send.clone().ready();
        let mut send = ready.await.map_err(|e| self.not_opened(&e))?;
        let (response, tx) =
            send.send_request(request(), false).map_err(|e| self.not_opened(&e))?;
        Ok(Opened { tx, response, active })
    }

    /// Nothing was sent, so an error here means that the peer did not act.
    fn not_opened(&self, e: &h2::Error) -> Error {
        Error::new(Kind::Unreachable, format!("no stream to {}: {e}", self.address))
    }

    async fn link(&self) -> Result<Link> {
        let mut state = self.state.lock().await;
        if let Some(link) = state.link.as_ref().filter(|l| !l.closed.load(Ordering::Acquire)) {
            return Ok(link.clone());
        }
        state.link = None;
        self.check_backoff(&state)?;
        let link = self.connect_with_retries(&mut state).await?;
        state.link = Some(link.clone());
        Ok(link)
    }

    /// Fails at once while a peer counts as unreachable.
    fn check_backoff(&self, state: &State) -> Result<()> {
        match state.retry_at.filter(|at| *at > Instant::now()) {
            Some(_) => Err(self.unreachable("unreachable a moment ago")),
            None => Ok(()),
        }
    }

    async fn connect_with_retries(&self, state: &mut State) -> Result<Link> {
        // A peer that was unreachable gets one attempt, not several.
        let attempts = match state.failures {
            0 => self.cfg.connect_attempts,
            _ => 1,
        };
        let mut attempt = 1;
        loop {
            let e = match self.connect().await {
                Ok(link) => {
                    *state = State::default();
                    return Ok(link);
                }
                Err(e) => e,
            };
            state.failures = state.failures.saturating_add(1);
            let pause = backoff(&self.cfg, state.failures);
            // Another attempt does not change a secret or a version.
            if attempt >= attempts || e.is_authentication_failure() || e.is_version_mismatch() {
                state.retry_at = Some(Instant::now() + pause);
                log::warn!("peer {} is unreachable: {e}", self.address);
                return Err(e);
            }
            attempt += 1;
            sleep(pause).await;
        }
    }

    async fn connect(&self) -> Result<Link> {
        match timeout(self.cfg.connect_timeout, self.connect_now()).await {
            Ok(link) => link,
            Err(_) => Err(self.unreachable("no handshake in time")),
        }
    }

    async fn connect_now(&self) -> Result<Link> {
        let stream = TcpStream::connect(self.address).await.map_err(|e| self.io(e))?;
        stream.set_nodelay(true).map_err(|e| self.io(e))?;
        let (send, connection) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .data_frame_budget(FRAME_BUDGET_BYTES)
            .enable_push(false)
            .handshake(stream)
            .await
            .map_err(|e| self.not_opened(&e))?;
        let closed = Arc::new(AtomicBool::new(false));
        let (keep, dropped) = oneshot::channel::<()>();
        let activity = Activity::default();
        tokio::spawn(drive(
            connection,
            activity.clone(),
            self.cfg.clone(),
            self.counters.clone(),
            closed.clone(),
            dropped,
        ));
        let send = self.prove(send).await?;
        // From here on the connection lives on its own.
        let _ = keep.send(());
        Ok(Link { send, closed, activity })
    }

    async fn prove(&self, send: SendRequest<Bytes>) -> Result<SendRequest<Bytes>> {
        let mut send = send.ready().await.map_err(|e| self.not_opened(&e))?;
        let (response, mut tx) =
            send.send_request(request(), false).map_err(|e| self.not_opened(&e))?;
        let body = self.body(response).await?;
        let mut rx = FrameReader::new(body, MAX_HELLO_BYTES);
        match handshake::connect(&self.cfg, &mut tx, &mut rx).await {
            Ok(_) => {
                let _ = tx.send_data(Bytes::new(), true);
                Ok(send)
            }
            Err(e) => Err(self.handshake_error(&e)),
        }
    }

    async fn body(&self, response: ResponseFuture) -> Result<RecvStream> {
        let response = response.await.map_err(|e| self.not_opened(&e))?;
        Ok(response.into_body())
    }

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

    fn io(&self, e: std::io::Error) -> Error {
        Error::io(Kind::Unreachable, format!("peer {}", self.address), e)
    }

    fn unreachable(&self, reason: &str) -> Error {
        Error::new(Kind::Unreachable, format!("peer {}: {reason}", self.address))
    }
}

/// Moves a connection until it ends or its other end is silent.
async fn drive(
    mut connection: Connection<TcpStream, Bytes>,
    activity: Activity,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    closed: Arc<AtomicBool>,
    kept: oneshot::Receiver<()>,
) {
    if let Some(ping_pong) = connection.ping_pong() {
        let abandoned = async {
            if let Ok(()) = kept.await {
                std::future::pending().await
            }
        };
        tokio::select! {
            ended = connection => log::debug!("link ended: {ended:?}"),
            () = ping::watch(ping_pong, activity, cfg, counters) => log::warn!("link lost, peer is silent"),
            () = abandoned => (),
        }
    }
    closed.store(true, Ordering::Release);
}

/// Pause after so many failures in a row: doubled with each, with jitter so
/// that many daemons don't come back at the same moment.
fn backoff(cfg: &LinkConfig, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let full = cfg.min_backoff.saturating_mul(1 << doublings).min(cfg.max_backoff);
    let mut random = [0; 1];
    let _ = getrandom::fill(&mut random);
    full / 2 + full.mul_f64(f64::from(random[0]) / 512.0)
}

fn request() -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(TARGET);
    request
}
