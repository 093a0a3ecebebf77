//! Clocks, as an interface that tests can replace.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// Clock shared by the internal services of a process.
pub type SharedClock = Arc<dyn Clock>;

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, with which leases, deadlines and timeouts are measured.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    ///
    /// It may jump, so it serves only for timestamps that others read, such as those of events and
    /// responses, and for the incarnation of a daemon; never for measuring an interval.
    fn wall(&self) -> SystemTime;
}

/// Clock that reads the operating system's clocks.
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

/// Clock for tests, whose time changes only by [`ManualClock::advance`]. Clones share the same
/// time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    /// Monotonic time at which the clock was created.
    start: Instant,
    /// Sum of all advances.
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time starts at the Unix epoch.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Advances the monotonic and the wall-clock time.
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
