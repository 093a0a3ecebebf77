//! How long requests wait at a daemon that has just started and lacks what it needs to place them.
//!
//! After the loss of a whole region all daemons, the control group and the callers come back
//! within the same second. Callers that are refused then use up their retries before the daemons
//! know the routing. So a daemon that has just started lets them wait for it, for less time than
//! callers take to give up; later, a daemon without routing is cut off and refuses at once.

use std::time::{Duration, Instant};

/// Share of the time within which a region has to serve again that one request waits.
const WAIT_SHARE: f64 = 0.1;
/// Longest wait of one request: callers take two seconds without an event for a failure.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Limits for requests that wait at a daemon that has just started.
///
/// It is off in a deployment that doesn't state within which time it has to serve again.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartWait {
    /// When the daemon no longer counts as just started; `None` if requests never wait.
    ends_at: Option<Instant>,
    max_wait: Duration,
}

impl StartWait {
    /// Limits of a daemon that starts at `now`. `recovery_time` is the time within which the region
    /// has to serve again after the loss of all its daemons, if the deployment states one.
    pub fn new(now: Instant, recovery_time: Option<Duration>) -> Self {
        let recovery_time = recovery_time.unwrap_or_default();
        Self {
            ends_at: (!recovery_time.is_zero()).then(|| now + recovery_time),
            max_wait: recovery_time.mul_f64(WAIT_SHARE).min(MAX_WAIT),
        }
    }

    /// Time for which a request that has waited since `since` may still wait; `None` if it has to be
    /// refused now.
    pub fn remaining(&self, now: Instant, since: Instant) -> Option<Duration> {
        let until = (since + self.max_wait).min(self.ends_at?);
        until.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
    }
}
