//! Load: short prompts while the leader is frozen, or while a reply of it is lost on its way.
//!
//! An election takes half a second and a retransmission 200 ms; drafts have to have their first
//! event after 250 ms.

use grant::{MAX_QUEUED_REPLY_TIME, queued_reply_time, reply_timeout};
use std::time::Duration;

/// Time that a short prompt takes on an engine once it is placed.
const SHORT_PREFILL: Duration = Duration::from_millis(120);
/// Time of a round trip between an entry and the leader, and of their scheduling.
const ROUND_TRIP: Duration = Duration::from_millis(15);

#[test]
fn a_draft_is_on_time_although_the_leader_does_not_reply() {
    for target_ms in [250, 300] {
        let target = Duration::from_millis(target_ms);
        assert!(reply_timeout(target) + SHORT_PREFILL <= target, "{target_ms}");
    }
}

#[test]
fn an_entry_does_not_take_a_queued_request_for_the_loss_of_the_leader() {
    let targets = [0, 1, 100, 250, 300, 1_500, 8_000, 600_000].map(Duration::from_millis);
    for target in targets {
        let (queued, timeout) = (queued_reply_time(target), reply_timeout(target));
        assert!(queued + ROUND_TRIP < timeout, "{target:?}: {queued:?}, {timeout:?}");
        assert!(queued <= MAX_QUEUED_REPLY_TIME, "{target:?}");
    }
}

/// Requests without hurry wait for a leader that is slow rather than burden the engines beside it.
#[test]
fn a_long_prompt_waits_for_a_slow_leader() {
    let long = Duration::from_secs(3);
    assert_eq!(reply_timeout(long), reply_timeout(Duration::ZERO));
    assert!(reply_timeout(long) >= MAX_QUEUED_REPLY_TIME * 3);
}
