//! Server: takes requests from `tiny_http`, checks them and runs the handler on worker threads.
//!
//! The accept thread of a `tiny_http` server ends at its first error, such as a lack of file
//! descriptors. A supervisor then starts another `tiny_http` server (a generation) on the same
//! listening socket, while the connections of the earlier ones are still served. It also probes the
//! listener, as an accept thread that panics ends without reporting an error.

use crate::{
    ApiError, CallerRequest, EdgeConfig, Error, Header, RequestHeaders, ResponseHandle, Result,
    body,
    heartbeat::Heartbeats,
    in_flight::InFlight,
    listener::{self, PROBE_PATH, ProbeResult},
    quarantine,
    workers::WorkerPool,
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tiny_http::Request;

/// Handler of one request. It runs on a worker thread, and may pass the request on to another
/// thread that responds later.
pub type Handler = Arc<dyn Fn(CallerRequest) + Send + Sync>;

/// Interval at which a dispatch loop checks whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after each restart of the listener: most causes of a failed accept take time to pass.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Retry delay for callers that are refused because every worker is busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Listening server. It stops accepting connections when dropped; requests in handlers go on.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    /// Dropped to wake the heartbeat thread and the supervisor, which end then.
    stop: Option<flume::Sender<()>>,
}

/// State shared by the threads of a server.
struct Shared {
    cfg: EdgeConfig,
    handler: Handler,
    heartbeats: Arc<Heartbeats>,
    /// Read bodies and run the handler.
    workers: WorkerPool,
    /// Send refusals while all workers are busy.
    refusal_workers: WorkerPool,
    stopping: AtomicBool,
    listener_restarts: AtomicU64,
    in_flight: Arc<AtomicUsize>,
    quarantined_connections: AtomicU64,
    dispatch_loops: AtomicUsize,
}

impl Server {
    /// Binds the address and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or a thread can't start.
    pub fn start(cfg: EdgeConfig, handler: Handler) -> Result<Self> {
        let listener = listener::bind(&cfg)?;
        let io_error = |e| Error::io("server not started".to_owned(), e);
        let address = listener.local_addr().map_err(io_error)?;
        let (stop, stopped) = flume::bounded(0);
        let (heartbeats, heartbeat) =
            Heartbeats::start(cfg.heartbeat_interval, stopped.clone()).map_err(io_error)?;
        let shared = Arc::new(Shared {
            workers: WorkerPool::new("edge-worker", cfg.max_requests),
            refusal_workers: WorkerPool::new("edge-refusal", cfg.max_refusals),
            cfg,
            handler,
            heartbeats,
            stopping: AtomicBool::new(false),
            listener_restarts: AtomicU64::new(0),
            in_flight: Arc::default(),
            quarantined_connections: AtomicU64::new(0),
            dispatch_loops: AtomicUsize::new(0),
        });
        let first = start_generation(&listener, &shared).map_err(io_error)?;
        let supervisor = spawn("edge-listener", {
            let shared = shared.clone();
            move || supervise(listener, address, first, &shared, &stopped)
        })
        .map_err(io_error)?;
        Ok(Self { address, shared, threads: vec![heartbeat, supervisor], stop: Some(stop) })
    }

    /// Address that the server listens on, with the port assigned by the system if port 0 was set.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of times that a new `tiny_http` server (generation) replaced one that accepted no more
    /// connections.
    pub fn listener_restarts(&self) -> u64 {
        self.shared.listener_restarts.load(Ordering::Relaxed)
    }

    /// Number of threads that pass requests from connections to the workers: one for the current
    /// generation, and one for each earlier generation that still has connections.
    pub fn dispatch_threads(&self) -> usize {
        self.shared.dispatch_loops.load(Ordering::Acquire)
    }

    /// Number of requests received whose response is not yet complete.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Number of connections that are kept open until the process ends, as closing them could abort
    /// the process: their requests declared a body that is too large to allocate. Each takes two
    /// threads; if there are many, restart the process gracefully.
    pub fn quarantined_connections(&self) -> u64 {
        self.shared.quarantined_connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections. Requests in handlers go on.
    pub fn stop(mut self) {
        self.stop_threads();
    }

    fn stop_threads(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        self.stop = None;
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the server at {} panicked", self.address);
            }
        }
        listener::wait_until_closed(self.address);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop_threads();
    }
}

/// One `tiny_http` server on the shared listening socket. Its accept thread ends at the first
/// error, but its open connections are still served.
struct Generation {
    /// Receives one message when the accept thread has ended.
    accept_failed: flume::Receiver<()>,
    dispatch_loop: JoinHandle<()>,
}

/// Starts a `tiny_http` server on the listening socket, and the dispatch loop that serves it.
fn start_generation(listener: &TcpListener, shared: &Arc<Shared>) -> io::Result<Generation> {
    let server = tiny_http::Server::from_listener(listener.try_clone()?, None)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (accept_failed_tx, accept_failed) = flume::bounded(1);
    let shared = shared.clone();
    let dispatch_loop =
        spawn("edge-accept", move || DispatchLoop::new(server, shared, accept_failed_tx).run())?;
    Ok(Generation { accept_failed, dispatch_loop })
}

/// Starts a new generation whenever the accept thread of the last one has ended, until the server
/// stops.
fn supervise(
    listener: TcpListener,
    address: SocketAddr,
    first: Generation,
    shared: &Arc<Shared>,
    stopped: &flume::Receiver<()>,
) {
    let mut generations = vec![first];
    let mut must_replace = false;
    while !shared.stopping.load(Ordering::Acquire) {
        must_replace |=
            generations.last().is_none_or(|g| wait_for_accept_failure(g, address, shared, stopped));
        generations.retain(|g| !g.dispatch_loop.is_finished());
        // Retried until it succeeds: without file descriptors, the restart fails as well.
        while must_replace && !shared.stopping.load(Ordering::Acquire) {
            match start_generation(&listener, shared) {
                Ok(generation) => {
                    must_replace = false;
                    shared.listener_restarts.fetch_add(1, Ordering::Relaxed);
                    metrics::counter!("edge_listener_restarts").increment(1);
                    generations.push(generation);
                }
                Err(e) => log::error!("could not restart the listener at {address}: {e}"),
            }
            let _ = stopped.recv_timeout(RESTART_DELAY);
        }
    }
    // Closed before the generations end: each of them connects to the address as it ends, which
    // could block for minutes if the listener were open but nothing accepted.
    drop(listener);
    for generation in generations {
        let _ = generation.dispatch_loop.join();
    }
}

/// Waits up to one probe interval for a failure of the generation, then probes the listener.
/// Returns whether the generation must be replaced.
///
/// The probes also prevent an accept from waiting longer than the read timeout, which would end the
/// accept thread of an idle listener.
fn wait_for_accept_failure(
    generation: &Generation,
    address: SocketAddr,
    shared: &Shared,
    stopped: &flume::Receiver<()>,
) -> bool {
    let accept_failed = flume::Selector::new()
        .recv(&generation.accept_failed, |r| Some(r.is_ok()))
        .recv(stopped, |_| Some(false))
        .wait_timeout(shared.cfg.probe_interval);
    match accept_failed {
        Ok(Some(accept_failed)) => accept_failed,
        Ok(None) | Err(_) => listener::probe(address) == ProbeResult::Silent,
    }
}

/// Loop that passes the requests of one `tiny_http` server to the workers.
struct DispatchLoop {
    server: tiny_http::Server,
    shared: Arc<Shared>,
    accept_failed: flume::Sender<()>,
    /// Requests of this `tiny_http` server that are in flight.
    in_flight: Arc<AtomicUsize>,
    accept_ended: bool,
    last_request_at: Instant,
}

impl DispatchLoop {
    /// Loop that has not started yet, but counts in [`Server::dispatch_threads`] until it is dropped.
    fn new(
        server: tiny_http::Server,
        shared: Arc<Shared>,
        accept_failed: flume::Sender<()>,
    ) -> Self {
        shared.dispatch_loops.fetch_add(1, Ordering::AcqRel);
        let in_flight = Arc::default();
        let last_request_at = shared.cfg.clock.now();
        Self { server, shared, accept_failed, in_flight, accept_ended: false, last_request_at }
    }

    /// Runs until the server stops, or until the accept thread and all connections have ended.
    fn run(mut self) {
        while !self.shared.stopping.load(Ordering::Acquire) && !self.is_finished() {
            match self.server.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(Some(request)) => {
                    self.last_request_at = self.shared.cfg.clock.now();
                    dispatch(request, &self.shared, &self.in_flight);
                }
                Ok(None) => (),
                Err(e) => {
                    log::warn!("accept failed; restarting the listener: {e}");
                    self.accept_ended = true;
                    let _ = self.accept_failed.try_send(());
                }
            }
        }
    }

    /// Whether the accept thread and all connections have ended. A connection without a request for
    /// the read timeout is closed, so after twice that time none remains.
    fn is_finished(&self) -> bool {
        let idle = self.shared.cfg.clock.now().saturating_duration_since(self.last_request_at);
        self.accept_ended
            && self.in_flight.load(Ordering::Acquire) == 0
            && idle > 2 * self.shared.cfg.read_timeout
    }
}

impl Drop for DispatchLoop {
    fn drop(&mut self) {
        self.shared.dispatch_loops.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Passes a request to a worker. Responds to a probe at once, and refuses the request if all
/// workers are busy. `generation` counts the requests in flight of the request's `tiny_http`
/// server.
fn dispatch(request: Request, shared: &Arc<Shared>, generation: &Arc<AtomicUsize>) {
    let empty = request.body_length().is_none_or(|n| n == 0);
    if request.url() == PROBE_PATH && empty {
        let _ = request.respond(tiny_http::Response::empty(204));
        return;
    }
    let received = shared.cfg.clock.now();
    let cell = Arc::new(Mutex::new(Some((request, InFlight::new(&shared.in_flight, generation)))));
    let accepted = shared.workers.run({
        let (cell, shared) = (cell.clone(), shared.clone());
        Box::new(move || {
            if let Some((request, in_flight)) = take_request(&cell) {
                serve(request, received, &shared, in_flight);
            }
        })
    });
    if accepted.is_ok() {
        return;
    }
    metrics::counter!("edge_refused_busy").increment(1);
    let refuse_overloaded = {
        let (cell, shared) = (cell.clone(), shared.clone());
        move || {
            if let Some((request, in_flight)) = take_request(&cell) {
                refuse(request, overloaded(), &shared, in_flight);
            }
        }
    };
    // If no thread is available, the refusal is sent here, which delays the requests behind it.
    if let Err(task) = shared.refusal_workers.run(Box::new(refuse_overloaded)) {
        task();
    }
}

/// Takes the request out of the cell that the tasks of a worker and of a refusal share.
fn take_request<T>(cell: &Mutex<Option<T>>) -> Option<T> {
    cell.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// Refusal of a request that found every worker busy.
fn overloaded() -> ApiError {
    ApiError::refusal(503, "overloaded", "every worker is busy").with_retry_after(BUSY_RETRY_DELAY)
}

/// Checks a request, reads its body, and calls the handler or sends a refusal.
fn serve(mut request: Request, received: Instant, shared: &Arc<Shared>, in_flight: InFlight) {
    let result = read_request(&mut request, received, &shared.cfg);
    let (head, body) = match result {
        Ok(head_and_body) => head_and_body,
        Err(e) => return refuse(request, e, shared, in_flight),
    };
    let remote = request.remote_addr().copied();
    let response = ResponseHandle::new(request, shared.heartbeats.clone(), in_flight);
    (shared.handler)(CallerRequest {
        method: head.method,
        path: head.path,
        query: head.query,
        headers: head.headers,
        body,
        remote,
        received,
        response,
    });
}

/// Sends a refusal, and quarantines the request if it can't be dropped safely.
fn refuse(mut request: Request, e: ApiError, shared: &Shared, in_flight: InFlight) {
    metrics::counter!("edge_refused", "code" => e.code.clone()).increment(1);
    if !quarantine::may_drop(&mut request, &e) {
        return quarantine::respond(request, &e, &shared.quarantined_connections);
    }
    let response = ResponseHandle::new(request, shared.heartbeats.clone(), in_flight);
    if let Err(e) = response.error(e) {
        log::debug!("refusal not written: {e}");
    }
}

/// Method, target and headers of a request.
struct RequestHead {
    method: http::Method,
    path: String,
    query: String,
    headers: RequestHeaders,
}

/// Checks the head of a request and reads its body.
fn read_request(
    request: &mut Request,
    received: Instant,
    cfg: &EdgeConfig,
) -> std::result::Result<(RequestHead, Vec<u8>), ApiError> {
    let headers = request
        .headers()
        .iter()
        .map(|h| Header {
            name: h.field.as_str().as_str().to_ascii_lowercase(),
            value: h.value.as_str().to_owned(),
        })
        .collect::<Vec<_>>();
    body::check_headers(&headers, cfg)?;
    let headers = RequestHeaders::parse(headers)?;
    let method = http::Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|_| ApiError::refusal(400, "invalid_method", "the method is not a token"))?;
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    let head = RequestHead { method, path: path.to_owned(), query: query.to_owned(), headers };
    let declared_bytes = request.body_length();
    body::check_framing(&head.headers, declared_bytes)?;
    let body = body::read(request.as_reader(), declared_bytes, received, cfg)?;
    Ok((head, body))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}
