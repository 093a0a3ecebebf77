//! Mutexes that ignore poisoning: after a panic, other threads go on with the data as it is.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a thread has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
