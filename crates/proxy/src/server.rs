//! HTTP server for callers.

use crate::body::Body;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Pause after a connection could not be accepted. Most causes, such as a lack of file descriptors,
/// last for a while, so a retry at once would fail again.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts, in bytes; it panics on a smaller one.
const MIN_HYPER_BUFFER_BYTES: usize = 8 << 10;
/// Length of the queue of connections to be accepted. While it is full, callers that connect wait
/// for whole seconds until TCP tries again.
const BACKLOG: i32 = 1_024;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Maximum size of a request's head, in bytes. Values below 8 KiB count as 8 KiB.
    pub max_head_bytes: usize,
    /// Longest time that a connection may stay open without a complete head of a request, whether
    /// it is idle or the head arrives slowly.
    pub idle_timeout: Duration,
    /// Maximum number of open connections. Any further one is closed at once.
    pub max_connections: usize,
}

/// Number of open connections of a server. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Number of connections that are open now.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Whether no connection is open.
    pub fn is_zero(&self) -> bool {
        self.get() == 0
    }

    /// Counts one more connection until the returned value is dropped.
    fn count_open(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.clone())
    }
}

/// Open connection that is counted until this is dropped.
struct OpenConnection(ConnectionCount);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listening socket with the limits of its connections. [`serve`] accepts and serves them.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    cfg: ServerConfig,
    connections: ConnectionCount,
}

impl Server {
    /// Listens on `address`. Port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on, for example because it is in use.
    pub fn bind(address: SocketAddr, cfg: ServerConfig) -> io::Result<Self> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        // Connections of a former process may not have timed out yet; without this option they
        // would block the address.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { listener, cfg, connections: ConnectionCount::default() })
    }

    /// Address that the server listens on, with the actual port.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Number of open connections, which stays up to date while the server runs.
    pub fn connection_count(&self) -> ConnectionCount {
        self.connections.clone()
    }
}

/// Accepts and serves connections until the future is dropped. The connections open at that time
/// are still served.
///
/// Once `is_stopping` turns true, each connection is closed after the request in progress, and a
/// connection accepted later serves only one request.
///
/// If the caller disconnects, the future that `handler` returned for its request is dropped.
pub async fn serve<H, F>(server: Server, is_stopping: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = match server.listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("connection not accepted: {err}");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if server.connections.get() >= server.cfg.max_connections {
            log::warn!("connection closed: {} are open", server.cfg.max_connections);
            continue;
        }
        let open = server.connections.count_open();
        let connection = serve_connection(stream, server.cfg, is_stopping.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(open);
        });
    }
}

/// Serves one connection until it is closed.
async fn serve_connection<H, F>(
    stream: TcpStream,
    cfg: ServerConfig,
    mut is_stopping: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    if let Err(err) = stream.set_nodelay(true) {
        return log::debug!("connection lost: {err}");
    }
    let service = service_fn(|req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(cfg.idle_timeout)
        .max_buf_size(cfg.max_head_bytes.max(MIN_HYPER_BUFFER_BYTES))
        .keep_alive(!*is_stopping.borrow());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = async {
        // An error means that the sender was dropped, so the process is about to end.
        let _ = is_stopping.wait_for(|is_stopping| *is_stopping).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("connection ended: {err}");
    }
}

/// Reads a request's whole body of at most `max_bytes`.
///
/// # Errors
///
/// The status for the response to the caller: 413 if the body is longer, 408 if it is not complete
/// within `timeout`, and 400 if the connection breaks or the body is malformed.
pub async fn read_request_body(
    body: Incoming,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > max_bytes {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match tokio::time::timeout(timeout, collect_body(body, max_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Reads a whole body without a limit of time, with the errors of [`read_request_body`].
async fn collect_body(mut body: Incoming, max_bytes: u64) -> Result<Bytes, StatusCode> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if (buf.len() + bytes.len()) as u64 > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        buf.extend_from_slice(&bytes);
    }
    Ok(buf.freeze())
}
