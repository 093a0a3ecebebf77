//! The handle of a stand-in engine.

use crate::{
    announce,
    batch::Emission,
    config::EngineConfig,
    http,
    orders::ExecutedOrder,
    relay::FaultProxy,
    serve,
    state::{Core, Stats},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use wire::{Incarnation, RequestId, Tokens, border::upstream::Announcement};

/// How long the batch waits for a slow client before it looks again.
const PAUSE: Duration = Duration::from_millis(2);

/// Time between two load reports of an idle engine.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// State that the engine's threads share.
pub(crate) struct Shared {
    core: Mutex<Core>,
    /// Wakes the batch thread.
    wake: Condvar,
    /// Wakes those who wait for requests to come or go.
    changed: Condvar,
    proxy: FaultProxy,
}

/// A stand-in engine. Dropping it stops it at once.
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<tiny_http::Server>,
}

impl Engine {
    /// Starts an engine on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        let (server, inner) = http::bind()?;
        let proxy = FaultProxy::start(inner)?;
        let shared = Arc::new(Shared {
            core: Mutex::new(Core::new(cfg)),
            wake: Condvar::new(),
            changed: Condvar::new(),
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

    /// Proxy in front of this engine, which can cut or silence its connections.
    pub fn fault_proxy(&self) -> &FaultProxy {
        &self.shared.proxy
    }

    /// What it has done so far.
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats.clone()
    }

    /// Number of its present start.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().incarnation
    }

    /// Tokens of KV memory in use, but for the prefix cache.
    pub fn memory_used(&self) -> Tokens {
        self.shared.lock().memory_used()
    }

    /// What it says about itself, as of now.
    pub fn announcement(&self) -> Announcement {
        announce::of_engine(&self.shared.lock(), self.address())
    }

    /// Lets no request generate the token at `offset` or a later one, until
    /// [`Engine::release`].
    pub fn hold_at(&self, offset: Tokens) {
        self.shared.lock().batch.hold_at = Some(offset);
    }

    /// Lets no request get anywhere, until [`Engine::release`].
    pub fn pause(&self) {
        self.shared.lock().batch.is_paused = true;
    }

    /// Runs one step of a paused engine.
    pub fn step(&self) {
        let mut core = self.shared.lock();
        core.batch.is_paused = false;
        core.step();
        core.batch.is_paused = true;
    }

    /// Requests whose prompts are still to be read, in order of arrival.
    pub fn waiting(&self) -> Vec<RequestId> {
        let core = self.shared.lock();
        let waiting = core.batch.iter().filter(|job| job.prefill_left > 0);
        waiting.map(|job| job.id.clone()).collect()
    }

    /// Ends [`Engine::hold_at`] and [`Engine::pause`].
    pub fn release(&self) {
        let mut core = self.shared.lock();
        core.batch.hold_at = None;
        core.batch.is_paused = false;
        self.shared.wake.notify_all();
    }

    /// Lets the next `n` requests answer with another request's id.
    pub fn respond_with_wrong_id(&self, n: u64) {
        self.shared.lock().cross_next = n;
    }

    /// The orders that it has carried out since its start.
    pub fn orders(&self) -> Vec<ExecutedOrder> {
        self.shared.lock().orders.executed().to_vec()
    }

    /// Waits until no request runs and no KV cache is kept, or it has crashed.
    pub fn wait_idle(&self) {
        self.wait_until(|core| !core.running || core.memory_used() == 0);
    }

    /// Waits until `n` requests have been taken in.
    pub fn wait_admitted(&self, n: u64) {
        self.wait_until(|core| core.stats.admitted >= n);
    }

    fn wait_until(&self, is_met: impl Fn(&Core) -> bool) {
        let mut core = self.shared.lock();
        while !is_met(&core) {
            core = self.shared.changed.wait(core).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Refuses new requests and connections, and waits for the running requests.
    pub fn stop(&self) {
        self.shared.lock().draining = true;
        self.wait_idle();
        self.shared.proxy.refuse();
    }

    /// Crashes: all connections are cut and all state is lost.
    pub fn kill(&self) {
        Shared::crash(&self.shared);
    }

    /// Starts again after a crash, on the same address under a new incarnation.
    ///
    /// # Errors
    ///
    /// When the port can't be bound again.
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
    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells that requests have come or KV caches have gone.
    pub(crate) fn wake(&self) {
        self.changed.notify_all();
        self.wake.notify_all();
    }

    /// Loses all state and cuts all connections.
    pub(crate) fn crash(shared: &Arc<Self>) {
        let mut core = shared.lock();
        if !core.running {
            return;
        }
        core.running = false;
        core.stats.crashes += 1;
        // Close before the jobs' channels go, so that no client sees a tidy end.
        shared.proxy.close();
        core.reset();
        shared.wake.notify_all();
        shared.changed.notify_all();
        if let Some(after) = core.cfg.restart_after {
            Self::restart_later(shared, after);
        }
    }

    fn restart_later(shared: &Arc<Self>, after: Duration) {
        let weak = Arc::downgrade(shared);
        thread::spawn(move || {
            thread::sleep(after);
            if let Some(Err(e)) = weak.upgrade().map(|shared| shared.restart()) {
                log::warn!("the engine can't start again: {e}");
            }
        });
    }

    fn restart(&self) -> io::Result<()> {
        let mut core = self.lock();
        if core.running {
            return Ok(());
        }
        core.start_again();
        self.proxy.open()
    }

    /// Cancels a running request, and says whether there was one.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let mut core = self.lock();
        let Some(job) = core.batch.remove(id) else {
            return false;
        };
        core.stats.cancelled += 1;
        if let Some(tx) = job.tx {
            let _ = tx.try_send(Emission::Cancelled);
        }
        self.changed.notify_all();
        true
    }
}

/// Runs the batch for as long as the engine's handle or a request is there.
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

/// Runs one step and gives the real time that it takes.
fn step(shared: &Shared) -> Duration {
    let mut core = shared.lock();
    if core.batch.is_empty() {
        core.note_load();
        drop(shared.wake.wait_timeout(core, IDLE_TICK));
        return Duration::ZERO;
    }
    let (duration, is_stuck) = core.step();
    if core.batch.is_empty() {
        shared.changed.notify_all();
    }
    if is_stuck {
        // Held, or all clients are slow.
        drop(shared.wake.wait_timeout(core, PAUSE));
        return Duration::ZERO;
    }
    duration.mul_f64(core.cfg.time_scale)
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
