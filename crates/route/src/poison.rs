//! Detects requests that crash the upstreams that run them.

use crate::error::{Refusal, RefusalReason, Result};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Hash that identifies a request, the same each time it is sent; the caller chooses what it
/// covers. It is not the `RequestHash` of the crate `control`, which has 32 bytes.
pub type RequestHash = u64;

/// Limits of a [`PoisonDetector`].
#[derive(Clone, Debug)]
pub struct PoisonDetectorConfig {
    /// Number of crashes charged to a request after which it is quarantined.
    pub crash_threshold: u32,
    /// Time after the last crash charged to a request until it is no longer suspected.
    pub suspicion_window: Duration,
    /// Time for which a quarantined request is refused.
    pub quarantine_period: Duration,
    /// Maximum number of suspects remembered.
    pub max_suspects: usize,
}

impl Default for PoisonDetectorConfig {
    fn default() -> Self {
        Self {
            crash_threshold: 2,
            suspicion_window: Duration::from_secs(600),
            quarantine_period: Duration::from_secs(3_600),
            max_suspects: 16_384,
        }
    }
}

/// A request that was in flight when an upstream crashed.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// Number of crashes charged to it.
    crashes: u32,
    last_crash: Instant,
    /// End of its quarantine, if it was quarantined.
    refused_until: Option<Instant>,
}

/// Detects requests that crash upstreams, and quarantines them.
///
/// The first crash is charged to every request in flight on the upstream, which makes each a
/// suspect. If one of them is already a suspect, only that one is charged; if several are, none.
/// Suspects are retried with no other suspect on the same upstream
/// ([`Job::is_suspect`](crate::Job::is_suspect)), so that the next crash is charged to the
/// responsible request only. The others are cleared when they finish.
///
/// ```
/// use route::{PoisonDetector, PoisonDetectorConfig};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut poison = PoisonDetector::new(PoisonDetectorConfig::default());
/// assert!(poison.upstream_crashed(now, &[1, 2, 3]).is_empty());
/// assert!(poison.is_suspect(now, 2));
/// assert_eq!(poison.upstream_crashed(now, &[2, 9]), [2]);
/// assert!(poison.check_quarantine(now, 2).is_err());
/// assert!(!poison.is_suspect(now, 9));
/// ```
#[derive(Debug)]
pub struct PoisonDetector {
    cfg: PoisonDetectorConfig,
    suspects: BTreeMap<RequestHash, Suspect>,
}

impl PoisonDetector {
    /// Creates a detector without suspects.
    pub fn new(cfg: PoisonDetectorConfig) -> Self {
        Self { cfg, suspects: BTreeMap::new() }
    }

    /// Charges a crash to the requests that were in flight on the upstream. Returns those among
    /// them whose quarantine starts with this crash.
    pub fn upstream_crashed(
        &mut self,
        now: Instant,
        in_flight: &[RequestHash],
    ) -> Vec<RequestHash> {
        self.drop_expired(now);
        let known: Vec<_> =
            in_flight.iter().copied().filter(|hash| self.is_suspect(now, *hash)).collect();
        // A single suspect explains the crash. With several it is not known which one caused it,
        // so none is charged.
        match known.as_slice() {
            [] => in_flight.iter().for_each(|hash| self.charge_crash(now, *hash)),
            [one] => self.charge_crash(now, *one),
            _ => {}
        }
        in_flight.iter().copied().filter(|hash| self.start_quarantine(now, *hash)).collect()
    }

    /// Clears a request that has finished.
    pub fn request_finished(&mut self, request_hash: RequestHash) {
        self.suspects.remove(&request_hash);
    }

    /// Applies a quarantine that another daemon announced.
    pub fn quarantine(&mut self, now: Instant, request_hash: RequestHash) {
        self.charge_crash(now, request_hash);
        if let Some(suspect) = self.suspects.get_mut(&request_hash) {
            suspect.refused_until = Some(now + self.cfg.quarantine_period);
        }
    }

    /// Whether a request is a suspect and must not share an upstream with another one.
    pub fn is_suspect(&self, now: Instant, request_hash: RequestHash) -> bool {
        let suspect = self.suspects.get(&request_hash);
        suspect.is_some_and(|s| {
            now.saturating_duration_since(s.last_crash) < self.cfg.suspicion_window
        })
    }

    /// Refuses a request in quarantine.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Quarantined`] with the remaining time.
    pub fn check_quarantine(&self, now: Instant, request_hash: RequestHash) -> Result<()> {
        let until = self.suspects.get(&request_hash).and_then(|s| s.refused_until);
        match until.and_then(|until| until.checked_duration_since(now)) {
            Some(remaining) if !remaining.is_zero() => {
                Err(Refusal::new(RefusalReason::Quarantined, remaining))
            }
            _ => Ok(()),
        }
    }

    /// Charges a crash to a request. At the limit of suspects, the oldest one is dropped first.
    fn charge_crash(&mut self, now: Instant, request_hash: RequestHash) {
        if self.suspects.len() >= self.cfg.max_suspects {
            self.drop_oldest();
        }
        let fresh = Suspect { crashes: 0, last_crash: now, refused_until: None };
        let suspect = self.suspects.entry(request_hash).or_insert(fresh);
        suspect.crashes += 1;
        suspect.last_crash = now;
    }

    /// Quarantines a request that has reached the threshold. Returns whether it was not in
    /// quarantine before.
    fn start_quarantine(&mut self, now: Instant, request_hash: RequestHash) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request_hash) else { return false };
        let is_refused = suspect.refused_until.is_some_and(|until| until > now);
        if is_refused || suspect.crashes < self.cfg.crash_threshold {
            return false;
        }
        suspect.refused_until = Some(now + self.cfg.quarantine_period);
        true
    }

    /// Removes suspects whose window and quarantine are over.
    fn drop_expired(&mut self, now: Instant) {
        let window = self.cfg.suspicion_window;
        self.suspects.retain(|_, s| {
            let is_refused = s.refused_until.is_some_and(|until| until > now);
            is_refused || now.saturating_duration_since(s.last_crash) < window
        });
    }

    /// Removes the suspect whose last crash is the longest ago.
    fn drop_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash).map(|(hash, _)| *hash);
        oldest.map(|hash| self.suspects.remove(&hash));
    }
}
