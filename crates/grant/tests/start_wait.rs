//! Load: all daemons, the control group and the callers come back within one second after the loss of
//! a whole region. The routing is known a second after the daemons, and callers retry once.

use grant::StartWait;
use std::time::{Duration, Instant};

/// Time after the start at which the daemons know the routing.
const ROUTING_KNOWN: Duration = Duration::from_millis(1_100);
/// Time without a response after which callers of short prompts leave.
const PATIENCE: Duration = Duration::from_secs(2);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn callers_of_the_first_second_are_served_instead_of_refused() {
    let start = Instant::now();
    let wait = StartWait::new(start, Some(Duration::from_secs(15)));
    for arrived_ms in [0, 100, 500, 1_000] {
        let arrived = start + millis(arrived_ms);
        let known = start + ROUTING_KNOWN;
        assert!(wait.remaining(known, arrived).is_some(), "{arrived_ms}");
    }
}

#[test]
fn a_request_never_waits_as_long_as_callers_take_for_a_failure() {
    let start = Instant::now();
    for recovery_s in [1, 15, 86_400] {
        let wait = StartWait::new(start, Some(Duration::from_secs(recovery_s)));
        let remaining = wait.remaining(start, start).unwrap_or_default();
        assert!(remaining < PATIENCE, "{recovery_s}: {remaining:?}");
        assert_eq!(wait.remaining(start + remaining, start), None);
    }
}

/// A daemon that still has no routing when the region should serve again is cut off.
#[test]
fn a_daemon_that_stays_without_routing_refuses_at_once() {
    let start = Instant::now();
    let wait = StartWait::new(start, Some(Duration::from_secs(15)));
    let later = start + Duration::from_secs(15);
    assert_eq!(wait.remaining(later, later), None);
}

#[test]
fn without_a_stated_recovery_time_no_request_waits() {
    let start = Instant::now();
    for wait in [StartWait::new(start, None), StartWait::default()] {
        assert_eq!(wait.remaining(start, start), None);
    }
}
