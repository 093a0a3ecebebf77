//! Measures the time of one placement decision at several sizes of a fleet and a region.
//!
//! `cargo run --release -p route --example decision_time`

use fastrand::Rng;
use route::{
    Config, Fleet, Job, ModelDigest, OwnerDigest, OwnerDigests, OwnerQuery, Prefix, Priority, Ramp,
    TokenUsage, UpstreamInfo, UpstreamKind, choose_owner,
};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of decisions measured for each size.
const DECISIONS: usize = 40_000;

/// Number of requests in flight for each upstream.
const IN_FLIGHT_PER_UPSTREAM: usize = 4;

fn main() {
    println!("{:>9} {:>10} {:>10} {:>10}", "size", "mean us", "p50 us", "p99 us");
    for upstreams in [13, 18, 1_000, 11_000] {
        let (mut decisions, mut events) = fleet_times(upstreams);
        println!("owner's decision on one request: submit and dispatch");
        print_row(upstreams, &mut decisions);
        println!("owner's events of one request: first token and finish");
        print_row(upstreams, &mut events);
    }
    println!("entry daemon's choice of an owner, with a prefix");
    for owners in [7, 143, 860] {
        print_row(owners, &mut owner_times(owners, true));
    }
    println!("entry daemon's choice of an owner, without a prefix");
    for owners in [7, 143, 860] {
        print_row(owners, &mut owner_times(owners, false));
    }
}

fn print_row(size: usize, times: &mut [Duration]) {
    times.sort_unstable();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    let percentile = |percent: usize| times[times.len() * percent / 100];
    let micros = |d: Duration| d.as_secs_f64() * 1e6;
    println!(
        "{size:>9} {:>10.2} {:>10.2} {:>10.2}",
        micros(mean),
        micros(percentile(50)),
        micros(percentile(99))
    );
}

/// Keeps a constant number of requests in flight and measures, for each new one, the times of the
/// decision and of the events.
fn fleet_times(upstreams: usize) -> (Vec<Duration>, Vec<Duration>) {
    let mut now = Instant::now();
    let mut rng = Rng::with_seed(7);
    let mut fleet = Fleet::new(Config::default());
    for i in 0..upstreams {
        fleet.announce(now, engine(i)).expect("the upstream limit is not reached");
    }
    let mut in_flight = VecDeque::new();
    let mut decisions = Vec::with_capacity(DECISIONS);
    let mut events = Vec::with_capacity(DECISIONS);
    // Each upstream can prefill 5 prompts of 2,000 tokens per second; half of that arrives.
    let gap = Duration::from_secs_f64(1.0 / (2.5 * upstreams as f64));
    for round in 0..DECISIONS + IN_FLIGHT_PER_UPSTREAM * upstreams {
        now += gap;
        if round % (8 * upstreams) == 0 {
            (0..upstreams).for_each(|i| drop(fleet.announce(now, engine(i))));
        }
        let job = job(round, now, &mut rng);
        let started = Instant::now();
        let _ = fleet.submit(now, job);
        let dispatches = fleet.dispatch(now);
        let decided = started.elapsed();
        in_flight.extend(dispatches.into_iter().map(|dispatch| dispatch.request));
        let started = Instant::now();
        if in_flight.len() > upstreams / 2 {
            let at = in_flight.len() - upstreams / 2 - 1;
            fleet.first_token_received(now, &in_flight[at], None);
        }
        if in_flight.len() > IN_FLIGHT_PER_UPSTREAM * upstreams {
            let request =
                in_flight.pop_front().expect("more requests than the limit are in flight");
            fleet.request_finished(now, &request, TokenUsage::default());
        }
        let elapsed = started.elapsed();
        if round >= IN_FLIGHT_PER_UPSTREAM * upstreams {
            decisions.push(decided);
            events.push(elapsed);
        }
    }
    (decisions, events)
}

fn engine(i: usize) -> UpstreamInfo {
    UpstreamInfo {
        id: format!("u{i:05}"),
        incarnation: 1,
        kind: UpstreamKind::Engine,
        models: vec!["plan".into()],
        memory_tokens: 400_000,
        max_running: 32,
        prefill_tokens_per_second: 10_000,
        decode_tokens_per_second: 40,
        ramp: Ramp::NONE,
        uptime: Duration::ZERO,
        is_draining: false,
        transfers_kv_cache: true,
        honours_priority: false,
    }
}

fn job(round: usize, now: Instant, rng: &mut Rng) -> Job {
    let prompt_tokens = if rng.u8(0..50) == 0 { 100_000 } else { rng.u64(500..4_000) };
    let prefixes = vec![Prefix { hash: rng.u64(0..2_000), tokens: 512 }];
    Job {
        request: format!("r{round}"),
        model: "plan".into(),
        priority: Priority::Ordinary,
        prompt_tokens,
        max_output_tokens: 500,
        prefixes,
        deadline: now + Duration::from_secs(120),
        avoid: Vec::new(),
        is_suspect: false,
    }
}

/// Measures the times of `choose_owner` and `record_sent` among this many owners.
fn owner_times(owners: usize, with_prefix: bool) -> Vec<Duration> {
    let now = Instant::now();
    let mut rng = Rng::with_seed(7);
    let mut digests = OwnerDigests::new("dc-0".into(), "region".into());
    for i in 0..owners {
        digests.update(now, digest(i, &mut rng));
    }
    (0..DECISIONS)
        .map(|_| {
            let query = OwnerQuery {
                model: "plan".into(),
                prefix: with_prefix.then(|| rng.u64(..)),
                prompt_tokens: 2_000,
                max_output_tokens: 500,
                avoid: Vec::new(),
            };
            let started = Instant::now();
            let choice =
                choose_owner(&digests, now, &query, &mut rng).expect("all owners are usable");
            digests.record_sent(&choice.owner, &query.model, query.prompt_tokens);
            started.elapsed()
        })
        .collect()
}

fn digest(i: usize, rng: &mut Rng) -> OwnerDigest {
    let wait = rng.u64(0..200_000);
    let state = ModelDigest {
        model: "plan".into(),
        upstreams_in_service: 13,
        prefill_tokens: wait / 8,
        prefill_tokens_per_second: 130_000,
        mean_prefill_tokens_per_second: 10_000,
        free_tokens: 2_000_000,
        largest_free_tokens: 300_000,
        largest_memory_tokens: 400_000,
        largest_gang_tokens: 3_200_000,
        wait_micros: [wait; 4],
    };
    OwnerDigest {
        daemon: format!("d{i:04}"),
        incarnation: 1,
        sequence: 1,
        data_centre: format!("dc-{}", i % 2),
        region: "region".into(),
        is_in_service: true,
        models: vec![state],
    }
}
