//! Recorder of the events of one daemon.
//!
//! Threads that record an event only put it into a bounded queue. A writer thread takes events from
//! the queue, writes them to the file and keeps the newest ones in memory, so a slow disk does not
//! delay requests.

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

/// Default size limit of an event file, in bytes.
const DEFAULT_MAX_FILE_BYTES: u64 = 64 << 20;
/// Default number of rotated event files kept in addition to the current one.
const DEFAULT_OLD_FILES: usize = 4;
/// Default number of events kept in memory.
const DEFAULT_RING_EVENTS: usize = 10_000;
/// Default number of events that may wait for the writer thread.
const DEFAULT_QUEUE_EVENTS: usize = 16_384;

/// Settings of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// Id of the daemon that records the events.
    pub daemon: DaemonId,
    /// Path of the current event file; `None` to keep events in memory only. Rotated files get a
    /// number as suffix.
    pub path: Option<PathBuf>,
    /// Size, in bytes, beyond which an event goes to a new file.
    pub max_file_bytes: u64,
    /// Number of rotated files kept in addition to the current one.
    pub old_files: usize,
    /// Number of newest events kept in memory.
    pub ring_events: usize,
    /// Number of events that may wait for the writer thread. Further events are dropped and
    /// counted.
    pub queue_events: usize,
}

impl RecorderConfig {
    /// Creates settings with the default limits, which keep events in memory only.
    pub fn new(daemon: DaemonId) -> Self {
        Self {
            daemon,
            path: None,
            max_file_bytes: DEFAULT_MAX_FILE_BYTES,
            old_files: DEFAULT_OLD_FILES,
            ring_events: DEFAULT_RING_EVENTS,
            queue_events: DEFAULT_QUEUE_EVENTS,
        }
    }
}

/// Recorder of the events of one daemon, which threads may share.
///
/// Recording never blocks. Events that come faster than the writer thread processes them are
/// dropped and counted, and an [`EventKind::EventsDropped`] with their number marks the gap.
///
/// Dropping the recorder processes the events that still wait, as [`Recorder::stop`] does.
pub struct Recorder {
    daemon: DaemonId,
    clock: Arc<HybridClock>,
    state: Arc<SharedState>,
    /// Queue to the writer thread; `None` once the recorder is stopped.
    tx: Option<flume::Sender<Event>>,
    /// Writer thread; `None` once it has ended.
    writer: Option<JoinHandle<()>>,
}

/// State that the recorder and its writer thread share.
#[derive(Default)]
struct SharedState {
    /// Newest events, the oldest of them first.
    ring: Mutex<VecDeque<Event>>,
    /// Number of events dropped since the last [`EventKind::EventsDropped`].
    dropped: AtomicU64,
    /// Number of failed writes and flushes of the file.
    write_errors: AtomicU64,
}

impl Recorder {
    /// Opens the event file, if the settings name one, and starts the writer thread. `clock`
    /// supplies the wall-clock time of the events.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the thread can't be started.
    pub fn start(cfg: RecorderConfig, clock: SharedClock) -> Result<Self> {
        let file = cfg.path.as_ref().map(|path| {
            RotatingFile::open(path, cfg.max_file_bytes, cfg.old_files)
                .map_err(|e| Error::new(format!("can't open event file {}", path.display()), e))
        });
        let file = file.transpose()?;
        let (tx, rx) = flume::bounded(cfg.queue_events.max(1));
        let clock = Arc::new(HybridClock::new(clock));
        let state = Arc::new(SharedState::default());
        let daemon = cfg.daemon.clone();
        let writer = Writer { cfg, file, clock: clock.clone(), state: state.clone() };
        let writer = thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || writer.run(&rx))
            .map_err(|e| Error::new("can't start the event writer thread", e))?;
        Ok(Self { daemon, clock, state, tx: Some(tx), writer: Some(writer) })
    }

    /// Clock that timestamps the events. Messages between daemons have to carry its timestamps, and
    /// the receiver has to pass them to [`HybridClock::receive`].
    pub fn clock(&self) -> &Arc<HybridClock> {
        &self.clock
    }

    /// Creates an event of this daemon with the current timestamp, without recording it.
    pub fn event(&self, kind: EventKind) -> Event {
        Event::new(self.clock.tick(), self.daemon.clone(), kind)
    }

    /// Queues an event for the writer thread, or drops and counts it if the queue is full.
    pub fn record(&self, event: Event) {
        if self.tx.as_ref().is_none_or(|tx| tx.try_send(event).is_err()) {
            self.state.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("events_dropped").increment(1);
        }
    }

    /// Number of dropped events that no [`EventKind::EventsDropped`] reports yet.
    pub fn dropped(&self) -> u64 {
        self.state.dropped.load(Ordering::Relaxed)
    }

    /// Number of failed writes and flushes of the event file. The events concerned are still kept
    /// in memory.
    pub fn write_errors(&self) -> u64 {
        self.state.write_errors.load(Ordering::Relaxed)
    }

    /// Returns the newest events that the writer thread has processed, the oldest of them first.
    pub fn recent(&self) -> Vec<Event> {
        self.state.ring().iter().cloned().collect()
    }

    /// Waits until the writer thread has processed all queued events, ends it and returns the
    /// newest events, the oldest of them first.
    pub fn stop(mut self) -> Vec<Event> {
        self.join_writer();
        self.recent()
    }

    /// Closes the queue, which ends the writer thread once the queue is empty, and waits for the
    /// thread.
    fn join_writer(&mut self) {
        self.tx = None;
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            log::error!("the event writer thread panicked");
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.join_writer();
    }
}

impl SharedState {
    fn ring(&self) -> std::sync::MutexGuard<'_, VecDeque<Event>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State of the writer thread.
struct Writer {
    cfg: RecorderConfig,
    /// Event file; `None` to keep events in memory only.
    file: Option<RotatingFile>,
    clock: Arc<HybridClock>,
    state: Arc<SharedState>,
}

impl Writer {
    /// Processes events until the queue is closed and empty. Events that wait together are flushed
    /// together.
    fn run(mut self, rx: &flume::Receiver<Event>) {
        while let Ok(event) = rx.recv() {
            self.write(event);
            rx.try_iter().take(self.cfg.queue_events).for_each(|e| self.write(e));
            self.report_dropped();
            self.flush();
        }
        self.report_dropped();
        self.flush();
    }

    /// Writes an event with the number of dropped events, if there are any, and resets the number.
    fn report_dropped(&mut self) {
        let dropped = self.state.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let daemon = self.cfg.daemon.clone();
            let event = Event::new(self.clock.tick(), daemon, EventKind::EventsDropped);
            self.write(event.text(format!("{dropped} events")));
        }
    }

    /// Writes an event to the file and keeps it in memory, where it replaces the oldest one if the
    /// limit is reached.
    fn write(&mut self, event: Event) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&event).unwrap_or_default();
            let result = file.write_line(&line);
            self.count_error(result);
        }
        let mut ring = self.state.ring();
        if ring.len() >= self.cfg.ring_events {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    fn flush(&mut self) {
        if let Some(file) = &mut self.file {
            let result = file.flush();
            self.count_error(result);
        }
    }

    /// Counts a failed file operation. Only the first failure is logged; the metric counts all.
    fn count_error(&self, result: std::io::Result<()>) {
        let Err(e) = result else { return };
        if self.state.write_errors.fetch_add(1, Ordering::Relaxed) == 0 {
            log::error!("can't write to the event file: {e}");
        }
        metrics::counter!("event_write_errors").increment(1);
    }
}
