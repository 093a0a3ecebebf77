//! One request to one upstream, on a connection of its own.
//!
//! A connection is never used twice. So an answer that comes late belongs to a connection
//! that is closed, no request meets a connection that the upstream is about to close, and
//! a connection that went silent while it was idle is never written to. A connection
//! costs one round trip inside a region.

use bytes::{Bytes, BytesMut};
use http::{Request, Response, request};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body as _, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use std::{fmt, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Most bytes of the head of an answer.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// The answer of an upstream, whose body is still to be read.
#[derive(Debug)]
pub struct ExchangeResponse {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// Its body.
    pub body: ResponseBody,
}

/// The body of an answer. Dropped, it closes the connection, by which the upstream learns
/// that nobody waits any more.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    _connection: Connection,
}

/// The task that moves the bytes of a connection, ended when dropped.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An exchange that ended before a whole answer.
#[derive(Debug)]
pub struct ExchangeError {
    is_sent: bool,
    reason: String,
}

impl ExchangeError {
    /// Whether the upstream may have got the request.
    pub fn is_sent(&self) -> bool {
        self.is_sent
    }

    fn unsent(reason: impl fmt::Display) -> Self {
        Self { is_sent: false, reason: reason.to_string() }
    }

    fn sent(reason: impl fmt::Display) -> Self {
        Self { is_sent: true, reason: reason.to_string() }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ExchangeError {}

/// Connects within `connect_timeout`, sends a request and waits for the head of its
/// answer. Dropped, it closes the connection.
///
/// # Errors
///
/// [`ExchangeError::is_sent`] tells whether the upstream may have got the request.
pub async fn exchange(
    address: SocketAddr,
    connect_timeout: Duration,
    head: request::Parts,
    body: Bytes,
) -> Result<ExchangeResponse, ExchangeError> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ExchangeError::unsent(err)),
        Err(_) => return Err(ExchangeError::unsent("no connection in time")),
    };
    stream.set_nodelay(true).map_err(ExchangeError::unsent)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_BYTES_MAX);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(ExchangeError::unsent)?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address}: {err}");
        }
    }));
    let request = Request::from_parts(head, Full::new(body));
    let answer = sender.send_request(request).await.map_err(ExchangeError::sent)?;
    let (head, body) = Response::into_parts(answer);
    Ok(ExchangeResponse { head, body: ResponseBody { body, _connection: connection } })
}

impl ResponseBody {
    /// The next bytes, or `None` at the end of a whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body ends before its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(err)) => return Err(ExchangeError::sent(err)),
                Some(Ok(frame)) => {
                    // Trailers are dropped: nobody asked for any.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Length of the rest, if the upstream said it.
    pub fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }
}

/// Reads a body of at most `max` bytes whole.
///
/// # Errors
///
/// Fails if the body ends before its end, or is longer.
pub async fn read_response_body(
    body: &mut ResponseBody,
    max: usize,
) -> Result<Bytes, ExchangeError> {
    let mut all = BytesMut::new();
    while let Some(bytes) = body.next().await? {
        if all.len() + bytes.len() > max {
            return Err(ExchangeError::sent(format!("a body of over {max} bytes")));
        }
        all.extend_from_slice(&bytes);
    }
    Ok(all.freeze())
}
