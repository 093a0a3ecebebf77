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

type Job = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct PoolState {
    /// Senders to idle threads, by thread id.
    idle: BTreeMap<u64, flume::Sender<Job>>,
    /// Number of threads, running and idle.
    threads: usize,
    last_thread_id: u64,
    /// The `Workers` handle was dropped: threads end instead of becoming idle.
    is_closed: bool,
}

type SharedState = Arc<Mutex<PoolState>>;

/// Thread pool of at most `max` threads. When it is dropped, idle threads end at
/// once and running ones after their job.
pub(crate) struct Workers {
    max: usize,
    state: SharedState,
}

impl Drop for Workers {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.is_closed = true;
        // An idle thread ends when its sender is dropped.
        state.idle.clear();
    }
}

/// Decrements the number of threads when a thread ends, also when its job panics.
struct ThreadCountGuard(SharedState);

impl Drop for ThreadCountGuard {
    fn drop(&mut self) {
        lock(&self.0).threads -= 1;
    }
}

fn lock(state: &SharedState) -> MutexGuard<'_, PoolState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Workers {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, state: Arc::default() }
    }

    /// Runs `job` on an idle thread, or on a new one.
    ///
    /// # Errors
    ///
    /// When all threads are busy and the pool is at its maximum, or when the
    /// operating system can't start a thread.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let mut state = lock(&self.state);
        if let Some((_, idle)) = state.idle.pop_last() {
            // A thread removes itself from `idle` before it ends, so this one still receives.
            return idle.send(Box::new(job)).map_err(|_| io::Error::other("a thread has ended"));
        }
        if state.threads >= self.max {
            return Err(io::Error::other(format!("{} streams are running", state.threads)));
        }
        state.threads += 1;
        state.last_thread_id += 1;
        let thread_id = state.last_thread_id;
        drop(state);
        self.spawn(thread_id, Box::new(job))
    }

    fn spawn(&self, thread_id: u64, first: Job) -> io::Result<()> {
        let guard = ThreadCountGuard(Arc::clone(&self.state));
        let thread = thread::Builder::new().name("stream".to_string()).stack_size(STACK_BYTES);
        thread.spawn(move || run_jobs(&guard, thread_id, first)).map(|_| ())
    }
}

/// Runs jobs one after the other until the thread has been idle for too long or
/// the pool is closed.
fn run_jobs(guard: &ThreadCountGuard, thread_id: u64, first: Job) {
    let mut next = Some(first);
    while let Some(job) = next {
        job();
        next = wait_for_job(&guard.0, thread_id);
    }
}

/// Waits for the next job; `None` when the thread must end.
fn wait_for_job(shared: &SharedState, thread_id: u64) -> Option<Job> {
    let (tx, rx) = flume::bounded(1);
    {
        let mut state = lock(shared);
        if state.is_closed {
            return None;
        }
        state.idle.insert(thread_id, tx);
    }
    match rx.recv_timeout(IDLE_TIMEOUT) {
        Ok(job) => Some(job),
        Err(_) if lock(shared).idle.remove(&thread_id).is_some() => None,
        // `run` took this thread at the timeout, so its job is about to arrive. Or
        // the pool was dropped, and with it the sender.
        Err(_) => rx.recv().ok(),
    }
}
