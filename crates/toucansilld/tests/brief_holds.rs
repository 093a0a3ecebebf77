//! What must always hold, line by line, with real daemon processes.

mod common;

use common::{Caller, Fleet, await_that};
use fake::{Behaviour, EngineConfig, PlainConfig, Ramp, completion_text};
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

fn plain(fleet: &Fleet) -> PlainConfig {
    PlainConfig {
        id: String::from("yard-1"),
        data_centre: data_centre(&fleet.cfg, 0),
        service: String::from("yard"),
        ..PlainConfig::default()
    }
}

fn apply(fleet: &Fleet, number: u64, out: &[&str]) -> u64 {
    fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], out))
}

fn await_in_force(fleet: &Fleet, index: u64) {
    await_that("the change is in force", || {
        let (_, force) = fleet.operate(0, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
}

#[test]
fn every_admitted_request_finishes_or_fails_in_time() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    engine.hold_at(3);
    let caller = Caller::start_with(&fleet, 0, "a question", 50, "1500");
    let end = caller.end();
    assert_eq!(end.error, "deadline");
    assert_eq!(end.text, completion_text("a question", 0, 3));
    await_that("its memory is free", || engine.memory_used() == 0);
}

#[test]
fn no_engine_loses_memory_when_its_owner_dies() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 1), 0);
    fleet.await_model(0, "small");
    engine.hold_at(5);
    let callers: Vec<Caller> =
        (0..4).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 50)).collect();
    await_that("they run", || engine.stats().admitted >= 4);
    // The owner of an upstream in the second data centre is the daemon there.
    fleet.kill(1);
    engine.release();
    for (n, caller) in callers.into_iter().enumerate() {
        let end = caller.end();
        assert!(!end.is_whole || end.text == completion_text(&format!("prompt {n}"), 0, 50));
    }
    fleet.spawn(1);
    fleet.await_ready(1);
    await_that("its memory is free", || engine.memory_used() == 0);
}

#[test]
fn an_upstream_in_cold_start_gets_no_more_than_it_can_bear() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let ramp = Ramp { initial_share: 0.05, duration: Duration::from_secs(3600) };
    let cfg = EngineConfig { ramp: Some(ramp), memory_tokens: 20_000, ..engine(&fleet, 0) };
    let engine = fleet.add_engine(cfg, 0);
    fleet.await_model(0, "small");
    let callers: Vec<Caller> =
        (0..40).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 100)).collect();
    let whole = callers.into_iter().map(Caller::end).filter(|end| end.is_whole).count();
    assert_eq!(whole, 40);
    assert_eq!(engine.stats().overloads, 0);
}

#[test]
fn a_data_centre_that_is_taken_out_gets_no_new_work() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let gone = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    gone.hold_at(5);
    let running = Caller::start(&fleet, 0, "long", 20);
    await_that("it runs", || gone.stats().admitted >= 1);
    let left = fleet.add_engine(engine(&fleet, 1), 1);
    await_in_force(&fleet, apply(&fleet, 2, &["dc-1"]));
    (0..3).for_each(|i| fleet.await_model(i, "small"));
    let admitted = gone.stats().admitted;
    for i in 0..3 {
        for n in 0..5 {
            let prompt = format!("prompt {n}");
            assert_eq!(fleet.complete(i, "small", &prompt, 4).0, 200);
        }
    }
    assert_eq!(gone.stats().admitted, admitted);
    assert!(left.stats().finished >= 15);
    gone.release();
    // What ran there before ends well.
    assert_eq!(running.end().text, completion_text("long", 0, 20));
    await_in_force(&fleet, apply(&fleet, 3, &[]));
    await_that("it gets work again", || {
        fleet.complete(0, "small", "hello", 2);
        gone.stats().admitted > admitted
    });
}

#[test]
fn an_answer_that_comes_crossed_reaches_nobody() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let engine = fleet.add_engine(engine(&fleet, 0), 0);
    fleet.await_model(0, "small");
    engine.cross_next(1);
    let end = Caller::start(&fleet, 0, "mine", 10).end();
    assert!(end.text.is_empty() || end.text == completion_text("mine", 0, 10), "{end:?}");
    let end = Caller::start(&fleet, 0, "mine too", 10).end();
    assert_eq!(end.text, completion_text("mine too", 0, 10));
}

#[test]
fn a_refusal_that_says_not_run_is_true() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let plain = fleet.add_plain(plain(&fleet), 0);
    fleet.await_yard(0);
    plain.behave(Behaviour::Refuse);
    let refused = fleet.book(0, "k-1", "{}");
    assert_eq!(refused.verdict, "not-run", "{refused:?}");
    assert_eq!(plain.executions("k-1"), 0);
    // The key is free again.
    plain.behave(Behaviour::Answer);
    await_that("it is booked", || fleet.book(0, "k-1", "{}").verdict == "ran");
    assert_eq!(plain.executions("k-1"), 1);
}

#[test]
fn a_booking_runs_at_most_once_when_its_answer_is_lost() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let plain = fleet.add_plain(plain(&fleet), 0);
    (0..3).for_each(|i| fleet.await_yard(i));
    plain.behave(Behaviour::LoseAnswer);
    let lost = fleet.book(0, "k-1", "{}");
    assert_eq!(lost.verdict, "may-have-run", "{lost:?}");
    plain.behave(Behaviour::Answer);
    for i in 0..3 {
        let resent = fleet.book(i, "k-1", "{}");
        assert_eq!(resent.verdict, "may-have-run", "{resent:?}");
    }
    assert_eq!(plain.executions("k-1"), 1);
}

#[test]
fn a_resend_gets_the_stored_answer_from_any_daemon() {
    let mut fleet = Fleet::start(3);
    apply(&fleet, 1, &[]);
    let plain = fleet.add_plain(plain(&fleet), 0);
    (0..3).for_each(|i| fleet.await_yard(i));
    let first = fleet.book(0, "k-1", "{}");
    assert_eq!(first.status, 200, "{first:?}");
    for i in 0..3 {
        await_that("the answer is stored", || fleet.book(i, "k-1", "{}") == first);
        assert_eq!(fleet.book(i, "k-1", r#"{"other":1}"#).status, 422);
    }
    assert_eq!(plain.executions("k-1"), 1);
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    let mut fleet = Fleet::start(1);
    apply(&fleet, 1, &[]);
    let gone = fleet.add_engine(engine(&fleet, 0), 0);
    let left = fleet.add_engine(EngineConfig { id: "engine-9".into(), ..engine(&fleet, 0) }, 0);
    fleet.await_model(0, "small");
    let mut csv = sheet(&fleet.cfg, 2, &["small"], &[]);
    csv += "upstream,engine-1,,retired,,,,,,,,,\n";
    await_in_force(&fleet, fleet.apply(0, &csv));
    let admitted = gone.stats().admitted;
    await_that("the other one serves", || fleet.complete(0, "small", "hello", 2).0 == 200);
    for n in 0..20 {
        assert_eq!(fleet.complete(0, "small", &format!("prompt {n}"), 2).0, 200);
    }
    assert_eq!(gone.stats().admitted, admitted);
    assert!(left.stats().finished >= 20);
}
