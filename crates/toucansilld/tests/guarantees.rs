//! Guarantees to callers and upstreams that hold in every case, with daemon processes.

mod common;

use common::{Caller, Fleet, wait_until};
use fake::{Behaviour, EngineConfig, PlainServiceConfig, Ramp, completion_text};
use std::time::Duration;
use toucansilld::local::{data_centre, sheet};

fn engine(fleet: &Fleet, i: usize) -> EngineConfig {
    EngineConfig {
        id: format!("engine-{}", i + 1),
        data_centre: data_centre(&fleet.cfg, i),
        models: vec![String::from("small")],
        ..EngineConfig::default()
    }
}

fn plain_service(fleet: &Fleet) -> PlainServiceConfig {
    PlainServiceConfig {
        id: String::from("yard-1"),
        data_centre: data_centre(&fleet.cfg, 0),
        service: String::from("yard"),
        ..PlainServiceConfig::default()
    }
}

fn apply(fleet: &Fleet, number: u64, out: &[&str]) -> u64 {
    fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], out))
}

fn await_in_force(fleet: &Fleet, index: u64) {
    wait_until("the change is in force", || {
        let (_, force) = fleet.operator_request(0, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
}

// An engine stops producing tokens. At its deadline the request must fail and its memory on the
// engine be released.
#[test]
fn an_admitted_request_finishes_or_fails_by_its_deadline() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    engine.hold_at(3);
    let caller = Caller::start_with(&fleet, 0, "a question", 50, "1500");
    let end = caller.finish();
    assert_eq!(end.error, "deadline");
    assert_eq!(end.text, completion_text("a question", 0, 3));
    wait_until("the engine's memory is free", || engine.memory_used() == 0);
}

// The owner of an engine is killed with requests in flight. After its restart it must cancel those
// that no daemon waits for, or their memory stays in use.
#[test]
fn an_engines_memory_is_released_after_its_owner_is_killed() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 1), 0);
    fleet.await_model(0, "small");
    engine.hold_at(5);
    let callers: Vec<Caller> =
        (0..4).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 50)).collect();
    wait_until("the requests run", || engine.stats().admitted >= 4);
    // The owner of an upstream in the second data centre is the daemon there.
    fleet.kill(1);
    engine.release();
    for (n, caller) in callers.into_iter().enumerate() {
        let end = caller.finish();
        assert!(!end.is_complete || end.text == completion_text(&format!("prompt {n}"), 0, 50));
    }
    fleet.spawn(1);
    fleet.await_ready(1);
    wait_until("the engine's memory is free", || engine.memory_used() == 0);
}

// More requests arrive than an engine can serve at the start of its ramp. They must wait, and all
// be served without overloading it.
#[test]
fn an_engine_in_cold_start_is_not_overloaded() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let ramp = Ramp { initial_share: 0.05, duration: Duration::from_secs(3600) };
    let cfg = EngineConfig { ramp: Some(ramp), memory_tokens: 20_000, ..engine(&fleet, 0) };
    let engine = fleet.add_engine(cfg, 0);
    fleet.await_model(0, "small");
    let callers: Vec<Caller> =
        (0..40).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 100)).collect();
    let complete = callers.into_iter().map(Caller::finish).filter(|end| end.is_complete).count();
    assert_eq!(complete, 40);
    assert_eq!(engine.stats().overloads, 0);
}

// Once a sheet that takes a data centre out of service is in force, no daemon may send requests
// there. Requests in flight there finish, and requests return when it is in service again.
#[test]
fn a_data_centre_out_of_service_gets_no_new_requests() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let engine_out = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    engine_out.hold_at(5);
    let running = Caller::start(&fleet, 0, "long", 20);
    wait_until("the request runs", || engine_out.stats().admitted >= 1);
    let remaining = fleet.add_engine(engine(&fleet, 1), 1);
    await_in_force(&fleet, apply(&fleet, 2, &["dc-1"]));
    (0..3).for_each(|i| fleet.await_model(i, "small"));
    let admitted = engine_out.stats().admitted;
    for i in 0..3 {
        for n in 0..5 {
            let prompt = format!("prompt {n}");
            assert_eq!(fleet.complete(i, "small", &prompt, 4).0, 200);
        }
    }
    assert_eq!(engine_out.stats().admitted, admitted);
    assert!(remaining.stats().finished >= 15);
    engine_out.release();
    // The request in flight there finishes.
    assert_eq!(running.finish().text, completion_text("long", 0, 20));
    await_in_force(&fleet, apply(&fleet, 3, &[]));
    wait_until("it gets requests again", || {
        fleet.complete(0, "small", "hello", 2);
        engine_out.stats().admitted > admitted
    });
}

// An engine responds to one request with the answer to another. No caller may receive an answer
// that is not its own.
#[test]
fn a_caller_never_receives_the_answer_to_another_request() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    engine.respond_with_wrong_id(1);
    let end = Caller::start(&fleet, 0, "mine", 10).finish();
    assert!(end.text.is_empty() || end.text == completion_text("mine", 0, 10), "{end:?}");
    let end = Caller::start(&fleet, 0, "mine too", 10).finish();
    assert_eq!(end.text, completion_text("mine too", 0, 10));
}

// The verdict `not-run` tells a caller that it may retry. It must hold, and the idempotency key
// must be free again.
#[test]
fn a_call_with_the_verdict_not_run_has_not_run() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let service = fleet.add_plain(plain_service(&fleet), 0);
    fleet.await_yard(0);
    service.behave(Behaviour::Refuse);
    let refused = fleet.book(0, "k-1", "{}");
    assert_eq!(refused.verdict, "not-run", "{refused:?}");
    assert_eq!(service.executions("k-1"), 0);
    // The key has been released.
    service.behave(Behaviour::Respond);
    wait_until("the booking has run", || fleet.book(0, "k-1", "{}").verdict == "ran");
    assert_eq!(service.executions("k-1"), 1);
}

// A service runs a booking but its response is lost. Resends through any daemon must not run it
// again.
#[test]
fn a_booking_whose_response_is_lost_runs_at_most_once() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let service = fleet.add_plain(plain_service(&fleet), 0);
    (0..3).for_each(|i| fleet.await_yard(i));
    service.behave(Behaviour::LoseResponse);
    let lost = fleet.book(0, "k-1", "{}");
    assert_eq!(lost.verdict, "may-have-run", "{lost:?}");
    service.behave(Behaviour::Respond);
    for i in 0..3 {
        let resent = fleet.book(i, "k-1", "{}");
        assert_eq!(resent.verdict, "may-have-run", "{resent:?}");
    }
    assert_eq!(service.executions("k-1"), 1);
}

// A caller resends a booking that has run. Every daemon must return the stored response, and refuse
// the key with another body.
#[test]
fn a_resend_gets_the_stored_response_from_any_daemon() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let service = fleet.add_plain(plain_service(&fleet), 0);
    (0..3).for_each(|i| fleet.await_yard(i));
    let first = fleet.book(0, "k-1", "{}");
    assert_eq!(first.status, 200, "{first:?}");
    for i in 0..3 {
        wait_until("the response is stored", || fleet.book(i, "k-1", "{}") == first);
        assert_eq!(fleet.book(i, "k-1", r#"{"other":1}"#).status, 422);
    }
    assert_eq!(service.executions("k-1"), 1);
}

// Once a sheet that retires an upstream is in force, the upstream must receive no requests.
#[test]
fn a_retired_upstream_gets_no_new_requests() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let retired = fleet.add_engine(engine(&fleet, 0), 0);
    let remaining =
        fleet.add_engine(EngineConfig { id: "engine-9".into(), ..engine(&fleet, 0) }, 0);
    fleet.await_model(0, "small");
    let mut csv = sheet(&fleet.cfg, 2, &["small"], &[]);
    csv += "upstream,engine-1,,retired,,,,,,,,,\n";
    await_in_force(&fleet, fleet.apply(0, &csv));
    let admitted = retired.stats().admitted;
    wait_until("the other engine serves", || fleet.complete(0, "small", "hello", 2).0 == 200);
    for n in 0..20 {
        assert_eq!(fleet.complete(0, "small", &format!("prompt {n}"), 2).0, 200);
    }
    assert_eq!(retired.stats().admitted, admitted);
    assert!(remaining.stats().finished >= 20);
}
