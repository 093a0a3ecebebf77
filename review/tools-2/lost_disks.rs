//! A machine of the core is frozen, and a spare one is added. While it joins, two other machines lose their
//! disks. Then all are back.

mod fleet;
use fleet::*;
use std::{thread::sleep, time::Instant};

/// Length of the freeze.
const FREEZE_MS: u64 = 4_000;
/// `recoverS`.
const RECOVER_MS: u64 = 12_000;
/// Time for which the configuration is read afterwards.
const READ_MS: u64 = 20_000;
const SPARE: usize = 5;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of the record"));
    let mut fleet = Fleet::start(&record, 6, 1);
    let daemons = fleet.control_addresses();
    sleep(ms(1_500));
    let publish = |version: u64| {
        let body = configuration(version);
        call(&record, "operator", &daemons[..SPARE], "PUT", name_of("config"), &body)
    };
    if publish(3) != 200 || !fleet.await_ready(ms(10_000)) {
        fleet.end(NOT_RUN);
    }
    sleep(ms(6_000));
    if publish(8) != 200 {
        fleet.end(NOT_RUN);
    }
    sleep(ms(1_000));
    let Some(leader) = fleet.leader() else { fleet.end(NOT_RUN) };
    let [frozen, first, second] = [1, 2, 3].map(|n| (leader + n) % SPARE);

    fleet.core[frozen].signal("STOP");
    let frozen_at = Instant::now();
    record.say(format!("{} leads, {} is frozen", fleet.core[leader].name, fleet.core[frozen].name));
    sleep(ms(1_500));
    fleet.start_core(SPARE, false);
    record.say(format!("{} is added", fleet.core[SPARE].name));
    if !fleet.await_log(leader, &fleet.core[SPARE].ip.to_string(), ms(2_400)) {
        record.say("it didn't ask to join");
        fleet.end(NOT_RUN);
    }
    record.say("it asks to join");
    sleep(ms(100));
    for i in [first, second] {
        fleet.kill(false, i);
        if has_trouble() {
            fleet.wipe(i);
        }
    }
    let what = if has_trouble() { "lose their disks" } else { "are killed" };
    record.say(format!("{} and {} {what}", fleet.core[first].name, fleet.core[second].name));
    sleep(ms(1_000));
    for i in [first, second] {
        fleet.start_core(i, false);
    }
    record.say("they are back");
    sleep(ms(FREEZE_MS).saturating_sub(frozen_at.elapsed()));
    fleet.core[frozen].signal("CONT");
    record.say(format!("{} wakes: all are back", fleet.core[frozen].name));

    let restart_ended = |fleet: &mut Fleet| {
        for i in 0..=SPARE {
            if fleet.has_ended(false, i) {
                fleet.record.say(format!("{} is restarted, as it has ended", fleet.core[i].name));
                fleet.start_core(i, false);
            }
        }
    };
    let back_at = Instant::now();
    while back_at.elapsed() < ms(RECOVER_MS) {
        restart_ended(&mut fleet);
        sleep(ms(100));
    }
    let since = Instant::now();
    let mut is_read = false;
    while since.elapsed() < ms(READ_MS) && !is_read {
        restart_ended(&mut fleet);
        for to in &daemons {
            let read = exchange(*to, "GET", name_of("config"), &[], &[], ms(1_000));
            record.say(match &read {
                Ok(a) => format!("read at {to}: {}", a.status),
                Err(err) => format!("read at {to}: {err}"),
            });
            is_read |= read.is_ok_and(|a| {
                a.status == 200 && String::from_utf8_lossy(&a.body).contains("\"version\":8")
            });
        }
        sleep(ms(200));
    }
    record.say(format!("version 8, which was acknowledged, is read: {is_read}"));
    fleet.end(if is_read { 0 } else { 1 });
}
