//! What upstreams say of themselves, and which of two statements is newer.

use bincode::{Decode, Encode};
use std::{net::SocketAddr, time::Duration};
use wire::{DataCentreId, ServiceId, UpstreamId};

/// What an upstream says of itself from time to time.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Registration {
    /// Name of the upstream. A later start may come under the same one.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens. Another upstream may get the address later.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has begun to leave.
    pub is_draining: bool,
    /// Time for which it stays cold.
    pub cold_remaining: Duration,
    /// Start of this run, in milliseconds since the Unix epoch on the upstream's clock.
    pub started_at_ms: u64,
    /// Rises with each statement of one run.
    pub sequence: u64,
}

impl Registration {
    /// A warm upstream with 16 slots, for examples and tests.
    pub fn new(id: &str, service: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            data_centre: String::from("dc-1"),
            slots: 16,
            is_draining: false,
            cold_remaining: Duration::ZERO,
            started_at_ms: 1,
            sequence: 1,
        }
    }

    /// Position among the statements under one name: a later run goes before a higher
    /// number.
    pub fn recency(&self) -> (u64, u64) {
        (self.started_at_ms, self.sequence)
    }
}

/// What became of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationOutcome {
    /// The upstream is new, or has started again.
    Started,
    /// Something that placement depends on has changed.
    Changed,
    /// Nothing but the time at which it was heard.
    Refreshed,
    /// A newer statement is known, or a later run holds the address.
    Stale,
}

impl RegistrationOutcome {
    /// Whether other daemons need to know.
    pub fn is_change(self) -> bool {
        matches!(self, Self::Started | Self::Changed)
    }
}
