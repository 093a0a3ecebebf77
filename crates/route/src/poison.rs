//! Finds requests that crash the upstreams that run them.

use crate::error::{Reason, Refusal, Result};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Hash of an organisation and a request body, the same for each resend.
pub type Fingerprint = u64;

/// Bounds of the search.
#[derive(Clone, Debug)]
pub struct PoisonConfig {
    /// Deaths with a request in flight after which it is refused.
    pub deaths: u32,
    /// Time after the last death until a suspicion is forgotten.
    pub window: Duration,
    /// Time for which a request is refused.
    pub quarantine: Duration,
    /// Most fingerprints remembered.
    pub max_suspects: usize,
}

impl Default for PoisonConfig {
    fn default() -> Self {
        Self {
            deaths: 2,
            window: Duration::from_secs(600),
            quarantine: Duration::from_secs(3_600),
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

/// Requests suspected of crashing upstreams.
///
/// A death with several requests in flight makes each a suspect. Suspects are
/// retried with no other suspect on the same upstream
/// ([`Job::is_suspect`](crate::Job::is_suspect)), so the next death charges one
/// request only and the innocent are cleared when they finish.
///
/// ```
/// use route::{Poison, PoisonConfig};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut poison = Poison::new(PoisonConfig::default());
/// assert!(poison.upstream_died(now, &[1, 2, 3]).is_empty());
/// assert!(poison.is_suspect(now, 2));
/// assert_eq!(poison.upstream_died(now, &[2, 9]), [2]);
/// assert!(poison.check(now, 2).is_err());
/// assert!(!poison.is_suspect(now, 9));
/// ```
#[derive(Debug)]
pub struct Poison {
    cfg: PoisonConfig,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Poison {
    /// No suspects yet.
    pub fn new(cfg: PoisonConfig) -> Self {
        Self { cfg, suspects: BTreeMap::new() }
    }

    /// Charges the requests that were in flight on an upstream that died.
    /// Returns those that are refused from now on, to be told to all daemons.
    pub fn upstream_died(&mut self, now: Instant, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
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
    pub fn finished(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Takes over a quarantine that another daemon has found.
    pub fn quarantine(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.charge(now, fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.refused_until = Some(now + self.cfg.quarantine);
        }
    }

    /// Whether a request must not share an upstream with another suspect.
    pub fn is_suspect(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|s| now.saturating_duration_since(s.last) < self.cfg.window)
    }

    /// Refuses a request in quarantine.
    ///
    /// # Errors
    ///
    /// [`Reason::Quarantined`] with the time left.
    pub fn check(&self, now: Instant, fingerprint: Fingerprint) -> Result<()> {
        let until = self.suspects.get(&fingerprint).and_then(|s| s.refused_until);
        match until.and_then(|until| until.checked_duration_since(now)) {
            Some(left) if !left.is_zero() => Err(Refusal::new(Reason::Quarantined, left)),
            _ => Ok(()),
        }
    }

    fn charge(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.suspects.len() >= self.cfg.max_suspects {
            self.forget_oldest();
        }
        let fresh = Suspect { deaths: 0, last: now, refused_until: None };
        let suspect = self.suspects.entry(fingerprint).or_insert(fresh);
        suspect.deaths += 1;
        suspect.last = now;
    }

    /// Whether a request is refused from now on and was not before.
    fn condemn(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let is_refused = suspect.refused_until.is_some_and(|until| until > now);
        if is_refused || suspect.deaths < self.cfg.deaths {
            return false;
        }
        suspect.refused_until = Some(now + self.cfg.quarantine);
        true
    }

    fn forget_old(&mut self, now: Instant) {
        let window = self.cfg.window;
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
