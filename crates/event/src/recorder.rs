//! Records events of one daemon without holding up its requests.

use crate::{Error, Event, EventKind, HybridClock, Result, file::RotatingFile};
use kernel::SharedClock;
use std::{
    collections::VecDeque,
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
};
use wire::DaemonId;

/// Largest event file.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Event files kept beside the newest one.
const OLD_FILES: usize = 4;
/// Events kept in memory.
const RING_EVENTS: usize = 10_000;
/// Events that may wait to be written.
const QUEUE_EVENTS: usize = 16_384;

/// Settings of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// File of JSON lines, or none to keep events in memory only.
    pub path: Option<PathBuf>,
    /// Largest event file, in bytes.
    pub max_file_bytes: u64,
    /// Event files kept beside the newest one.
    pub old_files: usize,
    /// Newest events kept in memory.
    pub ring_events: usize,
    /// Events that may wait to be written. Further ones are dropped and counted.
    pub queue_events: usize,
}

impl RecorderConfig {
    /// Default bounds, in memory only.
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            path: None,
            max_file_bytes: MAX_FILE_BYTES,
            old_files: OLD_FILES,
            ring_events: RING_EVENTS,
            queue_events: QUEUE_EVENTS,
        }
    }
}

/// Records events. Never waits: when events come faster than they are written,
/// they are dropped, counted, and the gap is an event itself.
pub struct Recorder {
    daemon: DaemonId,
    clock: Arc<HybridClock>,
    shared: Arc<Shared>,
    /// None once stopped.
    tx: Option<flume::Sender<Event>>,
    writer: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Shared {
    ring: Mutex<VecDeque<Event>>,
    dropped: AtomicU64,
    write_errors: AtomicU64,
}

impl Recorder {
    /// Opens the file, if there is one, and starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn start(cfg: RecorderConfig, clock: SharedClock) -> Result<Self> {
        let file = cfg.path.as_ref().map(|path| {
            RotatingFile::open(path, cfg.max_file_bytes, cfg.old_files)
                .map_err(|e| Error::new(format!("event file {}", path.display()), e))
        });
        let file = file.transpose()?;
        let (tx, rx) = flume::bounded(cfg.queue_events.max(1));
        let clock = Arc::new(HybridClock::new(clock));
        let shared = Arc::new(Shared::default());
        let daemon = cfg.daemon.clone();
        let writer = Writer { cfg, file, clock: clock.clone(), shared: shared.clone() };
        let writer = thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || writer.run(&rx))
            .map_err(|e| Error::new("event thread", e))?;
        Ok(Self { daemon, clock, shared, tx: Some(tx), writer: Some(writer) })
    }

    /// The clock of this daemon's events, which every message between daemons
    /// moves forward.
    pub fn clock(&self) -> &Arc<HybridClock> {
        &self.clock
    }

    /// A new event of this daemon, now.
    pub fn event(&self, kind: EventKind) -> Event {
        Event::new(self.clock.tick(), self.daemon.clone(), kind)
    }

    /// Records an event, or drops it if too many wait.
    pub fn record(&self, event: Event) {
        if self.tx.as_ref().is_none_or(|tx| tx.try_send(event).is_err()) {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("events_dropped").increment(1);
        }
    }

    /// Events dropped so far and not yet noted as an event.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Events that could not be written to the file. They are in memory still.
    pub fn write_errors(&self) -> u64 {
        self.shared.write_errors.load(Ordering::Relaxed)
    }

    /// The newest events, the oldest of them first.
    pub fn recent(&self) -> Vec<Event> {
        self.shared.ring().iter().cloned().collect()
    }

    /// Writes what waits, and gives the newest events.
    pub fn stop(mut self) -> Vec<Event> {
        self.finish();
        self.recent()
    }

    fn finish(&mut self) {
        self.tx = None;
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            log::error!("the thread that writes events panicked");
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.finish();
    }
}

impl Shared {
    fn ring(&self) -> std::sync::MutexGuard<'_, VecDeque<Event>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Writer {
    cfg: RecorderConfig,
    file: Option<RotatingFile>,
    clock: Arc<HybridClock>,
    shared: Arc<Shared>,
}

impl Writer {
    fn run(mut self, rx: &flume::Receiver<Event>) {
        while let Ok(event) = rx.recv() {
            self.write(event);
            rx.try_iter().take(self.cfg.queue_events).for_each(|e| self.write(e));
            self.note_dropped();
            self.flush();
        }
        self.note_dropped();
        self.flush();
    }

    fn note_dropped(&mut self) {
        let dropped = self.shared.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let daemon = self.cfg.daemon.clone();
            let event = Event::new(self.clock.tick(), daemon, EventKind::EventsDropped);
            self.write(event.text(format!("{dropped} events")));
        }
    }

    fn write(&mut self, event: Event) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&event).unwrap_or_default();
            let written = file.write_line(&line);
            self.check(written);
        }
        let mut ring = self.shared.ring();
        if ring.len() >= self.cfg.ring_events {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    fn flush(&mut self) {
        if let Some(file) = &mut self.file {
            let flushed = file.flush();
            self.check(flushed);
        }
    }

    fn check(&self, result: std::io::Result<()>) {
        let Err(e) = result else { return };
        if self.shared.write_errors.fetch_add(1, Ordering::Relaxed) == 0 {
            log::error!("events not written: {e}");
        }
        metrics::counter!("event_write_errors").increment(1);
    }
}
