//! Placement by a single entry daemon, without the dispatcher.

use crate::directory::{Directory, DirectoryEntry};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time after a failure during which an upstream gets requests only if no other is available.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// Places requests by the attempts of one entry daemon alone.
///
/// It chooses the upstream with the fewest running attempts of this daemon. That is enough for
/// plain services, whose calls are short, and for streams while no dispatcher can be reached.
#[derive(Clone, Debug, Default)]
pub struct LocalPlacer {
    /// Number of running attempts.
    running: BTreeMap<UpstreamId, usize>,
    last_failures: BTreeMap<UpstreamId, Instant>,
}

impl LocalPlacer {
    /// Creates a placer without running attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses an upstream of a service among those not yet tried.
    ///
    /// Upstreams with a free slot go first, then those that are neither cold nor recently failed,
    /// then those with the fewest running attempts. `tie_breaker` decides among equals: the caller
    /// passes a value that differs between daemons and between requests.
    pub fn choose<'a>(
        &self,
        now: Instant,
        directory: &'a Directory,
        service: &str,
        tried: &[UpstreamId],
        tie_breaker: u64,
    ) -> Option<&'a DirectoryEntry> {
        let available: Vec<&DirectoryEntry> = directory
            .available(service)
            .filter(|entry| !tried.contains(&entry.registration.id))
            .collect();
        let count = available.len().max(1) as u64;
        let key = |(i, entry): &(usize, &&DirectoryEntry)| {
            let id = &entry.registration.id;
            let running = self.running.get(id).copied().unwrap_or(0);
            let is_full = running >= entry.registration.slots as usize;
            let is_doubtful = self.has_failed_recently(now, id) || directory.is_cold(now, id);
            (is_full, is_doubtful, running, (*i as u64 + tie_breaker) % count)
        };
        available.iter().enumerate().min_by_key(key).map(|(_, entry)| *entry)
    }

    /// Records the start of an attempt.
    pub fn request_started(&mut self, id: &UpstreamId) {
        *self.running.entry(id.clone()).or_default() += 1;
    }

    /// Records the end of an attempt, and whether it counts as a failure of the upstream.
    pub fn request_ended(&mut self, now: Instant, id: &UpstreamId, is_failure: bool) {
        if let Some(running) = self.running.get_mut(id) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(id);
            }
        }
        match is_failure {
            true => drop(self.last_failures.insert(id.clone(), now)),
            false => drop(self.last_failures.remove(id)),
        }
    }

    /// Whether an upstream failed within [`FAILURE_PENALTY`].
    fn has_failed_recently(&self, now: Instant, id: &UpstreamId) -> bool {
        let last_failure = self.last_failures.get(id);
        last_failure.is_some_and(|at| now.saturating_duration_since(*at) < FAILURE_PENALTY)
    }
}
