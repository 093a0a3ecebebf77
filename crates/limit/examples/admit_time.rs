//! Measures the time of admission with the organisations and daemons of a region of the target
//! size.
//!
//! `cargo run --release -p limit --example admit_time`

use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationDemand, OrganisationShare, Priority,
};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of organisations in regular use at the target size.
const ORGANISATIONS: usize = 240;
/// Number of daemons of one region at the target size.
const DAEMONS: usize = 143;
/// Number of decisions to measure.
const ROUNDS: usize = 50_000;

fn main() {
    println!("{:<44} {:>9} {:>9} {:>9}", "step", "mean us", "p50 us", "p99 us");
    for (name, in_flight) in [("with room", 1 << 40), ("with a queue", 400_000)] {
        let (mut admits, mut polls, mut demands) = measure(in_flight);
        print_row(&format!("admit, {name}"), &mut admits);
        print_row(&format!("finish and poll, {name}"), &mut polls);
        print_row("demand of another daemon", &mut demands);
    }
}

/// Prints the mean, the median and the 99th percentile.
fn print_row(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    let at = |percent: usize| times[times.len() * percent / 100];
    let micros = |d: Duration| d.as_secs_f64() * 1e6;
    println!("{name:<44} {:>9.2} {:>9.2} {:>9.2}", micros(mean), micros(at(50)), micros(at(99)));
}

/// Name of an organisation; the index may be beyond their number.
fn organisation(i: usize) -> String {
    format!("organisation-{:03}", i % ORGANISATIONS)
}

/// Measures the calls of `admit`, of `finish` and `poll`, and of `set_remote_demand`.
fn measure(tokens_in_flight: u64) -> (Vec<Duration>, Vec<Duration>, Vec<Duration>) {
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
    let (mut admits, mut polls, mut demands) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        // 54,000 requests per second are spread over six regions and the daemons of each.
        now += Duration::from_millis(16);
        let request = AdmissionRequest {
            organisation: organisation(round * 7),
            priority: if round % 5 == 0 { Priority::Urgent } else { Priority::Ordinary },
            prompt_tokens: 2_000,
            max_output_tokens: 500,
            deadline: now + Duration::from_secs(60),
        };
        let started = Instant::now();
        let ticket = limiter.admit(now, &request);
        admits.push(started.elapsed());
        if let Some(ticket) = ticket.ok().filter(|ticket| ticket.is_granted()) {
            granted.push_back(ticket.id);
        }
        let started = Instant::now();
        if granted.len() >= 100 {
            let id = granted.pop_front().expect("at least 100 tickets are granted");
            limiter.finish(now, id, 2_300);
        }
        let outcomes = limiter.poll(now);
        polls.push(started.elapsed());
        granted.extend(outcomes.iter().filter(|o| o.result.is_ok()).map(|o| o.ticket));
        // Each daemon reports its demand about once per second.
        let demand = (0..ORGANISATIONS)
            .map(|i| OrganisationDemand { organisation: organisation(i), tokens_per_second: 100 })
            .collect();
        let started = Instant::now();
        limiter.set_remote_demand(now, format!("d{}", round % DAEMONS), demand);
        demands.push(started.elapsed());
    }
    (admits, polls, demands)
}
