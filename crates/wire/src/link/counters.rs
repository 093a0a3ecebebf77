//! Counts of what went wrong on links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start, by cause. Each is a metric as well.
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
    /// Bytes that were no frame or no message.
    pub fn malformed_inputs(&self) -> u64 {
        self.malformed_inputs.load(Ordering::Relaxed)
    }

    /// Peers that did not prove the region secret.
    pub fn failed_authentications(&self) -> u64 {
        self.failed_authentications.load(Ordering::Relaxed)
    }

    /// Peers without a common protocol version.
    pub fn version_mismatches(&self) -> u64 {
        self.version_mismatches.load(Ordering::Relaxed)
    }

    /// Pings sent.
    pub fn pings(&self) -> u64 {
        self.pings.load(Ordering::Relaxed)
    }

    /// Links lost because a ping was not answered.
    pub fn ping_timeouts(&self) -> u64 {
        self.ping_timeouts.load(Ordering::Relaxed)
    }

    /// Inbound messages and connections refused at a bound.
    pub fn refused_busy(&self) -> u64 {
        self.refused_busy.load(Ordering::Relaxed)
    }

    /// Notifications dropped at the bound, or not delivered.
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
