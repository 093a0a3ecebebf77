//! Demand of organisations, measured here and reported by other daemons.

use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::{DaemonId, OrganisationId, Tokens};

/// What one organisation asked of one daemon. Rides on digests.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct OrganisationUsage {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Tokens a second asked for, averaged over a few seconds.
    pub tokens_per_second: Tokens,
}

/// Time over which demand is averaged.
const AVERAGING: Duration = Duration::from_secs(5);

/// Exponentially weighted rate of tokens.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    rate: f64,
    updated: Instant,
}

impl Meter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rate: 0.0, updated: now }
    }

    pub(crate) fn add(&mut self, now: Instant, tokens: Tokens) {
        self.rate = self.rate(now) + tokens as f64 / AVERAGING.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Tokens a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-elapsed / AVERAGING.as_secs_f64()).exp()
    }
}

/// Usage that other daemons reported, summed up as it comes.
#[derive(Debug, Default)]
pub(crate) struct Elsewhere {
    reports: BTreeMap<DaemonId, (Instant, Vec<OrganisationUsage>)>,
    totals: BTreeMap<OrganisationId, Tokens>,
}

impl Elsewhere {
    pub(crate) fn set(&mut self, now: Instant, daemon: DaemonId, usage: Vec<OrganisationUsage>) {
        if let Some((_, old)) = self.reports.remove(&daemon) {
            self.subtract(&old);
        }
        for u in &usage {
            match self.totals.get_mut(&u.organisation) {
                Some(total) => *total = total.saturating_add(u.tokens_per_second),
                None => drop(self.totals.insert(u.organisation.clone(), u.tokens_per_second)),
            }
        }
        self.reports.insert(daemon, (now, usage));
    }

    pub(crate) fn forget_stale(&mut self, now: Instant, lifetime: Duration) {
        let is_stale = |at: &Instant| now.saturating_duration_since(*at) > lifetime;
        let stale: Vec<DaemonId> = self
            .reports
            .iter()
            .filter(|(_, (at, _))| is_stale(at))
            .map(|(daemon, _)| daemon.clone())
            .collect();
        for daemon in stale {
            let (_, old) = self.reports.remove(&daemon).expect("it was just found");
            self.subtract(&old);
        }
    }

    /// Demand of an organisation on all other daemons, in tokens a second.
    pub(crate) fn total(&self, organisation: &OrganisationId) -> f64 {
        self.totals.get(organisation).map_or(0.0, |total| *total as f64)
    }

    fn subtract(&mut self, usage: &[OrganisationUsage]) {
        for u in usage {
            let Some(total) = self.totals.get_mut(&u.organisation) else { continue };
            *total = total.saturating_sub(u.tokens_per_second);
            if *total == 0 {
                self.totals.remove(&u.organisation);
            }
        }
    }
}
