//! Tests of upstreams that say in their responses that they leave, or that they want no requests for a
//! time.

use crate::{
    region::{Region, eventually},
    stand_ins::{Reaction, Upstream, one_event},
};
use platform::stand_in::{
    DOCUMENT_PATH, LEAVING_HEADER_LINE, document, engine_document, parse_request_id,
    registration_body, response_header_lines, turned_away_response, upstream_path,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time after an entry has passed on a response by which it learns that an upstream leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time within which an upstream that has returned must get requests.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Time for which upstreams turn requests away, in seconds.
const TURNED_AWAY_SECONDS: f64 = 4.0;
/// Time after a request was turned away within which a daemon still may send others.
const TURN_AWAY_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may reach an upstream after that time from a daemon that it has turned away.
const LATE_REQUESTS_ALLOWED: usize = 2;
/// Number of requests that are sent then.
const REQUESTS: usize = 12;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time that an engine takes for the head of its response.
const HEAD_DELAY: Duration = Duration::from_millis(500);
/// Time for which a request keeps an engine busy.
const BUSY_TIME: Duration = Duration::from_secs(3);
/// Deadline of requests that wait for an engine.
const WAITING_DEADLINE: Duration = Duration::from_secs(8);
/// Delay of a link in one direction, so that the leader's news are late.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Number of requests that wait for an engine.
const WAITING_REQUESTS: usize = 12;

/// Script of an upstream that leaves and says so in its responses only.
fn leave(head: &str, body: &str) -> String {
    one_event(head, body).replacen("\r\n", &format!("\r\n{LEAVING_HEADER_LINE}"), 1)
}

/// Script of an upstream that turns each request away and wants no more for [`TURNED_AWAY_SECONDS`].
fn turn_away(head: &str, _: &str) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    turned_away_response(attempt, TURNED_AWAY_SECONDS)
}

/// Starts a region with two entries, and two upstreams with these scripts.
fn start(
    control_count: usize,
    document: &str,
    scripts: [fn(&str, &str) -> String; 2],
) -> (Region, [Upstream; 2]) {
    let mut region = Region::with_entries(control_count, 2);
    region.start_all(true);
    region.await_members(control_count);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, document);
    let upstreams = scripts.map(Upstream::scripted);
    for (id, upstream) in ["a", "b"].iter().zip(&upstreams) {
        let body = registration_body(upstream.address, "s1", 1, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(id), &body);
    }
    (region, upstreams)
}

/// Sends requests to entry `turn % 2` until this upstream has got one.
fn send_until_reached(region: &Region, turn: usize, upstream: &Upstream) {
    let before = upstream.runs().len();
    eventually("the upstream gets a request", || {
        region.request_at(region.entry() + turn % 2, "/x/", "hi", DEADLINE);
        (upstream.runs().len() > before).then_some(())
    });
}

/// Sends [`REQUESTS`] to both entries in turn. Returns their statuses.
fn send_requests(region: &Region) -> Vec<Option<u16>> {
    let send = |turn: usize| {
        let entry = region.entry() + turn % 2;
        region.request_at(entry, "/x/", "hi", DEADLINE).map(|(status, _)| status)
    };
    (0..REQUESTS).map(send).collect()
}

/// Guards against requests to an upstream that has said in a response that it leaves, from the entry
/// that got the response and from others, although it goes on to register as ready.
#[test]
fn an_upstream_that_leaves_by_its_responses_gets_no_requests() {
    for document in [document(1, "/x/", "s1"), engine_document(1, "/x/")] {
        let (region, [leaving, staying]) = start(1, &document, [leave, one_event]);
        send_until_reached(&region, 0, &leaving);
        let body = registration_body(leaving.address, "s1", 1, 2, "ready");
        region.control_request(0, "PUT", &upstream_path("a"), &body);
        thread::sleep(DRAIN_TIME);
        let before = (leaving.runs().len(), staying.runs().len());
        assert_eq!(send_requests(&region), [Some(200); REQUESTS]);
        assert_eq!(leaving.runs().len(), before.0, "requests to the upstream that leaves");
        assert_eq!(staying.runs().len(), before.1 + REQUESTS);

        // A new run under the same name is not the one that left, and is used soon.
        region.control_request_until_ok(0, "DELETE", &upstream_path("a"), "");
        let body = registration_body(leaving.address, "s1", 2, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path("a"), &body);
        let registered = Instant::now();
        send_until_reached(&region, 1, &leaving);
        assert!(registered.elapsed() < RETURN_TIME, "the new run gets requests too late");
    }
}

/// Guards against a departure that only the leader's memory, or that of one entry, has.
#[test]
fn an_upstream_that_leaves_by_its_responses_gets_no_requests_under_the_next_leader() {
    let (mut region, [leaving, _]) = start(3, &engine_document(1, "/x/"), [leave, one_event]);
    send_until_reached(&region, 0, &leaving);
    thread::sleep(DRAIN_TIME);
    let leader = region.await_leader(3);
    region.kill(leader);
    region.kill(region.entry());
    region.await_group(3, 2);
    region.start(region.entry(), false);
    let other = (0..3).find(|i| *i != leader).expect("another member");
    let before = leaving.runs().len();
    let body = registration_body(leaving.address, "s1", 1, 3, "ready");
    region.control_request_until_ok(other, "PUT", &upstream_path("a"), &body);
    // The request would reach the upstream if the group took it for ready again.
    eventually("the restarted entry places requests", || {
        let response = region.request_at(region.entry(), "/x/", "hi", DEADLINE);
        let is_refused = response.is_some_and(|(status, _)| matches!(status, 200 | 503));
        is_refused.then_some(())
    });
    send_requests(&region);
    assert_eq!(leaving.runs().len(), before, "requests to the upstream that has left");
}

/// Guards against requests to an upstream that has turned this daemon away for a time, and against a
/// daemon that gives up on it for good or for the requests of other daemons.
#[test]
fn an_upstream_that_turns_a_daemon_away_gets_no_requests_of_it_for_a_time() {
    for document in [document(1, "/x/", "s1"), engine_document(1, "/x/")] {
        let (region, [full, other]) = start(1, &document, [turn_away, one_event]);
        send_until_reached(&region, 0, &full);
        let since = Instant::now();
        thread::sleep(TURN_AWAY_GRACE);
        let before = full.runs().len();
        while since.elapsed().as_secs_f64() < TURNED_AWAY_SECONDS - 1.0 {
            let response = region.request_at(region.entry(), "/x/", "hi", DEADLINE);
            assert_eq!(response.map(|(status, _)| status), Some(200));
        }
        let late = full.runs().len() - before;
        assert!(late <= LATE_REQUESTS_ALLOWED, "{late} requests of the daemon");
        assert!(other.runs().len() >= REQUESTS, "the other upstream serves them");
        // Without the other one, the requests of the other entry go there at once.
        let body = registration_body(other.address, "s1", 1, 2, "draining");
        region.control_request_until_ok(0, "PUT", &upstream_path("b"), &body);
        send_until_reached(&region, 1, &full);
        send_until_reached(&region, 0, &full);
    }
}

/// Guards against requests that wait, or are sent on, while all upstreams have turned the daemon away.
#[test]
fn a_request_is_refused_at_once_if_all_upstreams_turn_the_daemon_away() {
    for document in [document(1, "/x/", "s1"), engine_document(1, "/x/")] {
        let (region, upstreams) = start(1, &document, [turn_away, turn_away]);
        // Each is reached once, in either order: a second time only after it has been turned away.
        eventually("both upstreams get a request", || {
            region.request_at(region.entry(), "/x/", "hi", DEADLINE);
            upstreams.iter().all(|upstream| !upstream.runs().is_empty()).then_some(())
        });
        let before: Vec<usize> = upstreams.iter().map(|upstream| upstream.runs().len()).collect();
        let sent = Instant::now();
        let (status, retry_after) = region.refusal_at(region.entry(), "/x/", DEADLINE);
        assert!(sent.elapsed() < DEADLINE / 2, "refused at once");
        assert_eq!(status, 503);
        let is_remaining = |seconds: &f64| *seconds > 1.0 && *seconds <= TURNED_AWAY_SECONDS;
        assert!(retry_after.is_some_and(|s| is_remaining(&s)), "{retry_after:?}");
        let after: Vec<usize> = upstreams.iter().map(|upstream| upstream.runs().len()).collect();
        assert_eq!(after, before, "no upstream gets it");
    }
}

/// Start of a stream whose end is missing. `header_line` is one more header line.
fn stream_start(head: &str, header_line: &str) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\n{header_line}{}Content-Length: 1000000\r\n\r\nid: 1\ndata: x\n\n",
        response_header_lines(attempt)
    )
}

/// Starts a region with two entries that have the document, and these engines.
fn start_with_engines(engines: &[&Upstream]) -> Region {
    let mut region = Region::with_entries(1, 2);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &engine_document(1, "/x/"));
    for (i, engine) in engines.iter().enumerate() {
        register(&region, &format!("engine-{i}"), engine);
    }
    for entry in [region.entry(), region.entry() + 1] {
        eventually("the document", || {
            let response = region.request_at(entry, "/none/", "", DEADLINE);
            response.filter(|(status, _)| *status == 404)
        });
    }
    region
}

fn register(region: &Region, id: &str, upstream: &Upstream) {
    let body = registration_body(upstream.address, "s1", 1, 1, "ready");
    region.control_request_until_ok(0, "PUT", &upstream_path(id), &body);
}

/// Number of requests that have reached an engine.
fn requests_at(engine: &Upstream) -> usize {
    engine.runs().iter().filter(|run| !run.starts_with("flooded")).count()
}

/// Guards against requests that wait for an engine, at the entry that learns that it leaves and at
/// another one, and are sent there once it has a free slot.
#[test]
fn requests_that_wait_are_not_sent_to_an_engine_that_leaves() {
    let leaving = Upstream::crashing(|head, _| {
        // The other requests wait by the time of the response.
        thread::sleep(HEAD_DELAY);
        Reaction::Flood(stream_start(head, LEAVING_HEADER_LINE), Duration::from_millis(10))
    });
    let region = &start_with_engines(&[&leaving]);
    let entries = [region.entry(), region.entry() + 1];
    thread::scope(|scope| {
        let send = |entry, body, deadline| region.request_at(entry, "/x/", body, deadline);
        let first = scope.spawn(move || send(entries[0], "first", DEADLINE));
        eventually("the engine is busy", || (requests_at(&leaving) == 1).then_some(()));
        let waiting =
            entries.map(|entry| scope.spawn(move || send(entry, "waiting", WAITING_DEADLINE)));
        first.join().expect("joined");
        thread::sleep(DRAIN_TIME);
        assert_eq!(requests_at(&leaving), 1, "requests to the engine that leaves");
        let other = Upstream::scripted(one_event);
        register(region, "other", &other);
        let statuses = waiting.map(|waiting| waiting.join().expect("joined").map(|(s, _)| s));
        assert_eq!(statuses, [Some(200); 2], "served by the other engine");
        assert_eq!(requests_at(&leaving), 1, "requests to the engine that leaves");
    });
}

/// Guards against requests that are refused in the time between the response which says that the only
/// engine leaves and the news of it from the leader, although requests wait before and after it.
#[test]
fn requests_that_wait_are_not_refused_while_the_leader_learns_that_an_engine_leaves() {
    let leaving = Upstream::crashing(|head, _| {
        thread::sleep(HEAD_DELAY);
        Reaction::Flood(stream_start(head, LEAVING_HEADER_LINE), Duration::from_millis(10))
    });
    let mut region = Region::new(1);
    let link = region.route_link_to_control(region.entry());
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &engine_document(1, "/x/"));
    register(&region, "leaving", &leaving);
    let entry = region.entry();
    let send = |body: &str, deadline| region.request_at(entry, "/x/", body, deadline);
    eventually("the document", || {
        region.request_at(entry, "/none/", "", DEADLINE).filter(|(status, _)| *status == 404)
    });
    link.set_delay(LINK_DELAY);
    thread::scope(|scope| {
        scope.spawn(|| send("first", DEADLINE));
        eventually("the engine is busy", || (requests_at(&leaving) == 1).then_some(()));
        let waiting: Vec<_> = (0..WAITING_REQUESTS)
            .map(|i| {
                thread::sleep(LINK_DELAY / 2);
                scope.spawn(move || send(&format!("waiting {i}"), WAITING_DEADLINE))
            })
            .collect();
        thread::sleep(DRAIN_TIME);
        let other = Upstream::scripted(one_event);
        register(&region, "other", &other);
        for waiting in waiting {
            let (status, text) = waiting.join().expect("joined").expect("a response");
            assert_eq!(status, 200, "{text}");
        }
    });
}

/// Guards against a stream that is resumed at the engine that has just said that it leaves.
#[test]
fn a_stream_is_not_resumed_at_an_engine_that_leaves() {
    let leaving = Upstream::scripted(|head, _| stream_start(head, LEAVING_HEADER_LINE));
    let region = start_with_engines(&[&leaving]);
    let response = region.request_at(region.entry(), "/x/", "hi", DEADLINE);
    assert!(response.is_some_and(|(status, body)| status == 200 && body.contains("data: x")));
    assert_eq!(requests_at(&leaving), 1);
}

/// Guards against a request that waits for an engine and is sent to one that has turned its entry away,
/// once that one has served a request of another entry and has a free slot.
#[test]
fn a_request_that_waits_is_not_sent_to_an_engine_that_turns_its_entry_away() {
    let full = Upstream::crashing(|head, body| match body {
        "slow" => {
            thread::sleep(HEAD_DELAY + TURN_AWAY_GRACE);
            Reaction::Respond(one_event(head, body))
        }
        _ => Reaction::Respond(turn_away(head, body)),
    });
    let busy = Upstream::crashing(|head, body| match body {
        "first" => Reaction::Flood(stream_start(head, ""), Duration::from_millis(10)),
        _ => Reaction::Respond(one_event(head, body)),
    });
    let has_run = |upstream: &Upstream, body: &str| {
        upstream.runs().iter().any(|run| run.ends_with(&format!("\r\n{body}")))
    };
    let region = &start_with_engines(&[&busy]);
    let entries = [region.entry(), region.entry() + 1];
    thread::scope(|scope| {
        let send = |entry, body, deadline| {
            scope.spawn(move || region.request_at(entry, "/x/", body, deadline))
        };
        send(entries[1], "first", BUSY_TIME);
        eventually("the other engine is busy", || has_run(&busy, "first").then_some(()));
        register(region, "full", &full);
        let turned_away = send(entries[0], "turned away", WAITING_DEADLINE);
        eventually("a request is turned away", || has_run(&full, "turned away").then_some(()));
        send(entries[1], "slow", DEADLINE);
        eventually("the engine serves the other entry", || has_run(&full, "slow").then_some(()));
        let waiting = send(entries[0], "waiting", WAITING_DEADLINE);
        for sent in [turned_away, waiting] {
            let response = sent.join().expect("joined");
            assert_eq!(response.map(|(status, _)| status), Some(200), "served by the other engine");
        }
        assert!(!has_run(&full, "waiting"), "sent to the engine that turns its entry away");
    });
}
