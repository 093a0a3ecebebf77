//! One simulated run of a pattern.

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

/// Interval at which the policy is polled, in milliseconds: that at which daemons poll their
/// waiting requests.
const POLL_INTERVAL_MS: Millis = 5.0;
/// Time that is simulated after the last phase so that responses can end, in milliseconds: longer
/// than any caller waits.
const DRAIN_MS: Millis = 20_000.0;
/// Tokens that an engine decodes between two events of a response.
const TOKENS_PER_EVENT: f64 = 34.0;

/// Results of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindResult {
    /// Number of requests; a retry isn't counted again.
    pub requests: usize,
    /// Number whose first event and pauses met the targets.
    pub on_time: usize,
    /// Number that got a response but missed a target.
    pub late: usize,
    /// Number that got no response in time.
    pub refused: usize,
    /// Number that were retried after a refusal.
    pub retried: usize,
    /// Worth of the requests whose retry got no response in time either.
    pub refused_again_worth: f64,
    /// Worth of all requests, had they been on time.
    pub total_worth: f64,
    /// Worth lost on requests that waited and were never placed: nothing for a refusal within an
    /// eighth of the target for the first event, the whole worth after three quarters of
    /// [`RequestKind::patience_ms`] or without a refusal, and in proportion between these.
    pub holding_cost: f64,
    /// Worth of the requests that got a response; late ones count with their late worth.
    pub earned_worth: f64,
}

/// A request of a caller, or its retry, and its state in the run.
struct Request {
    kind: RequestKind,
    placement: PlacementRequest,
    arrived: Millis,
    /// Arrival of the original request; equals `arrived` unless this is a retry.
    first_arrived: Millis,
    is_retry: bool,
    /// Whether its caller retried after the refusal.
    has_retried: bool,
    /// Worth relative to a request of mean length.
    worth_factor: f64,
    is_granted: bool,
    has_first_event: bool,
    has_ended: bool,
    refused_at: Option<Millis>,
    /// Delay that the refusal requires before a retry; taken when the refusal is handled.
    retry_after: Option<Duration>,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Results by the name of the kind.
    pub kinds: BTreeMap<&'static str, KindResult>,
    /// For each request with a response: the length of its prompt in tokens, and the time from
    /// the arrival of the original request to the first event, in milliseconds.
    pub first_events: Vec<(Tokens, Millis)>,
}

/// Simulates a pattern on `engines` engines, and 20 s more so that responses can end. Equal seeds
/// give equal results.
pub fn play(policy: &Policy, pattern: &Pattern, engines: usize, seed: u64) -> RunResult {
    let mut rng = Rng::with_seed(seed);
    let mut requests = arrivals(pattern, &mut rng);
    let start = Instant::now();
    let mut policy_state = PolicyState::new(policy, engines, start, seed);
    let mut fleet = PassEngines::new(EngineProfile::example(), engines);
    // Requests by time of arrival. Retries are added as new requests.
    let mut arriving: BTreeSet<(u64, usize)> =
        requests.iter().enumerate().map(|(number, r)| (micros(r.arrived), number)).collect();
    let mut active: Vec<usize> = Vec::new();
    let mut now: Millis = 0.0;
    let end = pattern.phases.len() as f64 * pattern.phase_s * 1e3 + DRAIN_MS;
    while now < end {
        fleet.advance(now);
        let at = start + Duration::from_secs_f64(now / 1e3);
        for number in &active {
            report_progress(&mut requests[*number], *number, &fleet, &mut policy_state, at);
        }
        let mut decided = policy_state.poll(at);
        while let Some((_, number)) = arriving.first().copied().filter(|next| next.0 <= micros(now))
        {
            arriving.pop_first();
            active.push(number);
        }
        // Entry daemons repeat the placement requests that wait for a grant.
        for number in &active {
            let request = &requests[*number];
            if !request.is_granted && !request.has_ended {
                let decision = policy_state.request_placement(at, &request.placement);
                decided.push((request.placement.id.clone(), decision));
            }
        }
        for (id, decision) in decided {
            let number = id.number as usize;
            apply(&mut requests[number], number, decision, &mut fleet, now);
            let Some(after) = requests[number].retry_after.take().filter(|_| pattern.callers_retry)
            else {
                continue;
            };
            let Some(mut retry) = requests[number].schedule_retry(now, after) else { continue };
            retry.placement.id.number = requests.len() as u64;
            arriving.insert((micros(retry.arrived), requests.len()));
            requests.push(retry);
        }
        active.retain(|number| !requests[*number].has_ended);
        now += POLL_INTERVAL_MS;
    }
    count_results(&requests, &fleet)
}

/// Converts to whole microseconds, which have a total order.
fn micros(at: Millis) -> u64 {
    (at * 1e3) as u64
}

/// Draws the requests of all phases, ordered by arrival.
fn arrivals(pattern: &Pattern, rng: &mut Rng) -> Vec<Request> {
    let seconds = pattern.phase_s;
    let mut requests = Vec::new();
    for (i, kinds) in pattern.phases.iter().enumerate() {
        let start = i as f64 * seconds;
        for kind in kinds {
            let mut at = 0.0;
            loop {
                at -= rng.f64().max(1e-9).ln() / kind.per_s;
                if at >= seconds {
                    break;
                }
                requests.push(request(kind, (start + at) * 1e3, rng));
            }
        }
    }
    requests.sort_by(|a, b| a.arrived.total_cmp(&b.arrived));
    for (number, request) in requests.iter_mut().enumerate() {
        request.placement.id.number = number as u64;
        request.placement.request_hash = number as u64 + 1;
    }
    requests
}

/// Draws the length of a prompt (log-normal, by the Box-Muller transform) and builds its request.
fn request(kind: &RequestKind, arrived: Millis, rng: &mut Rng) -> Request {
    let spread = kind.prompt_spread;
    let normal =
        (-2.0 * rng.f64().max(1e-9).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let length = kind.prompt_mean * (spread * normal - spread * spread / 2.0).exp();
    let length = length.clamp(100.0, kind.prompt_max);
    let output = (kind.events * TOKENS_PER_EVENT) as Tokens;
    let id = PlacementRequestId { daemon: "entry".to_owned(), number: 0 };
    let mut placement = PlacementRequest::new(id, "s", length as u64, output);
    placement.first_event_target_remaining = Duration::from_millis(kind.first_event_target_ms);
    placement.pause_target = Duration::from_millis(kind.pause_target_ms);
    placement.first_event_deadline_remaining = Duration::from_millis(kind.patience_ms);
    placement.response_time_remaining = Duration::from_millis(kind.deadline_ms);
    let worth_factor = (0.3 + 0.7 * length / kind.prompt_mean).min(4.0);
    Request {
        kind: *kind,
        placement,
        arrived,
        first_arrived: arrived,
        is_retry: false,
        has_retried: false,
        worth_factor,
        is_granted: false,
        has_first_event: false,
        has_ended: false,
        refused_at: None,
        retry_after: None,
    }
}

/// Applies a decision of the policy to a request.
fn apply(
    request: &mut Request,
    number: usize,
    decision: Decision,
    fleet: &mut PassEngines,
    now: Millis,
) {
    match decision {
        Decision::Granted(grant) if !request.is_granted => {
            request.is_granted = true;
            let helpers = grant.helpers.iter().map(|h| engine_index(&h.upstream));
            let helpers: Vec<usize> = helpers.collect();
            let main = engine_index(&grant.upstream);
            fleet.submit(
                now,
                number,
                main,
                &helpers,
                request.placement.prompt_tokens,
                request.placement.max_output_tokens,
            );
        }
        Decision::Refused { retry_after, .. } if !request.has_ended => {
            request.has_ended = true;
            request.refused_at = Some(now);
            request.retry_after = Some(retry_after);
        }
        Decision::Granted(_) | Decision::Refused { .. } | Decision::Waiting => {}
    }
}

impl Request {
    /// The retry after a refusal, or `None` if this is a retry or no time remains.
    fn schedule_retry(&mut self, now: Millis, retry_after: Duration) -> Option<Request> {
        let remaining = self.first_arrived + self.kind.deadline_ms as f64 - now;
        if self.is_retry || remaining <= 0.0 {
            return None;
        }
        self.has_retried = true;
        // Callers wait as told, but for at most a third of their remaining time.
        let arrived = now + (retry_after.as_secs_f64() * 1e3).min(remaining / 3.0);
        let remaining = self.first_arrived + self.kind.deadline_ms as f64 - arrived;
        let mut placement = self.placement.clone();
        let patience = Duration::from_millis(self.kind.patience_ms);
        placement.response_time_remaining = Duration::from_secs_f64(remaining / 1e3);
        placement.first_event_deadline_remaining = patience.min(placement.response_time_remaining);
        Some(Request {
            kind: self.kind,
            placement,
            arrived,
            first_arrived: self.first_arrived,
            is_retry: true,
            has_retried: false,
            worth_factor: self.worth_factor,
            is_granted: false,
            has_first_event: false,
            has_ended: false,
            refused_at: None,
            retry_after: None,
        })
    }
}

/// Reports the first event and the end of a request to the policy.
fn report_progress(
    request: &mut Request,
    number: usize,
    fleet: &PassEngines,
    policy_state: &mut PolicyState,
    at: Instant,
) {
    let Some(times) = fleet.request_times(number).filter(|_| !request.has_ended) else { return };
    if times.first_event.is_some() && !request.has_first_event {
        request.has_first_event = true;
        policy_state.first_event_received(at, &request.placement.id);
    }
    if times.ended.is_some() {
        request.has_ended = true;
        policy_state.request_ended(at, &request.placement.id);
    }
}

/// Compares each request with its targets and adds up the results by kind.
fn count_results(requests: &[Request], fleet: &PassEngines) -> RunResult {
    let mut first_events = Vec::new();
    let mut kinds: BTreeMap<&'static str, KindResult> = BTreeMap::new();
    for (number, request) in requests.iter().enumerate() {
        let kind = &request.kind;
        let result = kinds.entry(kind.name).or_default();
        let worth = kind.worth * request.worth_factor;
        if !request.is_retry {
            result.requests += 1;
            result.total_worth += worth;
        }
        let times = fleet.request_times(number);
        if times.is_none() {
            result.holding_cost += worth * held_fraction(request);
        }
        if request.has_retried {
            result.retried += 1;
            continue;
        }
        let first = times.and_then(|t| t.first_event);
        let ended = times.and_then(|t| t.ended).unwrap_or(f64::MAX);
        let is_past_deadline = ended - request.first_arrived > kind.deadline_ms as f64;
        if is_past_deadline || first.is_none_or(|at| at - request.arrived > kind.patience_ms as f64)
        {
            result.refused += 1;
            if request.is_retry {
                result.refused_again_worth += worth;
            }
            continue;
        }
        let first = first.unwrap_or(f64::MAX) - request.first_arrived;
        first_events.push((request.placement.prompt_tokens, first));
        let pause = times.map_or(f64::MAX, |t| t.longest_pause);
        if first <= kind.first_event_target_ms as f64 && pause <= kind.pause_target_ms as f64 {
            result.on_time += 1;
            result.earned_worth += worth;
        } else {
            result.late += 1;
            result.earned_worth += kind.late_worth * request.worth_factor;
        }
    }
    RunResult { kinds, first_events }
}

/// How long a request waited until its refusal, as a fraction from 0 (an eighth of the target for
/// the first event) to 1 (three quarters of its caller's patience, or never refused).
fn held_fraction(request: &Request) -> f64 {
    let kind = &request.kind;
    let held_ms = request.refused_at.unwrap_or(f64::MAX) - request.arrived;
    let free_ms = kind.first_event_target_ms as f64 / 8.0;
    let full_ms = kind.patience_ms as f64 * 0.75;
    ((held_ms - free_ms) / (full_ms - free_ms)).clamp(0.0, 1.0)
}
