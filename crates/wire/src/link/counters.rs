//! Counts of what went wrong on links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start, by cause. Each is a metric as well.
#[derive(Debug, Default)]
pub struct LinkCounters {
    bad_bytes: AtomicU64,
    unproven: AtomicU64,
    version: AtomicU64,
    pings: AtomicU64,
    ping_timeouts: AtomicU64,
    refused_busy: AtomicU64,
    dropped_notifications: AtomicU64,
}

impl LinkCounters {
    /// Bytes that were no frame or no message.
    pub fn bad_bytes(&self) -> u64 {
        self.bad_bytes.load(Ordering::Relaxed)
    }

    /// Peers that did not prove the region secret.
    pub fn unproven(&self) -> u64 {
        self.unproven.load(Ordering::Relaxed)
    }

    /// Peers without a common protocol version.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
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

    pub(crate) fn count_bad_bytes(&self) {
        count(&self.bad_bytes, "link_bad_bytes");
    }

    pub(crate) fn count_unproven(&self) {
        count(&self.unproven, "link_unproven_peers");
    }

    pub(crate) fn count_version(&self) {
        count(&self.version, "link_version_mismatches");
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
