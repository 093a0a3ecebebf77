//! Registrations of upstreams, and which of two registrations is newer.

use bincode::{Decode, Encode};
use std::{net::SocketAddr, time::Duration};
use wire::{DataCentreId, ServiceId, UpstreamId};

/// State that an upstream registers periodically.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Registration {
    /// Name of the upstream. A later run may use the same name.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Address that the upstream listens on. Another upstream may use it later.
    pub address: SocketAddr,
    /// Data centre that the upstream runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream drains: it finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Remaining time of the cold start; zero once the upstream is warm.
    pub cold_remaining: Duration,
    /// Start time of this run, in milliseconds since the Unix epoch on the upstream's clock.
    pub started_at_ms: u64,
    /// Sequence number; it rises with each registration of one run.
    pub sequence: u64,
}

impl Registration {
    /// Creates the registration of a warm upstream with 16 slots, for examples and tests.
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

    /// Sort key among the registrations under one name: the start time of the run first, then the
    /// sequence number.
    pub fn recency(&self) -> (u64, u64) {
        (self.started_at_ms, self.sequence)
    }
}

/// Effect of a registration on the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationOutcome {
    /// The upstream is new or has restarted.
    Started,
    /// Something that placement depends on has changed.
    Changed,
    /// Only the time at which the upstream was last heard has changed.
    Refreshed,
    /// Nothing has changed: a newer registration is known, the upstream has departed, or a later
    /// run holds the address.
    Stale,
}

impl RegistrationOutcome {
    /// Whether the change has to be sent to other daemons.
    pub fn is_change(self) -> bool {
        matches!(self, Self::Started | Self::Changed)
    }
}
