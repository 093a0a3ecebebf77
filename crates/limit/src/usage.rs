//! Demand of organisations, measured here and reported by other daemons.

use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::{DaemonId, OrganisationId, Tokens};

/// What one organisation asked of one daemon. Rides on digests.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Usage {
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

/// Usage that other daemons reported, with the time of the report.
#[derive(Debug, Default)]
pub(crate) struct Elsewhere {
    reports: BTreeMap<DaemonId, (Instant, BTreeMap<OrganisationId, Tokens>)>,
}

impl Elsewhere {
    pub(crate) fn set(&mut self, now: Instant, daemon: DaemonId, usage: Vec<Usage>) {
        let usage = usage.into_iter().map(|u| (u.organisation, u.tokens_per_second)).collect();
        self.reports.insert(daemon, (now, usage));
    }

    pub(crate) fn forget_stale(&mut self, now: Instant, lifetime: Duration) {
        self.reports.retain(|_, (at, _)| now.saturating_duration_since(*at) <= lifetime);
    }

    /// Demand per organisation, summed over the other daemons.
    pub(crate) fn totals(&self) -> BTreeMap<&OrganisationId, f64> {
        let mut totals = BTreeMap::new();
        for (organisation, rate) in self.reports.values().flat_map(|(_, usage)| usage) {
            *totals.entry(organisation).or_insert(0.0) += *rate as f64;
        }
        totals
    }
}
