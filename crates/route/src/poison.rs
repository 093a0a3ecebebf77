//! Finds requests that crash the upstreams that run them.

use crate::error::{Refusal, RefusalReason, Result};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Hash of an organisation and a request body, the same for each resend.
pub type RequestHash = u64;

/// Bounds of the search.
#[derive(Clone, Debug)]
pub struct PoisonDetectorConfig {
    /// Crashes with a request in flight after which it is refused.
    pub crash_threshold: u32,
    /// Time after the last death until a suspicion is forgotten.
    pub suspicion_window: Duration,
    /// Time for which a request is refused.
    pub quarantine_period: Duration,
    /// Most request hashes remembered.
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

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    last: Instant,
    refused_until: Option<Instant>,
}

/// Detects requests that crash upstreams.
///
/// A death with several requests in flight makes each a suspect. Suspects are
/// retried with no other suspect on the same upstream
/// ([`Job::is_suspect`](crate::Job::is_suspect)), so the next death charges one
/// request only and the innocent are cleared when they finish.
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
    /// No suspects yet.
    pub fn new(cfg: PoisonDetectorConfig) -> Self {
        Self { cfg, suspects: BTreeMap::new() }
    }

    /// Charges the requests that were in flight on an upstream that died.
    /// Returns those that are refused from now on, to be told to all daemons.
    pub fn upstream_crashed(
        &mut self,
        now: Instant,
        in_flight: &[RequestHash],
    ) -> Vec<RequestHash> {
        self.forget_old(now);
        let known: Vec<_> =
            in_flight.iter().copied().filter(|fp| self.is_suspect(now, *fp)).collect();
        // One suspect explains the death. Several do not: each stays as it was.
        match known.as_slice() {
            [] => in_flight.iter().for_each(|fp| self.charge(now, *fp)),
            [one] => self.charge(now, *one),
            _ => {}
        }
        in_flight.iter().copied().filter(|fp| self.condemn(now, *fp)).collect()
    }

    /// Clears a request that has finished.
    pub fn request_finished(&mut self, request_hash: RequestHash) {
        self.suspects.remove(&request_hash);
    }

    /// Takes over a quarantine that another daemon has found.
    pub fn quarantine(&mut self, now: Instant, request_hash: RequestHash) {
        self.charge(now, request_hash);
        if let Some(suspect) = self.suspects.get_mut(&request_hash) {
            suspect.refused_until = Some(now + self.cfg.quarantine_period);
        }
    }

    /// Whether a request must not share an upstream with another suspect.
    pub fn is_suspect(&self, now: Instant, request_hash: RequestHash) -> bool {
        let suspect = self.suspects.get(&request_hash);
        suspect.is_some_and(|s| now.saturating_duration_since(s.last) < self.cfg.suspicion_window)
    }

    /// Refuses a request in quarantine.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Quarantined`] with the time left.
    pub fn check_quarantine(&self, now: Instant, request_hash: RequestHash) -> Result<()> {
        let until = self.suspects.get(&request_hash).and_then(|s| s.refused_until);
        match until.and_then(|until| until.checked_duration_since(now)) {
            Some(left) if !left.is_zero() => Err(Refusal::new(RefusalReason::Quarantined, left)),
            _ => Ok(()),
        }
    }

    fn charge(&mut self, now: Instant, request_hash: RequestHash) {
        if self.suspects.len() >= self.cfg.max_suspects {
            self.forget_oldest();
        }
        let fresh = Suspect { deaths: 0, last: now, refused_until: None };
        let suspect = self.suspects.entry(request_hash).or_insert(fresh);
        suspect.deaths += 1;
        suspect.last = now;
    }

    /// Whether a request is refused from now on and was not before.
    fn condemn(&mut self, now: Instant, request_hash: RequestHash) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request_hash) else { return false };
        let is_refused = suspect.refused_until.is_some_and(|until| until > now);
        if is_refused || suspect.deaths < self.cfg.crash_threshold {
            return false;
        }
        suspect.refused_until = Some(now + self.cfg.quarantine_period);
        true
    }

    fn forget_old(&mut self, now: Instant) {
        let window = self.cfg.suspicion_window;
        self.suspects.retain(|_, s| {
            let is_refused = s.refused_until.is_some_and(|until| until > now);
            is_refused || now.saturating_duration_since(s.last) < window
        });
    }

    fn forget_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last).map(|(fp, _)| *fp);
        oldest.map(|fp| self.suspects.remove(&fp));
    }
}
