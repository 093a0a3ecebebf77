//! The work of a leader with many followers while its state changes often.

use follow::{Followers, HeldRequests, ViewPosition};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_millis(400);

/// What a leader has sent in a second, and the longest time from a change until all followers had it.
struct Sent {
    replies: usize,
    longest: Duration,
}

/// Plays a second with this many followers and changes. A reply takes a millisecond to its follower,
/// which then asks again at once.
fn play(followers: usize, changes_per_s: u64) -> Sent {
    let start = Instant::now();
    let mut position = ViewPosition { term: 1, ..ViewPosition::default() };
    let mut held = HeldRequests::new(MAX_WAIT);
    let mut known = Followers::new(Duration::from_secs(1));
    let names: Vec<String> = (0..followers).map(|i| format!("entry-{i}")).collect();
    let mut arriving: BTreeMap<Instant, Vec<(usize, ViewPosition)>> = BTreeMap::new();
    arriving.insert(start, (0..followers).map(|i| (i, position)).collect());
    let mut unseen: Vec<(Instant, ViewPosition)> = Vec::new();
    let mut sent = Sent { replies: 0, longest: Duration::ZERO };
    for ms in 0..1_000 {
        let now = start + MS * ms;
        for (follower, at) in arriving.remove(&now).unwrap_or_default() {
            known.record(now, &names[follower], true, at);
            held.hold(now, at, follower);
            if at != position {
                held.changed(now);
            }
        }
        if u64::from(ms) * changes_per_s % 1_000 < changes_per_s {
            position.directory += 1;
            held.changed(now);
            unseen.push((now, position));
        }
        if held.next_due().is_some_and(|due| due <= now) {
            let due = held.take_due(now, position);
            sent.replies += due.len();
            let back = arriving.entry(now + 2 * MS).or_default();
            back.extend(due.into_iter().map(|request| (request.responder, position)));
        }
        let covered = known.covered(now, position).expect("one term");
        for (at, _) in unseen.extract_if(.., |(_, change)| covered.covers(change)) {
            sent.longest = sent.longest.max(now - at);
        }
    }
    sent
}

/// A release of a service changes the directory dozens of times a second. Each change was a message
/// to each daemon: 24,000 a second with 300 daemons.
#[test]
fn changes_share_a_round_of_replies() {
    let Sent { replies, longest } = play(300, 80);
    assert!(replies <= 4_500, "{replies} replies");
    assert!(longest <= 200 * MS, "{longest:?}");
}

/// The replies a second have a bound that doesn't depend on changes or followers.
#[test]
fn replies_have_a_bound() {
    for (followers, changes) in [(30, 1_000), (100, 500), (300, 500), (1_000, 200)] {
        let Sent { replies, .. } = play(followers, changes);
        assert!(replies <= 4_500, "{followers} followers, {changes} changes: {replies} replies");
    }
}

#[test]
fn a_single_change_is_known_soon() {
    for followers in [8, 68, 300] {
        let Sent { longest, .. } = play(followers, 1);
        assert!(longest <= 6 * MS, "{followers} followers: {longest:?}");
    }
}

/// Without a change each request gets a reply in time, and none sooner.
#[test]
fn requests_are_held_while_nothing_changes() {
    let Sent { replies, .. } = play(300, 0);
    assert_eq!(replies, 600);
}
