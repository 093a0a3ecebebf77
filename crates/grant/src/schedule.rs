//! When the waiting requests are reconsidered.

use std::time::{Duration, Instant};

/// Time over which changes are collected before the waiting requests are reconsidered: short beside
/// the targets of all requests, and long beside the interval between two reports in a burst.
const COLLECTION_TIME: Duration = Duration::from_millis(2);
/// Interval at which waiting requests are reconsidered without a change, as engines progress with
/// their prefill.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a poll, as a multiple of the time that it took, so that polls leave the processor to
/// everything else most of the time.
const PAUSE_FACTOR: u32 = 9;
/// Longest such pause, well within the time for which entries wait for a reply.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Decides when the leader polls its [`Dispatcher`](crate::Dispatcher): soon after changes that may
/// let a waiting request in, several of which share one poll, and otherwise at an interval.
///
/// ```
/// use grant::PollSchedule;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut schedule = PollSchedule::new(now);
/// assert!(schedule.changed(now));
/// // The poll that is due anyway covers later changes.
/// assert!(!schedule.changed(now + Duration::from_millis(1)));
/// assert_eq!(schedule.due(), now + Duration::from_millis(2));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    due: Instant,
    /// End of the pause after the last poll.
    pause_until: Instant,
}

impl PollSchedule {
    /// Creates a schedule at whose start nothing has changed.
    pub fn new(now: Instant) -> Self {
        Self { due: now + IDLE_INTERVAL, pause_until: now }
    }

    /// Time of the next poll, if any request waits.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Records a change. Returns whether the next poll is due sooner than it was.
    pub fn changed(&mut self, now: Instant) -> bool {
        let due = (now + COLLECTION_TIME).max(self.pause_until);
        let is_sooner = due < self.due;
        self.due = self.due.min(due);
        is_sooner
    }

    /// Records a poll.
    pub fn polled(&mut self, started: Instant, ended: Instant) {
        let taken = ended.saturating_duration_since(started);
        let pause = (taken * PAUSE_FACTOR).min(MAX_PAUSE);
        self.pause_until = ended + pause;
        self.due = ended + pause.max(IDLE_INTERVAL);
    }
}
