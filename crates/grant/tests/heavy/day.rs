//! Plays a load pattern on engines in virtual time, placed by the dispatcher.

use fake::{Millis, PassEngines};
use fastrand::Rng;
use grant::{Ask, AskId, Decision, Directory, Dispatcher, DispatcherConfig, End, Registration};
use routing::{EngineProfile, Service};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_s: f64,
    pub(crate) prompt_mean: f64,
    /// Standard deviation of the logarithm of the length.
    pub(crate) prompt_spread: f64,
    pub(crate) prompt_max: f64,
    pub(crate) events: f64,
    pub(crate) target_ms: u64,
    pub(crate) pause_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
}

/// What became of a kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: usize,
    pub(crate) on_time: usize,
    pub(crate) late: usize,
    pub(crate) refused: usize,
    pub(crate) owed: f64,
    /// Worth of requests that were held for long and then refused: nothing for those
    /// refused within an eighth of their target, all for those held for three quarters of
    /// their time.
    pub(crate) held: f64,
    pub(crate) earned: f64,
}

struct Request {
    kind: Kind,
    ask: Ask,
    arrived: Millis,
    worth: f64,
    is_placed: bool,
    has_begun: bool,
    has_ended: bool,
    refused_at: Option<Millis>,
}

/// Plays `seconds` of a pattern on `engines` engines and lets it run out.
pub(crate) fn play(
    kinds: &[Kind],
    engines: usize,
    seconds: f64,
    seed: u64,
) -> BTreeMap<&'static str, Tally> {
    let mut rng = Rng::with_seed(seed);
    let mut requests = arrivals(kinds, seconds, &mut rng);
    let start = Instant::now();
    let mut directory = Directory::new();
    for i in 0..engines {
        let address = format!("10.0.0.{i}:80").parse().expect("an address");
        directory.register(start, Registration::new(&format!("e{i:03}"), "s", address));
    }
    let mut service = Service::new("s");
    service.engine = Some(EngineProfile::example());
    // The directory is never refreshed here, so silence must not count.
    let cfg = DispatcherConfig { silence: Duration::MAX, ..DispatcherConfig::default() };
    let mut dispatcher = Dispatcher::new(cfg);
    dispatcher.set_services(&[service]);
    let mut fleet = PassEngines::new(EngineProfile::example(), engines);
    let mut next = 0;
    let mut now: Millis = 0.0;
    let end = seconds * 1e3 + 20_000.0;
    while now < end {
        fleet.advance(now);
        let at = start + Duration::from_secs_f64(now / 1e3);
        report(&mut requests[..next], &fleet, &mut dispatcher, at);
        let mut decided = dispatcher.poll(at, &directory);
        while next < requests.len() && requests[next].arrived <= now {
            let ask = requests[next].ask.clone();
            decided.push((ask.id.clone(), dispatcher.ask(at, &directory, ask)));
            next += 1;
        }
        // Entry daemons repeat the questions that wait.
        for request in &requests[..next] {
            if !request.is_placed && !request.has_ended {
                let decision = dispatcher.ask(at, &directory, request.ask.clone());
                decided.push((request.ask.id.clone(), decision));
            }
        }
        for (id, decision) in decided {
            let number = usize::try_from(id.number).expect("an index");
            apply(&mut requests[number], number, decision, &mut fleet, now);
        }
        now += 5.0;
    }
    tally(&requests, &fleet)
}

fn arrivals(kinds: &[Kind], seconds: f64, rng: &mut Rng) -> Vec<Request> {
    let mut requests = Vec::new();
    for kind in kinds {
        let mut at = 0.0;
        loop {
            at -= rng.f64().max(1e-9).ln() / kind.per_s;
            if at >= seconds {
                break;
            }
            requests.push(request(kind, at * 1e3, rng));
        }
    }
    requests.sort_by(|a, b| a.arrived.total_cmp(&b.arrived));
    for (number, request) in requests.iter_mut().enumerate() {
        request.ask.id.number = number as u64;
    }
    requests
}

fn request(kind: &Kind, arrived: Millis, rng: &mut Rng) -> Request {
    let spread = kind.prompt_spread;
    let normal =
        (-2.0 * rng.f64().max(1e-9).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let length = kind.prompt_mean * (spread * normal - spread * spread / 2.0).exp();
    let length = length.clamp(100.0, kind.prompt_max);
    let output = (kind.events * 34.0) as u64;
    let id = AskId { daemon: "entry".to_owned(), number: 0 };
    let mut ask = Ask::new(id, "s", length as u64, output);
    ask.target_left = Duration::from_millis(kind.target_ms);
    ask.pause_target = Duration::from_millis(kind.pause_ms);
    ask.deadline_left = Duration::from_millis(kind.deadline_ms);
    let size = (0.3 + 0.7 * length / kind.prompt_mean).min(4.0);
    Request {
        kind: *kind,
        ask,
        arrived,
        worth: size,
        is_placed: false,
        has_begun: false,
        has_ended: false,
        refused_at: None,
    }
}

fn apply(
    request: &mut Request,
    number: usize,
    decision: Decision,
    fleet: &mut PassEngines,
    now: Millis,
) {
    match decision {
        Decision::Granted(grant) if !request.is_placed => {
            request.is_placed = true;
            let index = |id: &str| id[1..].parse::<usize>().expect("an index");
            let helpers: Vec<usize> = grant.helpers.iter().map(|h| index(&h.upstream)).collect();
            let ask = &request.ask;
            fleet.submit(now, number, index(&grant.upstream), &helpers, ask.prompt, ask.output);
        }
        Decision::Refused { .. } => {
            request.has_ended = true;
            request.refused_at = Some(now);
        }
        Decision::Granted(_) | Decision::Waiting => {}
    }
}

fn report(requests: &mut [Request], fleet: &PassEngines, dispatcher: &mut Dispatcher, at: Instant) {
    for (number, request) in requests.iter_mut().enumerate() {
        let Some(course) = fleet.course(number).filter(|_| !request.has_ended) else { continue };
        if course.first_event.is_some() && !request.has_begun {
            request.has_begun = true;
            dispatcher.began(at, &request.ask.id);
        }
        if course.ended.is_some() {
            request.has_ended = true;
            dispatcher.ended(at, &request.ask.id, End::Whole);
        }
    }
}

fn tally(requests: &[Request], fleet: &PassEngines) -> BTreeMap<&'static str, Tally> {
    let mut tallies: BTreeMap<&'static str, Tally> = BTreeMap::new();
    for (number, request) in requests.iter().enumerate() {
        let kind = &request.kind;
        let tally = tallies.entry(kind.name).or_default();
        tally.asked += 1;
        tally.owed += kind.worth * request.worth;
        let course = fleet.course(number);
        let began = course.and_then(|c| c.first_event).map(|at| at - request.arrived);
        if began.is_none_or(|ms| ms > kind.deadline_ms as f64) {
            tally.refused += 1;
            if course.is_none() {
                tally.held += kind.worth * request.worth * part_held(request);
            }
            continue;
        }
        let first = course.and_then(|c| c.first_event).unwrap_or(f64::MAX) - request.arrived;
        let pause = course.map_or(f64::MAX, |c| c.longest_pause);
        if first <= kind.target_ms as f64 && pause <= kind.pause_ms as f64 {
            tally.on_time += 1;
            tally.earned += kind.worth * request.worth;
        } else {
            tally.late += 1;
            tally.earned += kind.late_worth * request.worth;
        }
    }
    tallies
}

/// How long a refused request was held, between an eighth of its target and three quarters
/// of its time.
fn part_held(request: &Request) -> f64 {
    let kind = &request.kind;
    let held = request.refused_at.unwrap_or(f64::MAX) - request.arrived;
    let free = kind.target_ms as f64 / 8.0;
    let most = kind.deadline_ms as f64 * 0.75;
    ((held - free) / (most - free)).clamp(0.0, 1.0)
}
