//! The upstreams of a region, as they announce themselves.

use crate::registration::{Registration, RegistrationOutcome};
use bincode::{Decode, Encode};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DataCentreId, UpstreamId};

/// Counts changes of a directory. Each entry carries that of its last change.
pub type Revision = u64;

/// Time for which a departure is remembered, so that a late statement does not bring the
/// upstream back: several times the longest delay of a statement.
const REMEMBER_DEPARTED: Duration = Duration::from_secs(120);

/// One upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// Its newest statement.
    pub registration: Registration,
    /// Whether it has left for good.
    pub is_departed: bool,
    /// Revision of the directory at its last change.
    pub revision: Revision,
}

impl DirectoryEntry {
    /// Whether it may get new work.
    pub fn accepts_requests(&self) -> bool {
        !self.is_departed && !self.registration.is_draining
    }
}

/// When things of an entry were learnt, on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Times {
    heard: Instant,
    cold_until: Instant,
}

/// All upstreams that are known, with the data centres that are out of service.
///
/// A statement is weighed by the start of the run that made it, then by its number. What
/// a dead run said arrives late at times, and then neither brings it back nor displaces a
/// later run at its address.
///
/// ```
/// use grant::{Directory, Registration, RegistrationOutcome};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut directory = Directory::new();
/// let first = Registration::new("u", "s", "10.0.0.1:80".parse().unwrap());
/// let later = Registration { started_at_ms: 9, ..first.clone() };
/// assert_eq!(directory.register(now, later), RegistrationOutcome::Started);
/// assert_eq!(directory.register(now, first), RegistrationOutcome::Stale);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: Revision,
    entries: BTreeMap<UpstreamId, DirectoryEntry>,
    times: BTreeMap<UpstreamId, Times>,
    closed: BTreeSet<DataCentreId>,
    /// Last change of any departure that is forgotten.
    forgotten: Revision,
}

impl Directory {
    /// An empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes in a statement.
    pub fn register(&mut self, now: Instant, said: Registration) -> RegistrationOutcome {
        if self.is_displaced(&said) {
            return RegistrationOutcome::Stale;
        }
        let known = self.entries.get(&said.id);
        let merge = match known {
            None => RegistrationOutcome::Started,
            Some(entry) if said.started_at_ms > entry.registration.started_at_ms => {
                RegistrationOutcome::Started
            }
            Some(entry) if said.recency() <= entry.registration.recency() => {
                return RegistrationOutcome::Stale;
            }
            Some(entry) if entry.is_departed => return RegistrationOutcome::Stale,
            Some(entry) if differs(&entry.registration, &said) => RegistrationOutcome::Changed,
            Some(_) => RegistrationOutcome::Refreshed,
        };
        if merge == RegistrationOutcome::Started {
            self.retire_holders(&said);
        }
        if merge.is_change() {
            self.revision += 1;
        }
        let revision = match (merge.is_change(), known_revision(&self.entries, &said.id)) {
            (false, Some(revision)) => revision,
            _ => self.revision,
        };
        let times = Times { heard: now, cold_until: now + said.cold_remaining };
        self.times.insert(said.id.clone(), times);
        let entry = DirectoryEntry { is_departed: false, revision, registration: said };
        self.entries.insert(entry.registration.id.clone(), entry);
        merge
    }

    /// Takes in that an upstream leaves for good. Returns whether that is news.
    pub fn deregister(&mut self, now: Instant, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_departed) else {
            return false;
        };
        self.revision += 1;
        entry.is_departed = true;
        entry.revision = self.revision;
        if let Some(times) = self.times.get_mut(id) {
            times.heard = now;
        }
        true
    }

    /// Forgets departures that no late statement can undo any more.
    pub fn purge_departed(&mut self, now: Instant) {
        let (times, forgotten) = (&self.times, &mut self.forgotten);
        self.entries.retain(|id, entry| {
            let age = times.get(id).map(|t| now.saturating_duration_since(t.heard));
            let is_kept = !entry.is_departed || age.is_some_and(|age| age < REMEMBER_DEPARTED);
            if !is_kept {
                *forgotten = entry.revision.max(*forgotten);
            }
            is_kept
        });
        let entries = &self.entries;
        self.times.retain(|id, _| entries.contains_key(id));
    }

    /// Sets the data centres that get no new work.
    pub fn set_out_of_service(&mut self, closed: BTreeSet<DataCentreId>) {
        self.closed = closed;
    }

    /// Data centres that get no new work.
    pub fn out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.closed
    }

    /// The upstream of that name.
    pub fn get(&self, id: &str) -> Option<&DirectoryEntry> {
        self.entries.get(id)
    }

    /// All upstreams, departed ones among them, by name.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Upstreams of a service that may get new work.
    pub fn available(&self, service: &str) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().filter(move |entry| {
            entry.registration.service == service
                && entry.accepts_requests()
                && !self.closed.contains(&entry.registration.data_centre)
        })
    }

    /// Time since an upstream was heard, or since it was learnt from another daemon.
    pub fn time_since_heard(&self, now: Instant, id: &str) -> Duration {
        let heard = self.times.get(id).map(|times| times.heard);
        heard.map_or(Duration::MAX, |heard| now.saturating_duration_since(heard))
    }

    /// Whether an upstream is cold.
    pub fn is_cold(&self, now: Instant, id: &str) -> bool {
        self.times.get(id).is_some_and(|times| times.cold_until > now)
    }

    /// Whether [`Directory::changes_since`] tells a copy at that revision all that it
    /// lacks. Otherwise it has to be replaced.
    pub fn has_history_since(&self, revision: Revision) -> bool {
        revision >= self.forgotten
    }

    /// Entries that have changed after a revision, with what is left of their cold start.
    pub fn changes_since(&self, now: Instant, revision: Revision) -> Vec<DirectoryEntry> {
        let changed = self.entries.values().filter(|entry| entry.revision > revision);
        changed
            .map(|entry| {
                let mut entry = entry.clone();
                let until = self.times.get(&entry.registration.id).map(|t| t.cold_until);
                entry.registration.cold_remaining =
                    until.map(|until| until.saturating_duration_since(now)).unwrap_or_default();
                entry
            })
            .collect()
    }

    /// Takes over what another daemon's directory says. With `is_whole` it replaces all
    /// that is known here.
    pub fn adopt_entries(
        &mut self,
        now: Instant,
        is_whole: bool,
        revision: Revision,
        entries: Vec<DirectoryEntry>,
    ) {
        if is_whole {
            self.entries.clear();
            self.times.clear();
        }
        self.revision = revision;
        for entry in entries {
            let cold_until = now + entry.registration.cold_remaining;
            let id = entry.registration.id.clone();
            self.times.insert(id.clone(), Times { heard: now, cold_until });
            self.entries.insert(id, entry);
        }
    }

    /// Counts all upstreams as heard now. A daemon that only followed the directory did not
    /// hear them itself.
    pub fn mark_all_heard(&mut self, now: Instant) {
        self.times.values_mut().for_each(|times| times.heard = now);
    }

    /// Whether a later run of another name holds the address.
    fn is_displaced(&self, said: &Registration) -> bool {
        self.entries.values().any(|entry| {
            let held = &entry.registration;
            !entry.is_departed
                && held.id != said.id
                && held.address == said.address
                && held.started_at_ms > said.started_at_ms
        })
    }

    /// An address has one holder: whoever had it before is gone.
    fn retire_holders(&mut self, said: &Registration) {
        let former: Vec<UpstreamId> = self
            .entries
            .values()
            .filter(|entry| {
                !entry.is_departed
                    && entry.registration.address == said.address
                    && entry.registration.id != said.id
            })
            .map(|entry| entry.registration.id.clone())
            .collect();
        for id in former {
            self.revision += 1;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_departed = true;
                entry.revision = self.revision;
            }
        }
    }
}

fn known_revision(entries: &BTreeMap<UpstreamId, DirectoryEntry>, id: &str) -> Option<Revision> {
    entries.get(id).map(|entry| entry.revision)
}

/// Whether placement depends on the difference of two statements of one run.
fn differs(known: &Registration, said: &Registration) -> bool {
    known.is_draining != said.is_draining
        || known.address != said.address
        || known.service != said.service
        || known.data_centre != said.data_centre
        || known.slots != said.slots
        || known.cold_remaining.is_zero() != said.cold_remaining.is_zero()
}
