//! Directory of the upstreams of a region, built from their registrations.

use crate::registration::{Registration, RegistrationOutcome};
use bincode::{Decode, Encode};
use control::{DEPARTURE_RETENTION, Departures, UpstreamDeparture};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{DataCentreId, UpstreamId};

/// Number of changes made to a directory. Each entry carries the revision of its last change.
pub type Revision = u64;

/// Time for which a registration may be delayed on its way.
const REGISTRATION_DELAY_MAX: Duration = Duration::from_secs(10);

/// Longest time for which an upstream counts as cold after a registration.
const COLD_TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

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

/// Place of an upstream's timestamps in a [`Directory`]. It stays the same until the upstream is
/// removed, by which the directory's [generation](Directory::generation) changes.
pub(crate) type TimestampSlot = usize;

/// An entry with what is not sent to other daemons.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) entry: DirectoryEntry,
    /// Place of its timestamps.
    pub(crate) timestamps: TimestampSlot,
    /// Revision from which on a copy has the current run of the upstream.
    pub(crate) run_revision: Revision,
}

/// All known upstreams, and the data centres that are out of service.
///
/// Registrations are ordered by the start time of the upstream's run, then by their sequence
/// number. The service of a run never changes. A registration of an earlier run may arrive late; it
/// then neither brings the upstream back nor displaces a later run at the same address.
///
/// A registration, and the changes since a revision, take time that grows with the logarithm of the
/// number of upstreams, and with the number of these changes.
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
    records: BTreeMap<UpstreamId, Record>,
    timestamps: Vec<Timestamps>,
    free_timestamps: Vec<TimestampSlot>,
    /// Upstreams by the revision of their last change. In a copy, an entry that was changed here may
    /// have the revision of another.
    by_revision: BTreeSet<(Revision, UpstreamId)>,
    /// Upstreams that have not departed, by address.
    by_address: BTreeSet<(SocketAddr, UpstreamId)>,
    out_of_service: BTreeSet<DataCentreId>,
    /// Departures that were replicated, also those of upstreams without an entry.
    departures: Departures,
    /// Deregistrations of unknown runs: their timestamp, and when they were taken over.
    unknown_departures: BTreeMap<UpstreamId, (u64, Instant)>,
    /// Highest revision among the departed entries that were purged, or revision of the full copy that
    /// this one began as: departures before it are not known.
    purged_revision: Revision,
    generation: u64,
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

    /// Number that changes whenever an entry or the data centres out of service change, or an entry
    /// is removed.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies a registration, and returns how it changed the directory.
    ///
    /// A new run at an address marks any other upstream at that address as departed.
    pub fn register(&mut self, now: Instant, registration: Registration) -> RegistrationOutcome {
        if self.is_displaced(&registration) || self.precedes_departure(now, &registration) {
            return RegistrationOutcome::Stale;
        }
        let known = self.get(&registration.id);
        let outcome = match known {
            None => RegistrationOutcome::Started,
            Some(entry) if registration.started_at_ms > entry.registration.started_at_ms => {
                RegistrationOutcome::Started
            }
            Some(entry) if registration.recency() <= entry.registration.recency() => {
                return RegistrationOutcome::Stale;
            }
            Some(entry) if entry.is_departed => return RegistrationOutcome::Stale,
            // The run belongs to one service. The registration is of another writer.
            Some(entry) if entry.registration.service != registration.service => {
                return RegistrationOutcome::Stale;
            }
            Some(entry) if affects_placement(&entry.registration, &registration) => {
                RegistrationOutcome::Changed
            }
            Some(_) => RegistrationOutcome::Refreshed,
        };
        let known_revision = known.map_or(0, |entry| entry.revision);
        if outcome == RegistrationOutcome::Started {
            self.mark_former_holders_departed(&registration);
        }
        let timestamps = Timestamps { last_heard: now, cold_until: cold_until(now, &registration) };
        let revision = match outcome.is_change() {
            true => self.next_revision(),
            false => known_revision,
        };
        match outcome {
            RegistrationOutcome::Refreshed => {
                if let Some(record) = self.records.get_mut(&registration.id) {
                    self.timestamps[record.timestamps] = timestamps;
                    record.entry.registration = registration;
                }
            }
            _ => {
                self.put(DirectoryEntry { is_departed: false, revision, registration }, timestamps)
            }
        }
        outcome
    }

    /// Registrations of upstreams that may get requests by this copy, and that these entries, which are to
    /// replace all of it, lack.
    pub fn missing_in(&self, entries: &[DirectoryEntry]) -> Vec<Registration> {
        let known: BTreeSet<&str> = entries.iter().map(|e| e.registration.id.as_str()).collect();
        let present = self.entries().filter(|entry| entry.accepts_requests());
        let missing = present.filter(|entry| !known.contains(entry.registration.id.as_str()));
        missing.map(|entry| entry.registration.clone()).collect()
    }

    /// Whether a registration tells no more than that the known run of an upstream, which gets
    /// requests, is alive.
    pub fn is_refresh(&self, registration: &Registration) -> bool {
        let known = self.get(&registration.id).filter(|entry| entry.accepts_requests());
        known.is_some_and(|entry| {
            entry.registration.started_at_ms == registration.started_at_ms
                && !affects_placement(&entry.registration, registration)
        })
    }

    /// Applies a registration like that of the known run but for its sequence number: only the time
    /// at which the upstream was last heard may change. Returns whether the run is known here as one
    /// that gets requests; if not, its whole registration is needed.
    pub fn refresh(&mut self, now: Instant, id: &str, started_at_ms: u64, sequence: u64) -> bool {
        let Some(record) = self.records.get_mut(id) else { return false };
        let registration = &mut record.entry.registration;
        if record.entry.is_departed
            || registration.is_draining
            || registration.started_at_ms != started_at_ms
        {
            return false;
        }
        if sequence > registration.sequence {
            registration.sequence = sequence;
            self.timestamps[record.timestamps].last_heard = now;
        }
        true
    }

    /// Marks an upstream as departed. Returns `false` if it is unknown or had departed already.
    pub fn deregister(&mut self, now: Instant, id: &str) -> bool {
        if self.get(id).is_none_or(|entry| entry.is_departed) {
            return false;
        }
        self.change(id, |entry| entry.is_departed = true);
        if let Some(record) = self.records.get(id) {
            self.timestamps[record.timestamps].last_heard = now;
        }
        true
    }

    /// Departure to be replicated of an upstream that drains or has left; `None` if it may get
    /// requests or is unknown.
    pub fn departure_of(&self, id: &str) -> Option<UpstreamDeparture> {
        let DirectoryEntry { registration, is_departed, .. } =
            self.get(id).filter(|entry| !entry.accepts_requests())?;
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
        let Some(entry) = self.get(&departure.upstream) else { return };
        let registration = &entry.registration;
        if entry.is_departed || !announces_after(departure, registration) {
            return;
        }
        let has_left = departure.has_left || departure.started_at_ms > registration.started_at_ms;
        self.change(&departure.upstream, |entry| match has_left {
            true => entry.is_departed = true,
            false => {
                entry.registration.is_draining = true;
                entry.registration.sequence = departure.sequence;
            }
        });
    }

    /// Whether the upstream announced its departure after it sent this registration. If the run
    /// that has left isn't known, this is assumed of any run that would start soon after the
    /// departure: its registration may have been delayed on its way.
    fn precedes_departure(&self, now: Instant, registration: &Registration) -> bool {
        let id = &registration.id;
        let is_present = self.get(id).is_some_and(|entry| !entry.is_departed);
        let is_delayed = |(_, since): &(u64, Instant)| {
            !is_present && now.saturating_duration_since(*since) < REGISTRATION_DELAY_MAX
        };
        self.unknown_departures.get(id).is_some_and(is_delayed)
            || self.departures.get(id).is_some_and(|d| announces_after(d, registration))
    }

    /// Removes departed entries that no delayed registration can bring back any more.
    pub fn purge_departed(&mut self, now: Instant) {
        let is_due = |record: &&Record| {
            let age = now.saturating_duration_since(self.timestamps[record.timestamps].last_heard);
            record.entry.is_departed && age >= DEPARTURE_RETENTION
        };
        let due = self.records.values().filter(is_due);
        let due: Vec<UpstreamId> = due.map(|r| r.entry.registration.id.clone()).collect();
        for id in due {
            let Some(record) = self.records.remove(&id) else { continue };
            self.by_revision.remove(&(record.entry.revision, id));
            self.free_timestamps.push(record.timestamps);
            self.purged_revision = record.entry.revision.max(self.purged_revision);
            self.generation += 1;
        }
    }

    /// Sets the data centres whose upstreams get no new requests.
    pub fn set_out_of_service(&mut self, data_centres: BTreeSet<DataCentreId>) {
        if self.out_of_service != data_centres {
            self.out_of_service = data_centres;
            self.generation += 1;
        }
    }

    /// Data centres whose upstreams get no new requests.
    pub fn out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.out_of_service
    }

    /// The entry of an upstream, departed or not.
    pub fn get(&self, id: &str) -> Option<&DirectoryEntry> {
        self.records.get(id).map(|record| &record.entry)
    }

    /// All entries, including departed ones, ordered by upstream name.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.records.values().map(|record| &record.entry)
    }

    /// Upstreams of a service that may get new requests: neither departed nor draining, and in a
    /// data centre that is in service.
    pub fn available(&self, service: &str) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries()
            .filter(move |entry| entry.registration.service == service && self.is_available(entry))
    }

    /// Whether an upstream may get new requests.
    pub(crate) fn is_available(&self, entry: &DirectoryEntry) -> bool {
        entry.accepts_requests() && !self.out_of_service.contains(&entry.registration.data_centre)
    }

    /// Upstreams that have not departed, ordered by name.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| !record.entry.is_departed)
    }

    /// Time since an upstream last registered, or since its entry was copied from another daemon.
    /// [`Duration::MAX`] if it is unknown.
    pub fn time_since_heard(&self, now: Instant, id: &str) -> Duration {
        let record = self.records.get(id);
        record.map_or(Duration::MAX, |record| self.time_since_heard_at(now, record.timestamps))
    }

    /// [`Directory::time_since_heard`] of the upstream with its timestamps at this place.
    pub(crate) fn time_since_heard_at(&self, now: Instant, slot: TimestampSlot) -> Duration {
        now.saturating_duration_since(self.timestamps[slot].last_heard)
    }

    /// Whether an upstream is still within its cold start.
    pub fn is_cold(&self, now: Instant, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| self.is_cold_at(now, record.timestamps))
    }

    /// [`Directory::is_cold`] of the upstream with its timestamps at this place.
    pub(crate) fn is_cold_at(&self, now: Instant, slot: TimestampSlot) -> bool {
        self.timestamps[slot].cold_until > now
    }

    /// Whether [`Directory::changes_since`] returns everything that a copy at this revision lacks.
    /// If not, entries that the copy still has may have been purged here, and the copy has to be
    /// replaced as a whole.
    pub fn has_history_since(&self, revision: Revision) -> bool {
        revision >= self.purged_revision
    }

    /// Entries that changed after a revision, with the remaining time of their cold start as of
    /// `now`, ordered by upstream name.
    pub fn changes_since(&self, now: Instant, revision: Revision) -> Vec<DirectoryEntry> {
        let first = (revision.saturating_add(1), UpstreamId::new());
        let changed = self.by_revision.range(first..);
        let mut records: Vec<&Record> =
            changed.filter_map(|(_, id)| self.records.get(id)).collect();
        records.sort_by(|a, b| a.entry.registration.id.cmp(&b.entry.registration.id));
        let with_cold_start = records.into_iter().map(|record| {
            let mut entry = record.entry.clone();
            let cold_until = self.timestamps[record.timestamps].cold_until;
            entry.registration.cold_remaining = cold_until.saturating_duration_since(now);
            entry
        });
        with_cold_start.collect()
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
            self.records.clear();
            self.timestamps.clear();
            self.free_timestamps.clear();
            self.by_revision.clear();
            self.by_address.clear();
            self.purged_revision = revision;
            self.generation += 1;
            // They have to be applied to the new entries.
            self.departures = Departures::default();
        }
        self.revision = revision;
        for entry in entries {
            let cold_until = cold_until(now, &entry.registration);
            self.put(entry, Timestamps { last_heard: now, cold_until });
        }
    }

    /// Resets the time since every upstream was heard to zero. A daemon that has only copied the
    /// directory did not receive the registrations itself.
    pub fn mark_all_heard(&mut self, now: Instant) {
        self.timestamps.iter_mut().for_each(|timestamps| timestamps.last_heard = now);
    }

    /// Whether a later run of another upstream holds the address.
    fn is_displaced(&self, registration: &Registration) -> bool {
        self.others_at(registration)
            .any(|holder| holder.registration.started_at_ms > registration.started_at_ms)
    }

    /// Other upstreams at the address of a registration that have not departed.
    fn others_at(&self, registration: &Registration) -> impl Iterator<Item = &DirectoryEntry> {
        let address = registration.address;
        let holders = self.by_address.range((address, UpstreamId::new())..);
        let holders = holders.take_while(move |(at, _)| *at == address).map(|(_, id)| id);
        holders.filter(|id| **id != registration.id).filter_map(|id| self.get(id))
    }

    /// Marks other upstreams at the address as departed: an address belongs to one upstream at a
    /// time.
    fn mark_former_holders_departed(&mut self, registration: &Registration) {
        let others = self.others_at(registration);
        let former_holders: Vec<UpstreamId> = others.map(|o| o.registration.id.clone()).collect();
        for id in former_holders {
            self.change(&id, |entry| entry.is_departed = true);
        }
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        self.revision
    }

    /// Changes an entry under a new revision.
    fn change(&mut self, id: &str, change: impl FnOnce(&mut DirectoryEntry)) {
        let revision = self.next_revision();
        let Some(record) = self.records.get(id) else { return };
        let timestamps = self.timestamps[record.timestamps];
        let mut entry = record.entry.clone();
        change(&mut entry);
        entry.revision = revision;
        self.put(entry, timestamps);
    }

    /// Adds or replaces an entry, with its timestamps.
    fn put(&mut self, entry: DirectoryEntry, timestamps: Timestamps) {
        self.generation += 1;
        let (id, address) = (entry.registration.id.clone(), entry.registration.address);
        let known = self.records.get(&id);
        let known_run = known
            .filter(|known| {
                known.entry.registration.started_at_ms == entry.registration.started_at_ms
            })
            .map(|known| known.run_revision);
        let slot = match known {
            Some(known) => {
                self.by_revision.remove(&(known.entry.revision, id.clone()));
                self.by_address.remove(&(known.entry.registration.address, id.clone()));
                known.timestamps
            }
            None => self.free_timestamps.pop().unwrap_or(self.timestamps.len()),
        };
        match self.timestamps.get_mut(slot) {
            Some(known) => *known = timestamps,
            None => self.timestamps.push(timestamps),
        }
        self.by_revision.insert((entry.revision, id.clone()));
        if !entry.is_departed {
            self.by_address.insert((address, id.clone()));
        }
        let run_revision = known_run.unwrap_or(entry.revision);
        self.records.insert(id, Record { entry, timestamps: slot, run_revision });
    }
}

/// Until when an upstream is cold. A remaining time that only some daemons could add to their clocks must
/// not stop the others, so it is cut.
fn cold_until(now: Instant, registration: &Registration) -> Instant {
    now + registration.cold_remaining.min(COLD_TIME_MAX)
}

/// Whether an upstream announced a departure after it sent a registration.
fn announces_after(departure: &UpstreamDeparture, registration: &Registration) -> bool {
    let is_same_run = departure.started_at_ms == registration.started_at_ms;
    departure.started_at_ms > registration.started_at_ms
        || is_same_run && (departure.has_left || departure.sequence > registration.sequence)
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
