//! Bounds the bytes of all bodies that are held at once.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one permit: fine enough for short bodies, and few permits for long ones.
const UNIT_BYTES: u64 = 1 << 10;

/// Memory for bodies of requests that are under way.
///
/// ```
/// let budget = proxy::BodyBudget::new(10_240);
/// let held = budget.try_acquire(8_000).expect("there is room");
/// assert!(budget.try_acquire(8_000).is_none());
/// drop(held);
/// assert!(budget.try_acquire(8_000).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

/// Room for one body, given back when dropped.
#[derive(Debug)]
pub struct BodyPermit(
    #[allow(dead_code, reason = "dropped, it gives room back")] OwnedSemaphorePermit,
);

impl BodyBudget {
    /// Room for so many bytes.
    pub fn new(bytes: u64) -> Self {
        let units = usize::try_from(bytes / UNIT_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))))
    }

    /// Takes room for a body, if there is any.
    pub fn try_acquire(&self, bytes: u64) -> Option<BodyPermit> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        Arc::clone(&self.0).try_acquire_many_owned(units).ok().map(BodyPermit)
    }
}
