//! Directory of the upstreams of a region, built from their registrations.

use crate::registration::{Registration, RegistrationOutcome};
use bincode::{Decode, Encode};
use control::{DEPARTURE_RETENTION, Departures, UpstreamDeparture};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DataCentreId, UpstreamId};

/// Number of changes made to a directory. Each entry carries the revision of its last change.
pub type Revision = u64;

/// Time for which a registration may be delayed on its way.
const REGISTRATION_DELAY_MAX: Duration = Duration::from_secs(10);

/// One upstream of the directory.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct DirectoryEntry {
    /// Newest registration of the upstream.
    pub registration: Registration,
    /// Whether this run has departed: it deregistered, or another upstream took its address.
    pub is_departed: bool,
    /// Revision of the directory when the entry last changed.
    pub revision: Revision,
}

impl DirectoryEntry {
    /// Whether the upstream may get new requests: it has not departed and is not draining.
    pub fn accepts_requests(&self) -> bool {
        !self.is_departed && !self.registration.is_draining
    }
}

/// When an upstream was last heard and until when it is cold, on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Timestamps {
    last_heard: Instant,
    cold_until: Instant,
}

/// All known upstreams, and the data centres that are out of service.
///
/// Registrations are ordered by the start time of the upstream's run, then by their sequence
/// number. A registration of an earlier run may arrive late; it then neither brings the upstream
/// back nor displaces a later run at the same address.
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
    timestamps: BTreeMap<UpstreamId, Timestamps>,
    out_of_service: BTreeSet<DataCentreId>,
    /// Departures that were replicated, also those of upstreams without an entry.
    departures: Departures,
    /// Deregistrations of unknown runs: their timestamp, and when they were taken over.
    unknown_departures: BTreeMap<UpstreamId, (u64, Instant)>,
    /// Highest revision among the departed entries that were purged.
    purged_revision: Revision,
}

impl Directory {
    /// Creates an empty directory at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies a registration, and returns how it changed the directory.
    ///
    /// A new run at an address marks any other upstream at that address as departed.
    pub fn register(&mut self, now: Instant, registration: Registration) -> RegistrationOutcome {
        if self.is_displaced(&registration) || self.precedes_departure(now, &registration) {
            return RegistrationOutcome::Stale;
        }
        let known = self.entries.get(&registration.id);
        let outcome = match known {
            None => RegistrationOutcome::Started,
            Some(entry) if registration.started_at_ms > entry.registration.started_at_ms => {
                RegistrationOutcome::Started
            }
            Some(entry) if registration.recency() <= entry.registration.recency() => {
                return RegistrationOutcome::Stale;
            }
            Some(entry) if entry.is_departed => return RegistrationOutcome::Stale,
            Some(entry) if affects_placement(&entry.registration, &registration) => {
                RegistrationOutcome::Changed
            }
            Some(_) => RegistrationOutcome::Refreshed,
        };
        if outcome == RegistrationOutcome::Started {
            self.mark_former_holders_departed(&registration);
        }
        if outcome.is_change() {
            self.revision += 1;
        }
        let revision = match (outcome.is_change(), known_revision(&self.entries, &registration.id))
        {
            (false, Some(revision)) => revision,
            _ => self.revision,
        };
        let timestamps =
            Timestamps { last_heard: now, cold_until: now + registration.cold_remaining };
        self.timestamps.insert(registration.id.clone(), timestamps);
        let entry = DirectoryEntry { is_departed: false, revision, registration };
        self.entries.insert(entry.registration.id.clone(), entry);
        outcome
    }

    /// Marks an upstream as departed. Returns `false` if it is unknown or had departed already.
    pub fn deregister(&mut self, now: Instant, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| !entry.is_departed) else {
            return false;
        };
        self.revision += 1;
        entry.is_departed = true;
        entry.revision = self.revision;
        if let Some(timestamps) = self.timestamps.get_mut(id) {
            timestamps.last_heard = now;
        }
        true
    }

    /// Departure to be replicated of an upstream that drains or has left; `None` if it may get
    /// requests or is unknown.
    pub fn departure_of(&self, id: &str) -> Option<UpstreamDeparture> {
        let DirectoryEntry { registration, is_departed, .. } =
            self.entries.get(id).filter(|entry| !entry.accepts_requests())?;
        Some(UpstreamDeparture {
            upstream: registration.id.clone(),
            started_at_ms: registration.started_at_ms,
            has_left: *is_departed,
            sequence: registration.sequence,
            at_ms: 0,
        })
    }

    /// Takes over the replicated departures. Returns whether an entry has changed.
    pub fn set_departures(&mut self, now: Instant, departures: &Departures) -> bool {
        if self.departures == *departures {
            return false;
        }
        self.departures = departures.clone();
        let known = std::mem::take(&mut self.unknown_departures);
        let taken_over = |id, at_ms| match known.get(id) {
            Some((known_at_ms, since)) if *known_at_ms == at_ms => *since,
            _ => now,
        };
        let of_unknown_runs = departures.of_unknown_runs().iter();
        self.unknown_departures = of_unknown_runs
            .map(|(id, at_ms)| (id.clone(), (*at_ms, taken_over(id, *at_ms))))
            .collect();
        let former = self.revision;
        departures.iter().for_each(|departure| self.apply_departure(departure));
        self.revision != former
    }

    /// Marks the entry of a departed run, or of one before it, as draining or departed.
    fn apply_departure(&mut self, departure: &UpstreamDeparture) {
        let Some(entry) = self.entries.get_mut(&departure.upstream) else { return };
        let registration = &mut entry.registration;
        if entry.is_departed || !announces_after(departure, registration) {
            return;
        }
        match departure.has_left || departure.started_at_ms > registration.started_at_ms {
            true => entry.is_departed = true,
            false => {
                registration.is_draining = true;
                registration.sequence = departure.sequence;
            }
        }
        self.revision += 1;
        entry.revision = self.revision;
    }

    /// Whether the upstream announced its departure after it sent this registration. If the run
    /// that has left isn't known, this is assumed of any run that would start soon after the
    /// departure: its registration may have been delayed on its way.
    fn precedes_departure(&self, now: Instant, registration: &Registration) -> bool {
        let id = &registration.id;
        let is_present = self.entries.get(id).is_some_and(|entry| !entry.is_departed);
        let is_delayed = |(_, since): &(u64, Instant)| {
            !is_present && now.saturating_duration_since(*since) < REGISTRATION_DELAY_MAX
        };
        self.unknown_departures.get(id).is_some_and(is_delayed)
            || self.departures.get(id).is_some_and(|d| announces_after(d, registration))
    }

    /// Removes departed entries that no delayed registration can bring back any more.
    pub fn purge_departed(&mut self, now: Instant) {
        let (timestamps, purged_revision) = (&self.timestamps, &mut self.purged_revision);
        self.entries.retain(|id, entry| {
            let age = timestamps.get(id).map(|t| now.saturating_duration_since(t.last_heard));
            let is_kept = !entry.is_departed || age.is_some_and(|age| age < DEPARTURE_RETENTION);
            if !is_kept {
                *purged_revision = entry.revision.max(*purged_revision);
            }
            is_kept
        });
        let entries = &self.entries;
        self.timestamps.retain(|id, _| entries.contains_key(id));
    }

    /// Sets the data centres whose upstreams get no new requests.
    pub fn set_out_of_service(&mut self, data_centres: BTreeSet<DataCentreId>) {
        self.out_of_service = data_centres;
    }

    /// Data centres whose upstreams get no new requests.
    pub fn out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.out_of_service
    }

    /// The entry of an upstream, departed or not.
    pub fn get(&self, id: &str) -> Option<&DirectoryEntry> {
        self.entries.get(id)
    }

    /// All entries, including departed ones, ordered by upstream name.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Upstreams of a service that may get new requests: neither departed nor draining, and in a
    /// data centre that is in service.
    pub fn available(&self, service: &str) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().filter(move |entry| {
            entry.registration.service == service
                && entry.accepts_requests()
                && !self.out_of_service.contains(&entry.registration.data_centre)
        })
    }

    /// Time since an upstream last registered, or since its entry was copied from another daemon.
    /// [`Duration::MAX`] if it is unknown.
    pub fn time_since_heard(&self, now: Instant, id: &str) -> Duration {
        let heard = self.timestamps.get(id).map(|timestamps| timestamps.last_heard);
        heard.map_or(Duration::MAX, |heard| now.saturating_duration_since(heard))
    }

    /// Whether an upstream is still within its cold start.
    pub fn is_cold(&self, now: Instant, id: &str) -> bool {
        self.timestamps.get(id).is_some_and(|timestamps| timestamps.cold_until > now)
    }

    /// Whether [`Directory::changes_since`] returns everything that a copy at this revision lacks.
    /// If not, entries that the copy still has may have been purged here, and the copy has to be
    /// replaced as a whole.
    pub fn has_history_since(&self, revision: Revision) -> bool {
        revision >= self.purged_revision
    }

    /// Entries that changed after a revision, with the remaining time of their cold start as of
    /// `now`.
    pub fn changes_since(&self, now: Instant, revision: Revision) -> Vec<DirectoryEntry> {
        let changed = self.entries.values().filter(|entry| entry.revision > revision);
        changed
            .map(|entry| {
                let mut entry = entry.clone();
                let until = self.timestamps.get(&entry.registration.id).map(|t| t.cold_until);
                entry.registration.cold_remaining =
                    until.map(|until| until.saturating_duration_since(now)).unwrap_or_default();
                entry
            })
            .collect()
    }

    /// Applies entries of another daemon's directory, whose revision this copy takes over. With
    /// `is_full_copy` they replace all entries known here.
    pub fn adopt_entries(
        &mut self,
        now: Instant,
        is_full_copy: bool,
        revision: Revision,
        entries: Vec<DirectoryEntry>,
    ) {
        if is_full_copy {
            self.entries.clear();
            self.timestamps.clear();
            // They have to be applied to the new entries.
            self.departures = Departures::default();
        }
        self.revision = revision;
        for entry in entries {
            let cold_until = now + entry.registration.cold_remaining;
            let id = entry.registration.id.clone();
            self.timestamps.insert(id.clone(), Timestamps { last_heard: now, cold_until });
            self.entries.insert(id, entry);
        }
    }

    /// Resets the time since every upstream was heard to zero. A daemon that has only copied the
    /// directory did not receive the registrations itself.
    pub fn mark_all_heard(&mut self, now: Instant) {
        self.timestamps.values_mut().for_each(|timestamps| timestamps.last_heard = now);
    }

    /// Whether a later run of another upstream holds the address.
    fn is_displaced(&self, registration: &Registration) -> bool {
        self.entries.values().any(|entry| {
            let holder = &entry.registration;
            !entry.is_departed
                && holder.id != registration.id
                && holder.address == registration.address
                && holder.started_at_ms > registration.started_at_ms
        })
    }

    /// Marks other upstreams at the address as departed: an address belongs to one upstream at a
    /// time.
    fn mark_former_holders_departed(&mut self, registration: &Registration) {
        let former_holders: Vec<UpstreamId> = self
            .entries
            .values()
            .filter(|entry| {
                !entry.is_departed
                    && entry.registration.address == registration.address
                    && entry.registration.id != registration.id
            })
            .map(|entry| entry.registration.id.clone())
            .collect();
        for id in former_holders {
            self.revision += 1;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_departed = true;
                entry.revision = self.revision;
            }
        }
    }
}

/// Whether an upstream announced a departure after it sent a registration.
fn announces_after(departure: &UpstreamDeparture, registration: &Registration) -> bool {
    let is_same_run = departure.started_at_ms == registration.started_at_ms;
    departure.started_at_ms > registration.started_at_ms
        || is_same_run && (departure.has_left || departure.sequence > registration.sequence)
}

fn known_revision(entries: &BTreeMap<UpstreamId, DirectoryEntry>, id: &str) -> Option<Revision> {
    entries.get(id).map(|entry| entry.revision)
}

/// Whether two registrations of one run differ in anything that placement depends on.
fn affects_placement(known: &Registration, registration: &Registration) -> bool {
    known.is_draining != registration.is_draining
        || known.address != registration.address
        || known.service != registration.service
        || known.data_centre != registration.data_centre
        || known.slots != registration.slots
        || known.cold_remaining.is_zero() != registration.cold_remaining.is_zero()
}
