//! Demand of organisations, measured at this daemon and reported by others.

use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::{DaemonId, OrganisationId, Tokens};

/// Demand of one organisation at one daemon, reported with the daemon's digests.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct OrganisationDemand {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Tokens requested per second, averaged over a few seconds.
    pub tokens_per_second: Tokens,
}

/// Time constant of the average of demand.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Exponentially weighted average of the tokens requested per second.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    rate: f64,
    last_update: Instant,
}

impl DemandMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rate: 0.0, last_update: now }
    }

    /// Adds a request of this many tokens.
    pub(crate) fn add(&mut self, now: Instant, tokens: Tokens) {
        self.rate = self.rate(now) + tokens as f64 / AVERAGING_TIME.as_secs_f64();
        self.last_update = self.last_update.max(now);
    }

    /// Tokens per second at `now`.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last_update).as_secs_f64();
        self.rate * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Demand that other daemons reported, with its totals.
#[derive(Debug, Default)]
pub(crate) struct RemoteDemand {
    /// Last report of each daemon, with the time of its arrival.
    reports: BTreeMap<DaemonId, (Instant, Vec<OrganisationDemand>)>,
    /// Sum over all reports in tokens per second.
    totals: BTreeMap<OrganisationId, Tokens>,
}

impl RemoteDemand {
    /// Replaces the report of a daemon.
    pub(crate) fn set(&mut self, now: Instant, daemon: DaemonId, demand: Vec<OrganisationDemand>) {
        if let Some((_, former)) = self.reports.remove(&daemon) {
            self.subtract(&former);
        }
        for d in &demand {
            match self.totals.get_mut(&d.organisation) {
                Some(total) => *total = total.saturating_add(d.tokens_per_second),
                None => drop(self.totals.insert(d.organisation.clone(), d.tokens_per_second)),
            }
        }
        self.reports.insert(daemon, (now, demand));
    }

    /// Removes reports older than `lifetime`.
    pub(crate) fn remove_stale(&mut self, now: Instant, lifetime: Duration) {
        let is_stale = |at: &Instant| now.saturating_duration_since(*at) > lifetime;
        let stale: Vec<DaemonId> = self
            .reports
            .iter()
            .filter(|(_, (at, _))| is_stale(at))
            .map(|(daemon, _)| daemon.clone())
            .collect();
        for daemon in stale {
            let (_, former) = self.reports.remove(&daemon).expect("it was just found");
            self.subtract(&former);
        }
    }

    /// Demand of an organisation at all other daemons, in tokens per second.
    pub(crate) fn total(&self, organisation: &OrganisationId) -> f64 {
        self.totals.get(organisation).map_or(0.0, |total| *total as f64)
    }

    fn subtract(&mut self, demand: &[OrganisationDemand]) {
        for d in demand {
            let Some(total) = self.totals.get_mut(&d.organisation) else { continue };
            *total = total.saturating_sub(d.tokens_per_second);
            if *total == 0 {
                self.totals.remove(&d.organisation);
            }
        }
    }
}
