//! Counters of pings and failures on links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of events since the links started. All but [`pings`](Self::pings) are also exported as
/// metrics.
#[derive(Debug, Default)]
pub struct LinkCounters {
    malformed_inputs: AtomicU64,
    failed_authentications: AtomicU64,
    version_mismatches: AtomicU64,
    pings: AtomicU64,
    ping_timeouts: AtomicU64,
    refused_busy: AtomicU64,
    dropped_notifications: AtomicU64,
}

impl LinkCounters {
    /// Number of connections and streams that carried invalid or oversized data.
    pub fn malformed_inputs(&self) -> u64 {
        self.malformed_inputs.load(Ordering::Relaxed)
    }

    /// Number of peers that failed to prove knowledge of the region secret, and of streams opened
    /// before the handshake ended.
    pub fn failed_authentications(&self) -> u64 {
        self.failed_authentications.load(Ordering::Relaxed)
    }

    /// Number of handshakes that found no common protocol version.
    pub fn version_mismatches(&self) -> u64 {
        self.version_mismatches.load(Ordering::Relaxed)
    }

    /// Number of pings sent.
    pub fn pings(&self) -> u64 {
        self.pings.load(Ordering::Relaxed)
    }

    /// Number of links lost because a ping was not acknowledged in time.
    pub fn ping_timeouts(&self) -> u64 {
        self.ping_timeouts.load(Ordering::Relaxed)
    }

    /// Number of inbound messages and connections refused at their limits.
    pub fn refused_busy(&self) -> u64 {
        self.refused_busy.load(Ordering::Relaxed)
    }

    /// Number of notifications dropped at their limit or not delivered.
    pub fn dropped_notifications(&self) -> u64 {
        self.dropped_notifications.load(Ordering::Relaxed)
    }

    pub(crate) fn count_malformed_input(&self) {
        count(&self.malformed_inputs, "link_bad_bytes");
    }

    pub(crate) fn count_failed_authentication(&self) {
        count(&self.failed_authentications, "link_unproven_peers");
    }

    pub(crate) fn count_version_mismatch(&self) {
        count(&self.version_mismatches, "link_version_mismatches");
    }

    pub(crate) fn count_ping(&self) {
        self.pings.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_ping_timeout(&self) {
        count(&self.ping_timeouts, "link_ping_timeouts");
    }

    pub(crate) fn count_refused_busy(&self) {
        count(&self.refused_busy, "link_refused_busy");
    }

    pub(crate) fn count_dropped_notification(&self) {
        count(&self.dropped_notifications, "link_dropped_notifications");
    }
}

fn count(counter: &AtomicU64, name: &'static str) {
    counter.fetch_add(1, Ordering::Relaxed);
    metrics::counter!(name).increment(1);
}
