//! One run of a pattern.

use crate::{
    pattern::{Pattern, RequestKind},
    policy::{Policy, PolicyState, engine_index},
};
use fake::{Millis, PassEngines};
use fastrand::Rng;
use grant::{Decision, PlacementRequest, PlacementRequestId};
use routing::EngineProfile;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::Tokens;

/// Time between two looks of the policy, in milliseconds: as daemons look at those that wait.
const STEP_MS: Millis = 5.0;
/// Time after the last arrival in which answers end, in milliseconds: longer than any caller
/// waits.
const RUN_OUT_MS: Millis = 20_000.0;
/// Tokens that an engine writes between two events.
const TOKENS_PER_EVENT: f64 = 34.0;

/// What became of a kind.
#[derive(Clone, Debug, Default)]
pub struct KindResult {
    /// Requests, each counted once.
    pub requests: usize,
    /// Those whose first event and pauses kept the targets.
    pub on_time: usize,
    /// Those that were answered later.
    pub late: usize,
    /// Those that were not answered.
    pub refused: usize,
    /// Those that came back after a refusal.
    pub retried: usize,
    /// Worth of requests that came back and were refused again.
    pub refused_again_worth: f64,
    /// Worth of all, had they been on time.
    pub total_worth: f64,
    /// Worth of requests that were held for long and then refused: nothing for those
    /// refused within an eighth of their target, all for those held for three quarters of
    /// their time.
    pub holding_cost: f64,
    /// Worth of those that were answered.
    pub earned_worth: f64,
}

struct Request {
    kind: RequestKind,
    ask: PlacementRequest,
    arrived: Millis,
    /// When its caller first asked.
    first_asked: Millis,
    is_return: bool,
    /// Whether it came back after its refusal.
    has_returned: bool,
    worth: f64,
    is_placed: bool,
    has_begun: bool,
    has_ended: bool,
    refused_at: Option<Millis>,
    /// How long it was told to stay away, until that is taken in.
    refused_for: Option<Duration>,
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// By the names of the kinds.
    pub kinds: BTreeMap<&'static str, KindResult>,
    /// Length of each answered prompt, and the time from when its caller first asked to its
    /// first event, in milliseconds.
    pub first_events: Vec<(Tokens, Millis)>,
}

/// Plays a pattern on `engines` engines and lets it run out. Equal seeds give equal runs.
pub fn play(policy: &Policy, pattern: &Pattern, engines: usize, seed: u64) -> RunResult {
    let mut rng = Rng::with_seed(seed);
    let mut requests = arrivals(pattern, &mut rng);
    let start = Instant::now();
    let mut policy_state = PolicyState::new(policy, engines, start, seed);
    let mut fleet = PassEngines::new(EngineProfile::example(), engines);
    // Those that come back after a refusal are added to the requests.
    let mut coming: BTreeSet<(u64, usize)> =
        requests.iter().enumerate().map(|(number, r)| (micros(r.arrived), number)).collect();
    let mut open: Vec<usize> = Vec::new();
    let mut now: Millis = 0.0;
    let end = pattern.phases.len() as f64 * pattern.phase_s * 1e3 + RUN_OUT_MS;
    while now < end {
        fleet.advance(now);
        let at = start + Duration::from_secs_f64(now / 1e3);
        for number in &open {
            report(&mut requests[*number], *number, &fleet, &mut policy_state, at);
        }
        let mut decided = policy_state.poll(at);
        while let Some((_, number)) = coming.first().copied().filter(|c| c.0 <= micros(now)) {
            coming.pop_first();
            open.push(number);
        }
        // Entry daemons repeat the questions that wait.
        for number in &open {
            let request = &requests[*number];
            if !request.is_placed && !request.has_ended {
                let decision = policy_state.ask(at, &request.ask);
                decided.push((request.ask.id.clone(), decision));
            }
        }
        for (id, decision) in decided {
            let number = id.number as usize;
            apply(&mut requests[number], number, decision, &mut fleet, now);
            let Some(after) = requests[number].refused_for.take().filter(|_| pattern.callers_retry)
            else {
                continue;
            };
            let Some(mut back) = requests[number].come_back(now, after) else { continue };
            back.ask.id.number = requests.len() as u64;
            coming.insert((micros(back.arrived), requests.len()));
            requests.push(back);
        }
        open.retain(|number| !requests[*number].has_ended);
        now += STEP_MS;
    }
    tally(&requests, &fleet)
}

fn micros(at: Millis) -> u64 {
    (at * 1e3) as u64
}

fn arrivals(pattern: &Pattern, rng: &mut Rng) -> Vec<Request> {
    let seconds = pattern.phase_s;
    let mut requests = Vec::new();
    for (i, kinds) in pattern.phases.iter().enumerate() {
        let begin = i as f64 * seconds;
        for kind in kinds {
            let mut at = 0.0;
            loop {
                at -= rng.f64().max(1e-9).ln() / kind.per_s;
                if at >= seconds {
                    break;
                }
                requests.push(request(kind, (begin + at) * 1e3, rng));
            }
        }
    }
    requests.sort_by(|a, b| a.arrived.total_cmp(&b.arrived));
    for (number, request) in requests.iter_mut().enumerate() {
        request.ask.id.number = number as u64;
        request.ask.fingerprint = number as u64 + 1;
    }
    requests
}

fn request(kind: &RequestKind, arrived: Millis, rng: &mut Rng) -> Request {
    let spread = kind.prompt_spread;
    let normal =
        (-2.0 * rng.f64().max(1e-9).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let length = kind.prompt_mean * (spread * normal - spread * spread / 2.0).exp();
    let length = length.clamp(100.0, kind.prompt_max);
    let output = (kind.events * TOKENS_PER_EVENT) as Tokens;
    let id = PlacementRequestId { daemon: "entry".to_owned(), number: 0 };
    let mut ask = PlacementRequest::new(id, "s", length as u64, output);
    ask.target_remaining = Duration::from_millis(kind.first_event_target_ms);
    ask.pause_target = Duration::from_millis(kind.pause_target_ms);
    ask.deadline_remaining = Duration::from_millis(kind.patience_ms);
    ask.time_remaining = Duration::from_millis(kind.deadline_ms);
    let size = (0.3 + 0.7 * length / kind.prompt_mean).min(4.0);
    Request {
        kind: *kind,
        ask,
        arrived,
        first_asked: arrived,
        is_return: false,
        has_returned: false,
        worth: size,
        is_placed: false,
        has_begun: false,
        has_ended: false,
        refused_at: None,
        refused_for: None,
    }
}

/// Takes in a decision.
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
            let helpers = grant.helpers.iter().map(|h| engine_index(&h.upstream));
            let helpers: Vec<usize> = helpers.collect();
            let main = engine_index(&grant.upstream);
            fleet.submit(
                now,
                number,
                main,
                &helpers,
                request.ask.prompt_tokens,
                request.ask.max_output_tokens,
            );
        }
        Decision::Refused { retry_after, .. } if !request.has_ended => {
            request.has_ended = true;
            request.refused_at = Some(now);
            request.refused_for = Some(retry_after);
        }
        Decision::Granted(_) | Decision::Refused { .. } | Decision::Waiting => {}
    }
}

impl Request {
    fn come_back(&mut self, now: Millis, retry_after: Duration) -> Option<Request> {
        let left = self.first_asked + self.kind.deadline_ms as f64 - now;
        if self.is_return || left <= 0.0 {
            return None;
        }
        self.has_returned = true;
        // Callers wait as told, but not beyond a third of their time.
        let arrived = now + (retry_after.as_secs_f64() * 1e3).min(left / 3.0);
        let left = self.first_asked + self.kind.deadline_ms as f64 - arrived;
        let mut ask = self.ask.clone();
        let patience = Duration::from_millis(self.kind.patience_ms);
        ask.time_remaining = Duration::from_secs_f64(left / 1e3);
        ask.deadline_remaining = patience.min(ask.time_remaining);
        Some(Request {
            kind: self.kind,
            ask,
            arrived,
            first_asked: self.first_asked,
            is_return: true,
            has_returned: false,
            worth: self.worth,
            is_placed: false,
            has_begun: false,
            has_ended: false,
            refused_at: None,
            refused_for: None,
        })
    }
}

fn report(
    request: &mut Request,
    number: usize,
    fleet: &PassEngines,
    policy_state: &mut PolicyState,
    at: Instant,
) {
    let Some(course) = fleet.course(number).filter(|_| !request.has_ended) else { return };
    if course.first_event.is_some() && !request.has_begun {
        request.has_begun = true;
        policy_state.began(at, &request.ask.id);
    }
    if course.ended.is_some() {
        request.has_ended = true;
        policy_state.ended(at, &request.ask.id);
    }
}

fn tally(requests: &[Request], fleet: &PassEngines) -> RunResult {
    let mut first_events = Vec::new();
    let mut tallies: BTreeMap<&'static str, KindResult> = BTreeMap::new();
    for (number, request) in requests.iter().enumerate() {
        let kind = &request.kind;
        let tally = tallies.entry(kind.name).or_default();
        let worth = kind.worth * request.worth;
        if !request.is_return {
            tally.requests += 1;
            tally.total_worth += worth;
        }
        let course = fleet.course(number);
        if course.is_none() {
            tally.holding_cost += worth * part_held(request);
        }
        if request.has_returned {
            tally.retried += 1;
            continue;
        }
        let first = course.and_then(|c| c.first_event);
        let ended = course.and_then(|c| c.ended).unwrap_or(f64::MAX);
        let is_cut = ended - request.first_asked > kind.deadline_ms as f64;
        if is_cut || first.is_none_or(|at| at - request.arrived > kind.patience_ms as f64) {
            tally.refused += 1;
            if request.is_return {
                tally.refused_again_worth += worth;
            }
            continue;
        }
        let first = first.unwrap_or(f64::MAX) - request.first_asked;
        first_events.push((request.ask.prompt_tokens, first));
        let pause = course.map_or(f64::MAX, |c| c.longest_pause);
        if first <= kind.first_event_target_ms as f64 && pause <= kind.pause_target_ms as f64 {
            tally.on_time += 1;
            tally.earned_worth += worth;
        } else {
            tally.late += 1;
            tally.earned_worth += kind.late_worth * request.worth;
        }
    }
    RunResult { kinds: tallies, first_events }
}

/// How long a refused request was held, between an eighth of its target and three quarters
/// of its time.
fn part_held(request: &Request) -> f64 {
    let kind = &request.kind;
    let held = request.refused_at.unwrap_or(f64::MAX) - request.arrived;
    let free = kind.first_event_target_ms as f64 / 8.0;
    let most = kind.patience_ms as f64 * 0.75;
    ((held - free) / (most - free)).clamp(0.0, 1.0)
}
