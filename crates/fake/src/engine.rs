//! A simulated engine, and the threads that run it.

use crate::{
    announce,
    batch::JobEvent,
    config::EngineConfig,
    http,
    orders::ExecutedOrder,
    relay::FaultProxy,
    serve,
    state::{EngineState, Stats},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use wire::{Incarnation, RequestId, Tokens, border::upstream::Announcement};

/// Time after which a batch that can't make progress, because it is held or paused or all its
/// clients are slow, tries again.
const STALL_RETRY: Duration = Duration::from_millis(2);

/// Time between two load reports of an idle engine.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// State that the threads of an engine share.
pub(crate) struct Shared {
    state: Mutex<EngineState>,
    /// Wakes the batch thread when a job arrives or it may make progress.
    work_available: Condvar,
    /// Wakes the threads in `Engine::wait_until` when requests or KV caches were added or
    /// removed.
    state_changed: Condvar,
    proxy: FaultProxy,
}

/// A simulated engine. Dropping it crashes it without a restart.
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<tiny_http::Server>,
}

impl Engine {
    /// Starts an engine on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        let (server, inner) = http::bind()?;
        let proxy = FaultProxy::start(inner)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(EngineState::new(cfg)),
            work_available: Condvar::new(),
            state_changed: Condvar::new(),
            proxy,
        });
        let server = Arc::new(server);
        spawn_batch(Arc::clone(&shared));
        spawn_server(Arc::clone(&server), Arc::clone(&shared));
        Ok(Self { shared, server })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.proxy.address()
    }

    /// Proxy in front of this engine, for faults of its connections.
    pub fn fault_proxy(&self) -> &FaultProxy {
        &self.shared.proxy
    }

    /// Counters since its first start.
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats.clone()
    }

    /// Number of its current start.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().incarnation
    }

    /// KV memory in use, in tokens, without the prefix cache.
    pub fn memory_used(&self) -> Tokens {
        self.shared.lock().memory_used()
    }

    /// Its current announcement, for an [`Announcer`](crate::Announcer).
    pub fn announcement(&self) -> Announcement {
        announce::engine_announcement(&self.shared.lock(), self.address())
    }

    /// Stops every request before the token at `offset`, until [`Engine::release`].
    pub fn hold_at(&self, offset: Tokens) {
        self.shared.lock().batch.hold_at = Some(offset);
    }

    /// Stops all progress of requests, until [`Engine::release`].
    pub fn pause(&self) {
        self.shared.lock().batch.is_paused = true;
    }

    /// Runs a single step of a paused engine.
    pub fn step(&self) {
        let mut state = self.shared.lock();
        state.batch.is_paused = false;
        state.step();
        state.batch.is_paused = true;
    }

    /// Requests whose prompts are not yet prefilled, in order of arrival.
    pub fn waiting(&self) -> Vec<RequestId> {
        let state = self.shared.lock();
        let waiting = state.batch.iter().filter(|job| job.prefill_remaining > 0);
        waiting.map(|job| job.id.clone()).collect()
    }

    /// Ends [`Engine::hold_at`] and [`Engine::pause`].
    pub fn release(&self) {
        let mut state = self.shared.lock();
        state.batch.hold_at = None;
        state.batch.is_paused = false;
        self.shared.work_available.notify_all();
    }

    /// Makes the engine respond to the next `n` requests with a wrong id and a wrong text, as if
    /// it had mixed up two requests.
    pub fn respond_with_wrong_id(&self, n: u64) {
        self.shared.lock().wrong_id_responses = n;
    }

    /// The orders that it has executed since its current start, in order.
    pub fn orders(&self) -> Vec<ExecutedOrder> {
        self.shared.lock().orders.executed().to_vec()
    }

    /// Waits until no request runs and no KV cache is retained, or the engine has crashed.
    pub fn wait_idle(&self) {
        self.wait_until(|state| !state.is_running || state.memory_used() == 0);
    }

    /// Waits until `n` requests have been admitted since its first start.
    pub fn wait_admitted(&self, n: u64) {
        self.wait_until(|state| state.stats.admitted >= n);
    }

    /// Waits until a condition on the state holds.
    fn wait_until(&self, is_met: impl Fn(&EngineState) -> bool) {
        let mut state = self.shared.lock();
        while !is_met(&state) {
            state = self.shared.state_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Refuses new requests, waits until no request runs and no KV cache is retained, and then
    /// refuses connections.
    pub fn stop(&self) {
        self.shared.lock().is_draining = true;
        self.wait_idle();
        self.shared.proxy.refuse();
    }

    /// Crashes the engine: cuts all connections, and drops its requests, KV caches, executed orders
    /// and load reports. Counters stay, and so do holds, pauses and wrong ids.
    pub fn kill(&self) {
        Shared::crash(&self.shared);
    }

    /// Restarts it after a crash, on the same address and with the next incarnation. Does nothing
    /// if it runs.
    ///
    /// # Errors
    ///
    /// If the port can't be bound again.
    pub fn restart(&self) -> io::Result<()> {
        self.shared.restart()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.lock().cfg.restart_after = None;
        Shared::crash(&self.shared);
        self.server.unblock();
    }
}

impl Shared {
    /// Locks the state, also after a thread has panicked with the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies all threads that requests were added or KV caches removed.
    pub(crate) fn notify_all(&self) {
        self.state_changed.notify_all();
        self.work_available.notify_all();
    }

    /// Implements [`Engine::kill`].
    pub(crate) fn crash(shared: &Arc<Self>) {
        let mut state = shared.lock();
        if !state.is_running {
            return;
        }
        state.is_running = false;
        state.stats.crashes += 1;
        // Connections are cut before the channels of the jobs are dropped, so that no client sees
        // a regular end of its stream.
        shared.proxy.close();
        state.reset();
        shared.work_available.notify_all();
        shared.state_changed.notify_all();
        if let Some(after) = state.cfg.restart_after {
            Self::restart_later(shared, after);
        }
    }

    /// Restarts the engine after this time, unless it is dropped before.
    fn restart_later(shared: &Arc<Self>, after: Duration) {
        let weak = Arc::downgrade(shared);
        thread::spawn(move || {
            thread::sleep(after);
            if let Some(Err(e)) = weak.upgrade().map(|shared| shared.restart()) {
                log::warn!("can't restart the engine: {e}");
            }
        });
    }

    /// Implements [`Engine::restart`].
    fn restart(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.is_running {
            return Ok(());
        }
        state.restart();
        self.proxy.open()
    }

    /// Cancels a running request, and returns whether there was one.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let mut state = self.lock();
        let Some(job) = state.batch.remove(id) else {
            return false;
        };
        state.stats.cancelled += 1;
        if let Some(tx) = job.tx {
            let _ = tx.try_send(JobEvent::Cancelled);
        }
        self.state_changed.notify_all();
        true
    }
}

/// Runs the batch on a thread of its own, until the engine is dropped and no request is served.
fn spawn_batch(shared: Arc<Shared>) {
    let weak = Arc::downgrade(&shared);
    drop(shared);
    thread::spawn(move || {
        while let Some(shared) = weak.upgrade() {
            let pause = step(&shared);
            drop(shared);
            if !pause.is_zero() {
                thread::sleep(pause);
            }
        }
    });
}

/// Runs one step, or waits if there is nothing to do. Returns the real time that the step takes.
fn step(shared: &Shared) -> Duration {
    let mut state = shared.lock();
    if state.batch.is_empty() {
        state.record_load();
        drop(shared.work_available.wait_timeout(state, IDLE_REPORT_INTERVAL));
        return Duration::ZERO;
    }
    let (duration, is_stalled) = state.step();
    if state.batch.is_empty() {
        shared.state_changed.notify_all();
    }
    if is_stalled {
        // The batch is held or paused, or all clients are slow.
        drop(shared.work_available.wait_timeout(state, STALL_RETRY));
        return Duration::ZERO;
    }
    duration.mul_f64(state.cfg.time_scale)
}

/// Serves each request on a thread of its own.
fn spawn_server(server: Arc<tiny_http::Server>, shared: Arc<Shared>) {
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || serve::handle(&shared, req));
        }
    });
}
