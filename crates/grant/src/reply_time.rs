//! How long a placement request takes at most: at the leader before it replies that the request has
//! to wait, and at the entry before it takes the leader for lost.
//!
//! A reply that is lost on its way comes 200 ms late, and a leader that has frozen is replaced after
//! half a second. A short prompt would miss its target by then, so its entry asks the leader for an
//! early reply and places the request itself without one.

use std::time::Duration;

/// Shortest and longest time after which a waiting placement request gets the reply
/// [`Decision::Waiting`](crate::Decision::Waiting), upon which the entry repeats it. Entries would
/// take longer silence for the loss of the leader.
const QUEUED_REPLY_RANGE: (Duration, Duration) =
    (Duration::from_millis(40), Duration::from_millis(100));
/// Part of the target for the first event after which that reply is sent.
const QUEUED_REPLY_SHARE: u32 = 4;
/// Time beyond it that a reply takes: two passages of the region and scheduling delays of busy VMs.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Part of the target for the first event that an entry waits for a reply.
const REPLY_TIMEOUT_SHARE: u32 = 2;
/// Longest time that an entry waits for a reply, also for requests whose target has passed.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after which the leader replies that a request has to wait. `target` is the time remaining to
/// the target for its first event; zero if it has passed.
pub fn queued_reply_time(target: Duration) -> Duration {
    match target.is_zero() {
        true => QUEUED_REPLY_RANGE.1,
        false => (target / QUEUED_REPLY_SHARE).clamp(QUEUED_REPLY_RANGE.0, QUEUED_REPLY_RANGE.1),
    }
}

/// Longest time that an entry waits for the leader's reply to a placement request with this time
/// remaining to its target.
pub fn reply_timeout(target: Duration) -> Duration {
    if target.is_zero() {
        return MAX_REPLY_TIMEOUT;
    }
    let shortest = queued_reply_time(target) + REPLY_MARGIN;
    (target / REPLY_TIMEOUT_SHARE).clamp(shortest, MAX_REPLY_TIMEOUT)
}

/// Longest reply time of the leader, which other timeouts have to exceed.
pub const MAX_QUEUED_REPLY_TIME: Duration = QUEUED_REPLY_RANGE.1;
