//! The client side of one owner daemon: connections, limits and counters.

use crate::{
    attempt::{Backoff, RetryBudget},
    http,
    workers::Workers,
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

/// Cancellations that wait to be sent; further ones are left to reconciliation.
const CANCEL_QUEUE: usize = 1024;
/// Addresses with connections kept open; beyond it all idle ones are closed.
const MAX_ADDRESSES: usize = 4096;
/// Threads that send cancellations, so that one silent upstream delays no other.
const CANCEL_THREADS: usize = 2;

/// Settings of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time without a byte on an open stream.
    pub io_timeout: Duration,
    /// Idle connections kept for each upstream.
    pub max_idle_per_upstream: usize,
    /// Largest answer of a plain service, in bytes.
    pub max_response_bytes: usize,
    /// Most streams at once, each of which takes a thread.
    pub max_streams: usize,
    /// Delays and attempts without progress of a stream.
    pub backoff: Backoff,
    /// Seed of the delays' jitter.
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

/// An upstream as the place to send a request to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// IP number and port.
    pub address: String,
}

impl Target {
    /// The upstream `upstream` at `address` (`host:port`).
    pub fn new(upstream: impl Into<UpstreamId>, address: impl Into<String>) -> Self {
        Self { upstream: upstream.into(), address: address.into() }
    }
}

/// What the client has met so far.
#[derive(Debug, Default)]
pub struct ClientCounters {
    crossed: AtomicU64,
    silent: AtomicU64,
    resumed: AtomicU64,
    moved: AtomicU64,
    cancels_dropped: AtomicU64,
}

impl ClientCounters {
    /// Events and answers dropped because they belonged to another request.
    pub fn mismatched_responses(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }

    /// Connections given up because no byte came.
    pub fn timed_out_connections(&self) -> u64 {
        self.silent.load(Ordering::Relaxed)
    }

    /// Streams taken up again on the same upstream.
    pub fn resumed_streams(&self) -> u64 {
        self.resumed.load(Ordering::Relaxed)
    }

    /// Streams started over on another upstream.
    pub fn moved_streams(&self) -> u64 {
        self.moved.load(Ordering::Relaxed)
    }

    /// Cancellations left to reconciliation because too many were waiting.
    pub fn dropped_cancellations(&self) -> u64 {
        self.cancels_dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn count_crossed(&self) {
        self.crossed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_crossed_total").increment(1);
    }

    pub(crate) fn count_silent(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_silent_total").increment(1);
    }

    pub(crate) fn count_resumed(&self) {
        self.resumed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_resumed_total").increment(1);
    }

    pub(crate) fn count_moved(&self) {
        self.moved.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_moved_total").increment(1);
    }

    fn count_cancel_dropped(&self) {
        self.cancels_dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("toucansill_upstream_cancels_dropped_total").increment(1);
    }
}

/// A cancellation on its way.
struct Cancel {
    address: String,
    id: RequestId,
}

pub(crate) struct Shared {
    pub(crate) cfg: ClientConfig,
    pub(crate) counters: ClientCounters,
    /// Opens a new connection for each request, and so never resends one.
    single: ureq::Agent,
    /// Keeps connections open, by address.
    pooled: Mutex<BTreeMap<String, ureq::Agent>>,
    budget: Mutex<RetryBudget>,
    pub(crate) workers: Workers,
    cancels: flume::Sender<Cancel>,
    streams: AtomicU64,
}

/// The client of one daemon for all its upstreams. Clones share connections.
#[derive(Clone)]
pub struct Client {
    pub(crate) shared: Arc<Shared>,
}

impl Client {
    /// A client without open connections.
    pub fn new(cfg: ClientConfig) -> Self {
        let (cancels, queue) = flume::bounded(CANCEL_QUEUE);
        for _ in 0..CANCEL_THREADS {
            spawn_cancel(queue.clone(), cfg.connect_timeout);
        }
        let shared = Shared {
            single: http::agent(&cfg, 0),
            pooled: Mutex::default(),
            budget: Mutex::default(),
            counters: ClientCounters::default(),
            streams: AtomicU64::new(0),
            workers: Workers::new(cfg.max_streams),
            cancels,
            cfg,
        };
        Self { shared: Arc::new(shared) }
    }

    /// What the client has met so far.
    pub fn counters(&self) -> &ClientCounters {
        &self.shared.counters
    }

    /// Tells an upstream to stop a request and return its memory. Returns at
    /// once; a cancellation that gets lost is left to reconciliation.
    pub fn cancel(&self, target: &Target, id: &str) {
        self.shared.cancel(&target.address, id);
    }

    /// Closes the idle connections to an address, as after a silent one.
    pub fn close_idle_connections(&self, address: &str) {
        self.shared.forget(address);
    }
}

impl Shared {
    /// The agent that keeps connections to `address` open.
    pub(crate) fn pooled(&self, address: &str) -> ureq::Agent {
        let mut pooled = self.lock_pooled();
        if let Some(agent) = pooled.get(address) {
            return agent.clone();
        }
        if pooled.len() >= MAX_ADDRESSES {
            pooled.clear();
        }
        let agent = http::agent(&self.cfg, self.cfg.max_idle_per_upstream);
        pooled.insert(address.to_string(), agent.clone());
        agent
    }

    /// The agent that opens a new connection for each request.
    pub(crate) fn single(&self) -> ureq::Agent {
        self.single.clone()
    }

    pub(crate) fn forget(&self, address: &str) {
        self.lock_pooled().remove(address);
    }

    pub(crate) fn cancel(&self, address: &str, id: &str) {
        let cancel = Cancel { address: address.to_string(), id: id.to_string() };
        if self.cancels.try_send(cancel).is_err() {
            self.counters.count_cancel_dropped();
        }
    }

    /// The retry budget of all streams.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Seed of one stream's jitter.
    pub(crate) fn stream_seed(&self) -> u64 {
        self.cfg.seed.wrapping_add(self.streams.fetch_add(1, Ordering::Relaxed))
    }

    fn lock_pooled(&self) -> MutexGuard<'_, BTreeMap<String, ureq::Agent>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends cancellations until the client has gone.
fn spawn_cancel(queue: flume::Receiver<Cancel>, timeout: Duration) {
    thread::spawn(move || {
        for Cancel { address, id } in queue {
            let url = format!("http://{address}/cancel/{id}");
            let sent = minreq::post(url).with_timeout(timeout.as_secs().max(1)).send();
            if let Err(e) = sent {
                log::info!("cancellation of {id} at {address} failed: {e}");
            }
        }
    });
}
