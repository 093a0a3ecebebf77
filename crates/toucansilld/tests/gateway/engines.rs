//! Streams that break off, and prompts beyond one engine's memory.

use crate::region::{Region, Upstream, eventually};
use platform::stand_in::{
    DOCUMENT_PATH, ENGINE_MEMORY_TOKENS, ReceivedOrder, engine_document, parse_attempt_id,
    parse_order, response_headers, upstream_path,
};

const EVENTS: u64 = 5;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A stream whose length is told, so that an early end shows.
fn stream(head: &str, events: impl Iterator<Item = u64>, cut: usize) -> String {
    let attempt = head.lines().find_map(parse_attempt_id).unwrap_or_default();
    let body: String = events.map(event).collect();
    let sent = &body[..body.len() - cut];
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{sent}",
        response_headers(attempt),
        body.len()
    )
}

/// Event after which a request wants to go on.
fn last_event(head: &str) -> Option<u64> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("last-event-id").then(|| value.trim().parse().ok())?
    })
}

/// Breaks off within the third event; goes on to the end when it is asked to.
fn break_off_once(head: &str, _: &str) -> String {
    match last_event(head) {
        Some(last) => stream(head, last + 1..=EVENTS, 0),
        None => {
            let rest: usize = (4..=EVENTS).map(|id| event(id).len()).sum();
            stream(head, 1..=EVENTS, rest + event(3).len() / 2)
        }
    }
}

fn answer_orders(head: &str, body: &str) -> String {
    match parse_order(head, body) {
        Some(_) => String::from("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        None => stream(head, 1..=EVENTS, 0),
    }
}

/// A region whose entry knows two engines that follow a script.
fn with_engines(script: fn(&str, &str) -> String) -> (Region, Vec<Upstream>) {
    let mut region = Region::new(1);
    region.start_all(true);
    region.call_until_done(0, "PUT", DOCUMENT_PATH, &engine_document(1, "/x/"));
    let engines: Vec<Upstream> = (0..2).map(|_| Upstream::scripted(script)).collect();
    for (i, engine) in engines.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.call_until_done(0, "PUT", &path, &engine.statement("s1", 1, "ready"));
    }
    eventually("the entry follows", || {
        region.request("/none/").filter(|(status, _)| *status == 404)
    });
    (region, engines)
}

fn ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn a_stream_that_breaks_off_goes_on_elsewhere_without_a_gap() {
    let (region, engines) = with_engines(break_off_once);
    let (status, body) = region.request("/x/1").expect("a whole answer");
    assert_eq!(status, 200);
    assert_eq!(ids(&body), (1..=EVENTS).collect::<Vec<_>>(), "{body}");
    let runs: Vec<usize> = engines.iter().map(|engine| engine.runs().len()).collect();
    assert_eq!(runs, [1, 1], "the rest came from the other engine");
}

#[test]
fn memory_that_is_set_aside_for_a_prompt_is_freed_after_it() {
    let (region, engines) = with_engines(answer_orders);
    let prompt = ENGINE_MEMORY_TOKENS + ENGINE_MEMORY_TOKENS / 2;
    let (status, body) = region.request_of("/x/1", prompt).expect("an answer");
    assert_eq!((status, ids(&body).len()), (200, EVENTS as usize), "{body}");
    let orders = |engine: &Upstream| -> Vec<ReceivedOrder> {
        let order = |run: String| {
            let (head, body) = run.split_once("\r\n\r\n")?;
            parse_order(head, body)
        };
        engine.runs().into_iter().filter_map(order).collect()
    };
    eventually("memory is freed", || {
        let all: Vec<_> = engines.iter().map(orders).collect();
        let held = all.iter().find(|orders| !orders.is_empty())?;
        let [ReceivedOrder::Reserve(name, tokens), .., ReceivedOrder::Release(freed)] = &held[..]
        else {
            return None;
        };
        assert!(name == freed && *tokens >= prompt - ENGINE_MEMORY_TOKENS, "{held:?}");
        Some(())
    });
}

#[test]
fn a_prompt_beyond_all_engines_is_refused_at_once() {
    let (region, engines) = with_engines(answer_orders);
    let (status, _) = region.request_of("/x/1", ENGINE_MEMORY_TOKENS * 20).expect("an answer");
    assert_eq!(status, 503, "not run");
    assert!(engines.iter().all(|engine| engine.runs().is_empty()));
}
