//! Three of 18 replicas crash at the same moment while clients look up the same thing, and are back some
//! seconds later.

mod fleet;
use fleet::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::Instant,
};

/// Replicas of the service; three of them are a share of 0.167.
const REPLICAS: u8 = 18;
const CRASHES: usize = 3;
/// Time until those that crashed are back.
const DOWN_MS: u64 = 4_500;

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
    let start = |id: String, service: &str, n: u8| {
        let address = fleet.replica_address(n);
        let mut replica = Replica::new(&id, service, ZONES[n as usize % 3], address);
        replica.work = ms(200);
        replica.start(&record, daemons.clone(), n.into());
        replica
    };
    let _app: Vec<Replica> = (0..2).map(|n| start(format!("i-{n}"), "app", n)).collect();
    let late: Vec<Replica> =
        (2..2 + REPLICAS).map(|n| start(format!("i-{n}"), "late", n)).collect();
    sleep(ms(2_500));
    let later = route("r-late", "app.example", "/late/", "late");
    if publish(&configuration_of(5, &[first, later], &services)) != 200 {
        fleet.end(NOT_RUN);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = fleet.entries.iter().map(|d| d.at(FRONT_PORT)).collect();
    let traffic = [Traffic::new("first", "/get/x", 10), Traffic::new("later", "/late/board", 250)];
    traffic.iter().for_each(|t| t.start(&record, fronts.clone(), Arc::clone(&is_over)));
    sleep(ms(5_000));
    let (sent, served) = traffic[1].count(record.started, 200);
    record.say(format!("before: {served} of {sent} served on the route added later"));

    if has_trouble() {
        late[..CRASHES].iter().for_each(Replica::crash);
        record.say(format!("{CRASHES} of {REPLICAS} replicas crash"));
        sleep(ms(DOWN_MS));
        for n in 0..CRASHES as u8 {
            let _ = start(format!("i-{}-again", 2 + n), "late", 2 + n);
        }
        record.say("they are back");
    }
    sleep(ms(6_000));
    let since = Instant::now();
    sleep(ms(10_000));
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
