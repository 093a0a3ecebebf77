//! The dispatcher's model of one engine: its pending work, memory and health.

use crate::request::GrantId;
use routing::EngineProfile;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};
use wire::Tokens;

/// Weight of the newest sample in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Lowest slowness that is taken into account: the times to first events vary by this factor on a
/// healthy engine.
const SLOWNESS_FLOOR: f64 = 1.8;
/// Highest slowness that one sample may count as, so that a single lost response doesn't dominate
/// the average.
const SLOWNESS_CAP: f64 = 8.0;
/// Time after a first failure during which an engine is avoided: it gets short prompts only if no
/// other engine fits, and no long ones. It doubles with each further failure.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_000);
/// Longest such time.
const MAX_FAILURE_PENALTY: Duration = Duration::from_secs(8);
/// Window over which attempts are counted, as the limit for cold upstreams is per second.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Delay from an event at an engine until its report arrives here: entry daemons batch their
/// reports for 15 ms.
const REPORT_DELAY: Duration = Duration::from_millis(16);

/// A request that an engine decodes, or will decode once its prompt is prefilled.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Memory in tokens that it occupies here when its response is complete.
    pub(crate) tokens: Tokens,
    /// Longest pause between two of its events that counts as on time.
    pub(crate) pause_target: Duration,
    /// Time that its passes may still spend on prefill for other requests without making its
    /// response late.
    pub(crate) prefill_slack: Duration,
    /// Whether its prompt is prefilled, as reported or as the model expects.
    pub(crate) is_prefilled: bool,
    /// Time by which its first event may come later than expected without being late; `None` once it
    /// has come, or if it is late anyway.
    pub(crate) first_event_slack: Option<Duration>,
}

/// A part of a prompt that an engine has yet to prefill.
#[derive(Clone, Debug)]
struct PendingPrefill {
    grant: GrantId,
    /// Remaining prefill time, including that of the current pass.
    remaining: Duration,
    /// Prefill time that a decoding pass spends on this prompt if it prefills no other.
    per_pass: Duration,
    /// Prefill time that the current pass spends on it.
    in_pass: Duration,
}

/// Sums and extremes over an engine's work, kept up to date by each change of it: placement reads
/// them far more often than they change.
#[derive(Clone, Copy, Debug)]
struct Totals {
    /// Whether the prompt of any of its requests is prefilled.
    is_decoding: bool,
    /// Whether any of its requests waits for the prefill of its own prompt.
    has_pending_own_prefill: bool,
    tokens: Tokens,
    pause_target: Option<Duration>,
    prefill_slack: Duration,
    /// Time by which first events may be delayed.
    first_event_slack: Duration,
    /// Prefill time of all its prompts, and that beyond the current pass, by the profile's rates.
    prefill: Duration,
    queued_prefill: Duration,
    max_prefill_per_pass: Duration,
}

impl Totals {
    /// Totals of an engine without work.
    const IDLE: Self = Self {
        is_decoding: false,
        has_pending_own_prefill: false,
        tokens: 0,
        pause_target: None,
        prefill_slack: Duration::MAX,
        first_event_slack: Duration::MAX,
        prefill: Duration::ZERO,
        queued_prefill: Duration::ZERO,
        max_prefill_per_pass: Duration::ZERO,
    };
}

/// Load and health of one engine.
///
/// The model advances the engine's passes by the rates of the profile: a prompt that arrives during
/// a pass is prefilled in the next one, and its first event comes with the pass after that. Reports
/// of first events correct the assumed start of the passes.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// Duration of a pass that only decodes.
    pass_time: Duration,
    /// Steps of such a pass.
    steps: u32,
    requests: BTreeMap<GrantId, EngineRequest>,
    prefills: VecDeque<PendingPrefill>,
    /// Memory reserved here for requests that other engines decode.
    reserved: BTreeMap<GrantId, Tokens>,
    /// Expected end of the current pass, if one is running.
    pass_end: Option<Instant>,
    /// Times of the attempts within [`RATE_WINDOW`].
    attempts: VecDeque<Instant>,
    /// Number of failures that no success has offset yet.
    failures: u32,
    penalty_until: Option<Instant>,
    last_success: Option<Instant>,
    /// Moving average of the actual over the expected time to first events.
    slowness: f64,
    totals: Totals,
}

impl Engine {
    pub(crate) fn new(profile: &EngineProfile) -> Self {
        Self {
            pass_time: profile.pass_time(),
            steps: profile.steps_per_pass.max(1),
            requests: BTreeMap::new(),
            prefills: VecDeque::new(),
            reserved: BTreeMap::new(),
            pass_end: None,
            attempts: VecDeque::new(),
            failures: 0,
            penalty_until: None,
            last_success: None,
            slowness: 1.0,
            totals: Totals::IDLE,
        }
    }

    /// Brings the totals up to date with the engine's work.
    fn update_totals(&mut self) {
        let mut totals = Totals::IDLE;
        for request in self.requests.values() {
            totals.is_decoding |= request.is_prefilled;
            totals.has_pending_own_prefill |= !request.is_prefilled;
            totals.tokens += request.tokens;
            totals.prefill_slack = totals.prefill_slack.min(request.prefill_slack);
            if let Some(slack) = request.first_event_slack {
                totals.first_event_slack = totals.first_event_slack.min(slack);
            }
            let shortest = totals.pause_target.unwrap_or(Duration::MAX);
            totals.pause_target = Some(shortest.min(request.pause_target));
        }
        totals.tokens += self.reserved.values().sum::<Tokens>();
        for prefill in &self.prefills {
            totals.prefill += prefill.remaining;
            totals.queued_prefill += prefill.remaining - prefill.in_pass;
            totals.max_prefill_per_pass = totals.max_prefill_per_pass.max(prefill.per_pass);
        }
        self.totals = totals;
    }

    /// Advances the model to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let is_pass_due = match self.pass_end {
            Some(end) => end <= now,
            None => !self.requests.is_empty() || !self.prefills.is_empty(),
        };
        if is_pass_due {
            while let Some(end) = self.pass_end.filter(|end| *end <= now) {
                self.end_pass();
                self.start_pass(end);
            }
            self.start_pass(now);
            self.update_totals();
        }
        while self.attempts.front().is_some_and(|at| now.duration_since(*at) >= RATE_WINDOW) {
            self.attempts.pop_front();
        }
    }

    /// Starts a pass at `at` if none is running and there is work.
    fn start_pass(&mut self, at: Instant) {
        if self.pass_end.is_some() || self.is_idle() {
            return;
        }
        let is_decoding = self.requests.values().any(|request| request.is_prefilled);
        let mut time = Duration::ZERO;
        if is_decoding {
            // All prompts share the prefill chunks of a pass; this is the share that is still free.
            let mut free_share = 1.0;
            for prefill in &mut self.prefills {
                prefill.in_pass = prefill.remaining.min(prefill.per_pass.mul_f64(free_share));
                let share =
                    prefill.in_pass.as_secs_f64() / prefill.per_pass.as_secs_f64().max(1e-6);
                free_share = (free_share - share).max(0.0);
                time += prefill.in_pass;
            }
            time += self.pass_time;
        } else if let Some(first) = self.prefills.front_mut() {
            // Without decoding requests a pass is a single step.
            first.in_pass = first.remaining.min((first.per_pass / self.steps).max(MIN_STEP));
            time = first.in_pass;
        } else {
            // Only memory is reserved here, for requests that other engines decode.
            return;
        }
        self.pass_end = Some(at + time.mul_f64(self.effective_slowness()));
    }

    /// Ends the current pass: what it prefilled is done.
    fn end_pass(&mut self) {
        self.pass_end = None;
        let in_pass: Duration = self.prefills.iter().map(|prefill| prefill.in_pass).sum();
        for request in self.requests.values_mut().filter(|request| request.is_prefilled) {
            request.prefill_slack = request.prefill_slack.saturating_sub(in_pass);
        }
        for prefill in &mut self.prefills {
            prefill.remaining -= prefill.in_pass;
            prefill.in_pass = Duration::ZERO;
        }
        let finished = self.prefills.iter().filter(|prefill| prefill.remaining.is_zero());
        let finished: Vec<GrantId> = finished.map(|prefill| prefill.grant).collect();
        self.prefills.retain(|prefill| !prefill.remaining.is_zero());
        for grant in finished {
            if let Some(request) = self.requests.get_mut(&grant) {
                request.is_prefilled = true;
            }
        }
    }

    /// Adds a request that this engine is to decode, and counts it as an attempt.
    pub(crate) fn add_request(&mut self, now: Instant, grant: GrantId, request: EngineRequest) {
        self.requests.insert(grant, request);
        self.attempts.push_back(now);
        self.update_totals();
    }

    /// Adds a part of a prompt to prefill, and starts a pass if none is running.
    pub(crate) fn add_prefill(
        &mut self,
        now: Instant,
        grant: GrantId,
        remaining: Duration,
        per_pass: Duration,
    ) {
        let in_pass = Duration::ZERO;
        let delay = remaining.mul_f64(self.effective_slowness());
        for (other, request) in &mut self.requests {
            if *other != grant
                && let Some(slack) = &mut request.first_event_slack
            {
                *slack = slack.saturating_sub(delay);
            }
        }
        self.prefills.push_back(PendingPrefill { grant, remaining, per_pass, in_pass });
        self.start_pass(now);
        self.update_totals();
    }

    /// Records that the first event of a grant has arrived, which means that a pass has just ended.
    pub(crate) fn first_event_received(&mut self, now: Instant, grant: GrantId) {
        self.prefills.retain(|prefill| prefill.grant != grant);
        if let Some(request) = self.requests.get_mut(&grant) {
            request.is_prefilled = true;
            request.first_event_slack = None;
            if self.pass_end.is_some() {
                self.end_pass();
            }
            self.start_pass(now.checked_sub(REPORT_DELAY).unwrap_or(now));
        }
        self.update_totals();
    }

    /// Removes all work and reservations of a grant that has ended.
    pub(crate) fn remove(&mut self, grant: GrantId) {
        self.prefills.retain(|prefill| prefill.grant != grant);
        self.requests.remove(&grant);
        self.reserved.remove(&grant);
        self.update_totals();
    }

    /// Reserves memory for a request that another engine decodes.
    pub(crate) fn reserve(&mut self, grant: GrantId, tokens: Tokens) {
        if tokens > 0 {
            self.reserved.insert(grant, tokens);
            self.update_totals();
        }
    }

    /// Remaining time of the current pass if the engine decodes, otherwise zero.
    pub(crate) fn pass_remaining(&self, now: Instant) -> Duration {
        let remaining = self.pass_end.map(|end| end.saturating_duration_since(now));
        remaining.filter(|_| self.totals.is_decoding).unwrap_or_default()
    }

    /// Prefill time that is queued beyond the current pass, and so comes before a new request.
    pub(crate) fn queued_prefill(&self) -> Duration {
        self.totals.queued_prefill.mul_f64(self.effective_slowness())
    }

    /// Whether any request that it runs still waits for the prefill of its own prompt.
    pub(crate) fn has_pending_own_prefill(&self) -> bool {
        self.totals.has_pending_own_prefill
    }

    /// Prefill time that the engine can take on so that all its responses still end in time.
    pub(crate) fn prefill_slack(&self) -> Duration {
        self.totals.prefill_slack
    }

    /// Whether a prompt with this prefill time may be added without making the first event of a
    /// request late that is on time now: all prompts of a pass lengthen it.
    pub(crate) fn keeps_first_events(&self, prefill: Duration) -> bool {
        prefill.mul_f64(self.effective_slowness()) <= self.totals.first_event_slack
    }

    /// Number of requests that it runs, without those it is a helper for.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Whether it runs no request, prefills nothing and has no reservations.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.prefills.is_empty() && self.reserved.is_empty()
    }

    /// Memory in tokens that its requests and reservations occupy when their responses are
    /// complete.
    pub(crate) fn tokens(&self) -> Tokens {
        self.totals.tokens
    }

    /// Time until all assigned prompts are prefilled.
    pub(crate) fn prefill_remaining(&self) -> Duration {
        self.totals.prefill.mul_f64(self.effective_slowness())
    }

    /// Longest prefill time that a decoding pass spends on any one of its prompts.
    pub(crate) fn max_prefill_per_pass(&self) -> Duration {
        self.totals.max_prefill_per_pass
    }

    /// Shortest pause target of its requests.
    pub(crate) fn pause_target(&self) -> Option<Duration> {
        self.totals.pause_target
    }

    /// Number of requests sent to it within the last second.
    pub(crate) fn recent_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Factor by which it is slower than its service's profile; 1 below [`SLOWNESS_FLOOR`].
    pub(crate) fn effective_slowness(&self) -> f64 {
        if self.slowness < SLOWNESS_FLOOR { 1.0 } else { self.slowness }
    }

    /// Updates the slowness by the expected and the actual time to a first event.
    pub(crate) fn record_first_event_time(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = ratio.clamp(0.5, SLOWNESS_CAP);
        self.slowness += (sample - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Records that a response was complete. Each success offsets one failure.
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.failures = self.failures.saturating_sub(1);
        self.last_success = Some(now);
        if self.failures == 0 {
            self.penalty_until = None;
        }
    }

    /// Records that a request failed here.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        let doublings = (self.failures - 1).min(8);
        let penalty = FAILURE_PENALTY.saturating_mul(1 << doublings).min(MAX_FAILURE_PENALTY);
        self.penalty_until = Some(now + penalty);
    }

    /// Whether it is avoided because of a recent failure.
    pub(crate) fn has_failed_recently(&self, now: Instant) -> bool {
        self.penalty_until.is_some_and(|until| until > now)
    }

    /// Whether a response was complete within the last `window`.
    pub(crate) fn succeeded_within(&self, now: Instant, window: Duration) -> bool {
        self.last_success.is_some_and(|at| now.saturating_duration_since(at) < window)
    }
}

/// Shortest step that is modelled on its own.
const MIN_STEP: Duration = Duration::from_millis(5);

/// Cost of one part of a prompt for the engine that prefills it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillPart {
    /// Prefill time in total.
    pub(crate) time: Duration,
    /// Prefill time that a decoding pass spends on it if it prefills no other.
    pub(crate) per_pass: Duration,
}

/// Cost of each part if a prompt is split evenly over `engines`.
pub(crate) fn prefill_part(profile: &EngineProfile, prompt: Tokens, engines: usize) -> PrefillPart {
    let engines = u32::try_from(engines.max(1)).unwrap_or(u32::MAX);
    let time = profile.prefill_time(prompt) / engines;
    // A part has fewer chunks than the whole prompt, each of the same cost.
    PrefillPart { time, per_pass: profile.full_pass_prefill_time(prompt) }
}
