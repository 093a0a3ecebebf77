//! Time stamps that the leader puts on commands.

use std::time::{Duration, Instant};

/// Stamps commands with the time that has passed while the group had a leader.
///
/// A new leader goes on from the stamp of the replicated state and counts by
/// its monotonic clock. Wall clocks play no part, so a wrong one can neither
/// end a retention window early nor freeze it; time without a leader only makes
/// windows longer.
///
/// ```
/// use control::LeaderClock;
/// use std::time::{Duration, Instant};
///
/// let elected = Instant::now();
/// let clock = LeaderClock::new(elected, 5_000);
/// assert_eq!(clock.at_ms(elected + Duration::from_secs(2)), 7_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LeaderClock {
    elected: Instant,
    start_ms: u64,
}

impl LeaderClock {
    /// A clock for a leader elected at `now`, with [`State::clock_ms`] of the
    /// state after it has applied everything committed before its term.
    ///
    /// [`State::clock_ms`]: crate::State::clock_ms
    pub fn new(now: Instant, start_ms: u64) -> Self {
        Self { elected: now, start_ms }
    }

    /// The stamp for a command proposed at `now`, in milliseconds.
    pub fn at_ms(&self, now: Instant) -> u64 {
        self.start_ms.saturating_add(millis(now.saturating_duration_since(self.elected)))
    }
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
