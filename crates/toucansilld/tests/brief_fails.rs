//! What fails, line by line, with real daemon processes.

mod common;

use common::{Caller, Fleet, await_that};
use fake::{EngineConfig, completion_text};
use std::time::Duration;
use toucansilld::local::{data_centre, sheet};

fn engine(fleet: &Fleet, id: &str, dc: usize) -> EngineConfig {
    EngineConfig {
        id: String::from(id),
        data_centre: data_centre(&fleet.cfg, dc),
        models: vec![String::from("small")],
        ..EngineConfig::default()
    }
}

fn one_daemon() -> Fleet {
    let fleet = Fleet::start(1);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet
}

#[test]
fn an_engine_that_dies_is_replaced_in_the_middle_of_an_answer() {
    let mut fleet = one_daemon();
    let dying = fleet.add_engine(engine(&fleet, "engine-1", 0), 0);
    fleet.await_model(0, "small");
    dying.hold_at(7);
    let caller = Caller::start(&fleet, 0, "a plan", 30);
    await_that("it runs", || dying.stats().admitted == 1);
    let other = fleet.add_engine(engine(&fleet, "engine-2", 0), 0);
    await_that("the other one is known", || {
        fleet.status(0)["upstreams"].as_array().is_some_and(|all| all.len() == 2)
    });
    dying.kill();
    let end = caller.end();
    assert_eq!(end.text, completion_text("a plan", 0, 30), "{}", end.error);
    assert!(end.is_whole);
    assert_eq!(other.stats().finished, 1);
}

#[test]
fn a_silent_connection_is_left_and_the_answer_resumed() {
    let mut fleet = one_daemon();
    let engine = fleet.add_engine(engine(&fleet, "engine-1", 0), 0);
    fleet.await_model(0, "small");
    engine.hold_at(7);
    let caller = Caller::start(&fleet, 0, "a plan", 30);
    await_that("it runs", || engine.stats().admitted == 1);
    engine.relay().silence();
    engine.release();
    let end = caller.end();
    assert_eq!(end.text, completion_text("a plan", 0, 30), "{}", end.error);
    assert!(end.is_whole);
}

#[test]
fn a_request_that_crashes_upstreams_is_refused_after_two_deaths() {
    let mut fleet = one_daemon();
    let engines: Vec<_> = (1..=4)
        .map(|n| {
            let cfg = EngineConfig {
                crash_on: Some(String::from("poison")),
                ..engine(&fleet, &format!("engine-{n}"), 0)
            };
            fleet.add_engine(cfg, 0)
        })
        .collect();
    await_that("all are known", || {
        fleet.status(0)["upstreams"].as_array().is_some_and(|all| all.len() == 4)
    });
    fleet.await_model(0, "small");
    let crashes = || engines.iter().map(|engine| engine.stats().crashes).sum::<u64>();
    for _ in 0..3 {
        assert_ne!(fleet.complete(0, "small", "poison", 5).0, 200);
    }
    assert_eq!(crashes(), 2);
    assert_eq!(fleet.complete(0, "small", "poison", 5).1, "quarantined");
    // What is harmless goes on.
    let answer = fleet.complete(0, "small", "hello", 5);
    assert_eq!(answer, (200, completion_text("hello", 0, 5)));
}

#[test]
fn a_voter_cut_off_for_long_takes_no_work_and_brings_back_nothing_stale() {
    let mut fleet = Fleet::start(3);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet.add_engine(engine(&fleet, "engine-1", 1), 1);
    fleet.await_model(1, "small");
    fleet.signal(0, "-STOP");
    for number in 2..30 {
        fleet.apply(1, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    let index = fleet.apply(1, &sheet(&fleet.cfg, 30, &["small"], &["dc-3"]));
    await_that("it is in force", || {
        let (_, force) = fleet.operate(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    fleet.signal(0, "-CONT");
    // From its first answer on it either refuses or knows the last sheet.
    await_that("it takes work again", || {
        let status = fleet.status(0);
        let takes_work = status["takes_work"] == true;
        assert!(!takes_work || status["sheet"] == 30, "stale: {status}");
        takes_work
    });
    assert_eq!(fleet.status(0)["data_centres"]["dc-3"], false);
}

#[test]
fn of_operators_who_race_under_one_number_exactly_one_wins() {
    let fleet = Fleet::start(3);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    let answers: Vec<(u16, serde_json::Value)> = std::thread::scope(|scope| {
        let racers: Vec<_> = (0..3)
            .map(|i| {
                let out = format!("dc-{}", i + 1);
                let csv = sheet(&fleet.cfg, 2, &["small"], &[&out]);
                let fleet = &fleet;
                scope.spawn(move || fleet.operate(i, "POST", "/sheet/apply?operator=racer", &csv))
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().expect("no panic")).collect()
    });
    let won = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(won, 1, "{answers:?}");
    for (status, body) in answers.iter().filter(|(status, _)| *status != 200) {
        assert_eq!(*status, 409);
        assert_eq!(body["error"]["code"], "sheet_conflict");
        assert!(body["error"]["message"].as_str().is_some_and(|text| text.contains("digest")));
    }
}

#[test]
fn a_second_voter_lost_right_after_a_repair_loses_no_change() {
    let mut fleet = Fleet::start_with(4, 3);
    for number in 1..20 {
        fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    fleet.kill(1);
    let address = fleet.links(3);
    let path = format!("/voters/replace?old=2&new=4&address={address}");
    await_that("the voter is replaced", || fleet.operate(0, "POST", &path, "").0 == 200);
    fleet.kill(2);
    let index = fleet.apply(0, &sheet(&fleet.cfg, 20, &["small"], &["dc-2"]));
    await_that("the change is in force", || {
        let (_, force) = fleet.operate(0, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    assert_eq!(fleet.status(3)["sheet"], 20);
}

#[test]
fn an_engine_that_returns_in_cold_start_unannounced_gets_a_new_ramp() {
    let mut fleet = one_daemon();
    let ramp = fake::Ramp { initial_share: 0.1, duration: Duration::from_secs(3600) };
    let cfg =
        EngineConfig { ramp: Some(ramp), memory_tokens: 20_000, ..engine(&fleet, "engine-1", 0) };
    let engine = fleet.add_engine(cfg, 0);
    fleet.await_model(0, "small");
    engine.kill();
    engine.restart().expect("the same port");
    let incarnation = engine.incarnation();
    await_that("its return is noticed", || {
        fleet.status(0)["upstreams"][0]["incarnation"] == incarnation
    });
    let callers: Vec<Caller> =
        (0..30).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 50)).collect();
    let whole = callers.into_iter().map(Caller::end).filter(|end| end.is_whole).count();
    assert_eq!(whole, 30);
    assert_eq!(engine.stats().overloads, 0);
}

#[test]
fn a_voter_that_lost_its_disk_is_named_and_loses_no_change() {
    let mut fleet = Fleet::start(3);
    for number in 1..10 {
        fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    fleet.kill(0);
    std::fs::remove_dir_all(fleet.dir.path().join("daemon-1")).expect("a data folder");
    fleet.spawn(0);
    await_that("a voter is named", || {
        let own = fleet.status(0)["voter"]["lost_disk"] == true;
        let by_leader = (1..3).any(|i| {
            let lost = &fleet.status(i)["voter"]["lost_logs"];
            lost.as_array().is_some_and(|ids| ids.contains(&1.into()))
        });
        own || by_leader
    });
    let index = fleet.apply(1, &sheet(&fleet.cfg, 10, &["small"], &["dc-2"]));
    await_that("the change is in force", || {
        let (_, force) = fleet.operate(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    for i in 1..3 {
        assert_eq!(fleet.status(i)["sheet"], 10);
    }
}
