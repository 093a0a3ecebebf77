//! Choice of the engines for a long prompt, which several prefill together.

use crate::{
    engine::{PrefillPart, prefill_part},
    place::{
        Candidate, Candidates, MAX_PREFILL_ENGINES, ON_TIME_SHARE, PAUSE_SHARE, Placement,
        STEP_OVERHEAD, has_room, helper_reservations, main_tokens,
    },
    request::RequestNeeds,
};
use routing::EngineProfile;
use std::{ops::RangeInclusive, time::Duration};

// The shares below that state no reason are those that earn most on the load patterns of the crate
// `load`.

/// Share of the remaining time to the target within which an engine has to finish its current
/// prefill for another prompt to queue behind it.
const PREFILL_SOON_SHARE: f64 = 0.15;
/// Share of the engines that long prompts leave idle, so that a short one finds a place.
const RESERVED_IDLE_SHARE: f64 = 0.05;
/// Share of the engines that late prompts leave idle in addition, for prompts that can still be on
/// time.
const LATE_RESERVED_IDLE_SHARE: f64 = 0.2;
/// Share of the remaining time to the target within which [`EASY_ENGINES`] idle engines have to
/// prefill a prompt for it to count as easily on time.
const EASILY_ON_TIME_SHARE: f64 = 0.5;
/// Number of idle engines that are mostly found soon.
const EASY_ENGINES: usize = 2;
/// Share of the remaining time to the deadline that the work of a late prompt may take before the
/// prompt may use all idle engines but those of [`RESERVED_IDLE_SHARE`].
const URGENT_SHARE: f64 = 0.8;

/// Chooses engines for a long prompt: as few idle ones as possible among the numbers of engines
/// that are on time, or within the deadline if none can be on time. `collected` idle engines are kept
/// for a prompt that waits for them.
pub(crate) fn choose_long(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    candidates: &Candidates<'_>,
    collected: usize,
) -> Option<Placement> {
    let tokens = main_tokens(profile, needs);
    let min_engines = helper_reservations(profile, needs).len() + 1;
    let counts_to_try = min_engines..=MAX_PREFILL_ENGINES.min(candidates.count);
    let (limit, cannot_be_on_time) = time_limit(profile, needs, counts_to_try.clone());
    let share = |share: f64| (candidates.count as f64 * share).ceil() as usize;
    let mut kept_idle = if candidates.count > 2 { share(RESERVED_IDLE_SHARE) } else { 0 };
    if cannot_be_on_time && !must_start_soon(profile, needs) {
        kept_idle += share(LATE_RESERVED_IDLE_SHARE);
    }
    kept_idle += collected;
    // Memory is reserved on idle engines only, and late prompts must not delay others.
    let uses_busy = min_engines == 1 && !cannot_be_on_time;
    let (mut idle, mut busy) = (Vec::new(), Vec::new());
    // From the end, as short prompts fill the engines from the beginning.
    for (i, c) in candidates.iter().rev() {
        if c.is_doubtful || c.is_unproven || !has_room(profile, &c, tokens) {
            continue;
        }
        if c.engine.is_idle() {
            idle.push(i);
        } else if uses_busy {
            busy.extend(BusyEngine::of(profile, needs, i, &c));
        }
    }
    idle.truncate(idle.len().saturating_sub(kept_idle));
    let mut best: Option<(Placement, usize)> = None;
    for count in counts_to_try {
        let Some((placement, idle_used)) = place_on(profile, needs, &busy, &idle, count, limit)
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

/// Number of idle engines that a long prompt needs for its first event to be on time; `None` if it
/// can't be on time on as many as `max`.
pub(crate) fn idle_engines_needed(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    max: usize,
) -> Option<usize> {
    let on_time = needs.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
    let min_engines = helper_reservations(profile, needs).len() + 1;
    let mut counts = min_engines..=MAX_PREFILL_ENGINES.min(max);
    counts.find(|n| first_event_on_idle(profile, needs, *n) <= on_time)
}

/// Whether few idle engines would deliver the first event of a prompt well before its target, so that
/// it may wait behind others and still be on time.
pub(crate) fn is_easily_on_time(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    let limit = needs.first_event_target_remaining.mul_f64(EASILY_ON_TIME_SHARE);
    first_event_on_idle(profile, needs, EASY_ENGINES) <= limit
}

/// Time within which the first event has to be expected, and whether it comes too late for the
/// target on any of these numbers of engines; the limit is then that of the deadline.
fn time_limit(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    counts: RangeInclusive<usize>,
) -> (Duration, bool) {
    let on_time = needs.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
    let mut counts = counts;
    let cannot_be_on_time = counts.all(|n| first_event_on_idle(profile, needs, n) > on_time);
    match cannot_be_on_time {
        true => (needs.first_event_deadline_remaining.mul_f64(ON_TIME_SHARE), true),
        false => (on_time, false),
    }
}

/// Engines that may prefill long prompts with one pause target, at most: an upper bound by which most
/// of the prompts that have to wait are recognised without examining the engines again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LongCapacity {
    pause_target: Duration,
    engines: usize,
    /// Number of engines that may run a request at all.
    candidates: usize,
}

impl LongCapacity {
    /// Capacity for prompts with the pause target of `needs`.
    pub(crate) fn of(needs: &RequestNeeds, candidates: &Candidates<'_>) -> Self {
        let may_prefill = |c: &Candidate<'_>| {
            let has_slot = !c.is_doubtful && !c.is_unproven && c.engine.request_count() < c.slots;
            let tolerates = c.engine.pause_target().is_none_or(|t| t >= needs.pause_target);
            has_slot && tolerates && !c.engine.has_pending_own_prefill()
        };
        let engines = candidates.iter().filter(|(_, c)| may_prefill(c)).count();
        Self { pause_target: needs.pause_target, engines, candidates: candidates.count }
    }

    /// Whether it was counted for prompts with this pause target.
    pub(crate) fn is_for(&self, needs: &RequestNeeds) -> bool {
        self.pause_target == needs.pause_target
    }

    /// Whether the engines may suffice for a prompt.
    pub(crate) fn may_suffice(&self, profile: &EngineProfile, needs: &RequestNeeds) -> bool {
        let min_engines = helper_reservations(profile, needs).len() + 1;
        let counts = min_engines..=MAX_PREFILL_ENGINES.min(self.candidates);
        let (limit, _) = time_limit(profile, needs, counts.clone());
        let is_in_time = |n: &usize| prefill_part(profile, needs.prompt_tokens, *n).time <= limit;
        let mut counts = counts;
        counts.find(is_in_time).is_some_and(|needed| needed <= self.engines)
    }
}

/// Expected time to the first event if this number of idle engines prefills the prompt.
fn first_event_on_idle(profile: &EngineProfile, needs: &RequestNeeds, engines: usize) -> Duration {
    prefill_part(profile, needs.prompt_tokens, engines).time.mul_f64(STEP_OVERHEAD)
        + profile.pass_time()
}

/// Placement on a given number of engines with the first event expected within `limit`, and how
/// many of the engines are idle ones. Engines with work are preferred.
fn place_on(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    busy: &[BusyEngine],
    idle: &[usize],
    count: usize,
    limit: Duration,
) -> Option<(Placement, usize)> {
    let part = prefill_part(profile, needs.prompt_tokens, count);
    let able = busy.iter().filter(|b| (count == 1 || !b.has_part) && b.can_prefill(part));
    let mut chosen: Vec<(usize, Duration)> = able
        .map(|b| (b.index, b.expected_first_event(profile, part)))
        .filter(|(_, expected)| *expected <= limit)
        .collect();
    chosen.sort_by_key(|(_, expected)| *expected);
    chosen.truncate(count);
    let idle_used = count - chosen.len();
    let on_idle = first_event_on_idle(profile, needs, count);
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
    /// Whether it has to prefill a part of a prompt that other engines prefill too. It would put off
    /// that one for a newer part, though not for a whole prompt.
    has_part: bool,
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
        needs: &RequestNeeds,
        index: usize,
        c: &Candidate<'_>,
    ) -> Option<Self> {
        let engine = c.engine;
        let prefill_remaining = engine.prefill_remaining();
        let decode = match engine.pause_target() {
            None if engine.is_idle() => return None,
            None if prefill_remaining
                > needs.first_event_target_remaining.mul_f64(PREFILL_SOON_SHARE) =>
            {
                return None;
            }
            None => None,
            // An engine prefills parts for other engines before its own prompts, so it gets none
            // while one of its own prompts waits.
            Some(target) if target < needs.pause_target || engine.has_pending_own_prefill() => {
                return None;
            }
            Some(target) => Some(DecodeLimits {
                queued_prefill: engine.queued_prefill(),
                max_pass: target.min(needs.pause_target).mul_f64(PAUSE_SHARE),
                decode_pass: profile
                    .decode_time(engine.request_count() + 1, engine.tokens() + needs.prompt_tokens),
                prefill_slack: engine.prefill_slack(),
            }),
        };
        let time_until_start = match &decode {
            None => prefill_remaining,
            Some(decode) => engine.pass_remaining(c.now) + decode.queued_prefill,
        };
        Some(Self {
            index,
            // What it prefills for requests of its own is excluded above.
            has_part: !prefill_remaining.is_zero(),
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
pub(crate) fn passes_until_first_event(
    queued_prefill: Duration,
    max_prefill_per_pass: Duration,
    part: PrefillPart,
) -> u32 {
    let per_pass = max_prefill_per_pass.max(part.per_pass).as_secs_f64().max(1e-6);
    1 + ((queued_prefill + part.time).as_secs_f64() / per_pass).ceil() as u32
}

/// Whether a prompt that can't be on time has to start soon to meet its deadline at all.
fn must_start_soon(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    let min_time = prefill_part(profile, needs.prompt_tokens, 1).time + profile.pass_time();
    min_time > needs.first_event_deadline_remaining.mul_f64(URGENT_SHARE)
}
