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
    place_long::passes_until_first_event,
    request::RequestNeeds,
};
use routing::EngineProfile;
use std::time::{Duration, Instant};
use wire::Tokens;

// The shares below that state no reason are those that earn most on the load patterns of the crate
// `load`.

/// Share of the remaining time to the target that an expected first event may take, or of that to
/// the deadline if the target can't be met. The rest is for what the expectation omits:
/// connections, network and the current pass.
pub(crate) const ON_TIME_SHARE: f64 = 0.85;
/// Prefill time, as a multiple of the pause target, above which short prompts make room for a long
/// prompt. Prompts below this length are worth less than the short prompts that would be late: they
/// are the longer ones of the request kind `review` of the crate `load`, which has about 45,000
/// tokens on average.
const NEEDS_IDLE_PAUSE_TARGETS: f64 = 2.0;
/// Share of a pause target that an expected pass may take.
pub(crate) const PAUSE_SHARE: f64 = 0.97;
/// Share of a pause target within which a prompt has to be prefilled to count as short: it then
/// fits between the events of other requests.
const SHORT_PROMPT_SHARE: f64 = 0.81;
/// Factor on the prefill time by the profile's rates, for the time that steps need besides the
/// chunks.
pub(crate) const STEP_OVERHEAD: f64 = 1.06;
/// Maximum number of engines that prefill one prompt: the decoding engine and 16 helpers, the most
/// that upstreams accept.
pub(crate) const MAX_PREFILL_ENGINES: usize = 17;
/// Share of an engine's memory that one request reserves at most: engines round up to their blocks.
const MAX_RESERVATION_SHARE: f64 = 0.98;

/// An engine that may run a request.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) engine: &'a Engine,
    pub(crate) now: Instant,
    /// Number of requests that the engine may run concurrently; 0 if it may get none now.
    pub(crate) slots: usize,
    /// Whether it failed recently, is cold, or has not been heard for longer than the silence
    /// timeout. It then gets short prompts only if no other engine fits, and no long ones.
    pub(crate) is_doubtful: bool,
    /// Whether it is cold and its answers have not shown yet that it can run as many requests as it has
    /// slots. It gets no long prompts then: those would answer too late to tell.
    pub(crate) is_unproven: bool,
}

/// The engines of a service that may run a request. They are examined one by one, as most decisions
/// need only a few.
pub(crate) struct Candidates<'a> {
    /// Number of engines that may run it.
    pub(crate) count: usize,
    /// Number of engines of the service.
    pub(crate) engines: usize,
    /// Examines the engine with this index; `None` if it may not run the request.
    pub(crate) examine: &'a dyn Fn(usize) -> Option<Candidate<'a>>,
}

impl<'a> Candidates<'a> {
    /// The engines that may run the request, with their indices.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = (usize, Candidate<'a>)> {
        (0..self.engines).filter_map(|i| Some((i, (self.examine)(i)?)))
    }
}

/// Engines that run a request, as indices of [`Candidates`].
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
    pub(crate) fn on_one_engine(
        main: usize,
        part: PrefillPart,
        expected_first_event: Duration,
    ) -> Self {
        Self {
            main,
            helpers: Vec::new(),
            prefill: (part.time, part.per_pass),
            expected_first_event,
        }
    }
}

/// Whether a prompt can be prefilled between the events of requests with the same pause target.
pub(crate) fn is_short(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    profile.prefill_time(needs.prompt_tokens) <= needs.pause_target.mul_f64(SHORT_PROMPT_SHARE)
        && helper_reservations(profile, needs).is_empty()
}

/// Whether a long prompt can still be on time, so that short ones should make room for it.
pub(crate) fn needs_idle_engine(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    let max_prefill = needs.pause_target.mul_f64(NEEDS_IDLE_PAUSE_TARGETS);
    !needs.first_event_target_remaining.is_zero()
        && profile.prefill_time(needs.prompt_tokens) > max_prefill
}

/// Shortest time in which the engines can deliver the first event of a request.
pub(crate) fn min_time_to_first_event(profile: &EngineProfile, needs: &RequestNeeds) -> Duration {
    let engines = if is_short(profile, needs) { 1 } else { MAX_PREFILL_ENGINES };
    prefill_part(profile, needs.prompt_tokens, engines).time + profile.pass_time()
}

/// Whether the first event of a request can still meet its target, if engines take it at once.
pub(crate) fn can_be_on_time(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    let limit = needs.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
    min_time_to_first_event(profile, needs) <= limit
}

/// Memory to reserve on each helper, in tokens, for a request that exceeds the memory of one
/// engine.
pub(crate) fn helper_reservations(profile: &EngineProfile, needs: &RequestNeeds) -> Vec<Tokens> {
    let max_reservation = (profile.memory_tokens as f64 * MAX_RESERVATION_SHARE) as Tokens;
    let mut unreserved =
        (needs.prompt_tokens + needs.max_output_tokens).saturating_sub(profile.memory_tokens);
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

/// Memory in tokens that a request needs on the engine that decodes it, without the reservations on
/// helpers.
pub(crate) fn main_tokens(profile: &EngineProfile, needs: &RequestNeeds) -> Tokens {
    let reserved: Tokens = helper_reservations(profile, needs).iter().sum();
    needs.prompt_tokens + needs.max_output_tokens - reserved
}

/// Whether an engine has a free slot and this much free memory.
pub(crate) fn has_room(profile: &EngineProfile, c: &Candidate<'_>, tokens: Tokens) -> bool {
    c.engine.request_count() < c.slots && c.engine.tokens() + tokens <= profile.memory_tokens
}

/// Expected time to the first event on one engine.
pub(crate) fn expected_first_event(
    profile: &EngineProfile,
    c: &Candidate<'_>,
    part: PrefillPart,
) -> Duration {
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
