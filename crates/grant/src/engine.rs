//! What one engine has to do, as the dispatcher knows it.

use crate::request::GrantId;
use routing::EngineProfile;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};
use wire::Tokens;

/// Weight of the newest sample in the measured slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Least slowness that is believed: first events vary by this much on a sound engine.
const SLOWNESS_FLOOR: f64 = 1.8;
/// Most slowness that one sample may show, so that one lost answer does not stand for all.
const SLOWNESS_CAP: f64 = 8.0;
/// First time for which an engine that failed gets work only if there is no other.
const PENALTY: Duration = Duration::from_millis(1_000);
/// Longest such time, after several failures in a row.
const PENALTY_MAX: Duration = Duration::from_secs(8);
/// Window over which sends are counted, as the bound on cold upstreams is per second.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Delay from an event at an engine to its report here: the entry daemons collect news for
/// 15 ms.
const REPORT_DELAY: Duration = Duration::from_millis(16);

/// A request that an engine runs.
#[derive(Clone, Debug)]
pub(crate) struct Main {
    pub(crate) tokens: Tokens,
    pub(crate) pause_target: Duration,
    /// Time that its passes may take for reading others, so that it is written in time.
    pub(crate) slack: Duration,
    /// Whether its prompt is read, as reported or as expected.
    pub(crate) is_read: bool,
}

/// A part of a prompt that an engine has yet to read.
#[derive(Clone, Debug)]
struct Reading {
    grant: GrantId,
    left: Duration,
    /// Time of a writing pass that reads nothing else.
    per_pass: Duration,
    /// What the pass under way takes in.
    taken: Duration,
}

/// Load and health of one engine.
///
/// Its passes are followed by the profile's rates: what comes during a pass is read in the
/// next one, and its first event comes with the one after. Reports of first events correct
/// where the passes begin.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// Time of a pass that writes and reads nothing, and its steps.
    pass_time: Duration,
    steps: u32,
    mains: BTreeMap<GrantId, Main>,
    readings: VecDeque<Reading>,
    /// Memory reserved for prompts that other engines write.
    held: BTreeMap<GrantId, Tokens>,
    pass_ends: Option<Instant>,
    sends: VecDeque<Instant>,
    failures: u32,
    penalty_until: Option<Instant>,
    succeeded: Option<Instant>,
    slowness: f64,
}

impl Engine {
    pub(crate) fn new(profile: &EngineProfile) -> Self {
        Self {
            pass_time: profile.pass_time(),
            steps: profile.steps_per_pass.max(1),
            mains: BTreeMap::new(),
            readings: VecDeque::new(),
            held: BTreeMap::new(),
            pass_ends: None,
            sends: VecDeque::new(),
            failures: 0,
            penalty_until: None,
            succeeded: None,
            slowness: 1.0,
        }
    }

    /// Lets the engine work up to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(ends) = self.pass_ends.filter(|ends| *ends <= now) {
            self.end_pass();
            self.start_pass(ends);
        }
        self.start_pass(now);
        while self.sends.front().is_some_and(|at| now.duration_since(*at) >= RATE_WINDOW) {
            self.sends.pop_front();
        }
    }

    /// Starts a pass, if none is under way and there is anything to do.
    fn start_pass(&mut self, at: Instant) {
        if self.pass_ends.is_some() || self.is_idle() {
            return;
        }
        let has_writers = self.mains.values().any(|main| main.is_read);
        let mut time = Duration::ZERO;
        if has_writers {
            // The prompts share the pieces of a pass.
            let mut pieces = 1.0;
            for reading in &mut self.readings {
                reading.taken = reading.left.min(reading.per_pass.mul_f64(pieces));
                let share = reading.taken.as_secs_f64() / reading.per_pass.as_secs_f64().max(1e-6);
                pieces = (pieces - share).max(0.0);
                time += reading.taken;
            }
            time += self.pass_time;
        } else if let Some(first) = self.readings.front_mut() {
            // Without writers a pass is one step.
            first.taken = first.left.min((first.per_pass / self.steps).max(STEP_MIN));
            time = first.taken;
        } else {
            // Helpers elsewhere still read; the engine waits for them.
            return;
        }
        self.pass_ends = Some(at + time.mul_f64(self.believed_slowness()));
    }

    fn end_pass(&mut self) {
        self.pass_ends = None;
        let taken: Duration = self.readings.iter().map(|reading| reading.taken).sum();
        for main in self.mains.values_mut().filter(|main| main.is_read) {
            main.slack = main.slack.saturating_sub(taken);
        }
        for reading in &mut self.readings {
            reading.left -= reading.taken;
            reading.taken = Duration::ZERO;
        }
        let read = self.readings.iter().filter(|reading| reading.left.is_zero());
        let read: Vec<GrantId> = read.map(|reading| reading.grant).collect();
        self.readings.retain(|reading| !reading.left.is_zero());
        for grant in read {
            if let Some(main) = self.mains.get_mut(&grant) {
                main.is_read = true;
            }
        }
    }

    pub(crate) fn add_main(&mut self, now: Instant, grant: GrantId, main: Main) {
        self.mains.insert(grant, main);
        self.sends.push_back(now);
    }

    pub(crate) fn add_reading(
        &mut self,
        now: Instant,
        grant: GrantId,
        left: Duration,
        per_pass: Duration,
    ) {
        let taken = Duration::ZERO;
        self.readings.push_back(Reading { grant, left, per_pass, taken });
        self.start_pass(now);
    }

    /// The first event of a grant has come, so a pass has just ended.
    pub(crate) fn has_read(&mut self, now: Instant, grant: GrantId) {
        self.readings.retain(|reading| reading.grant != grant);
        let Some(main) = self.mains.get_mut(&grant) else { return };
        main.is_read = true;
        if self.pass_ends.is_some() {
            self.end_pass();
        }
        self.start_pass(now.checked_sub(REPORT_DELAY).unwrap_or(now));
    }

    /// A grant has ended.
    pub(crate) fn remove(&mut self, grant: GrantId) {
        self.readings.retain(|reading| reading.grant != grant);
        self.mains.remove(&grant);
        self.held.remove(&grant);
    }

    /// Reserves memory for a grant.
    pub(crate) fn hold(&mut self, grant: GrantId, tokens: Tokens) {
        if tokens > 0 {
            self.held.insert(grant, tokens);
        }
    }

    /// Time until the pass under way ends, if it writes.
    pub(crate) fn pass_left(&self, now: Instant) -> Duration {
        let has_writers = self.mains.values().any(|main| main.is_read);
        let left = self.pass_ends.map(|ends| ends.saturating_duration_since(now));
        left.filter(|_| has_writers).unwrap_or_default()
    }

    /// Reading that the next pass takes in, or that goes before a new request.
    pub(crate) fn next_reading(&self) -> Duration {
        let left: Duration = self.readings.iter().map(|r| r.left - r.taken).sum();
        left.mul_f64(self.believed_slowness())
    }

    /// Whether a request that it runs waits for its own prompt to be read.
    pub(crate) fn is_awaited(&self) -> bool {
        self.mains.values().any(|main| !main.is_read)
    }

    /// Reading after which all its requests are still written in time.
    pub(crate) fn slack(&self) -> Duration {
        self.mains.values().map(|main| main.slack).min().unwrap_or(Duration::MAX)
    }

    /// Requests that it runs.
    pub(crate) fn mains(&self) -> usize {
        self.mains.len()
    }

    /// Whether it neither runs nor reads anything.
    pub(crate) fn is_idle(&self) -> bool {
        self.mains.is_empty() && self.readings.is_empty() && self.held.is_empty()
    }

    /// Tokens that its requests hold at their end.
    pub(crate) fn tokens(&self) -> Tokens {
        let mains = self.mains.values().map(|main| main.tokens);
        mains.sum::<Tokens>() + self.held.values().sum::<Tokens>()
    }

    /// Time until all that was handed out is read.
    pub(crate) fn reading_left(&self) -> Duration {
        let left: Duration = self.readings.iter().map(|reading| reading.left).sum();
        left.mul_f64(self.believed_slowness())
    }

    /// Most reading of one prompt that a writing pass takes in.
    pub(crate) fn longest_per_pass(&self) -> Duration {
        self.readings.iter().map(|reading| reading.per_pass).max().unwrap_or_default()
    }

    /// Shortest pause target of its requests.
    pub(crate) fn pause_target(&self) -> Option<Duration> {
        self.mains.values().map(|main| main.pause_target).min()
    }

    /// Requests sent to it within the last second.
    pub(crate) fn recent_sends(&self) -> usize {
        self.sends.len()
    }

    /// Factor by which it is slower than its service's profile.
    pub(crate) fn believed_slowness(&self) -> f64 {
        if self.slowness < SLOWNESS_FLOOR { 1.0 } else { self.slowness }
    }

    /// Takes in how long a first event took beside what was expected.
    pub(crate) fn measured(&mut self, expected: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = ratio.clamp(0.5, SLOWNESS_CAP);
        self.slowness += (sample - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Takes in that a request was answered whole.
    pub(crate) fn succeeded(&mut self, now: Instant) {
        self.failures = self.failures.saturating_sub(1);
        self.succeeded = Some(now);
        if self.failures == 0 {
            self.penalty_until = None;
        }
    }

    /// Takes in that a request failed here.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.failures += 1;
        let doublings = (self.failures - 1).min(8);
        let penalty = PENALTY.saturating_mul(1 << doublings).min(PENALTY_MAX);
        self.penalty_until = Some(now + penalty);
    }

    /// Whether it failed a short time ago.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.penalty_until.is_some_and(|until| until > now)
    }

    /// Whether it answered within `window`.
    pub(crate) fn answered_within(&self, now: Instant, window: Duration) -> bool {
        self.succeeded.is_some_and(|at| now.saturating_duration_since(at) < window)
    }
}

/// Shortest step that is followed by itself.
const STEP_MIN: Duration = Duration::from_millis(5);

/// What a prompt costs an engine that reads a part of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub(crate) read: Duration,
    pub(crate) per_pass: Duration,
}

/// One of `readers` even parts of a prompt.
pub(crate) fn part(profile: &EngineProfile, prompt: Tokens, readers: usize) -> Part {
    let readers = u32::try_from(readers.max(1)).unwrap_or(u32::MAX);
    let read = profile.prefill_time(prompt) / readers;
    // A part has fewer pieces than the whole, of the same cost each.
    Part { read, per_pass: profile.full_pass_prefill_time(prompt) }
}
