//! A heartbeat of another writer, whose `version` is a number instead of text, lists a replica of one
//! service under another service.

mod fleet;
use fleet::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
};

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let mut fleet = Fleet::start(&record, 5, 2);
    let daemons = fleet.control_addresses();
    sleep(ms(1_500));
    let publish = |body: &[u8]| call(&record, "operator", &daemons, "PUT", name_of("config"), body);
    let routes = [
        route("r-get", "app.example", "/get/", "app"),
        route("r-desk", "app.example", "/desk/", "desk"),
    ];
    if publish(&configuration_of(3, &routes, &["app", "desk"])) != 200
        || !fleet.await_ready(ms(10_000))
    {
        fleet.end(NOT_RUN);
    }
    let replicas: Vec<Replica> = (0..4)
        .map(|n| {
            let service = if n < 2 { "app" } else { "desk" };
            let address = fleet.replica_address(n as u8);
            Replica::new(&format!("i-{n}"), service, ZONES[n % 3], address)
        })
        .collect();
    replicas.iter().enumerate().for_each(|(i, r)| r.start(&record, daemons.clone(), i));
    sleep(ms(2_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = fleet.entries.iter().map(|d| d.at(FRONT_PORT)).collect();
    let traffic = [Traffic::new("app", "/get/x", 10), Traffic::new("desk", "/desk/x", 10)];
    traffic.iter().for_each(|t| t.start(&record, fronts.clone(), Arc::clone(&is_over)));
    sleep(ms(3_000));

    if has_trouble() {
        let replica = &replicas[2];
        let body = replica.beat_of("app", "1", 1_000);
        call(&record, "another writer", &daemons, "PUT", &replica.beat_path(), &body);
    }
    sleep(ms(6_000));
    is_over.store(true, Ordering::Relaxed);
    sleep(ms(1_000));

    // The ids of requests begin with the name of the service that their route allows.
    let runs = replicas.iter().flat_map(|r| {
        let runs = r.runs.lock().unwrap().clone();
        runs.into_iter().map(|run| (r.service.clone(), run))
    });
    let runs: Vec<(String, Run)> = runs.collect();
    let wrong = runs.iter().filter(|(service, run)| !run.attempt.starts_with(service.as_str()));
    let wrong = wrong.count();
    record.say(format!("{wrong} of {} requests were run by the wrong service", runs.len()));
    fleet.end(if wrong > 0 { 1 } else { 0 });
}
