//! Takes connections of callers.

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

/// Pause after a failed accept, as most causes need time to pass.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Least room for a head that the HTTP library accepts.
const HEAD_BYTES_MIN: usize = 8 << 10;
/// Connections that wait to be accepted. A full queue costs callers whole seconds.
const BACKLOG: i32 = 1_024;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Time that a connection may stay open without a whole head.
    pub idle_timeout: Duration,
    /// Open connections; one more is closed at once.
    pub max_connections: usize,
}

/// Open connections of a server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Their number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Whether there are none.
    pub fn is_zero(&self) -> bool {
        self.get() == 0
    }

    fn open(&self) -> Open {
        self.0.fetch_add(1, Ordering::Relaxed);
        Open(self.clone())
    }
}

/// Counts a connection while it lives.
struct Open(ConnectionCount);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A listening socket with its bounds.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    cfg: ServerConfig,
    connections: ConnectionCount,
}

impl Server {
    /// Listens.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn bind(address: SocketAddr, cfg: ServerConfig) -> io::Result<Self> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { listener, cfg, connections: ConnectionCount::default() })
    }

    /// The address that is listened on, with the port that was taken.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Its open connections.
    pub fn connection_count(&self) -> ConnectionCount {
        self.connections.clone()
    }
}

/// Serves connections until the task ends. Once `is_stopping` turns true, each connection
/// is closed after the request that it is busy with, and new ones serve one request.
///
/// If the caller leaves, the future that `handler` returned is dropped.
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
        let open = server.connections.open();
        let connection = run(stream, server.cfg, is_stopping.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(open);
        });
    }
}

async fn run<H, F>(
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
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(cfg.idle_timeout)
        .max_buf_size(cfg.max_head_bytes.max(HEAD_BYTES_MIN))
        .keep_alive(!*is_stopping.borrow());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = async {
        // An error means that the sender is gone, which only happens at the end.
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

/// Reads a request's body of at most `max` bytes.
///
/// # Errors
///
/// 413 for a longer one, 408 for one that does not come within `timeout`, and 400 for one
/// that is cut short.
pub async fn read_request_body(
    body: Incoming,
    max: u64,
    timeout: Duration,
) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > max {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match tokio::time::timeout(timeout, collect(body, max)).await {
        Ok(read) => read,
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

async fn collect(mut body: Incoming, max: u64) -> Result<Bytes, StatusCode> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if (all.len() + bytes.len()) as u64 > max {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        all.extend_from_slice(&bytes);
    }
    Ok(all.freeze())
}
