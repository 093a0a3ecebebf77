//! Completions of the simulated engine.

use fake::{Engine, EngineConfig, completion_text};
use std::io::Read;

fn post(engine: &Engine, body: &str) -> minreq::Response {
    let url = format!("http://{}/v1/completions", engine.address());
    minreq::post(url).with_body(body).with_timeout(5).send().expect("a response")
}

/// Tests of other crates compare streams with `completion_text`, so each token must have its text
/// and its offset.
#[test]
fn streams_each_token_with_its_offset() {
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    let body =
        r#"{"model":"small","prompt":"hello","max_tokens":4,"stream":true,"request_id":"r1"}"#;
    let reply = post(&engine, body);
    let events: Vec<&str> = reply
        .as_str()
        .expect("UTF-8")
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events.len(), 6, "{events:?}");
    for (offset, event) in events[..4].iter().enumerate() {
        let event: serde_json::Value = serde_json::from_str(event).expect("JSON");
        let offset = offset as u64;
        assert_eq!(event["id"], "r1");
        assert_eq!(event["offset"], offset);
        assert_eq!(event["choices"][0]["text"], completion_text("hello", offset, offset + 1));
    }
    assert_eq!(events[5], "[DONE]");
}

/// A refusal must say that the request has not run, so that it can be retried on
/// another engine.
#[test]
fn refuses_a_prompt_beyond_its_memory_without_running_it() {
    let cfg = EngineConfig { memory_tokens: 10, ..EngineConfig::default() };
    let engine = Engine::start(cfg).expect("a free port");
    let body = r#"{"model":"small","prompt":"hello","max_tokens":9,"request_id":"r1"}"#;
    let reply = post(&engine, body);
    assert_eq!(reply.status_code, 413);
    let verdict = reply.headers.iter().find(|(name, _)| name == "toucansill-verdict");
    assert_eq!(verdict.map(|(_, value)| value.as_str()), Some("not-run"));
    assert_eq!(engine.stats().prefilled, 0);
}

/// A crash must cut streams without a regular end and free all memory, and the restart must begin a
/// new incarnation.
#[test]
fn loses_its_requests_when_killed() {
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    engine.hold_at(1);
    let url = format!("http://{}/v1/completions", engine.address());
    let body = r#"{"model":"small","prompt":"hello","max_tokens":4,"stream":true}"#;
    let mut reply = minreq::post(url).with_body(body).send_lazy().expect("a response");
    engine.kill();
    let mut received = String::new();
    let _ = reply.read_to_string(&mut received);
    assert!(!received.contains("[DONE]"), "{received}");
    engine.restart().expect("the port is free again");
    engine.release();
    assert_eq!(engine.incarnation(), 2);
    assert_eq!(engine.memory_used(), 0);
    let body = r#"{"model":"small","prompt":"hello","max_tokens":4}"#;
    assert_eq!(post(&engine, body).status_code, 200);
}
