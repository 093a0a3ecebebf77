//! Exchange of one request and its response with an upstream, on a connection of its own.
//!
//! Connections are not reused. A late response can thus not be taken for that of another request:
//! its connection is already closed. Nor is a request sent on a connection that the upstream is
//! about to close, or that was lost unnoticed while it was idle. The price is one round trip within
//! the region for each request.
//!
//! An upstream may vanish without closing its connections, as may the path to it. Idle connections
//! are therefore probed, so that a request whose upstream is gone fails after 3 s. No `TCP_USER_TIMEOUT`
//! is set: it would take the place of the number of probes, and break a connection on which the upstream
//! only reads late.

use crate::budget::BodyBudget;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, header, request, response};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    convert::Infallible,
    error::Error as _,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Length in bytes up to which a body, or an event, takes no memory from a budget: there is one for each
/// connection.
pub const SHORT_BODY_BYTES: usize = 16 << 10;
/// Bytes of a request's body that are passed on at a time.
const REQUEST_CHUNK_BYTES: usize = 64 << 10;
/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Idle time after which a connection is probed, and the interval of further probes. TCP takes whole
/// seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of probes without a response after which the upstream counts as gone, 3 s after its last
/// sign of life: memory that helpers reserve for it must be free 4 s after its end.
const PROBES: u32 = 2;

/// Response of an upstream, with the body still to be read.
#[derive(Debug)]
pub struct ExchangeResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, to be read with [`ResponseBody::next`] or [`read_response_body`].
    pub body: ResponseBody,
}

/// Body of a response. Dropping it closes the connection, which tells the upstream that nobody
/// waits for the rest.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    /// Whether the whole request was passed on, for a success that ends with its connection. Until then, the
    /// end of the connection doesn't show that the response is whole.
    is_request_sent: Option<Arc<AtomicBool>>,
    _connection: ConnectionTask,
}

/// Body of a request, which shows whether it was passed on to the connection.
struct RequestBody {
    rest: Bytes,
    is_sent: Arc<AtomicBool>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(REQUEST_CHUNK_BYTES);
        let bytes = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.is_sent.store(true, Ordering::Release);
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Task that reads from and writes to a connection. Dropping it aborts the task, which closes the
/// connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Failure to connect, to send the request or to receive the complete response.
#[derive(Debug)]
pub struct ExchangeError {
    may_have_run: bool,
    is_unresponsive: bool,
    reason: String,
}

impl ExchangeError {
    /// Whether the upstream may have received the request, and thus may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the upstream's VM no longer responded to probes of the connection, or the path to it was
    /// lost. A process that crashes closes its connections.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Failure before any part of the request was sent.
    pub fn unsent(reason: impl fmt::Display) -> Self {
        Self { may_have_run: false, is_unresponsive: false, reason: reason.to_string() }
    }

    /// Failure after which the upstream may have received the request.
    pub fn sent(reason: impl fmt::Display) -> Self {
        Self { may_have_run: true, is_unresponsive: false, reason: reason.to_string() }
    }

    /// Failure after which the upstream may have received the request, and no longer responds to probes.
    pub fn unresponsive(reason: impl fmt::Display) -> Self {
        Self { is_unresponsive: true, ..Self::sent(reason) }
    }

    /// Failure of the connection after which the upstream may have received the request.
    fn broken(err: &hyper::Error) -> Self {
        let mut is_unresponsive = false;
        let mut cause = err.source();
        while let Some(err) = cause {
            let kind = err.downcast_ref::<io::Error>().map(io::Error::kind);
            is_unresponsive |= kind == Some(io::ErrorKind::TimedOut);
            cause = err.source();
        }
        Self { is_unresponsive, ..Self::sent(err) }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ExchangeError {}

/// Way to the upstreams, and to other daemons: the address that a connection is made to. Tests pass one
/// that leads through proxies which inject faults.
#[derive(Clone)]
pub struct Connector {
    route: Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>,
}

impl Connector {
    /// Connects to the upstreams' own addresses.
    pub fn direct() -> Self {
        Self::through(|address| address)
    }

    /// Connects to the address that `route` returns for that of an upstream.
    pub fn through(route: impl Fn(SocketAddr) -> SocketAddr + Send + Sync + 'static) -> Self {
        Self { route: Arc::new(route) }
    }

    /// Address that a connection to this one is made to.
    pub fn route_to(&self, address: SocketAddr) -> SocketAddr {
        (self.route)(address)
    }

    /// Connects to an upstream within `limit`. The connection is probed while it is idle.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be made, with [`io::ErrorKind::TimedOut`] if it is not made in
    /// time.
    pub async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        let connecting = timeout(limit, TcpStream::connect(self.route_to(address)));
        let stream = connecting.await.unwrap_or_else(|_| {
            let reason = "connecting to the upstream timed out";
            Err(io::Error::new(io::ErrorKind::TimedOut, reason))
        })?;
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        Ok(stream)
    }
}

impl fmt::Debug for Connector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connector").finish_non_exhaustive()
    }
}

/// Sends the request with this head and body on a connection that [`Connector::connect`] made, and
/// waits for the head of the response.
///
/// Time is not limited. To limit the wait for the response, drop the future, which closes the
/// connection.
///
/// # Errors
///
/// Fails if the connection breaks, if the upstream no longer responds to probes of the connection, or
/// if what arrives is not a valid response head of at most 64 KiB.
/// [`ExchangeError::may_have_run`] is false only for a failure before any part of the request was
/// sent.
pub async fn exchange(
    stream: TcpStream,
    head: request::Parts,
    body: Bytes,
) -> Result<ExchangeResponse, ExchangeError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(ExchangeError::unsent)?;
    let connection = ConnectionTask(tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to an upstream failed: {err}");
        }
    }));
    let is_sent = Arc::new(AtomicBool::new(body.is_empty()));
    let body = RequestBody { rest: body, is_sent: Arc::clone(&is_sent) };
    let request = Request::from_parts(head, body);
    // How much of the request was written before an error is unknown, so any counts as sent.
    let response = sender.send_request(request).await.map_err(|err| ExchangeError::broken(&err))?;
    let (head, body) = Response::into_parts(response);
    let is_request_sent =
        (head.status.is_success() && ends_with_connection(&head, &body)).then_some(is_sent);
    let body = ResponseBody { body, is_request_sent, _connection: connection };
    Ok(ExchangeResponse { head, body })
}

/// Whether only the end of the connection shows that a response is complete.
fn ends_with_connection(head: &response::Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_none() && !head.headers.contains_key(header::TRANSFER_ENCODING)
}

impl ResponseBody {
    /// Waits for the next bytes. Returns `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the body is complete. A success that ends with its connection is
    /// not complete before the request was sent: an upstream that closes the connection while the request
    /// arrives resets it, and the end may come before the reset.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                None if self.is_request_unsent() => {
                    let reason = "the connection ended within the request";
                    return Err(ExchangeError::sent(reason));
                }
                None => return Ok(None),
                Some(Err(err)) => return Err(ExchangeError::broken(&err)),
                Some(Ok(frame)) => {
                    // Other frames hold trailers. They are dropped, as requests ask for none.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    fn is_request_unsent(&self) -> bool {
        self.is_request_sent.as_ref().is_some_and(|is_sent| !is_sent.load(Ordering::Acquire))
    }

    /// Number of bytes still to be received, if the response states its length.
    pub fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }
}

/// Reads a whole body of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the connection breaks before the body is complete, or if the body is longer.
pub async fn read_response_body(
    body: &mut ResponseBody,
    max_bytes: usize,
) -> Result<Bytes, ExchangeError> {
    read_body(body, max_bytes, None).await
}

/// As [`read_response_body`], with the memory for a body that isn't short taken from `budget`. While too
/// little is free, the body is read no further.
///
/// # Errors
///
/// As [`read_response_body`].
pub async fn read_budgeted_body(
    body: &mut ResponseBody,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<Bytes, ExchangeError> {
    read_body(body, max_bytes, Some(budget)).await
}

async fn read_body(
    body: &mut ResponseBody,
    max_bytes: usize,
    budget: Option<&BodyBudget>,
) -> Result<Bytes, ExchangeError> {
    let stated = body.remaining_bytes().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let mut permit = None;
    let mut buf = BytesMut::new();
    while let Some(bytes) = body.next().await? {
        let length = buf.len() + bytes.len();
        if length > max_bytes || stated.is_some_and(|stated| stated > max_bytes) {
            return Err(ExchangeError::sent(format!(
                "response body is longer than {max_bytes} bytes"
            )));
        }
        buf.extend_from_slice(&bytes);
        if length > SHORT_BODY_BYTES
            && permit.is_none()
            && let Some(budget) = budget
        {
            // All that the body may need, so that no two bodies wait for each other.
            permit = Some(budget.acquire(stated.unwrap_or(max_bytes) as u64).await);
        }
    }
    Ok(buf.freeze())
}
