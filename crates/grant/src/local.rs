//! Placement by one entry daemon alone.

use crate::directory::{Directory, DirectoryEntry};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// Time for which an upstream that failed gets work only if there is no other.
const PENALTY: Duration = Duration::from_secs(2);

/// What one entry daemon knows of its own sends.
///
/// It chooses the upstream with the fewest of them. That is enough for plain services,
/// whose calls are short, and for streams while no dispatcher can be reached.
#[derive(Clone, Debug, Default)]
pub struct LocalPlacer {
    running: BTreeMap<UpstreamId, usize>,
    failed: BTreeMap<UpstreamId, Instant>,
}

impl LocalPlacer {
    /// No sends yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses an upstream of a service that was not tried. `spread` breaks ties: it
    /// differs from daemon to daemon and from request to request.
    pub fn choose<'a>(
        &self,
        now: Instant,
        directory: &'a Directory,
        service: &str,
        tried: &[UpstreamId],
        spread: u64,
    ) -> Option<&'a DirectoryEntry> {
        let open: Vec<&DirectoryEntry> = directory
            .available(service)
            .filter(|entry| !tried.contains(&entry.registration.id))
            .collect();
        let count = open.len().max(1) as u64;
        let key = |(i, entry): &(usize, &&DirectoryEntry)| {
            let id = &entry.registration.id;
            let running = self.running.get(id).copied().unwrap_or(0);
            let is_full = running >= entry.registration.slots as usize;
            let is_doubtful = self.is_suspect(now, id) || directory.is_cold(now, id);
            (is_full, is_doubtful, running, (*i as u64 + spread) % count)
        };
        open.iter().enumerate().min_by_key(key).map(|(_, entry)| *entry)
    }

    /// Notes a send.
    pub fn request_started(&mut self, id: &UpstreamId) {
        *self.running.entry(id.clone()).or_default() += 1;
    }

    /// Notes the end of a send, and whether it speaks against the upstream.
    pub fn request_ended(&mut self, now: Instant, id: &UpstreamId, is_failure: bool) {
        if let Some(running) = self.running.get_mut(id) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(id);
            }
        }
        match is_failure {
            true => drop(self.failed.insert(id.clone(), now)),
            false => drop(self.failed.remove(id)),
        }
    }

    fn is_suspect(&self, now: Instant, id: &UpstreamId) -> bool {
        let failed = self.failed.get(id);
        failed.is_some_and(|at| now.saturating_duration_since(*at) < PENALTY)
    }
}
