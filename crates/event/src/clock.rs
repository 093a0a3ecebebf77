//! Hybrid logical clock, which orders the events of all daemons.
//!
//! A timestamp is the wall-clock time in milliseconds and a counter. The counter orders events
//! within one millisecond, and events that follow a message from a daemon whose wall clock is
//! ahead.

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

/// How far a received timestamp may be ahead of the local wall clock and still advance the clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Time of an event, ordered by the wall-clock time and then by the counter.
///
/// It is displayed as `wall_ms.counter`.
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
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Sequence number among the timestamps with the same wall-clock time, from 0.
    pub counter: u64,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

/// Clock whose timestamps strictly increase, and exceed those of received messages.
///
/// An event caused by a message therefore has a later timestamp than the message, even if the
/// sender's wall clock is ahead. Threads may share the clock.
pub struct HybridClock {
    clock: SharedClock,
    /// Latest timestamp that the clock has returned.
    last: Mutex<Timestamp>,
    /// Number of received timestamps ignored because they were ahead by more than
    /// [`MAX_CLOCK_SKEW`].
    refused: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that reads the wall-clock time from `clock`.
    pub fn new(clock: SharedClock) -> Self {
        Self { clock, last: Mutex::default(), refused: AtomicU64::new(0) }
    }

    /// Returns the timestamp of a local event or of a message about to be sent.
    pub fn tick(&self) -> Timestamp {
        self.advance(Timestamp::default())
    }

    /// Returns the timestamp of the receipt of a message that carries the timestamp `remote`. It is
    /// later than `remote`.
    ///
    /// The exception is a `remote` that is more than one minute ahead of the local wall clock: it
    /// is ignored and counted, because a single wrong clock would otherwise advance the clocks of
    /// all daemons. The timestamp returned is then that of a local event.
    pub fn receive(&self, remote: Timestamp) -> Timestamp {
        let limit = self.wall_ms() + MAX_CLOCK_SKEW.as_millis() as u64;
        if remote.wall_ms > limit {
            self.refused.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("event_clock_refused").increment(1);
            return self.tick();
        }
        self.advance(remote)
    }

    /// Number of received timestamps ignored because they were too far ahead of the local wall
    /// clock.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Advances the clock past `remote` and past all timestamps returned earlier: to the wall-clock
    /// time if that is later, else to the next counter value of the later of the two.
    fn advance(&self, remote: Timestamp) -> Timestamp {
        let wall = Timestamp { wall_ms: self.wall_ms(), counter: 0 };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = remote.max(*last);
        *last = match wall > latest {
            true => wall,
            false => Timestamp { counter: latest.counter.saturating_add(1), ..latest },
        };
        *last
    }

    /// Wall-clock time, in milliseconds since the Unix epoch; 0 for a time before it.
    fn wall_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.unwrap_or_default().as_millis() as u64
    }
}
