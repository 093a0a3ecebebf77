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
    /// Start time of the run, in milliseconds since the Unix epoch on the upstream's clock. `None`
    /// if the run isn't known, as the group has restarted since it registered.
    pub started_at_ms: Option<u64>,
    /// Whether the upstream has deregistered. Otherwise it drains.
    pub has_left: bool,
    /// Sequence number of the last registration of the run that is known, which is the one that
    /// announced the drain if it drains; 0 if none is known.
    pub sequence: u64,
    /// Timestamp of the leader, in milliseconds.
    pub at_ms: u64,
}

impl UpstreamDeparture {
    /// Sort key among the departures under one name: a later run first, then a deregistration
    /// before a drain, then the sequence number.
    pub fn recency(&self) -> (Option<u64>, bool, u64) {
        (self.started_at_ms, self.has_left, self.sequence)
    }
}

/// Newest departure under each name, for [`DEPARTURE_RETENTION`].
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Departures(BTreeMap<UpstreamId, UpstreamDeparture>);

impl Departures {
    /// Departures, ordered by the upstream's name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamDeparture> {
        self.0.values()
    }

    /// Whether the departure of this run, or of a later one, is recorded: its drain, or its
    /// deregistration if `departure` is one.
    pub fn covers(&self, departure: &UpstreamDeparture) -> bool {
        let state = |d: &UpstreamDeparture| (d.started_at_ms, d.has_left);
        let known = self.0.get(&departure.upstream);
        known.is_some_and(|known| state(known) >= state(departure))
    }

    /// The newest departure under a name.
    pub fn get(&self, upstream: &str) -> Option<&UpstreamDeparture> {
        self.0.get(upstream)
    }

    /// Whether none is recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a departure, unless a newer one is known.
    pub(crate) fn record(&mut self, departure: &UpstreamDeparture) {
        let known = self.0.get(&departure.upstream);
        if known.is_none_or(|known| known.recency() < departure.recency()) {
            self.0.insert(departure.upstream.clone(), departure.clone());
        }
    }

    /// Forgets departures whose time has passed.
    pub(crate) fn expire(&mut self, clock_ms: u64) {
        self.0.retain(|_, departure| expiry_ms(departure) > clock_ms);
    }

    /// Time at which the next departure is forgotten, in milliseconds.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.0.values().map(expiry_ms).min()
    }
}

/// Time at which a departure is forgotten, in milliseconds.
fn expiry_ms(departure: &UpstreamDeparture) -> u64 {
    departure.at_ms.saturating_add(DEPARTURE_RETENTION.as_millis() as u64)
}
