//! Choice of the engines that prefill and decode a request.
//!
//! Engines decode in passes, and prefill makes a pass longer. Three rules follow:
//!
//! * A request is placed on an engine only if the next pass stays within the pause targets of the
//!   requests there. Long prompts are therefore prefilled on engines that don't decode.
//! * Short prompts fill engines that run short prompts already, up to a comfortable load, before
//!   they use an idle engine. This keeps the other engines free for long prompts.
//! * A long prompt is prefilled by as many engines as its first event needs to be on time. Decoding
//!   engines whose requests tolerate pauses at least as long as this prompt's each prefill a part
//!   within their passes; as few idle engines as possible prefill the rest.

use crate::{
    engine::{Engine, PrefillPart, prefill_part},
    request::PlacementRequest,
};
use routing::EngineProfile;
use std::time::{Duration, Instant};
use wire::Tokens;

// The shares below that state no reason are those that earn most on the load patterns of the crate
// `load`.

/// Share of the remaining time to the target within which an expected first event counts as
/// comfortably on time.
const COMFORTABLE_SHARE: f64 = 0.55;
/// Share of the remaining time to the target that an expected first event may take, or of that to
/// the deadline if the target can't be met. The rest is for what the expectation omits:
/// connections, network and the current pass.
const ON_TIME_SHARE: f64 = 0.85;
/// Replaces [`COMFORTABLE_SHARE`] while long prompts wait for idle engines.
const COMFORTABLE_SHARE_LONG_WAITING: f64 = 0.7;
/// Prefill time, as a multiple of the pause target, above which short prompts make room for a long
/// prompt. Prompts below this length are worth less than the short prompts that would be late: they
/// are the longer ones of the request kind `review` of the crate `load`, which has about 45,000
/// tokens on average.
const NEEDS_IDLE_PAUSE_TARGETS: f64 = 2.0;
/// Share of an engine's slots that short prompts fill before they use another engine.
const COMFORTABLE_SLOT_SHARE: f64 = 0.9;
/// Share of a pause target that an expected pass may take.
const PAUSE_SHARE: f64 = 0.97;
/// Share of a pause target within which a prompt has to be prefilled to count as short: it then
/// fits between the events of other requests.
const SHORT_PROMPT_SHARE: f64 = 0.81;
/// Longest pass that a late short prompt may cause, as a multiple of the shortest pause target of
/// the engine's requests.
const MAX_LATE_PASS_PAUSE_TARGETS: f64 = 1.25;
/// Share of the remaining time to the target within which an engine has to finish its current
/// prefill for another prompt to queue behind it.
const PREFILL_SOON_SHARE: f64 = 0.15;
/// Share of the engines that long prompts leave idle, so that a short one finds a place.
const RESERVED_IDLE_SHARE: f64 = 0.05;
/// Factor on the prefill time by the profile's rates, for the time that steps need besides the
/// chunks.
const STEP_OVERHEAD: f64 = 1.06;
/// Maximum number of engines that prefill one prompt: the decoding engine and 16 helpers, the most
/// that upstreams accept.
pub(crate) const MAX_PREFILL_ENGINES: usize = 17;
/// Share of the engines that late prompts leave idle in addition, for prompts that can still be on
/// time.
const LATE_RESERVED_IDLE_SHARE: f64 = 0.2;
/// Share of an engine's memory that one request reserves at most: engines round up to their blocks.
const MAX_RESERVATION_SHARE: f64 = 0.98;
/// Share of the remaining time to the deadline that the work of a late prompt may take before the
/// prompt may use all idle engines but those of [`RESERVED_IDLE_SHARE`].
const URGENT_SHARE: f64 = 0.8;

/// An engine that may run a request.
pub(crate) struct Candidate<'a> {
    pub(crate) engine: &'a Engine,
    pub(crate) now: Instant,
    /// Number of requests that the engine may run concurrently; 0 if it may get none now.
    pub(crate) slots: usize,
    /// Whether it failed recently, is cold, or has not been heard for longer than the silence
    /// timeout. It then gets short prompts only if no other engine fits, and no long ones.
    pub(crate) is_doubtful: bool,
}

/// Engines that run a request, as indices into the candidates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Placement {
    /// Engine that decodes the request and prefills a part of its prompt, or all of it.
    pub(crate) main: usize,
    /// Engines that prefill the other parts.
    pub(crate) helpers: Vec<usize>,
    /// Prefill time of each part, in total and per decoding pass.
    pub(crate) prefill: (Duration, Duration),
    /// Expected time from now to the first event.
    pub(crate) expected_first_event: Duration,
}

impl Placement {
    /// A placement without helpers.
    fn on_one_engine(main: usize, part: PrefillPart, expected_first_event: Duration) -> Self {
        Self {
            main,
            helpers: Vec::new(),
            prefill: (part.time, part.per_pass),
            expected_first_event,
        }
    }
}

/// Whether a prompt can be prefilled between the events of requests with the same pause target.
pub(crate) fn is_short(profile: &EngineProfile, request: &PlacementRequest) -> bool {
    profile.prefill_time(request.prompt_tokens) <= request.pause_target.mul_f64(SHORT_PROMPT_SHARE)
        && helper_reservations(profile, request).is_empty()
}

/// Whether a long prompt can still be on time, so that short ones should make room for it.
pub(crate) fn needs_idle_engine(profile: &EngineProfile, request: &PlacementRequest) -> bool {
    let max_prefill = request.pause_target.mul_f64(NEEDS_IDLE_PAUSE_TARGETS);
    !request.first_event_target_remaining.is_zero()
        && profile.prefill_time(request.prompt_tokens) > max_prefill
}

/// Shortest time in which the engines can deliver the first event of a request.
pub(crate) fn min_time_to_first_event(
    profile: &EngineProfile,
    request: &PlacementRequest,
) -> Duration {
    let engines = if is_short(profile, request) { 1 } else { MAX_PREFILL_ENGINES };
    prefill_part(profile, request.prompt_tokens, engines).time + profile.pass_time()
}

/// Chooses the engines that run a request now, or returns `None` if it should wait.
/// `long_prompts_wait` tells whether long prompts wait for idle engines.
pub(crate) fn choose(
    profile: &EngineProfile,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    long_prompts_wait: bool,
) -> Option<Placement> {
    match is_short(profile, request) {
        true => choose_short(profile, request, candidates, long_prompts_wait),
        false => choose_long(profile, request, candidates),
    }
}

/// Chooses an engine for a short prompt: the first in fill order that is comfortably on time, else
/// the quickest if it is on time or the prompt would be late even on an idle engine.
fn choose_short(
    profile: &EngineProfile,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    long_prompts_wait: bool,
) -> Option<Placement> {
    let part = prefill_part(profile, request.prompt_tokens, 1);
    let mut fitting: Vec<(usize, Duration)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| fits(profile, request, c, part))
        .map(|(i, c)| (i, expected_first_event(profile, c, part)))
        .collect();
    // The sort is stable, so equal engines keep their order.
    fitting
        .sort_by_key(|(i, _)| (candidates[*i].is_doubtful, fill_order(request, &candidates[*i])));
    let limit = request.first_event_target_remaining;
    let share = if long_prompts_wait { COMFORTABLE_SHARE_LONG_WAITING } else { COMFORTABLE_SHARE };
    let comfortable = fitting.iter().find(|(i, expected)| {
        let c = &candidates[*i];
        let slots = (c.slots as f64 * COMFORTABLE_SLOT_SHARE) as usize;
        !c.is_doubtful
            && c.engine.request_count() < slots.max(1)
            && *expected <= limit.mul_f64(share)
    });
    let quickest = || fitting.iter().min_by_key(|(i, e)| (candidates[*i].is_doubtful, *e));
    let cannot_be_on_time = part.time + profile.pass_time() > limit.mul_f64(ON_TIME_SHARE);
    if fitting.is_empty() && cannot_be_on_time {
        return choose_for_late_prompt(profile, request, candidates, part);
    }
    let (main, expected) = match comfortable {
        Some(found) => *found,
        None => {
            let (main, expected) = *quickest()?;
            let is_on_time = expected <= limit.mul_f64(ON_TIME_SHARE);
            if !is_on_time && !cannot_be_on_time {
                return None;
            }
            (main, expected)
        }
    };
    Some(Placement::on_one_engine(main, part, expected))
}

/// Chooses an engine for a short prompt that can't be on time and that no engine can prefill within
/// its pause targets: the one with the fewest requests among those that have room and whose passes
/// stay within [`MAX_LATE_PASS_PAUSE_TARGETS`].
fn choose_for_late_prompt(
    profile: &EngineProfile,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    part: PrefillPart,
) -> Option<Placement> {
    let can_prefill = |c: &Candidate<'_>| {
        let target = c.engine.pause_target();
        target.is_none_or(|t| {
            part.time + profile.pass_time() <= t.mul_f64(MAX_LATE_PASS_PAUSE_TARGETS)
        })
    };
    let candidates = candidates.iter().enumerate();
    let suitable = candidates
        .filter(|(_, c)| has_room(profile, c, main_tokens(profile, request)) && can_prefill(c));
    let (main, c) = suitable.min_by_key(|(_, c)| (c.is_doubtful, c.engine.request_count()))?;
    Some(Placement::on_one_engine(main, part, expected_first_event(profile, c, part)))
}

/// Chooses engines for a long prompt: as few idle ones as possible among the numbers of engines
/// that are on time, or within the deadline if none can be on time.
fn choose_long(
    profile: &EngineProfile,
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<Placement> {
    let tokens = main_tokens(profile, request);
    let is_usable = |i: &usize| {
        let c = &candidates[*i];
        !c.is_doubtful && has_room(profile, c, tokens)
    };
    // From the end, as short prompts fill the engines from the beginning.
    let usable: Vec<usize> = (0..candidates.len()).rev().filter(is_usable).collect();
    let min_engines = helper_reservations(profile, request).len() + 1;
    let counts_to_try = min_engines..=MAX_PREFILL_ENGINES.min(candidates.len());
    let on_time = request.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
    let cannot_be_on_time =
        counts_to_try.clone().all(|n| first_event_on_idle(profile, request, n) > on_time);
    let limit = if cannot_be_on_time {
        request.first_event_deadline_remaining.mul_f64(ON_TIME_SHARE)
    } else {
        on_time
    };
    let candidate_count = candidates.len() as f64;
    let mut kept_idle = if candidates.len() > 2 {
        (candidate_count * RESERVED_IDLE_SHARE).ceil() as usize
    } else {
        0
    };
    if cannot_be_on_time && !must_start_soon(profile, request) {
        kept_idle += (candidate_count * LATE_RESERVED_IDLE_SHARE).ceil() as usize;
    }
    let mut idle: Vec<usize> =
        usable.iter().copied().filter(|i| candidates[*i].engine.is_idle()).collect();
    idle.truncate(idle.len().saturating_sub(kept_idle));
    // Memory is reserved on idle engines only, and late prompts must not delay others.
    let busy: Vec<BusyEngine> = match min_engines > 1 || cannot_be_on_time {
        true => Vec::new(),
        false => usable
            .iter()
            .filter_map(|i| BusyEngine::of(profile, request, *i, &candidates[*i]))
            .collect(),
    };
    let mut best: Option<(Placement, usize)> = None;
    for count in counts_to_try {
        let Some((placement, idle_used)) = place_on(profile, request, &busy, &idle, count, limit)
        else {
            continue;
        };
        if best.as_ref().is_none_or(|(_, fewest)| idle_used < *fewest) {
            best = Some((placement, idle_used));
        }
        if idle_used == 0 {
            break;
        }
    }
    best.map(|(placement, _)| placement)
}

/// Expected time to the first event if this number of idle engines prefills the prompt.
fn first_event_on_idle(
    profile: &EngineProfile,
    request: &PlacementRequest,
    engines: usize,
) -> Duration {
    prefill_part(profile, request.prompt_tokens, engines).time.mul_f64(STEP_OVERHEAD)
        + profile.pass_time()
}

/// Placement on a given number of engines with the first event expected within `limit`, and how
/// many of the engines are idle ones. Engines with work are preferred.
fn place_on(
    profile: &EngineProfile,
    request: &PlacementRequest,
    busy: &[BusyEngine],
    idle: &[usize],
    count: usize,
    limit: Duration,
) -> Option<(Placement, usize)> {
    let part = prefill_part(profile, request.prompt_tokens, count);
    let able = busy.iter().filter(|b| b.can_prefill(part));
    let mut chosen: Vec<(usize, Duration)> = able
        .map(|b| (b.index, b.expected_first_event(profile, part)))
        .filter(|(_, expected)| *expected <= limit)
        .collect();
    chosen.sort_by_key(|(_, expected)| *expected);
    chosen.truncate(count);
    let idle_used = count - chosen.len();
    let on_idle = first_event_on_idle(profile, request, count);
    if idle_used > 0 && on_idle > limit {
        return None;
    }
    chosen.extend(idle.get(..idle_used)?.iter().map(|i| (*i, on_idle)));
    let expected_first_event = chosen.iter().map(|(_, expected)| *expected).max()?;
    let (main, helpers) = chosen.split_first()?;
    let helpers = helpers.iter().map(|(i, _)| *i).collect();
    let prefill = (part.time, part.per_pass);
    Some((Placement { main: main.0, helpers, prefill, expected_first_event }, idle_used))
}

/// An engine with work that may also prefill a prompt or a part of it. It either has no requests
/// and finishes its prefill soon, or its requests may tolerate longer passes.
///
/// It holds the values that don't depend on the number of engines, as many numbers are tried.
struct BusyEngine {
    /// Index of the candidate.
    index: usize,
    prefill_remaining: Duration,
    max_prefill_per_pass: Duration,
    slowness: f64,
    /// Time until it can start with the prompt.
    time_until_start: Duration,
    /// Limits for its passes, if it has requests.
    decode: Option<DecodeLimits>,
}

/// Limits for prefill on an engine that decodes.
struct DecodeLimits {
    queued_prefill: Duration,
    /// Longest duration of a pass.
    max_pass: Duration,
    /// Duration of a pass that only decodes, with the new request.
    decode_pass: Duration,
    /// Prefill time after which its responses still end in time.
    prefill_slack: Duration,
}

impl BusyEngine {
    /// The engine's values, or `None` if it is idle or may not prefill this prompt.
    fn of(
        profile: &EngineProfile,
        request: &PlacementRequest,
        index: usize,
        c: &Candidate<'_>,
    ) -> Option<Self> {
        let engine = c.engine;
        let prefill_remaining = engine.prefill_remaining();
        let decode = match engine.pause_target() {
            None if engine.is_idle() => return None,
            None if prefill_remaining
                > request.first_event_target_remaining.mul_f64(PREFILL_SOON_SHARE) =>
            {
                return None;
            }
            None => None,
            // An engine prefills parts for other engines before its own prompts, so it gets none
            // while one of its own prompts waits.
            Some(target) if target < request.pause_target || engine.has_pending_own_prefill() => {
                return None;
            }
            Some(target) => Some(DecodeLimits {
                queued_prefill: engine.queued_prefill(),
                max_pass: target.min(request.pause_target).mul_f64(PAUSE_SHARE),
                decode_pass: profile.decode_time(
                    engine.request_count() + 1,
                    engine.tokens() + request.prompt_tokens,
                ),
                prefill_slack: engine.prefill_slack(),
            }),
        };
        let time_until_start = match &decode {
            None => prefill_remaining,
            Some(decode) => engine.pass_remaining(c.now) + decode.queued_prefill,
        };
        Some(Self {
            index,
            prefill_remaining,
            max_prefill_per_pass: engine.max_prefill_per_pass(),
            slowness: engine.effective_slowness(),
            time_until_start,
            decode,
        })
    }

    /// Whether it can prefill a part without making its own responses or events late.
    fn can_prefill(&self, part: PrefillPart) -> bool {
        let Some(decode) = &self.decode else { return true };
        let total = self.prefill_remaining + part.time;
        let in_pass = total.min(self.max_prefill_per_pass.max(part.per_pass));
        let pass = decode.decode_pass + in_pass.mul_f64(self.slowness * STEP_OVERHEAD);
        total <= decode.prefill_slack && pass <= decode.max_pass
    }

    /// Expected time until it has prefilled a part and the first event can come.
    fn expected_first_event(&self, profile: &EngineProfile, part: PrefillPart) -> Duration {
        let passes = match &self.decode {
            None => 1,
            Some(decode) => {
                passes_until_first_event(decode.queued_prefill, self.max_prefill_per_pass, part)
            }
        };
        self.time_until_start + (part.time + profile.pass_time() * passes).mul_f64(self.slowness)
    }
}

/// Number of passes until the first event of a prompt on an engine that decodes: the prompt waits
/// for the end of the current pass, is prefilled in the next ones and decodes in the one after.
fn passes_until_first_event(
    queued_prefill: Duration,
    max_prefill_per_pass: Duration,
    part: PrefillPart,
) -> u32 {
    let per_pass = max_prefill_per_pass.max(part.per_pass).as_secs_f64().max(1e-6);
    1 + ((queued_prefill + part.time).as_secs_f64() / per_pass).ceil() as u32
}

/// Memory to reserve on each helper, in tokens, for a request that exceeds the memory of one
/// engine.
pub(crate) fn helper_reservations(
    profile: &EngineProfile,
    request: &PlacementRequest,
) -> Vec<Tokens> {
    let max_reservation = (profile.memory_tokens as f64 * MAX_RESERVATION_SHARE) as Tokens;
    let mut unreserved =
        (request.prompt_tokens + request.max_output_tokens).saturating_sub(profile.memory_tokens);
    let mut reservations = Vec::new();
    if unreserved > 0 {
        // The decoding engine keeps the same margin as the helpers.
        unreserved += profile.memory_tokens - max_reservation;
    }
    while unreserved > 0 && max_reservation > 0 {
        reservations.push(unreserved.min(max_reservation));
        unreserved = unreserved.saturating_sub(max_reservation);
    }
    reservations
}

/// Whether a prompt that can't be on time has to start soon to meet its deadline at all.
fn must_start_soon(profile: &EngineProfile, request: &PlacementRequest) -> bool {
    let min_time = prefill_part(profile, request.prompt_tokens, 1).time + profile.pass_time();
    min_time > request.first_event_deadline_remaining.mul_f64(URGENT_SHARE)
}

/// Whether an engine has a free slot and memory, and its requests tolerate the additional prefill.
fn fits(
    profile: &EngineProfile,
    request: &PlacementRequest,
    c: &Candidate<'_>,
    part: PrefillPart,
) -> bool {
    has_room(profile, c, main_tokens(profile, request))
        && keeps_pause_targets(profile, request, c.engine, part)
}

/// Memory in tokens that a request needs on the engine that decodes it, without the reservations on
/// helpers.
fn main_tokens(profile: &EngineProfile, request: &PlacementRequest) -> Tokens {
    let reserved: Tokens = helper_reservations(profile, request).iter().sum();
    request.prompt_tokens + request.max_output_tokens - reserved
}

/// Whether an engine has a free slot and this much free memory.
fn has_room(profile: &EngineProfile, c: &Candidate<'_>, tokens: Tokens) -> bool {
    c.engine.request_count() < c.slots && c.engine.tokens() + tokens <= profile.memory_tokens
}

/// Whether the passes stay within the pause targets of this and the engine's other requests.
fn keeps_pause_targets(
    profile: &EngineProfile,
    request: &PlacementRequest,
    engine: &Engine,
    part: PrefillPart,
) -> bool {
    let Some(target) = engine.pause_target() else { return true };
    // The prefill of the current pass is included, because the start of that pass is only
    // estimated.
    let total = engine.prefill_remaining() + part.time;
    let in_pass = total.min(engine.max_prefill_per_pass().max(part.per_pass));
    let decoding =
        profile.decode_time(engine.request_count() + 1, engine.tokens() + request.prompt_tokens);
    let pass = decoding + in_pass.mul_f64(engine.effective_slowness() * STEP_OVERHEAD);
    pass <= target.min(request.pause_target).mul_f64(PAUSE_SHARE)
}

/// Expected time to the first event on one engine.
fn expected_first_event(profile: &EngineProfile, c: &Candidate<'_>, part: PrefillPart) -> Duration {
    let engine = c.engine;
    let queued_prefill = engine.queued_prefill();
    let (time_until_start, passes) = match engine.request_count() {
        0 => (engine.prefill_remaining(), 1),
        _ => (
            engine.pass_remaining(c.now) + queued_prefill,
            passes_until_first_event(queued_prefill, engine.max_prefill_per_pass(), part),
        ),
    };
    time_until_start
        + (part.time + profile.pass_time() * passes).mul_f64(engine.effective_slowness())
}

/// Order in which engines are filled: first those whose requests have pause targets as short as
/// this request's or shorter, then idle ones, then those that this request would block for requests
/// with longer pause targets.
fn fill_order(request: &PlacementRequest, c: &Candidate<'_>) -> u8 {
    match c.engine.pause_target() {
        Some(target) if target <= request.pause_target => 0,
        None => 1,
        Some(_) => 2,
    }
}
