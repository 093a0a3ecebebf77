//! Compares placement policies in simulated time: the time to first token of short prompts
//! concurrent with long ones, and the requests that finish in time under overload.
//!
//! `cargo run --release -p route --example policies`
//!
//! A simulated engine prefills at a fixed rate, in the order of arrival or short prompts first, and
//! decodes each output at a fixed rate.

use fastrand::Rng;
use route::{
    Config, Dispatch, Fleet, Job, LengthClass, PlacementPolicy, Priority, Ramp, TokenUsage,
    UpstreamInfo, UpstreamKind,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Numbers of upstreams of one owner: the target size, and smaller ones.
const SIZES: [usize; 3] = [13, 6, 3];
/// Prefill rate of one engine.
const PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;
/// Decode rate of one request.
const DECODE_TOKENS_PER_SECOND: f64 = 50.0;
/// Output length of each request.
const OUTPUT_TOKENS: u64 = 100;
/// Time until an engine that honours priorities finishes a chunk of a longer prefill and switches
/// to a short prompt.
const CHUNK_DURATION: Duration = Duration::from_millis(50);
/// Simulated time of a run.
const RUN_SECONDS: f64 = 900.0;
/// Part of a run before requests are counted.
const WARM_UP_SECONDS: f64 = 60.0;

/// Share of each class in percent, with its shortest and longest prompt in tokens.
const MIX: [(LengthClass, u64, u64, u64); 4] = [
    (LengthClass::Short, 78, 500, 4_000),
    (LengthClass::Medium, 15, 4_200, 30_000),
    (LengthClass::Long, 5, 33_000, 120_000),
    (LengthClass::Huge, 2, 140_000, 380_000),
];

const POLICIES: [PlacementPolicy; 4] = [
    PlacementPolicy::Predicted,
    PlacementPolicy::NoLengthClasses,
    PlacementPolicy::LeastOutstanding,
    PlacementPolicy::RoundRobin,
];

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
struct Setup {
    policy: PlacementPolicy,
    upstreams: usize,
    /// Whether engines prefill short prompts before longer ones.
    honours_priority: bool,
}

/// A setup with engines that prefill in the order of arrival.
fn in_order(policy: PlacementPolicy, upstreams: usize) -> Setup {
    Setup { policy, upstreams, honours_priority: false }
}

/// One engine: the ends of its prefills of short and of longer prompts, and the request with the
/// latest longer prompt.
#[derive(Clone, Copy, Debug)]
struct Engine {
    short_done: Instant,
    longer_done: Instant,
    longer: usize,
}

/// One request of a run.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: f64,
    class: LengthClass,
    tokens: u64,
}

/// Results of a run.
#[derive(Default)]
struct Outcome {
    /// Times to first token by class, in seconds.
    first_token: BTreeMap<LengthClass, Vec<f64>>,
    offered: u32,
    refused: u32,
    late: u32,
    in_time: u32,
    tokens_in_time: f64,
}

fn main() {
    println!("p95 time to first token in s, by load and seed");
    println!(
        "{:<18} {:>4} {:>4} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8}",
        "policy", "load", "seed", "alone", "mixed", "ratio", "medium", "long", "huge"
    );
    for upstreams in SIZES {
        println!("{upstreams} upstreams");
        for policy in POLICIES {
            print_slowdown(in_order(policy, upstreams), 0.7, 7);
        }
        for (load, seed) in [(0.5, 7), (0.9, 7), (0.7, 8), (0.7, 9)] {
            print_slowdown(in_order(PlacementPolicy::Predicted, upstreams), load, seed);
            print_slowdown(in_order(PlacementPolicy::NoLengthClasses, upstreams), load, seed);
        }
    }
    println!("engines that prefill short prompts first");
    for upstreams in SIZES {
        println!("{upstreams} upstreams");
        let setup =
            Setup { honours_priority: true, ..in_order(PlacementPolicy::Predicted, upstreams) };
        for (load, seed) in [(0.5, 7), (0.7, 7), (0.7, 8), (0.7, 9), (0.9, 7)] {
            print_slowdown(setup, load, seed);
        }
        for load in [0.5, 1.0, 1.5, 2.0, 3.0] {
            print_goodput(setup, load);
        }
    }
    println!(
        "\nfinished in time, by load; requests per second, prompt tokens per second, refused, late"
    );
    for upstreams in SIZES {
        println!("{upstreams} upstreams");
        for policy in POLICIES {
            for load in [0.5, 1.0, 1.5, 2.0, 3.0] {
                print_goodput(in_order(policy, upstreams), load);
            }
        }
    }
}

fn print_slowdown(setup: Setup, load: f64, seed: u64) {
    let all = arrivals(setup, load, seed);
    let short: Vec<Arrival> =
        all.iter().copied().filter(|a| a.class == LengthClass::Short).collect();
    let alone = run(setup, &short);
    let mixed = run(setup, &all);
    let alone = p95(&alone, LengthClass::Short);
    let p95 = LengthClass::ALL.map(|class| p95(&mixed, class));
    println!(
        "{:<18} {load:>4.1} {seed:>4} {alone:>8.3} {:>8.3} {:>7.2} {:>8.2} {:>8.2} {:>8.2}",
        format!("{:?}", setup.policy),
        p95[0],
        p95[0] / alone,
        p95[1],
        p95[2],
        p95[3]
    );
}

fn print_goodput(setup: Setup, load: f64) {
    let outcome = run(setup, &arrivals(setup, load, 11));
    let span = RUN_SECONDS - WARM_UP_SECONDS;
    println!(
        "{:<18} load {load:>3.1}: {:>6.2}/s {:>9.0}/s {:>5.1}% {:>5.1}%",
        format!("{:?}", setup.policy),
        f64::from(outcome.in_time) / span,
        outcome.tokens_in_time / span,
        f64::from(outcome.refused) * 100.0 / f64::from(outcome.offered),
        f64::from(outcome.late) * 100.0 / f64::from(outcome.offered)
    );
}

fn p95(outcome: &Outcome, class: LengthClass) -> f64 {
    let Some(times) = outcome.first_token.get(&class) else { return f64::NAN };
    let mut times = times.clone();
    times.sort_by(f64::total_cmp);
    times[times.len() * 95 / 100]
}

/// Poisson arrivals whose prompts amount to `load` times the prefill capacity of all engines.
fn arrivals(setup: Setup, load: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed);
    let mean: f64 = MIX.iter().map(|(_, p, low, high)| (p * (low + high)) as f64 / 200.0).sum();
    let rate = load * PREFILL_TOKENS_PER_SECOND * setup.upstreams as f64 / mean;
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if at > RUN_SECONDS {
            return arrivals;
        }
        let mut remaining = rng.u64(0..100);
        let pick = MIX.iter().find(|(_, percent, ..)| {
            let is_picked = remaining < *percent;
            remaining = remaining.saturating_sub(*percent);
            is_picked
        });
        let (class, _, low, high) = *pick.expect("the percentages sum to 100");
        arrivals.push(Arrival { at, class, tokens: rng.u64(low..high) });
    }
}

/// Time until the deadline of a request, in seconds: 20 s and four times its prefill on an idle
/// engine.
fn time_limit(tokens: u64) -> f64 {
    20.0 + 4.0 * tokens as f64 / PREFILL_TOKENS_PER_SECOND
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    FirstToken(usize),
    End(usize),
    Wakeup,
}

fn run(setup: Setup, arrivals: &[Arrival]) -> Outcome {
    let base = Instant::now();
    let at = |seconds: f64| base + Duration::from_secs_f64(seconds);
    let mut fleet = Fleet::new(Config { policy: setup.policy, ..Config::default() });
    let mut engines: BTreeMap<String, Engine> = BTreeMap::new();
    // Delay of the prefills of longer prompts by short ones that overtook them.
    let mut delays: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut events: BTreeSet<(Instant, Event)> = BTreeSet::new();
    let mut outcome = Outcome::default();
    let mut next = 0;
    let mut last_announced = base;
    announce_all(&mut fleet, base, setup);
    while next < arrivals.len() || events.iter().any(|(_, e)| *e != Event::Wakeup) {
        let arrival = arrivals.get(next).map(|a| at(a.at));
        let event = events.first().copied();
        let is_arrival = event.is_none_or(|(t, _)| arrival.is_some_and(|a| a <= t));
        let now = if is_arrival { arrival.expect("an arrival remains") } else { event.unwrap().0 };
        if now - last_announced >= Duration::from_secs(1) {
            last_announced = now;
            announce_all(&mut fleet, now, setup);
        }
        if is_arrival {
            submit(&mut fleet, now, next, &arrivals[next], &mut outcome);
            next += 1;
        } else {
            let (_, event) = events.pop_first().expect("an event is due");
            if let Event::FirstToken(index) = event
                && let Some(delay) = delays.remove(&index)
            {
                events.insert((now + delay, event));
                continue;
            }
            apply_event(&mut fleet, base, now, event, arrivals, &mut outcome, &mut events);
        }
        for refused in fleet.refuse_expired(now) {
            let index = index_of(&refused.request);
            outcome.refused += u32::from(arrivals[index].at > WARM_UP_SECONDS);
        }
        for dispatch in fleet.dispatch(now) {
            let (at, event) = send(now, setup, &dispatch, arrivals, &mut engines, &mut delays);
            events.insert((at, event));
        }
        if let Some(wakeup) = fleet.next_wakeup() {
            events.retain(|(_, e)| *e != Event::Wakeup);
            events.insert((wakeup.max(now + Duration::from_millis(1)), Event::Wakeup));
        }
    }
    outcome
}

fn submit(fleet: &mut Fleet, now: Instant, index: usize, arrival: &Arrival, outcome: &mut Outcome) {
    let job = Job {
        request: format!("{index}"),
        model: "plan".into(),
        priority: Priority::Ordinary,
        prompt_tokens: arrival.tokens,
        max_output_tokens: OUTPUT_TOKENS,
        prefixes: Vec::new(),
        deadline: now + Duration::from_secs_f64(time_limit(arrival.tokens)),
        avoid: Vec::new(),
        is_suspect: false,
    };
    let is_counted = arrival.at > WARM_UP_SECONDS;
    let is_refused = fleet.submit(now, job).is_err();
    outcome.offered += u32::from(is_counted);
    outcome.refused += u32::from(is_counted && is_refused);
}

/// Simulates the prefill of a dispatched request and returns the time of its first token.
fn send(
    now: Instant,
    setup: Setup,
    dispatch: &Dispatch,
    arrivals: &[Arrival],
    engines: &mut BTreeMap<String, Engine>,
    delays: &mut BTreeMap<usize, Duration>,
) -> (Instant, Event) {
    let index = index_of(&dispatch.request);
    let upstream = dispatch.placement.reservations()[0].upstream.clone();
    let idle = Engine { short_done: now, longer_done: now, longer: index };
    let engine = engines.entry(upstream).or_insert(idle);
    let prefill =
        Duration::from_secs_f64(arrivals[index].tokens as f64 / PREFILL_TOKENS_PER_SECOND);
    let is_short = arrivals[index].class == LengthClass::Short;
    if setup.honours_priority && is_short && engine.longer_done > now {
        engine.short_done = engine.short_done.max(now + CHUNK_DURATION) + prefill;
        engine.longer_done += prefill;
        *delays.entry(engine.longer).or_default() += prefill;
        return (engine.short_done, Event::FirstToken(index));
    }
    let done = now.max(engine.short_done).max(engine.longer_done) + prefill;
    if is_short {
        engine.short_done = done;
    } else {
        engine.longer_done = done;
        engine.longer = index;
    }
    (done, Event::FirstToken(index))
}

fn apply_event(
    fleet: &mut Fleet,
    base: Instant,
    now: Instant,
    event: Event,
    arrivals: &[Arrival],
    outcome: &mut Outcome,
    events: &mut BTreeSet<(Instant, Event)>,
) {
    let seconds = (now - base).as_secs_f64();
    match event {
        Event::Wakeup => events.retain(|(_, e)| *e != Event::Wakeup),
        Event::FirstToken(index) => {
            fleet.first_token_received(now, &format!("{index}"), None);
            let arrival = &arrivals[index];
            if arrival.at > WARM_UP_SECONDS {
                let times = outcome.first_token.entry(arrival.class).or_default();
                times.push(seconds - arrival.at);
            }
            let decode_time =
                Duration::from_secs_f64(OUTPUT_TOKENS as f64 / DECODE_TOKENS_PER_SECOND);
            events.insert((now + decode_time, Event::End(index)));
        }
        Event::End(index) => {
            let arrival = &arrivals[index];
            let used = TokenUsage {
                prompt_tokens: arrival.tokens,
                cached_tokens: 0,
                output_tokens: OUTPUT_TOKENS,
            };
            fleet.request_finished(now, &format!("{index}"), used);
            let is_in_time = seconds - arrival.at <= time_limit(arrival.tokens);
            let is_counted = arrival.at > WARM_UP_SECONDS;
            if is_counted && is_in_time && seconds <= RUN_SECONDS {
                outcome.in_time += 1;
                outcome.tokens_in_time += arrival.tokens as f64;
            }
            outcome.late += u32::from(is_counted && !is_in_time);
        }
    }
}

fn index_of(request: &str) -> usize {
    request.parse().expect("requests are named by their index")
}

fn announce_all(fleet: &mut Fleet, now: Instant, setup: Setup) {
    for i in 0..setup.upstreams {
        let info = UpstreamInfo {
            id: format!("u{i:02}"),
            incarnation: 1,
            kind: UpstreamKind::Engine,
            models: vec!["plan".into()],
            memory_tokens: 400_000,
            max_running: 32,
            prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND as u64,
            decode_tokens_per_second: DECODE_TOKENS_PER_SECOND as u64,
            ramp: Ramp::NONE,
            uptime: Duration::ZERO,
            is_draining: false,
            transfers_kv_cache: true,
            honours_priority: setup.honours_priority,
        };
        fleet.announce(now, info).expect("the upstream limit is not reached");
    }
}
