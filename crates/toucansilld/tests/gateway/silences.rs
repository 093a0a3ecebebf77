//! Tests of upstreams that fall silent while they run a request, and of requests that no other one
//! may take over.

use crate::{
    region::{Region, eventually},
    stand_ins::{Reaction, Upstream},
};
use platform::stand_in::{
    DOCUMENT_PATH, engine_document_with_targets, parse_request_id, response_header_lines,
    upstream_path,
};
use std::time::{Duration, Instant};

/// Pause of a busy engine: longer than an event, or the head of a response, may take before another
/// engine is asked for.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Timeout of the route in the tests of engines that never go on.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a caller may have to wait beyond a deadline.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);

/// Two events of a stream, and the rest of it.
const START: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const REST: &str = "id: 3\ndata: piece 3\n\n";

/// Head of the response with the whole stream.
fn response_head(request: &str) -> String {
    let attempt = request.lines().find_map(parse_request_id).unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n",
        response_header_lines(attempt),
        START.len() + REST.len()
    )
}

/// Reaction of an engine that pauses within a stream.
fn pause_within(head: &str, _: &str) -> Reaction {
    Reaction::Pause(response_head(head) + START, PAUSE, String::from(REST))
}

/// Reaction of an engine that pauses before it responds.
fn pause_before(head: &str, _: &str) -> Reaction {
    Reaction::Pause(String::new(), PAUSE, response_head(head) + START + REST)
}

/// Reaction of an engine that sends a part of a stream and then single bytes that end no event.
fn trickle(head: &str, _: &str) -> Reaction {
    Reaction::Flood(response_head(head) + START, Duration::from_millis(50))
}

/// Starts a region without retries, with a route to these engines.
fn start(engines: &[Upstream]) -> Region {
    let mut region = Region::new(1);
    region.disallow_retries();
    region.start_all(true);
    let document = engine_document_with_targets(1, "/x/", ROUTE_TIMEOUT);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document);
    for (i, engine) in engines.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.control_request_until_ok(0, "PUT", &path, &engine.registration("s1", 1, "ready"));
    }
    eventually("the entry has the document", || {
        region.request("/none/").filter(|(status, _)| *status == 404)
    });
    region
}

/// Whether a chunked body ends regularly.
fn is_complete(body: &str) -> bool {
    body.ends_with("\r\n0\r\n\r\n")
}

/// Checks that a request to engines which pause gets its whole response from the first of them.
fn check_served_after_pause(react: fn(&str, &str) -> Reaction) {
    let engines = [Upstream::crashing(react), Upstream::crashing(react)];
    let region = start(&engines);
    let (status, body) = region.request("/x/1").expect("a response");
    assert_eq!(status, 200, "{body}");
    assert!(is_complete(&body) && body.contains(REST), "{body}");
    assert_eq!(engines.iter().map(|engine| engine.runs().len()).sum::<usize>(), 1, "runs");
}

/// Guards against a stream that is cut although its engine runs it, because the entry has given the
/// engine up before another one has the request.
#[test]
fn a_stream_that_no_other_engine_may_take_over_goes_on_after_a_pause() {
    check_served_after_pause(pause_within);
}

/// Guards against the same before the response begins: the caller would get an error while the engine
/// runs the request.
#[test]
fn a_request_that_no_other_engine_may_take_over_gets_its_late_response() {
    check_served_after_pause(pause_before);
}

/// A stream that never goes on ends at the timeout of its route, and never looks complete, also while
/// single bytes arrive.
#[test]
fn a_stream_that_never_goes_on_ends_with_the_time_of_its_route() {
    let engines = [Upstream::crashing(trickle)];
    let region = start(&engines);
    let started = Instant::now();
    let (_, body) = region.request("/x/1").expect("a response");
    let took = started.elapsed();
    assert!(!is_complete(&body), "{body}");
    assert!(took <= ROUTE_TIMEOUT + DEADLINE_MARGIN, "{took:?}");
    let flooded = || engines[0].runs().iter().any(|run| run.starts_with("flooded "));
    eventually("the connection to the engine is closed", || flooded().then_some(()));
}
