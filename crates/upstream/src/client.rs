//! The client of a daemon for all its upstreams: connections, limits and counters.

use crate::{
    attempt::{Backoff, RetryBudget},
    http,
    workers::WorkerPool,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use wire::{RequestId, UpstreamId};

/// Maximum number of cancellations waiting to be sent. Further ones are dropped;
/// reconciliation cancels their requests later.
const CANCEL_QUEUE_CAPACITY: usize = 1024;
/// Maximum number of addresses with a connection pool. Beyond it all pools are
/// dropped, which closes their idle connections.
const MAX_POOLED_ADDRESSES: usize = 4096;
/// Number of threads that send cancellations. More than one, so that a single
/// unresponsive upstream doesn't delay the cancellations at others.
const CANCEL_THREADS: usize = 2;

/// Settings of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum time without receiving or sending a byte on an open connection.
    pub io_timeout: Duration,
    /// Maximum number of idle connections kept open to each upstream.
    pub max_idle_per_upstream: usize,
    /// Maximum size of the response body of a plain service, in bytes.
    pub max_response_bytes: usize,
    /// Maximum number of concurrent streams, each of which occupies a thread.
    pub max_streams: usize,
    /// Delays between the connections of a stream, and maximum number of consecutive
    /// connections without a new token.
    pub backoff: Backoff,
    /// Seed for the jitter of the delays.
    pub seed: u64,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            io_timeout: Duration::from_secs(3),
            max_idle_per_upstream: 64,
            max_response_bytes: 8 * 1024 * 1024,
            max_streams: 4096,
            backoff: Backoff::default(),
            seed: 7,
        }
    }
}

/// Name and address of an upstream to send a request to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// IP address and port.
    pub address: String,
}

impl Target {
    /// Target for the upstream `upstream` at `address` (`host:port`).
    pub fn new(upstream: impl Into<UpstreamId>, address: impl Into<String>) -> Self {
        Self { upstream: upstream.into(), address: address.into() }
    }
}

/// Counters of connection failures and recoveries since the client was created.
#[derive(Debug, Default)]
pub struct ClientCounters {
    mismatched: AtomicU64,
    timed_out: AtomicU64,
    resumed: AtomicU64,
    moved: AtomicU64,
    dropped_cancellations: AtomicU64,
}

impl ClientCounters {
    /// Number of events and responses that belonged to another request. Such an event is
    /// dropped and its connection closed; such a response fails its call.
    pub fn mismatched_responses(&self) -> u64 {
        self.mismatched.load(Ordering::Relaxed)
    }

    /// Number of connections closed because the upstream sent nothing in time.
    pub fn timed_out_connections(&self) -> u64 {
        self.timed_out.load(Ordering::Relaxed)
    }

    /// Number of times a stream was resumed on the same upstream.
    pub fn resumed_streams(&self) -> u64 {
        self.resumed.load(Ordering::Relaxed)
    }

    /// Number of times a stream moved to another upstream.
    pub fn moved_streams(&self) -> u64 {
        self.moved.load(Ordering::Relaxed)
    }

    /// Number of cancellations dropped because too many were waiting.
    pub fn dropped_cancellations(&self) -> u64 {
        self.dropped_cancellations.load(Ordering::Relaxed)
    }

    pub(crate) fn count_mismatched_response(&self) {
        self.mismatched.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_crossed_total").increment(1);
    }

    pub(crate) fn count_timed_out_connection(&self) {
        self.timed_out.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_silent_total").increment(1);
    }

    pub(crate) fn count_resumed_stream(&self) {
        self.resumed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_resumed_total").increment(1);
    }

    pub(crate) fn count_moved_stream(&self) {
        self.moved.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_moved_total").increment(1);
    }

    fn count_dropped_cancellation(&self) {
        self.dropped_cancellations.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_cancels_dropped_total").increment(1);
    }
}

/// A cancellation that waits to be sent.
struct Cancellation {
    address: String,
    id: RequestId,
}

/// State that the clones of a [`Client`] and the threads of its streams share.
pub(crate) struct Shared {
    pub(crate) cfg: ClientConfig,
    pub(crate) counters: ClientCounters,
    /// Opens a new connection for each request, and therefore never resends one.
    unpooled: ureq::Agent,
    /// Agents that reuse connections, by address.
    pooled: Mutex<BTreeMap<String, ureq::Agent>>,
    budget: Mutex<RetryBudget>,
    pub(crate) workers: WorkerPool,
    cancellations: flume::Sender<Cancellation>,
    started_streams: AtomicU64,
}

/// HTTP client for upstreams. Clones share connections, limits and counters.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<Shared>,
}

impl Client {
    /// Creates a client, and starts the threads that send its cancellations.
    pub fn new(cfg: ClientConfig) -> Self {
        let (cancellations, queue) = flume::bounded(CANCEL_QUEUE_CAPACITY);
        for _ in 0..CANCEL_THREADS {
            spawn_cancel_thread(queue.clone(), cfg.connect_timeout);
        }
        let shared = Shared {
            unpooled: http::agent(&cfg, 0),
            pooled: Mutex::default(),
            budget: Mutex::default(),
            counters: ClientCounters::default(),
            started_streams: AtomicU64::new(0),
            workers: WorkerPool::new(cfg.max_streams),
            cancellations,
            cfg,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Counters of connection failures and recoveries.
    pub fn counters(&self) -> &ClientCounters {
        &self.shared.counters
    }

    /// Requests that an upstream stop a request and free its memory. Returns at
    /// once. The cancellation is sent once and may get lost; reconciliation then
    /// cancels the request.
    pub fn cancel(&self, target: &Target, id: &str) {
        self.shared.cancel(&target.address, id);
    }

    /// Closes the idle connections to an address, for example after a timeout.
    pub fn close_idle_connections(&self, address: &str) {
        self.shared.close_idle_connections(address);
    }
}

impl Shared {
    /// The agent that reuses connections to `address`.
    pub(crate) fn pooled(&self, address: &str) -> ureq::Agent {
        let mut pooled = self.lock_pooled();
        if let Some(agent) = pooled.get(address) {
            return agent.clone();
        }
        if pooled.len() >= MAX_POOLED_ADDRESSES {
            pooled.clear();
        }
        let agent = http::agent(&self.cfg, self.cfg.max_idle_per_upstream);
        pooled.insert(address.to_string(), agent.clone());
        agent
    }

    /// The agent that opens a new connection for each request.
    pub(crate) fn unpooled(&self) -> ureq::Agent {
        self.unpooled.clone()
    }

    /// See [`Client::close_idle_connections`].
    pub(crate) fn close_idle_connections(&self, address: &str) {
        self.lock_pooled().remove(address);
    }

    /// See [`Client::cancel`].
    pub(crate) fn cancel(&self, address: &str, id: &str) {
        let cancellation = Cancellation { address: address.to_string(), id: id.to_string() };
        if self.cancellations.try_send(cancellation).is_err() {
            self.counters.count_dropped_cancellation();
        }
    }

    /// The retry budget of all streams.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Seed for the jitter of the next stream; each stream gets another one.
    pub(crate) fn stream_seed(&self) -> u64 {
        self.cfg.seed.wrapping_add(self.started_streams.fetch_add(1, Ordering::Relaxed))
    }

    fn lock_pooled(&self) -> MutexGuard<'_, BTreeMap<String, ureq::Agent>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a thread that sends cancellations until the last clone of the client is dropped.
fn spawn_cancel_thread(queue: flume::Receiver<Cancellation>, timeout: Duration) {
    thread::spawn(move || {
        for Cancellation { address, id } in queue {
            let url = format!("http://{address}/cancel/{id}");
            let result = minreq::post(url).with_timeout(timeout.as_secs().max(1)).send();
            if let Err(e) = result {
                log::info!("failed to cancel request {id} at {address}: {e}");
            }
        }
    });
}
