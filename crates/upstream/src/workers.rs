//! Bounded pool of threads that run streams.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Stack size of a thread, in bytes. It is small because thousands of threads may run.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Task = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct PoolState {
    /// Senders to idle threads, by thread id.
    idle: BTreeMap<u64, flume::Sender<Task>>,
    /// Number of threads, running and idle.
    threads: usize,
    last_thread_id: u64,
    /// The [`WorkerPool`] was dropped: threads end instead of becoming idle.
    is_closed: bool,
}

type SharedState = Arc<Mutex<PoolState>>;

/// Thread pool of at most `max` threads. When it is dropped, idle threads end at
/// once and running ones after their task.
pub(crate) struct WorkerPool {
    max: usize,
    state: SharedState,
}

impl Drop for WorkerPool {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.is_closed = true;
        // An idle thread ends when its sender is dropped.
        state.idle.clear();
    }
}

/// Decrements the number of threads when a thread ends, also when its task panics.
struct ThreadCountGuard(SharedState);

impl Drop for ThreadCountGuard {
    fn drop(&mut self) {
        lock(&self.0).threads -= 1;
    }
}

fn lock(state: &SharedState) -> MutexGuard<'_, PoolState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerPool {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, state: Arc::default() }
    }

    /// Runs `task` on an idle thread, or on a new one.
    ///
    /// # Errors
    ///
    /// When all threads are busy and the pool is at its maximum, or when the
    /// operating system can't start a thread.
    pub(crate) fn run(&self, task: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let mut state = lock(&self.state);
        if let Some((_, idle)) = state.idle.pop_last() {
            // A thread removes itself from `idle` before it ends, so this one still receives.
            return idle.send(Box::new(task)).map_err(|_| io::Error::other("a thread has ended"));
        }
        if state.threads >= self.max {
            return Err(io::Error::other(format!("{} streams are running", state.threads)));
        }
        state.threads += 1;
        state.last_thread_id += 1;
        let thread_id = state.last_thread_id;
        drop(state);
        self.spawn(thread_id, Box::new(task))
    }

    fn spawn(&self, thread_id: u64, first: Task) -> io::Result<()> {
        let guard = ThreadCountGuard(Arc::clone(&self.state));
        let thread = thread::Builder::new().name("stream".to_string()).stack_size(STACK_BYTES);
        thread.spawn(move || run_tasks(&guard, thread_id, first)).map(|_| ())
    }
}

/// Runs tasks one after the other until the thread has been idle for too long or
/// the pool is closed.
fn run_tasks(guard: &ThreadCountGuard, thread_id: u64, first: Task) {
    let mut next = Some(first);
    while let Some(task) = next {
        task();
        next = wait_for_task(&guard.0, thread_id);
    }
}

/// Waits for the next task; `None` when the thread must end.
fn wait_for_task(shared: &SharedState, thread_id: u64) -> Option<Task> {
    let (tx, rx) = flume::bounded(1);
    {
        let mut state = lock(shared);
        if state.is_closed {
            return None;
        }
        state.idle.insert(thread_id, tx);
    }
    match rx.recv_timeout(IDLE_TIMEOUT) {
        Ok(task) => Some(task),
        Err(_) if lock(shared).idle.remove(&thread_id).is_some() => None,
        // `run` removed this thread from `idle` just as the timeout passed, so its task is
        // about to arrive; or the pool was dropped with the sender.
        Err(_) => rx.recv().ok(),
    }
}
