//! Threads for streams, which are used again and bounded in number.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Stack of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which a thread without work ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Work = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    /// Threads that wait for work, by number.
    idle: BTreeMap<u64, flume::Sender<Work>>,
    /// All threads.
    threads: usize,
    next: u64,
    /// The workers' handle is gone: no thread waits for work any more.
    is_closed: bool,
}

type SharedState = Arc<Mutex<State>>;

/// A bounded number of threads. Idle ones end when it is dropped.
pub(crate) struct Workers {
    max: usize,
    state: SharedState,
}

impl Drop for Workers {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.is_closed = true;
        // Without its sender, a thread that waits ends.
        state.idle.clear();
    }
}

/// Counts a thread out, also when its work panics.
struct Counted(SharedState);

impl Drop for Counted {
    fn drop(&mut self) {
        lock(&self.0).threads -= 1;
    }
}

fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Workers {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, state: Arc::default() }
    }

    /// Runs `work` on a thread that waits, or on a new one.
    ///
    /// # Errors
    ///
    /// When all threads are at work and no further one may start.
    pub(crate) fn run(&self, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let mut state = lock(&self.state);
        if let Some((_, idle)) = state.idle.pop_last() {
            // A thread leaves the list before it ends, so it takes the work.
            return idle.send(Box::new(work)).map_err(|_| io::Error::other("a thread has ended"));
        }
        if state.threads >= self.max {
            return Err(io::Error::other(format!("{} streams are running", state.threads)));
        }
        state.threads += 1;
        state.next += 1;
        let number = state.next;
        drop(state);
        self.spawn(number, Box::new(work))
    }

    fn spawn(&self, number: u64, first: Work) -> io::Result<()> {
        let counted = Counted(Arc::clone(&self.state));
        let thread = thread::Builder::new().name("stream".to_string()).stack_size(STACK_BYTES);
        thread.spawn(move || work(&counted, number, first)).map(|_| ())
    }
}

/// Runs one work after the other, until none comes.
fn work(counted: &Counted, number: u64, first: Work) {
    let mut next = Some(first);
    while let Some(work) = next {
        work();
        next = wait(&counted.0, number);
    }
}

fn wait(shared: &SharedState, number: u64) -> Option<Work> {
    let (tx, rx) = flume::bounded(1);
    {
        let mut state = lock(shared);
        if state.is_closed {
            return None;
        }
        state.idle.insert(number, tx);
    }
    match rx.recv_timeout(IDLE_TIMEOUT) {
        Ok(work) => Some(work),
        Err(_) if lock(shared).idle.remove(&number).is_some() => None,
        // Chosen just now: the work is on its way. Or the handle is gone.
        Err(_) => rx.recv().ok(),
    }
}
