//! State that an owner keeps of one upstream.

use crate::{
    announce::{DesiredState, LoadReport, UpstreamInfo},
    class::{LENGTH_CLASS_COUNT, LengthClass},
    meter::RunningMean,
    pool::PoolId,
    prefix::CachedPrefixes,
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens};

/// Index of an upstream in the fleet's table.
pub(crate) type UpstreamIndex = u32;

/// Keys of an upstream in the indices of its pools, as of its last change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IndexKeys {
    /// Whether fewer requests are in flight than the ramp allows.
    pub(crate) is_below_running_limit: bool,
    /// Predicted end of all outstanding prefills.
    pub(crate) prefill_done: Instant,
    /// Memory that can be reserved now, in tokens.
    pub(crate) free_tokens: Tokens,
    /// Total memory, in tokens.
    pub(crate) memory: Tokens,
    /// Prompt tokens in prefill, by class.
    pub(crate) prefill_tokens: [Tokens; LENGTH_CLASS_COUNT],
    pub(crate) honours_priority: bool,
    /// For each class, whether a prefill of a longer class is outstanding.
    pub(crate) has_longer_prefill: [bool; LENGTH_CLASS_COUNT],
    /// Learnt prefill rate, in tokens per second.
    pub(crate) prefill_rate: f64,
}

/// State of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Latest announcement.
    pub(crate) info: UpstreamInfo,
    /// Pools of the models that it serves.
    pub(crate) pools: Vec<PoolId>,
    pub(crate) desired_state: DesiredState,
    pub(crate) ramp_started: Instant,
    /// Time of the last announcement or report.
    pub(crate) last_heard: Instant,
    /// Last report and when it was received.
    pub(crate) reported: Option<(Instant, LoadReport)>,
    /// End of the pause after a failure.
    pub(crate) paused_until: Option<Instant>,
    pub(crate) consecutive_failures: u32,
    /// Requests in flight from this owner.
    pub(crate) requests: BTreeSet<RequestId>,
    /// Memory reserved, in tokens.
    pub(crate) reserved: Tokens,
    /// Part of `reserved` for prompts of the shortest class.
    pub(crate) reserved_short: Tokens,
    /// Highest value of `reserved` since the last report.
    reserved_peak: Tokens,
    /// Reported memory that no reservation of this owner explains, in tokens.
    unaccounted_tokens: Tokens,
    /// Prompt tokens of the outstanding prefills.
    pub(crate) prefill_tokens: Tokens,
    prefill_by_class: [Tokens; LENGTH_CLASS_COUNT],
    /// Number of outstanding prefills, by class.
    pub(crate) prefills: [u32; LENGTH_CLASS_COUNT],
    /// Predicted end of all outstanding prefills.
    pub(crate) prefill_done: Instant,
    /// Predicted end of the outstanding prefills of the shortest class.
    pub(crate) short_done: Instant,
    pub(crate) last_prefill_end: Instant,
    /// Learnt prefill rate, relative to the announced one.
    pub(crate) prefill_factor: RunningMean,
    pub(crate) prefixes: CachedPrefixes,
    /// Number of requests in flight that are suspected of crashing upstreams.
    pub(crate) suspects: u32,
    /// Queued request that its memory is held back for.
    pub(crate) held_for: Option<RequestId>,
    /// Keys in the indices of its pools; `None` if it is not in service.
    pub(crate) indexed: Option<IndexKeys>,
    /// Its time in the fleet's timers.
    pub(crate) timer: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(now: Instant, info: UpstreamInfo, pools: Vec<PoolId>) -> Self {
        let ramp_started = now.checked_sub(info.uptime).unwrap_or(now);
        Self {
            pools,
            desired_state: DesiredState::Up,
            ramp_started,
            last_heard: now,
            reported: None,
            paused_until: None,
            consecutive_failures: 0,
            requests: BTreeSet::new(),
            reserved: 0,
            reserved_short: 0,
            reserved_peak: 0,
            unaccounted_tokens: 0,
            prefill_tokens: 0,
            prefill_by_class: [0; LENGTH_CLASS_COUNT],
            prefills: [0; LENGTH_CLASS_COUNT],
            prefill_done: now,
            short_done: now,
            last_prefill_end: now,
            prefill_factor: RunningMean::new(1.0, 0.1, 2.0),
            prefixes: CachedPrefixes::default(),
            suspects: 0,
            held_for: None,
            indexed: None,
            timer: None,
            info,
        }
    }

    /// Time since the start of the ramp.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ramp_started)
    }

    pub(crate) fn is_ramping(&self, now: Instant) -> bool {
        !self.info.ramp.is_over(self.age(now))
    }

    /// Number of requests in flight from this owner.
    pub(crate) fn running(&self) -> u32 {
        self.requests.len() as u32
    }

    /// Maximum number of concurrent requests at this point of the ramp.
    pub(crate) fn allowed_running(&self, now: Instant) -> u32 {
        self.info.ramp.running_after(self.age(now), self.info.max_running)
    }

    /// Memory that can be reserved now, in tokens: within the ramp, and without memory in use by
    /// requests that this owner does not know.
    pub(crate) fn free_tokens(&self, now: Instant) -> Tokens {
        let ramp = self.info.ramp.tokens_after(self.age(now), self.info.memory_tokens);
        let free = self.info.memory_tokens.saturating_sub(self.unaccounted_tokens);
        ramp.min(free).saturating_sub(self.reserved)
    }

    /// Whether it may receive new work: not retired, draining, silent or paused.
    pub(crate) fn is_serving(&self, now: Instant, silence: Duration) -> bool {
        self.desired_state == DesiredState::Up
            && !self.info.is_draining
            && now.saturating_duration_since(self.last_heard) < silence
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Whether one more request fits, by number and by memory.
    pub(crate) fn fits(&self, now: Instant, need: Tokens) -> bool {
        self.running() < self.allowed_running(now) && need <= self.free_tokens(now)
    }

    /// Learnt prefill rate, in tokens per second.
    pub(crate) fn prefill_rate(&self) -> f64 {
        self.info.prefill_tokens_per_second as f64 * self.prefill_factor.get()
    }

    /// Predicted duration of a prefill; zero for a plain service.
    pub(crate) fn prefill_time(&self, tokens: Tokens) -> Duration {
        let rate = self.prefill_rate();
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((tokens as f64 / rate).min(MAX_PREDICTED_SECONDS))
    }

    /// Predicted time before the prefill of a new request of this class can start. On an engine
    /// that honours priorities, a short prompt waits only for other short ones and for the engine
    /// to interrupt a longer prefill.
    pub(crate) fn backlog(&self, now: Instant, class: LengthClass) -> Duration {
        if !self.info.honours_priority || class != LengthClass::Short {
            return self.prefill_done.saturating_duration_since(now);
        }
        let ahead = self.short_done.saturating_duration_since(now);
        let must_overtake = self.has_prefill_from(LengthClass::Medium);
        if must_overtake { ahead.max(OVERTAKE_DELAY) } else { ahead }
    }

    /// Whether a prefill of this class or a longer one is outstanding.
    pub(crate) fn has_prefill_from(&self, class: LengthClass) -> bool {
        self.prefills[class.index()..].iter().any(|n| *n > 0)
    }

    /// Reserves memory for a request, in tokens.
    pub(crate) fn reserve(&mut self, request: &RequestId, class: LengthClass, tokens: Tokens) {
        self.requests.insert(request.clone());
        self.reserved += tokens;
        self.reserved_peak = self.reserved_peak.max(self.reserved);
        if class == LengthClass::Short {
            self.reserved_short += tokens;
        }
    }

    /// Releases the memory reserved for a request.
    pub(crate) fn release(&mut self, request: &RequestId, class: LengthClass, tokens: Tokens) {
        self.requests.remove(request);
        self.reserved -= tokens;
        if class == LengthClass::Short {
            self.reserved_short -= tokens;
        }
    }

    /// Adds a prefill to the outstanding ones and to their predicted end.
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

    /// Removes a prefill that has ended or was cancelled. The end of the remaining ones is
    /// predicted again from now, so that prediction errors do not accumulate.
    pub(crate) fn remove_prefill(&mut self, now: Instant, class: LengthClass, tokens: Tokens) {
        self.prefill_tokens -= tokens;
        self.prefill_by_class[class.index()] -= tokens;
        self.prefills[class.index()] -= 1;
        let remaining_done = now + self.prefill_time(self.prefill_tokens);
        self.prefill_done = self.prefill_done.min(remaining_done);
        self.short_done = self.short_done.min(self.prefill_done);
        self.last_prefill_end = now;
    }

    /// Records that an outstanding prefill has progressed by this number of tokens.
    pub(crate) fn shrink_prefill(&mut self, now: Instant, class: LengthClass, by: Tokens) {
        self.prefill_tokens -= by;
        self.prefill_by_class[class.index()] -= by;
        self.prefill_done = now + self.prefill_time(self.prefill_tokens);
    }

    /// Applies the reported memory in use. Memory beyond the highest reservation since the last
    /// report belongs to requests that this owner does not know, such as those of its predecessor.
    pub(crate) fn apply_report(&mut self, now: Instant, report: LoadReport) {
        self.unaccounted_tokens = report.memory_used.saturating_sub(self.reserved_peak);
        self.reserved_peak = self.reserved;
        self.reported = Some((now, report));
        self.last_heard = now;
    }

    /// Resets what does not apply to a new incarnation: reports, cached prefixes and the pause.
    /// The ramp starts over.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.ramp_started = now;
        self.reported = None;
        self.reserved_peak = 0;
        self.unaccounted_tokens = 0;
        self.prefixes = CachedPrefixes::default();
        self.paused_until = None;
    }

    /// Keys for the indices of its pools, or `None` if it is not in service.
    pub(crate) fn index_keys(
        &self,
        now: Instant,
        is_data_centre_in_service: bool,
        silence: Duration,
    ) -> Option<IndexKeys> {
        if !is_data_centre_in_service || !self.is_serving(now, silence) {
            return None;
        }
        let has_longer_prefill =
            std::array::from_fn(|t| self.prefills[t + 1..].iter().any(|n| *n > 0));
        Some(IndexKeys {
            is_below_running_limit: self.running() < self.allowed_running(now),
            prefill_done: self.prefill_done,
            free_tokens: self.free_tokens(now),
            memory: self.info.memory_tokens,
            prefill_tokens: self.prefill_by_class,
            honours_priority: self.info.honours_priority,
            has_longer_prefill,
            prefill_rate: self.prefill_rate(),
        })
    }

    /// Time at which the index keys may change without an event.
    pub(crate) fn next_timer(&self, now: Instant, silence: Duration) -> Option<Instant> {
        let ramp = self.is_ramping(now).then(|| now + RAMP_CHECK_INTERVAL);
        let silent = self.last_heard + silence;
        let silent = (silent > now).then_some(silent);
        let paused = self.paused_until.filter(|until| *until > now);
        ramp.into_iter().chain(silent).chain(paused).min()
    }
}

/// Time until an engine that honours priorities switches from a longer prefill to a short one: it
/// finishes the current chunk first.
const OVERTAKE_DELAY: Duration = Duration::from_millis(50);

/// Interval at which the limits of a ramping upstream are updated.
const RAMP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Upper limit of predicted durations, in seconds.
const MAX_PREDICTED_SECONDS: f64 = 86_400.0;
