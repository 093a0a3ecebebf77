//! Accepts requests and hands them to workers.

use crate::{
    ApiError, CallerRequest, EdgeConfig, Error, Header, ReplyHandle, RequestHeaders, Result, body,
    heartbeat::Heartbeats,
    in_flight::InFlight,
    listener::{self, PROBE_PATH, Probe},
    quarantine,
    workers::Workers,
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

/// Answers one request. Runs on a worker thread, and may hand the request on.
pub type Handler = Arc<dyn Fn(CallerRequest) + Send + Sync>;

/// Longest time that a thread takes to notice that the server stops.
const TICK: Duration = Duration::from_millis(100);
/// Pause after a failed accept, as most causes need time to pass.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// When to come back to a server with every worker busy.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// A listening server. Stops accepting when dropped; requests in handlers go on.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    /// Closed to wake the threads that wait for the next tick.
    stop: Option<flume::Sender<()>>,
}

struct Shared {
    cfg: EdgeConfig,
    handler: Handler,
    heartbeats: Arc<Heartbeats>,
    workers: Workers,
    refusals: Workers,
    stopping: AtomicBool,
    restarts: AtomicU64,
    in_flight: Arc<AtomicUsize>,
    quarantined: AtomicU64,
    pumps: AtomicUsize,
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
            workers: Workers::new("edge-worker", cfg.max_requests),
            refusals: Workers::new("edge-refusal", cfg.max_refusals),
            cfg,
            handler,
            heartbeats,
            stopping: AtomicBool::new(false),
            restarts: AtomicU64::new(0),
            in_flight: Arc::default(),
            quarantined: AtomicU64::new(0),
            pumps: AtomicUsize::new(0),
        });
        let first = start_generation(&listener, &shared).map_err(io_error)?;
        let supervisor = spawn("edge-listener", {
            let shared = shared.clone();
            move || supervise(listener, address, first, &shared, &stopped)
        })
        .map_err(io_error)?;
        Ok(Self { address, shared, threads: vec![heartbeat, supervisor], stop: Some(stop) })
    }

    /// The address that is listened on, with the port that was taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often the listener was started again after a failed accept.
    pub fn listener_restarts(&self) -> u64 {
        self.shared.restarts.load(Ordering::Relaxed)
    }

    /// Threads that take requests: one for the listener, and one for each
    /// earlier listener that still has connections.
    pub fn accept_threads(&self) -> usize {
        self.shared.pumps.load(Ordering::Acquire)
    }

    /// Requests that are not yet answered.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Connections that stay open until the process ends, as closing them
    /// would end it at once. Each costs two threads; with many of them, stop
    /// gracefully and start again.
    pub fn quarantined_connections(&self) -> u64 {
        self.shared.quarantined.load(Ordering::Relaxed)
    }

    /// Stops accepting. Requests in handlers go on.
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

/// One tiny_http server. Its accept thread ends for good at the first error,
/// but its connections go on and are still served.
struct Generation {
    /// Gets one message when the accept thread has ended.
    failed: flume::Receiver<()>,
    pump: JoinHandle<()>,
}

fn start_generation(listener: &TcpListener, shared: &Arc<Shared>) -> io::Result<Generation> {
    let server = tiny_http::Server::from_listener(listener.try_clone()?, None)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (failed_tx, failed) = flume::bounded(1);
    let shared = shared.clone();
    let pump = spawn("edge-accept", move || Pump::new(server, shared, failed_tx).run())?;
    Ok(Generation { failed, pump })
}

/// Replaces a generation whose accept thread has ended, until the server stops.
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
            generations.last().is_none_or(|g| wait_for_failure(g, address, shared, stopped));
        generations.retain(|g| !g.pump.is_finished());
        // Stays due until it succeeds: without file descriptors it fails as well.
        while must_replace && !shared.stopping.load(Ordering::Acquire) {
            match start_generation(&listener, shared) {
                Ok(generation) => {
                    must_replace = false;
                    shared.restarts.fetch_add(1, Ordering::Relaxed);
                    metrics::counter!("edge_listener_restarts").increment(1);
                    generations.push(generation);
                }
                Err(e) => log::error!("listener at {address} not started again: {e}"),
            }
            let _ = stopped.recv_timeout(ACCEPT_BACKOFF);
        }
    }
    // Before the rest, as each generation connects to the address when it ends,
    // which would wait for minutes if no one accepts.
    drop(listener);
    for generation in generations {
        let _ = generation.pump.join();
    }
}

/// Waits for one probe interval, and says whether the generation must be replaced.
///
/// The probe also keeps an idle listener below the read timeout, which would
/// end its accept thread.
fn wait_for_failure(
    generation: &Generation,
    address: SocketAddr,
    shared: &Shared,
    stopped: &flume::Receiver<()>,
) -> bool {
    let failed = flume::Selector::new()
        .recv(&generation.failed, |r| Some(r.is_ok()))
        .recv(stopped, |_| Some(false))
        .wait_timeout(shared.cfg.probe_interval);
    match failed {
        Ok(Some(failed)) => failed,
        Ok(None) | Err(_) => listener::probe(address) == Probe::Silent,
    }
}

/// Moves requests from one tiny_http server to the workers.
struct Pump {
    server: tiny_http::Server,
    shared: Arc<Shared>,
    failed: flume::Sender<()>,
    /// Requests of this tiny_http server that are not yet answered.
    in_flight: Arc<AtomicUsize>,
    accept_ended: bool,
    last_request: Instant,
}

impl Pump {
    fn new(server: tiny_http::Server, shared: Arc<Shared>, failed: flume::Sender<()>) -> Self {
        shared.pumps.fetch_add(1, Ordering::AcqRel);
        let in_flight = Arc::default();
        let last_request = shared.cfg.clock.now();
        Self { server, shared, failed, in_flight, accept_ended: false, last_request }
    }

    /// Runs until the server stops, or the accept thread and all connections
    /// have ended.
    fn run(mut self) {
        while !self.shared.stopping.load(Ordering::Acquire) && !self.is_over() {
            match self.server.recv_timeout(TICK) {
                Ok(Some(request)) => {
                    self.last_request = self.shared.cfg.clock.now();
                    dispatch(request, &self.shared, &self.in_flight);
                }
                Ok(None) => (),
                Err(e) => {
                    log::warn!("accept failed, the listener starts again: {e}");
                    self.accept_ended = true;
                    let _ = self.failed.try_send(());
                }
            }
        }
    }

    /// A connection without a request for the read timeout is closed, so after
    /// twice that time none is left.
    fn is_over(&self) -> bool {
        let idle = self.shared.cfg.clock.now().saturating_duration_since(self.last_request);
        self.accept_ended
            && self.in_flight.load(Ordering::Acquire) == 0
            && idle > 2 * self.shared.cfg.read_timeout
    }
}

impl Drop for Pump {
    fn drop(&mut self) {
        self.shared.pumps.fetch_sub(1, Ordering::AcqRel);
    }
}

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
            if let Some((request, in_flight)) = take(&cell) {
                serve(request, received, &shared, in_flight);
            }
        })
    });
    if accepted.is_ok() {
        return;
    }
    metrics::counter!("edge_refused_busy").increment(1);
    let refuse_busy = {
        let (cell, shared) = (cell.clone(), shared.clone());
        move || {
            if let Some((request, in_flight)) = take(&cell) {
                refuse(request, busy(), &shared, in_flight);
            }
        }
    };
    // Refused here, at the price of a pause in accepting, if no thread is free.
    if let Err(task) = shared.refusals.run(Box::new(refuse_busy)) {
        task();
    }
}

fn take<T>(cell: &Mutex<Option<T>>) -> Option<T> {
    cell.lock().unwrap_or_else(PoisonError::into_inner).take()
}

fn busy() -> ApiError {
    ApiError::refusal(503, "overloaded", "every worker is busy").with_retry_after(BUSY_RETRY)
}

/// Reads and checks a request, and calls the handler or refuses it.
fn serve(mut request: Request, received: Instant, shared: &Arc<Shared>, in_flight: InFlight) {
    let checked = check(&mut request, received, &shared.cfg);
    let (parts, body) = match checked {
        Ok(checked) => checked,
        Err(e) => return refuse(request, e, shared, in_flight),
    };
    let remote = request.remote_addr().copied();
    let reply = ReplyHandle::new(request, shared.heartbeats.clone(), in_flight);
    (shared.handler)(CallerRequest {
        method: parts.method,
        path: parts.path,
        query: parts.query,
        headers: parts.headers,
        body,
        remote,
        received,
        reply,
    });
}

fn refuse(mut request: Request, e: ApiError, shared: &Shared, in_flight: InFlight) {
    metrics::counter!("edge_refused", "code" => e.code.clone()).increment(1);
    if !quarantine::may_drop(&mut request, &e) {
        return quarantine::respond(request, &e, &shared.quarantined);
    }
    let reply = ReplyHandle::new(request, shared.heartbeats.clone(), in_flight);
    if let Err(e) = reply.error(e) {
        log::debug!("refusal not written: {e}");
    }
}

struct Parts {
    method: http::Method,
    path: String,
    query: String,
    headers: RequestHeaders,
}

fn check(
    request: &mut Request,
    received: Instant,
    cfg: &EdgeConfig,
) -> std::result::Result<(Parts, Vec<u8>), ApiError> {
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
    let parts = Parts { method, path: path.to_owned(), query: query.to_owned(), headers };
    let declared = request.body_length();
    body::check_framing(&parts.headers, declared)?;
    let body = body::read(request.as_reader(), declared, received, cfg)?;
    Ok((parts, body))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}
