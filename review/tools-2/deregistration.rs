//! A partition holds up a replica's deregistration on its way to one member. The replica deregisters
//! through another one, ends, and starts again under the same id; then the partition ends.

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

/// `drainMs`.
const DRAIN_MS: u64 = 2_000;
/// Length of the partition.
const CUT_MS: u64 = 5_000;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let mut fleet = Fleet::start(&record, 5, 2);
    let daemons = fleet.control_addresses();
    sleep(ms(1_500));
    let publish = |body: &[u8]| call(&record, "operator", &daemons, "PUT", name_of("config"), body);
    let first = route("r-get", "app.example", "/get/", "app");
    let services = ["app", "late"];
    if publish(&configuration_of(3, &[first.clone()], &services)) != 200
        || !fleet.await_ready(ms(10_000))
    {
        fleet.end(NOT_RUN);
    }
    let Some(leader) = fleet.leader() else { fleet.end(NOT_RUN) };
    let path = Path::start(fleet.replica_address(90), daemons[leader]);
    record.say(format!("{} is the path to {}, which leads", path.address, daemons[leader]));
    let others = daemons.iter().filter(|d| **d != daemons[leader]).copied();
    let order: Vec<SocketAddr> = std::iter::once(path.address).chain(others).collect();

    let start = |id: &str, service: &str, n: u8| {
        let replica = Replica::new(id, service, ZONES[n as usize % 3], fleet.replica_address(n));
        replica.start(&record, order.clone(), 1);
        replica
    };
    let _app = [start("i-0", "app", 0), start("i-1", "app", 1)];
    let late = start("i-2", "late", 2);
    sleep(ms(2_000));
    let later = route("r-late", "app.example", "/late/", "late");
    if publish(&configuration_of(5, &[first, later], &services)) != 200 {
        fleet.end(NOT_RUN);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = fleet.entries.iter().map(|d| d.at(FRONT_PORT)).collect();
    let traffic = [Traffic::new("first", "/get/x", 5), Traffic::new("later", "/late/x", 5)];
    traffic.iter().for_each(|t| t.start(&record, fronts.clone(), Arc::clone(&is_over)));
    sleep(ms(3_000));

    if has_trouble() {
        path.cut(true);
        record.say("the path is cut");
    }
    let cut_at = Instant::now();
    late.beats.store(false, Ordering::Relaxed);
    if call(&record, "replica", &order, "DELETE", &late.beat_path(), &[]) != 200 {
        fleet.end(NOT_RUN);
    }
    sleep(ms(DRAIN_MS + 200));
    late.crash();
    record.say("replica i-2 ends");
    sleep(ms(300));
    let late = start("i-2", "late", 2);
    record.say(format!("replica i-2 starts again, born {}", late.born));
    sleep(ms(CUT_MS).saturating_sub(cut_at.elapsed()));
    path.cut(false);
    if has_trouble() {
        record.say("the path is whole again");
    }
    // Steady state: the replica goes on to send heartbeats.
    sleep(ms(5_000));
    let since = Instant::now();
    sleep(ms(15_000));
    is_over.store(true, Ordering::Relaxed);
    sleep(ms(4_800));

    let [(sent, served), (later_sent, later_served)] = [0, 1].map(|i| traffic[i].count(since, 200));
    record.say(format!(
        "first route: {served} of {sent} served; route added later: {later_served} of {later_sent}"
    ));
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let is_broken = later_sent >= 20 && share(later_served, later_sent) < share(served, sent) / 4.0;
    fleet.end(if is_broken { 1 } else { 0 });
}
