//! Links between members of the control group that are reset again and again, while a change is
//! acknowledged, a member gets a snapshot, or a leader is elected.

use crate::{
    region::{Region, eventually},
    version,
};
use fake::FaultProxy;
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Pause between two resets of all links: a few round trips, so that most messages of a change are
/// under way when a reset comes.
const RESET_INTERVAL: Duration = Duration::from_millis(30);
/// Pause between two resets that leaves time for an election, or for a snapshot to be sent.
const LONG_RESET_INTERVAL: Duration = Duration::from_millis(250);
/// Number of changes that are published.
const CHANGES: u64 = 20;
/// Longest time for a change while links are reset: several attempts of an operator.
const CHANGE_TIME: Duration = Duration::from_secs(8);

/// Sets a flag when it is dropped, also by a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Time for which a member has to follow while links are reset.
const FOLLOWED_TIME: Duration = Duration::from_secs(8);
/// Age of a view at which its daemon is out of touch.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

/// Runs `f` while all links between the control daemons are reset at this interval.
fn with_resets<T>(proxies: &[FaultProxy], interval: Duration, f: impl FnOnce() -> T) -> T {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                proxies.iter().for_each(FaultProxy::cut);
                thread::sleep(interval);
            }
        });
        // Otherwise the scope would wait for the thread if `f` panics.
        let _done = SetOnDrop(&is_done);
        f()
    })
}

/// Starts a region of three control daemons whose links lead through proxies.
fn start(snapshot_entries: Option<u64>) -> (Region, Vec<FaultProxy>) {
    let mut region = Region::new(3);
    if let Some(entries) = snapshot_entries {
        region.set_snapshot_entries(entries);
    }
    let proxies = region.route_control_links();
    region.start_all(true);
    region.await_members(3);
    (region, proxies)
}

/// Publishes a version at one control daemon after the other until one acknowledges it.
fn publish(region: &Region, version: u64) {
    let started = Instant::now();
    let document = document(version, "/x/", "s1");
    for turn in 0.. {
        let response = region.control_request(turn % 3, "PUT", DOCUMENT_PATH, &document);
        if response.is_some_and(|(status, _)| status == 200) {
            return;
        }
        assert!(started.elapsed() < CHANGE_TIME, "version {version} was not acknowledged");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Version that control daemon `i` reads, once it is sure of it.
fn read(region: &Region, i: usize) -> u64 {
    version(&region.control_request_until_ok(i, "GET", DOCUMENT_PATH, ""))
}

/// Guards against an acknowledged change that a majority lacks, and against changes that come to
/// nothing because messages of the group are lost with their link.
#[test]
fn changes_are_acknowledged_and_kept_while_links_are_reset() {
    let (mut region, proxies) = start(None);
    for number in 1..=CHANGES {
        with_resets(&proxies, RESET_INTERVAL, || publish(&region, number));
        assert!(read(&region, (number % 3) as usize) >= number, "an older version was read");
    }
    region.kill_all();
    region.start_all(false);
    assert_eq!(read(&region, 0), CHANGES);
}

/// Guards against a member that never gets the snapshot it lacks, or gets a part of it for the whole.
#[test]
fn a_member_gets_a_snapshot_while_links_are_reset() {
    let (mut region, proxies) = start(Some(5));
    region.kill(2);
    (1..=CHANGES).for_each(|number| publish(&region, number));
    region.lose_disk(2);
    with_resets(&proxies, LONG_RESET_INTERVAL, || {
        region.start(2, false);
        region.await_members(3);
    });
    // It has what the others have: with it, one of them is a majority.
    region.kill(1);
    assert_eq!(read(&region, 2), CHANGES);
}

/// Guards against a daemon that finds no leader for as long as its links are reset more often than the
/// leader replies to a follower that lacks nothing.
#[test]
fn a_member_follows_the_leader_while_links_are_reset() {
    let (region, proxies) = start(None);
    publish(&region, 1);
    let follower = (region.await_leader(3) + 1) % 3;
    with_resets(&proxies, LONG_RESET_INTERVAL, || {
        let started = Instant::now();
        while started.elapsed() < FOLLOWED_TIME {
            let age = region.view_age(follower);
            assert!(age < MAX_VIEW_AGE, "view {age:?} old after {:?}", started.elapsed());
            thread::sleep(LONG_RESET_INTERVAL);
        }
    });
}

/// Guards against a group that elects no leader, or two, while links are reset.
#[test]
fn a_leader_is_elected_while_links_are_reset() {
    let (mut region, proxies) = start(None);
    publish(&region, 1);
    for round in 0..3_u64 {
        let leader = eventually("a leader", || (0..3).find(|i| region.leads(*i)));
        region.kill(leader);
        with_resets(&proxies, LONG_RESET_INTERVAL, || {
            eventually("another leader", || {
                (0..3).find(|i| *i != leader && region.leads(*i)).map(|_| ())
            });
            publish(&region, round + 2);
        });
        region.start(leader, false);
        assert_eq!(read(&region, leader), round + 2);
        region.await_members(3);
    }
}
