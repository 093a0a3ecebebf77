//! Limits the memory that all bodies of requests, or of responses, take together.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes counted by one permit of the semaphore: small enough that short bodies are not counted as
/// much longer than they are, and large enough that long bodies take few permits.
const PERMIT_BYTES: u64 = 1 << 10;

/// Memory for the bodies of all requests in progress, or of all responses that are being received. Clones
/// share it.
///
/// ```
/// let budget = proxy::BodyBudget::new(10_240);
/// let permit = budget.try_acquire(8_000).expect("enough memory is free");
/// assert!(budget.try_acquire(8_000).is_none());
/// drop(permit);
/// assert!(budget.try_acquire(8_000).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Semaphore>);

/// Memory set aside for one body. Dropping it releases the memory.
#[derive(Debug)]
pub struct BodyPermit(
    #[allow(dead_code, reason = "held only for its drop, which releases the memory")]
    OwnedSemaphorePermit,
);

impl BodyBudget {
    /// Creates a budget of `bytes`, rounded down to whole KiB.
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / PERMIT_BYTES).unwrap_or(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))))
    }

    /// Sets memory aside for a body of `bytes`, rounded up to whole KiB. Returns `None` if less is
    /// free.
    pub fn try_acquire(&self, bytes: u64) -> Option<BodyPermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).ok()?;
        Arc::clone(&self.0).try_acquire_many_owned(permits).ok().map(BodyPermit)
    }

    /// As [`try_acquire`](Self::try_acquire), but waits until enough is free, in the order of the calls. Never
    /// returns if `bytes` is more than the whole budget.
    pub async fn acquire(&self, bytes: u64) -> BodyPermit {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        match Arc::clone(&self.0).acquire_many_owned(permits).await {
            Ok(permit) => BodyPermit(permit),
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }
}
