//! Timestamps that the leader sets on commands.

use std::time::{Duration, Instant};

/// Clock of the replicated state, which runs while the group has a leader.
///
/// A new leader continues from the last timestamp of the replicated state and
/// counts on its monotonic clock. Wall clocks are not used, so a wrong one can
/// neither end a retention window early nor stop it from ending. Time without a
/// leader is not counted, which only makes windows longer.
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
    elected_at: Instant,
    start_ms: u64,
}

impl LeaderClock {
    /// Creates the clock of a leader elected at `now`.
    ///
    /// `start_ms` is the [`State::clock_ms`] of a state that has applied every
    /// entry committed before the leader's term.
    ///
    /// [`State::clock_ms`]: crate::State::clock_ms
    pub fn new(now: Instant, start_ms: u64) -> Self {
        Self { elected_at: now, start_ms }
    }

    /// Returns the timestamp for a command proposed at `now`, in milliseconds.
    pub fn at_ms(&self, now: Instant) -> u64 {
        self.start_ms.saturating_add(millis(now.saturating_duration_since(self.elected_at)))
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
