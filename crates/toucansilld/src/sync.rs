//! Locks whose holder panicked go on with the data as it is.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
