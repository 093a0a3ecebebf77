//! A bounded pool of threads.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time after which an idle worker ends.
const IDLE: Duration = Duration::from_secs(10);

/// A task for a worker.
pub(crate) type Task = Box<dyn FnOnce() + Send>;

/// Runs tasks on at most `max` threads, started when needed.
pub(crate) struct Workers {
    name: &'static str,
    max: usize,
    count: Arc<AtomicUsize>,
    /// Without buffer: a send succeeds only if an idle worker waits.
    tx: flume::Sender<Task>,
    rx: flume::Receiver<Task>,
}

impl Workers {
    pub(crate) fn new(name: &'static str, max: usize) -> Self {
        let (tx, rx) = flume::bounded(0);
        Self { name, max, count: Arc::default(), tx, rx }
    }

    /// Runs a task, or gives it back if every worker is busy.
    pub(crate) fn run(&self, task: Task) -> Result<(), Task> {
        let Err(e) = self.tx.try_send(task) else { return Ok(()) };
        let task = e.into_inner();
        if self.count.fetch_add(1, Ordering::AcqRel) >= self.max {
            self.count.fetch_sub(1, Ordering::AcqRel);
            return Err(task);
        }
        // The task travels in a cell, as a thread that can't start drops its closure.
        let (first_tx, first_rx) = flume::bounded(1);
        match self.spawn(first_rx) {
            Ok(()) => first_tx.send(task).map_err(flume::SendError::into_inner),
            Err(e) => {
                log::warn!("worker thread not started: {e}");
                Err(task)
            }
        }
    }

    fn spawn(&self, first: flume::Receiver<Task>) -> io::Result<()> {
        let guard = CountGuard(self.count.clone());
        let rx = self.rx.clone();
        let run = move || {
            let _guard = guard;
            if let Ok(task) = first.recv() {
                task();
            }
            while let Ok(task) = rx.recv_timeout(IDLE) {
                task();
            }
        };
        thread::Builder::new().name(self.name.to_owned()).spawn(run).map(drop)
    }
}

/// Counts a worker for as long as it lives, also when its task panics.
struct CountGuard(Arc<AtomicUsize>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
