//! Which engine reads and writes a request.
//!
//! Engines write in passes, and a pass grows by what it reads. Three rules follow:
//!
//! * A request goes to an engine only where the next pass stays within the pause targets
//!   of the requests there. So long prompts are read on engines without writers.
//! * Short prompts fill engines that run short prompts already, up to a comfortable
//!   load, before they open another one. What is left stays free for long prompts.
//! * A long prompt is read by as many engines as its first event needs to be on time. Those
//!   that write requests as patient as it read a part within their passes; as few idle ones
//!   as possible do the rest.

use crate::{
    engine::{Engine, Part, part},
    request::PlacementRequest,
};
use routing::EngineProfile;
use std::time::{Duration, Instant};
use wire::Tokens;

// Shares without a source of their own are those that earn most on the load patterns of
// the crate `load`.

/// Part of the time left at which a first event counts as comfortably on time.
const COMFORTABLE: f64 = 0.55;
/// Part of the time left that an expectation may take; the rest is for what it omits:
/// connections, network and the pass under way.
const ON_TIME: f64 = 0.85;
/// The same while long prompts wait for idle engines.
const COMFORTABLE_PRESSED: f64 = 0.7;
/// How many pause targets a prompt reads for that short ones make room for. Those below, the
/// longer reviews, are worth less than the short prompts that would be late.
const NEEDS_IDLE: f64 = 2.0;
/// Part of the slots that short prompts fill before another engine is opened for them.
const COMFORTABLE_SLOTS: f64 = 0.9;
/// Part of a pause target that an expected pass may take.
const PAUSE_SHARE: f64 = 0.97;
/// Part of a pause target up to which reading a prompt fits between the events of others.
const SHORT_SHARE: f64 = 0.81;
/// Most of a pause target that a short prompt which is late may make of a pass.
const HARM_MAX: f64 = 1.25;
/// Part of the time left within which an engine has to be done with what it reads before
/// another prompt waits for it.
const SOON_SHARE: f64 = 0.15;
/// Part of the engines that long prompts leave free, so that a short one finds a place.
const RESERVED_SHARE: f64 = 0.05;
/// What reading takes beyond the profile's rates, for the steps around the pieces.
const STEP_OVERHEAD: f64 = 1.06;
/// Most engines that read one prompt: the upstreams take 16 helpers.
pub(crate) const MAX_READERS: usize = 17;
/// Part of the engines that prompts that are late leave free besides, for others that can
/// be on time.
const LATE_RESERVED_SHARE: f64 = 0.2;
/// Part of an engine's memory that one request reserves at most: the engines round up to
/// their blocks.
const RESERVE_SHARE: f64 = 0.98;
/// Part of the time left that the work of a late prompt may take before it goes first.
const URGENT_SHARE: f64 = 0.8;

/// An engine that a request might run on.
pub(crate) struct Candidate<'a> {
    pub(crate) engine: &'a Engine,
    pub(crate) now: Instant,
    pub(crate) slots: usize,
    /// Whether it failed a short time ago, is cold, or was not heard of for long.
    pub(crate) is_doubtful: bool,
}

/// Where a request runs, as indexes of the candidates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    pub(crate) main: usize,
    pub(crate) helpers: Vec<usize>,
    pub(crate) part: (Duration, Duration),
    pub(crate) expected: Duration,
}

impl Place {
    fn alone(main: usize, part: Part, expected: Duration) -> Self {
        Self { main, helpers: Vec::new(), part: (part.read, part.per_pass), expected }
    }
}

/// Whether a prompt can be read between the events of requests like itself.
pub(crate) fn is_short(profile: &EngineProfile, ask: &PlacementRequest) -> bool {
    profile.prefill_time(ask.prompt_tokens) <= ask.pause_target.mul_f64(SHORT_SHARE)
        && reserves(profile, ask).is_empty()
}

/// Whether a prompt can still be on time, and short ones should make room for it.
pub(crate) fn needs_idle(profile: &EngineProfile, ask: &PlacementRequest) -> bool {
    let most = ask.pause_target.mul_f64(NEEDS_IDLE);
    !ask.target_remaining.is_zero() && profile.prefill_time(ask.prompt_tokens) > most
}

/// Least time in which any engine brings the first event of a request.
pub(crate) fn least_time(profile: &EngineProfile, ask: &PlacementRequest) -> Duration {
    let readers = if is_short(profile, ask) { 1 } else { MAX_READERS };
    part(profile, ask.prompt_tokens, readers).read + profile.pass_time()
}

/// Chooses where a request runs now; `None` if it had better wait. `is_pressed` tells that
/// long prompts wait for idle engines.
pub(crate) fn choose(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    candidates: &[Candidate<'_>],
    is_pressed: bool,
) -> Option<Place> {
    match is_short(profile, ask) {
        true => choose_short(profile, ask, candidates, is_pressed),
        false => choose_long(profile, ask, candidates),
    }
}

fn choose_short(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    candidates: &[Candidate<'_>],
    is_pressed: bool,
) -> Option<Place> {
    let own = part(profile, ask.prompt_tokens, 1);
    let mut fitting: Vec<(usize, Duration)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| fits(profile, ask, c, own))
        .map(|(i, c)| (i, expect(profile, c, own)))
        .collect();
    // The sort is stable, so equal engines keep their order.
    fitting.sort_by_key(|(i, _)| (candidates[*i].is_doubtful, openness(ask, &candidates[*i])));
    let limit = ask.target_remaining;
    let share = if is_pressed { COMFORTABLE_PRESSED } else { COMFORTABLE };
    let comfortable = fitting.iter().find(|(i, expected)| {
        let c = &candidates[*i];
        let slots = (c.slots as f64 * COMFORTABLE_SLOTS) as usize;
        !c.is_doubtful && c.engine.mains() < slots.max(1) && *expected <= limit.mul_f64(share)
    });
    let quickest = || fitting.iter().min_by_key(|(i, e)| (candidates[*i].is_doubtful, *e));
    let is_late = own.read + profile.pass_time() > limit.mul_f64(ON_TIME);
    if fitting.is_empty() && is_late {
        return least_harm(profile, ask, candidates, own);
    }
    let (main, expected) = match comfortable {
        Some(found) => *found,
        None => {
            let (main, expected) = *quickest()?;
            let is_on_time = expected <= limit.mul_f64(ON_TIME);
            if !is_on_time && !is_late {
                return None;
            }
            (main, expected)
        }
    };
    Some(Place::alone(main, own, expected))
}

/// An engine with room whose requests are few, for a short prompt that nobody bears on
/// time and that is late already.
fn least_harm(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    candidates: &[Candidate<'_>],
    own: Part,
) -> Option<Place> {
    let bears = |c: &Candidate<'_>| {
        let target = c.engine.pause_target();
        target.is_none_or(|t| own.read + profile.pass_time() <= t.mul_f64(HARM_MAX))
    };
    let candidates = candidates.iter().enumerate();
    let roomy =
        candidates.filter(|(_, c)| has_room(profile, c, own_tokens(profile, ask)) && bears(c));
    let (main, c) = roomy.min_by_key(|(_, c)| (c.is_doubtful, c.engine.mains()))?;
    Some(Place::alone(main, own, expect(profile, c, own)))
}

fn choose_long(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<Place> {
    let tokens = own_tokens(profile, ask);
    let is_sound = |i: &usize| {
        let c = &candidates[*i];
        !c.is_doubtful && has_room(profile, c, tokens)
    };
    // Taken from the end, as short prompts fill from the beginning.
    let sound: Vec<usize> = (0..candidates.len()).rev().filter(is_sound).collect();
    let least = reserves(profile, ask).len() + 1;
    let counts = least..=MAX_READERS.min(candidates.len());
    let on_time = ask.target_remaining.mul_f64(ON_TIME);
    let is_late = counts.clone().all(|n| expect_idle(profile, ask, n) > on_time);
    let limit = if is_late { ask.deadline_remaining.mul_f64(ON_TIME) } else { on_time };
    let all = candidates.len() as f64;
    let mut reserved =
        if candidates.len() > 2 { (all * RESERVED_SHARE).ceil() as usize } else { 0 };
    if is_late && !is_urgent(profile, ask) {
        reserved += (all * LATE_RESERVED_SHARE).ceil() as usize;
    }
    let mut idle: Vec<usize> =
        sound.iter().copied().filter(|i| candidates[*i].engine.is_idle()).collect();
    idle.truncate(idle.len().saturating_sub(reserved));
    // Memory is reserved on idle engines only, and late prompts don't hold up others.
    let busy: Vec<Busy> = match least > 1 || is_late {
        true => Vec::new(),
        false => sound.iter().filter_map(|i| Busy::of(profile, ask, *i, &candidates[*i])).collect(),
    };
    let mut best: Option<(Place, usize)> = None;
    for count in counts {
        let Some((place, opened)) = readers(profile, ask, &busy, &idle, count, limit) else {
            continue;
        };
        if best.as_ref().is_none_or(|(_, fewest)| opened < *fewest) {
            best = Some((place, opened));
        }
        if opened == 0 {
            break;
        }
    }
    best.map(|(place, _)| place)
}

/// Time to the first event if so many idle engines read the prompt.
fn expect_idle(profile: &EngineProfile, ask: &PlacementRequest, readers: usize) -> Duration {
    part(profile, ask.prompt_tokens, readers).read.mul_f64(STEP_OVERHEAD) + profile.pass_time()
}

/// A place with so many readers that keeps the limit, and how many idle engines it takes.
fn readers(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    busy: &[Busy],
    idle: &[usize],
    count: usize,
    limit: Duration,
) -> Option<(Place, usize)> {
    let own = part(profile, ask.prompt_tokens, count);
    let bearing = busy.iter().filter(|b| b.bears(own));
    let mut chosen: Vec<(usize, Duration)> = bearing
        .map(|b| (b.index, b.expect(profile, own)))
        .filter(|(_, expected)| *expected <= limit)
        .collect();
    chosen.sort_by_key(|(_, expected)| *expected);
    chosen.truncate(count);
    let opened = count - chosen.len();
    let on_idle = expect_idle(profile, ask, count);
    if opened > 0 && on_idle > limit {
        return None;
    }
    chosen.extend(idle.get(..opened)?.iter().map(|i| (*i, on_idle)));
    let expected = chosen.iter().map(|(_, expected)| *expected).max()?;
    let (main, helpers) = chosen.split_first()?;
    let helpers = helpers.iter().map(|(i, _)| *i).collect();
    let part = (own.read, own.per_pass);
    Some((Place { main: main.0, helpers, part, expected }, opened))
}

/// An engine at work that may read a part of a prompt, or all of it, besides: one that only
/// reads and has soon done so, or one whose requests may bear longer passes.
///
/// It holds what does not depend on the number of readers, as many numbers are tried.
struct Busy {
    index: usize,
    reading_left: Duration,
    longest_per_pass: Duration,
    slowness: f64,
    /// Time until it can begin with the prompt.
    before: Duration,
    writes: Option<Writes>,
}

/// What an engine that writes bears.
struct Writes {
    next_reading: Duration,
    /// Longest pass.
    limit: Duration,
    /// Pass without reading.
    pass: Duration,
    /// Reading after which its answers still end in time.
    slack: Duration,
}

impl Busy {
    fn of(
        profile: &EngineProfile,
        ask: &PlacementRequest,
        index: usize,
        c: &Candidate<'_>,
    ) -> Option<Self> {
        let engine = c.engine;
        let reading_left = engine.reading_left();
        let writes = match engine.pause_target() {
            None if engine.is_idle() => return None,
            None if reading_left > ask.target_remaining.mul_f64(SOON_SHARE) => return None,
            None => None,
            // Parts for others go first, so none may come before a prompt that waits there.
            Some(target) if target < ask.pause_target || engine.is_awaited() => return None,
            Some(target) => Some(Writes {
                next_reading: engine.next_reading(),
                limit: target.min(ask.pause_target).mul_f64(PAUSE_SHARE),
                pass: profile.decode_time(engine.mains() + 1, engine.tokens() + ask.prompt_tokens),
                slack: engine.slack(),
            }),
        };
        let before = match &writes {
            None => reading_left,
            Some(writes) => engine.pass_left(c.now) + writes.next_reading,
        };
        Some(Self {
            index,
            reading_left,
            longest_per_pass: engine.longest_per_pass(),
            slowness: engine.believed_slowness(),
            before,
            writes,
        })
    }

    fn bears(&self, own: Part) -> bool {
        let Some(writes) = &self.writes else { return true };
        let total = self.reading_left + own.read;
        let read = total.min(self.longest_per_pass.max(own.per_pass));
        let pass = writes.pass + read.mul_f64(self.slowness * STEP_OVERHEAD);
        total <= writes.slack && pass <= writes.limit
    }

    fn expect(&self, profile: &EngineProfile, own: Part) -> Duration {
        let passes = match &self.writes {
            None => 1,
            Some(writes) => passes(writes.next_reading, self.longest_per_pass, own),
        };
        self.before + (own.read + profile.pass_time() * passes).mul_f64(self.slowness)
    }
}

/// Passes until the first event of a prompt that is read beside writers: it waits for the
/// end of the pass under way, is read in the next ones and writes in the one after.
fn passes(next_reading: Duration, longest_per_pass: Duration, own: Part) -> u32 {
    let per_pass = longest_per_pass.max(own.per_pass).as_secs_f64().max(1e-6);
    1 + ((next_reading + own.read).as_secs_f64() / per_pass).ceil() as u32
}

/// Memory to reserve on helpers, in turn, for a request that is beyond one engine's.
pub(crate) fn reserves(profile: &EngineProfile, ask: &PlacementRequest) -> Vec<Tokens> {
    let most = (profile.memory_tokens as f64 * RESERVE_SHARE) as Tokens;
    let mut rest =
        (ask.prompt_tokens + ask.max_output_tokens).saturating_sub(profile.memory_tokens);
    let mut reserves = Vec::new();
    if rest > 0 {
        // The main keeps the same margin as the others.
        rest += profile.memory_tokens - most;
    }
    while rest > 0 && most > 0 {
        reserves.push(rest.min(most));
        rest = rest.saturating_sub(most);
    }
    reserves
}

/// Whether a prompt that is late has to start soon to be finished at all.
fn is_urgent(profile: &EngineProfile, ask: &PlacementRequest) -> bool {
    let least = part(profile, ask.prompt_tokens, 1).read + profile.pass_time();
    least > ask.deadline_remaining.mul_f64(URGENT_SHARE)
}

/// Whether an engine has a slot and memory, and its requests bear one more to read.
fn fits(profile: &EngineProfile, ask: &PlacementRequest, c: &Candidate<'_>, own: Part) -> bool {
    has_room(profile, c, own_tokens(profile, ask)) && keeps_pauses(profile, ask, c.engine, own)
}

/// Tokens that a request takes where it is written: what is reserved elsewhere takes none.
fn own_tokens(profile: &EngineProfile, ask: &PlacementRequest) -> Tokens {
    let reserved: Tokens = reserves(profile, ask).iter().sum();
    ask.prompt_tokens + ask.max_output_tokens - reserved
}

fn has_room(profile: &EngineProfile, c: &Candidate<'_>, tokens: Tokens) -> bool {
    c.engine.mains() < c.slots && c.engine.tokens() + tokens <= profile.memory_tokens
}

fn keeps_pauses(
    profile: &EngineProfile,
    ask: &PlacementRequest,
    engine: &Engine,
    own: Part,
) -> bool {
    let Some(target) = engine.pause_target() else { return true };
    // What the pass under way takes in is counted as well: where it began is a guess.
    let total = engine.reading_left() + own.read;
    let read = total.min(engine.longest_per_pass().max(own.per_pass));
    let writing = profile.decode_time(engine.mains() + 1, engine.tokens() + ask.prompt_tokens);
    let pass = writing + read.mul_f64(engine.believed_slowness() * STEP_OVERHEAD);
    pass <= target.min(ask.pause_target).mul_f64(PAUSE_SHARE)
}

/// Time to the first event.
fn expect(profile: &EngineProfile, c: &Candidate<'_>, own: Part) -> Duration {
    let engine = c.engine;
    let next_reading = engine.next_reading();
    let (before, passes) = match engine.mains() {
        0 => (engine.reading_left(), 1),
        _ => (
            engine.pass_left(c.now) + next_reading,
            passes(next_reading, engine.longest_per_pass(), own),
        ),
    };
    before + (own.read + profile.pass_time() * passes).mul_f64(engine.believed_slowness())
}

/// Order in which engines are filled: those that already run requests at least as
/// sensitive, then idle ones, then those that this request would close to others.
fn openness(ask: &PlacementRequest, c: &Candidate<'_>) -> u8 {
    match c.engine.pause_target() {
        Some(target) if target <= ask.pause_target => 0,
        None => 1,
        Some(_) => 2,
    }
}
