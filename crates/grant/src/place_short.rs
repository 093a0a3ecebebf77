//! Choice of the engine for a short prompt, which is prefilled between the events of other requests.

use crate::{
    engine::{Engine, PrefillPart, prefill_part},
    place::{
        Candidate, Candidates, ON_TIME_SHARE, PAUSE_SHARE, Placement, STEP_OVERHEAD,
        expected_first_event, has_room, main_tokens,
    },
    request::RequestNeeds,
};
use routing::EngineProfile;
use std::time::Duration;
use wire::Tokens;

// The shares below that state no reason are those that earn most on the load patterns of the crate
// `load`.

/// Share of the remaining time to the target within which an expected first event counts as
/// comfortably on time.
const COMFORTABLE_SHARE: f64 = 0.55;
/// Replaces [`COMFORTABLE_SHARE`] while long prompts wait for idle engines.
const COMFORTABLE_SHARE_LONG_WAITING: f64 = 0.7;
/// Share of an engine's slots that short prompts fill before they use another engine.
const COMFORTABLE_SLOT_SHARE: f64 = 0.9;
/// Longest pass that a late short prompt may cause, as a multiple of the shortest pause target of
/// the engine's requests.
const MAX_LATE_PASS_PAUSE_TARGETS: f64 = 1.25;
/// Number of places in the [`fill_order`].
const FILL_ORDERS: usize = 3;

/// Why a short prompt is not placed now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShortObstacle {
    prompt_tokens: Tokens,
    main_tokens: Tokens,
    pause_target: Duration,
    /// Shortest expected time to its first event on any engine that fits; `None` if none does.
    quickest: Option<Duration>,
    /// Whether a prompt that can't be on time would have to wait too.
    blocks_late_prompts: bool,
}

impl ShortObstacle {
    /// Whether a request has to wait for the same reason, however it is placed: it needs at least as
    /// much as the one that met this obstacle, and the engines have no less work than then.
    pub(crate) fn blocks(&self, profile: &EngineProfile, needs: &RequestNeeds) -> bool {
        let needs_as_much = needs.prompt_tokens >= self.prompt_tokens
            && main_tokens(profile, needs) >= self.main_tokens
            && needs.pause_target <= self.pause_target;
        if !needs_as_much {
            return false;
        }
        let limit = needs.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
        match cannot_be_on_time(profile, needs) {
            true => self.blocks_late_prompts,
            false => self.quickest.is_none_or(|quickest| quickest > limit),
        }
    }
}

/// Whether a short prompt would be late even on an idle engine.
fn cannot_be_on_time(profile: &EngineProfile, needs: &RequestNeeds) -> bool {
    let part = prefill_part(profile, needs.prompt_tokens, 1);
    let limit = needs.first_event_target_remaining.mul_f64(ON_TIME_SHARE);
    part.time + profile.pass_time() > limit
}

/// Chooses an engine for a short prompt: the first in fill order that is comfortably on time, else
/// the quickest if it is on time or the prompt would be late even on an idle engine.
/// `long_prompts_wait` tells whether long prompts wait for idle engines.
pub(crate) fn choose_short(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    candidates: &Candidates<'_>,
    long_prompts_wait: bool,
) -> Result<Placement, ShortObstacle> {
    let part = prefill_part(profile, needs.prompt_tokens, 1);
    let tokens = main_tokens(profile, needs);
    let limit = needs.first_event_target_remaining;
    let share = if long_prompts_wait { COMFORTABLE_SHARE_LONG_WAITING } else { COMFORTABLE_SHARE };
    let comfortable_limit = limit.mul_f64(share);
    // The first comfortable engine of each place in the fill order.
    let mut comfortable = [None; FILL_ORDERS];
    let mut quickest: Option<(bool, Duration, usize, usize)> = None;
    let mut shortest: Option<Duration> = None;
    for (i, c) in candidates.iter() {
        if !has_room(profile, &c, tokens)
            || !keeps_pause_targets(profile, needs, c.engine, part)
            || !c.engine.keeps_first_events(part.time)
        {
            continue;
        }
        let expected = expected_first_event(profile, &c, part);
        let order = fill_order(needs, &c);
        let slots = (c.slots as f64 * COMFORTABLE_SLOT_SHARE) as usize;
        let is_comfortable = !c.is_doubtful
            && c.engine.request_count() < slots.max(1)
            && expected <= comfortable_limit;
        if is_comfortable && order == 0 {
            return Ok(Placement::on_one_engine(i, part, expected));
        }
        if is_comfortable {
            comfortable[order].get_or_insert((i, expected));
        }
        let key = (c.is_doubtful, expected, order, i);
        quickest = Some(quickest.map_or(key, |best| best.min(key)));
        shortest = Some(shortest.map_or(expected, |best| best.min(expected)));
    }
    if let Some((i, expected)) = comfortable.into_iter().flatten().next() {
        return Ok(Placement::on_one_engine(i, part, expected));
    }
    let is_late = cannot_be_on_time(profile, needs);
    let obstacle = ShortObstacle {
        prompt_tokens: needs.prompt_tokens,
        main_tokens: tokens,
        pause_target: needs.pause_target,
        quickest: shortest,
        blocks_late_prompts: is_late,
    };
    let Some((_, expected, _, i)) = quickest else {
        let late = is_late.then(|| choose_for_late_prompt(profile, needs, candidates, part));
        return late.flatten().ok_or(obstacle);
    };
    match is_late || expected <= limit.mul_f64(ON_TIME_SHARE) {
        true => Ok(Placement::on_one_engine(i, part, expected)),
        false => Err(obstacle),
    }
}

/// Chooses an engine for a short prompt that can't be on time and that no engine can prefill within
/// its pause targets: the one with the fewest requests among those that have room and whose passes
/// stay within [`MAX_LATE_PASS_PAUSE_TARGETS`].
fn choose_for_late_prompt(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    candidates: &Candidates<'_>,
    part: PrefillPart,
) -> Option<Placement> {
    let tokens = main_tokens(profile, needs);
    let can_prefill = |c: &Candidate<'_>| {
        let target = c.engine.pause_target();
        target.is_none_or(|t| {
            part.time + profile.pass_time() <= t.mul_f64(MAX_LATE_PASS_PAUSE_TARGETS)
        })
    };
    let suitable =
        candidates.iter().filter(|(_, c)| has_room(profile, c, tokens) && can_prefill(c));
    let (main, c) = suitable.min_by_key(|(_, c)| (c.is_doubtful, c.engine.request_count()))?;
    Some(Placement::on_one_engine(main, part, expected_first_event(profile, &c, part)))
}

/// Whether the passes stay within the pause targets of this and the engine's other requests.
fn keeps_pause_targets(
    profile: &EngineProfile,
    needs: &RequestNeeds,
    engine: &Engine,
    part: PrefillPart,
) -> bool {
    let Some(target) = engine.pause_target() else { return true };
    // The prefill of the current pass is included, because the start of that pass is only
    // estimated.
    let total = engine.prefill_remaining() + part.time;
    let in_pass = total.min(engine.max_prefill_per_pass().max(part.per_pass));
    let decoding =
        profile.decode_time(engine.request_count() + 1, engine.tokens() + needs.prompt_tokens);
    let pass = decoding + in_pass.mul_f64(engine.effective_slowness() * STEP_OVERHEAD);
    pass <= target.min(needs.pause_target).mul_f64(PAUSE_SHARE)
}

/// Place in the order, below [`FILL_ORDERS`], in which engines are filled: first those whose requests have pause targets as short as
/// this request's or shorter, then idle ones, then those that this request would block for requests
/// with longer pause targets.
fn fill_order(needs: &RequestNeeds, c: &Candidate<'_>) -> usize {
    match c.engine.pause_target() {
        Some(target) if target <= needs.pause_target => 0,
        None => 1,
        Some(_) => 2,
    }
}
