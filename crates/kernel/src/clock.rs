//! Time as an interface.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// A clock that many services share.
pub type SharedClock = Arc<dyn Clock>;

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time. Leases, deadlines and timeouts use this.
    fn now(&self) -> Instant;

    /// Wall-clock time. Only the time line and log lines use this.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// A clock whose wall time starts at the Unix epoch.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
