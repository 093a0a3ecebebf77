//! State of one upstream at its owner.

use crate::{
    announce::{DesiredState, LoadReport, UpstreamInfo},
    class::{LENGTH_CLASS_COUNT, LengthClass},
    meter::Mean,
    pool::PoolId,
    prefix::Prefixes,
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens};

/// Index of an upstream in the fleet's table.
pub(crate) type Slot = u32;

/// Keys under which an upstream stands in the indexes of its pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Indexed {
    pub(crate) is_open: bool,
    pub(crate) prefill_done: Instant,
    pub(crate) room: Tokens,
    pub(crate) memory: Tokens,
    /// Prompt tokens in prefill, by class.
    pub(crate) prefill_tokens: [Tokens; LENGTH_CLASS_COUNT],
    pub(crate) honours_priority: bool,
    pub(crate) has_longer: [bool; LENGTH_CLASS_COUNT],
    pub(crate) prefill_rate: f64,
}

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) ann: UpstreamInfo,
    pub(crate) pools: Vec<PoolId>,
    pub(crate) desired_state: DesiredState,
    pub(crate) ramp_started: Instant,
    pub(crate) heard: Instant,
    pub(crate) reported: Option<(Instant, LoadReport)>,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) failures: u32,
    pub(crate) requests: BTreeSet<RequestId>,
    pub(crate) reserved: Tokens,
    pub(crate) reserved_short: Tokens,
    reserved_peak: Tokens,
    foreign: Tokens,
    pub(crate) prefill_tokens: Tokens,
    prefill_by_class: [Tokens; LENGTH_CLASS_COUNT],
    pub(crate) prefills: [u32; LENGTH_CLASS_COUNT],
    pub(crate) prefill_done: Instant,
    pub(crate) short_done: Instant,
    pub(crate) last_prefill_end: Instant,
    /// Learnt rate of prefill, relative to the announced one.
    pub(crate) prefill_factor: Mean,
    pub(crate) prefixes: Prefixes,
    /// Requests in flight that are suspected of crashing upstreams.
    pub(crate) suspects: u32,
    pub(crate) held_by: Option<RequestId>,
    pub(crate) indexed: Option<Indexed>,
    pub(crate) timer: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(now: Instant, ann: UpstreamInfo, pools: Vec<PoolId>) -> Self {
        let ramp_started = now.checked_sub(ann.uptime).unwrap_or(now);
        Self {
            pools,
            desired_state: DesiredState::Up,
            ramp_started,
            heard: now,
            reported: None,
            paused_until: None,
            failures: 0,
            requests: BTreeSet::new(),
            reserved: 0,
            reserved_short: 0,
            reserved_peak: 0,
            foreign: 0,
            prefill_tokens: 0,
            prefill_by_class: [0; LENGTH_CLASS_COUNT],
            prefills: [0; LENGTH_CLASS_COUNT],
            prefill_done: now,
            short_done: now,
            last_prefill_end: now,
            prefill_factor: Mean::new(1.0, 0.1, 2.0),
            prefixes: Prefixes::default(),
            suspects: 0,
            held_by: None,
            indexed: None,
            timer: None,
            ann,
        }
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ramp_started)
    }

    pub(crate) fn is_ramping(&self, now: Instant) -> bool {
        !self.ann.ramp.is_over(self.age(now))
    }

    pub(crate) fn running(&self) -> u32 {
        self.requests.len() as u32
    }

    pub(crate) fn allowed_running(&self, now: Instant) -> u32 {
        self.ann.ramp.running_after(self.age(now), self.ann.max_running)
    }

    /// Memory that may be promised now, in tokens.
    pub(crate) fn room(&self, now: Instant) -> Tokens {
        let ramp = self.ann.ramp.tokens_after(self.age(now), self.ann.memory_tokens);
        let free = self.ann.memory_tokens.saturating_sub(self.foreign);
        ramp.min(free).saturating_sub(self.reserved)
    }

    /// Whether it may get any new work.
    pub(crate) fn is_serving(&self, now: Instant, silence: Duration) -> bool {
        self.desired_state == DesiredState::Up
            && !self.ann.is_leaving
            && now.saturating_duration_since(self.heard) < silence
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Whether one more request fits, by number and by memory.
    pub(crate) fn fits(&self, now: Instant, need: Tokens) -> bool {
        self.running() < self.allowed_running(now) && need <= self.room(now)
    }

    pub(crate) fn prefill_rate(&self) -> f64 {
        self.ann.prefill_tokens_per_second as f64 * self.prefill_factor.get()
    }

    pub(crate) fn prefill_time(&self, tokens: Tokens) -> Duration {
        let rate = self.prefill_rate();
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((tokens as f64 / rate).min(MAX_SECONDS))
    }

    /// Prefill work ahead of a new request of this class.
    pub(crate) fn backlog(&self, now: Instant, class: LengthClass) -> Duration {
        if !self.ann.honours_priority || class != LengthClass::Short {
            return self.prefill_done.saturating_duration_since(now);
        }
        let ahead = self.short_done.saturating_duration_since(now);
        let must_overtake = self.has_prefill_from(LengthClass::Medium);
        if must_overtake { ahead.max(OVERTAKING) } else { ahead }
    }

    /// Whether a prefill of this class or a longer one is outstanding.
    pub(crate) fn has_prefill_from(&self, class: LengthClass) -> bool {
        self.prefills[class.index()..].iter().any(|n| *n > 0)
    }

    pub(crate) fn reserve(&mut self, request: &RequestId, class: LengthClass, tokens: Tokens) {
        self.requests.insert(request.clone());
        self.reserved += tokens;
        self.reserved_peak = self.reserved_peak.max(self.reserved);
        if class == LengthClass::Short {
            self.reserved_short += tokens;
        }
    }

    pub(crate) fn release(&mut self, request: &RequestId, class: LengthClass, tokens: Tokens) {
        self.requests.remove(request);
        self.reserved -= tokens;
        if class == LengthClass::Short {
            self.reserved_short -= tokens;
        }
    }

    pub(crate) fn add_prefill(&mut self, now: Instant, class: LengthClass, tokens: Tokens) {
        self.prefill_tokens += tokens;
        self.prefill_by_class[class.index()] += tokens;
        self.prefills[class.index()] += 1;
        let time = self.prefill_time(tokens);
        self.prefill_done = self.prefill_done.max(now) + time;
        if class == LengthClass::Short {
            self.short_done = self.short_done.max(now) + time;
        }
    }

    /// Takes out a prefill that has ended or will not be done; what is left is
    /// predicted anew from now, so that errors do not add up.
    pub(crate) fn remove_prefill(&mut self, now: Instant, class: LengthClass, tokens: Tokens) {
        self.prefill_tokens -= tokens;
        self.prefill_by_class[class.index()] -= tokens;
        self.prefills[class.index()] -= 1;
        let left = now + self.prefill_time(self.prefill_tokens);
        self.prefill_done = self.prefill_done.min(left);
        self.short_done = self.short_done.min(self.prefill_done);
        self.last_prefill_end = now;
    }

    /// Takes in how much of an outstanding prefill is left.
    pub(crate) fn shrink_prefill(&mut self, now: Instant, class: LengthClass, by: Tokens) {
        self.prefill_tokens -= by;
        self.prefill_by_class[class.index()] -= by;
        self.prefill_done = now + self.prefill_time(self.prefill_tokens);
    }

    /// Takes in the memory in use as reported. Memory beyond the most that was
    /// promised since the last report belongs to requests of someone else.
    pub(crate) fn take_report(&mut self, now: Instant, report: LoadReport) {
        self.foreign = report.memory_used.saturating_sub(self.reserved_peak);
        self.reserved_peak = self.reserved;
        self.reported = Some((now, report));
        self.heard = now;
    }

    /// Forgets what the former incarnation had promised and learnt.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.ramp_started = now;
        self.reported = None;
        self.reserved_peak = 0;
        self.foreign = 0;
        self.prefixes = Prefixes::default();
        self.paused_until = None;
    }

    pub(crate) fn index_keys(
        &self,
        now: Instant,
        may_serve: bool,
        silence: Duration,
    ) -> Option<Indexed> {
        if !may_serve || !self.is_serving(now, silence) {
            return None;
        }
        let has_longer = std::array::from_fn(|t| self.prefills[t + 1..].iter().any(|n| *n > 0));
        Some(Indexed {
            is_open: self.running() < self.allowed_running(now),
            prefill_done: self.prefill_done,
            room: self.room(now),
            memory: self.ann.memory_tokens,
            prefill_tokens: self.prefill_by_class,
            honours_priority: self.ann.honours_priority,
            has_longer,
            prefill_rate: self.prefill_rate(),
        })
    }

    /// When the index keys should be looked at again without an event.
    pub(crate) fn next_timer(&self, now: Instant, silence: Duration) -> Option<Instant> {
        let ramp = self.is_ramping(now).then(|| now + RAMP_STEP);
        let silent = self.heard + silence;
        let silent = (silent > now).then_some(silent);
        let paused = self.paused_until.filter(|until| *until > now);
        ramp.into_iter().chain(silent).chain(paused).min()
    }
}

/// Time until an engine that honours priorities turns from a longer prefill to
/// a short one.
const OVERTAKING: Duration = Duration::from_millis(50);

/// How often a ramping upstream's allowance is looked at.
const RAMP_STEP: Duration = Duration::from_millis(250);

/// Longest time that is ever predicted, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
