//! Prefix cache, reports and management API of the simulated engine, and its announcements.

use fake::{Announcer, Engine, EngineConfig};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};

fn engine(cfg: EngineConfig) -> Engine {
    Engine::start(cfg).expect("a free port")
}

fn get(engine: &Engine, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.address());
    let reply = minreq::get(url).with_timeout(5).send().expect("a response");
    serde_json::from_slice(reply.as_bytes()).expect("JSON")
}

fn post(engine: &Engine, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{}{path}", engine.address());
    let result = minreq::post(url).with_body(body.to_string()).with_timeout(5).send();
    let reply = result.expect("a response");
    (reply.status_code, serde_json::from_slice(reply.as_bytes()).expect("JSON"))
}

fn complete(engine: &Engine, prompt: &str) -> Value {
    let req = json!({ "model": "small", "prompt": prompt, "max_tokens": 2 });
    let (status, answer) = post(engine, "/v1/completions", &req);
    assert_eq!(status, 200, "{answer}");
    answer
}

/// A prompt of this many complete blocks, which have 64 tokens of 4 bytes each.
fn prompt(start: &str, blocks: usize) -> String {
    format!("{start:x<256}").repeat(blocks)
}

#[test]
fn a_cached_prefix_is_not_prefilled_again() {
    let engine = engine(EngineConfig::default());
    let first = complete(&engine, &prompt("a", 3));
    assert_eq!(first["usage"]["cached_tokens"], 0);
    let prefilled_before = engine.stats().prefilled;
    let longer = prompt("a", 3) + &prompt("b", 1);
    let second = complete(&engine, &longer);
    assert_eq!(second["usage"]["cached_tokens"], 3 * 64);
    assert_eq!(engine.stats().prefilled - prefilled_before, 64);
}

#[test]
fn the_prefix_cache_uses_only_free_memory() {
    let engine = engine(EngineConfig { memory_tokens: 200, ..EngineConfig::default() });
    complete(&engine, &prompt("a", 2));
    complete(&engine, &prompt("b", 2));
    let events = get(&engine, "/cache-events?since=0");
    let evicted = |event: &&Value| event["event"] == "evicted";
    let all = events["events"].as_array().expect("events");
    assert!(all.iter().filter(evicted).count() > 0, "{events}");
}

#[test]
fn cache_events_lag_and_have_gaps() {
    let cfg = EngineConfig { cache_event_gap: 2, cache_event_lag: 1, ..EngineConfig::default() };
    let engine = engine(cfg);
    ["a", "b", "c", "d", "e"].iter().for_each(|start| drop(complete(&engine, &prompt(start, 1))));
    let sequences = |since: u64| -> Vec<u64> {
        let events = get(&engine, &format!("/cache-events?since={since}"));
        let events = events["events"].as_array().expect("events").clone();
        events.iter().filter_map(|event| event["sequence"].as_u64()).collect()
    };
    assert_eq!(sequences(0), [1, 3]);
    assert_eq!(sequences(1), [3]);
}

/// Daemons place requests by load reports, so tests need reports that are out of date.
#[test]
fn a_load_report_is_as_old_as_the_configured_lag() {
    let engine = engine(EngineConfig { load_lag_steps: 1_000_000, ..EngineConfig::default() });
    complete(&engine, &prompt("a", 1));
    let load = get(&engine, "/load");
    assert_eq!(load["sequence"], 1, "the report must be from before the request");
    assert_eq!(load["incarnation"], 1);
}

#[test]
fn an_urgent_prompt_is_prefilled_first() {
    let engine = engine(EngineConfig::default());
    engine.pause();
    let send = |id: &str, priority: &str| {
        let body = json!({
            "model": "small", "prompt": id, "max_tokens": 1, "stream": true, "request_id": id,
        });
        let url = format!("http://{}/v1/completions", engine.address());
        let result = minreq::post(url)
            .with_header("toucansill-priority", priority)
            .with_body(body.to_string())
            .send_lazy();
        result.expect("a response")
    };
    let _ordinary = send("ordinary", "ordinary");
    let _urgent = send("urgent", "urgent");
    assert_eq!(get(&engine, "/requests")["requests"].as_array().map(Vec::len), Some(2));
    engine.hold_at(0);
    engine.step();
    // The step has prefilled the urgent prompt only.
    assert_eq!(engine.waiting(), ["ordinary"]);
}

#[test]
fn an_exported_cache_holds_memory_until_it_is_released() {
    let engine = engine(EngineConfig::default());
    let body = json!({
        "model": "small", "prompt": "hello", "max_tokens": 0, "kv_retain": true,
        "request_id": "r-1",
    });
    assert_eq!(post(&engine, "/v1/completions", &body).0, 200);
    assert_eq!(get(&engine, "/requests")["kv"][0]["id"], "r-1");
    let handle = json!({ "handle": "r-1" });
    assert_eq!(post(&engine, "/kv/export", &handle).0, 200);
    assert!(engine.memory_used() > 0);
    assert_eq!(post(&engine, "/kv/release", &handle).0, 200);
    assert_eq!(engine.memory_used(), 0);
    assert_eq!(post(&engine, "/kv/export", &handle).0, 404);
}

#[test]
fn only_an_engine_that_checks_refuses_an_old_fencing_token() {
    let order = |epoch: u64| {
        json!({
            "action": "set-role", "target": "prefill", "fence_epoch": epoch, "fence_sequence": 1,
        })
    };
    for (checks_fences, status) in [(true, 409), (false, 200)] {
        let engine = engine(EngineConfig { checks_fences, ..EngineConfig::default() });
        assert_eq!(post(&engine, "/orders", &order(2)).0, 200);
        assert_eq!(post(&engine, "/orders", &order(1)).0, status);
    }
}

#[test]
fn a_configured_prompt_crashes_the_engine() {
    let cfg = EngineConfig { crash_on: Some("poison".to_string()), ..EngineConfig::default() };
    let engine = engine(cfg);
    let url = format!("http://{}/v1/completions", engine.address());
    let body = json!({ "model": "small", "prompt": "a poison prompt" });
    let reply = minreq::post(url).with_body(body.to_string()).send();
    assert!(!reply.is_ok_and(|reply| reply.status_code == 200));
    assert_eq!(engine.stats().crashes, 1);
    engine.restart().expect("the port is free again");
    assert_eq!(engine.incarnation(), 2);
    complete(&engine, "a good prompt");
}

#[test]
fn an_announcer_moves_on_to_a_daemon_that_answers() {
    let _watchdog = fake::Watchdog::start("an_announcer_moves_on_to_a_daemon_that_answers");
    let engine = engine(EngineConfig::default());
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed_address = closed.local_addr().expect("bound").to_string();
    drop(closed);
    let daemon = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let daemons = vec![closed_address, daemon.server_addr().to_string()];
    let announcement = engine.announcement();
    let _announcer = Announcer::start_with_failover(daemons, move || Some(announcement.clone()));
    let mut req = daemon.recv().expect("an announcement");
    assert_eq!(req.url(), "/upstreams");
    let mut body = String::new();
    req.as_reader().read_to_string(&mut body).expect("a body");
    let announced: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(announced["id"], "engine-1");
    assert_eq!(announced["address"], engine.address().to_string());
    req.respond(tiny_http::Response::empty(200)).expect("the announcer waits for the response");
}

/// The stream of a waiting request must carry comments: without them a client can't tell an engine
/// with a long queue from a dead one.
#[test]
fn a_waiting_request_shows_that_the_engine_is_alive() {
    let _watchdog = fake::Watchdog::start("a_waiting_request_shows_that_the_engine_is_alive");
    let engine = engine(EngineConfig::default());
    engine.pause();
    let body = json!({ "model": "small", "prompt": "hello", "stream": true });
    let url = format!("http://{}/v1/completions", engine.address());
    let reply = minreq::post(url).with_body(body.to_string()).send_lazy().expect("a response");
    let mut line = String::new();
    BufReader::new(reply).read_line(&mut line).expect("a line");
    assert!(line.starts_with(':'), "{line}");
}
