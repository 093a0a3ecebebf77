//! Time of admission with as many organisations and daemons as a region has.
//!
//! `cargo run --release -p limit --example admit_time`

use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationShare, OrganisationUsage, Priority,
};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Organisations in steady use at the target size.
const ORGANISATIONS: usize = 240;
/// Daemons of one region at the target size.
const DAEMONS: usize = 143;
/// Decisions measured.
const ROUNDS: usize = 50_000;

fn main() {
    println!("{:<44} {:>9} {:>9} {:>9}", "step", "mean us", "p50 us", "p99 us");
    for (name, in_flight) in [("with room", 1 << 40), ("with a queue", 400_000)] {
        let (mut admits, mut polls, mut usages) = times(in_flight);
        print_row(&format!("admit, {name}"), &mut admits);
        print_row(&format!("finish and poll, {name}"), &mut polls);
        print_row("usage of another daemon", &mut usages);
    }
}

fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    let at = |percent: usize| times[times.len() * percent / 100];
    let micros = |d: Duration| d.as_secs_f64() * 1e6;
    println!("{name:<44} {:>9.2} {:>9.2} {:>9.2}", micros(mean), micros(at(50)), micros(at(99)));
}

fn organisation(i: usize) -> String {
    format!("organisation-{:03}", i % ORGANISATIONS)
}

fn times(tokens_in_flight: u64) -> (Vec<Duration>, Vec<Duration>, Vec<Duration>) {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(Config::default());
    let shares: Vec<OrganisationShare> = (0..ORGANISATIONS)
        .map(|i| OrganisationShare {
            organisation: organisation(i),
            weight: 1 + (i % 4) as u32,
            tokens_per_second: Some(1_000_000_000),
        })
        .collect();
    limiter.set_shares(now, &shares, DAEMONS as u32);
    limiter.set_capacity(Capacity {
        tokens_in_flight,
        tokens_per_second: 1_000_000,
        ..Capacity::default()
    });
    let mut granted = VecDeque::new();
    let (mut admits, mut polls, mut usages) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        // A region's 54,000 requests a second over six regions and its daemons.
        now += Duration::from_millis(16);
        let ask = AdmissionRequest {
            organisation: organisation(round * 7),
            priority: if round % 5 == 0 { Priority::Urgent } else { Priority::Ordinary },
            prompt_tokens: 2_000,
            max_output_tokens: 500,
            deadline: now + Duration::from_secs(60),
        };
        let started = Instant::now();
        let ticket = limiter.admit(now, &ask);
        admits.push(started.elapsed());
        if let Some(ticket) = ticket.ok().filter(|ticket| ticket.is_granted()) {
            granted.push_back(ticket.id);
        }
        let started = Instant::now();
        if granted.len() >= 100 {
            let id = granted.pop_front().expect("many are granted");
            limiter.finish(now, id, 2_300);
        }
        let answers = limiter.poll(now);
        polls.push(started.elapsed());
        granted.extend(answers.iter().filter(|a| a.result.is_ok()).map(|a| a.ticket));
        // Each daemon's usage comes once a second.
        let usage = (0..ORGANISATIONS)
            .map(|i| OrganisationUsage { organisation: organisation(i), tokens_per_second: 100 })
            .collect();
        let started = Instant::now();
        limiter.set_remote_usage(now, format!("d{}", round % DAEMONS), usage);
        usages.push(started.elapsed());
    }
    (admits, polls, usages)
}
