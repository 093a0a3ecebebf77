//! What one engine has to do, as the dispatcher knows it.

use crate::ask::GrantId;
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

/// A request that an engine runs.
#[derive(Clone, Debug)]
pub(crate) struct Main {
    pub(crate) tokens: Tokens,
    pub(crate) pause_target: Duration,
    pub(crate) has_begun: bool,
}

/// A part of a prompt that an engine has yet to read.
#[derive(Clone, Debug)]
struct Reading {
    grant: GrantId,
    left: Duration,
    /// Most of it that one writing pass takes in.
    per_pass: Duration,
}

/// Load and health of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    mains: BTreeMap<GrantId, Main>,
    readings: VecDeque<Reading>,
    read_at: Instant,
    sends: VecDeque<Instant>,
    failures: u32,
    penalty_until: Option<Instant>,
    succeeded: Option<Instant>,
    slowness: f64,
}

impl Engine {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            mains: BTreeMap::new(),
            readings: VecDeque::new(),
            read_at: now,
            sends: VecDeque::new(),
            failures: 0,
            penalty_until: None,
            succeeded: None,
            slowness: 1.0,
        }
    }

    /// Lets the engine read up to `now`. It reads prompts in the order of their arrival.
    pub(crate) fn advance(&mut self, now: Instant) {
        let mut passed =
            now.saturating_duration_since(self.read_at).div_f64(self.believed_slowness());
        self.read_at = now;
        while let Some(first) = self.readings.front_mut().filter(|_| !passed.is_zero()) {
            let step = first.left.min(passed);
            first.left -= step;
            passed -= step;
            if first.left.is_zero() {
                self.readings.pop_front();
            }
        }
        while self.sends.front().is_some_and(|at| now.duration_since(*at) >= RATE_WINDOW) {
            self.sends.pop_front();
        }
    }

    pub(crate) fn add_main(&mut self, now: Instant, grant: GrantId, main: Main) {
        self.mains.insert(grant, main);
        self.sends.push_back(now);
    }

    pub(crate) fn add_reading(&mut self, grant: GrantId, left: Duration, per_pass: Duration) {
        self.readings.push_back(Reading { grant, left, per_pass });
    }

    /// The prompt of a grant is read.
    pub(crate) fn has_read(&mut self, grant: GrantId) {
        self.readings.retain(|reading| reading.grant != grant);
        if let Some(main) = self.mains.get_mut(&grant) {
            main.has_begun = true;
        }
    }

    /// A grant has ended.
    pub(crate) fn remove(&mut self, grant: GrantId) {
        self.readings.retain(|reading| reading.grant != grant);
        self.mains.remove(&grant);
    }

    /// Requests that it runs.
    pub(crate) fn mains(&self) -> usize {
        self.mains.len()
    }

    /// Whether it neither runs nor reads anything.
    pub(crate) fn is_idle(&self) -> bool {
        self.mains.is_empty() && self.readings.is_empty()
    }

    /// Tokens that its requests hold at their end.
    pub(crate) fn tokens(&self) -> Tokens {
        self.mains.values().map(|main| main.tokens).sum()
    }

    /// Time until all that was handed out is read.
    pub(crate) fn reading_left(&self) -> Duration {
        let left: Duration = self.readings.iter().map(|reading| reading.left).sum();
        left.mul_f64(self.believed_slowness())
    }

    /// Most reading that the next writing pass takes in.
    pub(crate) fn reading_in_pass(&self) -> Duration {
        self.reading_left().min(self.longest_per_pass())
    }

    /// Most reading of one prompt that a writing pass takes in.
    pub(crate) fn longest_per_pass(&self) -> Duration {
        self.readings.iter().map(|reading| reading.per_pass).max().unwrap_or_default()
    }

    /// Shortest pause that its requests hope for.
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

/// What a prompt costs an engine that reads a part of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub(crate) read: Duration,
    pub(crate) per_pass: Duration,
}

/// One of `readers` even parts of a prompt.
pub(crate) fn part(profile: &EngineProfile, prompt: Tokens, readers: usize) -> Part {
    let readers = u32::try_from(readers.max(1)).unwrap_or(u32::MAX);
    let read = profile.read_time(prompt) / readers;
    // A part has fewer pieces than the whole, of the same cost each.
    Part { read, per_pass: profile.read_per_pass(prompt).min(read) }
}
