//! Hybrid logical clock.

use bincode::{Decode, Encode};
use kernel::SharedClock;
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

/// Farthest that another daemon's time may be ahead of this one's wall clock
/// and still be taken over.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// A point on the time line: wall-clock time, then a counter within it.
///
/// ```
/// use event::Timestamp;
///
/// let earlier = Timestamp { wall_ms: 5, counter: 9 };
/// assert!(earlier < Timestamp { wall_ms: 6, counter: 0 });
/// assert_eq!(earlier.to_string(), "5.9");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Decode,
    Default,
    Deserialize,
    Encode,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Number within the millisecond.
    pub counter: u64,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

/// Gives times that always grow, and grow past those of received messages.
pub struct HybridClock {
    clock: SharedClock,
    last: Mutex<Timestamp>,
    refused: AtomicU64,
}

impl HybridClock {
    /// A clock on top of the process's clock.
    pub fn new(clock: SharedClock) -> Self {
        Self { clock, last: Mutex::default(), refused: AtomicU64::new(0) }
    }

    /// The time of a local event or of a message to be sent.
    pub fn tick(&self) -> Timestamp {
        self.advance(Timestamp::default())
    }

    /// The time of a received message, after the time that it carries.
    ///
    /// A time more than a minute ahead of this wall clock is not taken over,
    /// as one wrong clock would move the time of all daemons.
    pub fn receive(&self, remote: Timestamp) -> Timestamp {
        let limit = self.wall_ms() + MAX_AHEAD.as_millis() as u64;
        if remote.wall_ms > limit {
            self.refused.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("event_clock_refused").increment(1);
            return self.tick();
        }
        self.advance(remote)
    }

    /// Received times that were too far ahead.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn advance(&self, remote: Timestamp) -> Timestamp {
        let wall = Timestamp { wall_ms: self.wall_ms(), counter: 0 };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = remote.max(*last);
        *last = match wall > seen {
            true => wall,
            false => Timestamp { counter: seen.counter.saturating_add(1), ..seen },
        };
        *last
    }

    fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
