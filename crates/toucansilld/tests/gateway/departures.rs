//! Tests of upstreams that announce their departure: once it is acknowledged, no request may reach
//! them, whatever happens to the daemons that knew of it.

use crate::{
    region::{Region, eventually},
    stand_ins::Upstream,
};
use platform::stand_in::{DOCUMENT_PATH, document, registration_body, upstream_path};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time within which entries follow a new leader and it knows what they know.
const FOLLOW_TIME: Duration = Duration::from_secs(2);
/// Delay of each message between members: in half of the rounds, the entry finds the leader while a change
/// is being replicated.
const REPLICATION_DELAY: Duration = Duration::from_millis(30);
/// Number of times that a leader starts as an upstream leaves.
const OFFER_ROUNDS: usize = 5;
/// Requests sent to find out which upstreams get any.
const REQUESTS: usize = 20;

/// Registers an upstream as `state` at daemon `i` and returns the status of the response.
fn register(
    region: &Region,
    i: usize,
    (id, upstream): (&str, &Upstream),
    sequence: u64,
    state: &str,
) -> Option<u16> {
    let body = upstream.registration("s1", sequence, state);
    region.control_request(i, "PUT", &upstream_path(id), &body).map(|(status, _)| status)
}

/// Registers an upstream at daemon `i` and waits until it gets requests, which shows that the entry
/// follows the leader that knows it.
fn add_upstream(region: &Region, i: usize, id: &str, upstream: &Upstream) {
    let accepted = || (register(region, i, (id, upstream), 1, "ready") == Some(200)).then_some(());
    eventually("the upstream is registered", accepted);
    eventually("requests reach the upstream", || {
        region.request("/x/");
        (!upstream.runs().is_empty()).then_some(())
    });
}

/// Starts a region whose entry has the routing document.
fn start(control_count: usize) -> Region {
    let mut region = Region::new(control_count);
    start_with_document(&mut region, control_count);
    region
}

/// Starts the daemons of a region and gives them the routing document.
fn start_with_document(region: &mut Region, control_count: usize) {
    region.start_all(true);
    region.await_members(control_count);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
}

/// Sends requests and checks that none of them reaches `upstream`.
fn assert_gets_no_requests(region: &Region, upstream: &Upstream) {
    let before = upstream.runs();
    (0..REQUESTS).for_each(|_| drop(region.request("/x/")));
    assert_eq!(upstream.runs(), before, "requests sent to an upstream that has left");
}

/// Guards against a departure that only the leader knows when it acknowledges it: the next leader
/// would bring the upstream back.
#[test]
fn a_departure_acknowledged_just_before_the_leader_is_lost_stays_known() {
    let mut region = start(3);
    let (leaving, staying, new) =
        (Upstream::start("leaving"), Upstream::start("staying"), Upstream::start("new"));
    add_upstream(&region, 0, "u1", &leaving);
    add_upstream(&region, 0, "u2", &staying);
    let leader = region.await_leader(3);
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();

    others.iter().for_each(|i| region.signal(*i, "-STOP"));
    // The other members have a request for the next change under way. This change is the reply, so
    // that the departure is not.
    register(&region, leader, ("u4", &staying), 1, "ready");
    let response = region.control_request(leader, "DELETE", &upstream_path("u1"), "");
    region.kill(leader);
    others.iter().for_each(|i| region.signal(*i, "-CONT"));
    region.await_group(3, 2);
    if response.is_none_or(|(status, _)| status != 200) {
        // It was not acknowledged, so the upstream repeats it.
        region.control_request_until_ok(others[0], "DELETE", &upstream_path("u1"), "");
    }

    add_upstream(&region, others[0], "u3", &new);
    assert_gets_no_requests(&region, &leaving);
}

/// Guards against a group that forgets departures when its processes restart: a registration that
/// was delayed on its way would bring the upstream back.
#[test]
fn a_late_registration_does_not_revive_a_departed_upstream_after_a_restart() {
    let mut region = start(1);
    let (leaving, staying) = (Upstream::start("leaving"), Upstream::start("staying"));
    add_upstream(&region, 0, "u1", &leaving);
    region.control_request_until_ok(0, "DELETE", &upstream_path("u1"), "");
    region.kill(0);
    region.start(0, false);
    add_upstream(&region, 0, "u2", &staying);

    register(&region, 0, ("u1", &leaving), 2, "ready");
    assert_gets_no_requests(&region, &leaving);
}

/// Guards against the acknowledgement of a departure that is recorded nowhere, as the group has
/// restarted and doesn't know the upstream: a delayed registration would bring it back.
#[test]
fn a_late_registration_does_not_revive_an_upstream_that_left_unknown() {
    let mut region = start(1);
    let (leaving, staying) = (Upstream::start("leaving"), Upstream::start("staying"));
    add_upstream(&region, 0, "u1", &leaving);
    region.kill(0);
    region.start(0, false);
    region.control_request_until_ok(0, "DELETE", &upstream_path("u1"), "");

    register(&region, 0, ("u1", &leaving), 2, "ready");
    add_upstream(&region, 0, "u2", &staying);
    assert_gets_no_requests(&region, &leaving);
}

/// Guards against taking the departure of a run that the restarted group doesn't know for that of
/// an earlier run under the same name, which it does.
#[test]
fn a_late_registration_does_not_revive_a_later_run_that_left_unknown() {
    let mut region = start(1);
    let (leaving, staying) = (Upstream::start("leaving"), Upstream::start("staying"));
    let path = &upstream_path("u1");
    let later_run = |sequence| registration_body(leaving.address, "s1", 2, sequence, "ready");
    add_upstream(&region, 0, "u1", &leaving);
    region.control_request_until_ok(0, "DELETE", path, "");
    region.control_request_until_ok(0, "PUT", path, &later_run(1));
    region.kill(0);
    region.start(0, false);
    region.control_request_until_ok(0, "DELETE", path, "");

    region.control_request(0, "PUT", path, &later_run(2));
    add_upstream(&region, 0, "u2", &staying);
    assert_gets_no_requests(&region, &leaving);
}

/// Guards against the acknowledgement of a departure, first or repeated, while the entry is known
/// to lack it.
#[test]
fn a_departure_is_not_acknowledged_while_the_entry_lacks_it() {
    /// Time for which the leader counts a silent entry as running. It ends 1.2 s after the entry's
    /// last follow request, which may have been held open for 0.4 s.
    const SILENCE: Duration = Duration::from_millis(600);
    let mut region = Region::new(1);
    region.set_apply_ms(600);
    start_with_document(&mut region, 1);
    let upstreams: Vec<Upstream> = (0..20).map(|_| Upstream::start("leaving")).collect();
    let is_conclusive = |(i, upstream): (usize, &Upstream)| {
        let id = format!("u{i}");
        add_upstream(&region, 0, &id, upstream);
        region.signal(region.entry(), "-STOP");
        let frozen = Instant::now();
        let statuses: Vec<_> = (2..4)
            .map(|sequence| register(&region, 0, (&id, upstream), sequence, "draining"))
            .take_while(|_| frozen.elapsed() < SILENCE)
            .collect();
        region.signal(region.entry(), "-CONT");
        assert!(!statuses.contains(&Some(200)), "acknowledged: {statuses:?}");
        !statuses.is_empty()
    };
    // A response that took too long, on a busy computer, says nothing.
    assert!(upstreams.iter().enumerate().any(is_conclusive), "no response came in time");
}

/// Guards against an entry that acts on what it knew before it lost the leader, although a member
/// of the control group that it reaches knows of the departure.
#[test]
fn an_entry_without_a_leader_learns_departures_from_another_member() {
    let mut region = start(3);
    let (leaving, staying) = (Upstream::start("leaving"), Upstream::start("staying"));
    add_upstream(&region, 0, "u1", &leaving);
    add_upstream(&region, 0, "u2", &staying);
    let leader = region.await_leader(3);
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();

    // Without the frozen member, the remaining one can't elect a leader later.
    region.signal(others[0], "-STOP");
    region.signal(region.entry(), "-STOP");
    region.control_request_until_ok(leader, "DELETE", &upstream_path("u1"), "");
    // The next log entry tells the other member that the one before it is committed.
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(2, "/x/", "s1"));
    region.kill(leader);
    region.signal(region.entry(), "-CONT");
    eventually("no requests reach the upstream that has left", || {
        let before = (leaving.runs(), staying.runs());
        (0..REQUESTS).for_each(|_| drop(region.request("/x/")));
        (leaving.runs() == before.0 && staying.runs() != before.1).then_some(())
    });
}

/// Guards against a leader that has just started, and so knows no upstream, whose empty directory
/// replaces those of the entries until all upstreams have registered again.
#[test]
fn a_leader_that_has_just_started_learns_the_upstreams_from_the_entries() {
    let mut region = start(3);
    let (staying, leaving) = (Upstream::start("staying"), Upstream::start("leaving"));
    add_upstream(&region, 0, "u1", &staying);
    add_upstream(&region, 0, "u2", &leaving);
    region.control_request_until_ok(0, "DELETE", &upstream_path("u2"), "");
    (0..3).for_each(|i| region.kill(i));
    (0..3).for_each(|i| region.start(i, false));
    region.await_leader(3);
    // Neither of them registers any more.
    thread::sleep(FOLLOW_TIME);
    let before = staying.runs().len();
    for _ in 0..REQUESTS {
        let status = region.request("/x/").map(|(status, _)| status);
        assert_eq!(status, Some(200));
    }
    assert_eq!(staying.runs().len(), before + REQUESTS);
}

/// Guards against an upstream that an entry offers to a leader which has just started, while the leader
/// replicates that the upstream, which it doesn't know, has left.
#[test]
fn an_upstream_that_leaves_as_a_leader_starts_is_not_brought_back_by_an_offer() {
    let mut region = Region::new(3);
    let links = region.route_control_links();
    start_with_document(&mut region, 3);
    for round in 0..OFFER_ROUNDS {
        let leaving = Upstream::start("leaving");
        let id = format!("u{round}");
        add_upstream(&region, 0, &id, &leaving);
        (0..3).for_each(|i| region.kill(i));
        (0..3).for_each(|i| region.start(i, false));
        // The entry may offer the upstream while this is being replicated.
        links.iter().for_each(|link| link.set_delay(REPLICATION_DELAY));
        region.control_request_until_ok(0, "DELETE", &upstream_path(&id), "");
        links.iter().for_each(|link| link.set_delay(Duration::ZERO));
        thread::sleep(FOLLOW_TIME);
        assert_gets_no_requests(&region, &leaving);
    }
}
