//! Tests of streams that break off and of prompts that exceed the memory of one engine.

use crate::{
    region::{Region, eventually},
    stand_ins::{Reaction, Upstream},
};
use platform::stand_in::{
    DOCUMENT_PATH, ENGINE_MEMORY_TOKENS, ReceivedOrder, engine_document,
    engine_document_with_pause_target, parse_order, parse_request_id, response_header_lines,
    upstream_path,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Number of bytes without an event that an engine may get rid of, with those in buffers on the way.
const MAX_FLOOD_BYTES: usize = 16 << 20;
/// Time after the end of a request within which the memory reserved for it must be free.
const MEMORY_FREE_TIME: Duration = Duration::from_secs(4);

/// Events of a complete stream, with ids from 1.
const EVENTS: u64 = 5;

/// A server-sent event.
fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Response with these events, whose last `cut` bytes are missing. It states the full length, so
/// that the missing bytes are noticed.
fn sse_response(head: &str, events: impl Iterator<Item = u64>, cut: usize) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    let body: String = events.map(event).collect();
    let sent = &body[..body.len() - cut];
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{sent}",
        response_header_lines(attempt),
        body.len()
    )
}

/// Id of the last event that the sender of a request has, if the request is to resume a stream.
fn last_event(head: &str) -> Option<u64> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("last-event-id").then(|| value.trim().parse().ok())?
    })
}

/// Script of an engine that breaks a new stream off in the middle of the third event, and sends a
/// resumed stream completely.
fn break_off_new_streams(head: &str, _: &str) -> String {
    match last_event(head) {
        Some(last) => sse_response(head, last + 1..=EVENTS, 0),
        None => {
            let rest: usize = (4..=EVENTS).map(|id| event(id).len()).sum();
            sse_response(head, 1..=EVENTS, rest + event(3).len() / 2)
        }
    }
}

/// Script of an engine that accepts all orders and sends all streams completely.
fn accept_orders(head: &str, body: &str) -> String {
    match parse_order(head, body) {
        Some(_) => String::from("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        None => sse_response(head, 1..=EVENTS, 0),
    }
}

/// Reaction of an engine that accepts all orders and falls silent at any other request.
fn accept_orders_and_fall_silent(head: &str, body: &str) -> Reaction {
    match parse_order(head, body) {
        Some(_) => Reaction::Respond(accept_orders(head, body)),
        None => Reaction::FallSilent,
    }
}

/// Order in a recorded request to an engine.
fn order(run: &str) -> Option<ReceivedOrder> {
    let (head, body) = run.split_once("\r\n\r\n")?;
    parse_order(head, body)
}

/// Head of a response with neither a length nor chunks, which ends with its connection.
fn unframed_head(head: &str) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\r\n",
        response_header_lines(attempt)
    )
}

/// Script of an engine whose streams end with their connections: a new one within the third event, a
/// resumed one after its last event.
fn end_with_connection(head: &str, _: &str) -> String {
    let start = unframed_head(head);
    match last_event(head) {
        Some(last) => start + &(last + 1..=EVENTS).map(event).collect::<String>(),
        None => start + &event(1) + &event(2) + &event(3)[..10],
    }
}

/// Reaction of an engine that sends one event of a new stream and then bytes without end as fast as it
/// can; a resumed stream it sends completely.
fn flood_new_streams(head: &str, body: &str) -> Reaction {
    match last_event(head) {
        Some(_) => Reaction::Respond(end_with_connection(head, body)),
        None => Reaction::Flood(unframed_head(head) + &event(1), Duration::ZERO),
    }
}

/// Like [`flood_new_streams`], with a byte at a time.
fn trickle_into_new_streams(head: &str, body: &str) -> Reaction {
    match last_event(head) {
        Some(_) => Reaction::Respond(end_with_connection(head, body)),
        None => Reaction::Flood(unframed_head(head) + &event(1), Duration::from_millis(50)),
    }
}

/// Starts a region with two engines that respond by a script. Its entry has the routing document.
fn start_with_engines(script: fn(&str, &str) -> String) -> (Region, Vec<Upstream>) {
    start_with(&engine_document(1, "/x/"), || Upstream::scripted(script))
}

/// Starts a region with this routing document, which its entry has, and two engines.
fn start_with(document: &str, engine: impl Fn() -> Upstream) -> (Region, Vec<Upstream>) {
    let mut region = Region::new(1);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, document);
    let engines: Vec<Upstream> = (0..2).map(|_| engine()).collect();
    for (i, engine) in engines.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.control_request_until_ok(0, "PUT", &path, &engine.registration("s1", 1, "ready"));
    }
    eventually("the entry has the document", || {
        region.request("/none/").filter(|(status, _)| *status == 404)
    });
    (region, engines)
}

/// Ids of the events in a body.
fn ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// A stream that breaks off within an event must be resumed at the other engine after the last
/// whole event. The caller would get half an event, or miss one, if the cut event were passed on
/// or counted.
#[test]
fn a_broken_stream_resumes_at_another_engine_without_a_gap() {
    let (region, engines) = start_with_engines(break_off_new_streams);
    let (status, body) = region.request("/x/1").expect("a complete response");
    assert_eq!(status, 200);
    assert_eq!(ids(&body), (1..=EVENTS).collect::<Vec<_>>(), "{body}");
    let runs: Vec<usize> = engines.iter().map(|engine| engine.runs().len()).collect();
    assert_eq!(
        runs,
        [1, 1],
        "requests of each engine: the stream was not resumed at the other one"
    );
}

/// Guards against a stream that is taken for complete because its connection was closed, although
/// that cut it within an event; and against one that is not, although it is whole.
#[test]
fn a_stream_that_ends_with_its_connection_is_complete_only_after_a_whole_event() {
    let (region, engines) = start_with_engines(end_with_connection);
    let (status, body) = region.request("/x/1").expect("a complete response");
    assert_eq!((status, ids(&body)), (200, (1..=EVENTS).collect()), "{body}");
    assert_eq!(engines.iter().map(|engine| engine.runs().len()).collect::<Vec<_>>(), [1, 1]);
}

/// Guards against bytes without end in a stream, which fill the memory of the entry or keep the caller
/// waiting until its deadline.
#[test]
fn a_stream_with_an_event_without_end_is_resumed_at_another_engine() {
    for react in [flood_new_streams, trickle_into_new_streams] {
        let document = engine_document_with_pause_target(1, "/x/");
        let (region, engines) = start_with(&document, || Upstream::crashing(react));
        let (status, body) = region.request("/x/1").expect("a complete response");
        assert_eq!((status, ids(&body)), (200, (1..=EVENTS).collect()), "{body}");
        let sent: usize = eventually("the connection is closed", || {
            let mut runs = engines.iter().flat_map(Upstream::runs);
            runs.find_map(|run| run.strip_prefix("flooded ")?.parse().ok())
        });
        assert!(sent <= MAX_FLOOD_BYTES, "{sent} bytes were read");
    }
}

/// A prompt of 1.5 times an engine's memory needs a reservation on a second engine. The reservation
/// must be large enough and be released after the request, or the memory would stay unusable until
/// it expires.
#[test]
fn memory_reserved_on_a_helper_is_released_after_the_request() {
    let (region, engines) = start_with_engines(accept_orders);
    let prompt = ENGINE_MEMORY_TOKENS + ENGINE_MEMORY_TOKENS / 2;
    let (status, body) = region.request_with_prompt("/x/1", prompt).expect("a response");
    assert_eq!((status, ids(&body).len()), (200, EVENTS as usize), "{body}");
    let orders = |engine: &Upstream| -> Vec<ReceivedOrder> {
        engine.runs().iter().filter_map(|run| order(run)).collect()
    };
    eventually("the reservation is released", || {
        let all: Vec<_> = engines.iter().map(orders).collect();
        let held = all.iter().find(|orders| !orders.is_empty())?;
        let [ReceivedOrder::Reserve { name, tokens, .. }, .., ReceivedOrder::Release(released)] =
            &held[..]
        else {
            return None;
        };
        assert!(name == released && *tokens >= prompt - ENGINE_MEMORY_TOKENS, "{held:?}");
        Some(())
    });
}

/// Guards against memory that stays reserved on helpers for as long as the caller waits, although
/// the engine that used it is gone without having closed its connections.
#[test]
fn memory_reserved_on_a_helper_is_free_soon_after_its_engine_falls_silent() {
    let engine = || Upstream::crashing(accept_orders_and_fall_silent);
    let (region, engines) = start_with(&engine_document(1, "/x/"), engine);
    let prompt = ENGINE_MEMORY_TOKENS + ENGINE_MEMORY_TOKENS / 2;
    thread::scope(|scope| {
        // The engine that gets the request falls silent.
        scope.spawn(|| region.request_with_prompt("/x/1", prompt));
        let silent_since = eventually("the request has reached an engine", || {
            let mut runs = engines.iter().flat_map(Upstream::timed_runs);
            runs.find_map(|(at, run)| order(&run).is_none().then_some(at))
        });
        let due = silent_since + MEMORY_FREE_TIME;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut reserved_until = None;
        for (at, run) in engines.iter().flat_map(Upstream::timed_runs) {
            match order(&run) {
                Some(ReceivedOrder::Reserve { lifetime, .. }) => {
                    reserved_until = reserved_until.max(Some(at + lifetime));
                }
                Some(ReceivedOrder::Release(_)) => reserved_until = Some(at),
                None => {}
            }
        }
        let reserved_until = reserved_until.expect("memory was reserved on the helper");
        let late = reserved_until.saturating_duration_since(due);
        assert!(late.is_zero(), "reserved {late:?} longer than {MEMORY_FREE_TIME:?} after the end");
    });
}

/// A prompt that exceeds the memory of all engines together must be refused and reach no engine,
/// instead of waiting for memory that can never be free.
#[test]
fn a_prompt_too_long_for_all_engines_is_refused() {
    let (region, engines) = start_with_engines(accept_orders);
    let (status, _) =
        region.request_with_prompt("/x/1", ENGINE_MEMORY_TOKENS * 20).expect("a response");
    assert_eq!(status, 503, "refused as not run");
    assert!(engines.iter().all(|engine| engine.runs().is_empty()));
}
