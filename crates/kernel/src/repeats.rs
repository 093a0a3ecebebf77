//! Limits how often something that repeats is logged.

use std::time::{Duration, Instant};

/// Occurrences of one kind, of which at most one line is logged in an interval. The first of a series is
/// logged at once.
///
/// ```
/// use kernel::Repeats;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut repeats = Repeats::new(Duration::from_secs(1));
/// assert_eq!(repeats.add(start).expect("the first one").count, 1);
/// assert!(repeats.add(start + Duration::from_millis(400)).is_none());
/// let repeated = repeats.add(start + Duration::from_secs(1)).expect("due");
/// assert_eq!((repeated.count, repeated.since_first), (2, Duration::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    interval: Duration,
    first_at: Option<Instant>,
    logged_at: Option<Instant>,
    /// Occurrences since the last line.
    count: u64,
}

/// What one line reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Repeated {
    /// Occurrences since the last line.
    pub count: u64,
    /// Time since the last line; zero for the first one.
    pub since_last: Duration,
    /// Time since the first occurrence of the series.
    pub since_first: Duration,
}

impl Repeats {
    /// Creates a series without occurrences.
    pub fn new(interval: Duration) -> Self {
        Self { interval, first_at: None, logged_at: None, count: 0 }
    }

    /// Counts an occurrence. Returns what to log, if a line is due.
    pub fn add(&mut self, now: Instant) -> Option<Repeated> {
        if self.has_ended(now) {
            *self = Self::new(self.interval);
        }
        self.count += 1;
        self.first_at.get_or_insert(now);
        self.take_due(now)
    }

    /// Returns what to log of the occurrences since the last line, if there are any and a line is due.
    pub fn take_due(&mut self, now: Instant) -> Option<Repeated> {
        if self.count == 0 || self.is_within_interval(now) {
            return None;
        }
        let time_since = |at: Option<Instant>| {
            at.map(|at| now.saturating_duration_since(at)).unwrap_or_default()
        };
        let repeated = Repeated {
            count: self.count,
            since_last: time_since(self.logged_at),
            since_first: time_since(self.first_at),
        };
        self.logged_at = Some(now);
        self.count = 0;
        Some(repeated)
    }

    /// Whether nothing has occurred for an interval after the last line.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.count == 0 && !self.is_within_interval(now)
    }

    fn is_within_interval(&self, now: Instant) -> bool {
        self.logged_at.is_some_and(|at| now.saturating_duration_since(at) < self.interval)
    }
}
