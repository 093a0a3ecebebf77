//! Calls to a plain service: one that is not idempotent is sent at most once, and each
//! verdict is correct.

mod common;

use common::{DEADLINE, client, short_timeout_client};
use fake::{Behaviour, PlainService, PlainServiceConfig};
use std::time::Instant;
use upstream::{Client, Error, ErrorReason, ServiceRequest, Target};
use wire::Verdict;

fn plain() -> PlainService {
    PlainService::start(PlainServiceConfig::default()).expect("a free port")
}

fn target(plain: &PlainService) -> Target {
    Target::new("plain-1", plain.address().to_string())
}

fn booking(key: &str) -> ServiceRequest {
    ServiceRequest {
        id: format!("r-{key}"),
        method: "POST".to_string(),
        path: "/callouts".to_string(),
        headers: vec![("Idempotency-Key".to_string(), key.to_string())],
        body: b"{}".to_vec(),
        is_idempotent: false,
        deadline: Instant::now() + DEADLINE,
    }
}

/// The error of a call that must fail.
fn call_error(client: &Client, plain: &PlainService, req: &ServiceRequest) -> Error {
    client.call(&target(plain), req).expect_err("the call must fail")
}

#[test]
fn a_response_is_forwarded_with_its_status() {
    let (plain, client) = (plain(), client());
    plain.behave(Behaviour::FailAfterExecuting);
    let response = client.call(&target(&plain), &booking("k")).expect("a response");
    assert_eq!(response.status, 500);
    assert!(String::from_utf8_lossy(&response.body).contains("\"executions\":1"));
}

#[test]
fn a_call_on_a_refused_connection_has_not_run() {
    let (plain, client) = (plain(), client());
    plain.fault_proxy().close();
    let e = call_error(&client, &plain, &booking("k"));
    assert_eq!((e.reason(), e.verdict()), (ErrorReason::Unreachable, Verdict::NotRun));
    assert_eq!(plain.received(), 0);
}

#[test]
fn a_call_refused_with_a_verdict_has_not_run() {
    let (plain, client) = (plain(), client());
    plain.behave(Behaviour::Refuse);
    let e = call_error(&client, &plain, &booking("k"));
    assert_eq!((e.reason(), e.verdict()), (ErrorReason::ErrorStatus(503), Verdict::NotRun));
    assert_eq!(plain.executions("k"), 0);
}

#[test]
fn a_call_whose_response_is_lost_may_have_run_and_is_sent_once() {
    let (plain, client) = (plain(), client());
    // The HTTP library itself would resend PUT and DELETE without a body on a reused
    // connection.
    let cases = [("POST", "{}"), ("POST", ""), ("PUT", ""), ("DELETE", ""), ("GET", "")];
    for (method, body) in cases {
        plain.behave(Behaviour::Respond);
        let warm_up = ServiceRequest { is_idempotent: true, ..booking("warm") };
        client.call(&target(&plain), &warm_up).expect("a response, and an idle connection");
        plain.behave(Behaviour::LoseResponse);
        let (method, body) = (method.to_string(), body.as_bytes().to_vec());
        let req = ServiceRequest { method, body, ..booking("k") };
        let before = plain.received();
        let e = call_error(&client, &plain, &req);
        assert_eq!((e.reason(), e.verdict()), (ErrorReason::Incomplete, Verdict::MayHaveRun));
        assert_eq!(plain.received(), before + 1, "{} was sent again", req.method);
    }
}

#[test]
fn a_response_to_another_request_is_dropped_and_counted() {
    let (plain, client) = (plain(), client());
    plain.behave(Behaviour::RespondWithWrongId);
    let e = call_error(&client, &plain, &booking("k"));
    assert_eq!((e.reason(), e.verdict()), (ErrorReason::MismatchedResponse, Verdict::MayHaveRun));
    assert_eq!(client.counters().mismatched_responses(), 1);
}

#[test]
fn a_call_past_its_deadline_is_not_sent() {
    let (plain, client) = (plain(), client());
    let req = ServiceRequest { deadline: Instant::now(), ..booking("k") };
    let e = call_error(&client, &plain, &req);
    assert_eq!((e.reason(), e.verdict()), (ErrorReason::Deadline, Verdict::NotRun));
    assert_eq!(plain.received(), 0);
}

#[test]
fn an_idempotent_call_is_sent_again_when_the_pooled_connection_is_dead() {
    let (plain, client) = (plain(), short_timeout_client());
    let lookup = |key: &str| ServiceRequest { is_idempotent: true, ..booking(key) };
    client.call(&target(&plain), &lookup("warm")).expect("a response, and a pooled connection");
    plain.fault_proxy().silence();
    let response = client.call(&target(&plain), &lookup("k")).expect("a response");
    assert_eq!(response.status, 200);
    assert!(client.counters().timed_out_connections() >= 1);
    assert_eq!(plain.executions("k"), 1);
}

#[test]
fn a_call_that_is_not_idempotent_avoids_the_dead_pooled_connection() {
    let (plain, client) = (plain(), short_timeout_client());
    let lookup = ServiceRequest { is_idempotent: true, ..booking("warm") };
    client.call(&target(&plain), &lookup).expect("a response, and a pooled connection");
    plain.fault_proxy().silence();
    assert_eq!(client.call(&target(&plain), &booking("k")).expect("a response").status, 200);
    assert_eq!(client.counters().timed_out_connections(), 0);
    assert_eq!(plain.executions("k"), 1);
}
