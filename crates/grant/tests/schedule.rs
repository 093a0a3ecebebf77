//! When the waiting requests are reconsidered, whatever the number of reports.

use grant::PollSchedule;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Number of polls in a second with this many changes, each poll taking `taken`, and the longest
/// time from a change to the next poll.
fn polls(changes_per_ms: u32, taken: Duration) -> (u32, Duration) {
    let start = Instant::now();
    let mut schedule = PollSchedule::new(start);
    let (mut now, mut polls) = (start, 0);
    let (mut longest, mut unseen) = (Duration::ZERO, None);
    while now < start + Duration::from_secs(1) {
        for _ in 0..changes_per_ms {
            schedule.changed(now);
            unseen.get_or_insert(now);
        }
        if now >= schedule.due() {
            longest = longest.max(unseen.take().map_or(Duration::ZERO, |at| now - at));
            polls += 1;
            schedule.polled(now, now + taken);
            now += taken;
        }
        now += MS;
    }
    (polls, longest)
}

/// The leader polled at each progress report, so that reports of a burst cost as much as they were
/// many.
#[test]
fn changes_share_a_poll() {
    let (one_each, _) = polls(1, Duration::ZERO);
    let (many_each, longest) = polls(100, Duration::ZERO);
    assert_eq!(one_each, many_each);
    assert!(many_each <= 500, "{many_each} polls");
    assert!(longest <= 3 * MS, "{longest:?}");
}

/// Polls that take long, as the queue is, leave most of the time to other work.
#[test]
fn polls_take_a_tenth_of_the_time() {
    for taken in [2 * MS, 5 * MS, 10 * MS] {
        let (polls, longest) = polls(10, taken);
        assert!(taken * polls <= Duration::from_millis(110), "{polls} polls of {taken:?}");
        assert!(longest <= Duration::from_millis(100), "{longest:?}");
    }
}

#[test]
fn waiting_requests_are_reconsidered_without_a_change() {
    let (polls, _) = polls(0, Duration::ZERO);
    assert!((40..=50).contains(&polls), "{polls} polls");
}
