//! Requests, crashes and planned stops in a fleet of three daemon processes.

mod common;

use common::{Fleet, wait_until};
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

/// Three daemons with an engine in each data centre. Each engine announces itself to all daemons.
fn serving_fleet() -> Fleet {
    serving_fleet_with(|cfg| cfg)
}

/// Fleet like [`serving_fleet`], whose engines have their settings changed.
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

// A request may enter at a daemon that does not own an engine for it, and then goes to the owner
// over a link.
#[test]
fn a_request_gets_its_complete_answer_from_any_daemon() {
    let fleet = serving_fleet();
    for i in 0..3 {
        let answer = fleet.complete(i, "small", "hello", 8);
        assert_eq!(answer, (200, completion_text("hello", 0, 8)));
    }
}

// Two of three voters are a majority: requests must still be served and sheets still be applied.
#[test]
fn the_other_daemons_serve_requests_and_sheets_after_one_is_killed() {
    let mut fleet = serving_fleet();
    fleet.kill(0);
    for i in [1, 2] {
        wait_until("the daemon serves", || fleet.complete(i, "small", "hello", 8).0 == 200);
    }
    let index = fleet.apply(1, &sheet(&fleet.cfg, 2, &["small"], &["dc-3"]));
    wait_until("the sheet is in force", || {
        let (_, force) = fleet.operator_request(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    assert_eq!(fleet.status(2)["sheet"], 2);
}

// All daemons are killed at once, for instance by a power failure. A committed sheet must be on
// disk.
#[test]
fn a_fleet_that_was_killed_restarts_with_the_last_sheet() {
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

// A drain must let the requests in flight finish, and remove the daemon from the roster.
#[test]
fn a_drain_interrupts_no_request() {
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
    wait_until("requests run", || fleet.status(0)["in_flight"] == 8);
    fleet.signal(0, "-TERM");
    for (n, caller) in callers.into_iter().enumerate() {
        let text = caller.join().expect("no panic");
        assert_eq!(text, completion_text(&format!("prompt {n}"), 0, 200));
    }
    assert!(fleet.await_exit(0), "the daemon exits successfully");
    wait_until("it has left the roster", || {
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
        .expect("a response");
    res.as_str()
        .expect("UTF-8")
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(String::from))
        .collect()
}
