//! The handle of a stand-in engine.

use crate::{
    announce::Announcement,
    batch::{Batch, Emission, Rates},
    config::EngineConfig,
    http,
    relay::Relay,
    serve,
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use wire::{Incarnation, RequestId, Tokens};

/// How long the batch waits for a slow client before it looks again.
const PAUSE: Duration = Duration::from_millis(2);

/// What an engine has done since its first start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Requests taken in.
    pub admitted: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests that generated all their tokens.
    pub finished: u64,
    /// Requests cancelled by order.
    pub cancelled: u64,
    /// Streams taken up again at an offset.
    pub resumed: u64,
    /// Prompt tokens read.
    pub prefilled: Tokens,
    /// Tokens generated.
    pub decoded: Tokens,
    /// Crashes, for whatever reason.
    pub crashes: u64,
    /// Crashes from more load than the cold-start ramp allows.
    pub overloads: u64,
}

/// Everything that an engine holds, lost at a crash but for the counters.
pub(crate) struct Core {
    pub(crate) cfg: EngineConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) running: bool,
    pub(crate) draining: bool,
    pub(crate) batch: Batch,
    pub(crate) stats: Stats,
}

/// State that the engine's threads share.
pub(crate) struct Shared {
    core: Mutex<Core>,
    /// Wakes the batch thread.
    wake: Condvar,
    /// Wakes those who wait for the engine to be idle.
    idle: Condvar,
    relay: Relay,
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
        let relay = Relay::start(inner)?;
        let core = Core {
            incarnation: cfg.incarnation,
            running: true,
            draining: false,
            batch: Batch::default(),
            stats: Stats::default(),
            cfg,
        };
        let shared = Arc::new(Shared {
            core: Mutex::new(core),
            wake: Condvar::new(),
            idle: Condvar::new(),
            relay,
        });
        let server = Arc::new(server);
        spawn_batch(Arc::clone(&shared));
        spawn_server(Arc::clone(&server), Arc::clone(&shared));
        Ok(Self { shared, server })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.relay.address()
    }

    /// The relay before this engine, to cut or silence its connections.
    pub fn relay(&self) -> &Relay {
        &self.shared.relay
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
        Announcement::of_engine(&self.shared.lock(), self.address())
    }

    /// Lets no request generate the token at `offset` or a later one, until
    /// [`Engine::release`].
    pub fn hold_at(&self, offset: Tokens) {
        self.shared.lock().batch.hold_at = Some(offset);
    }

    /// Ends [`Engine::hold_at`].
    pub fn release(&self) {
        self.shared.lock().batch.hold_at = None;
        self.shared.wake.notify_all();
    }

    /// Refuses new requests, waits for the running ones, and closes.
    pub fn stop(&self) {
        let mut core = self.shared.lock();
        core.draining = true;
        while core.running && !core.batch.is_empty() {
            core = self.shared.idle.wait(core).unwrap_or_else(PoisonError::into_inner);
        }
        drop(core);
        self.shared.relay.close();
    }

    /// Crashes: all connections are cut and all state is lost.
    pub fn kill(&self) {
        self.shared.crash();
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
        self.shared.crash();
        self.shared.lock().cfg.restart_after = None;
        self.server.unblock();
    }
}

impl Core {
    pub(crate) fn memory_used(&self) -> Tokens {
        self.batch.memory()
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the batch thread that there is work.
    pub(crate) fn wake(&self) {
        self.wake.notify_all();
    }

    pub(crate) fn crash(&self) {
        let mut core = self.lock();
        if !core.running {
            return;
        }
        core.running = false;
        core.stats.crashes += 1;
        // Close before the jobs' channels go, so that no client sees a tidy end.
        self.relay.close();
        core.batch.clear();
        self.wake.notify_all();
        self.idle.notify_all();
    }

    fn restart(&self) -> io::Result<()> {
        let mut core = self.lock();
        if core.running {
            return Ok(());
        }
        core.running = true;
        core.draining = false;
        core.incarnation += 1;
        self.relay.open()
    }

    /// Cancels a running request, and says whether there was one.
    pub(crate) fn cancel(&self, id: &RequestId) -> bool {
        let mut core = self.lock();
        let Some(job) = core.batch.remove(id) else {
            return false;
        };
        core.stats.cancelled += 1;
        if let Some(tx) = job.tx {
            let _ = tx.try_send(Emission::Cancelled);
        }
        if core.batch.is_empty() {
            self.idle.notify_all();
        }
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
        let waited = shared.wake.wait_timeout(core, PAUSE * 50);
        drop(waited);
        return Duration::ZERO;
    }
    let rates = Rates {
        prefill_tokens_per_s: core.cfg.prefill_tokens_per_s,
        decode_tokens_per_s: core.cfg.decode_tokens_per_s,
        prefill_chunk: core.cfg.prefill_chunk,
    };
    let step = core.batch.step(&rates);
    core.stats.prefilled += step.prefilled;
    core.stats.decoded += step.decoded;
    core.stats.finished += step.finished.len() as u64;
    if core.batch.is_empty() {
        shared.idle.notify_all();
    }
    if step.prefilled + step.decoded == 0 && step.finished.is_empty() {
        // Held, or all clients are slow.
        drop(shared.wake.wait_timeout(core, PAUSE));
        return Duration::ZERO;
    }
    step.duration.mul_f64(core.cfg.time_scale)
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
