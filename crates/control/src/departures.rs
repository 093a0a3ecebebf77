//! Upstreams that have announced their departure.

use bincode::{Decode, Encode};
use std::{collections::BTreeMap, time::Duration};
use wire::UpstreamId;

/// Time for which a departure is remembered: several times the longest delay of a registration,
/// which would otherwise bring the upstream back.
pub const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

/// Announcement by a run of an upstream that it takes no new requests any more.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct UpstreamDeparture {
    /// Name of the upstream. A later run may use the same name.
    pub upstream: UpstreamId,
    /// Start time of the run, in milliseconds since the Unix epoch on the upstream's clock.
    pub started_at_ms: u64,
    /// Whether the upstream has deregistered. Otherwise it drains.
    pub has_left: bool,
    /// Sequence number of the last registration of the run that is known, which is the one that
    /// announced the drain if it drains.
    pub sequence: u64,
    /// Timestamp of the leader, in milliseconds.
    pub at_ms: u64,
}

impl UpstreamDeparture {
    /// Sort key among the departures under one name: a later run first, then a deregistration
    /// before a drain, then the sequence number.
    pub fn recency(&self) -> (u64, bool, u64) {
        (self.started_at_ms, self.has_left, self.sequence)
    }
}

/// Departures of the last [`DEPARTURE_RETENTION`].
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Departures {
    /// Newest departure under each name.
    newest: BTreeMap<UpstreamId, UpstreamDeparture>,
    /// Timestamps of the last deregistration under each name that came from a run which the leader
    /// did not know, in milliseconds.
    of_unknown_runs: BTreeMap<UpstreamId, u64>,
}

impl Departures {
    /// Newest departure under each name, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamDeparture> {
        self.newest.values()
    }

    /// Names of upstreams that deregistered without being known to the leader, with the leader's
    /// timestamps in milliseconds.
    pub fn of_unknown_runs(&self) -> &BTreeMap<UpstreamId, u64> {
        &self.of_unknown_runs
    }

    /// Whether the departure of this run, or of a later one, is recorded: its drain, or its
    /// deregistration if `departure` is one.
    pub fn covers(&self, departure: &UpstreamDeparture) -> bool {
        let state = |d: &UpstreamDeparture| (d.started_at_ms, d.has_left);
        let known = self.newest.get(&departure.upstream);
        known.is_some_and(|known| state(known) >= state(departure))
    }

    /// The newest departure under a name.
    pub fn get(&self, upstream: &str) -> Option<&UpstreamDeparture> {
        self.newest.get(upstream)
    }

    /// Whether none is recorded.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty() && self.of_unknown_runs.is_empty()
    }

    /// Records a departure, unless a newer one is known.
    pub(crate) fn record(&mut self, departure: &UpstreamDeparture) {
        let known = self.newest.get(&departure.upstream);
        if known.is_none_or(|known| known.recency() < departure.recency()) {
            self.newest.insert(departure.upstream.clone(), departure.clone());
        }
    }

    /// Records the deregistration of a run that isn't known.
    pub(crate) fn record_unknown_run(&mut self, upstream: &UpstreamId, at_ms: u64) {
        self.of_unknown_runs.insert(upstream.clone(), at_ms);
    }

    /// Forgets departures whose time has passed.
    pub(crate) fn expire(&mut self, clock_ms: u64) {
        self.newest.retain(|_, departure| expiry_ms(departure.at_ms) > clock_ms);
        self.of_unknown_runs.retain(|_, at_ms| expiry_ms(*at_ms) > clock_ms);
    }

    /// Time at which the next departure is forgotten, in milliseconds.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        let of_known_runs = self.newest.values().map(|departure| departure.at_ms);
        of_known_runs.chain(self.of_unknown_runs.values().copied()).map(expiry_ms).min()
    }
}

/// Time at which a departure with this timestamp is forgotten, in milliseconds.
fn expiry_ms(at_ms: u64) -> u64 {
    at_ms.saturating_add(DEPARTURE_RETENTION.as_millis() as u64)
}
