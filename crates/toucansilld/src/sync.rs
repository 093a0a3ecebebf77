//! Mutexes that ignore poisoning: after a panic, other threads go on with the data as it is. Operations at the same time.

use std::{
    panic,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
};

/// Locks a mutex, also if a thread has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs two operations at the same time, the first one on a thread of its own, and returns the results of both.
pub(crate) fn run_both<A: Send, B>(
    first: impl FnOnce() -> A + Send,
    second: impl FnOnce() -> B,
) -> (A, B) {
    thread::scope(|scope| {
        let first = scope.spawn(first);
        let second = second();
        match first.join() {
            Ok(first) => (first, second),
            Err(cause) => panic::resume_unwind(cause),
        }
    })
}
