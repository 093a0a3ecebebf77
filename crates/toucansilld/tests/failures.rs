//! Failures of engines, connections, voters and disks, with daemon processes.

mod common;

use common::{Caller, Fleet, wait_until};
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

/// One daemon with a sheet for the model `small`.
fn one_daemon() -> Fleet {
    let fleet = Fleet::start(1);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet
}

// An engine crashes after it has streamed some tokens. The rest must come from another engine, with
// no token lost or repeated.
#[test]
fn a_stream_resumes_on_another_engine_after_a_crash() {
    let mut fleet = one_daemon();
    let dying = fleet.add_engine(engine(&fleet, "engine-1", 0), 0);
    fleet.await_model(0, "small");
    dying.hold_at(7);
    let caller = Caller::start(&fleet, 0, "a plan", 30);
    wait_until("the request runs", || dying.stats().admitted == 1);
    let other = fleet.add_engine(engine(&fleet, "engine-2", 0), 0);
    wait_until("the second engine is known", || {
        fleet.status(0)["upstreams"].as_array().is_some_and(|all| all.len() == 2)
    });
    dying.kill();
    let end = caller.finish();
    assert_eq!(end.text, completion_text("a plan", 0, 30), "{}", end.error);
    assert!(end.is_complete);
    assert_eq!(other.stats().finished, 1);
}

// A connection to an engine passes no more bytes but stays open, as after a network fault. The
// stream must time out and be resumed.
#[test]
fn a_stream_resumes_after_its_connection_goes_silent() {
    let mut fleet = one_daemon();
    let engine = fleet.add_engine(engine(&fleet, "engine-1", 0), 0);
    fleet.await_model(0, "small");
    engine.hold_at(7);
    let caller = Caller::start(&fleet, 0, "a plan", 30);
    wait_until("the request runs", || engine.stats().admitted == 1);
    engine.fault_proxy().silence();
    engine.release();
    let end = caller.finish();
    assert_eq!(end.text, completion_text("a plan", 0, 30), "{}", end.error);
    assert!(end.is_complete);
}

// A request that crashes each engine it reaches would take down the whole fleet by its retries.
// After two crashes it must be refused, while other requests are still served.
#[test]
fn a_request_is_quarantined_after_it_has_crashed_two_engines() {
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
    wait_until("all engines are known", || {
        fleet.status(0)["upstreams"].as_array().is_some_and(|all| all.len() == 4)
    });
    fleet.await_model(0, "small");
    let crashes = || engines.iter().map(|engine| engine.stats().crashes).sum::<u64>();
    for _ in 0..3 {
        assert_ne!(fleet.complete(0, "small", "poison", 5).0, 200);
    }
    assert_eq!(crashes(), 2);
    assert_eq!(fleet.complete(0, "small", "poison", 5).1, "quarantined");
    // Harmless requests are still served.
    let reply = fleet.complete(0, "small", "hello", 5);
    assert_eq!(reply, (200, completion_text("hello", 0, 5)));
}

// A daemon with a voter is paused while 29 sheets are applied. When it resumes, its lease has
// expired, so it must take no requests until it has the last sheet.
#[test]
fn a_paused_voter_takes_no_requests_under_an_old_sheet() {
    let mut fleet = Fleet::start(3);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet.add_engine(engine(&fleet, "engine-1", 1), 1);
    fleet.await_model(1, "small");
    fleet.signal(0, "-STOP");
    for number in 2..30 {
        fleet.apply(1, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    let index = fleet.apply(1, &sheet(&fleet.cfg, 30, &["small"], &["dc-3"]));
    wait_until("the sheet is in force", || {
        let (_, force) = fleet.operator_request(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    fleet.signal(0, "-CONT");
    // From its first response on, the daemon either takes no requests or has the last sheet.
    wait_until("the daemon takes requests again", || {
        let status = fleet.status(0);
        let takes_work = status["takes_work"] == true;
        assert!(
            !takes_work || status["sheet"] == 30,
            "takes requests under an old sheet: {status}"
        );
        takes_work
    });
    assert_eq!(fleet.status(0)["data_centres"]["dc-3"], false);
}

// Operators apply different sheets with the same number at the same time, through different
// daemons. One is accepted; the others must be refused with the digest of the accepted one.
#[test]
fn exactly_one_of_concurrent_sheets_with_the_same_number_is_accepted() {
    let fleet = Fleet::start(3);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    let answers: Vec<(u16, serde_json::Value)> = std::thread::scope(|scope| {
        let racers: Vec<_> = (0..3)
            .map(|i| {
                let out = format!("dc-{}", i + 1);
                let csv = sheet(&fleet.cfg, 2, &["small"], &[&out]);
                let fleet = &fleet;
                scope.spawn(move || {
                    fleet.operator_request(i, "POST", "/sheet/apply?operator=racer", &csv)
                })
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().expect("no panic")).collect()
    });
    let accepted = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(accepted, 1, "{answers:?}");
    for (status, body) in answers.iter().filter(|(status, _)| *status != 200) {
        assert_eq!(*status, 409);
        assert_eq!(body["error"]["code"], "sheet_conflict");
        assert!(body["error"]["message"].as_str().is_some_and(|text| text.contains("digest")));
    }
}

// A lost voter is replaced, and then a second one is lost. The replacement must hold the log and
// count towards the majority by then.
#[test]
fn no_change_is_lost_when_a_second_voter_fails_after_a_replacement() {
    let mut fleet = Fleet::start_with(4, 3);
    for number in 1..20 {
        fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    fleet.kill(1);
    let address = fleet.links(3);
    let path = format!("/voters/replace?old=2&new=4&address={address}");
    wait_until("the voter is replaced", || fleet.operator_request(0, "POST", &path, "").0 == 200);
    fleet.kill(2);
    let index = fleet.apply(0, &sheet(&fleet.cfg, 20, &["small"], &["dc-2"]));
    wait_until("the change is in force", || {
        let (_, force) = fleet.operator_request(0, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    assert_eq!(fleet.status(3)["sheet"], 20);
}

// An engine restarts with a long cold-start ramp. Its load report may show the new incarnation
// before its announcement does. From then on the load must keep to the ramp, or the engine is
// overloaded.
#[test]
fn a_restarted_engine_is_ramped_up_again() {
    let mut fleet = one_daemon();
    let ramp = fake::Ramp { initial_share: 0.1, duration: Duration::from_secs(3600) };
    let cfg =
        EngineConfig { ramp: Some(ramp), memory_tokens: 20_000, ..engine(&fleet, "engine-1", 0) };
    let engine = fleet.add_engine(cfg, 0);
    fleet.await_model(0, "small");
    engine.kill();
    engine.restart().expect("the same port");
    let incarnation = engine.incarnation();
    wait_until("its restart is noticed", || {
        fleet.status(0)["upstreams"][0]["incarnation"] == incarnation
    });
    let callers: Vec<Caller> =
        (0..30).map(|n| Caller::start(&fleet, 0, &format!("prompt {n}"), 50)).collect();
    let complete = callers.into_iter().map(Caller::finish).filter(|end| end.is_complete).count();
    assert_eq!(complete, 30);
    assert_eq!(engine.stats().overloads, 0);
}

// A voter restarts with an empty data folder. It must not vote as if it had never acknowledged
// entries: its status or the leader's reports the loss, and no change is lost.
#[test]
fn a_voter_that_has_lost_its_disk_is_reported_and_no_change_is_lost() {
    let mut fleet = Fleet::start(3);
    for number in 1..10 {
        fleet.apply(0, &sheet(&fleet.cfg, number, &["small"], &[]));
    }
    fleet.kill(0);
    std::fs::remove_dir_all(fleet.dir.path().join("daemon-1")).expect("a data folder");
    fleet.spawn(0);
    wait_until("the voter is reported", || {
        let by_itself = fleet.status(0)["voter"]["lost_disk"] == true;
        let by_leader = (1..3).any(|i| {
            let lost = &fleet.status(i)["voter"]["lost_logs"];
            lost.as_array().is_some_and(|ids| ids.contains(&1.into()))
        });
        by_itself || by_leader
    });
    let index = fleet.apply(1, &sheet(&fleet.cfg, 10, &["small"], &["dc-2"]));
    wait_until("the change is in force", || {
        let (_, force) = fleet.operator_request(1, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
    for i in 1..3 {
        assert_eq!(fleet.status(i)["sheet"], 10);
    }
}
