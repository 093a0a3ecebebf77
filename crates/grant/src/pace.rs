//! The pace of one run of an engine: how many requests it may run at once, learnt from how it
//! answers.
//!
//! An engine that has just started, has become cold or has failed begins with a part of its slots.
//! Each first event in time lets it have more, each late one or failure halves what it has. All
//! announced limits apply besides: the pace only lowers them.
//!
//! ```
//! use grant::Pace;
//! use std::time::{Duration, Instant};
//!
//! let (now, ms) = (Instant::now(), Duration::from_millis);
//! let mut pace = Pace::full(12);
//! assert_eq!(pace.permitted(), 12);
//! pace.start();
//! assert_eq!(pace.permitted(), 3);
//! pace.first_event(now, now + ms(150), ms(140));
//! assert_eq!(pace.permitted(), 4);
//! pace.failed(now, now + ms(300));
//! assert_eq!(pace.permitted(), 2);
//! ```

use std::time::{Duration, Instant};

/// Share of its slots with which an engine starts.
const START_SHARE: f64 = 0.25;
/// Factor on that share for each failure within a start: one that has broken down under it begins the
/// next one with less.
const FAILED_START_FACTOR: f64 = 0.5;
/// Share of the permitted requests by which a good answer raises them, by one at least.
const GROWTH: f64 = 0.25;
/// Share of the permitted requests that a bad answer leaves.
const DECREASE: f64 = 0.5;
/// First events up to this multiple of the expected time are good answers.
const GOOD_RATIO: f64 = 1.5;
/// First events from this multiple of the expected time on are bad answers. Between both, the pace
/// stays as it is, so that it doesn't swing.
const BAD_RATIO: f64 = 3.0;
/// Time by which a first event may exceed the expected one in any case: a lost packet and the
/// scheduling of busy VMs say nothing about the engine.
const MARGIN: Duration = Duration::from_millis(250);

/// Pace of one run of an engine.
#[derive(Clone, Debug)]
pub struct Pace {
    slots: f64,
    permitted: f64,
    /// Share of the slots with which the next start begins.
    start_share: f64,
    /// Whether it has not yet had the full pace since it started.
    is_starting: bool,
    /// When it was last lowered. Answers to requests of before say nothing new.
    lowered_at: Option<Instant>,
}

impl Pace {
    /// Pace of an engine that serves as usual, with this number of slots.
    pub fn full(slots: usize) -> Self {
        let slots = slots.max(1) as f64;
        Self {
            slots,
            permitted: slots,
            start_share: START_SHARE,
            is_starting: false,
            lowered_at: None,
        }
    }

    /// The engine has just started, or has become cold.
    pub fn start(&mut self) {
        self.permitted = (self.slots * self.start_share).max(1.0);
        self.is_starting = true;
    }

    /// Number of requests that it may run at once, at most its slots.
    pub fn permitted(&self) -> usize {
        self.permitted as usize
    }

    /// Whether it may run as many requests as it has slots.
    pub fn is_full(&self) -> bool {
        self.permitted >= self.slots
    }

    /// Records the first event, received at `now`, of a request that was sent at `sent_at` and
    /// expected to take `expected`.
    pub fn first_event(&mut self, sent_at: Instant, now: Instant, expected: Duration) {
        let actual = now.saturating_duration_since(sent_at);
        if actual >= expected.mul_f64(BAD_RATIO) + MARGIN {
            self.lower(sent_at, now);
        } else if actual <= expected.mul_f64(GOOD_RATIO) + MARGIN && !self.is_old(sent_at) {
            let growth = (self.permitted * GROWTH).max(1.0);
            self.permitted = (self.permitted + growth).min(self.slots);
            if self.is_starting && self.is_full() {
                self.is_starting = false;
                self.start_share = START_SHARE;
            }
        }
    }

    /// Records the failure of a request that was sent at `sent_at`.
    pub fn failed(&mut self, sent_at: Instant, now: Instant) {
        if self.is_starting && !self.is_old(sent_at) {
            self.start_share *= FAILED_START_FACTOR;
        }
        self.lower(sent_at, now);
    }

    /// Takes over the share with which the next start begins from the former run.
    pub fn succeed(&mut self, former: &Self) {
        self.start_share = former.start_share;
    }

    fn lower(&mut self, sent_at: Instant, now: Instant) {
        if !self.is_old(sent_at) {
            self.permitted = (self.permitted * DECREASE).max(1.0);
            self.lowered_at = Some(now);
        }
    }

    /// Whether a request was sent before the pace was last lowered.
    fn is_old(&self, sent_at: Instant) -> bool {
        self.lowered_at.is_some_and(|at| sent_at < at)
    }
}
