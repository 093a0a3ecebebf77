//! Scenarios with real daemon processes.

mod common;

use common::{Fleet, await_that};
use fake::{EngineConfig, completion_text};
use toucansilld::local::{data_centre, sheet};

fn engine(fleet: &Fleet, i: usize) -> EngineConfig {
    EngineConfig {
        id: format!("engine-{}", i + 1),
        data_centre: data_centre(&fleet.cfg, i),
        models: vec![String::from("small")],
        ..EngineConfig::default()
    }
}

/// Three daemons, an engine in each data centre, all announced to all.
fn serving_fleet() -> Fleet {
    serving_fleet_with(|cfg| cfg)
}

/// The same with other settings of the engines.
fn serving_fleet_with(change: impl Fn(EngineConfig) -> EngineConfig) -> Fleet {
    let mut fleet = Fleet::start(3);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    for i in 0..3 {
        let engine = fleet.add_engine(change(engine(&fleet, i)), i);
        (0..3).filter(|via| *via != i).for_each(|via| fleet.announce_also(&engine, via));
    }
    (0..3).for_each(|i| fleet.await_model(i, "small"));
    fleet
}

#[test]
fn a_request_entering_at_any_daemon_gets_the_whole_answer() {
    let fleet = serving_fleet();
    for i in 0..3 {
        let answer = fleet.complete(i, "small", "hello", 8);
        assert_eq!(answer, (200, completion_text("hello", 0, 8)));
    }
}

#[test]
fn the_others_serve_on_after_a_daemon_is_killed() {
    let mut fleet = serving_fleet();
    fleet.kill(0);
    for i in [1, 2] {
        await_that("the daemon serves", || fleet.complete(i, "small", "hello", 8).0 == 200);
    }
    let index = fleet.apply(1, &sheet(&fleet.cfg, 2, &["small"], &["dc-3"]));
    await_that("the sheet is in force", || {
        let (_, force) = fleet.operate(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    assert_eq!(fleet.status(2)["sheet"], 2);
}

#[test]
fn a_killed_fleet_comes_back_with_the_last_sheet() {
    let mut fleet = serving_fleet();
    for number in 2..20 {
        fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    fleet.apply(0, &sheet(&fleet.cfg, 20, &["small"], &["dc-2"]));
    (0..3).for_each(|i| fleet.kill(i));
    (0..3).for_each(|i| fleet.spawn(i));
    for i in 0..3 {
        fleet.await_ready(i);
        let status = fleet.status(i);
        assert_eq!(status["sheet"], 20);
        assert_eq!(status["data_centres"]["dc-2"], false);
    }
}

#[test]
fn a_planned_stop_cuts_no_request() {
    let mut fleet = serving_fleet_with(|cfg| EngineConfig {
        decode_tokens_per_s: 100.0,
        time_scale: 1.0,
        ..cfg
    });
    let callers: Vec<_> = (0..8)
        .map(|n| {
            let url = format!("http://{}/v1/completions", fleet.callers(0));
            std::thread::spawn(move || stream_of(&url, n))
        })
        .collect();
    await_that("requests run", || fleet.status(0)["in_flight"] == 8);
    fleet.signal(0, "-TERM");
    for (n, caller) in callers.into_iter().enumerate() {
        let text = caller.join().expect("no panic");
        assert_eq!(text, completion_text(&format!("prompt {n}"), 0, 200));
    }
    assert!(fleet.await_exit(0), "the daemon ends well");
    await_that("it has left the roster", || {
        fleet.status(1)["members"].as_array().is_some_and(|members| members.len() == 2)
    });
}

/// The text of one streamed completion.
fn stream_of(url: &str, n: usize) -> String {
    let body = serde_json::json!({
        "model": "small", "prompt": format!("prompt {n}"), "max_tokens": 200, "stream": true,
    });
    let res = minreq::post(url)
        .with_header("Authorization", format!("Bearer {}", toucansilld::local::API_KEY))
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(60)
        .send()
        .expect("an answer");
    res.as_str()
        .expect("UTF-8")
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(String::from))
        .collect()
}
