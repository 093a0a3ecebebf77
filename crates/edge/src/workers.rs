//! Bounded pool of worker threads.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time without a task after which a worker thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Closure that a worker runs once.
pub(crate) type Task = Box<dyn FnOnce() + Send>;

/// Pool of at most `max_threads` threads, which are started on demand and end when idle.
pub(crate) struct WorkerPool {
    name: &'static str,
    max_threads: usize,
    thread_count: Arc<AtomicUsize>,
    /// Unbuffered channel: `try_send` succeeds only if an idle worker is waiting for a task.
    tx: flume::Sender<Task>,
    rx: flume::Receiver<Task>,
}

impl WorkerPool {
    /// Pool without threads. `name` is the name of each thread that it starts.
    pub(crate) fn new(name: &'static str, max_threads: usize) -> Self {
        let (tx, rx) = flume::bounded(0);
        Self { name, max_threads, thread_count: Arc::default(), tx, rx }
    }

    /// Runs a task on an idle worker or on a new thread. Returns the task if all workers are busy
    /// or the thread can't be started.
    pub(crate) fn run(&self, task: Task) -> Result<(), Task> {
        let Err(e) = self.tx.try_send(task) else { return Ok(()) };
        let task = e.into_inner();
        if self.thread_count.fetch_add(1, Ordering::AcqRel) >= self.max_threads {
            self.thread_count.fetch_sub(1, Ordering::AcqRel);
            return Err(task);
        }
        // Sent over a channel instead of captured: a thread that fails to start drops its closure,
        // which would lose the task.
        let (first_task_tx, first_task_rx) = flume::bounded(1);
        match self.spawn(first_task_rx) {
            Ok(()) => first_task_tx.send(task).map_err(flume::SendError::into_inner),
            Err(e) => {
                log::warn!("could not start a worker thread: {e}");
                Err(task)
            }
        }
    }

    /// Starts a thread that runs the first task, then further tasks until it has been idle too
    /// long.
    fn spawn(&self, first_task: flume::Receiver<Task>) -> io::Result<()> {
        let guard = ThreadCountGuard(self.thread_count.clone());
        let rx = self.rx.clone();
        let run = move || {
            let _guard = guard;
            if let Ok(task) = first_task.recv() {
                task();
            }
            while let Ok(task) = rx.recv_timeout(IDLE_TIMEOUT) {
                task();
            }
        };
        thread::Builder::new().name(self.name.to_owned()).spawn(run).map(drop)
    }
}

/// Decrements the thread count when the worker ends, also if a task panics.
struct ThreadCountGuard(Arc<AtomicUsize>);

impl Drop for ThreadCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
