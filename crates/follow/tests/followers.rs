//! What all followers of a leader have.

use follow::{Followers, HeldRequests, History, ViewPosition};
use std::time::{Duration, Instant};

const LIVE_TIME: Duration = Duration::from_millis(1_200);

fn at(term: u64, directory: u64) -> ViewPosition {
    ViewPosition { term, directory, ..ViewPosition::default() }
}

/// A change is acknowledged once all live daemons have it; a silent one is not waited for.
#[test]
fn a_position_is_covered_once_all_live_followers_have_it() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    followers.record(now, &"a".to_owned(), true, at(1, 5));
    followers.record(now, &"b".to_owned(), true, at(1, 4));
    assert_eq!(followers.covered(now, at(1, 6)), Some(at(1, 4)));
    assert!(!followers.all_cover(now, &at(1, 5)));
    assert_eq!(followers.lagging(now, &at(1, 5)), ["b"]);

    let later = now + LIVE_TIME / 2;
    followers.record(later, &"a".to_owned(), true, at(1, 6));
    let b_is_silent = now + LIVE_TIME;
    assert_eq!(followers.covered(b_is_silent, at(1, 6)), Some(at(1, 6)));
    assert!(followers.all_cover(b_is_silent, &at(1, 6)));
    assert_eq!(followers.live(b_is_silent), 1);
}

/// A follower that has lost its leader claims to lack its last change, to be replied to at once. Changes
/// that it had before stay acknowledged.
#[test]
fn a_follower_that_claims_to_lack_a_change_still_has_it() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    followers.record(now, &"a".to_owned(), true, at(1, 5));
    followers.record(now, &"a".to_owned(), true, at(1, 5).before_last_change());
    assert!(followers.all_cover(now, &at(1, 5)));
    // It has started anew.
    followers.record(now, &"a".to_owned(), true, ViewPosition::default());
    assert!(!followers.all_cover(now, &at(1, 5)));
    followers.record(now, &"a".to_owned(), true, at(1, 2));
    assert!(!followers.all_cover(now, &at(1, 5)));
}

/// A view of a former leader says nothing about what this leader has changed.
#[test]
fn a_view_of_another_term_covers_nothing() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    followers.record(now, &"a".to_owned(), true, at(2, 3));
    followers.record(now, &"b".to_owned(), false, at(1, 9));
    assert_eq!(followers.covered(now, at(2, 3)), None);
    assert!(!followers.all_cover(now, &at(2, 0)));
}

#[test]
fn lost_followers_are_removed_once() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    assert!(followers.record(now, &"a".to_owned(), true, at(1, 0)));
    assert!(!followers.record(now, &"a".to_owned(), true, at(1, 0)));
    let silence = Duration::from_secs(4);
    assert_eq!(followers.remove_silent(now + silence, silence), ["a"]);
    assert!(followers.remove_silent(now + silence, silence).is_empty());
}

#[test]
fn all_requests_are_taken_when_the_leadership_ends() {
    let now = Instant::now();
    let mut held = HeldRequests::new(Duration::from_millis(400));
    held.hold(now, at(1, 0), "a");
    held.hold(now, at(1, 1), "b");
    assert_eq!(held.take_all().len(), 2);
    assert!(held.is_empty() && held.next_due().is_none());
}

/// The directory of a new leader is that of its predecessor up to what it had followed.
#[test]
fn a_new_leader_continues_the_views_that_are_not_ahead_of_its_own() {
    let history = History::new(7, at(5, 40));
    assert!(history.continues(&at(7, 90)), "a view of its own");
    assert!(history.continues(&at(5, 40)) && history.continues(&at(5, 12)));
    assert!(!history.continues(&at(5, 41)), "it has a change that the leader lacks");
    assert!(!history.continues(&at(4, 12)), "revisions of an earlier leader may differ");
    assert!(!history.continues(&at(6, 12)), "a leader that nobody else has followed");
    assert!(!history.continues(&ViewPosition::default()), "no view yet");
}

/// The first leader of a region starts with no view, as its followers do.
#[test]
fn the_first_leader_sends_all() {
    let history = History::new(1, ViewPosition::default());
    assert!(history.continues(&ViewPosition::default()));
}

/// A follower that lost its leader claims less than it has, never more: changes are acknowledged by the
/// positions of followers.
#[test]
fn a_position_before_the_last_change_lacks_one_change() {
    let whole = ViewPosition { term: 2, routing: 3, directory: 4, out_of_service_changes: 1 };
    let mut position = whole;
    for lacking in 1..=8 {
        let earlier = position.before_last_change();
        assert!(position.covers(&earlier) && earlier != position, "{lacking}: {earlier:?}");
        position = earlier;
    }
    assert_eq!(position, ViewPosition { term: 2, ..ViewPosition::default() });
    assert_eq!(position.before_last_change(), position);
}

/// A request that was held up in the network since an earlier term says that its daemon has nothing of this
/// one. Acknowledgements wait until the daemon's next request.
#[test]
fn a_late_request_of_an_earlier_term_counts_until_the_next_one() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    followers.record(now, &"a".to_owned(), true, at(2, 3));
    followers.record(now, &"a".to_owned(), true, at(1, 9));
    assert!(!followers.all_cover(now, &at(2, 3)));
    followers.record(now, &"a".to_owned(), true, at(2, 3));
    assert!(followers.all_cover(now, &at(2, 3)));
}

/// One of a daemon that has gone counts for as long as any other.
#[test]
fn a_late_request_of_a_daemon_that_has_gone_counts_for_a_limited_time() {
    let now = Instant::now();
    let mut followers = Followers::new(LIVE_TIME);
    followers.record(now, &"gone".to_owned(), true, at(2, 3));
    assert!(!followers.all_cover(now, &at(2, 4)));
    assert!(followers.all_cover(now + LIVE_TIME, &at(2, 4)));
}
