//! A partition holds up the operator's withdrawal of an evacuation on its way to one member. The operator
//! sends it again to another member, and evacuates the zone once more; then the partition ends.

mod fleet;
use fleet::*;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::Instant,
};

/// `evacuateMs`.
const EVACUATE_MS: u64 = 5_000;
/// `contactMs`.
const CONTACT_MS: u64 = 3_000;
/// Length of the partition.
const CUT_MS: u64 = 4_000;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let order_path = format!("{}zone-b", name_of("evacuate"));
    let mut fleet = Fleet::start(&record, 5, 2);
    let daemons = fleet.control_addresses();
    sleep(ms(1_500));
    if call(&record, "operator", &daemons, "PUT", name_of("config"), &configuration(3)) != 200
        || !fleet.await_ready(ms(10_000))
    {
        fleet.end(NOT_RUN);
    }
    let replicas: Vec<Replica> = (0..3)
        .map(|n| {
            let address = fleet.replica_address(n as u8);
            Replica::new(&format!("i-{n}"), "app", ZONES[n], address)
        })
        .collect();
    replicas.iter().enumerate().for_each(|(i, r)| r.start(&record, daemons.clone(), i));
    sleep(ms(2_000));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts = fleet.entries.iter().map(|d| d.at(FRONT_PORT)).collect();
    let traffic = Traffic::new("get", "/get/x", 20);
    traffic.start(&record, fronts, Arc::clone(&is_over));
    let started = Instant::now();
    sleep(ms(1_000));

    // The operator's path to the member that leads. It picks that one first.
    let Some(leader) = fleet.leader() else { fleet.end(NOT_RUN) };
    let path = Path::start(fleet.replica_address(90), daemons[leader]);
    record.say(format!("{} is the path to {}, which leads", path.address, daemons[leader]));
    let others = daemons.iter().filter(|d| **d != daemons[leader]).copied();
    let order: Vec<SocketAddr> = std::iter::once(path.address).chain(others).collect();

    if call(&record, "operator", &order, "POST", &order_path, &[]) != 200 {
        fleet.end(NOT_RUN);
    }
    sleep(ms(3_000));
    if has_trouble() {
        path.cut(true);
        record.say("the path is cut");
    }
    let cut_at = Instant::now();
    sleep(ms(200));
    if call(&record, "operator", &order, "DELETE", &order_path, &[]) != 200 {
        fleet.end(NOT_RUN);
    }
    sleep(ms(1_000));
    if call(&record, "operator", &order[1..], "POST", &order_path, &[]) != 200 {
        fleet.end(NOT_RUN);
    }
    let acknowledged = Instant::now();
    sleep(ms(CUT_MS).saturating_sub(cut_at.elapsed()));
    path.cut(false);
    if has_trouble() {
        record.say("the path is whole again");
    }
    let healed = Instant::now();
    sleep(ms(9_000));
    is_over.store(true, Ordering::Relaxed);
    sleep(ms(500));

    let from = (acknowledged + ms(EVACUATE_MS)).max(healed + ms(CONTACT_MS));
    let runs = replicas[1].runs.lock().unwrap().clone();
    let late = runs.iter().filter(|run| run.at > from).count();
    let all: usize = replicas.iter().map(|r| r.runs.lock().unwrap().len()).sum();
    record.say(format!(
        "{late} requests reached the evacuated zone more than {EVACUATE_MS} ms after the evacuation was \
         acknowledged; {all} runs in all, {} served",
        traffic.count(started, 200).1
    ));
    fleet.end(if late > 0 { 1 } else { 0 });
}
